package dfedge

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfmember"
	"dragonflygrade/dfneighbour"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfrevocation"
	"dragonflygrade/dfsuccession"
)

// heldWriteTimeout is how long a host waits for writes in flight at a responsive leader
// before it confirms that it sends no more. The outcome of the others is unknown.
const heldWriteTimeout = 200 * dfclock.Millisecond

// firstWriteLeaseTimeout is how long a host that starts waits for its first lease before
// it turns ready without one. It covers the first read of the host table.
const firstWriteLeaseTimeout = 3 * dfclock.Second

// confirmsWrites reports whether replicas confirm the commits of a service, on a platform
// that fences. Writes then need a lease, so that they can be held during a change of the
// leader. Where the platform does not fence, every use of a leader needs one. e.mu must
// be held.
func (e *Edge) confirmsWrites(s *service) bool {
	config, _ := e.catalog.Service(s.name)
	return config.SyncReplicas > 0 && !e.usesLeases()
}

// writeLeaseValid reports whether this host may send writes to the leader of a service
// now. e.mu must be held.
func (e *Edge) writeLeaseValid(now dfclock.Millis, s *service) bool {
	return !e.confirmsWrites(s) || e.holdsLoaded && e.leaseExpiry(now) > now
}

// awaitsWriteLease reports whether this host has just started and may soon be allowed to
// send writes for the first time. e.mu must be held.
func (e *Edge) awaitsWriteLease(now dfclock.Millis) bool {
	return e.catalog.HasSyncReplicas() && !e.usesLeases() && now-e.startedAt < firstWriteLeaseTimeout &&
		(!e.holdsLoaded || e.neighbours.QuorumAt(now) < 0)
}

// planHeldWrite returns the next step of a write that may not be sent now, or nil. e.mu
// must be held.
func (e *Edge) planHeldWrite(now dfclock.Millis, req *routeRequest) decision {
	s := req.service
	if now >= req.deadline || !e.confirmsWrites(s) {
		return nil
	}
	if !e.writeLeaseValid(now, s) {
		if e.awaitsWriteLease(now) {
			return waitUntil{e.changed, min(req.deadline, now.Add(refusedRetryDelay))}
		}
		return refuse{dfresult.NewError(dfresult.NoPrimary, "service %s: no majority of the hosts is in touch", s.name).
			WithRetryAfter(e.returnAfter(now, req, dfrevocation.LeaseSpan))}
	}
	leader, led := e.fleet.Leader(now, s.name)
	if !led || !e.holds[s.name].Holds(leader.ID) {
		return nil
	}
	expectedAt := s.nextLeaderAt
	if expectedAt <= now {
		expectedAt = now.Add(s.successor.PromotionTime())
	}
	if expectedAt >= req.deadline {
		return refuse{dfresult.NewError(dfresult.NoPrimary, "service %s: its leader is being replaced", s.name).
			WithRetryAfter(e.returnAfter(now, req, expectedAt-now))}
	}
	return waitUntil{e.changed, min(req.deadline, now.Add(10*refusedRetryDelay))}
}

// beginWrite checks right before a commit is sent that it may be, and counts it as in
// flight until endWrite.
func (e *Edge) beginWrite(req *routeRequest, a *attempt) *dfresult.Error {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, now := req.service, e.options.Now()
	a.confirmed = e.confirmsWrites(s)
	switch {
	case !a.confirmed:
		return nil
	case !e.writeLeaseValid(now, s):
		return dfresult.NewError(dfresult.NoPrimary, "service %s: no majority of the hosts is in touch", s.name)
	case e.holds[s.name].Holds(a.upstream):
		return dfresult.NewError(dfresult.NoPrimary, "service %s: its leader is being replaced", s.name)
	}
	s.writesInFlight++
	a.holdCount = s.holdCount
	return nil
}

