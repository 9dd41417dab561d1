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
	silenceTimeout = 200 * dfclock.Millisecond
	// probeTimeout and probeTimeoutCap bound a probe: a fresh connection that
	// waits for a slot as long as the leader's load explains.
	probeTimeout    = 250 * dfclock.Millisecond
	maxProbeTimeout = dfclock.Second
	// probeSlack times the last probe's answer is what the next one gets: a queue
	// that grows doubles between two probes at most.
	probeTimeoutFactor = 2
	// probeTrust is how long an answer tells of the leader's queue.
	probeLatencyTTL = 2 * dfclock.Second
	// probeGap is the pause between two probes, so that one lost packet or one
	// restart of a listener does not cost a leader its lead.
	probeInterval = 100 * dfclock.Millisecond
	// probesFailed is the number of probes in a row that make a leader suspect.
	suspectAfterFailures = 2
	// rankDelay is the time that a host of the next rank waits for the others.
	rankDelay = 150 * dfclock.Millisecond
	// missingSpan is how long a service may be without a leader in the list
	// before a promotion: the time of a change that is under way.
	leaderlessTimeout = 1500 * dfclock.Millisecond
	// askSpan bounds the questions to the replicas.
	queryTimeout = 400 * dfclock.Millisecond
	// usualPromotion is the time that a promotion takes before any was measured:
	// the longest of the two users' deployments.
	defaultPromotionTime = dfclock.Second
	// settleSpan is how long an ordered promotion may take to show.
	promotionTimeout = 2500 * dfclock.Millisecond
	// orderTries bounds repeats of an order without an answer.
	maxPromoteAttempts = 4
	// orderTravel is the end of the other hosts' promises in which no order is sent
	// any more: some times the way to the platform.
	promoteSafetyMargin = 200 * dfclock.Millisecond
	// standDown is the pause after another host acted.
	conflictBackoff = 1500 * dfclock.Millisecond
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
type NoAction struct{}

// Probe asks for a status over a fresh connection.
type Probe struct {
	ID      dffleet.ID
	Timeout dfclock.Millis
}

// AskAll asks for the status of all upstreams of the service.
type QueryAll struct{}

// Claim asks for an epoch from the platform's table. It holds only against the
// leader that the decision was about.
type Claim struct{ Target, Replaced dffleet.ID }

// Revoke asks all hosts to stop using the leader.
type Revoke struct {
	Target, Replaced dffleet.ID
	Epoch            uint64
}

// Order asks the platform to promote.
type Promote struct {
	Target dffleet.ID
	Epoch  uint64
}

func (NoAction) action() {}
func (Probe) action()    {}
func (QueryAll) action() {}
func (Claim) action()    {}
func (Revoke) action()   {}
func (Promote) action()  {}

// Event is the result of an action, or news of the leader.
type Event interface{ event() }

// Answered tells that an upstream answered on any connection.
type Answered struct{ ID dffleet.ID }

// Troubled tells that a connection to an upstream failed.
type ConnectionFailed struct{ ID dffleet.ID }

// ProbeFailed ends a Probe without an answer.
type ProbeFailed struct {
	ID     dffleet.ID
	SentAt dfclock.Millis
}

