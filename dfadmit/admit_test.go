package dfadmit

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfcheck"
	"dragonflygrade/dfclock"
	"dragonflygrade/dfresult"
)

func init() {
	dfcheck.SetHandler(dfcheck.Panic)
}

func fixed(limit, queued int) *Queue {
	return New(Options{Limit: limit, MaxQueued: queued})
}

func ticket(id uint64, caller string, priority int) Ticket {
	return Ticket{ID: id, Caller: caller, Priority: priority, Deadline: 100_000}
}

// order starts and finishes one ticket after another and returns the callers.
func order(q *Queue, count int) []string {
	callers := make([]string, 0, count)
	for range count {
		action, ok := q.Next(1)
		if !ok {
			break
		}
		start := action.(Start)
		callers = append(callers, start.Ticket.Caller)
		q.Finish(1, start.Ticket.ID, false)
	}
	return callers
}

func codeOf(t *testing.T, err error) dfresult.Code {
	var result *dfresult.Error
	require.True(t, errors.As(err, &result), "%v", err)
	require.Equal(t, dfresult.NotRun, result.Code.Outcome())
	return result.Code
}

// TestCallersTakeTurns guards against one caller that floods the queue.
func TestCallersTakeTurns(t *testing.T) {
	q := fixed(1, 100)
	for i := range 20 {
		require.NoError(t, q.Offer(1, ticket(uint64(i), "flood", 1)))
	}
	require.NoError(t, q.Offer(1, ticket(50, "a", 1)))
	require.NoError(t, q.Offer(1, ticket(51, "b", 1)))
	require.Subset(t, order(q, 5), []string{"a", "b"})
}

// TestCostCounts guards against a caller that takes more with few large requests.
func TestCostCounts(t *testing.T) {
	q := fixed(1, 100)
	for i := range 20 {
		large := ticket(uint64(i), "large", 1)
		large.Cost = 4
		require.NoError(t, q.Offer(1, large))
		require.NoError(t, q.Offer(1, ticket(uint64(100+i), "small", 1)))
	}
	small := 0
	for _, caller := range order(q, 20) {
		if caller == "small" {
			small++
		}
	}
	require.InDelta(t, 16, small, 1)
}

// TestPriorityWithoutStarving guards against orders that wait behind browsing,
// and against browsing that never runs.
func TestPriorityWithoutStarving(t *testing.T) {
	q := fixed(1, 1000)
	for i := range 100 {
		require.NoError(t, q.Offer(1, ticket(uint64(i), "browse", 5)))
		require.NoError(t, q.Offer(1, ticket(uint64(1000+i), "order", 0)))
	}
	browse := 0
	for _, caller := range order(q, 90) {
		if caller == "browse" {
			browse++
		}
	}
	require.Equal(t, 10, browse)
}

// TestFullQueueMakesRoom guards against refusing an order because of browsing,
// or a quiet caller because of a loud one.
func TestFullQueueMakesRoom(t *testing.T) {
	q := fixed(1, 4)
	for i := range 4 {
		require.NoError(t, q.Offer(1, ticket(uint64(i), "browse", 5)))
	}
	require.Equal(t, dfresult.QueueFull, codeOf(t, q.Offer(1, ticket(9, "browse", 5))))
	require.NoError(t, q.Offer(1, ticket(10, "order", 0)))
	require.NoError(t, q.Offer(1, ticket(11, "quiet", 5)))
	for _, id := range []uint64{3, 2} {
		action, _ := q.Next(1)
		refused := action.(Refuse)
		require.Equal(t, id, refused.Ticket.ID)
		require.Equal(t, dfresult.QueueFull, refused.Error.Code)
		require.Positive(t, refused.Error.RetryAfter)
	}
	require.Equal(t, 4, q.Queued())
}

