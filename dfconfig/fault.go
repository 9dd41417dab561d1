package dfconfig

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is one thing wrong with a service file.
type Fault struct {
	File string
	// Line is counted from 1; it is 0 if the whole file is meant.
	Line int
	// Key is the path of the key, such as "Databases[0].Slots", or empty.
	Key string
	// What is wrong, and what to write Instead.
	What    string
	Instead string
}

// String formats the fault as one line.
func (f Fault) String() string {
	key := f.Key
	if key != "" {
		key += ": "
	}
	return fmt.Sprintf("%s:%d: %s%s; %s", f.File, f.Line, key, f.What, f.Instead)
}

// Faults are all faults of all files, by file and line.
type Faults []Fault

// String joins the faults, one a line.
func (f Faults) String() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

func (f Faults) sorted() Faults {
	sort.SliceStable(f, func(i, j int) bool {
		if f[i].File != f[j].File {
			return f[i].File < f[j].File
		}
		return f[i].Line < f[j].Line
	})
	return f
}

// nearest returns the known name closest to the given one, if one is close.
func nearest(name string, known []string) (string, bool) {
	best, distance := "", nearDistance+1
	for _, candidate := range known {
		if strings.EqualFold(candidate, name) {
			return candidate, true
		}
		if d := edits(strings.ToLower(name), strings.ToLower(candidate)); d < distance {
			best, distance = candidate, d
		}
	}
	return best, distance <= nearDistance && distance < len(name)
}

// edits returns the Levenshtein distance of two names.
func edits(a, b string) int {
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
