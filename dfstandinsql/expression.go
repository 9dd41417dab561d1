package dfstandinsql

import (
	"context"
	"regexp"
	"strconv"
	"strings"

	pg "github.com/pganalyze/pg_query_go/v6"

	"dragonflygrade/dfstandinstore"
)

// Environment supplies functions and relations that are not tables, and is
// told of changed settings.
type Environment interface {
	// FunctionOID returns the result type of a function.
	FunctionOID(name string) (uint32, bool)
	// Call runs a function; it may block until the context ends.
	Call(ctx context.Context, name string, arguments []dfstandinstore.Value) (dfstandinstore.Value, error)
	// RelationColumns returns the columns of a relation or of a function in FROM.
	RelationColumns(name string) ([]dfstandinstore.Column, bool)
	// Relation returns the rows; it may block until the context ends.
	Relation(ctx context.Context, name string, arguments []dfstandinstore.Value) ([][]dfstandinstore.Value, error)
	// Changed tells of the new value of a setting.
	Changed(name, value string)
}

type evaluator struct {
	session    *Session
	ctx        context.Context
	columns    []dfstandinstore.Column
	parameters []dfstandinstore.Value
	oids       []uint32
}

func (e *evaluator) eval(node *pg.Node, row []dfstandinstore.Value) (dfstandinstore.Value, error) {
	switch n := node.Node.(type) {
	case *pg.Node_AConst:
		return constant(n.AConst), nil
	case *pg.Node_ParamRef:
		return e.parameter(int(n.ParamRef.Number))
	case *pg.Node_ColumnRef:
		at, err := columnIndex(e.columns, lastName(n.ColumnRef.Fields))
		if err != nil {
			return nil, err
		}
		return row[at], nil
	case *pg.Node_TypeCast:
		value, err := e.eval(n.TypeCast.Arg, row)
		if err != nil {
			return nil, err
		}
		return dfstandinstore.Coerce(value, dfstandinstore.TypeOID(lastName(n.TypeCast.TypeName.Names)))
	case *pg.Node_AExpr:
		return e.operator(n.AExpr, row)
	case *pg.Node_BoolExpr:
		return e.boolean(n.BoolExpr, row)
	case *pg.Node_NullTest:
		value, err := e.eval(n.NullTest.Arg, row)
		return (value == nil) == (n.NullTest.Nulltesttype == pg.NullTestType_IS_NULL), err
	case *pg.Node_FuncCall:
		return e.call(n.FuncCall, row)
	}
	return nil, dfstandinstore.Errorf(dfstandinstore.CodeFeature, "expression is not supported")
}

func constant(c *pg.A_Const) dfstandinstore.Value {
	switch v := c.Val.(type) {
	case *pg.A_Const_Ival:
		return int64(v.Ival.Ival)
	case *pg.A_Const_Fval:
		if number, err := strconv.ParseInt(v.Fval.Fval, 10, 64); err == nil {
			return number
		}
		number, _ := strconv.ParseFloat(v.Fval.Fval, 64)
		return number
	case *pg.A_Const_Boolval:
		return v.Boolval.Boolval
	case *pg.A_Const_Sval:
		return v.Sval.Sval
	}
	return nil
}

func (e *evaluator) parameter(number int) (dfstandinstore.Value, error) {
	if number < 1 || number > len(e.parameters) {
		return nil, dfstandinstore.Errorf(dfstandinstore.CodeParameter, "there is no parameter $%d", number)
	}
	return e.parameters[number-1], nil
}

