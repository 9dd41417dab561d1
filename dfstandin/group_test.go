package dfstandin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfstandingroup"
	"dragonflygrade/dfstandinstore"
)

// trio starts a primary u1 with the replicas u2 and u3.
func trio(t *testing.T) []*Upstream {
	t.Helper()
	var all []*Upstream
	var peers []Peer
	for _, id := range []dfgroup.UpstreamID{"u1", "u2", "u3"} {
		options := Options{ID: id, DataCentre: "dc-" + string(id), Passwords: map[string]string{"anna": "a", ControlUser: "c"}}
		if id != "u1" {
			options.Following = "u1"
		}
		u := start(t, options)
		all, peers = append(all, u), append(peers, u.Peer())
	}
	for _, u := range all {
		u.SetPeers(peers)
	}
	return all
}

func requireWait(t *testing.T, u *Upstream, term dfposition.Term, offset dfposition.Offset) {
	t.Helper()
	status := u.Wait(background(t), dfposition.Position{Term: term, Offset: offset}, 20000)
	require.Equal(t, dfposition.Contained, status.History.Locate(status.Flushed, dfposition.Position{Term: term, Offset: offset}), "%+v", status)
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, patience, time.Millisecond)
}

// Guards against a flushed position that waits for application, against lag
// that is not applied, and against commits on a replica.
func TestReplicationWithLag(t *testing.T) {
	all := trio(t)
	all[1].SetLag(0, 3600000)
	conn := connect(t, all[0], "anna:a", "")
	require.NoError(t, addOrder(conn, "k1"))
	requireWait(t, all[1], 1, 1)
	requireWait(t, all[2], 1, 1)
	require.Zero(t, all[1].Status().Applied)
	require.Empty(t, all[1].Rows("orders"))
	eventually(t, func() bool { return all[2].Status().Applied == 1 })
	require.Equal(t, all[0].Rows("orders"), all[2].Rows("orders"))
	require.Equal(t, "k1", all[2].Record()[0].Tags[0].Marker)
	requireCode(t, addOrder(connect(t, all[2], "anna:a", ""), "k2"), dfstandinstore.CodeReadOnly)
	all[1].SetLag(0, 0)
	eventually(t, func() bool { return len(all[1].Rows("orders")) == 1 })
	all[1].SetLag(3600000, 0)
	require.NoError(t, addOrder(conn, "k2"))
	requireWait(t, all[2], 1, 2)
	control := connect(t, all[1], ControlUser+":c", "")
	row := control.QueryRow(background(t), "SELECT * FROM group_wait(1, 2, 1)")
	require.Equal(t, "1", scanStatus(t, row)[6], "the entry was flushed before its delay")
}

func scanStatus(t *testing.T, row interface{ Scan(...any) error }) []string {
	t.Helper()
	values, targets := make([]string, len(statusColumns)), make([]any, len(statusColumns))
	for i := range values {
		targets[i] = &values[i]
	}
	require.NoError(t, row.Scan(targets...))
	return values
}

// Guards against a commit of a replaced primary, against two actors for one
// term, and against an open transaction that survives the fence.
func TestFenceRefusesLowerTerm(t *testing.T) {
	all, ctx := trio(t), background(t)
	conn, control := connect(t, all[0], "anna:a", ""), connect(t, all[0], ControlUser+":c", "")
	_, err := conn.Exec(ctx, "BEGIN")
	require.NoError(t, err)
	require.NoError(t, addOrder(conn, "k1"))
	status := scanStatus(t, control.QueryRow(ctx, "SELECT * FROM group_fence(5, 'h1')"))
	require.Equal(t, []string{"u1", "dc-u1", "fenced", "5", "h1", "0", "0", "0", "1:0"}, status[:9])
	_, err = conn.Exec(ctx, "COMMIT")
	requireCode(t, err, dfstandinstore.CodeReadOnly)
	requireCode(t, addOrder(conn, "k2"), dfstandinstore.CodeReadOnly)
	require.Empty(t, all[0].Record())
	for _, sql := range []string{"SELECT * FROM group_fence(5, 'h2')", "SELECT * FROM group_fence(4, 'h1')",
		"SELECT * FROM group_promote(6, 'h1')", "SELECT * FROM group_promote(5, 'h2')"} {
		_, err = control.Exec(ctx, sql)
		requireCode(t, err, dfstandingroup.CodeRefused)
	}
	_, err = conn.Exec(ctx, "SELECT * FROM group_fence(6, 'h1')")
	requireCode(t, err, "42501")
}

