package dfconfig

import "strings"

// Pattern selects statements. Exactly one field is set.
type Pattern struct {
	// Tables are table names in lower case, without the schema "public".
	Tables []string `json:",omitempty"`
	// Statement is a prefix of the normalized text that ends between words.
	Statement string `json:",omitempty"`
	// Fingerprint is the parser's fingerprint in lower-case hex digits.
	Fingerprint string `json:",omitempty"`
}

// Query is what patterns are compared with.
type Query struct {
	Text string
	// Tables are all tables that the statement names.
	Tables      []string
	Fingerprint string
}

// matches compares the pattern. With all set, each table of the query must be
// among the pattern's, so that a join with an undeclared table is not read
// stale; otherwise one common table is enough.
func (p Pattern) matches(query Query, all bool) bool {
	switch {
	case p.Fingerprint != "":
		return strings.EqualFold(p.Fingerprint, query.Fingerprint)
	case p.Statement != "":
		return hasPrefix(normalized(query.Text), normalized(p.Statement))
	}
	common := 0
	for _, table := range query.Tables {
		if p.hasTable(tableName(table)) {
			common++
		}
	}
	if all {
		return common > 0 && common == len(query.Tables)
	}
	return common > 0
}

func (p Pattern) hasTable(name string) bool {
	for _, table := range p.Tables {
		if tableName(table) == name {
			return true
		}
	}
	return false
}

func tableName(name string) string {
	return strings.TrimPrefix(strings.ToLower(name), "public.")
}

func hasPrefix(text, prefix string) bool {
	rest, ok := strings.CutPrefix(text, prefix)
	return ok && (rest == "" || !isWord(rest[0]) || !isWord(prefix[len(prefix)-1]))
}

func isWord(c byte) bool {
	return c == '_' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 0x80
}

// normalized drops leading comments, lowers the case and joins white space.
func normalized(text string) string {
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
