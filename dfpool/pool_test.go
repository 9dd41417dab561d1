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

// TestMain fixes the seed, so that every run has the same verdict.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260")
	os.Exit(m.Run())
}

func newPool(config Config) *Pool {
	return New(config, rand.New(rand.NewPCG(1, 2)))
}

// model follows a pool from the outside.
type model struct {
	*rapid.T
	pool       *Pool
	now        dfclock.Millis
	limit      int
	conns      map[ConnID]string
	openedAt   map[ConnID]dfclock.Millis
	givenTo    map[ConnID]Want
	suspects   map[ConnID]bool
	waiting    []Want
	lastWaiter WaiterID
}

// feed hands an event over and checks every action against the model.
func (m *model) feed(event Event) {
	actions := append([]Action(nil), m.pool.Handle(m.now, event)...)
	for _, action := range actions {
		switch a := action.(type) {
		case Give:
			require.Equal(m, "idle", m.conns[a.Conn], "a connection is given only when idle")
			require.False(m, m.suspects[a.Conn], "a suspect connection is probed first")
			best := m.best()
			require.Equal(m, best.Waiter, a.Waiter, "waiters are served by priority, then arrival")
			require.True(m, m.now.Before(best.Deadline), "a late waiter is refused")
			m.conns[a.Conn], m.givenTo[a.Conn] = "held", best
			m.drop(a.Waiter)
		case Open:
			m.conns[a.Conn], m.openedAt[a.Conn] = "opening", m.now
			require.LessOrEqual(m, len(m.conns), m.limit, "the limit counts openings")
		case Probe:
			require.Equal(m, "idle", m.conns[a.Conn])
			require.True(m, m.suspects[a.Conn])
			m.conns[a.Conn] = "probing"
		case Close:
			require.NotEqual(m, "closing", m.conns[a.Conn])
			m.conns[a.Conn] = "closing"
		case Refuse:
			require.True(m, m.drop(a.Waiter), "only a waiter is refused, and once")
			require.Equal(m, dfresult.NotRun, a.Code.Outcome())
		case Violated:
			require.Fail(m, "no event breaks an invariant", a.Text)
		}
	}
	require.Equal(m, len(m.waiting), m.pool.Stats().Waiting, "no waiter is lost")
	require.Equal(m, len(m.conns), m.pool.Stats().Total())
}

func (m *model) best() Want {
	best := m.waiting[0]
	for _, w := range m.waiting {
		if w.Priority < best.Priority {
			best = w
		}
	}
	return best
}

