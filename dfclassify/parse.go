package dfclassify

import (
	"slices"
	"strings"

	pgquery "github.com/pganalyze/pg_query_go/v6"

	"dragonflygrade/dfunit"
)

// cursorHold is CURSOR_OPT_HOLD of PostgreSQL.
const cursorHold = 0x0020

// Parse classifies a query text without the cache.
func Parse(text string) *Statement {
	if len(text) > MaxTextBytes {
		return unparsable("the query text exceeds the parser's limit of 1 MiB")
	}
	tree, err := pgquery.Parse(text)
	if err != nil {
		return unparsable(err.Error())
	}
	statement := &Statement{Class: dfunit.ClassRead, Idempotent: true}
	names := newRelationNames()
	for _, raw := range tree.GetStmts() {
		statement.addPart(classify(raw.GetStmt(), names))
	}
	statement.Tables = names.tables()
	if fingerprint, err := pgquery.FingerprintToUInt64(text); err == nil {
		statement.Fingerprint = fingerprint
	}
	return statement
}

func unparsable(reason string) *Statement {
	return &Statement{Class: dfunit.ClassWrite, Effects: EffectUnknown, ParseError: reason}
}

// addPart appends one part and updates the classification of the whole text.
func (s *Statement) addPart(part Part) {
	if part.Class == dfunit.ClassWrite {
		s.Class = dfunit.ClassWrite
	}
	if len(s.Parts) == 0 {
		s.Control = part.Control
	} else if s.Control != ControlNone || part.Control != ControlNone {
		s.Control = ControlMixed
	}
	s.Effects |= part.Effects
	s.Idempotent = s.Idempotent && part.Idempotent
	s.Parts = append(s.Parts, part)
}

// readPart and writePart return the classification of a plain read or write.
func readPart() Part  { return Part{Class: dfunit.ClassRead, Idempotent: true} }
func writePart() Part { return Part{Class: dfunit.ClassWrite} }

// classify classifies one statement. Kinds that are not listed are writes.
func classify(node *pgquery.Node, names *relationNames) Part {
	found := scan(node, names)
	part := writePart()
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
		part = readPart()
		part.Setting = Setting{Verb: VerbShow, Name: strings.ToLower(kind.VariableShowStmt.GetName())}
		return part
	case *pgquery.Node_DeclareCursorStmt:
		part = queryPart(scan(kind.DeclareCursorStmt.GetQuery(), names))
		part.Idempotent = false
		part.Effects |= EffectCursor
		if kind.DeclareCursorStmt.GetOptions()&cursorHold != 0 {
			part.Effects |= EffectHoldableCursor
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
		if kind.DiscardStmt.GetTarget() == pgquery.DiscardMode_DISCARD_ALL {
			part.Setting.Verb = VerbResetAll
		}
	case *pgquery.Node_DoStmt, *pgquery.Node_CallStmt, *pgquery.Node_LoadStmt:
		part.Effects |= EffectUnknown
	}
	return part
}

func queryPart(found scanResult) Part {
	part := writePart()
	if !found.writes {
		part = readPart()
	}
	part.Effects = found.effects
	return part
}

// explainPart classifies EXPLAIN, which executes its statement only with ANALYZE.
func explainPart(stmt *pgquery.ExplainStmt, names *relationNames) Part {
	if !isOptionOn(stmt.GetOptions(), "analyze") {
		return readPart()
	}
	return classify(stmt.GetQuery(), names)
}

func copyPart(stmt *pgquery.CopyStmt, names *relationNames) Part {
	part := writePart()
	toCaller := !stmt.GetIsFrom() && !stmt.GetIsProgram() && stmt.GetFilename() == ""
	if toCaller && (stmt.GetQuery() == nil || !scan(stmt.GetQuery(), names).writes) {
		part = readPart()
	}
	part.Idempotent = false
	part.Effects |= EffectCopy
	return part
}

// transactionPart classifies transaction control. A plain BEGIN is a write because
// the statements that follow are unknown. COMMIT, ROLLBACK and savepoints themselves
// write nothing.
func transactionPart(stmt *pgquery.TransactionStmt) Part {
	part := Part{Class: dfunit.ClassRead}
	switch stmt.GetKind() {
	case pgquery.TransactionStmtKind_TRANS_STMT_BEGIN, pgquery.TransactionStmtKind_TRANS_STMT_START:
		part.Control = ControlBeginReadOnly
		if !canRunOnReplica(stmt.GetOptions()) {
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

// canRunOnReplica reports whether a replica can execute the transaction: it must be
// read-only and not serializable, an isolation level that replicas refuse.
func canRunOnReplica(options []*pgquery.Node) bool {
	if !isOptionOn(options, "transaction_read_only") {
		return false
	}
	for _, node := range options {
		option := node.GetDefElem()
		if option.GetDefname() == "transaction_isolation" && constantText(option.GetArg()) == "serializable" {
			return false
		}
	}
	return true
}

func settingPart(stmt *pgquery.VariableSetStmt) Part {
	part := readPart()
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
		values = append(values, constantText(arg))
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

// isOptionOn reports whether the last option with the name is enabled.
func isOptionOn(options []*pgquery.Node, name string) bool {
	on := false
	for _, node := range options {
		option := node.GetDefElem()
		if strings.EqualFold(option.GetDefname(), name) {
			on = !slices.Contains([]string{"0", "off", "false", "no"}, strings.ToLower(constantText(option.GetArg())))
		}
	}
	return on
}

// constantText returns a constant as text, or an empty string for any other node.
func constantText(node *pgquery.Node) string {
	switch value := node.GetNode().(type) {
	case *pgquery.Node_AConst:
		return literalText(value.AConst)
	case *pgquery.Node_String_:
		return value.String_.GetSval()
	case *pgquery.Node_Integer:
		return formatInt(value.Integer.GetIval())
	case *pgquery.Node_Float:
		return value.Float.GetFval()
	case *pgquery.Node_Boolean:
		return formatBool(value.Boolean.GetBoolval())
	case *pgquery.Node_TypeCast:
		return constantText(value.TypeCast.GetArg())
	}
	return ""
}

func literalText(value *pgquery.A_Const) string {
	switch val := value.GetVal().(type) {
	case *pgquery.A_Const_Ival:
		return formatInt(val.Ival.GetIval())
	case *pgquery.A_Const_Fval:
		return val.Fval.GetFval()
	case *pgquery.A_Const_Sval:
		return val.Sval.GetSval()
	case *pgquery.A_Const_Boolval:
		return formatBool(val.Boolval.GetBoolval())
	}
	return ""
}
