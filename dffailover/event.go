package dffailover

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
)

// Step is a control statement that changes the term or role of an upstream.
type Step int

// Steps of a promotion.
const (
	StepFence Step = iota + 1
	StepPromote
	StepFollow
)

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

// Event is an input of the machine.
type Event interface{ event() }

// Reported is a status report of an upstream. It also carries the leaving mark
// and the results of other actors' promotions.
type Reported struct {
	Status  dfgroup.Status
	AskedAt dfclock.Millis
}

// Answered is the successful end of a step, with the status row it returned.
type Answered struct {
	Step    Step
	Term    dfposition.Term
	Status  dfgroup.Status
	AskedAt dfclock.Millis
}

// Refused reports that an upstream rejected a step because of the term that it
// has accepted.
type Refused struct {
	Step     Step
	Upstream dfgroup.UpstreamID
	Term     dfposition.Term
	Accepted dfposition.Term
}

// Failed reports that a step got no answer. It may have taken effect.
type Failed struct {
	Step     Step
	Upstream dfgroup.UpstreamID
	Term     dfposition.Term
}

// HealthChecked is the health verdict on an upstream. It is sent on every check,
// also when unchanged.
type HealthChecked struct {
	Upstream dfgroup.UpstreamID
	Dead     bool
}

// InFlightCounted is the number of this host's transactions on the primary.
type InFlightCounted struct{ InFlight int }

// SwitchoverRequested asks for a planned change of the current primary.
type SwitchoverRequested struct{}

// Tick lets the machine check its time-outs.
type Tick struct{}

func (Reported) event()            {}
func (Answered) event()            {}
func (Refused) event()             {}
func (Failed) event()              {}
func (HealthChecked) event()       {}
func (InFlightCounted) event()     {}
func (SwitchoverRequested) event() {}
func (Tick) event()                {}

// Action is an output of the machine, to be executed by its runner.
type Action interface{ action() }

// Fence asks upstreams to accept (Term, Actor). Actor names another actor when
// an upstream joins late a term that this actor did not win.
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

// MarkLeaving sets the leaving mark of an upstream, which announces a switchover
// to every actor.
type MarkLeaving struct{ Upstream dfgroup.UpstreamID }

// Poll requests status reports from all upstreams.
type Poll struct{}

// HoldWrites keeps new writes queued until ReleaseWrites.
type HoldWrites struct{}

// ReleaseWrites passes the held writes on and stops holding new ones.
type ReleaseWrites struct{}

// RecordDecision writes the decision to the platform's table and the audit
// trail. The machine does not wait for it.
type RecordDecision struct{ Decision Decision }

// ReportDiscarded writes a discarded log tail to the audit trail. Every actor
// reports it once, because the actor that caused it may have crashed.
type ReportDiscarded struct {
	Upstream dfgroup.UpstreamID
	Tail     string
}

// ReportAborted reports that an attempt ended without a new primary.
type ReportAborted struct {
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
func (RecordDecision) action()  {}
func (ReportDiscarded) action() {}
func (ReportAborted) action()   {}

// Decision is a completed change of primary.
type Decision struct {
	Term     dfposition.Term
	Actor    string
	Primary  dfgroup.UpstreamID
	Previous dfgroup.UpstreamID
	Planned  bool
	// StartedAt is when fencing began, PromotedAt when the new primary answered.
	StartedAt  dfclock.Millis
	PromotedAt dfclock.Millis
}
