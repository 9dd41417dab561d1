package dfstandin

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"errors"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

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

var (
	errTerminated = eris.New("terminating connection due to administrator command")
	errCancelled  = eris.New("canceling statement due to user request")
	errTimeout    = eris.New("canceling statement due to statement timeout")
)

// reported are the settings that the client is told of when they change.
var reported = map[string]string{
	"server_version": "17.0", "server_encoding": "UTF8", "client_encoding": "UTF8", "application_name": "",
	"DateStyle": "ISO, MDY", "integer_datetimes": "on", "standard_conforming_strings": "on", "TimeZone": "UTC",
}

// connection serves one client after its startup.
type connection struct {
	upstream *Upstream
	socket   *socket
	backend  *pgproto3.Backend
	session  *dfstandinsql.Session
	pid      uint32
	secret   []byte
	user     string
	// control connections are not counted towards the limit.
	control    bool
	statements map[string]*prepared
	portals    map[string]*portal
	// skipping is true between an error in the extended protocol and Sync.
	skipping bool

	base context.Context
	mu   sync.Mutex
	// cancel ends the running statement; nil while none runs.
	cancel context.CancelCauseFunc
	// ending is why the connection must end.
	ending      error
	application string
}

func newConnection(ctx context.Context, upstream *Upstream, s *socket) *connection {
	secret := make([]byte, 4)
	_, _ = rand.Read(secret)
	return &connection{upstream: upstream, socket: s, backend: pgproto3.NewBackend(s, s), pid: upstream.pids.Add(1),
		secret: secret, base: ctx, statements: map[string]*prepared{}, portals: map[string]*portal{}}
}

func (c *connection) run() error {
	startup, err := c.startup()
	if err != nil || startup == nil {
		return err
	}
	if err := c.authenticate(); err != nil {
		return c.fatal(err)
	}
	if !c.control && c.upstream.options.ConnectTime > 0 && !c.pause(span(c.upstream.options.ConnectTime)) {
		return errCrashed
	}
	if err := c.upstream.admit(c); err != nil {
		return c.fatal(err)
	}
	defer c.upstream.release(c)
	c.open(startup)
	defer c.session.Close()
	if err := c.backend.Flush(); err != nil {
		return eris.Wrap(err, "standin: startup")
	}
	return c.serve()
}

func (c *connection) pause(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.base.Done():
		return false
	}
}

// startup reads the first messages; nil without an error ends the connection.
func (c *connection) startup() (*pgproto3.StartupMessage, error) {
	for {
		message, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, eris.Wrap(err, "standin: startup")
		}
		switch m := message.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.socket.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		case *pgproto3.CancelRequest:
			c.socket.started.Store(true)
			if c.socket.open() {
				c.upstream.cancel(m)
			}
			return nil, nil
		case *pgproto3.StartupMessage:
			c.user = m.Parameters["user"]
			c.control = c.user == ControlUser
			c.application = m.Parameters["application_name"]
			c.socket.exempt.Store(c.control && c.application == FaultApplication)
			c.socket.started.Store(true)
			if !c.socket.open() {
				return nil, errCrashed
			}
			return m, nil
		}
	}
}

func (u *Upstream) cancel(request *pgproto3.CancelRequest) {
	c := u.find(request.ProcessID)
	if c == nil || subtle.ConstantTimeCompare(c.secret, request.SecretKey) != 1 {
		return
	}
	c.cancelRunning()
}

func (c *connection) cancelRunning() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.cancel(errCancelled)
	}
}

// interrupt ends the running statement and then the connection.
func (c *connection) interrupt(reason error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = reason
	if c.cancel != nil {
		c.cancel(reason)
	}
	_ = c.socket.SetReadDeadline(time.Unix(1, 0))
}

// open sends what follows a successful authentication.
func (c *connection) open(startup *pgproto3.StartupMessage) {
	settings := map[string]string{"transaction_isolation": "serializable", "default_transaction_read_only": "off",
		"idle_session_timeout": "0", "idle_in_transaction_session_timeout": "0", "statement_timeout": "0"}
	for name, value := range reported {
		settings[strings.ToLower(name)] = value
	}
	for name, value := range startup.Parameters {
		settings[strings.ToLower(name)] = value
	}
	c.session = dfstandinsql.NewSession(c.upstream.group.database, &environment{c}, settings)
	for name := range reported {
		c.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: settings[strings.ToLower(name)]})
	}
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret})
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
}

