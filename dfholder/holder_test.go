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
	// patience bounds waits; no test depends on how long they take.
	patience = 20 * time.Second
	// requestSpan is the deadline of a write.
	requestSpan = 8 * dfclock.Second
)

// loss is what happens to connections that carry a COMMIT.
type loss int32

const (
	loseNothing loss = iota
	// loseRequest drops the COMMIT and everything behind it.
	loseRequest
	// loseAnswer drops all answers behind the COMMIT.
	loseAnswer
)

// world is one holder in front of three upstreams.
type world struct {
	*testing.T
	upstreams []*dfstandin.Upstream
	holder    *Holder
	loss      atomic.Int32
}

// link is a connection that may go silent without being closed.
type link struct {
	net.Conn
	world *world
	// mute drops what is sent, and deaf what arrives.
	mute, deaf atomic.Bool
}

func (l *link) Write(p []byte) (int, error) {
	if bytes.Contains(bytes.ToLower(p), []byte("commit")) {
		mode := loss(l.world.loss.Load())
		l.mute.Store(mode == loseRequest)
		l.deaf.Store(mode != loseNothing)
	}
	if l.mute.Load() {
		return len(p), nil
	}
	return l.Conn.Write(p)
}

func (l *link) Read(p []byte) (int, error) {
	for {
		n, err := l.Conn.Read(p)
		if err != nil || !l.deaf.Load() {
			return n, err
		}
	}
}

func newWorld(t *testing.T) *world {
	w := &world{T: t}
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
		w.upstreams, peers = append(w.upstreams, u), append(peers, u.Peer())
		database.Upstreams = append(database.Upstreams, dfconfig.Upstream{ID: id, DataCentre: "dc", Address: u.Address()})
	}
	for _, u := range w.upstreams {
		u.SetPeers(peers)
	}
	origin := time.Now()
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &link{Conn: conn, world: w}, err
	}
	holder, err := New(Options{
		Group: "g", Database: database, Host: "h", Incarnation: "1", Epoch: 1, DataCentre: "dc", User: "anna",
		Now:  func() dfclock.Millis { return 1 + dfclock.Millis(time.Since(origin).Milliseconds()) },
		Dial: dial, FromVacant: true,
		Notify: func(_ dfsession.Peer, _ *dfproto.CallerPosition, answered func()) { answered() },
		Ask: func(context.Context, dfsession.Peer, *dfproto.PositionsRequest) (dfposition.Position, bool) {
			return dfposition.Position{}, false
		},
	}, &log.Logger{Level: log.ErrorLevel})
	require.NoError(t, err)
	t.Cleanup(holder.Close)
	w.holder = holder
	holder.SetRoster(dfsession.Membership{RequestedAt: holder.now()})
	w.eventually(func() bool { return holder.watcher.View().Primary == "u1" })
	return w
}

func (w *world) eventually(condition func() bool) {
	w.Helper()
	require.Eventually(w, condition, patience, 5*time.Millisecond)
}

// answer keeps the types and tags of the messages that a caller gets.
type answer struct{ text string }

func (a *answer) Send(messageType byte, body []byte) error {
	a.text += string(messageType)
	if messageType == 'C' {
		a.text += "(" + string(bytes.TrimSuffix(body, []byte{0})) + ")"
	}
	return nil
}

func (w *world) open(class dfunit.Class) (dfunit.Unit, context.Context) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(requestSpan)*time.Millisecond)
	w.Cleanup(cancel)
	now := w.holder.now()
	unit, err := w.holder.Open(ctx, dfunit.Request{Service: "s", Group: "g", Caller: "anna", Class: class, MaxAge: dfclock.Hour,
		TokenPresented: true, ArrivedAt: now, Deadline: now.Add(requestSpan)})
	require.NoError(w, err)
	w.Cleanup(unit.Close)
	return unit, ctx
}

func send(ctx context.Context, unit dfunit.Unit, sql string) (string, error) {
	var got answer
	batch := dfunit.Batch{Messages: []dfunit.Message{{Type: 'Q', Body: []byte(sql + "\x00")}}}
	_, err := unit.Exchange(ctx, batch, &got)
	return got.text, err
}

func insert(key string) string {
	return fmt.Sprintf("INSERT INTO orders(caller, idempotency_key) VALUES ('anna', '%s')", key)
}

// begin opens a transaction that has written.
func (w *world) begin(key string) (dfunit.Unit, context.Context) {
	unit, ctx := w.open(dfunit.ClassWrite)
	for _, sql := range []string{"BEGIN", insert(key)} {
		_, err := send(ctx, unit, sql)
		require.NoError(w, err)
	}
	return unit, ctx
}

// requireOutcome checks an outcome that was found before the deadline.
func (w *world) requireOutcome(ctx context.Context, want dfresult.Outcome, err error) {
	w.Helper()
	var failure *dfresult.Error
	require.ErrorAs(w, err, &failure)
	require.Equal(w, want, failure.Code.Outcome(), failure.Error())
	require.NoError(w, ctx.Err(), "the outcome does not wait for the deadline")
}

func (w *world) rows() int {
	return len(w.upstreams[0].Rows("orders"))
}

