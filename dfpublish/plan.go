package dfpublish

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfconfig"
)

// base is a head with its index.
type base struct {
	// rowVersion is the version of the head's row, 0 if there is no row.
	rowVersion uint64
	index      dfconfig.Index
}

// Plan is a checked publication against the head that was read for it.
type Plan struct {
	base base
	// Changes has one entry for each service that differs, in order of name.
	Changes []ServiceChange
	// documents has the new documents by address.
	documents map[string][]byte
}

// ServiceChange is what a publication does to one service.
type ServiceChange struct {
	Service string
	// From and To are content addresses; empty is absent.
	From string
	To   string
	Keys []KeyChange
}

// KeyChange is the change of one value within a service.
type KeyChange struct {
	Key string
	// From and To are JSON values; empty is absent.
	From string
	To   string
}

// Version returns the configuration version that the plan is based on.
func (p Plan) Version() uint64 {
	return p.base.index.Version
}

// String shows the plan, one line for each change.
func (p Plan) String() string {
	if len(p.Changes) == 0 {
		return fmt.Sprintf("no change to version %d\n", p.Version())
	}
	var text strings.Builder
	fmt.Fprintf(&text, "changes to version %d:\n", p.Version())
	for _, change := range p.Changes {
		text.WriteString(change.String())
	}
	return text.String()
}

// String shows the change of one service.
func (c ServiceChange) String() string {
	kind := "changed"
	switch {
	case c.From == "":
		kind = "added"
	case c.To == "":
		kind = "removed"
	}
	text := fmt.Sprintf("%s %s\n", c.Service, kind)
	for _, key := range c.Keys {
		text += "  " + key.String() + "\n"
	}
	return text
}

// String shows the change of one key.
func (c KeyChange) String() string {
	switch {
	case c.From == "":
		return fmt.Sprintf("+ %s = %s", c.Key, c.To)
	case c.To == "":
		return fmt.Sprintf("- %s = %s", c.Key, c.From)
	}
	return fmt.Sprintf("~ %s = %s -> %s", c.Key, c.From, c.To)
}

// apply returns the next index with the changes of the plan.
func (p Plan) apply(index dfconfig.Index, author, attempt string) dfconfig.Index {
	for _, change := range p.Changes {
		if change.To == "" {
			index = index.WithoutService(change.Service)
		} else {
			index = index.WithService(change.Service, change.To)
		}
	}
	return index.Next(author, attempt)
}

// holds reports whether an index already has all changes of the plan.
func (p Plan) holds(index dfconfig.Index) bool {
	for _, change := range p.Changes {
		if index.Services[change.Service] != change.To {
			return false
		}
	}
	return true
}

// clash returns the first change that another publication made different since
// the plan's base.
func (p Plan) clash(index dfconfig.Index) (ServiceChange, bool) {
	for _, change := range p.Changes {
		now := index.Services[change.Service]
		if now != change.From && now != change.To {
			return change, true
		}
	}
	return ServiceChange{}, false
}

// keyChanges compares two documents key by key.
func keyChanges(from, to []byte) []KeyChange {
	before, after := flattened(from), flattened(to)
	keys := make(map[string]bool)
	for key := range before {
		keys[key] = true
	}
	for key := range after {
		keys[key] = true
	}
	var changes []KeyChange
	for key := range keys {
		if before[key] != after[key] {
			changes = append(changes, KeyChange{key, before[key], after[key]})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Key < changes[j].Key })
	return changes
}

// flattened returns the values of a document by key path.
func flattened(document []byte) map[string]string {
	values := make(map[string]string)
	var root any
	if len(document) > 0 && json.Unmarshal(document, &root) == nil {
		flatten(values, "", root)
	}
	return values
}

func flatten(values map[string]string, path string, node any) {
	switch node := node.(type) {
	case nil:
	case map[string]any:
		for key, value := range node {
			flatten(values, strings.TrimPrefix(path+"."+key, "."), value)
		}
	case []any:
		for i, value := range node {
			flatten(values, fmt.Sprintf("%s[%d]", path, i), value)
		}
	default:
		values[path] = valueText(path, node)
	}
}

// spanKeys are the keys whose values are spans, which documents keep as
// milliseconds.
var spanKeys = []string{"MaxAge", "Deadlines.Read", "Deadlines.Write"}

// valueText writes a value as a service file does.
func valueText(path string, node any) string {
	number, isNumber := node.(float64)
	for _, key := range spanKeys {
		if isNumber && strings.HasSuffix(path, key) {
			return strconv.Quote(dfconfig.FormatSpan(dfclock.Millis(number)))
		}
	}
	text, err := json.Marshal(node)
	if err != nil {
		return fmt.Sprint(node)
	}
	return string(text)
}
