package dfconfig

import (
	"fmt"
	"sort"
	"strings"
)

// Diagnostic is a validation error in a service file.
type Diagnostic struct {
	File string
	// Line starts at 1. Errors that concern the whole file are reported at line 1.
	Line int
	// Key is the path of the key, such as "Databases[0].Slots". It is empty for
	// errors that concern the whole file and for syntax errors.
	Key string
	// Message describes the error.
	Message string
	// Suggestion tells what to write instead.
	Suggestion string
}

// String formats the diagnostic as one line.
func (d Diagnostic) String() string {
	key := d.Key
	if key != "" {
		key += ": "
	}
	return fmt.Sprintf("%s:%d: %s%s; %s", d.File, d.Line, key, d.Message, d.Suggestion)
}

// Diagnostics are the validation errors of all files, sorted by file and line.
type Diagnostics []Diagnostic

// String formats the diagnostics, one per line.
func (d Diagnostics) String() string {
	lines := make([]string, len(d))
	for i, diagnostic := range d {
		lines[i] = diagnostic.String()
	}
	return strings.Join(lines, "\n")
}

func (d Diagnostics) sorted() Diagnostics {
	sort.SliceStable(d, func(i, j int) bool {
		if d[i].File != d[j].File {
			return d[i].File < d[j].File
		}
		return d[i].Line < d[j].Line
	})
	return d
}

// nearestName returns the known name with the smallest edit distance to the given
// one, or false if none is within maxEditDistance.
func nearestName(name string, known []string) (string, bool) {
	best, distance := "", maxEditDistance+1
	for _, candidate := range known {
		if strings.EqualFold(candidate, name) {
			return candidate, true
		}
		if edits := editDistance(strings.ToLower(name), strings.ToLower(candidate)); edits < distance {
			best, distance = candidate, edits
		}
	}
	return best, distance <= maxEditDistance && distance < len(name)
}

// editDistance returns the Levenshtein distance of two names.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost = 1 + min(diagonal, row[j], row[j+1])
			}
			diagonal, row[j+1] = row[j+1], cost
		}
	}
	return row[len(b)]
}
