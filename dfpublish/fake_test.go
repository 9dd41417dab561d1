package dfpublish

import (
	"context"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfplatform"
)

// store is the state of the in-memory platform.
type store struct {
	mu      sync.Mutex
	rows    map[string]dfplatform.Row
	objects map[string][]byte
	// started is the origin of the schedule of outages.
	started time.Time
	// outages has pairs of begin and end.
	outages [][2]time.Duration
	// blind skips the check of conditions; it is a fault put in on purpose.
	blind bool
}

func newStore(random *rand.Rand) *store {
	s := &store{rows: make(map[string]dfplatform.Row), objects: make(map[string][]byte), started: time.Now()}
	at := time.Duration(0)
	for random != nil && len(s.outages) < 20 {
		at += time.Duration(random.Int64N(int64(20 * time.Second)))
		end := at + time.Duration(random.Int64N(int64(6*time.Second)))
		s.outages = append(s.outages, [2]time.Duration{at, end})
		at = end
	}
	return s
}

func (s *store) down() bool {
	now := time.Since(s.started)
	for _, outage := range s.outages {
		if now >= outage[0] && now < outage[1] {
			return true
		}
	}
	return false
}

// access is one user's way to the store, with its own faults and delays. It
// implements dfplatform.Platform.
type access struct {
	store  *store
	random *rand.Rand
	// faults is the number of calls in 100 whose request or answer is lost.
	faults int
}

// call runs a call with a delay on either side. During an outage, calls are
// refused or get no answer.
func (a *access) call(ctx context.Context, do func() error) error {
	a.delay()
	if a.store.down() {
		if a.random.IntN(3) == 0 {
			return eris.Wrap(dfplatform.ErrRefused, "outage")
		}
		return eris.Wrap(dfplatform.ErrUnavailable, "outage")
	}
	lot := a.random.IntN(200)
	if lot < a.faults {
		return eris.Wrap(dfplatform.ErrUnavailable, "request lost")
	}
	a.store.mu.Lock()
	err := do()
	a.store.mu.Unlock()
	a.delay()
	if lot < 2*a.faults {
		return eris.Wrap(dfplatform.ErrUnavailable, "answer lost")
	}
	return err
}

// delay waits some milliseconds, and now and then much longer.
func (a *access) delay() {
	span := time.Duration(a.random.Int64N(int64(10 * time.Millisecond)))
	if a.random.IntN(25) == 0 {
		span *= 60
	}
	time.Sleep(span)
}

func (a *access) Get(ctx context.Context, key string) (row dfplatform.Row, err error) {
	err = a.call(ctx, func() error {
		row = a.store.rows[key]
		if row.Version == 0 {
			return eris.Wrap(dfplatform.ErrNotFound, key)
		}
		return nil
	})
	return row, err
}

func (a *access) List(context.Context, string) ([]dfplatform.Row, error) { return nil, nil }

func (a *access) Commit(ctx context.Context, attempt string, writes ...dfplatform.Write) error {
	return a.call(ctx, func() error {
		for _, write := range writes {
			if !a.store.blind && a.store.rows[write.Key].Version != write.IfVersion {
				return eris.Wrap(dfplatform.ErrConflict, write.Key)
			}
		}
		for _, write := range writes {
			version := a.store.rows[write.Key].Version + 1
			a.store.rows[write.Key] = dfplatform.Row{Key: write.Key, Value: write.Value, Version: version, Attempt: attempt}
		}
		return nil
	})
}

func (a *access) Put(ctx context.Context, name string, data []byte) error {
	return a.call(ctx, func() error {
		if known, ok := a.store.objects[name]; ok && string(known) != string(data) {
			return eris.Wrap(dfplatform.ErrConflict, name)
		}
		a.store.objects[name] = data
		return nil
	})
}

func (a *access) Fetch(ctx context.Context, name string) (data []byte, err error) {
	err = a.call(ctx, func() error {
		known, ok := a.store.objects[name]
		if !ok {
			return eris.Wrap(dfplatform.ErrNotFound, name)
		}
		data = known
		return nil
	})
	return data, err
}

func (a *access) Names(ctx context.Context, prefix string) (names []string, err error) {
	err = a.call(ctx, func() error {
		for name := range a.store.objects {
			if strings.HasPrefix(name, prefix) {
				names = append(names, name)
			}
		}
		sort.Strings(names)
		return nil
	})
	return names, err
}

func (a *access) Members(context.Context) ([]dfplatform.Member, error) { return nil, nil }

// sleep waits in the virtual time of the test.
func sleep(ctx context.Context, span dfclock.Millis) error {
	time.Sleep(time.Duration(span) * time.Millisecond)
	return ctx.Err()
}
