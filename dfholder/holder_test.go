package dfholder

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfconfig"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfproto"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfsession"
	"dragonflygrade/dfstandin"
	"dragonflygrade/dfunit"
)

const (
	// waitTimeout limits waits for a condition. No test depends on their duration.
	waitTimeout = 20 * time.Second
	// requestTimeout is the time from the arrival of a request to its deadline.
	requestTimeout = 8 * dfclock.Second
)

// lossMode selects what is lost on connections that carry a COMMIT.
type lossMode int32

const (
	loseNothing lossMode = iota
	// loseRequest drops the COMMIT, everything sent after it and all responses.
	loseRequest
	// loseAnswer drops all responses after the COMMIT.
	loseAnswer
)

// testEnv is a holder with three simulated upstreams.
type testEnv struct {
	*testing.T
	upstreams []*dfstandin.Upstream
	holder    *Holder
	lossMode  atomic.Int32
}

// lossyConn is a connection that can drop data without being closed.
type lossyConn struct {
	net.Conn
	env *testEnv
	// dropWrites discards sent data, and dropReads received data.
	dropWrites, dropReads atomic.Bool
}

func (l *lossyConn) Write(p []byte) (int, error) {
	if bytes.Contains(bytes.ToLower(p), []byte("commit")) {
		mode := lossMode(l.env.lossMode.Load())
		l.dropWrites.Store(mode == loseRequest)
		l.dropReads.Store(mode != loseNothing)
	}
	if l.dropWrites.Load() {
		return len(p), nil
	}
	return l.Conn.Write(p)
}

func (l *lossyConn) Read(p []byte) (int, error) {
	for {
		n, err := l.Conn.Read(p)
		if err != nil || !l.dropReads.Load() {
			return n, err
		}
	}
}

func newTestEnv(t *testing.T) *testEnv {
	env := &testEnv{T: t}
	database := dfconfig.Database{Name: "db", Slots: 1, ConnectionLimit: 10}
	var peers []dfstandin.Peer
	for _, id := range []dfgroup.UpstreamID{"u1", "u2", "u3"} {
		options := dfstandin.Options{ID: id, DataCentre: "dc"}
		if id != "u1" {
			options.Following = "u1"
		}
		u, err := dfstandin.Start(options)
		require.NoError(t, err)
		t.Cleanup(u.Stop)
		env.upstreams, peers = append(env.upstreams, u), append(peers, u.Peer())
		database.Upstreams = append(database.Upstreams, dfconfig.Upstream{ID: id, DataCentre: "dc", Address: u.Address()})
	}
	for _, u := range env.upstreams {
		u.SetPeers(peers)
	}
	origin := time.Now()
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &lossyConn{Conn: conn, env: env}, err
	}
	holder, err := New(Options{
		Group: "g", Database: database, Host: "h", Incarnation: "1", Epoch: 1, DataCentre: "dc", User: "anna",
		Now:  func() dfclock.Millis { return 1 + dfclock.Millis(time.Since(origin).Milliseconds()) },
		Dial: dial, FromVacant: true,
		Notify: func(_ dfsession.Peer, _ *dfproto.CallerPosition, answered func()) { answered() },
		FetchPosition: func(context.Context, dfsession.Peer, *dfproto.PositionsRequest) (dfposition.Position, bool) {
			return dfposition.Position{}, false
		},
	}, &log.Logger{Level: log.ErrorLevel})
	require.NoError(t, err)
	t.Cleanup(holder.Close)
	env.holder = holder
	holder.SetRoster(dfsession.Membership{RequestedAt: holder.now()})
	env.eventually(func() bool { return holder.watcher.View().Primary == "u1" })
	return env
}

func (env *testEnv) eventually(condition func() bool) {
	env.Helper()
	require.Eventually(env, condition, waitTimeout, 5*time.Millisecond)
}

// replyRecorder is a sink that records the message types and command tags sent to the
// caller.
type replyRecorder struct{ text string }

func (a *replyRecorder) Send(messageType byte, body []byte) error {
	a.text += string(messageType)
	if messageType == 'C' {
		a.text += "(" + string(bytes.TrimSuffix(body, []byte{0})) + ")"
	}
	return nil
}

