package dfpool

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfresult"
)

// TestDoubtSuspectsAge guards against idle connections that are given out
// although one of their age is not answered, and against closing the one whose
// request may only be slow.
func TestDoubtSuspectsAge(t *testing.T) {
	p := newPool(Config{Limit: 2})
	for i := range 2 {
		p.Handle(dfclock.Millis(i), Want{Waiter: WaiterID(i), Deadline: 100})
		p.Handle(10, Opened{Conn: ConnID(i + 1)})
	}
	p.Handle(11, Returned{Conn: 1, Idle: true})
	require.Empty(t, p.Handle(12, Doubted{Conn: 2}), "the slow one stays open")
	require.Equal(t, []Action{Probe{Conn: 1}}, p.Handle(13, Want{Waiter: 8, Deadline: 100}))
	require.Equal(t, 1, p.Stats().Held)
}

// TestUnreachableUpstream guards against waiters kept for an upstream that does
// not answer, against more than one opening in a second towards it, and against
// a late return to it.
func TestUnreachableUpstream(t *testing.T) {
	p := newPool(Config{Limit: 2})
	require.Equal(t, []Action{Open{Conn: 1}}, p.Handle(0, Want{Waiter: 1, Deadline: dfclock.Minute}))
	actions := p.Handle(1, Reachable{})
	require.Len(t, actions, 1)
	require.Equal(t, dfresult.UpstreamRefused, actions[0].(Refuse).Code)
	p.Handle(2, OpenFailed{Conn: 1})
	openings := 0
	const span = 20 * dfclock.Second
	for now := dfclock.Millis(10); now.Before(span); now = now.Add(10) {
		for _, action := range p.Handle(now, Want{Waiter: WaiterID(now), Deadline: now.Add(dfclock.Minute)}) {
			if open, isOpen := action.(Open); isOpen {
				openings++
				p.Handle(now, OpenFailed(open))
			}
		}
		require.Zero(t, p.Stats().Waiting)
	}
	require.Positive(t, openings)
	require.LessOrEqual(t, dfclock.Millis(openings)*dfclock.Second, span)
	p.Handle(span, Reachable{Up: true})
	require.Len(t, p.Handle(span, Want{Waiter: 1, Deadline: dfclock.Never}), 1)
}

// TestPoolRandomReachable guards as TestPoolRandom does, with an upstream that
// comes and goes and with requests in doubt.
func TestPoolRandomReachable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 5).Draw(t, "limit")
		m := &model{T: t, limit: limit, conns: map[ConnID]string{}, openedAt: map[ConnID]dfclock.Millis{},
			givenTo: map[ConnID]Want{}, suspects: map[ConnID]bool{}}
		m.pool = newPool(Config{Limit: limit, Warm: rapid.IntRange(0, 2).Draw(t, "warm"), IdleClose: 300})
		events, up := m.actions(), true
		events["doubt"] = func(*rapid.T) {
			id := m.some("held")
			m.suspect(func(other ConnID) bool { return m.openedAt[other] <= m.openedAt[id] })
			m.feed(Doubted{Conn: id})
		}
		events["reach"] = func(t *rapid.T) {
			next := rapid.Bool().Draw(t, "up")
			if up && !next {
				m.suspect(func(ConnID) bool { return true })
			}
			up = next
			m.feed(Reachable{Up: up})
		}
		t.Repeat(events)
		m.feed(Reachable{Up: true})
		m.settle()
	})
}

// suspect marks idle connections in the model.
func (m *model) suspect(which func(ConnID) bool) {
	for id, state := range m.conns {
		if state == "idle" && which(id) {
			m.suspects[id] = true
		}
	}
}
