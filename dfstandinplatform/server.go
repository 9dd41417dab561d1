package dfstandinplatform

import (
	"context"
	"errors"
	"net"
	"strconv"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"dragonflygrade/dfplatform"
	"dragonflygrade/dfproto"
	"dragonflygrade/dfrevision"
)

// Server offers a store over gRPC.
type Server struct {
	dfproto.UnimplementedPlatformServer
	store    *Store
	server   *grpc.Server
	listener net.Listener
}

// Serve starts a server on "ip:port"; port 0 takes a free one.
func Serve(store *Store, address string) (*Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "platform: listen on %s", address)
	}
	s := &Server{store: store, server: grpc.NewServer(grpc.UnaryInterceptor(addEra(store))), listener: listener}
	dfproto.RegisterPlatformServer(s.server, s)
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// addEra adds the era of the store to the header of each answer. Calls during a
// restore get no answer.
func addEra(store *Store) grpc.UnaryServerInterceptor {
	return func(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
		era := store.Era()
		reply, err := handler(ctx, request)
		if store.Era() != era {
			return nil, status.Error(codes.Unavailable, "the store came back from an older copy")
		}
		if headerErr := grpc.SetHeader(ctx, metadata.Pairs(dfproto.HeaderEra, strconv.FormatUint(era, 10))); headerErr != nil {
			return nil, status.Error(codes.Internal, headerErr.Error())
		}
		return reply, err
	}
}

// Address returns "ip:port".
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Stop closes the listener and all connections.
func (s *Server) Stop() {
	s.server.Stop()
}

// answer maps an error of the store to a gRPC status.
func answer(err error) error {
	if err == nil {
		return nil
	}
	code := codes.Internal
	switch {
	case errors.Is(err, dfplatform.ErrNotFound):
		code = codes.NotFound
	case errors.Is(err, dfplatform.ErrConflict):
		code = codes.FailedPrecondition
	case errors.Is(err, dfplatform.ErrRefused):
		code = codes.ResourceExhausted
	case errors.Is(err, dfplatform.ErrUnavailable):
		code = codes.Unavailable
	case errors.Is(err, ErrInvalid):
		code = codes.InvalidArgument
	}
	return status.Error(code, err.Error())
}

func wireRow(row dfplatform.Row) *dfproto.Row {
	return &dfproto.Row{Key: row.Key, Value: row.Value, Version: row.Version.Version(), Attempt: row.Attempt}
}

// GetRow returns one row.
func (s *Server) GetRow(ctx context.Context, request *dfproto.GetRowRequest) (*dfproto.GetRowReply, error) {
	row, err := s.store.Get(ctx, request.GetKey())
	if err != nil {
		return nil, answer(err)
	}
	return &dfproto.GetRowReply{Row: wireRow(row)}, nil
}

// ListRows returns the rows with a prefix.
func (s *Server) ListRows(ctx context.Context, request *dfproto.ListRowsRequest) (*dfproto.ListRowsReply, error) {
	rows, err := s.store.List(ctx, request.GetPrefix())
	if err != nil {
		return nil, answer(err)
	}
	reply := &dfproto.ListRowsReply{}
	for _, row := range rows {
		reply.Rows = append(reply.Rows, wireRow(row))
	}
	return reply, nil
}

// Commit applies all writes or none.
func (s *Server) Commit(ctx context.Context, request *dfproto.CommitRequest) (*dfproto.CommitReply, error) {
	var writes []dfplatform.Write
	era := s.store.Era()
	for _, write := range request.GetWrites() {
		ifVersion, err := dfrevision.New(era, write.GetIfVersion())
		if err != nil {
			return nil, status.Error(codes.InvalidArgument, err.Error())
		}
		if write.GetIfVersion() == 0 {
			ifVersion = 0
		}
		writes = append(writes, dfplatform.Write{Key: write.GetKey(), IfVersion: ifVersion,
			Unconditional: write.GetUnconditional(), Value: write.GetValue(), Delete: write.GetDelete()})
	}
	if err := s.store.Commit(ctx, request.GetAttempt(), writes...); err != nil {
		return nil, answer(err)
	}
	return &dfproto.CommitReply{}, nil
}

// PutObject stores an object.
func (s *Server) PutObject(ctx context.Context, request *dfproto.PutObjectRequest) (*dfproto.PutObjectReply, error) {
	if err := s.store.Put(ctx, request.GetName(), request.GetData()); err != nil {
		return nil, answer(err)
	}
	return &dfproto.PutObjectReply{}, nil
}

// FetchObject returns an object.
func (s *Server) FetchObject(ctx context.Context, request *dfproto.FetchObjectRequest) (*dfproto.FetchObjectReply, error) {
	data, err := s.store.Fetch(ctx, request.GetName())
	if err != nil {
		return nil, answer(err)
	}
	return &dfproto.FetchObjectReply{Data: data}, nil
}

// ListObjects returns the names with a prefix.
func (s *Server) ListObjects(ctx context.Context, request *dfproto.ListObjectsRequest) (*dfproto.ListObjectsReply, error) {
	names, err := s.store.Names(ctx, request.GetPrefix())
	if err != nil {
		return nil, answer(err)
	}
	return &dfproto.ListObjectsReply{Names: names}, nil
}

// ListMembers returns the host list, which lags.
func (s *Server) ListMembers(ctx context.Context, _ *dfproto.ListMembersRequest) (*dfproto.ListMembersReply, error) {
	members, err := s.store.Members(ctx)
	if err != nil {
		return nil, answer(err)
	}
	reply := &dfproto.ListMembersReply{}
	for _, member := range members {
		reply.Members = append(reply.Members, &dfproto.Member{ID: member.ID, Kind: string(member.Kind),
			DataCentre: member.DataCentre, Address: member.Address, Leaving: member.Leaving})
	}
	return reply, nil
}

// KindFault marks a member whose identity is a fault command, so that another
// process can put faults in force.
const KindFault = "fault"

// SetMember changes the host list, or the faults in force.
func (s *Server) SetMember(_ context.Context, request *dfproto.SetMemberRequest) (*dfproto.SetMemberReply, error) {
	member := request.GetMember()
	if member.GetKind() == KindFault {
		return &dfproto.SetMemberReply{}, answer(s.store.Fault(member.GetID()))
	}
	s.store.SetMember(dfplatform.Member{ID: member.GetID(), Kind: dfplatform.MemberKind(member.GetKind()),
		DataCentre: member.GetDataCentre(), Address: member.GetAddress(), Leaving: member.GetLeaving()}, request.GetRemove())
	return &dfproto.SetMemberReply{}, nil
}
