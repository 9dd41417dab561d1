package dfupstream

import (
	"bytes"
	"context"
	"errors"
	"os"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"dragonflygrade/dfframe"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfunit"
)

// positionQuery asks for the log position behind the last commit.
const positionQuery = "SELECT group_position()"

// exchange is the state of one batch.
type exchange struct {
	options Options
	sink    dfunit.Sink
	// bound is true after a Bind of this batch.
	bound bool
	// mayCopyIn is true if the upstream may wait for COPY data, during which no
	// position query may follow.
	mayCopyIn bool
	// partial is true if a portal may stay open for more of its rows.
	partial bool
	// committed is true after the tag of a commit; failed after an error.
	committed bool
	failed    bool
	// gated is true if the end of the answer waits for the gate.
	gated bool
	// holding is true once the first completion arrived; replies are then kept
	// in held.
	holding bool
	held    []byte
	// position and asked tell the answer of the position query.
	position dfposition.Position
	asked    bool
	// inside is true if the batch began in an explicit transaction that it
	// cannot end.
	inside bool
	// sent is true once a byte of the batch may have left.
	sent bool
	// ended has the status of the caller's last ReadyForQuery, or zero.
	ended byte
	// writing returns the error of a write that runs beside the reading.
	writing chan error
}

// Exchange sends the batch and passes the replies on until the batch ends. An
// error is a *dfresult.Error. After most errors the connection is closed; after
// an error of the gate it stays usable.
func (c *Conn) Exchange(ctx context.Context, batch dfunit.Batch, sink dfunit.Sink, options Options) (dfunit.Result, error) {
	c.batch = exchange{options: options, sink: sink, held: c.batch.held[:0]}
	wasUnfinished := c.unfinished
	if c.Broken() {
		c.batch.inside = c.status != 'I' && !c.mayEnd
		return dfunit.Result{}, c.lost(ctx, errClosed, wasUnfinished)
	}
	if err := c.encode(batch); err != nil {
		// Closing messages for old statements may be among those not sent.
		c.Close()
		return dfunit.Result{}, dfresult.NewError(dfresult.ProtocolViolation, "%v", err)
	}
	c.planEnd(batch)
	c.sequence++
	c.running.Store(c.sequence)
	stop := c.begin(ctx)
	c.watchSilence(options)
	err := c.perform(batch)
	if c.endWatch() && err != nil {
		c.silent.Store(true)
		err = errSilent
	}
	c.finishRunning()
	if !stop() && err == nil {
		err = eris.New("the context ended")
	}
	if err != nil {
		return dfunit.Result{}, c.lost(ctx, err, wasUnfinished)
	}
	c.shrink()
	if err := c.release(ctx); err != nil {
		return dfunit.Result{}, err
	}
	return dfunit.Result{
		Status:   c.batch.ended,
		CopyIn:   c.copyIn,
		Pinned:   c.state == Pin,
		Position: c.batch.position,
	}, nil
}

// planEnd decides whether the batch is gated and whether the position query
// goes out in the same write.
func (c *Conn) planEnd(batch dfunit.Batch) {
	c.batch.inside = c.status != 'I' && !c.mayEnd
	c.batch.gated = c.batch.options.Gate != nil && !c.batch.inside
	if c.wantsIdentity(batch) {
		c.appendIdentity()
	}
	if c.batch.inside || c.skipping {
		c.batch.options.Position = false
	}
	last := batch.Messages[len(batch.Messages)-1].Type
	if !c.batch.options.Position || c.batch.mayCopyIn || oneOf(last, "Hdcf") {
		return
	}
	c.appendPosition()
}

func (c *Conn) appendPosition() {
	c.batch.asked = true
	c.out = appendQuery(c.out, positionQuery)
	c.statements.hasUnnamed = false
	c.queue.push(expected{kind: replyPosition, injected: true})
}

// begin applies the context to the stream.
func (c *Conn) begin(ctx context.Context) func() bool {
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.stream.SetDeadline(deadline)
	}
	return watch(ctx, c.giveUp)
}

