package dffailover

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
)

// change is the state of a planned change away from a leaving primary.
type change struct {
	// seenAt is when the leaving mark on the primary was first seen; zero is never.
	seenAt dfclock.Millis
	// round counts the holds since then. An actor leads from the round after
	// its rank on, so that a silent lower rank stops nothing.
	round int
	// holding is true while this host's writes are held, since heldAt.
	holding bool
	heldAt  dfclock.Millis
	// pausedUntil is the end of the pause after a failed try.
	pausedUntil dfclock.Millis
	inFlight    int
	// drainedAt is when running transactions had finished; zero before. Reports
	// of the primary asked for later show the end of its log.
	drainedAt dfclock.Millis
	polledAt  dfclock.Millis
}

// requested marks the primary as leaving; the mark then drives every actor.
func (m *Machine) requested() []Action {
	leader, found := m.leader()
	if !found {
		return []Action{GiveUp{Term: m.accepted, Reason: "the group has no primary to change"}}
	}
	return []Action{MarkLeaving{Upstream: leader.status.Upstream}}
}

func (m *Machine) advanceChange(now dfclock.Millis) []Action {
	leader, found := m.leader()
	if !found || !leader.status.Leaving {
		m.change.seenAt = 0
		m.change.pausedUntil = 0
		if !found && now.Since(m.change.heldAt) < m.options.Timings.HoldBound {
			return nil // another actor is changing the primary
		}
		return m.release(now)
	}
	if m.change.seenAt == 0 {
		m.change.seenAt = now
		m.change.round = 0
	}
	if !m.change.holding {
		return m.hold(now, leader)
	}
	if now.Reached(m.change.heldAt.Add(m.options.Timings.HoldBound)) {
		return m.release(now)
	}
	if !m.turn(now) {
		return nil
	}
	return m.lead(now, leader)
}

// hold stops writes once a replica could take over.
func (m *Machine) hold(now dfclock.Millis, leader known) []Action {
	if !now.Reached(m.change.pausedUntil) || !m.hasSuccessor(now, leader) {
		return nil
	}
	m.change.holding = true
	m.change.round++
	m.change.heldAt = now
	m.change.drainedAt = 0
	return []Action{HoldWrites{}}
}

// release lets writes go on; a failed try is repeated after a pause.
func (m *Machine) release(now dfclock.Millis) []Action {
	if !m.change.holding {
		return nil
	}
	m.change.holding = false
	m.change.pausedUntil = now.Add(m.options.Timings.ChangePause)
	return []Action{ReleaseWrites{}}
}

// turn reports whether this actor leads the change by now. Others only hold.
func (m *Machine) turn(now dfclock.Millis) bool {
	wait := dfclock.Millis(m.options.Rank) * m.options.Timings.ChangeStep
	return m.change.round > m.options.Rank && now.Reached(m.change.heldAt.Add(wait))
}

func (m *Machine) lead(now dfclock.Millis, leader known) []Action {
	t := m.options.Timings
	if !now.Reached(m.change.heldAt.Add(t.HoldSettle)) {
		return nil
	}
	if m.change.drainedAt == 0 {
		if m.change.inFlight > 0 && !now.Reached(m.change.heldAt.Add(t.InFlightBound)) {
			return nil
		}
		m.change.drainedAt = now
		m.change.polledAt = now
		return []Action{Poll{}}
	}
	if m.caughtUp(now, leader) {
		return m.begin(now, true)
	}
	if now.Reached(m.change.drainedAt.Add(t.CatchUpBound)) {
		return append([]Action{GiveUp{Term: m.accepted, Reason: "no replica caught up"}}, m.release(now)...)
	}
	if now.Reached(m.change.polledAt.Add(t.CatchUpPoll)) {
		m.change.polledAt = now
		return []Action{Poll{}}
	}
	return nil
}

// caughtUp reports whether a successor has the whole log of the drained primary.
func (m *Machine) caughtUp(now dfclock.Millis, leader known) bool {
	if leader.askedAt < m.change.drainedAt {
		return false
	}
	end := dfposition.Position{Term: leader.status.LogTerm, Offset: leader.status.Flushed}
	for _, member := range m.options.Members {
		if !m.successor(now, leader, member.ID) {
			continue
		}
		status := m.reports[member.ID].status
		if status.History.Locate(status.Flushed, end) == dfposition.Contained {
			return true
		}
	}
	return false
}

func (m *Machine) hasSuccessor(now dfclock.Millis, leader known) bool {
	for _, member := range m.options.Members {
		if m.successor(now, leader, member.ID) {
			return true
		}
	}
	return false
}

// successor reports whether an upstream may take over in a planned change.
func (m *Machine) successor(now dfclock.Millis, leader known, id dfgroup.UpstreamID) bool {
	status := m.reports[id].status
	return id != leader.status.Upstream && !status.Leaving && m.fresh(now, id) && !m.dead[id] &&
		status.Role == dfgroup.RoleReplica && status.Accepted == m.accepted && status.Following == leader.status.Upstream
}
