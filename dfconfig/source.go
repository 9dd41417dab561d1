package dfconfig

import (
	"bytes"
	"fmt"
	"sort"
	"strconv"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/rotisserie/eris"
)

// sourceFile is a decoded service file with the line of each key and the
// diagnostics found so far.
type sourceFile struct {
	name   string
	values map[string]any
	// lines maps each key path to its line.
	lines       map[string]int
	diagnostics Diagnostics
}

// parseSource decodes a file. If the file is too large or not valid TOML, values
// is nil and the file is not checked any further.
func parseSource(name string, data []byte) *sourceFile {
	source := &sourceFile{name: name, lines: make(map[string]int)}
	if len(data) > maxFileBytes {
		source.report("", fmt.Sprintf("the file has %d bytes", len(data)),
			fmt.Sprintf("keep one service per file, below %d bytes", maxFileBytes))
		return source
	}
	err := toml.Unmarshal(data, &source.values)
	var decodeErr *toml.DecodeError
	if eris.As(err, &decodeErr) {
		line, _ := decodeErr.Position()
		source.diagnostics = append(source.diagnostics, Diagnostic{name, line, "", "not valid TOML: " + decodeErr.Error(),
			"correct the syntax at this line; each key may appear once"})
		source.values = nil
		return source
	}
	if err != nil {
		source.report("", "not valid TOML: "+err.Error(), "correct the syntax")
		source.values = nil
		return source
	}
	source.recordLines(data)
	return source
}

func (s *sourceFile) report(path, message, suggestion string) {
	s.diagnostics = append(s.diagnostics, Diagnostic{File: s.name, Line: s.lineOf(path), Key: path, Message: message, Suggestion: suggestion})
}

// lineOf returns the line of a key, or of the nearest enclosing key with a known
// line, or 1.
func (s *sourceFile) lineOf(path string) int {
	for path != "" {
		if line, ok := s.lines[path]; ok {
			return line
		}
		cut := max(bytes.LastIndexByte([]byte(path), '.'), bytes.LastIndexByte([]byte(path), '['))
		path = path[:max(cut, 0)]
	}
	return 1
}

// recordLines fills lines from the syntax tree.
func (s *sourceFile) recordLines(data []byte) {
	walk := walker{source: s, arrayLengths: make(map[string]int)}
	for i, c := range data {
		if c == '\n' {
			walk.lineBreaks = append(walk.lineBreaks, i)
		}
	}
	tomlParser := unstable.Parser{}
	tomlParser.Reset(data)
	prefix := ""
	for tomlParser.NextExpression() {
		node := tomlParser.Expression()
		switch node.Kind {
		case unstable.Table:
			prefix = walk.enterTable(node)
		case unstable.ArrayTable:
			prefix = walk.enterElement(node)
		case unstable.KeyValue:
			walk.walkKeyValue(prefix, node)
		}
	}
}

// walker derives key paths from the syntax tree.
type walker struct {
	source *sourceFile
	// lineBreaks has the byte offsets of newlines.
	lineBreaks []int
	// arrayLengths counts the elements of each array of tables seen so far.
	arrayLengths map[string]int
}

func (w *walker) recordLine(path string, node *unstable.Node) {
	if _, ok := w.source.lines[path]; ok {
		return
	}
	w.source.lines[path] = 1 + sort.SearchInts(w.lineBreaks, int(node.Raw.Offset))
}

// enterTable returns the key path of a [table] header. Within arrays of tables the
// path leads through the last element.
func (w *walker) enterTable(node *unstable.Node) string {
	path := ""
	for key := node.Key(); key.Next(); {
		path = joinKey(path, string(key.Node().Data))
		w.recordLine(path, key.Node())
		if count := w.arrayLengths[path]; count > 0 {
			path = indexKey(path, count-1)
		}
	}
	return path
}

// enterElement adds an element for an [[array of tables]] header and returns its
// key path.
func (w *walker) enterElement(node *unstable.Node) string {
	path := ""
	for key := node.Key(); key.Next(); {
		path = joinKey(path, string(key.Node().Data))
		w.recordLine(path, key.Node())
		if !key.IsLast() && w.arrayLengths[path] > 0 {
			path = indexKey(path, w.arrayLengths[path]-1)
		}
		if key.IsLast() {
			w.arrayLengths[path]++
			path = indexKey(path, w.arrayLengths[path]-1)
			w.recordLine(path, key.Node())
		}
	}
	return path
}

func (w *walker) walkKeyValue(prefix string, node *unstable.Node) {
	path := prefix
	for key := node.Key(); key.Next(); {
		path = joinKey(path, string(key.Node().Data))
		w.recordLine(path, key.Node())
	}
	w.walkValue(path, node.Value())
}

func (w *walker) walkValue(path string, node *unstable.Node) {
	index := 0
	for child := node.Children(); child.Next(); {
		switch {
		case node.Kind == unstable.InlineTable:
			w.walkKeyValue(path, child.Node())
		case node.Kind == unstable.Array && child.Node().Kind != unstable.Comment:
			w.walkValue(indexKey(path, index), child.Node())
			index++
		}
	}
}

func joinKey(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func indexKey(path string, index int) string {
	return path + "[" + strconv.Itoa(index) + "]"
}
