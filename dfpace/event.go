package dfpace

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
)

// Event is a change of an upstream's state: SetAside, TrialStarted, Returned, Paced
// or LimitLifted.
type Event interface{ event() }

// SetAside means that an upstream gets no statements that others can run.
type SetAside struct {
	ID dffleet.ID
	// Span is for how long.
	Span dfclock.Millis
	// Answers and Failed are the upstream's, OtherAnswers and OtherFailed those of
	// the other upstreams in the same window.
	Answers, Failed, OtherAnswers, OtherFailed int
	// Latency and OtherLatency are the medians.
	Latency, OtherLatency dfclock.Millis
}

// TrialStarted means that one statement tries an upstream that was set aside.
type TrialStarted struct{ ID dffleet.ID }

// Returned means that a trial succeeded.
type Returned struct{ ID dffleet.ID }

// Paced means that a limit is in force.
type Paced struct {
	ID    dffleet.ID
	Limit float64
	Cause Cause
}

// LimitLifted means that the limit did not delay a statement for a while.
type LimitLifted struct {
	ID    dffleet.ID
	Limit float64
}

func (SetAside) event()     {}
func (TrialStarted) event() {}
func (Returned) event()     {}
func (Paced) event()        {}
func (LimitLifted) event()  {}

// Cause is why a limit is in force.
type Cause int

// Causes of a limit.
const (
	Started Cause = iota + 1
	Recovered
	Promoted
	TrialSucceeded
)

func (c Cause) String() string {
	switch c {
	case Started:
		return "started"
	case Recovered:
		return "recovered"
	case Promoted:
		return "promoted"
	case TrialSucceeded:
		return "trial succeeded"
	}
	return "invalid"
}
