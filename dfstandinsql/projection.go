package dfstandinsql

import (
	"fmt"
	"slices"

	pg "github.com/pganalyze/pg_query_go/v6"

	"dragonflygrade/dfstandinstore"
)

// relation answers a SELECT on a relation that is not a table.
func (x *execution) relation(statement *pg.SelectStmt, name string, arguments []*pg.Node) (Result, error) {
	columns, known := x.session.environment.RelationColumns(name)
	if !known {
		return Result{}, dfstandinstore.Errorf(dfstandinstore.CodeFunction, "function %s does not exist", name)
	}
	values := make([]dfstandinstore.Value, len(arguments))
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
	var rows [][]dfstandinstore.Value
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
func (x *execution) project(statement *pg.SelectStmt, rows [][]dfstandinstore.Value) (Result, error) {
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
		if limit, err = dfstandinstore.Coerce(limit, dfstandinstore.OIDInt8); err != nil {
			return Result{}, err
		}
		if count, ok := limit.(int64); ok && count >= 0 {
			result.Rows = result.Rows[:min(int(count), len(result.Rows))]
		}
	}
	result.Tag = fmt.Sprintf("SELECT %d", len(result.Rows))
	return result, nil
}

func (x *execution) sorted(statement *pg.SelectStmt, rows [][]dfstandinstore.Value) ([][]dfstandinstore.Value, error) {
	var failed error
	for _, clause := range slices.Backward(statement.SortClause) {
		by := clause.GetSortBy()
		descending := by.SortbyDir == pg.SortByDir_SORTBY_DESC
		slices.SortStableFunc(rows, func(a, b []dfstandinstore.Value) int {
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

// compareNulls puts null behind all values.
func compareNulls(left, right dfstandinstore.Value) int {
	switch {
	case left == nil && right == nil:
		return 0
	case left == nil:
		return 1
	case right == nil:
		return -1
	}
	result, _ := dfstandinstore.Compare(left, right)
	return result
}

func (x *execution) projectList(list []*pg.Node, rows [][]dfstandinstore.Value) (Result, error) {
	columns, err := x.resultColumns(list)
	if err != nil {
		return Result{}, err
	}
	if aggregated(list) {
		row, err := x.aggregates(list, rows)
		return Result{Columns: columns, Rows: [][]dfstandinstore.Value{row}}, err
	}
	result := Result{Columns: columns, Rows: make([][]dfstandinstore.Value, 0, len(rows))}
	for _, row := range rows {
		out := make([]dfstandinstore.Value, 0, len(columns))
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

func (x *execution) aggregates(list []*pg.Node, rows [][]dfstandinstore.Value) ([]dfstandinstore.Value, error) {
	out := make([]dfstandinstore.Value, len(list))
	for i, target := range list {
		name := aggregateName(target)
		if name == "" {
			return nil, dfstandinstore.Errorf(dfstandinstore.CodeFeature, "columns beside aggregates are not supported")
		}
		call := target.GetResTarget().Val.GetFuncCall()
		if name == "count" {
			out[i] = int64(0)
		}
		for _, row := range rows {
			var value dfstandinstore.Value = true
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

func accumulate(name string, total, value dfstandinstore.Value) (dfstandinstore.Value, error) {
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
	result, err := dfstandinstore.Compare(value, total)
	if (name == "max") == (result > 0) {
		return value, err
	}
	return total, err
}

func (x *execution) resultColumns(list []*pg.Node) ([]dfstandinstore.Column, error) {
	var columns []dfstandinstore.Column
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
			oid = dfstandinstore.OIDText
		}
		columns = append(columns, dfstandinstore.Column{Name: targetName(target), OID: oid})
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
