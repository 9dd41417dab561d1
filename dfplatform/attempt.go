package dfplatform

import (
	"fmt"
	"math/rand/v2"

	"dragonflygrade/dfclock"
)

// Attempts makes identities of commits. It is used by one goroutine.
type Attempts struct {
	// owner and run make identities of two processes differ.
	owner string
	run   uint64
	// count makes identities of one process differ.
	count uint64
}

// NewAttempts returns a source of identities for an owner, such as a host or
// an operator. The source of randomness must differ between processes.
func NewAttempts(owner string, random *rand.Rand) *Attempts {
	return &Attempts{owner: owner, run: random.Uint64()}
}

// Next returns an identity that was not used before.
func (a *Attempts) Next() string {
	a.count++
	return fmt.Sprintf("%s-%016x-%d", a.owner, a.run, a.count)
}

// Backoff bounds retries.
type Backoff struct {
	// First is the bound of the wait before the first repeat; it doubles with
	// each repeat up to Max.
	First dfclock.Millis
	Max   dfclock.Millis
	// Tries is the number of calls in all, at least 1.
	Tries int
}

// DefaultBackoff lets a call outlast a short outage of the platform, and gives
// up within the renewal period of a host lease.
var DefaultBackoff = Backoff{First: 50 * dfclock.Millisecond, Max: dfclock.Second, Tries: 6}

// Delay returns the wait before the repeat with the number, counted from 1.
// The wait is uniform up to the bound, so that callers that failed together do
// not come back together.
func (b Backoff) Delay(repeat int, random *rand.Rand) dfclock.Millis {
	bound := b.First
	for i := 1; i < repeat && bound < b.Max; i++ {
		bound *= 2
	}
	bound = min(bound, b.Max)
	return 1 + dfclock.Millis(random.Int64N(int64(max(bound, 1))))
}
