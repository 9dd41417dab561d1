package dfedge

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfstatement"
)

// transaction is a caller's open transaction. It acquires a connection for the
// first statement that needs one and keeps it until the end.
type transaction struct {
	session *session
	// begin is the caller's opening call, which is sent with the first statement.
	begin    dfstatement.Call
	readOnly bool
	// beganAt is when the opening call arrived. Reads are as fresh as of then.
	beganAt dfclock.Millis
	// attempt holds the connection. It is nil before the first statement and after
	// the upstream transaction ended.
	attempt *attempt
	request *routeRequest
	// leaderOnly is true if the upstream refuses statements once it is replaced as
	// leader.
	leaderOnly bool
	wrote      bool
	failed     bool
	// lostCause is why the upstream transaction ended early, or nil.
	lostCause *dfresult.Error
}

func newTransaction(sess *session, begin dfstatement.Call, readOnly bool, now dfclock.Millis) *transaction {
	return &transaction{session: sess, begin: begin, readOnly: readOnly, beganAt: now}
}

// execute runs one call of the transaction.
func (t *transaction) execute(call dfstatement.Call, now dfclock.Millis) dfstatement.Answer {
	switch call.Statement.(type) {
	case dfstatement.Rollback:
		return t.rollback(call)
	case dfstatement.Commit:
		return t.commit(call, now)
	}
	if t.failed || t.lostCause != nil {
		return t.refuseAfterFailure()
	}
	switch call.Statement.(type) {
	case dfstatement.Read, dfstatement.Write, dfstatement.Execute:
		return t.executeStatement(call, now)
	case dfstatement.Begin:
		return dfstatement.Failure(dfresult.ProtocolViolation, "a transaction is open", dfstatement.InTransaction)
	}
	answer := t.session.executeLocally(call, dfstatement.InTransaction)
	if !answer.OK() {
		t.failed = true
		return answer.WithState(dfstatement.FailedTransaction)
	}
	return answer
}

// refuseAfterFailure answers statements that follow a failure.
func (t *transaction) refuseAfterFailure() dfstatement.Answer {
	if t.lostCause != nil && !t.failed {
		t.failed = true
		return dfstatement.Failure(t.lostCause.Code, t.lostCause.Error(), dfstatement.FailedTransaction)
	}
	return dfstatement.Failure(dfresult.ProtocolViolation, "the transaction failed", dfstatement.FailedTransaction)
}

func (t *transaction) executeStatement(call dfstatement.Call, now dfclock.Millis) dfstatement.Answer {
	writes, known := t.session.writes(call)
	if !known {
		t.failed = true
		return dfstatement.Failure(dfresult.StatementUnknown, "no such prepared statement", dfstatement.FailedTransaction)
	}
	if writes && t.readOnly {
		t.failed = true
		return dfstatement.Failure(dfresult.NeedsPrimary, "the transaction is read-only", dfstatement.FailedTransaction)
	}
	answer := t.runAtUpstream(call, now)
	t.wrote = t.wrote || writes
	if !answer.OK() {
		t.failed = true
		return answer.WithState(dfstatement.FailedTransaction)
	}
	return answer
}

// runAtUpstream sends a statement on the transaction's connection.
func (t *transaction) runAtUpstream(call dfstatement.Call, now dfclock.Millis) dfstatement.Answer {
	if t.attempt == nil {
		return t.open(call, now)
	}
	sess, e := t.session, t.session.edge
	t.request.deadline = now.Add(sess.route.Timeout)
	a := t.attempt
	a.replyTimeout = sess.route.Timeout
	answers, err := e.send(t.request, a, sess.sessionState, call)
	if err != nil {
		return t.connectionLost(call, err)
	}
	answer := answers[0]
	t.recordAnswer(a, call, answer)
	if answer.OK() && t.leaderOnly && !e.stillLeader(a) {
		return t.leaderReplaced(call)
	}
	return answer
}

// leaderReplaced ends the transaction after an answer that arrived too late:
// another upstream may have led when the statement ran.
func (t *transaction) leaderReplaced(call dfstatement.Call) dfstatement.Answer {
	sess, a := t.session, t.attempt
	why := errLeaderReplaced(a.upstream)
	t.closeConnection()
	if _, commits := call.Statement.(dfstatement.Commit); commits && t.wrote {
		return sess.inDoubt(call, a.upstream, why)
	}
	failure := dfresult.NewError(dfresult.TransactionLost, "%s", why.Error())
	t.lostCause, t.failed = failure, true
	return sess.refused(call, failure, failure)
}

