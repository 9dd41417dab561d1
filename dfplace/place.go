// Package dfplace selects the upstream that a statement runs on, by the expected
// wait. It handles loads in which upstreams differ: a replica that lags, a slow
// upstream, a primary busy with writes, and a remote data centre.
package dfplace

import (
	"slices"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfpace"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfreport"
)

const (
	// defaultLatency is the expected latency of a statement before one was
	// measured. It lies between the shortest and the longest kind of statement of
	// the two known deployments.
	defaultLatency = 25 * dfclock.Millisecond
	// smoothingFactor is the inverse weight of a new sample in the moving average
	// of the latency, as for the round-trip time in TCP.
	smoothingFactor = 8
	// latencyTTL is how long a measured latency counts. Afterwards defaultLatency
	// does, so that an upstream that was slow is tried again.
	latencyTTL = dfclock.Second
	// lagTTL is how long a replica that was behind is not selected. Then one read
	// tries it again, which costs the replica nothing if it is still behind.
	lagTTL = 250 * dfclock.Millisecond
	// failureBackoff is how long an upstream that failed is not selected while
	// others can serve. It doubles with each consecutive failure up to
	// maxFailureBackoff.
	failureBackoff    = 200 * dfclock.Millisecond
	maxFailureBackoff = 2 * dfclock.Second
	// queueFullBackoff is how long an upstream with a full queue is not selected. It
	// is a part of the time in which the upstream processes the queue.
	queueFullBackoff = 60 * dfclock.Millisecond
	// queueFullLatency is the least latency that is expected of an upstream with a
	// full queue. It decays like a measured latency.
	queueFullLatency = 300 * dfclock.Millisecond
	// primaryPenaltyPercent scales the primary's wait, so that reads leave its slots
	// to writes until the wait of every replica is longer by this factor.
	primaryPenaltyPercent = 180
	// remotePenalty is the cost of a round trip to another data centre and of its
	// traffic, expressed as a wait.
	remotePenalty = 40 * dfclock.Millisecond
)

// Requirement is the log position that a read needs.
type Requirement struct {
	Position dfposition.Position
	// At is the instant that the position covers. Logs that lag by no more than the
	// age of this instant are likely to have reached the position.
	At dfclock.Millis
}

// candidate is the state of one upstream.
type candidate struct {
	id    dffleet.ID
	local bool
	slots int
	// latency is the moving average of a statement's latency, in units of
	// 1/latencyScale ms.
	latency    dfclock.Millis
	measuredAt dfclock.Millis
	// waiting counts this host's statements that wait for a connection, and running
	// those that were sent.
	waiting int
	running int
	// position is the end of the upstream's log when it last answered.
	position dfposition.Position
	// lag is how far the log was behind then.
	lag dfclock.Millis
	// lagKnownAt is when lag was learned, or when a read was last sent to learn it.
	lagKnownAt dfclock.Millis
	failures   int
	// excludedUntil is the instant before which the upstream is not selected.
	excludedUntil dfclock.Millis
	// carriers has the IDs of the hosts that carry the upstream, or none if every host
	// has connections of its own. reports has what they reported.
	carriers []string
	reports  *dfreport.Ledger
}

// latencyScale is the number of units of a fixed-point latency in a millisecond.
const latencyScale = 16

// Selector holds the candidates of one service. It is not safe for concurrent use.
type Selector struct {
	candidates map[dffleet.ID]*candidate
	pace       *dfpace.Pace
	// inUse is true once an upstream answered. Before that, upstreams are new to this
	// host only.
	inUse bool
	// choice is how an upstream is chosen where carriers report, and random its source.
	choice Choice
	random func() float64
	// moved counts the reads that a report moved to another upstream.
	moved int
}

// New returns a selector without candidates.
func New() *Selector {
	return NewWithPace(dfpace.New(dfpace.Gradient{}, func() float64 { return 0 }))
}

