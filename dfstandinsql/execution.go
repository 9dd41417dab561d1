package dfstandinsql

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	pg "github.com/pganalyze/pg_query_go/v6"
)

// execution is one run of a statement within a transaction. The methods that
// touch tables run with the database locked.
type execution struct {
	evaluator
	statement *Statement
	db        *Database
	tx        *transaction
	table     *table
	copied    [][]Value
}

func (x *execution) tables() (Result, error) {
	switch n := x.statement.node.Node.(type) {
	case *pg.Node_CreateStmt:
		return x.create(n.CreateStmt)
	case *pg.Node_SelectStmt, *pg.Node_InsertStmt, *pg.Node_UpdateStmt, *pg.Node_DeleteStmt, *pg.Node_CopyStmt:
	default:
		return Result{}, Errorf(CodeFeature, "statement is not supported: %.40s", x.statement.SQL)
	}
	name := x.statement.tableName()
	x.table = x.db.tables[name]
	if created := x.tx.created[name]; created != nil {
		x.table = created
	}
	if x.table == nil {
		return Result{}, Errorf(CodeTable, "relation %q does not exist", name)
	}
	x.columns = x.table.columns
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

// writes checks that the transaction may write and gives it an identity.
func (x *execution) writes() error {
	if x.tx.readOnly {
		return Errorf(CodeReadOnly, "cannot write in a read-only transaction")
	}
	if err := x.db.hooks.Writable(); err != nil {
		return err
	}
	if x.tx.xid == 0 {
		x.tx.xid = x.db.hooks.NextXID()
	}
	return nil
}

func (x *execution) create(statement *pg.CreateStmt) (Result, error) {
	if err := x.writes(); err != nil {
		return Result{}, err
	}
	name := statement.Relation.Relname
	if x.db.tables[name] != nil || x.tx.created[name] != nil {
		if statement.IfNotExists {
			return Result{Tag: "CREATE TABLE"}, nil
		}
		return Result{}, Errorf(CodeDuplicate, "relation %q already exists", name)
	}
	var columns []Column
	for _, element := range statement.TableElts {
		definition := element.GetColumnDef()
		if definition == nil {
			return Result{}, Errorf(CodeFeature, "table constraints are not supported")
		}
		column := Column{Name: definition.Colname, OID: typeOID(lastName(definition.TypeName.Names))}
		for _, constraint := range definition.Constraints {
			primary := constraint.GetConstraint().GetContype() == pg.ConstrType_CONSTR_PRIMARY
			column.Primary = column.Primary || primary
			column.Unique = column.Unique || primary || constraint.GetConstraint().GetContype() == pg.ConstrType_CONSTR_UNIQUE
		}
		columns = append(columns, column)
	}
	if err := x.db.lock(x.tx, "table/"+name); err != nil {
		return Result{}, err
	}
	x.tx.created[name] = newTable(name, columns)
	x.tx.changes = append(x.tx.changes, Change{Table: name, Schema: columns})
	return Result{Tag: "CREATE TABLE"}, nil
}

type foundRow struct {
	id     RowID
	values []Value
}

// find returns the rows that the transaction sees for a condition, and
// remembers the scan for the check at commit.
func (x *execution) find(condition *pg.Node) ([]foundRow, error) {
	equal := x.equalities(condition)
	from := func(t *table) []RowID {
		best, indexed := -1, slices.Sorted(maps.Keys(equal))
		for _, column := range indexed {
			if best < 0 || (t.columns[column].Unique && !t.columns[best].Unique) {
				best = column
			}
		}
		if best < 0 {
			return t.order
		}
		return t.candidates(best, equal[best])
	}
	evaluator := x.evaluator
	read := readSet{table: x.table.name, from: from, match: func(values []Value) (bool, error) {
		return evaluator.truth(condition, values)
	}}
	sequence := x.db.sequence
	if x.tx.readOnly {
		sequence = x.tx.snapshot
	}
	committed, err := x.db.scan(read, sequence)
	if err != nil {
		return nil, err
	}
	if !x.tx.readOnly {
		read.found = committed
		x.tx.reads = append(x.tx.reads, read)
	}
	own := x.tx.overlay[x.table.name]
	ids := slices.Concat(slices.Collect(maps.Keys(committed)), slices.Collect(maps.Keys(own)))
	slices.Sort(ids)
	var rows []foundRow
	for _, id := range slices.Compact(ids) {
		values, changed := own[id]
		if !changed {
			values = x.table.at(id, sequence).values
		}
		if values == nil {
			continue
		}
		matched, err := x.truth(condition, values)
		if err != nil {
			return nil, err
		}
		if matched {
			rows = append(rows, foundRow{id: id, values: values})
		}
	}
	return rows, nil
}

// lockRows also locks the rows' unique values, so that a row that made an
// INSERT skip stays until that transaction ends.
func (x *execution) lockRows(rows []foundRow) error {
	for _, row := range rows {
		if err := x.lockUnique(row.values); err != nil {
			return err
		}
		if err := x.db.lock(x.tx, fmt.Sprintf("row/%s/%d", x.table.name, row.id)); err != nil {
			return err
		}
	}
	return nil
}

// write records a change in the transaction and returns the row.
func (x *execution) write(id RowID, values []Value) {
	if x.tx.overlay[x.table.name] == nil {
		x.tx.overlay[x.table.name] = map[RowID][]Value{}
	}
	x.tx.overlay[x.table.name][id] = values
	x.tx.changes = append(x.tx.changes, Change{Table: x.table.name, Row: id, Values: values})
}

// lockUnique locks the unique values of a row against other transactions.
func (x *execution) lockUnique(values []Value) error {
	for at, column := range x.columns {
		if !column.Unique || values[at] == nil {
			continue
		}
		if err := x.db.lock(x.tx, fmt.Sprintf("unique/%s/%s/%s", x.table.name, column.Name, FormatText(values[at]))); err != nil {
			return err
		}
	}
	return nil
}

// duplicate returns the column whose value another visible row holds.
func (x *execution) duplicate(id RowID, values []Value) (string, error) {
	for at, column := range x.columns {
		if column.Primary && values[at] == nil {
			return "", Errorf(CodeNotNull, "null value in column %q violates not-null constraint", column.Name)
		}
		if !column.Unique || values[at] == nil {
			continue
		}
		own := x.tx.overlay[x.table.name]
		for other, row := range own {
			if other != id && row != nil && row[at] == values[at] {
				return column.Name, nil
			}
		}
		for _, other := range x.table.candidates(at, values[at]) {
			if _, changed := own[other]; changed || other == id {
				continue
			}
			if row := x.table.at(other, x.db.sequence).values; row != nil && row[at] == values[at] {
				return column.Name, nil
			}
		}
	}
	return "", nil
}

func (x *execution) insert(statement *pg.InsertStmt) (Result, error) {
	conflict := statement.OnConflictClause
	if conflict != nil && conflict.Action != pg.OnConflictAction_ONCONFLICT_NOTHING {
		return Result{}, Errorf(CodeFeature, "ON CONFLICT DO UPDATE is not supported")
	}
	if err := x.writes(); err != nil {
		return Result{}, err
	}
	rows, err := x.valueRows(statement)
	if err != nil {
		return Result{}, err
	}
	return x.insertRows(rows, conflict != nil, statement.ReturningList)
}

func (x *execution) insertRows(rows [][]Value, skip bool, returning []*pg.Node) (Result, error) {
	for _, row := range rows {
		if err := x.lockUnique(row); err != nil {
			return Result{}, err
		}
	}
	var inserted []foundRow
	for _, row := range rows {
		id := x.table.next
		if x.columns[0].Name == "id" && row[0] == nil && x.columns[0].OID == OIDInt8 {
			id = x.freshID()
			row[0] = int64(id)
		}
		column, err := x.duplicate(id, row)
		if err != nil {
			return Result{}, err
		}
		if column != "" && skip {
			continue
		}
		if column != "" {
			return Result{}, &Error{Code: CodeUnique, Message: "duplicate key value violates unique constraint",
				Detail: fmt.Sprintf("Column %s of table %s.", column, x.table.name)}
		}
		x.table.next = max(x.table.next, id+1)
		x.write(id, row)
		inserted = append(inserted, foundRow{id: id, values: row})
	}
	return x.returned(fmt.Sprintf("INSERT 0 %d", len(inserted)), inserted, returning)
}

// freshID returns a row identity that no statement gave as a key.
func (x *execution) freshID() RowID {
	id := x.table.next
	for len(x.table.candidates(0, int64(id))) > 0 {
		id++
	}
	return id
}

// valueRows evaluates the VALUES lists into whole rows.
func (x *execution) valueRows(statement *pg.InsertStmt) ([][]Value, error) {
	targets, err := x.targets(statement.Cols)
	if err != nil {
		return nil, err
	}
	var rows [][]Value
	for _, list := range statement.SelectStmt.GetSelectStmt().GetValuesLists() {
		items := list.GetList().Items
		if len(items) > len(targets) {
			return nil, Errorf(CodeSyntax, "INSERT has more expressions than target columns")
		}
		row := make([]Value, len(x.columns))
		for i, item := range items {
			if item.GetSetToDefault() != nil {
				continue
			}
			value, err := x.eval(item, nil)
			if err != nil {
				return nil, err
			}
			if row[targets[i]], err = Coerce(value, x.columns[targets[i]].OID); err != nil {
				return nil, err
			}
		}
		rows = append(rows, row)
	}
	if len(rows) == 0 {
		return nil, Errorf(CodeFeature, "INSERT needs VALUES")
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
	if err := x.writes(); err != nil {
		return Result{}, err
	}
	rows, err := x.find(statement.WhereClause)
	if err != nil {
		return Result{}, err
	}
	if err := x.lockRows(rows); err != nil {
		return Result{}, err
	}
	for i, row := range rows {
		values := slices.Clone(row.values)
		for _, target := range statement.TargetList {
			at, err := columnIndex(x.columns, target.GetResTarget().Name)
			if err != nil {
				return Result{}, err
			}
			value, err := x.eval(target.GetResTarget().Val, row.values)
			if err != nil {
				return Result{}, err
			}
			if values[at], err = Coerce(value, x.columns[at].OID); err != nil {
				return Result{}, err
			}
		}
		if err := x.lockUnique(values); err != nil {
			return Result{}, err
		}
		rows[i].values = values
	}
	for _, row := range rows {
		if column, err := x.duplicate(row.id, row.values); err != nil || column != "" {
			return Result{}, firstError(err, Errorf(CodeUnique, "duplicate key value violates unique constraint on %s", column))
		}
		x.write(row.id, row.values)
	}
	return x.returned(fmt.Sprintf("UPDATE %d", len(rows)), rows, statement.ReturningList)
}

func firstError(err error, otherwise *Error) error {
	if err != nil {
		return err
	}
	return otherwise
}

func (x *execution) delete(statement *pg.DeleteStmt) (Result, error) {
	if err := x.writes(); err != nil {
		return Result{}, err
	}
	rows, err := x.find(statement.WhereClause)
	if err != nil {
		return Result{}, err
	}
	if err := x.lockRows(rows); err != nil {
		return Result{}, err
	}
	for _, row := range rows {
		x.write(row.id, nil)
	}
	return x.returned(fmt.Sprintf("DELETE %d", len(rows)), rows, statement.ReturningList)
}

func (x *execution) returned(tag string, rows []foundRow, list []*pg.Node) (Result, error) {
	if len(list) == 0 {
		return Result{Tag: tag}, nil
	}
	result, err := x.projectList(list, rowValues(rows))
	result.Tag = tag
	return result, err
}

func rowValues(rows []foundRow) [][]Value {
	values := make([][]Value, len(rows))
	for i, row := range rows {
		values[i] = row.values
	}
	return values
}

func (x *execution) query(statement *pg.SelectStmt) (Result, error) {
	locking := len(statement.LockingClause) > 0
	if locking {
		if err := x.writes(); err != nil {
			return Result{}, err
		}
	}
	rows, err := x.find(statement.WhereClause)
	if err != nil {
		return Result{}, err
	}
	if locking {
		if err := x.lockRows(rows); err != nil {
			return Result{}, err
		}
	}
	return x.project(statement, rowValues(rows))
}

// relation answers a SELECT on a relation that is not a table.
func (x *execution) relation(statement *pg.SelectStmt, name string, arguments []*pg.Node) (Result, error) {
	columns, known := x.session.environment.RelationColumns(name)
	if !known {
		return Result{}, Errorf(CodeFunction, "function %s does not exist", name)
	}
	values := make([]Value, len(arguments))
	for i, argument := range arguments {
		value, err := x.eval(argument, nil)
		if err != nil {
			return Result{}, err
		}
		values[i] = value
	}
	all, err := x.session.environment.Relation(x.ctx, name, values)
	if err != nil {
		return Result{}, err
	}
	x.columns = columns
	var rows [][]Value
	for _, row := range all {
		matched, err := x.truth(statement.WhereClause, row)
		if err != nil {
			return Result{}, err
		}
		if matched {
			rows = append(rows, row)
		}
	}
	return x.project(statement, rows)
}

// project sorts, limits and evaluates the target list.
func (x *execution) project(statement *pg.SelectStmt, rows [][]Value) (Result, error) {
	if len(statement.GroupClause) > 0 || statement.HavingClause != nil || len(statement.DistinctClause) > 0 || statement.WithClause != nil {
		return Result{}, Errorf(CodeFeature, "GROUP BY, HAVING, DISTINCT and WITH are not supported")
	}
	rows, err := x.sorted(statement, rows)
	if err != nil {
		return Result{}, err
	}
	result, err := x.projectList(statement.TargetList, rows)
	if err != nil {
		return Result{}, err
	}
	if statement.LimitCount != nil {
		limit, err := x.eval(statement.LimitCount, nil)
		if err != nil {
			return Result{}, err
		}
		if limit, err = Coerce(limit, OIDInt8); err != nil {
			return Result{}, err
		}
		if count, ok := limit.(int64); ok && count >= 0 {
			result.Rows = result.Rows[:min(int(count), len(result.Rows))]
		}
	}
	result.Tag = fmt.Sprintf("SELECT %d", len(result.Rows))
	return result, nil
}

func (x *execution) sorted(statement *pg.SelectStmt, rows [][]Value) ([][]Value, error) {
	var failed error
	for _, clause := range slices.Backward(statement.SortClause) {
		by := clause.GetSortBy()
		descending := by.SortbyDir == pg.SortByDir_SORTBY_DESC
		slices.SortStableFunc(rows, func(a, b []Value) int {
			left, err := x.eval(by.Node, a)
			if err != nil {
				failed = err
				return 0
			}
			right, err := x.eval(by.Node, b)
			if err != nil {
				failed = err
				return 0
			}
			result := compareNulls(left, right)
			if descending {
				return -result
			}
			return result
		})
	}
	return rows, failed
}

func compareNulls(left, right Value) int {
	if left == nil || right == nil {
		return order(left != nil, right != nil)
	}
	result, _ := compare(left, right)
	return result
}

func (x *execution) projectList(list []*pg.Node, rows [][]Value) (Result, error) {
	columns, err := x.resultColumns(list)
	if err != nil {
		return Result{}, err
	}
	if aggregated(list) {
		row, err := x.aggregates(list, rows)
		return Result{Columns: columns, Rows: [][]Value{row}}, err
	}
	result := Result{Columns: columns, Rows: make([][]Value, 0, len(rows))}
	for _, row := range rows {
		out := make([]Value, 0, len(columns))
		for _, target := range list {
			if isStar(target.GetResTarget().Val) {
				out = append(out, row...)
				continue
			}
			value, err := x.eval(target.GetResTarget().Val, row)
			if err != nil {
				return Result{}, err
			}
			out = append(out, value)
		}
		result.Rows = append(result.Rows, out)
	}
	return result, nil
}

func aggregateName(node *pg.Node) string {
	call := node.GetResTarget().GetVal().GetFuncCall()
	switch name := lastName(call.GetFuncname()); name {
	case "count", "sum", "max", "min":
		return name
	}
	return ""
}

func aggregated(list []*pg.Node) bool {
	return slices.ContainsFunc(list, func(node *pg.Node) bool { return aggregateName(node) != "" })
}

func (x *execution) aggregates(list []*pg.Node, rows [][]Value) ([]Value, error) {
	out := make([]Value, len(list))
	for i, target := range list {
		name := aggregateName(target)
		if name == "" {
			return nil, Errorf(CodeFeature, "columns beside aggregates are not supported")
		}
		call := target.GetResTarget().Val.GetFuncCall()
		if name == "count" {
			out[i] = int64(0)
		}
		for _, row := range rows {
			var value Value = true
			if !call.AggStar {
				var err error
				if value, err = x.eval(call.Args[0], row); err != nil {
					return nil, err
				}
			}
			next, err := accumulate(name, out[i], value)
			if err != nil {
				return nil, err
			}
			out[i] = next
		}
	}
	return out, nil
}

func accumulate(name string, total, value Value) (Value, error) {
	switch {
	case value == nil:
		return total, nil
	case name == "count":
		return total.(int64) + 1, nil
	case total == nil:
		return value, nil
	case name == "sum":
		return arithmetic("+", total, value)
	}
	result, err := compare(value, total)
	if (name == "max") == (result > 0) {
		return value, err
	}
	return total, err
}

func (x *execution) resultColumns(list []*pg.Node) ([]Column, error) {
	var columns []Column
	for _, node := range list {
		target := node.GetResTarget()
		if isStar(target.Val) {
			columns = append(columns, x.columns...)
			continue
		}
		oid, err := x.typeOf(target.Val)
		if err != nil {
			return nil, err
		}
		if oid == 0 {
			oid = OIDText
		}
		columns = append(columns, Column{Name: targetName(target), OID: oid})
	}
	return columns, nil
}

func targetName(target *pg.ResTarget) string {
	switch {
	case target.Name != "":
		return target.Name
	case target.Val.GetColumnRef() != nil:
		return lastName(target.Val.GetColumnRef().Fields)
	case target.Val.GetFuncCall() != nil:
		return lastName(target.Val.GetFuncCall().Funcname)
	case target.Val.GetTypeCast() != nil:
		return lastName(target.Val.GetTypeCast().TypeName.Names)
	}
	return "?column?"
}

// tag describes the statement for the record of its transaction.
func (x *execution) tag() Tag {
	tag := Tag{SQL: x.statement.SQL, Parameters: make([]string, len(x.parameters))}
	for i, parameter := range x.parameters {
		tag.Parameters[i] = FormatText(parameter)
	}
	tag.Marker = x.marker()
	return tag
}

func (x *execution) marker() string {
	if x.table == nil {
		return ""
	}
	var known map[int]Value
	if statement := x.statement.node.GetInsertStmt(); statement != nil {
		rows, err := x.valueRows(statement)
		if err != nil {
			return ""
		}
		known = map[int]Value{}
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
			return FormatText(known[at])
		}
		if column.Primary {
			key = FormatText(known[at])
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
