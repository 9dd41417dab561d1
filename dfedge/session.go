package dfedge

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"dragonflygrade/dfcatalog"
	"dragonflygrade/dfclock"
	"dragonflygrade/dfconnection"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfstatement"
)

// session is one caller's connection. Its fields belong to its goroutine, except
// conn, idle and closing.
type session struct {
	edge     *Edge
	conn     net.Conn
	caller   Caller
	database string
	// key is the hash of the caller's key. The key itself is not kept.
	key dfcatalog.KeyHash
	// identified is true once organisation was decided. It is guarded by Edge.mu.
	identified bool
	// organisation is the name of the caller's organisation under the current version,
	// or empty if the caller is anonymous. Only the session's goroutine changes it and
	// route, with Edge.mu held.
	organisation string
	// route is the route of the current statement or transaction.
	route        dfcatalog.Route
	sessionState *dfconnection.SessionState
	// lastCommit is the newest commit of the session, and lastCommitAt when it was
	// acknowledged.
	lastCommit   dfposition.Position
	lastCommitAt dfclock.Millis
	tx           *transaction
	// idle is true while no transaction is open and no request has been read; it is
	// guarded by Edge.mu.
	idle bool
	// closing ends the session as soon as it is idle; it is guarded by Edge.mu.
	closing bool
	// ended ends the session after the answer to the current call.
	ended bool
	// departure ends when the caller leaves while the current call is executed. It is nil
	// if the caller is not watched.
	departure context.Context
	// deadline is when the caller gives up the current call, or Never if this is not
	// known.
	deadline dfclock.Millis
}

// serveCaller runs a session until the caller disconnects.
func (e *Edge) serveCaller(conn net.Conn) {
	sess := &session{edge: e, conn: conn, caller: e.options.Dialect.Accept(conn), sessionState: dfconnection.NewSessionState()}
	e.mu.Lock()
	e.sessions[sess] = struct{}{}
	e.mu.Unlock()
	defer sess.cleanUp()
	if !sess.startUp() {
		return
	}
	for sess.serveNext() {
	}
}

// cleanUp releases the session's resources.
func (sess *session) cleanUp() {
	if sess.tx != nil {
		sess.tx.closeConnection()
	}
	_ = sess.caller.Close()
	sess.edge.mu.Lock()
	delete(sess.edge.sessions, sess)
	sess.edge.mu.Unlock()
}

// startUp handles the caller's startup message.
func (sess *session) startUp() bool {
	if err := sess.conn.SetReadDeadline(time.Now().Add(startupTimeout)); err != nil {
		return false
	}
	database, key, err := sess.caller.ReadStartup()
	if err != nil {
		return false
	}
	if err := sess.conn.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	sess.database, sess.key = database, dfcatalog.HashKey(key)
	if failure := sess.awaitRoute(); failure != nil {
		sess.edge.log.Warn().Str("Database", database).Int("Code", int(failure.Code)).Str("Why", failure.Error()).
			Msg("session: startup refused")
		_ = sess.caller.WriteRefusal(failure.Code, refusalDetail(failure))
		return false
	}
	return sess.caller.WriteReady() == nil
}

// awaitRoute looks up the caller's route. A host that has just started, or that
// may have missed a version, waits a short time for the platform and its
// neighbours.
func (sess *session) awaitRoute() *dfresult.Error {
	e := sess.edge
	until := e.options.Now().Add(routeWaitTimeout)
	for {
		e.mu.Lock()
		changed := e.changed
		e.mu.Unlock()
		failure := sess.lookUpRoute()
		if failure == nil || failure.Code != dfresult.ConfigurationAbsent || e.options.Now() >= until {
			return failure
		}
		e.waitForChange(context.Background(), changed, until)
	}
}

// lookUpRoute sets the route and the organisation for the next statement or
// transaction. A host that may have missed a version does not report a name as
// unknown.
func (sess *session) lookUpRoute() *dfresult.Error {
	e := sess.edge
	e.mu.Lock()
	defer e.mu.Unlock()
	route, ok := e.catalog.Route(sess.database)
	if ok && e.services[route.Service] != nil {
		organisation, failure := e.identify(e.options.Now(), sess.key, route)
		if failure != nil {
			return failure
		}
		sess.route, sess.organisation, sess.identified = route, organisation, true
		return nil
	}
	if now := e.options.Now(); e.catalog.Version() == 0 || now-e.currentAt(now) >= versionMaxAge {
		return dfresult.NewError(dfresult.ConfigurationAbsent, "version %d may be outdated", e.catalog.Version()).
			WithRetryAfter(dfclock.Second)
	}
	return dfresult.NewError(dfresult.ServiceUnknown, "database %s at version %d", sess.database, e.catalog.Version())
}

