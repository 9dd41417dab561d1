package dfstandin

import (
	"context"
	"encoding/json"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfstandinsql"
	"dragonflygrade/dfstandinstore"
	"dragonflygrade/dfstandinwire"
)

// environment supplies the functions of an upstream to one connection.
type environment struct {
	connection *dfstandinwire.Conn
	upstream   *Upstream
}

func textColumns(names ...string) []dfstandinstore.Column {
	columns := make([]dfstandinstore.Column, len(names))
	for i, name := range names {
		columns[i] = dfstandinstore.Column{Name: name, OID: dfstandinstore.OIDText}
	}
	return columns
}

var statusColumns = textColumns("Upstream", "DataCentre", "Role", "Accepted", "Actor", "LogTerm", "Flushed",
	"Applied", "History", "Following", "PrimarySilence", "Leaving", "Discarded")

// relations are the functions in FROM and the views, with their columns.
var relations = map[string][]dfstandinstore.Column{
	"group_status":   statusColumns,
	"group_fence":    statusColumns,
	"group_promote":  statusColumns,
	"group_follow":   statusColumns,
	"group_wait":     statusColumns,
	"group_leaving":  statusColumns,
	"group_fetch":    textColumns("Entry"),
	"group_record":   textColumns("Term", "Offset", "XID", "Cut", "Tags"),
	"group_counters": textColumns("LimitExceeded", "MaxConnections", "Connects", "ControlConnects"),
	"pg_stat_activity": append([]dfstandinstore.Column{{Name: "pid", OID: dfstandinstore.OIDInt4}},
		textColumns("usename", "application_name", "state")...),
}

var functions = map[string]uint32{
	"group_position": dfstandinstore.OIDText, "group_fault": dfstandinstore.OIDText,
	"pg_xact_status": dfstandinstore.OIDText, "pg_terminate_backend": dfstandinstore.OIDBool,
	"pg_cancel_backend": dfstandinstore.OIDBool, "pg_backend_pid": dfstandinstore.OIDInt4,
	"pg_is_in_recovery": dfstandinstore.OIDBool, "version": dfstandinstore.OIDText,
}

// FunctionOID returns the result type of a function.
func (e *environment) FunctionOID(name string) (uint32, bool) {
	oid, known := functions[name]
	return oid, known
}

// RelationColumns returns the columns of a relation that is not a table.
func (e *environment) RelationColumns(name string) ([]dfstandinstore.Column, bool) {
	columns, known := relations[name]
	return columns, known
}

// Environment supplies the functions of the upstream to a connection.
func (u *Upstream) Environment(c *dfstandinwire.Conn) dfstandinsql.Environment {
	return &environment{connection: c, upstream: u}
}

// Changed tells the client of a reported setting.
func (e *environment) Changed(name, value string) {
	e.connection.Report(name, value)
}

// Call runs a scalar function.
func (e *environment) Call(_ context.Context, name string, arguments []dfstandinstore.Value) (dfstandinstore.Value, error) {
	u := e.upstream
	if len(arguments) == 0 {
		return e.callPlain(name)
	}
	if len(arguments) > 1 {
		return nil, dfstandinstore.Errorf(dfstandinstore.CodeFunction, "function %s does not take %d arguments", name, len(arguments))
	}
	number, _ := dfstandinstore.Coerce(arguments[0], dfstandinstore.OIDInt8)
	value, isNumber := number.(int64)
	switch name {
	case "group_fault":
		if !e.connection.Control() {
			return nil, dfstandinstore.Errorf("42501", "faults need a control connection")
		}
		return "done", u.fault(dfstandinstore.FormatText(arguments[0]), e.connection.AfterAnswer)
	case "pg_xact_status":
		if !isNumber {
			return nil, nil
		}
		return u.group.TransactionStatus(uint64(value)), nil
	case "pg_terminate_backend", "pg_cancel_backend":
		c := u.Find(uint32(value))
		if c == nil || !isNumber {
			return false, nil
		}
		if name == "pg_terminate_backend" {
			c.Interrupt(dfstandinwire.ErrTerminated)
		} else {
			c.CancelRunning()
		}
		return true, nil
	}
	return nil, dfstandinstore.Errorf(dfstandinstore.CodeFunction, "function %s does not exist", name)
}

func (e *environment) callPlain(name string) (dfstandinstore.Value, error) {
	u := e.upstream
	switch name {
	case "group_position":
		return u.group.Position().String(), nil
	case "pg_backend_pid":
		return int64(e.connection.PID()), nil
	case "pg_is_in_recovery":
		return u.group.Status().Role != dfgroup.RolePrimary, nil
	case "version":
		return "PostgreSQL 17.0 (stand-in)", nil
	}
	return nil, dfstandinstore.Errorf(dfstandinstore.CodeFunction, "function %s does not exist", name)
}

