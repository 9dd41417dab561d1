package dftoken

import (
	"crypto/subtle"
	"encoding/binary"

	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfresult"
)

// reader takes the fields off a payload. After the first fault every field is
// zero and fault names what is wrong.
type reader struct {
	rest  []byte
	fault string
}

// decode reads a payload whose signature was checked.
func decode(payload []byte) (Token, error) {
	if payload[2]&^flagOverflowed != 0 {
		return Token{}, malformed("unknown flags %#x", payload[2])
	}
	in := reader{rest: payload[headBytes:]}
	token := Token{overflowed: payload[2]&flagOverflowed != 0}
	token.service = in.text("service")
	count := in.number("number of positions")
	if count > MaxPositions {
		return Token{}, malformed("%d positions, at most %d are allowed", count, MaxPositions)
	}
	for range count {
		entry := in.entry()
		if in.fault != "" {
			break
		}
		if token.has(entry.Group) {
			return Token{}, malformed("group %q occurs twice", entry.Group)
		}
		token.entries = append(token.entries, entry)
	}
	if in.fault != "" {
		return Token{}, malformed("%s is cut off or too long", in.fault)
	}
	if len(in.rest) > 0 {
		return Token{}, malformed("%d bytes behind the last position", len(in.rest))
	}
	return token, nil
}

func (t Token) has(group dfgroup.ID) bool {
	for _, entry := range t.entries {
		if entry.Group == group {
			return true
		}
	}
	return false
}

func (r *reader) entry() Entry {
	return Entry{
		Group: dfgroup.ID(r.text("group name")),
		Position: dfposition.Position{
			Term:   dfposition.Term(r.number("term")),
			Offset: dfposition.Offset(r.number("offset")),
		},
	}
}

func (r *reader) number(field string) uint64 {
	if r.fault != "" {
		return 0
	}
	value, size := binary.Uvarint(r.rest)
	if size <= 0 {
		r.fault = field
		return 0
	}
	r.rest = r.rest[size:]
	return value
}

func (r *reader) text(field string) string {
	size := r.number(field)
	if r.fault != "" {
		return ""
	}
	if size > MaxNameBytes || size > uint64(len(r.rest)) {
		r.fault = field
		return ""
	}
	value := string(r.rest[:size])
	r.rest = r.rest[size:]
	return value
}

func appendText(data []byte, text string) []byte {
	data = binary.AppendUvarint(data, uint64(len(text)))
	return append(data, text...)
}

func equal(a, b []byte) bool {
	return subtle.ConstantTimeCompare(a, b) == 1
}

func malformed(format string, args ...any) error {
	return dfresult.NewError(dfresult.TokenMalformed, format, args...)
}
