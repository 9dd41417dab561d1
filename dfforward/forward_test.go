package dfforward

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfconnection"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfmember"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfstatement"
)

// Guards against plans that let the hosts of a site open more connections than
// an upstream accepts, at the sizes of the users' sites and of the target.
func TestPlanKeepsTheLimit(t *testing.T) {
	require.False(t, NewPlan(12, 6, 3).Shared(), "each host can hold its own")
	for _, hosts := range []int{13, 82, 300, 2000} {
		for _, usable := range []int{1, 2, 5, 12, 37, 122} {
			for _, dataCentres := range []int{1, 3, 4, 18} {
				plan := NewPlan(usable, hosts, dataCentres)
				if usable >= hosts {
					require.False(t, plan.Shared())
					continue
				}
				require.True(t, plan.Shared())
				require.LessOrEqual(t, plan.Carriers, maxCarriers)
				total := plan.Carriers * plan.Each * dataCentres
				require.LessOrEqual(t, total, max(usable, dataCentres), "%d of %d for %d hosts", total, usable, hosts)
			}
		}
	}
}

// Guards against statements that lose something on the way to the carrier.
func TestCallsSurviveTheWay(t *testing.T) {
	session := dfconnection.NewContext()
	session.Plans["p"] = dfstatement.Plan{Writes: true, Shape: "q2"}
	for _, statement := range []dfstatement.Statement{
		dfstatement.Begin{}, dfstatement.Begin{ReadOnly: true}, dfstatement.Commit{}, dfstatement.Rollback{},
		dfstatement.Read{Item: "x"}, dfstatement.Write{Item: "y"}, dfstatement.Status{},
		dfstatement.Execute{Name: "p", Arguments: "x 1"},
	} {
		from := dfstatement.Call{ID: "i", Text: "text", Statement: statement, After: dfposition.Position{Term: 2, Offset: 7}}
		message, err := newCall(from, session)
		require.NoError(t, err)
		arrived := dfconnection.NewContext()
		to, err := message.statement(arrived)
		require.NoError(t, err)
		require.Equal(t, from, to)
		if _, ok := statement.(dfstatement.Execute); ok {
			require.Equal(t, session.Plans, arrived.Plans)
		}
	}
	_, err := newCall(dfstatement.Call{Statement: dfstatement.Set{}}, nil)
	require.Error(t, err, "session values travel as context")
}

// wire is an upstream connection that answers each call with its state.
type wire struct {
	mu      sync.Mutex
	pending []dfstatement.Call
	ran     []dfstatement.Statement
	state   dfstatement.State
	silent  bool
	closed  bool
}

func (w *wire) Send(calls []dfstatement.Call) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = append(w.pending, calls...)
	return nil
}

func (w *wire) Receive() (dfstatement.Answer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.silent {
		return dfstatement.Answer{}, eris.Wrap(os.ErrDeadlineExceeded, "silence")
	}
	next := w.pending[0]
	w.pending = w.pending[1:]
	w.ran = append(w.ran, next.Statement)
	switch next.Statement.(type) {
	case dfstatement.Begin:
		w.state = dfstatement.InTransaction
	case dfstatement.Commit, dfstatement.Rollback:
		w.state = dfstatement.Idle
	}
	return dfstatement.Answer{Proof: "proof", State: w.state}, nil
}

func (w *wire) Report(dfstatement.Answer) (dfstatement.Report, error) {
	return dfstatement.Report{Primary: true, Term: 4}, nil
}

func (w *wire) Deadline(time.Time) error { return nil }

func (w *wire) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	return nil
}

func (w *wire) isClosed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed
}

// holder is a carrying host with one connection to one upstream.
type holder struct {
	mu    sync.Mutex
	pool  *dfconnection.Pool
	wires []*wire
	lent  int
	gone  bool
	// failure is what the host knows against the upstream.
	failure *dfresult.Error
	conns   []net.Conn
}

func (h *holder) Pool(dffleet.ID) (*dfconnection.Pool, *dfresult.Error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gone {
		return nil, nil
	}
	return h.pool, h.failure
}

func (h *holder) Lent(change int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lent += change
}

func now() dfclock.Millis {
	return dfclock.Millis(time.Now().UnixMilli())
}

func newHolder(t *testing.T) (*holder, *Lane) {
	t.Helper()
	h := &holder{}
	open := func(context.Context, dffleet.Upstream) (*dfconnection.Conn, error) {
		h.mu.Lock()
		defer h.mu.Unlock()
		next := &wire{state: dfstatement.Idle}
		h.wires = append(h.wires, next)
		return dfconnection.New("u", next, nil), nil
	}
	upstream := dffleet.Upstream{ID: "u", Slots: 1}
	h.pool = dfconnection.NewPool(upstream, 1, dfconnection.Carried, now, open, func(dffleet.ID, error) {}, rand.New(rand.NewPCG(1, 2)))
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			h.mu.Lock()
			h.conns = append(h.conns, conn)
			h.mu.Unlock()
			go NewCarrier(h, now).Serve(conn)
		}
	}()
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
				h.pool.Tick(1, dfconnection.Carried)
			}
		}
	}()
	t.Cleanup(func() {
		close(done)
		_ = listener.Close()
		h.pool.Close()
	})
	dial := func(_ context.Context, address string) (net.Conn, error) {
		return net.Dial("tcp4", address)
	}
	return h, NewLane(dfmember.Host{ID: "carrier"}, listener.Addr().String(), dial)
}

