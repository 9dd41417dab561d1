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
	"dragonflygrade/dfrevocation"
	"dragonflygrade/dfstatement"
	"dragonflygrade/dfsuccession"
)

// claimsTable has the newest claim of each service. The version of its row is
// the epoch of the promotion that the claim stands for.
const claimsTable = "Claims/"

// fencedClaimHold is how long another host's claim against the same leader is
// given to take effect where the platform fences. It is longer than the slowest
// promotion.
const fencedClaimHold = 2500 * dfclock.Millisecond

// claimTimeout bounds the claim of an epoch in the table: several times the time
// of its three calls while the platform is well.
const claimTimeout = 300 * time.Millisecond

// errOtherClaim tells that another host acts on the service.
var errOtherClaim = eris.New("succession: another host has just claimed the service")

// claim is the row's content.
type claim struct {
	Holder   string
	Replaced dffleet.ID
	Target   dffleet.ID
	// Term is the lowest one that may lead once the order may have been sent, or
	// zero where the platform fences.
	Term dfposition.Term
}

// stepService takes a service's decisions of this moment. The mutex is held;
// the returned function runs without it.
func (e *Edge) stepService(ctx context.Context, now dfclock.Millis, s *service) func() {
	situation := e.situation(now, s)
	action := s.successor.Step(now, situation)
	if suspected := s.successor.Suspected(); suspected != s.suspected {
		s.suspected = suspected
		e.log.Warn().Str("Service", s.name).Str("Leader", string(s.leader)).Bool("Suspected", suspected).
			Int64("SilentMillis", int64(now-s.successor.AnsweredAt())).Msg("succession: suspicion changed")
		e.pokeAll()
		e.wake()
	}
	switch a := action.(type) {
	case dfsuccession.Probe:
		return func() { e.probe(ctx, s, a) }
	case dfsuccession.QueryAll:
		e.log.Warn().Str("Service", s.name).Str("Leader", string(s.leader)).Msg("succession: asking the replicas")
		return func() { e.askAll(ctx, s) }
	case dfsuccession.Claim:
		return func() { e.claim(ctx, s, a) }
	case dfsuccession.Revoke:
		return func() { e.revoke(ctx, s, a) }
	case dfsuccession.Promote:
		return func() { e.order(ctx, s, a) }
	}
	if upstream, ok := e.wantedTerm(now, s); ok {
		return func() { e.askTerm(ctx, s, upstream) }
	}
	if e.wantsStanding(now, s, situation) {
		s.claiming = true
		return func() { e.stand(ctx, s) }
	}
	if e.needsProof(now, s) {
		s.proving = true
		return func() { e.prove(ctx, s) }
	}
	return nil
}

// situation is what the host sees of a service.
func (e *Edge) situation(now dfclock.Millis, s *service) dfsuccession.Observation {
	situation := dfsuccession.Observation{AwaitingLeader: s.waiting > 0, DelegatesProbes: !e.circle.Probes(now), NoQuorum: !e.leased(now)}
	if e.circle.Speaks(now) && !e.circle.Remote(now) {
		// Whether the data centre is cut off depends on all leaders, also on those
		// that nobody waits for.
		situation.AwaitingLeader = true
	}
	upstreams := e.fleet.ByService(s.name)
	known, _ := e.catalog.Service(s.name)
	situation.UpstreamCount, situation.SyncReplicas = len(upstreams), known.SyncReplicas
	for _, upstream := range upstreams {
		if !e.fleet.Leaving(now, upstream.ID) {
			situation.Candidates = append(situation.Candidates, upstream.ID)
		}
	}
	if leader, ok := e.fleet.Leader(now, s.name); ok {
		situation.Leader = leader.ID
		situation.LeaderLeaving = e.fleet.Leaving(now, leader.ID)
		situation.SuspectedByProber = situation.DelegatesProbes && e.circle.Told(now, s.name, leader.ID)
		situation.ExpectedDelay = silenceRatio * s.placer.ExpectedWait(now, leader.ID)
		if !e.circle.Speaks(now) || !s.successor.HasAnswered() {
			situation.ExpectedDelay = max(situation.ExpectedDelay, memberPatience)
		}
	}
	actors := e.circle.Actors(now)
	situation.Rank = max(0, dfmember.RankOf(s.name, actors, e.options.Self.ID))
	if !e.circle.Speaks(now) {
		situation.Rank = len(actors)
	}
	situation.AliveVotes, situation.DeadVotes = e.circle.Votes(now, s.name, situation.Leader, s.successor.LivenessCutoff())
	return situation
}

