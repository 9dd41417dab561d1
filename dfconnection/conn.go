// Package dfconnection implements the connection pool of a host for an
// upstream. It tracks the session state of each connection and adapts it to the
// caller whose statements run next.
package dfconnection

import (
	"errors"
	"net"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfadmission"
	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfpool"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfstatement"
)

const (
	// maxPlans bounds the prepared statements of a connection. A connection that
	// has reached it is reset.
	maxPlans = 200
	// probeTimeout bounds the probe of a suspect connection. It allows for a few
	// round trips and a full queue at the upstream's slots.
	probeTimeout = 400 * dfclock.Millisecond
)

// Transport encodes and decodes the messages of one connection to an upstream.
type Transport interface {
	// Send writes calls without waiting for their answers. If the error is a
	// *dfresult.Error, nothing was sent and the connection can be used further.
	Send(calls []dfstatement.Call) error
	// Receive reads the answer to one call.
	Receive() (dfstatement.Answer, error)
	// Pending reports whether data was received that no answer has used.
	Pending() bool
	// Report decodes the answer to a status call.
	Report(answer dfstatement.Answer) (dfstatement.Report, error)
	// Deadline sets the deadline of further reads and writes; the zero time removes
	// it.
	Deadline(at time.Time) error
	Close() error
}

// SessionState is the part of a caller's session that a connection must match
// while it runs the caller's statements. It belongs to one session.
type SessionState struct {
	// Values has the session variables by name.
	Values map[string]string
	// Plans has the prepared statements by the name that the caller gave them.
	Plans map[string]dfstatement.Plan
}

// NewSessionState returns the state of a new session.
func NewSessionState() *SessionState {
	return &SessionState{Values: map[string]string{}, Plans: map[string]dfstatement.Plan{}}
}

// Conn is one open connection. It is used by one goroutine at a time.
type Conn struct {
	id        dfpool.ConnID
	upstream  dffleet.ID
	transport Transport
	raw       syscall.Conn
	// values and plans are the session variables and prepared statements that the
	// upstream holds for the connection.
	values map[string]string
	plans  map[dfstatement.Plan]string
	// state is the transaction state of the newest answer.
	state dfstatement.State
	// stateUnknown is true if values may differ from those at the upstream, so that
	// the connection must be reset before it runs statements of a session.
	stateUnknown bool
	// admission has admitted the holder's statement, or is nil. admitted ends the
	// admission; it is nil once the statement has ended.
	admission *dfadmission.Controller
	admitted  dfadmission.Release
	// recorder counts answers, or is nil.
	recorder *recorder
	// setInTransaction is true if session state was set inside the open transaction.
	setInTransaction bool
	// history has the newest answers. outOfStep is true once an answer came that was not
	// due. The connection is then used by its holder at most.
	history   history
	outOfStep bool
	// failedAlike is true if the newest answer is a failure like an earlier one.
	failedAlike bool
}

// New returns a connection over an open transport. raw is the network connection
// below it; if it is nil, an upstream that closes the idle connection is not
// detected.
func New(upstream dffleet.ID, transport Transport, raw net.Conn) *Conn {
	conn := &Conn{
		upstream: upstream, transport: transport, state: dfstatement.Idle,
		values: map[string]string{}, plans: map[dfstatement.Plan]string{},
	}
	conn.raw, _ = raw.(syscall.Conn)
	return conn
}

// Upstream returns the ID of the upstream.
func (c *Conn) Upstream() dffleet.ID {
	return c.upstream
}

// Report decodes the answer to a status call.
func (c *Conn) Report(answer dfstatement.Answer) (dfstatement.Report, error) {
	return c.transport.Report(answer)
}

// needsReset reports whether the connection must be reset before it runs
// statements of a session: it has variables that the session has not set,
// unknown state, or too many prepared statements.
func (c *Conn) needsReset(session *SessionState) bool {
	if c.stateUnknown || len(c.plans) >= maxPlans {
		return true
	}
	for name := range c.values {
		if _, wanted := session.Values[name]; !wanted {
			return true
		}
	}
	return false
}

