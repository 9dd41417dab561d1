package dfplatform

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
)

// ErrReplaced means that an answer was lost and the row was changed again by
// another commit since, so that the row no longer tells whether the lost
// commit took effect before. It can not take effect any more.
var ErrReplaced = eris.New("platform: answer lost and row replaced")

// Sleep waits for a span, or until the context ends.
type Sleep func(ctx context.Context, span dfclock.Millis) error

// Pause is the Sleep of the running program.
func Pause(ctx context.Context, span dfclock.Millis) error {
	timer := time.NewTimer(time.Duration(span) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// Settler commits conditionally and settles lost answers. It is used by one
// goroutine.
type Settler struct {
	table   Table
	backoff Backoff
	random  *rand.Rand
	sleep   Sleep
}

// NewSettler returns a settler over a table. Jitter comes from the seeded
// source and waiting is done by sleep.
func NewSettler(table Table, backoff Backoff, random *rand.Rand, sleep Sleep) *Settler {
	return &Settler{table: table, backoff: backoff, random: random, sleep: sleep}
}

// Commit applies all writes or none and returns what is known in the end:
// nil if the writes took effect, ErrConflict or ErrRefused if they did not and
// will not, ErrReplaced if they may have taken effect but were replaced, and
// ErrUnavailable if they may still take effect. The first write is read back
// to settle lost answers; it must be conditional and no deletion.
func (s *Settler) Commit(ctx context.Context, attempt string, writes ...Write) error {
	lost := false
	for try := 1; ; try++ {
		err := s.table.Commit(ctx, attempt, writes...)
		switch {
		case err == nil:
			return nil
		case eris.Is(err, ErrConflict):
			return s.afterConflict(ctx, attempt, writes[0], lost, err)
		case !eris.Is(err, ErrRefused):
			lost = true
		}
		if lost {
			switch state, detail := s.readBack(ctx, attempt, writes[0]); state {
			case rowApplied:
				return nil
			case rowReplaced:
				return detail
			}
		}
		if try >= s.backoff.Tries {
			return s.givenUp(lost, err)
		}
		if s.sleep(ctx, s.backoff.Delay(try, s.random)) != nil {
			return s.givenUp(lost, err)
		}
	}
}

func (s *Settler) givenUp(lost bool, err error) error {
	if lost {
		return eris.Wrap(ErrUnavailable, "commit not settled")
	}
	return err
}

// afterConflict tells a conflict with another commit from a conflict with an
// earlier try of the same commit whose answer was lost.
func (s *Settler) afterConflict(ctx context.Context, attempt string, write Write, lost bool, conflict error) error {
	if !lost {
		return conflict
	}
	for try := 1; ; try++ {
		switch state, detail := s.readBack(ctx, attempt, write); state {
		case rowApplied:
			return nil
		case rowReplaced:
			return detail
		case rowUnchanged:
			// Another row of the commit changed, which also stops the lost try.
			return conflict
		}
		if try >= s.backoff.Tries || s.sleep(ctx, s.backoff.Delay(try, s.random)) != nil {
			return s.givenUp(true, nil)
		}
	}
}

// rowState is what a read tells about a commit whose answer was lost.
type rowState int

const (
	rowUnread rowState = iota
	rowUnchanged
	rowApplied
	rowReplaced
)

// readBack compares the row with the state before the commit. An unchanged row
// settles nothing by itself, because the commit may be under way.
func (s *Settler) readBack(ctx context.Context, attempt string, write Write) (rowState, error) {
	row, err := s.table.Get(ctx, write.Key)
	switch {
	case eris.Is(err, ErrNotFound):
		row = Row{}
	case err != nil:
		return rowUnread, nil
	}
	switch {
	case row.Attempt == attempt:
		return rowApplied, nil
	case row.Version != write.IfVersion:
		return rowReplaced, eris.Wrapf(ErrReplaced, "%s is at version %d by %s", write.Key, row.Version, row.Attempt)
	}
	return rowUnchanged, nil
}

// Retry repeats a call that changes nothing or is idempotent until it
// succeeds, answers definitely, or the tries are used up.
func (s *Settler) Retry(ctx context.Context, call func(context.Context) error) error {
	for try := 1; ; try++ {
		err := call(ctx)
		if err == nil || eris.Is(err, ErrNotFound) || eris.Is(err, ErrConflict) {
			return err
		}
		if try >= s.backoff.Tries || s.sleep(ctx, s.backoff.Delay(try, s.random)) != nil {
			return err
		}
	}
}
