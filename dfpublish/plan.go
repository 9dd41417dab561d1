package dfpublish

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfconfig"
	"dragonflygrade/dfrevision"
)

// headState is the current version as it was read: the head's row version and the index.
type headState struct {
	// rowVersion is the row version of the head, 0 if there is no row.
	rowVersion dfrevision.Revision
	index      dfconfig.Index
}

// Plan is a validated publication, based on the head at the time it was planned.
type Plan struct {
	base headState
	// Changes has an entry for each service that differs, sorted by name.
	Changes []ServiceChange
	// documents has the new documents by content address.
	documents map[string][]byte
}

// ServiceChange is the change of one service by a publication.
type ServiceChange struct {
	Service string
	// From and To are content addresses. An absent service has an empty one.
	From string
	To   string
	Keys []dfconfig.KeyChange
}

// Version returns the configuration version that the plan is based on.
func (p Plan) Version() uint64 {
	return p.base.index.Version
}

// String formats the plan with one line per service and changed key.
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

// String formats the change of a service with one line per changed key.
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

// apply returns the index of the next version, with the changes of the plan.
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

// containedIn reports whether the index already has all changes of the plan.
func (p Plan) containedIn(index dfconfig.Index) bool {
	for _, change := range p.Changes {
		if index.Services[change.Service] != change.To {
			return false
		}
	}
	return true
}

// findConflict returns the first planned change whose service was changed in another
// way by a publication after the plan's base.
func (p Plan) findConflict(index dfconfig.Index) (ServiceChange, bool) {
	for _, change := range p.Changes {
		now := index.Services[change.Service]
		if now != change.From && now != change.To {
			return change, true
		}
	}
	return ServiceChange{}, false
}

// KeyChanges returns the keys that differ between two documents of a service, sorted by
// key. An empty document has no keys.
func KeyChanges(from, to []byte) []dfconfig.KeyChange {
	before, after := flattenDocument(from), flattenDocument(to)
	keys := make(map[string]bool)
	for key := range before {
		keys[key] = true
	}
	for key := range after {
		keys[key] = true
	}
	var changes []dfconfig.KeyChange
	for key := range keys {
		if before[key] != after[key] {
			changes = append(changes, dfconfig.KeyChange{Key: key, From: before[key], To: after[key]})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Key < changes[j].Key })
	return changes
}

// flattenDocument returns the values of a document by key path.
func flattenDocument(document []byte) map[string]string {
	values := make(map[string]string)
	var root any
	if len(document) > 0 && json.Unmarshal(document, &root) == nil {
		flattenValue(values, "", root)
	}
	return values
}

func flattenValue(values map[string]string, path string, node any) {
	switch node := node.(type) {
	case nil:
	case map[string]any:
		for key, value := range node {
			flattenValue(values, strings.TrimPrefix(path+"."+key, "."), value)
		}
	case []any:
		for i, value := range node {
			flattenValue(values, fmt.Sprintf("%s[%d]", path, i), value)
		}
	default:
		values[path] = formatValue(path, node)
	}
}

// durationKeys are the suffixes of key paths whose values are durations. Documents
// store them in milliseconds.
var durationKeys = []string{"MaxAge", "Deadlines.Read", "Deadlines.Write"}

// formatValue formats a value as in a service file.
func formatValue(path string, node any) string {
	number, isNumber := node.(float64)
	for _, key := range durationKeys {
		if isNumber && strings.HasSuffix(path, key) {
			return strconv.Quote(dfconfig.FormatDuration(dfclock.Millis(number)))
		}
	}
	text, err := json.Marshal(node)
	if err != nil {
		return fmt.Sprint(node)
	}
	return string(text)
}