// TestRefusalIsEarly guards against waiting for an answer that cannot come in time.
func TestRefusalIsEarly(t *testing.T) {
	q := fixed(2, 1000)
	now := dfclock.Millis(1)
	for i := range 40 {
		require.NoError(t, q.Offer(now, ticket(uint64(i), "a", 1)))
		_, ok := q.Next(now)
		require.True(t, ok)
		now += 10
		q.Finish(now, uint64(i), false)
	}
	for i := range 40 {
		require.NoError(t, q.Offer(now, ticket(uint64(100+i), "a", 1)))
		q.Next(now)
	}
	soon := ticket(900, "a", 1)
	soon.Deadline = now + 100
	err := q.Offer(now, soon)
	require.Equal(t, dfresult.DeadlinePassed, codeOf(t, err))
	var result *dfresult.Error
	errors.As(err, &result)
	require.InDelta(t, 200, float64(result.RetryAfter), 20, "38 wait, 2 run at once, 10 ms each")
	soon.Caller, soon.ID = "b", 901
	require.NoError(t, q.Offer(now, soon), "another caller's turn comes sooner")
	soon.Priority, soon.ID = 0, 902
	require.NoError(t, q.Offer(now, soon), "a better priority does not wait")
}

// TestDeadlineInQueue guards against running what nobody waits for any more.
func TestDeadlineInQueue(t *testing.T) {
	q := fixed(1, 10)
	require.NoError(t, q.Offer(1, ticket(1, "a", 1)))
	q.Next(1)
	short := ticket(2, "a", 1)
	short.Deadline = 50
	require.NoError(t, q.Offer(1, short))
	require.Equal(t, dfclock.Millis(50), q.NextAt())
	_, ok := q.Next(49)
	require.False(t, ok)
	action, _ := q.Next(50)
	require.Equal(t, dfresult.DeadlinePassed, action.(Refuse).Error.Code)
	require.Equal(t, dfresult.DeadlinePassed, codeOf(t, q.Offer(60, short)))
	require.NoError(t, q.Offer(60, ticket(3, "a", 1)))
	require.True(t, q.Withdraw(3))
	require.False(t, q.Withdraw(3))
	require.Zero(t, q.Queued())
}

// TestSlowStart guards against a burst of held writes that stops a new primary.
func TestSlowStart(t *testing.T) {
	q := fixed(1000, 1000)
	q.Hold(1)
	for i := range 500 {
		write := ticket(uint64(i), fmt.Sprint(i%7), 0)
		write.Write = true
		require.NoError(t, q.Offer(1, write))
	}
	require.NoError(t, q.Offer(1, ticket(900, "r", 9)))
	require.Len(t, order(q, 10), 1, "only the read runs")
	q.Release(100)
	started, early := 0, 0
	for now := dfclock.Millis(100); now < 1200; now++ {
		for {
			action, ok := q.Next(now)
			if !ok {
				break
			}
			q.Finish(now, action.(Start).Ticket.ID, false)
			started++
		}
		if now == 200 {
			early = started
		}
	}
	require.LessOrEqual(t, early, 16)
	require.Equal(t, 500, started)
}

// TestAdaptiveLimit guards against a limit that stays low on a strong upstream,
// or high on one that queues.
func TestAdaptiveLimit(t *testing.T) {
	for _, servers := range []int{4, 40} {
		q := New(Options{Adaptive: true, Limit: 8, MaxLimit: 200, MaxQueued: 500})
		model := newModel(q, servers, 20, 3)
		model.run(20_000, float64(servers)/20*2)
		require.InDelta(t, float64(servers), float64(q.Limit()), float64(servers)*1.5, "%d servers", servers)
		require.Greater(t, float64(model.good), 0.8*float64(servers)/20*20_000, "%d servers", servers)
	}
}

// TestRetriesAreBounded guards against retries that multiply the load of a
// failure or arrive all at once.
func TestRetriesAreBounded(t *testing.T) {
	r := NewRetries(0.1, rand.New(rand.NewPCG(1, 1)))
	retries, spans := 0, map[dfclock.Millis]bool{}
	for range 10_000 {
		r.Request()
		if at, ok := r.Retry(0, 10_000, 4); ok {
			retries++
			spans[at] = true
			require.LessOrEqual(t, at, RetryBase<<3)
		}
	}
	require.LessOrEqual(t, retries, 1000+retryBurst)
	require.Greater(t, len(spans), 20)
	_, ok := r.Retry(0, 5, 1)
	require.False(t, ok, "past the deadline")
}

