package dfforward

import (
	"context"
	"errors"
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
	"dragonflygrade/dfreport"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfstatement"
)

const (
	// dialTimeout bounds the time to connect to a carrier. It is many round trips, also
	// between data centres.
	dialTimeout = 250 * time.Millisecond
	// replyMargin is how long after the timeout of a request its reply may arrive.
	replyMargin = 100 * time.Millisecond
	// maxIdleConns bounds the idle connections that a client keeps for later
	// requests.
	maxIdleConns = 8
)

// Dial opens a network connection.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// CarrierError means that a carrier did not answer, or accepts no statements
// for the upstream.
type CarrierError struct {
	Carrier dfmember.Host
	Err     error
}

// Error implements error.
func (e *CarrierError) Error() string {
	return "carrier " + e.Carrier.ID + ": " + e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *CarrierError) Unwrap() error {
	return e.Err
}

// Client sends requests to one carrier. It is safe for concurrent use.
type Client struct {
	carrier dfmember.Host
	address string
	dial    Dial

	mu   sync.Mutex
	idle []net.Conn
}

// NewClient returns a client without connections. The carrier listens for
// requests at address.
func NewClient(carrier dfmember.Host, address string, dial Dial) *Client {
	return &Client{carrier: carrier, address: address, dial: dial}
}

// Conn returns a connection to an upstream through the carrier, in the name of an
// organisation or of none. The carrier acquires it from its pool with the first
// exchange. If caller ends meanwhile, because the caller of the statement left, the
// exchange is cancelled, unless the carrier has sent it to the upstream.
func (c *Client) Conn(caller context.Context, upstream dffleet.ID, organisation string, priority int, acquireTimeout dfclock.Millis) *Conn {
	return &Conn{
		client: c, caller: caller, upstream: upstream, organisation: organisation, priority: priority, acquireTimeout: acquireTimeout,
		state: dfstatement.Idle,
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		_ = conn.Close()
	}
	c.idle = nil
}

// getConn returns an idle connection that the carrier has not closed, or a new
// one.
func (c *Client) getConn() (net.Conn, error) {
	for {
		conn := c.popIdle()
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
	return c.dial(ctx, c.address)
}

func (c *Client) popIdle() net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := len(c.idle) - 1
	if last < 0 {
		return nil
	}
	conn := c.idle[last]
	c.idle = c.idle[:last]
	return conn
}

func (c *Client) putIdle(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= maxIdleConns {
		_ = conn.Close()
		return
	}
	c.idle = append(c.idle, conn)
}

// Conn is a connection to an upstream that a carrier lends to this host from the
// first exchange until it is released. It is used by one goroutine.
type Conn struct {
	client *Client
	// caller ends when the caller of the first exchange leaves.
	caller         context.Context
	upstream       dffleet.ID
	organisation   string
	priority       int
	acquireTimeout dfclock.Millis
	// netConn is the connection to the carrier. It is nil before the first exchange
	// and after a failure.
	netConn net.Conn
	state   dfstatement.State
	reports []dfstatement.Report
	// load is the carrier's report in the newest reply, or nil.
	load *dfreport.Report
}

// Exchange makes the carrier send calls in one write and returns their answers.
// sent is false if the upstream cannot have run any of them. The error is a
// *dfresult.Error if the carrier refused or the request is too large for it, and a
// *CarrierError if the carrier did not answer or accepts no statements for the upstream.
func (c *Conn) Exchange(session *dfconnection.SessionState, deadline time.Time, calls ...dfstatement.Call) (answers []dfstatement.Answer, sent bool, err error) {
	req := request{
		Upstream: c.upstream, Priority: c.priority, AcquireTimeout: c.acquireTimeout,
		Timeout: dfclock.Millis(time.Until(deadline) / time.Millisecond), HasSession: session != nil,
		Organisation: c.organisation,
	}
	if session != nil {
		req.Values = session.Values
	}
	c.load = nil
	for _, statement := range calls {
		call, err := encodeCall(statement, session)
		if err != nil {
			return nil, false, err
		}
		req.Calls = append(req.Calls, call)
	}
	first := c.netConn == nil
	if first {
		if c.netConn, err = c.client.getConn(); err != nil {
			c.netConn = nil
			return nil, false, &CarrierError{Carrier: c.client.carrier, Err: err}
		}
		if c.caller.Err() != nil {
			return nil, false, dfresult.NewError(dfresult.CallerLeft, "before the request was sent to carrier %s", c.client.carrier.ID)
		}
	}
	rep, sent, err := c.roundTrip(req, deadline, first)
	if errors.Is(err, dfmessage.ErrTooLarge) {
		return nil, false, dfresult.NewError(dfresult.MessageTooLarge, "request to carrier %s: %v", c.client.carrier.ID, err)
	}
	if err != nil {
		c.closeNetConn()
		return nil, sent, &CarrierError{Carrier: c.client.carrier, Err: err}
	}
	return c.handleReply(rep)
}

