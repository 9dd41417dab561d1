package dfholder

import (
	"context"
	"encoding/binary"
	"time"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfhealth"
	"dragonflygrade/dfoutcome"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfsession"
	"dragonflygrade/dfunit"
	"dragonflygrade/dfupstream"
)

// cancelTimeout limits a cancel request, which uses a separate connection.
const cancelTimeout = 2 * time.Second

// unit implements dfunit.Unit on one connection of this holder.
type unit struct {
	holder   *Holder
	request  dfunit.Request
	upstream dfgroup.Upstream
	pool     *dfupstream.Pool
	conn     *dfupstream.Conn
	rung     int
	replica  bool
	// batches counts the batches that were sent.
	batches int
	// leadership receives the confirmation that the primary still led when the
	// transaction began. It is nil if none is needed or it was already received.
	leadership <-chan error
	// maxLatency and exchangeFailed are recorded in the router when the unit ends.
	maxLatency     dfclock.Millis
	exchangeFailed bool
	// ackedPosition is the position of the last batch, or zero if the batch
	// acknowledged no write.
	ackedPosition dfposition.Position
	// aborted is true if the transaction failed with an error that the caller has
	// received.
	aborted bool
	// term is the term of the primary to which a write was routed.
	term dfposition.Term
	// transaction is the identity of the open transaction once it has written.
	transaction dfoutcome.Transaction
	// finishAdmission ends the admission and releaseCounts decrements the holder's
	// counters. Each is called once.
	finishAdmission func(overloaded bool)
	releaseCounts   func()
	closed          bool
}

// Exchange executes one batch.
func (u *unit) Exchange(ctx context.Context, batch dfunit.Batch, sink dfunit.Sink) (dfunit.Result, error) {
	if err := u.awaitLeadership(ctx); err != nil {
		return dfunit.Result{}, err
	}
	u.batches++
	write := u.request.Class == dfunit.ClassWrite
	options := dfupstream.Options{Write: write, Position: write, Identity: write}
	if write {
		options.Gate = u.gate
	}
	meter := u.holder.silenceMeters[u.upstream.ID]
	options.Silence, options.Doubt = meter.Bound(), u.confirmLost
	filter := &refusalSink{sink: sink, inspecting: u.batches == 1 || write, laterBatch: u.batches > 1, aborted: u.aborted}
	started := u.holder.now()
	u.ackedPosition = dfposition.Position{}
	result, err := u.conn.Exchange(ctx, batch, filter, options)
	if err == nil {
		meter.Answered(u.conn.AnswerTime())
	}
	u.maxLatency = max(u.maxLatency, u.holder.now().Since(started))
	if err != nil {
		u.exchangeFailed = true
		u.reportFailure(ctx, started)
		if u.transaction.ID != 0 && dfresult.IsCommitOutcomeUnknown(err) {
			return u.resolveCommit(ctx, batch, err)
		}
		return dfunit.Result{}, err
	}
	u.updateTransaction(result)
	u.holder.watcher.ReportTraffic(u.upstream.ID, dfhealth.Answered{Upstream: u.upstream.ID, ResponseTime: u.conn.AnswerTime()})
	if filter.refusal != nil {
		u.conn.Close()
		return dfunit.Result{}, filter.refusal
	}
	u.aborted = result.Status == 'E'
	if err := filter.flush(); err != nil {
		return dfunit.Result{}, err
	}
	if result.Status == 'T' && u.batches == 1 && write {
		u.leadership = u.holder.confirmLeadership()
	}
	// After a batch that acknowledged no write, such as a failed statement, the end of
	// the log may contain entries of other writes that are never acknowledged.
	result.Position = u.ackedPosition
	result.Upstream = u.upstream.ID
	result.Replica = u.replica
	result.Local = u.upstream.DataCentre == u.holder.options.DataCentre
	result.Rung = u.rung
	return result, nil
}

// awaitLeadership prevents a transaction from reading at a primary that was replaced
// before the transaction began.
func (u *unit) awaitLeadership(ctx context.Context) error {
	if u.leadership == nil {
		return nil
	}
	leadership := u.leadership
	u.leadership = nil
	select {
	case err := <-leadership:
		if err != nil {
			u.conn.Close()
			return dfresult.NewError(dfresult.TransactionLost, "the primary could not be confirmed: %v", err)
		}
		return nil
	case <-ctx.Done():
		u.conn.Close()
		return dfresult.NewError(dfresult.TransactionLost, "the primary was not confirmed before the deadline")
	}
}

// gate delays the acknowledgement of a commit until a majority has it and every other
// slot holder with a position lease knows of it.
func (u *unit) gate(ctx context.Context, position dfposition.Position) error {
	return u.gateForTerm(ctx, position, u.term)
}

// gateForTerm is gate for a response from the primary of the given term.
func (u *unit) gateForTerm(ctx context.Context, position dfposition.Position, term dfposition.Term) error {
	if position.IsZero() {
		return dfresult.NewError(dfresult.CommitUnknown, "the upstream reported no position")
	}
	h := u.holder
	caller := dfsession.CallerOf(u.request.Service, u.request.Caller)
	id, peers, ok := h.positions.recordWrite(caller, position)
	if !ok {
		return dfresult.NewError(dfresult.CommitUnknown, "too many writes wait for other slot holders")
	}
	for _, peer := range peers {
		h.options.Notify(peer, encodeCallerPosition(string(h.options.Group), caller, position), func() {
			h.positions.recordPeerReply(id, peer)
		})
	}
	if err := u.awaitMajority(ctx, position, term); err != nil {
		h.positions.abandon(id)
		return err
	}
	if err := h.positions.awaitPeers(ctx, id); err != nil {
		return err
	}
	if position.Term == term {
		u.ackedPosition = position
	}
	return nil
}

