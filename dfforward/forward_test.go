package dfforward

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
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

// Guards against plans under which the hosts open more connections than an
// upstream accepts, at the sizes of the users' deployments and at the target
// size.
func TestPlanKeepsTheLimit(t *testing.T) {
	require.False(t, NewPlan(12, 6, 3).Shared(), "each host can hold a connection of its own")
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
				total := plan.Carriers * plan.ConnectionsPerCarrier * dataCentres
				require.LessOrEqual(t, total, max(usable, dataCentres), "%d of %d for %d hosts", total, usable, hosts)
			}
		}
	}
}

// Guards against carriers of all data centres that together open more connections than
// an upstream accepts, and against a plan that differs from the stated one: three
// carriers with a third of the usable connections each.
func TestOrganisationPlanKeepsTheLimit(t *testing.T) {
	require.Equal(t, Plan{Carriers: 3, ConnectionsPerCarrier: 14, AllDataCentres: true}, NewOrganisationPlan(42, 61))
	require.False(t, NewOrganisationPlan(12, 6).Shared(), "each host can hold a connection of its own")
	for _, usable := range []int{1, 2, 3, 5, 12, 37, 122} {
		plan := NewOrganisationPlan(usable, 300)
		require.True(t, plan.Shared())
		require.LessOrEqual(t, plan.Carriers, MaxOrganisationCarriers)
		require.Positive(t, plan.ConnectionsPerCarrier)
		require.LessOrEqual(t, plan.Carriers*plan.ConnectionsPerCarrier, usable)
	}
}

// Guards against fields of statements that are carrierErr on the way to the
// carrier.
func TestCallRoundTrip(t *testing.T) {
	session := dfconnection.NewSessionState()
	session.Plans["p"] = dfstatement.Plan{Writes: true, Shape: "q2"}
	for _, statement := range []dfstatement.Statement{
		dfstatement.Begin{}, dfstatement.Begin{ReadOnly: true}, dfstatement.Commit{}, dfstatement.Rollback{},
		dfstatement.Read{Item: "x"}, dfstatement.Write{Item: "y"}, dfstatement.Status{},
		dfstatement.Execute{Name: "p", Arguments: "x 1"},
	} {
		from := dfstatement.Call{ID: "i", Text: "text", Statement: statement, MinPosition: dfposition.Position{Term: 2, Offset: 7}}
		encoded, err := encodeCall(from, session)
		require.NoError(t, err)
		received := dfconnection.NewSessionState()
		to, err := encoded.decode(received)
		require.NoError(t, err)
		require.Equal(t, from, to)
		if _, ok := statement.(dfstatement.Execute); ok {
			require.Equal(t, session.Plans, received.Plans)
		}
	}
	_, err := encodeCall(dfstatement.Call{Statement: dfstatement.Set{}}, nil)
	require.Error(t, err, "session variables are sent as session state")
}

// fakeTransport is a connection to an upstream that records statements and
// answers each with the transaction state.
type fakeTransport struct {
	mu sync.Mutex
	// organisation is the one that the connection was opened for.
	organisation string
	pending      []dfstatement.Call
	ran          []dfstatement.Statement
	state        dfstatement.State
	unresponsive bool
	closed       bool
	// held delays the answers until it is closed, unless it is nil.
	held chan struct{}
}

func (f *fakeTransport) Send(calls []dfstatement.Call) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending = append(f.pending, calls...)
	return nil
}

func (f *fakeTransport) Receive() (dfstatement.Answer, error) {
	f.mu.Lock()
	held := f.held
	f.mu.Unlock()
	if held != nil {
		<-held
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unresponsive {
		return dfstatement.Answer{}, eris.Wrap(os.ErrDeadlineExceeded, "no answer")
	}
	next := f.pending[0]
	f.pending = f.pending[1:]
	f.ran = append(f.ran, next.Statement)
	switch next.Statement.(type) {
	case dfstatement.Begin:
		f.state = dfstatement.InTransaction
	case dfstatement.Commit, dfstatement.Rollback:
		f.state = dfstatement.Idle
	}
	answer := dfstatement.Answer{State: f.state}
	switch next.Statement.(type) {
	case dfstatement.Read, dfstatement.Write, dfstatement.Execute, dfstatement.Commit:
		answer.Proof = "proof " + strconv.Itoa(len(f.ran))
	case dfstatement.Status:
		answer.Rows = []string{"primary"}
	}
	return answer, nil
}

func (f *fakeTransport) Report(dfstatement.Answer) (dfstatement.Report, error) {
	return dfstatement.Report{Primary: true, Term: 4}, nil
}

func (*fakeTransport) Pending() bool { return false }

func (f *fakeTransport) Deadline(time.Time) error { return nil }

func (f *fakeTransport) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	return nil
}

func (f *fakeTransport) isClosed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closed
}

// fakeHost is a carrier with one connection to one upstream.
type fakeHost struct {
	mu         sync.Mutex
	pool       *dfconnection.Pool
	transports []*fakeTransport
	lent       int
	stopped    bool
	// failure is returned for an upstream that is known not to answer, or nil.
	failure *dfresult.Error
	conns   []net.Conn
}