// NewWithPace returns a selector without candidates. The pace must have none either.
func NewWithPace(pace *dfpace.Pace) *Selector {
	return NewWithReports(pace, Weighted{}, func() float64 { return 0.5 })
}

// NewWithReports is like NewWithPace. random returns a number in [0, 1) that differs
// between hosts. It is used where carriers report.
func NewWithReports(pace *dfpace.Pace, choice Choice, random func() float64) *Selector {
	return &Selector{candidates: map[dffleet.ID]*candidate{}, pace: pace, choice: choice, random: random}
}

// Put adds an upstream, or updates whether it is local and its number of slots.
func (s *Selector) Put(id dffleet.ID, local bool, slots int) {
	c := s.candidates[id]
	if c == nil {
		c = &candidate{id: id, latency: defaultLatency * latencyScale, measuredAt: -latencyTTL, reports: dfreport.NewLedger()}
		s.candidates[id] = c
	}
	c.local, c.slots = local, max(1, slots)
	s.pace.Put(id, slots)
}

// Remove removes an upstream.
func (s *Selector) Remove(id dffleet.ID) {
	delete(s.candidates, id)
	s.pace.Remove(id)
}

// StartPace paces an upstream that has just started. On a host that has just started
// itself it does nothing.
func (s *Selector) StartPace(now dfclock.Millis, id dffleet.ID) {
	if s.inUse {
		s.pace.Start(now, id, dfpace.Started)
	}
}

// SetLeader sets the leader. One that replaces another is paced.
func (s *Selector) SetLeader(now dfclock.Millis, id dffleet.ID, promoted bool) {
	s.pace.SetLeader(id)
	if promoted {
		s.pace.Start(now, id, dfpace.Promoted)
	}
}

// SetHosts sets the number of hosts that share the upstreams.
func (s *Selector) SetHosts(hosts int) {
	s.pace.SetHosts(hosts)
}

// Events returns the changes of the pace since the last call.
func (s *Selector) Events() []dfpace.Event {
	return s.pace.Events()
}

// PaceDelay returns how long the pace delays a statement that only this upstream can
// run, or zero.
func (s *Selector) PaceDelay(now dfclock.Millis, id dffleet.ID) dfclock.Millis {
	return s.pace.AvailableIn(now, id)
}

// Limit returns the limit that paces an upstream. ok is false if there is none.
func (s *Selector) Limit(id dffleet.ID) (limit float64, ok bool) {
	return s.pace.Limit(id)
}

// Admit counts a statement that is sent to a selected upstream against its limit.
func (s *Selector) Admit(now dfclock.Millis, id dffleet.ID) {
	s.pace.Admit(now, id)
}

// Enqueue counts a statement that waits for a connection.
func (s *Selector) Enqueue(id dffleet.ID) {
	if c := s.candidates[id]; c != nil {
		c.waiting++
	}
}

// Start moves a statement from the waiting to the running ones.
func (s *Selector) Start(id dffleet.ID) {
	if c := s.candidates[id]; c != nil {
		c.waiting = max(0, c.waiting-1)
		c.running++
	}
}

// Cancel uncounts a waiting statement that got no connection.
func (s *Selector) Cancel(id dffleet.ID) {
	if c := s.candidates[id]; c != nil {
		c.waiting = max(0, c.waiting-1)
	}
	s.pace.Cancel(id)
}

// Finish uncounts a running statement.
func (s *Selector) Finish(id dffleet.ID) {
	if c := s.candidates[id]; c != nil {
		c.running = max(0, c.running-1)
	}
}

// RecordAnswer records the latency of an answer.
func (s *Selector) RecordAnswer(now dfclock.Millis, id dffleet.ID, latency dfclock.Millis) {
	s.recordLatency(now, id, latency)
	s.pace.RecordGood(now, id, latency)
}

