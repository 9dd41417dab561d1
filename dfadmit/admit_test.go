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

func newFixedQueue(limit, queued int) *Queue {
	return New(Options{Limit: limit, MaxQueued: queued})
}

func newRequest(id uint64, caller string, priority int) Request {
	return Request{ID: id, Caller: caller, Priority: priority, Deadline: 100_000}
}

// runAll starts and finishes up to count requests, one after another, and returns
// their callers in order.
func runAll(q *Queue, count int) []string {
	callers := make([]string, 0, count)
	for range count {
		action, ok := q.Next(1)
		if !ok {
			break
		}
		start := action.(Start)
		callers = append(callers, start.Request.Caller)
		q.Finish(1, start.Request.ID, false)
	}
	return callers
}

func codeOf(t *testing.T, err error) dfresult.Code {
	var result *dfresult.Error
	require.True(t, errors.As(err, &result), "%v", err)
	require.Equal(t, dfresult.NotRun, result.Code.Outcome())
	return result.Code
}

// TestFairnessBetweenCallers guards against a caller that floods the queue and
// delays all others.
func TestFairnessBetweenCallers(t *testing.T) {
	q := newFixedQueue(1, 100)
	for i := range 20 {
		require.NoError(t, q.Enqueue(1, newRequest(uint64(i), "flood", 1)))
	}
	require.NoError(t, q.Enqueue(1, newRequest(50, "a", 1)))
	require.NoError(t, q.Enqueue(1, newRequest(51, "b", 1)))
	require.Subset(t, runAll(q, 5), []string{"a", "b"})
}

// TestFairnessByCost guards against a caller that gets more than its share with few
// but expensive requests.
func TestFairnessByCost(t *testing.T) {
	q := newFixedQueue(1, 100)
	for i := range 20 {
		large := newRequest(uint64(i), "large", 1)
		large.Cost = 4
		require.NoError(t, q.Enqueue(1, large))
		require.NoError(t, q.Enqueue(1, newRequest(uint64(100+i), "small", 1)))
	}
	small := 0
	for _, caller := range runAll(q, 20) {
		if caller == "small" {
			small++
		}
	}
	require.InDelta(t, 16, small, 1)
}

// TestPriorityWithoutStarvation guards against requests of a high priority that wait
// behind those of a low one, and against a low priority that is never served.
func TestPriorityWithoutStarvation(t *testing.T) {
	q := newFixedQueue(1, 1000)
	for i := range 100 {
		require.NoError(t, q.Enqueue(1, newRequest(uint64(i), "browse", 5)))
		require.NoError(t, q.Enqueue(1, newRequest(uint64(1000+i), "order", 0)))
	}
	browse := 0
	for _, caller := range runAll(q, 90) {
		if caller == "browse" {
			browse++
		}
	}
	require.Equal(t, 10, browse)
}

// TestFullQueueEvicts guards against a full queue that refuses a request of a higher
// priority, or a caller with few requests because of one with many.
func TestFullQueueEvicts(t *testing.T) {
	q := newFixedQueue(1, 4)
	for i := range 4 {
		require.NoError(t, q.Enqueue(1, newRequest(uint64(i), "browse", 5)))
	}
	require.Equal(t, dfresult.QueueFull, codeOf(t, q.Enqueue(1, newRequest(9, "browse", 5))))
	require.NoError(t, q.Enqueue(1, newRequest(10, "order", 0)))
	require.NoError(t, q.Enqueue(1, newRequest(11, "quiet", 5)))
	for _, id := range []uint64{3, 2} {
		action, _ := q.Next(1)
		refused := action.(Refuse)
		require.Equal(t, id, refused.Request.ID)
		require.Equal(t, dfresult.QueueFull, refused.Error.Code)
		require.Positive(t, refused.Error.RetryAfter)
	}
	require.Equal(t, 4, q.Queued())
}

// TestEarlyRefusal guards against queueing a request that would miss its deadline.
func TestEarlyRefusal(t *testing.T) {
	q := newFixedQueue(2, 1000)
	now := dfclock.Millis(1)
	for i := range 40 {
		require.NoError(t, q.Enqueue(now, newRequest(uint64(i), "a", 1)))
		_, ok := q.Next(now)
		require.True(t, ok)
		now += 10
		q.Finish(now, uint64(i), false)
	}
	for i := range 40 {
		require.NoError(t, q.Enqueue(now, newRequest(uint64(100+i), "a", 1)))
		q.Next(now)
	}
	urgent := newRequest(900, "a", 1)
	urgent.Deadline = now + 100
	err := q.Enqueue(now, urgent)
	require.Equal(t, dfresult.DeadlinePassed, codeOf(t, err))
	var result *dfresult.Error
	errors.As(err, &result)
	require.InDelta(t, 200, float64(result.RetryAfter), 20, "38 requests queued, 2 run concurrently, 10 ms each")
	urgent.Caller, urgent.ID = "b", 901
	require.NoError(t, q.Enqueue(now, urgent), "another caller is served sooner")
	urgent.Priority, urgent.ID = 0, 902
	require.NoError(t, q.Enqueue(now, urgent), "a higher priority does not wait")
}

