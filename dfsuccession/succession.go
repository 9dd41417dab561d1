// Package dfsuccession decides when a service needs a new leader and which
// upstream to promote, on platforms that carry out promotions on request. Each
// promotion is fenced by an epoch, the version of a row in the platform's table,
// so that only one of two hosts that act at the same time takes effect.
package dfsuccession

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfhandover"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfrevocation"
)

const (
	// silenceTimeout is how long a leader with pending requests may send nothing
	// before it is probed. It is several times the execution time of the longest
	// common statement.
	silenceTimeout = 200 * dfclock.Millisecond
	// probeTimeout and maxProbeTimeout are the least and the greatest timeout of a
	// probe. A probe opens a new connection, which waits for a slot like any
	// statement, so its timeout follows the leader's load.
	probeTimeout    = 250 * dfclock.Millisecond
	maxProbeTimeout = dfclock.Second
	// probeTimeoutFactor times the latency of the last probe is the timeout of the
	// next one, because a growing queue at most doubles between two probes.
	probeTimeoutFactor = 2
	// probeLatencyTTL is how long the latency of a probe counts as an estimate of
	// the leader's queue.
	probeLatencyTTL = 2 * dfclock.Second
	// probeInterval is the pause between two probes, so that one lost packet or
	// one restart of a listening socket does not cause a promotion.
	probeInterval = 100 * dfclock.Millisecond
	// suspectAfterFailures is the number of consecutive failed probes after which
	// a leader is suspected.
	suspectAfterFailures = 2
	// rankDelay is how much longer a host waits than the host ranked before it.
	rankDelay = 150 * dfclock.Millisecond
	// leaderlessTimeout is how long the list may show no leader of a service
	// before a promotion. It leaves time for a promotion that is under way.
	leaderlessTimeout = 1500 * dfclock.Millisecond
	// queryTimeout bounds the status requests to the upstreams.
	queryTimeout = 400 * dfclock.Millisecond
	// defaultPromotionTime is the assumed duration of a promotion before one was
	// measured: the longest of the two known deployments.
	defaultPromotionTime = dfclock.Second
	// promotionTimeout is how long an accepted promotion may take until the target
	// is seen as the leader.
	promotionTimeout = 2500 * dfclock.Millisecond
	// maxPromoteAttempts bounds the retries of a promotion that got no answer.
	maxPromoteAttempts = 4
	// promoteSafetyMargin is how long before the other hosts' promises expire the
	// last promotion is sent. It is several times the latency to the platform.
	promoteSafetyMargin = 200 * dfclock.Millisecond
	// declinedBackoff is the pause after the platform declined the promotion of a held
	// change. The hosts of the next ranks act within it.
	declinedBackoff = 2500 * dfclock.Millisecond
	// conflictBackoff is the pause after another host acted or may have acted.
	conflictBackoff = 1500 * dfclock.Millisecond
)

// Fencing selects how a replaced leader is kept from serving.
type Fencing interface{ fencing() }

// PlatformFences is for platforms that demote a replaced leader and reject
// promotions of an older epoch.
type PlatformFences struct{}

// HostsFence is for platforms that do neither: before a promotion, every host has
// to stop using the leader.
type HostsFence struct{}

func (PlatformFences) fencing() {}
func (HostsFence) fencing()     {}

// Observation is what the host knows of the service at a step.
type Observation struct {
	// Leader is empty if no upstream is believed to lead.
	Leader dffleet.ID
	// LeaderLeaving is true if the leader drains or vanished from the list.
	LeaderLeaving bool
	// AwaitingLeader is true if answers of the leader are due: requests wait for
	// it, or this host checks the leaders for its data centre.
	AwaitingLeader bool
	// ExpectedDelay is the silence to expect at the leader's load, or zero.
	ExpectedDelay dfclock.Millis
	// Upstreams are all upstreams of the service in the list.
	Upstreams []Upstream
	// Candidates are the upstreams that may lead, without draining ones.
	Candidates []dffleet.ID
	// SyncReplicas is the number of replicas that have each acknowledged commit.
	SyncReplicas int
	// WritesHeld is true while hosts send no writes to the leader because of a change.
	WritesHeld bool
	// DelegatesProbes is true if other hosts of the data centre probe the leader
	// for this one. Probes of many hosts would fill the slots of a busy leader.
	DelegatesProbes bool
	// SuspectedByProber is true if the host that probes for this one suspects the
	// leader and no host of the data centre hears from it.
	SuspectedByProber bool
	// NoQuorum is true if the host can't reach a majority of the hosts, which it
	// needs to revoke the leader.
	NoQuorum bool
	// Rank is this host's position among the live hosts for the service, from zero.
	Rank int
	// AliveVotes and DeadVotes count the other hosts that recently heard from the
	// leader and those that suspect it.
	AliveVotes, DeadVotes int
}

