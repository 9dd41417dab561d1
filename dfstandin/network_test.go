package dfstandin

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfgroup"
	"dragonflygrade/dflink"
)

// Guards against replication that does not use its dialer, that stops for good
// after a partition of sites, or that passes through one.
func TestReplicationOverLinks(t *testing.T) {
	deployment := Kovacik()
	network := dflink.New(3)
	t.Cleanup(network.Close)
	network.SetDefaultDelay(dflink.Delay{OneWay: deployment.BetweenCentres, Jitter: 2})
	var all []*Upstream
	var peers []Peer
	for i, centre := range deployment.DataCentres {
		options := Options{ID: dfgroup.UpstreamID("u" + string(rune('1'+i))), DataCentre: centre,
			ConnectionLimit: deployment.ConnectionLimit, ConnectTime: deployment.ConnectTime, Dial: network.Dialer(centre).Dial}
		if i > 0 {
			options.Following = "u1"
		}
		u := start(t, options)
		network.Register(centre, u.Address())
		all, peers = append(all, u), append(peers, u.Peer())
	}
	for _, u := range all {
		u.SetPeers(peers)
	}
	conn := connect(t, all[0], "anna", "")
	require.NoError(t, addOrder(conn, "k1"))
	requireWait(t, all[1], 1, 1)
	requireWait(t, all[2], 1, 1)
	network.Partition("Trnava", "Senica")
	eventually(t, func() bool { return all[2].Status().PrimarySilence > 200 })
	require.NoError(t, addOrder(conn, "k2"))
	requireWait(t, all[1], 1, 2)
	require.Len(t, all[2].Record(), 1)
	network.HealAll()
	requireWait(t, all[2], 1, 2)
}

// Guards against a replica that waits out its bound at a silent former primary
// before it turns to the one that it was told to follow.
func TestFollowEndsLinkToSilentPrimary(t *testing.T) {
	next := start(t, Options{ID: "u2", DataCentre: "dc-u2"})
	require.NoError(t, next.Fence(2, "h1"))
	require.NoError(t, next.Promote(2, "h1"))
	ready, ended := make(chan *Upstream, 1), make(chan error, 1)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if address == next.Address() {
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}
		select {
		case replica := <-ready:
			if err := replica.Follow(2, "h1", "u2"); err != nil {
				return nil, err
			}
		default:
			return nil, errCut
		}
		<-ctx.Done()
		ended <- ctx.Err()
		return nil, ctx.Err()
	}
	replica := start(t, Options{ID: "u3", DataCentre: "dc-u3", Following: "u1", Dial: dial,
		Peers: []Peer{{ID: "u1", Address: "127.0.0.1:1"}, next.Peer()}})
	ready <- replica
	require.ErrorIs(t, <-ended, context.Canceled)
	require.NoError(t, addOrder(connect(t, next, "anna", ""), "k1"))
	requireWait(t, replica, 2, 1)
}

// Guards against statements outside the supported set that end the process or
// the connection instead of being refused.
func TestUnsupportedStatementsAreRefused(t *testing.T) {
	u, ctx := start(t, Options{}), background(t)
	conn := connect(t, u, "anna", "")
	for _, sql := range []string{"INSERT INTO kv SELECT 1, 2", "SELECT (SELECT 1)", "UPDATE kv SET (key, value) = ('1', '2')",
		"VALUES (1)", "SELECT CASE WHEN true THEN 1 END", "SELECT * FROM kv, orders", "SELECT * FROM kv a JOIN kv b ON true",
		"COPY (SELECT 1) TO STDOUT", "COPY kv FROM STDIN WITH (FORMAT csv)", "DELETE FROM kv USING orders", "SELECT sum(*) FROM kv",
		"SELECT sum() FROM kv", "INSERT INTO kv DEFAULT VALUES", "EXPLAIN SELECT 1", "SELECT now()", "SELECT ARRAY[1]", "LISTEN x",
		"CREATE INDEX ON kv(key)", "TRUNCATE kv", "WITH x AS (SELECT 1) SELECT * FROM x", "BEGIN; SAVEPOINT a", "ROLLBACK; SELECT DISTINCT key FROM kv",
		"SELECT 1 UNION SELECT 2", "SELECT pg_sleep()", "SELECT pg_xact_status('x', 1, 2)", "SELECT group_wait(1)", "SELECT current_setting()",
		"SELECT * FROM group_fence('x')", "SELECT 1 FROM generate_series(1, 2)", "INSERT INTO kv VALUES (1, 2, 3)", "SELECT key FROM kv OFFSET 1",
		"SELECT * FROM (SELECT 1) x", "CREATE TABLE x AS SELECT 1", "UPDATE kv SET value = 1 FROM orders", "SELECT max(key), key FROM kv",
		"SELECT kv.* , count(*) FROM kv", "DECLARE c CURSOR FOR SELECT 1", "PREPARE p AS SELECT 1", "SELECT 'a' + 1", "SELECT count() FROM kv"} {
		_, err := conn.PgConn().Exec(ctx, sql).ReadAll()
		require.Error(t, err, sql)
		_, err = conn.PgConn().Exec(ctx, "ROLLBACK").ReadAll()
		require.NoError(t, err, sql)
		_, err = conn.PgConn().Prepare(ctx, "", sql, nil)
		if err == nil {
			require.Error(t, conn.PgConn().ExecPrepared(ctx, "", nil, nil, nil).Read().Err, sql)
		}
		require.Equal(t, byte('I'), conn.PgConn().TxStatus(), sql)
	}
}
