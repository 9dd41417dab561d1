package dfconfig

import "strings"

// Pattern matches statements. Exactly one field is set.
type Pattern struct {
	// Tables are table names in lower case, without the schema "public".
	Tables []string `json:",omitempty"`
	// Statement is a prefix of the normalized statement. It matches only up to a
	// word boundary.
	Statement string `json:",omitempty"`
	// Fingerprint is the SQL parser's fingerprint in lower-case hex digits.
	Fingerprint string `json:",omitempty"`
}

// Query has the properties of a statement that patterns are matched against.
type Query struct {
	Text string
	// Tables are all tables that the statement refers to.
	Tables      []string
	Fingerprint string
}

// matches reports whether the pattern matches the query. With allTables set, every
// table of the query must be listed in the pattern, so that a join with an unlisted
// table does not return stale rows. Otherwise one listed table is enough.
func (p Pattern) matches(query Query, allTables bool) bool {
	switch {
	case p.Fingerprint != "":
		return strings.EqualFold(p.Fingerprint, query.Fingerprint)
	case p.Statement != "":
		return hasWordPrefix(normalizeStatement(query.Text), normalizeStatement(p.Statement))
	}
	common := 0
	for _, table := range query.Tables {
		if p.hasTable(normalizeTableName(table)) {
			common++
		}
	}
	if allTables {
		return common > 0 && common == len(query.Tables)
	}
	return common > 0
}

func (p Pattern) hasTable(name string) bool {
	for _, table := range p.Tables {
		if normalizeTableName(table) == name {
			return true
		}
	}
	return false
}

func normalizeTableName(name string) string {
	return strings.TrimPrefix(strings.ToLower(name), "public.")
}

// hasWordPrefix reports whether the text starts with the prefix and the prefix ends
// at a word boundary.
func hasWordPrefix(text, prefix string) bool {
	rest, ok := strings.CutPrefix(text, prefix)
	return ok && (rest == "" || !isWordByte(rest[0]) || !isWordByte(prefix[len(prefix)-1]))
}

func isWordByte(c byte) bool {
	return c == '_' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 0x80
}

// normalizeStatement removes leading comments, converts to lower case and collapses
// white space.
func normalizeStatement(text string) string {
	for {
		text = strings.TrimSpace(text)
		var found bool
		switch {
		case strings.HasPrefix(text, "--"):
			_, text, found = strings.Cut(text, "\n")
		case strings.HasPrefix(text, "/*"):
			_, text, found = strings.Cut(text, "*/")
		default:
			return strings.Join(strings.Fields(strings.ToLower(text)), " ")
		}
		if !found {
			return ""
		}
	}
}
