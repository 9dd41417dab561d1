package dfadmit

import (
	"math"

	"dragonflygrade/dfclock"
)

// capacity estimates service time and the concurrency that pays.
type capacity struct {
	// limit is at least 1 and at most maxLimit.
	limit    float64
	maxLimit float64
	adaptive bool
	// busy and done are decaying sums of running time and completions. Their
	// ratio is exact below the clock's resolution, unlike single latencies.
	busy float64
	done float64
	// baseline is the best decaying latency seen, which rises slowly.
	baseline  float64
	latency   float64
	sampledAt dfclock.Millis
	shrunkAt  dfclock.Millis
	lastAt    dfclock.Millis
}

// advance counts the running time up to now.
func (c *capacity) advance(now dfclock.Millis, running int) {
	if now > c.lastAt {
		c.busy += float64(running) * float64(now-c.lastAt)
		c.lastAt = now
	}
}

// finished takes a completion with its latency. saturated is true if requests
// waited while it ran, so that a higher limit would be used.
func (c *capacity) finished(now, latency dfclock.Millis, overloaded, saturated bool) {
	c.busy *= serviceDecay
	c.done = c.done*serviceDecay + 1
	if !c.adaptive {
		return
	}
	sample := float64(latency)
	if c.latency == 0 {
		c.latency, c.baseline, c.sampledAt = sample, sample, now
	}
	c.latency += latencyWeight * (sample - c.latency)
	c.baseline *= 1 + baselineRise*float64(now-c.sampledAt)/float64(dfclock.Second)
	c.baseline = min(c.baseline, c.latency)
	c.sampledAt = now
	if c.limit < 2 {
		// Nothing queues at one request at a time, so the work itself is slower.
		c.baseline = c.latency
	}
	if overloaded || c.latency > c.baseline*toleratedRatio+toleratedExtra {
		c.shrink(now)
		return
	}
	if saturated {
		c.limit = min(c.maxLimit, c.limit+1/c.limit)
	}
}

func (c *capacity) shrink(now dfclock.Millis) {
	if float64(now-c.shrunkAt) < c.latency {
		return
	}
	c.shrunkAt = now
	c.limit = max(1, c.limit*shrinkBy)
}

// service returns the mean running time of a request in milliseconds.
func (c *capacity) service() float64 {
	if c.done == 0 {
		return 0
	}
	return c.busy / c.done
}

// wait returns the expected wait behind a number of requests.
func (c *capacity) wait(ahead int) dfclock.Millis {
	return dfclock.Millis(math.Ceil(float64(ahead) * c.service() / c.limit))
}

// slowStart releases writes after a promotion at a rate that doubles.
type slowStart struct {
	on      bool
	since   dfclock.Millis
	lastAt  dfclock.Millis
	credits float64
}

func (s *slowStart) begin(now dfclock.Millis) {
	*s = slowStart{on: true, since: now, lastAt: now, credits: 1}
}

// refill adds the credits of the time that passed.
func (s *slowStart) refill(now dfclock.Millis) {
	if !s.on || now <= s.lastAt {
		return
	}
	if now-s.since >= SlowStartEnd {
		s.on = false
		return
	}
	rate := SlowStartRate * math.Exp2(float64(now-s.since)/float64(SlowStartDouble))
	s.credits = min(s.credits+rate*float64(now-s.lastAt)/float64(dfclock.Second), max(1, rate/10))
	s.lastAt = now
}

func (s *slowStart) permits() bool {
	return !s.on || s.credits >= 1
}

func (s *slowStart) take() {
	if s.on {
		s.credits--
	}
}
