package dfforward

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfconnection"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfstatement"
)

// variant is how the modelled upstreams of a run behave.
type variant struct {
	// rollsBackState is true if a rollback restores session values and prepared
	// statements, as in PostgreSQL.
	rollsBackState bool
	// refusePercent and failPercent are the parts of the setups that are refused and of
	// the statements that fail.
	refusePercent, failPercent int
	// toleratesRefusals is true if a refused setup leaves its transaction as it is.
	toleratesRefusals bool
}

// sessionModel has what the callers of a run were acknowledged.
type sessionModel struct {
	mu      sync.Mutex
	variant variant
	random  *rand.Rand
	// current is the session whose statement is under way, and inTransaction whether it
	// belongs to a transaction. ran is true once it has run.
	current       *dfconnection.SessionState
	inTransaction bool
	ran           bool
	// proofs counts the proofs that were given.
	proofs     int
	violations []string
}

func (m *sessionModel) chance(percent int) bool { return m.random.IntN(100) < percent }

// modelTransport is a connection to an upstream that has values, prepared names and
// transactions.
type modelTransport struct {
	model             *sessionModel
	values, oldValues map[string]string
	plans, oldPlans   map[string]dfstatement.Plan
	// refused has the prepared names that the upstream refused.
	refused map[string]bool
	state   dfstatement.State
	pending []dfstatement.Call
}

func newModelTransport(model *sessionModel) *modelTransport {
	return &modelTransport{
		model: model, values: map[string]string{}, plans: map[string]dfstatement.Plan{},
		refused: map[string]bool{}, state: dfstatement.Idle,
	}
}

func (f *modelTransport) Send(calls []dfstatement.Call) error {
	f.pending = append(f.pending, calls...)
	return nil
}

// Pending reports whether there are answers that were not read.
func (f *modelTransport) Pending() bool { return len(f.pending) > 0 }

func (f *modelTransport) Report(dfstatement.Answer) (dfstatement.Report, error) {
	return dfstatement.Report{}, nil
}
func (f *modelTransport) Deadline(time.Time) error { return nil }
func (f *modelTransport) Close() error             { return nil }

func (f *modelTransport) fail(code dfresult.Code) dfstatement.Answer {
	if f.state == dfstatement.InTransaction {
		f.state = dfstatement.FailedTransaction
	}
	return dfstatement.Failure(code, "model", f.state)
}

func (f *modelTransport) end(committed bool) {
	if !committed && f.state != dfstatement.Idle && f.model.variant.rollsBackState {
		f.values, f.plans = f.oldValues, f.oldPlans
	}
	f.state = dfstatement.Idle
}

func (f *modelTransport) Receive() (dfstatement.Answer, error) {
	m := f.model
	m.mu.Lock()
	defer m.mu.Unlock()
	next := f.pending[0]
	f.pending = f.pending[1:]
	done := func() dfstatement.Answer { return dfstatement.Answer{State: f.state} }
	proved := func() dfstatement.Answer {
		m.proofs++
		return dfstatement.Answer{Proof: fmt.Sprintf("proof %d", m.proofs), State: f.state}
	}
	switch next.Statement.(type) {
	case dfstatement.Rollback:
		f.end(false)
		return done(), nil
	case dfstatement.Commit:
		if f.state != dfstatement.InTransaction || m.chance(m.variant.failPercent) {
			f.end(false)
			return dfstatement.Failure(dfresult.TransactionLost, "model", f.state), nil
		}
		f.end(true)
		return proved(), nil
	}
	if f.state == dfstatement.FailedTransaction {
		return f.fail(dfresult.ProtocolViolation), nil
	}
	switch s := next.Statement.(type) {
	case dfstatement.Begin:
		if m.chance(m.variant.failPercent) {
			return f.fail(dfresult.QueueFull), nil
		}
		f.state, f.oldValues, f.oldPlans = dfstatement.InTransaction, maps.Clone(f.values), maps.Clone(f.plans)
	case dfstatement.Reset, dfstatement.Set, dfstatement.Prepare:
		if m.chance(m.variant.refusePercent) {
			if p, ok := s.(dfstatement.Prepare); ok {
				f.refused[p.Name] = true
			}
			if m.variant.toleratesRefusals {
				return dfstatement.Failure(dfresult.ProtocolViolation, "model", f.state), nil
			}
			return f.fail(dfresult.ProtocolViolation), nil
		}
		f.setUp(s)
	default:
		if s, ok := s.(dfstatement.Execute); ok && f.refused[s.Name] {
			return f.fail(dfresult.StatementUnknown), nil
		}
		m.ran = true
		f.check(next)
		if m.chance(m.variant.failPercent) {
			return f.fail(dfresult.StatementFailed), nil
		}
		return proved(), nil
	}
	return done(), nil
}

