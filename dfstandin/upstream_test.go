package dfstandin

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	"dragonflygrade/dfgroup"
)

// patience bounds waits of tests; no test depends on how long it takes.
const patience = 20 * time.Second

func start(t *testing.T, options Options) *Upstream {
	t.Helper()
	if options.ID == "" {
		options.ID = "u1"
	}
	u, err := Start(options)
	require.NoError(t, err)
	t.Cleanup(u.Stop)
	return u
}

func connect(t *testing.T, u *Upstream, user, more string) *pgx.Conn {
	t.Helper()
	conn, err := tryConnect(u, user, more)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.PgConn().Conn().Close() })
	return conn
}

func tryConnect(u *Upstream, user, more string) (*pgx.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return pgx.Connect(ctx, fmt.Sprintf("postgres://%s@%s/db?sslmode=disable%s", user, u.Address(), more))
}

func background(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	return ctx
}

func requireCode(t *testing.T, err error, code string) {
	t.Helper()
	var failure *pgconn.PgError
	require.ErrorAs(t, err, &failure)
	require.Equal(t, code, failure.Code, failure.Message)
}

func addOrder(conn *pgx.Conn, key string) error {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, err := conn.Exec(ctx, "INSERT INTO orders(caller, item, quantity, status, idempotency_key) VALUES ($1, $2, $3, 'new', $4)", "anna", "rod", 2, key)
	return err
}

// Guards against statements that a common driver cannot use.
func TestDriverRunsStatements(t *testing.T) {
	u, ctx := start(t, Options{Passwords: map[string]string{"anna": "secret"}}), background(t)
	conn := connect(t, u, "anna:secret", "&application_name=desk")
	var id int64
	var key *string
	require.NoError(t, conn.QueryRow(ctx, "INSERT INTO orders(caller, quantity) VALUES ($1, $2) RETURNING id, idempotency_key", "anna", 3).Scan(&id, &key))
	require.Equal(t, int64(1), id)
	require.Nil(t, key)
	require.NoError(t, addOrder(conn, "k1"))
	requireCode(t, addOrder(conn, "k1"), "23505")
	tag, err := conn.Exec(ctx, "INSERT INTO orders(caller, idempotency_key) VALUES ('x', 'k1') ON CONFLICT DO NOTHING")
	require.NoError(t, err)
	require.Zero(t, tag.RowsAffected())
	var count, sum int64
	require.NoError(t, conn.QueryRow(ctx, "SELECT count(*), sum(quantity) FROM orders WHERE caller = $1", "anna").Scan(&count, &sum))
	require.Equal(t, []int64{2, 5}, []int64{count, sum})
	require.NoError(t, conn.QueryRow(ctx, "UPDATE orders SET quantity = quantity + $1 WHERE idempotency_key = $2 RETURNING quantity", 5, "k1").Scan(&sum))
	require.Equal(t, int64(7), sum)
	var text string
	require.NoError(t, conn.QueryRow(ctx, "SELECT $1::text", "a'b").Scan(&text))
	require.Equal(t, "a'b", text)
	require.NoError(t, conn.QueryRow(ctx, "SHOW application_name").Scan(&text))
	require.Equal(t, "desk", text)
	require.NoError(t, conn.QueryRow(ctx, "SELECT group_position()").Scan(&text))
	require.Equal(t, "1:3", text)
	_, err = tryConnect(u, "anna:wrong", "")
	requireCode(t, err, "28P01")
}

// Guards against an error in a pipeline that does not skip to Sync, and
// against a failed implicit transaction that leaves rows behind.
func TestBatchFailsAsOne(t *testing.T) {
	u, ctx := start(t, Options{}), background(t)
	conn := connect(t, u, "anna", "")
	batch := &pgx.Batch{}
	batch.Queue("INSERT INTO kv VALUES ($1, $2)", "a", "1")
	batch.Queue("SELECT value FROM kv WHERE key = 'a'")
	batch.Queue("INSERT INTO kv VALUES ('a', '2')")
	batch.Queue("INSERT INTO kv VALUES ('b', '2')")
	requireCode(t, conn.SendBatch(ctx, batch).Close(), "23505")
	var count int
	require.NoError(t, conn.QueryRow(ctx, "SELECT count(*) FROM kv").Scan(&count))
	require.Zero(t, count)
	require.Empty(t, u.Record())
	batch = &pgx.Batch{}
	for i := range 20 {
		batch.Queue("INSERT INTO kv VALUES ($1, $2)", fmt.Sprint(i), "x")
	}
	require.NoError(t, conn.SendBatch(ctx, batch).Close())
	require.Len(t, u.Record(), 1)
	require.Len(t, u.Record()[0].Tags, 20)
	require.Equal(t, "7", u.Record()[0].Tags[7].Marker)
}

