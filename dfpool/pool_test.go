package dfpool

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfresult"
)

// TestMain fixes the seed, so that every run has the same result.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260")
	os.Exit(m.Run())
}

func newPool(config Config) *Pool {
	return New(config, rand.New(rand.NewPCG(1, 2)))
}

// model tracks the expected state of a pool from its events and actions.
type model struct {
	*rapid.T
	pool       *Pool
	now        dfclock.Millis
	limit      int
	conns      map[ConnID]string
	openedAt   map[ConnID]dfclock.Millis
	holders    map[ConnID]Acquire
	suspects   map[ConnID]bool
	waiting    []Acquire
	lastWaiter WaiterID
}

// handle passes an event to the pool and checks every action against the model.
func (m *model) handle(event Event) {
	actions := append([]Action(nil), m.pool.Handle(m.now, event)...)
	for _, action := range actions {
		switch a := action.(type) {
		case Grant:
			require.Equal(m, "idle", m.conns[a.Conn], "only an idle connection is granted")
			require.False(m, m.suspects[a.Conn], "a suspect connection is probed before it is granted")
			expected := m.nextWaiter()
			require.Equal(m, expected.Waiter, a.Waiter, "waiters are served by priority, then arrival")
			require.True(m, m.now.Before(expected.Deadline), "a waiter past its deadline is refused")
			m.conns[a.Conn], m.holders[a.Conn] = "in use", expected
			m.removeWaiter(a.Waiter)
		case Open:
			m.conns[a.Conn], m.openedAt[a.Conn] = "opening", m.now
			require.LessOrEqual(m, len(m.conns), m.limit, "opening connections count against the limit")
		case Probe:
			require.Equal(m, "idle", m.conns[a.Conn])
			require.True(m, m.suspects[a.Conn])
			m.conns[a.Conn] = "probing"
		case Close:
			require.NotEqual(m, "closing", m.conns[a.Conn])
			m.conns[a.Conn] = "closing"
		case Refuse:
			require.True(m, m.removeWaiter(a.Waiter), "only a waiter is refused, and only once")
			require.Equal(m, dfresult.NotRun, a.Code.Outcome())
		case InvariantViolated:
			require.Fail(m, "no event violates an invariant", a.Text)
		}
	}
	require.Equal(m, len(m.waiting), m.pool.Stats().Waiting, "no waiter is lost")
	require.Equal(m, len(m.conns), m.pool.Stats().Total())
}

func (m *model) nextWaiter() Acquire {
	next := m.waiting[0]
	for _, w := range m.waiting {
		if w.Priority < next.Priority {
			next = w
		}
	}
	return next
}

