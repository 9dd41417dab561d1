package dfstandinsql

import (
	"fmt"
	"slices"
	"strings"

	pg "github.com/pganalyze/pg_query_go/v6"

	"dragonflygrade/dfstandinstore"
)

// execution is one run of a statement within a transaction. The methods that
// touch tables run as a step of the transaction.
type execution struct {
	evaluator
	statement *Statement
	tx        *dfstandinstore.Transaction
	table     *dfstandinstore.Table
	copied    [][]dfstandinstore.Value
}

func (x *execution) tables() (Result, error) {
	switch n := x.statement.node.Node.(type) {
	case *pg.Node_CreateStmt:
		return x.create(n.CreateStmt)
	case *pg.Node_SelectStmt, *pg.Node_InsertStmt, *pg.Node_UpdateStmt, *pg.Node_DeleteStmt, *pg.Node_CopyStmt:
	default:
		return Result{}, dfstandinstore.Errorf(dfstandinstore.CodeFeature, "statement is not supported: %.40s", x.statement.SQL)
	}
	name, found := x.statement.tableName(), false
	if x.table, found = x.tx.Table(name); !found {
		return Result{}, dfstandinstore.Errorf(dfstandinstore.CodeTable, "relation %q does not exist", name)
	}
	x.columns = x.table.Columns()
	switch n := x.statement.node.Node.(type) {
	case *pg.Node_SelectStmt:
		return x.query(n.SelectStmt)
	case *pg.Node_InsertStmt:
		return x.insert(n.InsertStmt)
	case *pg.Node_UpdateStmt:
		return x.update(n.UpdateStmt)
	case *pg.Node_DeleteStmt:
		return x.delete(n.DeleteStmt)
	}
	return x.copy(x.statement.node.GetCopyStmt())
}

func (x *execution) create(statement *pg.CreateStmt) (Result, error) {
	if err := x.tx.Writes(); err != nil {
		return Result{}, err
	}
	name := statement.Relation.Relname
	if _, found := x.tx.Table(name); found && statement.IfNotExists {
		return Result{Tag: "CREATE TABLE"}, nil
	}
	var columns []dfstandinstore.Column
	for _, element := range statement.TableElts {
		definition := element.GetColumnDef()
		if definition == nil {
			return Result{}, dfstandinstore.Errorf(dfstandinstore.CodeFeature, "table constraints are not supported")
		}
		column := dfstandinstore.Column{Name: definition.Colname, OID: dfstandinstore.TypeOID(lastName(definition.TypeName.Names))}
		for _, constraint := range definition.Constraints {
			primary := constraint.GetConstraint().GetContype() == pg.ConstrType_CONSTR_PRIMARY
			column.Primary = column.Primary || primary
			column.Unique = column.Unique || primary || constraint.GetConstraint().GetContype() == pg.ConstrType_CONSTR_UNIQUE
		}
		columns = append(columns, column)
	}
	return Result{Tag: "CREATE TABLE"}, x.tx.Create(name, columns)
}

// find returns the rows that the transaction sees for a condition.
func (x *execution) find(condition *pg.Node) ([]dfstandinstore.Row, error) {
	if condition != nil {
		if _, err := x.typeOf(condition); err != nil {
			return nil, err
		}
	}
	scan := x.evaluator
	return x.tx.Find(x.table, x.equalities(condition), func(values []dfstandinstore.Value) (bool, error) {
		return scan.truth(condition, values)
	})
}

func (x *execution) insert(statement *pg.InsertStmt) (Result, error) {
	conflict := statement.OnConflictClause
	if conflict != nil && conflict.Action != pg.OnConflictAction_ONCONFLICT_NOTHING {
		return Result{}, dfstandinstore.Errorf(dfstandinstore.CodeFeature, "ON CONFLICT DO UPDATE is not supported")
	}
	if err := x.tx.Writes(); err != nil {
		return Result{}, err
	}
	rows, err := x.valueRows(statement)
	if err != nil {
		return Result{}, err
	}
	return x.insertRows(rows, conflict != nil, statement.ReturningList)
}

