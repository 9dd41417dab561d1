package dffailover

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
)

// repair is the state of one upstream that is not in the present term.
type repair struct {
	needed bool
	// since is when the need was first seen.
	since dfclock.Millis
	// triedAt is when this actor last acted on it; zero is never.
	triedAt dfclock.Millis
}

// repairAll brings reachable upstreams into the present term behind its primary.
// It uses the name of the actor that won the term: the term is decided, and
// accepting it late changes nothing.
func (m *Machine) repairAll(now dfclock.Millis) []Action {
	leader, found := m.leader()
	if !found || m.dead[leader.status.Upstream] {
		return nil
	}
	var actions []Action
	for _, member := range m.options.Members {
		if member.ID == leader.status.Upstream {
			continue
		}
		if !m.astray(leader, member.ID) {
			delete(m.repairs, member.ID)
			continue
		}
		if !m.repairDue(now, member.ID) {
			continue
		}
		actions = append(actions, m.repairOne(leader, member.ID))
	}
	return actions
}

// astray reports whether an upstream is not behind the primary.
func (m *Machine) astray(leader known, id dfgroup.UpstreamID) bool {
	report, seen := m.reports[id]
	if !seen {
		return false
	}
	return report.status.Accepted < m.accepted || report.status.Role != dfgroup.RoleReplica ||
		report.status.Following != leader.status.Upstream
}

func (m *Machine) repairDue(now dfclock.Millis, id dfgroup.UpstreamID) bool {
	state := m.repairs[id]
	if !state.needed {
		m.repairs[id] = repair{needed: true, since: now}
		return false
	}
	wait := m.options.Timings.RepairDelay + dfclock.Millis(m.options.Rank)*m.options.Timings.RankStep
	if !now.Reached(state.since.Add(wait)) || !m.fresh(now, id) {
		return false
	}
	if state.triedAt != 0 && !now.Reached(state.triedAt.Add(m.options.Timings.RepairPause)) {
		return false
	}
	state.triedAt = now
	m.repairs[id] = state
	return true
}

func (m *Machine) repairOne(leader known, id dfgroup.UpstreamID) Action {
	if m.reports[id].status.Accepted < m.accepted {
		return Fence{Term: m.accepted, Actor: leader.status.Actor, Upstreams: []dfgroup.UpstreamID{id}}
	}
	return m.follow(leader, id)
}

func (m *Machine) follow(leader known, id dfgroup.UpstreamID) Action {
	return Follow{
		Term: m.accepted, Actor: leader.status.Actor, Upstream: id, Primary: leader.status.Upstream,
	}
}
