// Package dfplace chooses the upstream that a statement runs on, by the expected
// wait. It answers loads at which upstreams differ: a replica that lags, a slow
// upstream, a primary busy with writes, and a data centre that is far away.
package dfplace

import (
	"slices"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfposition"
)

const (
	// usualWork is the expected time of a statement before any was measured. It
	// lies between the shortest and the longest kind of the two users.
	defaultLatency = 25 * dfclock.Millisecond
	// smoothing is the weight of the newest of so many samples, as in TCP.
	smoothingFactor = 8
	// forgetSpan is how long a measured time counts; afterwards the usual one
	// does, so that an upstream that was slow is tried again.
	latencyTTL = dfclock.Second
	// lagTrust is how long a replica that was behind is passed over. Then one
	// read tries it again, which costs it nothing if it is still behind.
	lagTTL = 250 * dfclock.Millisecond
	// failureSpan is how long an upstream that failed is passed over while
	// others can serve. It doubles with each failure in a row up to failureCap.
	failureBackoff    = 200 * dfclock.Millisecond
	maxFailureBackoff = 2 * dfclock.Second
	// fullSpan is how long an upstream with a full queue is passed over: a part
	// of the time in which its slots work the queue off.
	queueFullBackoff = 60 * dfclock.Millisecond
	// fullWork is the time that a statement takes at least where the queue is
	// full. It fades like a measured time.
	queueFullLatency = 300 * dfclock.Millisecond
	// primaryPenalty keeps reads off the primary's slots, which writes need,
	// until a replica's wait is longer by this factor, in percent.
	primaryPenaltyPercent = 180
	// remotePenalty is the cost of a round trip to another data centre and of
	// its bytes, as a wait.
	remotePenalty = 40 * dfclock.Millisecond
)

// Need is what a read asks of a log.
type Requirement struct {
	Position dfposition.Position
	// At is the instant that the position covers; logs that are not further
	// behind than it lies back are likely to have the position.
	At dfclock.Millis
}

// candidate is what is known of one upstream.
type candidate struct {
	id    dffleet.ID
	local bool
	slots int
	// work is the smoothed time of a statement in sixteenths of a millisecond.
	latency    dfclock.Millis
	measuredAt dfclock.Millis
	// waiting counts this host's statements without a connection, and running
	// those that were sent.
	waiting int
	running int
	// position is the end of its log when it last answered.
	position dfposition.Position
	// lag is how far behind it was then.
	lag dfclock.Millis
	// seenAt is when lag was learned, or when a read was sent to learn it.
	lagKnownAt dfclock.Millis
	failures   int
	// openAfter is the instant before which it is passed over.
	excludedUntil dfclock.Millis
}

const latencyScale = 16

// Placer has the candidates of one service. It is not safe for concurrent use.
type Selector struct {
	candidates map[dffleet.ID]*candidate
}

// New returns a placer without candidates.
func New() *Selector {
	return &Selector{candidates: map[dffleet.ID]*candidate{}}
}

// Keep adds an upstream or updates what the list says of it.
func (p *Selector) Put(id dffleet.ID, local bool, slots int) {
	c := p.candidates[id]
	if c == nil {
		c = &candidate{id: id, latency: defaultLatency * latencyScale, measuredAt: -latencyTTL}
		p.candidates[id] = c
	}
	c.local, c.slots = local, max(1, slots)
}

// Forget drops an upstream.
func (p *Selector) Remove(id dffleet.ID) {
	delete(p.candidates, id)
}

// Waits counts a statement that waits for a connection.
func (p *Selector) Enqueue(id dffleet.ID) {
	if c := p.candidates[id]; c != nil {
		c.waiting++
	}
}

// Sent counts a statement that got its connection.
func (p *Selector) Start(id dffleet.ID) {
	if c := p.candidates[id]; c != nil {
		c.waiting = max(0, c.waiting-1)
		c.running++
	}
}

// Left takes a statement off the count that got no connection.
func (p *Selector) Cancel(id dffleet.ID) {
	if c := p.candidates[id]; c != nil {
		c.waiting = max(0, c.waiting-1)
	}
}

// Ended takes a statement off the count that was sent.
func (p *Selector) Finish(id dffleet.ID) {
	if c := p.candidates[id]; c != nil {
		c.running = max(0, c.running-1)
	}
}

// Answered records an answer that took a span.
func (p *Selector) RecordAnswer(now dfclock.Millis, id dffleet.ID, span dfclock.Millis) {
	c := p.candidates[id]
	if c == nil {
		return
	}
	c.latency = c.expectedLatency(now)
	c.latency += (span*latencyScale - c.latency) / smoothingFactor
	c.measuredAt = now
	c.failures = 0
	c.excludedUntil = 0
}

