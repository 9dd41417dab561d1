package dftoken

import (
	"crypto/subtle"
	"encoding/binary"

	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfresult"
)

// decoder reads the fields of a payload. After the first invalid field, all further
// fields are zero.
type decoder struct {
	rest []byte
	// invalidField names the first invalid field. It is empty if there is none.
	invalidField string
}

// decode decodes a payload whose signature has been verified.
func decode(payload []byte) (Token, error) {
	if payload[2]&^flagOverflowed != 0 {
		return Token{}, malformed("unknown flags %#x", payload[2])
	}
	d := decoder{rest: payload[headerBytes:]}
	token := Token{overflowed: payload[2]&flagOverflowed != 0}
	token.service = d.text("service")
	count := d.number("number of positions")
	if count > MaxPositions {
		return Token{}, malformed("%d positions, at most %d are allowed", count, MaxPositions)
	}
	for range count {
		entry := d.entry()
		if d.invalidField != "" {
			break
		}
		if token.has(entry.Group) {
			return Token{}, malformed("group %q occurs twice", entry.Group)
		}
		token.entries = append(token.entries, entry)
	}
	if d.invalidField != "" {
		return Token{}, malformed("%s is cut off or too long", d.invalidField)
	}
	if len(d.rest) > 0 {
		return Token{}, malformed("%d bytes behind the last position", len(d.rest))
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

func (d *decoder) entry() Entry {
	return Entry{
		Group: dfgroup.ID(d.text("group name")),
		Position: dfposition.Position{
			Term:   dfposition.Term(d.number("term")),
			Offset: dfposition.Offset(d.number("offset")),
		},
	}
}

func (d *decoder) number(field string) uint64 {
	if d.invalidField != "" {
		return 0
	}
	value, size := binary.Uvarint(d.rest)
	if size <= 0 {
		d.invalidField = field
		return 0
	}
	d.rest = d.rest[size:]
	return value
}

func (d *decoder) text(field string) string {
	size := d.number(field)
	if d.invalidField != "" {
		return ""
	}
	if size > MaxNameBytes || size > uint64(len(d.rest)) {
		d.invalidField = field
		return ""
	}
	value := string(d.rest[:size])
	d.rest = d.rest[size:]
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
