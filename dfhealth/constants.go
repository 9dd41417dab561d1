package dfhealth

import "dragonflygrade/dfclock"

const (
	// SilenceFloor is the lowest bound on silence. Pauses of a busy upstream
	// stay below it.
	SilenceFloor = 400 * dfclock.Millisecond
	// SilenceCap is the highest bound on silence; with a wide spread of answer
	// times it keeps detection within the target for the failover gap.
	SilenceCap = 1500 * dfclock.Millisecond
	// SpreadFactor is how many mean deviations an answer may be late, as in
	// TCP's retransmission timer, doubled because a false alarm costs more.
	SpreadFactor = 8
	// FirstSpan is the answer time assumed before the first answer.
	FirstSpan = 30 * dfclock.Millisecond
	// ProbePeriod is the time between probes, which silence always contains.
	ProbePeriod = 100 * dfclock.Millisecond
	// ReplicaSilence is how long a replica must not have heard the primary for
	// its report to count as evidence. It is below SilenceFloor by one probe
	// period, the age that a report may have.
	ReplicaSilence = 300 * dfclock.Millisecond
	// ReportAge is the age up to which a report shows contact.
	ReportAge = 700 * dfclock.Millisecond
	// SlowFactor is how many times the usual answer time is slow.
	SlowFactor = 4
	// SlowFloor is the least answer time that is slow.
	SlowFloor = 50 * dfclock.Millisecond
)

// Options has every bound of a tracker.
type Options struct {
	SilenceFloor, SilenceCap, FirstSpan, ProbePeriod dfclock.Millis
	ReplicaSilence, ReportAge, SlowFloor             dfclock.Millis
	SpreadFactor, SlowFactor                         dfclock.Millis
}

// DefaultOptions returns the bounds in force by default.
func DefaultOptions() Options {
	return Options{
		SilenceFloor: SilenceFloor, SilenceCap: SilenceCap, FirstSpan: FirstSpan, ProbePeriod: ProbePeriod,
		ReplicaSilence: ReplicaSilence, ReportAge: ReportAge, SlowFloor: SlowFloor,
		SpreadFactor: SpreadFactor, SlowFactor: SlowFactor,
	}
}
