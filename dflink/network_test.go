package dflink

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
)

const patience = 20 * time.Second

// echo starts a server that sends back what it gets, at the site "b".
func echo(t *testing.T, n *Network) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	t.Cleanup(n.Close)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	n.Register("b", listener.Addr().String())
	return listener.Addr().String()
}

func dial(t *testing.T, n *Network, address string) net.Conn {
	t.Helper()
	c, err := n.Dialer("a").Dial(context.Background(), "tcp", address)
	require.NoError(t, err)
	require.NoError(t, c.SetDeadline(time.Now().Add(patience)))
	return c
}

// Guards against bytes out of order under jitter and loss, and against a
// delay that lets one chunk at a time through.
func TestDelayKeepsOrderAndThroughput(t *testing.T) {
	n := New(1)
	n.SetDelay("a", "b", Delay{OneWay: 5, Jitter: 5, Loss: 0.01})
	c := dial(t, n, echo(t, n))
	sent := make([]byte, 8<<20)
	for i := range sent {
		sent[i] = byte(i * 7 >> 3)
	}
	go func() {
		for chunk := range slices.Chunk(sent, 16<<10) {
			_, _ = c.Write(chunk)
		}
	}()
	got := make([]byte, len(sent))
	_, err := io.ReadFull(c, got)
	require.NoError(t, err)
	require.True(t, bytes.Equal(sent, got))
}

// Guards against due times that ignore the delay, or that fall and so reorder.
func TestQueueDelaysEachChunk(t *testing.T) {
	q := newQueue(Delay{OneWay: 3, Jitter: 10, Loss: 0.2}, 9, 1)
	before := time.Now()
	for range 100 {
		require.NoError(t, q.push([]byte("x"), nil, nil))
	}
	last := before.Add(3 * time.Millisecond)
	for _, c := range q.chunks {
		require.False(t, c.due.Before(last))
		last = c.due
	}
	require.True(t, last.After(before.Add(retransmission)), "no chunk was lost")
}

// Guards against a partition that lets dials or data through, or that loses
// data which TCP would send again.
func TestPartitionHoldsDataUntilHealed(t *testing.T) {
	n := New(1)
	address := echo(t, n)
	n.SetDialBound(10 * dfclock.Millisecond)
	c := dial(t, n, address)
	n.Partition("b", "a")
	_, err := n.Dialer("a").Dial(context.Background(), "tcp", address)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	_, err = c.Write([]byte("ping"))
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	got := make([]byte, 4)
	_, err = c.Read(got)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	n.Heal("a", "b")
	require.NoError(t, c.SetReadDeadline(time.Now().Add(patience)))
	_, err = io.ReadFull(c, got)
	require.NoError(t, err)
	require.Equal(t, "ping", string(got))
	n.Isolate("b")
	_, err = n.Dialer("c").Dial(context.Background(), "tcp", address)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// Guards against a silent connection that closes or that recovers, and against
// new connections that fail beside it.
func TestSilentConnectionStaysSilent(t *testing.T) {
	n := New(1)
	address := echo(t, n)
	old := dial(t, n, address)
	n.Silence("a", "b")
	n.HealAll()
	_, err := old.Write([]byte("ping"))
	require.NoError(t, err)
	fresh, got := dial(t, n, address), make([]byte, 4)
	_, err = fresh.Write([]byte("pong"))
	require.NoError(t, err)
	_, err = io.ReadFull(fresh, got)
	require.NoError(t, err)
	require.NoError(t, old.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	_, err = old.Read(got)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// Guards against a close that overtakes data, and against an end of stream
// that the reader never sees.
func TestCloseTravelsBehindData(t *testing.T) {
	n := New(1)
	n.SetDefaultDelay(Delay{OneWay: 5})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	n.Register("b", listener.Addr().String())
	c := dial(t, n, listener.Addr().String())
	_, err = c.Write([]byte("last words"))
	require.NoError(t, err)
	require.NoError(t, c.Close())
	peer, err := listener.Accept()
	require.NoError(t, err)
	got, err := io.ReadAll(peer)
	require.NoError(t, err)
	require.Equal(t, "last words", string(got))
	_, err = c.Write([]byte("more"))
	require.ErrorIs(t, err, net.ErrClosed)
}
