package dfupstream_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfpool"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfunit"
	"dragonflygrade/dfupstream"
)

func startPool(t *testing.T, change func(*dfupstream.PoolConfig)) (*dfupstream.Pool, *fakeUpstream) {
	fake := newFake(t)
	config := dfupstream.PoolConfig{
		Now:  now,
		Pool: dfpool.Config{Limit: 2},
		Conn: dfupstream.Config{Dial: dial, Address: fake.listener.Addr().String(), User: "user"},
	}
	if change != nil {
		change(&config)
	}
	pool := dfupstream.NewPool(config)
	t.Cleanup(pool.Close)
	return pool, fake
}

func get(t *testing.T, pool *dfupstream.Pool) *dfupstream.Conn {
	conn, err := pool.Get(context.Background(), now().Add(5*dfclock.Second), 0)
	require.NoError(t, err)
	return conn
}

func query(conn *dfupstream.Conn, ctx context.Context, sql string) error { //nolint:revive // helper
	batch := dfunit.Batch{Messages: []dfunit.Message{{Type: 'Q', Body: []byte(sql + "\x00")}}}
	_, err := conn.Exchange(ctx, batch, discard{}, dfupstream.Options{})
	return err
}

type discard struct{}

func (discard) Send(byte, []byte) error { return nil }

func requireCode(t *testing.T, want dfresult.Code, err error) {
	var failure *dfresult.Error
	require.ErrorAs(t, err, &failure)
	require.Equal(t, want, failure.Code)
}

// TestDoublePutClosesConnection puts in the fault of a connection that is given
// back twice; in production the check closes it and counts.
func TestDoublePutClosesConnection(t *testing.T) {
	defer dfupstream.SetStrict(dfupstream.SetStrict(false))
	failures := metrics.GetOrCreateCounter(`dragonflygrade_invariant_failures_total{part="upstream"}`)
	before := failures.Get()
	pool, _ := startPool(t, nil)
	conn := get(t, pool)
	pool.Put(conn)
	pool.Put(conn)
	require.Zero(t, pool.Stats().Total())
	require.Equal(t, before+1, failures.Get())
	require.True(t, conn.Broken())
}

// TestPutInsideTransaction guards against a connection in a transaction that
// the next caller gets.
func TestPutInsideTransaction(t *testing.T) {
	pool, fake := startPool(t, nil)
	conn := get(t, pool)
	require.NoError(t, query(conn, context.Background(), "begin"))
	pool.Put(conn)
	next := get(t, pool)
	require.NotSame(t, conn, next)
	require.True(t, conn.Broken())
	require.Equal(t, byte('I'), next.Status())
	require.Equal(t, int32(2), fake.opened.Load())
}

// TestResetBeforeReuse guards against settings of one caller that another
// caller gets.
func TestResetBeforeReuse(t *testing.T) {
	classify := func(sql string) dfupstream.State {
		switch {
		case strings.HasPrefix(sql, "set"):
			return dfupstream.Reset
		case strings.HasPrefix(sql, "listen"):
			return dfupstream.Pin
		}
		return dfupstream.None
	}
	pool, _ := startPool(t, func(c *dfupstream.PoolConfig) { c.Conn.Classify = classify; c.Pool.Limit = 1 })
	conn := get(t, pool)
	require.NoError(t, query(conn, context.Background(), "set x"))
	require.Equal(t, dfupstream.Reset, conn.State())
	require.NoError(t, query(conn, context.Background(), "listen"))
	require.Equal(t, dfupstream.Pin, conn.State())
	pool.Put(conn)
	next := get(t, pool)
	require.Same(t, conn, next)
	require.Equal(t, dfupstream.None, next.State())
}

// TestGivenUpGet guards against connections that are lost with a caller that
// stopped waiting.
func TestGivenUpGet(t *testing.T) {
	pool, _ := startPool(t, func(c *dfupstream.PoolConfig) { c.Pool.Limit = 1 })
	conn := get(t, pool)
	ctx, stop := context.WithCancel(context.Background())
	stop()
	for range 50 {
		_, err := pool.Get(ctx, now().Add(dfclock.Minute), 0)
		requireCode(t, dfresult.NoConnection, err)
	}
	pool.Put(conn)
	pool.Put(get(t, pool))
	require.Equal(t, 1, pool.Stats().Total())
	pool.SetLimit(0)
	_, err := pool.Get(context.Background(), now().Add(dfclock.Minute), 0)
	requireCode(t, dfresult.NoConnection, err)
}

