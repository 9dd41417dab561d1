package dfcontrol

import (
	"context"
	"errors"
	"time"

	"github.com/phuslu/log"

	"dragonflygrade/dfack"
	"dragonflygrade/dfclock"
	"dragonflygrade/dffailover"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfhealth"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfresult"
)

func (l *loop) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.watcher.inbox:
			l.handleMessage(m)
			l.scheduleTick(timer)
		case <-timer.C:
			l.tick()
			l.nextTickAt = dfclock.Never
			l.scheduleTick(timer)
		}
	}
}

// scheduleTick sets the timer to the next tick unless an earlier one is set.
func (l *loop) scheduleTick(timer *time.Timer) {
	now := l.watcher.options.Now()
	next := l.nextTick(now)
	if next >= l.nextTickAt {
		return
	}
	l.nextTickAt = next
	timer.Reset(time.Duration(next.Since(now)) * time.Millisecond)
}

// nextTick returns the time of the next tick: one TickPeriod ahead while something
// waits for time to pass, and at the latest the next silence timeout. Anything
// else that starts a wait arrives as a message, after which the tick is
// rescheduled.
func (l *loop) nextTick(now dfclock.Millis) dfclock.Millis {
	period := max(dfclock.Millis(l.watcher.options.TickPeriod.Milliseconds()), 1)
	silence := l.health.NextSilenceTimeout(now)
	if !l.failover.Idle() || l.watcher.writeHold.Load() != nil || l.hasEjected() || l.health.Suspected(now) {
		return min(silence, max(now, l.lastTickAt.Add(period)))
	}
	if l.gate.HasPending() || len(l.barriers) > 0 {
		return min(silence, now.Add(period))
	}
	return silence
}

// hasEjected reports whether the view has an ejected upstream. Traffic may end the
// ejection between silence timeouts, so ticks are needed to notice it.
func (l *loop) hasEjected() bool {
	for _, upstream := range l.view.Upstreams {
		if upstream.Ejected {
			return true
		}
	}
	return false
}

func (l *loop) handleMessage(m message) {
	now := l.watcher.options.Now()
	switch m := m.(type) {
	case statusReceived:
		l.applyStatus(now, m.status, m.askedAt)
		l.handleFailoverEvent(now, dffailover.Reported{Status: m.status, AskedAt: m.askedAt})
		l.publishView(now)
	case statementFailed:
		l.health.Handle(now, healthEvent(m))
	case commandDone:
		l.handleCommandDone(now, m)
		l.publishView(now)
	case waitEnded:
		l.executeAckActions(l.gate.WaitEnded(now, m.upstream))
	case trafficReported:
		l.health.Handle(now, m.event)
	case ackRequest:
		l.pendingAcks[m.id] = m.reply
		if m.term == 0 {
			l.executeAckActions(l.gate.Commit(now, m.id, m.position))
			return
		}
		l.executeAckActions(l.gate.Confirm(now, m.id, m.position, m.term))
	case ackCanceled:
		delete(l.pendingAcks, m.id)
		l.gate.Forget(m.id)
	case barrierRequest:
		l.addBarrier(now, m.reply)
	case switchoverRequest:
		l.addSwitchover(now, m.reply)
	case leavingMarked:
		l.handleLeavingMark(now, m)
	case rankChanged:
		l.failover.SetRank(m.rank)
	}
}

func (l *loop) tick() {
	now := l.watcher.options.Now()
	l.lastTickAt = now
	primary, _, _ := l.failover.Primary()
	for _, upstream := range l.view.Upstreams {
		dead := l.health.State(now, upstream.ID, primary) == dfhealth.Dead
		l.handleFailoverEvent(now, dffailover.HealthChecked{Upstream: upstream.ID, Dead: dead})
	}
	if l.watcher.writeHold.Load() != nil && l.watcher.options.InFlight != nil {
		l.handleFailoverEvent(now, dffailover.InFlightCounted{InFlight: l.watcher.options.InFlight()})
	}
	l.handleFailoverEvent(now, dffailover.Tick{})
	l.executeAckActions(l.gate.Tick(now))
	l.answerBarriers(now)
	l.publishView(now)
}

func (l *loop) handleLeavingMark(now dfclock.Millis, m leavingMarked) {
	l.markedLeaving[m.upstream] = m.leaving
	upstream, found := l.view.Find(m.upstream)
	if found && m.leaving && upstream.ReportedAt > 0 && !upstream.Status.Leaving {
		l.enqueueCommand(now, m.upstream, command{leaving: true})
	}
	l.publishView(now)
}