func (e *evaluator) operator(expression *pg.A_Expr, row []dfstandinstore.Value) (dfstandinstore.Value, error) {
	left, err := e.eval(orZero(expression.Lexpr), row)
	if err != nil {
		return nil, err
	}
	name := lastName(expression.Name)
	if expression.Kind == pg.A_Expr_Kind_AEXPR_IN {
		for _, item := range expression.Rexpr.GetList().Items {
			right, err := e.eval(item, row)
			if err != nil {
				return nil, err
			}
			if same, err := apply("=", left, right); err != nil || same == true {
				return name == "=", err
			}
		}
		return name != "=", nil
	}
	if expression.Kind != pg.A_Expr_Kind_AEXPR_OP && expression.Kind != pg.A_Expr_Kind_AEXPR_LIKE {
		return nil, dfstandinstore.Errorf(dfstandinstore.CodeFeature, "operator is not supported")
	}
	right, err := e.eval(expression.Rexpr, row)
	if err != nil {
		return nil, err
	}
	return apply(name, left, right)
}

// orZero supplies the left side of a unary minus.
func orZero(node *pg.Node) *pg.Node {
	if node != nil {
		return node
	}
	return pg.MakeAConstIntNode(0, -1)
}

func apply(name string, left, right dfstandinstore.Value) (dfstandinstore.Value, error) {
	if left == nil || right == nil {
		return nil, nil
	}
	switch name {
	case "=", "<>", "<", "<=", ">", ">=":
		return comparison(name, left, right)
	case "~~":
		return like(dfstandinstore.FormatText(left), dfstandinstore.FormatText(right)), nil
	case "||":
		return dfstandinstore.FormatText(left) + dfstandinstore.FormatText(right), nil
	case "+", "-", "*":
		return arithmetic(name, left, right)
	}
	return nil, dfstandinstore.Errorf(dfstandinstore.CodeFeature, "operator %s is not supported", name)
}

// like matches a pattern of LIKE without escapes.
func like(text, pattern string) bool {
	quoted := regexp.QuoteMeta(pattern)
	quoted = strings.NewReplacer("%", ".*", "_", ".").Replace(quoted)
	matched, err := regexp.MatchString("(?s)^"+quoted+"$", text)
	return err == nil && matched
}

func comparison(name string, left, right dfstandinstore.Value) (dfstandinstore.Value, error) {
	result, err := dfstandinstore.Compare(left, right)
	if err != nil {
		return nil, err
	}
	switch name {
	case "=":
		return result == 0, nil
	case "<>":
		return result != 0, nil
	case "<":
		return result < 0, nil
	case "<=":
		return result <= 0, nil
	case ">":
		return result > 0, nil
	}
	return result >= 0, nil
}

func arithmetic(name string, left, right dfstandinstore.Value) (dfstandinstore.Value, error) {
	l, leftInteger := left.(int64)
	r, rightInteger := right.(int64)
	if leftInteger && rightInteger {
		switch name {
		case "+":
			return l + r, nil
		case "-":
			return l - r, nil
		}
		return l * r, nil
	}
	x, err := dfstandinstore.Coerce(left, dfstandinstore.OIDFloat8)
	if err != nil {
		return nil, err
	}
	y, err := dfstandinstore.Coerce(right, dfstandinstore.OIDFloat8)
	if err != nil {
		return nil, err
	}
	switch name {
	case "+":
		return x.(float64) + y.(float64), nil
	case "-":
		return x.(float64) - y.(float64), nil
	}
	return x.(float64) * y.(float64), nil
}

func (e *evaluator) boolean(expression *pg.BoolExpr, row []dfstandinstore.Value) (dfstandinstore.Value, error) {
	unknown := false
	for _, argument := range expression.Args {
		value, err := e.eval(argument, row)
		if err != nil {
			return nil, err
		}
		switch {
		case expression.Boolop == pg.BoolExprType_NOT_EXPR:
			if value == nil {
				return nil, nil
			}
			return value != true, nil
		case value == nil:
			unknown = true
		case value == (expression.Boolop == pg.BoolExprType_OR_EXPR):
			return value, nil
		}
	}
	if unknown {
		return nil, nil
	}
	return expression.Boolop == pg.BoolExprType_AND_EXPR, nil
}