// serveNext reads and answers one call. It returns false when the session ends.
func (sess *session) serveNext() bool {
	call, ok := sess.readCall()
	if !ok {
		return false
	}
	started := sess.edge.options.Now()
	sess.edge.awaitVersion()
	sess.deadline = dfclock.Never
	stop := sess.watchCaller()
	answer := sess.execute(call, started)
	stop()
	sess.edge.counters.recordStatement(answer, sess.edge.options.Now()-started)
	return sess.caller.WriteAnswer(answer) == nil && !sess.ended
}

// readCall waits for the next call. An idle session ends when the host closes it or
// its key is withdrawn; a transaction is rolled back when it is idle for too long or
// the key is withdrawn.
func (sess *session) readCall() (dfstatement.Call, bool) {
	for {
		if !sess.prepareRead() {
			return dfstatement.Call{}, false
		}
		call, ended, err := sess.caller.ReadCall()
		sess.edge.mu.Lock()
		sess.idle = false
		sess.edge.mu.Unlock()
		if err == nil {
			return call, !ended
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return call, false
		}
		if sess.tx == nil {
			continue
		}
		if failure := sess.checkKey(); failure != nil {
			sess.revoke(failure)
		} else {
			sess.tx.expire()
		}
	}
}

// prepareRead prepares the session to wait for the next call. It returns false if
// the session must end.
func (sess *session) prepareRead() bool {
	e := sess.edge
	e.mu.Lock()
	defer e.mu.Unlock()
	sess.idle = sess.tx == nil && !sess.caller.Pending()
	withdrawn := sess.keyWithdrawn()
	if sess.idle && (sess.closing || withdrawn) {
		return false
	}
	deadline := time.Time{}
	if sess.tx != nil && sess.tx.attempt != nil {
		idle := e.catalog.TransactionIdleTimeout()
		switch {
		case withdrawn:
			deadline = time.Unix(1, 0)
		case idle > 0:
			deadline = time.Now().Add(time.Duration(idle) * time.Millisecond)
		}
	}
	return sess.conn.SetReadDeadline(deadline) == nil
}