func (c *Conn) roundTrip(req request, deadline time.Time, cancellable bool) (rep reply, sent bool, err error) {
	if err := c.netConn.SetDeadline(deadline.Add(replyMargin)); err != nil {
		return rep, false, err
	}
	if err := dfmessage.Write(c.netConn, req); err != nil {
		return rep, true, err
	}
	if cancellable {
		defer c.cancelWhenCallerLeaves()()
	}
	return rep, true, dfmessage.Read(c.netConn, &rep)
}

// cancelWhenCallerLeaves cancels the request under way once its caller leaves. The
// returned function ends this. It returns after a cancellation was sent, so that a
// cancellation never follows a later request.
func (c *Conn) cancelWhenCallerLeaves() (stop func()) {
	sent := make(chan struct{})
	remove := context.AfterFunc(c.caller, func() {
		defer close(sent)
		// After a failure the request keeps its place until its admission deadline.
		_ = dfmessage.Write(c.netConn, request{})
	})
	return func() {
		if !remove() {
			<-sent
		}
	}
}

func (c *Conn) handleReply(rep reply) ([]dfstatement.Answer, bool, error) {
	c.state = rep.State
	c.reports = rep.Reports
	c.load = rep.Load
	if rep.Declined {
		err := eris.Errorf("it takes no statements for upstream %s", c.upstream)
		return nil, false, &CarrierError{Carrier: c.client.carrier, Err: err}
	}
	if rep.Refused != dfresult.OK {
		detail := rep.Detail + " (carrier " + c.client.carrier.ID + ")"
		return nil, false, dfresult.NewError(rep.Refused, "%s", detail).WithRetryAfter(rep.RetryAfter)
	}
	if rep.ConnError != "" {
		c.state = dfstatement.Idle
		err := eris.Errorf("%s (carrier %s)", rep.ConnError, c.client.carrier.ID)
		if rep.TimedOut {
			err = eris.Wrap(os.ErrDeadlineExceeded, err.Error())
		}
		return rep.Answers, rep.Sent, err
	}
	return rep.Answers, true, nil
}

// State returns the transaction state of the newest answer.
func (c *Conn) State() dfstatement.State {
	return c.state
}

// Report returns the decoded answer to the status call of the newest exchange.
func (c *Conn) Report(dfstatement.Answer) (dfstatement.Report, error) {
	if len(c.reports) == 0 {
		return dfstatement.Report{}, eris.New("forward: carrier could not decode the status")
	}
	return c.reports[0], nil
}

// LoadReport returns the carrier's report on the upstream in the newest reply. ok is
// false if there is none.
func (c *Conn) LoadReport() (carrier string, report dfreport.Report, ok bool) {
	if c.load == nil {
		return "", dfreport.Report{}, false
	}
	return c.client.carrier.ID, *c.load, true
}

// Release returns the connection to the carrier. If a transaction is open, the
// network connection is closed, which makes the carrier roll back.
func (c *Conn) Release(reusable bool) {
	if c.netConn == nil {
		return
	}
	if !reusable || c.state != dfstatement.Idle {
		c.closeNetConn()
		return
	}
	c.client.putIdle(c.netConn)
	c.netConn = nil
}

// ReleaseTimedOut releases the connection after the carrier reported that the
// upstream did not answer. The network connection to the carrier can be reused.
func (c *Conn) ReleaseTimedOut() {
	c.Release(true)
}

func (c *Conn) closeNetConn() {
	_ = c.netConn.Close()
	c.netConn = nil
}
