package dfedge

import (
	"dragonflygrade/dfcatalog"
	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dffresh"
	"dragonflygrade/dfplace"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfrevocation"
	"dragonflygrade/dfstatement"
	"dragonflygrade/dfsuccession"
)

// target is where a statement goes.
type target struct {
	source   source
	upstream dffleet.ID
	// after is the position that the log must have, or zero.
	after dfposition.Position
	// proof is true if the statement must come with a proof of the lead.
	proof bool
	// patience is how long the statement may wait for a connection there.
	patience dfclock.Millis
	// silence is how long an answer may take before it counts as lost.
	silence dfclock.Millis
}

// need is what a statement asks of its upstream.
type need struct {
	service   *service
	freshness dfcatalog.Freshness
	// arrivedAt is when the statement, or its transaction, arrived.
	arrivedAt dfclock.Millis
	deadline  dfclock.Millis
	// aim is the latency that the caller expects, or zero.
	aim dfclock.Millis
	// own is the newest commit of the session, and when it was acknowledged.
	own   dfposition.Position
	ownAt dfclock.Millis
	// discarded is true once a leader said that it lacks own: a promotion
	// discarded that commit.
	discarded bool
	// avoid has upstreams that failed the statement.
	avoid []dffleet.ID
}

// step is the next thing to do for a statement: go, pause or refuse.
type step interface{ step() }

// goTo sends the statement.
type goTo struct{ target }

// pause waits for news until an instant.
type pause struct {
	changed chan struct{}
	until   dfclock.Millis
}

// refuse ends the statement without running it.
type refuse struct{ err *dfresult.Error }

func (goTo) step()   {}
func (pause) step()  {}
func (refuse) step() {}

// choose waits until a plan names a target or refuses the statement.
func (e *Edge) choose(n *need, plan func(*need) step) (target, *dfresult.Error) {
	for {
		switch next := plan(n).(type) {
		case pause:
			e.await(next.changed, next.until)
		case refuse:
			return target{}, next.err
		case goTo:
			return next.target, nil
		}
	}
}

// planWrite decides where a statement runs that needs the leader.
func (e *Edge) planWrite(n *need) step {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.planLeader(e.options.Now(), n)
}

func (e *Edge) planLeader(now dfclock.Millis, n *need) step {
	s := n.service
	if now >= n.deadline {
		return refuse{dfresult.NewError(dfresult.NoPrimary, "service %s", s.name)}
	}
	if !e.leased(now) {
		return refuse{dfresult.NewError(dfresult.NoPrimary, "service %s: no majority of the hosts is in touch", s.name).
			WithRetryAfter(dfrevocation.LeaseSpan)}
	}
	leader, ok := e.fleet.Leader(now, s.name)
	if s.held {
		return pause{e.changed, min(n.deadline, now.Add(refusePause))}
	}
	if ok && e.mayUse(now, leader) && !s.successor.Suspected() {
		pool := s.pools[leader.ID]
		if pool != nil && s.placer.AvailableIn(now, leader.ID) == 0 {
			if err := overload(now, n, admitShare, s.placer.ExpectedWait(now, leader.ID)); err != nil {
				return refuse{err}
			}
			return goTo{target{
				source: e.sourceOf(now, s, leader.ID), upstream: leader.ID, proof: true,
				patience: min(n.deadline-now, connectionPatience), silence: n.deadline - now,
			}}
		}
		// The last opening failed, or the queue there was full.
		wait := s.placer.AvailableIn(now, leader.ID)
		if err := overload(now, n, admitShare, wait); err != nil {
			return refuse{err}
		}
		return pause{e.changed, min(n.deadline, now.Add(max(wait, refusePause)))}
	}
	back := s.successor.LeaderExpectedAt(now)
	if told := e.circle.BackAt(now, s.name); told > 0 && (back == 0 || told < back) {
		back = told
	}
	if back >= n.deadline {
		return refuse{dfresult.NewError(dfresult.NoPrimary, "service %s has no leader", s.name).WithRetryAfter(back - now)}
	}
	return pause{e.changed, min(n.deadline, now.Add(10*refusePause))}
}

// overload refuses a statement that would be answered later than its caller
// expects. It answers loads above the capacity of the upstreams: whoever is let
// in is served in time, and the rest learns at once when to come back. The wait
// may take a share of the caller's aim, in percent.
func overload(now dfclock.Millis, n *need, share, wait dfclock.Millis) *dfresult.Error {
	patience := n.aim * share / 100
	if patience <= 0 || patience > n.deadline-now {
		patience = n.deadline - now
	}
	if wait <= patience {
		return nil
	}
	return dfresult.NewError(dfresult.QueueFull, "service %s: expected wait %s, patience %s", n.service.name, wait, patience).
		WithRetryAfter(wait - patience)
}

