package dfedge

import (
	"context"
	"errors"
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
	"dragonflygrade/dfreport"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfstatement"
)

// upstreamConn is a connection to an upstream, held by one attempt. It belongs to
// one of this host's pools or to a carrier host.
type upstreamConn interface {
	// Exchange sends calls in one write and returns their answers. sent is false if
	// the upstream cannot have run any of them.
	Exchange(sessionState *dfconnection.SessionState, deadline time.Time, calls ...dfstatement.Call) (answers []dfstatement.Answer, sent bool, err error)
	// State returns the transaction state of the newest answer.
	State() dfstatement.State
	Report(answer dfstatement.Answer) (dfstatement.Report, error)
	// Release returns the connection. reusable is false if its state is uncertain.
	Release(reusable bool)
	// ReleaseTimedOut returns the connection after its upstream did not answer in
	// time.
	ReleaseTimedOut()
	// LoadReport returns the newest report of the carrier that the connection belongs to.
	LoadReport() (carrier string, report dfreport.Report, ok bool)
}

// connSource provides connections to one upstream.
type connSource interface {
	// acquire returns a connection that was opened in the name of an organisation, or
	// of none if it is empty. Otherwise it returns an error whose outcome is "not run".
	// caller ends when the caller of the statement leaves, which then gives up its
	// place, unless the statement was sent to the upstream.
	acquire(caller context.Context, organisation string, priority int, deadline dfclock.Millis) (upstreamConn, error)
}

// poolSource provides this host's own connections.
type poolSource struct {
	pool *dfconnection.Pool
	self string
}

func (p poolSource) acquire(caller context.Context, organisation string, priority int, deadline dfclock.Millis) (upstreamConn, error) {
	conn, err := p.pool.Acquire(caller, organisation, priority, deadline)
	if err != nil {
		return nil, err
	}
	return pooledConn{Conn: conn, pool: p.pool, self: p.self}, nil
}

// pooledConn is a connection of this host's own pool.
type pooledConn struct {
	*dfconnection.Conn
	pool *dfconnection.Pool
	self string
}

// Release returns the connection to the pool.
func (p pooledConn) Release(reusable bool) {
	p.pool.Release(p.Conn, reusable)
}

// ReleaseTimedOut makes the pool probe connections of the same age before reuse.
func (p pooledConn) ReleaseTimedOut() {
	p.pool.ReleaseTimedOut(p.Conn)
}

// LoadReport returns the numbers of this host's own pool, if it is a carrier.
func (p pooledConn) LoadReport() (carrier string, report dfreport.Report, ok bool) {
	report, ok = p.pool.LoadReport()
	return p.self, report, ok
}

// carrierSource provides connections held by a carrier host.
type carrierSource struct {
	client   *dfforward.Client
	upstream dffleet.ID
	clock    dfconnection.Clock
}

func (c carrierSource) acquire(caller context.Context, organisation string, priority int, deadline dfclock.Millis) (upstreamConn, error) {
	return c.client.Conn(caller, c.upstream, organisation, priority, max(0, deadline-c.clock())), nil
}

// connectionPlan returns how the hosts share the connections to an upstream of a
// service.
func (e *Edge) connectionPlan(now dfclock.Millis, s *service, id dffleet.ID) dfforward.Plan {
	config, ok := e.catalog.Service(s.name)
	if !ok || e.options.ForwardPort == 0 {
		return dfforward.Plan{}
	}
	usable, hosts := dfconnection.Usable(config.ConnectionLimit), e.neighbours.HostCount(now)
	if e.catalog.HasOrganisations() {
		plan := dfforward.NewOrganisationPlan(usable, hosts)
		if !plan.Shared() || len(e.carriers(now, id, plan)) > 0 {
			return plan
		}
	}
	return dfforward.NewPlan(usable, hosts, len(e.neighbours.Speakers(now)))
}

// carriers returns the hosts that carry an upstream under a shared plan.
func (e *Edge) carriers(now dfclock.Millis, id dffleet.ID, plan dfforward.Plan) []dfmember.Host {
	if !plan.AllDataCentres {
		return e.neighbours.Carriers(now, id, plan.Carriers)
	}
	upstream, _ := e.fleet.Find(id)
	return e.neighbours.CarriersIn(now, id, upstream.DataCentre, plan.Carriers)
}

// connRoute is how a statement gets a connection to an upstream.
type connRoute struct {
	source connSource
	// carrier is the ID of the host that was chosen for the organisation of the
	// statement, or empty. hasNext is true if another one can be asked.
	carrier string
	hasNext bool
	// acquireTimeout bounds the wait for a connection.
	acquireTimeout dfclock.Millis
	// queued is true if a carrier, or this host as one, queues the statement by
	// priority.
	queued bool
}

