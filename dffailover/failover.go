// Package dffailover implements the promotion state machine of one actor for one
// database group. It fences a majority of the upstreams with a new term, promotes
// the one with the highest log and makes the others follow it.
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

// Options configures the machine of one actor.
type Options struct {
	// Actor is unique per incarnation of a host. An incarnation that reused a
	// name could win one term twice.
	Actor string
	// Rank is the actor's index in the order of the slot holders, from 0.
	Rank       int
	DataCentre string
	Members    []Member
	Timings    Timings
}

// upstreamReport is the newest status report of an upstream.
type upstreamReport struct {
	status     dfgroup.Status
	askedAt    dfclock.Millis
	receivedAt dfclock.Millis
}

// Machine is the promotion state machine.
type Machine struct {
	options Options
	reports map[dfgroup.UpstreamID]upstreamReport
	// highest is the highest term seen or proposed. It never decreases, and every
	// attempt uses a term above it.
	highest dfposition.Term
	// accepted is the highest term that an upstream reported as accepted.
	accepted dfposition.Term
	dead     map[dfgroup.UpstreamID]bool
	// promotionNeededSince is when the newest term was first seen without a live
	// primary, or Never.
	promotionNeededSince dfclock.Millis
	// backoffUntil is the earliest start of an attempt after an aborted one.
	backoffUntil dfclock.Millis
	attempt      *attempt
	switchover   switchover
	repairs      map[dfgroup.UpstreamID]repair
	// discarded has the last reported discarded log tail of each upstream.
	discarded map[dfgroup.UpstreamID]string
}

// New returns a machine without any reports.
func New(options Options) *Machine {
	return &Machine{
		options:              options,
		reports:              map[dfgroup.UpstreamID]upstreamReport{},
		dead:                 map[dfgroup.UpstreamID]bool{},
		promotionNeededSince: dfclock.Never,
		repairs:              map[dfgroup.UpstreamID]repair{},
		discarded:            map[dfgroup.UpstreamID]string{},
	}
}

// SetRank changes the actor's rank after the set of slot holders changed.
func (m *Machine) SetRank(rank int) {
	m.options.Rank = rank
}

// Primary returns the primary of the newest accepted term, once a majority has
// accepted that term.
func (m *Machine) Primary() (dfgroup.UpstreamID, dfposition.Term, bool) {
	primary, found := m.primaryReport()
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

// Idle reports whether the passing of time alone causes no action: no upstream
// is dead, there is a primary that is not leaving, no attempt runs and no
// upstream needs repair.
func (m *Machine) Idle() bool {
	for _, dead := range m.dead {
		if dead {
			return false
		}
	}
	_, found := m.primaryReport()
	return found && m.attempt == nil && m.promotionNeededSince == dfclock.Never &&
		!m.switchover.holding && m.switchover.leavingSeenAt == 0 && len(m.repairs) == 0
}

// Handle applies an event and returns the actions to run, in order.
func (m *Machine) Handle(now dfclock.Millis, event Event) []Action {
	var actions []Action
	switch e := event.(type) {
	case Reported:
		actions = m.applyReport(now, e.Status, e.AskedAt)
	case Answered:
		actions = append(m.applyReport(now, e.Status, e.AskedAt), m.handleAnswer(now, e)...)
	case Refused:
		actions = m.handleRefusal(now, e)
	case Failed:
		actions = m.handleFailure(now, e)
	case HealthChecked:
		m.dead[e.Upstream] = e.Dead
	case InFlightCounted:
		m.switchover.inFlight = e.InFlight
	case SwitchoverRequested:
		actions = m.requestSwitchover()
	case Tick:
	}
	return append(actions, m.advance(now)...)
}

// applyReport stores a report unless the upstream already sent a newer one or one
// of a higher term. It aborts the running attempt if the upstream has accepted a
// higher term.
func (m *Machine) applyReport(now dfclock.Millis, status dfgroup.Status, askedAt dfclock.Millis) []Action {
	last, seen := m.reports[status.Upstream]
	if seen && (askedAt < last.askedAt || status.Accepted < last.status.Accepted) {
		return nil
	}
	m.reports[status.Upstream] = upstreamReport{status: status, askedAt: askedAt, receivedAt: now}
	if status.Accepted > m.accepted {
		m.accepted = status.Accepted
		m.promotionNeededSince = dfclock.Never
	}
	m.highest = max(m.highest, status.Accepted)
	var actions []Action
	if status.Discarded != "" && m.discarded[status.Upstream] != status.Discarded {
		m.discarded[status.Upstream] = status.Discarded
		actions = append(actions, ReportDiscarded{Upstream: status.Upstream, Tail: status.Discarded})
	}
	if m.attempt != nil && status.Accepted > m.attempt.term {
		actions = append(actions, m.abortAttempt(now, "a higher term was accepted")...)
	}
	return actions
}

func (m *Machine) advance(now dfclock.Millis) []Action {
	if m.attempt != nil {
		return m.advanceAttempt(now)
	}
	if m.promotionDue(now) {
		return m.startAttempt(now, false)
	}
	return append(m.advanceSwitchover(now), m.repairUpstreams(now)...)
}

// promotionDue reports whether this actor has to start a promotion now.
func (m *Machine) promotionDue(now dfclock.Millis) bool {
	wait := dfclock.Millis(m.options.Rank) * m.options.Timings.RankDelay
	primary, found := m.primaryReport()
	switch {
	case found && !m.dead[primary.status.Upstream]:
		m.promotionNeededSince = dfclock.Never
		return false
	case !found:
		wait += m.options.Timings.NoPrimaryTimeout
	}
	if m.promotionNeededSince == dfclock.Never {
		m.promotionNeededSince = now
	}
	return now.Reached(m.promotionNeededSince.Add(wait)) && now.Reached(m.backoffUntil) && m.countReachable(now) >= m.majority()
}

// primaryReport returns the report of the primary of the newest accepted term.
func (m *Machine) primaryReport() (upstreamReport, bool) {
	for _, member := range m.options.Members {
		report := m.reports[member.ID]
		if report.status.Role == dfgroup.RolePrimary && report.status.Accepted == m.accepted {
			return report, true
		}
	}
	return upstreamReport{}, false
}

// countReachable counts the live upstreams with a fresh report.
func (m *Machine) countReachable(now dfclock.Millis) int {
	count := 0
	for _, member := range m.options.Members {
		if m.hasFreshReport(now, member.ID) && !m.dead[member.ID] {
			count++
		}
	}
	return count
}

func (m *Machine) hasFreshReport(now dfclock.Millis, id dfgroup.UpstreamID) bool {
	report, seen := m.reports[id]
	return seen && now-report.receivedAt <= m.options.Timings.MaxReportAge
}

func (m *Machine) majority() int {
	return len(m.options.Members)/2 + 1
}