// Guards against portals that ignore the row limit, and against COPY that
// loses or changes fields.
func TestCopyAndRowLimit(t *testing.T) {
	u, ctx := start(t, Options{}), background(t)
	conn := connect(t, u, "anna", "").PgConn()
	tag, err := conn.CopyFrom(ctx, strings.NewReader("rod\t120\t4\ncork\t\\N\t0\ntab\\tbed\t1\t1\n"), "COPY catalogue FROM STDIN")
	require.NoError(t, err)
	require.Equal(t, "COPY 3", tag.String())
	var out strings.Builder
	_, err = conn.CopyTo(ctx, &out, "COPY catalogue TO STDOUT")
	require.NoError(t, err)
	require.Equal(t, "rod\t120\t4\ncork\t\\N\t0\ntab\\tbed\t1\t1\n", out.String())
	conn.Frontend().SendParse(parseMessage("SELECT item FROM catalogue ORDER BY item DESC LIMIT 10"))
	conn.Frontend().SendBind(bindMessage())
	for range 2 {
		conn.Frontend().SendExecute(executeMessage(2))
	}
	conn.Frontend().SendSync(syncMessage())
	require.NoError(t, conn.Frontend().Flush())
	require.Equal(t, "ParseComplete BindComplete DataRow DataRow PortalSuspended DataRow CommandComplete ReadyForQuery", receiveNames(t, conn))
}

// Guards against rolled back rows that are seen or recorded, and against two
// transactions that both count down from one value.
func TestTransactionsAreSerialisable(t *testing.T) {
	u, ctx := start(t, Options{}), background(t)
	one, two := connect(t, u, "anna", ""), connect(t, u, "bert", "")
	_, err := one.Exec(ctx, "INSERT INTO catalogue VALUES ('rod', 100, 10)")
	require.NoError(t, err)
	_, err = one.Exec(ctx, "BEGIN; DELETE FROM catalogue; ROLLBACK")
	require.NoError(t, err)
	require.Len(t, u.Record(), 1)
	require.Equal(t, byte('I'), one.PgConn().TxStatus())
	for _, conn := range []*pgx.Conn{one, two} {
		_, err = conn.Exec(ctx, "BEGIN")
		require.NoError(t, err)
		_, err = conn.Exec(ctx, "SELECT available FROM catalogue WHERE item = 'rod'")
		require.NoError(t, err)
	}
	_, err = one.Exec(ctx, "UPDATE catalogue SET available = available - 1 WHERE item = 'rod'")
	require.NoError(t, err)
	waiting := make(chan error, 1)
	go func() {
		_, err := two.Exec(ctx, "UPDATE catalogue SET available = 9 WHERE item = 'rod'")
		waiting <- err
	}()
	_, err = one.Exec(ctx, "COMMIT")
	require.NoError(t, err)
	require.NoError(t, <-waiting)
	_, err = two.Exec(ctx, "COMMIT")
	requireCode(t, err, "40001")
	require.Equal(t, int64(9), u.Rows("catalogue")[0][2])
}

// Guards against a cancel that is ignored or that hits a later statement, and
// against a termination that leaves the connection open.
func TestCancelTimeoutAndTerminate(t *testing.T) {
	u, ctx := start(t, Options{}), background(t)
	conn := connect(t, u, "anna", "&application_name=old")
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(ctx, "SELECT pg_sleep(3600)")
		done <- err
	}()
	require.Eventually(t, func() bool { return running(u, conn.PgConn().PID()) }, patience, time.Millisecond)
	require.NoError(t, conn.PgConn().CancelRequest(ctx))
	requireCode(t, <-done, "57014")
	_, err := conn.Exec(ctx, "SET statement_timeout = '5ms'; SELECT pg_sleep(3600)")
	requireCode(t, err, "57014")
	control := connect(t, u, ControlUser, "")
	_, err = control.Exec(ctx, "SELECT pg_terminate_backend(pid) FROM pg_stat_activity WHERE application_name = 'old'")
	require.NoError(t, err)
	_, err = conn.Exec(ctx, "SELECT 1")
	requireCode(t, err, "57P01")
}

func running(u *Upstream, pid uint32) bool {
	_, active := u.Find(pid).Activity()
	return active
}

// Guards against a limit that is not enforced, that counts control
// connections, or that never frees a place.
func TestConnectionLimit(t *testing.T) {
	u, ctx := start(t, Options{ConnectionLimit: 2}), background(t)
	first := connect(t, u, "anna", "&idle_session_timeout=10")
	connect(t, u, "anna", "")
	connect(t, u, ControlUser, "")
	require.Eventually(t, func() bool { conn, err := tryConnect(u, "anna", ""); return err == nil && conn != nil }, patience, time.Millisecond)
	_, err := first.Exec(ctx, "SELECT 1")
	require.Error(t, err)
	_, err = tryConnect(u, "anna", "")
	requireCode(t, err, "53300")
	counters := u.Counters()
	require.Positive(t, counters.LimitExceeded)
	require.Equal(t, []int64{2, 3, 1}, []int64{counters.MaxConnections, counters.Connects, counters.ControlConnects})
	require.Equal(t, dfgroup.RolePrimary, u.Status().Role)
}

// Guards against control statements without arguments that read one.
func TestStatusIsAskedOverAConnection(t *testing.T) {
	u, ctx := start(t, Options{ID: "one", DataCentre: "north"}), background(t)
	conn := connect(t, u, ControlUser, "")
	rows, err := conn.Query(ctx, "SELECT * FROM group_status()")
	require.NoError(t, err)
	defer rows.Close()
	require.True(t, rows.Next())
	values, err := rows.Values()
	require.NoError(t, err)
	require.Equal(t, "one", values[0])
	require.Equal(t, "primary", values[2])
}