// TestRandomUse guards against tickets that are lost or answered twice, and
// against bounds that do not hold.
func TestRandomUse(t *testing.T) {
	for seed := range uint64(100) {
		source := rand.New(rand.NewPCG(seed, 1))
		q := New(Options{Adaptive: seed%2 == 0, Limit: 3, MaxQueued: 20, MaxLimit: 10})
		open, running := map[uint64]bool{}, []uint64{}
		now := dfclock.Millis(1)
		for id := range uint64(600) {
			now += dfclock.Millis(source.IntN(4))
			next := Ticket{
				ID: id, Caller: fmt.Sprint(source.IntN(6)), Priority: source.IntN(20), Write: source.IntN(3) == 0,
				Cost: source.IntN(3), Deadline: now + dfclock.Millis(source.IntN(200)),
			}
			if q.Offer(now, next) == nil {
				open[id] = true
			}
			switch source.IntN(40) {
			case 0:
				q.Hold(now)
			case 1:
				q.Release(now)
			case 2:
				if q.Withdraw(id) {
					delete(open, id)
				}
			}
			for action, ok := q.Next(now); ok; action, ok = q.Next(now) {
				switch action := action.(type) {
				case Start:
					require.True(t, open[action.Ticket.ID])
					running = append(running, action.Ticket.ID)
				case Refuse:
					require.True(t, open[action.Ticket.ID])
					delete(open, action.Ticket.ID)
				}
			}
			require.LessOrEqual(t, q.Queued(), 20)
			for len(running) > 0 && source.IntN(2) == 0 {
				q.Finish(now, running[0], source.IntN(20) == 0)
				delete(open, running[0])
				running = running[1:]
			}
			require.Equal(t, len(open), q.Queued()+q.Running())
		}
	}
}

// TestChecksFire puts each fault in on purpose.
func TestChecksFire(t *testing.T) {
	q := fixed(1, 2)
	q.options.MaxQueued = -1
	q.waiting = deadlines{}
	require.Panics(t, func() {
		b := q.band(ticket(1, "a", 1))
		b.push(&item{ticket: ticket(7, "x", 1)})
		b.push(&item{ticket: ticket(8, "x", 1)})
		for i, it := range b.lines["x"].items {
			it.place = i
			q.waiting = append(q.waiting, it)
		}
		_ = q.Offer(1, ticket(1, "a", 1))
	}, "queue above its bound")
	busy := fixed(1, 2)
	busy.start(ticket(1, "a", 1))
	require.Panics(t, func() { busy.start(ticket(2, "a", 1)) }, "more running than the limit")
}

// model is a service with some servers, whose time grows when more run at once.
type model struct {
	q       *Queue
	servers int
	service dfclock.Millis
	source  *rand.Rand
	ends    map[uint64]dfclock.Millis
	dueBy   map[uint64]dfclock.Millis
	good    int
}

func newModel(q *Queue, servers int, service dfclock.Millis, seed uint64) *model {
	return &model{
		q: q, servers: servers, service: service, source: rand.New(rand.NewPCG(seed, 2)),
		ends: map[uint64]dfclock.Millis{}, dueBy: map[uint64]dfclock.Millis{},
	}
}

// run offers requests at a rate per millisecond until the end.
func (m *model) run(end dfclock.Millis, rate float64) {
	id, credits := uint64(0), 0.0
	for now := dfclock.Millis(1); now < end; now++ {
		for ticket, at := range m.ends {
			if at <= now {
				delete(m.ends, ticket)
				m.q.Finish(now, ticket, false)
				if now <= m.dueBy[ticket] {
					m.good++
				}
			}
		}
		for credits += rate; credits >= 1; credits-- {
			id++
			m.dueBy[id] = now + 500
			_ = m.q.Offer(now, Ticket{ID: id, Caller: fmt.Sprint(m.source.IntN(9)), Deadline: now + 500})
		}
		for action, ok := m.q.Next(now); ok; action, ok = m.q.Next(now) {
			if start, started := action.(Start); started {
				load := max(1, float64(len(m.ends)+1)/float64(m.servers))
				m.ends[start.Ticket.ID] = now + dfclock.Millis(load*float64(m.service))
			}
		}
	}
}

func BenchmarkAdmission(b *testing.B) {
	q := fixed(64, 1000)
	b.ReportAllocs()
	for id := uint64(1); b.Loop(); id++ {
		now := dfclock.Millis(id)
		_ = q.Offer(now, Ticket{ID: id, Caller: "a", Deadline: now + 1000})
		q.Next(now)
		q.Finish(now, id, false)
	}
}
