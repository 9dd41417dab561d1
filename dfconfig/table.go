package dfconfig

import (
	"fmt"
	"sort"
	"strings"

	"dragonflygrade/dfclock"
)

// table reads the keys of one TOML table. Keys that are never looked up are
// unknown.
type table struct {
	source *sourceFile
	path   string
	values map[string]any
	// knownKeys has the keys that were looked up.
	knownKeys []string
}

func (t *table) keyPath(key string) string {
	return joinKey(t.path, key)
}

func (t *table) report(key, message, suggestion string) {
	t.source.report(t.keyPath(key), message, suggestion)
}

// lookup returns the value of a key and adds the key to the known ones.
func (t *table) lookup(key string) (any, bool) {
	t.knownKeys = append(t.knownKeys, key)
	value, ok := t.values[key]
	return value, ok
}

func (t *table) has(key string) bool {
	_, ok := t.values[key]
	return ok
}

// optionalString returns a non-empty string, or false if the key is absent or has
// another value.
func (t *table) optionalString(key, example string) (string, bool) {
	value, ok := t.lookup(key)
	if !ok {
		return "", false
	}
	text, ok := value.(string)
	if !ok || strings.TrimSpace(text) == "" {
		t.report(key, "must be a text that is not empty", fmt.Sprintf("write %s = %q", key, example))
		return "", false
	}
	return text, true
}

// requiredString is optionalString for a key that must be present.
func (t *table) requiredString(key, example string) (string, bool) {
	text, ok := t.optionalString(key, example)
	if !ok && !t.has(key) {
		t.report(key, "is missing", fmt.Sprintf("write %s = %q", key, example))
	}
	return text, ok
}

// requiredName returns a required identifier, or "" if it is absent or malformed.
func (t *table) requiredName(key, example string) string {
	text, ok := t.requiredString(key, example)
	if !ok || isName(text) {
		return text
	}
	t.report(key, fmt.Sprintf("%q is not a name", text),
		fmt.Sprintf("use at most %d letters, digits, '-' and '_', such as %q", maxNameLength, example))
	return ""
}

// integer returns an integer from minimum to maximum, or the default if it is absent
// or invalid.
func (t *table) integer(key string, minimum, maximum, defaultValue int) int {
	value, ok := t.lookup(key)
	if !ok {
		return defaultValue
	}
	number, ok := value.(int64)
	if !ok || number < int64(minimum) || number > int64(maximum) {
		t.report(key, fmt.Sprintf("%v is not a whole number from %d to %d", value, minimum, maximum),
			fmt.Sprintf("write %s = %d", key, max(minimum, defaultValue)))
		return defaultValue
	}
	return int(number)
}

// boolean returns a boolean, or false if it is absent or invalid.
func (t *table) boolean(key string) bool {
	value, ok := t.lookup(key)
	if !ok {
		return false
	}
	set, ok := value.(bool)
	if !ok {
		t.report(key, fmt.Sprintf("%v is neither true nor false", value), fmt.Sprintf("write %s = true", key))
	}
	return set
}

// duration returns a positive duration of at most maximum, or the default if it is
// absent or invalid.
func (t *table) duration(key string, maximum, defaultValue dfclock.Millis, example string) dfclock.Millis {
	value, ok := t.lookup(key)
	if !ok {
		return defaultValue
	}
	suggestion := fmt.Sprintf("write %s = %q; the units are ms, s, m and h", key, example)
	text, ok := value.(string)
	if !ok {
		t.report(key, fmt.Sprintf("%v has no unit", value), suggestion)
		return defaultValue
	}
	duration, ok := ParseDuration(text)
	switch {
	case !ok:
		t.report(key, fmt.Sprintf("%q is not a whole number with a unit", text), suggestion)
		return defaultValue
	case duration <= 0 || duration > maximum:
		t.report(key, fmt.Sprintf("%q is not above 0 and at most %s", text, FormatDuration(maximum)), suggestion)
		return defaultValue
	}
	return duration
}

// stringList returns a list of non-empty strings, or nil if it is absent or invalid.
func (t *table) stringList(key, example string) []string {
	value, ok := t.lookup(key)
	if !ok {
		return nil
	}
	list, ok := value.([]any)
	values := make([]string, 0, len(list))
	for _, element := range list {
		text, isText := element.(string)
		ok = ok && isText && strings.TrimSpace(text) != ""
		values = append(values, text)
	}
	if !ok || len(values) == 0 {
		t.report(key, "must be a list of texts that is not empty", fmt.Sprintf("write %s = [%q]", key, example))
		return nil
	}
	return values
}

// tableArray returns the elements of an array of tables.
func (t *table) tableArray(key string) []*table {
	value, ok := t.lookup(key)
	if !ok {
		return nil
	}
	list, ok := value.([]any)
	if !ok {
		t.report(key, "must be a list of tables", fmt.Sprintf("start each entry with [[%s]]", withoutIndexes(t.keyPath(key))))
		return nil
	}
	var tables []*table
	for i, element := range list {
		path := indexKey(t.keyPath(key), i)
		values, ok := element.(map[string]any)
		if !ok {
			t.source.report(path, "must be a table", fmt.Sprintf("start each entry with [[%s]]", withoutIndexes(t.keyPath(key))))
			continue
		}
		tables = append(tables, &table{source: t.source, path: path, values: values})
	}
	return tables
}

// nestedTable returns a nested table, which is empty if it is absent or invalid.
func (t *table) nestedTable(key string) *table {
	nested := &table{source: t.source, path: t.keyPath(key)}
	value, ok := t.lookup(key)
	if !ok {
		return nested
	}
	nested.values, ok = value.(map[string]any)
	if !ok {
		t.report(key, "must be a table", fmt.Sprintf("write it as [%s] with its keys below", withoutIndexes(t.keyPath(key))))
	}
	return nested
}

// reportUnknownKeys reports the keys that were never looked up. It must be called
// after all lookups.
func (t *table) reportUnknownKeys() {
	sort.Strings(t.knownKeys)
	unknown := make([]string, 0)
	for key := range t.values {
		if at := sort.SearchStrings(t.knownKeys, key); at == len(t.knownKeys) || t.knownKeys[at] != key {
			unknown = append(unknown, key)
		}
	}
	sort.Strings(unknown)
	for _, key := range unknown {
		suggestion := "remove it; the keys here are " + strings.Join(t.knownKeys, ", ")
		if known, ok := nearestName(key, t.knownKeys); ok {
			suggestion = "write " + known
		}
		t.report(key, "unknown key", suggestion)
	}
}

// withoutIndexes removes the array indexes from a key path.
func withoutIndexes(path string) string {
	var kept strings.Builder
	depth := 0
	for _, c := range path {
		switch c {
		case '[':
			depth++
		case ']':
			depth--
		default:
			if depth == 0 {
				kept.WriteRune(c)
			}
		}
	}
	return kept.String()
}

// isName reports whether the text is a non-empty identifier of ASCII letters,
// digits, '-' and '_' that PostgreSQL does not truncate.
func isName(text string) bool {
	if text == "" || len(text) > maxNameLength {
		return false
	}
	for i := range len(text) {
		c := text[i]
		if c != '-' && (!isWordByte(c) && (c < 'A' || c > 'Z') || c >= 0x80) {
			return false
		}
	}
	return true
}
