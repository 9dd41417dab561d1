// Package dfsuccession decides when a service needs another leader and which
// upstream it is, on platforms that carry out promotions on order. The order is
// fenced by an epoch that comes from a row of the platform's table, so that of
// two hosts that act at once only one takes effect.
package dfsuccession

import (
	"slices"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfrevocation"
)

const (
	// quietSpan is the silence of a leader with open requests after which it is
	// probed. It is several times the work of the longest usual statement.
	quietSpan = 200 * dfclock.Millisecond
	// probeTimeout and probeTimeoutCap bound a probe: a fresh connection that
	// waits for a slot as long as the leader's load explains.
	probeTimeout    = 250 * dfclock.Millisecond
	probeTimeoutCap = dfclock.Second
	// probeSlack times the last probe's answer is what the next one gets: a queue
	// that grows doubles between two probes at most.
	probeSlack = 2
	// probeTrust is how long an answer tells of the leader's queue.
	probeTrust = 2 * dfclock.Second
	// probeGap is the pause between two probes, so that one lost packet or one
	// restart of a listener does not cost a leader its lead.
	probeGap = 100 * dfclock.Millisecond
	// probesFailed is the number of probes in a row that make a leader suspect.
	probesFailed = 2
	// rankDelay is the time that a host of the next rank waits for the others.
	rankDelay = 150 * dfclock.Millisecond
	// missingSpan is how long a service may be without a leader in the list
	// before a promotion: the time of a change that is under way.
	missingSpan = 1500 * dfclock.Millisecond
	// askSpan bounds the questions to the replicas.
	askSpan = 400 * dfclock.Millisecond
	// usualPromotion is the time that a promotion takes before any was measured:
	// the longest of the two users' deployments.
	usualPromotion = dfclock.Second
	// settleSpan is how long an ordered promotion may take to show.
	settleSpan = 2500 * dfclock.Millisecond
	// orderTries bounds repeats of an order without an answer.
	orderTries = 4
	// orderTravel is the end of the other hosts' promises in which no order is sent
	// any more: some times the way to the platform.
	orderTravel = 200 * dfclock.Millisecond
	// standDown is the pause after another host acted.
	standDown = 1500 * dfclock.Millisecond
)

// Fencing is how a replaced leader is kept from serving.
type Fencing interface{ fencing() }

// PlatformFences is the way of platforms that take the lead away from a replaced
// leader and refuse orders of an older epoch.
type PlatformFences struct{}

// HostsFence is the way of platforms that do neither: before an order every host
// has to stop using the leader.
type HostsFence struct{}

func (PlatformFences) fencing() {}
func (HostsFence) fencing()     {}

// Action is what the owner of a Successor has to do. Results come back as events.
type Action interface{ action() }

// Rest asks for nothing.
type Rest struct{}

// Probe asks for a status over a fresh connection.
type Probe struct {
	ID      dffleet.ID
	Timeout dfclock.Millis
}

// AskAll asks for the status of all upstreams of the service.
type AskAll struct{}

// Claim asks for an epoch from the platform's table. It holds only against the
// leader that the decision was about.
type Claim struct{ Target, Replaced dffleet.ID }

// Revoke asks all hosts to stop using the leader.
type Revoke struct {
	Target, Replaced dffleet.ID
	Epoch            uint64
}

// Order asks the platform to promote.
type Order struct {
	Target dffleet.ID
	Epoch  uint64
}

func (Rest) action()   {}
func (Probe) action()  {}
func (AskAll) action() {}
func (Claim) action()  {}
func (Revoke) action() {}
func (Order) action()  {}

// Event is the result of an action, or news of the leader.
type Event interface{ event() }

// Answered tells that an upstream answered on any connection.
type Answered struct{ ID dffleet.ID }

// Troubled tells that a connection to an upstream failed.
type Troubled struct{ ID dffleet.ID }

// ProbeFailed ends a Probe without an answer.
type ProbeFailed struct {
	ID     dffleet.ID
	SentAt dfclock.Millis
}

