package dfplatform

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfrevision"
)

// script is a table with one row whose calls go as the script says.
type script struct {
	row Row
	// commits has one letter for each commit: 'd' done, 'l' done with the
	// answer lost, 'n' lost before it arrived, 'r' refused, 'o' overwritten by
	// another commit after it took effect and the answer lost.
	commits string
	// failReads is how many reads fail.
	failReads int
}

func (s *script) Get(context.Context, string) (Row, error) {
	if s.failReads > 0 {
		s.failReads--
		return Row{}, eris.Wrap(ErrUnavailable, "read")
	}
	if s.row.Version == 0 {
		return Row{}, eris.Wrap(ErrNotFound, "read")
	}
	return s.row, nil
}

func (s *script) List(context.Context, string) ([]Row, error) { return nil, nil }

func (s *script) Commit(_ context.Context, attempt string, writes ...Write) error {
	kind := s.commits[0]
	s.commits = s.commits[1:]
	if kind == 'r' {
		return eris.Wrap(ErrRefused, "commit")
	}
	if kind == 'n' {
		return eris.Wrap(ErrUnavailable, "commit")
	}
	if writes[0].IfVersion != s.row.Version {
		return eris.Wrap(ErrConflict, "commit")
	}
	s.row = Row{Key: writes[0].Key, Version: s.row.Version + 1, Attempt: attempt}
	if kind == 'o' {
		s.row = Row{Key: writes[0].Key, Version: s.row.Version + 1, Attempt: "other"}
	}
	if kind == 'd' {
		return nil
	}
	return eris.Wrap(ErrUnavailable, "commit")
}

func noSleep(context.Context, dfclock.Millis) error { return nil }

// TestSettle guards against a lost answer that is taken for a failure, a
// conflict with the own earlier try that is taken for another's, and a commit
// called failed although it may still take effect.
func TestSettle(t *testing.T) {
	cases := []struct {
		name      string
		commits   string
		version   uint64
		failReads int
		want      error
	}{
		{"done", "d", 0, 0, nil},
		{"answer lost", "l", 0, 0, nil},
		{"answer lost, first read fails, second try conflicts", "ld", 0, 1, nil},
		{"answer lost, reads fail, tries conflict", "llll", 0, 3, nil},
		{"request lost, second try done", "nd", 0, 0, nil},
		{"refused, then done", "rd", 0, 0, nil},
		{"refused until the end", "rrrr", 0, 0, ErrRefused},
		{"another's commit", "d", 3, 0, ErrConflict},
		{"lost, then another's commit", "nd", 3, 1, ErrReplaced},
		{"taken effect and replaced", "o", 0, 0, ErrReplaced},
		{"all requests lost", "nnnn", 0, 0, ErrUnavailable},
		{"all reads fail after a lost answer", "llll", 0, 100, ErrUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := &script{commits: c.commits, failReads: c.failReads, row: Row{Version: dfrevision.Revision(c.version)}}
			settler := NewSettler(table, Backoff{First: 1, Max: 4, Tries: 4}, rand.New(rand.NewPCG(1, 2)), noSleep)
			err := settler.Commit(context.Background(), "mine", Write{Key: "k", IfVersion: 0})
			if c.want == nil {
				require.NoError(t, err)
				require.Equal(t, "mine", table.row.Attempt)
				return
			}
			require.ErrorIs(t, err, c.want)
		})
	}
}

// TestSettleStops guards against retries that outlive their caller.
func TestSettleStops(t *testing.T) {
	table := &script{commits: "nnnn"}
	settler := NewSettler(table, DefaultBackoff, rand.New(rand.NewPCG(1, 2)),
		func(context.Context, dfclock.Millis) error { return errors.New("ended") })
	require.ErrorIs(t, settler.Commit(context.Background(), "mine", Write{Key: "k"}), ErrUnavailable)
	require.Equal(t, "nnn", table.commits)
}

// TestDelay guards against waits that leave their bounds or have no jitter.
func TestDelay(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	backoff := Backoff{First: 50, Max: 400, Tries: 9}
	seen := make(map[dfclock.Millis]bool)
	for repeat := 1; repeat < 80; repeat++ {
		delay := backoff.Delay(repeat, random)
		require.True(t, delay >= 1 && delay <= 400, delay)
		seen[delay] = true
	}
	require.Greater(t, len(seen), 30)
}

// TestAttempts guards against two commits with one identity.
func TestAttempts(t *testing.T) {
	seen := make(map[string]bool)
	for run := range uint64(10) {
		attempts := NewAttempts("host", rand.New(rand.NewPCG(run, 0)))
		for range 10 {
			seen[attempts.Next()] = true
		}
	}
	require.Len(t, seen, 100)
}