// Relation returns the rows of a view or of a function in FROM.
func (e *environment) Relation(ctx context.Context, name string, arguments []dfstandinstore.Value) ([][]dfstandinstore.Value, error) {
	if name == "pg_stat_activity" {
		return e.upstream.activity(), nil
	}
	if !e.connection.Control() {
		return nil, dfstandinstore.Errorf("42501", "%s needs a control connection", name)
	}
	call, err := newCall(name, arguments)
	if err != nil {
		return nil, err
	}
	u := e.upstream
	switch name {
	case "group_fetch":
		return u.fetch(ctx, call)
	case "group_record":
		return u.recordRows(int(call.number(0)), int(call.number(1)))
	case "group_counters":
		counters := u.Counters()
		return [][]dfstandinstore.Value{{counters.LimitExceeded, counters.MaxConnections, counters.Connects, counters.ControlConnects}}, nil
	}
	if err := u.control(ctx, call); err != nil {
		return nil, err
	}
	return [][]dfstandinstore.Value{statusRow(u.group.Status())}, nil
}

func (u *Upstream) control(ctx context.Context, c call) error {
	switch c.name {
	case "group_fence":
		return u.group.Fence(c.term(), c.text(1))
	case "group_promote":
		return u.group.Promote(c.term(), c.text(1))
	case "group_follow":
		return u.group.Follow(c.term(), c.text(1), dfgroup.UpstreamID(c.text(2)))
	case "group_wait":
		want := dfposition.Position{Term: c.term(), Offset: dfposition.Offset(c.number(1))}
		u.group.Wait(ctx, want, dfclock.Millis(c.number(2)))
		return context.Cause(ctx)
	case "group_leaving":
		leaving, err := dfstandinstore.Coerce(c.arguments[0], dfstandinstore.OIDBool)
		if err != nil {
			return err
		}
		u.SetLeaving(leaving == true)
	}
	return nil
}

// call is a function in FROM with checked arguments.
type call struct {
	name      string
	arguments []dfstandinstore.Value
}

// signatures give the types of arguments: n is a number, t a text.
var signatures = map[string]string{"group_status": "", "group_fence": "nt", "group_promote": "nt", "group_follow": "ntt",
	"group_wait": "nnn", "group_leaving": "t", "group_fetch": "ntnn", "group_record": "nn", "group_counters": ""}

func newCall(name string, arguments []dfstandinstore.Value) (call, error) {
	signature := signatures[name]
	if len(arguments) != len(signature) {
		return call{}, dfstandinstore.Errorf(dfstandinstore.CodeFunction, "function %s takes %d arguments", name, len(signature))
	}
	c := call{name: name, arguments: make([]dfstandinstore.Value, len(arguments))}
	for i, argument := range arguments {
		oid := dfstandinstore.OIDText
		if signature[i] == 'n' {
			oid = dfstandinstore.OIDInt8
		}
		value, err := dfstandinstore.Coerce(argument, oid)
		if err != nil {
			return call{}, err
		}
		if number, ok := value.(int64); value == nil || (ok && number < 0) {
			return call{}, dfstandinstore.Errorf(dfstandinstore.CodeInvalidText, "function %s: argument %d is null or negative", name, i+1)
		}
		c.arguments[i] = value
	}
	return c, nil
}

func (c call) number(i int) int64 {
	return c.arguments[i].(int64)
}

func (c call) term() dfposition.Term {
	return dfposition.Term(c.number(0))
}

func (c call) text(i int) string {
	return c.arguments[i].(string)
}

func statusRow(s dfgroup.Status) []dfstandinstore.Value {
	return []dfstandinstore.Value{string(s.Upstream), s.DataCentre, string(s.Role), int64(s.Accepted), s.Actor, int64(s.LogTerm),
		int64(s.Flushed), int64(s.Applied), s.History.String(), string(s.Following), int64(s.PrimarySilence), s.Leaving, s.Discarded}
}

func (u *Upstream) activity() [][]dfstandinstore.Value {
	u.mu.Lock()
	defer u.mu.Unlock()
	var rows [][]dfstandinstore.Value
	for pid, c := range u.connections {
		application, active := c.Activity()
		state := "idle"
		if active {
			state = "active"
		}
		rows = append(rows, []dfstandinstore.Value{int64(pid), c.User(), application, state})
	}
	return rows
}

func (u *Upstream) recordRows(offset, limit int) ([][]dfstandinstore.Value, error) {
	record := u.Record()
	record = record[min(offset, len(record)):]
	record = record[:min(limit, len(record))]
	var rows [][]dfstandinstore.Value
	for _, committed := range record {
		tags, err := json.Marshal(committed.Tags)
		if err != nil {
			return nil, dfstandinstore.Errorf("XX000", "record: %s", err)
		}
		rows = append(rows, []dfstandinstore.Value{int64(committed.Term), int64(committed.Offset), int64(committed.XID), committed.Cut, string(tags)})
	}
	return rows, nil
}
