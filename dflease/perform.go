package dflease

import (
	"context"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfplatform"
)

// Read performs a ReadRows and returns the event that answers it. Lists are read
// before keys, as ReadRows requires. requestedAt is the time of the request by the
// Manager's clock.
func Read(ctx context.Context, table dfplatform.Table, action ReadRows, requestedAt dfclock.Millis) Event {
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
	return RowsRead{RequestedAt: requestedAt, Rows: rows}
}

// Write performs a Commit and returns the event that answers it. A lost answer
// is not resolved here: the Manager reads the rows again before its next commit.
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