// TestTerminationIsReported guards against a host that keeps its slot after the
// taker's administrator ended its connections.
func TestTerminationIsReported(t *testing.T) {
	reported := make(chan bool, 8)
	pool, fake := startPool(t, func(c *dfupstream.PoolConfig) {
		c.OnTerminated = func() { reported <- true }
		c.Pool.MaxBackoff = 20
	})
	pool.Put(get(t, pool))
	fake.closeAll()
	require.Eventually(t, func() bool { return fake.open.Load() == 0 }, 5*time.Second, time.Millisecond)
	require.NoError(t, query(get(t, pool), context.Background(), "select after"))
	require.True(t, <-reported)
}

// TestFullRing guards against requests that queue without bound while the
// pool's goroutine is busy.
func TestFullRing(t *testing.T) {
	blocked := make(chan struct{})
	blocking := func() dfclock.Millis { <-blocked; return now() }
	pool, _ := startPool(t, func(c *dfupstream.PoolConfig) { c.Ring = 1; c.Now = blocking })
	done := make(chan error, 2)
	for range 2 {
		go func() {
			_, err := pool.Get(context.Background(), now().Add(5*dfclock.Second), 0)
			done <- err
		}()
	}
	requireCode(t, dfresult.QueueFull, <-done)
	close(blocked)
	require.NoError(t, <-done)
}

// TestDeadlineOfWaiter guards against waiters kept beyond their deadline.
func TestDeadlineOfWaiter(t *testing.T) {
	pool, _ := startPool(t, func(c *dfupstream.PoolConfig) { c.Pool.Limit = 1 })
	get(t, pool)
	_, err := pool.Get(context.Background(), now().Add(20), 0)
	requireCode(t, dfresult.NoConnection, err)
}

// TestSilentUpstream guards against requests without end and against the reuse
// of connections that share a silent path.
func TestSilentUpstream(t *testing.T) {
	pool, fake := startPool(t, func(c *dfupstream.PoolConfig) { c.ProbeTimeout = 5 * dfclock.Second })
	older, silent := get(t, pool), get(t, pool)
	pool.Put(older)
	ctx, stop := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer stop()
	requireCode(t, dfresult.ConnectionLost, query(silent, ctx, "select sleep"))
	pool.Put(silent)
	stats := pool.Stats()
	require.Equal(t, []int{1, 1}, []int{stats.Total(), stats.Suspect})
	conn := get(t, pool)
	require.NoError(t, query(conn, context.Background(), "select after"))
	require.LessOrEqual(t, fake.opened.Load(), int32(3))
}

// TestCancelAfterEnd guards against a cancel that hits the next request on the
// connection.
func TestCancelAfterEnd(t *testing.T) {
	pool, _ := startPool(t, nil)
	conn := get(t, pool)
	done := make(chan error, 1)
	go func() { done <- query(conn, context.Background(), "select sleep") }()
	require.Eventually(t, func() bool { return conn.Running() != 0 }, 5*time.Second, time.Millisecond)
	batch := conn.Running()
	require.NoError(t, conn.Cancel(context.Background(), batch))
	require.NoError(t, <-done)
	require.NoError(t, conn.Cancel(context.Background(), batch))
	require.Zero(t, conn.Running())
	require.NoError(t, query(conn, context.Background(), "select after"))
	require.False(t, conn.Broken())
}

// TestRefusingUpstream guards against waiters without hope at an upstream that
// refuses connections.
func TestRefusingUpstream(t *testing.T) {
	pool, fake := startPool(t, func(c *dfupstream.PoolConfig) { c.Pool.InitialBackoff = 500 })
	fake.listener.Close()
	_, err := pool.Get(context.Background(), now().Add(100), 0)
	requireCode(t, dfresult.NoConnection, err)
}

// TestUnreachableUpstream guards against openings without end.
func TestUnreachableUpstream(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		stream, err := listener.Accept()
		if err == nil {
			io.Copy(io.Discard, stream)
		}
	}()
	ctx, stop := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer stop()
	_, err = dfupstream.Open(ctx, dfupstream.Config{Dial: dial, Address: listener.Addr().String(), User: "user"})
	requireCode(t, dfresult.UpstreamRefused, err)
}
