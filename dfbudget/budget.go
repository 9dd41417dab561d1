// Package dfbudget divides the connections that an upstream accepts among the
// hosts that may hold connections to it at once, the slots.
package dfbudget

import "github.com/rotisserie/eris"

// Reserve is kept of each upstream's limit for operators and for connections
// that an upstream has not yet noticed to be gone.
const Reserve = 2

// Budget divides one upstream's limit. It is immutable. The zero value gives
// nobody a connection.
type Budget struct {
	// limit is what the upstream accepts; share*slots + Reserve <= limit.
	limit int
	slots int
	share int
}

// New divides a limit among slots. Control connections do not count.
func New(limit, slots int) (Budget, error) {
	if slots < 1 {
		return Budget{}, eris.Errorf("%d slots: want at least 1", slots)
	}
	if limit < slots+Reserve {
		return Budget{}, eris.Errorf("limit of %d connections with %d slots: want at least %d, one for each slot and %d in reserve",
			limit, slots, slots+Reserve, Reserve)
	}
	return Budget{limit: limit, slots: slots, share: (limit - Reserve) / slots}, nil
}

// Limit returns the connections that the upstream accepts.
func (b Budget) Limit() int { return b.limit }

// Slots returns the number of slots.
func (b Budget) Slots() int { return b.slots }

// Share returns the connections of one slot.
func (b Budget) Share() int { return b.share }

// Reserved returns what no slot may use: the reserve and the remainder of the division.
func (b Budget) Reserved() int { return b.limit - b.share*b.slots }

// MayOpen reports whether a slot that has the given number of connections, open
// or being opened, may open one more.
func (b Budget) MayOpen(open int) bool {
	return open >= 0 && open < b.share
}

// WithLimit returns the budget for another limit.
func (b Budget) WithLimit(limit int) (Budget, error) {
	return New(limit, b.slots)
}

// Check reports whether the connections of the slots keep to the budget: no
// slot exceeds its share and the sum leaves the reserve free.
func (b Budget) Check(open ...int) bool {
	sum, within := 0, len(open) <= b.slots
	for _, count := range open {
		sum += count
		within = within && count <= b.share
	}
	return holds(within && sum+Reserve <= b.limit, "the slots' connections keep to the upstream's limit")
}
