package dfforward

import (
	"net"
	"time"

	"dragonflygrade/dfconnection"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfmessage"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfstatement"
)

const (
	// idleSpan ends a connection whose asker sends nothing and holds nothing.
	idleSpan = 20 * time.Second
	// leaseSpan ends one whose asker holds a transaction and sends nothing: the
	// asker ends resting transactions earlier than that.
	leaseSpan = 30 * time.Second
)

// Holder is the host that holds the connections.
type Holder interface {
	// Pool returns the pool of an upstream, or nil if the host takes no statements
	// for it. An error tells that the upstream is known not to answer.
	Pool(upstream dffleet.ID) (*dfconnection.Pool, *dfresult.Error)
	// Lent counts the connections that are in use by askers.
	Lent(change int)
}

// Carrier runs the requests of one asker.
type Carrier struct {
	holder Holder
	clock  dfconnection.Clock
	// pool and lease are the connection that the asker's transaction runs on, or
	// nil.
	pool  *dfconnection.Pool
	lease *dfconnection.Conn
}

// NewCarrier returns a carrier for one asker's connection.
func NewCarrier(holder Holder, clock dfconnection.Clock) *Carrier {
	return &Carrier{holder: holder, clock: clock}
}

// Serve runs requests until the asker leaves.
func (c *Carrier) Serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		c.end(false)
	}()
	for {
		span := idleSpan
		if c.lease != nil {
			span = leaseSpan
		}
		if err := conn.SetDeadline(time.Now().Add(span)); err != nil {
			return
		}
		var message request
		if err := dfmessage.Read(conn, &message); err != nil {
			return
		}
		if err := dfmessage.Write(conn, c.run(message)); err != nil {
			return
		}
	}
}

func (c *Carrier) run(message request) reply {
	deadline := time.Now().Add(time.Duration(message.Timeout) * time.Millisecond)
	var session *dfconnection.Context
	if message.HasContext {
		session = dfconnection.NewContext()
		for name, value := range message.Values {
			session.Values[name] = value
		}
	}
	var calls []dfstatement.Call
	for _, call := range message.Calls {
		statement, err := call.statement(session)
		if err != nil {
			return refusal(dfresult.NewError(dfresult.ProtocolViolation, "%v", err))
		}
		calls = append(calls, statement)
	}
	if len(calls) == 0 || c.lease != nil && c.lease.Upstream() != message.Upstream {
		return refusal(dfresult.NewError(dfresult.ProtocolViolation, "request for upstream %s", message.Upstream))
	}
	if c.lease == nil {
		pool, failure := c.holder.Pool(message.Upstream)
		if failure != nil {
			return refusal(failure)
		}
		if pool == nil {
			return reply{Declined: true, State: dfstatement.Idle}
		}
		if err := c.acquire(pool, message); err != nil {
			return refusal(err)
		}
	}
	answers, sent, err := c.lease.Exchange(session, deadline, calls...)
	if err != nil {
		timedOut := dfconnection.IsTimeout(err)
		if timedOut {
			c.pool.Silent(c.lease)
		} else {
			c.pool.Release(c.lease, false)
		}
		c.forget()
		return reply{Broken: err.Error(), Sent: sent, TimedOut: timedOut, State: dfstatement.Idle, Answers: answers}
	}
	answer := reply{State: c.lease.State(), Answers: answers, Reports: c.reports(calls, answers)}
	if c.lease.State() == dfstatement.Idle {
		last := len(calls) - 1
		_, commits := calls[last].Statement.(dfstatement.Commit)
		if commits && answers[last].OK() {
			c.lease.Committed()
		} else {
			c.lease.RolledBack()
		}
		c.end(true)
	}
	return answer
}

// acquire takes a connection for the asker.
func (c *Carrier) acquire(pool *dfconnection.Pool, message request) *dfresult.Error {
	lease, err := pool.Acquire(message.Priority, c.clock().Add(min(message.Patience, message.Timeout)))
	if err != nil {
		return dfresult.FromError(err, dfresult.NoConnection)
	}
	c.pool, c.lease = pool, lease
	c.holder.Lent(1)
	return nil
}

// reports reads the status answers.
func (c *Carrier) reports(calls []dfstatement.Call, answers []dfstatement.Answer) []dfstatement.Report {
	var reports []dfstatement.Report
	for i, answer := range answers {
		if _, ok := calls[i].Statement.(dfstatement.Status); !ok || !answer.OK() {
			continue
		}
		// An unreadable report is missing in the reply; the asker says so.
		if report, err := c.lease.Report(answer); err == nil {
			reports = append(reports, report)
		}
	}
	return reports
}

// end gives the connection back, or closes it, which rolls back.
func (c *Carrier) end(reusable bool) {
	if c.lease == nil {
		return
	}
	c.pool.Release(c.lease, reusable)
	c.forget()
}

func (c *Carrier) forget() {
	c.pool, c.lease = nil, nil
	c.holder.Lent(-1)
}
