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
	usualWork = 25 * dfclock.Millisecond
	// smoothing is the weight of the newest of so many samples, as in TCP.
	smoothing = 8
	// forgetSpan is how long a measured time counts; afterwards the usual one
	// does, so that an upstream that was slow is tried again.
	forgetSpan = dfclock.Second
	// lagTrust is how long a replica that was behind is passed over. Then one
	// read tries it again, which costs it nothing if it is still behind.
	lagTrust = 250 * dfclock.Millisecond
	// failureSpan is how long an upstream that failed is passed over while
	// others can serve. It doubles with each failure in a row up to failureCap.
	failureSpan = 200 * dfclock.Millisecond
	failureCap  = 2 * dfclock.Second
	// fullSpan is how long an upstream with a full queue is passed over: a part
	// of the time in which its slots work the queue off.
	fullSpan = 60 * dfclock.Millisecond
	// fullWork is the time that a statement takes at least where the queue is
	// full. It fades like a measured time.
	fullWork = 300 * dfclock.Millisecond
	// primaryPenalty keeps reads off the primary's slots, which writes need,
	// until a replica's wait is longer by this factor, in percent.
	primaryPenalty = 180
	// remotePenalty is the cost of a round trip to another data centre and of
	// its bytes, as a wait.
	remotePenalty = 40 * dfclock.Millisecond
)

// Need is what a read asks of a log.
type Need struct {
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
	work       dfclock.Millis
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
	seenAt   dfclock.Millis
	failures int
	// openAfter is the instant before which it is passed over.
	openAfter dfclock.Millis
}

const scale = 16

// Placer has the candidates of one service. It is not safe for concurrent use.
type Placer struct {
	candidates map[dffleet.ID]*candidate
}

// New returns a placer without candidates.
func New() *Placer {
	return &Placer{candidates: map[dffleet.ID]*candidate{}}
}

// Keep adds an upstream or updates what the list says of it.
func (p *Placer) Keep(id dffleet.ID, local bool, slots int) {
	c := p.candidates[id]
	if c == nil {
		c = &candidate{id: id, work: usualWork * scale, measuredAt: -forgetSpan}
		p.candidates[id] = c
	}
	c.local, c.slots = local, max(1, slots)
}

// Forget drops an upstream.
func (p *Placer) Forget(id dffleet.ID) {
	delete(p.candidates, id)
}

// Waits counts a statement that waits for a connection.
func (p *Placer) Waits(id dffleet.ID) {
	if c := p.candidates[id]; c != nil {
		c.waiting++
	}
}

// Sent counts a statement that got its connection.
func (p *Placer) Sent(id dffleet.ID) {
	if c := p.candidates[id]; c != nil {
		c.waiting = max(0, c.waiting-1)
		c.running++
	}
}

// Left takes a statement off the count that got no connection.
func (p *Placer) Left(id dffleet.ID) {
	if c := p.candidates[id]; c != nil {
		c.waiting = max(0, c.waiting-1)
	}
}

// Ended takes a statement off the count that was sent.
func (p *Placer) Ended(id dffleet.ID) {
	if c := p.candidates[id]; c != nil {
		c.running = max(0, c.running-1)
	}
}

// Answered records an answer that took a span.
func (p *Placer) Answered(now dfclock.Millis, id dffleet.ID, span dfclock.Millis) {
	c := p.candidates[id]
	if c == nil {
		return
	}
	c.work = c.expected(now)
	c.work += (span*scale - c.work) / smoothing
	c.measuredAt = now
	c.failures = 0
	c.openAfter = 0
}

// Reached records the end of an upstream's log, and how far behind that was.
func (p *Placer) Reached(now dfclock.Millis, id dffleet.ID, position dfposition.Position, lag dfclock.Millis) {
	if c := p.candidates[id]; c != nil {
		c.position, c.lag, c.seenAt = position, lag, now
	}
}

// Failed records a connection or statement that failed for no reason of its own.
func (p *Placer) Failed(now dfclock.Millis, id dffleet.ID) {
	c := p.candidates[id]
	if c == nil {
		return
	}
	c.openAfter = now.Add(min(failureCap, failureSpan<<min(c.failures, 4)))
	c.failures++
}

// expected is the measured time, which fades to the usual one.
func (c *candidate) expected(now dfclock.Millis) dfclock.Millis {
	age := now - c.measuredAt
	if age >= forgetSpan {
		return usualWork * scale
	}
	return c.work + (usualWork*scale-c.work)*age/forgetSpan
}

// wait estimates when a further statement would be answered. Measured times
// contain the queue at the upstream; this host's own queue comes on top.
func (c *candidate) wait(now dfclock.Millis) dfclock.Millis {
	expected := c.expected(now)
	wait := expected + expected*dfclock.Millis(c.waiting)/dfclock.Millis(max(1, c.running))
	if !c.local {
		wait += remotePenalty * scale
	}
	return wait
}

// score is the wait with the load that this host just added, which measured
// times do not show yet.
func (c *candidate) score(now dfclock.Millis) dfclock.Millis {
	return c.wait(now) + c.expected(now)*dfclock.Millis(c.running)/dfclock.Millis(c.slots)
}

// covers tells whether the log is likely to have what the read needs. trial is
// true if only a read can tell.
func (c *candidate) covers(now dfclock.Millis, need Need) (covers, trial bool) {
	if !c.position.Less(need.Position) || need.At <= now-c.lag {
		return true, false
	}
	trial = now >= c.seenAt.Add(lagTrust)
	return trial, trial
}

// Read chooses where a read runs. Upstreams in avoid were tried already. ok is
// false if none is open and likely to have the position; the leader always has
// it and is chosen if no replica is better.
func (p *Placer) Read(now dfclock.Millis, need Need, usable []dffleet.Upstream, leader dffleet.ID, avoid []dffleet.ID) (dffleet.ID, bool) {
	var best *candidate
	var bestWait dfclock.Millis
	bestTrial := false
	for _, upstream := range usable {
		c := p.candidates[upstream.ID]
		if c == nil || now.Before(c.openAfter) || slices.Contains(avoid, c.id) {
			continue
		}
		covers, trial := c.covers(now, need)
		if c.id != leader && !covers {
			continue
		}
		wait := c.score(now)
		if c.id == leader {
			wait = wait * primaryPenalty / 100
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
		best.seenAt = now
	}
	return best.id, true
}

// Full records that an upstream had no place left in its queue. It answers loads
// of many hosts, each of which measures too few statements to see the queue.
func (p *Placer) Full(now dfclock.Millis, id dffleet.ID) {
	if c := p.candidates[id]; c != nil {
		c.openAfter = max(c.openAfter, now.Add(fullSpan))
		c.work = max(c.expected(now), fullWork*scale)
		c.measuredAt = now
	}
}

// OpenIn returns how long an upstream is still passed over, or zero.
func (p *Placer) OpenIn(now dfclock.Millis, id dffleet.ID) dfclock.Millis {
	c := p.candidates[id]
	if c == nil {
		return 0
	}
	return max(0, c.openAfter-now)
}

// Wait estimates when a statement on an upstream would be answered.
func (p *Placer) Wait(now dfclock.Millis, id dffleet.ID) dfclock.Millis {
	c := p.candidates[id]
	if c == nil {
		return dfclock.Never
	}
	return c.wait(now) / scale
}
