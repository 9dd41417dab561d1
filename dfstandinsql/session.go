package dfstandinsql

import (
	"context"
	"maps"
	"strings"
	"time"

	pg "github.com/pganalyze/pg_query_go/v6"

	"dragonflygrade/dfstandinstore"
)

// Result is the answer to one statement.
type Result struct {
	// Columns is nil if the statement returns no rows.
	Columns []dfstandinstore.Column
	Rows    [][]dfstandinstore.Value
	// Tag is the command tag.
	Tag string
	// Discarded is set after DISCARD ALL, which drops prepared statements.
	Discarded bool
	// Deallocated names a prepared statement to drop; "*" is all.
	Deallocated string
}

// Session executes the statements of one connection. Its methods must not be
// called at the same time.
type Session struct {
	database    *dfstandinstore.Database
	environment Environment
	settings    map[string]string
	// defaults has the settings of the startup message, which RESET restores.
	defaults map[string]string
	// saved has the settings at the start of an explicit transaction.
	saved map[string]string
	// local has the settings to restore when the transaction ends.
	local map[string]string
	tx    *dfstandinstore.Transaction
	// explicit is true between BEGIN and the end of its transaction.
	explicit bool
	failed   bool
}

// NewSession returns a session with the settings of a startup message.
func NewSession(database *dfstandinstore.Database, environment Environment, settings map[string]string) *Session {
	return &Session{database: database, environment: environment, settings: maps.Clone(settings),
		defaults: maps.Clone(settings), local: map[string]string{}}
}

// Status returns the transaction status of ReadyForQuery.
func (s *Session) Status() byte {
	switch {
	case s.failed:
		return 'E'
	case s.explicit:
		return 'T'
	}
	return 'I'
}

// Setting returns the value of a setting.
func (s *Session) Setting(name string) string {
	return s.settings[name]
}

// Finish ends an implicit transaction at Sync or at the end of a simple query.
func (s *Session) Finish() error {
	if s.explicit || s.tx == nil {
		return nil
	}
	return s.end(true)
}

// Fail is called after an error. It rolls an implicit transaction back and
// marks an explicit one as failed.
func (s *Session) Fail() {
	if s.explicit {
		s.failed = true
		s.tx.Rollback()
		return
	}
	if s.tx != nil {
		_ = s.end(false)
	}
}

// Close rolls an open transaction back.
func (s *Session) Close() {
	if s.tx != nil {
		s.tx.Rollback()
		s.tx = nil
	}
}

func (s *Session) end(commit bool) error {
	tx := s.tx
	s.tx, s.explicit = nil, false
	var err error
	if commit && !s.failed {
		err = tx.Commit()
	} else {
		tx.Rollback()
		commit = false
	}
	s.failed = false
	if !commit || err != nil {
		s.restore(s.saved)
	} else {
		s.restore(s.local)
	}
	s.saved, s.local = nil, map[string]string{}
	return err
}

func (s *Session) restore(settings map[string]string) {
	for name, value := range settings {
		if s.settings[name] != value {
			s.set(name, value)
		}
	}
}

func (s *Session) set(name, value string) {
	changed := s.settings[name] != value
	s.settings[name] = value
	if !changed {
		return
	}
	s.environment.Changed(name, value)
}

