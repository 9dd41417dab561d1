package dfcontrol

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
)

// cluster holds the state of fake upstreams, which speak the PostgreSQL protocol
// over loopback. Replicas share the primary's log.
type cluster struct {
	mutex    sync.Mutex
	fakes    map[string]*fake
	flushed  int
	accepted map[string]int // number of connections accepted by each upstream
}

// fake is one upstream.
type fake struct {
	*cluster
	name, role, actor, following string
	term                         int
	history                      string
	leaving, muted, down         bool
	listener                     net.Listener
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{fakes: map[string]*fake{}, accepted: map[string]int{}}
	for _, name := range []string{"u0", "u1", "u2"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		f := &fake{cluster: c, name: name, role: "replica", term: 1, following: "u0", history: "1:0", listener: listener}
		c.fakes[name] = f
		t.Cleanup(func() { listener.Close() })
		go f.accept()
	}
	c.fakes["u0"].role, c.fakes["u0"].following = "primary", ""
	return c
}

func (f *fake) accept() {
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.mutex.Lock()
		f.accepted[f.name]++
		f.mutex.Unlock()
		go f.serve(conn)
	}
}

func (f *fake) serve(conn net.Conn) {
	defer conn.Close()
	backend := pgproto3.NewBackend(conn, conn)
	if _, err := backend.ReceiveStartupMessage(); err != nil {
		return
	}
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	_ = backend.Flush()
	for message, err := backend.Receive(); err == nil; message, err = backend.Receive() {
		if query, ok := message.(*pgproto3.Query); ok && f.answer(backend, query.String) {
			_ = backend.Flush()
		}
	}
}

// answer runs a statement and sends the reply. An upstream that is muted or down
// sends nothing, so that its connection stays silent.
func (f *fake) answer(backend *pgproto3.Backend, sql string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.muted || f.down {
		return false
	}
	refused := f.change(sql)
	backend.Send(&pgproto3.DataRow{Values: f.row()})
	if refused {
		backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "55000", Detail: fmt.Sprintf("accepted term %d", f.term)})
	}
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return true
}

func (f *fake) change(sql string) (refused bool) {
	var term int
	step, rest, _ := strings.Cut(strings.TrimPrefix(sql, "SELECT * FROM group_"), "(")
	_, _ = fmt.Sscanf(rest, "%d", &term)
	switch step {
	case "fence":
		if term <= f.term {
			return true
		}
		f.term, f.actor, f.role, f.following = term, "me", "fenced", ""
	case "promote":
		if term != f.term {
			return true
		}
		f.role, f.history = "primary", fmt.Sprintf("%s,%d:%d", f.history, term, f.flushed)
	case "follow":
		for _, other := range f.fakes {
			if other.role == "primary" && other.term == term {
				f.role, f.following, f.history = "replica", other.name, other.history
			}
		}
	case "leaving":
		f.leaving = true
	}
	return false
}

func (f *fake) row() (row [][]byte) {
	silence := 0
	if p := f.fakes[f.following]; p == nil || p.down {
		silence = 10000
	}
	for _, column := range []any{f.name, "dc", f.role, f.term, f.actor, 1, f.flushed, f.flushed, f.history,
		f.following, silence, fmt.Sprint(f.leaving)[:1], ""} {
		row = append(row, []byte(fmt.Sprint(column)))
	}
	return row
}

func (c *cluster) locked(change func()) { c.mutex.Lock(); change(); c.mutex.Unlock() }

func (c *cluster) startWatcher(t *testing.T) *Watcher {
	options := DefaultOptions()
	options.Group, options.Actor = "books/orders", "me"
	ids := []dfgroup.UpstreamID{"u0", "u1", "u2"}
	for _, id := range ids {
		options.Upstreams = append(options.Upstreams, dfgroup.Upstream{ID: id})
	}
	client, err := NewClient(func(ctx context.Context, id dfgroup.UpstreamID) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", c.fakes[string(id)].listener.Addr().String())
	}, "orders", "", ids)
	require.NoError(t, err)
	options.Control = client
	start := time.Now()
	options.Now = func() dfclock.Millis { return dfclock.Millis(time.Since(start).Milliseconds()) + 1 }
	w, err := NewWatcher(options)
	require.NoError(t, err)
	t.Cleanup(func() { w.Stop(); client.Close() })
	return w
}

// TestWatcher guards against a watcher that keeps using a silent connection,
// acknowledges a commit without a majority, or leaves a group without a primary.
func TestWatcher(t *testing.T) {
	c := newCluster(t)
	w := c.startWatcher(t)
	ctx := t.Context()
	eventually := func(condition func() bool) { require.Eventually(t, condition, 20*time.Second, 5*time.Millisecond) }
	eventually(func() bool { return w.View().Primary == "u0" })
	c.locked(func() { c.flushed = 7 })
	require.NoError(t, w.AwaitAck(ctx, dfposition.Position{Term: 1, Offset: 7}))
	position, err := w.Barrier(ctx)
	require.NoError(t, err)
	require.Equal(t, dfposition.Position{Term: 1, Offset: 7}, position)

	// The open connections to one replica go silent; new ones work.
	var before int
	c.locked(func() { before = c.accepted["u1"]; c.fakes["u1"].muted = true })
	reconnected := func() (replaced bool) { c.locked(func() { replaced = c.accepted["u1"] > before }); return replaced }
	eventually(reconnected)
	c.locked(func() { c.fakes["u1"].muted = false })

	require.NoError(t, w.Switchover(ctx))
	switched := w.View()
	require.NotEqual(t, dfgroup.UpstreamID("u0"), switched.Primary)
	require.NoError(t, w.AwaitWrites(ctx))

	// The new primary fails: its connections go silent and new ones are refused.
	c.locked(func() {
		c.fakes[string(switched.Primary)].down = true
		c.fakes[string(switched.Primary)].listener.Close()
	})
	failedOver := func() bool {
		v := w.View()
		return v.Term > switched.Term && v.Primary != "" && v.Primary != switched.Primary
	}
	eventually(failedOver)
	require.NoError(t, w.AwaitAck(ctx, dfposition.Position{Term: 1, Offset: 7}))
	err = w.AwaitAck(ctx, dfposition.Position{Term: 1, Offset: 9})
	require.ErrorContains(t, err, "DF1107")
}