type phase int

const (
	watching phase = iota
	querying
	claiming
	revoking
	comparing
	promoting
	awaitingPromotion
)

// Coordinator decides about the leader of one service at one host. It is not safe
// for concurrent use.
type Coordinator struct {
	fencing    Fencing
	phase      phase
	phaseStart dfclock.Millis
	// leader is the upstream that is monitored, or empty.
	leader dffleet.ID
	// answeredAt is when the leader last answered, or when it was first known if
	// answered is false.
	answeredAt dfclock.Millis
	answered   bool
	// connectionFailedAt is when a connection to the leader last failed. It is
	// ignored if the leader answered since.
	connectionFailedAt dfclock.Millis
	probesInFlight     int
	probedAt           dfclock.Millis
	// probeFailures counts failed probes since the leader's last answer.
	probeFailures int
	// probeLatency is the latency of the leader's newest answer to a probe, and
	// probeLatencyAt when it arrived.
	probeLatency   dfclock.Millis
	probeLatencyAt dfclock.Millis
	// failedProbeSentAt is when the newest probe without an answer was sent.
	failedProbeSentAt dfclock.Millis
	// unresponsive is true while a host that delegates its probes waits for the
	// leader longer than the leader's load explains, or lost a connection to it.
	unresponsive bool
	// suspectedSince, leaderlessSince and leavingSince are when the leader became
	// suspect, became unknown and began to leave, or Never.
	suspectedSince  dfclock.Millis
	leaderlessSince dfclock.Millis
	leavingSince    dfclock.Millis
	// heldSince is since when writes to the leader are held, or Never.
	heldSince dfclock.Millis
	// reports has the newest report of each upstream that answered.
	reports    []StatusReceived
	queryEnded bool
	// leaderEnd is an earlier end of the leader's log to compare the candidates with, or
	// zero.
	leaderEnd dfposition.Position
	// syncReplicas, upstreams and candidates are those of the last observation, and
	// lastLeader is the last leader that was known.
	syncReplicas int
	upstreams    []Upstream
	candidates   []dffleet.ID
	lastLeader   dffleet.ID
	// departures are the replicas whose logs count as missing, and departuresAskedAt is
	// when the logs were last asked for because of them.
	departures        []departure
	departuresAskedAt dfclock.Millis
	// holding is true while the hosts send no writes to the leader because of this
	// change. handover decides how long they wait for the target.
	holding  bool
	handover dfhandover.Handover
	// target is the upstream to promote. A promotion names only the target of its claim.
	target dffleet.ID
	// claimed is the target of another host's change, or empty. If that host is gone, a
	// change with the same target can't discard commits of the other one.
	claimed dffleet.ID
	// replaced is the leader that target replaces.
	replaced        dffleet.ID
	epoch           uint64
	promoteAttempts int
	// unanswered counts the attempts that got no answer.
	unanswered int
	// promoteDeadline is the instant from which no promotion is sent.
	promoteDeadline dfclock.Millis
	// requestInFlight is true while a revocation or promotion waits for its answer.
	requestInFlight bool
	// orderSent is true if a promotion of the epoch may take effect.
	orderSent bool
	// backoffUntil is the instant before which no change is started.
	backoffUntil      dfclock.Millis
	promoteAcceptedAt dfclock.Millis
	// promotionTime is the measured duration of the last promotion.
	promotionTime dfclock.Millis
}

// New returns a coordinator that knows no leader yet.
func New(now dfclock.Millis, fencing Fencing) *Coordinator {
	return &Coordinator{
		fencing:    fencing,
		phaseStart: now, answeredAt: now, suspectedSince: dfclock.Never,
		leaderlessSince: dfclock.Never, leavingSince: dfclock.Never, heldSince: dfclock.Never, promotionTime: defaultPromotionTime,
	}
}