// Guards against a promotion that keeps an unreplicated tail, against a tail
// that counts as flushed before the comparison, and against a record that
// forgets what was cut.
func TestPromotionCutsDivergedTail(t *testing.T) {
	all := trio(t)
	old := connect(t, all[0], "anna:a", "")
	require.NoError(t, addOrder(old, "shared"))
	requireWait(t, all[1], 1, 1)
	requireWait(t, all[2], 1, 1)
	all[0].Partition("u2", "u3")
	for _, key := range []string{"lost-1", "lost-2", "lost-3"} {
		require.NoError(t, addOrder(old, key))
	}
	for _, u := range all[1:] {
		require.NoError(t, u.Fence(2, "h1"))
	}
	require.NoError(t, all[1].Promote(2, "h1"))
	require.NoError(t, all[2].Follow(2, "h1", "u2"))
	require.NoError(t, addOrder(connect(t, all[1], "anna:a", ""), "new-1"))
	requireWait(t, all[2], 2, 2)

	require.NoError(t, all[0].Follow(2, "h1", "u2"))
	early := all[0].Wait(background(t), dfposition.Position{Term: 2, Offset: 2}, 1)
	require.Equal(t, dfgroup.RoleFenced, early.Role)
	require.NotEqual(t, dfposition.Contained, early.History.Locate(early.Flushed, dfposition.Position{Term: 2, Offset: 2}))
	all[0].Heal()
	requireWait(t, all[0], 2, 2)
	eventually(t, func() bool { return all[0].Status().Applied == 2 })
	status := all[0].Status()
	require.Equal(t, "1:1-4", status.Discarded)
	require.Equal(t, "1:0,2:1", status.History.String())
	require.Equal(t, all[1].Rows("orders"), all[0].Rows("orders"))
	var cut []string
	for _, committed := range all[0].Record() {
		if committed.Cut {
			cut = append(cut, committed.Tags[0].Marker)
		}
	}
	require.Equal(t, []string{"lost-1", "lost-2", "lost-3"}, cut)
	surviving, found := Surviving(all...)
	require.True(t, found)
	require.Len(t, surviving, 2)
	require.Equal(t, "new-1", surviving[1].Tags[0].Marker)
}

// Guards against a restart that loses flushed entries or forgets its term.
func TestCrashKeepsFlushedLog(t *testing.T) {
	all := trio(t)
	conn := connect(t, all[0], "anna:a", "")
	require.NoError(t, addOrder(conn, "k1"))
	all[0].Crash()
	require.Error(t, addOrder(conn, "k2"))
	_, err := tryConnect(all[0], "anna:a", "")
	require.Error(t, err)
	require.NoError(t, all[0].Restart())
	conn = connect(t, all[0], "anna:a", "")
	require.NoError(t, addOrder(conn, "k3"))
	requireWait(t, all[1], 1, 2)
	eventually(t, func() bool { return all[1].Status().Applied == 2 })
	require.Equal(t, all[0].Rows("orders"), all[1].Rows("orders"))
	require.Len(t, all[0].Record(), 2)
}

// Guards against a silent connection that answers or closes, against a commit
// that its silence undoes, and against new connections that fail beside it.
func TestSilentAndPausedUpstream(t *testing.T) {
	all, ctx := trio(t), background(t)
	conn := connect(t, all[0], "anna:a", "")
	_, err := conn.Exec(ctx, "SELECT 1")
	require.NoError(t, err)
	all[0].Silence()
	require.NoError(t, conn.PgConn().Conn().SetDeadline(time.Now().Add(30*time.Millisecond)))
	_, err = conn.PgConn().Exec(ctx, "SELECT 1").ReadAll()
	require.ErrorContains(t, err, "timeout")
	require.NoError(t, addOrder(connect(t, all[0], "anna:a", ""), "k1"))

	operator := connect(t, all[0], ControlUser+":c", "&application_name="+FaultApplication)
	_, err = operator.Exec(ctx, "SELECT group_fault('pause')")
	require.NoError(t, err)
	paused := make(chan error, 1)
	go func() {
		conn, err := tryConnect(all[0], "anna:a", "")
		if err == nil {
			err = addOrder(conn, "k2")
		}
		paused <- err
	}()
	eventually(t, func() bool { return all[1].Status().PrimarySilence > 100 })
	require.Empty(t, paused)
	require.Len(t, all[0].Record(), 1)
	_, err = operator.Exec(ctx, "SELECT group_fault('resume')")
	require.NoError(t, err)
	require.NoError(t, <-paused)
	requireWait(t, all[1], 1, 2)
}

