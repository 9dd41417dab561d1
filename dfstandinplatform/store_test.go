package dfstandinplatform

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfplatform"
	"dragonflygrade/dfproto"
)

// Guards against commits that apply in part or against a condition.
func TestCommitIsConditionalAndWhole(t *testing.T) {
	ctx, s := context.Background(), NewStore(Options{})
	require.NoError(t, s.Commit(ctx, "a1", dfplatform.Write{Key: "x", Value: []byte("1")}))
	row, err := s.Get(ctx, "x")
	require.NoError(t, err)
	err = s.Commit(ctx, "a2", dfplatform.Write{Key: "y", Unconditional: true}, dfplatform.Write{Key: "x", Value: []byte("2")})
	require.ErrorIs(t, err, dfplatform.ErrConflict)
	_, err = s.Get(ctx, "y")
	require.ErrorIs(t, err, dfplatform.ErrNotFound)
	require.NoError(t, s.Commit(ctx, "a3", dfplatform.Write{Key: "x", IfVersion: row.Version, Delete: true}))
	require.NoError(t, s.Commit(ctx, "a4", dfplatform.Write{Key: "x", Value: []byte("3")}))
	err = s.Commit(ctx, "a5", dfplatform.Write{Key: "x", IfVersion: row.Version})
	require.ErrorIs(t, err, dfplatform.ErrConflict, "a row made anew must not take its former version")
}

// Guards against a lost answer whose effect is missing, and against losses
// that differ between runs of one seed.
func TestAnswersAreLostAfterTheEffect(t *testing.T) {
	ctx, outcomes := context.Background(), [2][]bool{}
	for run := range outcomes {
		s := NewStore(Options{Seed: 7})
		s.SetFaults(Faults{LostAnswers: 0.5})
		for range 20 {
			outcomes[run] = append(outcomes[run], s.Commit(ctx, "a", dfplatform.Write{Key: "x", Unconditional: true}) == nil)
		}
		s.SetFaults(Faults{})
		row, err := s.Get(ctx, "x")
		require.NoError(t, err)
		require.Equal(t, uint64(20), row.Version.Version())
	}
	require.Equal(t, outcomes[0], outcomes[1])
	require.Contains(t, outcomes[0], true)
	require.Contains(t, outcomes[0], false)
}

// Guards against a restore that keeps what was acknowledged since the copy, or that
// changes the copy.
func TestRestoreComesBackFromTheCopy(t *testing.T) {
	ctx, s := context.Background(), NewStore(Options{})
	require.NoError(t, s.Commit(ctx, "a", dfplatform.Write{Key: "x", Value: []byte("1")}))
	require.NoError(t, s.Put(ctx, "o", []byte("1")))
	copied, err := s.Get(ctx, "x")
	require.NoError(t, err)
	require.NoError(t, s.Fault("copy"))
	for era := uint64(2); era <= 3; era++ {
		require.NoError(t, s.Commit(ctx, "b", dfplatform.Write{Key: "x", Unconditional: true, Value: []byte("2")}))
		require.NoError(t, s.Put(ctx, "p", []byte("2")))
		require.NoError(t, s.Fault("restore"))
		require.Equal(t, era, s.Era())
		row, err := s.Get(ctx, "x")
		require.NoError(t, err)
		require.Equal(t, "1", string(row.Value))
		require.Equal(t, copied.Version.Version(), row.Version.Version())
		require.Equal(t, era, row.Version.Era())
		names, err := s.Names(ctx, "")
		require.NoError(t, err)
		require.Equal(t, []string{"o"}, names)
	}
}

// Guards against an effect in an outage and against unbounded rates.
func TestOutageAndRatesHaveNoEffect(t *testing.T) {
	ctx, s := context.Background(), NewStore(Options{WritesPerSecond: 1, ReadsPerSecond: 1})
	s.SetFaults(Faults{Outage: OutageRefused})
	require.ErrorIs(t, s.Put(ctx, "o", nil), dfplatform.ErrUnavailable)
	s.SetFaults(Faults{Outage: OutageSilent})
	ended, cancel := context.WithCancel(ctx)
	cancel()
	require.ErrorIs(t, s.Put(ended, "o", nil), dfplatform.ErrUnavailable)
	s.SetFaults(Faults{})
	names, err := s.Names(ctx, "")
	require.NoError(t, err)
	require.Empty(t, names)
	_, err = s.Get(ctx, "x")
	require.ErrorIs(t, err, dfplatform.ErrRefused)
}

// Guards against a host list that shows changes before its lag.
func TestHostListLags(t *testing.T) {
	now, ctx := dfclock.Second, context.Background()
	s := NewStore(Options{MemberLag: 500, Now: func() dfclock.Millis { return now }})
	s.SetMember(dfplatform.Member{ID: "h1", Kind: dfplatform.KindHost}, false)
	now += 499
	members, err := s.Members(ctx)
	require.NoError(t, err)
	require.Empty(t, members)
	s.SetMember(dfplatform.Member{ID: "h1", Kind: dfplatform.KindHost, Leaving: true}, false)
	now++
	members, err = s.Members(ctx)
	require.NoError(t, err)
	require.Equal(t, []dfplatform.Member{{ID: "h1", Kind: dfplatform.KindHost}}, members)
}

// Guards against gRPC codes that a client cannot tell apart.
func TestServerMapsErrors(t *testing.T) {
	ctx, store := context.Background(), NewStore(Options{})
	server, err := Serve(store, "127.0.0.1:0")
	require.NoError(t, err)
	defer server.Stop()
	conn, err := grpc.NewClient(server.Address(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	client := dfproto.NewPlatformClient(conn)
	_, err = client.GetRow(ctx, &dfproto.GetRowRequest{Key: "x"})
	require.Equal(t, codes.NotFound, status.Code(err))
	_, err = client.Commit(ctx, &dfproto.CommitRequest{Attempt: "a", Writes: []*dfproto.RowWrite{{Key: "x", Value: []byte("1")}}})
	require.NoError(t, err)
	_, err = client.Commit(ctx, &dfproto.CommitRequest{Attempt: "b", Writes: []*dfproto.RowWrite{{Key: "x"}}})
	require.Equal(t, codes.FailedPrecondition, status.Code(err))
	reply, err := client.GetRow(ctx, &dfproto.GetRowRequest{Key: "x"})
	require.NoError(t, err)
	require.Equal(t, "a", reply.GetRow().GetAttempt())
	_, err = client.SetMember(ctx, &dfproto.SetMemberRequest{Member: &dfproto.Member{ID: "h1", Kind: "host"}})
	require.NoError(t, err)
	members, err := client.ListMembers(ctx, &dfproto.ListMembersRequest{})
	require.NoError(t, err)
	require.Len(t, members.GetMembers(), 1)
	_, err = client.SetMember(ctx, &dfproto.SetMemberRequest{Member: &dfproto.Member{ID: "lost:2", Kind: KindFault}})
	require.Equal(t, codes.InvalidArgument, status.Code(err))
	_, err = client.SetMember(ctx, &dfproto.SetMemberRequest{Member: &dfproto.Member{ID: "outage:refused", Kind: KindFault}})
	require.NoError(t, err)
	_, err = client.PutObject(ctx, &dfproto.PutObjectRequest{Name: "o"})
	require.Equal(t, codes.Unavailable, status.Code(err))
}