// tell passes the result of an action on.
func (e *Edge) tell(s *service, event dfsuccession.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.successor.Handle(e.options.Now(), event)
}

// status asks an upstream over a fresh connection.
func (e *Edge) status(ctx context.Context, s *service, upstream dffleet.Upstream, timeout dfclock.Millis, probe bool) (dfstatement.Report, error) {
	startedAt := e.options.Now()
	answer, report, err := e.askUpstream(ctx, upstream, timeout, dfstatement.Status{})
	if err != nil {
		return dfstatement.Report{}, err
	}
	e.takeStatus(s, upstream.ID, startedAt, report, answer, probe)
	return report, nil
}

// askUpstream runs a statement of the host that is answered by a status, over a
// fresh connection.
func (e *Edge) askUpstream(ctx context.Context, upstream dffleet.Upstream, timeout dfclock.Millis, statement dfstatement.Statement) (dfstatement.Answer, dfstatement.Report, error) {
	deadline := time.Now().Add(time.Duration(timeout) * time.Millisecond)
	conn, err := e.dial(ctx, upstream, timeout)
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

// takeStatus learns from a report that was asked for at an instant.
func (e *Edge) takeStatus(s *service, id dffleet.ID, askedAt dfclock.Millis, report dfstatement.Report, answer dfstatement.Answer, probe bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	replaced := false
	if e.leases() {
		replaced = report.Primary && report.Term < e.fleet.MinTerm(s.name)
		// A log tells of leaders that nobody reaches.
		e.fleet.RecordTerm(s.name, report.Received.Term)
		if report.Primary {
			e.fleet.RecordLeaderTerm(id, askedAt, report.Term)
		} else if report.Term > e.fleet.MinTerm(s.name) {
			e.raise(s, report.Term)
		}
	}
	if report.Primary {
		e.fleet.RecordLeader(id, askedAt)
		e.follow(now, s)
		if id == s.leader && !replaced && e.leased(now) {
			s.timeline.Add(dffresh.Proof{At: askedAt, Position: answer.Position})
		}
	} else if leader, ok := e.fleet.Leader(now, s.name); ok && leader.ID == id {
		e.fleet.RecordDenial(now, id)
		e.follow(now, s)
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
		e.tell(s, dfsuccession.ProbeFailed{ID: id, SentAt: sentAt})
		return
	}
	if _, err := e.status(ctx, s, upstream, probe.Timeout, true); err != nil {
		e.counters.probesFailed.Inc()
		e.log.Warn().Str("Service", s.name).Str("Upstream", string(id)).Err(err).Msg("succession: probe failed")
		e.tell(s, dfsuccession.ProbeFailed{ID: id, SentAt: sentAt})
		if isRefusal(err) {
			// An upstream that says it is full is alive.
			e.tell(s, dfsuccession.Answered{ID: id})
		}
		if dfresult.HasCode(err, dfresult.QueueFull) {
			e.mu.Lock()
			s.full(e.options.Now(), id)
			e.mu.Unlock()
		}
	}
}

func (e *Edge) askAll(ctx context.Context, s *service) {
	e.mu.Lock()
	upstreams := e.fleet.ByService(s.name)
	e.mu.Unlock()
	var all sync.WaitGroup
	for _, upstream := range upstreams {
		all.Add(1)
		go func() {
			defer all.Done()
			report, err := e.status(ctx, s, upstream, statusTimeout, false)
			e.log.Info().Str("Service", s.name).Str("Upstream", string(upstream.ID)).Bool("Primary", report.Primary).
				Str("Received", report.Received.String()).Err(err).Msg("succession: upstream asked")
		}()
	}
	all.Wait()
	e.tell(s, dfsuccession.QueryEnded{})
}

// claim takes an epoch from the table by a conditional write. The row shows other
// hosts who acts; an epoch that was taken ahead of need does not, so it is used
// only where the table does not answer.
func (e *Edge) claim(ctx context.Context, s *service, wanted dfsuccession.Claim) {
	target := wanted.Target
	bounded, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	epoch, err := e.takeEpoch(bounded, s, wanted)
	if err == nil {
		e.log.Warn().Str("Service", s.name).Str("Target", string(target)).Uint64("Epoch", epoch).Msg("succession: epoch taken")
		e.dropStanding(s)
		e.tell(s, dfsuccession.Claimed{Epoch: epoch})
		return
	}
	if epoch := e.standing(s); epoch > 0 && !eris.Is(err, errOtherClaim) && !eris.Is(err, dfplatform.ErrConflict) {
		e.log.Warn().Str("Service", s.name).Str("Target", string(target)).Uint64("Epoch", epoch).Msg("succession: standing epoch used")
		e.tell(s, dfsuccession.Claimed{Epoch: epoch})
		return
	}
	e.log.Warn().Str("Service", s.name).Str("Target", string(target)).Err(err).Msg("succession: no epoch")
	e.tell(s, dfsuccession.ClaimFailed{})
}

// standing returns the epoch that this host holds for the next promotion, or 0.
func (e *Edge) standing(s *service) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.epoch
}