func (x *execution) insertRows(rows [][]dfstandinstore.Value, skip bool, returning []*pg.Node) (Result, error) {
	for _, values := range rows {
		if err := x.tx.LockUnique(x.table, values); err != nil {
			return Result{}, err
		}
	}
	var inserted [][]dfstandinstore.Value
	for _, values := range rows {
		row, column, err := x.tx.Insert(x.table, values)
		if err != nil {
			return Result{}, err
		}
		if column == "" {
			inserted = append(inserted, row.Values)
			continue
		}
		if !skip {
			return Result{}, x.violates(column)
		}
	}
	return x.returned(fmt.Sprintf("INSERT 0 %d", len(inserted)), inserted, returning)
}

func (x *execution) violates(column string) error {
	return &dfstandinstore.Error{Code: dfstandinstore.CodeUnique, Message: "duplicate key value violates unique constraint",
		Detail: fmt.Sprintf("Column %s of table %s.", column, x.table.Name())}
}

// valueRows evaluates the VALUES lists into whole rows.
func (x *execution) valueRows(statement *pg.InsertStmt) ([][]dfstandinstore.Value, error) {
	targets, err := x.targets(statement.Cols)
	if err != nil {
		return nil, err
	}
	var rows [][]dfstandinstore.Value
	for _, list := range statement.SelectStmt.GetSelectStmt().GetValuesLists() {
		items := list.GetList().Items
		if len(items) > len(targets) {
			return nil, dfstandinstore.Errorf(dfstandinstore.CodeSyntax, "INSERT has more expressions than target columns")
		}
		row := make([]dfstandinstore.Value, len(x.columns))
		for i, item := range items {
			if item.GetSetToDefault() != nil {
				continue
			}
			value, err := x.eval(item, nil)
			if err != nil {
				return nil, err
			}
			if row[targets[i]], err = dfstandinstore.Coerce(value, x.columns[targets[i]].OID); err != nil {
				return nil, err
			}
		}
		rows = append(rows, row)
	}
	if len(rows) == 0 {
		return nil, dfstandinstore.Errorf(dfstandinstore.CodeFeature, "INSERT needs VALUES")
	}
	return rows, nil
}

// targets returns the places of the named columns, or of all.
func (x *execution) targets(names []*pg.Node) ([]int, error) {
	var targets []int
	for _, node := range names {
		name := node.GetResTarget().GetName()
		if name == "" {
			name = node.GetString_().GetSval()
		}
		at, err := columnIndex(x.columns, name)
		if err != nil {
			return nil, err
		}
		targets = append(targets, at)
	}
	if len(names) == 0 {
		for at := range x.columns {
			targets = append(targets, at)
		}
	}
	return targets, nil
}

func (x *execution) update(statement *pg.UpdateStmt) (Result, error) {
	if err := x.tx.Writes(); err != nil {
		return Result{}, err
	}
	for _, target := range statement.TargetList {
		if _, err := x.typeOf(target.GetResTarget().Val); err != nil {
			return Result{}, err
		}
	}
	rows, err := x.find(statement.WhereClause)
	if err != nil {
		return Result{}, err
	}
	if err := x.tx.Lock(x.table, rows); err != nil {
		return Result{}, err
	}
	for i, row := range rows {
		if rows[i].Values, err = x.assigned(statement, row.Values); err != nil {
			return Result{}, err
		}
		if err := x.tx.LockUnique(x.table, rows[i].Values); err != nil {
			return Result{}, err
		}
	}
	for _, row := range rows {
		column, err := x.tx.Update(x.table, row)
		if err != nil {
			return Result{}, err
		}
		if column != "" {
			return Result{}, x.violates(column)
		}
	}
	return x.returned(fmt.Sprintf("UPDATE %d", len(rows)), rowValues(rows), statement.ReturningList)
}

