package dfhealth

import "dragonflygrade/dfclock"

const (
	// MinSilenceTimeout is the lower limit of the silence timeout. Pauses of a
	// busy upstream are shorter.
	MinSilenceTimeout = 400 * dfclock.Millisecond
	// MaxSilenceTimeout is the upper limit of the silence timeout. It keeps
	// detection within the failover gap target when response times vary widely.
	MaxSilenceTimeout = 1500 * dfclock.Millisecond
	// DeviationFactor is the number of mean deviations added to the mean response
	// time. It is twice that of TCP's retransmission timer, because a false
	// positive costs more here.
	DeviationFactor = 8
	// InitialResponseTime is the mean response time assumed before the first
	// sample.
	InitialResponseTime = 30 * dfclock.Millisecond
	// ProbePeriod is the time between probes. An idle upstream is always silent
	// that long, so the silence timeout includes it.
	ProbePeriod = 100 * dfclock.Millisecond
	// MinPrimarySilence is how long a replica must not have heard from the primary
	// for its report to count as evidence of failure. It is one ProbePeriod below
	// MinSilenceTimeout, because a report may be that old.
	MinPrimarySilence = 300 * dfclock.Millisecond
	// MaxReportAge is the age up to which a report proves that its upstream is
	// reachable.
	MaxReportAge = 700 * dfclock.Millisecond
	// SlowFactor is the multiple of the mean response time from which a response
	// is slow.
	SlowFactor = 4
	// MinSlowResponseTime is the response time below which no response is slow.
	MinSlowResponseTime = 50 * dfclock.Millisecond
)

// Options configures a Tracker. The package constants of the same names are the
// defaults.
type Options struct {
	MinSilenceTimeout, MaxSilenceTimeout, InitialResponseTime, ProbePeriod dfclock.Millis
	MinPrimarySilence, MaxReportAge, MinSlowResponseTime                   dfclock.Millis
	DeviationFactor, SlowFactor                                            dfclock.Millis
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		MinSilenceTimeout: MinSilenceTimeout, MaxSilenceTimeout: MaxSilenceTimeout,
		InitialResponseTime: InitialResponseTime, ProbePeriod: ProbePeriod,
		MinPrimarySilence: MinPrimarySilence, MaxReportAge: MaxReportAge, MinSlowResponseTime: MinSlowResponseTime,
		DeviationFactor: DeviationFactor, SlowFactor: SlowFactor,
	}
}
