package dfclassify

import (
	"slices"
	"strings"

	pgquery "github.com/pganalyze/pg_query_go/v6"

	"dragonflygrade/dfunit"
)

// cursorHold is PostgreSQL's CURSOR_OPT_HOLD.
const cursorHold = 0x0020

// Parse classifies a text without the cache.
func Parse(text string) *Statement {
	if len(text) > MaxText {
		return unparsed("the text is longer than the parser's limit")
	}
	tree, err := pgquery.Parse(text)
	if err != nil {
		return unparsed(err.Error())
	}
	statement := &Statement{Class: dfunit.ClassRead, Repeatable: true}
	names := newNames()
	for _, raw := range tree.GetStmts() {
		statement.add(classify(raw.GetStmt(), names))
	}
	statement.Tables = names.tables()
	if fingerprint, err := pgquery.FingerprintToUInt64(text); err == nil {
		statement.Fingerprint = fingerprint
	}
	return statement
}

func unparsed(fault string) *Statement {
	return &Statement{Class: dfunit.ClassWrite, Effects: EffectUnknown, Fault: fault}
}

// add joins one part to the statement.
func (s *Statement) add(part Part) {
	if part.Class == dfunit.ClassWrite {
		s.Class = dfunit.ClassWrite
	}
	if len(s.Parts) == 0 {
		s.Control = part.Control
	} else if s.Control != ControlNone || part.Control != ControlNone {
		s.Control = ControlMixed
	}
	s.Effects |= part.Effects
	s.Repeatable = s.Repeatable && part.Repeatable
	s.Parts = append(s.Parts, part)
}

// read and write are the plain parts.
func read() Part  { return Part{Class: dfunit.ClassRead, Repeatable: true} }
func write() Part { return Part{Class: dfunit.ClassWrite} }

// classify judges one statement; a kind that is not listed is a write.
func classify(node *pgquery.Node, names *names) Part {
	found := scan(node, names)
	part := write()
	part.Effects = found.effects
	switch kind := node.GetNode().(type) {
	case *pgquery.Node_SelectStmt:
		return queryPart(found)
	case *pgquery.Node_ExplainStmt:
		return explainPart(kind.ExplainStmt, names)
	case *pgquery.Node_TransactionStmt:
		return transactionPart(kind.TransactionStmt)
	case *pgquery.Node_VariableSetStmt:
		return settingPart(kind.VariableSetStmt)
	case *pgquery.Node_VariableShowStmt:
		part = read()
		part.Setting = Setting{Verb: VerbShow, Name: strings.ToLower(kind.VariableShowStmt.GetName())}
		return part
	case *pgquery.Node_DeclareCursorStmt:
		part = queryPart(scan(kind.DeclareCursorStmt.GetQuery(), names))
		part.Repeatable = false
		part.Effects |= EffectCursor
		if kind.DeclareCursorStmt.GetOptions()&cursorHold != 0 {
			part.Effects |= EffectHold
		}
		return part
	case *pgquery.Node_FetchStmt, *pgquery.Node_ClosePortalStmt:
		return Part{Class: dfunit.ClassRead, Effects: EffectCursor}
	case *pgquery.Node_CopyStmt:
		return copyPart(kind.CopyStmt, names)
	case *pgquery.Node_PrepareStmt, *pgquery.Node_ExecuteStmt, *pgquery.Node_DeallocateStmt:
		part.Effects |= EffectPrepare
	case *pgquery.Node_ListenStmt, *pgquery.Node_UnlistenStmt:
		part.Effects |= EffectListen
	case *pgquery.Node_DiscardStmt:
		part.Effects |= EffectDiscard
	case *pgquery.Node_DoStmt, *pgquery.Node_CallStmt, *pgquery.Node_LoadStmt:
		part.Effects |= EffectUnknown
	}
	return part
}

func queryPart(found finding) Part {
	part := write()
	if !found.writes {
		part = read()
	}
	part.Effects = found.effects
	return part
}

// explainPart judges EXPLAIN, which runs the statement only with ANALYZE.
func explainPart(stmt *pgquery.ExplainStmt, names *names) Part {
	if !isOn(stmt.GetOptions(), "analyze") {
		return read()
	}
	return classify(stmt.GetQuery(), names)
}

func copyPart(stmt *pgquery.CopyStmt, names *names) Part {
	part := write()
	toCaller := !stmt.GetIsFrom() && !stmt.GetIsProgram() && stmt.GetFilename() == ""
	if toCaller && (stmt.GetQuery() == nil || !scan(stmt.GetQuery(), names).writes) {
		part = read()
	}
	part.Repeatable = false
	part.Effects |= EffectCopy
	return part
}

