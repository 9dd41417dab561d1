package dfwire

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfframe"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfunit"
)

// caller is one connection of a caller. One goroutine serves it.
type caller struct {
	server *Server
	ctx    context.Context
	stop   context.CancelFunc
	// raw is the accepted stream; stream is raw or encrypts it.
	raw    net.Conn
	stream net.Conn
	reader *dfframe.Reader
	writer *dfframe.Writer
	index  uint32
	secret uint32
	// excess callers are only told that the host is full.
	excess    bool
	encrypted bool

	// mutex guards session and waiting, which other goroutines use.
	mutex   sync.Mutex
	session Session
	// waiting is true while the goroutine waits for the first byte of a message.
	waiting bool
	// expired is true once the drain bound passed.
	expired bool
	// busy is true from the first message of a batch to ReadyForQuery outside of
	// a transaction.
	busy atomic.Bool

	// status is the transaction status that the caller was told.
	status byte
	// failed is true if a transaction was lost that the caller has not ended.
	failed bool
	// endBound is true once a statement that ends the lost transaction is bound.
	endBound bool
	// skipping is true after an error until Sync.
	skipping bool
	// copyIn is true while the caller may send COPY data; copySimple is true if
	// a Query began it.
	copyIn     bool
	copySimple bool
	// sentError is true if the running batch was answered by an error.
	sentError bool
	// parsed and closed count the Parse and Close messages of the running batch
	// that were carried out.
	parsed, closed int
	collected      collector
	statements     prepared
	scratch        []byte
}

func newCaller(server *Server, stream net.Conn) *caller {
	ctx, stop := context.WithCancel(server.ctx)
	c := &caller{server: server, ctx: ctx, stop: stop, raw: stream, status: 'I'}
	c.statements.named = map[string]*dfunit.Statement{}
	c.attach(stream)
	var secret [4]byte
	_, _ = rand.Read(secret[:])
	c.secret = binary.BigEndian.Uint32(secret[:])
	return c
}

// attach reads and writes through the stream from now on.
func (c *caller) attach(stream net.Conn) {
	c.stream = stream
	c.reader = dfframe.NewReader(stream, c.server.config.MaxMessageBytes)
	c.writer = dfframe.NewWriter(timedWriter{stream: stream, bound: span(c.server.config.WriteTimeout)})
}

// timedWriter bounds each write.
type timedWriter struct {
	stream net.Conn
	bound  time.Duration
}

// Write writes within the bound.
func (w timedWriter) Write(bytes []byte) (int, error) {
	if err := w.stream.SetWriteDeadline(time.Now().Add(w.bound)); err != nil {
		return 0, err
	}
	return w.stream.Write(bytes)
}

func span(millis dfclock.Millis) time.Duration {
	return time.Duration(millis) * time.Millisecond
}

func (c *caller) key() Key {
	return Key{PID: uint32(c.server.config.Host)<<indexBits | c.index, Secret: c.secret}
}

func (c *caller) setSession(session Session) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.session = session
}

// cancel passes a cancel to the session if the secret is right.
func (c *caller) cancel(secret uint32) bool {
	if !sameSecret(secret, c.secret) {
		return false
	}
	c.mutex.Lock()
	session := c.session
	c.mutex.Unlock()
	if session != nil {
		session.Cancel()
	}
	return true
}

// report sends a parameter to the caller.
func (c *caller) report(name, value string) error {
	return c.write(&pgproto3.ParameterStatus{Name: name, Value: value})
}

// serve runs the connection to its end.
func (c *caller) serve() {
	defer func() { _ = c.stream.Close() }()
	defer c.stop()
	opened := c.open()
	if c.session != nil {
		defer c.closeSession()
	}
	if opened {
		c.loop()
	}
}

func (c *caller) closeSession() {
	session := c.session
	c.setSession(nil)
	session.Close()
}

// loop handles messages until the caller or the server ends the connection.
func (c *caller) loop() {
	for c.await() {
		messageType, body, err := c.reader.Next()
		if err != nil {
			c.endRead(err)
			return
		}
		if messageType == 'X' {
			return
		}
		if err := c.take(messageType, body); err != nil {
			c.end(err)
			return
		}
	}
}

// await waits for a message. It returns false if the connection ended.
func (c *caller) await() bool {
	for c.reader.Buffered() == 0 {
		if !c.collected.empty() {
			// A batch was begun, so a drain and the idle bound have to wait.
			return c.reader.Wait() == nil
		}
		if c.server.draining.Load() && !c.busy.Load() {
			c.fatal(errorResponse("FATAL", dfresult.NewError(dfresult.HostDraining, "connect again to reach another host")))
			return false
		}
		bound := c.beginWait()
		err := c.reader.Wait()
		expired := c.endWait()
		switch {
		case err == nil:
			return true
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return false
		case expired:
			c.fatal(errorResponse("FATAL", dfresult.NewError(dfresult.HostDraining, "the bound of the shutdown passed")))
			return false
		case bound > 0 && !c.server.draining.Load():
			c.endIdle()
			return false
		}
	}
	return true
}

// beginWait lets a drain interrupt the wait, and sets the idle bound.
func (c *caller) beginWait() time.Duration {
	bound := span(c.server.config.IdleTimeout)
	if c.busy.Load() {
		bound = span(c.server.config.TransactionIdleTimeout)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.waiting = true
	switch {
	case c.expired, c.server.draining.Load() && !c.busy.Load():
		_ = c.stream.SetReadDeadline(time.Unix(1, 0))
	case bound > 0:
		_ = c.stream.SetReadDeadline(time.Now().Add(bound))
	}
	return bound
}

// endWait keeps a drain from interrupting the message that begins. It reports
// whether the drain bound passed.
func (c *caller) endWait() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.waiting = false
	if !c.expired {
		_ = c.stream.SetReadDeadline(time.Time{})
	}
	return c.expired
}

// interrupt wakes a waiting caller for a drain.
func (c *caller) interrupt() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.waiting {
		_ = c.stream.SetReadDeadline(time.Unix(1, 0))
	}
}

// expire ends the caller after the drain bound.
func (c *caller) expire() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.expired = true
	_ = c.stream.SetReadDeadline(time.Unix(1, 0))
	c.stop()
}

// endIdle tells a caller that was idle for too long.
func (c *caller) endIdle() {
	if c.status == 'I' {
		c.fatal(plainError("FATAL", stateIdle, "the connection was idle for too long"))
		return
	}
	c.fatal(plainError("FATAL", stateTransactionIdle, "the transaction was idle for too long"))
}

// endRead ends the connection after a message that cannot be read.
func (c *caller) endRead(err error) {
	switch {
	case eris.Is(err, dfframe.ErrTooLarge):
		c.end(dfresult.NewError(dfresult.MessageTooLarge, "the limit is %d bytes", c.server.config.MaxMessageBytes))
	case eris.Is(err, dfframe.ErrMalformed):
		c.end(dfresult.NewError(dfresult.ProtocolViolation, "the length is malformed"))
	}
}

// end tells the caller why its connection ends, if it was its own fault.
func (c *caller) end(err error) {
	var known *dfresult.Error
	if !errors.As(err, &known) {
		return
	}
	malformedMessages.Inc()
	c.fatal(errorResponse("FATAL", known))
}

// linger lets the last error arrive. Closing with unread input would reset the
// connection and could discard the error.
func (c *caller) linger() {
	type closer interface{ CloseWrite() error }
	half, ok := c.stream.(closer)
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, c.raw)
}