// Suspected reports whether the leader does not answer this host.
func (c *Coordinator) Suspected() bool {
	return c.suspectedSince != dfclock.Never
}

// Unresponsive reports whether the leader leaves the requests of a host that
// delegates its probes unanswered. It is a vote for other hosts; the host itself
// keeps using the leader until the host that probes suspects it.
func (c *Coordinator) Unresponsive() bool {
	return c.unresponsive
}

// LivenessCutoff returns the instant after which an answer to any host shows that
// the leader is alive.
func (c *Coordinator) LivenessCutoff() dfclock.Millis {
	return max(c.answeredAt, c.failedProbeSentAt)
}

// HasAnswered reports whether the leader has answered since it was first known.
func (c *Coordinator) HasAnswered() bool {
	return c.answered
}

// AnsweredAt returns when the leader last answered.
func (c *Coordinator) AnsweredAt() dfclock.Millis {
	return c.answeredAt
}

// ChangingLeader reports whether this host is changing the leader.
func (c *Coordinator) ChangingLeader() bool {
	return c.phase != watching
}

// PromotionTime returns the expected duration of a promotion.
func (c *Coordinator) PromotionTime() dfclock.Millis {
	return c.promotionTime
}

// LeaderExpectedAt estimates when the service will have a leader. It is in the
// past if the service has one.
func (c *Coordinator) LeaderExpectedAt(now dfclock.Millis) dfclock.Millis {
	switch {
	case c.phase == awaitingPromotion:
		return c.promoteAcceptedAt.Add(c.promotionTime)
	case c.phase != watching:
		return now.Add(c.promotionTime)
	case c.Suspected() || c.leaderlessSince != dfclock.Never:
		return now.Add(c.promotionTime)
	}
	return 0
}

// Handle processes an event.
func (c *Coordinator) Handle(now dfclock.Millis, event Event) {
	switch e := event.(type) {
	case Answered:
		if e.ID == c.leader {
			c.recordAnswer(now)
			c.answered = true
		}
	case ConnectionFailed:
		if e.ID == c.leader {
			c.connectionFailedAt = now
		}
	case ProbeFailed:
		c.probesInFlight--
		if e.ID == c.leader {
			c.probeFailures++
			c.failedProbeSentAt = max(c.failedProbeSentAt, e.SentAt)
			if c.probeFailures >= suspectAfterFailures && !c.Suspected() {
				c.suspectedSince = now
			}
		}
	case StatusReceived:
		c.recordStatus(now, e)
	case QueryEnded:
		c.queryEnded = true
	case Claimed:
		if c.phase == claiming {
			c.epoch, c.promoteAttempts, c.unanswered, c.requestInFlight, c.orderSent = e.Epoch, 0, 0, false, false
			c.onClaimed(now)
		}
	case ClaimFailed:
		c.claimed = e.Claimed
		c.resumeWatching(now, conflictBackoff)
	case Revoked:
		if c.phase == revoking {
			c.requestInFlight = false
			c.onRevoked(now)
		}
	case RevokeFailed:
		if c.phase == revoking {
			c.resumeWatching(now, conflictBackoff)
		}
	case PromoteAccepted:
		if c.phase == promoting {
			c.promoteAcceptedAt = now
			c.enterPhase(now, awaitingPromotion)
		}
	case PromoteRefused:
		c.orderSent = c.unanswered > 0
		c.resumeWatching(now, probeInterval)
	case PromoteDeclined:
		if c.phase == promoting {
			c.orderSent = c.unanswered > 0
			c.onPromoteFailed(now)
		}
	case PromoteUnanswered:
		if c.phase == promoting {
			c.unanswered++
			c.onPromoteFailed(now)
		}
	}
}

// onPromoteFailed lets a promotion be sent again, or gives the change up. Other hosts
// have no part in a held change until its claim has ended, so this host stands back.
func (c *Coordinator) onPromoteFailed(now dfclock.Millis) {
	c.requestInFlight = false
	c.promoteAttempts++
	declined := c.holding && !c.orderSent
	if c.promoteAttempts < maxPromoteAttempts && !declined {
		return
	}
	c.resumeWatching(now, c.failedOrderBackoff())
}