// transactionPart judges transaction control. A plain BEGIN is a write because
// nothing is known of what follows; what ends a transaction writes nothing itself.
func transactionPart(stmt *pgquery.TransactionStmt) Part {
	part := Part{Class: dfunit.ClassRead}
	switch stmt.GetKind() {
	case pgquery.TransactionStmtKind_TRANS_STMT_BEGIN, pgquery.TransactionStmtKind_TRANS_STMT_START:
		part.Control = ControlBeginReadOnly
		if !readOnlyTransaction(stmt.GetOptions()) {
			part.Control = ControlBegin
			part.Class = dfunit.ClassWrite
		}
	case pgquery.TransactionStmtKind_TRANS_STMT_COMMIT:
		part.Control = ControlCommit
	case pgquery.TransactionStmtKind_TRANS_STMT_ROLLBACK:
		part.Control = ControlRollback
	case pgquery.TransactionStmtKind_TRANS_STMT_SAVEPOINT, pgquery.TransactionStmtKind_TRANS_STMT_RELEASE,
		pgquery.TransactionStmtKind_TRANS_STMT_ROLLBACK_TO:
		part.Control = ControlSavepoint
	default:
		part.Control = ControlPrepared
		part.Class = dfunit.ClassWrite
	}
	return part
}

// readOnlyTransaction reports whether a replica can serve the transaction. A
// replica refuses the isolation level serializable.
func readOnlyTransaction(options []*pgquery.Node) bool {
	if !isOn(options, "transaction_read_only") {
		return false
	}
	for _, node := range options {
		option := node.GetDefElem()
		if option.GetDefname() == "transaction_isolation" && constant(option.GetArg()) == "serializable" {
			return false
		}
	}
	return true
}

func settingPart(stmt *pgquery.VariableSetStmt) Part {
	part := read()
	part.Setting = Setting{Verb: VerbSet, Name: strings.ToLower(stmt.GetName())}
	switch stmt.GetKind() {
	case pgquery.VariableSetKind_VAR_RESET, pgquery.VariableSetKind_VAR_SET_DEFAULT:
		part.Setting.Verb = VerbReset
	case pgquery.VariableSetKind_VAR_RESET_ALL:
		part.Setting.Verb = VerbResetAll
	case pgquery.VariableSetKind_VAR_SET_MULTI:
		if strings.HasPrefix(part.Setting.Name, "transaction") {
			part.Setting.Verb = VerbSetLocal
		}
	}
	values := make([]string, 0, len(stmt.GetArgs()))
	for _, arg := range stmt.GetArgs() {
		values = append(values, constant(arg))
	}
	part.Setting.Value = strings.Join(values, ", ")
	if stmt.GetIsLocal() {
		part.Setting.Verb = VerbSetLocal
	}
	if part.Setting.Verb != VerbSetLocal {
		part.Effects = EffectSetting
	}
	return part
}

// isOn reports whether the last option of the name is given and not off.
func isOn(options []*pgquery.Node, name string) bool {
	on := false
	for _, node := range options {
		option := node.GetDefElem()
		if strings.EqualFold(option.GetDefname(), name) {
			on = !slices.Contains([]string{"0", "off", "false", "no"}, strings.ToLower(constant(option.GetArg())))
		}
	}
	return on
}

// constant returns a literal as text; any other node gives empty text.
func constant(node *pgquery.Node) string {
	switch value := node.GetNode().(type) {
	case *pgquery.Node_AConst:
		return literal(value.AConst)
	case *pgquery.Node_String_:
		return value.String_.GetSval()
	case *pgquery.Node_Integer:
		return number(value.Integer.GetIval())
	case *pgquery.Node_Float:
		return value.Float.GetFval()
	case *pgquery.Node_Boolean:
		return truth(value.Boolean.GetBoolval())
	case *pgquery.Node_TypeCast:
		return constant(value.TypeCast.GetArg())
	}
	return ""
}

func literal(value *pgquery.A_Const) string {
	switch of := value.GetVal().(type) {
	case *pgquery.A_Const_Ival:
		return number(of.Ival.GetIval())
	case *pgquery.A_Const_Fval:
		return of.Fval.GetFval()
	case *pgquery.A_Const_Sval:
		return of.Sval.GetSval()
	case *pgquery.A_Const_Boolval:
		return truth(of.Boolval.GetBoolval())
	}
	return ""
}