func (e *evaluator) call(call *pg.FuncCall, row []dfstandinstore.Value) (dfstandinstore.Value, error) {
	arguments := make([]dfstandinstore.Value, len(call.Args))
	for i, argument := range call.Args {
		value, err := e.eval(argument, row)
		if err != nil {
			return nil, err
		}
		arguments[i] = value
	}
	return e.session.call(e.ctx, lastName(call.Funcname), arguments)
}

// truth evaluates a condition; a missing condition is true, null is false.
func (e *evaluator) truth(condition *pg.Node, row []dfstandinstore.Value) (bool, error) {
	if condition == nil {
		return true, nil
	}
	value, err := e.eval(condition, row)
	return value == true, err
}

// equalities returns the values that the condition requires of columns.
func (e *evaluator) equalities(condition *pg.Node) map[int]dfstandinstore.Value {
	found := map[int]dfstandinstore.Value{}
	conditions := []*pg.Node{condition}
	if and := condition.GetBoolExpr(); and != nil && and.Boolop == pg.BoolExprType_AND_EXPR {
		conditions = and.Args
	}
	for _, node := range conditions {
		expression := node.GetAExpr()
		if expression == nil || expression.Kind != pg.A_Expr_Kind_AEXPR_OP || lastName(expression.Name) != "=" {
			continue
		}
		at, err := columnIndex(e.columns, lastName(expression.Lexpr.GetColumnRef().GetFields()))
		if err != nil || !isConstant(expression.Rexpr) {
			continue
		}
		value, err := e.eval(expression.Rexpr, nil)
		if err != nil {
			continue
		}
		if value, err = dfstandinstore.Coerce(value, e.columns[at].OID); err == nil && value != nil {
			found[at] = value
		}
	}
	return found
}

func isConstant(node *pg.Node) bool {
	if cast := node.GetTypeCast(); cast != nil {
		return isConstant(cast.Arg)
	}
	return node.GetAConst() != nil || node.GetParamRef() != nil
}

func columnIndex(columns []dfstandinstore.Column, name string) (int, error) {
	for i, column := range columns {
		if column.Name == name {
			return i, nil
		}
	}
	return 0, dfstandinstore.Errorf(dfstandinstore.CodeColumn, "column %q does not exist", name)
}

// typeOf returns the type of an expression; it leaves parameters of unknown
// type at zero.
func (e *evaluator) typeOf(node *pg.Node) (uint32, error) {
	switch n := node.GetNode().(type) {
	case *pg.Node_AConst:
		return constantOID(n.AConst), nil
	case *pg.Node_ParamRef:
		if at := int(n.ParamRef.Number); at <= len(e.oids) {
			return e.oids[at-1], nil
		}
		return 0, nil
	case *pg.Node_ColumnRef:
		at, err := columnIndex(e.columns, lastName(n.ColumnRef.Fields))
		if err != nil {
			return 0, err
		}
		return e.columns[at].OID, nil
	case *pg.Node_TypeCast:
		return dfstandinstore.TypeOID(lastName(n.TypeCast.TypeName.Names)), nil
	case *pg.Node_BoolExpr, *pg.Node_NullTest:
		return dfstandinstore.OIDBool, nil
	case *pg.Node_AExpr:
		return e.operatorOID(n.AExpr)
	case *pg.Node_FuncCall:
		return e.functionOID(n.FuncCall)
	}
	return 0, dfstandinstore.Errorf(dfstandinstore.CodeFeature, "expression is not supported")
}

func constantOID(c *pg.A_Const) uint32 {
	switch constant(c).(type) {
	case int64:
		if c.GetIval() != nil {
			return dfstandinstore.OIDInt4
		}
		return dfstandinstore.OIDInt8
	case float64:
		return dfstandinstore.OIDFloat8
	case bool:
		return dfstandinstore.OIDBool
	}
	return dfstandinstore.OIDText
}

