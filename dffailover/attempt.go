package dffailover

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
)

// attempt is one try of this actor to win a term.
type attempt struct {
	term dfposition.Term
	// due is when the present step is given up.
	due       dfclock.Millis
	startedAt dfclock.Millis
	planned   bool
	previous  dfgroup.UpstreamID
	// accepted has the frozen logs of the upstreams that accepted the term.
	accepted map[dfgroup.UpstreamID]dfgroup.Status
	// lost counts upstreams that refused or did not answer.
	lost map[dfgroup.UpstreamID]bool
	// candidate is empty until a majority has accepted the term; it is then
	// fixed, so that one term never has two primaries.
	candidate dfgroup.UpstreamID
}

// begin starts an attempt with a term above every term seen.
func (m *Machine) begin(now dfclock.Millis, planned bool) []Action {
	m.highest++
	leader, _ := m.leader()
	m.attempt = &attempt{
		term:      m.highest,
		due:       now.Add(m.options.Timings.StepTimeout),
		startedAt: now,
		planned:   planned,
		previous:  leader.status.Upstream,
		accepted:  map[dfgroup.UpstreamID]dfgroup.Status{},
		lost:      map[dfgroup.UpstreamID]bool{},
	}
	upstreams := make([]dfgroup.UpstreamID, 0, len(m.options.Members))
	for _, member := range m.options.Members {
		upstreams = append(upstreams, member.ID)
	}
	return []Action{Fence{Term: m.highest, Actor: m.options.Actor, Upstreams: upstreams}}
}

func (m *Machine) answered(now dfclock.Millis, e Answered) []Action {
	a := m.attempt
	if a == nil || e.Term != a.term {
		return m.redirect(now, e)
	}
	switch e.Step {
	case StepFence:
		if e.Status.Accepted == a.term && e.Status.Actor == m.options.Actor {
			a.accepted[e.Status.Upstream] = e.Status
		}
	case StepPromote:
		if e.Status.Upstream == a.candidate && e.Status.Role == dfgroup.RolePrimary && e.Status.Accepted == a.term {
			return m.promoted(now)
		}
	case StepFollow:
	}
	return nil
}

// redirect makes an upstream follow that was fenced into a term which already
// has its primary.
func (m *Machine) redirect(now dfclock.Millis, e Answered) []Action {
	leader, found := m.leader()
	if !found || e.Step != StepFence || e.Status.Accepted != m.accepted || e.Status.Upstream == leader.status.Upstream {
		return nil
	}
	m.repairs[e.Status.Upstream] = repair{needed: true, since: now, triedAt: now}
	return []Action{m.follow(leader, e.Status.Upstream)}
}

func (m *Machine) refused(now dfclock.Millis, e Refused) []Action {
	m.highest = max(m.highest, e.Accepted)
	a := m.attempt
	if a == nil || e.Term != a.term || e.Step == StepFollow {
		return nil
	}
	if e.Accepted > a.term || e.Step == StepPromote {
		return m.giveUp(now, "refused by "+string(e.Upstream))
	}
	return m.lose(now, e.Upstream)
}

func (m *Machine) failed(now dfclock.Millis, e Failed) []Action {
	a := m.attempt
	if a == nil || e.Term != a.term {
		return nil
	}
	if e.Step == StepPromote && e.Upstream == a.candidate {
		return m.giveUp(now, "no answer to the promotion of "+string(e.Upstream))
	}
	if e.Step == StepFence && a.candidate == "" {
		return m.lose(now, e.Upstream)
	}
	return nil
}

// lose counts an upstream out and gives up when no majority can remain.
func (m *Machine) lose(now dfclock.Millis, upstream dfgroup.UpstreamID) []Action {
	m.attempt.lost[upstream] = true
	if len(m.options.Members)-len(m.attempt.lost) < m.majority() {
		return m.giveUp(now, "no majority accepts the term")
	}
	return nil
}

func (m *Machine) advanceAttempt(now dfclock.Millis) []Action {
	a := m.attempt
	if a.candidate == "" && len(a.accepted) >= m.majority() {
		a.candidate = m.choose()
		a.due = now.Add(m.options.Timings.StepTimeout)
		return []Action{Promote{Term: a.term, Actor: m.options.Actor, Upstream: a.candidate}}
	}
	if now.Reached(a.due) {
		return m.giveUp(now, "the step took too long")
	}
	return nil
}

// choose returns the fenced upstream with the highest log. Equal logs are told
// apart by the leaving mark, then by the data centre of the previous primary,
// then by that of the actor, then by configured order.
func (m *Machine) choose() dfgroup.UpstreamID {
	best, found := Member{}, false
	for _, member := range m.options.Members {
		status, accepted := m.attempt.accepted[member.ID]
		if !accepted {
			continue
		}
		if !found || m.better(member, status, best) {
			best, found = member, true
		}
	}
	return best.ID
}

func (m *Machine) better(member Member, status dfgroup.Status, best Member) bool {
	other := m.attempt.accepted[best.ID]
	if logOf(status) != logOf(other) {
		return logOf(other).Less(logOf(status))
	}
	if status.Leaving != other.Leaving {
		return other.Leaving
	}
	return m.nearness(member) > m.nearness(best)
}

func (m *Machine) nearness(member Member) int {
	near := 0
	for _, other := range m.options.Members {
		if other.ID == m.attempt.previous && other.DataCentre == member.DataCentre {
			near += 2
		}
	}
	if member.DataCentre == m.options.DataCentre {
		near++
	}
	return near
}

func logOf(status dfgroup.Status) dfposition.Log {
	return dfposition.Log{LastTerm: status.LogTerm, End: status.Flushed}
}

// promoted ends a successful attempt. The majority that was fenced has accepted
// the term, so the primary may be announced.
func (m *Machine) promoted(now dfclock.Millis) []Action {
	a := m.attempt
	m.attempt = nil
	m.needSince = dfclock.Never
	delete(m.dead, a.candidate)
	actions := []Action{Record{Decision: Decision{
		Term: a.term, Actor: m.options.Actor, Primary: a.candidate, Previous: a.previous,
		Planned: a.planned, StartedAt: a.startedAt, PromotedAt: now,
	}}}
	for _, member := range m.options.Members {
		if _, accepted := a.accepted[member.ID]; !accepted || member.ID == a.candidate {
			continue
		}
		m.repairs[member.ID] = repair{needed: true, since: now, triedAt: now}
		actions = append(actions, Follow{
			Term: a.term, Actor: m.options.Actor, Upstream: member.ID, Primary: a.candidate,
		})
	}
	return append(actions, m.release(now)...)
}

func (m *Machine) giveUp(now dfclock.Millis, reason string) []Action {
	a := m.attempt
	m.attempt = nil
	wait := dfclock.Millis(m.options.Rank) * m.options.Timings.RankStep
	m.notBefore = now.Add(m.options.Timings.Backoff).Add(wait)
	return append([]Action{GiveUp{Term: a.term, Reason: reason}}, m.release(now)...)
}
