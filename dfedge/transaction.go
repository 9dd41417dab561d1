package dfedge

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfstatement"
)

// transaction is a caller's open transaction. It takes a connection with its
// first statement that needs one and keeps it to the end.
type transaction struct {
	session *session
	// begin is the caller's call, which goes to the upstream with the first
	// statement.
	begin    dfstatement.Call
	readOnly bool
	// beganAt is when the call arrived; reads are as fresh as of then.
	beganAt dfclock.Millis
	// attempt holds the connection, or nil before the first statement and after
	// the upstream side ended.
	attempt *attempt
	need    *need
	// proved is true if the upstream refuses statements once it is replaced.
	proved bool
	wrote  bool
	failed bool
	// lost is why the upstream side ended, or nil.
	lost *dfresult.Error
}

func newTransaction(x *session, begin dfstatement.Call, readOnly bool, now dfclock.Millis) *transaction {
	return &transaction{session: x, begin: begin, readOnly: readOnly, beganAt: now}
}

// answer runs one call of the transaction.
func (t *transaction) answer(call dfstatement.Call, now dfclock.Millis) dfstatement.Answer {
	switch call.Statement.(type) {
	case dfstatement.Rollback:
		return t.rollback(call)
	case dfstatement.Commit:
		return t.commit(call, now)
	}
	if t.failed || t.lost != nil {
		return t.afterFailure()
	}
	switch call.Statement.(type) {
	case dfstatement.Read, dfstatement.Write, dfstatement.Execute:
		return t.statement(call, now)
	case dfstatement.Begin:
		return dfstatement.Failure(dfresult.ProtocolViolation, "a transaction is open", dfstatement.InTransaction)
	}
	answer := t.session.keep(call, dfstatement.InTransaction)
	if !answer.OK() {
		t.failed = true
		return answer.WithState(dfstatement.FailedState)
	}
	return answer
}

// afterFailure answers statements that follow a failure.
func (t *transaction) afterFailure() dfstatement.Answer {
	if t.lost != nil && !t.failed {
		t.failed = true
		return dfstatement.Failure(t.lost.Code, t.lost.Error(), dfstatement.FailedState)
	}
	return dfstatement.Failure(dfresult.ProtocolViolation, "the transaction failed", dfstatement.FailedState)
}

func (t *transaction) statement(call dfstatement.Call, now dfclock.Millis) dfstatement.Answer {
	writes, known := t.session.writes(call)
	if !known {
		t.failed = true
		return dfstatement.Failure(dfresult.StatementUnknown, "no such prepared statement", dfstatement.FailedState)
	}
	if writes && t.readOnly {
		t.failed = true
		return dfstatement.Failure(dfresult.NeedsPrimary, "the transaction is read-only", dfstatement.FailedState)
	}
	answer := t.run(call, now)
	t.wrote = t.wrote || writes
	if !answer.OK() {
		t.failed = true
		return answer.WithState(dfstatement.FailedState)
	}
	return answer
}

// run sends a statement on the transaction's connection.
func (t *transaction) run(call dfstatement.Call, now dfclock.Millis) dfstatement.Answer {
	if t.attempt == nil {
		return t.bind(call, now)
	}
	x, e := t.session, t.session.edge
	t.need.deadline = now.Add(x.route.Timeout)
	a := t.attempt
	a.silence = x.route.Timeout
	answers, err := e.send(t.need, a, x.context, call)
	if err != nil {
		return t.broken(call, err)
	}
	answer := answers[0]
	t.took(a, call, answer)
	if answer.OK() && t.proved && !e.stillLeads(a) {
		return t.replaced(call)
	}
	return answer
}

// replaced ends the upstream side after an answer that came too late to count:
// another upstream may have led when the statement ran.
func (t *transaction) replaced(call dfstatement.Call) dfstatement.Answer {
	x, a := t.session, t.attempt
	why := errReplaced(a.upstream)
	t.drop()
	if _, commits := call.Statement.(dfstatement.Commit); commits && t.wrote {
		return x.doubted(call, a.upstream, why)
	}
	failure := dfresult.NewError(dfresult.TransactionLost, "%s", why.Error())
	t.lost, t.failed = failure, true
	return x.refused(call, failure, failure)
}

// took learns from an answer of the transaction's upstream. A replaced leader
// still accepts the commit of a transaction that wrote nothing.
func (t *transaction) took(a *attempt, call dfstatement.Call, answer dfstatement.Answer) {
	_, commits := call.Statement.(dfstatement.Commit)
	proved := t.proved && answer.OK() && (t.wrote || !commits)
	t.session.edge.learned(t.need, a, answer, proved)
}

// broken ends the upstream side after a connection failed: the upstream rolls
// back, unless the lost call was a commit.
func (t *transaction) broken(call dfstatement.Call, err error) dfstatement.Answer {
	x, a := t.session, t.attempt
	t.attempt = nil
	x.edge.abandon(t.need, a, err)
	if _, commits := call.Statement.(dfstatement.Commit); commits && t.wrote && a.sent {
		return x.doubted(call, a.upstream, err)
	}
	failure := dfresult.NewError(dfresult.TransactionLost, "connection to %s: %v", a.upstream, err)
	t.lost, t.failed = failure, true
	return x.refused(call, failure, failure)
}

