// Package dfposition compares log positions of a database group across changes of the
// primary.
package dfposition

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Term numbers the successive leaderships of a database group. Zero is no term.
type Term uint64

// Offset is an offset in the log of a database group.
type Offset uint64

// Position identifies a point in a log by the term under which it was written.
type Position struct {
	Term   Term
	Offset Offset
}

// IsZero reports whether this is the zero position, which every log contains.
func (p Position) IsZero() bool {
	return p.Term == 0
}

// String returns the position as "term:offset".
func (p Position) String() string {
	return fmt.Sprintf("%d:%d", p.Term, p.Offset)
}

// Less orders positions by term, then by offset.
func (p Position) Less(other Position) bool {
	if p.Term != other.Term {
		return p.Term < other.Term
	}
	return p.Offset < other.Offset
}

// Max returns the later of two positions.
func (p Position) Max(other Position) Position {
	if p.Less(other) {
		return other
	}
	return p
}

// ParsePosition parses "term:offset".
func ParsePosition(text string) (Position, error) {
	termText, offsetText, found := strings.Cut(text, ":")
	if !found {
		return Position{}, eris.Errorf("position %q: want term:offset", text)
	}
	term, err := strconv.ParseUint(termText, 10, 64)
	if err != nil {
		return Position{}, eris.Wrapf(err, "position %q: term", text)
	}
	offset, err := strconv.ParseUint(offsetText, 10, 64)
	if err != nil {
		return Position{}, eris.Wrapf(err, "position %q: offset", text)
	}
	return Position{Term: Term(term), Offset: Offset(offset)}, nil
}

// Verdict states whether a log contains a position.
type Verdict int

const (
	// Contained means that the log contains the position.
	Contained Verdict = iota + 1
	// Behind means that the log does not contain the position yet but may still reach
	// it.
	Behind
	// Discarded means that a later term has overwritten the position, so the write is
	// lost.
	Discarded
)

func (v Verdict) String() string {
	switch v {
	case Contained:
		return "contained"
	case Behind:
		return "behind"
	case Discarded:
		return "discarded"
	}
	return "invalid"
}

// Start is the offset at which a term begins in a log.
type Start struct {
	Term   Term
	Offset Offset
}

// History lists the terms in a log. The zero value is the history of an empty log.
type History struct {
	// starts has strictly increasing terms and non-decreasing offsets.
	starts []Start
}

// NewHistory returns the history with a copy of the given starts. It returns an error
// if they are out of order.
func NewHistory(starts ...Start) (History, error) {
	for i := 1; i < len(starts); i++ {
		if starts[i].Term <= starts[i-1].Term || starts[i].Offset < starts[i-1].Offset {
			return History{}, eris.Errorf("term history: %d:%d does not follow %d:%d",
				starts[i].Term, starts[i].Offset, starts[i-1].Term, starts[i-1].Offset)
		}
	}
	return History{starts: append([]Start(nil), starts...)}, nil
}

// ParseHistory parses "term:offset,term:offset", or an empty text for an empty log.
func ParseHistory(text string) (History, error) {
	if text == "" {
		return History{}, nil
	}
	parts := strings.Split(text, ",")
	starts := make([]Start, 0, len(parts))
	for _, part := range parts {
		position, err := ParsePosition(part)
		if err != nil {
			return History{}, eris.Wrap(err, "term history")
		}
		starts = append(starts, Start(position))
	}
	return NewHistory(starts...)
}

// String returns the history as "term:offset,term:offset".
func (h History) String() string {
	parts := make([]string, len(h.starts))
	for i, start := range h.starts {
		parts[i] = Position(start).String()
	}
	return strings.Join(parts, ",")
}

// Last returns the highest term, or zero for an empty log.
func (h History) Last() Term {
	if len(h.starts) == 0 {
		return 0
	}
	return h.starts[len(h.starts)-1].Term
}

// Starts returns a copy of the starts.
func (h History) Starts() []Start {
	return append([]Start(nil), h.starts...)
}

// WithTerm returns the history with a new highest term that begins at offset.
func (h History) WithTerm(term Term, offset Offset) (History, error) {
	return NewHistory(append(h.Starts(), Start{Term: term, Offset: offset})...)
}

// WithTruncation returns the history of the log after truncation to offset.
func (h History) WithTruncation(offset Offset) History {
	kept := h.starts
	for len(kept) > 1 && kept[len(kept)-1].Offset > offset {
		kept = kept[:len(kept)-1]
	}
	return History{starts: append([]Start(nil), kept...)}
}

// Locate reports whether a log with this history and end contains the position.
func (h History) Locate(end Offset, want Position) Verdict {
	if want.IsZero() {
		return Contained
	}
	for i, start := range h.starts {
		if start.Term < want.Term {
			continue
		}
		if start.Term > want.Term {
			return Discarded
		}
		if i+1 < len(h.starts) && want.Offset > h.starts[i+1].Offset {
			return Discarded
		}
		if want.Offset <= end {
			return Contained
		}
		return Behind
	}
	return Behind
}

// LogEnd describes the end of a log for comparison in an election.
type LogEnd struct {
	LastTerm Term
	End      Offset
}

// Less orders logs by last term, then by end.
func (e LogEnd) Less(other LogEnd) bool {
	return Position{e.LastTerm, e.End}.Less(Position{other.LastTerm, other.End})
}