func (env *testEnv) open(class dfunit.Class) (dfunit.Unit, context.Context) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(requestTimeout)*time.Millisecond)
	env.Cleanup(cancel)
	now := env.holder.now()
	unit, err := env.holder.Open(ctx, dfunit.Request{Service: "s", Group: "g", Caller: "anna", Class: class, MaxAge: dfclock.Hour,
		TokenPresented: true, ArrivedAt: now, Deadline: now.Add(requestTimeout)})
	require.NoError(env, err)
	env.Cleanup(unit.Close)
	return unit, ctx
}

func send(ctx context.Context, unit dfunit.Unit, sql string) (string, error) {
	var got replyRecorder
	batch := dfunit.Batch{Messages: []dfunit.Message{{Type: 'Q', Body: []byte(sql + "\x00")}}}
	_, err := unit.Exchange(ctx, batch, &got)
	return got.text, err
}

func insertOrder(key string) string {
	return fmt.Sprintf("INSERT INTO orders(caller, idempotency_key) VALUES ('anna', '%s')", key)
}

// beginWithInsert opens a transaction that has inserted a row.
func (env *testEnv) beginWithInsert(key string) (dfunit.Unit, context.Context) {
	unit, ctx := env.open(dfunit.ClassWrite)
	for _, sql := range []string{"BEGIN", insertOrder(key)} {
		_, err := send(ctx, unit, sql)
		require.NoError(env, err)
	}
	return unit, ctx
}

// requireOutcome checks that the error has the outcome and came before the deadline.
func (env *testEnv) requireOutcome(ctx context.Context, want dfresult.Outcome, err error) {
	env.Helper()
	var failure *dfresult.Error
	require.ErrorAs(env, err, &failure)
	require.Equal(env, want, failure.Code.Outcome(), failure.Error())
	require.NoError(env, ctx.Err(), "the outcome does not wait for the deadline")
}

func (env *testEnv) rowCount() int {
	return len(env.upstreams[0].Rows("orders"))
}

// Guards against a read that waits for its deadline on a silent connection, and
// against handing out, without a probe, a pooled connection that became silent at the
// same time.
func TestSilentBatchOfConnections(t *testing.T) {
	env := newTestEnv(t)
	var units []dfunit.Unit
	for range 3 {
		unit, ctx := env.open(dfunit.ClassWrite)
		_, err := send(ctx, unit, "SELECT 1")
		require.NoError(t, err)
		units = append(units, unit)
	}
	for _, unit := range units[:2] {
		unit.Close()
	}
	env.upstreams[0].Silence()
	read, ctx := units[2].(*unit), context.Background()
	read.request.Class = dfunit.ClassRead
	_, err := send(ctx, read, "SELECT 1")
	env.requireOutcome(ctx, dfresult.Unknown, err)
	read.Close()
	next, nextCtx := env.open(dfunit.ClassWrite)
	got, err := send(nextCtx, next, insertOrder("k"))
	require.NoError(t, err)
	require.Equal(t, "C(INSERT 0 1)Z", got)
	require.Greater(t, env.upstreams[0].Counters().Connects, int64(3), "a new connection served the write")
}

// Guards against a write that waits for its deadline on a silent connection.
func TestSilentWrite(t *testing.T) {
	env := newTestEnv(t)
	unit, ctx := env.open(dfunit.ClassWrite)
	_, err := send(ctx, unit, "SELECT 1")
	require.NoError(t, err)
	env.upstreams[0].Silence()
	_, err = send(ctx, unit, insertOrder("k"))
	env.requireOutcome(ctx, dfresult.Unknown, err)
}

// Guards against treating the connection of a long-running statement as lost.
func TestLongStatementIsNotSilent(t *testing.T) {
	env := newTestEnv(t)
	unit, ctx := env.open(dfunit.ClassWrite)
	got, err := send(ctx, unit, "SELECT pg_sleep(3)")
	require.NoError(t, err)
	require.Equal(t, "TDC(SELECT 1)Z", got)
}

// Guards against reporting "unknown" for a commit that took effect and whose response
// was lost.
func TestLostAnswerOfCommit(t *testing.T) {
	env := newTestEnv(t)
	unit, ctx := env.beginWithInsert("k")
	env.lossMode.Store(int32(loseAnswer))
	got, err := send(ctx, unit, "COMMIT")
	require.NoError(t, err)
	require.Equal(t, "C(COMMIT)Z", got)
	require.Equal(t, 1, env.rowCount())
}

