package dfedge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dffresh"
	"dragonflygrade/dfmember"
	"dragonflygrade/dfplatform"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfrevision"
	"dragonflygrade/dfrevocation"
	"dragonflygrade/dfroster"
	"dragonflygrade/dfstatement"
	"dragonflygrade/dfsuccession"
)

// claimsTable has the newest claim of each service. The row version is the epoch
// of the promotion that is claimed.
const claimsTable = "Claims/"

// fencedClaimHold is how long another host's claim against the same leader is
// given to take effect if the platform fences. It is longer than the slowest
// promotion.
const fencedClaimHold = 2500 * dfclock.Millisecond

// takeoverDelay is the same where replicas confirm commits, for a change with the same
// target if the other host is not heard. Two promotions of one upstream discard nothing.
const takeoverDelay = 1200 * dfclock.Millisecond

// claimTimeout bounds the claim of an epoch: several times the duration of its
// three calls to a healthy platform.
const claimTimeout = 300 * time.Millisecond

// errOtherClaim means that another host is replacing the leader.
var errOtherClaim = eris.New("succession: another host has just claimed the service")

// claim is the content of a row in claimsTable.
type claim struct {
	Holder   string
	Replaced dffleet.ID
	Target   dffleet.ID
	// Term is the lowest term that may lead once the order may have been sent, or
	// zero if the platform fences.
	Term dfposition.Term
}

// tickService runs a service's decisions and returns the resulting action, or
// nil. e.mu must be held here and released before the action runs.
func (e *Edge) tickService(ctx context.Context, now dfclock.Millis, s *service) func() {
	situation := e.situation(now, s)
	action := s.successor.Step(now, situation)
	if suspected := s.successor.Suspected(); suspected != s.lastSuspected {
		s.lastSuspected = suspected
		e.log.Warn().Str("Service", s.name).Str("Leader", string(s.leader)).Bool("Suspected", suspected).
			Int64("SilentMillis", int64(now-s.successor.AnsweredAt())).Msg("succession: suspicion changed")
		e.triggerExchanges()
		e.notifyWaiters()
	}
	switch a := action.(type) {
	case dfsuccession.Probe:
		return func() { e.probe(ctx, s, a) }
	case dfsuccession.QueryAll:
		e.log.Warn().Str("Service", s.name).Str("Leader", string(s.leader)).Msg("succession: asking the replicas")
		return func() { e.queryAll(ctx, s) }
	case dfsuccession.Claim:
		return func() { e.claimEpoch(ctx, s, a) }
	case dfsuccession.Revoke:
		if e.confirmsWrites(s) {
			return func() { e.holdWrites(ctx, s, a) }
		}
		return func() { e.revoke(ctx, s, a) }
	case dfsuccession.Release:
		return func() { e.releaseWrites(ctx, s, a.Epoch) }
	case dfsuccession.Promote:
		return func() { e.orderPromotion(ctx, s, a) }
	}
	if upstream, ok := e.nextTermQuery(now, s); ok {
		return func() { e.queryTerm(ctx, s, upstream) }
	}
	if e.shouldReserveEpoch(now, s, situation) {
		s.reservingEpoch = true
		return func() { e.reserveEpoch(ctx, s) }
	}
	if e.proofDue(now, s) {
		s.refreshingProof = true
		return func() { e.refreshProof(ctx, s) }
	}
	return nil
}

