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

// cancelTimeout bounds the separate connection of a cancel request.
const cancelTimeout = 2 * time.Second

// unit is a unit on one connection of this holder.
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
	// barrier confirms the leadership of the primary for a transaction; nil
	// once it was awaited or if none is needed.
	barrier <-chan error
	// slowest and failed describe the unit for the choice of later reads.
	slowest dfclock.Millis
	failed  bool
	// acknowledged is the position of the last batch if it was acknowledged.
	acknowledged dfposition.Position
	// aborted is true after an error that the caller has seen.
	aborted bool
	// term is the term of the primary to which a write was routed.
	term dfposition.Term
	// transaction identifies the open transaction once it has written.
	transaction dfoutcome.Transaction
	// finish ends the admission and release the counts; both are called once.
	finish  func(overloaded bool)
	release func()
	closed  bool
}

// Exchange runs one batch.
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
	meter := u.holder.meters[u.upstream.ID]
	options.Silence, options.Doubt = meter.Bound(), u.doubt
	inspected := &refusalSink{sink: sink, enabled: u.batches == 1 || write, later: u.batches > 1, aborted: u.aborted}
	started := u.holder.now()
	u.acknowledged = dfposition.Position{}
	result, err := u.conn.Exchange(ctx, batch, inspected, options)
	if err == nil {
		meter.Answered(u.conn.AnswerTime())
	}
	u.slowest = max(u.slowest, u.holder.now().Since(started))
	if err != nil {
		u.failed = true
		u.report(ctx, started)
		if u.transaction.ID != 0 && dfresult.IsCommitOutcomeUnknown(err) {
			return u.resolve(ctx, batch, err)
		}
		return dfunit.Result{}, err
	}
	u.noteTransaction(result)
	u.holder.watcher.ReportTraffic(u.upstream.ID, dfhealth.Answered{Upstream: u.upstream.ID, ResponseTime: u.conn.AnswerTime()})
	if inspected.refusal != nil {
		u.conn.Close()
		return dfunit.Result{}, inspected.refusal
	}
	u.aborted = result.Status == 'E'
	if err := inspected.flush(); err != nil {
		return dfunit.Result{}, err
	}
	if result.Status == 'T' && u.batches == 1 && write {
		u.barrier = u.holder.confirmLeadership()
	}
	// The log's end behind a batch that acknowledged nothing, such as a failed
	// statement, may hold entries of others that are never acknowledged.
	result.Position = u.acknowledged
	result.Upstream = u.upstream.ID
	result.Replica = u.replica
	result.Local = u.upstream.DataCentre == u.holder.options.DataCentre
	result.Rung = u.rung
	return result, nil
}

