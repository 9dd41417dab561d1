package dfedge

import (
	"context"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfconnection"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfforward"
	"dragonflygrade/dfmember"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfstatement"
)

// upstreamConn is a connection to an upstream, held by one attempt. It belongs to
// one of this host's pools or to a carrier host.
type upstreamConn interface {
	// Exchange sends calls in one write and returns their answers. sent is false if
	// the upstream cannot have received any of them.
	Exchange(sessionState *dfconnection.SessionState, deadline time.Time, calls ...dfstatement.Call) (answers []dfstatement.Answer, sent bool, err error)
	// State returns the transaction state of the newest answer.
	State() dfstatement.State
	RolledBack()
	Committed()
	Report(answer dfstatement.Answer) (dfstatement.Report, error)
	// Release returns the connection. reusable is false if its state is uncertain.
	Release(reusable bool)
	// ReleaseTimedOut returns the connection after its upstream did not answer in
	// time.
	ReleaseTimedOut()
}

// connSource provides connections to one upstream.
type connSource interface {
	// acquire returns a connection that was opened in the name of an organisation, or
	// of none if it is empty. Otherwise it returns an error whose outcome is "not run".
	acquire(organisation string, priority int, deadline dfclock.Millis) (upstreamConn, error)
}

// poolSource provides this host's own connections.
type poolSource struct {
	pool *dfconnection.Pool
}

func (p poolSource) acquire(organisation string, priority int, deadline dfclock.Millis) (upstreamConn, error) {
	conn, err := p.pool.Acquire(organisation, priority, deadline)
	if err != nil {
		return nil, err
	}
	return pooledConn{Conn: conn, pool: p.pool}, nil
}

// pooledConn is a connection of this host's own pool.
type pooledConn struct {
	*dfconnection.Conn
	pool *dfconnection.Pool
}

// Release returns the connection to the pool.
func (p pooledConn) Release(reusable bool) {
	p.pool.Release(p.Conn, reusable)
}

// ReleaseTimedOut makes the pool probe connections of the same age before reuse.
func (p pooledConn) ReleaseTimedOut() {
	p.pool.ReleaseTimedOut(p.Conn)
}

// carrierSource provides connections held by a carrier host.
type carrierSource struct {
	client   *dfforward.Client
	upstream dffleet.ID
	clock    dfconnection.Clock
}

func (c carrierSource) acquire(organisation string, priority int, deadline dfclock.Millis) (upstreamConn, error) {
	return c.client.Conn(c.upstream, organisation, priority, max(0, deadline-c.clock())), nil
}

// connectionPlan returns how the hosts share the connections to a service's
// upstreams.
func (e *Edge) connectionPlan(now dfclock.Millis, s *service) dfforward.Plan {
	config, ok := e.catalog.Service(s.name)
	if !ok || e.options.ForwardPort == 0 {
		return dfforward.Plan{}
	}
	usable := dfconnection.Usable(config.ConnectionLimit)
	return dfforward.NewPlan(usable, e.neighbours.HostCount(now), len(e.neighbours.Speakers(now)))
}

// connSourceFor selects this host's pool or a carrier host for a statement to an
// upstream. queued is true if a carrier, or this host as one, queues the statement.
// e.mu must be held.
func (e *Edge) connSourceFor(now dfclock.Millis, s *service, id dffleet.ID) (source connSource, queued bool) {
	plan := e.connectionPlan(now, s)
	if !plan.Shared() {
		return poolSource{s.pools[id]}, false
	}
	carriers := e.neighbours.Carriers(now, id, plan.Carriers)
	if len(carriers) == 0 || slices.Contains(carriers, e.options.Self) {
		return poolSource{s.pools[id]}, len(carriers) > 0
	}
	carrier := carriers[e.random.IntN(len(carriers))]
	e.counters.statementsForwarded.Inc()
	return carrierSource{client: e.carrierClient(carrier), upstream: id, clock: e.options.Now}, true
}

// carrierClient returns the client of a carrier host. e.mu must be held.
func (e *Edge) carrierClient(carrier dfmember.Host) *dfforward.Client {
	client := e.carrierClients[carrier.Address]
	if client == nil {
		host, _, err := net.SplitHostPort(carrier.Address)
		if err != nil {
			host = carrier.Address
		}
		address := net.JoinHostPort(host, strconv.Itoa(e.options.ForwardPort))
		client = dfforward.NewClient(carrier, address, e.options.Dial)
		e.carrierClients[carrier.Address] = client
	}
	return client
}

// carrierFailed takes a carrier host that did not answer out of use for a while.
func (e *Edge) carrierFailed(failure *dfforward.CarrierError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.neighbours.RecordFailure(e.options.Now(), failure.Carrier.Address)
	if client := e.carrierClients[failure.Carrier.Address]; client != nil {
		client.Close()
		delete(e.carrierClients, failure.Carrier.Address)
	}
	e.counters.carriersLost.Inc()
	e.log.Warn().Str("Carrier", failure.Carrier.ID).Err(failure.Err).Msg("forward: carrier passed over")
}

// listenForwarded opens the listener for statements forwarded by other hosts.
func (e *Edge) listenForwarded(ctx context.Context, config net.ListenConfig) error {
	if e.options.ForwardPort == 0 {
		return nil
	}
	host, _, err := net.SplitHostPort(e.options.CallerAddress)
	if err != nil {
		return eris.Wrap(err, "edge: parse caller address")
	}
	config.KeepAliveConfig = net.KeepAliveConfig{
		Enable: true, Idle: forwardKeepAlive, Interval: forwardKeepAlive, Count: 2,
	}
	listener, err := config.Listen(ctx, "tcp4", net.JoinHostPort(host, strconv.Itoa(e.options.ForwardPort)))
	if err != nil {
		return eris.Wrap(err, "edge: listen for forwarded statements")
	}
	go e.serveForwarded(listener)
	return nil
}

// serveForwarded serves statements forwarded by other hosts.
func (e *Edge) serveForwarded(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go dfforward.NewHandler(e, e.options.Now).Serve(conn)
	}
}

// AddLent adds to the number of connections held by transactions of other hosts.
func (e *Edge) AddLent(change int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lentConnections += change
}

// Pool returns the pool that other hosts may use for an upstream, or nil. A
// stopping host accepts no more statements. An unresponsive replica is refused,
// because this host detects it first and other upstreams can serve instead.
func (e *Edge) Pool(id dffleet.ID) (*dfconnection.Pool, *dfresult.Error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	upstream, ok := e.fleet.Find(id)
	if !ok || e.stoppingAt != dfclock.Never {
		return nil, nil
	}
	s := e.services[upstream.Service]
	if s == nil {
		return nil, nil
	}
	if wait := s.placer.AvailableIn(e.options.Now(), id); wait > 0 && id != s.leader {
		return nil, dfresult.NewError(dfresult.NoConnection, "upstream %s does not answer", id).WithRetryAfter(wait)
	}
	e.counters.statementsCarried.Inc()
	return s.pools[id], nil
}

// carrierRefused takes a replica out of use for a while if the carrier host has
// no connection to it. The leader is retried, since no other upstream can replace
// it.
func (e *Edge) carrierRefused(s *service, id dffleet.ID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if id != s.leader {
		s.placer.RecordFailure(e.options.Now(), id)
	}
}
