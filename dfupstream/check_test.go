package dfupstream

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfframe"
	"dragonflygrade/dfpool"
	"dragonflygrade/dfunit"
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
	p.decision.Handle(0, dfpool.Acquire{Waiter: 1, Deadline: dfclock.Minute})
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
	require.Equal(t, dfpool.Stale{Conn: 1}, p.give(dfpool.Grant{Waiter: 1, Conn: 1}))
	SetStrict(true)
	require.Panics(t, func() { p.give(dfpool.Grant{Waiter: 1, Conn: 1}) })
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

// TestBatchWaitsForCancel guards against a cancel that is still under way when
// the connection goes to the next caller.
func TestBatchWaitsForCancel(t *testing.T) {
	conn, upstream := pipe(t)
	defer upstream.Close()
	conn.cancelling.Lock()
	done := make(chan error, 1)
	go func() { done <- conn.Probe(context.Background()) }()
	require.Eventually(t, func() bool { return conn.Running() != 0 }, 5*time.Second, time.Millisecond)
	_, err := upstream.Write(dfframe.Append(dfframe.Append(nil, 'I', nil), 'Z', []byte("I")))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return conn.Running() == 0 }, 5*time.Second, time.Millisecond)
	select {
	case <-done:
		require.Fail(t, "the batch ended before the cancel")
	case <-time.After(20 * time.Millisecond):
	}
	conn.cancelling.Unlock()
	require.NoError(t, <-done)
}

// TestLateCancelIsDropped guards against a cancel whose batch ended while the
// cancel connection was being opened.
func TestLateCancelIsDropped(t *testing.T) {
	conn, upstream := pipe(t)
	defer upstream.Close()
	conn.secret = []byte{1, 2, 3, 4}
	near, far := net.Pipe()
	conn.config.Dial = func(context.Context, string, string) (net.Conn, error) {
		conn.running.Store(8)
		return near, nil
	}
	conn.running.Store(7)
	go conn.Cancel(context.Background(), 7)
	sent, err := io.ReadAll(far)
	require.NoError(t, err)
	require.Empty(t, sent)
}

// TestLargeBatchBesideReplies guards against both sides writing and none reading.
func TestLargeBatchBesideReplies(t *testing.T) {
	conn, upstream := pipe(t)
	defer upstream.Close()
	const size = 24 << 20
	batch := dfunit.Batch{Messages: []dfunit.Message{{Type: 'Q', Body: []byte(strings.Repeat("x", size) + "\x00")}}}
	go func() {
		notice := dfframe.Append(nil, 'N', make([]byte, 1<<20))
		for range size >> 20 {
			upstream.Write(notice)
		}
		io.CopyN(io.Discard, upstream, size+6)
		upstream.Write(dfframe.Append(dfframe.Append(nil, 'I', nil), 'Z', []byte("I")))
	}()
	ctx, stop := context.WithTimeout(context.Background(), 30*time.Second)
	defer stop()
	result, err := conn.Exchange(ctx, batch, &errorSink{}, Options{})
	require.NoError(t, err)
	require.Equal(t, byte('I'), result.Status)
}