// Reached records the end of an upstream's log, and how far behind that was.
func (p *Selector) RecordPosition(now dfclock.Millis, id dffleet.ID, position dfposition.Position, lag dfclock.Millis) {
	if c := p.candidates[id]; c != nil {
		c.position, c.lag, c.lagKnownAt = position, lag, now
	}
}

// Failed records a connection or statement that failed for no reason of its own.
func (p *Selector) RecordFailure(now dfclock.Millis, id dffleet.ID) {
	c := p.candidates[id]
	if c == nil {
		return
	}
	c.excludedUntil = now.Add(min(maxFailureBackoff, failureBackoff<<min(c.failures, 4)))
	c.failures++
}

// expected is the measured time, which fades to the usual one.
func (c *candidate) expectedLatency(now dfclock.Millis) dfclock.Millis {
	age := now - c.measuredAt
	if age >= latencyTTL {
		return defaultLatency * latencyScale
	}
	return c.latency + (defaultLatency*latencyScale-c.latency)*age/latencyTTL
}

// wait estimates when a further statement would be answered. Measured times
// contain the queue at the upstream; this host's own queue comes on top.
func (c *candidate) expectedWait(now dfclock.Millis) dfclock.Millis {
	expected := c.expectedLatency(now)
	wait := expected + expected*dfclock.Millis(c.waiting)/dfclock.Millis(max(1, c.running))
	if !c.local {
		wait += remotePenalty * latencyScale
	}
	return wait
}

// score is the wait with the load that this host just added, which measured
// times do not show yet.
func (c *candidate) score(now dfclock.Millis) dfclock.Millis {
	return c.expectedWait(now) + c.expectedLatency(now)*dfclock.Millis(c.running)/dfclock.Millis(c.slots)
}

// covers tells whether the log is likely to have what the read needs. trial is
// true if only a read can tell.
func (c *candidate) mayCover(now dfclock.Millis, need Requirement) (covers, trial bool) {
	if !c.position.Less(need.Position) || need.At <= now-c.lag {
		return true, false
	}
	trial = now >= c.lagKnownAt.Add(lagTTL)
	return trial, trial
}

// Read chooses where a read runs. Upstreams in avoid were tried already. ok is
// false if none is open and likely to have the position; the leader always has
// it and is chosen if no replica is better.
func (p *Selector) SelectForRead(now dfclock.Millis, need Requirement, usable []dffleet.Upstream, leader dffleet.ID, avoid []dffleet.ID) (dffleet.ID, bool) {
	var best *candidate
	var bestWait dfclock.Millis
	bestTrial := false
	for _, upstream := range usable {
		c := p.candidates[upstream.ID]
		if c == nil || now.Before(c.excludedUntil) || slices.Contains(avoid, c.id) {
			continue
		}
		covers, trial := c.mayCover(now, need)
		if c.id != leader && !covers {
			continue
		}
		wait := c.score(now)
		if c.id == leader {
			wait = wait * primaryPenaltyPercent / 100
		}
		if upstream.Draining {
			wait *= 4
		}
		if best == nil || wait < bestWait {
			best, bestWait, bestTrial = c, wait, trial
		}
	}
	if best == nil {
		return "", false
	}
	if bestTrial {
		best.lagKnownAt = now
	}
	return best.id, true
}

// Full records that an upstream had no place left in its queue. It answers loads
// of many hosts, each of which measures too few statements to see the queue.
func (p *Selector) RecordQueueFull(now dfclock.Millis, id dffleet.ID) {
	if c := p.candidates[id]; c != nil {
		c.excludedUntil = max(c.excludedUntil, now.Add(queueFullBackoff))
		c.latency = max(c.expectedLatency(now), queueFullLatency*latencyScale)
		c.measuredAt = now
	}
}

// OpenIn returns how long an upstream is still passed over, or zero.
func (p *Selector) AvailableIn(now dfclock.Millis, id dffleet.ID) dfclock.Millis {
	c := p.candidates[id]
	if c == nil {
		return 0
	}
	return max(0, c.excludedUntil-now)
}

// Wait estimates when a statement on an upstream would be answered.
func (p *Selector) ExpectedWait(now dfclock.Millis, id dffleet.ID) dfclock.Millis {
	c := p.candidates[id]
	if c == nil {
		return dfclock.Never
	}
	return c.expectedWait(now) / latencyScale
}
