package dfedge

import (
	"errors"
	"time"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfconnection"
	"dragonflygrade/dfforward"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfstatement"
)

// attempt is one sending of calls to an upstream.
type attempt struct {
	target
	line   line
	sentAt dfclock.Millis
	// sent is true if bytes may have reached the upstream.
	sent bool
	// led is true if the attempt was counted as one at the leader.
	led bool
	// term is the one that the upstream led when the attempt was planned.
	term dfposition.Term
}

// acquire takes a connection for an attempt. Attempts that wait for one count
// as load of the upstream.
func (e *Edge) acquire(n *need, to target, priority int) (*attempt, error) {
	a := &attempt{target: to, led: e.began(n.service, to.upstream)}
	now := e.options.Now()
	line, err := to.source.acquire(priority, min(n.deadline, now.Add(to.patience)))
	if err != nil {
		e.ended(n.service, to.upstream, a.led, false)
		return nil, err
	}
	a.line = line
	e.mu.Lock()
	a.term = e.fleet.TermOf(to.upstream)
	n.service.placer.Start(to.upstream)
	e.mu.Unlock()
	return a, nil
}

// send sends calls and waits for their answers.
func (e *Edge) send(n *need, a *attempt, context *dfconnection.Context, calls ...dfstatement.Call) ([]dfstatement.Answer, error) {
	a.sentAt = e.options.Now()
	wait := min(a.silence, n.deadline-a.sentAt)
	deadline := time.Now().Add(time.Duration(max(wait, dfclock.Millisecond)) * time.Millisecond)
	answers, sent, err := a.line.Exchange(context, deadline, calls...)
	a.sent = sent
	return answers, err
}

// release ends an attempt whose connection can be used again.
func (e *Edge) release(n *need, a *attempt) {
	a.line.Release(a.line.State() == dfstatement.Idle)
	e.ended(n.service, a.upstream, a.led, true)
}

// abandon ends an attempt whose exchange failed. A carrier that refused it or
// did not answer says nothing of the upstream.
func (e *Edge) abandon(n *need, a *attempt, err error) {
	e.ended(n.service, a.upstream, a.led, true)
	var refused *dfresult.Error
	var lost *dfforward.CarrierError
	_, carried := a.source.(forwarded)
	switch {
	case carried && errors.As(err, &refused):
		a.line.Release(a.line.State() == dfstatement.Idle)
		e.refusedBy(n.service, a.upstream)
	case errors.As(err, &lost):
		a.line.Release(false)
		e.lostCarrier(lost)
	case dfconnection.IsTimeout(err):
		a.line.Silent()
		e.failed(n.service, a.upstream)
	default:
		a.line.Release(false)
		e.failed(n.service, a.upstream)
	}
}

// refusal translates why no connection was had.
func refusal(err error) *dfresult.Error {
	return dfresult.From(err, dfresult.NoConnection)
}

// read runs a read outside of a transaction.
func (e *Edge) read(x *session, n *need, call dfstatement.Call) dfstatement.Answer {
	last := dfresult.NewError(dfresult.NoFreshUpstream, "service %s", n.service.name)
	for range maxTries {
		to, denied := e.choose(n, e.planRead)
		if denied != nil {
			return x.refused(call, denied, last)
		}
		answer, err := e.readOnce(x, n, to, call)
		if err == nil {
			return answer
		}
		last = refusal(err)
		x.retried(call, to.upstream, last)
		e.beforeRetry(n, to)
	}
	return x.refused(call, last, last)
}

// beforeRetry keeps a statement from going to the same upstream at once.
func (e *Edge) beforeRetry(n *need, to target) {
	if to.proof {
		e.await(nil, min(n.deadline, e.options.Now().Add(refusePause)))
		return
	}
	n.avoid = append(n.avoid, to.upstream)
}

// readOnce sends a read to one upstream. An error means that the read may be
// sent elsewhere.
func (e *Edge) readOnce(x *session, n *need, to target, call dfstatement.Call) (dfstatement.Answer, error) {
	a, err := e.acquire(n, to, 2*x.route.Priority+1)
	if err != nil {
		return dfstatement.Answer{}, err
	}
	if to.proof {
		return e.readProved(x, n, a, call)
	}
	call.After = to.after
	answers, err := e.send(n, a, x.context, call)
	if err != nil {
		e.abandon(n, a, err)
		return dfstatement.Answer{}, err
	}
	answer := answers[0]
	e.release(n, a)
	e.learned(n, a, answer, false)
	return answer, repeatable(answer)
}