// dropStanding gives up the epoch that this host holds: another one was used, or
// an order under it may still take effect.
func (e *Edge) dropStanding(s *service) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.epoch > 0 {
		e.log.Info().Str("Service", s.name).Uint64("Epoch", s.epoch).Msg("succession: standing epoch dropped")
	}
	s.epoch, s.epochAt = 0, e.options.Now()
}

// wantsStanding tells whether to take an epoch ahead of need. The host that acts
// first holds one, so that it can order a promotion while the store is away. Where
// the other hosts have to consent to an order, the next one holds one too: the
// first may be cut off together with the leader.
func (e *Edge) wantsStanding(now dfclock.Millis, s *service, situation dfsuccession.Observation) bool {
	return s.epoch == 0 && !s.claiming && now-s.epochAt >= standingPause && situation.Rank <= e.standingRank() &&
		situation.Leader != "" && !s.successor.Suspected() && !s.successor.ChangingLeader() &&
		e.circle.Speaks(now) && e.following && !e.catalogLost
}

// standingRank is the last rank of hosts that hold an epoch.
func (e *Edge) standingRank() int {
	if e.leases() {
		return 1
	}
	return 0
}

// stand takes an epoch ahead of need.
func (e *Edge) stand(ctx context.Context, s *service) {
	epoch, err := e.takeEpoch(ctx, s, dfsuccession.Claim{})
	if err != nil {
		e.log.Info().Str("Service", s.name).Err(err).Msg("succession: no standing epoch")
	} else {
		e.log.Info().Str("Service", s.name).Uint64("Epoch", epoch).Msg("succession: standing epoch taken")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s.claiming, s.epoch, s.epochAt = false, epoch, e.options.Now()
}

func (e *Edge) takeEpoch(ctx context.Context, s *service, wanted dfsuccession.Claim) (uint64, error) {
	key := claimsTable + s.name
	platform := e.options.Platform
	row, err := platform.Get(ctx, key)
	if err != nil && !eris.Is(err, dfplatform.ErrNotFound) {
		return 0, err
	}
	var last claim
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &last); err != nil {
			return 0, eris.Wrap(err, "succession: decode claim")
		}
	}
	if e.pending(s, row.Version, last, wanted) {
		return 0, eris.Wrapf(errOtherClaim, "%s claimed %s", last.Holder, last.Target)
	}
	e.mu.Lock()
	mine := claim{Holder: e.options.Self.ID, Replaced: wanted.Replaced, Target: wanted.Target}
	if e.leases() && wanted.Target != "" {
		mine.Term = e.nextTerm(s)
	}
	value, err := json.Marshal(mine)
	source := rand.New(rand.NewPCG(e.source.Uint64(), e.source.Uint64()))
	e.mu.Unlock()
	if err != nil {
		return 0, eris.Wrap(err, "succession: encode claim")
	}
	attempt := dfplatform.NewAttempts(e.options.Self.ID, source).Next()
	settler := dfplatform.NewSettler(platform, claimBackoff, source, dfplatform.Pause)
	err = settler.Commit(ctx, attempt, dfplatform.Write{Key: key, IfVersion: row.Version, Value: value})
	if err != nil {
		return 0, err
	}
	row, err = platform.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	if row.Attempt != attempt {
		return 0, eris.Wrap(errOtherClaim, "after this one")
	}
	return row.Version, nil
}

