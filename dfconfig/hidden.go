package dfconfig

import "strings"

// Lines has the lines of the keys of a service file.
type Lines struct{ source *sourceFile }

// Lines returns the lines of the keys.
func (f File) Lines() Lines {
	return Lines{parseSource(f.Name, f.Data)}
}

// Of returns the line of a key such as "Reads[0].MaxAge", or of the nearest enclosing key
// that the file has. It is 1 if there is none.
func (l Lines) Of(key string) int {
	return l.source.lineOf(key)
}

// covers reports whether the pattern matches every statement that the other one matches.
// allTables and otherAllTables tell whether a match by tables needs every table of the
// statement. It is false where that cannot be told.
func (p Pattern) covers(other Pattern, allTables, otherAllTables bool) bool {
	switch {
	case p.Fingerprint != "":
		return strings.EqualFold(p.Fingerprint, other.Fingerprint)
	case p.Statement != "":
		return other.Statement != "" && hasWordPrefix(other.Statement, p.Statement)
	case len(other.Tables) == 0 || allTables && !otherAllTables:
		return false
	}
	for _, table := range other.Tables {
		if !p.hasTable(normalizeTableName(table)) {
			return false
		}
	}
	return true
}

// hides reports whether the other rule has no effect beside this one.
func (r ReadRule) hides(other ReadRule) bool {
	if !r.covers(other.Pattern, !r.Strong, !other.Strong) || other.Strong && !r.Strong {
		return false
	}
	ageHolds := other.MaxAge == 0 || r.Strong || r.MaxAge > 0 && r.MaxAge <= other.MaxAge
	priorityHolds := other.Priority < 0 || r.Priority >= 0 && r.Priority <= other.Priority
	return ageHolds && priorityHolds
}

// Hidden is an entry without effect, because another entry of the same list already
// states it.
type Hidden struct {
	// List is "Reads" or "NoRepeat". Index and By are places in it.
	List      string
	Index, By int
}

// Hidden returns the entries without effect. Of two entries that state the same, it is
// the later one.
func (s Service) Hidden() []Hidden {
	hidden := hiddenIn("Reads", len(s.Reads), func(by, index int) bool { return s.Reads[by].hides(s.Reads[index]) })
	return append(hidden, hiddenIn("NoRepeat", len(s.NoRepeat), func(by, index int) bool {
		return s.NoRepeat[by].covers(s.NoRepeat[index], false, false)
	})...)
}

func hiddenIn(list string, count int, hides func(by, index int) bool) []Hidden {
	var hidden []Hidden
	for index := range count {
		for by := range count {
			if by != index && hides(by, index) && (by < index || !hides(index, by)) {
				hidden = append(hidden, Hidden{list, index, by})
				break
			}
		}
	}
	return hidden
}
