package dfconfig

import (
	"strconv"
	"strings"
)

// isIPPort reports whether the text is an IP address with a port. Host names are
// rejected because processes are addressed by IP address only.
func isIPPort(text string) bool {
	colon := strings.LastIndexByte(text, ':')
	if colon < 0 {
		return false
	}
	port, err := strconv.ParseUint(text[colon+1:], 10, 16)
	if err != nil || port == 0 {
		return false
	}
	host := text[:colon]
	if inner, ok := strings.CutPrefix(host, "["); ok {
		inner, ok = strings.CutSuffix(inner, "]")
		return ok && isIPv6(inner)
	}
	return isIPv4(host)
}

func isIPv4(text string) bool {
	parts := strings.Split(text, ".")
	for _, part := range parts {
		if _, err := strconv.ParseUint(part, 10, 8); err != nil || len(part) > 1 && part[0] == '0' {
			return false
		}
	}
	return len(parts) == 4
}

func isIPv6(text string) bool {
	head, tail, compressed := strings.Cut(text, "::")
	if !compressed {
		return countHexGroups(text) == 8
	}
	first, second := countHexGroups(head), countHexGroups(tail)
	return first >= 0 && second >= 0 && first+second < 8
}

// countHexGroups returns the number of hex groups in an IPv6 address or a part of it,
// or -1 if one is malformed.
func countHexGroups(text string) int {
	if text == "" {
		return 0
	}
	groups := strings.Split(text, ":")
	for _, group := range groups {
		if _, err := strconv.ParseUint(group, 16, 16); err != nil || len(group) > 4 {
			return -1
		}
	}
	return len(groups)
}

// isCredentialRef reports whether the text refers to a credential in an environment
// variable ("env:NAME") or in a file ("file:PATH#KEY").
func isCredentialRef(text string) bool {
	if name, ok := strings.CutPrefix(text, "env:"); ok {
		return isName(name) && !strings.Contains(name, "-")
	}
	path, ok := strings.CutPrefix(text, "file:")
	if !ok {
		return false
	}
	path, key, ok := strings.Cut(path, "#")
	return ok && path != "" && isName(key)
}