// bind opens the transaction at an upstream together with its first statement.
// Nothing is kept before a commit, so any failure may be tried again elsewhere.
func (t *transaction) bind(call dfstatement.Call, now dfclock.Millis) dfstatement.Answer {
	x, e := t.session, t.session.edge
	t.need = x.need(now, t.beganAt)
	last := dfresult.NewError(dfresult.NoPrimary, "service %s", t.need.service.name)
	plan := e.planWrite
	if t.readOnly {
		plan = e.planRead
	}
	for range maxTries {
		to, denied := e.choose(t.need, plan)
		if denied != nil {
			return x.refused(call, denied, last)
		}
		answer, err := t.bindAt(to, call)
		if err == nil {
			return answer
		}
		last = refusal(err)
		x.retried(call, to.upstream, last)
		e.beforeRetry(t.need, to)
	}
	return x.refused(call, last, last)
}

// bindAt opens the transaction at one upstream. An error means that it may be
// opened elsewhere.
func (t *transaction) bindAt(to target, call dfstatement.Call) (dfstatement.Answer, error) {
	x, e := t.session, t.session.edge
	a, err := e.acquire(t.need, to, 2*x.route.Priority)
	if err != nil {
		return dfstatement.Answer{}, err
	}
	if err := e.openTransaction(t.need, a, nil, t.opening(to)); err != nil {
		return dfstatement.Answer{}, err
	}
	answers, err := e.send(t.need, a, x.context, call)
	if err != nil {
		e.abandon(t.need, a, err)
		return dfstatement.Answer{}, err
	}
	answer := answers[0]
	t.proved = to.proof
	if !answer.OK() && answer.Code.Outcome() == dfresult.NotRun {
		t.took(a, call, answer)
		e.undo(t.need, a)
		return dfstatement.Answer{}, dfresult.NewError(answer.Code, "%s", answer.Detail)
	}
	if t.proved && !e.stillLeads(a) {
		e.undo(t.need, a)
		return dfstatement.Answer{}, errReplaced(a.upstream)
	}
	t.attempt = a
	t.took(a, call, answer)
	return answer, nil
}

// opening is the call that begins the transaction at an upstream. A read-only
// one is begun as a plain one where the lead has to be proved.
func (t *transaction) opening(to target) dfstatement.Call {
	if to.proof && t.readOnly {
		return dfstatement.Call{Statement: dfstatement.Begin{}}
	}
	call := t.begin
	call.After = to.after
	return call
}

// commit ends the transaction and keeps its writes.
func (t *transaction) commit(call dfstatement.Call, now dfclock.Millis) dfstatement.Answer {
	x := t.session
	if t.failed || t.lost != nil {
		return t.endFailed()
	}
	answer := t.run(call, now)
	x.tx = nil
	if t.attempt == nil {
		return answer.WithState(dfstatement.Idle)
	}
	if answer.OK() && answer.State == dfstatement.Idle {
		t.attempt.line.Committed()
		if t.wrote {
			x.wrote(answer.Position, x.edge.options.Now())
		}
		t.free()
		return answer
	}
	t.session.edge.undo(t.need, t.attempt)
	t.attempt = nil
	return x.failedAt(call, "", answer).WithState(dfstatement.Idle)
}

// endFailed answers a commit of a transaction that had failed: it rolls back.
func (t *transaction) endFailed() dfstatement.Answer {
	t.drop()
	t.session.tx = nil
	failure := t.lost
	if failure == nil {
		failure = dfresult.NewError(dfresult.TransactionLost, "the transaction had failed")
	}
	return dfstatement.Failure(failure.Code, failure.Error(), dfstatement.Idle)
}

// rollback ends the transaction and drops its writes.
func (t *transaction) rollback(call dfstatement.Call) dfstatement.Answer {
	x, e := t.session, t.session.edge
	x.tx = nil
	if t.attempt == nil {
		return dfstatement.Answer{State: dfstatement.Idle}
	}
	a := t.attempt
	t.need.deadline = e.options.Now().Add(x.route.Timeout)
	a.silence = x.route.Timeout
	answers, err := e.send(t.need, a, nil, call)
	t.attempt = nil
	if err != nil || !answers[0].OK() {
		// A connection that is closed rolls back as well.
		e.abandon(t.need, a, err)
		return dfstatement.Answer{State: dfstatement.Idle}
	}
	a.line.RolledBack()
	e.release(t.need, a)
	return dfstatement.Answer{State: dfstatement.Idle}
}

// free gives the connection back after the end of the transaction.
func (t *transaction) free() {
	t.session.edge.release(t.need, t.attempt)
	t.attempt = nil
}

// drop closes the connection, which rolls back.
func (t *transaction) drop() {
	if t.attempt == nil {
		return
	}
	e := t.session.edge
	t.attempt.line.Release(false)
	e.ended(t.need.service, t.attempt.upstream, t.attempt.led, true)
	t.attempt = nil
}

// expire ends the upstream side of a transaction that rests too long.
func (t *transaction) expire() {
	if t.attempt == nil {
		return
	}
	t.session.edge.log.Info().Str("Request", t.begin.ID).Str("Upstream", string(t.attempt.upstream)).
		Msg("transaction: rested too long, rolled back")
	t.session.edge.counters.expired.Inc()
	t.lost = dfresult.NewError(dfresult.TransactionLost, "the transaction rested too long")
	t.session.edge.undo(t.need, t.attempt)
	t.attempt = nil
}
