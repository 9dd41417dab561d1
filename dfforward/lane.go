package dfforward

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfconnection"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfmember"
	"dragonflygrade/dfmessage"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfstatement"
)

const (
	// dialTimeout bounds the connection to a carrier, which is in the same data
	// centre.
	dialTimeout = 250 * time.Millisecond
	// replyMargin is the time that the last reply of a carrier may take to arrive
	// after the request's own timeout.
	replyMargin = 100 * time.Millisecond
	// idleConnections bounds those that a lane keeps for later requests.
	idleConnections = 8
)

// Dial opens a network connection.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// CarrierError tells that a carrier did not answer.
type CarrierError struct {
	Carrier dfmember.Host
	Err     error
}

// Error implements error.
func (e *CarrierError) Error() string {
	return "carrier " + e.Carrier.ID + ": " + e.Err.Error()
}

// Unwrap returns the failure of the network.
func (e *CarrierError) Unwrap() error {
	return e.Err
}

// Lane is the way to one carrier. It is safe for concurrent use.
type Lane struct {
	carrier dfmember.Host
	address string
	dial    Dial

	mu   sync.Mutex
	idle []net.Conn
}

// NewLane returns a lane without connections. The address is the one at which
// the carrier takes requests.
func NewLane(carrier dfmember.Host, address string, dial Dial) *Lane {
	return &Lane{carrier: carrier, address: address, dial: dial}
}

// Line returns the use of a connection that the carrier holds to an upstream.
// The carrier gives one with the first exchange.
func (l *Lane) Line(upstream dffleet.ID, priority int, patience dfclock.Millis) *Line {
	return &Line{lane: l, upstream: upstream, priority: priority, patience: patience, state: dfstatement.Idle}
}

// Close closes the connections that are not in use.
func (l *Lane) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.idle {
		_ = conn.Close()
	}
	l.idle = nil
}

// take returns an idle connection that the carrier has not closed, or a new one.
func (l *Lane) take() (net.Conn, error) {
	for {
		conn := l.pop()
		if conn == nil {
			break
		}
		if raw, ok := conn.(syscall.Conn); !ok || !dfconnection.PeerClosed(raw) {
			return conn, nil
		}
		_ = conn.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	return l.dial(ctx, l.address)
}

func (l *Lane) pop() net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := len(l.idle) - 1
	if last < 0 {
		return nil
	}
	conn := l.idle[last]
	l.idle = l.idle[:last]
	return conn
}

func (l *Lane) put(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.idle) >= idleConnections {
		_ = conn.Close()
		return
	}
	l.idle = append(l.idle, conn)
}

// Line is one use of a carrier's connection to an upstream, from the first
// exchange until it is released. It is used by one goroutine.
type Line struct {
	lane     *Lane
	upstream dffleet.ID
	priority int
	patience dfclock.Millis
	// conn is nil before the first exchange and after a failure.
	conn    net.Conn
	state   dfstatement.State
	reports []dfstatement.Report
}

// Exchange has the carrier send calls in one write and returns their answers.
// Sent is false if the upstream cannot have received any. A refusal by the
// carrier is a *dfresult.Error, and one that does not answer a *CarrierError.
func (l *Line) Exchange(context *dfconnection.Context, deadline time.Time, calls ...dfstatement.Call) (answers []dfstatement.Answer, sent bool, err error) {
	message := request{
		Upstream: l.upstream, Priority: l.priority, Patience: l.patience,
		Timeout: dfclock.Millis(time.Until(deadline) / time.Millisecond), HasContext: context != nil,
	}
	if context != nil {
		message.Values = context.Values
	}
	for _, statement := range calls {
		call, err := newCall(statement, context)
		if err != nil {
			return nil, false, err
		}
		message.Calls = append(message.Calls, call)
	}
	if l.conn == nil {
		if l.conn, err = l.lane.take(); err != nil {
			l.conn = nil
			return nil, false, &CarrierError{Carrier: l.lane.carrier, Err: err}
		}
	}
	answer, sent, err := l.exchange(message, deadline)
	if err != nil {
		l.drop()
		return nil, sent, &CarrierError{Carrier: l.lane.carrier, Err: err}
	}
	return l.result(answer)
}

func (l *Line) exchange(message request, deadline time.Time) (answer reply, sent bool, err error) {
	if err := l.conn.SetDeadline(deadline.Add(replyMargin)); err != nil {
		return answer, false, err
	}
	if err := dfmessage.Write(l.conn, message); err != nil {
		return answer, true, err
	}
	return answer, true, dfmessage.Read(l.conn, &answer)
}

func (l *Line) result(answer reply) ([]dfstatement.Answer, bool, error) {
	l.state = answer.State
	l.reports = answer.Reports
	if answer.Declined {
		err := eris.Errorf("it takes no statements for upstream %s", l.upstream)
		return nil, false, &CarrierError{Carrier: l.lane.carrier, Err: err}
	}
	if answer.Refused != dfresult.OK {
		detail := answer.Detail + " (carrier " + l.lane.carrier.ID + ")"
		return nil, false, dfresult.NewError(answer.Refused, "%s", detail).WithRetryAfter(answer.RetryAfter)
	}
	if answer.Broken != "" {
		l.state = dfstatement.Idle
		err := eris.Errorf("%s (carrier %s)", answer.Broken, l.lane.carrier.ID)
		if answer.TimedOut {
			err = eris.Wrap(os.ErrDeadlineExceeded, err.Error())
		}
		return answer.Answers, answer.Sent, err
	}
	return answer.Answers, true, nil
}

// State returns the transaction state of the newest answer.
func (l *Line) State() dfstatement.State {
	return l.state
}

// Report returns the content of the status answer of the newest exchange.
func (l *Line) Report(dfstatement.Answer) (dfstatement.Report, error) {
	if len(l.reports) == 0 {
		return dfstatement.Report{}, eris.New("forward: the carrier could not read the status")
	}
	return l.reports[0], nil
}

// RolledBack and Committed are for the holder of a connection; the carrier sees
// the end of a transaction itself.
func (l *Line) RolledBack() {}

// Committed is the counterpart of RolledBack.
func (l *Line) Committed() {}

// Release ends the use. A transaction that is still open is rolled back by the
// carrier, which sees the connection close.
func (l *Line) Release(reusable bool) {
	if l.conn == nil {
		return
	}
	if !reusable || l.state != dfstatement.Idle {
		l.drop()
		return
	}
	l.lane.put(l.conn)
	l.conn = nil
}

// Silent ends the use after the carrier told that the upstream did not answer.
// The connection to the carrier can be used again.
func (l *Line) Silent() {
	l.Release(true)
}

func (l *Line) drop() {
	_ = l.conn.Close()
	l.conn = nil
}
