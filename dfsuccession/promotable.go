package dfsuccession

import (
	"slices"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfhandover"
	"dragonflygrade/dfposition"
)

const (
	// catchUpTimeout bounds the wait, while writes are held, for an upstream that has
	// every acknowledged commit. It allows for a query of busy upstreams and one more.
	catchUpTimeout = 600 * dfclock.Millisecond
	// catchUpPollInterval separates the queries meanwhile.
	catchUpPollInterval = 150 * dfclock.Millisecond
	// catchUpRetryDelay is the pause after no upstream had every acknowledged commit.
	catchUpRetryDelay = 500 * dfclock.Millisecond
	// heldPromotionSpan is how long after its claim a change whose writes are held may
	// order its promotion: a revocation, the wait for the logs and the retries of an order.
	heldPromotionSpan = 3500 * dfclock.Millisecond
	// HeldChangeSpan is how long after its claim such a change may take effect. Another
	// host that changes the leader meanwhile could discard commits of the next one.
	HeldChangeSpan = heldPromotionSpan + promotionTimeout
)

// promotable returns the report of the upstream to promote, or nil if none may lead.
// Where replicas confirm commits, that upstream has every acknowledged commit; the
// preferred one is chosen if it has them.
func (c *Coordinator) promotable(observation Observation, preferred dffleet.ID) *StatusReceived {
	// The minority side of a partition leaves the promotion to the majority side.
	if len(c.reports)*2 <= len(observation.Upstreams) {
		return nil
	}
	if observation.SyncReplicas == 0 {
		return c.longestLog(observation.Candidates, dfposition.Position{})
	}
	end, known := c.acknowledgedEnd(observation)
	if !known {
		return nil
	}
	best := c.choose(observation.Candidates, preferred, end)
	if best == nil && (c.Suspected() || observation.Leader == "") {
		// An upstream that drains leads until one that stays has caught up.
		return c.choose(leavingUpstreams(observation), preferred, end)
	}
	return best
}

// choose returns the report of the preferred candidate if its log reaches a position, or
// else that of the longest log.
func (c *Coordinator) choose(candidates []dffleet.ID, preferred dffleet.ID, end dfposition.Position) *StatusReceived {
	if slices.Contains(candidates, preferred) {
		if best := c.longestLog([]dffleet.ID{preferred}, end); best != nil {
			return best
		}
	}
	return c.longestLog(candidates, end)
}

// leavingUpstreams returns the upstreams that are in the list and are no candidates.
func leavingUpstreams(observation Observation) []dffleet.ID {
	var leaving []dffleet.ID
	for _, upstream := range observation.Upstreams {
		if !slices.Contains(observation.Candidates, upstream.ID) {
			leaving = append(leaving, upstream.ID)
		}
	}
	return leaving
}

// longestLog returns the report with the longest log among the candidates, unless it
// lacks the position or its term is older than that of another upstream. Promoting it
// would then restore commits that the newer term discarded.
func (c *Coordinator) longestLog(candidates []dffleet.ID, end dfposition.Position) *StatusReceived {
	var best *StatusReceived
	for i := range c.reports {
		report := &c.reports[i]
		if report.ID == c.leader || !slices.Contains(candidates, report.ID) {
			continue
		}
		if best == nil || best.Received.Less(report.Received) {
			best = report
		}
	}
	if best == nil || best.Received.Less(end) || c.newerTermReported(best) {
		return nil
	}
	return best
}

// acknowledgedEnd returns a position up to which a log has every acknowledged commit.
// Each of them is in the log of the leader, and in those of as many replicas as have to
// confirm it: if fewer replicas than that have not reported, one of the others has it.
func (c *Coordinator) acknowledgedEnd(observation Observation) (end dfposition.Position, known bool) {
	if c.leaderEnd != (dfposition.Position{}) {
		return c.leaderEnd, true
	}
	missing := len(c.departures)
	for _, upstream := range observation.Upstreams {
		if upstream.ID != c.lastLeader && !c.hasReport(upstream.ID) {
			missing++
		}
	}
	if missing < observation.SyncReplicas {
		for _, report := range c.reports {
			if report.ID != c.lastLeader {
				end = end.Max(report.Received)
			}
		}
		return end, true
	}
	for _, report := range c.reports {
		if report.ID == c.lastLeader {
			return report.Received, true
		}
	}
	return dfposition.Position{}, false
}

// rememberLeaderEnd keeps the end of the leader's log for a second query: the leader goes
// on writing while the candidates answer, so they are compared with an earlier end. It
// returns false if there is none, or if the query was the second one.
func (c *Coordinator) rememberLeaderEnd(observation Observation) bool {
	if observation.SyncReplicas == 0 || c.leaderEnd != (dfposition.Position{}) {
		return false
	}
	for _, report := range c.reports {
		if report.ID == c.leader && report.Primary {
			c.leaderEnd = report.Received
			return true
		}
	}
	return false
}

// beginHeldChange starts the comparison of the logs after writes are held.
func (c *Coordinator) beginHeldChange(now dfclock.Millis) {
	c.reports, c.leaderEnd = nil, dfposition.Position{}
	c.handover = dfhandover.New(now, dfhandover.Timings{CatchUpTimeout: catchUpTimeout, CatchUpPollInterval: catchUpPollInterval})
	c.enterPhase(now, comparing)
}

// compare waits, while writes are held, until an upstream has every acknowledged
// commit. A target that was chosen earlier may have stopped receiving.
func (c *Coordinator) compare(now dfclock.Millis, observation Observation) Action {
	best := c.promotable(observation, c.target)
	next, decision := c.handover.WithStep(now, 0, best != nil)
	c.handover = next
	switch decision.(type) {
	case dfhandover.Poll:
		return QueryAll{}
	case dfhandover.Change:
		if best.ID != c.target {
			c.target = best.ID
			c.enterPhase(now, claiming)
			return Claim{Target: c.target, Replaced: c.replaced}
		}
		c.enterPhase(now, promoting)
		return c.promote(now)
	case dfhandover.Release:
		c.resumeWatching(now, catchUpRetryDelay)
		return c.release()
	}
	return NoAction{}
}

// release returns the action that ends a hold under which no order can take effect.
func (c *Coordinator) release() Action {
	if !c.holding || c.orderSent {
		return NoAction{}
	}
	c.holding = false
	return Release{Epoch: c.epoch}
}