// Reported is one answer to AskAll or Probe.
type StatusReceived struct {
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
type QueryEnded struct{}

// Claimed ends a Claim with an epoch.
type Claimed struct{ Epoch uint64 }

// ClaimLost ends a Claim: another host acts, or the platform does not answer.
type ClaimFailed struct{}

// Revoked ends a Revoke: no host uses the leader any more.
type Revoked struct{}

// RevokeFailed ends a Revoke that hosts refused or too few confirmed.
type RevokeFailed struct{}

// Ordered ends an Order that the platform accepted.
type PromoteAccepted struct{}

// OrderRefused ends an Order that was fenced or named a dead upstream.
type PromoteRefused struct{}

// OrderLost ends an Order without an answer.
type PromoteUnanswered struct{}

func (Answered) event()          {}
func (ConnectionFailed) event()  {}
func (ProbeFailed) event()       {}
func (StatusReceived) event()    {}
func (QueryEnded) event()        {}
func (Claimed) event()           {}
func (ClaimFailed) event()       {}
func (Revoked) event()           {}
func (RevokeFailed) event()      {}
func (PromoteAccepted) event()   {}
func (PromoteRefused) event()    {}
func (PromoteUnanswered) event() {}

// Situation is what the host sees at a step.
type Observation struct {
	// Leader is empty if no upstream is believed to lead.
	Leader dffleet.ID
	// LeaderLeaving is true if it drains or vanished from the list.
	LeaderLeaving bool
	// Busy is true while requests wait for the leader.
	AwaitingLeader bool
	// Patience is the silence that the leader's load explains, or zero.
	ExpectedDelay dfclock.Millis
	// Listed are the upstreams that may lead, without draining ones.
	Candidates []dffleet.ID
	// Members counts all upstreams in the list.
	UpstreamCount int
	// SyncReplicas is how many replicas have each acknowledged commit.
	SyncReplicas int
	// Listener is true for a host that leaves the probes to others of its data
	// centre. Probes of many hosts would fill the slots of a busy leader.
	DelegatesProbes bool
	// Told is true if the host that probes for a listener suspects the leader and
	// no host of the data centre hears from it.
	SuspectedByProber bool
	// OutOfTouch is true if the host can't reach a majority of the hosts, which it
	// needs to take the lead away from the leader.
	NoQuorum bool
	// Rank is this host's place among the live hosts for the service.
	Rank int
	// Alive and Dead count hosts, this one left out, that heard from the leader
	// lately and that suspect it.
	AliveVotes, DeadVotes int
}

type phase int

const (
	watching phase = iota
	querying
	claiming
	revoking
	promoting
	awaitingPromotion
)

// Successor watches one service at one host. It is not safe for concurrent use.
type Coordinator struct {
	fencing Fencing
	phase   phase
	// since is when the phase began.
	phaseStart dfclock.Millis
	// leader is the upstream that the watch is about.
	leader     dffleet.ID
	answeredAt dfclock.Millis
	// answered is true once the leader answered; answeredAt is when it was first
	// known otherwise.
	answered bool
	// troubledAt is the newest trouble; it counts only after answeredAt.
	connectionFailedAt dfclock.Millis
	// probing counts probes under way.
	probesInFlight int
	probedAt       dfclock.Millis
	probeFailures  int
	// probeSpan is the time of the leader's newest answer to a probe, at probeSpanAt.
	probeLatency   dfclock.Millis
	probeLatencyAt dfclock.Millis
	// failedAt is when the newest probe without an answer was sent.
	failedProbeSentAt dfclock.Millis
	// silent is true while a listener's requests wait for longer than the
	// leader's load explains.
	unresponsive bool
	// suspectAt is when the leader became suspect, or Never.
	suspectedSince dfclock.Millis
	// missingAt is since when no leader is known, or Never.
	leaderlessSince dfclock.Millis
	// leavingAt is since when the leader leaves, or Never.
	leavingSince dfclock.Millis
	reports      []StatusReceived
	queryEnded   bool
	target       dffleet.ID
	// replaced is the leader that the decision is about.
	replaced        dffleet.ID
	epoch           uint64
	promoteAttempts int
	// orderUntil is the instant from which no order is sent.
	promoteDeadline dfclock.Millis
	// sent is true while a revocation or an order waits for its answer.
	requestInFlight bool
	// restUntil is the instant before which nothing is decided.
	backoffUntil      dfclock.Millis
	promoteAcceptedAt dfclock.Millis
	// promotion is the measured time of a promotion.
	promotionTime dfclock.Millis
}

// New returns the state of a host that knows nothing yet.
func New(now dfclock.Millis, fencing Fencing) *Coordinator {
	return &Coordinator{
		fencing:    fencing,
		phaseStart: now, answeredAt: now, suspectedSince: dfclock.Never,
		leaderlessSince: dfclock.Never, leavingSince: dfclock.Never, promotionTime: defaultPromotionTime,
	}
}

// Suspected reports whether the leader does not answer this host.
func (s *Coordinator) Suspected() bool {
	return s.suspectedSince != dfclock.Never
}

// Silent reports whether the leader leaves this host's requests unanswered. It
// is a vote for others; a listener goes on sending until it is told.
func (s *Coordinator) Unresponsive() bool {
	return s.unresponsive
}

// DoubtedAt returns the instant after which an answer to any host shows that
// the leader lives.
func (s *Coordinator) LivenessCutoff() dfclock.Millis {
	return max(s.answeredAt, s.failedProbeSentAt)
}

// Heard reports whether the leader has answered since it was first known.
func (s *Coordinator) HasAnswered() bool {
	return s.answered
}

// HeardAt returns when the leader answered last.
func (s *Coordinator) AnsweredAt() dfclock.Millis {
	return s.answeredAt
}

// Acting reports whether this host is changing the leader.
func (s *Coordinator) ChangingLeader() bool {
	return s.phase != watching
}

// BackAt estimates when the service has a leader again. It is in the past if
// there is one.
func (s *Coordinator) LeaderExpectedAt(now dfclock.Millis) dfclock.Millis {
	switch {
	case s.phase == awaitingPromotion:
		return s.promoteAcceptedAt.Add(s.promotionTime)
	case s.phase != watching:
		return now.Add(s.promotionTime)
	case s.Suspected() || s.leaderlessSince != dfclock.Never:
		return now.Add(s.promotionTime)
	}
	return 0
}

// Handle takes an event.
func (s *Coordinator) Handle(now dfclock.Millis, event Event) {
	switch e := event.(type) {
	case Answered:
		if e.ID == s.leader {
			s.recordAnswer(now)
			s.answered = true
		}
	case ConnectionFailed:
		if e.ID == s.leader {
			s.connectionFailedAt = now
		}
	case ProbeFailed:
		s.probesInFlight--
		if e.ID == s.leader {
			s.probeFailures++
			s.failedProbeSentAt = max(s.failedProbeSentAt, e.SentAt)
			if s.probeFailures >= suspectAfterFailures && !s.Suspected() {
				s.suspectedSince = now
			}
		}
	case StatusReceived:
		s.recordStatus(now, e)
	case QueryEnded:
		s.queryEnded = true
	case Claimed:
		if s.phase == claiming {
			s.epoch, s.promoteAttempts, s.requestInFlight = e.Epoch, 0, false
			s.onClaimed(now)
		}
	case ClaimFailed:
		s.abort(now, conflictBackoff)
	case Revoked:
		if s.phase == revoking {
			s.requestInFlight = false
			s.enterPhase(now, promoting)
		}
	case RevokeFailed:
		if s.phase == revoking {
			s.abort(now, conflictBackoff)
		}
	case PromoteAccepted:
		if s.phase == promoting {
			s.promoteAcceptedAt = now
			s.enterPhase(now, awaitingPromotion)
		}
	case PromoteRefused:
		s.abort(now, probeInterval)
	case PromoteUnanswered:
		if s.phase == promoting {
			s.requestInFlight = false
			s.promoteAttempts++
			if s.promoteAttempts >= maxPromoteAttempts {
				s.abort(now, conflictBackoff)
			}
		}
	}
}

// claimed goes on after a claim.
func (s *Coordinator) onClaimed(now dfclock.Millis) {
	switch s.fencing.(type) {
	case HostsFence:
		// Others count from the claim, which was written after this phase began.
		s.promoteDeadline = s.phaseStart.Add(dfrevocation.PromiseSpan - promoteSafetyMargin)
		s.enterPhase(now, revoking)
	default:
		s.promoteDeadline = now.Add(promotionTimeout)
		s.enterPhase(now, promoting)
	}
}

func (s *Coordinator) recordAnswer(now dfclock.Millis) {
	s.answeredAt = now
	s.probeFailures = 0
	s.unresponsive = false
	s.suspectedSince = dfclock.Never
}

func (s *Coordinator) recordStatus(now dfclock.Millis, report StatusReceived) {
	if report.Probe {
		s.probesInFlight--
		if report.ID == s.leader {
			s.probeLatency, s.probeLatencyAt = now-report.AskedAt, now
		}
	}
	if s.phase == querying {
		s.reports = append(s.reports, report)
	}
	if report.ID == s.leader {
		s.recordAnswer(now)
	}
}

func (s *Coordinator) enterPhase(now dfclock.Millis, next phase) {
	s.phase, s.phaseStart = next, now
}

// giveUp returns to the watch and decides nothing for a while.
func (s *Coordinator) abort(now, rest dfclock.Millis) {
	s.enterPhase(now, watching)
	s.backoffUntil = now.Add(rest)
}

// Step returns what to do now. It is called several times a second.
func (s *Coordinator) Step(now dfclock.Millis, situation Observation) Action {
	s.observe(now, situation)
	if s.abortable() && s.leader != "" && !s.Suspected() && !situation.LeaderLeaving {
		// The leader answered after all.
		s.abort(now, probeInterval)
	}
	switch s.phase {
	case watching:
		return s.watch(now, situation)
	case querying:
		return s.selectTarget(now, situation)
	case awaitingPromotion:
		return s.awaitPromotion(now, situation)
	case revoking:
		return s.revoke()
	case promoting:
		return s.promote(now)
	}
	return NoAction{}
}

// undecided reports whether a change of the leader is under way that can still
// be given up without an effect.
func (s *Coordinator) abortable() bool {
	return s.phase == querying || s.phase == claiming || s.phase == promoting && !s.requestInFlight
}

// revoke asks once; the question has a bound of its own.
func (s *Coordinator) revoke() Action {
	if s.requestInFlight {
		return NoAction{}
	}
	s.requestInFlight = true
	return Revoke{Target: s.target, Replaced: s.replaced, Epoch: s.epoch}
}

// order repeats an order whose answer was lost. Repeats carry the same epoch
// and target, so that a late first try changes nothing.
func (s *Coordinator) promote(now dfclock.Millis) Action {
	if now >= s.promoteDeadline {
		s.abort(now, probeInterval)
		return NoAction{}
	}
	if s.requestInFlight {
		return NoAction{}
	}
	s.requestInFlight = true
	return Promote{Target: s.target, Epoch: s.epoch}
}

// observe follows changes of the leader.
func (s *Coordinator) observe(now dfclock.Millis, situation Observation) {
	if situation.Leader != s.leader {
		if s.phase != watching && s.phase != awaitingPromotion && !s.leaderRevoked(situation) {
			// The decision was about another leader.
			s.abort(now, conflictBackoff)
		}
		s.leader = situation.Leader
		s.recordAnswer(now)
		s.answered = false
		s.connectionFailedAt, s.failedProbeSentAt, s.probeLatency = 0, 0, 0
		s.leavingSince = dfclock.Never
	}
	s.leaderlessSince = trackSince(now, s.leaderlessSince, situation.Leader == "")
	s.leavingSince = trackSince(now, s.leavingSince, situation.LeaderLeaving)
	if situation.DelegatesProbes {
		s.suspectedSince = trackSince(now, s.suspectedSince, situation.SuspectedByProber)
	}
}

// takenAway reports whether the leader is gone because of this host's revocation.
func (s *Coordinator) leaderRevoked(situation Observation) bool {
	return situation.Leader == "" && (s.phase == revoking || s.phase == promoting)
}

func trackSince(now, known dfclock.Millis, holds bool) dfclock.Millis {
	if !holds {
		return dfclock.Never
	}
	return min(known, now)
}

func (s *Coordinator) watch(now dfclock.Millis, situation Observation) Action {
	if now < s.backoffUntil {
		return NoAction{}
	}
	delay := dfclock.Millis(situation.Rank) * rankDelay
	if s.changeDue(now, situation, delay) {
		s.reports, s.queryEnded = nil, false
		s.enterPhase(now, querying)
		return QueryAll{}
	}
	quiet := situation.AwaitingLeader && now-s.answeredAt >= max(silenceTimeout, situation.ExpectedDelay)
	troubled := s.connectionFailedAt > s.answeredAt
	s.unresponsive = situation.DelegatesProbes && (quiet || troubled)
	if situation.Leader == "" || situation.DelegatesProbes || s.probesInFlight >= suspectAfterFailures || now-s.probedAt < probeInterval {
		return NoAction{}
	}
	if quiet || troubled || s.probeFailures > 0 {
		return s.probe(now, situation.Leader, situation.ExpectedDelay)
	}
	return NoAction{}
}

func (s *Coordinator) probe(now dfclock.Millis, id dffleet.ID, patience dfclock.Millis) Action {
	s.probesInFlight, s.probedAt = s.probesInFlight+1, now
	if id == s.leader && now-s.probeLatencyAt < probeLatencyTTL {
		patience = max(patience, probeTimeoutFactor*s.probeLatency)
	}
	return Probe{ID: id, Timeout: min(maxProbeTimeout, max(probeTimeout, patience))}
}

// due tells whether it is time for this host to change the leader. Hosts of a
// higher rank wait longer, so that usually one acts.
func (s *Coordinator) changeDue(now dfclock.Millis, situation Observation, delay dfclock.Millis) bool {
	if len(situation.Candidates) == 0 || situation.NoQuorum {
		return false
	}
	switch {
	case situation.Leader == "":
		return now-s.leaderlessSince >= leaderlessTimeout+delay
	case s.Suspected():
		return !situation.DelegatesProbes && now-s.suspectedSince >= delay && situation.DeadVotes+1 > situation.AliveVotes
	case s.leavingSince != dfclock.Never:
		return now-s.leavingSince >= delay
	}
	return false
}

// choose claims an epoch for the upstream with the longest log, once a majority
// of the upstreams answered: the side of a partition that has fewer of them
// leaves the leader to the other side.
func (s *Coordinator) selectTarget(now dfclock.Millis, situation Observation) Action {
	if !s.queryEnded && now-s.phaseStart < queryTimeout && s.reportsMissing(situation) {
		return NoAction{}
	}
	var best *StatusReceived
	for i := range s.reports {
		report := &s.reports[i]
		if report.Primary && !report.Replaced && (report.ID != s.leader || !situation.LeaderLeaving) {
			// The service has a leader that answers.
			s.abort(now, probeInterval)
			return NoAction{}
		}
		if report.ID == s.leader || !slices.Contains(situation.Candidates, report.ID) {
			continue
		}
		if best == nil || best.Received.Less(report.Received) {
			best = report
		}
	}
	if best == nil || !s.enoughReports(situation) || s.newerTermReported(best) {
		s.abort(now, probeInterval)
		return NoAction{}
	}
	s.target, s.replaced = best.ID, s.leader
	s.enterPhase(now, claiming)
	return Claim{Target: best.ID, Replaced: s.leader}
}

// suffices tells whether a majority of the upstreams answered, and so many of the
// replicas that one of them has every acknowledged commit: the others are fewer
// than the replicas that acknowledge.
func (s *Coordinator) enoughReports(situation Observation) bool {
	replicas := 0
	for _, report := range s.reports {
		if report.ID != s.leader {
			replicas++
		}
	}
	missing := situation.UpstreamCount - 1 - replicas
	return len(s.reports)*2 > situation.UpstreamCount && (situation.SyncReplicas == 0 || missing < situation.SyncReplicas)
}

// outranked tells whether some upstream has seen a newer term than the
// candidate. Promoting it would bring back what that term discarded.
func (s *Coordinator) newerTermReported(candidate *StatusReceived) bool {
	for i := range s.reports {
		if s.reports[i].Received.Term > candidate.Received.Term {
			return true
		}
	}
	return false
}

// unanswered tells whether an upstream that matters has not reported yet. A
// suspect leader is not waited for.
func (s *Coordinator) reportsMissing(situation Observation) bool {
	for _, id := range situation.Candidates {
		if id == s.leader && s.Suspected() {
			continue
		}
		if !s.hasReport(id) {
			return true
		}
	}
	return false
}

func (s *Coordinator) hasReport(id dffleet.ID) bool {
	for _, report := range s.reports {
		if report.ID == id {
			return true
		}
	}
	return false
}

// settle waits until the target leads.
func (s *Coordinator) awaitPromotion(now dfclock.Millis, situation Observation) Action {
	if situation.Leader == s.target {
		s.promotionTime = max(dfclock.Millisecond, now-s.promoteAcceptedAt)
		s.abort(now, 0)
		return NoAction{}
	}
	if now-s.promoteAcceptedAt >= promotionTimeout {
		s.abort(now, probeInterval)
		return NoAction{}
	}
	if s.probesInFlight == 0 && now-s.probedAt >= probeInterval && now-s.promoteAcceptedAt >= s.promotionTime/2 {
		return s.probe(now, s.target, 0)
	}
	return NoAction{}
}
