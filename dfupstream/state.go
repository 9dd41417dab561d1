package dfupstream

import "strings"

// State tells what a statement leaves behind in the session of its connection.
type State int

const (
	// None leaves nothing behind.
	None State = iota
	// Reset leaves settings behind that DISCARD ALL removes before another
	// caller gets the connection.
	Reset
	// Pin leaves state behind that the caller needs again, so the connection
	// stays with the caller.
	Pin
)

// Classify tells what the text of a statement leaves behind.
type Classify func(sql string) State

// endWords can end an explicit transaction when they stand in its text.
var endWords = []string{"commit", "end", "rollback", "abort", "prepare"}

// mayEnd reports whether the text may end an explicit transaction. It may
// report true for text that does not, which makes an outcome unknown.
func mayEnd(sql string) bool {
	for _, word := range endWords {
		if containsWord(sql, word) {
			return true
		}
	}
	return false
}

// mayCopyIn reports whether the text may make the upstream wait for COPY data.
func mayCopyIn(sql string) bool {
	return containsWord(sql, "stdin")
}

// containsWord searches without regard to case and without allocation.
func containsWord(text, word string) bool {
	for i := 0; i+len(word) <= len(text); i++ {
		if text[i]|0x20 != word[0] || !strings.EqualFold(text[i:i+len(word)], word) {
			continue
		}
		if i > 0 && isWord(text[i-1]) {
			continue
		}
		if end := i + len(word); end < len(text) && isWord(text[end]) {
			continue
		}
		return true
	}
	return false
}

func isWord(b byte) bool {
	return b == '_' || b >= '0' && b <= '9' || b|0x20 >= 'a' && b|0x20 <= 'z' || b >= 0x80
}
