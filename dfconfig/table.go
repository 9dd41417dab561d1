package dfconfig

import (
	"fmt"
	"sort"
	"strings"

	"dragonflygrade/dfclock"
)

// table reads the keys of one TOML table. Keys that were never asked for are
// unknown.
type table struct {
	document *document
	path     string
	values   map[string]any
	known    []string
}

func (t *table) at(key string) string {
	return joined(t.path, key)
}

func (t *table) fault(key, what, instead string) {
	t.document.fault(t.at(key), what, instead)
}

// take returns the value of a key and notes the key as known.
func (t *table) take(key string) (any, bool) {
	t.known = append(t.known, key)
	value, ok := t.values[key]
	return value, ok
}

// has reports whether the key is present.
func (t *table) has(key string) bool {
	_, ok := t.values[key]
	return ok
}

// text returns a string, or false if it is absent or not a string.
func (t *table) text(key, example string) (string, bool) {
	value, ok := t.take(key)
	if !ok {
		return "", false
	}
	text, ok := value.(string)
	if !ok || strings.TrimSpace(text) == "" {
		t.fault(key, "must be a text that is not empty", fmt.Sprintf("write %s = %q", key, example))
		return "", false
	}
	return text, true
}

// required is text that must be present.
func (t *table) required(key, example string) (string, bool) {
	text, ok := t.text(key, example)
	if !ok && !t.has(key) {
		t.fault(key, "is missing", fmt.Sprintf("write %s = %q", key, example))
	}
	return text, ok
}

// name is a required text that is usable as an identifier, or empty.
func (t *table) name(key, example string) string {
	text, ok := t.required(key, example)
	if !ok || isName(text) {
		return text
	}
	t.fault(key, fmt.Sprintf("%q is not a name", text),
		fmt.Sprintf("use at most %d letters, digits, '-' and '_', such as %q", maxName, example))
	return ""
}

// integer returns a whole number within bounds, or the default if absent.
func (t *table) integer(key string, low, high, byDefault int) int {
	value, ok := t.take(key)
	if !ok {
		return byDefault
	}
	number, ok := value.(int64)
	if !ok || number < int64(low) || number > int64(high) {
		t.fault(key, fmt.Sprintf("%v is not a whole number from %d to %d", value, low, high),
			fmt.Sprintf("write %s = %d", key, max(low, byDefault)))
		return byDefault
	}
	return int(number)
}

// flag returns a boolean, false if absent.
func (t *table) flag(key string) bool {
	value, ok := t.take(key)
	if !ok {
		return false
	}
	set, ok := value.(bool)
	if !ok {
		t.fault(key, fmt.Sprintf("%v is neither true nor false", value), fmt.Sprintf("write %s = true", key))
	}
	return set
}

// span returns a positive span with its unit, or the default if absent.
func (t *table) span(key string, high, byDefault dfclock.Millis, example string) dfclock.Millis {
	value, ok := t.take(key)
	if !ok {
		return byDefault
	}
	instead := fmt.Sprintf("write %s = %q; the units are ms, s, m and h", key, example)
	text, ok := value.(string)
	if !ok {
		t.fault(key, fmt.Sprintf("%v has no unit", value), instead)
		return byDefault
	}
	span, ok := ParseSpan(text)
	switch {
	case !ok:
		t.fault(key, fmt.Sprintf("%q is not a whole number with a unit", text), instead)
		return byDefault
	case span <= 0 || span > high:
		t.fault(key, fmt.Sprintf("%q is not above 0 and at most %s", text, FormatSpan(high)), instead)
		return byDefault
	}
	return span
}

// texts returns a list of texts, nil if absent.
func (t *table) texts(key, example string) []string {
	value, ok := t.take(key)
	if !ok {
		return nil
	}
	list, ok := value.([]any)
	texts := make([]string, 0, len(list))
	for _, element := range list {
		text, isText := element.(string)
		ok = ok && isText && strings.TrimSpace(text) != ""
		texts = append(texts, text)
	}
	if !ok || len(texts) == 0 {
		t.fault(key, "must be a list of texts that is not empty", fmt.Sprintf("write %s = [%q]", key, example))
		return nil
	}
	return texts
}

// tables returns the elements of an array of tables.
func (t *table) tables(key string) []*table {
	value, ok := t.take(key)
	if !ok {
		return nil
	}
	list, ok := value.([]any)
	if !ok {
		t.fault(key, "must be a list of tables", fmt.Sprintf("start each entry with [[%s]]", plain(t.at(key))))
		return nil
	}
	var tables []*table
	for i, element := range list {
		path := indexed(t.at(key), i)
		values, ok := element.(map[string]any)
		if !ok {
			t.document.fault(path, "must be a table", fmt.Sprintf("start each entry with [[%s]]", plain(t.at(key))))
			continue
		}
		tables = append(tables, &table{document: t.document, path: path, values: values})
	}
	return tables
}

// table returns a nested table, an empty one if it is absent.
func (t *table) table(key string) *table {
	nested := &table{document: t.document, path: t.at(key)}
	value, ok := t.take(key)
	if !ok {
		return nested
	}
	nested.values, ok = value.(map[string]any)
	if !ok {
		t.fault(key, "must be a table", fmt.Sprintf("write it as [%s] with its keys below", plain(t.at(key))))
	}
	return nested
}

// done reports the keys that were never asked for.
func (t *table) done() {
	sort.Strings(t.known)
	unknown := make([]string, 0)
	for key := range t.values {
		if at := sort.SearchStrings(t.known, key); at == len(t.known) || t.known[at] != key {
			unknown = append(unknown, key)
		}
	}
	sort.Strings(unknown)
	for _, key := range unknown {
		instead := "remove it; the keys here are " + strings.Join(t.known, ", ")
		if near, ok := nearest(key, t.known); ok {
			instead = "write " + near
		}
		t.fault(key, "unknown key", instead)
	}
}

// plain removes the indexes from a key path.
func plain(path string) string {
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

func isName(text string) bool {
	if text == "" || len(text) > maxName {
		return false
	}
	for i := range len(text) {
		c := text[i]
		if c != '-' && (!isWord(c) && (c < 'A' || c > 'Z') || c >= 0x80) {
			return false
		}
	}
	return true
}
