package dffailover

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
)

// attempt is the state of one attempt of this actor to win a term.
type attempt struct {
	term dfposition.Term
	// stepDeadline is when the current step times out.
	stepDeadline dfclock.Millis
	startedAt    dfclock.Millis
	planned      bool
	previous     dfgroup.UpstreamID
	// accepted has the status of the upstreams that accepted the term. Fencing
	// froze their logs.
	accepted map[dfgroup.UpstreamID]dfgroup.Status
	// excluded has the upstreams that rejected the fencing or did not answer.
	excluded map[dfgroup.UpstreamID]bool
	// candidate is empty until a majority has accepted the term. It is fixed from
	// then on, so that a term never has two primaries.
	candidate dfgroup.UpstreamID
}

// startAttempt starts fencing with a term above every known term.
func (m *Machine) startAttempt(now dfclock.Millis, planned bool) []Action {
	m.highest++
	primary, _ := m.primaryReport()
	m.attempt = &attempt{
		term:         m.highest,
		stepDeadline: now.Add(m.options.Timings.StepTimeout),
		startedAt:    now,
		planned:      planned,
		previous:     primary.status.Upstream,
		accepted:     map[dfgroup.UpstreamID]dfgroup.Status{},
		excluded:     map[dfgroup.UpstreamID]bool{},
	}
	upstreams := make([]dfgroup.UpstreamID, 0, len(m.options.Members))
	for _, member := range m.options.Members {
		upstreams = append(upstreams, member.ID)
	}
	return []Action{Fence{Term: m.highest, Actor: m.options.Actor, Upstreams: upstreams}}
}

func (m *Machine) handleAnswer(now dfclock.Millis, e Answered) []Action {
	a := m.attempt
	if a == nil || e.Term != a.term {
		return m.followAfterFence(now, e)
	}
	switch e.Step {
	case StepFence:
		if e.Status.Accepted == a.term && e.Status.Actor == m.options.Actor {
			a.accepted[e.Status.Upstream] = e.Status
		}
	case StepPromote:
		if e.Status.Upstream == a.candidate && e.Status.Role == dfgroup.RolePrimary && e.Status.Accepted == a.term {
			return m.completeAttempt(now)
		}
	case StepFollow:
	}
	return nil
}

// followAfterFence makes an upstream follow the primary after it was fenced with
// a term that already has one.
func (m *Machine) followAfterFence(now dfclock.Millis, e Answered) []Action {
	primary, found := m.primaryReport()
	if !found || e.Step != StepFence || e.Status.Accepted != m.accepted || e.Status.Upstream == primary.status.Upstream {
		return nil
	}
	m.repairs[e.Status.Upstream] = repair{needed: true, neededSince: now, lastTriedAt: now}
	return []Action{m.followAction(primary, e.Status.Upstream)}
}

func (m *Machine) handleRefusal(now dfclock.Millis, e Refused) []Action {
	m.highest = max(m.highest, e.Accepted)
	a := m.attempt
	if a == nil || e.Term != a.term || e.Step == StepFollow {
		return nil
	}
	if e.Accepted > a.term || e.Step == StepPromote {
		return m.abortAttempt(now, "refused by "+string(e.Upstream))
	}
	return m.excludeUpstream(now, e.Upstream)
}

func (m *Machine) handleFailure(now dfclock.Millis, e Failed) []Action {
	a := m.attempt
	if a == nil || e.Term != a.term {
		return nil
	}
	if e.Step == StepPromote && e.Upstream == a.candidate {
		return m.abortAttempt(now, "no answer to the promotion of "+string(e.Upstream))
	}
	if e.Step == StepFence && a.candidate == "" {
		return m.excludeUpstream(now, e.Upstream)
	}
	return nil
}

// excludeUpstream excludes an upstream from the attempt and aborts the attempt
// when the remaining ones are no majority.
func (m *Machine) excludeUpstream(now dfclock.Millis, upstream dfgroup.UpstreamID) []Action {
	m.attempt.excluded[upstream] = true
	if len(m.options.Members)-len(m.attempt.excluded) < m.majority() {
		return m.abortAttempt(now, "no majority accepts the term")
	}
	return nil
}

func (m *Machine) advanceAttempt(now dfclock.Millis) []Action {
	a := m.attempt
	if a.candidate == "" && len(a.accepted) >= m.majority() {
		a.candidate = m.chooseCandidate()
		a.stepDeadline = now.Add(m.options.Timings.StepTimeout)
		return []Action{Promote{Term: a.term, Actor: m.options.Actor, Upstream: a.candidate}}
	}
	if now.Reached(a.stepDeadline) {
		return m.abortAttempt(now, "the step took too long")
	}
	return nil
}

// chooseCandidate returns the fenced upstream with the highest log. Among equal
// logs it prefers an upstream that is not leaving, then the data centre of the
// previous primary, then that of the actor, then the configured order.
func (m *Machine) chooseCandidate() dfgroup.UpstreamID {
	best, found := Member{}, false
	for _, member := range m.options.Members {
		status, accepted := m.attempt.accepted[member.ID]
		if !accepted {
			continue
		}
		if !found || m.preferred(member, status, best) {
			best, found = member, true
		}
	}
	return best.ID
}

func (m *Machine) preferred(member Member, status dfgroup.Status, best Member) bool {
	other := m.attempt.accepted[best.ID]
	if logEnd(status) != logEnd(other) {
		return logEnd(other).Less(logEnd(status))
	}
	if status.Leaving != other.Leaving {
		return other.Leaving
	}
	return m.localityScore(member) > m.localityScore(best)
}

func (m *Machine) localityScore(member Member) int {
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

func logEnd(status dfgroup.Status) dfposition.LogEnd {
	return dfposition.LogEnd{LastTerm: status.LogTerm, End: status.Flushed}
}

// completeAttempt ends a successful attempt. The fenced majority has accepted the
// term, so the primary may be announced before the others follow it.
func (m *Machine) completeAttempt(now dfclock.Millis) []Action {
	a := m.attempt
	m.attempt = nil
	m.promotionNeededSince = dfclock.Never
	delete(m.dead, a.candidate)
	actions := []Action{RecordDecision{Decision: Decision{
		Term: a.term, Actor: m.options.Actor, Primary: a.candidate, Previous: a.previous,
		Planned: a.planned, StartedAt: a.startedAt, PromotedAt: now,
	}}}
	for _, member := range m.options.Members {
		if _, accepted := a.accepted[member.ID]; !accepted || member.ID == a.candidate {
			continue
		}
		m.repairs[member.ID] = repair{needed: true, neededSince: now, lastTriedAt: now}
		actions = append(actions, Follow{
			Term: a.term, Actor: m.options.Actor, Upstream: member.ID, Primary: a.candidate,
		})
	}
	return append(actions, m.releaseWrites(now)...)
}

func (m *Machine) abortAttempt(now dfclock.Millis, reason string) []Action {
	a := m.attempt
	m.attempt = nil
	wait := dfclock.Millis(m.options.Rank) * m.options.Timings.RankDelay
	m.backoffUntil = now.Add(m.options.Timings.Backoff).Add(wait)
	return append([]Action{ReportAborted{Term: a.term, Reason: reason}}, m.releaseWrites(now)...)
}
