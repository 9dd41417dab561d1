package dfforward

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfconnection"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfstatement"
)

// exchanged is the result of an exchange.
type exchanged struct {
	sent bool
	err  error
}

// startWrite sends a write through the carrier.
func startWrite(conn *Conn, item string) chan exchanged {
	result := make(chan exchanged, 1)
	go func() {
		_, sent, err := conn.Exchange(nil, inOneSecond(), newCall(dfstatement.Write{Item: item}))
		result <- exchanged{sent, err}
	}()
	return result
}

// Guards against a statement that keeps its place at the carrier after its caller has
// left, or runs later, and against a cancellation that costs a connection.
func TestCallerLeavesBeforeItsStatementIsSent(t *testing.T) {
	for _, step := range []struct {
		name           string
		admissionLimit int
		// dies is true if the client closes its connection instead.
		dies bool
	}{
		{"queued at the carrier", 1, false},
		{"waiting for a connection", 0, false},
		{"queued, and its host dies", 1, true},
		{"waiting for a connection, and its host dies", 0, true},
	} {
		t.Run(step.name, func(t *testing.T) {
			h, client := newFakeHost(t)
			h.pool.SetAdmissionLimit(step.admissionLimit, false)
			held, err := h.pool.Acquire(context.Background(), "", 0, now()+1000)
			require.NoError(t, err)
			dialed, dial := make(chan net.Conn, 2), client.dial
			client.dial = func(ctx context.Context, address string) (net.Conn, error) {
				conn, err := dial(ctx, address)
				dialed <- conn
				return conn, err
			}
			caller, leave := context.WithCancel(context.Background())
			conn := client.Conn(caller, "u", "", 0, 900)
			left := startWrite(conn, "left")
			time.Sleep(50 * time.Millisecond)
			startedAt := time.Now()
			if step.dies {
				_ = (<-dialed).Close()
			} else {
				leave()
			}
			result := <-left
			require.Less(t, time.Since(startedAt), 300*time.Millisecond)
			require.Error(t, result.err)
			if !step.dies {
				require.False(t, result.sent)
				require.True(t, dfresult.HasCode(result.err, dfresult.CallerLeft), result.err)
				conn.Release(true)
			}
			leave()
			require.Eventually(t, func() bool { return h.pool.Stats().Waiting == 0 }, 300*time.Millisecond, time.Millisecond)

			stays := client.Conn(context.Background(), "u", "", 0, 900)
			other := startWrite(stays, "stays")
			time.Sleep(20 * time.Millisecond)
			h.pool.Release(held, true)
			require.NoError(t, (<-other).err)
			stays.Release(true)
			h.mu.Lock()
			defer h.mu.Unlock()
			if !step.dies {
				require.Len(t, h.conns, 1, "connections to the carrier")
			}
			require.Len(t, h.transports, 1, "connections to the upstream")
			require.Equal(t, []dfstatement.Statement{dfstatement.Write{Item: "stays"}}, h.transports[0].ran)
		})
	}
}

// Guards against a statement that is reported as not run although it was sent, and
// against its late cancellation that ends the next request on the same connection.
func TestCallerLeavesAfterItsStatementWasSent(t *testing.T) {
	h, client := newFakeHost(t)
	warmUp := client.Conn(context.Background(), "u", "", 0, 900)
	require.NoError(t, (<-startWrite(warmUp, "first")).err)
	warmUp.Release(true)
	transport, held := h.transports[0], make(chan struct{})
	transport.mu.Lock()
	transport.held = held
	transport.mu.Unlock()
	caller, leave := context.WithCancel(context.Background())
	conn := client.Conn(caller, "u", "", 0, 900)
	left := startWrite(conn, "sent")
	time.Sleep(50 * time.Millisecond)
	leave()
	time.Sleep(20 * time.Millisecond)
	close(held)
	result := <-left
	require.NoError(t, result.err)
	require.True(t, result.sent)
	conn.Release(true)
	for range 3 {
		next := client.Conn(context.Background(), "u", "", 0, 900)
		_, _, err := next.Exchange(dfconnection.NewSessionState(), inOneSecond(), newCall(dfstatement.Read{Item: "x"}))
		require.NoError(t, err)
		next.Release(true)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	require.Len(t, h.conns, 1, "connections to the carrier")
}
