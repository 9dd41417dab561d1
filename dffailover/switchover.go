package dffailover

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfhandover"
	"dragonflygrade/dfposition"
)

// switchover is the state of a planned change of a leaving primary.
type switchover struct {
	// leavingSeenAt is when the primary was first seen with the leaving mark, or
	// zero.
	leavingSeenAt dfclock.Millis
	// round counts the holds since then. An actor of rank n coordinates from round
	// n+1 on, so that an unresponsive actor of lower rank blocks nothing.
	round int
	// holding is true while this host's writes are held, since heldAt.
	holding bool
	heldAt  dfclock.Millis
	// retryAfter is the earliest next hold after a failed one.
	retryAfter dfclock.Millis
	inFlight   int
	// handover decides when the successor takes over from the held writes.
	handover dfhandover.Handover
}

// requestSwitchover marks the primary as leaving. Every actor that sees the mark
// takes part in the switchover.
func (m *Machine) requestSwitchover() []Action {
	primary, found := m.primaryReport()
	if !found {
		return []Action{ReportAborted{Term: m.accepted, Reason: "the group has no primary to change"}}
	}
	return []Action{MarkLeaving{Upstream: primary.status.Upstream}}
}

func (m *Machine) advanceSwitchover(now dfclock.Millis) []Action {
	primary, found := m.primaryReport()
	if !found || !primary.status.Leaving {
		m.switchover.leavingSeenAt = 0
		m.switchover.retryAfter = 0
		if !found && now.Since(m.switchover.heldAt) < m.options.Timings.HoldTimeout {
			return nil // another actor runs the promotion
		}
		return m.releaseWrites(now)
	}
	if m.switchover.leavingSeenAt == 0 {
		m.switchover.leavingSeenAt = now
		m.switchover.round = 0
	}
	if !m.switchover.holding {
		return m.holdWrites(now, primary)
	}
	if now.Reached(m.switchover.heldAt.Add(m.options.Timings.HoldTimeout)) {
		return m.releaseWrites(now)
	}
	if !m.coordinates(now) {
		return nil
	}
	return m.runSwitchover(now, primary)
}

// holdWrites holds new writes if a replica can take over.
func (m *Machine) holdWrites(now dfclock.Millis, primary upstreamReport) []Action {
	if !now.Reached(m.switchover.retryAfter) || !m.hasSuccessor(now, primary) {
		return nil
	}
	m.switchover.holding = true
	m.switchover.round++
	m.switchover.heldAt = now
	m.switchover.handover = dfhandover.New(now, m.options.Timings.handover())
	return []Action{HoldWrites{}}
}

// releaseWrites ends the hold and delays the next one.
func (m *Machine) releaseWrites(now dfclock.Millis) []Action {
	if !m.switchover.holding {
		return nil
	}
	m.switchover.holding = false
	m.switchover.retryAfter = now.Add(m.options.Timings.SwitchoverRetryDelay)
	return []Action{ReleaseWrites{}}
}

// coordinates reports whether this actor runs the switchover. The others only
// hold their writes.
func (m *Machine) coordinates(now dfclock.Millis) bool {
	wait := dfclock.Millis(m.options.Rank) * m.options.Timings.SwitchoverRankDelay
	return m.switchover.round > m.options.Rank && now.Reached(m.switchover.heldAt.Add(wait))
}

// runSwitchover waits until running transactions have finished and a replica has
// caught up, and then starts the promotion.
func (m *Machine) runSwitchover(now dfclock.Millis, primary upstreamReport) []Action {
	t := m.options.Timings
	if !now.Reached(m.switchover.heldAt.Add(t.HoldPropagationDelay)) {
		return nil
	}
	caughtUp := m.successorCaughtUp(now, primary)
	next, decision := m.switchover.handover.WithStep(now, m.switchover.inFlight, caughtUp)
	m.switchover.handover = next
	switch decision.(type) {
	case dfhandover.Poll:
		return []Action{Poll{}}
	case dfhandover.Change:
		return m.startAttempt(now, true)
	case dfhandover.Release:
		return append([]Action{ReportAborted{Term: m.accepted, Reason: "no replica caught up"}}, m.releaseWrites(now)...)
	}
	return nil
}

// successorCaughtUp reports whether a successor has the whole log of the drained
// primary.
func (m *Machine) successorCaughtUp(now dfclock.Millis, primary upstreamReport) bool {
	drainedAt, drained := m.switchover.handover.DrainedAt()
	if !drained || primary.askedAt < drainedAt {
		return false
	}
	end := dfposition.Position{Term: primary.status.LogTerm, Offset: primary.status.Flushed}
	for _, member := range m.options.Members {
		if !m.canSucceed(now, primary, member.ID) {
			continue
		}
		status := m.reports[member.ID].status
		if status.History.Locate(status.Flushed, end) == dfposition.Contained {
			return true
		}
	}
	return false
}

func (m *Machine) hasSuccessor(now dfclock.Millis, primary upstreamReport) bool {
	for _, member := range m.options.Members {
		if m.canSucceed(now, primary, member.ID) {
			return true
		}
	}
	return false
}

// canSucceed reports whether an upstream may take over in a switchover.
func (m *Machine) canSucceed(now dfclock.Millis, primary upstreamReport, id dfgroup.UpstreamID) bool {
	status := m.reports[id].status
	return id != primary.status.Upstream && !status.Leaving && m.hasFreshReport(now, id) && !m.dead[id] &&
		status.Role == dfgroup.RoleReplica && status.Accepted == m.accepted && status.Following == primary.status.Upstream
}