// TestDeadlineInQueue guards against running a request whose deadline passed in the
// queue.
func TestDeadlineInQueue(t *testing.T) {
	q := newFixedQueue(1, 10)
	require.NoError(t, q.Enqueue(1, newRequest(1, "a", 1)))
	q.Next(1)
	short := newRequest(2, "a", 1)
	short.Deadline = 50
	require.NoError(t, q.Enqueue(1, short))
	require.Equal(t, dfclock.Millis(50), q.NextAt())
	_, ok := q.Next(49)
	require.False(t, ok)
	action, _ := q.Next(50)
	require.Equal(t, dfresult.DeadlinePassed, action.(Refuse).Error.Code)
	require.Equal(t, dfresult.DeadlinePassed, codeOf(t, q.Enqueue(60, short)))
	require.NoError(t, q.Enqueue(60, newRequest(3, "a", 1)))
	require.True(t, q.Cancel(3))
	require.False(t, q.Cancel(3))
	require.Zero(t, q.Queued())
}

// TestSlowStart guards against overloading a new primary with a burst of the writes
// that were queued before the promotion.
func TestSlowStart(t *testing.T) {
	q := newFixedQueue(1000, 1000)
	q.PauseWrites(1)
	for i := range 500 {
		write := newRequest(uint64(i), fmt.Sprint(i%7), 0)
		write.Write = true
		require.NoError(t, q.Enqueue(1, write))
	}
	require.NoError(t, q.Enqueue(1, newRequest(900, "r", 9)))
	require.Len(t, runAll(q, 10), 1, "only the read runs")
	q.ResumeWrites(100)
	started, early := 0, 0
	for now := dfclock.Millis(100); now < 1200; now++ {
		for {
			action, ok := q.Next(now)
			if !ok {
				break
			}
			q.Finish(now, action.(Start).Request.ID, false)
			started++
		}
		if now == 200 {
			early = started
		}
	}
	require.LessOrEqual(t, early, 16)
	require.Equal(t, 500, started)
}

// TestAdaptiveLimit guards against a limit that stays low for a fast upstream, or
// high for one at which requests queue.
func TestAdaptiveLimit(t *testing.T) {
	for _, servers := range []int{4, 40} {
		q := New(Options{Adaptive: true, Limit: 8, MaxLimit: 200, MaxQueued: 500})
		sim := newSimulation(q, servers, 20, 3)
		sim.run(20_000, float64(servers)/20*2)
		require.InDelta(t, float64(servers), float64(q.Limit()), float64(servers)*1.5, "%d servers", servers)
		require.Greater(t, float64(sim.onTime), 0.8*float64(servers)/20*20_000, "%d servers", servers)
	}
}

// TestRetriesAreBounded guards against retries that multiply the load during a
// failure or all start at the same time.
func TestRetriesAreBounded(t *testing.T) {
	budget := NewRetryBudget(0.1, rand.New(rand.NewPCG(1, 1)))
	retries, startTimes := 0, map[dfclock.Millis]bool{}
	for range 10_000 {
		budget.RecordRequest()
		if at, ok := budget.Retry(0, 10_000, 4); ok {
			retries++
			startTimes[at] = true
			require.LessOrEqual(t, at, RetryBaseDelay<<3)
		}
	}
	require.LessOrEqual(t, retries, 1000+retryBurst)
	require.Greater(t, len(startTimes), 20)
	_, ok := budget.Retry(0, 5, 1)
	require.False(t, ok, "past the deadline")
}

