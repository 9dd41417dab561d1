// Package dfstandinsql is a small SQL engine over dfstandinstore for the
// upstream stand-in. It covers the statements of the tests, the demo and the
// load tool. Statements are parsed by PostgreSQL's parser.
package dfstandinsql

import (
	"strings"
	"sync"

	pg "github.com/pganalyze/pg_query_go/v6"

	"dragonflygrade/dfstandinstore"
)

// cachedTexts bounds the statement cache; parsing takes tens of microseconds.
const cachedTexts = 8192

// Statement is one parsed statement; it is never modified.
type Statement struct {
	SQL  string
	node *pg.Node
}

var cache = struct {
	sync.Mutex
	texts map[string][]*Statement
}{texts: map[string][]*Statement{}}

// Parse splits a text into statements. An empty text has none.
func Parse(text string) ([]*Statement, error) {
	cache.Lock()
	statements, known := cache.texts[text]
	cache.Unlock()
	if known {
		return statements, nil
	}
	tree, err := pg.Parse(text)
	if err != nil {
		return nil, dfstandinstore.Errorf(dfstandinstore.CodeSyntax, "%s", err.Error())
	}
	for _, raw := range tree.Stmts {
		sql := text[raw.StmtLocation:]
		if raw.StmtLen > 0 {
			sql = sql[:raw.StmtLen]
		}
		statements = append(statements, &Statement{SQL: strings.TrimSpace(sql), node: raw.Stmt})
	}
	cache.Lock()
	defer cache.Unlock()
	if len(cache.texts) >= cachedTexts {
		clear(cache.texts)
	}
	cache.texts[text] = statements
	return statements, nil
}

// IsCopyIn reports whether the statement reads data from the client.
func (s *Statement) IsCopyIn() bool {
	return s.node.GetCopyStmt() != nil && s.node.GetCopyStmt().IsFrom
}

// IsCopyOut reports whether the statement sends data to the client.
func (s *Statement) IsCopyOut() bool {
	return s.node.GetCopyStmt() != nil && !s.node.GetCopyStmt().IsFrom
}

// EndsTransaction reports whether the statement is COMMIT or ROLLBACK, which
// run also in a failed transaction.
func (s *Statement) EndsTransaction() bool {
	switch s.node.GetTransactionStmt().GetKind() {
	case pg.TransactionStmtKind_TRANS_STMT_COMMIT, pg.TransactionStmtKind_TRANS_STMT_ROLLBACK:
		return s.node.GetTransactionStmt() != nil
	}
	return false
}

// unsupported reports clauses that the engine would otherwise ignore.
func (s *Statement) unsupported() bool {
	switch n := s.node.Node.(type) {
	case *pg.Node_SelectStmt:
		q := n.SelectStmt
		return len(q.GroupClause) > 0 || q.HavingClause != nil || len(q.DistinctClause) > 0 || q.WithClause != nil ||
			q.LimitOffset != nil || q.Op != pg.SetOperation_SETOP_NONE || len(q.FromClause) > 1 || q.IntoClause != nil
	case *pg.Node_InsertStmt:
		return n.InsertStmt.WithClause != nil || len(n.InsertStmt.SelectStmt.GetSelectStmt().GetValuesLists()) == 0
	case *pg.Node_UpdateStmt:
		return n.UpdateStmt.WithClause != nil || len(n.UpdateStmt.FromClause) > 0
	case *pg.Node_DeleteStmt:
		return n.DeleteStmt.WithClause != nil || len(n.DeleteStmt.UsingClause) > 0
	case *pg.Node_CopyStmt:
		return n.CopyStmt.Relation == nil || len(n.CopyStmt.Options) > 0 || n.CopyStmt.WhereClause != nil
	}
	return false
}

// tableName returns the name of the only table that the statement names.
func (s *Statement) tableName() string {
	switch {
	case s.node.GetInsertStmt() != nil:
		return s.node.GetInsertStmt().Relation.Relname
	case s.node.GetUpdateStmt() != nil:
		return s.node.GetUpdateStmt().Relation.Relname
	case s.node.GetDeleteStmt() != nil:
		return s.node.GetDeleteStmt().Relation.Relname
	case s.node.GetCopyStmt() != nil:
		return s.node.GetCopyStmt().Relation.GetRelname()
	case s.node.GetSelectStmt() != nil:
		from := s.node.GetSelectStmt().FromClause
		if len(from) == 1 {
			return from[0].GetRangeVar().GetRelname()
		}
	}
	return ""
}

// rangeFunction returns the function that stands in the FROM clause, or nil.
func rangeFunction(statement *pg.SelectStmt) *pg.FuncCall {
	if len(statement.FromClause) != 1 {
		return nil
	}
	functions := statement.FromClause[0].GetRangeFunction().GetFunctions()
	if len(functions) != 1 {
		return nil
	}
	return functions[0].GetList().Items[0].GetFuncCall()
}

func lastName(nodes []*pg.Node) string {
	if len(nodes) == 0 {
		return ""
	}
	return nodes[len(nodes)-1].GetString_().GetSval()
}

func isStar(node *pg.Node) bool {
	fields := node.GetColumnRef().GetFields()
	return len(fields) > 0 && fields[len(fields)-1].GetAStar() != nil
}
