package dfedge

import (
	"context"
	"errors"

	"dragonflygrade/dfcatalog"
	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dffresh"
	"dragonflygrade/dfplace"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfquota"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfrevocation"
	"dragonflygrade/dfstatement"
	"dragonflygrade/dfsuccession"
)

// target is the destination of a statement.
type target struct {
	connRoute
	upstream dffleet.ID
	// after is the position that the upstream's log must contain, or zero.
	after dfposition.Position
	// needsProof is true if the upstream must prove that it leads.
	needsProof bool
	// replyTimeout is how long an answer may take before it counts as lost.
	replyTimeout dfclock.Millis
}

// routeRequest has a statement's requirements for its upstream.
type routeRequest struct {
	service   *service
	freshness dfcatalog.Freshness
	// departure ends when the caller leaves. It is nil if the caller is not watched, or
	// if the host itself is the caller.
	departure context.Context
	// organisation is the name of the caller's organisation, or empty.
	organisation string
	// token is what the operation took of the limit of the organisation, and sent is true
	// once an upstream may have received a part of the operation.
	token dfquota.Admitted
	sent  bool
	// arrivedAt is when the statement, or its transaction, arrived.
	arrivedAt dfclock.Millis
	deadline  dfclock.Millis
	// targetLatency is the latency that the caller expects, or zero.
	targetLatency dfclock.Millis
	// lastCommit is the newest commit of the session, and lastCommitAt when it was
	// acknowledged.
	lastCommit   dfposition.Position
	lastCommitAt dfclock.Millis
	// commitDiscarded is true once a leader answered that it lacks lastCommit,
	// which a promotion has discarded.
	commitDiscarded bool
	// admitBy is when the wait for capacity has taken its part of the target latency.
	admitBy dfclock.Millis
	// capacityRefusal is the last refusal for lack of capacity since the statement was
	// last sent, or nil.
	capacityRefusal *dfresult.Error
	// avoid has the upstreams that failed the statement.
	avoid []dffleet.ID
	// refusals has the carrier hosts that the request is not sent to again.
	refusals []carrierRefusal
}

// decision is the next step of a statement: sendTo, waitUntil or refuse.
type decision interface{ decision() }

// sendTo sends the statement to the target.
type sendTo struct{ target }

// waitUntil waits for a change, but no longer than until the given time.
type waitUntil struct {
	changed chan struct{}
	until   dfclock.Millis
}

// refuse ends the statement without running it.
type refuse struct{ err *dfresult.Error }

func (sendTo) decision()    {}
func (waitUntil) decision() {}
func (refuse) decision()    {}

// selectTarget waits until the plan returns a target or refuses the statement, or the
// caller leaves.
func (e *Edge) selectTarget(req *routeRequest, plan func(*routeRequest) decision) (target, *dfresult.Error) {
	for {
		if req.caller().Err() != nil {
			return target{}, errCallerLeft(req)
		}
		switch next := plan(req).(type) {
		case waitUntil:
			e.waitForChange(req.caller(), next.changed, next.until)
		case refuse:
			return target{}, next.err
		case sendTo:
			return next.target, nil
		}
	}
}

// planWrite plans a write, or the first statement of a transaction that may write.
func (e *Edge) planWrite(req *routeRequest) decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	if next := e.planHeldWrite(now, req); next != nil {
		return next
	}
	return e.planLeader(now, req)
}

// planProof plans a statement that needs the leader and writes nothing.
func (e *Edge) planProof(req *routeRequest) decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.planLeader(e.options.Now(), req)
}

