package dfroute

import "dragonflygrade/dfclock"

// Defaults and limits of routing.
const (
	// DefaultPeerTimeout is how long RungPeers waits for other slot holders. It
	// covers a round trip between data centres.
	DefaultPeerTimeout = 15 * dfclock.Millisecond
	// DefaultBarrierTimeout is how long RungBarrier waits for a barrier position,
	// which takes two round trips between data centres.
	DefaultBarrierTimeout = 250 * dfclock.Millisecond
	// DefaultConfirmTimeout is how long RungPrimary waits for a majority to confirm
	// the primary.
	DefaultConfirmTimeout = 500 * dfclock.Millisecond
	// DefaultMaxReportAge is the age of its last report above which an upstream
	// gets no reads.
	DefaultMaxReportAge = 2 * dfclock.Second
	// DefaultMaxReplicaWait is the longest wait for a replica that lags slightly.
	// Users at a service counter notice longer delays.
	DefaultMaxReplicaWait = 40 * dfclock.Millisecond
	// DefaultReportInterval is the usual time between two reports of an upstream.
	DefaultReportInterval = 50 * dfclock.Millisecond
	// RetryAfterPromotion is the retry hint returned to callers when the group has
	// no primary.
	RetryAfterPromotion = 500 * dfclock.Millisecond

	// DefaultResponseTimeout is how long an upstream with outstanding requests may
	// go without a response before it is ejected.
	DefaultResponseTimeout = 500 * dfclock.Millisecond
	// MinSlowLatency is the latency up to which no upstream counts as slow.
	MinSlowLatency = 50 * dfclock.Millisecond
	// slowLatencyRatio is the multiple of the lowest latency of the other upstreams
	// above which an upstream is ejected as slow.
	slowLatencyRatio = 8
	// failuresToEject is the number of consecutive failures that eject an upstream.
	failuresToEject = 3
	// minEjectionPeriod and maxEjectionPeriod limit the time until an ejected
	// upstream is probed.
	minEjectionPeriod = 1 * dfclock.Second
	maxEjectionPeriod = 30 * dfclock.Second

	// latencyWeight is the weight of a new sample in the moving average of latency.
	latencyWeight = 0.125
	// latencyBase, in milliseconds, is added to the latency in the score, so that
	// upstreams that answer within a millisecond are still compared by load.
	latencyBase = 0.5
	// applyRateWeight is the weight of a new sample in the moving average of the
	// apply rate.
	applyRateWeight = 0.25

	// HedgeShare is the largest share of reads that are hedged.
	HedgeShare = 0.02
	// hedgeBurst is the largest number of hedged reads that the budget accumulates
	// while none are needed.
	hedgeBurst = 10
	// hedgeLatencyRatio is the multiple of the average latency after which a read
	// is worth sending a second time.
	hedgeLatencyRatio = 4
	// minHedgeDelay prevents hedging on short latency spikes.
	minHedgeDelay = 10 * dfclock.Millisecond

	// maxReports is the length limit of FreshnessHistory.
	maxReports = 48
	// maxUpstreams is the number of upstreams of a group that are considered.
	maxUpstreams = 64
)

// Rungs are the steps of read routing in the order in which they are tried, from
// the cheapest to the most expensive. Metrics and reports show them as "rung".
const (
	RungToken   = 1
	RungKnown   = 2
	RungPeers   = 3
	RungBarrier = 4
	RungPrimary = 5
)

// Options configures a Router.
type Options struct {
	PeerTimeout    dfclock.Millis
	BarrierTimeout dfclock.Millis
	ConfirmTimeout dfclock.Millis
	MaxReportAge   dfclock.Millis
	// MaxReplicaWait is the longest expected wait for a lagging replica that is
	// preferred to reading from the primary. Zero disables waiting.
	MaxReplicaWait  dfclock.Millis
	ReportInterval  dfclock.Millis
	ResponseTimeout dfclock.Millis
	// BusyThreshold is the number of outstanding requests from which an upstream
	// ranks below those of other data centres. Zero sets no threshold.
	BusyThreshold int
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		PeerTimeout:     DefaultPeerTimeout,
		BarrierTimeout:  DefaultBarrierTimeout,
		ConfirmTimeout:  DefaultConfirmTimeout,
		MaxReportAge:    DefaultMaxReportAge,
		MaxReplicaWait:  DefaultMaxReplicaWait,
		ReportInterval:  DefaultReportInterval,
		ResponseTimeout: DefaultResponseTimeout,
	}
}
