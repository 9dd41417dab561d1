package dfpool

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dragonflygrade/dfclock"
)

// tenancy tracks which organisation each connection and each waiter belongs to.
type tenancy struct {
	*rapid.T
	pool    *Pool
	now     dfclock.Millis
	limit   int
	states  map[ConnID]string
	owners  map[ConnID]string
	waiting map[WaiterID]string
	last    WaiterID
}

func (m *tenancy) handle(event Event) {
	for _, action := range append([]Action(nil), m.pool.Handle(m.now, event)...) {
		switch a := action.(type) {
		case Grant:
			wanted, known := m.waiting[a.Waiter]
			require.True(m, known, "a waiter is granted one connection")
			require.Equal(m, wanted, m.owners[a.Conn], "a connection is never granted to another organisation")
			require.Equal(m, wanted, a.Organisation)
			require.Equal(m, "idle", m.states[a.Conn])
			m.states[a.Conn] = "in use"
			delete(m.waiting, a.Waiter)
		case Open:
			m.states[a.Conn], m.owners[a.Conn] = "opening", a.Organisation
			require.LessOrEqual(m, len(m.states), m.limit, "opening connections count against the limit")
		case Probe:
			m.states[a.Conn] = "probing"
		case Close:
			m.states[a.Conn] = "closing"
		case Refuse:
			require.Contains(m, m.waiting, a.Waiter)
			delete(m.waiting, a.Waiter)
		case InvariantViolated:
			require.Fail(m, a.Text)
		}
	}
	require.Len(m, m.waiting, m.pool.Stats().Waiting, "no waiter is lost")
	require.Equal(m, len(m.states), m.pool.Stats().Total())
	require.LessOrEqual(m, len(m.pool.groups), len(m.states)+len(m.waiting), "unused organisations are forgotten")
}

// pick draws a connection in the state, or skips the action if there is none.
func (m *tenancy) pick(state string) ConnID {
	for id := ConnID(1); id <= m.pool.lastID; id++ {
		if m.states[id] == state && rapid.Bool().Draw(m.T, "this one") {
			return id
		}
	}
	m.Skip("no connection is " + state)
	return 0
}

// finishAll completes every pending operation once.
func (m *tenancy) finishAll() {
	for id := ConnID(1); id <= m.pool.lastID; id++ {
		switch m.states[id] {
		case "opening":
			m.states[id] = "idle"
			m.handle(Opened{Conn: id})
		case "in use":
			m.states[id] = "idle"
			m.handle(Returned{Conn: id, Reusable: true})
		case "probing":
			m.states[id] = "idle"
			m.handle(ProbeFinished{Conn: id, OK: true})
		case "closing":
			delete(m.states, id)
			m.handle(Closed{Conn: id})
		}
	}
}

func (m *tenancy) acquire(organisation string, priority int, deadline dfclock.Millis) {
	m.last++
	m.waiting[m.last] = organisation
	m.handle(Acquire{Waiter: m.last, Organisation: organisation, Priority: priority, Deadline: deadline})
}

// TestOrganisationsRandom guards against statements of one organisation on a connection
// that was opened for another, against exceeding the limit by connections that replace
// evicted ones, and against waiters that get no connection although others return
// theirs.
func TestOrganisationsRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		m := &tenancy{T: t, limit: limit, states: map[ConnID]string{}, owners: map[ConnID]string{}, waiting: map[WaiterID]string{}}
		m.pool = newPool(Config{Limit: limit, IdleTimeout: 300, OpenDelay: dfclock.Millis(rapid.SampledFrom([]int{0, 40}).Draw(t, "open delay"))})
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				organisation := rapid.SampledFrom([]string{"", "a", "b", "c", "d", "e"}).Draw(t, "organisation")
				m.acquire(organisation, rapid.IntRange(0, 1).Draw(t, "priority"), dfclock.Never)
			},
			"expiring": func(t *rapid.T) {
				m.acquire(rapid.SampledFrom([]string{"a", "f"}).Draw(t, "organisation"), 0, m.now.Add(100))
			},
			"opened": func(*rapid.T) {
				id := m.pick("opening")
				m.states[id] = "idle"
				m.handle(Opened{Conn: id})
			},
			"open failed": func(*rapid.T) {
				id := m.pick("opening")
				delete(m.states, id)
				m.handle(OpenFailed{Conn: id})
			},
			"returned": func(*rapid.T) {
				id := m.pick("in use")
				m.states[id] = "idle"
				m.handle(Returned{Conn: id, Reusable: true})
			},
			"stale": func(*rapid.T) {
				id := m.pick("in use")
				for _, c := range m.pool.connections {
					if c.id == id {
						m.waiting[c.holder.id] = m.owners[id]
					}
				}
				m.handle(Stale{Conn: id})
			},
			"silent": func(*rapid.T) { m.handle(Silent{Conn: m.pick("in use")}) },
			"closed": func(*rapid.T) {
				id := m.pick("closing")
				delete(m.states, id)
				m.handle(Closed{Conn: id})
			},
			"limit": func(t *rapid.T) {
				m.limit = rapid.IntRange(1, 4).Draw(t, "limit")
				m.handle(LimitChanged{Limit: m.limit})
			},
			"finish": func(*rapid.T) { m.finishAll() },
			"tick": func(t *rapid.T) {
				m.now = m.now.Add(dfclock.Millis(rapid.IntRange(0, 60).Draw(t, "duration")))
				m.handle(Tick{})
			},
		})
		for round := 0; len(m.waiting) > 0 && round < 1000; round++ {
			m.now = m.now.Add(50)
			m.handle(Tick{})
			m.finishAll()
		}
		require.Empty(t, m.waiting, "every waiter is answered")
	})
}