// Reported is one answer to AskAll or Probe.
type Reported struct {
	ID       dffleet.ID
	Primary  bool
	Received dfposition.Position
	// Replaced is true if the upstream leads a term that was taken away from it.
	Replaced bool
	// Probe is true for the answer to a Probe.
	Probe bool
	// AskedAt is when the question was sent.
	AskedAt dfclock.Millis
}

// AskEnded tells that no further answers to AskAll come.
type AskEnded struct{}

// Claimed ends a Claim with an epoch.
type Claimed struct{ Epoch uint64 }

// ClaimLost ends a Claim: another host acts, or the platform does not answer.
type ClaimLost struct{}

// Revoked ends a Revoke: no host uses the leader any more.
type Revoked struct{}

// RevokeFailed ends a Revoke that hosts refused or too few confirmed.
type RevokeFailed struct{}

// Ordered ends an Order that the platform accepted.
type Ordered struct{}

// OrderRefused ends an Order that was fenced or named a dead upstream.
type OrderRefused struct{}

// OrderLost ends an Order without an answer.
type OrderLost struct{}

func (Answered) event()     {}
func (Troubled) event()     {}
func (ProbeFailed) event()  {}
func (Reported) event()     {}
func (AskEnded) event()     {}
func (Claimed) event()      {}
func (ClaimLost) event()    {}
func (Revoked) event()      {}
func (RevokeFailed) event() {}
func (Ordered) event()      {}
func (OrderRefused) event() {}
func (OrderLost) event()    {}

// Situation is what the host sees at a step.
type Situation struct {
	// Leader is empty if no upstream is believed to lead.
	Leader dffleet.ID
	// LeaderLeaving is true if it drains or vanished from the list.
	LeaderLeaving bool
	// Busy is true while requests wait for the leader.
	Busy bool
	// Patience is the silence that the leader's load explains, or zero.
	Patience dfclock.Millis
	// Listed are the upstreams that may lead, without draining ones.
	Listed []dffleet.ID
	// Members counts all upstreams in the list.
	Members int
	// SyncReplicas is how many replicas have each acknowledged commit.
	SyncReplicas int
	// Listener is true for a host that leaves the probes to others of its data
	// centre. Probes of many hosts would fill the slots of a busy leader.
	Listener bool
	// Told is true if the host that probes for a listener suspects the leader and
	// no host of the data centre hears from it.
	Told bool
	// OutOfTouch is true if the host can't reach a majority of the hosts, which it
	// needs to take the lead away from the leader.
	OutOfTouch bool
	// Rank is this host's place among the live hosts for the service.
	Rank int
	// Alive and Dead count hosts, this one left out, that heard from the leader
	// lately and that suspect it.
	Alive, Dead int
}

type phase int

const (
	watching phase = iota
	asking
	claiming
	revoking
	ordering
	settling
)

// Successor watches one service at one host. It is not safe for concurrent use.
type Successor struct {
	fencing Fencing
	phase   phase
	// since is when the phase began.
	since dfclock.Millis
	// leader is the upstream that the watch is about.
	leader     dffleet.ID
	answeredAt dfclock.Millis
	// answered is true once the leader answered; answeredAt is when it was first
	// known otherwise.
	answered bool
	// troubledAt is the newest trouble; it counts only after answeredAt.
	troubledAt dfclock.Millis
	// probing counts probes under way.
	probing  int
	probedAt dfclock.Millis
	failures int
	// probeSpan is the time of the leader's newest answer to a probe, at probeSpanAt.
	probeSpan   dfclock.Millis
	probeSpanAt dfclock.Millis
	// failedAt is when the newest probe without an answer was sent.
	failedAt dfclock.Millis
	// silent is true while a listener's requests wait for longer than the
	// leader's load explains.
	silent bool
	// suspectAt is when the leader became suspect, or Never.
	suspectAt dfclock.Millis
	// missingAt is since when no leader is known, or Never.
	missingAt dfclock.Millis
	// leavingAt is since when the leader leaves, or Never.
	leavingAt dfclock.Millis
	reports   []Reported
	askEnded  bool
	target    dffleet.ID
	// replaced is the leader that the decision is about.
	replaced dffleet.ID
	epoch    uint64
	tries    int
	// orderUntil is the instant from which no order is sent.
	orderUntil dfclock.Millis
	// sent is true while a revocation or an order waits for its answer.
	sent bool
	// restUntil is the instant before which nothing is decided.
	restUntil dfclock.Millis
	orderedAt dfclock.Millis
	// promotion is the measured time of a promotion.
	promotion dfclock.Millis
}

