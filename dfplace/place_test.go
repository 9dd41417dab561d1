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
	p := New()
	p.Put("p", false, 3)
	p.Put("near", true, 3)
	p.Put("far", false, 3)
	for _, id := range []dffleet.ID{"p", "near", "far"} {
		p.RecordPosition(0, id, position(100), 0)
	}
	return p
}

// Guards against reads that cross data centres or take the primary's slots
// while a replica next door is idle.
func TestIdleReplicaNearbyIsChosen(t *testing.T) {
	p := newSelector()
	id, ok := p.SelectForRead(10, Requirement{Position: position(90)}, threeUpstreams, "p", nil)
	require.True(t, ok)
	require.Equal(t, dffleet.ID("near"), id)
}

// Guards against a replica that was behind once and is never asked again, so
// that its service runs on the primary alone.
func TestLaggingReplicaIsTriedAgain(t *testing.T) {
	p := newSelector()
	p.RecordPosition(1000, "near", position(10), 5000)
	p.RecordPosition(1000, "far", position(10), 5000)
	need := Requirement{Position: position(90), At: 900}
	chosen := map[dffleet.ID]int{}
	for now := dfclock.Millis(1000); now < 2000; now += 10 {
		id, ok := p.SelectForRead(now, need, threeUpstreams, "p", nil)
		require.True(t, ok)
		chosen[id]++
	}
	require.Greater(t, chosen["p"], 85, "most reads go where the position is")
	require.GreaterOrEqual(t, chosen["near"]+chosen["far"], 3, "one trial in each span of trust")
	p.RecordPosition(2000, "near", position(95), 20)
	id, _ := p.SelectForRead(2001, need, threeUpstreams, "p", nil)
	require.Equal(t, dffleet.ID("near"), id)
}

// Guards against reads that go on to an upstream that fails.
func TestFailedUpstreamIsPassedOver(t *testing.T) {
	p := newSelector()
	p.RecordFailure(1000, "near")
	id, ok := p.SelectForRead(1001, Requirement{}, threeUpstreams, "p", nil)
	require.True(t, ok)
	require.NotEqual(t, dffleet.ID("near"), id)
	id, _ = p.SelectForRead(1000+failureBackoff, Requirement{}, threeUpstreams, "p", nil)
	require.Equal(t, dffleet.ID("near"), id)
}

// server is an upstream with slots and a first-come queue, in virtual time.
type server struct {
	free []dfclock.Millis
	work dfclock.Millis
}

func (s *server) run(now dfclock.Millis) (done dfclock.Millis) {
	slot := 0
	for i := range s.free {
		if s.free[i] < s.free[slot] {
			slot = i
		}
	}
	s.free[slot] = max(now, s.free[slot]) + s.work
	return s.free[slot]
}

// play sends a read each gap to three upstreams, of which one is slow, and
// returns the share of reads that are answered within the aim.
func simulate(choose func(now dfclock.Millis, i int) dffleet.ID, answered func(now dfclock.Millis, id dffleet.ID, span dfclock.Millis), gap, aim dfclock.Millis) float64 {
	servers := map[dffleet.ID]*server{
		"p":    {free: make([]dfclock.Millis, 3), work: 25},
		"near": {free: make([]dfclock.Millis, 3), work: 150},
		"far":  {free: make([]dfclock.Millis, 3), work: 25},
	}
	type pending struct {
		id         dffleet.ID
		sent, done dfclock.Millis
	}
	var open []pending
	good, total := 0, 0
	for i := 0; i < 2000; i++ {
		now := dfclock.Millis(i) * gap
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
		if done-now <= aim {
			good++
		}
	}
	return float64(good) / float64(total)
}

// Plays a load of two thirds of the capacity while one replica is six times
// slower, and compares with round robin over the same servers.
func TestSlowReplicaUnderLoad(t *testing.T) {
	const gap, aim = 6, 200
	p := newSelector()
	expected := simulate(func(now dfclock.Millis, _ int) dffleet.ID {
		id, ok := p.SelectForRead(now, Requirement{}, threeUpstreams, "p", nil)
		require.True(t, ok)
		p.Enqueue(id)
		p.Start(id)
		return id
	}, func(now dfclock.Millis, id dffleet.ID, span dfclock.Millis) {
		p.Finish(id)
		p.RecordAnswer(now, id, span)
	}, gap, aim)
	order := []dffleet.ID{"p", "near", "far"}
	robin := simulate(func(_ dfclock.Millis, i int) dffleet.ID { return order[i%3] },
		func(dfclock.Millis, dffleet.ID, dfclock.Millis) {}, gap, aim)
	t.Logf("within the aim: expected wait %.3f, round robin %.3f", expected, robin)
	require.Greater(t, expected, 0.9)
	require.Less(t, robin, expected)
}

// Guards against many hosts that each send a few statements to a full queue
// again and again because none of them measures the queue.
func TestFullQueueCountsAsWait(t *testing.T) {
	p := newSelector()
	p.RecordQueueFull(1000, "p")
	require.Equal(t, queueFullBackoff, p.AvailableIn(1000, "p"))
	require.GreaterOrEqual(t, p.ExpectedWait(1000, "p"), queueFullLatency)
	require.Less(t, p.ExpectedWait(1000+latencyTTL, "p"), queueFullLatency/2, "it is tried again")
}