// finishRunning waits for a cancel that is being sent, so that it cannot hit a
// later batch.
func (c *Conn) finishRunning() {
	c.running.Store(0)
	c.cancelling.Lock()
	c.cancelling.Unlock() //nolint:staticcheck // waits only
}

func (c *Conn) perform(batch dfunit.Batch) error {
	if err := c.write(); err != nil {
		return err
	}
	if c.copyIn && batch.Messages[len(batch.Messages)-1].Type == 'd' {
		// The next batch reuses the output buffer.
		return c.settleWrite()
	}
	c.copyIn = false
	if err := c.receive(); err != nil {
		return err
	}
	if c.wantsLatePosition() {
		c.out = c.out[:0]
		c.appendPosition()
		if err := c.write(); err != nil {
			return err
		}
		if err := c.receive(); err != nil {
			return err
		}
	}
	return nil
}

// wantsLatePosition reports whether the position has to be asked for behind
// the batch.
func (c *Conn) wantsLatePosition() bool {
	if !c.batch.options.Position || c.batch.asked || c.copyIn || c.skipping {
		return false
	}
	return c.batch.committed || c.batch.ended == 'I' && !c.batch.failed
}

// write sends the output buffer, beside the reading if it is large.
func (c *Conn) write() error {
	if len(c.out) == 0 {
		return nil
	}
	c.unfinished = true
	if len(c.out) <= inlineWriteBytes {
		c.guard.waiting.Store(true)
		n, err := c.stream.Write(c.out)
		c.guard.waiting.Store(false)
		c.batch.sent = c.batch.sent || n > 0
		return err
	}
	c.batch.sent = true
	done := make(chan error, 1)
	c.batch.writing = done
	go func() {
		_, err := c.stream.Write(c.out)
		if err != nil {
			// The reader would otherwise wait for replies to lost messages.
			_ = c.stream.SetReadDeadline(time.Unix(1, 0))
		}
		done <- err
	}()
	return nil
}

// settleWrite waits for a write that runs beside the reading.
func (c *Conn) settleWrite() error {
	if c.batch.writing == nil {
		return nil
	}
	err := <-c.batch.writing
	c.batch.writing = nil
	return err
}

// receive reads replies until none is due or the upstream waits for COPY data.
func (c *Conn) receive() error {
	for {
		if err := c.passMade(); err != nil {
			return err
		}
		if c.queue.empty() || c.copyIn {
			return c.settleWrite()
		}
		c.guard.waiting.Store(true)
		messageType, body, err := c.reader.Next()
		c.guard.waiting.Store(false)
		if err != nil {
			return eris.Wrap(err, "read")
		}
		c.guard.heard.Add(1)
		if err := c.take(messageType, body); err != nil {
			return err
		}
	}
}

// passMade gives the answers that need no reply of the upstream.
func (c *Conn) passMade() error {
	for !c.queue.empty() && c.queue.first().kind == replyMade {
		made := c.queue.first().made
		c.queue.pop()
		if err := c.pass(made, nil); err != nil {
			return err
		}
	}
	return nil
}

// take matches one reply with the answer that is due.
func (c *Conn) take(messageType byte, body []byte) error {
	switch messageType {
	case 'N', 'S', 'A':
		if messageType == 'S' && c.queue.first().injected {
			return nil
		}
		return c.pass(messageType, body)
	case 'E':
		return c.takeError(body)
	}
	due := c.queue.first()
	if !due.accepts(messageType) {
		return eris.Errorf("reply %q does not match the message sent", messageType)
	}
	injected := due.injected
	if err := c.record(due, messageType, body); err != nil {
		return err
	}
	if due.completes(messageType) {
		c.queue.pop()
	}
	if injected {
		return nil
	}
	return c.pass(messageType, body)
}