// Guards against an identity whose outcome the new primary reports wrongly.
func TestTransactionIdentitySurvivesPromotion(t *testing.T) {
	all, ctx := trio(t), background(t)
	conn := connect(t, all[0], "anna:a", "")
	identities := map[string]int64{}
	for _, end := range []string{"COMMIT", "ROLLBACK"} {
		_, err := conn.Exec(ctx, "BEGIN")
		require.NoError(t, err)
		require.NoError(t, addOrder(conn, end))
		var xid int64
		require.NoError(t, conn.QueryRow(ctx, "SELECT pg_current_xact_id_if_assigned()").Scan(&xid))
		identities[end] = xid
		_, err = conn.Exec(ctx, end)
		require.NoError(t, err)
	}
	requireWait(t, all[1], 1, 1)
	require.NoError(t, all[1].Fence(2, "h1"))
	require.NoError(t, all[1].Promote(2, "h1"))
	next := connect(t, all[1], "anna:a", "")
	require.NoError(t, addOrder(next, "new"))
	for end, want := range map[string]string{"COMMIT": "committed", "ROLLBACK": "aborted"} {
		var got string
		require.NoError(t, next.QueryRow(ctx, "SELECT pg_xact_status($1)", identities[end]).Scan(&got))
		require.Equal(t, want, got)
	}
}

// Guards against deliberate errors that a checker could not see.
func TestWrongUpstreams(t *testing.T) {
	all := trio(t)
	require.NoError(t, all[1].Fault("lag:3600000,0"))
	require.NoError(t, all[2].Fault("lag:3600000"))
	conn := connect(t, all[0], "anna:a", "")
	require.NoError(t, addOrder(conn, "k1"))
	requireWait(t, all[2], 1, 1)
	require.NoError(t, all[1].Fault("wrong:flushed"))
	requireWait(t, all[1], 1, 1)
	require.Empty(t, all[1].Record())
	require.NoError(t, all[2].Fault("wrong:applied"))
	require.Equal(t, dfposition.Offset(1), all[2].Status().Applied)
	require.Empty(t, all[2].Rows("orders"))
	require.NoError(t, all[0].Fault("wrong:lose"))
	require.NoError(t, addOrder(conn, "k2"))
	require.Len(t, all[0].Record(), 1)
	require.NoError(t, all[0].Fault("wrong:double"))
	require.NoError(t, addOrder(conn, "k3"))
	require.Len(t, all[0].Record(), 3)
	require.Error(t, all[0].Fault("wrong:else"))
}

// Guards against a primary cut off from everyone that still answers, against
// fault commands that nobody can end, and against a record that other
// processes cannot read.
func TestIsolatedPrimaryByCommands(t *testing.T) {
	all, ctx := trio(t), background(t)
	conn := connect(t, all[0], "anna:a", "")
	require.NoError(t, addOrder(conn, "k1"))
	requireWait(t, all[1], 1, 1)
	operator := connect(t, all[0], ControlUser+":c", "&application_name="+FaultApplication)
	_, err := operator.Exec(ctx, "SELECT group_fault('partition')")
	require.NoError(t, err)
	answered := make(chan error, 1)
	go func() { answered <- addOrder(conn, "k2") }()
	eventually(t, func() bool { return all[1].Status().PrimarySilence > 100 && all[2].Status().PrimarySilence > 100 })
	require.Empty(t, answered)
	_, err = operator.Exec(ctx, "SELECT group_fault('heal')")
	require.NoError(t, err)
	require.NoError(t, <-answered)
	requireWait(t, all[1], 1, 2)
	var term, offset, xid, cut, tags string
	require.NoError(t, operator.QueryRow(ctx, "SELECT * FROM group_record(1, 10)").Scan(&term, &offset, &xid, &cut, &tags))
	require.Equal(t, []string{"1", "2", "f"}, []string{term, offset, cut})
	require.Contains(t, tags, `"Marker":"k2"`)
	_, err = operator.Exec(ctx, "SELECT group_fault('crash:1')")
	require.NoError(t, err)
	eventually(t, func() bool {
		conn, err := tryConnect(all[0], "anna:a", "")
		return err == nil && conn.Close(ctx) == nil && all[0].Counters().Connects > 1
	})
	require.Len(t, all[0].Record(), 2)
}

// Guards against a crash that overtakes the answer to the command that asked
// for it: the operator could not tell it from a failed command.
func TestCrashCommandIsAnswered(t *testing.T) {
	all, ctx := trio(t), background(t)
	operator := connect(t, all[0], ControlUser+":c", "")
	_, err := operator.Exec(ctx, "SELECT group_fault('crash:1'); SELECT * FROM group_wait(1, 99, 200)")
	require.NoError(t, err)
	eventually(t, func() bool { return operator.Ping(ctx) != nil })
}
