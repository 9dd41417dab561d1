package dfconnection

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfstatement"
)

// scriptedTransport returns answers in the order of a script.
type scriptedTransport struct {
	script []dfstatement.Answer
	// buffered is the number of answers that have already been received.
	buffered int
	sent     []dfstatement.Statement
	closed   bool
}

func (s *scriptedTransport) Send(calls []dfstatement.Call) error {
	for _, call := range calls {
		s.sent = append(s.sent, call.Statement)
	}
	return nil
}

func (s *scriptedTransport) Receive() (dfstatement.Answer, error) {
	if len(s.script) == 0 {
		return dfstatement.Answer{}, eris.New("no answer")
	}
	answer := s.script[0]
	s.script, s.buffered = s.script[1:], max(0, s.buffered-1)
	return answer, nil
}

func (s *scriptedTransport) Report(dfstatement.Answer) (dfstatement.Report, error) {
	return dfstatement.Report{}, nil
}
func (s *scriptedTransport) Deadline(time.Time) error { return nil }
func (s *scriptedTransport) Pending() bool            { return s.buffered > 0 }
func (s *scriptedTransport) Close() error {
	s.closed = true
	return nil
}

// Answers of the scripts.
var (
	done  = dfstatement.Answer{State: dfstatement.Idle}
	begun = dfstatement.Answer{State: dfstatement.InTransaction}
	busy  = dfstatement.Failure(dfresult.QueueFull, "BUSY p", dfstatement.Idle)
)

func proven(proof string, rows ...string) dfstatement.Answer {
	return dfstatement.Answer{Proof: proof, Rows: rows, State: dfstatement.Idle}
}

func inTransaction(answer dfstatement.Answer) dfstatement.Answer {
	return answer.WithState(dfstatement.InTransaction)
}

// Guards against an answer that is given to a call that it cannot belong to, and against
// legal answers that are refused.
func TestAnswerOfAnotherStatement(t *testing.T) {
	read, write, commit := dfstatement.Read{Item: "x"}, dfstatement.Write{Item: "x"}, dfstatement.Commit{}
	begin, rollback := dfstatement.Begin{}, dfstatement.Rollback{}
	for name, play := range map[string]struct {
		statement dfstatement.Statement
		state     dfstatement.State
		answer    dfstatement.Answer
		legal     bool
	}{
		"read":                              {read, dfstatement.Idle, proven("p", "1"), true},
		"read without rows":                 {read, dfstatement.Idle, proven("p"), true},
		"read in a transaction":             {read, dfstatement.InTransaction, inTransaction(proven("p", "1")), true},
		"read without a proof":              {read, dfstatement.Idle, done, false},
		"read that left its transaction":    {read, dfstatement.InTransaction, proven("p", "1"), false},
		"read that began a transaction":     {read, dfstatement.Idle, inTransaction(proven("p", "1")), false},
		"write":                             {write, dfstatement.Idle, proven("p"), true},
		"write without a proof":             {write, dfstatement.Idle, done, false},
		"refused write":                     {write, dfstatement.Idle, busy, true},
		"execute without a proof":           {dfstatement.Execute{Name: "p1"}, dfstatement.Idle, done, false},
		"commit":                            {commit, dfstatement.InTransaction, proven("p"), true},
		"commit without a proof":            {commit, dfstatement.InTransaction, done, false},
		"commit with rows":                  {commit, dfstatement.InTransaction, proven("p", "1"), false},
		"commit within a transaction":       {commit, dfstatement.InTransaction, inTransaction(proven("p")), false},
		"begin":                             {begin, dfstatement.Idle, begun, true},
		"begin with a proof":                {begin, dfstatement.Idle, inTransaction(proven("p")), false},
		"begin without a transaction":       {begin, dfstatement.Idle, done, false},
		"refused begin":                     {begin, dfstatement.Idle, busy, true},
		"rollback":                          {rollback, dfstatement.InTransaction, done, true},
		"rollback of a failed transaction":  {rollback, dfstatement.FailedTransaction, done, true},
		"rollback with a proof":             {rollback, dfstatement.InTransaction, proven("p"), false},
		"rollback within a transaction":     {rollback, dfstatement.InTransaction, begun, false},
		"set with rows":                     {dfstatement.Set{Name: "v"}, dfstatement.Idle, dfstatement.Answer{Rows: []string{"1"}, State: dfstatement.Idle}, false},
		"set in a transaction":              {dfstatement.Set{Name: "v"}, dfstatement.InTransaction, begun, true},
		"prepare with a proof":              {dfstatement.Prepare{Name: "p1"}, dfstatement.Idle, proven("p"), false},
		"reset with a proof":                {dfstatement.Reset{}, dfstatement.Idle, proven("p"), false},
		"status":                            {dfstatement.Status{}, dfstatement.Idle, dfstatement.Answer{Rows: []string{"replica"}, State: dfstatement.Idle}, true},
		"status without a row":              {dfstatement.Status{}, dfstatement.Idle, done, false},
		"status with a proof":               {dfstatement.Status{}, dfstatement.Idle, proven("p", "replica"), false},
		"demotion without a row":            {dfstatement.Demote{Term: 2}, dfstatement.Idle, done, false},
		"malformed statement of the caller": {dfstatement.Malformed{}, dfstatement.Idle, done, true},
	} {
		t.Run(name, func(t *testing.T) {
			transport := &scriptedTransport{script: []dfstatement.Answer{play.answer}}
			conn := New("p", transport, nil)
			conn.state = play.state
			answers, sent, err := conn.Exchange(nil, time.Time{}, dfstatement.Call{Statement: play.statement})
			require.True(t, sent)
			require.Equal(t, play.legal, err == nil)
			require.Equal(t, play.legal, conn.inStep())
			if play.legal {
				require.Equal(t, []dfstatement.Answer{play.answer}, answers)
			}
		})
	}
}

