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

// loopFixture is a loop without goroutines, driven by a virtual clock.
type loopFixture struct {
	loop
	now dfclock.Millis
}

func newLoopFixture() *loopFixture {
	s := &loopFixture{now: 1000}
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

// report delivers a status row of each of the upstreams.
func (s *loopFixture) report(ids ...dfgroup.UpstreamID) {
	for _, id := range ids {
		status := dfgroup.Status{Upstream: id, Accepted: 1, Role: dfgroup.RoleReplica, Following: "u0"}
		if id == "u0" {
			status.Role, status.Following = dfgroup.RolePrimary, ""
		}
		s.handleMessage(statusReceived{status: status, askedAt: s.now})
	}
}

// TestNextTick guards against a watcher that ticks continuously although nothing is
// pending, which took most of its processor time, and against one that sleeps
// while something is pending.
func TestNextTick(t *testing.T) {
	s := newLoopFixture()
	tick := dfclock.Millis(TickPeriod.Milliseconds())
	s.tick()
	require.Equal(t, s.now+tick, s.nextTick(s.now), "no primary yet")
	s.report("u0", "u1", "u2")
	s.tick()
	silenceTimeout := s.now + s.health.SilenceTimeout("u0")
	require.Equal(t, silenceTimeout, s.nextTick(s.now))

	s.now += 100
	reply := make(chan error, 1)
	s.handleMessage(ackRequest{id: 1, position: dfposition.Position{Term: 1, Offset: 9}, reply: reply})
	require.Equal(t, s.now+tick, s.nextTick(s.now), "a commit is pending")
	s.handleMessage(ackCanceled{id: 1})
	require.Equal(t, silenceTimeout, s.nextTick(s.now))
	s.handleMessage(barrierRequest{reply: make(chan barrierReply, 1)})
	require.Equal(t, s.now+tick, s.nextTick(s.now), "a barrier is pending")
	s.barriers = nil
	s.handleMessage(statementFailed{upstream: "u1", startedAt: s.now, err: &ConnectError{Cause: errors.New("refused")}})
	require.Equal(t, s.now, s.nextTick(s.now), "an upstream is suspect")
}

// overdue reports whether a changed ejection or a dead upstream has not been handled
// although the last tick is more than TickPeriod ago.
func (s *loopFixture) overdue() bool {
	primary, _, _ := s.failover.Primary()
	ejected := s.health.Ejected(s.now, primary)
	for _, upstream := range s.view.Upstreams {
		dead := s.health.State(s.now, upstream.ID, primary) == dfhealth.Dead
		if (upstream.Ejected != ejected[upstream.ID] || dead && s.failover.Idle()) &&
			s.now-s.lastTickAt > dfclock.Millis(TickPeriod.Milliseconds()) {
			return true
		}
	}
	return false
}

// simulateFaults runs 20 s of virtual time with random answers, refused connections
// and silent upstreams. nextTick schedules the ticks. It returns the number of
// milliseconds in which the loop was overdue and the number of ticks.
func simulateFaults(seed uint64, nextTick func(*loopFixture) dfclock.Millis) (overdue, ticks int) {
	random, s := rand.New(rand.NewPCG(seed, 1)), newLoopFixture()
	silent := map[dfgroup.UpstreamID]bool{}
	for range 20 * dfclock.Second {
		s.now++
		for _, upstream := range s.watcher.options.Upstreams {
			id := upstream.ID
			switch random.IntN(2000) {
			case 0:
				silent[id] = !silent[id]
			case 1:
				s.handleMessage(trafficReported{event: dfhealth.Answered{Upstream: id, ResponseTime: dfclock.Millis(random.IntN(300))}})
			case 2:
				s.handleMessage(statementFailed{upstream: id, startedAt: s.now, err: &ConnectError{Cause: errors.New("refused")}})
			}
			if !silent[id] && s.now%100 == 0 {
				s.report(id)
			}
		}
		if s.now.Reached(nextTick(s)) {
			s.tick()
			ticks++
		}
		if s.overdue() {
			overdue++
		}
	}
	return overdue, ticks
}

// TestHealthChangesAreTimely guards against a tick schedule that handles a change of
// an upstream's health later than ticks at every TickPeriod would, which delays a
// failover. The second run of each seed ticks every 100 ms, to show that the check
// detects the fault.
func TestHealthChangesAreTimely(t *testing.T) {
	overdueAt100Ms, totalTicks := 0, 0
	for seed := range uint64(20) {
		overdue, ticks := simulateFaults(seed, func(s *loopFixture) dfclock.Millis { return s.nextTick(s.now) })
		require.Zero(t, overdue, "seed %d", seed)
		totalTicks += ticks
		overdue, _ = simulateFaults(seed, func(s *loopFixture) dfclock.Millis { return s.lastTickAt + 100 })
		overdueAt100Ms += overdue
	}
	t.Logf("%d ticks in 400 s", totalTicks)
	require.Positive(t, overdueAt100Ms)
}
