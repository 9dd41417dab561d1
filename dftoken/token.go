// Package dftoken implements the signed session tokens in which callers carry the
// positions of their last writes from host to host.
//
// A token is base64url text without padding that encodes the format version, the key
// ID, flags, the service, the number of positions, the positions from the least to the
// most recently written, and the first 16 bytes of the HMAC-SHA-256 of all these.
package dftoken

import (
	"encoding/base64"
	"encoding/binary"

	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfresult"
)

// Entry is the position of one group.
type Entry struct {
	Group    dfgroup.ID
	Position dfposition.Position
}

// Token holds the positions of one session's writes. It is immutable.
type Token struct {
	service string
	// entries has at most MaxPositions distinct groups, least recently written first.
	entries []Entry
	// overflowed is true once an entry has been dropped. It is never reset.
	overflowed bool
}

// New returns a token without positions for a service.
func New(service string) Token {
	return Token{service: service}
}

// Service returns the service that the token is bound to.
func (t Token) Service() string {
	return t.service
}

// Entries returns a copy of the positions, least recently written first.
func (t Token) Entries() []Entry {
	return append([]Entry(nil), t.entries...)
}

// Overflowed reports whether a position was dropped. A group that is absent from such
// a token may still have writes, see Position.
func (t Token) Overflowed() bool {
	return t.overflowed
}

// Position returns the position that a read of the group must see and whether it is
// known. A group that is absent from a token that never overflowed has no writes, so
// its position is zero and known. After an overflow the position of an absent group is
// unknown, and the read must use another rung of the read ladder, as without a token.
func (t Token) Position(group dfgroup.ID) (dfposition.Position, bool) {
	for _, entry := range t.entries {
		if entry.Group == group {
			return entry.Position, true
		}
	}
	return dfposition.Position{}, !t.overflowed
}

// WithPosition returns the token after a write at the position. The position of a group
// never decreases. If the token is full, the least recently written group is dropped.
func (t Token) WithPosition(group dfgroup.ID, position dfposition.Position) Token {
	next := Token{service: t.service, overflowed: t.overflowed}
	next.entries = make([]Entry, 0, len(t.entries)+1)
	for _, entry := range t.entries {
		if entry.Group == group {
			position = position.Max(entry.Position)
			continue
		}
		next.entries = append(next.entries, entry)
	}
	next.entries = append(next.entries, Entry{Group: group, Position: position})
	if len(next.entries) > MaxPositions {
		next.entries = next.entries[len(next.entries)-MaxPositions:]
		next.overflowed = true
	}
	return next
}

// Sign encodes the token and signs it with the ring's signing key.
func (r KeyRing) Sign(token Token) (string, error) {
	key, found := r.find(r.signingID)
	if !found {
		return "", dfresult.NewError(dfresult.TokenKeyUnknown, "no signing key is in force")
	}
	if len(token.service) > MaxNameBytes {
		return "", dfresult.NewError(dfresult.TokenMalformed, "the service name has %d bytes, at most %d fit", len(token.service), MaxNameBytes)
	}
	payload := make([]byte, 0, headerBytes+len(token.service)+32*len(token.entries)+signatureBytes)
	payload = append(payload, formatVersion, key.ID, token.flags())
	payload = appendText(payload, token.service)
	payload = binary.AppendUvarint(payload, uint64(len(token.entries)))
	for _, entry := range token.entries {
		if len(entry.Group) > MaxNameBytes {
			return "", dfresult.NewError(dfresult.TokenMalformed, "the group name %q has more than %d bytes", entry.Group, MaxNameBytes)
		}
		payload = appendText(payload, string(entry.Group))
		payload = binary.AppendUvarint(payload, uint64(entry.Position.Term))
		payload = binary.AppendUvarint(payload, uint64(entry.Position.Offset))
	}
	payload = append(payload, key.sign(payload)...)
	return base64.RawURLEncoding.EncodeToString(payload), nil
}

// Parse verifies and decodes the text of a token that was issued for the service. Errors
// are of type *dfresult.Error.
func (r KeyRing) Parse(text, service string) (Token, error) {
	if len(text) > MaxTextBytes {
		return Token{}, malformed("%d bytes, at most %d are allowed", len(text), MaxTextBytes)
	}
	data, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return Token{}, malformed("not base64url text without padding")
	}
	if len(data) < headerBytes+signatureBytes {
		return Token{}, malformed("%d bytes are too short", len(data))
	}
	if data[0] != formatVersion {
		return Token{}, malformed("format version %d, want %d", data[0], formatVersion)
	}
	key, found := r.find(data[1])
	if !found {
		return Token{}, dfresult.NewError(dfresult.TokenKeyUnknown, "key %d", data[1])
	}
	payload, signature := data[:len(data)-signatureBytes], data[len(data)-signatureBytes:]
	if !equal(key.sign(payload), signature) {
		return Token{}, dfresult.NewError(dfresult.TokenSignature, "signature does not match key %d", key.ID)
	}
	token, err := decode(payload)
	if err != nil {
		return Token{}, err
	}
	if token.service != service {
		return Token{}, dfresult.NewError(dfresult.TokenService, "issued for service %q, presented to %q", token.service, service)
	}
	return token, nil
}

func (t Token) flags() byte {
	if t.overflowed {
		return flagOverflowed
	}
	return 0
}