// record updates the state of the connection from a reply.
func (c *Conn) record(due *expected, messageType byte, body []byte) error {
	switch messageType {
	case '1':
		c.confirm(due)
	case 'C':
		c.recordTag(body)
	case 'D':
		switch due.kind {
		case replyPosition:
			return c.recordPosition(body)
		case replyIdentity:
			return c.recordIdentity(body)
		}
	case 'G':
		if c.batch.committed && c.batch.gated {
			return eris.New("COPY behind a commit in one message is not supported")
		}
		c.queue.dropBehindCopy()
		c.copyIn = true
	case 'W':
		return eris.New("the replication protocol is not supported")
	case 'Z':
		return c.recordReady(due, body)
	}
	return nil
}

func (c *Conn) confirm(due *expected) {
	if !due.named {
		return
	}
	prepared, ok := c.statements.lookup(due.key)
	if !ok {
		prepared = c.statements.add(due.key)
	}
	prepared.confirmed = true
}

// recordTag notices commits and the loss of prepared statements.
func (c *Conn) recordTag(body []byte) {
	tag := bytes.TrimSuffix(body, []byte{0})
	switch string(tag) {
	case "DISCARD ALL":
		c.state = None
		c.statements.forget()
	case "DEALLOCATE ALL":
		c.statements.forget()
	case "COMMIT", "PREPARE TRANSACTION", "COMMIT PREPARED":
		c.batch.committed = true
	}
}

// recordPosition reads a row of one text column.
func (c *Conn) recordPosition(body []byte) error {
	var row pgproto3.DataRow
	if err := row.Decode(body); err != nil {
		return eris.Wrap(err, "position")
	}
	if len(row.Values) != 1 {
		return eris.New("position has not one column")
	}
	position, err := dfposition.ParsePosition(string(row.Values[0]))
	if err != nil {
		return err
	}
	c.batch.position = position
	return nil
}

func (c *Conn) recordReady(due *expected, body []byte) error {
	if len(body) != 1 || !oneOf(body[0], "ITE") {
		return eris.New("ReadyForQuery is malformed")
	}
	c.status = body[0]
	if !due.injected {
		c.batch.ended = body[0]
	}
	if c.status == 'I' || c.mayEnd {
		// Another transaction may have begun in the same batch.
		c.identity = Identity{}
	}
	last := c.queue.head == len(c.queue.items)-1
	if last {
		c.unfinished = false
		c.mayEnd = false
	}
	return nil
}

// adminShutdown is the SQLSTATE of a connection that an administrator ended.
const adminShutdown = "57P01"

// takeError handles an ErrorResponse. The upstream then ignores extended
// messages up to Sync.
func (c *Conn) takeError(body []byte) error {
	severity, code := errorFields(body)
	if severity == "FATAL" || severity == "PANIC" {
		if code == adminShutdown {
			c.terminated.Store(true)
		}
		return eris.Wrap(refusal(body), "the upstream ended the connection")
	}
	due := c.queue.first()
	if due.kind == replyPosition || due.kind == replyIdentity {
		return nil
	}
	c.batch.failed = true
	if err := c.pass('E', body); err != nil {
		return err
	}
	if due.ready() {
		return nil
	}
	c.statements.forgetPending()
	c.statements.outdated = c.statements.outdated || due.kind != replyParse && refusesPrepared(code)
	if !c.queue.skipToSync() {
		c.skipping = true
	}
	return nil
}

// errorFields returns severity and SQLSTATE of an ErrorResponse.
func errorFields(body []byte) (severity, code string) {
	for len(body) > 1 {
		field := body[0]
		text, rest, ok := dfframe.CutString(body[1:])
		if !ok {
			break
		}
		switch field {
		case 'V':
			severity = string(text)
		case 'C':
			code = string(text)
		}
		body = rest
	}
	return severity, code
}

// errClosed reports a batch for a connection that is closed.
var errClosed = eris.New("the connection is closed")

// errAnswerTooLarge reports that the held answer exceeds its bound.
var errAnswerTooLarge = eris.New("the held answer exceeds its bound")

// errSink reports that the caller did not take a reply.
var errSink = eris.New("the caller did not take the answer")

