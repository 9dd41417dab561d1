package dfforward

import (
	"errors"
	"net"
	"time"

	"dragonflygrade/dfconnection"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfmessage"
	"dragonflygrade/dfreport"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfstatement"
)

const (
	// idleTimeout closes a client connection without an open transaction on which no
	// request arrives.
	idleTimeout = 20 * time.Second
	// transactionIdleTimeout is the same for a connection with an open transaction.
	// It is longer than the time after which the client itself rolls back an idle
	// transaction.
	transactionIdleTimeout = 30 * time.Second
)

// PoolProvider is the carrier, which holds the connections to upstreams.
type PoolProvider interface {
	// Pool returns the pool for an upstream, or nil if the host accepts no
	// statements for it. It returns an error if the upstream is known not to
	// answer.
	Pool(upstream dffleet.ID) (*dfconnection.Pool, *dfresult.Error)
	// AddLent adds to the number of connections that are in use by clients.
	AddLent(change int)
}

// Handler runs the requests of one client connection at a carrier.
type Handler struct {
	provider PoolProvider
	clock    dfconnection.Clock
	// client is the client connection.
	client net.Conn
	// pool and conn are the connection of the client's open transaction, or nil.
	// organisation is the one that the connection belongs to.
	pool         *dfconnection.Pool
	conn         *dfconnection.Conn
	organisation string
	// reported is the pool that ran the last request or refused it, or nil.
	reported *dfconnection.Pool
	// lastReport is the newest report. The client has read it if it sends another request.
	lastReport dfreport.Report
}

// NewHandler returns the handler of one client connection.
func NewHandler(provider PoolProvider, clock dfconnection.Clock) *Handler {
	return &Handler{provider: provider, clock: clock}
}

// Serve runs requests until the client closes the connection or is idle for too
// long.
func (h *Handler) Serve(client net.Conn) {
	h.client = client
	defer func() {
		_ = client.Close()
		h.release(false)
	}()
	for {
		timeout := idleTimeout
		if h.conn != nil {
			timeout = transactionIdleTimeout
		}
		if err := client.SetDeadline(time.Now().Add(timeout)); err != nil {
			return
		}
		var req request
		if err := dfmessage.Read(client, &req); err != nil {
			return
		}
		if req.cancels() {
			// The request before it was answered in the meantime.
			continue
		}
		rep := h.handle(req)
		h.addLoad(&rep)
		err := dfmessage.Write(client, rep)
		if errors.Is(err, dfmessage.ErrTooLarge) {
			err = dfmessage.Write(client, rep.withoutRows())
		}
		if err != nil {
			return
		}
	}
}

// addLoad adds the report on the upstream of the last request.
func (h *Handler) addLoad(rep *reply) {
	if h.reported == nil {
		return
	}
	if report, ok := h.reported.LoadReport(); ok {
		news := report.Since(h.lastReport)
		rep.Load, h.lastReport = &news, report
	}
}

func (h *Handler) handle(req request) reply {
	h.reported = h.pool
	deadline := time.Now().Add(time.Duration(req.Timeout) * time.Millisecond)
	var session *dfconnection.SessionState
	if req.HasSession {
		session = dfconnection.NewSessionState()
		for name, value := range req.Values {
			session.Values[name] = value
		}
	}
	var calls []dfstatement.Call
	for _, call := range req.Calls {
		statement, err := call.decode(session)
		if err != nil {
			return refusedReply(dfresult.NewError(dfresult.ProtocolViolation, "%v", err))
		}
		calls = append(calls, statement)
	}
	if !h.accepts(req) {
		return refusedReply(dfresult.NewError(dfresult.ProtocolViolation, "request for upstream %s", req.Upstream))
	}
	if h.conn == nil {
		pool, failure := h.provider.Pool(req.Upstream)
		if failure != nil {
			return refusedReply(failure)
		}
		if pool == nil {
			return reply{Declined: true, State: dfstatement.Idle}
		}
		h.reported = pool
		if err := h.acquire(pool, req); err != nil {
			return refusedReply(err)
		}
	}
	answers, sent, err := h.conn.Exchange(session, deadline, calls...)
	if err != nil {
		var refused *dfresult.Error
		if errors.As(err, &refused) && !sent {
			h.release(h.conn.State() == dfstatement.Idle)
			return refusedReply(refused)
		}
		timedOut := dfconnection.IsTimeout(err)
		if timedOut {
			h.pool.ReleaseTimedOut(h.conn)
		} else {
			h.pool.Release(h.conn, false)
		}
		h.detach()
		return reply{ConnError: err.Error(), Sent: sent, TimedOut: timedOut, State: dfstatement.Idle, Answers: answers}
	}
	result := reply{State: h.conn.State(), Answers: answers, Reports: h.statusReports(calls, answers)}
	if h.conn.State() == dfstatement.Idle {
		h.release(true)
	}
	return result
}

// accepts reports whether a request may run on the connection of the client's open
// transaction, if there is one.
func (h *Handler) accepts(req request) bool {
	return h.conn == nil || h.conn.Upstream() == req.Upstream && h.organisation == req.Organisation
}

// acquire gets a connection for the client's calls. The client sends nothing before the
// reply but a cancellation.
func (h *Handler) acquire(pool *dfconnection.Pool, req request) *dfresult.Error {
	caller, stop := dfconnection.UntilMessage(h.client)
	defer stop()
	conn, err := pool.Acquire(caller, req.Organisation, req.Priority, h.clock().Add(min(req.AcquireTimeout, req.Timeout)))
	if err != nil {
		return dfresult.FromError(err, dfresult.NoConnection)
	}
	h.pool, h.conn, h.organisation = pool, conn, req.Organisation
	h.provider.AddLent(1)
	return nil
}

// statusReports decodes the answers to status calls.
func (h *Handler) statusReports(calls []dfstatement.Call, answers []dfstatement.Answer) []dfstatement.Report {
	var reports []dfstatement.Report
	for i, answer := range answers {
		if _, ok := calls[i].Statement.(dfstatement.Status); !ok || !answer.OK() {
			continue
		}
		// The reply lacks a report that cannot be decoded. The client then returns an
		// error.
		if report, err := h.conn.Report(answer); err == nil {
			reports = append(reports, report)
		}
	}
	return reports
}

// release returns the connection to its pool. If it is not reusable, the pool
// closes it, which rolls back an open transaction.
func (h *Handler) release(reusable bool) {
	if h.conn == nil {
		return
	}
	h.pool.Release(h.conn, reusable)
	h.detach()
}

func (h *Handler) detach() {
	h.pool, h.conn = nil, nil
	h.provider.AddLent(-1)
}