// mayUse reports whether an upstream may get new work: one that leaves gets
// none a while before the bound of the drain.
func (e *Edge) mayUse(now dfclock.Millis, upstream dffleet.Upstream) bool {
	since := e.fleet.LeavingSince(upstream.ID)
	return since == dfclock.Never || now-since < e.options.DrainTimeout*7/10
}

// planRead decides where a read outside of the leader's transactions runs.
func (e *Edge) planRead(n *need) step {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	s := n.service
	s.readAt = now
	var age dfclock.Millis
	switch f := n.freshness.(type) {
	case dfcatalog.Bounded:
		age = f.MaxAge
	case dfcatalog.OwnWrites:
		age = f.MaxAge
	default:
		return e.planLeader(now, n)
	}
	if now >= n.deadline {
		return refuse{dfresult.NewError(dfresult.DeadlinePassed, "read of service %s", s.name)}
	}
	proof, ok := s.timeline.RequiredProof(n.arrivedAt, age)
	if !ok || n.discarded {
		return e.planLeader(now, n)
	}
	wanted := dfplace.Requirement{Position: proof.Position, At: proof.At}
	if wanted.Position.Less(n.own) {
		wanted = dfplace.Requirement{Position: n.own, At: n.ownAt}
	}
	id, ok := s.placer.SelectForRead(now, wanted, e.usable(now, s), s.leader, n.avoid)
	if !ok {
		n.avoid = nil
		return pause{e.changed, min(n.deadline, now.Add(refusePause))}
	}
	share := admitShare
	if id == s.leader {
		share = leaderShare
	}
	if err := overload(now, n, share, s.placer.ExpectedWait(now, id)); err != nil {
		return refuse{err}
	}
	silence := min(n.deadline-now, max(silenceFloor, silenceFactor*s.placer.ExpectedWait(now, id)))
	return goTo{target{
		source: e.sourceOf(now, s, id), upstream: id, after: wanted.Position,
		patience: min(n.deadline-now, connectionPatience), silence: silence,
	}}
}

// usable are the upstreams that reads may go to. Draining ones are left out
// while others are there.
func (e *Edge) usable(now dfclock.Millis, s *service) []dffleet.Upstream {
	var staying, leaving []dffleet.Upstream
	for _, upstream := range e.fleet.ByService(s.name) {
		switch {
		case s.pools[upstream.ID] == nil || !e.mayUse(now, upstream):
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

// began counts a statement at an upstream, and tells whether that one leads.
func (e *Edge) began(s *service, id dffleet.ID) (led bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.placer.Enqueue(id)
	led = id == s.leader
	if led {
		s.waiting++
	}
	return led
}

// ended takes it off the count. Sent is true if it had a connection.
func (e *Edge) ended(s *service, id dffleet.ID, led, sent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if sent {
		s.placer.Finish(id)
	} else {
		s.placer.Cancel(id)
	}
	if led && s.waiting > 0 {
		s.waiting--
	}
}

// learned takes what an answer tells of its upstream. proved is true if the
// upstream led its service when the statement ran.
func (e *Edge) learned(n *need, a *attempt, answer dfstatement.Answer, proved bool) {
	s, id, sentAt := n.service, a.upstream, a.sentAt
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	s.successor.Handle(now, dfsuccession.Answered{ID: id})
	if proved && e.leads(now, a) {
		e.fleet.RecordLeader(id, sentAt)
		if id == s.leader && !answer.Position.IsZero() {
			s.timeline.Add(dffresh.Proof{At: sentAt, Position: answer.Position})
		}
	}
	if !answer.Position.IsZero() {
		s.placer.RecordPosition(now, id, answer.Position, s.timeline.Lag(now, answer.Position))
	}
	switch answer.Code {
	case dfresult.OK:
		s.placer.RecordAnswer(now, id, now-sentAt)
	case dfresult.NeedsPrimary:
		e.fleet.RecordDenial(now, id)
		e.follow(now, s)
	case dfresult.NoFreshUpstream:
		// A leader lacks the position for good; the next try asks it for proof.
		n.discarded = n.discarded || id == s.leader
	case dfresult.WrongUpstream:
		s.placer.RecordFailure(now, id)
	case dfresult.QueueFull:
		s.full(now, id)
	}
}

// full takes that an upstream has no place left in its queue. Probes of it then
// wait longer, as its statements do.
func (s *service) full(now dfclock.Millis, id dffleet.ID) {
	s.placer.RecordQueueFull(now, id)
	s.fullAt[id] = now
}

// failed takes a connection that broke or went silent.
func (e *Edge) failed(s *service, id dffleet.ID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	s.placer.RecordFailure(now, id)
	s.successor.Handle(now, dfsuccession.ConnectionFailed{ID: id})
}

func isConnectionLimit(err error) bool {
	return dfresult.HasCode(err, dfresult.ConnectionLimit)
}

// isRefusal reports whether an upstream answered that it takes no more.
func isRefusal(err error) bool {
	return dfresult.HasCode(err, dfresult.ConnectionLimit, dfresult.QueueFull)
}