// applyStatus passes a status report to the health tracker, the view and the
// acknowledgement gate.
func (l *loop) applyStatus(now dfclock.Millis, status dfgroup.Status, askedAt dfclock.Millis) {
	l.health.Handle(now, dfhealth.Reported{Status: status})
	l.view = l.view.WithStatus(status, askedAt, now)
	l.executeAckActions(l.gate.Report(now, status, askedAt))
}

func (l *loop) handleCommandDone(now dfclock.Millis, m commandDone) {
	var refusal *RefusedError
	c := m.command
	switch {
	case m.err == nil:
		l.applyStatus(now, m.status, m.askedAt)
		if c.step == dffailover.StepFence && c.actor != l.watcher.options.Actor {
			l.audit(AuditEvent{Kind: AuditFencing, At: now, Term: c.term, Actor: c.actor, Upstream: m.upstream})
		}
		if c.leaving {
			l.handleFailoverEvent(now, dffailover.Reported{Status: m.status, AskedAt: m.askedAt})
			return
		}
		l.handleFailoverEvent(now, dffailover.Answered{Step: c.step, Term: c.term, Status: m.status, AskedAt: m.askedAt})
		return
	case errors.As(m.err, &refusal):
		l.handleFailoverEvent(now, dffailover.Refused{Step: c.step, Upstream: m.upstream, Term: c.term, Accepted: refusal.Accepted})
	default:
		l.health.Handle(now, healthEvent(statementFailed{upstream: m.upstream, startedAt: m.askedAt, err: m.err}))
		l.handleFailoverEvent(now, dffailover.Failed{Step: c.step, Upstream: m.upstream, Term: c.term})
	}
	log.Info().Str("group", string(l.view.ID)).Str("upstream", string(m.upstream)).Str("step", c.step.String()).
		Uint64("term", uint64(c.term)).Err(m.err).Msg("control: command failed")
}

// handleFailoverEvent passes an event to the promotion state machine and executes
// its actions.
func (l *loop) handleFailoverEvent(now dfclock.Millis, event dffailover.Event) {
	for _, action := range l.failover.Handle(now, event) {
		switch a := action.(type) {
		case dffailover.Fence:
			if len(a.Upstreams) > 1 {
				l.audit(AuditEvent{Kind: AuditFencing, At: now, Term: a.Term, Actor: a.Actor})
			}
			for _, id := range a.Upstreams {
				l.enqueueCommand(now, id, command{step: dffailover.StepFence, term: a.Term, actor: a.Actor})
			}
		case dffailover.Promote:
			l.enqueueCommand(now, a.Upstream, command{step: dffailover.StepPromote, term: a.Term, actor: a.Actor})
		case dffailover.Follow:
			c := command{step: dffailover.StepFollow, term: a.Term, actor: a.Actor, primary: a.Primary}
			l.enqueueCommand(now, a.Upstream, c)
		case dffailover.MarkLeaving:
			l.audit(AuditEvent{Kind: AuditLeaving, At: now, Upstream: a.Upstream})
			l.enqueueCommand(now, a.Upstream, command{leaving: true})
		case dffailover.Poll:
			l.requestPolls()
		case dffailover.HoldWrites:
			hold := make(chan struct{})
			l.watcher.writeHold.Store(&hold)
		case dffailover.ReleaseWrites:
			l.releaseWrites()
		case dffailover.RecordDecision:
			l.auditDecision(now, a.Decision)
		case dffailover.ReportDiscarded:
			l.audit(AuditEvent{Kind: AuditDiscarded, At: now, Upstream: a.Upstream, Detail: a.Tail})
		case dffailover.ReportAborted:
			l.audit(AuditEvent{Kind: AuditAborted, At: now, Term: a.Term, Detail: a.Reason})
		}
	}
}

func (l *loop) releaseWrites() {
	if hold := l.watcher.writeHold.Swap(nil); hold != nil {
		close(*hold)
	}
}

func (l *loop) auditDecision(now dfclock.Millis, decision dffailover.Decision) {
	kind := AuditPromotion
	if decision.Planned {
		kind = AuditSwitchover
	}
	l.audit(AuditEvent{
		Kind: kind, At: now, Term: decision.Term, Actor: decision.Actor, Upstream: decision.Primary, Decision: &decision,
	})
}

func (l *loop) audit(event AuditEvent) {
	event.Group = l.view.ID
	if event.Actor == "" {
		event.Actor = l.watcher.options.Actor
	}
	if l.watcher.options.OnAudit != nil {
		l.watcher.options.OnAudit(event)
	}
}

// enqueueCommand queues a command for an upstream. A full queue counts as a failed
// step.
func (l *loop) enqueueCommand(now dfclock.Millis, upstream dfgroup.UpstreamID, c command) {
	worker := l.watcher.workers[upstream]
	if worker == nil {
		return
	}
	select {
	case worker.commands <- c:
	default:
		l.handleFailoverEvent(now, dffailover.Failed{Step: c.step, Upstream: upstream, Term: c.term})
	}
}

