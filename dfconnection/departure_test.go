package dfconnection

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against callers that leave unnoticed behind unread data, against callers that
// count as gone because they sent their next statement, and against a connection that
// cannot be read after it was watched.
func TestWatchedConnection(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	for _, play := range []struct {
		name          string
		watch         func(net.Conn) (context.Context, func())
		sends, closes bool
	}{
		{"closed", UntilClosed, false, true},
		{"resets", UntilClosed, false, true},
		{"sends and closes", UntilClosed, true, true},
		{"sends", UntilClosed, true, false},
		{"message", UntilMessage, true, false},
		{"closed instead of a message", UntilMessage, false, true},
	} {
		t.Run(play.name, func(t *testing.T) {
			far, err := net.Dial("tcp4", listener.Addr().String())
			require.NoError(t, err)
			defer func() { _ = far.Close() }()
			near, err := listener.Accept()
			require.NoError(t, err)
			defer func() { _ = near.Close() }()
			ctx, stop := play.watch(near)
			if play.sends {
				_, err = far.Write([]byte("next"))
				require.NoError(t, err)
			}
			time.Sleep(20 * time.Millisecond)
			require.Equal(t, play.name == "message", ctx.Err() != nil)
			if play.closes {
				if tcp, ok := far.(*net.TCPConn); ok && play.name == "resets" {
					require.NoError(t, tcp.SetLinger(0))
				}
				_ = far.Close()
				require.Eventually(t, func() bool { return ctx.Err() != nil }, time.Second, time.Millisecond)
			}
			stop()
			if play.sends {
				buf := make([]byte, 4)
				_, err = near.Read(buf)
				require.NoError(t, err)
				require.Equal(t, "next", string(buf))
			}
		})
	}
}

// Guards against a pooled connection that is used again although the kernel reports an
// error for it, such as an unreachable peer.
func TestErrorsCountAsClosed(t *testing.T) {
	require.True(t, readable(-1))
}