func (e *Edge) planLeader(now dfclock.Millis, req *routeRequest) decision {
	s := req.service
	if now >= req.deadline {
		return refuse{dfresult.NewError(dfresult.NoPrimary, "service %s", s.name)}
	}
	if !e.leaseValid(now) {
		return refuse{dfresult.NewError(dfresult.NoPrimary, "service %s: no majority of the hosts is in touch", s.name).
			WithRetryAfter(e.returnAfter(now, req, dfrevocation.LeaseSpan))}
	}
	leader, ok := e.fleet.Leader(now, s.name)
	if s.leaderPaused {
		return waitUntil{e.changed, min(req.deadline, now.Add(refusedRetryDelay))}
	}
	if ok && e.acceptsNewWork(now, leader) && !s.successor.Suspected() {
		pool := s.pools[leader.ID]
		if pool != nil && s.placer.AvailableIn(now, leader.ID) == 0 {
			route := e.connRouteTo(now, req, leader.ID)
			if !route.queued {
				if err := e.refuseOverload(now, req, admitWaitPercent, s.placer.ExpectedWait(now, leader.ID)); err != nil {
					return refuse{err}
				}
			}
			if delay := s.placer.PaceDelay(now, leader.ID); delay > 0 {
				return e.awaitPace(now, req, delay)
			}
			s.placer.Admit(now, leader.ID)
			return sendTo{target{
				connRoute: route, upstream: leader.ID, needsProof: true,
				replyTimeout: req.deadline - now,
			}}
		}
		// The last attempt to connect failed, or the upstream's queue was full.
		wait := s.placer.AvailableIn(now, leader.ID)
		if err := e.refuseOverload(now, req, admitWaitPercent, wait); err != nil {
			return refuse{err}
		}
		return waitUntil{e.changed, min(req.deadline, now.Add(max(wait, refusedRetryDelay)))}
	}
	recoveryAt := s.successor.LeaderExpectedAt(now)
	if reported := e.neighbours.LeaderExpectedAt(now, s.name); reported > 0 && (recoveryAt == 0 || reported < recoveryAt) {
		recoveryAt = reported
	}
	if recoveryAt >= req.deadline {
		return refuse{dfresult.NewError(dfresult.NoPrimary, "service %s has no leader", s.name).
			WithRetryAfter(e.returnAfter(now, req, recoveryAt-now))}
	}
	return waitUntil{e.changed, min(req.deadline, now.Add(10*refusedRetryDelay))}
}

// awaitPace makes a statement wait while the pace of a starting upstream delays it.
// It is refused only if the delay exceeds its deadline: the pace grows within a few
// answers, and no other upstream can run the statement now.
func (e *Edge) awaitPace(now dfclock.Millis, req *routeRequest, delay dfclock.Millis) decision {
	if now.Add(delay) >= req.deadline {
		return refuse{dfresult.NewError(dfresult.QueueFull, "service %s: its upstreams are starting", req.service.name).
			WithRetryAfter(e.returnAfter(now, req, delay))}
	}
	return waitUntil{e.changed, now.Add(delay)}
}

// refuseOverload does what checkOverload does and decides when the caller comes back.
// e.mu must be held.
func (e *Edge) refuseOverload(now dfclock.Millis, req *routeRequest, percent, wait dfclock.Millis) *dfresult.Error {
	err := checkOverload(now, req, percent, wait)
	if err == nil {
		return nil
	}
	return err.WithRetryAfter(e.returnAfter(now, req, err.RetryAfter))
}

// checkOverload refuses a statement whose answer would arrive later than the
// caller expects. Under load above the capacity of the upstreams, admitted
// statements are answered on time, and refused callers learn immediately when to
// retry. The wait may take the given percentage of the caller's target latency.
func checkOverload(now dfclock.Millis, req *routeRequest, percent, wait dfclock.Millis) *dfresult.Error {
	maxWait := req.targetLatency * percent / 100
	if maxWait <= 0 || maxWait > req.deadline-now {
		maxWait = req.deadline - now
	}
	if wait <= maxWait {
		return nil
	}
	return dfresult.NewError(dfresult.QueueFull, "service %s: expected wait %s, patience %s", req.service.name, wait, maxWait).
		WithRetryAfter(wait - maxWait)
}

