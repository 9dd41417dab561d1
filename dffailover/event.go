package dffailover

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
)

// Step names a control statement that changes an upstream.
type Step int

// Steps of a change of primary.
const (
	StepFence Step = iota + 1
	StepPromote
	StepFollow
)

// String names the step.
func (s Step) String() string {
	switch s {
	case StepFence:
		return "fence"
	case StepPromote:
		return "promote"
	case StepFollow:
		return "follow"
	}
	return "invalid"
}

// Event is what the machine learns.
type Event interface{ event() }

// Reported is a status report of an upstream. It also tells of other actors'
// success and of the leaving mark.
type Reported struct {
	Status  dfgroup.Status
	AskedAt dfclock.Millis
}

// Answered is the status row that ended a step.
type Answered struct {
	Step    Step
	Term    dfposition.Term
	Status  dfgroup.Status
	AskedAt dfclock.Millis
}

// Refused tells that an upstream refused a step because of the term that it
// has accepted.
type Refused struct {
	Step     Step
	Upstream dfgroup.UpstreamID
	Term     dfposition.Term
	Accepted dfposition.Term
}

// Failed tells that a step had no answer; it may have taken effect.
type Failed struct {
	Step     Step
	Upstream dfgroup.UpstreamID
	Term     dfposition.Term
}

// Judged is the health verdict on an upstream; it is repeated while it stands.
type Judged struct {
	Upstream dfgroup.UpstreamID
	Dead     bool
}

// Drained tells how many of this host's transactions run on the primary.
type Drained struct{ InFlight int }

// ChangeRequested asks for a planned change away from the present primary.
type ChangeRequested struct{}

// Tick is the passing of time.
type Tick struct{}

func (Reported) event()        {}
func (Answered) event()        {}
func (Refused) event()         {}
func (Failed) event()          {}
func (Judged) event()          {}
func (Drained) event()         {}
func (ChangeRequested) event() {}
func (Tick) event()            {}

// Action is what the machine asks its runner to do.
type Action interface{ action() }

// Fence asks upstreams to accept (Term, Actor). The actor is another one's name
// when a late upstream is brought into a term that was already won.
type Fence struct {
	Term      dfposition.Term
	Actor     string
	Upstreams []dfgroup.UpstreamID
}

// Promote makes an upstream the primary of (Term, Actor).
type Promote struct {
	Term     dfposition.Term
	Actor    string
	Upstream dfgroup.UpstreamID
}

// Follow makes an upstream follow the primary of (Term, Actor).
type Follow struct {
	Term     dfposition.Term
	Actor    string
	Upstream dfgroup.UpstreamID
	Primary  dfgroup.UpstreamID
}

// MarkLeaving sets the leaving mark of an upstream, by which every actor learns
// of a planned change.
type MarkLeaving struct{ Upstream dfgroup.UpstreamID }

// Poll asks for fresh reports of all upstreams.
type Poll struct{}

// HoldWrites keeps new writes in the queue.
type HoldWrites struct{}

// ReleaseWrites ends HoldWrites.
type ReleaseWrites struct{}

// Record writes the decision to the platform's table and the audit trail. It is
// never waited for.
type Record struct{ Decision Decision }

// ReportDiscarded hands a discarded log tail to the audit trail. Every actor
// reports it once, because the one that caused it may have died.
type ReportDiscarded struct {
	Upstream dfgroup.UpstreamID
	Tail     string
}

// GiveUp tells that an attempt ended without a primary.
type GiveUp struct {
	Term   dfposition.Term
	Reason string
}

func (Fence) action()           {}
func (Promote) action()         {}
func (Follow) action()          {}
func (MarkLeaving) action()     {}
func (Poll) action()            {}
func (HoldWrites) action()      {}
func (ReleaseWrites) action()   {}
func (Record) action()          {}
func (ReportDiscarded) action() {}
func (GiveUp) action()          {}

// Decision is a completed change of primary.
type Decision struct {
	Term     dfposition.Term
	Actor    string
	Primary  dfgroup.UpstreamID
	Previous dfgroup.UpstreamID
	Planned  bool
	// StartedAt is when fencing began and PromotedAt when the primary answered.
	StartedAt  dfclock.Millis
	PromotedAt dfclock.Millis
}
