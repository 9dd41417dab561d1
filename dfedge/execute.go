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

// attempt is one attempt to run calls on an upstream.
type attempt struct {
	target
	conn   upstreamConn
	sentAt dfclock.Millis
	// sent is true if the upstream may have run a call.
	sent bool
	// led is true if the attempt was counted in leaderStatements.
	led bool
	// term is the upstream's term when the connection was acquired.
	term dfposition.Term
	// confirmed is true for a commit that replicas confirm, and holdCount is that of the
	// service when it was sent.
	confirmed bool
	holdCount uint64
}

// acquire gets a connection for an attempt. Waiting attempts count as load of the
// upstream.
func (e *Edge) acquire(req *routeRequest, to target, priority int) (*attempt, error) {
	a := &attempt{target: to, led: e.statementStarted(req.service, to.upstream)}
	now := e.options.Now()
	conn, err := to.source.acquire(req.caller(), req.organisation, priority, min(req.deadline, now.Add(to.acquireTimeout)))
	if err != nil {
		e.statementEnded(req.service, to.upstream, a.led, false)
		req.recordRefusal(to, err)
		return nil, err
	}
	a.conn = conn
	e.mu.Lock()
	a.term = e.fleet.TermOf(to.upstream)
	req.service.placer.Start(to.upstream)
	e.mu.Unlock()
	return a, nil
}

// send sends calls and waits for their answers.
func (e *Edge) send(req *routeRequest, a *attempt, sessionState *dfconnection.SessionState, calls ...dfstatement.Call) ([]dfstatement.Answer, error) {
	a.sentAt = e.options.Now()
	wait := min(a.replyTimeout, req.deadline-a.sentAt)
	deadline := time.Now().Add(time.Duration(max(wait, dfclock.Millisecond)) * time.Millisecond)
	answers, sent, err := a.conn.Exchange(sessionState, deadline, calls...)
	a.sent, req.sent = sent, req.sent || sent
	return answers, err
}

// release ends an attempt whose connection can be reused.
func (e *Edge) release(req *routeRequest, a *attempt) {
	a.conn.Release(a.conn.State() == dfstatement.Idle)
	e.statementEnded(req.service, a.upstream, a.led, true)
}

// abandon ends an attempt whose exchange failed. A refusal or timeout by a
// carrier host is no evidence about the upstream. If a carrier host lacks a connection
// for one organisation, the upstream stays in use for the others.
func (e *Edge) abandon(req *routeRequest, a *attempt, err error) {
	e.statementEnded(req.service, a.upstream, a.led, true)
	defer e.recordReportOfFailure(req.service, a)
	var refused *dfresult.Error
	var carrierLost *dfforward.CarrierError
	_, viaCarrier := a.source.(carrierSource)
	switch {
	case viaCarrier && errors.As(err, &refused):
		a.conn.Release(a.conn.State() == dfstatement.Idle)
		ownCause := dfresult.HasCode(refused, dfresult.QueueFull, dfresult.DeadlinePassed, dfresult.CallerLeft, dfresult.SessionRefused, dfresult.MessageTooLarge)
		if !req.recordRefusal(a.target, err) && !ownCause {
			e.carrierRefused(req.service, a.upstream)
		}
	case errors.As(err, &carrierLost):
		a.conn.Release(false)
		e.carrierFailed(carrierLost)
		if !a.sent && req.recordLostCarrier(a.target) {
			e.carrierRefused(req.service, a.upstream)
		}
	case errors.As(err, &refused):
		// The upstream answers, but refuses the state of the session.
		a.conn.Release(a.conn.State() == dfstatement.Idle)
	case dfconnection.IsTimeout(err):
		a.conn.ReleaseTimedOut()
		e.recordFailure(req.service, a.upstream)
	default:
		a.conn.Release(false)
		e.recordFailure(req.service, a.upstream)
	}
}

// connectionError converts a failure to get a connection to a result.
func connectionError(err error) *dfresult.Error {
	return dfresult.FromError(err, dfresult.NoConnection)
}

// executeRead runs a read outside a transaction.
func (e *Edge) executeRead(sess *session, req *routeRequest, call dfstatement.Call) dfstatement.Answer {
	last := dfresult.NewError(dfresult.NoFreshUpstream, "service %s", req.service.name)
	for range maxAttempts {
		to, denied := e.selectTarget(req, e.planRead)
		if denied != nil {
			return sess.refused(call, denied, last)
		}
		answer, err := e.tryRead(sess, req, to, call)
		if err == nil {
			return answer
		}
		last = connectionError(err)
		sess.logRetry(call, to.upstream, last)
		if refusal := e.refuseForCapacity(req, to, err); refusal != nil {
			return sess.refused(call, refusal, last)
		}
		e.prepareRetry(req, to)
	}
	return sess.refused(call, last, last)
}

// prepareRetry keeps a statement from being sent to the same upstream again
// immediately, unless another carrier host can run it there.
func (e *Edge) prepareRetry(req *routeRequest, to target) {
	if req.asksNextCarrier(to) {
		return
	}
	if to.needsProof {
		e.waitForChange(req.caller(), nil, min(req.deadline, e.options.Now().Add(refusedRetryDelay)))
		return
	}
	req.avoid = append(req.avoid, to.upstream)
}

// tryRead sends a read to one upstream. An error means that the read may be sent
// elsewhere.
func (e *Edge) tryRead(sess *session, req *routeRequest, to target, call dfstatement.Call) (dfstatement.Answer, error) {
	a, err := e.acquire(req, to, 2*sess.route.Priority+1)
	if err != nil {
		return dfstatement.Answer{}, err
	}
	if to.needsProof {
		return e.readAtLeader(sess, req, a, call)
	}
	call.MinPosition = to.after
	answers, err := e.send(req, a, sess.sessionState, call)
	if err != nil {
		e.abandon(req, a, err)
		return dfstatement.Answer{}, err
	}
	answer := answers[0]
	e.release(req, a)
	e.recordAnswer(req, a, answer, false)
	return answer, retryableError(answer)
}

