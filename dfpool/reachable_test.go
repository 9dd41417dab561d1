package dfpool

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfresult"
)

// TestReplyOverdueSuspectsOlder guards against granting idle connections without a
// probe while one of the same age gets no reply, and against closing that one,
// because its request may only be slow.
func TestReplyOverdueSuspectsOlder(t *testing.T) {
	p := newPool(Config{Limit: 2})
	for i := range 2 {
		p.Handle(dfclock.Millis(i), Acquire{Waiter: WaiterID(i), Deadline: 100})
		p.Handle(10, Opened{Conn: ConnID(i + 1)})
	}
	p.Handle(11, Returned{Conn: 1, Reusable: true})
	require.Empty(t, p.Handle(12, ReplyOverdue{Conn: 2}), "the connection with the overdue reply stays open")
	require.Equal(t, []Action{Probe{Conn: 1}}, p.Handle(13, Acquire{Waiter: 8, Deadline: 100}))
	require.Equal(t, 1, p.Stats().InUse)
}

// TestUnreachableUpstream guards against keeping waiters for an upstream that does not
// answer, against opening more than one connection per second to it, and against a
// delay after it answers again.
func TestUnreachableUpstream(t *testing.T) {
	p := newPool(Config{Limit: 2})
	require.Equal(t, []Action{Open{Conn: 1}}, p.Handle(0, Acquire{Waiter: 1, Deadline: dfclock.Minute}))
	actions := p.Handle(1, Reachable{})
	require.Len(t, actions, 1)
	require.Equal(t, dfresult.UpstreamRefused, actions[0].(Refuse).Code)
	p.Handle(2, OpenFailed{Conn: 1})
	openings := 0
	const duration = 20 * dfclock.Second
	for now := dfclock.Millis(10); now.Before(duration); now = now.Add(10) {
		for _, action := range p.Handle(now, Acquire{Waiter: WaiterID(now), Deadline: now.Add(dfclock.Minute)}) {
			if open, isOpen := action.(Open); isOpen {
				openings++
				p.Handle(now, OpenFailed{Conn: open.Conn})
			}
		}
		require.Zero(t, p.Stats().Waiting)
	}
	require.Positive(t, openings)
	require.LessOrEqual(t, dfclock.Millis(openings)*dfclock.Second, duration)
	p.Handle(duration, Reachable{Up: true})
	require.Len(t, p.Handle(duration, Acquire{Waiter: 1, Deadline: dfclock.Never}), 1)
}

// TestPoolRandomReachable extends TestPoolRandom by an upstream that becomes
// unreachable and reachable and by overdue replies.
func TestPoolRandomReachable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 5).Draw(t, "limit")
		m := &model{T: t, limit: limit, conns: map[ConnID]string{}, openedAt: map[ConnID]dfclock.Millis{},
			holders: map[ConnID]Acquire{}, suspects: map[ConnID]bool{}}
		m.pool = newPool(Config{Limit: limit, MinOpen: rapid.IntRange(0, 2).Draw(t, "min open"), IdleTimeout: 300})
		actions, up := m.actions(), true
		actions["delayed reply"] = func(*rapid.T) {
			id := m.pickConn("in use")
			m.markSuspect(func(other ConnID) bool { return m.openedAt[other] <= m.openedAt[id] })
			m.handle(ReplyOverdue{Conn: id})
		}
		actions["reachable"] = func(t *rapid.T) {
			next := rapid.Bool().Draw(t, "up")
			if up && !next {
				m.markSuspect(func(ConnID) bool { return true })
			}
			up = next
			m.handle(Reachable{Up: up})
		}
		t.Repeat(actions)
		m.handle(Reachable{Up: true})
		m.drain()
	})
}

// markSuspect marks idle connections as suspect in the model.
func (m *model) markSuspect(which func(ConnID) bool) {
	for id, state := range m.conns {
		if state == "idle" && which(id) {
			m.suspects[id] = true
		}
	}
}
