package dfplace

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfposition"
)

func position(offset int) dfposition.Position {
	return dfposition.Position{Term: 1, Offset: dfposition.Offset(offset)}
}

var threeUpstreams = []dffleet.Upstream{{ID: "p"}, {ID: "near"}, {ID: "far"}}

func newSelector() *Selector {
	s := New()
	s.Put("p", false, 3)
	s.Put("near", true, 3)
	s.Put("far", false, 3)
	for _, id := range []dffleet.ID{"p", "near", "far"} {
		s.RecordPosition(0, id, position(100), 0)
	}
	return s
}

// Guards against reads that go to another data centre or to the primary while a
// replica in the same data centre is idle.
func TestIdleReplicaNearbyIsChosen(t *testing.T) {
	s := newSelector()
	id, ok := s.SelectForRead(10, Requirement{Position: position(90)}, threeUpstreams, "p", nil)
	require.True(t, ok)
	require.Equal(t, dffleet.ID("near"), id)
}

// Guards against never trying a replica again that lagged once, so that all reads
// of the service run on the primary.
func TestLaggingReplicaIsTriedAgain(t *testing.T) {
	s := newSelector()
	s.RecordPosition(1000, "near", position(10), 5000)
	s.RecordPosition(1000, "far", position(10), 5000)
	need := Requirement{Position: position(90), At: 900}
	chosen := map[dffleet.ID]int{}
	for now := dfclock.Millis(1000); now < 2000; now += 10 {
		id, ok := s.SelectForRead(now, need, threeUpstreams, "p", nil)
		require.True(t, ok)
		chosen[id]++
	}
	require.Greater(t, chosen["p"], 85, "most reads run where the position is reached")
	require.GreaterOrEqual(t, chosen["near"]+chosen["far"], 3, "one trial in each lagTTL")
	s.RecordPosition(2000, "near", position(95), 20)
	id, _ := s.SelectForRead(2001, need, threeUpstreams, "p", nil)
	require.Equal(t, dffleet.ID("near"), id)
}

// Guards against sending further reads to an upstream that failed.
func TestFailedUpstreamIsExcluded(t *testing.T) {
	s := newSelector()
	s.RecordFailure(1000, "near")
	id, ok := s.SelectForRead(1001, Requirement{}, threeUpstreams, "p", nil)
	require.True(t, ok)
	require.NotEqual(t, dffleet.ID("near"), id)
	id, _ = s.SelectForRead(1000+failureBackoff, Requirement{}, threeUpstreams, "p", nil)
	require.Equal(t, dffleet.ID("near"), id)
}

// server simulates an upstream with slots and a FIFO queue in virtual time.
type server struct {
	free []dfclock.Millis
	// latency is the execution time of a statement.
	latency dfclock.Millis
}

func (s *server) run(now dfclock.Millis) (done dfclock.Millis) {
	slot := 0
	for i := range s.free {
		if s.free[i] < s.free[slot] {
			slot = i
		}
	}
	s.free[slot] = max(now, s.free[slot]) + s.latency
	return s.free[slot]
}

// simulate sends a read every interval to three upstreams, of which one is slow,
// and returns the share of reads that are answered within the target latency.
func simulate(choose func(now dfclock.Millis, i int) dffleet.ID, answered func(now dfclock.Millis, id dffleet.ID, latency dfclock.Millis), interval, target dfclock.Millis) float64 {
	servers := map[dffleet.ID]*server{
		"p":    {free: make([]dfclock.Millis, 3), latency: 25},
		"near": {free: make([]dfclock.Millis, 3), latency: 150},
		"far":  {free: make([]dfclock.Millis, 3), latency: 25},
	}
	type pending struct {
		id         dffleet.ID
		sent, done dfclock.Millis
	}
	var open []pending
	withinTarget, total := 0, 0
	for i := 0; i < 2000; i++ {
		now := dfclock.Millis(i) * interval
		kept := open[:0]
		for _, o := range open {
			if o.done > now {
				kept = append(kept, o)
				continue
			}
			answered(now, o.id, o.done-o.sent)
		}
		open = kept
		id := choose(now, i)
		done := servers[id].run(now)
		open = append(open, pending{id, now, done})
		total++
		if done-now <= target {
			withinTarget++
		}
	}
	return float64(withinTarget) / float64(total)
}

// Simulates a load of two thirds of the capacity while one replica is six times
// slower, and compares the result with round robin over the same servers.
func TestSlowReplicaUnderLoad(t *testing.T) {
	const interval, target = 6, 200
	s := newSelector()
	expected := simulate(func(now dfclock.Millis, _ int) dffleet.ID {
		id, ok := s.SelectForRead(now, Requirement{}, threeUpstreams, "p", nil)
		require.True(t, ok)
		s.Enqueue(id)
		s.Start(id)
		return id
	}, func(now dfclock.Millis, id dffleet.ID, latency dfclock.Millis) {
		s.Finish(id)
		s.RecordAnswer(now, id, latency)
	}, interval, target)
	order := []dffleet.ID{"p", "near", "far"}
	roundRobin := simulate(func(_ dfclock.Millis, i int) dffleet.ID { return order[i%3] },
		func(dfclock.Millis, dffleet.ID, dfclock.Millis) {}, interval, target)
	t.Logf("within the target: expected wait %.3f, round robin %.3f", expected, roundRobin)
	require.Greater(t, expected, 0.9)
	require.Less(t, roundRobin, expected)
}

// Guards against many hosts that keep sending a few statements each to an upstream
// with a full queue, because none of them measures the queue.
func TestFullQueueCountsAsWait(t *testing.T) {
	s := newSelector()
	s.RecordQueueFull(1000, "p")
	require.Equal(t, queueFullBackoff, s.AvailableIn(1000, "p"))
	require.GreaterOrEqual(t, s.ExpectedWait(1000, "p"), queueFullLatency)
	require.Less(t, s.ExpectedWait(1000+latencyTTL, "p"), queueFullLatency/2, "the upstream is tried again")
}
