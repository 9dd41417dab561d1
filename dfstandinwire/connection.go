// Package dfstandinwire is the server side of the PostgreSQL protocol, version
// 3, for the upstream stand-in.
package dfstandinwire

import (
	"context"
	"crypto/rand"
	"errors"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfstandinsql"
	"dragonflygrade/dfstandinstore"
)

// SQLSTATE codes of the server.
const (
	codeAdminShutdown = "57P01"
	codeIdleSession   = "57P05"
	codeIdleInTx      = "25P03"
	codeProtocol      = "08P01"
	codePassword      = "28P01"
	codeStatementName = "26000"
	codePortalName    = "34000"
)

// ControlUser is the user of control connections, which the connection limit
// does not count.
const ControlUser = "dragonflygrade_control"

// FaultApplication is the application name of control connections that work on
// in a pause or partition, so that these can be ended.
const FaultApplication = "dragonflygrade_fault"

// copyLimit bounds the data of one COPY in bytes.
const copyLimit = 16 << 20

// Reasons for Interrupt.
var (
	// ErrTerminated tells the client that an administrator ended the connection.
	ErrTerminated = eris.New("terminating connection due to administrator command")
	// ErrStopped ends the connection without a word.
	ErrStopped = eris.New("upstream stops")

	errCancelled = eris.New("canceling statement due to user request")
	errTimeout   = eris.New("canceling statement due to statement timeout")
)

// reported are the settings that the client is told of when they change.
var reported = map[string]string{
	"server_version": "17.0", "server_encoding": "UTF8", "client_encoding": "UTF8", "application_name": "",
	"DateStyle": "ISO, MDY", "integer_datetimes": "on", "standard_conforming_strings": "on", "TimeZone": "UTC",
}

// Socket is the network connection of a client.
type Socket interface {
	net.Conn
	// Started is called with the startup message. An exempt connection is not
	// subject to faults.
	Started(exempt bool)
	// Open waits while a fault holds the connection up; false means that it ended.
	Open() bool
}

// Host is the upstream that a connection belongs to.
type Host interface {
	// Admit registers a connection or refuses it.
	Admit(c *Conn) error
	Release(c *Conn)
	// Find returns an admitted connection, or nil.
	Find(pid uint32) *Conn
	// Environment supplies the functions of the upstream to a connection.
	Environment(c *Conn) dfstandinsql.Environment
}

// Server has what all connections of an upstream share.
type Server struct {
	Host     Host
	Database *dfstandinstore.Database
	// Passwords by user; an empty map trusts every user.
	Passwords map[string]string
	// ConnectTime is spent in each startup of an ordinary connection.
	ConnectTime dfclock.Millis
	// StatementTime is spent in each statement of an ordinary connection.
	StatementTime dfclock.Millis

	pids atomic.Uint32
	// credentials caches the derived keys by user, which take milliseconds each.
	credentials sync.Map
}

// Conn serves one client after its startup.
type Conn struct {
	server  *Server
	socket  Socket
	backend *pgproto3.Backend
	session *dfstandinsql.Session
	pid     uint32
	secret  []byte
	user    string
	// control connections are not counted towards the limit.
	control    bool
	statements map[string]*prepared
	portals    map[string]*portal
	// skipping is true between an error in the extended protocol and Sync.
	skipping bool
	// afterAnswer runs once the present answer is sent or the connection ends.
	afterAnswer []func()

	base context.Context
	mu   sync.Mutex
	// cancel ends the running statement; nil while none runs.
	cancel context.CancelCauseFunc
	// ending is why the connection must end.
	ending      error
	application string
}

// Serve runs a connection until it ends. The context ends statements.
func (s *Server) Serve(ctx context.Context, socket Socket) error {
	return s.newConn(ctx, socket).run()
}

func (s *Server) newConn(ctx context.Context, socket Socket) *Conn {
	secret := make([]byte, 4)
	_, _ = rand.Read(secret)
	return &Conn{server: s, socket: socket, backend: pgproto3.NewBackend(socket, socket), pid: s.pids.Add(1),
		secret: secret, base: ctx, statements: map[string]*prepared{}, portals: map[string]*portal{}}
}

// PID returns the process identity that the client knows.
func (c *Conn) PID() uint32 { return c.pid }