// TestFirstConnectionIsOpenedAtOnce guards against an organisation that waits for
// connections which it cannot use, and against one that opens further connections
// without the delay.
func TestFirstConnectionIsOpenedAtOnce(t *testing.T) {
	p := newPool(Config{Limit: 5, OpenDelay: 40})
	require.Equal(t, []Action{Open{Conn: 1, Organisation: "a"}}, p.Handle(0, Acquire{Waiter: 1, Organisation: "a", Deadline: 1000}))
	require.Equal(t, []Action{Open{Conn: 2, Organisation: "b"}}, p.Handle(0, Acquire{Waiter: 2, Organisation: "b", Deadline: 1000}))
	require.Equal(t, []Action{Open{Conn: 3}}, p.Handle(0, Acquire{Waiter: 3, Deadline: 1000}))
	require.Equal(t, []Action{Grant{Waiter: 1, Conn: 1, Organisation: "a"}}, p.Handle(12, Opened{Conn: 1}))
	require.Empty(t, p.Handle(20, Acquire{Waiter: 4, Organisation: "a", Deadline: 1000}))
	require.Empty(t, p.Handle(59, Tick{}))
	require.Equal(t, []Action{Open{Conn: 4, Organisation: "a"}}, p.Handle(60, Tick{}))
}

// TestEviction guards against an organisation that gets no connection because idle ones
// of others fill the pool, and against evicting more of them than it needs.
func TestEviction(t *testing.T) {
	p := newPool(Config{Limit: 3, OpenDelay: 40})
	for i, name := range []string{"a", "b", "c"} {
		p.Handle(0, Acquire{Waiter: WaiterID(i + 1), Organisation: name, Deadline: 1000})
		p.Handle(12, Opened{Conn: ConnID(i + 1)})
	}
	for i, id := range []ConnID{2, 1, 3} {
		p.Handle(dfclock.Millis(20+i), Returned{Conn: id, Reusable: true})
	}
	require.Equal(t, []Action{Close{Conn: 2}}, p.Handle(30, Acquire{Waiter: 4, Organisation: "d", Deadline: 1000}),
		"the least recently used one is closed")
	require.Empty(t, p.Handle(31, Acquire{Waiter: 5, Organisation: "d", Deadline: 2000}), "one place is enough until the delay has passed")
	require.Equal(t, []Action{Open{Conn: 4, Organisation: "d"}}, p.Handle(32, Closed{Conn: 2}))
	require.Equal(t, []Action{Grant{Waiter: 6, Conn: 1, Organisation: "a"}}, p.Handle(33, Acquire{Waiter: 6, Organisation: "a", Deadline: 1000}))
	require.Equal(t, []Action{Grant{Waiter: 4, Conn: 4, Organisation: "d"}}, p.Handle(44, Opened{Conn: 4}))
	require.Empty(t, p.Handle(1021, Tick{}))
	require.Equal(t, []Action{Close{Conn: 3}}, p.Handle(1022, Tick{}), "a further connection takes a place that is idle for long")
	require.Equal(t, []Action{Open{Conn: 5, Organisation: "d"}}, p.Handle(1023, Closed{Conn: 3}))
}

// TestHotOrganisationYields guards against an organisation whose queue never empties
// and which thereby keeps all connections, so that others wait until their deadlines.
// A waiter needs at most the delay and, for each waiter that came before it, one opening
// and one statement.
func TestHotOrganisationYields(t *testing.T) {
	const openTime, statementTime, hotWaiters, others = 12, 10, 8, 5
	p := newPool(Config{Limit: 2, OpenDelay: 40})
	var lastWaiter WaiterID
	arrivedAt, owner := map[WaiterID]dfclock.Millis{}, map[WaiterID]string{}
	doneAt := map[ConnID]dfclock.Millis{}
	opening := map[ConnID]bool{}
	hot, served := 0, 0
	var handle func(now dfclock.Millis, event Event)
	handle = func(now dfclock.Millis, event Event) {
		for _, action := range append([]Action(nil), p.Handle(now, event)...) {
			switch a := action.(type) {
			case Open:
				doneAt[a.Conn], opening[a.Conn] = now.Add(openTime), true
			case Grant:
				doneAt[a.Conn] = now.Add(statementTime)
				if owner[a.Waiter] == "hot" {
					hot--
					continue
				}
				served++
				require.LessOrEqual(t, now.Since(arrivedAt[a.Waiter]), dfclock.Millis(40+(hotWaiters+others)*(openTime+statementTime)))
			case Close:
				handle(now, Closed(a))
			}
		}
	}
	acquire := func(now dfclock.Millis, organisation string) {
		lastWaiter++
		arrivedAt[lastWaiter], owner[lastWaiter] = now, organisation
		handle(now, Acquire{Waiter: lastWaiter, Organisation: organisation, Deadline: dfclock.Never})
	}
	for now := dfclock.Millis(0); now < 10*dfclock.Second; now++ {
		for id := ConnID(1); id <= p.lastID; id++ {
			if at, busy := doneAt[id]; busy && at == now {
				delete(doneAt, id)
				if opening[id] {
					delete(opening, id)
					handle(now, Opened{Conn: id})
				} else {
					handle(now, Returned{Conn: id, Reusable: true})
				}
			}
		}
		for hot < hotWaiters {
			hot++
			acquire(now, "hot")
		}
		if now%500 == 100 {
			for i := range others {
				acquire(now, fmt.Sprintf("other %d", i))
			}
		}
		handle(now, Tick{})
	}
	require.Equal(t, 20*others, served)
}