func (h *holder) lentNow() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lent
}

func soon() time.Time {
	return time.Now().Add(time.Second)
}

func one(statement dfstatement.Statement) dfstatement.Call {
	return dfstatement.Call{ID: "i", Text: "t", Statement: statement}
}

// Guards against statements of a transaction that run on another connection
// than its first one, and against other askers inside it.
func TestTransactionKeepsItsConnection(t *testing.T) {
	h, lane := newHolder(t)
	first, second := lane.Line("u", 0, 500), lane.Line("u", 0, 50)
	_, _, err := first.Exchange(nil, soon(), one(dfstatement.Begin{}))
	require.NoError(t, err)
	require.Equal(t, dfstatement.InTransaction, first.State())
	_, sent, err := second.Exchange(nil, soon(), one(dfstatement.Read{Item: "x"}))
	var refused *dfresult.Error
	require.ErrorAs(t, err, &refused)
	require.Equal(t, dfresult.NotRun, refused.Code.Outcome())
	require.False(t, sent)
	second.Release(true)
	for _, statement := range []dfstatement.Statement{dfstatement.Write{Item: "x"}, dfstatement.Commit{}} {
		_, _, err = first.Exchange(dfconnection.NewContext(), soon(), one(statement))
		require.NoError(t, err)
	}
	first.Release(true)
	require.Zero(t, h.lentNow())
	require.Len(t, h.wires, 1)
	require.Equal(t, []dfstatement.Statement{dfstatement.Begin{}, dfstatement.Write{Item: "x"}, dfstatement.Commit{}}, h.wires[0].ran)
}

// Guards against a transaction that stays open at the upstream after its asker
// has gone.
func TestLostAskerRollsBack(t *testing.T) {
	h, lane := newHolder(t)
	line := lane.Line("u", 0, 500)
	_, _, err := line.Exchange(nil, soon(), one(dfstatement.Begin{}))
	require.NoError(t, err)
	require.Equal(t, 1, h.lentNow())
	line.Release(false)
	require.Eventually(t, func() bool { return h.wires[0].isClosed() && h.lentNow() == 0 }, time.Second, time.Millisecond)
}

// Guards against a write that is called "not run" after the carrier may have
// sent it, and against one that is called "in doubt" though it was not sent.
func TestCarrierFailures(t *testing.T) {
	h, lane := newHolder(t)
	h.gone = true
	line := lane.Line("u", 0, 500)
	_, sent, err := line.Exchange(nil, soon(), one(dfstatement.Write{Item: "x"}))
	var lost *CarrierError
	require.ErrorAs(t, err, &lost)
	require.False(t, sent, "the carrier takes no statements")

	h.gone, h.failure = false, dfresult.NewError(dfresult.NoConnection, "it is down").WithRetryAfter(200)
	line = lane.Line("u", 0, 500)
	_, sent, err = line.Exchange(nil, soon(), one(dfstatement.Write{Item: "x"}))
	var refused *dfresult.Error
	require.ErrorAs(t, err, &refused)
	require.Equal(t, dfresult.NotRun, refused.Code.Outcome())
	require.Equal(t, dfclock.Millis(200), refused.RetryAfter)
	require.False(t, sent)
	line.Release(true)

	h.failure = nil
	line = lane.Line("u", 0, 500)
	_, _, err = line.Exchange(nil, soon(), one(dfstatement.Begin{}))
	require.NoError(t, err)
	for _, conn := range h.conns {
		_ = conn.Close()
	}
	_, sent, err = line.Exchange(nil, soon(), one(dfstatement.Commit{}))
	require.ErrorAs(t, err, &lost)
	require.True(t, sent, "the commit may have arrived")
	line.Release(false)

	dead := NewLane(dfmember.Host{ID: "dead"}, "dead:1", func(context.Context, string) (net.Conn, error) {
		return nil, eris.New("refused")
	})
	_, sent, err = dead.Line("u", 0, 500).Exchange(nil, soon(), one(dfstatement.Write{Item: "x"}))
	require.ErrorAs(t, err, &lost)
	require.False(t, sent)
}

// Guards against an upstream's silence that is taken for the carrier's.
func TestUpstreamSilence(t *testing.T) {
	h, lane := newHolder(t)
	line := lane.Line("u", 0, 500)
	answers, _, err := line.Exchange(nil, soon(), one(dfstatement.Status{}))
	require.NoError(t, err)
	report, err := line.Report(answers[0])
	require.NoError(t, err)
	require.Equal(t, dfstatement.Report{Primary: true, Term: 4}, report)
	line.Release(true)
	h.wires[0].mu.Lock()
	h.wires[0].silent = true
	h.wires[0].mu.Unlock()
	line = lane.Line("u", 0, 500)
	_, sent, err := line.Exchange(nil, soon(), one(dfstatement.Write{Item: "x"}))
	require.True(t, sent)
	require.True(t, dfconnection.IsTimeout(err))
	var lost *CarrierError
	require.False(t, eris.As(err, &lost))
	require.Eventually(t, func() bool { return h.lentNow() == 0 }, time.Second, time.Millisecond)
}
