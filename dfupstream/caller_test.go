package dfupstream_test

import (
	"context"
	"database/sql"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgxpool"
	_ "github.com/jackc/pgx/v5/stdlib"
	"github.com/stretchr/testify/require"
	"github.com/xdg-go/scram"
	"go.uber.org/goleak"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfpool"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfunit"
	"dragonflygrade/dfupstream"
	"dragonflygrade/dfwire"
)

// TestMain makes failed checks panic, and guards against goroutines that outlive
// their pool. A statement of the fake upstream that is never cancelled may stay.
func TestMain(m *testing.M) {
	dfupstream.SetStrict(true)
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("dragonflygrade/dfupstream_test.(*fakeSession).rows"))
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

var origin = time.Now()

func now() dfclock.Millis { return dfclock.Millis(time.Since(origin).Milliseconds()) }

func storedFor(t testing.TB, password string) scram.StoredCredentials {
	client, err := scram.SHA256.NewClient("user", password, "")
	require.NoError(t, err)
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: "0123456789abcdef", Iters: 4096})
	require.NoError(t, err)
	return stored
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

// proxy joins a wire server and a pool by a trivial session, which keeps a
// connection for one transaction.
type proxy struct {
	stored scram.StoredCredentials
	pool   *dfupstream.Pool
	server *dfwire.Server
	// lose breaks the connection of the next batch that contains the text.
	lose    string
	address string
}

func (p *proxy) Lookup(service, user string) (scram.StoredCredentials, bool) {
	return p.stored, service == "orders" && user == "user"
}

func (p *proxy) Open(_ context.Context, opening dfwire.Opening) (dfwire.Session, error) {
	return &session{proxy: p, opening: opening}, nil
}

type session struct {
	proxy   *proxy
	opening dfwire.Opening
	mutex   sync.Mutex
	conn    *dfupstream.Conn
}

func (s *session) hold(conn *dfupstream.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.conn = conn
}

func (s *session) Run(ctx context.Context, batch dfunit.Batch, sink dfunit.Sink) (byte, error) {
	if s.conn == nil {
		conn, err := s.proxy.pool.Get(ctx, now().Add(2*dfclock.Second), 0)
		if err != nil {
			return 0, err
		}
		s.hold(conn)
	}
	conn := s.conn
	if lose := s.proxy.lose; lose != "" && strings.Contains(string(batch.Messages[0].Body), lose) {
		conn.Close()
	}
	result, err := conn.Exchange(ctx, batch, sink, dfupstream.Options{})
	if err != nil || result.Status == 'I' {
		s.hold(nil)
		s.proxy.pool.Put(conn)
	}
	return result.Status, err
}

func (s *session) Cancel() {
	s.mutex.Lock()
	conn := s.conn
	s.mutex.Unlock()
	if conn != nil {
		conn.Cancel(context.Background(), conn.Running())
	}
}

func (s *session) Close() {
	if s.conn != nil {
		s.proxy.pool.Put(s.conn)
	}
}

func startProxy(t testing.TB, limit int) (*proxy, *fakeUpstream) {
	fake := newFake(t)
	p := &proxy{stored: storedFor(t, "secret")}
	p.pool = dfupstream.NewPool(dfupstream.PoolConfig{
		Now:  now,
		Pool: dfpool.Config{Limit: limit, InitialBackoff: 5, MaxBackoff: 20},
		Conn: dfupstream.Config{Dial: dial, Address: fake.listener.Addr().String(), User: "user"},
	})
	server, err := dfwire.NewServer(dfwire.Config{Credentials: p, Handler: p, Host: 7, LoginDelay: 1})
	require.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go server.Serve(listener)
	p.server, p.address = server, listener.Addr().String()
	t.Cleanup(func() {
		ctx, stop := context.WithTimeout(context.Background(), time.Second)
		defer stop()
		server.Shutdown(ctx)
		p.pool.Close()
	})
	return p, fake
}

func (p *proxy) url() string {
	return fmt.Sprintf("postgres://user:secret@%s/orders?sslmode=disable", p.address)
}