// situation returns the input of a service's failover decisions.
func (e *Edge) situation(now dfclock.Millis, s *service) dfsuccession.Observation {
	situation := dfsuccession.Observation{AwaitingLeader: s.leaderStatements > 0, DelegatesProbes: !e.neighbours.IsProber(now), NoQuorum: !e.leaseValid(now) || !e.writeLeaseValid(now, s)}
	if e.neighbours.IsSpeaker(now) && !e.neighbours.RemoteReachable(now) {
		// Detecting isolation needs the state of all leaders, including those that
		// no statement waits for.
		situation.AwaitingLeader = true
	}
	upstreams := e.fleet.ByService(s.name)
	config, _ := e.catalog.Service(s.name)
	situation.SyncReplicas = config.SyncReplicas
	for _, upstream := range upstreams {
		situation.Upstreams = append(situation.Upstreams, dfsuccession.Upstream{ID: upstream.ID, Born: upstream.Born, Address: upstream.Address})
		if !e.fleet.Leaving(now, upstream.ID) {
			situation.Candidates = append(situation.Candidates, upstream.ID)
		}
	}
	if leader, ok := e.fleet.Leader(now, s.name); ok {
		situation.Leader = leader.ID
		situation.WritesHeld = e.confirmsWrites(s) && e.holds[s.name].Holds(leader.ID)
		situation.LeaderLeaving = e.fleet.Leaving(now, leader.ID)
		situation.SuspectedByProber = situation.DelegatesProbes && e.neighbours.SpeakerSuspects(now, s.name, leader.ID)
		situation.ExpectedDelay = leaderSilenceFactor * s.placer.ExpectedWait(now, leader.ID)
		if !e.neighbours.IsSpeaker(now) || !s.successor.HasAnswered() {
			situation.ExpectedDelay = max(situation.ExpectedDelay, nonSpeakerProbeDelay)
		}
	}
	hosts := e.neighbours.FailoverHosts(now)
	situation.Rank = max(0, dfmember.RankOf(s.name, hosts, e.options.Self.ID))
	if !e.neighbours.IsSpeaker(now) {
		situation.Rank = len(hosts)
	}
	situation.AliveVotes, situation.DeadVotes = e.neighbours.Votes(now, s.name, situation.Leader, s.successor.LivenessCutoff())
	return situation
}

// notifySuccessor passes the result of an action to the failover state machine.
func (e *Edge) notifySuccessor(s *service, event dfsuccession.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.successor.Handle(e.options.Now(), event)
}

// queryStatus queries an upstream over a new connection.
func (e *Edge) queryStatus(ctx context.Context, s *service, upstream dffleet.Upstream, timeout dfclock.Millis, probe bool) (dfstatement.Report, error) {
	startedAt := e.options.Now()
	answer, report, err := e.queryUpstream(ctx, upstream, timeout, dfstatement.Status{})
	if err != nil {
		return dfstatement.Report{}, err
	}
	e.handleStatus(s, upstream.ID, startedAt, report, answer, probe)
	return report, nil
}

// queryUpstream runs a statement that is answered with a status, over a new
// connection.
func (e *Edge) queryUpstream(ctx context.Context, upstream dffleet.Upstream, timeout dfclock.Millis, statement dfstatement.Statement) (dfstatement.Answer, dfstatement.Report, error) {
	deadline := time.Now().Add(time.Duration(timeout) * time.Millisecond)
	conn, err := e.dial(ctx, upstream, "", timeout)
	if err != nil {
		return dfstatement.Answer{}, dfstatement.Report{}, err
	}
	defer conn.Close()
	answers, _, err := conn.Exchange(nil, deadline, dfstatement.Call{Statement: statement})
	if err != nil {
		return dfstatement.Answer{}, dfstatement.Report{}, err
	}
	answer := answers[0]
	if !answer.OK() {
		return answer, dfstatement.Report{}, dfresult.NewError(answer.Code, "status of %s: %s", upstream.ID, answer.Detail)
	}
	report, err := conn.Report(answer)
	return answer, report, err
}

// handleStatus processes the answer to a status query that was sent at askedAt.
func (e *Edge) handleStatus(s *service, id dffleet.ID, askedAt dfclock.Millis, report dfstatement.Report, answer dfstatement.Answer, probe bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	replaced := false
	if e.usesLeases() {
		replaced = report.Primary && report.Term < e.fleet.MinTerm(s.name)
		// The received log also shows terms of leaders that no host can reach.
		e.fleet.RecordTerm(s.name, report.Received.Term)
		if report.Primary {
			e.fleet.RecordLeaderTerm(id, askedAt, report.Term)
		} else if report.Term > e.fleet.MinTerm(s.name) {
			e.raiseMinTerm(s, report.Term)
		}
	}
	if report.Primary {
		e.fleet.RecordLeader(id, askedAt)
		e.updateLeader(now, s)
		e.endHold(s, id, askedAt)
		if id == s.leader && !replaced && e.leaseValid(now) {
			s.timeline.Add(dffresh.Proof{At: askedAt, Position: answer.Position})
		}
	} else if leader, ok := e.fleet.Leader(now, s.name); ok && leader.ID == id {
		e.fleet.RecordDenial(now, id)
		e.updateLeader(now, s)
	}
	s.placer.RecordPosition(now, id, answer.Position, s.timeline.Lag(now, answer.Position))
	s.successor.Handle(now, dfsuccession.StatusReceived{
		ID: id, Primary: report.Primary, Received: report.Received, Replaced: replaced, Probe: probe, AskedAt: askedAt,
	})
}

