// Package dfpeer carries the calls between hosts: units that are forwarded to
// slot holders, position leases and notifications, and configuration.
package dfpeer

import (
	"context"
	"net"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfproto"
	"dragonflygrade/dfunit"
)

// Handler answers the calls of peers. Its methods are called concurrently.
type Handler interface {
	// OpenRelayed opens a unit for a caller of another host. The epoch is that
	// of the slot which the other host believes this host to hold.
	OpenRelayed(ctx context.Context, request dfunit.Request, epoch uint64) (dfunit.Unit, error)
	Lease(request *dfproto.LeaseRequest) *dfproto.LeaseReply
	Notify(request *dfproto.NotifyRequest) *dfproto.NotifyReply
	Positions(request *dfproto.PositionsRequest) *dfproto.PositionsReply
	Configuration(request *dfproto.ConfigurationRequest) *dfproto.ConfigurationReply
	Announce(request *dfproto.AnnounceRequest) *dfproto.AnnounceReply
	Slots() *dfproto.SlotsReply
	CancelCaller(request *dfproto.CancelRequest) *dfproto.CancelReply
}

// Server serves the peer protocol.
type Server struct {
	dfproto.UnimplementedPeerServer
	handler Handler
	now     func() dfclock.Millis
	server  *grpc.Server
	// draining is closed when relay streams have to end.
	draining chan struct{}
	drain    sync.Once
}

// NewServer returns a server. Without credentials connections are not encrypted.
func NewServer(handler Handler, now func() dfclock.Millis, transport credentials.TransportCredentials) *Server {
	if transport == nil {
		transport = insecure.NewCredentials()
	}
	s := &Server{handler: handler, now: now, draining: make(chan struct{})}
	s.server = grpc.NewServer(
		grpc.Creds(transport),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minKeepaliveInterval, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
	)
	dfproto.RegisterPeerServer(s.server, s)
	return s
}

// Serve accepts peers until Stop.
func (s *Server) Serve(listener net.Listener) error {
	return s.server.Serve(listener)
}

// Drain ends the relay streams once their units have ended, and tells the other
// side of each which unit was the last, so that it knows what did not run.
func (s *Server) Drain(ctx context.Context) {
	s.drain.Do(func() { close(s.draining) })
	done := make(chan struct{})
	go func() {
		s.server.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Stop closes the listener and all connections.
func (s *Server) Stop() {
	s.server.Stop()
}

// Relay serves one stream of units.
func (s *Server) Relay(stream grpc.BidiStreamingServer[dfproto.RelayRequest, dfproto.RelayReply]) error {
	session := &relaySession{
		handler:  s.handler,
		stream:   stream,
		now:      s.now,
		requests: make(chan *dfproto.RelayRequest, requestRing),
		cancels:  make(chan uint64, 1),
		draining: s.draining,
	}
	return session.serve()
}

// Lease renews position leases.
func (s *Server) Lease(_ context.Context, request *dfproto.LeaseRequest) (*dfproto.LeaseReply, error) {
	return s.handler.Lease(request), nil
}

// Notify records positions of callers.
func (s *Server) Notify(_ context.Context, request *dfproto.NotifyRequest) (*dfproto.NotifyReply, error) {
	return s.handler.Notify(request), nil
}

// Positions tells the known position of a caller.
func (s *Server) Positions(_ context.Context, request *dfproto.PositionsRequest) (*dfproto.PositionsReply, error) {
	return s.handler.Positions(request), nil
}

// Configuration returns what the sender lacks.
func (s *Server) Configuration(_ context.Context, request *dfproto.ConfigurationRequest) (*dfproto.ConfigurationReply, error) {
	return s.handler.Configuration(request), nil
}

// Announce takes note of a newer version.
func (s *Server) Announce(_ context.Context, request *dfproto.AnnounceRequest) (*dfproto.AnnounceReply, error) {
	return s.handler.Announce(request), nil
}

// Slots returns the known slot rows.
func (s *Server) Slots(context.Context, *dfproto.SlotsRequest) (*dfproto.SlotsReply, error) {
	return s.handler.Slots(), nil
}

// Cancel cancels the running statement of a caller of this host.
func (s *Server) Cancel(_ context.Context, request *dfproto.CancelRequest) (*dfproto.CancelReply, error) {
	return s.handler.CancelCaller(request), nil
}
