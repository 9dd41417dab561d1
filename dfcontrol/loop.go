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
			l.take(m)
			l.hasten(timer)
		case <-timer.C:
			l.tick()
			l.lookAt = dfclock.Never
			l.hasten(timer)
		}
	}
}

// hasten sets the timer to the next look unless an earlier one is set.
func (l *loop) hasten(timer *time.Timer) {
	now := l.watcher.options.Now()
	next := l.nextLook(now)
	if next >= l.lookAt {
		return
	}
	l.lookAt = next
	timer.Reset(time.Duration(next.Since(now)) * time.Millisecond)
}

// nextLook returns when the bounds are to be looked at again: after one tick
// while something waits for time to pass, and at the latest when an upstream's
// silence becomes suspect. Whatever else starts a wait comes as a message.
func (l *loop) nextLook(now dfclock.Millis) dfclock.Millis {
	period := max(dfclock.Millis(l.watcher.options.TickPeriod.Milliseconds()), 1)
	silence := l.health.NextSilenceTimeout(now)
	if !l.machine.Idle() || l.watcher.held.Load() != nil || l.ejects() || l.health.Suspected(now) {
		return min(silence, max(now, l.tickedAt.Add(period)))
	}
	if l.gate.HasPending() || len(l.barriers) > 0 {
		return min(silence, now.Add(period))
	}
	return silence
}

// ejects reports whether the view has an ejected upstream; traffic may heal it.
func (l *loop) ejects() bool {
	for _, upstream := range l.view.Upstreams {
		if upstream.Ejected {
			return true
		}
	}
	return false
}

func (l *loop) take(m message) {
	now := l.watcher.options.Now()
	switch m := m.(type) {
	case reported:
		l.learn(now, m.status, m.askedAt)
		l.drive(now, dffailover.Reported{Status: m.status, AskedAt: m.askedAt})
		l.publish(now)
	case asked:
		l.health.Handle(now, healthEvent(m))
	case changed:
		l.changed(now, m)
		l.publish(now)
	case waited:
		l.answer(l.gate.WaitEnded(now, m.upstream))
	case traffic:
		l.health.Handle(now, m.event)
	case ackRequest:
		l.acks[m.id] = m.reply
		if m.term == 0 {
			l.answer(l.gate.Commit(now, m.id, m.position))
			return
		}
		l.answer(l.gate.Confirm(now, m.id, m.position, m.term))
	case ackForgotten:
		delete(l.acks, m.id)
		l.gate.Forget(m.id)
	case barrierRequest:
		l.addBarrier(now, m.reply)
	case changeRequest:
		l.addChange(now, m.reply)
	case listed:
		l.takeListed(now, m)
	case rankChanged:
		l.machine.SetRank(m.rank)
	}
}

func (l *loop) tick() {
	now := l.watcher.options.Now()
	l.tickedAt = now
	primary, _, _ := l.machine.Primary()
	for _, upstream := range l.view.Upstreams {
		dead := l.health.State(now, upstream.ID, primary) == dfhealth.Dead
		l.drive(now, dffailover.HealthChecked{Upstream: upstream.ID, Dead: dead})
	}
	if l.watcher.held.Load() != nil && l.watcher.options.InFlight != nil {
		l.drive(now, dffailover.InFlightCounted{InFlight: l.watcher.options.InFlight()})
	}
	l.drive(now, dffailover.Tick{})
	l.answer(l.gate.Tick(now))
	l.settleBarriers(now)
	l.publish(now)
}

func (l *loop) takeListed(now dfclock.Millis, m listed) {
	l.listed[m.upstream] = m.leaving
	upstream, found := l.view.Find(m.upstream)
	if found && m.leaving && upstream.ReportedAt > 0 && !upstream.Status.Leaving {
		l.command(now, m.upstream, command{leaving: true})
	}
	l.publish(now)
}