// endWrite reports whether the caller may be told that a commit succeeded. It may not if
// this host confirmed meanwhile that it sends no more writes, or lost its lease: the next
// leader may lack the commit.
func (e *Edge) endWrite(req *routeRequest, a *attempt) bool {
	if !a.confirmed {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := req.service
	s.writesInFlight--
	if a.holdCount != s.holdCount || !e.writeLeaseValid(e.options.Now(), s) {
		e.counters.commitsUnknown.Inc()
		return false
	}
	return true
}

// adoptHold records what is known of the hold of a service. e.mu must be held.
func (e *Edge) adoptHold(now dfclock.Millis, next dfrevocation.Hold) {
	before := e.holds[next.Service]
	next = before.With(next)
	if next == before {
		return
	}
	e.holds[next.Service] = next
	e.log.Info().Str("Service", next.Service).Str("Leader", string(next.Leader)).Uint64("Epoch", next.Epoch).
		Uint64("Released", next.ReleasedEpoch).Msg("hold: changed")
	if s := e.services[next.Service]; s != nil && next.Epoch > before.Epoch {
		s.heldAt = now
		s.holdCount++
	}
	e.notifyWaiters()
}

// adoptHolds merges the holds that a neighbour knows. e.mu must be held.
func (e *Edge) adoptHolds(now dfclock.Millis, holds []dfrevocation.Hold) {
	for _, hold := range holds {
		e.adoptHold(now, hold)
	}
}

// holdList returns the holds for a neighbour. e.mu must be held.
func (e *Edge) holdList() []dfrevocation.Hold {
	var holds []dfrevocation.Hold
	for _, hold := range e.holds {
		holds = append(holds, hold)
	}
	return holds
}

// endHold ends the hold of a replaced leader once another upstream proved, in answer to a
// request that was sent at sentAt, that it leads. e.mu must be held.
func (e *Edge) endHold(s *service, leader dffleet.ID, sentAt dfclock.Millis) {
	hold, known := e.holds[s.name]
	if known && hold.Epoch > hold.ReleasedEpoch && hold.Leader != leader && sentAt > s.heldAt {
		e.adoptHold(e.options.Now(), hold.WithRelease(hold.Epoch))
	}
}

// handleHoldNotice answers a notice. Writes in flight at a responsive leader get a short
// time to finish.
func (e *Edge) handleHoldNotice(notice dfrevocation.HoldNotice) dfrevocation.HoldReply {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	hold, reply := e.holds[notice.Service].WithNotice(notice)
	if !reply.Accepted {
		e.log.Warn().Str("Service", notice.Service).Str("Holder", notice.Holder).Uint64("Epoch", notice.Epoch).Msg("hold: notice refused")
		return reply
	}
	s := e.services[notice.Service]
	if s == nil || notice.Released {
		e.adoptHold(now, hold)
		return reply
	}
	// Writes that end before the confirmation succeed.
	holdCount := s.holdCount
	e.adoptHold(now, hold)
	s.holdCount = holdCount
	s.nextLeaderAt = now.Add(notice.ExpectedIn)
	until := now
	if !s.successor.Suspected() {
		until = now.Add(heldWriteTimeout)
	}
	for s.writesInFlight > 0 && e.options.Now() < until {
		e.mu.Unlock()
		time.Sleep(inFlightPollInterval)
		e.mu.Lock()
	}
	unknown := s.writesInFlight
	s.holdCount++
	e.counters.writesHeld.Inc()
	e.log.Info().Str("Service", s.name).Str("Holder", notice.Holder).Uint64("Epoch", notice.Epoch).Int("Unknown", unknown).
		Int64("Millis", int64(e.options.Now()-now)).Msg("hold: notice confirmed")
	return reply
}

// holdWrites makes all hosts stop sending writes to a leader that is to be replaced. A
// host that does not confirm has no lease any more after dfrevocation.LeaseSpan.
func (e *Edge) holdWrites(ctx context.Context, s *service, wanted dfsuccession.Revoke) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(dfrevocation.RevocationTimeout)*time.Millisecond)
	e.mu.Lock()
	startedAt := e.options.Now()
	hosts := e.neighbours.OtherHosts()
	notice := dfrevocation.HoldNotice{
		Service: s.name, Holder: e.options.Self.ID, Epoch: wanted.Epoch, Leader: wanted.Replaced,
		ExpectedIn: s.successor.PromotionTime(),
	}
	s.unorderedEpoch = 0
	if s.heldEpoch != s.orderedEpoch {
		s.unorderedEpoch = s.heldEpoch
	}
	s.earlierBefore, s.earlierHold, s.heldEpoch = s.earlierHold, 0, wanted.Epoch
	e.mu.Unlock()
	hostIDs := []string{e.options.Self.ID}
	events := make(chan dfrevocation.Event, len(hosts)+1)
	var wg sync.WaitGroup
	wg.Go(func() { events <- e.holdEvent(s, e.options.Self.ID, e.handleHoldNotice(notice)) })
	for _, host := range hosts {
		hostIDs = append(hostIDs, host.ID)
		wg.Go(func() { events <- e.sendHoldNotice(ctx, s, host, notice) })
	}
	// Notices continue after the verdict, for the hosts that were not needed for it.
	go func() {
		wg.Wait()
		cancel()
	}()
	verdict, open := e.awaitVerdict(dfrevocation.NewTally(startedAt, hostIDs), events)
	e.log.Warn().Str("Service", s.name).Str("Leader", string(wanted.Replaced)).Uint64("Epoch", wanted.Epoch).
		Bool("Clear", verdict == dfrevocation.Clear).Strs("Open", open).Int64("Millis", int64(e.options.Now()-startedAt)).
		Msg("hold: writes held")
	if verdict == dfrevocation.Clear {
		e.notifySuccessor(s, dfsuccession.Revoked{})
		return
	}
	e.notifySuccessor(s, dfsuccession.RevokeFailed{})
	e.releaseWrites(ctx, s, wanted.Epoch)
}

