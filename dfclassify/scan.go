package dfclassify

import (
	"sort"
	"strconv"
	"strings"

	pgquery "github.com/pganalyze/pg_query_go/v6"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// finding is what a walk through a tree of nodes found.
type finding struct {
	writes  bool
	effects Effect
}

// names collects the relations of a text.
type names struct {
	relations map[string]struct{}
	// common are the names of common table expressions.
	common map[string]struct{}
}

func newNames() *names {
	return &names{relations: map[string]struct{}{}, common: map[string]struct{}{}}
}

func (n *names) tables() []string {
	tables := make([]string, 0, len(n.relations))
	for relation := range n.relations {
		if !has(n.common, relation) {
			tables = append(tables, relation)
		}
	}
	sort.Strings(tables)
	return tables
}

// scan walks through a statement and everything below it.
func scan(node *pgquery.Node, names *names) finding {
	found := finding{}
	if node != nil {
		walk(node.ProtoReflect(), names, &found)
	}
	return found
}

func walk(message protoreflect.Message, names *names, found *finding) {
	switch node := message.Interface().(type) {
	case *pgquery.RangeVar:
		relation(node, names, found)
	case *pgquery.CommonTableExpr:
		names.common[node.GetCtename()] = struct{}{}
	case *pgquery.FuncCall:
		call(node, found)
	case *pgquery.LockingClause, *pgquery.IntoClause:
		found.writes = true
	case *pgquery.SelectStmt, *pgquery.Node, *pgquery.RawStmt:
	default:
		// A statement within a query, such as a DELETE in a WITH clause.
		if strings.HasSuffix(string(message.Descriptor().Name()), "Stmt") {
			found.writes = true
		}
	}
	message.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		if field.Kind() != protoreflect.MessageKind {
			return true
		}
		if !field.IsList() {
			walk(value.Message(), names, found)
			return true
		}
		list := value.List()
		for i := range list.Len() {
			walk(list.Get(i).Message(), names, found)
		}
		return true
	})
}

func relation(node *pgquery.RangeVar, names *names, found *finding) {
	if node.GetRelpersistence() == "t" {
		found.effects |= EffectTemporary
	}
	name := node.GetRelname()
	if node.GetSchemaname() != "" {
		name = node.GetSchemaname() + "." + name
	}
	names.relations[name] = struct{}{}
}

func call(node *pgquery.FuncCall, found *finding) {
	parts := node.GetFuncname()
	if len(parts) == 0 {
		found.writes = true
		return
	}
	name := parts[len(parts)-1].GetString_().GetSval()
	builtIn := len(parts) == 1 || len(parts) == 2 && parts[0].GetString_().GetSval() == "pg_catalog"
	if builtIn && has(readOnly, name) {
		return
	}
	found.writes = true
	switch {
	case builtIn && has(advisory, name):
		found.effects |= EffectAdvisory
	case builtIn && name == "set_config":
		found.effects |= EffectSetting
	case builtIn && has(effectless, name):
	default:
		found.effects |= EffectFunction
	}
}

func number(value int32) string {
	return strconv.Itoa(int(value))
}

func truth(value bool) string {
	if value {
		return "true"
	}
	return "false"
}
