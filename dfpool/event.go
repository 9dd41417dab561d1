package dfpool

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfresult"
)

// ConnID numbers a connection of one pool. It is never reused.
type ConnID uint64

// WaiterID numbers a request for a connection. The caller never reuses it.
type WaiterID uint64

// Event is something that happened.
type Event interface{ event() }

// Want asks for a connection.
type Want struct {
	Waiter WaiterID
	// Priority orders waiters; lower values go first.
	Priority int
	Deadline dfclock.Millis
}

// Withdrawn means that the waiter no longer wants a connection.
type Withdrawn struct{ Waiter WaiterID }

// Returned means that the holder gave the connection back.
type Returned struct {
	Conn ConnID
	// Idle is false if the connection is in doubt or not idle.
	Idle bool
}

// Stale means that the connection given last was found closed before its waiter
// took it. The waiter keeps its place.
type Stale struct{ Conn ConnID }

// Opened means that an opening succeeded.
type Opened struct{ Conn ConnID }

// OpenFailed means that an opening failed.
type OpenFailed struct{ Conn ConnID }

// Closed means that the connection is gone, asked for or not.
type Closed struct{ Conn ConnID }

// Silent means that the connection did not answer in time.
type Silent struct{ Conn ConnID }

// Doubted means that the connection's request is not answered in time and that
// its holder still waits. The connection stays held.
type Doubted struct{ Conn ConnID }

// Reachable tells whether the upstream is seen to answer at all.
type Reachable struct{ Up bool }

// ProbeAnswered tells the result of a probe.
type ProbeAnswered struct {
	Conn ConnID
	OK   bool
}

// Tick lets time pass.
type Tick struct{}

// LimitChanged sets the largest number of connections.
type LimitChanged struct{ Limit int }

// IdleChanged sets how long connections may rest, as in Config.
type IdleChanged struct{ IdleClose, LastIdleClose dfclock.Millis }

// Suspended means that the upstream's administrator ended connections: nothing
// is opened before the span passed.
type Suspended struct{ For dfclock.Millis }

func (Want) event()          {}
func (Withdrawn) event()     {}
func (Returned) event()      {}
func (Stale) event()         {}
func (Opened) event()        {}
func (OpenFailed) event()    {}
func (Closed) event()        {}
func (Silent) event()        {}
func (Doubted) event()       {}
func (Reachable) event()     {}
func (ProbeAnswered) event() {}
func (Tick) event()          {}
func (LimitChanged) event()  {}
func (IdleChanged) event()   {}
func (Suspended) event()     {}

// Action is something that the runner has to do.
type Action interface{ action() }

// Give hands the connection to the waiter.
type Give struct {
	Waiter WaiterID
	Conn   ConnID
}

// Open starts an opening, which is answered by Opened or OpenFailed.
type Open struct{ Conn ConnID }

// Probe starts a probe, which is answered by ProbeAnswered.
type Probe struct{ Conn ConnID }

// Close ends a connection, which is answered by Closed. Until then it counts.
type Close struct{ Conn ConnID }

// Refuse tells the waiter that it gets no connection.
type Refuse struct {
	Waiter WaiterID
	Code   dfresult.Code
	// RetryAfter hints when to come back, or zero.
	RetryAfter dfclock.Millis
}

// Violated reports an event that breaks an invariant.
type Violated struct {
	Conn ConnID
	Text string
}

func (Give) action()     {}
func (Open) action()     {}
func (Probe) action()    {}
func (Close) action()    {}
func (Refuse) action()   {}
func (Violated) action() {}