// applySession returns the statements that give the connection the state of a
// session before a call, and the call with the upstream's name of its prepared
// statement.
func (c *Conn) applySession(session *SessionState, call dfstatement.Call) ([]dfstatement.Call, dfstatement.Call) {
	var setup []dfstatement.Call
	if c.needsReset(session) {
		setup = append(setup, dfstatement.Call{Statement: dfstatement.Reset{}})
		c.values, c.plans, c.stateUnknown = map[string]string{}, map[dfstatement.Plan]string{}, false
	}
	for name, value := range session.Values {
		if known, ok := c.values[name]; ok && known == value {
			continue
		}
		setup = append(setup, dfstatement.Call{Statement: dfstatement.Set{Name: name, Value: value}})
		c.values[name] = value
	}
	execute, ok := call.Statement.(dfstatement.Execute)
	if !ok {
		return setup, call
	}
	plan := session.Plans[execute.Name]
	name, known := c.plans[plan]
	if !known {
		name = "p" + strconv.Itoa(len(c.plans)+1)
		c.plans[plan] = name
		setup = append(setup, dfstatement.Call{Statement: dfstatement.Prepare{Name: name, Plan: plan}})
	}
	call.Statement = dfstatement.Execute{Name: name, Arguments: execute.Arguments}
	return setup, call
}

// Exchange sends calls in one write and returns their answers. session is the
// state of the caller's session, or nil for statements of the host; statements
// that apply it are sent before all calls. sent is false if the upstream cannot
// have run any of the calls. After an error, the answers may belong to other calls.
func (c *Conn) Exchange(session *SessionState, deadline time.Time, calls ...dfstatement.Call) (answers []dfstatement.Answer, sent bool, err error) {
	if slices.ContainsFunc(calls, takesSlot) {
		c.startStatement()
		defer c.endStatement()
	}
	defer func() { c.recorder.record(outcomeOf(calls, answers, sent, err)) }()
	var all []dfstatement.Call
	translated := make([]dfstatement.Call, 0, len(calls))
	for _, call := range calls {
		if session != nil && usesSessionState(call.Statement) {
			var setup []dfstatement.Call
			setup, call = c.applySession(session, call)
			all = append(all, setup...)
		}
		translated = append(translated, call)
	}
	c.setInTransaction = c.setInTransaction || len(all) > 0 && c.state == dfstatement.InTransaction
	if err := c.transport.Deadline(deadline); err != nil {
		return nil, false, eris.Wrap(err, "connection: set deadline")
	}
	if awaitsSetup(all, calls) {
		if err := c.setUp(all); err != nil {
			return nil, false, err
		}
		all = nil
	}
	setupCount := len(all)
	all = append(all, translated...)
	if err := c.dropUnread(); err != nil {
		c.stateUnknown = c.stateUnknown || setupCount > 0
		return nil, false, err
	}
	if err := c.transport.Send(all); err != nil {
		var unsendable *dfresult.Error
		notSent := errors.As(err, &unsendable)
		c.stateUnknown = c.stateUnknown || notSent && setupCount > 0
		return nil, !notSent, eris.Wrap(err, "connection: send")
	}
	answers = make([]dfstatement.Answer, 0, len(calls))
	var refused error
	for i, call := range all {
		answer, err := c.receive(call.Statement)
		if err != nil {
			return answers, true, err
		}
		if i >= setupCount {
			answers = append(answers, answer)
			continue
		}
		if !answer.OK() && refused == nil {
			refused = c.refuseSetup(answer)
		}
	}
	if refused != nil {
		return answers, hasRun(calls, answers), refused
	}
	return answers, true, c.confirmFailure(all[len(all)-1])
}

// awaitsSetup reports whether the answers to the statements that apply session state are
// awaited before the calls are sent, because the calls would run although the upstream
// refused them. A BEGIN has no effect, and a prepared statement that was refused is
// unknown to the call that executes it.
func awaitsSetup(setup, calls []dfstatement.Call) bool {
	if _, begins := calls[0].Statement.(dfstatement.Begin); begins {
		return false
	}
	return slices.ContainsFunc(setup, func(call dfstatement.Call) bool {
		_, prepares := call.Statement.(dfstatement.Prepare)
		return !prepares
	})
}

// hasRun reports whether one of the calls ran or may have run. The opening and the
// rollback of a transaction leave nothing behind.
func hasRun(calls []dfstatement.Call, answers []dfstatement.Answer) bool {
	for i, call := range calls {
		switch call.Statement.(type) {
		case dfstatement.Begin, dfstatement.Rollback:
			continue
		}
		if answers[i].OK() || answers[i].Code.Outcome() != dfresult.NotRun {
			return true
		}
	}
	return false
}