func (m *model) removeWaiter(id WaiterID) bool {
	for i, w := range m.waiting {
		if w.Waiter == id {
			m.waiting = append(m.waiting[:i:i], m.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// pickConn draws a connection in the state, or skips the action if there is none.
func (m *model) pickConn(state string) ConnID {
	var ids []ConnID
	for id := ConnID(1); id <= m.pool.lastID; id++ {
		if m.conns[id] == state {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		m.Skip("no connection is " + state)
	}
	return rapid.SampledFrom(ids).Draw(m.T, "connection")
}

func (m *model) makeIdle(id ConnID) {
	m.conns[id] = "idle"
	delete(m.suspects, id)
}

func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"waiter added": func(t *rapid.T) {
			m.lastWaiter++
			request := Acquire{Waiter: m.lastWaiter, Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
				Deadline: m.now.Add(dfclock.Millis(rapid.IntRange(0, 500).Draw(t, "timeout")))}
			m.waiting = append(m.waiting, request)
			m.handle(request)
		},
		"waiter cancelled": func(t *rapid.T) {
			if len(m.waiting) > 0 {
				w := rapid.SampledFrom(m.waiting).Draw(t, "waiter")
				m.removeWaiter(w.Waiter)
				m.handle(Cancelled{Waiter: w.Waiter})
			}
		},
		"return": func(t *rapid.T) {
			id, reusable := m.pickConn("in use"), rapid.Bool().Draw(t, "reusable")
			if reusable {
				m.makeIdle(id)
			}
			m.handle(Returned{Conn: id, Reusable: reusable})
		},
		"stale": func(t *rapid.T) {
			id := m.pickConn("in use")
			m.waiting = append([]Acquire{m.holders[id]}, m.waiting...)
			m.handle(Stale{Conn: id})
		},
		"open": func(t *rapid.T) {
			id := m.pickConn("opening")
			m.makeIdle(id)
			m.handle(Opened{Conn: id})
		},
		"fail": func(t *rapid.T) {
			id := m.pickConn("opening")
			delete(m.conns, id)
			m.handle(OpenFailed{Conn: id})
		},
		"closed": func(t *rapid.T) {
			id := m.pickConn("closing")
			delete(m.conns, id)
			m.handle(Closed{Conn: id})
		},
		"silent": func(t *rapid.T) {
			id := m.pickConn("in use")
			for other, state := range m.conns {
				if state == "idle" && m.openedAt[other] <= m.openedAt[id] {
					m.suspects[other] = true
				}
			}
			m.handle(Silent{Conn: id})
		},
		"probe": func(t *rapid.T) {
			id, ok := m.pickConn("probing"), rapid.Bool().Draw(t, "ok")
			if ok {
				m.makeIdle(id)
			}
			m.handle(ProbeFinished{Conn: id, OK: ok})
		},
		"tick": func(t *rapid.T) {
			m.now = m.now.Add(dfclock.Millis(rapid.IntRange(0, 200).Draw(t, "duration")))
			m.handle(Tick{})
		},
		"limit": func(t *rapid.T) {
			m.limit = rapid.IntRange(0, 5).Draw(t, "limit")
			m.handle(LimitChanged{Limit: m.limit})
		},
		"suspend": func(t *rapid.T) {
			m.handle(Suspended{For: dfclock.Millis(rapid.IntRange(0, 300).Draw(t, "duration"))})
		},
	}
}

// TestPoolRandom guards against exceeding the limit, granting a connection twice, and
// waiters that are lost or served out of order.
func TestPoolRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 5).Draw(t, "limit")
		m := &model{T: t, limit: limit, conns: map[ConnID]string{}, openedAt: map[ConnID]dfclock.Millis{},
			holders: map[ConnID]Acquire{}, suspects: map[ConnID]bool{}}
		m.pool = newPool(Config{Limit: limit, MinOpen: rapid.IntRange(0, 2).Draw(t, "min open"), IdleTimeout: 300})
		t.Repeat(m.actions())
		m.drain()
	})
}

// drain completes all pending operations until every waiter has been answered.
func (m *model) drain() {
	m.limit = 2
	m.handle(LimitChanged{Limit: m.limit})
	for range 2000 {
		if len(m.waiting) == 0 {
			return
		}
		for id := ConnID(1); id <= m.pool.lastID; id++ {
			switch m.conns[id] {
			case "opening":
				m.makeIdle(id)
				m.handle(Opened{Conn: id})
			case "in use":
				m.makeIdle(id)
				m.handle(Returned{Conn: id, Reusable: true})
			case "probing":
				m.makeIdle(id)
				m.handle(ProbeFinished{Conn: id, OK: true})
			case "closing":
				delete(m.conns, id)
				m.handle(Closed{Conn: id})
			}
		}
		if nextTick := m.pool.NextTick(); nextTick != dfclock.Never {
			m.now = max(m.now, nextTick)
		}
		m.handle(Tick{})
	}
	require.Empty(m, m.waiting, "every waiter is answered")
}

// TestDoubleReturnIsReported guards against a holder that returns its connection
// twice, after which the connection could be granted to two callers.
func TestDoubleReturnIsReported(t *testing.T) {
	p := newPool(Config{Limit: 1})
	p.Handle(0, Acquire{Waiter: 1, Deadline: 100})
	p.Handle(1, Opened{Conn: 1})
	p.Handle(2, Returned{Conn: 1, Reusable: true})
	actions := p.Handle(3, Returned{Conn: 1, Reusable: true})
	require.Equal(t, []Action{InvariantViolated{Conn: 1, Text: "only a connection in use can be returned"}, Close{Conn: 1}}, actions)
}