func (h *fakeHost) Pool(dffleet.ID) (*dfconnection.Pool, *dfresult.Error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return nil, nil
	}
	return h.pool, h.failure
}

func (h *fakeHost) AddLent(change int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lent += change
}

func now() dfclock.Millis {
	return dfclock.Millis(time.Now().UnixMilli())
}

func newFakeHost(t *testing.T) (*fakeHost, *Client) {
	t.Helper()
	var h *fakeHost
	h, client := newFakeHostOver(t, func(_ context.Context, _ dffleet.Upstream, organisation string) (*dfconnection.Conn, error) {
		h.mu.Lock()
		defer h.mu.Unlock()
		next := &fakeTransport{organisation: organisation, state: dfstatement.Idle}
		h.transports = append(h.transports, next)
		return dfconnection.New("u", next, nil), nil
	})
	return h, client
}

// newFakeHostOver returns a carrier whose connections are opened by a function.
func newFakeHostOver(t *testing.T, open dfconnection.Opener) (*fakeHost, *Client) {
	t.Helper()
	h := &fakeHost{}
	upstream := dffleet.Upstream{ID: "u", Slots: 1}
	h.pool = dfconnection.NewPool(upstream, 1, dfconnection.UseCarrier, now, open, func(dffleet.ID, error) {}, rand.New(rand.NewPCG(1, 2)))
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
			go NewHandler(h, now).Serve(conn)
		}
	}()
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
				h.pool.Tick(1, dfconnection.UseCarrier)
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
	return h, NewClient(dfmember.Host{ID: "carrier"}, listener.Addr().String(), dial)
}

func (h *fakeHost) lentCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lent
}

func inOneSecond() time.Time {
	return time.Now().Add(time.Second)
}

func newCall(statement dfstatement.Statement) dfstatement.Call {
	return dfstatement.Call{ID: "i", Text: "t", Statement: statement}
}

// Guards against statements of a transaction that run on another connection
// than its BEGIN, and against statements of other clients inside it.
func TestTransactionKeepsItsConnection(t *testing.T) {
	h, client := newFakeHost(t)
	first, second := client.Conn(context.Background(), "u", "", 0, 500), client.Conn(context.Background(), "u", "", 0, 50)
	_, _, err := first.Exchange(nil, inOneSecond(), newCall(dfstatement.Begin{}))
	require.NoError(t, err)
	require.Equal(t, dfstatement.InTransaction, first.State())
	_, sent, err := second.Exchange(nil, inOneSecond(), newCall(dfstatement.Read{Item: "x"}))
	var refused *dfresult.Error
	require.ErrorAs(t, err, &refused)
	require.Equal(t, dfresult.NotRun, refused.Code.Outcome())
	require.False(t, sent)
	second.Release(true)
	for _, statement := range []dfstatement.Statement{dfstatement.Write{Item: "x"}, dfstatement.Commit{}} {
		_, _, err = first.Exchange(dfconnection.NewSessionState(), inOneSecond(), newCall(statement))
		require.NoError(t, err)
	}
	first.Release(true)
	require.Zero(t, h.lentCount())
	require.Len(t, h.transports, 1)
	require.Equal(t, []dfstatement.Statement{dfstatement.Begin{}, dfstatement.Write{Item: "x"}, dfstatement.Commit{}}, h.transports[0].ran)
}

// Guards against statements of one organisation on a connection that was opened for
// another at the same carrier, also inside a transaction, and against one organisation
// that keeps the carrier's only connection while the other waits.
func TestOrganisationsShareACarrier(t *testing.T) {
	h, client := newFakeHost(t)
	for _, organisation := range []string{"a", "b", "", "a"} {
		conn := client.Conn(context.Background(), "u", organisation, 0, 500)
		_, _, err := conn.Exchange(dfconnection.NewSessionState(), inOneSecond(), newCall(dfstatement.Write{Item: organisation}))
		require.NoError(t, err)
		conn.Release(true)
	}
	open := client.Conn(context.Background(), "u", "a", 0, 500)
	_, _, err := open.Exchange(nil, inOneSecond(), newCall(dfstatement.Begin{}))
	require.NoError(t, err)
	other := client.Conn(context.Background(), "u", "b", 0, 50)
	_, sent, err := other.Exchange(nil, inOneSecond(), newCall(dfstatement.Write{Item: "b"}))
	require.Error(t, err)
	require.False(t, sent)
	other.Release(true)
	open.organisation = "b"
	_, sent, err = open.Exchange(nil, inOneSecond(), newCall(dfstatement.Write{Item: "b"}))
	require.Error(t, err, "the transaction belongs to another organisation")
	require.False(t, sent)
	open.Release(false)
	h.mu.Lock()
	defer h.mu.Unlock()
	require.Len(t, h.transports, 4, "each change of the organisation replaced the only connection")
	for _, transport := range h.transports {
		for _, statement := range transport.ran {
			if write, ok := statement.(dfstatement.Write); ok {
				require.Equal(t, transport.organisation, write.Item)
			}
		}
	}
}