// Guards against a repeated answer that is given to the next call, also within pipelined
// calls and between the statements of a transaction.
func TestRepeatedAnswerIsDropped(t *testing.T) {
	first, second := proven("first", "1"), proven("second", "2")
	transport := &scriptedTransport{script: []dfstatement.Answer{first, first, second, second, begun}, buffered: 0}
	conn := New("p", transport, nil)
	call := dfstatement.Call{ID: "1", Statement: dfstatement.Read{Item: "x"}}
	answers, _, err := conn.Exchange(nil, time.Time{}, call, call)
	require.NoError(t, err)
	require.Equal(t, []dfstatement.Answer{first, second}, answers)
	require.False(t, conn.inStep())
	answers, _, err = conn.Exchange(nil, time.Time{}, dfstatement.Call{Statement: dfstatement.Begin{}})
	require.NoError(t, err)
	require.Equal(t, []dfstatement.Answer{begun}, answers)

	transport.script, transport.buffered = []dfstatement.Answer{second, inTransaction(proven("third", "3"))}, 1
	answers, _, err = conn.Exchange(nil, time.Time{}, call)
	require.NoError(t, err)
	require.Equal(t, "third", answers[0].Proof)

	// Unread data that is no repeated answer: nothing is sent.
	transport.script, transport.buffered, transport.sent = []dfstatement.Answer{begun}, 1, nil
	_, sent, err := conn.Exchange(nil, time.Time{}, call)
	require.Error(t, err)
	require.False(t, sent)
	require.Empty(t, transport.sent)
}

// Guards against rows of two answers that are joined to one: the proof was seen before,
// with other rows.
func TestRepeatedProofWithOtherRows(t *testing.T) {
	transport := &scriptedTransport{script: []dfstatement.Answer{proven("first", "1"), proven("first", "2", "1")}}
	conn := New("p", transport, nil)
	call := dfstatement.Call{ID: "1", Statement: dfstatement.Read{Item: "x"}}
	_, _, err := conn.Exchange(nil, time.Time{}, call, call)
	require.Error(t, err)
}