// setUp sends the statements that apply session state and waits for their answers.
func (c *Conn) setUp(setup []dfstatement.Call) error {
	if err := c.dropUnread(); err != nil {
		return err
	}
	if err := c.transport.Send(setup); err != nil {
		c.stateUnknown = true
		return eris.Wrap(err, "connection: send session state")
	}
	var refused error
	for _, call := range setup {
		answer, err := c.receive(call.Statement)
		if err != nil {
			return err
		}
		if !answer.OK() && refused == nil {
			refused = c.refuseSetup(answer)
		}
	}
	return refused
}

// refuseSetup records that the upstream refused session state and returns the error. All
// answers are read nevertheless, so that the connection can be used again.
func (c *Conn) refuseSetup(answer dfstatement.Answer) error {
	c.stateUnknown = true
	return dfresult.NewError(dfresult.SessionRefused, "%s", answer.Detail)
}

// startStatement admits the further statements of a transaction without queueing: the
// sooner it ends, the sooner its connection and its locks are free.
func (c *Conn) startStatement() {
	if c.admission != nil && c.admitted == nil {
		c.admitted = c.admission.Start()
	}
}

// endStatement ends the admission of a statement, if one is admitted.
func (c *Conn) endStatement() {
	if c.admitted != nil {
		c.admitted(false)
		c.admitted = nil
	}
}

// takesSlot reports whether a call takes a slot of the upstream while it runs.
func takesSlot(call dfstatement.Call) bool {
	switch call.Statement.(type) {
	case dfstatement.Read, dfstatement.Write, dfstatement.Execute, dfstatement.Commit, dfstatement.Status:
		return true
	}
	return false
}

// State returns the transaction state of the newest answer.
func (c *Conn) State() dfstatement.State {
	return c.state
}

// recordState records the transaction state after a statement. Unless a commit ended the
// transaction, the upstream may have rolled back session state that was set inside it.
func (c *Conn) recordState(statement dfstatement.Statement, answer dfstatement.Answer) {
	c.state = answer.State
	if c.state != dfstatement.Idle || !c.setInTransaction {
		return
	}
	_, commits := statement.(dfstatement.Commit)
	c.stateUnknown = c.stateUnknown || !commits || !answer.OK()
	c.setInTransaction = false
}

// usesSessionState reports whether session state is applied before a statement. Before a
// BEGIN it needs no wait of its own, and no rollback undoes it.
func usesSessionState(statement dfstatement.Statement) bool {
	switch statement.(type) {
	case dfstatement.Begin, dfstatement.Read, dfstatement.Write, dfstatement.Execute, dfstatement.Commit:
		return true
	}
	return false
}

// usable reports whether the upstream has neither closed the idle connection nor sent
// anything on it. The outcome of a statement that is sent on a closed connection would
// be unknown, and unread data would be taken for its answer.
func (c *Conn) usable() bool {
	state := peerQuiet
	if c.raw != nil {
		state = peek(c.raw)
	}
	if state == peerSent || c.transport.Pending() {
		reportOutOfStep(c.upstream, unread, nil)
		return false
	}
	return state == peerQuiet
}

// hasUnread reports whether data has arrived on the idle connection, in the codec or in
// the kernel.
func (c *Conn) hasUnread() bool {
	return c.transport.Pending() || c.raw != nil && peek(c.raw) == peerSent
}

// PeerClosed reports whether the peer has closed an idle connection or sent
// unexpected data on it.
func PeerClosed(conn syscall.Conn) bool {
	return peek(conn) != peerQuiet
}

// peek returns what the kernel holds of an idle connection.
func peek(conn syscall.Conn) peerState {
	raw, err := conn.SyscallConn()
	if err != nil {
		return peerClosed
	}
	state := peerQuiet
	err = raw.Control(func(fd uintptr) {
		state = peekDescriptor(int(fd))
	})
	if err != nil {
		return peerClosed
	}
	return state
}

// IsTimeout reports whether an exchange failed because of a timeout.
func IsTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// deadlineIn returns the network deadline that ends a timeout starting now.
func deadlineIn(timeout dfclock.Millis) time.Time {
	return time.Now().Add(time.Duration(timeout) * time.Millisecond)
}

// Close closes a connection that does not belong to a pool.
func (c *Conn) Close() {
	closeTransport(c)
}