func (f *modelTransport) setUp(statement dfstatement.Statement) {
	switch s := statement.(type) {
	case dfstatement.Reset:
		f.values, f.plans, f.refused = map[string]string{}, map[string]dfstatement.Plan{}, map[string]bool{}
	case dfstatement.Set:
		f.values[s.Name] = s.Value
	case dfstatement.Prepare:
		f.plans[s.Name] = s.Plan
		delete(f.refused, s.Name)
	}
}

// check compares the state under which a statement runs with that of its session. The
// text of the call is the name that the caller prepared.
func (f *modelTransport) check(call dfstatement.Call) {
	m := f.model
	if !maps.Equal(f.values, m.current.Values) {
		m.violations = append(m.violations, fmt.Sprintf("%T ran under %v instead of %v", call.Statement, f.values, m.current.Values))
	}
	if m.inTransaction != (f.state == dfstatement.InTransaction) {
		m.violations = append(m.violations, fmt.Sprintf("%T of a transaction (%t) ran in state %c", call.Statement, m.inTransaction, f.state))
	}
	if s, ok := call.Statement.(dfstatement.Execute); ok {
		plan, known := f.plans[s.Name]
		if want := m.current.Plans[call.Text]; !known || plan != want {
			m.violations = append(m.violations, fmt.Sprintf("executed %v (known %t) instead of %v", plan, known, want))
		}
	}
}

// modelConn is a connection to a modelled upstream, of the host or of a carrier.
type modelConn interface {
	Exchange(session *dfconnection.SessionState, deadline time.Time, calls ...dfstatement.Call) ([]dfstatement.Answer, bool, error)
	State() dfstatement.State
}

// modelRun runs random operations of sessions over connections.
type modelRun struct {
	t       *testing.T
	model   *sessionModel
	acquire func() modelConn
	release func(conn modelConn, reusable bool)
}

// change changes the state of a session, as a host that acknowledges it.
func (r modelRun) change(session *dfconnection.SessionState) {
	r.model.mu.Lock()
	defer r.model.mu.Unlock()
	random := r.model.random
	name := strconv.Itoa(random.IntN(3))
	switch random.IntN(6) {
	case 0:
		session.Values[name] = strconv.Itoa(random.IntN(3))
	case 1:
		delete(session.Plans, name)
	default:
		session.Plans[name] = dfstatement.Plan{Writes: random.IntN(2) == 0, Shape: strconv.Itoa(random.IntN(300))}
	}
}

// statement returns a random statement of a session.
func (r modelRun) statement(session *dfconnection.SessionState) dfstatement.Call {
	r.model.mu.Lock()
	defer r.model.mu.Unlock()
	name := strconv.Itoa(r.model.random.IntN(3))
	if _, ok := session.Plans[name]; ok && r.model.random.IntN(4) > 0 {
		return dfstatement.Call{ID: "caller", Text: name, Statement: dfstatement.Execute{Name: name, Arguments: "x"}}
	}
	return dfstatement.Call{ID: "caller", Text: "WRITE x", Statement: dfstatement.Write{Item: "x"}}
}

func (r modelRun) intN(n int) int {
	r.model.mu.Lock()
	defer r.model.mu.Unlock()
	return r.model.random.IntN(n)
}

// exchange sends calls and requires that an error tells the truth about their run.
func (r modelRun) exchange(conn modelConn, session *dfconnection.SessionState, calls ...dfstatement.Call) ([]dfstatement.Answer, bool) {
	r.model.mu.Lock()
	r.model.ran = false
	r.model.mu.Unlock()
	answers, sent, err := conn.Exchange(session, time.Now().Add(5*time.Second), calls...)
	if err != nil {
		r.model.mu.Lock()
		defer r.model.mu.Unlock()
		var refused *dfresult.Error
		if errors.As(err, &refused) || !sent {
			require.False(r.t, r.model.ran, "a statement ran after a refused setup: %v", err)
		}
		if !r.model.inTransaction {
			require.Equal(r.t, r.model.ran, sent, "whether the statement ran is told wrongly: %v", err)
		}
		return nil, false
	}
	return answers, true
}