// Guards against reporting "unknown" for a commit that never reached the upstream, and
// against reporting "not run" while the backend could still execute it.
func TestLostRequestOfCommit(t *testing.T) {
	env := newTestEnv(t)
	unit, ctx := env.beginWithInsert("k")
	env.lossMode.Store(int32(loseRequest))
	_, err := send(ctx, unit, "COMMIT")
	env.requireOutcome(ctx, dfresult.NotRun, err)
	require.Zero(t, env.rowCount())
}

// Guards against reporting a definite outcome without proof. BEGIN and INSERT in one
// batch leave the identity of the transaction unknown.
func TestUndecidableCommit(t *testing.T) {
	env := newTestEnv(t)
	unit, ctx := env.open(dfunit.ClassWrite)
	_, err := send(ctx, unit, "BEGIN; "+insertOrder("k"))
	require.NoError(t, err)
	env.lossMode.Store(int32(loseAnswer))
	_, err = send(ctx, unit, "COMMIT")
	env.requireOutcome(ctx, dfresult.Unknown, err)
}

// Guards against returning the end of the log after a failed statement as the caller's
// position. That position was never acknowledged and a promotion may discard it; all
// later reads of the caller would then be refused.
func TestFailedStatementGivesNoPosition(t *testing.T) {
	env := newTestEnv(t)
	for _, acknowledged := range []bool{true, false} {
		unit, ctx := env.open(dfunit.ClassWrite)
		batch := dfunit.Batch{Messages: []dfunit.Message{{Type: 'Q', Body: []byte(insertOrder("k1") + "\x00")}}}
		result, err := unit.Exchange(ctx, batch, &replyRecorder{})
		require.NoError(t, err)
		require.Equal(t, acknowledged, !result.Position.IsZero(), result.Position.String())
		unit.Close()
	}
}

// Guards against resolving a commit with the identity of an earlier transaction on the
// same connection. The earlier transaction was rolled back and the later one commits.
func TestIdentityOfEarlierTransaction(t *testing.T) {
	env := newTestEnv(t)
	unit, ctx := env.beginWithInsert("k1")
	_, err := send(ctx, unit, "ROLLBACK; BEGIN; "+insertOrder("k2"))
	require.NoError(t, err)
	env.lossMode.Store(int32(loseAnswer))
	_, err = send(ctx, unit, "COMMIT")
	env.requireOutcome(ctx, dfresult.Unknown, err)
	require.Equal(t, 1, env.rowCount())
}

// Guards against reporting the wrong outcome of a commit whose primary was replaced.
func TestCommitAtReplacedPrimary(t *testing.T) {
	cases := []struct {
		name       string
		replicated bool
	}{{"replicated", true}, {"kept by the old primary", false}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			env := newTestEnv(t)
			unit, ctx := env.beginWithInsert("k")
			if !c.replicated {
				env.upstreams[0].Partition("u2", "u3")
			}
			env.lossMode.Store(int32(loseAnswer))
			go env.replacePrimary(c.replicated)
			got, err := send(ctx, unit, "COMMIT")
			if c.replicated {
				require.NoError(t, err)
				require.Equal(t, "C(COMMIT)Z", got)
				return
			}
			env.requireOutcome(ctx, dfresult.NotRun, err)
		})
	}
}

// replacePrimary crashes the primary once it has committed, and then writes at the new
// primary.
func (env *testEnv) replacePrimary(replicated bool) {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if env.rowCount() == 1 && (!replicated || len(env.upstreams[1].Record())+len(env.upstreams[2].Record()) == 2) {
			break
		}
	}
	env.lossMode.Store(int32(loseNothing))
	env.upstreams[0].Crash()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		now := env.holder.now()
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		unit, err := env.holder.Open(ctx, dfunit.Request{Service: "s", Group: "g", Caller: "bert", Class: dfunit.ClassWrite,
			ArrivedAt: now, Deadline: now.Add(requestTimeout)})
		if err == nil {
			_, err = send(ctx, unit, insertOrder("next"))
			unit.Close()
		}
		cancel()
		if err == nil {
			return
		}
	}
}