// assigned returns a row with the assignments of an UPDATE.
func (x *execution) assigned(statement *pg.UpdateStmt, row []dfstandinstore.Value) ([]dfstandinstore.Value, error) {
	values := slices.Clone(row)
	for _, target := range statement.TargetList {
		at, err := columnIndex(x.columns, target.GetResTarget().Name)
		if err != nil {
			return nil, err
		}
		value, err := x.eval(target.GetResTarget().Val, row)
		if err != nil {
			return nil, err
		}
		if values[at], err = dfstandinstore.Coerce(value, x.columns[at].OID); err != nil {
			return nil, err
		}
	}
	return values, nil
}

func (x *execution) delete(statement *pg.DeleteStmt) (Result, error) {
	if err := x.tx.Writes(); err != nil {
		return Result{}, err
	}
	rows, err := x.find(statement.WhereClause)
	if err != nil {
		return Result{}, err
	}
	if err := x.tx.Lock(x.table, rows); err != nil {
		return Result{}, err
	}
	for _, row := range rows {
		x.tx.Delete(x.table, row)
	}
	return x.returned(fmt.Sprintf("DELETE %d", len(rows)), rowValues(rows), statement.ReturningList)
}

func (x *execution) returned(tag string, rows [][]dfstandinstore.Value, list []*pg.Node) (Result, error) {
	if len(list) == 0 {
		return Result{Tag: tag}, nil
	}
	result, err := x.projectList(list, rows)
	result.Tag = tag
	return result, err
}

func rowValues(rows []dfstandinstore.Row) [][]dfstandinstore.Value {
	values := make([][]dfstandinstore.Value, len(rows))
	for i, row := range rows {
		values[i] = row.Values
	}
	return values
}

func (x *execution) query(statement *pg.SelectStmt) (Result, error) {
	locking := len(statement.LockingClause) > 0
	if locking {
		if err := x.tx.Writes(); err != nil {
			return Result{}, err
		}
	}
	rows, err := x.find(statement.WhereClause)
	if err != nil {
		return Result{}, err
	}
	if locking {
		if err := x.tx.Lock(x.table, rows); err != nil {
			return Result{}, err
		}
	}
	return x.project(statement, rowValues(rows))
}

// tag describes the statement for the record of its transaction.
func (x *execution) tag() dfstandinstore.Tag {
	tag := dfstandinstore.Tag{SQL: x.statement.SQL, Parameters: make([]string, len(x.parameters))}
	for i, parameter := range x.parameters {
		tag.Parameters[i] = dfstandinstore.FormatText(parameter)
	}
	tag.Marker = x.marker()
	return tag
}

func (x *execution) marker() string {
	if x.table == nil {
		return ""
	}
	var known map[int]dfstandinstore.Value
	if statement := x.statement.node.GetInsertStmt(); statement != nil {
		rows, err := x.valueRows(statement)
		if err != nil {
			return ""
		}
		known = map[int]dfstandinstore.Value{}
		for at, value := range rows[0] {
			known[at] = value
		}
	} else {
		known = x.equalities(x.condition())
	}
	key := ""
	for at, column := range x.columns {
		if known[at] == nil {
			continue
		}
		if strings.EqualFold(column.Name, "idempotency_key") {
			return dfstandinstore.FormatText(known[at])
		}
		if column.Primary {
			key = dfstandinstore.FormatText(known[at])
		}
	}
	return key
}

func (x *execution) condition() *pg.Node {
	node := x.statement.node
	switch {
	case node.GetSelectStmt() != nil:
		return node.GetSelectStmt().WhereClause
	case node.GetUpdateStmt() != nil:
		return node.GetUpdateStmt().WhereClause
	case node.GetDeleteStmt() != nil:
		return node.GetDeleteStmt().WhereClause
	}
	return nil
}