// New returns the state of a host that knows nothing yet.
func New(now dfclock.Millis, fencing Fencing) *Successor {
	return &Successor{
		fencing: fencing,
		since:   now, answeredAt: now, suspectAt: dfclock.Never,
		missingAt: dfclock.Never, leavingAt: dfclock.Never, promotion: usualPromotion,
	}
}

// Suspected reports whether the leader does not answer this host.
func (s *Successor) Suspected() bool {
	return s.suspectAt != dfclock.Never
}

// Silent reports whether the leader leaves this host's requests unanswered. It
// is a vote for others; a listener goes on sending until it is told.
func (s *Successor) Silent() bool {
	return s.silent
}

// DoubtedAt returns the instant after which an answer to any host shows that
// the leader lives.
func (s *Successor) DoubtedAt() dfclock.Millis {
	return max(s.answeredAt, s.failedAt)
}

// Heard reports whether the leader has answered since it was first known.
func (s *Successor) Heard() bool {
	return s.answered
}

// HeardAt returns when the leader answered last.
func (s *Successor) HeardAt() dfclock.Millis {
	return s.answeredAt
}

// Acting reports whether this host is changing the leader.
func (s *Successor) Acting() bool {
	return s.phase != watching
}

// BackAt estimates when the service has a leader again. It is in the past if
// there is one.
func (s *Successor) BackAt(now dfclock.Millis) dfclock.Millis {
	switch {
	case s.phase == settling:
		return s.orderedAt.Add(s.promotion)
	case s.phase != watching:
		return now.Add(s.promotion)
	case s.Suspected() || s.missingAt != dfclock.Never:
		return now.Add(s.promotion)
	}
	return 0
}

// Handle takes an event.
func (s *Successor) Handle(now dfclock.Millis, event Event) {
	switch e := event.(type) {
	case Answered:
		if e.ID == s.leader {
			s.heard(now)
			s.answered = true
		}
	case Troubled:
		if e.ID == s.leader {
			s.troubledAt = now
		}
	case ProbeFailed:
		s.probing--
		if e.ID == s.leader {
			s.failures++
			s.failedAt = max(s.failedAt, e.SentAt)
			if s.failures >= probesFailed && !s.Suspected() {
				s.suspectAt = now
			}
		}
	case Reported:
		s.reported(now, e)
	case AskEnded:
		s.askEnded = true
	case Claimed:
		if s.phase == claiming {
			s.epoch, s.tries, s.sent = e.Epoch, 0, false
			s.claimed(now)
		}
	case ClaimLost:
		s.giveUp(now, standDown)
	case Revoked:
		if s.phase == revoking {
			s.sent = false
			s.enter(now, ordering)
		}
	case RevokeFailed:
		if s.phase == revoking {
			s.giveUp(now, standDown)
		}
	case Ordered:
		if s.phase == ordering {
			s.orderedAt = now
			s.enter(now, settling)
		}
	case OrderRefused:
		s.giveUp(now, probeGap)
	case OrderLost:
		if s.phase == ordering {
			s.sent = false
			s.tries++
			if s.tries >= orderTries {
				s.giveUp(now, standDown)
			}
		}
	}
}

// claimed goes on after a claim.
func (s *Successor) claimed(now dfclock.Millis) {
	switch s.fencing.(type) {
	case HostsFence:
		// Others count from the claim, which was written after this phase began.
		s.orderUntil = s.since.Add(dfrevocation.HoldSpan - orderTravel)
		s.enter(now, revoking)
	default:
		s.orderUntil = now.Add(settleSpan)
		s.enter(now, ordering)
	}
}

func (s *Successor) heard(now dfclock.Millis) {
	s.answeredAt = now
	s.failures = 0
	s.silent = false
	s.suspectAt = dfclock.Never
}

