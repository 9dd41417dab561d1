package dfsuccession

import (
	"slices"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfposition"
)

// departureQueryInterval is how often the logs are asked for while an upstream is gone
// that may have had commits of its own.
const departureQueryInterval = 500 * dfclock.Millisecond

// Upstream identifies one run of an upstream. An upstream that starts again under its
// ID may have lost its log.
type Upstream struct {
	ID      dffleet.ID
	Born    int64
	Address string
}

// departure is a replica that is gone. Commits that only it and the leader had were
// acknowledged, so its log counts as missing until other replicas have caught up.
type departure struct {
	upstream Upstream
	// planned is true if the upstream drained. Its log is then passed on to the next
	// upstream at its address.
	planned bool
	at      dfclock.Millis
	// leaderEnd is a position that the leader had after the departure, if known is true.
	leaderEnd dfposition.Position
	known     bool
	// caughtUp are the replicas that have leaderEnd.
	caughtUp []dffleet.ID
}

// withReport returns the departure after a status of an upstream.
func (d departure) withReport(report StatusReceived, leader dffleet.ID) departure {
	switch {
	case report.ID == leader:
		if !d.known && report.Primary && report.AskedAt >= d.at {
			d.leaderEnd, d.known = report.Received, true
		}
	case d.known && !report.Received.Less(d.leaderEnd) && !slices.Contains(d.caughtUp, report.ID):
		d.caughtUp = append(slices.Clone(d.caughtUp), report.ID)
	}
	return d
}

// observeUpstreams records which replicas are gone since the last observation.
func (c *Coordinator) observeUpstreams(now dfclock.Millis, observation Observation) {
	before := c.upstreams
	c.upstreams = observation.Upstreams
	if observation.SyncReplicas == 0 {
		c.departures = nil
		return
	}
	for _, upstream := range before {
		if upstream.ID != c.lastLeader && !slices.Contains(observation.Upstreams, upstream) {
			planned := !slices.Contains(c.candidates, upstream.ID)
			c.departures = append(slices.Clone(c.departures), departure{upstream: upstream, planned: planned, at: now})
		}
	}
	c.departures = slices.DeleteFunc(slices.Clone(c.departures), func(d departure) bool {
		return slices.ContainsFunc(observation.Upstreams, d.endsWith)
	})
}

// endsWith reports whether an upstream in the list has the log of the one that is gone:
// its entry is back, or it drained and another upstream took its place.
func (d departure) endsWith(listed Upstream) bool {
	return listed == d.upstream || d.planned && d.upstream.Address != "" && listed.Address == d.upstream.Address
}

// recordDepartures updates the departures from a status.
func (c *Coordinator) recordDepartures(report StatusReceived) {
	kept := make([]departure, 0, len(c.departures))
	for _, d := range c.departures {
		d = d.withReport(report, c.leader)
		if len(d.caughtUp) < c.syncReplicas {
			kept = append(kept, d)
		}
	}
	c.departures = kept
}

// departureQueryDue reports whether to ask for the logs, to find out whether replicas
// have what the ones that are gone had.
func (c *Coordinator) departureQueryDue(now dfclock.Millis, observation Observation) bool {
	return len(c.departures) > 0 && !observation.DelegatesProbes && observation.Leader != "" && !c.Suspected() &&
		now-c.departuresAskedAt >= departureQueryInterval
}