// operate runs one operation as a host does: a single statement, a read at the leader,
// or a transaction.
func (r modelRun) operate(session *dfconnection.SessionState) {
	kind, conn := r.intN(3), r.acquire()
	r.model.mu.Lock()
	r.model.current, r.model.inTransaction = session, kind > 0
	r.model.mu.Unlock()
	if kind == 0 {
		_, ok := r.exchange(conn, session, r.statement(session))
		r.release(conn, ok)
		return
	}
	opening := session
	if r.intN(2) == 0 {
		// Hosts of earlier builds open a transaction without the state of the session.
		opening = nil
	}
	answers, ok := r.exchange(conn, opening, dfstatement.Call{Statement: dfstatement.Begin{}})
	if !ok || !answers[0].OK() {
		r.release(conn, ok)
		return
	}
	rollback := dfstatement.Call{Statement: dfstatement.Rollback{}}
	if kind == 1 {
		_, ok := r.exchange(conn, session, r.statement(session), rollback)
		r.release(conn, ok)
		return
	}
	for range r.intN(5) {
		if r.intN(2) == 0 {
			r.change(session)
		}
		answers, ok := r.exchange(conn, session, r.statement(session))
		if !ok {
			r.release(conn, false)
			return
		}
		if !answers[0].OK() {
			break
		}
	}
	ending := rollback
	if r.intN(2) == 0 && conn.State() == dfstatement.InTransaction {
		ending = dfstatement.Call{ID: "caller", Text: "COMMIT", Statement: dfstatement.Commit{}}
	}
	_, ok = r.exchange(conn, session, ending)
	r.release(conn, ok)
}

// forEachVariant runs a test with each variant of the upstreams and several seeds.
func forEachVariant(t *testing.T, seeds uint64, run func(t *testing.T, model *sessionModel)) {
	t.Helper()
	for _, v := range []variant{
		{}, {rollsBackState: true}, {failPercent: 5}, {rollsBackState: true, failPercent: 5},
		{refusePercent: 2, failPercent: 2}, {rollsBackState: true, refusePercent: 2, failPercent: 2},
		{refusePercent: 2, toleratesRefusals: true}, {rollsBackState: true, refusePercent: 2, failPercent: 2, toleratesRefusals: true},
	} {
		for seed := range seeds {
			t.Run(fmt.Sprintf("%+v seed %d", v, seed), func(t *testing.T) {
				run(t, &sessionModel{variant: v, random: rand.New(rand.NewPCG(seed, 3))})
			})
		}
	}
}

// operateSessions runs operations of five sessions in random order.
func (r modelRun) operateSessions(operations int) {
	var sessions []*dfconnection.SessionState
	for range 5 {
		sessions = append(sessions, dfconnection.NewSessionState())
	}
	for range operations {
		i := r.intN(len(sessions))
		if r.intN(20) == 0 {
			sessions[i] = dfconnection.NewSessionState()
		}
		if r.intN(2) == 0 {
			r.change(sessions[i])
		}
		r.operate(sessions[i])
		r.model.mu.Lock()
		violations := r.model.violations
		r.model.mu.Unlock()
		require.Empty(r.t, violations)
	}
}

// Guards against statements that run under the values of another session, outside their
// transaction, or as another prepared statement, on the connections of the host.
func TestSessionStateOfOwnConnections(t *testing.T) {
	forEachVariant(t, 20, func(t *testing.T, model *sessionModel) {
		var idle []modelConn
		modelRun{
			t: t, model: model,
			acquire: func() modelConn {
				if last := len(idle) - 1; last > 0 {
					conn := idle[last]
					idle = idle[:last]
					return conn
				}
				return dfconnection.New("u", newModelTransport(model), nil)
			},
			release: func(conn modelConn, reusable bool) {
				if reusable && conn.State() == dfstatement.Idle {
					idle = append([]modelConn{conn}, idle...)
				}
			},
		}.operateSessions(2000)
	})
}

// Guards against the same on the connections of a carrier.
func TestSessionStateOfACarriersConnections(t *testing.T) {
	forEachVariant(t, 2, func(t *testing.T, model *sessionModel) {
		_, client := newFakeHostOver(t, func(context.Context, dffleet.Upstream, string) (*dfconnection.Conn, error) {
			return dfconnection.New("u", newModelTransport(model), nil), nil
		})
		modelRun{
			t: t, model: model,
			acquire: func() modelConn {
				return client.Conn(context.Background(), "u", "", 0, 5*dfclock.Second)
			},
			release: func(conn modelConn, reusable bool) {
				conn.(*Conn).Release(reusable && conn.State() == dfstatement.Idle)
			},
		}.operateSessions(400)
	})
}