func (s *Successor) reported(now dfclock.Millis, report Reported) {
	if report.Probe {
		s.probing--
		if report.ID == s.leader {
			s.probeSpan, s.probeSpanAt = now-report.AskedAt, now
		}
	}
	if s.phase == asking {
		s.reports = append(s.reports, report)
	}
	if report.ID == s.leader {
		s.heard(now)
	}
}

func (s *Successor) enter(now dfclock.Millis, next phase) {
	s.phase, s.since = next, now
}

// giveUp returns to the watch and decides nothing for a while.
func (s *Successor) giveUp(now, rest dfclock.Millis) {
	s.enter(now, watching)
	s.restUntil = now.Add(rest)
}

// Step returns what to do now. It is called several times a second.
func (s *Successor) Step(now dfclock.Millis, situation Situation) Action {
	s.observe(now, situation)
	if s.undecided() && s.leader != "" && !s.Suspected() && !situation.LeaderLeaving {
		// The leader answered after all.
		s.giveUp(now, probeGap)
	}
	switch s.phase {
	case watching:
		return s.watch(now, situation)
	case asking:
		return s.choose(now, situation)
	case settling:
		return s.settle(now, situation)
	case revoking:
		return s.revoke()
	case ordering:
		return s.order(now)
	}
	return Rest{}
}

// undecided reports whether a change of the leader is under way that can still
// be given up without an effect.
func (s *Successor) undecided() bool {
	return s.phase == asking || s.phase == claiming || s.phase == ordering && !s.sent
}

// revoke asks once; the question has a bound of its own.
func (s *Successor) revoke() Action {
	if s.sent {
		return Rest{}
	}
	s.sent = true
	return Revoke{Target: s.target, Replaced: s.replaced, Epoch: s.epoch}
}

// order repeats an order whose answer was lost. Repeats carry the same epoch
// and target, so that a late first try changes nothing.
func (s *Successor) order(now dfclock.Millis) Action {
	if now >= s.orderUntil {
		s.giveUp(now, probeGap)
		return Rest{}
	}
	if s.sent {
		return Rest{}
	}
	s.sent = true
	return Order{Target: s.target, Epoch: s.epoch}
}

// observe follows changes of the leader.
func (s *Successor) observe(now dfclock.Millis, situation Situation) {
	if situation.Leader != s.leader {
		if s.phase != watching && s.phase != settling && !s.takenAway(situation) {
			// The decision was about another leader.
			s.giveUp(now, standDown)
		}
		s.leader = situation.Leader
		s.heard(now)
		s.answered = false
		s.troubledAt, s.failedAt, s.probeSpan = 0, 0, 0
		s.leavingAt = dfclock.Never
	}
	s.missingAt = since(now, s.missingAt, situation.Leader == "")
	s.leavingAt = since(now, s.leavingAt, situation.LeaderLeaving)
	if situation.Listener {
		s.suspectAt = since(now, s.suspectAt, situation.Told)
	}
}

// takenAway reports whether the leader is gone because of this host's revocation.
func (s *Successor) takenAway(situation Situation) bool {
	return situation.Leader == "" && (s.phase == revoking || s.phase == ordering)
}

func since(now, known dfclock.Millis, holds bool) dfclock.Millis {
	if !holds {
		return dfclock.Never
	}
	return min(known, now)
}

func (s *Successor) watch(now dfclock.Millis, situation Situation) Action {
	if now < s.restUntil {
		return Rest{}
	}
	delay := dfclock.Millis(situation.Rank) * rankDelay
	if s.due(now, situation, delay) {
		s.reports, s.askEnded = nil, false
		s.enter(now, asking)
		return AskAll{}
	}
	quiet := situation.Busy && now-s.answeredAt >= max(quietSpan, situation.Patience)
	troubled := s.troubledAt > s.answeredAt
	s.silent = situation.Listener && (quiet || troubled)
	if situation.Leader == "" || situation.Listener || s.probing >= probesFailed || now-s.probedAt < probeGap {
		return Rest{}
	}
	if quiet || troubled || s.failures > 0 {
		return s.probe(now, situation.Leader, situation.Patience)
	}
	return Rest{}
}