func (l *loop) requestPolls() {
	for _, worker := range l.watcher.workers {
		worker.requestPoll()
	}
}

// executeAckActions executes the actions of the acknowledgement gate.
func (l *loop) executeAckActions(actions []dfack.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case dfack.Answer:
			l.replyAck(a)
		case dfack.Wait:
			// The gate has at most one outstanding wait per upstream, so the send does
			// not block.
			if worker := l.watcher.workers[a.Upstream]; worker != nil {
				worker.waits <- a
			}
		}
	}
}

func (l *loop) replyAck(a dfack.Answer) {
	reply, pending := l.pendingAcks[a.ID]
	if !pending {
		return
	}
	delete(l.pendingAcks, a.ID)
	if a.Code == dfresult.OK {
		reply <- nil
		return
	}
	reply <- dfresult.NewError(a.Code, "position %s", a.Position)
}

func (l *loop) addBarrier(now dfclock.Millis, reply chan barrierReply) {
	if len(l.barriers) >= MaxBarriers {
		reply <- barrierReply{err: dfresult.NewError(dfresult.QueueFull, "too many reads wait for a barrier")}
		return
	}
	deadline := now + dfclock.Millis(l.watcher.options.BarrierTimeout.Milliseconds())
	l.barriers = append(l.barriers, barrier{requestedAt: now, deadline: deadline, reply: reply})
	l.requestPolls()
}

// answerBarriers answers the barriers that the newest reports confirm and those
// past their deadline. A report confirms a barrier only if it was requested after
// the barrier arrived.
func (l *loop) answerBarriers(now dfclock.Millis) {
	kept := l.barriers[:0]
	for _, b := range l.barriers {
		switch {
		case l.view.Confirmed(b.requestedAt):
			b.reply <- barrierReply{position: l.primaryLogEnd()}
		case now.Reached(b.deadline):
			b.reply <- barrierReply{err: dfresult.NewError(dfresult.NoPrimary, "the primary was not confirmed in time")}
		default:
			kept = append(kept, b)
		}
	}
	l.barriers = kept
}

// primaryLogEnd returns the end of the primary's log. Its term is that of the last
// entry, so every later log that has the entry contains the position.
func (l *loop) primaryLogEnd() dfposition.Position {
	primary, _ := l.view.Find(l.view.Primary)
	return dfposition.Position{Term: primary.Status.LogTerm, Offset: primary.Status.Flushed}
}

func (l *loop) addSwitchover(now dfclock.Millis, reply chan error) {
	primary, term, confirmed := l.failover.Primary()
	if !confirmed {
		reply <- dfresult.NewError(dfresult.NoPrimary, "there is no confirmed primary to change")
		return
	}
	l.switchovers = append(l.switchovers, pendingSwitchover{term: term, primary: primary, reply: reply})
	l.handleFailoverEvent(now, dffailover.SwitchoverRequested{})
}

// publishView publishes the view and answers the requests that it completes.
func (l *loop) publishView(now dfclock.Millis) {
	l.answerBarriers(now)
	primary, term, confirmed := l.failover.Primary()
	next := l.view
	ejected := l.health.Ejected(now, primary)
	for _, upstream := range next.Upstreams {
		if upstream.Ejected != ejected[upstream.ID] {
			next = next.WithEjected(upstream.ID, ejected[upstream.ID])
		}
	}
	l.view = next
	for _, upstream := range next.Upstreams {
		if l.markedLeaving[upstream.ID] {
			next = next.WithLeaving(upstream.ID, true)
		}
	}
	if !confirmed || term != next.Term || primary != next.Primary {
		next.Primary = ""
	}
	last := l.watcher.view.Swap(&next)
	if l.watcher.options.OnView != nil && viewsDiffer(*last, next) {
		l.watcher.options.OnView(next)
	}
	l.answerSwitchovers(next)
}

func (l *loop) answerSwitchovers(view dfgroup.View) {
	kept := l.switchovers[:0]
	for _, c := range l.switchovers {
		if view.Primary != "" && view.Term > c.term && view.Primary != c.primary {
			c.reply <- nil
			continue
		}
		kept = append(kept, c)
	}
	l.switchovers = kept
}

// viewsDiffer reports whether two views differ in more than log positions and times.
func viewsDiffer(a, b dfgroup.View) bool {
	if a.Term != b.Term || a.Primary != b.Primary {
		return true
	}
	for i := range a.Upstreams {
		x, y := a.Upstreams[i], b.Upstreams[i]
		if x.Leaving != y.Leaving || x.Ejected != y.Ejected || x.Status.Role != y.Status.Role {
			return true
		}
	}
	return false
}