// Guards against a transaction that stays open at the upstream after its client
// has disconnected.
func TestLostClientRollsBack(t *testing.T) {
	h, client := newFakeHost(t)
	conn := client.Conn(context.Background(), "u", "", 0, 500)
	_, _, err := conn.Exchange(nil, inOneSecond(), newCall(dfstatement.Begin{}))
	require.NoError(t, err)
	require.Equal(t, 1, h.lentCount())
	conn.Release(false)
	require.Eventually(t, func() bool { return h.transports[0].isClosed() && h.lentCount() == 0 }, time.Second, time.Millisecond)
}

// Guards against reporting a write as "not run" that the carrier may have sent,
// and as "in doubt" one that it cannot have sent.
func TestCarrierFailures(t *testing.T) {
	h, client := newFakeHost(t)
	h.stopped = true
	conn := client.Conn(context.Background(), "u", "", 0, 500)
	_, sent, err := conn.Exchange(nil, inOneSecond(), newCall(dfstatement.Write{Item: "x"}))
	var carrierErr *CarrierError
	require.ErrorAs(t, err, &carrierErr)
	require.False(t, sent, "the carrier accepts no statements")

	h.stopped, h.failure = false, dfresult.NewError(dfresult.NoConnection, "upstream is down").WithRetryAfter(200)
	conn = client.Conn(context.Background(), "u", "", 0, 500)
	_, sent, err = conn.Exchange(nil, inOneSecond(), newCall(dfstatement.Write{Item: "x"}))
	var refused *dfresult.Error
	require.ErrorAs(t, err, &refused)
	require.Equal(t, dfresult.NotRun, refused.Code.Outcome())
	require.Equal(t, dfclock.Millis(200), refused.RetryAfter)
	require.False(t, sent)
	conn.Release(true)

	h.failure = nil
	conn = client.Conn(context.Background(), "u", "", 0, 500)
	_, _, err = conn.Exchange(nil, inOneSecond(), newCall(dfstatement.Begin{}))
	require.NoError(t, err)
	for _, accepted := range h.conns {
		_ = accepted.Close()
	}
	_, sent, err = conn.Exchange(nil, inOneSecond(), newCall(dfstatement.Commit{}))
	require.ErrorAs(t, err, &carrierErr)
	require.True(t, sent, "the commit may have arrived")
	conn.Release(false)

	dead := NewClient(dfmember.Host{ID: "dead"}, "dead:1", func(context.Context, string) (net.Conn, error) {
		return nil, eris.New("refused")
	})
	_, sent, err = dead.Conn(context.Background(), "u", "", 0, 500).Exchange(nil, inOneSecond(), newCall(dfstatement.Write{Item: "x"}))
	require.ErrorAs(t, err, &carrierErr)
	require.False(t, sent)
}

// Guards against blaming the carrier for a timeout of the upstream.
func TestUpstreamTimeout(t *testing.T) {
	h, client := newFakeHost(t)
	conn := client.Conn(context.Background(), "u", "", 0, 500)
	answers, _, err := conn.Exchange(nil, inOneSecond(), newCall(dfstatement.Status{}))
	require.NoError(t, err)
	report, err := conn.Report(answers[0])
	require.NoError(t, err)
	require.Equal(t, dfstatement.Report{Primary: true, Term: 4}, report)
	conn.Release(true)
	h.transports[0].mu.Lock()
	h.transports[0].unresponsive = true
	h.transports[0].mu.Unlock()
	conn = client.Conn(context.Background(), "u", "", 0, 500)
	_, sent, err := conn.Exchange(nil, inOneSecond(), newCall(dfstatement.Write{Item: "x"}))
	require.True(t, sent)
	require.True(t, dfconnection.IsTimeout(err))
	var carrierErr *CarrierError
	require.False(t, eris.As(err, &carrierErr))
	require.Eventually(t, func() bool { return h.lentCount() == 0 }, time.Second, time.Millisecond)
}

// Guards against slots of an upstream that stay free because its carriers may send too
// few statements, and against a long queue at the upstream, which knows no priorities.
func TestStatementsPerCarrierUseAllSlots(t *testing.T) {
	const queuedPerSlot = 8
	require.Zero(t, Plan{}.StatementsPerCarrier(4))
	require.Zero(t, NewOrganisationPlan(42, 61).StatementsPerCarrier(0))
	for _, slots := range []int{1, 2, 4, 5, 6, 16} {
		for _, plan := range []Plan{NewPlan(37, 82, 3), NewPlan(16, 62, 3), NewPlan(42, 95, 5), NewOrganisationPlan(42, 61)} {
			limit, total := plan.StatementsPerCarrier(slots), plan.Carriers
			require.GreaterOrEqual(t, limit*plan.Carriers, slots, "carriers of one data centre")
			if !plan.AllDataCentres {
				total *= plan.DataCentres
			}
			require.GreaterOrEqual(t, limit*total, statementsPerSlot*slots)
			require.LessOrEqual(t, limit*total, max(total, (1+queuedPerSlot)*slots), "what the upstream accepts")
		}
	}
}