// learn passes a report to health, acknowledgement and view.
func (l *loop) learn(now dfclock.Millis, status dfgroup.Status, askedAt dfclock.Millis) {
	l.health.Handle(now, dfhealth.Reported{Status: status})
	l.view = l.view.WithStatus(status, askedAt, now)
	l.answer(l.gate.Report(now, status, askedAt))
}

func (l *loop) changed(now dfclock.Millis, m changed) {
	var refusal *RefusedError
	c := m.command
	switch {
	case m.err == nil:
		l.learn(now, m.status, m.askedAt)
		if c.step == dffailover.StepFence && c.actor != l.watcher.options.Actor {
			l.audit(AuditEvent{Kind: AuditFencing, At: now, Term: c.term, Actor: c.actor, Upstream: m.upstream})
		}
		if c.leaving {
			l.drive(now, dffailover.Reported{Status: m.status, AskedAt: m.askedAt})
			return
		}
		l.drive(now, dffailover.Answered{Step: c.step, Term: c.term, Status: m.status, AskedAt: m.askedAt})
		return
	case errors.As(m.err, &refusal):
		l.drive(now, dffailover.Refused{Step: c.step, Upstream: m.upstream, Term: c.term, Accepted: refusal.Accepted})
	default:
		l.health.Handle(now, healthEvent(asked{upstream: m.upstream, startedAt: m.askedAt, err: m.err}))
		l.drive(now, dffailover.Failed{Step: c.step, Upstream: m.upstream, Term: c.term})
	}
	log.Info().Str("group", string(l.view.ID)).Str("upstream", string(m.upstream)).Str("step", c.step.String()).
		Uint64("term", uint64(c.term)).Err(m.err).Msg("control: a change had no success")
}

// drive feeds the promotion state machine and carries out its actions.
func (l *loop) drive(now dfclock.Millis, event dffailover.Event) {
	for _, action := range l.machine.Handle(now, event) {
		switch a := action.(type) {
		case dffailover.Fence:
			if len(a.Upstreams) > 1 {
				l.audit(AuditEvent{Kind: AuditFencing, At: now, Term: a.Term, Actor: a.Actor})
			}
			for _, id := range a.Upstreams {
				l.command(now, id, command{step: dffailover.StepFence, term: a.Term, actor: a.Actor})
			}
		case dffailover.Promote:
			l.command(now, a.Upstream, command{step: dffailover.StepPromote, term: a.Term, actor: a.Actor})
		case dffailover.Follow:
			c := command{step: dffailover.StepFollow, term: a.Term, actor: a.Actor, primary: a.Primary}
			l.command(now, a.Upstream, c)
		case dffailover.MarkLeaving:
			l.audit(AuditEvent{Kind: AuditLeaving, At: now, Upstream: a.Upstream})
			l.command(now, a.Upstream, command{leaving: true})
		case dffailover.Poll:
			l.pollAll()
		case dffailover.HoldWrites:
			held := make(chan struct{})
			l.watcher.held.Store(&held)
		case dffailover.ReleaseWrites:
			l.releaseWrites()
		case dffailover.RecordDecision:
			l.record(now, a.Decision)
		case dffailover.ReportDiscarded:
			l.audit(AuditEvent{Kind: AuditDiscarded, At: now, Upstream: a.Upstream, Detail: a.Tail})
		case dffailover.ReportAborted:
			l.audit(AuditEvent{Kind: AuditGivenUp, At: now, Term: a.Term, Detail: a.Reason})
		}
	}
}

func (l *loop) releaseWrites() {
	if held := l.watcher.held.Swap(nil); held != nil {
		close(*held)
	}
}