func (s *Successor) probe(now dfclock.Millis, id dffleet.ID, patience dfclock.Millis) Action {
	s.probing, s.probedAt = s.probing+1, now
	if id == s.leader && now-s.probeSpanAt < probeTrust {
		patience = max(patience, probeSlack*s.probeSpan)
	}
	return Probe{ID: id, Timeout: min(probeTimeoutCap, max(probeTimeout, patience))}
}

// due tells whether it is time for this host to change the leader. Hosts of a
// higher rank wait longer, so that usually one acts.
func (s *Successor) due(now dfclock.Millis, situation Situation, delay dfclock.Millis) bool {
	if len(situation.Listed) == 0 || situation.OutOfTouch {
		return false
	}
	switch {
	case situation.Leader == "":
		return now-s.missingAt >= missingSpan+delay
	case s.Suspected():
		return !situation.Listener && now-s.suspectAt >= delay && situation.Dead+1 > situation.Alive
	case s.leavingAt != dfclock.Never:
		return now-s.leavingAt >= delay
	}
	return false
}

// choose claims an epoch for the upstream with the longest log, once a majority
// of the upstreams answered: the side of a partition that has fewer of them
// leaves the leader to the other side.
func (s *Successor) choose(now dfclock.Millis, situation Situation) Action {
	if !s.askEnded && now-s.since < askSpan && s.unanswered(situation) {
		return Rest{}
	}
	var best *Reported
	for i := range s.reports {
		report := &s.reports[i]
		if report.Primary && !report.Replaced && (report.ID != s.leader || !situation.LeaderLeaving) {
			// The service has a leader that answers.
			s.giveUp(now, probeGap)
			return Rest{}
		}
		if report.ID == s.leader || !slices.Contains(situation.Listed, report.ID) {
			continue
		}
		if best == nil || best.Received.Less(report.Received) {
			best = report
		}
	}
	if best == nil || !s.suffices(situation) || s.outranked(best) {
		s.giveUp(now, probeGap)
		return Rest{}
	}
	s.target, s.replaced = best.ID, s.leader
	s.enter(now, claiming)
	return Claim{Target: best.ID, Replaced: s.leader}
}

// suffices tells whether a majority of the upstreams answered, and so many of the
// replicas that one of them has every acknowledged commit: the others are fewer
// than the replicas that acknowledge.
func (s *Successor) suffices(situation Situation) bool {
	replicas := 0
	for _, report := range s.reports {
		if report.ID != s.leader {
			replicas++
		}
	}
	missing := situation.Members - 1 - replicas
	return len(s.reports)*2 > situation.Members && (situation.SyncReplicas == 0 || missing < situation.SyncReplicas)
}

// outranked tells whether some upstream has seen a newer term than the
// candidate. Promoting it would bring back what that term discarded.
func (s *Successor) outranked(candidate *Reported) bool {
	for i := range s.reports {
		if s.reports[i].Received.Term > candidate.Received.Term {
			return true
		}
	}
	return false
}

// unanswered tells whether an upstream that matters has not reported yet. A
// suspect leader is not waited for.
func (s *Successor) unanswered(situation Situation) bool {
	for _, id := range situation.Listed {
		if id == s.leader && s.Suspected() {
			continue
		}
		if !s.hasReport(id) {
			return true
		}
	}
	return false
}

func (s *Successor) hasReport(id dffleet.ID) bool {
	for _, report := range s.reports {
		if report.ID == id {
			return true
		}
	}
	return false
}

// settle waits until the target leads.
func (s *Successor) settle(now dfclock.Millis, situation Situation) Action {
	if situation.Leader == s.target {
		s.promotion = max(dfclock.Millisecond, now-s.orderedAt)
		s.giveUp(now, 0)
		return Rest{}
	}
	if now-s.orderedAt >= settleSpan {
		s.giveUp(now, probeGap)
		return Rest{}
	}
	if s.probing == 0 && now-s.probedAt >= probeGap && now-s.orderedAt >= s.promotion/2 {
		return s.probe(now, s.target, 0)
	}
	return Rest{}
}
