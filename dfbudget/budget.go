// Package dfbudget divides the connection limit of an upstream among the slots, that
// is, the hosts that may hold connections to it at the same time.
package dfbudget

import "github.com/rotisserie/eris"

// Reserve is the number of connections of each upstream's limit that is kept free for
// operators and for closed connections that the upstream has not yet detected.
const Reserve = 2

// Budget is the division of one upstream's connection limit. It is immutable. The
// zero value permits no connection.
type Budget struct {
	// limit is the number of connections that the upstream accepts.
	// share*slots + Reserve <= limit.
	limit int
	slots int
	share int
}

// New divides a limit among slots. Control connections do not count against it.
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

// Limit returns the number of connections that the upstream accepts.
func (b Budget) Limit() int { return b.limit }

// Slots returns the number of slots.
func (b Budget) Slots() int { return b.slots }

// Share returns the number of connections that one slot may hold.
func (b Budget) Share() int { return b.share }

// Reserved returns the number of connections that no slot may use: the reserve and
// the remainder of the division.
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

// Check reports whether the open connections of the slots are within the budget: no
// slot exceeds its share, and the sum leaves the reserve free.
func (b Budget) Check(open ...int) bool {
	sum, within := 0, len(open) <= b.slots
	for _, count := range open {
		sum += count
		within = within && count <= b.share
	}
	return holds(within && sum+Reserve <= b.limit, "connections of the slots are within the upstream's limit")
}