// awaitLeadership keeps a transaction from reading at a primary that was
// replaced before the transaction began.
func (u *unit) awaitLeadership(ctx context.Context) error {
	if u.barrier == nil {
		return nil
	}
	barrier := u.barrier
	u.barrier = nil
	select {
	case err := <-barrier:
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

// gate holds a commit until a majority has it and every other slot holder with
// a position lease knows of it.
func (u *unit) gate(ctx context.Context, position dfposition.Position) error {
	return u.gateUnder(ctx, position, u.term)
}

// gateUnder is gate for an answer from the primary of a term.
func (u *unit) gateUnder(ctx context.Context, position dfposition.Position, term dfposition.Term) error {
	if position.IsZero() {
		return dfresult.NewError(dfresult.CommitUnknown, "the upstream reported no position")
	}
	h := u.holder
	caller := dfsession.CallerOf(u.request.Service, u.request.Caller)
	id, peers, ok := h.knowledge.record(caller, position)
	if !ok {
		return dfresult.NewError(dfresult.CommitUnknown, "too many writes wait for other slot holders")
	}
	for _, peer := range peers {
		h.options.Notify(peer, encodeCallerPosition(string(h.options.Group), caller, position), func() {
			h.knowledge.answered(id, peer)
		})
	}
	if err := u.awaitMajority(ctx, position, term); err != nil {
		h.knowledge.abandon(id)
		return err
	}
	if err := h.knowledge.await(ctx, id); err != nil {
		return err
	}
	if position.Term == term {
		u.acknowledged = position
	}
	return nil
}

// awaitMajority waits until a majority has the position. A position of an
// earlier term than the one of the routing shows that the unit wrote nothing;
// its answer must then not come from a replaced primary.
func (u *unit) awaitMajority(ctx context.Context, position dfposition.Position, term dfposition.Term) error {
	if position.Term == term {
		return u.holder.watcher.AwaitAck(ctx, position)
	}
	return u.holder.watcher.AwaitConfirmed(ctx, position, term)
}

// report tells the failure detection of a connection that broke or was too slow.
func (u *unit) report(ctx context.Context, started dfclock.Millis) {
	if ctx.Err() != nil {
		u.holder.watcher.ReportTraffic(u.upstream.ID, dfhealth.RequestTimedOut{Upstream: u.upstream.ID})
		return
	}
	u.holder.log.Debug().Str("Upstream", string(u.upstream.ID)).Int64("Started", int64(started)).Msg("holder: connection lost")
}

// Cancel asks the upstream to cancel the batch that runs.
func (u *unit) Cancel() {
	batch := u.conn.Running()
	if batch == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := u.conn.Cancel(ctx, batch); err != nil {
			u.holder.log.Debug().Err(err).Msg("holder: cancel not delivered")
		}
	}()
}

// Close gives the connection back to its pool.
func (u *unit) Close() {
	if u.closed {
		return
	}
	u.closed = true
	u.holder.forget(u)
	u.pool.Put(u.conn)
	u.holder.router.ended(choice{upstream: u.upstream, replica: u.replica, rung: u.rung}, u.slowest, !u.failed)
	if u.finish != nil {
		u.finish(false)
	}
	u.release()
}

// SQLSTATEs by which an upstream refuses work because of its role.
const (
	stateReadOnly  = "25006"
	stateAborted   = "25P02"
	stateNotInRole = "57P03"
	fieldSQLState  = 'C'
	errorResponse  = 'E'
)

// refusalSink holds back the refusal of an upstream that is no longer in the
// role for which it was chosen, so that the request can go elsewhere.
type refusalSink struct {
	sink dfunit.Sink
	// enabled is false once the caller has received something of the batch.
	enabled bool
	// later is true if earlier batches of the transaction ran.
	later bool
	// aborted is true if the caller knows that its transaction has failed.
	aborted bool
	refusal *dfresult.Error
	// held has the messages that come before the first row or error, each with
	// type and length.
	held []byte
}

// Send passes a message on unless the batch was refused.
func (r *refusalSink) Send(messageType byte, body []byte) error {
	if r.refusal != nil {
		return nil
	}
	if !r.enabled {
		return r.sink.Send(messageType, body)
	}
	if isPreliminary(messageType) {
		r.held = append(r.held, messageType)
		r.held = binary.BigEndian.AppendUint32(r.held, uint32(len(body)))
		r.held = append(r.held, body...)
		return nil
	}
	if messageType == errorResponse {
		r.refusal = r.refusalOf(body)
		if r.refusal != nil {
			return nil
		}
	}
	if err := r.flush(); err != nil {
		return err
	}
	return r.sink.Send(messageType, body)
}

// flush passes on what was held.
func (r *refusalSink) flush() error {
	r.enabled = false
	held := r.held
	r.held = nil
	for len(held) > 0 {
		size := int(binary.BigEndian.Uint32(held[1:]))
		if err := r.sink.Send(held[0], held[5:5+size]); err != nil {
			return err
		}
		held = held[5+size:]
	}
	return nil
}

// isPreliminary reports whether a message says nothing yet about the success of
// a statement.
func isPreliminary(messageType byte) bool {
	switch messageType {
	case '1', '2', '3', 't', 'T', 'n', 'N', 'S':
		return true
	}
	return false
}

// refusalOf tells whether an error means that the upstream lost its role. Inside
// a transaction the upstream has rolled back, which the caller learns as such
// and not as a fault of its own statement.
func (r *refusalSink) refusalOf(body []byte) *dfresult.Error {
	state := sqlState(body)
	switch {
	case r.aborted:
		return nil
	case r.later && (state == stateReadOnly || state == stateNotInRole || state == stateAborted):
		return dfresult.NewError(dfresult.TransactionLost, "the primary was replaced")
	case state == stateReadOnly:
		return dfresult.NewError(dfresult.NeedsPrimary, "refused by a replica")
	case state == stateNotInRole:
		return dfresult.NewError(dfresult.TermSuperseded, "the upstream is not in its role any more")
	}
	return nil
}

// sqlState finds the SQLSTATE among the fields of an ErrorResponse.
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