// TestRandomOperations guards against requests that are lost or answered twice, and
// against a queue that exceeds its bound.
func TestRandomOperations(t *testing.T) {
	for seed := range uint64(100) {
		random := rand.New(rand.NewPCG(seed, 1))
		q := New(Options{Adaptive: seed%2 == 0, Limit: 3, MaxQueued: 20, MaxLimit: 10})
		pending, running := map[uint64]bool{}, []uint64{}
		now := dfclock.Millis(1)
		for id := range uint64(600) {
			now += dfclock.Millis(random.IntN(4))
			request := Request{
				ID: id, Caller: fmt.Sprint(random.IntN(6)), Priority: random.IntN(20), Write: random.IntN(3) == 0,
				Cost: random.IntN(3), Deadline: now + dfclock.Millis(random.IntN(200)),
			}
			if q.Enqueue(now, request) == nil {
				pending[id] = true
			}
			switch random.IntN(40) {
			case 0:
				q.PauseWrites(now)
			case 1:
				q.ResumeWrites(now)
			case 2:
				if q.Cancel(id) {
					delete(pending, id)
				}
			}
			for action, ok := q.Next(now); ok; action, ok = q.Next(now) {
				switch action := action.(type) {
				case Start:
					require.True(t, pending[action.Request.ID])
					running = append(running, action.Request.ID)
				case Refuse:
					require.True(t, pending[action.Request.ID])
					delete(pending, action.Request.ID)
				}
			}
			require.LessOrEqual(t, q.Queued(), 20)
			for len(running) > 0 && random.IntN(2) == 0 {
				q.Finish(now, running[0], random.IntN(20) == 0)
				delete(pending, running[0])
				running = running[1:]
			}
			require.Equal(t, len(pending), q.Queued()+q.Running())
		}
	}
}

// TestChecksFire breaks each invariant on purpose; the check must report it.
func TestChecksFire(t *testing.T) {
	q := newFixedQueue(1, 2)
	q.options.MaxQueued = -1
	q.waiting = deadlineHeap{}
	require.Panics(t, func() {
		b := q.bandOf(newRequest(1, "a", 1))
		b.push(&entry{request: newRequest(7, "x", 1)})
		b.push(&entry{request: newRequest(8, "x", 1)})
		for i, e := range b.queues["x"].entries {
			e.heapIndex = i
			q.waiting = append(q.waiting, e)
		}
		_ = q.Enqueue(1, newRequest(1, "a", 1))
	}, "queue longer than MaxQueued")
	busy := newFixedQueue(1, 2)
	busy.start(newRequest(1, "a", 1))
	require.Panics(t, func() { busy.start(newRequest(2, "a", 1)) }, "more running requests than the limit")
}

// simulation models a service with a number of servers. Its service time grows when
// more requests than servers run concurrently.
type simulation struct {
	q           *Queue
	servers     int
	serviceTime dfclock.Millis
	random      *rand.Rand
	completesAt map[uint64]dfclock.Millis
	deadlines   map[uint64]dfclock.Millis
	onTime      int
}

func newSimulation(q *Queue, servers int, serviceTime dfclock.Millis, seed uint64) *simulation {
	return &simulation{
		q: q, servers: servers, serviceTime: serviceTime, random: rand.New(rand.NewPCG(seed, 2)),
		completesAt: map[uint64]dfclock.Millis{}, deadlines: map[uint64]dfclock.Millis{},
	}
}

// run enqueues requests at the given rate per millisecond until the end.
func (s *simulation) run(end dfclock.Millis, rate float64) {
	id, arrivals := uint64(0), 0.0
	for now := dfclock.Millis(1); now < end; now++ {
		for requestID, at := range s.completesAt {
			if at <= now {
				delete(s.completesAt, requestID)
				s.q.Finish(now, requestID, false)
				if now <= s.deadlines[requestID] {
					s.onTime++
				}
			}
		}
		for arrivals += rate; arrivals >= 1; arrivals-- {
			id++
			s.deadlines[id] = now + 500
			_ = s.q.Enqueue(now, Request{ID: id, Caller: fmt.Sprint(s.random.IntN(9)), Deadline: now + 500})
		}
		for action, ok := s.q.Next(now); ok; action, ok = s.q.Next(now) {
			if start, started := action.(Start); started {
				load := max(1, float64(len(s.completesAt)+1)/float64(s.servers))
				s.completesAt[start.Request.ID] = now + dfclock.Millis(load*float64(s.serviceTime))
			}
		}
	}
}

func BenchmarkAdmission(b *testing.B) {
	q := newFixedQueue(64, 1000)
	b.ReportAllocs()
	for id := uint64(1); b.Loop(); id++ {
		now := dfclock.Millis(id)
		_ = q.Enqueue(now, Request{ID: id, Caller: "a", Deadline: now + 1000})
		q.Next(now)
		q.Finish(now, id, false)
	}
}