// acceptsNewWork reports whether an upstream may get new work. A leaving upstream
// gets none for the last 30 % of the drain timeout.
func (e *Edge) acceptsNewWork(now dfclock.Millis, upstream dffleet.Upstream) bool {
	since := e.fleet.LeavingSince(upstream.ID)
	return since == dfclock.Never || now-since < e.options.DrainTimeout*7/10
}

// planRead plans a read that may run outside the leader.
func (e *Edge) planRead(req *routeRequest) decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	s := req.service
	s.lastReadAt = now
	maxAge, bounded := dfcatalog.MaxAge(req.freshness)
	if !bounded {
		return e.planLeader(now, req)
	}
	if now >= req.deadline {
		return refuse{dfresult.NewError(dfresult.DeadlinePassed, "read of service %s", s.name)}
	}
	proof, ok := s.timeline.RequiredProof(req.arrivedAt, maxAge)
	if !ok || req.commitDiscarded {
		return e.planLeader(now, req)
	}
	wanted := dfplace.Requirement{Position: proof.Position, At: proof.At}
	if wanted.Position.Less(req.lastCommit) {
		wanted = dfplace.Requirement{Position: req.lastCommit, At: req.lastCommitAt}
	}
	id, ok := s.placer.SelectForRead(now, wanted, e.usableUpstreams(now, s), s.leader, req.avoid)
	if !ok {
		if req.capacityRefusal != nil {
			return refuse{req.capacityRefusal}
		}
		req.avoid = nil
		if delay := s.paceDelay(now, e.usableUpstreams(now, s)); delay > 0 {
			return e.awaitPace(now, req, delay)
		}
		return waitUntil{e.changed, min(req.deadline, now.Add(refusedRetryDelay))}
	}
	waitPercent := admitWaitPercent
	if id == s.leader {
		waitPercent = leaderWaitPercent
	}
	route := e.connRouteTo(now, req, id)
	if !route.queued {
		if err := e.refuseOverload(now, req, waitPercent, s.placer.ExpectedWait(now, id)); err != nil {
			return refuse{err}
		}
	}
	s.placer.Admit(now, id)
	replyTimeout := min(req.deadline-now, max(minReadTimeout, readTimeoutFactor*s.placer.ExpectedWait(now, id)))
	return sendTo{target{
		connRoute: route, upstream: id, after: wanted.Position,
		replyTimeout: replyTimeout,
	}}
}

// refuseForCapacity records why an attempt failed. It returns the refusal of a
// statement that carriers queue, once the upstreams have no capacity for it in time.
func (e *Edge) refuseForCapacity(req *routeRequest, to target, err error) *dfresult.Error {
	req.capacityRefusal = nil
	var why *dfresult.Error
	if !to.queued || !errors.As(err, &why) || !dfresult.HasCode(why, dfresult.QueueFull, dfresult.DeadlinePassed, dfresult.NoConnection) {
		return nil
	}
	if why.RetryAfter <= 0 {
		e.mu.Lock()
		why = why.WithRetryAfter(e.returnAfter(e.options.Now(), req, to.acquireTimeout))
		e.mu.Unlock()
	}
	req.capacityRefusal = why
	if to.hasNext && why.Code == dfresult.NoConnection {
		// Another carrier of the organisation may have a connection.
		return nil
	}
	if to.needsProof || e.options.Now() >= req.admitBy {
		return why
	}
	return nil
}

// paceDelay returns the shortest delay by the pace of the upstreams that it delays, or
// zero.
func (s *service) paceDelay(now dfclock.Millis, usable []dffleet.Upstream) dfclock.Millis {
	shortest := dfclock.Millis(0)
	for _, upstream := range usable {
		if delay := s.placer.PaceDelay(now, upstream.ID); delay > 0 && (shortest == 0 || delay < shortest) {
			shortest = delay
		}
	}
	return shortest
}

