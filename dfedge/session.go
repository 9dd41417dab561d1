package dfedge

import (
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

// session is one caller's connection. Its fields are used by its goroutine,
// except conn and quiet.
type session struct {
	edge     *Edge
	conn     net.Conn
	caller   Caller
	database string
	// route is that of the statement or transaction that runs.
	route   dfcatalog.Route
	context *dfconnection.Context
	// own is the newest commit of the session, and when it was acknowledged.
	own   dfposition.Position
	ownAt dfclock.Millis
	tx    *transaction
	// quiet is true while the session is outside of a transaction and no
	// request was read; it is guarded by the mutex of the host.
	quiet bool
	// closing asks the session to end as soon as it is quiet; guarded likewise.
	closing bool
}

// serve runs a session until the caller leaves.
func (e *Edge) serve(conn net.Conn) {
	x := &session{edge: e, conn: conn, caller: e.options.Dialect.Accept(conn), context: dfconnection.NewContext()}
	e.mu.Lock()
	e.sessions[x] = struct{}{}
	e.mu.Unlock()
	defer x.end()
	if !x.start() {
		return
	}
	for x.next() {
	}
}

// end frees what the session holds.
func (x *session) end() {
	if x.tx != nil {
		x.tx.drop()
	}
	_ = x.caller.Close()
	x.edge.mu.Lock()
	delete(x.edge.sessions, x)
	x.edge.mu.Unlock()
}

// start answers the caller's first message.
func (x *session) start() bool {
	if err := x.conn.SetReadDeadline(time.Now().Add(startupTimeout)); err != nil {
		return false
	}
	database, err := x.caller.ReadStartup()
	if err != nil {
		return false
	}
	if err := x.conn.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	x.database = database
	if failure := x.awaitRoute(); failure != nil {
		x.edge.log.Warn().Str("Database", database).Int("Code", int(failure.Code)).Str("Why", failure.Error()).
			Msg("session: startup refused")
		_ = x.caller.WriteRefusal(failure.Code, failure.Error())
		return false
	}
	return x.caller.WriteReady() == nil
}

// awaitRoute finds the caller's route. A host that has just started, or that
// may have missed a version, gives the platform and its neighbours a moment.
func (x *session) awaitRoute() *dfresult.Error {
	e := x.edge
	until := e.options.Now().Add(routePatience)
	for {
		e.mu.Lock()
		changed := e.changed
		e.mu.Unlock()
		failure := x.findRoute()
		if failure == nil || failure.Code != dfresult.ConfigurationAbsent || e.options.Now() >= until {
			return failure
		}
		e.await(changed, until)
	}
}

// findRoute takes the route in force for the next statement or transaction. A
// host that may have missed a version does not say that a name is unknown.
func (x *session) findRoute() *dfresult.Error {
	e := x.edge
	e.mu.Lock()
	defer e.mu.Unlock()
	route, ok := e.catalog.Route(x.database)
	if ok && e.services[route.Service] != nil {
		x.route = route
		return nil
	}
	if now := e.options.Now(); e.catalog.Version() == 0 || now-e.currentAt(now) >= currentSpan {
		return dfresult.NewError(dfresult.ConfigurationAbsent, "version %d may be outdated", e.catalog.Version()).
			WithRetryAfter(dfclock.Second)
	}
	return dfresult.NewError(dfresult.ServiceUnknown, "database %s at version %d", x.database, e.catalog.Version())
}

// next reads and answers one call. It returns false when the session ends.
func (x *session) next() bool {
	call, ok := x.readCall()
	if !ok {
		return false
	}
	started := x.edge.options.Now()
	answer := x.answer(call, started)
	x.edge.counters.answered(answer, x.edge.options.Now()-started)
	return x.caller.WriteAnswer(answer) == nil
}

// readCall waits for the caller. A session that is quiet ends when the host
// asks for it; a transaction that rests too long is rolled back.
func (x *session) readCall() (dfstatement.Call, bool) {
	for {
		if !x.rest() {
			return dfstatement.Call{}, false
		}
		call, ended, err := x.caller.ReadCall()
		x.edge.mu.Lock()
		x.quiet = false
		x.edge.mu.Unlock()
		if err == nil {
			return call, !ended
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return call, false
		}
		if x.tx != nil {
			x.tx.expire()
		}
	}
}

// rest prepares the session for the wait for the next call. It returns false
// if the session is to end.
func (x *session) rest() bool {
	e := x.edge
	e.mu.Lock()
	defer e.mu.Unlock()
	x.quiet = x.tx == nil && !x.caller.Pending()
	if x.closing && x.quiet {
		return false
	}
	deadline := time.Time{}
	if x.tx != nil && x.tx.attempt != nil {
		if idle := e.catalog.TransactionIdle(); idle > 0 {
			deadline = time.Now().Add(time.Duration(idle) * time.Millisecond)
		}
	}
	return x.conn.SetReadDeadline(deadline) == nil
}

// close asks the session to end once it is quiet. The mutex is held.
func (x *session) close() {
	x.closing = true
	if x.quiet {
		_ = x.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

func (x *session) answer(call dfstatement.Call, now dfclock.Millis) dfstatement.Answer {
	if x.tx != nil {
		return x.tx.answer(call, now)
	}
	switch s := call.Statement.(type) {
	case dfstatement.Begin:
		if failure := x.findRoute(); failure != nil {
			return x.refused(call, failure, failure)
		}
		x.tx = newTransaction(x, call, s.ReadOnly, now)
		return dfstatement.Answer{State: dfstatement.InTransaction}
	case dfstatement.Read, dfstatement.Write, dfstatement.Execute:
		return x.single(call, now)
	case dfstatement.Commit, dfstatement.Rollback:
		return dfstatement.Failure(dfresult.ProtocolViolation, "no transaction is open", dfstatement.Idle)
	}
	return x.keep(call, dfstatement.Idle)
}

// keep answers the statements that change the session only.
func (x *session) keep(call dfstatement.Call, state dfstatement.State) dfstatement.Answer {
	switch s := call.Statement.(type) {
	case dfstatement.Set:
		x.context.Values[s.Name] = s.Value
	case dfstatement.Prepare:
		x.context.Plans[s.Name] = s.Plan
	case dfstatement.Deallocate:
		if _, ok := x.context.Plans[s.Name]; !ok {
			return dfstatement.Failure(dfresult.StatementUnknown, s.Name, state)
		}
		delete(x.context.Plans, s.Name)
	default:
		return dfstatement.Failure(dfresult.ProtocolViolation, "the statement is not known", state)
	}
	return dfstatement.Answer{State: state}
}

// single runs a statement outside of a transaction.
func (x *session) single(call dfstatement.Call, now dfclock.Millis) dfstatement.Answer {
	if failure := x.findRoute(); failure != nil {
		return x.refused(call, failure, failure)
	}
	writes, known := x.writes(call)
	if !known {
		return dfstatement.Failure(dfresult.StatementUnknown, "no such prepared statement", dfstatement.Idle)
	}
	n := x.need(now, now)
	if writes {
		return x.edge.write(x, n, call)
	}
	return x.edge.read(x, n, call)
}

// writes tells what a statement does; known is false if its name is not prepared.
func (x *session) writes(call dfstatement.Call) (writes, known bool) {
	switch s := call.Statement.(type) {
	case dfstatement.Write:
		return true, true
	case dfstatement.Execute:
		plan, ok := x.context.Plans[s.Name]
		return plan.Writes, ok
	}
	return false, true
}

// need describes a statement that arrived now, in a transaction that began at
// an instant.
func (x *session) need(now, began dfclock.Millis) *need {
	x.edge.mu.Lock()
	defer x.edge.mu.Unlock()
	n := &need{
		service:   x.edge.services[x.route.Service],
		freshness: x.route.Freshness,
		arrivedAt: began,
		deadline:  now.Add(x.route.Timeout),
		aim:       x.route.Aim,
	}
	if _, own := x.route.Freshness.(dfcatalog.OwnWrites); own {
		n.own, n.ownAt = x.own, x.ownAt
	}
	return n
}

// wrote notes an acknowledged commit of the session.
func (x *session) wrote(position dfposition.Position, now dfclock.Millis) {
	if x.own.Less(position) {
		x.own, x.ownAt = position, now
	}
}

// refused answers a call that did not run. The newest failure of an upstream
// tells more than the refusal itself.
func (x *session) refused(call dfstatement.Call, err, last *dfresult.Error) dfstatement.Answer {
	state := dfstatement.Idle
	if x.tx != nil {
		state = dfstatement.FailedState
	}
	x.edge.logFailure(call, x.route, "request: refused", err.Code, err.Error(), last.Error(), err.RetryAfter)
	detail := err.Error()
	if err.RetryAfter > 0 {
		detail += "; retry after " + err.RetryAfter.String()
	}
	return dfstatement.Failure(err.Code, detail, state)
}

// doubted answers a write whose answer was lost.
func (x *session) doubted(call dfstatement.Call, upstream dffleet.ID, err error) dfstatement.Answer {
	x.edge.logFailure(call, x.route, "request: in doubt", dfresult.CommitUnknown, err.Error(), string(upstream), 0)
	return dfstatement.Failure(dfresult.CommitUnknown, "the answer of "+string(upstream)+" was lost", dfstatement.Idle)
}

// failedAt passes the failure of an upstream on.
func (x *session) failedAt(call dfstatement.Call, upstream dffleet.ID, answer dfstatement.Answer) dfstatement.Answer {
	x.edge.logFailure(call, x.route, "request: failed at the upstream", answer.Code, answer.Detail, string(upstream), 0)
	return answer
}

func (x *session) retried(call dfstatement.Call, upstream dffleet.ID, why *dfresult.Error) {
	x.edge.counters.retries.Inc()
	x.edge.log.Debug().Str("Request", call.ID).Str("Upstream", string(upstream)).Int("Code", int(why.Code)).
		Msg("request: sent again")
}

// stop ends a session whose open transaction had its time. The mutex is held.
func (x *session) stop() {
	x.closing = true
	_ = x.conn.SetReadDeadline(time.Unix(1, 0))
}