func (e *evaluator) operatorOID(expression *pg.A_Expr) (uint32, error) {
	name := lastName(expression.Name)
	if name == "||" {
		return dfstandinstore.OIDText, nil
	}
	switch name {
	case "+", "-", "*":
	default:
		return dfstandinstore.OIDBool, nil
	}
	left, err := e.typeOf(orZero(expression.Lexpr))
	if err != nil {
		return 0, err
	}
	right, err := e.typeOf(expression.Rexpr)
	if err != nil {
		return 0, err
	}
	for _, oid := range []uint32{dfstandinstore.OIDFloat8, dfstandinstore.OIDInt8} {
		if left == oid || right == oid {
			return oid, nil
		}
	}
	return dfstandinstore.OIDInt4, nil
}

func (e *evaluator) functionOID(call *pg.FuncCall) (uint32, error) {
	name := lastName(call.Funcname)
	switch name {
	case "count":
		if !call.AggStar && len(call.Args) != 1 {
			return 0, dfstandinstore.Errorf(dfstandinstore.CodeFunction, "function count needs one argument")
		}
		return dfstandinstore.OIDInt8, nil
	case "sum", "max", "min":
		if len(call.Args) != 1 {
			return 0, dfstandinstore.Errorf(dfstandinstore.CodeFunction, "function %s needs one argument", name)
		}
		oid, err := e.typeOf(call.Args[0])
		if name == "sum" && oid == dfstandinstore.OIDInt4 {
			oid = dfstandinstore.OIDInt8
		}
		return oid, err
	case "pg_current_xact_id_if_assigned":
		return dfstandinstore.OIDInt8, nil
	case "pg_sleep", "current_setting", "set_config":
		return dfstandinstore.OIDText, nil
	}
	if oid, known := e.session.environment.FunctionOID(name); known {
		return oid, nil
	}
	return 0, dfstandinstore.Errorf(dfstandinstore.CodeFunction, "function %s does not exist", name)
}

// infer sets the types of parameters of unknown type from their context.
func (e *evaluator) infer(node *pg.Node, hint uint32) {
	switch n := node.GetNode().(type) {
	case *pg.Node_ParamRef:
		for len(e.oids) < int(n.ParamRef.Number) {
			e.oids = append(e.oids, 0)
		}
		if at := n.ParamRef.Number - 1; e.oids[at] == 0 {
			e.oids[at] = hint
		}
	case *pg.Node_TypeCast:
		e.infer(n.TypeCast.Arg, dfstandinstore.TypeOID(lastName(n.TypeCast.TypeName.Names)))
	case *pg.Node_AExpr:
		e.inferOperator(n.AExpr, hint)
	case *pg.Node_BoolExpr:
		for _, argument := range n.BoolExpr.Args {
			e.infer(argument, dfstandinstore.OIDBool)
		}
	case *pg.Node_NullTest:
		e.infer(n.NullTest.Arg, dfstandinstore.OIDText)
	case *pg.Node_FuncCall:
		e.inferCall(n.FuncCall)
	}
}

func (e *evaluator) inferOperator(expression *pg.A_Expr, hint uint32) {
	if expression.Kind == pg.A_Expr_Kind_AEXPR_IN {
		left, _ := e.typeOf(expression.Lexpr)
		for _, item := range expression.Rexpr.GetList().GetItems() {
			e.infer(item, left)
		}
		return
	}
	for _, sides := range [][2]*pg.Node{{expression.Lexpr, expression.Rexpr}, {expression.Rexpr, expression.Lexpr}} {
		if sides[0] == nil {
			continue
		}
		oid := hint
		if sides[1] != nil {
			if other, err := e.typeOf(sides[1]); err == nil && other != 0 {
				oid = other
			}
		}
		e.infer(sides[0], oid)
	}
}

func (e *evaluator) inferCall(call *pg.FuncCall) {
	for _, argument := range call.Args {
		switch lastName(call.Funcname) {
		case "pg_sleep":
			e.infer(argument, dfstandinstore.OIDFloat8)
		case "pg_xact_status":
			e.infer(argument, dfstandinstore.OIDInt8)
		default:
			e.infer(argument, dfstandinstore.OIDText)
		}
	}
}
