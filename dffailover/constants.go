package dffailover

import "dragonflygrade/dfclock"

const (
	// RankStep is the head start of each actor over the next one. It exceeds
	// the fencing of a majority at the usual delays, so that the next actor
	// sees the first one's term before it starts.
	RankStep = 150 * dfclock.Millisecond
	// StepTimeout bounds fencing, and then promotion. It covers two timed-out
	// control statements.
	StepTimeout = 600 * dfclock.Millisecond
	// Backoff is the pause after a given-up attempt, on top of the rank's wait.
	Backoff = 200 * dfclock.Millisecond
	// Leaderless is how long the newest term may stand without a primary
	// before another actor finishes the change.
	Leaderless = 500 * dfclock.Millisecond
	// ReportAge is the age up to which a report shows that an upstream is
	// reachable. It spans several polls, so that one lost poll does not count.
	ReportAge = 700 * dfclock.Millisecond
	// RepairDelay lets the winner of a term fence and redirect the others itself.
	RepairDelay = 200 * dfclock.Millisecond
	// RepairPause separates attempts to bring one upstream into the term.
	RepairPause = 300 * dfclock.Millisecond
	// ChangeStep is the head start of each actor over the next one in one round
	// of a planned change; an undisturbed change is over within it.
	ChangeStep = 300 * dfclock.Millisecond
	// HoldSettle lets the other slot holders see the leaving mark and hold
	// their writes too; it covers one poll and its answer.
	HoldSettle = 130 * dfclock.Millisecond
	// InFlightBound is how long a planned change waits for running transactions.
	InFlightBound = 600 * dfclock.Millisecond
	// CatchUpBound is how long a planned change waits for a replica.
	CatchUpBound = 300 * dfclock.Millisecond
	// CatchUpPoll separates polls while a replica catches up.
	CatchUpPoll = 20 * dfclock.Millisecond
	// HoldBound bounds every hold of writes.
	HoldBound = 1200 * dfclock.Millisecond
	// ChangePause separates attempts of a planned change.
	ChangePause = 3 * dfclock.Second
)

// Timings has every bound of the state machine.
type Timings struct {
	RankStep, StepTimeout, Backoff, Leaderless, ReportAge dfclock.Millis
	RepairDelay, RepairPause                              dfclock.Millis
	ChangeStep, HoldSettle, InFlightBound, CatchUpBound   dfclock.Millis
	CatchUpPoll, HoldBound, ChangePause                   dfclock.Millis
}

// DefaultTimings returns the bounds in force by default.
func DefaultTimings() Timings {
	return Timings{
		RankStep: RankStep, StepTimeout: StepTimeout, Backoff: Backoff,
		Leaderless: Leaderless, ReportAge: ReportAge,
		RepairDelay: RepairDelay, RepairPause: RepairPause,
		ChangeStep: ChangeStep, HoldSettle: HoldSettle,
		InFlightBound: InFlightBound, CatchUpBound: CatchUpBound,
		CatchUpPoll: CatchUpPoll, HoldBound: HoldBound, ChangePause: ChangePause,
	}
}
