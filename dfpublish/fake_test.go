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
	// started is the time that outages are relative to.
	started time.Time
	// outages has the start and end of each outage.
	outages [][2]time.Duration
	// ignoreConditions commits writes without checking their conditions, to prove
	// that the checks detect it.
	ignoreConditions bool
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

func (s *store) inOutage() bool {
	now := time.Since(s.started)
	for _, outage := range s.outages {
		if now >= outage[0] && now < outage[1] {
			return true
		}
	}
	return false
}

// client is one user's connection to the store, with its own message loss and delays.
// It implements dfplatform.Platform.
type client struct {
	store  *store
	random *rand.Rand
	// lossPercent is the percentage of calls whose request or answer is lost.
	lossPercent int
}

// call runs a call with a delay before and after it. During an outage, calls are
// refused or get no answer.
func (c *client) call(ctx context.Context, do func() error) error {
	c.delay()
	if c.store.inOutage() {
		if c.random.IntN(3) == 0 {
			return eris.Wrap(dfplatform.ErrRefused, "outage")
		}
		return eris.Wrap(dfplatform.ErrUnavailable, "outage")
	}
	draw := c.random.IntN(200)
	if draw < c.lossPercent {
		return eris.Wrap(dfplatform.ErrUnavailable, "request lost")
	}
	c.store.mu.Lock()
	err := do()
	c.store.mu.Unlock()
	c.delay()
	if draw < 2*c.lossPercent {
		return eris.Wrap(dfplatform.ErrUnavailable, "answer lost")
	}
	return err
}

// delay sleeps for up to 10 ms, and for up to 600 ms in 1 of 25 calls.
func (c *client) delay() {
	duration := time.Duration(c.random.Int64N(int64(10 * time.Millisecond)))
	if c.random.IntN(25) == 0 {
		duration *= 60
	}
	time.Sleep(duration)
}

func (c *client) Get(ctx context.Context, key string) (row dfplatform.Row, err error) {
	err = c.call(ctx, func() error {
		row = c.store.rows[key]
		if row.Version == 0 {
			return eris.Wrap(dfplatform.ErrNotFound, key)
		}
		return nil
	})
	return row, err
}

func (c *client) List(context.Context, string) ([]dfplatform.Row, error) { return nil, nil }

func (c *client) Commit(ctx context.Context, attempt string, writes ...dfplatform.Write) error {
	return c.call(ctx, func() error {
		for _, write := range writes {
			if !c.store.ignoreConditions && c.store.rows[write.Key].Version != write.IfVersion {
				return eris.Wrap(dfplatform.ErrConflict, write.Key)
			}
		}
		for _, write := range writes {
			version := c.store.rows[write.Key].Version + 1
			c.store.rows[write.Key] = dfplatform.Row{Key: write.Key, Value: write.Value, Version: version, Attempt: attempt}
		}
		return nil
	})
}

func (c *client) Put(ctx context.Context, name string, data []byte) error {
	return c.call(ctx, func() error {
		if known, ok := c.store.objects[name]; ok && string(known) != string(data) {
			return eris.Wrap(dfplatform.ErrConflict, name)
		}
		c.store.objects[name] = data
		return nil
	})
}

func (c *client) Fetch(ctx context.Context, name string) (data []byte, err error) {
	err = c.call(ctx, func() error {
		known, ok := c.store.objects[name]
		if !ok {
			return eris.Wrap(dfplatform.ErrNotFound, name)
		}
		data = known
		return nil
	})
	return data, err
}

func (c *client) Names(ctx context.Context, prefix string) (names []string, err error) {
	err = c.call(ctx, func() error {
		for name := range c.store.objects {
			if strings.HasPrefix(name, prefix) {
				names = append(names, name)
			}
		}
		sort.Strings(names)
		return nil
	})
	return names, err
}

func (c *client) Members(context.Context) ([]dfplatform.Member, error) { return nil, nil }

// sleep waits in the virtual time of synctest.
func sleep(ctx context.Context, duration dfclock.Millis) error {
	time.Sleep(time.Duration(duration) * time.Millisecond)
	return ctx.Err()
}

// Era implements dfplatform.Platform. The fake never comes back from an older copy.
func (c *client) Era() uint64 { return 0 }
