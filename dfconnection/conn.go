// Package dfconnection has the shared connections of one host to one upstream:
// the state that each connection carries between callers, and the pool.
package dfconnection

import (
	"errors"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfpool"
	"dragonflygrade/dfstatement"
)

const (
	// maxPlans bounds the prepared statements of one connection; beyond it the
	// connection is reset.
	maxPlans = 200
	// probeTimeout bounds the answer of a suspect connection: some round trips
	// and a full queue of slots.
	probeTimeout = 400 * dfclock.Millisecond
)

// Wire is the codec of one connection to an upstream.
type Wire interface {
	// Send writes calls without waiting for their answers.
	Send(calls []dfstatement.Call) error
	// Receive reads the answer of one call.
	Receive() (dfstatement.Answer, error)
	// Report reads the answer of a status call.
	Report(answer dfstatement.Answer) (dfstatement.Report, error)
	// Deadline bounds what follows; zero removes the bound.
	Deadline(at time.Time) error
	Close() error
}

// Context is the part of a caller's session that a connection must match while
// it runs the caller's statements. It belongs to one session.
type Context struct {
	Values map[string]string
	Plans  map[string]dfstatement.Plan
}

// NewContext returns the context of a new session.
func NewContext() *Context {
	return &Context{Values: map[string]string{}, Plans: map[string]dfstatement.Plan{}}
}

// Conn is one open connection. It is used by one goroutine at a time.
type Conn struct {
	id       dfpool.ConnID
	upstream dffleet.ID
	wire     Wire
	raw      syscall.Conn
	// values and plans are what the upstream keeps for the connection.
	values map[string]string
	plans  map[dfstatement.Plan]string
	// state is that of the newest answer.
	state dfstatement.State
	// doubtful is true if values are unknown, so that a reset comes first.
	doubtful bool
	// touched is true if a value was set inside the open transaction.
	touched bool
}

// New returns a connection over an opened wire. raw may be nil.
func New(upstream dffleet.ID, wire Wire, raw net.Conn) *Conn {
	conn := &Conn{
		upstream: upstream, wire: wire,
		values: map[string]string{}, plans: map[dfstatement.Plan]string{},
	}
	conn.raw, _ = raw.(syscall.Conn)
	return conn
}

// Upstream returns the upstream at the other end.
func (c *Conn) Upstream() dffleet.ID {
	return c.upstream
}

// Report reads the answer of a status call.
func (c *Conn) Report(answer dfstatement.Answer) (dfstatement.Report, error) {
	return c.wire.Report(answer)
}

// needsReset tells whether the connection carries state that the context lacks.
func (c *Conn) needsReset(context *Context) bool {
	if c.doubtful || len(c.plans) >= maxPlans {
		return true
	}
	for name := range c.values {
		if _, wanted := context.Values[name]; !wanted {
			return true
		}
	}
	return false
}

// adapt returns the statements that bring the connection to a context before a
// call, and the call as the upstream knows it.
func (c *Conn) adapt(context *Context, call dfstatement.Call) ([]dfstatement.Call, dfstatement.Call) {
	var prelude []dfstatement.Call
	if c.needsReset(context) {
		prelude = append(prelude, dfstatement.Call{Statement: dfstatement.Reset{}})
		c.values, c.plans, c.doubtful = map[string]string{}, map[dfstatement.Plan]string{}, false
	}
	for name, value := range context.Values {
		if known, ok := c.values[name]; ok && known == value {
			continue
		}
		prelude = append(prelude, dfstatement.Call{Statement: dfstatement.Set{Name: name, Value: value}})
		c.values[name] = value
	}
	execute, ok := call.Statement.(dfstatement.Execute)
	if !ok {
		return prelude, call
	}
	plan := context.Plans[execute.Name]
	name, known := c.plans[plan]
	if !known {
		name = "p" + strconv.Itoa(len(c.plans)+1)
		c.plans[plan] = name
		prelude = append(prelude, dfstatement.Call{Statement: dfstatement.Prepare{Name: name, Plan: plan}})
	}
	call.Text = ""
	call.Statement = dfstatement.Execute{Name: name, Arguments: execute.Arguments}
	return prelude, call
}

// Exchange sends calls in one write and returns their answers. The context is
// that of the caller, or nil for statements of the host; what it asks for goes
// ahead of all calls. Sent is false if no byte can have reached the upstream.
func (c *Conn) Exchange(context *Context, deadline time.Time, calls ...dfstatement.Call) (answers []dfstatement.Answer, sent bool, err error) {
	var all []dfstatement.Call
	adapted := make([]dfstatement.Call, 0, len(calls))
	for _, call := range calls {
		if context != nil && needsContext(call.Statement) {
			var prelude []dfstatement.Call
			prelude, call = c.adapt(context, call)
			all = append(all, prelude...)
		}
		adapted = append(adapted, call)
	}
	preludes := len(all)
	c.touched = c.touched || preludes > 0 && c.state == dfstatement.InTransaction
	all = append(all, adapted...)
	if err := c.wire.Deadline(deadline); err != nil {
		return nil, false, eris.Wrap(err, "connection: deadline")
	}
	if err := c.wire.Send(all); err != nil {
		return nil, true, eris.Wrap(err, "connection: send")
	}
	answers = make([]dfstatement.Answer, 0, len(calls))
	for i := range all {
		answer, err := c.wire.Receive()
		if err != nil {
			return answers, true, eris.Wrap(err, "connection: receive")
		}
		c.state = answer.State
		if i >= preludes {
			answers = append(answers, answer)
			continue
		}
		if !answer.OK() {
			return answers, true, eris.Errorf("connection: session state was refused: %s", answer.Detail)
		}
	}
	return answers, true, nil
}

// State returns the transaction state of the newest answer.
func (c *Conn) State() dfstatement.State {
	return c.state
}

// RolledBack notes that the open transaction was undone. The upstream may have
// undone values that were set inside it.
func (c *Conn) RolledBack() {
	c.doubtful = c.doubtful || c.touched
	c.touched = false
}

// Committed notes that the open transaction was kept.
func (c *Conn) Committed() {
	c.touched = false
}

// needsContext tells whether session values can change what a statement does.
func needsContext(statement dfstatement.Statement) bool {
	switch statement.(type) {
	case dfstatement.Read, dfstatement.Write, dfstatement.Execute, dfstatement.Commit:
		return true
	}
	return false
}

// Closed reports whether the upstream has closed the connection while it was
// idle. A statement that is sent on such a connection would be in doubt.
func (c *Conn) Closed() bool {
	return c.raw != nil && PeerClosed(c.raw)
}

// PeerClosed reports whether the other side has closed an idle connection, or
// sent what nobody asked for.
func PeerClosed(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(descriptor uintptr) {
		var one [1]byte
		n, _, failure := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = n > 0 || failure == nil || !eris.Is(failure, unix.EAGAIN)
	})
	return closed || err != nil
}

// IsTimeout reports whether an exchange failed because nothing arrived in time.
func IsTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// deadlineAfter translates a span from now for the network.
func deadlineAfter(span dfclock.Millis) time.Time {
	return time.Now().Add(time.Duration(span) * time.Millisecond)
}

// Close closes a connection that belongs to no pool.
func (c *Conn) Close() {
	closeWire(c)
}