func (e *Edge) probe(ctx context.Context, s *service, probe dfsuccession.Probe) {
	id, sentAt := probe.ID, e.options.Now()
	e.mu.Lock()
	upstream, ok := e.fleet.Find(id)
	e.mu.Unlock()
	if !ok {
		e.notifySuccessor(s, dfsuccession.ProbeFailed{ID: id, SentAt: sentAt})
		return
	}
	if _, err := e.queryStatus(ctx, s, upstream, probe.Timeout, true); err != nil {
		e.counters.probesFailed.Inc()
		e.log.Warn().Str("Service", s.name).Str("Upstream", string(id)).Err(err).Msg("succession: probe failed")
		e.notifySuccessor(s, dfsuccession.ProbeFailed{ID: id, SentAt: sentAt})
		if isCapacityRefusal(err) {
			// An upstream that refuses because it is full is alive.
			e.notifySuccessor(s, dfsuccession.Answered{ID: id})
		}
		if dfresult.HasCode(err, dfresult.QueueFull) {
			e.mu.Lock()
			s.recordFull(e.options.Now(), id)
			e.mu.Unlock()
		}
	}
}

func (e *Edge) queryAll(ctx context.Context, s *service) {
	e.mu.Lock()
	upstreams := e.fleet.ByService(s.name)
	e.mu.Unlock()
	var wg sync.WaitGroup
	for _, upstream := range upstreams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			report, err := e.queryStatus(ctx, s, upstream, statusTimeout, false)
			e.log.Info().Str("Service", s.name).Str("Upstream", string(upstream.ID)).Bool("Primary", report.Primary).
				Str("Received", report.Received.String()).Err(err).Msg("succession: upstream asked")
		}()
	}
	wg.Wait()
	e.notifySuccessor(s, dfsuccession.QueryEnded{})
}

// claimEpoch claims an epoch by a conditional write. The row shows the claim to
// other hosts. A reserved epoch is not visible to them, so it is used only if the
// table does not answer.
func (e *Edge) claimEpoch(ctx context.Context, s *service, wanted dfsuccession.Claim) {
	target := wanted.Target
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	epoch, err := e.acquireEpoch(claimCtx, s, wanted)
	if err == nil {
		e.log.Warn().Str("Service", s.name).Str("Target", string(target)).Uint64("Epoch", epoch).Msg("succession: epoch taken")
		e.dropReservedEpoch(s)
		e.notifySuccessor(s, dfsuccession.Claimed{Epoch: epoch})
		return
	}
	if epoch := e.reservedEpoch(s); epoch > 0 && !eris.Is(err, errOtherClaim) && !eris.Is(err, dfplatform.ErrConflict) {
		e.log.Warn().Str("Service", s.name).Str("Target", string(target)).Uint64("Epoch", epoch).Msg("succession: reserved epoch used")
		e.notifySuccessor(s, dfsuccession.Claimed{Epoch: epoch})
		return
	}
	e.log.Warn().Str("Service", s.name).Str("Target", string(target)).Err(err).Msg("succession: no epoch")
	e.mu.Lock()
	claimed := s.claimedTarget
	e.mu.Unlock()
	e.notifySuccessor(s, dfsuccession.ClaimFailed{Claimed: claimed})
}

// reservedEpoch returns the epoch held for the next promotion, or 0.
func (e *Edge) reservedEpoch(s *service) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.reservedEpoch
}

// dropReservedEpoch gives up the reserved epoch: another one was used, or an
// order under it may still take effect.
func (e *Edge) dropReservedEpoch(s *service) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.reservedEpoch > 0 {
		e.log.Info().Str("Service", s.name).Uint64("Epoch", s.reservedEpoch).Msg("succession: reserved epoch dropped")
	}
	s.reservedEpoch, s.reservedEpochAt = 0, e.options.Now()
}

// shouldReserveEpoch reports whether to reserve an epoch for a later promotion.
// The host of the first rank reserves one, so that it can order a promotion while
// the platform's table is unavailable. If orders need the consent of other hosts,
// the second rank does so too, because the first may be cut off together with the
// leader.
func (e *Edge) shouldReserveEpoch(now dfclock.Millis, s *service, situation dfsuccession.Observation) bool {
	return s.reservedEpoch == 0 && !s.reservingEpoch && now-s.reservedEpochAt >= epochReserveDelay &&
		situation.Rank <= e.maxReservingRank() && situation.Leader != "" && !s.successor.Suspected() && !s.successor.ChangingLeader() &&
		e.neighbours.IsSpeaker(now) && e.followingFeeds && !e.catalogFeedLost && e.countsAsContactLocked()
}