// Execute runs one statement. A lock wait ends with the context.
func (s *Session) Execute(ctx context.Context, statement *Statement, parameters []dfstandinstore.Value, oids []uint32) (Result, error) {
	if s.failed && !statement.EndsTransaction() {
		return Result{}, dfstandinstore.Errorf(dfstandinstore.CodeInTransaction, "current transaction is aborted, commands ignored until end of transaction block")
	}
	if statement.unsupported() {
		return Result{}, dfstandinstore.Errorf(dfstandinstore.CodeFeature, "statement has a clause that is not supported: %.60s", statement.SQL)
	}
	if s.tx != nil && !s.failed && !statement.EndsTransaction() {
		if err := s.tx.AbortReason(); err != nil {
			return Result{}, err
		}
	}
	run := &execution{evaluator: evaluator{session: s, ctx: ctx, parameters: parameters, oids: oids}, statement: statement}
	switch n := statement.node.Node.(type) {
	case *pg.Node_TransactionStmt:
		return s.transaction(n.TransactionStmt)
	case *pg.Node_VariableSetStmt:
		return s.variable(n.VariableSetStmt)
	case *pg.Node_VariableShowStmt:
		name := n.VariableShowStmt.Name
		return Result{Columns: []dfstandinstore.Column{{Name: name, OID: dfstandinstore.OIDText}}, Rows: [][]dfstandinstore.Value{{s.settings[strings.ToLower(name)]}}, Tag: "SHOW"}, nil
	case *pg.Node_DiscardStmt:
		return s.discard()
	case *pg.Node_DeallocateStmt:
		return deallocate(n.DeallocateStmt), nil
	case *pg.Node_SelectStmt:
		return s.selectAny(run, n.SelectStmt)
	}
	return s.locked(run)
}

func deallocate(statement *pg.DeallocateStmt) Result {
	name := statement.Name
	if name == "" {
		return Result{Tag: "DEALLOCATE ALL", Deallocated: "*"}
	}
	return Result{Tag: "DEALLOCATE", Deallocated: name}
}

func (s *Session) selectAny(run *execution, statement *pg.SelectStmt) (Result, error) {
	if name := run.statement.tableName(); name != "" {
		if _, virtual := s.environment.RelationColumns(name); !virtual {
			return s.locked(run)
		}
		return run.relation(statement, name, nil)
	}
	if function := rangeFunction(statement); function != nil {
		return run.relation(statement, lastName(function.Funcname), function.Args)
	}
	if len(statement.FromClause) > 0 || len(statement.ValuesLists) > 0 {
		return Result{}, dfstandinstore.Errorf(dfstandinstore.CodeFeature, "only one table in FROM is supported")
	}
	return run.project(statement, [][]dfstandinstore.Value{{}})
}

// locked runs a statement on tables and waits for locks of other transactions.
func (s *Session) locked(run *execution) (Result, error) {
	if s.tx == nil {
		s.tx = s.database.Begin(false)
	}
	run.tx = s.tx
	var result Result
	err := s.tx.Run(run.ctx, func() (dfstandinstore.Tag, error) {
		var err error
		if result, err = run.tables(); err != nil {
			return dfstandinstore.Tag{}, err
		}
		return run.tag(), nil
	})
	return result, err
}

func (s *Session) transaction(statement *pg.TransactionStmt) (Result, error) {
	switch statement.Kind {
	case pg.TransactionStmtKind_TRANS_STMT_BEGIN, pg.TransactionStmtKind_TRANS_STMT_START:
		return s.begin(statement)
	case pg.TransactionStmtKind_TRANS_STMT_COMMIT:
		if s.tx == nil {
			return Result{Tag: "COMMIT"}, nil
		}
		if s.failed {
			return Result{Tag: "ROLLBACK"}, s.end(false)
		}
		return Result{Tag: "COMMIT"}, s.end(true)
	case pg.TransactionStmtKind_TRANS_STMT_ROLLBACK:
		if s.tx == nil {
			return Result{Tag: "ROLLBACK"}, nil
		}
		return Result{Tag: "ROLLBACK"}, s.end(false)
	}
	return Result{}, dfstandinstore.Errorf(dfstandinstore.CodeFeature, "savepoints and prepared transactions are not supported")
}

func (s *Session) begin(statement *pg.TransactionStmt) (Result, error) {
	tag := "BEGIN"
	if statement.Kind == pg.TransactionStmtKind_TRANS_STMT_START {
		tag = "START TRANSACTION"
	}
	if s.explicit {
		return Result{Tag: tag}, nil
	}
	readOnly := s.settings["default_transaction_read_only"] == "on"
	for _, option := range statement.Options {
		definition := option.GetDefElem()
		if definition.GetDefname() == "transaction_read_only" {
			readOnly = definition.Arg.GetAConst().GetIval().GetIval() != 0
		}
	}
	if s.tx == nil {
		s.tx = s.database.Begin(readOnly)
	}
	s.explicit = true
	s.saved = maps.Clone(s.settings)
	return Result{Tag: tag}, nil
}