func (s *Selector) recordLatency(now dfclock.Millis, id dffleet.ID, latency dfclock.Millis) {
	c := s.candidates[id]
	if c == nil {
		return
	}
	c.latency = c.expectedLatency(now)
	c.latency += (latency*latencyScale - c.latency) / smoothingFactor
	c.measuredAt = now
	c.failures = 0
	c.excludedUntil = 0
	s.inUse = true
}

// RecordStatementFailure records that a statement failed at the upstream, for no
// fault of the statement. One failure says little, so the upstream stays selectable
// until the pace sets it aside.
func (s *Selector) RecordStatementFailure(now dfclock.Millis, id dffleet.ID) {
	s.pace.RecordFailure(now, id)
}

// RecordRefusal records an answer that says nothing about the upstream's condition,
// such as one of a replica that is behind.
func (s *Selector) RecordRefusal(id dffleet.ID) {
	s.pace.Cancel(id)
}

// RecordPosition records the end of an upstream's log and how far it was behind.
func (s *Selector) RecordPosition(now dfclock.Millis, id dffleet.ID, position dfposition.Position, lag dfclock.Millis) {
	if c := s.candidates[id]; c != nil {
		c.position, c.lag, c.lagKnownAt = position, lag, now
	}
}

// RecordConnectionLost records that a connection to the upstream was lost, could not
// be opened, or was not answered in time.
func (s *Selector) RecordConnectionLost(now dfclock.Millis, id dffleet.ID) {
	s.pace.RecordLoss(now, id)
	s.backOff(now, id)
}

// RecordFailure records that an upstream could not be used. It is no evidence about
// its answers, because a carrier host may be the cause.
func (s *Selector) RecordFailure(now dfclock.Millis, id dffleet.ID) {
	s.pace.Cancel(id)
	s.backOff(now, id)
}

func (s *Selector) backOff(now dfclock.Millis, id dffleet.ID) {
	c := s.candidates[id]
	if c == nil {
		return
	}
	c.excludedUntil = now.Add(min(maxFailureBackoff, failureBackoff<<min(c.failures, 4)))
	c.failures++
}

// expectedLatency is the measured latency, which decays to defaultLatency.
func (c *candidate) expectedLatency(now dfclock.Millis) dfclock.Millis {
	age := now - c.measuredAt
	if age >= latencyTTL {
		return defaultLatency * latencyScale
	}
	return c.latency + (defaultLatency*latencyScale-c.latency)*age/latencyTTL
}

// expectedWait estimates the time until a further statement is answered. Measured
// latencies include the queue at the upstream; this host's own queue is added.
func (c *candidate) expectedWait(now dfclock.Millis) dfclock.Millis {
	return c.withReports(now, c.ownEstimate(now)) + c.distance()
}

// ownEstimate is the expected wait by this host's own answers.
func (c *candidate) ownEstimate(now dfclock.Millis) dfclock.Millis {
	expected := c.expectedLatency(now)
	return expected + expected*dfclock.Millis(c.waiting)/dfclock.Millis(max(1, c.running))
}

// distance is the cost of the way to the upstream.
func (c *candidate) distance() dfclock.Millis {
	if c.local {
		return 0
	}
	return remotePenalty * latencyScale
}

// addedLoad is the load that this host has just added, which measured latencies do not
// show yet.
func (c *candidate) addedLoad(now dfclock.Millis) dfclock.Millis {
	return c.expectedLatency(now) * dfclock.Millis(c.running) / dfclock.Millis(c.slots)
}

// score is the expected wait plus the load that this host has just added.
func (c *candidate) score(now dfclock.Millis) dfclock.Millis {
	return c.expectedWait(now) + c.addedLoad(now)
}

// mayCover reports whether the log is likely to meet the requirement of a read.
// trial is true if that is unknown and the read would find out.
func (c *candidate) mayCover(now dfclock.Millis, required Requirement) (covers, trial bool) {
	if !c.position.Less(required.Position) || required.At <= now-c.lag {
		return true, false
	}
	trial = now >= c.lagKnownAt.Add(lagTTL)
	return trial, trial
}

