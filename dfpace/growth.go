package dfpace

import (
	"math"

	"dragonflygrade/dfclock"
)

// Growth is the rule by which a limit grows: Gradient, Additive, Multiplicative or
// Unlimited. docs/design/pace.md compares them.
type Growth interface {
	// next returns the limit after a good answer.
	next(sample) float64
}

// sample is a good answer and what a rule may take into account.
type sample struct {
	// limit is the limit in force, and start the first one.
	limit, start float64
	latency      dfclock.Millis
	// base is the lowest latency of the last one to two seconds.
	base dfclock.Millis
	// elapsed is the time since the answer before.
	elapsed dfclock.Millis
}

const (
	// gradientTolerance is the latency, as a multiple of the lowest recent one, at
	// which the limit no longer grows. The lowest of a few statements takes about half
	// of the mean, so half of the wait at this point is queue.
	gradientTolerance = 2.75
	// growthSpan is the time in which a limit grows by a factor of e. With 0.3 of the
	// slots at the start, an upstream is filled within 3 s.
	growthSpan = 900 * dfclock.Millisecond
	// shrinkFactor is by how much faster a gradient lowers a limit, so that a queue
	// does not outlast the growth that built it.
	shrinkFactor = 3
	// queuedPart is the part of that rate at which a limit is lowered by each report of a
	// queue. All hosts hear of the same queue.
	queuedPart = 0.1
	// leastFactor bounds what one answer takes from a limit. Hosts with rare answers
	// would all leave a queue that each of them saw once.
	leastFactor = 0.7
	// maxElapsed bounds the growth after one answer: hosts that see one answer per
	// second do not see that all of them grow.
	maxElapsed = 700 * dfclock.Millisecond
)

// Gradient grows the limit in proportion to how far the latency is from
// gradientTolerance times the lowest recent one, and lowers it above.
type Gradient struct{}

// Additive adds the first limit in every growthSpan.
type Additive struct{}

// Multiplicative grows the limit by a factor of e in every growthSpan.
type Multiplicative struct{}

// Unlimited lifts every limit at once. It is the baseline of comparisons.
type Unlimited struct{}

func (Gradient) next(s sample) float64 {
	slope := 1 - (float64(s.latency)/float64(max(1, s.base))-1)/(gradientTolerance-1)
	return s.grow(max(-1, min(1, slope)))
}

func (Additive) next(s sample) float64 {
	return s.limit + s.start*s.spans()
}

func (Multiplicative) next(s sample) float64 {
	return s.grow(1)
}

func (Unlimited) next(sample) float64 {
	return math.Inf(1)
}

// follow returns the limit after a good answer through a carrier. A carrier has a queue
// when about two statements for each slot are under way, so its reports show the queue
// of the upstream to hosts that get few answers.
func (s sample) follow(queued bool) float64 {
	if queued {
		return s.grow(-queuedPart)
	}
	return s.grow(1)
}

// grow returns the limit grown by the given part of the full rate.
func (s sample) grow(part float64) float64 {
	if part < 0 {
		return s.limit * max(leastFactor, math.Exp(shrinkFactor*part*s.spans()))
	}
	return s.limit * math.Exp(part*s.spans())
}

// spans is the time since the answer before in units of growthSpan.
func (s sample) spans() float64 {
	return float64(min(maxElapsed, s.elapsed)) / float64(growthSpan)
}