// Guards against a read that waits for its deadline on a silent connection, and
// against a connection that went silent with it and is given out unprobed.
func TestSilentBatchOfConnections(t *testing.T) {
	w := newWorld(t)
	var units []dfunit.Unit
	for range 3 {
		unit, ctx := w.open(dfunit.ClassWrite)
		_, err := send(ctx, unit, "SELECT 1")
		require.NoError(t, err)
		units = append(units, unit)
	}
	for _, unit := range units[:2] {
		unit.Close()
	}
	w.upstreams[0].Silence()
	read, ctx := units[2].(*unit), context.Background()
	read.request.Class = dfunit.ClassRead
	_, err := send(ctx, read, "SELECT 1")
	w.requireOutcome(ctx, dfresult.Unknown, err)
	read.Close()
	next, nextCtx := w.open(dfunit.ClassWrite)
	got, err := send(nextCtx, next, insert("k"))
	require.NoError(t, err)
	require.Equal(t, "C(INSERT 0 1)Z", got)
	require.Greater(t, w.upstreams[0].Counters().Connects, int64(3), "a fresh connection served the write")
}

// Guards against a write that waits for its deadline on a silent connection.
func TestSilentWrite(t *testing.T) {
	w := newWorld(t)
	unit, ctx := w.open(dfunit.ClassWrite)
	_, err := send(ctx, unit, "SELECT 1")
	require.NoError(t, err)
	w.upstreams[0].Silence()
	_, err = send(ctx, unit, insert("k"))
	w.requireOutcome(ctx, dfresult.Unknown, err)
}

// Guards against a long statement that is cut because it is slow.
func TestLongStatementIsNotSilent(t *testing.T) {
	w := newWorld(t)
	unit, ctx := w.open(dfunit.ClassWrite)
	got, err := send(ctx, unit, "SELECT pg_sleep(3)")
	require.NoError(t, err)
	require.Equal(t, "TDC(SELECT 1)Z", got)
}

// Guards against a commit that took effect and is reported as unknown.
func TestLostAnswerOfCommit(t *testing.T) {
	w := newWorld(t)
	unit, ctx := w.begin("k")
	w.loss.Store(int32(loseAnswer))
	got, err := send(ctx, unit, "COMMIT")
	require.NoError(t, err)
	require.Equal(t, "C(COMMIT)Z", got)
	require.Equal(t, 1, w.rows())
}

// Guards against a commit that never arrived and is reported as unknown, or as
// not run while its backend could still run it.
func TestLostRequestOfCommit(t *testing.T) {
	w := newWorld(t)
	unit, ctx := w.begin("k")
	w.loss.Store(int32(loseRequest))
	_, err := send(ctx, unit, "COMMIT")
	w.requireOutcome(ctx, dfresult.NotRun, err)
	require.Zero(t, w.rows())
}

// Guards against an outcome that is stated without proof: the identity of the
// transaction was never learnt.
func TestUndecidableCommit(t *testing.T) {
	w := newWorld(t)
	unit, ctx := w.open(dfunit.ClassWrite)
	_, err := send(ctx, unit, "BEGIN; "+insert("k"))
	require.NoError(t, err)
	w.loss.Store(int32(loseAnswer))
	_, err = send(ctx, unit, "COMMIT")
	w.requireOutcome(ctx, dfresult.Unknown, err)
}

// Guards against a session position that was never acknowledged: the log's end
// behind a failed statement may be cut by a promotion, and the caller's reads
// would be refused from then on.
func TestFailedStatementGivesNoPosition(t *testing.T) {
	w := newWorld(t)
	for _, acknowledged := range []bool{true, false} {
		unit, ctx := w.open(dfunit.ClassWrite)
		batch := dfunit.Batch{Messages: []dfunit.Message{{Type: 'Q', Body: []byte(insert("k1") + "\x00")}}}
		result, err := unit.Exchange(ctx, batch, &answer{})
		require.NoError(t, err)
		require.Equal(t, acknowledged, !result.Position.IsZero(), result.Position.String())
		unit.Close()
	}
}

// Guards against an outcome that belongs to an earlier transaction of the same
// connection: that one was rolled back, and this one commits.
func TestIdentityOfEarlierTransaction(t *testing.T) {
	w := newWorld(t)
	unit, ctx := w.begin("k1")
	_, err := send(ctx, unit, "ROLLBACK; BEGIN; "+insert("k2"))
	require.NoError(t, err)
	w.loss.Store(int32(loseAnswer))
	_, err = send(ctx, unit, "COMMIT")
	w.requireOutcome(ctx, dfresult.Unknown, err)
	require.Equal(t, 1, w.rows())
}

// Guards against the wrong outcome of a commit whose primary was replaced.
func TestCommitAtReplacedPrimary(t *testing.T) {
	cases := []struct {
		name       string
		replicated bool
	}{{"replicated", true}, {"kept by the old primary", false}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t)
			unit, ctx := w.begin("k")
			if !c.replicated {
				w.upstreams[0].Partition("u2", "u3")
			}
			w.loss.Store(int32(loseAnswer))
			go w.replacePrimary(c.replicated)
			got, err := send(ctx, unit, "COMMIT")
			if c.replicated {
				require.NoError(t, err)
				require.Equal(t, "C(COMMIT)Z", got)
				return
			}
			w.requireOutcome(ctx, dfresult.NotRun, err)
		})
	}
}

// replacePrimary crashes the primary once it has the commit, and writes at the
// next one.
func (w *world) replacePrimary(replicated bool) {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if w.rows() == 1 && (!replicated || len(w.upstreams[1].Record())+len(w.upstreams[2].Record()) == 2) {
			break
		}
	}
	w.loss.Store(int32(loseNothing))
	w.upstreams[0].Crash()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		now := w.holder.now()
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		unit, err := w.holder.Open(ctx, dfunit.Request{Service: "s", Group: "g", Caller: "bert", Class: dfunit.ClassWrite,
			ArrivedAt: now, Deadline: now.Add(requestSpan)})
		if err == nil {
			_, err = send(ctx, unit, insert("next"))
			unit.Close()
		}
		cancel()
		if err == nil {
			return
		}
	}
}