// recordAnswer records an answer of the transaction's upstream. The commit of a
// transaction without writes proves nothing, because a replaced leader still
// accepts it.
func (t *transaction) recordAnswer(a *attempt, call dfstatement.Call, answer dfstatement.Answer) {
	_, commits := call.Statement.(dfstatement.Commit)
	proved := t.leaderOnly && answer.OK() && (t.wrote || !commits)
	t.session.edge.recordAnswer(t.request, a, answer, proved)
}

// connectionLost ends the transaction after a connection failure. The upstream
// rolls it back, unless the lost call was a commit.
func (t *transaction) connectionLost(call dfstatement.Call, err error) dfstatement.Answer {
	sess, a := t.session, t.attempt
	t.attempt = nil
	sess.edge.abandon(t.request, a, err)
	if _, commits := call.Statement.(dfstatement.Commit); commits && t.wrote && a.sent {
		return sess.inDoubt(call, a.upstream, err)
	}
	failure := dfresult.NewError(dfresult.TransactionLost, "connection to %s: %v", a.upstream, err)
	t.lostCause, t.failed = failure, true
	return sess.refused(call, failure, failure)
}

// open opens the transaction on an upstream together with its first statement.
// Nothing is durable before a commit, so any failure can be retried elsewhere.
func (t *transaction) open(call dfstatement.Call, now dfclock.Millis) dfstatement.Answer {
	sess, e := t.session, t.session.edge
	t.request = sess.newRequest(now, t.beganAt)
	if failure := e.admitOperation(t.request); failure != nil {
		return sess.refused(call, failure, failure)
	}
	defer e.returnToken(t.request)
	last := dfresult.NewError(dfresult.NoPrimary, "service %s", t.request.service.name)
	plan := e.planWrite
	if t.readOnly {
		plan = e.planRead
	}
	for range maxAttempts {
		to, denied := e.selectTarget(t.request, plan)
		if denied != nil {
			return sess.refused(call, denied, last)
		}
		answer, err := t.openAt(to, call)
		if err == nil {
			return answer
		}
		last = connectionError(err)
		sess.logRetry(call, to.upstream, last)
		if refusal := e.refuseForCapacity(t.request, to, err); refusal != nil {
			return sess.refused(call, refusal, last)
		}
		e.prepareRetry(t.request, to)
	}
	return sess.refused(call, last, last)
}

// openAt opens the transaction on one upstream. An error means that it may be
// opened elsewhere.
func (t *transaction) openAt(to target, call dfstatement.Call) (dfstatement.Answer, error) {
	sess, e := t.session, t.session.edge
	a, err := e.acquire(t.request, to, 2*sess.route.Priority)
	if err != nil {
		return dfstatement.Answer{}, err
	}
	if err := e.openTransaction(t.request, a, sess.sessionState, t.beginCall(to)); err != nil {
		return dfstatement.Answer{}, err
	}
	if t.request.caller().Err() != nil {
		e.rollBack(t.request, a)
		return dfstatement.Answer{}, errCallerLeft(t.request)
	}
	answers, err := e.send(t.request, a, sess.sessionState, call)
	if err != nil {
		e.abandon(t.request, a, err)
		return dfstatement.Answer{}, err
	}
	answer := answers[0]
	t.leaderOnly = to.needsProof
	if !answer.OK() && answer.Code.Outcome() == dfresult.NotRun {
		t.recordAnswer(a, call, answer)
		e.rollBack(t.request, a)
		return dfstatement.Answer{}, dfresult.NewError(answer.Code, "%s", answer.Detail)
	}
	if t.leaderOnly && !e.stillLeader(a) {
		e.rollBack(t.request, a)
		return dfstatement.Answer{}, errLeaderReplaced(a.upstream)
	}
	t.attempt = a
	t.recordAnswer(a, call, answer)
	return answer, nil
}

// beginCall returns the call that opens the transaction on an upstream. If a
// proof of leadership is needed, a read-only transaction is opened without that
// mode, since only the leader grants the plain form.
func (t *transaction) beginCall(to target) dfstatement.Call {
	if to.needsProof && t.readOnly {
		return dfstatement.Call{Statement: dfstatement.Begin{}}
	}
	call := t.begin
	call.MinPosition = to.after
	return call
}

