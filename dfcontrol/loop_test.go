package dfcontrol

import (
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfhealth"
	"dragonflygrade/dfposition"
)

// still is a loop without its goroutines, on a clock of the test.
type still struct {
	loop
	now dfclock.Millis
}

func newStill() *still {
	s := &still{now: 1000}
	options := DefaultOptions()
	options.Group, options.Actor = "books/orders", "me"
	options.Now = func() dfclock.Millis { return s.now }
	w := &Watcher{options: options, workers: map[dfgroup.UpstreamID]*worker{}}
	for _, id := range []dfgroup.UpstreamID{"u0", "u1", "u2"} {
		w.options.Upstreams = append(w.options.Upstreams, dfgroup.Upstream{ID: id})
		w.workers[id] = newWorker(id)
	}
	s.loop = newLoop(w)
	w.view.Store(&s.view)
	return s
}

// report takes a status row of each upstream.
func (s *still) report(ids ...dfgroup.UpstreamID) {
	for _, id := range ids {
		status := dfgroup.Status{Upstream: id, Accepted: 1, Role: dfgroup.RoleReplica, Following: "u0"}
		if id == "u0" {
			status.Role, status.Following = dfgroup.RolePrimary, ""
		}
		s.take(reported{status: status, askedAt: s.now})
	}
}

// TestNextLook guards against a watcher that looks at its bounds all the time
// although nothing waits, which took most of its processor time, and against
// one that sleeps while something waits.
func TestNextLook(t *testing.T) {
	s := newStill()
	tick := dfclock.Millis(TickPeriod.Milliseconds())
	s.tick()
	require.Equal(t, s.now+tick, s.nextLook(s.now), "no primary yet")
	s.report("u0", "u1", "u2")
	s.tick()
	calm := s.now + s.health.SilenceTimeout("u0")
	require.Equal(t, calm, s.nextLook(s.now))

	s.now += 100
	reply := make(chan error, 1)
	s.take(ackRequest{id: 1, position: dfposition.Position{Term: 1, Offset: 9}, reply: reply})
	require.Equal(t, s.now+tick, s.nextLook(s.now), "a commit waits")
	s.take(ackForgotten{id: 1})
	require.Equal(t, calm, s.nextLook(s.now))
	s.take(barrierRequest{reply: make(chan barrierReply, 1)})
	require.Equal(t, s.now+tick, s.nextLook(s.now), "a read waits")
	s.barriers = nil
	s.take(asked{upstream: "u1", startedAt: s.now, err: &ConnectError{Cause: errors.New("refused")}})
	require.Equal(t, s.now, s.nextLook(s.now), "an upstream is suspect")
}

// overdue reports whether the published ejections are older than one tick.
func (s *still) overdue() bool {
	primary, _, _ := s.machine.Primary()
	ejected := s.health.Ejected(s.now, primary)
	for _, upstream := range s.view.Upstreams {
		dead := s.health.State(s.now, upstream.ID, primary) == dfhealth.Dead
		if (upstream.Ejected != ejected[upstream.ID] || dead && s.machine.Idle()) &&
			s.now-s.tickedAt > dfclock.Millis(TickPeriod.Milliseconds()) {
			return true
		}
	}
	return false
}

// disturbed runs random answers, refusals and silences over virtual time with
// the given looks, and counts the instants at which the view was overdue.
func disturbed(seed uint64, look func(*still) dfclock.Millis) (overdue, looks int) {
	random, s := rand.New(rand.NewPCG(seed, 1)), newStill()
	silent := map[dfgroup.UpstreamID]bool{}
	for range 20 * dfclock.Second {
		s.now++
		for _, upstream := range s.watcher.options.Upstreams {
			id := upstream.ID
			switch random.IntN(2000) {
			case 0:
				silent[id] = !silent[id]
			case 1:
				s.take(traffic{event: dfhealth.Answered{Upstream: id, ResponseTime: dfclock.Millis(random.IntN(300))}})
			case 2:
				s.take(asked{upstream: id, startedAt: s.now, err: &ConnectError{Cause: errors.New("refused")}})
			}
			if !silent[id] && s.now%100 == 0 {
				s.report(id)
			}
		}
		if s.now.Reached(look(s)) {
			s.tick()
			looks++
		}
		if s.overdue() {
			overdue++
		}
	}
	return overdue, looks
}

// TestLooksInTime guards against a verdict that is noticed later than with a
// look at each tick, which would slow a change of primary. The second run puts
// the fault in on purpose: looks at a fixed 100 ms.
func TestLooksInTime(t *testing.T) {
	late, total := 0, 0
	for seed := range uint64(20) {
		overdue, looks := disturbed(seed, func(s *still) dfclock.Millis { return s.nextLook(s.now) })
		require.Zero(t, overdue, "seed %d", seed)
		total += looks
		overdue, _ = disturbed(seed, func(s *still) dfclock.Millis { return s.tickedAt + 100 })
		late += overdue
	}
	t.Logf("%d looks in 400 s", total)
	require.Positive(t, late)
}
