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

var three = []dffleet.Upstream{{ID: "p"}, {ID: "near"}, {ID: "far"}}

func newPlacer() *Placer {
	p := New()
	p.Keep("p", false, 3)
	p.Keep("near", true, 3)
	p.Keep("far", false, 3)
	for _, id := range []dffleet.ID{"p", "near", "far"} {
		p.Reached(0, id, position(100), 0)
	}
	return p
}

// Guards against reads that cross data centres or take the primary's slots
// while a replica next door is idle.
func TestIdleReplicaNearbyIsChosen(t *testing.T) {
	p := newPlacer()
	id, ok := p.Read(10, Need{Position: position(90)}, three, "p", nil)
	require.True(t, ok)
	require.Equal(t, dffleet.ID("near"), id)
}

// Guards against a replica that was behind once and is never asked again, so
// that its service runs on the primary alone.
func TestLaggingReplicaIsTriedAgain(t *testing.T) {
	p := newPlacer()
	p.Reached(1000, "near", position(10), 5000)
	p.Reached(1000, "far", position(10), 5000)
	need := Need{Position: position(90), At: 900}
	chosen := map[dffleet.ID]int{}
	for now := dfclock.Millis(1000); now < 2000; now += 10 {
		id, ok := p.Read(now, need, three, "p", nil)
		require.True(t, ok)
		chosen[id]++
	}
	require.Greater(t, chosen["p"], 85, "most reads go where the position is")
	require.GreaterOrEqual(t, chosen["near"]+chosen["far"], 3, "one trial in each span of trust")
	p.Reached(2000, "near", position(95), 20)
	id, _ := p.Read(2001, need, three, "p", nil)
	require.Equal(t, dffleet.ID("near"), id)
}

// Guards against reads that go on to an upstream that fails.
func TestFailedUpstreamIsPassedOver(t *testing.T) {
	p := newPlacer()
	p.Failed(1000, "near")
	id, ok := p.Read(1001, Need{}, three, "p", nil)
	require.True(t, ok)
	require.NotEqual(t, dffleet.ID("near"), id)
	id, _ = p.Read(1000+failureSpan, Need{}, three, "p", nil)
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
func play(choose func(now dfclock.Millis, i int) dffleet.ID, answered func(now dfclock.Millis, id dffleet.ID, span dfclock.Millis), gap, aim dfclock.Millis) float64 {
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
	p := newPlacer()
	expected := play(func(now dfclock.Millis, _ int) dffleet.ID {
		id, ok := p.Read(now, Need{}, three, "p", nil)
		require.True(t, ok)
		p.Waits(id)
		p.Sent(id)
		return id
	}, func(now dfclock.Millis, id dffleet.ID, span dfclock.Millis) {
		p.Ended(id)
		p.Answered(now, id, span)
	}, gap, aim)
	order := []dffleet.ID{"p", "near", "far"}
	robin := play(func(_ dfclock.Millis, i int) dffleet.ID { return order[i%3] },
		func(dfclock.Millis, dffleet.ID, dfclock.Millis) {}, gap, aim)
	t.Logf("within the aim: expected wait %.3f, round robin %.3f", expected, robin)
	require.Greater(t, expected, 0.9)
	require.Less(t, robin, expected)
}

// Guards against many hosts that each send a few statements to a full queue
// again and again because none of them measures the queue.
func TestFullQueueCountsAsWait(t *testing.T) {
	p := newPlacer()
	p.Full(1000, "p")
	require.Equal(t, fullSpan, p.OpenIn(1000, "p"))
	require.GreaterOrEqual(t, p.Wait(1000, "p"), fullWork)
	require.Less(t, p.Wait(1000+forgetSpan, "p"), fullWork/2, "it is tried again")
}