// maxReservingRank returns the last rank whose hosts reserve epochs.
func (e *Edge) maxReservingRank() int {
	if e.usesLeases() {
		return 1
	}
	return 0
}

// reserveEpoch claims an epoch without a target, for a later promotion.
func (e *Edge) reserveEpoch(ctx context.Context, s *service) {
	epoch, err := e.acquireEpoch(ctx, s, dfsuccession.Claim{})
	if err != nil {
		e.log.Info().Str("Service", s.name).Err(err).Msg("succession: cannot reserve epoch")
	} else {
		e.log.Info().Str("Service", s.name).Uint64("Epoch", epoch).Msg("succession: epoch reserved")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s.reservingEpoch, s.reservedEpoch, s.reservedEpochAt = false, epoch, e.options.Now()
}

func (e *Edge) acquireEpoch(ctx context.Context, s *service, wanted dfsuccession.Claim) (uint64, error) {
	key := claimsTable + s.name
	platform := e.options.Platform
	row, last, err := e.readClaim(ctx, s.name)
	if err != nil {
		return 0, err
	}
	if e.claimPending(s, row.Version, last, wanted) {
		return 0, eris.Wrapf(errOtherClaim, "%s claimed %s", last.Holder, last.Target)
	}
	e.mu.Lock()
	next := claim{Holder: e.options.Self.ID, Replaced: wanted.Replaced, Target: wanted.Target}
	if e.usesLeases() && wanted.Target != "" {
		next.Term = e.nextTerm(s)
	}
	value, err := json.Marshal(next)
	random := rand.New(rand.NewPCG(e.random.Uint64(), e.random.Uint64()))
	e.mu.Unlock()
	if err != nil {
		return 0, eris.Wrap(err, "succession: encode claim")
	}
	attempt := dfplatform.NewAttempts(e.options.Self.ID, random).Next()
	settler := dfplatform.NewSettler(platform, claimBackoff, random, dfplatform.Pause)
	err = settler.Commit(ctx, attempt, dfplatform.Write{Key: key, IfVersion: row.Version, Value: value})
	if err != nil {
		return 0, err
	}
	row, err = platform.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	if row.Attempt != attempt {
		return 0, eris.Wrap(errOtherClaim, "claim overwritten")
	}
	return uint64(row.Version), nil
}

// readClaim returns the newest claim of a service and its row, which are zero if there
// is none.
func (e *Edge) readClaim(ctx context.Context, service string) (dfplatform.Row, claim, error) {
	row, err := e.options.Platform.Get(ctx, claimsTable+service)
	if eris.Is(err, dfplatform.ErrNotFound) {
		return dfplatform.Row{}, claim{}, nil
	}
	if err != nil {
		return dfplatform.Row{}, claim{}, err
	}
	var last claim
	if err := json.Unmarshal(row.Value, &last); err != nil {
		return dfplatform.Row{}, claim{}, eris.Wrap(err, "succession: decode claim")
	}
	return row, last, nil
}

// claimBackoff bounds the retries of a claim. After a second, a new decision is
// better than an old one.
var claimBackoff = dfplatform.Backoff{First: 50 * dfclock.Millisecond, Max: 200 * dfclock.Millisecond, Tries: 3}

// claimPending reports whether an earlier claim may still take effect, or may
// have taken effect without this host's knowledge.
func (e *Edge) claimPending(s *service, version dfrevision.Revision, last claim, wanted dfsuccession.Claim) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	if s.lastClaimVersion != version {
		s.lastClaimVersion, s.lastClaimSeenAt = version, now
	}
	s.claimedTarget = last.Target
	if version == 0 || last.Holder == e.options.Self.ID && last.Replaced == wanted.Replaced && last.Target == wanted.Target {
		return false
	}
	// If the claimed target is the leader to be replaced, that claim has already
	// taken effect. A reserved epoch has no target and orders nothing by itself.
	if last.Target == wanted.Replaced || last.Target == "" {
		return false
	}
	if uint64(version) == s.heldEpoch && s.heldEpoch != s.orderedEpoch {
		// This host claimed it and sent no order: its target lacked commits.
		return false
	}
	if e.confirmsWrites(s) && wanted.Replaced != "" && last.Replaced != wanted.Replaced {
		// It replaced the leader by another upstream than the claimed one.
		return false
	}
	if e.confirmsWrites(s) && last.Target == wanted.Target && !e.hears(now, last.Holder) {
		return now-s.lastClaimSeenAt < takeoverDelay
	}
	return now-s.lastClaimSeenAt < e.claimHold(s)
}