// SelectForRead selects the upstream for a read. Upstreams in avoid were already
// tried. ok is false if no upstream that may be selected is likely to have the
// position. The leader always has it and is selected if no replica is better.
// Upstreams that are set aside are selected for a trial, or if there are no others.
func (s *Selector) SelectForRead(now dfclock.Millis, required Requirement, usable []dffleet.Upstream, leader dffleet.ID, avoid []dffleet.ID) (id dffleet.ID, ok bool) {
	best := s.bestForRead(now, required, usable, leader, avoid, false)
	if best == nil && (len(avoid) == 0 || s.usesCarriers(usable)) {
		best = s.bestForRead(now, required, usable, leader, avoid, true)
	}
	if best == nil {
		return "", false
	}
	if covers, trial := best.mayCover(now, required); covers && trial {
		best.lagKnownAt = now
	}
	return best.id, true
}

// bestForRead returns the candidate to choose, or nil: the one with the lowest wait, or
// the one that is drawn where carriers report.
func (s *Selector) bestForRead(now dfclock.Millis, required Requirement, usable []dffleet.Upstream, leader dffleet.ID, avoid []dffleet.ID, asideToo bool) *candidate {
	var options []option
	for _, upstream := range usable {
		c := s.candidates[upstream.ID]
		if c == nil || now.Before(c.excludedUntil) || slices.Contains(avoid, c.id) {
			continue
		}
		if covers, _ := c.mayCover(now, required); c.id != leader && !covers {
			continue
		}
		if !asideToo && s.pace.IsAside(now, c.id) {
			continue
		}
		percent := dfclock.Millis(100)
		if c.id == leader {
			percent = primaryPenaltyPercent
		}
		if upstream.Draining {
			percent *= 4
		}
		options = append(options, option{candidate: c, leads: c.id == leader, percent: percent})
	}
	if !s.isCarried(options) {
		return s.lowest(now, options, (*candidate).score)
	}
	return s.draw(now, options)
}

// option is a candidate that a read may run on.
type option struct {
	*candidate
	leads bool
	// percent scales its wait.
	percent dfclock.Millis
}

// lowest returns the candidate with the lowest scaled value that its limit does not
// delay, or nil.
func (s *Selector) lowest(now dfclock.Millis, options []option, value func(*candidate, dfclock.Millis) dfclock.Millis) *candidate {
	var best *candidate
	var bestWait dfclock.Millis
	for _, o := range options {
		wait := value(o.candidate, now) * o.percent / 100
		// A limit counts as used only by statements that want the upstream.
		if (best == nil || wait < bestWait) && s.pace.AvailableIn(now, o.id) == 0 {
			best, bestWait = o.candidate, wait
		}
	}
	return best
}

// RecordQueueFull records that an upstream's queue was full. It handles loads of
// many hosts, each of which measures too few statements to detect the queue.
func (s *Selector) RecordQueueFull(now dfclock.Millis, id dffleet.ID) {
	s.pace.RecordOverload(now, id)
	if c := s.candidates[id]; c != nil {
		c.excludedUntil = max(c.excludedUntil, now.Add(queueFullBackoff))
		c.latency = max(c.expectedLatency(now), queueFullLatency*latencyScale)
		c.measuredAt = now
	}
}

// AvailableIn returns how long an upstream will not be selected, or zero.
func (s *Selector) AvailableIn(now dfclock.Millis, id dffleet.ID) dfclock.Millis {
	c := s.candidates[id]
	if c == nil {
		return 0
	}
	return max(0, c.excludedUntil-now)
}

// ExpectedWait estimates the time until a statement on an upstream is answered.
func (s *Selector) ExpectedWait(now dfclock.Millis, id dffleet.ID) dfclock.Millis {
	c := s.candidates[id]
	if c == nil {
		return dfclock.Never
	}
	return c.expectedWait(now) / latencyScale
}
