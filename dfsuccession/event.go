package dfsuccession

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfposition"
)

// Action is what the owner of a Coordinator has to do. Its result is passed back
// as an event.
type Action interface{ action() }

// NoAction means that there is nothing to do.
type NoAction struct{}

// Probe requests the status of an upstream over a new connection.
type Probe struct {
	ID      dffleet.ID
	Timeout dfclock.Millis
}

// QueryAll requests the status of all upstreams of the service.
type QueryAll struct{}

// Claim acquires an epoch from the platform's table. The epoch is valid only for
// replacing the named leader.
type Claim struct{ Target, Replaced dffleet.ID }

// Revoke asks all hosts to stop using the leader. Where the platform fences, they only
// stop sending it writes, until it is replaced or a Release.
type Revoke struct {
	Target, Replaced dffleet.ID
	Epoch            uint64
}

// Promote asks the platform to promote an upstream.
type Promote struct {
	Target dffleet.ID
	Epoch  uint64
}

// Release lets the hosts send writes to the leader again. No promotion of the epoch was
// sent, or it was refused.
type Release struct{ Epoch uint64 }

func (NoAction) action() {}
func (Probe) action()    {}
func (QueryAll) action() {}
func (Claim) action()    {}
func (Revoke) action()   {}
func (Promote) action()  {}
func (Release) action()  {}

// Event is the result of an action, or an observation about an upstream.
type Event interface{ event() }

// Answered reports that an upstream answered on any connection.
type Answered struct{ ID dffleet.ID }

// ConnectionFailed reports that a connection to an upstream failed.
type ConnectionFailed struct{ ID dffleet.ID }

// ProbeFailed reports that a Probe got no answer.
type ProbeFailed struct {
	ID     dffleet.ID
	SentAt dfclock.Millis
}

// StatusReceived is one upstream's answer to QueryAll or Probe.
type StatusReceived struct {
	ID       dffleet.ID
	Primary  bool
	Received dfposition.Position
	// Replaced is true if the upstream leads a term that was revoked.
	Replaced bool
	// Probe is true for the answer to a Probe.
	Probe bool
	// AskedAt is when the request was sent.
	AskedAt dfclock.Millis
}

// QueryEnded reports that no further answers to QueryAll will arrive.
type QueryEnded struct{}

// Claimed reports that a Claim acquired an epoch.
type Claimed struct{ Epoch uint64 }

// ClaimFailed reports that a Claim got no epoch: another host acts, or the
// platform does not answer.
type ClaimFailed struct {
	// Claimed is the target that another host claimed, or empty.
	Claimed dffleet.ID
}

// Revoked reports that no host uses the leader any more.
type Revoked struct{}

// RevokeFailed reports that a host refused a Revoke or too few confirmed it.
type RevokeFailed struct{}

// PromoteAccepted reports that the platform accepted a Promote.
type PromoteAccepted struct{}

// PromoteRefused reports that a Promote was fenced or named a dead upstream.
type PromoteRefused struct{}

// PromoteDeclined reports that the platform did nothing about a Promote, because it is
// overloaded or down.
type PromoteDeclined struct{}

// PromoteUnanswered reports that a Promote got no answer; it may still take effect.
type PromoteUnanswered struct{}

func (Answered) event()          {}
func (ConnectionFailed) event()  {}
func (ProbeFailed) event()       {}
func (StatusReceived) event()    {}
func (QueryEnded) event()        {}
func (Claimed) event()           {}
func (ClaimFailed) event()       {}
func (Revoked) event()           {}
func (RevokeFailed) event()      {}
func (PromoteAccepted) event()   {}
func (PromoteRefused) event()    {}
func (PromoteDeclined) event()   {}
func (PromoteUnanswered) event() {}