// User returns the user of the startup message.
func (c *Conn) User() string { return c.user }

// Control reports whether this is a control connection.
func (c *Conn) Control() bool { return c.control }

// Socket returns the network connection.
func (c *Conn) Socket() Socket { return c.socket }

// Activity returns the application name and whether a statement runs.
func (c *Conn) Activity() (application string, active bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.application, c.cancel != nil
}

// AfterAnswer runs a function of the present statement once the answer to the
// client's message is sent, or the connection ends before.
func (c *Conn) AfterAnswer(run func()) {
	c.afterAnswer = append(c.afterAnswer, run)
}

func (c *Conn) answered() {
	after := c.afterAnswer
	c.afterAnswer = nil
	for _, run := range after {
		run()
	}
}

// Report tells the client of a changed setting, if it is one of those that
// clients are told of.
func (c *Conn) Report(name, value string) {
	if name == "application_name" {
		c.mu.Lock()
		c.application = value
		c.mu.Unlock()
	}
	for known := range reported {
		if strings.EqualFold(known, name) {
			c.backend.Send(&pgproto3.ParameterStatus{Name: known, Value: value})
		}
	}
}

func (c *Conn) run() error {
	startup, err := c.startup()
	if err != nil || startup == nil {
		return err
	}
	if err := c.authenticate(); err != nil {
		return c.fatal(err)
	}
	if !c.control && c.server.ConnectTime > 0 && !c.pause(c.server.ConnectTime) {
		return ErrStopped
	}
	if err := c.server.Host.Admit(c); err != nil {
		return c.fatal(err)
	}
	defer c.server.Host.Release(c)
	c.open(startup)
	defer c.session.Close()
	defer c.answered()
	if err := c.backend.Flush(); err != nil {
		return eris.Wrap(err, "standin: startup")
	}
	return c.serve()
}

func (c *Conn) pause(span dfclock.Millis) bool {
	timer := time.NewTimer(time.Duration(span) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.base.Done():
		return false
	}
}

// Interrupt ends the running statement and then the connection.
func (c *Conn) Interrupt(reason error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = reason
	if c.cancel != nil {
		c.cancel(reason)
	}
	_ = c.socket.SetReadDeadline(time.Unix(1, 0))
}

func (c *Conn) serve() error {
	for {
		message, err := c.receive()
		if err != nil {
			return err
		}
		if !c.socket.Open() {
			return ErrStopped
		}
		if _, ends := message.(*pgproto3.Terminate); ends {
			return nil
		}
		if err := c.handle(message); err != nil {
			return err
		}
	}
}

// receive waits for a message, for the idle bound or for an administrator.
func (c *Conn) receive() (pgproto3.FrontendMessage, error) {
	setting, code := "idle_session_timeout", codeIdleSession
	if c.session.Status() != 'I' {
		setting, code = "idle_in_transaction_session_timeout", codeIdleInTx
	}
	bound := timeout(c.session.Setting(setting))
	c.mu.Lock()
	ending := c.ending
	if ending == nil {
		deadline := time.Time{}
		if bound > 0 {
			deadline = time.Now().Add(bound)
		}
		_ = c.socket.SetReadDeadline(deadline)
	}
	c.mu.Unlock()
	if ending != nil {
		return nil, c.end(ending)
	}
	message, err := c.backend.Receive()
	c.mu.Lock()
	ending = c.ending
	c.mu.Unlock()
	if ending != nil {
		// A message that arrived together with the end is not run.
		return nil, c.end(ending)
	}
	if err == nil {
		return message, nil
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, c.fatal(dfstandinstore.Errorf(code, "terminating connection due to %s", strings.ReplaceAll(setting, "_", "-")))
	}
	return nil, err
}

func (c *Conn) end(reason error) error {
	if errors.Is(reason, ErrTerminated) {
		return c.fatal(dfstandinstore.Errorf(codeAdminShutdown, "%s", reason.Error()))
	}
	return reason
}

// timeout reads a span as PostgreSQL does: a number of milliseconds or with a unit.
func timeout(text string) time.Duration {
	if number, err := strconv.Atoi(text); err == nil {
		return time.Duration(number) * time.Millisecond
	}
	text = strings.Replace(strings.ReplaceAll(text, " ", ""), "min", "m", 1)
	duration, _ := time.ParseDuration(text)
	return duration
}

