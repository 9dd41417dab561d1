package dffailover

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfhandover"
)

const (
	// RankDelay staggers the promotion attempts of the actors by rank. It exceeds
	// the time to fence a majority at usual network delays, so that the next actor
	// sees the first one's term before it starts an attempt.
	RankDelay = 150 * dfclock.Millisecond
	// StepTimeout bounds the fencing and the promotion of an attempt, each on its
	// own. It covers two timed-out control statements.
	StepTimeout = 600 * dfclock.Millisecond
	// Backoff is the pause after an aborted attempt; the rank's delay is added.
	Backoff = 200 * dfclock.Millisecond
	// NoPrimaryTimeout is how long the newest term may have no primary before
	// another actor starts a promotion.
	NoPrimaryTimeout = 500 * dfclock.Millisecond
	// MaxReportAge is the age up to which a report proves that its upstream is
	// reachable. It spans several polls, so that one lost poll is tolerated.
	MaxReportAge = 700 * dfclock.Millisecond
	// RepairDelay gives the winner of a term time to fence and redirect the other
	// upstreams itself.
	RepairDelay = 200 * dfclock.Millisecond
	// RepairRetryInterval separates attempts to repair one upstream.
	RepairRetryInterval = 300 * dfclock.Millisecond
	// SwitchoverRankDelay staggers the actors by rank within one round of a
	// switchover. A switchover without faults completes within it.
	SwitchoverRankDelay = 300 * dfclock.Millisecond
	// HoldPropagationDelay gives the other slot holders time to see the leaving
	// mark and hold their writes too. It covers one poll and its answer.
	HoldPropagationDelay = 130 * dfclock.Millisecond
	// InFlightTimeout bounds the wait of a switchover for running transactions.
	InFlightTimeout = 600 * dfclock.Millisecond
	// CatchUpTimeout bounds the wait of a switchover for a replica to catch up.
	CatchUpTimeout = 300 * dfclock.Millisecond
	// CatchUpPollInterval separates status polls while a replica catches up.
	CatchUpPollInterval = 20 * dfclock.Millisecond
	// HoldTimeout is the longest time for which writes are held.
	HoldTimeout = 1200 * dfclock.Millisecond
	// SwitchoverRetryDelay is the pause before a switchover is retried.
	SwitchoverRetryDelay = 3 * dfclock.Second
)

// Timings configures the delays and time-outs of the state machine.
type Timings struct {
	RankDelay, StepTimeout, Backoff, NoPrimaryTimeout, MaxReportAge            dfclock.Millis
	RepairDelay, RepairRetryInterval                                           dfclock.Millis
	SwitchoverRankDelay, HoldPropagationDelay, InFlightTimeout, CatchUpTimeout dfclock.Millis
	CatchUpPollInterval, HoldTimeout, SwitchoverRetryDelay                     dfclock.Millis
}

// DefaultTimings returns the default delays and time-outs.
func DefaultTimings() Timings {
	return Timings{
		RankDelay: RankDelay, StepTimeout: StepTimeout, Backoff: Backoff,
		NoPrimaryTimeout: NoPrimaryTimeout, MaxReportAge: MaxReportAge,
		RepairDelay: RepairDelay, RepairRetryInterval: RepairRetryInterval,
		SwitchoverRankDelay: SwitchoverRankDelay, HoldPropagationDelay: HoldPropagationDelay,
		InFlightTimeout: InFlightTimeout, CatchUpTimeout: CatchUpTimeout,
		CatchUpPollInterval: CatchUpPollInterval, HoldTimeout: HoldTimeout, SwitchoverRetryDelay: SwitchoverRetryDelay,
	}
}

// handover returns the timings of a switchover's handover.
func (t Timings) handover() dfhandover.Timings {
	return dfhandover.Timings{
		InFlightTimeout: t.InFlightTimeout, CatchUpTimeout: t.CatchUpTimeout, CatchUpPollInterval: t.CatchUpPollInterval,
	}
}