func connect(t testing.TB, p *proxy) *pgx.Conn {
	conn, err := pgx.Connect(context.Background(), p.url())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

// TestPgxModes guards against replies that reach the wrong message in any of
// the ways in which a driver sends a query.
func TestPgxModes(t *testing.T) {
	p, _ := startProxy(t, 2)
	conn := connect(t, p)
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe,
		pgx.QueryExecModeDescribeExec, pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol} {
		for range 3 {
			var got string
			require.NoError(t, conn.QueryRow(context.Background(), "select $1", mode, "word").Scan(&got), mode)
			if mode != pgx.QueryExecModeSimpleProtocol {
				require.Equal(t, "word", got, mode)
			}
		}
	}
	_, err := conn.Exec(context.Background(), "fail")
	require.ErrorContains(t, err, "22012")
	_, err = conn.Exec(context.Background(), "fail $1", pgx.QueryExecModeExec, "x")
	require.ErrorContains(t, err, "22012")
	tag, err := conn.CopyFrom(context.Background(), pgx.Identifier{"t"}, []string{"value"}, pgx.CopyFromRows(nil))
	_ = tag
	require.NoError(t, err)
}

// TestBatch guards against pipelines whose replies are lost after an error.
func TestBatch(t *testing.T) {
	p, _ := startProxy(t, 1)
	conn := connect(t, p)
	batch := &pgx.Batch{}
	for i := range 200 {
		batch.Queue("select $1", itoa(int64(i)))
	}
	results := conn.SendBatch(context.Background(), batch)
	for i := range 200 {
		var got string
		require.NoError(t, results.QueryRow().Scan(&got))
		require.Equal(t, itoa(int64(i)), got)
	}
	require.NoError(t, results.Close())
	large := &pgx.Batch{}
	for range 100 {
		large.Queue("select large $1", strings.Repeat("y", 40000))
	}
	require.NoError(t, conn.SendBatch(context.Background(), large).Close())
}

// TestPools guards against a limit that is exceeded and answers that are mixed
// up when many callers share few connections.
func TestPools(t *testing.T) {
	p, fake := startProxy(t, 3)
	pool, err := pgxpool.New(context.Background(), p.url()+"&pool_max_conns=12")
	require.NoError(t, err)
	defer pool.Close()
	database, err := sql.Open("pgx", p.url())
	require.NoError(t, err)
	defer database.Close()
	database.SetMaxOpenConns(12)
	var group sync.WaitGroup
	for worker := range 16 {
		group.Go(func() {
			for i := range 20 {
				want := fmt.Sprintf("%d-%d", worker, i)
				var got string
				if worker%2 == 0 {
					err := pgx.BeginFunc(context.Background(), pool, func(tx pgx.Tx) error {
						return tx.QueryRow(context.Background(), "select $1", want).Scan(&got)
					})
					require.NoError(t, err)
				} else {
					require.NoError(t, database.QueryRow("select $1", want).Scan(&got))
				}
				require.Equal(t, want, got)
			}
		})
	}
	group.Wait()
	require.LessOrEqual(t, fake.opened.Load(), int32(3))
}

// TestPsql guards against a startup that libpq does not accept.
func TestPsql(t *testing.T) {
	if _, err := os.Stat("/usr/bin/psql"); err != nil {
		t.Skip("psql is not installed")
	}
	p, _ := startProxy(t, 2)
	command := exec.Command("/usr/bin/psql", p.url(), "-X", "-At", "-c", "select psql", "-c", "copy t from stdin", "-c", "select again")
	command.Stdin = strings.NewReader("1\n2\n3\n")
	output, err := command.CombinedOutput()
	require.NoError(t, err, string(output))
	require.Equal(t, "select psql\nCOPY 3\nselect again\n", string(output))
}

// TestUpstreamLogin guards against an upstream login that fails or that accepts
// a wrong password. The proxy's own caller side is the upstream.
func TestUpstreamLogin(t *testing.T) {
	p, _ := startProxy(t, 1)
	config := dfupstream.Config{Dial: dial, Address: p.address, User: "user", Password: "secret", Database: "orders"}
	conn, err := dfupstream.Open(context.Background(), config)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.Probe(context.Background()))
	config.Password = "wrong"
	_, err = dfupstream.Open(context.Background(), config)
	requireCode(t, dfresult.UpstreamRefused, err)
	require.ErrorContains(t, err, "28P01")
}

// TestCancel guards against cancels that are lost or that hit a later query.
func TestCancel(t *testing.T) {
	p, _ := startProxy(t, 1)
	conn := connect(t, p)
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), "select sleep")
		done <- err
	}()
	cancelled := make(chan struct{})
	go func() {
		defer close(cancelled)
		for {
			select {
			case <-time.After(20 * time.Millisecond):
				conn.PgConn().CancelRequest(context.Background())
			case err := <-done:
				done <- err
				return
			}
		}
	}()
	<-cancelled
	require.ErrorContains(t, <-done, "57014")
	_, err := conn.Exec(context.Background(), "select after")
	require.NoError(t, err)
}

