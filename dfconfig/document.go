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

// document is one file with the line of each key and the faults found so far.
type document struct {
	file   string
	values map[string]any
	// lines has the line of each key path.
	lines  map[string]int
	faults Faults
}

// load decodes the file. A syntax error ends the work on this file.
func load(file string, data []byte) *document {
	doc := &document{file: file, lines: make(map[string]int)}
	if len(data) > maxFileBytes {
		doc.fault("", fmt.Sprintf("the file has %d bytes", len(data)),
			fmt.Sprintf("keep one service per file, below %d bytes", maxFileBytes))
		return doc
	}
	err := toml.Unmarshal(data, &doc.values)
	var decode *toml.DecodeError
	if eris.As(err, &decode) {
		line, _ := decode.Position()
		doc.faults = append(doc.faults, Fault{file, line, "", "not valid TOML: " + decode.Error(),
			"correct the syntax at this line; each key may appear once"})
		doc.values = nil
		return doc
	}
	if err != nil {
		doc.fault("", "not valid TOML: "+err.Error(), "correct the syntax")
		doc.values = nil
		return doc
	}
	doc.locate(data)
	return doc
}

func (d *document) fault(path, what, instead string) {
	d.faults = append(d.faults, Fault{File: d.file, Line: d.line(path), Key: path, What: what, Instead: instead})
}

// line returns the line of a key, or of the nearest enclosing key that has one.
func (d *document) line(path string) int {
	for path != "" {
		if line, ok := d.lines[path]; ok {
			return line
		}
		cut := max(bytes.LastIndexByte([]byte(path), '.'), bytes.LastIndexByte([]byte(path), '['))
		path = path[:max(cut, 0)]
	}
	return 1
}

// locate fills the lines by walking the syntax tree.
func (d *document) locate(data []byte) {
	walk := walker{document: d, counts: make(map[string]int)}
	for i, c := range data {
		if c == '\n' {
			walk.breaks = append(walk.breaks, i)
		}
	}
	parser := unstable.Parser{}
	parser.Reset(data)
	prefix := ""
	for parser.NextExpression() {
		node := parser.Expression()
		switch node.Kind {
		case unstable.Table:
			prefix = walk.table(node)
		case unstable.ArrayTable:
			prefix = walk.element(node)
		case unstable.KeyValue:
			walk.keyValue(prefix, node)
		}
	}
}

// walker derives key paths from the syntax tree.
type walker struct {
	document *document
	// breaks has the offsets of line breaks.
	breaks []int
	// counts has the number of elements of each array of tables.
	counts map[string]int
}

func (w *walker) mark(path string, node *unstable.Node) {
	if _, ok := w.document.lines[path]; ok {
		return
	}
	w.document.lines[path] = 1 + sort.SearchInts(w.breaks, int(node.Raw.Offset))
}

// table returns the path of a table header, entering the last elements of
// arrays of tables on the way.
func (w *walker) table(node *unstable.Node) string {
	path := ""
	for key := node.Key(); key.Next(); {
		path = joined(path, string(key.Node().Data))
		w.mark(path, key.Node())
		if count := w.counts[path]; count > 0 {
			path = indexed(path, count-1)
		}
	}
	return path
}

// element returns the path of a new element of an array of tables.
func (w *walker) element(node *unstable.Node) string {
	path := ""
	for key := node.Key(); key.Next(); {
		path = joined(path, string(key.Node().Data))
		w.mark(path, key.Node())
		if !key.IsLast() && w.counts[path] > 0 {
			path = indexed(path, w.counts[path]-1)
		}
		if key.IsLast() {
			w.counts[path]++
			path = indexed(path, w.counts[path]-1)
			w.mark(path, key.Node())
		}
	}
	return path
}

func (w *walker) keyValue(prefix string, node *unstable.Node) {
	path := prefix
	for key := node.Key(); key.Next(); {
		path = joined(path, string(key.Node().Data))
		w.mark(path, key.Node())
	}
	w.value(path, node.Value())
}

func (w *walker) value(path string, node *unstable.Node) {
	index := 0
	for child := node.Children(); child.Next(); {
		switch {
		case node.Kind == unstable.InlineTable:
			w.keyValue(path, child.Node())
		case node.Kind == unstable.Array && child.Node().Kind != unstable.Comment:
			w.value(indexed(path, index), child.Node())
			index++
		}
	}
}

func joined(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func indexed(path string, index int) string {
	return path + "[" + strconv.Itoa(index) + "]"
}
