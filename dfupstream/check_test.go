package dfupstream

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfframe"
	"dragonflygrade/dfpool"
)

// stillPool is a pool whose goroutine does not run.
func stillPool() *Pool {
	return &Pool{
		decision: dfpool.New(dfpool.Config{Limit: 1}, rand.New(rand.NewPCG(1, 1))),
		conns:    map[dfpool.ConnID]*Conn{},
		claims:   map[dfpool.WaiterID]*claim{},
	}
}

// TestLimitCheckFires puts in the fault of an opening beyond the limit, which
// would take connections from other hosts.
func TestLimitCheckFires(t *testing.T) {
	defer SetStrict(SetStrict(false))
	p := stillPool()
	p.decision.Handle(0, dfpool.Want{Waiter: 1, Deadline: dfclock.Minute})
	p.decision.Handle(0, dfpool.LimitChanged{Limit: 0})
	before := failedChecks.Get()
	require.Equal(t, dfpool.OpenFailed{Conn: 1}, p.start(1))
	require.Equal(t, before+1, failedChecks.Get())
	SetStrict(true)
	require.Panics(t, func() { p.start(1) })
}

// TestIdleCheckFires puts in the fault of giving a connection that is in a
// transaction, whose statements would mix with those of the next caller.
func TestIdleCheckFires(t *testing.T) {
	defer SetStrict(SetStrict(false))
	conn, upstream := pipe(t)
	defer upstream.Close()
	conn.status = 'T'
	p := stillPool()
	p.conns[1] = conn
	require.Equal(t, dfpool.Stale{Conn: 1}, p.give(dfpool.Give{Waiter: 1, Conn: 1}))
	SetStrict(true)
	require.Panics(t, func() { p.give(dfpool.Give{Waiter: 1, Conn: 1}) })
}

// TestUnreadReplyIsNotFresh puts in the fault of a reply beyond ReadyForQuery,
// which the next caller would get; messages that belong to no request may come.
func TestUnreadReplyIsNotFresh(t *testing.T) {
	conn, upstream := pipe(t)
	defer upstream.Close()
	require.True(t, conn.fresh())
	for _, sent := range []struct {
		messageType byte
		fresh       bool
	}{{'N', true}, {'S', true}, {'D', false}} {
		_, err := upstream.Write(dfframe.Append(nil, sent.messageType, []byte("x")))
		require.NoError(t, err)
		require.NoError(t, conn.reader.Wait())
		require.True(t, conn.Idle())
		require.Equal(t, sent.fresh, conn.fresh(), string(sent.messageType))
	}
}