// TestLostTransaction guards against callers that go on in a transaction whose
// connection is gone.
func TestLostTransaction(t *testing.T) {
	p, _ := startProxy(t, 1)
	conn := connect(t, p)
	p.lose = "vanish"
	tx, err := conn.Begin(context.Background())
	require.NoError(t, err)
	_, err = tx.Exec(context.Background(), "select vanish")
	var failure *pgconn.PgError
	require.ErrorAs(t, err, &failure)
	require.Equal(t, dfresult.TransactionLost.SQLState()+"/ERROR", failure.Code+"/"+failure.Severity)
	require.Contains(t, failure.Detail, "DF1103, outcome: not run")
	_, err = tx.Exec(context.Background(), "select $1", "more")
	require.ErrorContains(t, err, "25P02")
	require.NoError(t, tx.Rollback(context.Background()))
	_, err = conn.Exec(context.Background(), "select after")
	require.NoError(t, err)
}

// TestTerminated guards against requests that are lost because an idle
// connection was ended by the upstream's administrator.
func TestTerminated(t *testing.T) {
	p, fake := startProxy(t, 1)
	conn := connect(t, p)
	_, err := conn.Exec(context.Background(), "select before")
	require.NoError(t, err)
	fake.closeAll()
	require.Eventually(t, func() bool { return fake.open.Load() == 0 }, 5*time.Second, time.Millisecond)
	_, err = conn.Exec(context.Background(), "select after")
	require.NoError(t, err)
}

// TestTerminatedUnderLoad guards against answers that reach the wrong caller, and
// against invariants that fail, while connections break at any moment.
func TestTerminatedUnderLoad(t *testing.T) {
	p, fake := startProxy(t, 3)
	var group sync.WaitGroup
	stop := make(chan struct{})
	for worker := range 8 {
		conn := connect(t, p)
		group.Go(func() {
			for i := range 150 {
				want := fmt.Sprintf("%d-%d", worker, i)
				var got string
				batch := &pgx.Batch{}
				batch.Queue("select $1", want)
				batch.Queue("select $1, $2", want, "second")
				results := conn.SendBatch(context.Background(), batch)
				for range 2 {
					if results.QueryRow().Scan(&got) == nil {
						require.Equal(t, want, got)
					}
				}
				results.Close()
				require.False(t, conn.IsClosed(), "a broken upstream connection ends no caller")
			}
		})
	}
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
				fake.closeAll()
			}
		}
	}()
	group.Wait()
	close(stop)
	require.Zero(t, p.pool.Stats().InUse)
}

// TestShutdown guards against requests that a planned stop cuts.
func TestShutdown(t *testing.T) {
	p, _ := startProxy(t, 2)
	idle, busy := connect(t, p), connect(t, p)
	tx, err := busy.Begin(context.Background())
	require.NoError(t, err)
	cut := make(chan int, 1)
	go func() { cut <- p.server.Shutdown(context.Background()) }()
	require.Eventually(t, func() bool {
		_, err := idle.Exec(context.Background(), "select gone")
		return err != nil
	}, 5*time.Second, time.Millisecond)
	_, err = tx.Exec(context.Background(), "insert")
	require.NoError(t, err)
	require.NoError(t, tx.Commit(context.Background()))
	require.Zero(t, <-cut)
}

// TestShutdownReportsCut guards against a drain that hides what it cut.
func TestShutdownReportsCut(t *testing.T) {
	p, _ := startProxy(t, 2)
	busy := connect(t, p)
	_, err := busy.Begin(context.Background())
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	stop()
	require.Equal(t, 1, p.server.Shutdown(ctx))
}

// BenchmarkSimpleQuery measures what the pass-through adds to one query.
func BenchmarkSimpleQuery(b *testing.B) {
	p, fake := startProxy(b, 1)
	direct, err := pgx.Connect(context.Background(), fmt.Sprintf("postgres://user@%s/orders?sslmode=disable", fake.listener.Addr()))
	require.NoError(b, err)
	defer direct.Close(context.Background())
	through := connect(b, p)
	for name, conn := range map[string]*pgx.Conn{"direct": direct, "proxy": through} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := conn.PgConn().Exec(context.Background(), "select 1").Close(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
