package dfadmit

import "dragonflygrade/dfclock"

// Defaults and bounds of admission control.
const (
	// DefaultMaxQueued bounds the queued requests of a service. Requests behind
	// more than a few seconds of work would miss their deadlines anyway.
	DefaultMaxQueued = 1000
	// DefaultLimit is the concurrency limit before any request has completed.
	DefaultLimit = 8
	// DefaultMaxLimit bounds the adaptive concurrency limit.
	DefaultMaxLimit = 256
	// DefaultMaxSkips is how often a band is skipped for a higher one before it is
	// served, so that the lowest band gets a ninth of the starts.
	DefaultMaxSkips = 8
	// maxBands bounds the number of bands; requests of further priorities join the
	// lowest one.
	maxBands = 16
	// maxCost bounds the cost of one request and thereby the number of rounds until
	// the next request is found.
	maxCost = 64

	// completionDecay is the factor by which a completion discounts the older ones;
	// about the last hundred count.
	completionDecay = 0.99
	// queueingLatencyRatio is the average latency, as a multiple of the baseline,
	// above which requests are taken to be queueing at the upstream.
	queueingLatencyRatio = 2.0
	// queueingLatencyMargin is added to that threshold, in milliseconds, so that a
	// latency of a few milliseconds does not count as queueing.
	queueingLatencyMargin = 2.0
	// limitDecreaseFactor is applied at most once per average latency.
	limitDecreaseFactor = 0.9
	// baselineRisePerSecond is the fraction by which the baseline latency rises per
	// second, so that a single low value does not count forever. A faster rise would
	// follow the queueing that the baseline is meant to reveal.
	baselineRisePerSecond = 0.005
	// latencySampleWeight is the weight of a new sample in the average latency.
	latencySampleWeight = 0.1

	// SlowStartInitialRate is the initial release rate after a promotion, in requests
	// per second. It is low because a new primary has a cold cache.
	SlowStartInitialRate = 100.0
	// SlowStartDoublingTime is the time in which the release rate doubles.
	SlowStartDoublingTime = 150 * dfclock.Millisecond
	// SlowStartDuration is the length of the slow start. At its end the rate is about
	// 100 times the initial one.
	SlowStartDuration = 1 * dfclock.Second

	// DefaultRetryRatio is the maximum ratio of retries to requests.
	DefaultRetryRatio = 0.1
	// retryBurst bounds the tokens that accumulate while little is retried.
	retryBurst = 20
	// RetryBaseDelay is the delay before the first retry; it doubles with each
	// attempt.
	RetryBaseDelay = 20 * dfclock.Millisecond
	// RetryMaxDelay bounds the delay before a retry.
	RetryMaxDelay = 1 * dfclock.Second
)

// Options are the operator's settings for the queue of one service.
type Options struct {
	MaxQueued int
	// Limit is the maximum number of concurrent requests. If Adaptive is true, it
	// is the initial value.
	Limit    int
	Adaptive bool
	MaxLimit int
	// MaxSkips is how often a band is skipped for a higher one before it is served.
	MaxSkips int
}

// DefaultOptions returns the default settings.
func DefaultOptions() Options {
	return Options{
		MaxQueued: DefaultMaxQueued,
		Limit:     DefaultLimit,
		Adaptive:  true,
		MaxLimit:  DefaultMaxLimit,
		MaxSkips:  DefaultMaxSkips,
	}
}