// holdEvent converts a reply for the tally, and records an earlier change whose promotion
// may take effect.
func (e *Edge) holdEvent(s *service, host string, reply dfrevocation.HoldReply) dfrevocation.Event {
	if !reply.Accepted {
		return dfrevocation.Refused{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.unorderedEpoch > 0 && reply.EarlierEpoch == s.unorderedEpoch {
		s.earlierHold = max(s.earlierHold, s.earlierBefore)
	} else {
		s.earlierHold = max(s.earlierHold, reply.EarlierEpoch)
	}
	return dfrevocation.Accepted{Host: host}
}

// sendHoldNotice sends a notice to a host until it answers. A host that refuses the
// connection may run behind a cut, so only its answer or its lease counts.
func (e *Edge) sendHoldNotice(ctx context.Context, s *service, host dfmember.Host, notice dfrevocation.HoldNotice) dfrevocation.Event {
	for ctx.Err() == nil {
		reply, err := e.sendHoldNoticeOnce(ctx, host, notice)
		if err == nil {
			return e.holdEvent(s, host.ID, reply)
		}
		sleep(ctx, noticeRetryDelay)
	}
	return nil
}

func (e *Edge) sendHoldNoticeOnce(ctx context.Context, host dfmember.Host, notice dfrevocation.HoldNotice) (dfrevocation.HoldReply, error) {
	report, err := e.requestOnce(ctx, host, dfneighbour.Request{Host: e.options.Self, Hold: &notice})
	if err != nil {
		return dfrevocation.HoldReply{}, err
	}
	if report.HoldReply == nil {
		return dfrevocation.HoldReply{}, eris.Errorf("hold: %s did not answer the notice", host.ID)
	}
	return *report.HoldReply, nil
}

// releaseWrites lets the hosts send writes to the leader again, and withdraws the claim.
// They stay held if the promotion of an earlier change may take effect.
func (e *Edge) releaseWrites(ctx context.Context, s *service, epoch uint64) {
	e.mu.Lock()
	earlier := s.earlierHold
	hosts := e.neighbours.OtherHosts()
	e.mu.Unlock()
	e.log.Warn().Str("Service", s.name).Uint64("Epoch", epoch).Uint64("Earlier", earlier).Msg("hold: released")
	if earlier > 0 {
		return
	}
	notice := dfrevocation.HoldNotice{Service: s.name, Holder: e.options.Self.ID, Epoch: epoch, Released: true}
	e.handleHoldNotice(notice)
	release := context.WithoutCancel(ctx)
	for _, host := range hosts {
		go func() {
			// The exchanges tell hosts that do not answer.
			if _, err := e.sendHoldNoticeOnce(release, host, notice); err != nil {
				e.log.Info().Str("Neighbour", host.ID).Err(err).Msg("hold: cannot tell of the release")
			}
		}()
	}
	e.withdrawClaim(s, epoch)
}

// loadHolds reads the holds from the claims when the host starts. It may have accepted
// one before, and counts as a contact of others that did not.
func (e *Edge) loadHolds(ctx context.Context) {
	for ; ctx.Err() == nil; sleep(ctx, tickInterval) {
		e.mu.Lock()
		needed := e.loaded() && e.catalog.HasSyncReplicas() && !e.usesLeases() && !e.holdsLoaded
		e.mu.Unlock()
		if !needed {
			continue
		}
		if err := e.readHolds(ctx); err != nil {
			e.log.Info().Err(err).Msg("hold: cannot load claims")
			sleep(ctx, claimsRetryDelay)
		}
	}
}

func (e *Edge) readHolds(ctx context.Context) error {
	rows, err := e.options.Platform.List(ctx, claimsTable)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	for _, row := range rows {
		var last claim
		if err := json.Unmarshal(row.Value, &last); err != nil {
			e.log.Warn().Str("Row", row.Key).Err(err).Msg("hold: cannot decode claim")
			continue
		}
		if last.Target != "" && last.Replaced != "" {
			e.adoptHold(now, dfrevocation.Hold{
				Service: strings.TrimPrefix(row.Key, claimsTable), Epoch: uint64(row.Version), Leader: last.Replaced,
			})
		}
	}
	e.holdsLoaded = true
	e.triggerExchanges()
	return nil
}
