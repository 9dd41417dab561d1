package dfpeer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfunit"
)

// drainHandler opens units that answer nothing but their end.
type drainHandler struct {
	Handler
	block chan struct{}
}

func (h *drainHandler) OpenRelayed(context.Context, dfunit.Request, uint64) (dfunit.Unit, error) {
	return &drainUnit{block: h.block}, nil
}

type drainUnit struct{ block chan struct{} }

func (u *drainUnit) Exchange(context.Context, dfunit.Batch, dfunit.Sink) (dfunit.Result, error) {
	<-u.block
	return dfunit.Result{Status: 'I'}, nil
}

func (u *drainUnit) Cancel() {}
func (u *drainUnit) Close()  {}

// discard drops answers.
type discard struct{}

func (discard) Send(byte, []byte) error { return nil }

func clock() dfclock.Millis { return 1 }

// newRelay returns a server and a forwarder to it.
func newRelay(t *testing.T, block chan struct{}) (*Server, *Forwarder) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // a test
	require.NoError(t, err)
	server := NewServer(&drainHandler{block: block}, clock, nil)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	directory := NewDirectory(nil, nil)
	t.Cleanup(directory.Close)
	peer, err := directory.Peer(listener.Addr().String())
	require.NoError(t, err)
	return server, NewForwarder(peer, 1, clock)
}

func exchange(t *testing.T, forwarder *Forwarder) (dfunit.Unit, error) {
	t.Helper()
	unit, err := forwarder.Open(context.Background(), dfunit.Request{Class: dfunit.ClassWrite})
	require.NoError(t, err)
	_, err = unit.Exchange(context.Background(), dfunit.Batch{}, discard{})
	return unit, err
}

// TestDrainedStream guards against an unknown outcome for a unit that a stopping
// host never handled, and against "not run" for one that it did handle.
func TestDrainedStream(t *testing.T) {
	open := make(chan struct{})
	close(open)
	server, forwarder := newRelay(t, open)
	unit, err := exchange(t, forwarder)
	require.NoError(t, err)
	unit.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	server.Drain(ctx)
	require.NoError(t, ctx.Err(), "idle streams do not hold the drain up")
	_, err = exchange(t, forwarder)
	var failure *dfresult.Error
	require.ErrorAs(t, err, &failure)
	require.Equal(t, dfresult.NotRun, failure.Code.Outcome(), "%v", failure)
}

// TestStoppedStream guards against "not run" for a unit that was handled when
// the host stopped without an end of the unit.
func TestStoppedStream(t *testing.T) {
	block := make(chan struct{})
	server, forwarder := newRelay(t, block)
	go func() {
		time.Sleep(50 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		server.Drain(ctx)
		close(block)
		server.Stop()
	}()
	_, err := exchange(t, forwarder)
	var failure *dfresult.Error
	if err != nil {
		require.ErrorAs(t, err, &failure)
		require.Equal(t, dfresult.Unknown, failure.Code.Outcome(), "%v", failure)
	}
}
