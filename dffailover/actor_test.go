package dffailover_test

import (
	"errors"
	"fmt"

	"dragonflygrade/dfack"
	"dragonflygrade/dfclock"
	"dragonflygrade/dffailover"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfhealth"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfresult"
)

var errPending = errors.New("group_wait still pending")

const (
	// keys and maxOutstanding keep the history of each key short enough for the
	// linearizability check.
	keys           = 40
	maxOutstanding = 5
)

// strategy selects the promotion state machine or a baseline.
type strategy int

const (
	stateMachine strategy = iota
	fixedTimeout
	tableLease
)

type leaseRow = dffailover.TableLeaseRow

// request is a write or a read in flight.
type request struct {
	operation
	entry      entry
	superseded bool
}

// actor is one slot holder with the state machines under test and a stream of
// caller requests.
type actor struct {
	sim         *simulation
	index       int
	incarnation int
	alive       bool
	pausedUntil dfclock.Millis
	machine     *dffailover.Machine
	tracker     *dfhealth.Tracker
	gate        *dfack.Gate
	table       *dffailover.TableLease
	// timedOut has the upstreams whose last status request timed out.
	timedOut map[dfgroup.UpstreamID]bool
	// silentConnection has the upstreams whose connection no longer answers.
	silentConnection map[dfgroup.UpstreamID]bool
	writesHeld       bool
	inFlight         int
	waiting          map[uint64]*request
	lastID           uint64
	term             dfposition.Term
}

func (a *actor) name() string {
	return fmt.Sprintf("a%d.%d", a.index, a.incarnation)
}

func (a *actor) start() {
	sim := a.sim
	a.incarnation++
	a.alive, a.writesHeld, a.inFlight, a.term = true, false, 0, 0
	a.timedOut, a.silentConnection = map[dfgroup.UpstreamID]bool{}, map[dfgroup.UpstreamID]bool{}
	a.waiting = map[uint64]*request{}
	var ids []dfgroup.UpstreamID
	var members []dffailover.Member
	for _, s := range sim.servers {
		ids = append(ids, s.id)
		members = append(members, dffailover.Member{ID: s.id, DataCentre: fmt.Sprint(s.index)})
	}
	health := dfhealth.DefaultOptions()
	if sim.strategy == fixedTimeout {
		health.MinSilenceTimeout, health.MaxSilenceTimeout = dffailover.FixedTimeout, dffailover.FixedTimeout
	}
	a.machine = dffailover.New(dffailover.Options{
		Actor: a.name(), Rank: a.index, DataCentre: fmt.Sprint(a.index), Members: members, Timings: dffailover.DefaultTimings(),
	})
	if sim.faults.reuseTerm {
		a.machine.SetRank(0)
	}
	a.tracker = dfhealth.NewTracker(health, sim.now, ids)
	a.gate = dfack.NewGate(dfack.DefaultOptions(), ids)
	a.table = dffailover.NewTableLease(a.name())
	for _, s := range sim.servers {
		a.every(100, func() { a.poll(s) })
	}
	a.every(10, a.tick)
	a.every(25, a.sendRequest)
	if sim.strategy == tableLease {
		a.every(500, a.renewTableLease)
	}
}

// whenRunning runs a function if the incarnation is still alive, and delays it
// while the actor is paused.
func (a *actor) whenRunning(incarnation int, run func()) {
	if !a.alive || a.incarnation != incarnation {
		return
	}
	if a.sim.now < a.pausedUntil {
		a.sim.after(a.pausedUntil-a.sim.now, func() { a.whenRunning(incarnation, run) })
		return
	}
	run()
}

func (a *actor) every(span dfclock.Millis, run func()) {
	incarnation := a.incarnation
	a.sim.after(span, func() {
		a.whenRunning(incarnation, func() {
			run()
			if a.alive && a.incarnation == incarnation {
				a.every(span, run)
			}
		})
	})
}

