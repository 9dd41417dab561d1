package dfload

import (
	"fmt"
	"math/rand/v2"

	"github.com/rotisserie/eris"
)

// Kind is one kind of request in a mix.
type Kind int

// Kinds of requests.
const (
	// KindCatalogue reads one catalogue row, which may be stale as declared.
	KindCatalogue Kind = iota
	// KindOwnOrders reads the caller's own orders.
	KindOwnOrders
	// KindTicket reads one job ticket, which may be stale as declared.
	KindTicket
	// KindOrder inserts one order outside of a transaction.
	KindOrder
	// KindTransaction inserts an order and changes it in one transaction.
	KindTransaction
	// KindRollback inserts an order in a transaction and rolls it back.
	KindRollback
	kinds
)

var kindNames = [kinds]string{"Catalogue", "OwnOrders", "Ticket", "Order", "Transaction", "Rollback"}

// String names the kind as reports do.
func (k Kind) String() string {
	return kindNames[k]
}

// IsWrite reports whether requests of the kind go to the primary.
func (k Kind) IsWrite() bool {
	return k == KindOrder || k == KindTransaction || k == KindRollback
}

// Mix gives the share of each kind in percent.
type Mix struct {
	Name string
	// percent sums to 100.
	percent [kinds]int
}

// Mixes of the two users.
var (
	mixConsortium = Mix{Name: "consortium", percent: [kinds]int{45, 25, 10, 12, 6, 2}}
	mixKovacik    = Mix{Name: "kovacik", percent: [kinds]int{70, 12, 10, 5, 2, 1}}
	mixReads      = Mix{Name: "reads", percent: [kinds]int{50, 50, 0, 0, 0, 0}}
	mixWrites     = Mix{Name: "writes", percent: [kinds]int{0, 0, 0, 100, 0, 0}}
)

// NewMix returns the mix with the name.
func NewMix(name string) (Mix, error) {
	for _, mix := range []Mix{mixConsortium, mixKovacik, mixReads, mixWrites} {
		if mix.Name == name {
			return mix, nil
		}
	}
	return Mix{}, eris.Errorf("mix %q is not known: use consortium, kovacik, reads or writes", name)
}

// Pick draws a kind.
func (m Mix) Pick(random *rand.Rand) Kind {
	draw := random.IntN(100)
	for kind, share := range m.percent {
		if draw < share {
			return Kind(kind)
		}
		draw -= share
	}
	return KindCatalogue
}

// String lists the shares.
func (m Mix) String() string {
	text := m.Name
	for kind, share := range m.percent {
		text += fmt.Sprintf(" %s=%d%%", Kind(kind), share)
	}
	return text
}