// openTransaction sends the opening of a transaction and waits for its result. A
// statement pipelined behind a refused opening would run outside any transaction,
// on a log that may lack commits. On error, the attempt is over.
func (e *Edge) openTransaction(req *routeRequest, a *attempt, sessionState *dfconnection.SessionState, opening dfstatement.Call) error {
	answers, err := e.send(req, a, sessionState, opening)
	if err != nil {
		e.abandon(req, a, err)
		return err
	}
	begun := answers[0]
	if begun.OK() {
		return nil
	}
	e.recordAnswer(req, a, begun, false)
	e.rollBack(req, a)
	return dfresult.NewError(begun.Code, "%s", begun.Detail)
}

// rollBack rolls back the attempt's transaction, if one is open, and releases the
// connection.
func (e *Edge) rollBack(req *routeRequest, a *attempt) {
	if a.conn.State() != dfstatement.Idle {
		req.deadline, a.replyTimeout = e.options.Now().Add(statusTimeout), statusTimeout
		if _, err := e.send(req, a, nil, dfstatement.Call{Statement: dfstatement.Rollback{}}); err != nil {
			e.abandon(req, a, err)
			return
		}
	}
	e.release(req, a)
}

// readAtLeader runs a read in a transaction that only the leader grants. A
// replaced leader refuses every statement in it.
func (e *Edge) readAtLeader(sess *session, req *routeRequest, a *attempt, call dfstatement.Call) (dfstatement.Answer, error) {
	if err := e.openTransaction(req, a, sess.sessionState, dfstatement.Call{Statement: dfstatement.Begin{}}); err != nil {
		return dfstatement.Answer{}, err
	}
	if req.caller().Err() != nil {
		e.rollBack(req, a)
		return dfstatement.Answer{}, errCallerLeft(req)
	}
	answers, err := e.send(req, a, sess.sessionState, call, dfstatement.Call{Statement: dfstatement.Rollback{}})
	if err != nil {
		e.abandon(req, a, err)
		return dfstatement.Answer{}, err
	}
	answer := answers[0]
	e.release(req, a)
	e.recordAnswer(req, a, answer, answer.OK())
	if answer.OK() && !e.stillLeader(a) {
		return dfstatement.Answer{}, errLeaderReplaced(a.upstream)
	}
	return answer.WithState(dfstatement.Idle), retryableError(answer)
}

// retryableError returns an error if a read with this answer is worth retrying.
func retryableError(answer dfstatement.Answer) error {
	switch answer.Code {
	case dfresult.OK, dfresult.ProtocolViolation, dfresult.AnswerTooLarge:
		return nil
	}
	return dfresult.NewError(answer.Code, "%s", answer.Detail)
}

// executeWrite runs a write outside a transaction. It is retried only if it
// provably did not run.
func (e *Edge) executeWrite(sess *session, req *routeRequest, call dfstatement.Call) dfstatement.Answer {
	last := dfresult.NewError(dfresult.NoPrimary, "service %s", req.service.name)
	for range maxAttempts {
		to, denied := e.selectTarget(req, e.planWrite)
		if denied != nil {
			return sess.refused(call, denied, last)
		}
		a, err := e.acquire(req, to, 2*sess.route.Priority)
		if err != nil {
			last = connectionError(err)
			if refusal := e.refuseForCapacity(req, to, err); refusal != nil {
				return sess.refused(call, refusal, last)
			}
			e.waitForChange(req.caller(), nil, min(req.deadline, e.options.Now().Add(refusedRetryDelay)))
			continue
		}
		if held := e.beginWrite(req, a); held != nil {
			e.release(req, a)
			last = held
			continue
		}
		answers, err := e.send(req, a, sess.sessionState, call)
		acknowledged := e.endWrite(req, a)
		if err != nil {
			e.abandon(req, a, err)
			if a.sent {
				return sess.inDoubt(call, a.upstream, err)
			}
			last = connectionError(err)
			if refusal := e.refuseForCapacity(req, to, err); refusal != nil {
				return sess.refused(call, refusal, last)
			}
			e.waitForChange(req.caller(), nil, min(req.deadline, e.options.Now().Add(refusedRetryDelay)))
			continue
		}
		answer := answers[0]
		e.release(req, a)
		e.recordAnswer(req, a, answer, answer.OK())
		if answer.OK() || answer.Code.Outcome() != dfresult.NotRun {
			return sess.finishWrite(a, call, answer, acknowledged)
		}
		last = dfresult.NewError(answer.Code, "%s", answer.Detail)
		sess.logRetry(call, a.upstream, last)
		e.waitForChange(req.caller(), nil, min(req.deadline, e.options.Now().Add(refusedRetryDelay)))
	}
	return sess.refused(call, last, last)
}

// finishWrite returns the answer to a write that ran. acknowledged is false if the next
// leader may lack it.
func (sess *session) finishWrite(a *attempt, call dfstatement.Call, answer dfstatement.Answer, acknowledged bool) dfstatement.Answer {
	switch {
	case !answer.OK():
		return sess.upstreamFailed(call, a.upstream, answer)
	case !acknowledged || !sess.edge.stillLeader(a):
		return sess.inDoubt(call, a.upstream, errLeaderReplaced(a.upstream))
	}
	sess.recordCommit(answer.Position, sess.edge.options.Now())
	return answer
}