// crash ends the incarnation and starts the next one after span.
func (a *actor) crash(span dfclock.Millis) {
	if !a.alive {
		return
	}
	a.alive = false
	a.sim.after(span, a.start)
}

func (a *actor) poll(s *server) {
	askedAt := a.sim.now
	if a.silentConnection[s.id] { // silent until the connection is replaced
		a.sim.after(200, func() { a.silentConnection[s.id] = false })
		a.handleStatus(s, dfgroup.Status{}, askedAt, errTimeout)
		return
	}
	a.sim.call(a, s, 200, func() (dfgroup.Status, error) { return s.status(a.sim.now), nil },
		func(status dfgroup.Status, err error) { a.handleStatus(s, status, askedAt, err) })
}

// handleStatus passes the result of a status request to the health tracker, and a
// report also to the gate and the machine.
func (a *actor) handleStatus(s *server, status dfgroup.Status, askedAt dfclock.Millis, err error) {
	now := a.sim.now
	switch {
	case err == nil:
		a.timedOut[s.id] = false
		a.tracker.Handle(now, dfhealth.Answered{Upstream: s.id, ResponseTime: now - askedAt})
		a.tracker.Handle(now, dfhealth.Reported{Status: status})
		a.applyReport(status, askedAt)
		a.handleEvent(dffailover.Reported{Status: status, AskedAt: askedAt})
	case errors.Is(err, errRefused), a.timedOut[s.id] && errors.Is(err, errTimeout):
		a.tracker.Handle(now, dfhealth.ConnectFailed{Upstream: s.id, StartedAt: askedAt})
	case errors.Is(err, errTimeout):
		a.timedOut[s.id] = true
		a.tracker.Handle(now, dfhealth.RequestTimedOut{Upstream: s.id})
	}
}

func (a *actor) applyReport(status dfgroup.Status, askedAt dfclock.Millis) {
	if a.sim.faults.ignoreTerms {
		status.History, _ = dfposition.NewHistory(dfposition.Start{Term: a.term})
		status.Accepted = a.term
		status.Role = dfgroup.RolePrimary
	}
	a.executeAcks(a.gate.Report(a.sim.now, status, askedAt))
}

func (a *actor) tick() {
	now := a.sim.now
	primary, term, _ := a.machine.Primary()
	if term < a.term {
		a.sim.recordViolation("terms never decrease", "%s saw %d after %d", a.name(), term, a.term)
	}
	a.term = max(a.term, term)
	for _, s := range a.sim.servers {
		dead := a.tracker.State(now, s.id, primary) == dfhealth.Dead
		if a.sim.strategy == tableLease && !a.table.HoldsLease(now) {
			dead = false
		}
		a.handleEvent(dffailover.HealthChecked{Upstream: s.id, Dead: dead})
	}
	a.handleEvent(dffailover.InFlightCounted{InFlight: a.inFlight})
	a.handleEvent(dffailover.Tick{})
	a.executeAcks(a.gate.Tick(now))
}

// renewTableLease reads the lease row and writes it when due. Request and answer
// take 20 ms each.
func (a *actor) renewTableLease() {
	sim, sentAt := a.sim, a.sim.now
	self := len(sim.servers) + a.index
	if sim.tableDown || sim.cut[[2]int{self, self}] { // an isolated node does not reach the table
		return
	}
	incarnation := a.incarnation
	sim.after(20, func() {
		read := sim.row
		sim.after(20, func() {
			a.whenRunning(incarnation, func() {
				a.table.ObserveRow(sim.now, read)
				next, due := a.table.DueWrite(sim.now)
				if due && sim.row == read && !sim.tableDown {
					sim.row = next
					a.table.ConfirmWrite(sentAt, next)
				}
			})
		})
	})
}

// handleEvent executes the machine's actions. The actor may crash after each of
// them, with the probability stepCrashRate.
func (a *actor) handleEvent(event dffailover.Event) {
	for _, action := range a.machine.Handle(a.sim.now, event) {
		if !a.alive {
			return
		}
		if a.execute(action) && a.sim.rng.Float64() < a.sim.stepCrashRate {
			a.crash(500 + dfclock.Millis(a.sim.rng.IntN(2000)))
		}
	}
}