func (s *Session) variable(statement *pg.VariableSetStmt) (Result, error) {
	name := strings.ToLower(statement.Name)
	switch statement.Kind {
	case pg.VariableSetKind_VAR_RESET_ALL:
		s.resetAll()
		return Result{Tag: "RESET"}, nil
	case pg.VariableSetKind_VAR_RESET, pg.VariableSetKind_VAR_SET_DEFAULT:
		s.set(name, s.defaults[name])
		return Result{Tag: "RESET"}, nil
	case pg.VariableSetKind_VAR_SET_VALUE:
		parts := make([]string, len(statement.Args))
		for i, argument := range statement.Args {
			parts[i] = dfstandinstore.FormatText(constant(argument.GetAConst()))
		}
		s.assign(name, strings.Join(parts, ", "), statement.IsLocal)
		return Result{Tag: "SET"}, nil
	}
	// SET TRANSACTION and SET SESSION CHARACTERISTICS change nothing here.
	return Result{Tag: "SET"}, nil
}

func (s *Session) assign(name, value string, local bool) {
	if local && !s.explicit {
		return
	}
	if _, known := s.local[name]; local && !known {
		s.local[name] = s.settings[name]
	}
	s.set(name, value)
}

func (s *Session) resetAll() {
	for name := range s.settings {
		if s.settings[name] != s.defaults[name] {
			s.set(name, s.defaults[name])
		}
	}
}

func (s *Session) discard() (Result, error) {
	if s.explicit {
		return Result{}, dfstandinstore.Errorf("25001", "DISCARD ALL cannot run inside a transaction block")
	}
	s.resetAll()
	return Result{Tag: "DISCARD ALL", Discarded: true}, nil
}

func (s *Session) call(ctx context.Context, name string, arguments []dfstandinstore.Value) (dfstandinstore.Value, error) {
	switch name {
	case "pg_sleep":
		return s.sleep(ctx, arguments)
	case "pg_current_xact_id_if_assigned":
		if s.tx == nil || s.tx.XID() == 0 {
			return nil, nil
		}
		return int64(s.tx.XID()), nil
	case "current_setting":
		if len(arguments) == 0 {
			return nil, dfstandinstore.Errorf(dfstandinstore.CodeFunction, "current_setting needs a name")
		}
		return s.settings[strings.ToLower(dfstandinstore.FormatText(arguments[0]))], nil
	case "set_config":
		if len(arguments) != 3 {
			return nil, dfstandinstore.Errorf(dfstandinstore.CodeFunction, "set_config needs three arguments")
		}
		s.assign(strings.ToLower(dfstandinstore.FormatText(arguments[0])), dfstandinstore.FormatText(arguments[1]), arguments[2] == true)
		return arguments[1], nil
	}
	return s.environment.Call(ctx, name, arguments)
}

func (s *Session) sleep(ctx context.Context, arguments []dfstandinstore.Value) (dfstandinstore.Value, error) {
	if len(arguments) != 1 {
		return nil, dfstandinstore.Errorf(dfstandinstore.CodeFunction, "pg_sleep needs one argument")
	}
	seconds, err := dfstandinstore.Coerce(arguments[0], dfstandinstore.OIDFloat8)
	if err != nil || seconds == nil {
		return nil, err
	}
	timer := time.NewTimer(time.Duration(seconds.(float64) * float64(time.Second)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return "", nil
	case <-ctx.Done():
		return nil, dfstandinstore.Errorf(dfstandinstore.CodeCancelled, "canceling statement: %s", context.Cause(ctx))
	}
}