// awaitMajority waits until a majority has the position. A position of an
// earlier term than that of the routing shows that the unit wrote nothing; the
// response must then be confirmed not to come from a replaced primary.
func (u *unit) awaitMajority(ctx context.Context, position dfposition.Position, term dfposition.Term) error {
	if position.Term == term {
		return u.holder.watcher.AwaitAck(ctx, position)
	}
	return u.holder.watcher.AwaitConfirmed(ctx, position, term)
}

// reportFailure reports a request that timed out to failure detection. Other failures
// are only logged.
func (u *unit) reportFailure(ctx context.Context, started dfclock.Millis) {
	if ctx.Err() != nil {
		u.holder.watcher.ReportTraffic(u.upstream.ID, dfhealth.RequestTimedOut{Upstream: u.upstream.ID})
		return
	}
	u.holder.log.Debug().Str("Upstream", string(u.upstream.ID)).Int64("Started", int64(started)).Msg("holder: connection to the upstream lost")
}

// Cancel requests cancellation of the running batch from the upstream.
func (u *unit) Cancel() {
	batch := u.conn.Running()
	if batch == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := u.conn.Cancel(ctx, batch); err != nil {
			u.holder.log.Debug().Err(err).Msg("holder: cancel request failed")
		}
	}()
}

// Close returns the connection to its pool.
func (u *unit) Close() {
	if u.closed {
		return
	}
	u.closed = true
	u.holder.untrackWrite(u)
	u.pool.Put(u.conn)
	u.holder.router.finished(routeTarget{upstream: u.upstream, replica: u.replica, rung: u.rung}, u.maxLatency, !u.exchangeFailed)
	if u.finishAdmission != nil {
		u.finishAdmission(false)
	}
	u.releaseCounts()
}

// SQLSTATEs by which an upstream refuses work because of its role, and the codes of
// the message and the field that carry them.
const (
	sqlStateReadOnlyTransaction = "25006"
	sqlStateFailedTransaction   = "25P02"
	sqlStateCannotConnectNow    = "57P03"
	fieldSQLState               = 'C'
	errorResponse               = 'E'
)

// refusalSink intercepts the error by which an upstream refuses a batch because it no
// longer has the role for which it was chosen, so that the request can be retried
// elsewhere.
type refusalSink struct {
	sink dfunit.Sink
	// inspecting is false once a message of the batch was passed to the caller.
	inspecting bool
	// laterBatch is true if earlier batches of the transaction were executed.
	laterBatch bool
	// aborted is true if the caller already received an error that failed the
	// transaction.
	aborted bool
	refusal *dfresult.Error
	// buffered has the messages before the first row or error, each preceded by its
	// type and length.
	buffered []byte
}

// Send passes a message to the sink unless the batch was refused.
func (r *refusalSink) Send(messageType byte, body []byte) error {
	if r.refusal != nil {
		return nil
	}
	if !r.inspecting {
		return r.sink.Send(messageType, body)
	}
	if isPreliminary(messageType) {
		r.buffered = append(r.buffered, messageType)
		r.buffered = binary.BigEndian.AppendUint32(r.buffered, uint32(len(body)))
		r.buffered = append(r.buffered, body...)
		return nil
	}
	if messageType == errorResponse {
		r.refusal = r.refusalFor(body)
		if r.refusal != nil {
			return nil
		}
	}
	if err := r.flush(); err != nil {
		return err
	}
	return r.sink.Send(messageType, body)
}

// flush passes the buffered messages to the sink and ends the inspection.
func (r *refusalSink) flush() error {
	r.inspecting = false
	buffered := r.buffered
	r.buffered = nil
	for len(buffered) > 0 {
		size := int(binary.BigEndian.Uint32(buffered[1:]))
		if err := r.sink.Send(buffered[0], buffered[5:5+size]); err != nil {
			return err
		}
		buffered = buffered[5+size:]
	}
	return nil
}

// isPreliminary reports whether a message does not yet show whether a statement
// succeeded.
func isPreliminary(messageType byte) bool {
	switch messageType {
	case '1', '2', '3', 't', 'T', 'n', 'N', 'S':
		return true
	}
	return false
}

// refusalFor returns the error for the caller if an ErrorResponse means that the
// upstream lost its role, or nil. Within a transaction the error is TransactionLost,
// because the upstream rolled the transaction back and the statement is not at fault.
func (r *refusalSink) refusalFor(body []byte) *dfresult.Error {
	state := sqlState(body)
	switch {
	case r.aborted:
		return nil
	case r.laterBatch && (state == sqlStateReadOnlyTransaction || state == sqlStateCannotConnectNow || state == sqlStateFailedTransaction):
		return dfresult.NewError(dfresult.TransactionLost, "the primary was replaced")
	case state == sqlStateReadOnlyTransaction:
		return dfresult.NewError(dfresult.NeedsPrimary, "refused by a replica")
	case state == sqlStateCannotConnectNow:
		return dfresult.NewError(dfresult.TermSuperseded, "the upstream is not in its role any more")
	}
	return nil
}

// sqlState returns the SQLSTATE of an ErrorResponse, or an empty string.
func sqlState(body []byte) string {
	for len(body) > 1 {
		field, rest := body[0], body[1:]
		end := 0
		for end < len(rest) && rest[end] != 0 {
			end++
		}
		if field == fieldSQLState {
			return string(rest[:end])
		}
		if end >= len(rest) {
			return ""
		}
		body = rest[end+1:]
	}
	return ""
}