// Guards against a repeated refusal that says of a later write that it did not run, and
// against a genuine refusal, which may come twice, that counts as one.
func TestRepeatedRefusalOfAWrite(t *testing.T) {
	later := busy
	later.Position = dfposition.Position{Term: 1, Offset: 2}
	lost := dfstatement.Failure(dfresult.NeedsPrimary, "READONLY p", dfstatement.FailedTransaction)
	for name, play := range map[string]struct {
		statement dfstatement.Statement
		state     dfstatement.State
		script    []dfstatement.Answer
		genuine   bool
		resets    int
	}{
		"genuine":                   {dfstatement.Write{}, dfstatement.Idle, []dfstatement.Answer{busy, done}, true, 1},
		"at another position":       {dfstatement.Write{}, dfstatement.Idle, []dfstatement.Answer{later}, true, 0},
		"the write ran":             {dfstatement.Write{}, dfstatement.Idle, []dfstatement.Answer{busy, proven("p")}, false, 1},
		"the write failed":          {dfstatement.Write{}, dfstatement.Idle, []dfstatement.Answer{busy, later}, false, 1},
		"the transaction was begun": {dfstatement.Begin{}, dfstatement.Idle, []dfstatement.Answer{busy, begun}, false, 1},
		"the commit ran":            {dfstatement.Commit{}, dfstatement.InTransaction, []dfstatement.Answer{busy, proven("p")}, false, 1},
		"a read of a transaction":   {dfstatement.Write{}, dfstatement.Idle, []dfstatement.Answer{lost, done}, false, 0},
		"commit":                    {dfstatement.Commit{}, dfstatement.InTransaction, []dfstatement.Answer{lost}, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			transport := &scriptedTransport{script: []dfstatement.Answer{busy}}
			conn := New("p", transport, nil)
			conn.history.addFailure(lost)
			_, _, err := conn.Exchange(nil, time.Time{}, dfstatement.Call{ID: "1", Statement: dfstatement.Write{}})
			require.NoError(t, err)
			transport.script, transport.sent, conn.state = play.script, nil, play.state
			_, sent, err := conn.Exchange(nil, time.Time{}, dfstatement.Call{ID: "2", Statement: play.statement})
			require.True(t, sent)
			require.Equal(t, play.genuine, err == nil, "%v", err)
			require.Len(t, transport.sent, 1+play.resets)
		})
	}
}

// Guards against the answer to a read that goes to the next caller, after a repeated
// refusal was taken for it, and against a round trip for each replica that lags.
func TestRepeatedRefusalOfARead(t *testing.T) {
	lagging := dfstatement.Failure(dfresult.NoFreshUpstream, "LAGGING p", dfstatement.Idle)
	late := proven("late", "1")
	transport := &scriptedTransport{script: []dfstatement.Answer{lagging, lagging}}
	conn := New("p", transport, nil)
	read := dfstatement.Call{ID: "1", Statement: dfstatement.Read{Item: "x"}, MinPosition: dfposition.Position{Term: 1, Offset: 2}}
	for range 2 {
		answers, _, err := conn.Exchange(NewSessionState(), time.Time{}, read)
		require.NoError(t, err)
		require.Equal(t, []dfstatement.Answer{lagging}, answers)
	}
	require.Len(t, transport.sent, 2)
	transport.script = []dfstatement.Answer{late, done, proven("next", "2")}
	_, _, err := conn.Exchange(NewSessionState(), time.Time{}, read)
	require.Error(t, err)
	require.Equal(t, dfstatement.Reset{}, transport.sent[2])
}

// Guards against a connection with unread data in the codec, or on which an answer was
// repeated, that is given to the next caller.
func TestConnectionOutOfStepIsNotUsedAgain(t *testing.T) {
	for name, script := range map[string][]dfstatement.Answer{
		"unread":   {proven("first"), proven("first")},
		"repeated": {proven("first"), proven("first"), proven("second")},
	} {
		t.Run(name, func(t *testing.T) {
			var opened []*scriptedTransport
			open := func(_ context.Context, upstream dffleet.Upstream, _ string) (*Conn, error) {
				transport := &scriptedTransport{}
				opened = append(opened, transport)
				return New(upstream.ID, transport, nil), nil
			}
			startedAt := time.Now()
			clock := func() dfclock.Millis { return dfclock.Millis(time.Since(startedAt).Milliseconds()) }
			pool := NewPool(dffleet.Upstream{ID: "p"}, 1, UseOwn, clock, open, func(dffleet.ID, error) {}, rand.New(rand.NewPCG(1, 1)))
			defer pool.Close()
			conn, err := pool.Acquire(context.Background(), "", 0, clock().Add(dfclock.Second))
			require.NoError(t, err)
			opened[0].script = script
			call := dfstatement.Call{ID: "1", Statement: dfstatement.Write{Item: "x"}}
			calls := []dfstatement.Call{call}
			if name == "repeated" {
				calls = append(calls, call)
			}
			_, _, err = conn.Exchange(nil, time.Time{}, calls...)
			require.NoError(t, err)
			opened[0].buffered = len(opened[0].script)
			pool.Release(conn, true)
			next, err := pool.Acquire(context.Background(), "", 0, clock().Add(dfclock.Second))
			require.NoError(t, err)
			require.NotSame(t, conn, next)
			require.True(t, opened[0].closed)
		})
	}
}
