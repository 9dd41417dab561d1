package dfadmit

import "dragonflygrade/dfclock"

// Defaults and bounds of admission.
const (
	// DefaultMaxQueued bounds the requests of a service that wait; more than a
	// few seconds of work would miss their deadlines anyway.
	DefaultMaxQueued = 1000
	// DefaultLimit is the concurrency before anything was measured.
	DefaultLimit = 8
	// DefaultMaxLimit bounds the adaptive concurrency.
	DefaultMaxLimit = 256
	// DefaultPassedMax is how often a waiting band is passed over for a better
	// one before it gets a turn, so that the lowest band keeps a ninth.
	DefaultPassedMax = 8
	// maxBands bounds the distinct priorities; further ones join the last band.
	maxBands = 16
	// maxCost bounds the cost of one ticket, so that a turn is found in bounded time.
	maxCost = 64

	// serviceDecay is what a completion leaves of the older ones; about the
	// last hundred count.
	serviceDecay = 0.99
	// toleratedRatio is the latency, in multiples of the best, that counts as queueing.
	toleratedRatio = 2.0
	// toleratedExtra keeps a latency of few milliseconds from counting as queueing.
	toleratedExtra = 2.0
	// shrinkBy is applied at most once per latency.
	shrinkBy = 0.9
	// baselineRise is the share per second by which the best latency rises, so
	// that one lucky moment does not count for ever. A faster rise would follow
	// the queueing that it is compared with.
	baselineRise = 0.005
	// latencyWeight is the weight of a new sample in the decaying latency.
	latencyWeight = 0.1

	// SlowStartRate is the first release rate after a promotion, in requests
	// per second. A new primary has a cold cache.
	SlowStartRate = 100.0
	// SlowStartDouble is the span in which the release rate doubles.
	SlowStartDouble = 150 * dfclock.Millisecond
	// SlowStartEnd ends the slow start; the rate is then 100 times the first.
	SlowStartEnd = 1 * dfclock.Second

	// DefaultRetryShare bounds retries to a share of requests.
	DefaultRetryShare = 0.1
	// retryBurst bounds the budget that quiet times accumulate.
	retryBurst = 20
	// RetryBase is the first span before a retry; it doubles with each attempt.
	RetryBase = 20 * dfclock.Millisecond
	// RetryMax bounds the span before a retry.
	RetryMax = 1 * dfclock.Second
)

// Options are the operator's settings of one service's queue.
type Options struct {
	MaxQueued int
	// Limit is the number of requests that run at once; if Adaptive is true, it
	// is where the limit starts.
	Limit    int
	Adaptive bool
	MaxLimit int
	// PassedMax is how often a waiting band is passed over before it gets a turn.
	PassedMax int
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{
		MaxQueued: DefaultMaxQueued,
		Limit:     DefaultLimit,
		Adaptive:  true,
		MaxLimit:  DefaultMaxLimit,
		PassedMax: DefaultPassedMax,
	}
}