func (m *model) drop(id WaiterID) bool {
	for i, w := range m.waiting {
		if w.Waiter == id {
			m.waiting = append(m.waiting[:i:i], m.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// some returns a connection in the state, or zero.
func (m *model) some(state string) ConnID {
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

func (m *model) rest(id ConnID) {
	m.conns[id] = "idle"
	delete(m.suspects, id)
}

func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"want": func(t *rapid.T) {
			m.lastWaiter++
			want := Want{Waiter: m.lastWaiter, Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
				Deadline: m.now.Add(dfclock.Millis(rapid.IntRange(0, 500).Draw(t, "span")))}
			m.waiting = append(m.waiting, want)
			m.feed(want)
		},
		"withdraw": func(t *rapid.T) {
			if len(m.waiting) > 0 {
				w := rapid.SampledFrom(m.waiting).Draw(t, "waiter")
				m.drop(w.Waiter)
				m.feed(Withdrawn{Waiter: w.Waiter})
			}
		},
		"return": func(t *rapid.T) {
			id, idle := m.some("held"), rapid.Bool().Draw(t, "idle")
			if idle {
				m.rest(id)
			}
			m.feed(Returned{Conn: id, Idle: idle})
		},
		"stale": func(t *rapid.T) {
			id := m.some("held")
			m.waiting = append([]Want{m.givenTo[id]}, m.waiting...)
			m.feed(Stale{Conn: id})
		},
		"open": func(t *rapid.T) {
			id := m.some("opening")
			m.rest(id)
			m.feed(Opened{Conn: id})
		},
		"fail": func(t *rapid.T) {
			id := m.some("opening")
			delete(m.conns, id)
			m.feed(OpenFailed{Conn: id})
		},
		"closed": func(t *rapid.T) {
			id := m.some("closing")
			delete(m.conns, id)
			m.feed(Closed{Conn: id})
		},
		"silent": func(t *rapid.T) {
			id := m.some("held")
			for other, state := range m.conns {
				if state == "idle" && m.openedAt[other] <= m.openedAt[id] {
					m.suspects[other] = true
				}
			}
			m.feed(Silent{Conn: id})
		},
		"probe": func(t *rapid.T) {
			id, ok := m.some("probing"), rapid.Bool().Draw(t, "ok")
			if ok {
				m.rest(id)
			}
			m.feed(ProbeAnswered{Conn: id, OK: ok})
		},
		"tick": func(t *rapid.T) {
			m.now = m.now.Add(dfclock.Millis(rapid.IntRange(0, 200).Draw(t, "span")))
			m.feed(Tick{})
		},
		"limit": func(t *rapid.T) {
			m.limit = rapid.IntRange(0, 5).Draw(t, "limit")
			m.feed(LimitChanged{Limit: m.limit})
		},
		"suspend": func(t *rapid.T) {
			m.feed(Suspended{For: dfclock.Millis(rapid.IntRange(0, 300).Draw(t, "span"))})
		},
	}
}

// TestPoolRandom guards against a limit that is exceeded, connections given
// twice, and waiters that are lost or served out of order.
func TestPoolRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 5).Draw(t, "limit")
		m := &model{T: t, limit: limit, conns: map[ConnID]string{}, openedAt: map[ConnID]dfclock.Millis{},
			givenTo: map[ConnID]Want{}, suspects: map[ConnID]bool{}}
		m.pool = newPool(Config{Limit: limit, Warm: rapid.IntRange(0, 2).Draw(t, "warm"), IdleClose: 300})
		t.Repeat(m.actions())
		m.settle()
	})
}

// settle answers everything that is due, after which every waiter was answered.
func (m *model) settle() {
	m.limit = 2
	m.feed(LimitChanged{Limit: m.limit})
	for range 2000 {
		if len(m.waiting) == 0 {
			return
		}
		for id := ConnID(1); id <= m.pool.lastID; id++ {
			switch m.conns[id] {
			case "opening":
				m.rest(id)
				m.feed(Opened{Conn: id})
			case "held":
				m.rest(id)
				m.feed(Returned{Conn: id, Idle: true})
			case "probing":
				m.rest(id)
				m.feed(ProbeAnswered{Conn: id, OK: true})
			case "closing":
				delete(m.conns, id)
				m.feed(Closed{Conn: id})
			}
		}
		if wake := m.pool.Wake(); wake != dfclock.Never {
			m.now = max(m.now, wake)
		}
		m.feed(Tick{})
	}
	require.Empty(m, m.waiting, "every waiter is answered")
}

// TestDoubleReturnIsReported puts in the fault that a holder returns its
// connection twice, which would give it to two callers.
func TestDoubleReturnIsReported(t *testing.T) {
	p := newPool(Config{Limit: 1})
	p.Handle(0, Want{Waiter: 1, Deadline: 100})
	p.Handle(1, Opened{Conn: 1})
	p.Handle(2, Returned{Conn: 1, Idle: true})
	actions := p.Handle(3, Returned{Conn: 1, Idle: true})
	require.Equal(t, []Action{Violated{Conn: 1, Text: "a returned connection is held"}, Close{Conn: 1}}, actions)
}

