// Package dfproto has the generated code of the services between hosts and
// towards the platform, and the conversion of positions in their messages.
package dfproto

import "dragonflygrade/dfposition"

// EncodePosition returns the message of a position, nil for none.
func EncodePosition(position dfposition.Position) *Position {
	if position.IsZero() {
		return nil
	}
	return &Position{Term: uint64(position.Term), Offset: uint64(position.Offset)}
}

// DecodePosition returns the position in a message; nil gives none.
func DecodePosition(message *Position) dfposition.Position {
	return dfposition.Position{
		Term:   dfposition.Term(message.GetTerm()),
		Offset: dfposition.Offset(message.GetOffset()),
	}
}