// execute runs an action and reports whether the actor may crash after it.
func (a *actor) execute(action dffailover.Action) bool {
	sim := a.sim
	switch e := action.(type) {
	case dffailover.Fence:
		for i, id := range e.Upstreams {
			if sim.faults.minorityFence && len(e.Upstreams) > 1 && i != a.index {
				a.fakeFenceAnswer(sim.server(id), e)
				continue
			}
			a.runStep(sim.server(id), dffailover.StepFence, e.Term, func(s *server) (dfgroup.Status, error) {
				return sim.fence(s, e.Term, e.Actor)
			})
			if sim.rng.Float64() < sim.stepCrashRate/2 { // crash with only some upstreams fenced
				a.crash(1000)
				return false
			}
		}
	case dffailover.Promote:
		a.runStep(sim.promotionTarget(e), dffailover.StepPromote, e.Term, func(s *server) (dfgroup.Status, error) {
			return sim.promote(s, e.Term, e.Actor)
		})
	case dffailover.Follow:
		a.runStep(sim.server(e.Upstream), dffailover.StepFollow, e.Term, func(s *server) (dfgroup.Status, error) {
			return sim.follow(s, e.Term, e.Actor, e.Primary)
		})
	case dffailover.MarkLeaving:
		sim.server(e.Upstream).leaving = true
	case dffailover.Poll:
		for _, s := range sim.servers {
			a.poll(s)
		}
	case dffailover.ReleaseWrites:
		a.writesHeld = false
		return false
	case dffailover.HoldWrites:
		a.writesHeld = true
		return false
	case dffailover.RecordDecision, dffailover.ReportDiscarded, dffailover.ReportAborted:
		return false
	}
	return true
}

// fakeFenceAnswer reports success for a fence that was not sent.
func (a *actor) fakeFenceAnswer(s *server, e dffailover.Fence) {
	fake := dfgroup.Status{Upstream: s.id, Role: dfgroup.RoleFenced, Accepted: e.Term, Actor: e.Actor}
	incarnation, askedAt := a.incarnation, a.sim.now
	a.sim.after(20, func() {
		a.whenRunning(incarnation, func() {
			a.handleEvent(dffailover.Answered{Step: dffailover.StepFence, Term: e.Term, Status: fake, AskedAt: askedAt})
		})
	})
}

func (a *actor) runStep(s *server, step dffailover.Step, term dfposition.Term, run func(*server) (dfgroup.Status, error)) {
	askedAt := a.sim.now
	a.sim.call(a, s, 300, func() (dfgroup.Status, error) { return run(s) }, func(status dfgroup.Status, err error) {
		var refused refusedError
		if errors.As(err, &refused) {
			a.handleEvent(dffailover.Refused{Step: step, Upstream: s.id, Term: term, Accepted: refused.accepted})
			return
		}
		if err != nil {
			a.handleEvent(dffailover.Failed{Step: step, Upstream: s.id, Term: term})
			return
		}
		a.applyReport(status, askedAt)
		a.handleEvent(dffailover.Answered{Step: step, Term: term, Status: status, AskedAt: askedAt})
	})
}

