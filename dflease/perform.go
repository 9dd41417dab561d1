package dflease

import (
	"context"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfplatform"
)

// Read performs a ReadRows that was asked for at an instant of the keeper's
// clock, in the order that it needs, and returns the event that answers it.
func Read(ctx context.Context, table dfplatform.Table, action ReadRows, askedAt dfclock.Millis) Event {
	var rows []dfplatform.Row
	for _, prefix := range action.Prefixes {
		listed, err := table.List(ctx, prefix)
		if err != nil {
			return ReadFailed{}
		}
		rows = append(rows, listed...)
	}
	for _, key := range action.Keys {
		row, err := table.Get(ctx, key)
		switch {
		case eris.Is(err, dfplatform.ErrNotFound):
		case err != nil:
			return ReadFailed{}
		default:
			rows = append(rows, row)
		}
	}
	return RowsRead{AskedAt: askedAt, Rows: rows}
}

// Write performs a Commit and returns the event that answers it. A lost answer
// needs no settling here: the keeper reads the rows before it goes on.
func Write(ctx context.Context, table dfplatform.Table, attempt string, action Commit) Event {
	err := table.Commit(ctx, attempt, action.Writes...)
	switch {
	case err == nil:
		return Committed{Done}
	case eris.Is(err, dfplatform.ErrConflict):
		return Committed{Conflict}
	}
	return Committed{Failed}
}
