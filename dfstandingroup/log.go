package dfstandingroup

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfposition"
	"dragonflygrade/dfstandinstore"
)

// Entry is one committed transaction in the log.
type Entry struct {
	// Term is the term under which the primary committed; it never falls within a log.
	Term   dfposition.Term
	Commit dfstandinstore.Commit
	// flushed is when this upstream flushed the entry.
	flushed time.Time
}

// Committed is one entry of an upstream's record.
type Committed struct {
	Term dfposition.Term
	// Offset is the log's end after the entry.
	Offset dfposition.Offset
	XID    uint64
	Tags   []dfstandinstore.Tag
	// Cut is true if a later follow removed the entry from this upstream's log.
	Cut bool
}

type wireChange struct {
	Table  string
	Row    uint64
	Delete bool
	Values []*string
	Schema []dfstandinstore.Column
}

type wireEntry struct {
	Term    uint64
	XID     uint64
	Changes []wireChange
	Tags    []dfstandinstore.Tag
}

// EncodeEntry writes an entry as text; the first letter of a value is its type.
func EncodeEntry(entry Entry) (string, error) {
	wire := wireEntry{Term: uint64(entry.Term), XID: entry.Commit.XID, Tags: entry.Commit.Tags}
	for _, change := range entry.Commit.Changes {
		out := wireChange{Table: change.Table, Row: uint64(change.Row), Schema: change.Schema,
			Delete: change.Values == nil, Values: make([]*string, len(change.Values))}
		for i, value := range change.Values {
			out.Values[i] = encodeValue(value)
		}
		wire.Changes = append(wire.Changes, out)
	}
	text, err := json.Marshal(wire)
	return string(text), eris.Wrap(err, "log entry")
}

// DecodeEntry reads what EncodeEntry wrote.
func DecodeEntry(text string) (Entry, error) {
	var wire wireEntry
	if err := json.Unmarshal([]byte(text), &wire); err != nil {
		return Entry{}, eris.Wrap(err, "log entry")
	}
	entry := Entry{Term: dfposition.Term(wire.Term), Commit: dfstandinstore.Commit{XID: wire.XID, Tags: wire.Tags}}
	for _, in := range wire.Changes {
		change := dfstandinstore.Change{Table: in.Table, Row: dfstandinstore.RowID(in.Row), Schema: in.Schema}
		if !in.Delete {
			change.Values = make([]dfstandinstore.Value, len(in.Values))
		}
		for i, value := range in.Values {
			decoded, err := decodeValue(value)
			if err != nil {
				return Entry{}, err
			}
			change.Values[i] = decoded
		}
		entry.Commit.Changes = append(entry.Commit.Changes, change)
	}
	return entry, nil
}

func encodeValue(value dfstandinstore.Value) *string {
	text := dfstandinstore.FormatText(value)
	switch value.(type) {
	case nil:
		return nil
	case int64:
		text = "i" + text
	case float64:
		text = "f" + text
	case bool:
		text = "b" + text
	default:
		text = "s" + text
	}
	return &text
}

func decodeValue(text *string) (dfstandinstore.Value, error) {
	if text == nil {
		return nil, nil
	}
	if *text == "" {
		return nil, eris.New("log entry: value without type")
	}
	rest := (*text)[1:]
	switch (*text)[0] {
	case 'i':
		number, err := strconv.ParseInt(rest, 10, 64)
		return number, eris.Wrap(err, "log entry")
	case 'f':
		number, err := strconv.ParseFloat(rest, 64)
		return number, eris.Wrap(err, "log entry")
	case 'b':
		return rest == "t", nil
	}
	return rest, nil
}

// commonEnd returns the end of the part that two logs share. Each term has one
// primary, so logs that began a term at one offset agree up to the shorter end.
func commonEnd(own dfposition.History, ownEnd dfposition.Offset, other dfposition.History, otherEnd dfposition.Offset) dfposition.Offset {
	ownStarts, otherStarts := own.Starts(), other.Starts()
	common := dfposition.Offset(0)
	for i := range min(len(ownStarts), len(otherStarts)) {
		if ownStarts[i] != otherStarts[i] {
			break
		}
		common = min(runEnd(ownStarts, i, ownEnd), runEnd(otherStarts, i, otherEnd))
	}
	return common
}

func runEnd(starts []dfposition.Start, i int, end dfposition.Offset) dfposition.Offset {
	if i+1 < len(starts) {
		return min(starts[i+1].Offset, end)
	}
	return end
}
