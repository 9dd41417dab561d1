package dfroute

import "dragonflygrade/dfclock"

// Bounds of routing.
const (
	// DefaultAskSpan is how long rung 3 waits for other slot holders; it covers
	// a round trip between data centres.
	DefaultAskSpan = 15 * dfclock.Millisecond
	// DefaultBarrierSpan is how long rung 4 waits for a barrier position, which
	// takes two round trips between data centres.
	DefaultBarrierSpan = 250 * dfclock.Millisecond
	// DefaultConfirmSpan is how long rung 5 waits for a confirmed primary.
	DefaultConfirmSpan = 500 * dfclock.Millisecond
	// DefaultMaxSilence is the age of a report after which an upstream gets no reads.
	DefaultMaxSilence = 2 * dfclock.Second
	// DefaultWaitMax is the longest wait for a replica that is slightly behind;
	// a longer one is noticed by people at a counter.
	DefaultWaitMax = 40 * dfclock.Millisecond
	// DefaultReportSpan is the usual span between two reports of an upstream.
	DefaultReportSpan = 50 * dfclock.Millisecond
	// RetryAfterPromotion is the hint for callers that find no primary.
	RetryAfterPromotion = 500 * dfclock.Millisecond

	// DefaultSilentAfter ejects an upstream that owes answers for that long.
	DefaultSilentAfter = 500 * dfclock.Millisecond
	// SlowFloor is the latency below which no upstream counts as slow.
	SlowFloor = 50 * dfclock.Millisecond
	// slowRatio ejects an upstream that is this much slower than the best other.
	slowRatio = 8
	// failuresToEject are consecutive failures.
	failuresToEject = 3
	// firstEjection and maxEjection bound the span until an ejected upstream is probed.
	firstEjection = 1 * dfclock.Second
	maxEjection   = 30 * dfclock.Second

	// latencyWeight is the weight of a new sample in the decaying latency.
	latencyWeight = 0.125
	// latencyBase keeps upstreams that answer within a millisecond comparable by load.
	latencyBase = 0.5
	// rateWeight is the weight of a new sample in the decaying apply rate.
	rateWeight = 0.25

	// HedgeShare bounds hedged reads to a share of all reads.
	HedgeShare = 0.02
	// hedgeBurst bounds the budget that quiet times accumulate.
	hedgeBurst = 10
	// hedgeAfterRatio times the usual latency is when a second read is worth its cost.
	hedgeAfterRatio = 4
	// hedgeAfterFloor keeps short hiccups from being hedged.
	hedgeAfterFloor = 10 * dfclock.Millisecond

	// maxReports bounds the history of primary reports.
	maxReports = 48
	// maxUpstreams bounds the upstreams of a group that are considered.
	maxUpstreams = 64
)

// Rungs of the read ladder.
const (
	RungToken   = 1
	RungKnown   = 2
	RungPeers   = 3
	RungBarrier = 4
	RungPrimary = 5
)

// Options are the operator's settings for routing.
type Options struct {
	AskSpan     dfclock.Millis
	BarrierSpan dfclock.Millis
	ConfirmSpan dfclock.Millis
	MaxSilence  dfclock.Millis
	// WaitMax is the longest expected wait for a replica that is preferred to
	// the primary; zero never waits.
	WaitMax     dfclock.Millis
	ReportSpan  dfclock.Millis
	SilentAfter dfclock.Millis
	// Busy is the number of outstanding requests from which an upstream of
	// another data centre is preferred to this one; zero sets no bound.
	Busy int
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{
		AskSpan:     DefaultAskSpan,
		BarrierSpan: DefaultBarrierSpan,
		ConfirmSpan: DefaultConfirmSpan,
		MaxSilence:  DefaultMaxSilence,
		WaitMax:     DefaultWaitMax,
		ReportSpan:  DefaultReportSpan,
		SilentAfter: DefaultSilentAfter,
	}
}
