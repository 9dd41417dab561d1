package dfpool

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfresult"
)

// ConnID identifies a connection of one pool. IDs are never reused.
type ConnID uint64

// WaiterID identifies a request for a connection. The user of the pool never reuses
// an ID.
type WaiterID uint64

// Event is an input of the pool.
type Event interface{ event() }

// Acquire requests a connection.
type Acquire struct {
	Waiter WaiterID
	// Organisation is in whose name the connection must be open; empty means none.
	Organisation string
	// Priority orders waiters; lower values go first.
	Priority int
	Deadline dfclock.Millis
}

// Cancelled means that the waiter no longer needs a connection.
type Cancelled struct{ Waiter WaiterID }

// Returned means that the holder has returned the connection.
type Returned struct {
	Conn ConnID
	// Reusable is false if the connection is not idle or its state is unknown.
	Reusable bool
}

// Stale means that a granted connection was found closed before its waiter used it.
// The waiter keeps its place in the queue.
type Stale struct{ Conn ConnID }

// Opened means that a connection was opened.
type Opened struct{ Conn ConnID }

// OpenFailed means that a connection could not be opened.
type OpenFailed struct{ Conn ConnID }

// Closed means that the connection is closed, whether or not the pool requested it.
type Closed struct{ Conn ConnID }

// Silent means that the connection did not answer in time.
type Silent struct{ Conn ConnID }

// ReplyOverdue means that the connection's request was not answered in time and its
// holder is still waiting. The connection stays in use.
type ReplyOverdue struct{ Conn ConnID }

// Reachable reports whether the upstream answers at all, as observed outside the
// pool.
type Reachable struct{ Up bool }

// ProbeFinished reports the result of a probe.
type ProbeFinished struct {
	Conn ConnID
	OK   bool
}

// Tick reports that time has passed.
type Tick struct{}

// LimitChanged sets the maximum number of connections.
type LimitChanged struct{ Limit int }

// IdleTimeoutChanged sets the idle timeouts, see Config.
type IdleTimeoutChanged struct{ IdleTimeout, LastIdleTimeout dfclock.Millis }

// Suspended means that the upstream's administrator terminated connections. No
// connection is opened for the given time.
type Suspended struct{ For dfclock.Millis }

func (Acquire) event()            {}
func (Cancelled) event()          {}
func (Returned) event()           {}
func (Stale) event()              {}
func (Opened) event()             {}
func (OpenFailed) event()         {}
func (Closed) event()             {}
func (Silent) event()             {}
func (ReplyOverdue) event()       {}
func (Reachable) event()          {}
func (ProbeFinished) event()      {}
func (Tick) event()               {}
func (LimitChanged) event()       {}
func (IdleTimeoutChanged) event() {}
func (Suspended) event()          {}

// Action is something that the user of the pool has to do.
type Action interface{ action() }

// Grant assigns the connection to the waiter. Both belong to the organisation.
type Grant struct {
	Waiter       WaiterID
	Conn         ConnID
	Organisation string
}

// Open opens a connection in the name of an organisation, or of none if it is empty.
// The result is reported by Opened or OpenFailed.
type Open struct {
	Conn         ConnID
	Organisation string
}

// Probe tests whether a connection answers. The result is reported by ProbeFinished.
type Probe struct{ Conn ConnID }

// Close closes a connection. It counts against the limit until Closed is reported.
type Close struct{ Conn ConnID }

// Refuse ends the wait without a connection.
type Refuse struct {
	Waiter WaiterID
	Code   dfresult.Code
	// RetryAfter is a hint how long to wait before a retry, or zero.
	RetryAfter dfclock.Millis
}

// InvariantViolated reports an event that violates an invariant.
type InvariantViolated struct {
	Conn ConnID
	Text string
}

func (Grant) action()             {}
func (Open) action()              {}
func (Probe) action()             {}
func (Close) action()             {}
func (Refuse) action()            {}
func (InvariantViolated) action() {}
