package dfstandinsql

import (
	"bytes"
	"context"
	"strings"

	pg "github.com/pganalyze/pg_query_go/v6"

	"dragonflygrade/dfstandinstore"
)

// Description is the shape of a statement.
type Description struct {
	Parameters []uint32
	// Columns is nil if the statement returns no rows.
	Columns []dfstandinstore.Column
}

// Describe infers the types of parameters and results. The given types of
// parameters win; zero is unknown.
func (s *Session) Describe(statement *Statement, oids []uint32) (Description, error) {
	x := &execution{evaluator: evaluator{session: s, ctx: context.Background(), oids: append([]uint32(nil), oids...)}, statement: statement}
	var list []*pg.Node
	switch n := statement.node.Node.(type) {
	case *pg.Node_SelectStmt:
		if err := x.describeFrom(n.SelectStmt); err != nil {
			return Description{}, err
		}
		x.infer(n.SelectStmt.WhereClause, dfstandinstore.OIDBool)
		x.infer(n.SelectStmt.LimitCount, dfstandinstore.OIDInt8)
		list = n.SelectStmt.TargetList
		for _, target := range list {
			x.infer(target.GetResTarget().Val, dfstandinstore.OIDText)
		}
	case *pg.Node_InsertStmt, *pg.Node_UpdateStmt, *pg.Node_DeleteStmt:
		columns, found := s.columnsOf(statement.tableName())
		if !found {
			return Description{}, dfstandinstore.Errorf(dfstandinstore.CodeTable, "relation %q does not exist", statement.tableName())
		}
		x.columns = columns
		var err error
		if list, err = x.describeWrite(); err != nil {
			return Description{}, err
		}
	case *pg.Node_VariableShowStmt:
		return Description{Columns: []dfstandinstore.Column{{Name: n.VariableShowStmt.Name, OID: dfstandinstore.OIDText}}}, nil
	}
	for i, oid := range x.oids {
		if oid == 0 {
			x.oids[i] = dfstandinstore.OIDText
		}
	}
	columns, err := x.resultColumns(list)
	return Description{Parameters: x.oids, Columns: columns}, err
}

// columnsOf returns the columns of a table, also of one that the open
// transaction created.
func (s *Session) columnsOf(name string) ([]dfstandinstore.Column, bool) {
	if s.tx != nil {
		return s.tx.Columns(name)
	}
	return s.database.Columns(name)
}

func (x *execution) describeFrom(statement *pg.SelectStmt) error {
	name := x.statement.tableName()
	if function := rangeFunction(statement); function != nil {
		name = lastName(function.Funcname)
		x.inferCall(function)
	}
	if name == "" {
		return nil
	}
	columns, found := x.session.environment.RelationColumns(name)
	if !found {
		columns, found = x.session.columnsOf(name)
	}
	if !found {
		return dfstandinstore.Errorf(dfstandinstore.CodeTable, "relation %q does not exist", name)
	}
	x.columns = columns
	return nil
}

func (x *execution) describeWrite() ([]*pg.Node, error) {
	x.infer(x.condition(), dfstandinstore.OIDBool)
	switch n := x.statement.node.Node.(type) {
	case *pg.Node_InsertStmt:
		targets, err := x.targets(n.InsertStmt.Cols)
		if err != nil {
			return nil, err
		}
		for _, list := range n.InsertStmt.SelectStmt.GetSelectStmt().GetValuesLists() {
			for i, item := range list.GetList().Items {
				if i < len(targets) {
					x.infer(item, x.columns[targets[i]].OID)
				}
			}
		}
		return n.InsertStmt.ReturningList, nil
	case *pg.Node_UpdateStmt:
		for _, target := range n.UpdateStmt.TargetList {
			at, err := columnIndex(x.columns, target.GetResTarget().Name)
			if err != nil {
				return nil, err
			}
			x.infer(target.GetResTarget().Val, x.columns[at].OID)
		}
		return n.UpdateStmt.ReturningList, nil
	}
	return x.statement.node.GetDeleteStmt().ReturningList, nil
}

// CopyColumns returns the number of columns that a COPY statement moves.
func (s *Session) CopyColumns(statement *Statement) (int, error) {
	copying := statement.node.GetCopyStmt()
	if statement.unsupported() {
		return 0, dfstandinstore.Errorf(dfstandinstore.CodeFeature, "only COPY of a table in text format is supported")
	}
	columns, found := s.columnsOf(statement.tableName())
	if !found {
		return 0, dfstandinstore.Errorf(dfstandinstore.CodeTable, "relation %q does not exist", statement.tableName())
	}
	if len(copying.Attlist) > 0 {
		return len(copying.Attlist), nil
	}
	return len(columns), nil
}

// CopyIn inserts rows in COPY's text format.
func (s *Session) CopyIn(ctx context.Context, statement *Statement, data []byte) (Result, error) {
	x := &execution{evaluator: evaluator{session: s, ctx: ctx}, statement: statement}
	for line := range bytes.Lines(data) {
		text, ended := strings.CutSuffix(string(line), "\n")
		if ended {
			text = strings.TrimSuffix(text, "\r")
		}
		if strings.Contains(text, "\r") {
			return Result{}, dfstandinstore.Errorf(dfstandinstore.CodeCopyFormat, "literal carriage return found in data")
		}
		if text == `\.` {
			break
		}
		var row []dfstandinstore.Value
		for _, field := range strings.Split(text, "\t") {
			row = append(row, copyField(field))
		}
		x.copied = append(x.copied, row)
	}
	return s.locked(x)
}

func copyField(field string) dfstandinstore.Value {
	if field == `\N` {
		return nil
	}
	return strings.NewReplacer(`\t`, "\t", `\n`, "\n", `\r`, "\r", `\\`, `\`).Replace(field)
}

// FormatCopy formats a row in COPY's text format.
func FormatCopy(row []dfstandinstore.Value) []byte {
	fields := make([]string, len(row))
	for i, value := range row {
		fields[i] = `\N`
		if value != nil {
			fields[i] = strings.NewReplacer(`\`, `\\`, "\t", `\t`, "\n", `\n`, "\r", `\r`).Replace(dfstandinstore.FormatText(value))
		}
	}
	return []byte(strings.Join(fields, "\t") + "\n")
}

func (x *execution) copy(statement *pg.CopyStmt) (Result, error) {
	targets, err := x.targets(statement.Attlist)
	if err != nil {
		return Result{}, err
	}
	if !statement.IsFrom {
		return x.copyOut(targets)
	}
	if err := x.tx.Writes(); err != nil {
		return Result{}, err
	}
	var rows [][]dfstandinstore.Value
	for _, fields := range x.copied {
		if len(fields) != len(targets) {
			return Result{}, dfstandinstore.Errorf("22P04", "COPY row has %d fields instead of %d", len(fields), len(targets))
		}
		row := make([]dfstandinstore.Value, len(x.columns))
		for i, field := range fields {
			if row[targets[i]], err = dfstandinstore.Coerce(field, x.columns[targets[i]].OID); err != nil {
				return Result{}, err
			}
		}
		rows = append(rows, row)
	}
	result, err := x.insertRows(rows, false, nil)
	result.Tag = strings.Replace(result.Tag, "INSERT 0", "COPY", 1)
	return result, err
}

func (x *execution) copyOut(targets []int) (Result, error) {
	found, err := x.find(nil)
	if err != nil {
		return Result{}, err
	}
	var result Result
	for _, row := range found {
		out := make([]dfstandinstore.Value, len(targets))
		for i, at := range targets {
			out[i] = row.Values[at]
		}
		result.Rows = append(result.Rows, out)
	}
	return result, nil
}