// TestUnreusableConnectionIsClosed guards against reusing a connection that was
// returned inside a transaction: its statements would mix with those of the next
// caller.
func TestUnreusableConnectionIsClosed(t *testing.T) {
	p := newPool(Config{Limit: 1})
	p.Handle(0, Acquire{Waiter: 1, Deadline: 100})
	p.Handle(1, Opened{Conn: 1})
	require.Equal(t, []Action{Close{Conn: 1}}, p.Handle(2, Returned{Conn: 1}))
	require.Empty(t, p.Handle(3, Acquire{Waiter: 2, Deadline: 100}), "the closing connection counts against the limit")
	require.Equal(t, []Action{Open{Conn: 2}}, p.Handle(4, Closed{Conn: 1}))
}

// TestSilentSuspectsOlder guards against granting connections that use the same
// network path as a silent one without a probe, and against probing newer ones that
// work.
func TestSilentSuspectsOlder(t *testing.T) {
	p := newPool(Config{Limit: 3})
	for i := range 3 {
		p.Handle(dfclock.Millis(i), Acquire{Waiter: WaiterID(i), Deadline: 100})
	}
	for i := range 3 {
		p.Handle(10, Opened{Conn: ConnID(i + 1)})
	}
	p.Handle(11, Returned{Conn: 1, Reusable: true})
	p.Handle(11, Returned{Conn: 3, Reusable: true})
	p.Handle(12, Silent{Conn: 2})
	require.Equal(t, []Action{Grant{Waiter: 7, Conn: 3}}, p.Handle(13, Acquire{Waiter: 7, Deadline: 100}))
	require.Equal(t, []Action{Probe{Conn: 1}}, p.Handle(14, Acquire{Waiter: 8, Deadline: 100}))
}

// TestOpenBackoff guards against connection storms at an upstream that is down, and
// against keeping waiters that cannot get a connection before their deadline.
func TestOpenBackoff(t *testing.T) {
	p := newPool(Config{Limit: 4, InitialBackoff: 100, MaxBackoff: 400})
	now, last := dfclock.Millis(0), dfclock.Millis(0)
	p.Handle(now, Acquire{Waiter: 1, Deadline: dfclock.Never})
	for i := range 6 {
		actions := p.Handle(now, OpenFailed{Conn: ConnID(i + 1)})
		require.Empty(t, actions)
		wait := p.NextTick().Since(now)
		require.GreaterOrEqual(t, wait, min(400, dfclock.Millis(100)<<i)/2)
		require.LessOrEqual(t, wait, dfclock.Millis(400))
		now, last = p.NextTick(), wait
		require.Equal(t, []Action{Open{Conn: ConnID(i + 2)}}, p.Handle(now, Tick{}))
	}
	require.Positive(t, last)
	p.Handle(now, OpenFailed{Conn: 7})
	refused := p.Handle(now, Acquire{Waiter: 2, Deadline: now.Add(10)})
	require.Len(t, refused, 1)
	require.Equal(t, dfresult.NoConnection, refused[0].(Refuse).Code)
	require.Positive(t, refused[0].(Refuse).RetryAfter)
}

// TestOpenDelay guards against a burst of requests that opens a connection for each:
// opening one costs the upstream as much time as a statement. The wait for existing
// connections is bounded.
func TestOpenDelay(t *testing.T) {
	pool := New(Config{Limit: 10, OpenDelay: 40}, rand.New(rand.NewPCG(1, 1)))
	opened := func(actions []Action) (count int, last ConnID) {
		for _, action := range actions {
			if open, ok := action.(Open); ok {
				count, last = count+1, open.Conn
			}
		}
		return count, last
	}
	total, first := 0, ConnID(0)
	for waiter := range WaiterID(5) {
		count, id := opened(pool.Handle(0, Acquire{Waiter: waiter + 1, Deadline: 1000}))
		total += count
		if count > 0 {
			first = id
		}
	}
	require.Equal(t, 1, total, "a burst opens one connection")
	pool.Handle(20, Opened{Conn: first})
	require.Equal(t, dfclock.Millis(40), pool.NextTick())
	count, _ := opened(pool.Handle(39, Tick{}))
	require.Zero(t, count)
	count, second := opened(pool.Handle(40, Tick{}))
	require.Equal(t, 1, count, "the first connection was not returned in time")
	require.Equal(t, dfclock.Millis(1000), pool.NextTick(), "no third connection while the second is being opened")
	count, _ = opened(pool.Handle(60, Opened{Conn: second}))
	require.Equal(t, 1, count, "other waiters remain")
	require.Equal(t, 2, pool.Stats().InUse)
}
