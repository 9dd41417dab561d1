package dfclassify

import (
	"sort"
	"strconv"
	"strings"

	pgquery "github.com/pganalyze/pg_query_go/v6"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// scanResult is the result of walking a parse tree.
type scanResult struct {
	writes  bool
	effects Effect
}

// relationNames collects the relations that a query text references.
type relationNames struct {
	referenced map[string]struct{}
	// ctes has the names of common table expressions.
	ctes map[string]struct{}
}

func newRelationNames() *relationNames {
	return &relationNames{referenced: map[string]struct{}{}, ctes: map[string]struct{}{}}
}

func (n *relationNames) tables() []string {
	tables := make([]string, 0, len(n.referenced))
	for relation := range n.referenced {
		if !contains(n.ctes, relation) {
			tables = append(tables, relation)
		}
	}
	sort.Strings(tables)
	return tables
}

// scan walks the parse tree of a statement.
func scan(node *pgquery.Node, names *relationNames) scanResult {
	found := scanResult{}
	if node != nil {
		walk(node.ProtoReflect(), names, &found)
	}
	return found
}

func walk(message protoreflect.Message, names *relationNames, found *scanResult) {
	switch node := message.Interface().(type) {
	case *pgquery.RangeVar:
		addRelation(node, names, found)
	case *pgquery.CommonTableExpr:
		names.ctes[node.GetCtename()] = struct{}{}
	case *pgquery.FuncCall:
		addCall(node, found)
	case *pgquery.LockingClause, *pgquery.IntoClause:
		found.writes = true
	case *pgquery.SelectStmt, *pgquery.Node, *pgquery.RawStmt:
	default:
		// A statement nested in a query, such as a DELETE in a WITH clause.
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

func addRelation(node *pgquery.RangeVar, names *relationNames, found *scanResult) {
	if node.GetRelpersistence() == "t" {
		found.effects |= EffectTemporary
	}
	name := node.GetRelname()
	if node.GetSchemaname() != "" {
		name = node.GetSchemaname() + "." + name
	}
	names.referenced[name] = struct{}{}
}

func addCall(node *pgquery.FuncCall, found *scanResult) {
	parts := node.GetFuncname()
	if len(parts) == 0 {
		found.writes = true
		return
	}
	name := parts[len(parts)-1].GetString_().GetSval()
	builtIn := len(parts) == 1 || len(parts) == 2 && parts[0].GetString_().GetSval() == "pg_catalog"
	if builtIn && contains(readOnlyFunctions, name) {
		return
	}
	found.writes = true
	switch {
	case builtIn && contains(advisoryLockFunctions, name):
		found.effects |= EffectAdvisoryLock
	case builtIn && name == "set_config":
		found.effects |= EffectSetting
	case builtIn && contains(statelessWriteFunctions, name):
	default:
		found.effects |= EffectUnknownFunction
	}
}

func formatInt(value int32) string {
	return strconv.Itoa(int(value))
}

func formatBool(value bool) string {
	if value {
		return "true"
	}
	return "false"
}