// usableUpstreams returns the upstreams that may serve reads. Draining ones are
// used only if there are no others.
func (e *Edge) usableUpstreams(now dfclock.Millis, s *service) []dffleet.Upstream {
	var staying, leaving []dffleet.Upstream
	for _, upstream := range e.fleet.ByService(s.name) {
		switch {
		case s.pools[upstream.ID] == nil || !e.acceptsNewWork(now, upstream):
		case e.fleet.LeavingSince(upstream.ID) == dfclock.Never:
			staying = append(staying, upstream)
		default:
			leaving = append(leaving, upstream)
		}
	}
	if len(staying) > 0 {
		return staying
	}
	return leaving
}

// statementStarted counts a statement at an upstream and reports whether that
// upstream is the leader.
func (e *Edge) statementStarted(s *service, id dffleet.ID) (led bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.placer.Enqueue(id)
	led = id == s.leader
	if led {
		s.leaderStatements++
	}
	return led
}

// statementEnded reverses statementStarted. sent is true if the statement got a
// connection.
func (e *Edge) statementEnded(s *service, id dffleet.ID, led, sent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if sent {
		s.placer.Finish(id)
	} else {
		s.placer.Cancel(id)
	}
	if led && s.leaderStatements > 0 {
		s.leaderStatements--
	}
}

// recordAnswer updates the state of an upstream from its answer. proved is true
// if the upstream led its service when the statement ran.
func (e *Edge) recordAnswer(req *routeRequest, a *attempt, answer dfstatement.Answer, proved bool) {
	s, id, sentAt := req.service, a.upstream, a.sentAt
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	s.successor.Handle(now, dfsuccession.Answered{ID: id})
	if proved && e.stillLeaderLocked(now, a) {
		e.fleet.RecordLeader(id, sentAt)
		e.endHold(s, id, sentAt)
		if id == s.leader && !answer.Position.IsZero() {
			s.timeline.Add(dffresh.Proof{At: sentAt, Position: answer.Position})
		}
	}
	if !answer.Position.IsZero() {
		s.placer.RecordPosition(now, id, answer.Position, s.timeline.Lag(now, answer.Position))
	}
	switch answer.Code {
	case dfresult.OK:
		if _, reported := e.reportOf(s, a); reported {
			s.placer.RecordCarriedAnswer(now, id, now-sentAt)
		} else {
			s.placer.RecordAnswer(now, id, now-sentAt)
		}
	case dfresult.StatementFailed, dfresult.StatementTimeout, dfresult.Internal:
		s.placer.RecordStatementFailure(now, id)
	case dfresult.NeedsPrimary:
		s.placer.RecordRefusal(id)
		e.fleet.RecordDenial(now, id)
		e.updateLeader(now, s)
	case dfresult.NoFreshUpstream:
		// A position that the leader lacks is lost for good. The next attempt asks
		// the leader for proof instead.
		s.placer.RecordRefusal(id)
		req.commitDiscarded = req.commitDiscarded || id == s.leader
	case dfresult.WrongUpstream:
		s.placer.RecordConnectionLost(now, id)
	case dfresult.QueueFull:
		s.recordFull(now, id)
	default:
		// The caller's statement is the cause.
		s.placer.RecordRefusal(id)
	}
	e.recordReport(now, s, a)
}

// recordFull records that an upstream's queue is full. Its probes then get more
// time, as its statements do.
func (s *service) recordFull(now dfclock.Millis, id dffleet.ID) {
	s.placer.RecordQueueFull(now, id)
	s.fullAt[id] = now
}

// recordFailure records a connection that failed or timed out.
func (e *Edge) recordFailure(s *service, id dffleet.ID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	s.placer.RecordConnectionLost(now, id)
	s.successor.Handle(now, dfsuccession.ConnectionFailed{ID: id})
}

func isConnectionLimit(err error) bool {
	return dfresult.HasCode(err, dfresult.ConnectionLimit)
}

// isCapacityRefusal reports whether an upstream refused because it is at
// capacity.
func isCapacityRefusal(err error) bool {
	return dfresult.HasCode(err, dfresult.ConnectionLimit, dfresult.QueueFull)
}