// failedOrderBackoff is the pause after a promotion was given up.
func (c *Coordinator) failedOrderBackoff() dfclock.Millis {
	switch {
	case !c.holding:
		return conflictBackoff
	case c.orderSent:
		return HeldChangeSpan + declinedBackoff
	}
	return declinedBackoff
}

// onClaimed starts the next phase after an epoch was acquired.
func (c *Coordinator) onClaimed(now dfclock.Millis) {
	switch c.fencing.(type) {
	case HostsFence:
		// Other hosts count their promises from the claim, which was written after
		// this phase began.
		c.promoteDeadline = c.phaseStart.Add(dfrevocation.PromiseSpan - promoteSafetyMargin)
		c.enterPhase(now, revoking)
	default:
		if c.syncReplicas > 0 {
			c.promoteDeadline = now.Add(heldPromotionSpan)
			c.enterPhase(now, revoking)
			return
		}
		c.promoteDeadline = now.Add(promotionTimeout)
		c.enterPhase(now, promoting)
	}
}

// onRevoked starts the next phase after no host uses the leader any more, or sends it
// writes.
func (c *Coordinator) onRevoked(now dfclock.Millis) {
	if c.syncReplicas == 0 {
		c.enterPhase(now, promoting)
		return
	}
	_, c.holding = c.fencing.(PlatformFences)
	c.beginHeldChange(now)
}

func (c *Coordinator) recordAnswer(now dfclock.Millis) {
	c.answeredAt = now
	c.probeFailures = 0
	c.unresponsive = false
	c.suspectedSince = dfclock.Never
}

func (c *Coordinator) recordStatus(now dfclock.Millis, report StatusReceived) {
	if report.Probe {
		c.probesInFlight--
		if report.ID == c.leader {
			c.probeLatency, c.probeLatencyAt = now-report.AskedAt, now
		}
	}
	switch c.phase {
	case querying:
		c.addReport(report)
	case comparing:
		// Logs that were asked for earlier may lack commits that were acknowledged since.
		if drainedAt, drained := c.handover.DrainedAt(); drained && report.AskedAt >= drainedAt {
			c.addReport(report)
		}
	default:
		c.recordDepartures(report)
	}
	if report.ID == c.leader {
		c.recordAnswer(now)
	}
}

// addReport keeps the newest report of each upstream.
func (c *Coordinator) addReport(report StatusReceived) {
	for i := range c.reports {
		if c.reports[i].ID == report.ID {
			c.reports[i] = report
			return
		}
	}
	c.reports = append(c.reports, report)
}

func (c *Coordinator) enterPhase(now dfclock.Millis, next phase) {
	c.phase, c.phaseStart = next, now
}

// resumeWatching ends a change and starts no other one during the backoff.
func (c *Coordinator) resumeWatching(now, backoff dfclock.Millis) {
	c.enterPhase(now, watching)
	c.backoffUntil = now.Add(backoff)
}

// Step returns the next action. It is called several times a second.
func (c *Coordinator) Step(now dfclock.Millis, observation Observation) Action {
	c.observe(now, observation)
	if c.abortable() && c.leader != "" && !c.Suspected() && !observation.LeaderLeaving && !observation.WritesHeld {
		// The leader answered in the meantime.
		c.resumeWatching(now, probeInterval)
	}
	switch c.phase {
	case watching:
		if c.holding && !c.orderSent {
			return c.release()
		}
		return c.watch(now, observation)
	case comparing:
		return c.compare(now, observation)
	case querying:
		return c.selectTarget(now, observation)
	case awaitingPromotion:
		return c.awaitPromotion(now, observation)
	case revoking:
		return c.revoke()
	case promoting:
		return c.promote(now)
	}
	return NoAction{}
}

// abortable reports whether a change of the leader is under way that can still be
// aborted without an effect.
func (c *Coordinator) abortable() bool {
	return !c.holding && (c.phase == querying || c.phase == claiming || c.phase == promoting && !c.requestInFlight)
}