func (l *loop) record(now dfclock.Millis, decision dffailover.Decision) {
	kind := AuditPromotion
	if decision.Planned {
		kind = AuditChange
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

// command queues a change; a full queue counts as a failed statement.
func (l *loop) command(now dfclock.Millis, upstream dfgroup.UpstreamID, c command) {
	k := l.watcher.workers[upstream]
	if k == nil {
		return
	}
	select {
	case k.commands <- c:
	default:
		l.drive(now, dffailover.Failed{Step: c.step, Upstream: upstream, Term: c.term})
	}
}

func (l *loop) pollAll() {
	for _, k := range l.watcher.workers {
		k.pokePoll()
	}
}

// answer carries out the actions of the acknowledgement rule.
func (l *loop) answer(actions []dfack.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case dfack.Answer:
			l.acknowledge(a)
		case dfack.Wait:
			// The gate has at most one wait outstanding per upstream, so there is room.
			if k := l.watcher.workers[a.Upstream]; k != nil {
				k.waits <- a
			}
		}
	}
}

func (l *loop) acknowledge(a dfack.Answer) {
	reply, waits := l.acks[a.ID]
	if !waits {
		return
	}
	delete(l.acks, a.ID)
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
	due := now + dfclock.Millis(l.watcher.options.BarrierTimeout.Milliseconds())
	l.barriers = append(l.barriers, barrier{since: now, due: due, reply: reply})
	l.pollAll()
}

// settleBarriers answers the barriers that the newest reports confirm. Reports
// count for a barrier only if they were asked for after it arrived.
func (l *loop) settleBarriers(now dfclock.Millis) {
	kept := l.barriers[:0]
	for _, b := range l.barriers {
		switch {
		case l.view.Confirmed(b.since):
			b.reply <- barrierReply{position: l.endOfLog()}
		case now.Reached(b.due):
			b.reply <- barrierReply{err: dfresult.NewError(dfresult.NoPrimary, "the primary was not confirmed in time")}
		default:
			kept = append(kept, b)
		}
	}
	l.barriers = kept
}

// endOfLog returns the end of the primary's log under the term of its last
// entry, which every later log that has the entry contains.
func (l *loop) endOfLog() dfposition.Position {
	primary, _ := l.view.Find(l.view.Primary)
	return dfposition.Position{Term: primary.Status.LogTerm, Offset: primary.Status.Flushed}
}

func (l *loop) addChange(now dfclock.Millis, reply chan error) {
	primary, term, confirmed := l.machine.Primary()
	if !confirmed {
		reply <- dfresult.NewError(dfresult.NoPrimary, "there is no confirmed primary to change")
		return
	}
	l.changes = append(l.changes, plannedChange{term: term, primary: primary, reply: reply})
	l.drive(now, dffailover.SwitchoverRequested{})
}

// publish stores the view and answers what waits for it.
func (l *loop) publish(now dfclock.Millis) {
	l.settleBarriers(now)
	primary, term, confirmed := l.machine.Primary()
	next := l.view
	ejected := l.health.Ejected(now, primary)
	for _, upstream := range next.Upstreams {
		if upstream.Ejected != ejected[upstream.ID] {
			next = next.WithEjected(upstream.ID, ejected[upstream.ID])
		}
	}
	l.view = next
	for _, upstream := range next.Upstreams {
		if l.listed[upstream.ID] {
			next = next.WithLeaving(upstream.ID, true)
		}
	}
	if !confirmed || term != next.Term || primary != next.Primary {
		next.Primary = ""
	}
	last := l.watcher.view.Swap(&next)
	if l.watcher.options.OnView != nil && differs(*last, next) {
		l.watcher.options.OnView(next)
	}
	l.settleChanges(next)
}

func (l *loop) settleChanges(view dfgroup.View) {
	kept := l.changes[:0]
	for _, c := range l.changes {
		if view.Primary != "" && view.Term > c.term && view.Primary != c.primary {
			c.reply <- nil
			continue
		}
		kept = append(kept, c)
	}
	l.changes = kept
}

// differs reports whether a view differs in more than log positions and times.
func differs(a, b dfgroup.View) bool {
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