func (c *connection) serve() error {
	for {
		message, err := c.receive()
		if err != nil {
			return err
		}
		if !c.socket.open() {
			return errCrashed
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
func (c *connection) receive() (pgproto3.FrontendMessage, error) {
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
	if err == nil {
		return message, nil
	}
	c.mu.Lock()
	ending = c.ending
	c.mu.Unlock()
	if ending != nil {
		return nil, c.end(ending)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, c.fatal(dfstandinstore.Errorf(code, "terminating connection due to %s", strings.ReplaceAll(setting, "_", "-")))
	}
	return nil, err
}

func (c *connection) end(reason error) error {
	if errors.Is(reason, errTerminated) {
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

func (c *connection) handle(message pgproto3.FrontendMessage) error {
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
func (c *connection) failure(err error) error {
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

func (c *connection) sendError(severity string, err *dfstandinstore.Error) {
	c.backend.Send(&pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Code: err.Code, Message: err.Message, Detail: err.Detail})
}

func (c *connection) fatal(err error) error {
	var refused *dfstandinstore.Error
	if errors.As(err, &refused) {
		c.sendError("FATAL", refused)
		_ = c.backend.Flush()
	}
	return err
}

func (c *connection) ready() error {
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.session.Status()})
	return c.backend.Flush()
}

func (c *connection) sync() error {
	if !c.skipping {
		if err := c.session.Finish(); err != nil {
			if failure := c.failure(err); failure != nil {
				return failure
			}
		}
	}
	c.skipping = false
	if c.session.Status() == 'I' {
		clear(c.portals)
	}
	return c.ready()
}

// simple runs the statements of a Query message in one implicit transaction.
func (c *connection) simple(text string) error {
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

func (c *connection) simpleStatements(text string) error {
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
func (c *connection) execute(statement *dfstandinsql.Statement, parameters []dfstandinstore.Value, oids []uint32) (dfstandinsql.Result, error) {
	if !c.socket.open() {
		return dfstandinsql.Result{}, errCrashed
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
	delete(c.statements, result.Deallocated)
	return result, err
}

func (c *connection) executeWith(ctx context.Context, statement *dfstandinsql.Statement, parameters []dfstandinstore.Value, oids []uint32) (dfstandinsql.Result, error) {
	if !c.control && c.upstream.options.StatementTime > 0 {
		c.pause(span(c.upstream.options.StatementTime))
	}
	switch {
	case statement.IsCopyIn():
		return c.copyIn(ctx, statement)
	case statement.IsCopyOut():
		return c.copyOut(ctx, statement)
	}
	return c.session.Execute(ctx, statement, parameters, oids)
}

func (c *connection) copyIn(ctx context.Context, statement *dfstandinsql.Statement) (dfstandinsql.Result, error) {
	count, err := c.session.CopyColumns(statement)
	if err != nil {
		return dfstandinsql.Result{}, err
	}
	c.backend.Send(&pgproto3.CopyInResponse{ColumnFormatCodes: make([]uint16, count)})
	if err := c.backend.Flush(); err != nil {
		return dfstandinsql.Result{}, err
	}
	var data []byte
	for {
		message, err := c.backend.Receive()
		if err != nil {
			return dfstandinsql.Result{}, err
		}
		switch m := message.(type) {
		case *pgproto3.CopyData:
			data = append(data, m.Data...)
		case *pgproto3.CopyDone:
			return c.session.CopyIn(ctx, statement, data)
		case *pgproto3.CopyFail:
			return dfstandinsql.Result{}, dfstandinstore.Errorf(dfstandinstore.CodeCancelled, "COPY from stdin failed: %s", m.Message)
		case *pgproto3.Flush, *pgproto3.Sync:
		default:
			return dfstandinsql.Result{}, dfstandinstore.Errorf(codeProtocol, "unexpected message during COPY")
		}
		if len(data) > copyLimit {
			return dfstandinsql.Result{}, dfstandinstore.Errorf("54000", "COPY is larger than %d bytes", copyLimit)
		}
	}
}

func (c *connection) copyOut(ctx context.Context, statement *dfstandinsql.Statement) (dfstandinsql.Result, error) {
	count, err := c.session.CopyColumns(statement)
	if err != nil {
		return dfstandinsql.Result{}, err
	}
	result, err := c.session.Execute(ctx, statement, nil, nil)
	if err != nil {
		return dfstandinsql.Result{}, err
	}
	c.backend.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: make([]uint16, count)})
	for _, row := range result.Rows {
		c.backend.Send(&pgproto3.CopyData{Data: dfstandinsql.FormatCopy(row)})
	}
	c.backend.Send(&pgproto3.CopyDone{})
	return dfstandinsql.Result{Tag: "COPY " + strconv.Itoa(len(result.Rows))}, nil
}

func rowDescription(columns []dfstandinstore.Column, formats []int16) *pgproto3.RowDescription {
	description := &pgproto3.RowDescription{}
	for i, column := range columns {
		description.Fields = append(description.Fields, pgproto3.FieldDescription{Name: []byte(column.Name),
			DataTypeOID: column.OID, DataTypeSize: typeSize(column.OID), TypeModifier: -1, Format: formatOf(formats, i)})
	}
	return description
}

func typeSize(oid uint32) int16 {
	switch oid {
	case dfstandinstore.OIDBool:
		return 1
	case dfstandinstore.OIDInt4:
		return 4
	case dfstandinstore.OIDInt8, dfstandinstore.OIDFloat8:
		return 8
	}
	return -1
}

// formatOf applies the protocol's rule: none is text, one holds for all.
func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return 0
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return 0
}

func (c *connection) sendRows(columns []dfstandinstore.Column, rows [][]dfstandinstore.Value, formats []int16) error {
	for _, row := range rows {
		values := make([][]byte, len(row))
		for i, value := range row {
			encoded, err := dfstandinstore.Encode(value, columns[i].OID, formatOf(formats, i))
			if err != nil {
				return err
			}
			values[i] = encoded
		}
		c.backend.Send(&pgproto3.DataRow{Values: values})
	}
	return nil
}
