package dffailover

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
)

// repair is the state of an upstream that does not follow the current primary.
type repair struct {
	needed      bool
	neededSince dfclock.Millis
	// lastTriedAt is when this actor last tried to repair the upstream, or zero.
	lastTriedAt dfclock.Millis
}

// repairUpstreams makes reachable upstreams accept the current term and follow
// its primary. It fences with the name of the actor that won the term: the term
// is decided, so accepting it late changes nothing.
func (m *Machine) repairUpstreams(now dfclock.Millis) []Action {
	primary, found := m.primaryReport()
	if !found || m.dead[primary.status.Upstream] {
		return nil
	}
	var actions []Action
	for _, member := range m.options.Members {
		if member.ID == primary.status.Upstream {
			continue
		}
		if !m.needsRepair(primary, member.ID) {
			delete(m.repairs, member.ID)
			continue
		}
		if !m.repairDue(now, member.ID) {
			continue
		}
		actions = append(actions, m.repairAction(primary, member.ID))
	}
	return actions
}

// needsRepair reports whether an upstream has not accepted the current term or
// does not follow its primary.
func (m *Machine) needsRepair(primary upstreamReport, id dfgroup.UpstreamID) bool {
	report, seen := m.reports[id]
	if !seen {
		return false
	}
	return report.status.Accepted < m.accepted || report.status.Role != dfgroup.RoleReplica ||
		report.status.Following != primary.status.Upstream
}

func (m *Machine) repairDue(now dfclock.Millis, id dfgroup.UpstreamID) bool {
	state := m.repairs[id]
	if !state.needed {
		m.repairs[id] = repair{needed: true, neededSince: now}
		return false
	}
	wait := m.options.Timings.RepairDelay + dfclock.Millis(m.options.Rank)*m.options.Timings.RankDelay
	if !now.Reached(state.neededSince.Add(wait)) || !m.hasFreshReport(now, id) {
		return false
	}
	if state.lastTriedAt != 0 && !now.Reached(state.lastTriedAt.Add(m.options.Timings.RepairRetryInterval)) {
		return false
	}
	state.lastTriedAt = now
	m.repairs[id] = state
	return true
}

func (m *Machine) repairAction(primary upstreamReport, id dfgroup.UpstreamID) Action {
	if m.reports[id].status.Accepted < m.accepted {
		return Fence{Term: m.accepted, Actor: primary.status.Actor, Upstreams: []dfgroup.UpstreamID{id}}
	}
	return m.followAction(primary, id)
}

func (m *Machine) followAction(primary upstreamReport, id dfgroup.UpstreamID) Action {
	return Follow{
		Term: m.accepted, Actor: primary.status.Actor, Upstream: id, Primary: primary.status.Upstream,
	}
}