// revoke sends the revocation once; dfrevocation.RevocationTimeout bounds it.
func (c *Coordinator) revoke() Action {
	if c.requestInFlight {
		return NoAction{}
	}
	c.requestInFlight = true
	return Revoke{Target: c.target, Replaced: c.replaced, Epoch: c.epoch}
}

// promote sends a promotion, and sends it again if the answer was lost. Retries
// have the same epoch and target, so that a late first attempt changes nothing.
func (c *Coordinator) promote(now dfclock.Millis) Action {
	if now >= c.promoteDeadline {
		backoff := probeInterval
		if c.holding {
			backoff = c.failedOrderBackoff()
		}
		c.resumeWatching(now, backoff)
		return NoAction{}
	}
	if c.requestInFlight {
		return NoAction{}
	}
	c.requestInFlight, c.orderSent = true, true
	return Promote{Target: c.target, Epoch: c.epoch}
}

// observe updates the state that depends on the current leader.
func (c *Coordinator) observe(now dfclock.Millis, observation Observation) {
	c.observeUpstreams(now, observation)
	c.syncReplicas, c.candidates = observation.SyncReplicas, observation.Candidates
	if observation.Leader != c.leader {
		if c.phase != watching && c.phase != awaitingPromotion && !c.leaderRevoked(observation) {
			// The change in progress concerns another leader.
			c.resumeWatching(now, conflictBackoff)
		}
		if observation.Leader != "" && observation.Leader != c.lastLeader {
			// The next leader's log is the one that counts, and ends the hold.
			c.lastLeader, c.departures, c.holding, c.claimed = observation.Leader, nil, false, ""
		}
		c.leader = observation.Leader
		c.recordAnswer(now)
		c.answered = false
		c.connectionFailedAt, c.failedProbeSentAt, c.probeLatency = 0, 0, 0
		c.leavingSince = dfclock.Never
	}
	c.leaderlessSince = trackSince(now, c.leaderlessSince, observation.Leader == "")
	c.leavingSince = trackSince(now, c.leavingSince, observation.LeaderLeaving)
	c.heldSince = trackSince(now, c.heldSince, observation.WritesHeld)
	if observation.DelegatesProbes {
		c.suspectedSince = trackSince(now, c.suspectedSince, observation.SuspectedByProber)
	}
}

// leaderRevoked reports whether there is no leader because this host revoked it.
func (c *Coordinator) leaderRevoked(observation Observation) bool {
	return observation.Leader == "" && (c.phase == revoking || c.phase == comparing || c.phase == promoting)
}

// trackSince returns since when a condition holds, or Never if it does not.
func trackSince(now, known dfclock.Millis, holds bool) dfclock.Millis {
	if !holds {
		return dfclock.Never
	}
	return min(known, now)
}

func (c *Coordinator) watch(now dfclock.Millis, observation Observation) Action {
	if now < c.backoffUntil {
		return NoAction{}
	}
	delay := dfclock.Millis(observation.Rank) * rankDelay
	if c.changeDue(now, observation, delay) {
		c.leaderEnd = dfposition.Position{}
		return c.query(now)
	}
	if c.departureQueryDue(now, observation) {
		c.departuresAskedAt = now
		return QueryAll{}
	}
	silent := observation.AwaitingLeader && now-c.answeredAt >= max(silenceTimeout, observation.ExpectedDelay)
	connectionFailed := c.connectionFailedAt > c.answeredAt
	c.unresponsive = observation.DelegatesProbes && (silent || connectionFailed)
	if observation.Leader == "" || observation.DelegatesProbes || c.probesInFlight >= suspectAfterFailures || now-c.probedAt < probeInterval {
		return NoAction{}
	}
	if silent || connectionFailed || c.probeFailures > 0 {
		return c.probe(now, observation.Leader, observation.ExpectedDelay)
	}
	return NoAction{}
}

// query asks all upstreams for their logs.
func (c *Coordinator) query(now dfclock.Millis) Action {
	c.reports, c.queryEnded = nil, false
	c.enterPhase(now, querying)
	return QueryAll{}
}

func (c *Coordinator) probe(now dfclock.Millis, id dffleet.ID, expectedDelay dfclock.Millis) Action {
	c.probesInFlight, c.probedAt = c.probesInFlight+1, now
	if id == c.leader && now-c.probeLatencyAt < probeLatencyTTL {
		expectedDelay = max(expectedDelay, probeTimeoutFactor*c.probeLatency)
	}
	return Probe{ID: id, Timeout: min(maxProbeTimeout, max(probeTimeout, expectedDelay))}
}