// pass gives a reply to the caller, or holds it back for the gate.
func (c *Conn) pass(messageType byte, body []byte) error {
	if c.batch.gated && oneOf(messageType, "CIZ") {
		c.batch.holding = true
	}
	if !c.batch.holding {
		return c.deliver(messageType, body)
	}
	if messageType == 'G' {
		return errors.Join(c.flushHeld(), c.deliver(messageType, body))
	}
	if len(c.batch.held)+len(body) > c.config.HoldBytes {
		return errAnswerTooLarge
	}
	c.batch.held = dfframe.Append(c.batch.held, messageType, body)
	return nil
}

func (c *Conn) deliver(messageType byte, body []byte) error {
	if err := c.batch.sink.Send(messageType, body); err != nil {
		return eris.Wrap(errSink, err.Error())
	}
	return nil
}

// release calls the gate if the batch committed, and passes the held replies on.
func (c *Conn) release(ctx context.Context) error {
	c.checkEnd()
	commits := c.batch.committed || c.batch.ended == 'I' && !c.batch.failed
	if c.batch.gated && commits && !c.copyIn {
		if err := c.batch.options.Gate(ctx, c.batch.position); err != nil {
			return asResult(err)
		}
	}
	if err := c.flushHeld(); err != nil {
		c.Close()
		return dfresult.NewError(dfresult.ConnectionLost, "%v", err)
	}
	return nil
}

// asResult keeps a result code of the gate unless it states not run: the batch
// has committed at its upstream.
func asResult(err error) error {
	var known *dfresult.Error
	if errors.As(err, &known) && known.Code.Outcome() != dfresult.NotRun {
		return known
	}
	return dfresult.NewError(dfresult.CommitUnknown, "%v", err)
}

// flushHeld passes the held replies on.
func (c *Conn) flushHeld() error {
	rest := c.batch.held
	c.batch.holding = false
	for len(rest) > 0 {
		size := int(uint32(rest[1])<<24|uint32(rest[2])<<16|uint32(rest[3])<<8|uint32(rest[4])) + 1
		if err := c.deliver(rest[0], rest[5:size]); err != nil {
			return err
		}
		rest = rest[size:]
	}
	c.batch.held = c.batch.held[:0]
	if cap(c.batch.held) > keepBufferBytes {
		c.batch.held = nil
	}
	return nil
}

// checkEnd asserts that no reply is due or unread when a batch ended.
func (c *Conn) checkEnd() {
	if c.batch.ended == 0 {
		return
	}
	if !check(c.queue.empty(), "reply queue is empty at ReadyForQuery") {
		c.Close()
	}
}

// shrink frees large buffers and clears the deadline after a batch.
func (c *Conn) shrink() {
	if cap(c.out) > keepBufferBytes {
		c.out = nil
	}
	_ = c.stream.SetDeadline(time.Time{})
}

// lost closes the connection and tells what is known about the batch.
func (c *Conn) lost(ctx context.Context, cause error, wasUnfinished bool) error {
	if errors.Is(cause, os.ErrDeadlineExceeded) && !errors.Is(ctx.Err(), context.Canceled) {
		c.silent.Store(true)
	}
	c.Close()
	_ = c.settleWrite()
	if ctx.Err() != nil {
		cause = eris.Wrap(ctx.Err(), "the request was given up")
	}
	return dfresult.NewError(c.lostCode(cause, wasUnfinished), "%s: %v", c.config.Address, cause)
}

// lostCode never states not run once a byte was sent, unless the upstream
// rolls an explicit transaction back because no commit was sent.
func (c *Conn) lostCode(cause error, wasUnfinished bool) dfresult.Code {
	switch {
	case c.batch.inside:
		return dfresult.TransactionLost
	case !c.batch.sent && !wasUnfinished && c.status == 'I':
		return dfresult.UpstreamRefused
	case !c.batch.sent && !wasUnfinished:
		return dfresult.TransactionLost
	case eris.Is(cause, errAnswerTooLarge):
		return dfresult.AnswerTooLarge
	case c.batch.options.Write || c.mayEnd:
		return dfresult.CommitUnknown
	}
	return dfresult.ConnectionLost
}
