package dfroute

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
)

// candidate is one upstream with what routing needs of its last report and of
// its load.
type candidate struct {
	id      dfgroup.UpstreamID
	local   bool
	replica bool
	// open is true if the upstream reported, is not leaving and serves reads.
	open    bool
	ejected bool
	askedAt dfclock.Millis
	history dfposition.History
	applied dfposition.Offset
	// freshAt is meaningful if aged is true, see Ages.FreshAt.
	freshAt dfclock.Millis
	aged    bool
	// uses are the ready actions by rung, so that a decision allocates nothing.
	uses [RungPrimary + 1]Action

	load load
}

// load is what this host observed of an upstream; it outlives views.
type load struct {
	outstanding int
	// latency is a decaying mean in milliseconds.
	latency float64
	// applyRate is a decaying mean of offsets per millisecond.
	applyRate float64
	// waitingSince is when the oldest silence began; meaningful if outstanding > 0.
	waitingSince dfclock.Millis
	failures     int
	// ejectedUntil is when the next probe may go; zero if not ejected.
	ejectedUntil dfclock.Millis
	ejection     dfclock.Millis
}

// newCandidate takes over the load of the earlier candidate of that upstream.
func newCandidate(upstream dfgroup.Upstream, dataCentre string, before *candidate, ages Ages) candidate {
	status := upstream.Status
	c := candidate{
		id:      upstream.ID,
		local:   upstream.DataCentre == dataCentre,
		replica: status.Role == dfgroup.RoleReplica,
		ejected: upstream.Ejected,
		askedAt: upstream.AskedAt,
		history: status.History,
		applied: status.Applied,
	}
	serves := status.Role == dfgroup.RoleReplica || status.Role == dfgroup.RolePrimary
	c.open = upstream.ReportedAt > 0 && serves && !upstream.Leaving && !status.Leaving
	c.freshAt, c.aged = ages.FreshAt(c.history, c.applied)
	if before != nil {
		c.load = before.load
		c.uses = before.uses
		c.observeRate(before)
	}
	if before == nil || before.replica != c.replica || before.local != c.local {
		for rung := range c.uses {
			c.uses[rung] = UseUpstream{Upstream: c.id, Rung: rung, Replica: c.replica, Local: c.local}
		}
	}
	return c
}

// observeRate updates the apply rate from two reports of one log.
func (c *candidate) observeRate(before *candidate) {
	span := c.askedAt - before.askedAt
	if span <= 0 || c.applied <= before.applied || before.askedAt == 0 {
		return
	}
	rate := float64(c.applied-before.applied) / float64(span)
	if c.load.applyRate == 0 {
		c.load.applyRate = rate
		return
	}
	c.load.applyRate += rateWeight * (rate - c.load.applyRate)
}

// score compares load; lower is better.
func (c *candidate) score() float64 {
	return float64(c.load.outstanding+1) * (c.load.latency + latencyBase)
}

// out reports whether the upstream gets no ordinary reads.
func (c *candidate) out() bool {
	return c.ejected || c.load.ejectedUntil > 0
}

// fresh reports whether a read with the need may run here.
func (c *candidate) fresh(now dfclock.Millis, need *need, options *Options) bool {
	if !c.open || now-c.askedAt > options.MaxSilence {
		return false
	}
	if !need.covered && (!c.aged || now-c.freshAt > need.maxAge) {
		return false
	}
	return need.locate(c.history, c.applied) == dfposition.Contained
}

// need is what the data of a read must have.
type need struct {
	positions [3]dfposition.Position
	maxAge    dfclock.Millis
	// covered is true if the positions prove the age, as a barrier started
	// after the read's arrival does.
	covered bool
}

// locate returns the worst verdict over the positions. They are not merged,
// because the maximum would hide that the other one was discarded.
func (n *need) locate(history dfposition.History, end dfposition.Offset) dfposition.Verdict {
	worst := dfposition.Contained
	for _, position := range n.positions {
		if position.IsZero() {
			continue
		}
		worst = max(worst, history.Locate(end, position))
	}
	return worst
}

// last returns the highest position.
func (n *need) last() dfposition.Position {
	return n.positions[0].Max(n.positions[1]).Max(n.positions[2])
}
