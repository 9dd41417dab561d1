package dfremote

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"dragonflygrade/dfplatform"
	"dragonflygrade/dfproto"
	"dragonflygrade/dfstandinplatform"
)

// server answers each call with one status, or with fixed values.
type server struct {
	dfproto.UnimplementedPlatformServer
	code   codes.Code
	commit *dfproto.CommitRequest
}

func (s *server) fault() error {
	if s.code == codes.OK {
		return nil
	}
	return status.Error(s.code, "as the test asks")
}

func (s *server) GetRow(context.Context, *dfproto.GetRowRequest) (*dfproto.GetRowReply, error) {
	return &dfproto.GetRowReply{Row: &dfproto.Row{Key: "k", Value: []byte("v"), Version: 3, Attempt: "a"}}, s.fault()
}

func (s *server) ListRows(context.Context, *dfproto.ListRowsRequest) (*dfproto.ListRowsReply, error) {
	return &dfproto.ListRowsReply{Rows: []*dfproto.Row{{Key: "k"}, {Key: "l"}}}, s.fault()
}

func (s *server) Commit(_ context.Context, request *dfproto.CommitRequest) (*dfproto.CommitReply, error) {
	s.commit = request
	return &dfproto.CommitReply{}, s.fault()
}

func (s *server) PutObject(context.Context, *dfproto.PutObjectRequest) (*dfproto.PutObjectReply, error) {
	return &dfproto.PutObjectReply{}, s.fault()
}

func (s *server) FetchObject(context.Context, *dfproto.FetchObjectRequest) (*dfproto.FetchObjectReply, error) {
	return &dfproto.FetchObjectReply{Data: []byte("object")}, s.fault()
}

func (s *server) ListObjects(context.Context, *dfproto.ListObjectsRequest) (*dfproto.ListObjectsReply, error) {
	return &dfproto.ListObjectsReply{Names: []string{"a", "b"}}, s.fault()
}

func (s *server) ListMembers(context.Context, *dfproto.ListMembersRequest) (*dfproto.ListMembersReply, error) {
	return &dfproto.ListMembersReply{Members: []*dfproto.Member{{ID: "h", Kind: "host", Leaving: true}}}, s.fault()
}

func (s *server) SetMember(context.Context, *dfproto.SetMemberRequest) (*dfproto.SetMemberReply, error) {
	return &dfproto.SetMemberReply{}, s.fault()
}

// dial returns a client of a server on a loopback address.
func dial(t *testing.T, fake *server) *Client {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	serving := grpc.NewServer()
	dfproto.RegisterPlatformServer(serving, fake)
	go func() { _ = serving.Serve(listener) }()
	t.Cleanup(serving.Stop)
	client, err := Dial(Options{Address: listener.Addr().String(), CallTimeout: 10_000})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, client.Close()) })
	return client
}

// calls returns one call of each method.
func calls(client *Client) map[string]func() error {
	ctx := context.Background()
	return map[string]func() error{
		"Get":       func() error { _, err := client.Get(ctx, "k"); return err },
		"List":      func() error { _, err := client.List(ctx, "k"); return err },
		"Commit":    func() error { return client.Commit(ctx, "a") },
		"Put":       func() error { return client.Put(ctx, "n", nil) },
		"Fetch":     func() error { _, err := client.Fetch(ctx, "n"); return err },
		"Names":     func() error { _, err := client.Names(ctx, "n"); return err },
		"Members":   func() error { _, err := client.Members(ctx); return err },
		"SetMember": func() error { return client.SetMember(ctx, dfplatform.Member{}, true) },
	}
}

// TestStatuses guards against a status that is taken for proof that nothing
// changed although it is none.
func TestStatuses(t *testing.T) {
	wants := map[codes.Code]error{
		codes.NotFound:           dfplatform.ErrNotFound,
		codes.FailedPrecondition: dfplatform.ErrConflict,
		codes.ResourceExhausted:  dfplatform.ErrRefused,
		codes.Unavailable:        dfplatform.ErrUnavailable,
		codes.DeadlineExceeded:   dfplatform.ErrUnavailable,
		codes.Internal:           dfplatform.ErrUnavailable,
		codes.Aborted:            dfplatform.ErrUnavailable,
	}
	fake := &server{}
	client := dial(t, fake)
	for code, want := range wants {
		fake.code = code
		for name, call := range calls(client) {
			require.ErrorIs(t, call(), want, "%s with %s", name, code)
		}
	}
	fake.code = codes.OK
	for name, call := range calls(client) {
		require.NoError(t, call(), name)
	}
}

// TestFields guards against fields lost on the way.
func TestFields(t *testing.T) {
	ctx, fake := context.Background(), &server{}
	client := dial(t, fake)
	row, err := client.Get(ctx, "k")
	require.NoError(t, err)
	require.Equal(t, dfplatform.Row{Key: "k", Value: []byte("v"), Version: 3, Attempt: "a"}, row)
	rows, err := client.List(ctx, "")
	require.NoError(t, err)
	require.Len(t, rows, 2)
	members, err := client.Members(ctx)
	require.NoError(t, err)
	require.Equal(t, []dfplatform.Member{{ID: "h", Kind: dfplatform.KindHost, Leaving: true}}, members)
	require.NoError(t, client.Commit(ctx, "a", dfplatform.Write{Key: "k", IfVersion: 3, Value: []byte("w")}))
	require.Equal(t, "a", fake.commit.GetAttempt())
	require.Equal(t, uint64(3), fake.commit.GetWrites()[0].GetIfVersion())
	require.NoError(t, client.Commit(ctx, "b", dfplatform.Write{Key: "k", Unconditional: true, Delete: true}))
	require.True(t, fake.commit.GetWrites()[0].GetUnconditional() && fake.commit.GetWrites()[0].GetDelete())
}

// TestUnreachable guards against a platform that is down being taken for a refusal.
func TestUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	client, err := Dial(Options{Address: listener.Addr().String(), CallTimeout: 300})
	require.NoError(t, err)
	for name, call := range calls(client) {
		require.ErrorIs(t, call(), dfplatform.ErrUnavailable, name)
	}
	require.NoError(t, client.Close())
}

// Guards against a client that takes rows from before and after a restore for the same
// history, because the era does not reach it.
func TestErasReachTheClient(t *testing.T) {
	ctx, store := context.Background(), dfstandinplatform.NewStore(dfstandinplatform.Options{})
	server, err := dfstandinplatform.Serve(store, "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(server.Stop)
	client, err := Dial(Options{Address: server.Address()})
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	older := store.TakeCopy()
	write := dfplatform.Write{Key: "k", Value: []byte("v")}
	require.NoError(t, client.Commit(ctx, "a", write))
	before, err := client.Get(ctx, "k")
	require.NoError(t, err)
	store.Restore(older)
	require.NoError(t, store.Commit(ctx, "b", write))
	write.IfVersion = before.Version
	require.ErrorIs(t, client.Commit(ctx, "c", write), dfplatform.ErrUnavailable, "the first call after the restore")
	require.ErrorIs(t, client.Commit(ctx, "d", write), dfplatform.ErrConflict)
	rows, err := client.List(ctx, "k")
	require.NoError(t, err)
	require.Len(t, rows, 1)
	require.Greater(t, rows[0].Version, before.Version)
	require.Equal(t, store.Era(), client.Era())
}
