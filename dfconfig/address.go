package dfconfig

import (
	"strconv"
	"strings"
)

// isAddress reports whether the text is an IP address with a port. Host names
// are refused because processes are addressed by IP numbers only.
func isAddress(text string) bool {
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
	head, tail, short := strings.Cut(text, "::")
	if !short {
		return hexGroups(text) == 8
	}
	first, second := hexGroups(head), hexGroups(tail)
	return first >= 0 && second >= 0 && first+second < 8
}

// hexGroups counts groups of hex digits, or returns -1 if one is malformed.
func hexGroups(text string) int {
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

// isReference reports whether the text refers to a credential kept elsewhere.
func isReference(text string) bool {
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