func (t *transaction) commit(call dfstatement.Call, now dfclock.Millis) dfstatement.Answer {
	sess := t.session
	if t.failed || t.lostCause != nil {
		return t.commitFailed()
	}
	if t.wrote && t.attempt != nil {
		if held := sess.edge.beginWrite(t.request, t.attempt); held != nil {
			return t.refuseCommit(call, held)
		}
	}
	a := t.attempt
	answer := t.runAtUpstream(call, now)
	acknowledged := !t.wrote || a == nil || sess.edge.endWrite(t.request, a)
	sess.tx = nil
	if t.attempt == nil {
		return answer.WithState(dfstatement.Idle)
	}
	if answer.OK() && !acknowledged {
		t.closeConnection()
		return sess.inDoubt(call, a.upstream, errLeaderReplaced(a.upstream))
	}
	if answer.OK() && answer.State == dfstatement.Idle {
		if t.wrote {
			sess.recordCommit(answer.Position, sess.edge.options.Now())
		}
		t.releaseConnection()
		return answer
	}
	t.session.edge.rollBack(t.request, t.attempt)
	t.attempt = nil
	return sess.upstreamFailed(call, "", answer).WithState(dfstatement.Idle)
}

// refuseCommit rolls back a transaction whose leader is being replaced.
func (t *transaction) refuseCommit(call dfstatement.Call, why *dfresult.Error) dfstatement.Answer {
	sess := t.session
	sess.edge.rollBack(t.request, t.attempt)
	t.attempt = nil
	sess.tx = nil
	failure := dfresult.NewError(dfresult.TransactionLost, "%s", why.Error())
	return sess.refused(call, failure, failure)
}

// commitFailed answers the commit of a failed transaction with a rollback.
func (t *transaction) commitFailed() dfstatement.Answer {
	t.closeConnection()
	t.session.tx = nil
	failure := t.lostCause
	if failure == nil {
		failure = dfresult.NewError(dfresult.TransactionLost, "the transaction had failed")
	}
	return dfstatement.Failure(failure.Code, failure.Error(), dfstatement.Idle)
}

func (t *transaction) rollback(call dfstatement.Call) dfstatement.Answer {
	sess, e := t.session, t.session.edge
	sess.tx = nil
	if t.attempt == nil {
		return dfstatement.Answer{State: dfstatement.Idle}
	}
	a := t.attempt
	t.request.deadline = e.options.Now().Add(sess.route.Timeout)
	a.replyTimeout = sess.route.Timeout
	answers, err := e.send(t.request, a, nil, call)
	t.attempt = nil
	if err != nil || !answers[0].OK() {
		// Closing the connection rolls back as well.
		e.abandon(t.request, a, err)
		return dfstatement.Answer{State: dfstatement.Idle}
	}
	e.release(t.request, a)
	return dfstatement.Answer{State: dfstatement.Idle}
}

// releaseConnection returns the connection after the end of the transaction.
func (t *transaction) releaseConnection() {
	t.session.edge.release(t.request, t.attempt)
	t.attempt = nil
}

// closeConnection closes the connection, which rolls back.
func (t *transaction) closeConnection() {
	if t.attempt == nil {
		return
	}
	e := t.session.edge
	t.attempt.conn.Release(false)
	e.statementEnded(t.request.service, t.attempt.upstream, t.attempt.led, true)
	t.attempt = nil
}

// revoke rolls back a transaction whose caller may run no more statements.
func (t *transaction) revoke(why *dfresult.Error) {
	if t.lostCause == nil {
		t.lostCause = why
	}
	if t.attempt != nil {
		t.session.edge.rollBack(t.request, t.attempt)
		t.attempt = nil
	}
}

// expire rolls back a transaction that exceeded its idle timeout.
func (t *transaction) expire() {
	if t.attempt == nil {
		return
	}
	t.session.edge.log.Info().Str("Request", t.begin.ID).Str("Upstream", string(t.attempt.upstream)).
		Msg("transaction: idle timeout, rolled back")
	t.session.edge.counters.transactionsExpired.Inc()
	t.lostCause = dfresult.NewError(dfresult.TransactionLost, "the transaction rested too long")
	t.session.edge.rollBack(t.request, t.attempt)
	t.attempt = nil
}