func (c *Conn) handle(message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Query:
		return c.simple(m.String)
	case *pgproto3.Sync:
		return c.sync()
	case *pgproto3.Flush:
		return c.backend.Flush()
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil
	}
	if c.skipping {
		return nil
	}
	err := c.extended(message)
	if err == nil {
		return nil
	}
	if failure := c.failure(err); failure != nil {
		return failure
	}
	c.skipping = true
	return nil
}

// failure reports an error of a statement. It returns an error if the
// connection cannot go on.
func (c *Conn) failure(err error) error {
	c.mu.Lock()
	ending := c.ending
	c.mu.Unlock()
	if ending != nil {
		return c.end(ending)
	}
	var refused *dfstandinstore.Error
	if !errors.As(err, &refused) {
		return err
	}
	c.session.Fail()
	c.sendError("ERROR", refused)
	return nil
}

func (c *Conn) sendError(severity string, err *dfstandinstore.Error) {
	c.backend.Send(&pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Code: err.Code, Message: err.Message, Detail: err.Detail})
}

func (c *Conn) fatal(err error) error {
	var refused *dfstandinstore.Error
	if errors.As(err, &refused) {
		c.sendError("FATAL", refused)
		_ = c.backend.Flush()
	}
	return err
}

func (c *Conn) ready() error {
	if c.session.Status() == 'I' {
		clear(c.portals)
	}
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.session.Status()})
	defer c.answered()
	return c.backend.Flush()
}

func (c *Conn) sync() error {
	if !c.skipping {
		if err := c.session.Finish(); err != nil {
			if failure := c.failure(err); failure != nil {
				return failure
			}
		}
	}
	c.skipping = false
	return c.ready()
}

// simple runs the statements of a Query message in one implicit transaction.
func (c *Conn) simple(text string) error {
	err := c.simpleStatements(text)
	if err == nil {
		err = c.session.Finish()
	}
	if err != nil {
		if failure := c.failure(err); failure != nil {
			return failure
		}
	}
	return c.ready()
}

func (c *Conn) simpleStatements(text string) error {
	statements, err := dfstandinsql.Parse(text)
	if err != nil {
		return err
	}
	if len(statements) == 0 {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for _, statement := range statements {
		result, err := c.execute(statement, nil, nil)
		if err != nil {
			return err
		}
		if result.Columns != nil {
			c.backend.Send(rowDescription(result.Columns, nil))
		}
		if err := c.sendRows(result.Columns, result.Rows, nil); err != nil {
			return err
		}
		c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(result.Tag)})
	}
	return nil
}

// execute runs one statement under the statement timeout, cancel requests and
// termination.
func (c *Conn) execute(statement *dfstandinsql.Statement, parameters []dfstandinstore.Value, oids []uint32) (dfstandinsql.Result, error) {
	if !c.socket.Open() {
		return dfstandinsql.Result{}, ErrStopped
	}
	ctx, cancel := context.WithCancelCause(c.base)
	defer cancel(nil)
	if bound := timeout(c.session.Setting("statement_timeout")); bound > 0 {
		timer := time.AfterFunc(bound, func() { cancel(errTimeout) })
		defer timer.Stop()
	}
	c.mu.Lock()
	if c.ending != nil {
		cancel(c.ending)
	}
	c.cancel = cancel
	c.mu.Unlock()
	result, err := c.executeWith(ctx, statement, parameters, oids)
	c.mu.Lock()
	c.cancel = nil
	c.mu.Unlock()
	if result.Discarded || result.Deallocated == "*" {
		clear(c.statements)
		clear(c.portals)
	}
	if result.Deallocated != "" {
		delete(c.statements, result.Deallocated)
	}
	return result, err
}

func (c *Conn) executeWith(ctx context.Context, statement *dfstandinsql.Statement, parameters []dfstandinstore.Value, oids []uint32) (dfstandinsql.Result, error) {
	if !c.control && c.server.StatementTime > 0 {
		c.pause(c.server.StatementTime)
	}
	switch {
	case statement.IsCopyIn():
		return c.copyIn(ctx, statement)
	case statement.IsCopyOut():
		return c.copyOut(ctx, statement)
	}
	return c.session.Execute(ctx, statement, parameters, oids)
}
