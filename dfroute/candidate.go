package dfroute

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
)

// candidate is one upstream with the parts of its last report and of its load
// that routing uses.
type candidate struct {
	id      dfgroup.UpstreamID
	local   bool
	replica bool
	// available is true if the upstream has reported, is not leaving and is a
	// replica or a primary.
	available bool
	// ejectedByView is true if the group's view marks the upstream as ejected.
	ejectedByView bool
	askedAt       dfclock.Millis
	history       dfposition.History
	applied       dfposition.Offset
	// freshAt is valid if freshAtKnown is true; see FreshnessHistory.FreshAt.
	freshAt      dfclock.Millis
	freshAtKnown bool
	// actions are prebuilt UseUpstream actions, indexed by rung, so that routing a
	// read does not allocate.
	actions [RungPrimary + 1]Action

	load load
}

// load is the load and latency of an upstream as observed by this host. It is
// carried over from one view to the next.
type load struct {
	outstanding int
	// latency is a moving average in milliseconds.
	latency float64
	// applyRate is a moving average in offsets per millisecond.
	applyRate float64
	// noResponseSince is the time since which outstanding requests have had no
	// response. It is valid if outstanding > 0.
	noResponseSince     dfclock.Millis
	consecutiveFailures int
	// ejectedUntil is the earliest time of the next probe, or zero if the upstream
	// is not ejected.
	ejectedUntil dfclock.Millis
	// ejectionPeriod is the length of the last ejection. It doubles with each further
	// one and is zero after a successful request.
	ejectionPeriod dfclock.Millis
}

// newCandidate returns the candidate of an upstream. It keeps the load of the
// previous candidate, which may be nil.
func newCandidate(upstream dfgroup.Upstream, dataCentre string, previous *candidate, freshness FreshnessHistory) candidate {
	status := upstream.Status
	c := candidate{
		id:            upstream.ID,
		local:         upstream.DataCentre == dataCentre,
		replica:       status.Role == dfgroup.RoleReplica,
		ejectedByView: upstream.Ejected,
		askedAt:       upstream.AskedAt,
		history:       status.History,
		applied:       status.Applied,
	}
	serves := status.Role == dfgroup.RoleReplica || status.Role == dfgroup.RolePrimary
	c.available = upstream.ReportedAt > 0 && serves && !upstream.Leaving && !status.Leaving
	c.freshAt, c.freshAtKnown = freshness.FreshAt(c.history, c.applied)
	if previous != nil {
		c.load = previous.load
		c.actions = previous.actions
		c.updateApplyRate(previous)
	}
	if previous == nil || previous.replica != c.replica || previous.local != c.local {
		for rung := range c.actions {
			c.actions[rung] = UseUpstream{Upstream: c.id, Rung: rung, Replica: c.replica, Local: c.local}
		}
	}
	return c
}

// updateApplyRate updates the apply rate from the progress since the previous
// report.
func (c *candidate) updateApplyRate(previous *candidate) {
	interval := c.askedAt - previous.askedAt
	if interval <= 0 || c.applied <= previous.applied || previous.askedAt == 0 {
		return
	}
	rate := float64(c.applied-previous.applied) / float64(interval)
	if c.load.applyRate == 0 {
		c.load.applyRate = rate
		return
	}
	c.load.applyRate += applyRateWeight * (rate - c.load.applyRate)
}

// score estimates the cost of another request; lower is better.
func (c *candidate) score() float64 {
	return float64(c.load.outstanding+1) * (c.load.latency + latencyBase)
}

// isEjected reports whether the upstream is ejected by the view or by this host.
// It then gets no reads other than probes, unless no other upstream is left.
func (c *candidate) isEjected() bool {
	return c.ejectedByView || c.load.ejectedUntil > 0
}

// satisfies reports whether the upstream is available and its data meets the
// requirement.
func (c *candidate) satisfies(now dfclock.Millis, required *requirement, options *Options) bool {
	if !c.available || now-c.askedAt > options.MaxReportAge {
		return false
	}
	if !required.maxAgeProven && (!c.freshAtKnown || now-c.freshAt > required.maxAge) {
		return false
	}
	return required.locate(c.history, c.applied) == dfposition.Contained
}

// requirement states the positions that an upstream must have applied and the age
// that its data may have to serve a read.
type requirement struct {
	positions [3]dfposition.Position
	maxAge    dfclock.Millis
	// maxAgeProven is true if the positions alone prove that the data is recent
	// enough, as a barrier started after the read's arrival does.
	maxAgeProven bool
}

// locate returns the worst result over the positions. Each is located separately,
// because their maximum would hide that a lower one was discarded.
func (r *requirement) locate(history dfposition.History, end dfposition.Offset) dfposition.Verdict {
	worst := dfposition.Contained
	for _, position := range r.positions {
		if position.IsZero() {
			continue
		}
		worst = max(worst, history.Locate(end, position))
	}
	return worst
}

// highest returns the highest position.
func (r *requirement) highest() dfposition.Position {
	return r.positions[0].Max(r.positions[1]).Max(r.positions[2])
}