// hears reports whether a host was heard recently. e.mu must be held.
func (e *Edge) hears(now dfclock.Millis, id string) bool {
	presence := e.neighbours.Presence(now)
	for _, host := range e.neighbours.OtherHosts() {
		if host.ID == id {
			return presence(host) == dfroster.Present
		}
	}
	return false
}

// claimHold returns how long another host's claim is given to take effect.
func (e *Edge) claimHold(s *service) dfclock.Millis {
	switch {
	case e.usesLeases():
		return dfrevocation.PromiseSpan
	case e.confirmsWrites(s):
		return dfsuccession.HeldChangeSpan
	}
	return fencedClaimHold
}

func (e *Edge) orderPromotion(ctx context.Context, s *service, order dfsuccession.Promote) {
	if e.epochSuperseded(s, order.Epoch) {
		e.notifySuccessor(s, dfsuccession.PromoteRefused{})
		return
	}
	e.mu.Lock()
	s.orderedEpoch = order.Epoch
	e.mu.Unlock()
	err := e.options.Platform.Promote(ctx, s.name, order.Target, e.options.Self.ID, order.Epoch)
	e.counters.promotionOrders.Inc()
	e.log.Warn().Str("Service", s.name).Str("Target", string(order.Target)).Uint64("Epoch", order.Epoch).Err(err).
		Msg("succession: promotion ordered")
	switch {
	case err == nil:
		e.notifySuccessor(s, dfsuccession.PromoteAccepted{})
	case eris.Is(err, dfplatform.ErrSuperseded):
		e.dropReservedEpoch(s)
		e.notifySuccessor(s, dfsuccession.PromoteRefused{})
	default:
		// The order may still take effect, but only under this epoch.
		e.dropReservedEpoch(s)
		sleep(ctx, feedRetryDelay/2)
		if eris.Is(err, dfplatform.ErrRefused) {
			e.notifySuccessor(s, dfsuccession.PromoteDeclined{})
			return
		}
		e.notifySuccessor(s, dfsuccession.PromoteUnanswered{})
	}
}

// epochSuperseded reports whether this host has since accepted a newer epoch,
// which the platform may have seen.
func (e *Edge) epochSuperseded(s *service, epoch uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.usesLeases() && s.voter.Epoch() > epoch
}

// proofDue reports whether reads will soon lack a recent proof.
func (e *Edge) proofDue(now dfclock.Millis, s *service) bool {
	if s.refreshingProof || s.leader == "" || s.successor.Suspected() {
		return false
	}
	age := proofAge
	if leader, ok := e.fleet.Find(s.leader); ok && leader.DataCentre == e.options.Self.DataCentre && e.neighbours.IsSpeaker(now) {
		age = speakerProofAge
	}
	if age == proofAge && now-s.lastReadAt >= demandWindow {
		return false
	}
	proof, ok := s.timeline.Newest()
	return !ok || now-proof.At >= age
}

// refreshProof asks the leader for its position over a pooled connection.
func (e *Edge) refreshProof(ctx context.Context, s *service) {
	defer func() {
		e.mu.Lock()
		s.refreshingProof = false
		e.mu.Unlock()
	}()
	req := &routeRequest{service: s, deadline: e.options.Now().Add(2 * statusTimeout)}
	next, ok := e.planProof(req).(sendTo)
	if !ok {
		sleep(ctx, tickInterval)
		return
	}
	a, err := e.acquire(req, next.target, 0)
	if err != nil {
		sleep(ctx, tickInterval)
		return
	}
	answers, err := e.send(req, a, nil, dfstatement.Call{Statement: dfstatement.Status{}})
	if err != nil {
		e.abandon(req, a, err)
		return
	}
	report, err := a.conn.Report(answers[0])
	e.release(req, a)
	if err != nil {
		e.log.Warn().Str("Service", s.name).Str("Upstream", string(a.upstream)).Err(err).Msg("proof: cannot decode status")
		return
	}
	e.handleStatus(s, a.upstream, a.sentAt, report, answers[0], false)
}