// TestReturnInDoubtIsClosed puts in the fault of a connection returned inside a
// transaction, whose statements would mix with those of the next caller.
func TestReturnInDoubtIsClosed(t *testing.T) {
	p := newPool(Config{Limit: 1})
	p.Handle(0, Want{Waiter: 1, Deadline: 100})
	p.Handle(1, Opened{Conn: 1})
	require.Equal(t, []Action{Close{Conn: 1}}, p.Handle(2, Returned{Conn: 1}))
	require.Empty(t, p.Handle(3, Want{Waiter: 2, Deadline: 100}), "the closing connection counts")
	require.Equal(t, []Action{Open{Conn: 2}}, p.Handle(4, Closed{Conn: 1}))
}

// TestSilenceSuspectsAge guards against the reuse of connections that share the
// silent path, and against closing fresh ones that work.
func TestSilenceSuspectsAge(t *testing.T) {
	p := newPool(Config{Limit: 3})
	for i := range 3 {
		p.Handle(dfclock.Millis(i), Want{Waiter: WaiterID(i), Deadline: 100})
	}
	for i := range 3 {
		p.Handle(10, Opened{Conn: ConnID(i + 1)})
	}
	p.Handle(11, Returned{Conn: 1, Idle: true})
	p.Handle(11, Returned{Conn: 3, Idle: true})
	p.Handle(12, Silent{Conn: 2})
	require.Equal(t, []Action{Give{Waiter: 7, Conn: 3}}, p.Handle(13, Want{Waiter: 7, Deadline: 100}))
	require.Equal(t, []Action{Probe{Conn: 1}}, p.Handle(14, Want{Waiter: 8, Deadline: 100}))
}

// TestReopenWaits guards against storms of openings at an upstream that is
// down, and against waiters kept without hope.
func TestReopenWaits(t *testing.T) {
	p := newPool(Config{Limit: 4, ReopenFirst: 100, ReopenCap: 400})
	now, last := dfclock.Millis(0), dfclock.Millis(0)
	p.Handle(now, Want{Waiter: 1, Deadline: dfclock.Never})
	for i := range 6 {
		actions := p.Handle(now, OpenFailed{Conn: ConnID(i + 1)})
		require.Empty(t, actions)
		wait := p.Wake().Since(now)
		require.GreaterOrEqual(t, wait, min(400, dfclock.Millis(100)<<i)/2)
		require.LessOrEqual(t, wait, dfclock.Millis(400))
		now, last = p.Wake(), wait
		require.Equal(t, []Action{Open{Conn: ConnID(i + 2)}}, p.Handle(now, Tick{}))
	}
	require.Positive(t, last)
	p.Handle(now, OpenFailed{Conn: 7})
	refused := p.Handle(now, Want{Waiter: 2, Deadline: now.Add(10)})
	require.Len(t, refused, 1)
	require.Equal(t, dfresult.NoConnection, refused[0].(Refuse).Code)
	require.Positive(t, refused[0].(Refuse).RetryAfter)
}

// Guards against bursts of requests that each open a connection: an opening
// takes the upstream as long as a statement does. The wait for the connections
// that are there has a bound.
func TestOpenWaitsForReturns(t *testing.T) {
	pool := New(Config{Limit: 10, OpenWait: 40}, rand.New(rand.NewPCG(1, 1)))
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
		count, id := opened(pool.Handle(0, Want{Waiter: waiter + 1, Deadline: 1000}))
		total += count
		if count > 0 {
			first = id
		}
	}
	require.Equal(t, 1, total, "a burst opens one connection")
	pool.Handle(20, Opened{Conn: first})
	require.Equal(t, dfclock.Millis(40), pool.Wake())
	count, _ := opened(pool.Handle(39, Tick{}))
	require.Zero(t, count)
	count, second := opened(pool.Handle(40, Tick{}))
	require.Equal(t, 1, count, "the first connection did not return in time")
	require.Equal(t, dfclock.Millis(1000), pool.Wake(), "no third one while the second is under way")
	count, _ = opened(pool.Handle(60, Opened{Conn: second}))
	require.Equal(t, 1, count, "others still wait")
	require.Equal(t, 2, pool.Stats().Held)
}
