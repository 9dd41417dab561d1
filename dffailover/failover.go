// Package dffailover decides on changes of primary for one actor and one
// database group: it fences a majority with a new term, promotes the highest
// log among it and makes the others follow.
package dffailover

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
)

// Member is a configured upstream of the group.
type Member struct {
	ID         dfgroup.UpstreamID
	DataCentre string
}

// Options describes the actor and its group.
type Options struct {
	// Actor is unique per incarnation of a host. An incarnation that reused a
	// name could win one term twice.
	Actor string
	// Rank is the actor's place among the slot holders, counted from 0.
	Rank       int
	DataCentre string
	Members    []Member
	Timings    Timings
}

// known is the newest report of an upstream.
type known struct {
	status  dfgroup.Status
	askedAt dfclock.Millis
	at      dfclock.Millis
}

// Machine is the promotion state machine.
type Machine struct {
	options Options
	reports map[dfgroup.UpstreamID]known
	// highest is the highest term seen or proposed; it never falls, and every
	// attempt takes a term above it.
	highest dfposition.Term
	// accepted is the highest term that an upstream reported as accepted.
	accepted dfposition.Term
	dead     map[dfgroup.UpstreamID]bool
	// needSince is when the present need for a promotion began, or Never.
	needSince dfclock.Millis
	// notBefore is the end of the pause after a given-up attempt.
	notBefore dfclock.Millis
	attempt   *attempt
	change    change
	repairs   map[dfgroup.UpstreamID]repair
	discarded map[dfgroup.UpstreamID]string
}

// New returns a machine that has seen nothing.
func New(options Options) *Machine {
	return &Machine{
		options:   options,
		reports:   map[dfgroup.UpstreamID]known{},
		dead:      map[dfgroup.UpstreamID]bool{},
		needSince: dfclock.Never,
		repairs:   map[dfgroup.UpstreamID]repair{},
		discarded: map[dfgroup.UpstreamID]string{},
	}
}

// SetRank changes the actor's rank after the set of slot holders changed.
func (m *Machine) SetRank(rank int) {
	m.options.Rank = rank
}

// Primary returns the primary of the newest accepted term, once a majority has
// accepted that term.
func (m *Machine) Primary() (dfgroup.UpstreamID, dfposition.Term, bool) {
	primary, found := m.leader()
	if !found {
		return "", m.accepted, false
	}
	count := 0
	for _, member := range m.options.Members {
		if m.reports[member.ID].status.Accepted == m.accepted {
			count++
		}
	}
	return primary.status.Upstream, m.accepted, count >= m.majority()
}

// Steady reports whether time alone changes nothing: there is a primary that is
// neither dead nor leaving, no attempt, and no upstream to bring into the term.
func (m *Machine) Steady() bool {
	for _, dead := range m.dead {
		if dead {
			return false
		}
	}
	_, found := m.leader()
	return found && m.attempt == nil && m.needSince == dfclock.Never &&
		!m.change.holding && m.change.seenAt == 0 && len(m.repairs) == 0
}

// Handle takes an event and returns what to do, in order.
func (m *Machine) Handle(now dfclock.Millis, event Event) []Action {
	var actions []Action
	switch e := event.(type) {
	case Reported:
		actions = m.learn(now, e.Status, e.AskedAt)
	case Answered:
		actions = append(m.learn(now, e.Status, e.AskedAt), m.answered(now, e)...)
	case Refused:
		actions = m.refused(now, e)
	case Failed:
		actions = m.failed(now, e)
	case Judged:
		m.dead[e.Upstream] = e.Dead
	case Drained:
		m.change.inFlight = e.InFlight
	case ChangeRequested:
		actions = m.requested()
	case Tick:
	}
	return append(actions, m.advance(now)...)
}

// learn keeps a report and gives up an attempt that a higher term overtook.
func (m *Machine) learn(now dfclock.Millis, status dfgroup.Status, askedAt dfclock.Millis) []Action {
	last, seen := m.reports[status.Upstream]
	if seen && (askedAt < last.askedAt || status.Accepted < last.status.Accepted) {
		return nil
	}
	m.reports[status.Upstream] = known{status: status, askedAt: askedAt, at: now}
	if status.Accepted > m.accepted {
		m.accepted = status.Accepted
		m.needSince = dfclock.Never
	}
	m.highest = max(m.highest, status.Accepted)
	var actions []Action
	if status.Discarded != "" && m.discarded[status.Upstream] != status.Discarded {
		m.discarded[status.Upstream] = status.Discarded
		actions = append(actions, ReportDiscarded{Upstream: status.Upstream, Tail: status.Discarded})
	}
	if m.attempt != nil && status.Accepted > m.attempt.term {
		actions = append(actions, m.giveUp(now, "a higher term was accepted")...)
	}
	return actions
}

func (m *Machine) advance(now dfclock.Millis) []Action {
	if m.attempt != nil {
		return m.advanceAttempt(now)
	}
	if m.due(now) {
		return m.begin(now, false)
	}
	return append(m.advanceChange(now), m.repairAll(now)...)
}

// due reports whether this actor must start a promotion now.
func (m *Machine) due(now dfclock.Millis) bool {
	wait := dfclock.Millis(m.options.Rank) * m.options.Timings.RankStep
	leader, found := m.leader()
	switch {
	case found && !m.dead[leader.status.Upstream]:
		m.needSince = dfclock.Never
		return false
	case !found:
		wait += m.options.Timings.Leaderless
	}
	if m.needSince == dfclock.Never {
		m.needSince = now
	}
	return now.Reached(m.needSince.Add(wait)) && now.Reached(m.notBefore) && m.reachable(now) >= m.majority()
}

// leader returns the report of the primary of the newest accepted term.
func (m *Machine) leader() (known, bool) {
	for _, member := range m.options.Members {
		report := m.reports[member.ID]
		if report.status.Role == dfgroup.RolePrimary && report.status.Accepted == m.accepted {
			return report, true
		}
	}
	return known{}, false
}

// reachable counts the upstreams with a fresh report.
func (m *Machine) reachable(now dfclock.Millis) int {
	count := 0
	for _, member := range m.options.Members {
		if m.fresh(now, member.ID) && !m.dead[member.ID] {
			count++
		}
	}
	return count
}

func (m *Machine) fresh(now dfclock.Millis, id dfgroup.UpstreamID) bool {
	report, seen := m.reports[id]
	return seen && now-report.at <= m.options.Timings.ReportAge
}

func (m *Machine) majority() int {
	return len(m.options.Members)/2 + 1
}
