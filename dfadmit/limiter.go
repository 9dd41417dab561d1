package dfadmit

import (
	"math"

	"dragonflygrade/dfclock"
)

// limiter estimates the service time and adapts the concurrency limit by additive
// increase and multiplicative decrease.
type limiter struct {
	// limit is at least 1 and at most maxLimit.
	limit    float64
	maxLimit float64
	adaptive bool
	// busyTime and completions are decaying sums of running time and of completed
	// requests. Their ratio is exact below the clock's resolution, unlike the latency
	// of a single request.
	busyTime    float64
	completions float64
	// baselineLatency is the lowest value of averageLatency so far; it rises slowly.
	// averageLatency is an exponentially weighted moving average.
	baselineLatency float64
	averageLatency  float64
	sampledAt       dfclock.Millis
	decreasedAt     dfclock.Millis
	advancedAt      dfclock.Millis
}

// addBusyTime adds the running time since the last call.
func (l *limiter) addBusyTime(now dfclock.Millis, running int) {
	if now > l.advancedAt {
		l.busyTime += float64(running) * float64(now-l.advancedAt)
		l.advancedAt = now
	}
}

// recordCompletion records a completed request and adapts the limit. saturated is
// true if other requests are queued, so that a higher limit would be used.
func (l *limiter) recordCompletion(now, latency dfclock.Millis, overloaded, saturated bool) {
	l.busyTime *= completionDecay
	l.completions = l.completions*completionDecay + 1
	if !l.adaptive {
		return
	}
	sample := float64(latency)
	if l.averageLatency == 0 {
		l.averageLatency, l.baselineLatency, l.sampledAt = sample, sample, now
	}
	l.averageLatency += latencySampleWeight * (sample - l.averageLatency)
	l.baselineLatency *= 1 + baselineRisePerSecond*float64(now-l.sampledAt)/float64(dfclock.Second)
	l.baselineLatency = min(l.baselineLatency, l.averageLatency)
	l.sampledAt = now
	if l.limit < 2 {
		// A single request does not queue at the upstream, so a higher latency means
		// that the work itself takes longer.
		l.baselineLatency = l.averageLatency
	}
	if overloaded || l.averageLatency > l.baselineLatency*queueingLatencyRatio+queueingLatencyMargin {
		l.decreaseLimit(now)
		return
	}
	if saturated {
		l.limit = min(l.maxLimit, l.limit+1/l.limit)
	}
}

// decreaseLimit lowers the limit, at most once per average latency.
func (l *limiter) decreaseLimit(now dfclock.Millis) {
	if float64(now-l.decreasedAt) < l.averageLatency {
		return
	}
	l.decreasedAt = now
	l.limit = max(1, l.limit*limitDecreaseFactor)
}

// meanServiceTime returns the mean running time of a request in milliseconds, or 0
// before the first completion.
func (l *limiter) meanServiceTime() float64 {
	if l.completions == 0 {
		return 0
	}
	return l.busyTime / l.completions
}

// expectedWait returns the expected wait behind the given number of requests.
func (l *limiter) expectedWait(ahead int) dfclock.Millis {
	return dfclock.Millis(math.Ceil(float64(ahead) * l.meanServiceTime() / l.limit))
}

// slowStart is a token bucket that releases writes after a promotion at an
// exponentially rising rate.
type slowStart struct {
	active     bool
	startedAt  dfclock.Millis
	refilledAt dfclock.Millis
	tokens     float64
}

func (s *slowStart) start(now dfclock.Millis) {
	*s = slowStart{active: true, startedAt: now, refilledAt: now, tokens: 1}
}

// refill adds the tokens for the time since the last call.
func (s *slowStart) refill(now dfclock.Millis) {
	if !s.active || now <= s.refilledAt {
		return
	}
	if now-s.startedAt >= SlowStartDuration {
		s.active = false
		return
	}
	rate := SlowStartInitialRate * math.Exp2(float64(now-s.startedAt)/float64(SlowStartDoublingTime))
	s.tokens = min(s.tokens+rate*float64(now-s.refilledAt)/float64(dfclock.Second), max(1, rate/10))
	s.refilledAt = now
}

func (s *slowStart) allows() bool {
	return !s.active || s.tokens >= 1
}

func (s *slowStart) take() {
	if s.active {
		s.tokens--
	}
}
