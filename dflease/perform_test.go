package dflease

import (
	"context"
	"testing"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"dragonflygrade/dfplatform"
)

// recorder is a fake table that records its calls and fails one of them.
type recorder struct {
	calls []string
	fail  string
	err   error
}

func (r *recorder) call(name string) error {
	r.calls = append(r.calls, name)
	if name == r.fail {
		return eris.Wrap(r.err, name)
	}
	return nil
}

func (r *recorder) Get(_ context.Context, key string) (dfplatform.Row, error) {
	return dfplatform.Row{Key: key, Version: 1}, r.call(key)
}

func (r *recorder) List(_ context.Context, prefix string) ([]dfplatform.Row, error) {
	return []dfplatform.Row{{Key: prefix + "0", Version: 1}}, r.call(prefix)
}

func (r *recorder) Commit(_ context.Context, attempt string, _ ...dfplatform.Write) error {
	return r.call(attempt)
}

// TestRead guards against reading host rows before slot rows, and against
// treating rows of a failed read as absent.
func TestRead(t *testing.T) {
	action := ReadRows{Prefixes: []string{"slot/a/", "slot/b/"}, Keys: []string{"host/x", "host/y"}}
	table := &recorder{}
	event := Read(context.Background(), table, action, 7)
	require.Equal(t, []string{"slot/a/", "slot/b/", "host/x", "host/y"}, table.calls)
	require.Len(t, event.(RowsRead).Rows, 4)
	for _, fail := range table.calls {
		failing := &recorder{fail: fail, err: dfplatform.ErrUnavailable}
		require.Equal(t, ReadFailed{}, Read(context.Background(), failing, action, 7), fail)
	}
	absent := &recorder{fail: "host/x", err: dfplatform.ErrNotFound}
	require.Len(t, Read(context.Background(), absent, action, 7).(RowsRead).Rows, 3)
}

// TestWrite guards against reporting a lost answer as a conflict.
func TestWrite(t *testing.T) {
	wants := map[error]Result{dfplatform.ErrConflict: Conflict, dfplatform.ErrRefused: Failed, dfplatform.ErrUnavailable: Failed}
	for err, want := range wants {
		require.Equal(t, Committed{want}, Write(context.Background(), &recorder{fail: "a", err: err}, "a", Commit{}))
	}
	require.Equal(t, Committed{Done}, Write(context.Background(), &recorder{}, "a", Commit{}))
}