// connRouteTo selects this host's pool or a carrier host for a statement to an
// upstream. e.mu must be held.
func (e *Edge) connRouteTo(now dfclock.Millis, req *routeRequest, id dffleet.ID) connRoute {
	s := req.service
	route := connRoute{source: poolSource{s.pools[id], e.options.Self.ID}, acquireTimeout: maxAcquireWait}
	plan := e.connectionPlan(now, s, id)
	if !plan.Shared() {
		return route
	}
	carriers := e.carriers(now, id, plan)
	if len(carriers) == 0 {
		return route
	}
	route.queued = true
	if req.targetLatency > 0 {
		// Callers who would be late make room for others.
		route.acquireTimeout = min(route.acquireTimeout, req.targetLatency*admitWaitPercent/100)
	}
	if req.organisation != "" {
		return e.organisationRoute(req, id, carriers, route)
	}
	if slices.Contains(carriers, e.options.Self) {
		return route
	}
	route.source = e.carrierSource(carriers[e.random.IntN(len(carriers))], id)
	return route
}

// organisationRoute selects the carrier host of the request's organisation. Carriers
// that refused the request are passed over. All waits together are no longer than that
// for a single carrier.
func (e *Edge) organisationRoute(req *routeRequest, id dffleet.ID, carriers []dfmember.Host, own connRoute) connRoute {
	ranked := dfmember.Rank(string(id)+"/"+req.organisation, carriers)
	remaining := slices.DeleteFunc(slices.Clone(ranked), func(host dfmember.Host) bool { return req.refusedBy(id, host.ID) })
	if len(remaining) == 0 {
		req.forgetRefusals(id)
		remaining = ranked
	}
	route := own
	route.carrier, route.hasNext = remaining[0].ID, len(remaining) > 1
	switch {
	case len(remaining) < len(ranked):
		route.acquireTimeout = min(route.acquireTimeout, nextCarrierWait)
	case len(ranked) > 1:
		route.acquireTimeout = min(route.acquireTimeout, maxAcquireWait-dfclock.Millis(len(ranked)-1)*nextCarrierWait)
	}
	if remaining[0] != e.options.Self {
		route.source = e.carrierSource(remaining[0], id)
	}
	return route
}

// carrierSource returns the connections of a carrier host. e.mu must be held.
func (e *Edge) carrierSource(carrier dfmember.Host, id dffleet.ID) carrierSource {
	e.counters.statementsForwarded.Inc()
	return carrierSource{client: e.carrierClient(carrier), upstream: id, clock: e.options.Now}
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

// carrierRefusal is a carrier host that had no connection to an upstream for a request.
type carrierRefusal struct {
	upstream dffleet.ID
	carrier  string
	// lost is true if the carrier did not answer.
	lost bool
}

// refusedBy reports whether a carrier host had no connection for the request.
func (req *routeRequest) refusedBy(id dffleet.ID, carrier string) bool {
	return slices.ContainsFunc(req.refusals, func(r carrierRefusal) bool { return r.upstream == id && r.carrier == carrier })
}

// forgetRefusals lets the request ask the carrier hosts of an upstream again.
func (req *routeRequest) forgetRefusals(id dffleet.ID) {
	req.refusals = slices.DeleteFunc(req.refusals, func(r carrierRefusal) bool { return r.upstream == id })
}

// recordRefusal records that the carrier host of the request's organisation had no
// connection for it, and reports whether this is the reason of the failure. A refusal
// with a time to retry is about the upstream.
func (req *routeRequest) recordRefusal(to target, err error) bool {
	var refused *dfresult.Error
	if to.carrier == "" || !errors.As(err, &refused) || refused.Code != dfresult.NoConnection || refused.RetryAfter > 0 {
		return false
	}
	req.refusals = append(req.refusals, carrierRefusal{upstream: to.upstream, carrier: to.carrier})
	return true
}

// recordLostCarrier records that the carrier host of the request's organisation did not
// answer, and reports whether the whole data centre seems out of reach.
func (req *routeRequest) recordLostCarrier(to target) bool {
	if to.carrier == "" {
		return false
	}
	req.refusals = append(req.refusals, carrierRefusal{upstream: to.upstream, carrier: to.carrier, lost: true})
	return req.lostCarriers(to.upstream) >= maxLostCarriers
}

// lostCarriers counts the carrier hosts of an upstream that did not answer.
func (req *routeRequest) lostCarriers(id dffleet.ID) int {
	count := 0
	for _, r := range req.refusals {
		if r.upstream == id && r.lost {
			count++
		}
	}
	return count
}

// asksNextCarrier reports whether the request that failed at a carrier host goes to the
// next one by rank.
func (req *routeRequest) asksNextCarrier(to target) bool {
	return to.hasNext && req.refusedBy(to.upstream, to.carrier) && req.lostCarriers(to.upstream) < maxLostCarriers
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