// changeDue reports whether this host should change the leader now. Hosts of a
// higher rank wait longer, so that usually only one acts.
func (c *Coordinator) changeDue(now dfclock.Millis, observation Observation, delay dfclock.Millis) bool {
	if len(observation.Candidates) == 0 || observation.NoQuorum {
		return false
	}
	switch {
	case observation.Leader == "":
		return now-c.leaderlessSince >= leaderlessTimeout+delay
	case c.Suspected():
		return !observation.DelegatesProbes && now-c.suspectedSince >= delay && observation.DeadVotes+1 > observation.AliveVotes
	case c.leavingSince != dfclock.Never:
		return now-c.leavingSince >= delay
	case c.heldSince != dfclock.Never:
		// The host that held the writes did not end the change. Its order may still take
		// effect, so only another change may end the hold.
		return now-c.heldSince >= HeldChangeSpan+delay
	}
	return false
}

// selectTarget claims an epoch for the upstream to promote, once the upstreams answered.
func (c *Coordinator) selectTarget(now dfclock.Millis, observation Observation) Action {
	if !c.queryEnded && now-c.phaseStart < queryTimeout && c.reportsMissing(observation) {
		return NoAction{}
	}
	replaceable := observation.LeaderLeaving || observation.WritesHeld
	for _, report := range c.reports {
		if report.Primary && !report.Replaced && (report.ID != c.leader || !replaceable) {
			// The service has a live leader.
			c.resumeWatching(now, probeInterval)
			return NoAction{}
		}
	}
	best := c.promotable(observation, c.claimed)
	if best == nil {
		if c.rememberLeaderEnd(observation) {
			return c.query(now)
		}
		backoff := probeInterval
		if observation.SyncReplicas > 0 && !c.Suspected() {
			backoff = catchUpRetryDelay
		}
		c.resumeWatching(now, backoff)
		return NoAction{}
	}
	c.target, c.replaced = best.ID, c.leader
	if c.replaced == "" && observation.SyncReplicas > 0 {
		// Other hosts may still know the last leader.
		c.replaced = c.lastLeader
	}
	c.enterPhase(now, claiming)
	return Claim{Target: best.ID, Replaced: c.replaced}
}

// newerTermReported reports whether an upstream has seen a newer term than the
// candidate. Promoting the candidate would restore commits that the newer term
// discarded.
func (c *Coordinator) newerTermReported(candidate *StatusReceived) bool {
	for i := range c.reports {
		if c.reports[i].Received.Term > candidate.Received.Term {
			return true
		}
	}
	return false
}

// reportsMissing reports whether a candidate has not reported yet, or, where replicas
// confirm commits, any upstream. A suspected leader is not waited for.
func (c *Coordinator) reportsMissing(observation Observation) bool {
	awaited := observation.Candidates
	if observation.SyncReplicas > 0 {
		awaited = nil
		for _, upstream := range observation.Upstreams {
			awaited = append(awaited, upstream.ID)
		}
	}
	for _, id := range awaited {
		if id == c.leader && c.Suspected() {
			continue
		}
		if !c.hasReport(id) {
			return true
		}
	}
	return false
}

func (c *Coordinator) hasReport(id dffleet.ID) bool {
	for _, report := range c.reports {
		if report.ID == id {
			return true
		}
	}
	return false
}

// awaitPromotion waits until the target leads.
func (c *Coordinator) awaitPromotion(now dfclock.Millis, observation Observation) Action {
	if observation.Leader == c.target {
		c.promotionTime = max(dfclock.Millisecond, now-c.promoteAcceptedAt)
		c.resumeWatching(now, 0)
		return NoAction{}
	}
	if now-c.promoteAcceptedAt >= promotionTimeout {
		c.resumeWatching(now, probeInterval)
		return NoAction{}
	}
	if c.probesInFlight == 0 && now-c.probedAt >= probeInterval && now-c.promoteAcceptedAt >= c.promotionTime/2 {
		return c.probe(now, c.target, 0)
	}
	return NoAction{}
}