// openTransaction sends the opening of a transaction by itself: a statement
// behind a refused one would run outside of any transaction, on a log that may
// lack commits. An error ends the attempt.
func (e *Edge) openTransaction(n *need, a *attempt, context *dfconnection.Context, opening dfstatement.Call) error {
	answers, err := e.send(n, a, context, opening)
	if err != nil {
		e.abandon(n, a, err)
		return err
	}
	begun := answers[0]
	if begun.OK() {
		return nil
	}
	e.learned(n, a, begun, false)
	e.undo(n, a)
	return dfresult.NewError(begun.Code, "%s", begun.Detail)
}

// undo gives a connection back whose transaction did not get further.
func (e *Edge) undo(n *need, a *attempt) {
	if a.line.State() != dfstatement.Idle {
		n.deadline, a.silence = e.options.Now().Add(statusTimeout), statusTimeout
		if _, err := e.send(n, a, nil, dfstatement.Call{Statement: dfstatement.Rollback{}}); err != nil {
			e.abandon(n, a, err)
			return
		}
		a.line.RolledBack()
	}
	e.release(n, a)
}

// readProved runs a read inside a transaction that only the leader grants. A
// replaced leader refuses every statement of it.
func (e *Edge) readProved(x *session, n *need, a *attempt, call dfstatement.Call) (dfstatement.Answer, error) {
	if err := e.openTransaction(n, a, x.context, dfstatement.Call{Statement: dfstatement.Begin{}}); err != nil {
		return dfstatement.Answer{}, err
	}
	answers, err := e.send(n, a, x.context, call, dfstatement.Call{Statement: dfstatement.Rollback{}})
	if err != nil {
		e.abandon(n, a, err)
		return dfstatement.Answer{}, err
	}
	answer := answers[0]
	e.release(n, a)
	e.learned(n, a, answer, answer.OK())
	if answer.OK() && !e.stillLeads(a) {
		return dfstatement.Answer{}, errReplaced(a.upstream)
	}
	return answer.WithState(dfstatement.Idle), repeatable(answer)
}

// repeatable returns an error if a read with this answer is worth another try.
func repeatable(answer dfstatement.Answer) error {
	switch answer.Code {
	case dfresult.OK, dfresult.ProtocolViolation:
		return nil
	}
	return dfresult.NewError(answer.Code, "%s", answer.Detail)
}

// write runs a single write. It is sent again only after a promise that it did
// not run.
func (e *Edge) write(x *session, n *need, call dfstatement.Call) dfstatement.Answer {
	last := dfresult.NewError(dfresult.NoPrimary, "service %s", n.service.name)
	for range maxTries {
		to, denied := e.choose(n, e.planWrite)
		if denied != nil {
			return x.refused(call, denied, last)
		}
		a, err := e.acquire(n, to, 2*x.route.Priority)
		if err != nil {
			last = refusal(err)
			e.await(nil, min(n.deadline, e.options.Now().Add(refusePause)))
			continue
		}
		answers, err := e.send(n, a, x.context, call)
		if err != nil {
			e.abandon(n, a, err)
			if a.sent {
				return x.doubted(call, a.upstream, err)
			}
			last = refusal(err)
			e.await(nil, min(n.deadline, e.options.Now().Add(refusePause)))
			continue
		}
		answer := answers[0]
		e.release(n, a)
		e.learned(n, a, answer, answer.OK())
		if answer.OK() && !e.stillLeads(a) {
			return x.doubted(call, a.upstream, errReplaced(a.upstream))
		}
		if answer.OK() {
			x.wrote(answer.Position, e.options.Now())
			return answer
		}
		if answer.Code.Outcome() != dfresult.NotRun {
			return x.failedAt(call, a.upstream, answer)
		}
		last = dfresult.NewError(answer.Code, "%s", answer.Detail)
		x.retried(call, a.upstream, last)
		e.await(nil, min(n.deadline, e.options.Now().Add(refusePause)))
	}
	return x.refused(call, last, last)
}