// closeWhenIdle ends the session once it is idle. Edge.mu must be held.
func (sess *session) closeWhenIdle() {
	sess.closing = true
	if sess.idle {
		_ = sess.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

func (sess *session) execute(call dfstatement.Call, now dfclock.Millis) dfstatement.Answer {
	if sess.tx != nil {
		return sess.executeInTransaction(call, now)
	}
	switch s := call.Statement.(type) {
	case dfstatement.Begin:
		if failure := sess.lookUpRoute(); failure != nil {
			return sess.refuseOperation(call, failure)
		}
		sess.tx = newTransaction(sess, call, s.ReadOnly, now)
		return dfstatement.Answer{State: dfstatement.InTransaction}
	case dfstatement.Read, dfstatement.Write, dfstatement.Execute:
		return sess.executeSingle(call, now)
	case dfstatement.Commit, dfstatement.Rollback:
		return dfstatement.Failure(dfresult.ProtocolViolation, "no transaction is open", dfstatement.Idle)
	}
	return sess.executeLocally(call, dfstatement.Idle)
}

// executeLocally answers statements that only change session state.
func (sess *session) executeLocally(call dfstatement.Call, state dfstatement.State) dfstatement.Answer {
	switch s := call.Statement.(type) {
	case dfstatement.Set:
		sess.sessionState.Values[s.Name] = s.Value
	case dfstatement.Prepare:
		sess.sessionState.Plans[s.Name] = s.Plan
	case dfstatement.Deallocate:
		if _, ok := sess.sessionState.Plans[s.Name]; !ok {
			return dfstatement.Failure(dfresult.StatementUnknown, s.Name, state)
		}
		delete(sess.sessionState.Plans, s.Name)
	default:
		return dfstatement.Failure(dfresult.ProtocolViolation, "the statement is not known", state)
	}
	return dfstatement.Answer{State: state}
}

// executeSingle runs a statement outside a transaction.
func (sess *session) executeSingle(call dfstatement.Call, now dfclock.Millis) dfstatement.Answer {
	if failure := sess.lookUpRoute(); failure != nil {
		return sess.refuseOperation(call, failure)
	}
	writes, known := sess.writes(call)
	if !known {
		return dfstatement.Failure(dfresult.StatementUnknown, "no such prepared statement", dfstatement.Idle)
	}
	req := sess.newRequest(now, now)
	if failure := sess.edge.admitOperation(req); failure != nil {
		return sess.refused(call, failure, failure)
	}
	defer sess.edge.returnToken(req)
	if writes {
		return sess.edge.executeWrite(sess, req, call)
	}
	return sess.edge.executeRead(sess, req, call)
}

// writes reports whether a statement writes. known is false if it executes a name
// that is not prepared.
func (sess *session) writes(call dfstatement.Call) (writes, known bool) {
	switch s := call.Statement.(type) {
	case dfstatement.Write:
		return true, true
	case dfstatement.Execute:
		plan, ok := sess.sessionState.Plans[s.Name]
		return plan.Writes, ok
	}
	return false, true
}

// newRequest returns the requirements of a statement that arrived at now, in a
// transaction that began at beganAt.
func (sess *session) newRequest(now, beganAt dfclock.Millis) *routeRequest {
	sess.edge.mu.Lock()
	defer sess.edge.mu.Unlock()
	sess.deadline = now.Add(sess.route.Timeout)
	req := &routeRequest{
		service:       sess.edge.services[sess.route.Service],
		freshness:     sess.route.Freshness,
		departure:     sess.departure,
		organisation:  sess.organisation,
		arrivedAt:     beganAt,
		deadline:      sess.deadline,
		admitBy:       now.Add(sess.route.Timeout),
		targetLatency: sess.route.TargetLatency,
	}
	if sess.route.TargetLatency > 0 {
		req.admitBy = min(req.admitBy, now.Add(sess.route.TargetLatency*admitWaitPercent/100))
	}
	if _, own := sess.route.Freshness.(dfcatalog.ReadYourWrites); own {
		req.lastCommit, req.lastCommitAt = sess.lastCommit, sess.lastCommitAt
	}
	return req
}

// recordCommit records an acknowledged commit of the session.
func (sess *session) recordCommit(position dfposition.Position, now dfclock.Millis) {
	if sess.lastCommit.Less(position) {
		sess.lastCommit, sess.lastCommitAt = position, now
	}
}

// refused answers a call that did not run. The last upstream failure is logged
// too, because it says more than the refusal itself.
func (sess *session) refused(call dfstatement.Call, err, last *dfresult.Error) dfstatement.Answer {
	state := dfstatement.Idle
	if sess.tx != nil {
		state = dfstatement.FailedTransaction
	}
	if err.Code == dfresult.CallerLeft {
		sess.edge.counters.callersLeft.Inc()
		return dfstatement.Failure(err.Code, err.Error(), state)
	}
	err = sess.withReturn(err)
	sess.edge.logFailure(call, sess.route, "request: refused", err.Code, err.Error(), last.Error(), err.RetryAfter)
	return dfstatement.Failure(err.Code, refusalDetail(err), state)
}

// refusalDetail returns the text of a refusal for the caller.
func refusalDetail(err *dfresult.Error) string {
	if err.RetryAfter > 0 {
		return err.Error() + "; retry after " + err.RetryAfter.String()
	}
	return err.Error()
}

// inDoubt answers a write whose answer was lost.
func (sess *session) inDoubt(call dfstatement.Call, upstream dffleet.ID, err error) dfstatement.Answer {
	sess.edge.logFailure(call, sess.route, "request: in doubt", dfresult.CommitUnknown, err.Error(), string(upstream), 0)
	return dfstatement.Failure(dfresult.CommitUnknown, "the answer of "+string(upstream)+" was lost", dfstatement.Idle)
}

// upstreamFailed passes on a failure reported by an upstream.
func (sess *session) upstreamFailed(call dfstatement.Call, upstream dffleet.ID, answer dfstatement.Answer) dfstatement.Answer {
	sess.edge.logFailure(call, sess.route, "request: failed at the upstream", answer.Code, answer.Detail, string(upstream), 0)
	return answer
}

func (sess *session) logRetry(call dfstatement.Call, upstream dffleet.ID, why *dfresult.Error) {
	sess.edge.counters.retries.Inc()
	sess.edge.log.Debug().Str("Request", call.ID).Str("Upstream", string(upstream)).Int("Code", int(why.Code)).
		Msg("request: retried")
}

// abort ends a session even if a transaction is open. Edge.mu must be held.
func (sess *session) abort() {
	sess.closing = true
	_ = sess.conn.SetReadDeadline(time.Unix(1, 0))
}
