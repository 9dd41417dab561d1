package dfconnection

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// connectedPair returns both ends of a TCP connection.
func connectedPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	far, err = net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	near, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return near, far
}

// Guards against callers that leave unnoticed behind unread data, against callers that
// count as gone because they sent their next statement, and against a connection that
// cannot be read after it was watched.
func TestWatchedConnection(t *testing.T) {
	for _, play := range []struct {
		name  string
		watch func(net.Conn) (context.Context, func())
		act   func(far net.Conn)
		ends  bool
	}{
		{"closed", UntilClosed, func(far net.Conn) { _ = far.Close() }, true},
		{"sends and closes", UntilClosed, func(far net.Conn) {
			_, _ = far.Write([]byte("next"))
			time.Sleep(10 * time.Millisecond)
			_ = far.Close()
		}, true},
		{"resets", UntilClosed, func(far net.Conn) {
			if conn, ok := far.(*net.TCPConn); ok {
				_ = conn.SetLinger(0)
			}
			_ = far.Close()
		}, true},
		{"sends", UntilClosed, func(far net.Conn) { _, _ = far.Write([]byte("next")) }, false},
		{"message", UntilMessage, func(far net.Conn) { _, _ = far.Write([]byte("next")) }, true},
		{"closed instead of a message", UntilMessage, func(far net.Conn) { _ = far.Close() }, true},
	} {
		t.Run(play.name, func(t *testing.T) {
			near, far := connectedPair(t)
			ctx, stop := play.watch(near)
			time.Sleep(10 * time.Millisecond)
			require.NoError(t, ctx.Err())
			play.act(far)
			if play.ends {
				select {
				case <-ctx.Done():
				case <-time.After(time.Second):
					require.Fail(t, "the peer's leaving is not noticed")
				}
			} else {
				time.Sleep(50 * time.Millisecond)
				require.NoError(t, ctx.Err())
			}
			stop()
			if !play.ends {
				buf := make([]byte, 4)
				_, err := near.Read(buf)
				require.NoError(t, err)
				require.Equal(t, "next", string(buf))
			}
		})
	}
}