// sendRequest sends a write, or every fourth time a read, to the known primary.
func (a *actor) sendRequest() {
	sim := a.sim
	primary, term, confirmed := a.machine.Primary()
	if a.writesHeld || !confirmed || a.inFlight+len(a.waiting) >= a.sim.maxOutstanding {
		return
	}
	s := sim.server(primary)
	sim.lastValue++
	r := &request{operation: operation{key: sim.rng.IntN(keys), value: sim.lastValue, call: sim.now, read: sim.rng.IntN(4) == 0}}
	r.entry = entry{key: r.key, value: r.value}
	var position dfposition.Position
	a.inFlight++
	sim.call(a, s, 1000, func() (status dfgroup.Status, err error) {
		if r.read {
			r.value = s.read(r.key)
			position = dfposition.Position{Term: s.logTerm(), Offset: dfposition.Offset(len(s.log))}
			return status, err
		}
		if position, err = sim.write(s, r.entry); err == nil {
			r.entry.term, r.historyIndex = position.Term, len(sim.history)
			sim.history = append(sim.history, r.operation) // without an answer, the write may still take effect
		}
		return status, err
	}, func(_ dfgroup.Status, err error) {
		a.inFlight--
		if err == nil {
			a.awaitAck(r, position, term)
		}
	})
}

func (a *actor) awaitAck(r *request, position dfposition.Position, term dfposition.Term) {
	a.lastID++
	a.waiting[a.lastID] = r
	r.position = position
	r.superseded = a.sim.superseded(position.Term)
	if r.read && !a.sim.faults.readsAsCommits {
		a.executeAcks(a.gate.Confirm(a.sim.now, a.lastID, position, term))
		return
	}
	a.executeAcks(a.gate.Commit(a.sim.now, a.lastID, position))
}

func (a *actor) executeAcks(actions []dfack.Action) {
	for _, action := range actions {
		switch e := action.(type) {
		case dfack.Wait:
			a.groupWait(a.sim.server(e.Upstream), e)
		case dfack.Answer:
			r := a.waiting[e.ID]
			delete(a.waiting, e.ID)
			if e.Code == dfresult.OK {
				a.sim.acknowledge(r)
			}
		}
	}
}

func (a *actor) groupWait(s *server, e dfack.Wait) {
	sim, askedAt := a.sim, a.sim.now
	sim.call(a, s, e.Timeout+300, func() (dfgroup.Status, error) {
		status := s.status(sim.now)
		reached := status.Accepted == e.Position.Term && status.Flushed >= e.Position.Offset
		if !reached && sim.now < askedAt+e.Timeout {
			return status, errPending
		}
		return status, nil
	}, func(status dfgroup.Status, err error) {
		if err == nil {
			a.applyReport(status, askedAt)
		}
		incarnation := a.incarnation
		sim.after(1, func() {
			a.whenRunning(incarnation, func() { a.executeAcks(a.gate.WaitEnded(sim.now, s.id)) })
		})
	})
}

func (sim *simulation) acknowledge(r *request) {
	if r.read {
		r.done = sim.now
		sim.history = append(sim.history, r.operation)
		return
	}
	sim.history[r.historyIndex].done = sim.now
	a := acked{position: r.position, entry: r.entry}
	sim.acked = append(sim.acked, a)
	sim.ackTimes = append(sim.ackTimes, sim.now)
	for _, primary := range sim.majorityPrimaries() {
		sim.checkAcked(primary, a)
	}
	holders := 0
	for _, s := range sim.servers {
		if int(a.position.Offset) <= len(s.log) && s.log[a.position.Offset-1] == a.entry {
			holders++
		}
	}
	if r.superseded && holders <= len(sim.servers)/2 {
		sim.recordViolation("no acknowledgement under a replaced primary", "%v was superseded before its answer", r.position)
	}
}

func (sim *simulation) server(id dfgroup.UpstreamID) *server {
	return sim.servers[id[1]-'0']
}

// promotionTarget returns the upstream to promote. The fault promoteLowestLog
// replaces it.
func (sim *simulation) promotionTarget(e dffailover.Promote) *server {
	chosen := sim.server(e.Upstream)
	for _, s := range sim.servers {
		if sim.faults.promoteLowestLog && s.accepted == e.Term && s.actor == e.Actor && len(s.log) < len(chosen.log) {
			chosen = s
		}
	}
	return chosen
}

func (s *server) read(key int) int {
	for i := len(s.log) - 1; i >= 0; i-- {
		if s.log[i].key == key {
			return s.log[i].value
		}
	}
	return 0
}