// claimBackoff bounds the repeats of a claim: a new decision is better than an
// old one after a second.
var claimBackoff = dfplatform.Backoff{First: 50 * dfclock.Millisecond, Max: 200 * dfclock.Millisecond, Tries: 3}

// pending reports whether an earlier claim may still take effect, or has taken
// effect without this host's knowledge.
func (e *Edge) pending(s *service, version uint64, last claim, wanted dfsuccession.Claim) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	if s.claimSeen != version {
		s.claimSeen, s.claimSeenAt = version, now
	}
	if version == 0 || last.Holder == e.options.Self.ID && last.Replaced == wanted.Replaced && last.Target == wanted.Target {
		return false
	}
	// A leader that follows from the claim itself was learned after it. An epoch
	// that was taken ahead of need orders nothing by itself.
	if last.Target == wanted.Replaced || last.Target == "" {
		return false
	}
	return now-s.claimSeenAt < e.claimHold()
}

// claimHold is how long another host's claim is given to take effect.
func (e *Edge) claimHold() dfclock.Millis {
	if e.leases() {
		return dfrevocation.PromiseSpan
	}
	return fencedClaimHold
}

func (e *Edge) order(ctx context.Context, s *service, order dfsuccession.Promote) {
	if e.outvoted(s, order.Epoch) {
		e.tell(s, dfsuccession.PromoteRefused{})
		return
	}
	err := e.options.Platform.Promote(ctx, s.name, order.Target, e.options.Self.ID, order.Epoch)
	e.counters.orders.Inc()
	e.log.Warn().Str("Service", s.name).Str("Target", string(order.Target)).Uint64("Epoch", order.Epoch).Err(err).
		Msg("succession: promotion ordered")
	switch {
	case err == nil:
		e.tell(s, dfsuccession.PromoteAccepted{})
	case eris.Is(err, dfplatform.ErrSuperseded):
		e.dropStanding(s)
		e.tell(s, dfsuccession.PromoteRefused{})
	default:
		// The order may take effect later, under this epoch only.
		e.dropStanding(s)
		sleep(ctx, feedRetry/2)
		e.tell(s, dfsuccession.PromoteUnanswered{})
	}
}

// outvoted reports whether this host has accepted a newer epoch since, which the
// platform may have seen.
func (e *Edge) outvoted(s *service, epoch uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leases() && s.voter.Epoch() > epoch
}

// needsProof tells whether reads will soon lack a proof that is recent enough.
func (e *Edge) needsProof(now dfclock.Millis, s *service) bool {
	if s.proving || s.leader == "" || s.successor.Suspected() {
		return false
	}
	age := proofAge
	if leader, ok := e.fleet.Find(s.leader); ok && leader.DataCentre == e.options.Self.DataCentre && e.circle.Speaks(now) {
		age = speakerProofAge
	}
	if age == proofAge && now-s.readAt >= demandSpan {
		return false
	}
	proof, ok := s.timeline.Newest()
	return !ok || now-proof.At >= age
}

// prove asks the leader for its position over a pooled connection.
func (e *Edge) prove(ctx context.Context, s *service) {
	defer func() {
		e.mu.Lock()
		s.proving = false
		e.mu.Unlock()
	}()
	n := &need{service: s, deadline: e.options.Now().Add(2 * statusTimeout)}
	next, ok := e.planWrite(n).(goTo)
	if !ok {
		sleep(ctx, tick)
		return
	}
	a, err := e.acquire(n, next.target, 0)
	if err != nil {
		sleep(ctx, tick)
		return
	}
	answers, err := e.send(n, a, nil, dfstatement.Call{Statement: dfstatement.Status{}})
	if err != nil {
		e.abandon(n, a, err)
		return
	}
	report, err := a.line.Report(answers[0])
	e.release(n, a)
	if err != nil {
		e.log.Warn().Str("Service", s.name).Str("Upstream", string(a.upstream)).Err(err).Msg("proof: status is unreadable")
		return
	}
	e.takeStatus(s, a.upstream, a.sentAt, report, answers[0], false)
}
