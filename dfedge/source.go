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

// line is a connection to an upstream that an attempt holds: one of this host's
// pools, or one of a carrier.
type line interface {
	// Exchange sends calls in one write and returns their answers. Sent is false
	// if the upstream cannot have received any.
	Exchange(context *dfconnection.Context, deadline time.Time, calls ...dfstatement.Call) (answers []dfstatement.Answer, sent bool, err error)
	// State is that of the newest answer.
	State() dfstatement.State
	RolledBack()
	Committed()
	Report(answer dfstatement.Answer) (dfstatement.Report, error)
	// Release gives the line back. Reusable is false if its connection is in doubt.
	Release(reusable bool)
	// Silent gives the line back whose upstream did not answer in time.
	Silent()
}

// source gives lines to one upstream.
type source interface {
	// acquire returns a line, or an error with the outcome not run.
	acquire(priority int, deadline dfclock.Millis) (line, error)
}

// pooled gives the connections that this host holds itself.
type pooled struct {
	pool *dfconnection.Pool
}

func (p pooled) acquire(priority int, deadline dfclock.Millis) (line, error) {
	conn, err := p.pool.Acquire(priority, deadline)
	if err != nil {
		return nil, err
	}
	return pooledLine{Conn: conn, pool: p.pool}, nil
}

// pooledLine is a connection that goes back to its pool.
type pooledLine struct {
	*dfconnection.Conn
	pool *dfconnection.Pool
}

// Release gives the connection back to the pool.
func (p pooledLine) Release(reusable bool) {
	p.pool.Release(p.Conn, reusable)
}

// Silent lets the pool suspect connections of the same age.
func (p pooledLine) Silent() {
	p.pool.Silent(p.Conn)
}

// forwarded gives the connections that a carrier holds.
type forwarded struct {
	lane     *dfforward.Lane
	upstream dffleet.ID
	clock    dfconnection.Clock
}

func (f forwarded) acquire(priority int, deadline dfclock.Millis) (line, error) {
	return f.lane.Line(f.upstream, priority, max(0, deadline-f.clock())), nil
}

// connectionPlan tells how the hosts share the connections to a service's upstreams.
func (e *Edge) connectionPlan(now dfclock.Millis, s *service) dfforward.Plan {
	known, ok := e.catalog.Service(s.name)
	if !ok || e.options.ForwardPort == 0 {
		return dfforward.Plan{}
	}
	usable := dfconnection.Usable(known.ConnectionLimit)
	return dfforward.NewPlan(usable, e.circle.Count(now), len(e.circle.Speakers(now)))
}

// sourceOf decides over which host a statement reaches an upstream. The mutex is
// held.
func (e *Edge) sourceOf(now dfclock.Millis, s *service, id dffleet.ID) source {
	plan := e.connectionPlan(now, s)
	if !plan.Shared() {
		return pooled{s.pools[id]}
	}
	carriers := e.circle.Carriers(now, id, plan.Carriers)
	if len(carriers) == 0 || slices.Contains(carriers, e.options.Self) {
		return pooled{s.pools[id]}
	}
	carrier := carriers[e.source.IntN(len(carriers))]
	e.counters.forwarded.Inc()
	return forwarded{lane: e.lane(carrier), upstream: id, clock: e.options.Now}
}

// lane returns the way to a carrier.
func (e *Edge) lane(carrier dfmember.Host) *dfforward.Lane {
	lane := e.lanes[carrier.Address]
	if lane == nil {
		host, _, err := net.SplitHostPort(carrier.Address)
		if err != nil {
			host = carrier.Address
		}
		address := net.JoinHostPort(host, strconv.Itoa(e.options.ForwardPort))
		lane = dfforward.NewLane(carrier, address, e.options.Dial)
		e.lanes[carrier.Address] = lane
	}
	return lane
}

// lostCarrier passes a carrier over that did not answer.
func (e *Edge) lostCarrier(lost *dfforward.CarrierError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.circle.Failed(e.options.Now(), lost.Carrier.Address)
	if lane := e.lanes[lost.Carrier.Address]; lane != nil {
		lane.Close()
		delete(e.lanes, lost.Carrier.Address)
	}
	e.counters.carriersLost.Inc()
	e.log.Warn().Str("Carrier", lost.Carrier.ID).Err(lost.Err).Msg("forward: carrier passed over")
}

// listenForwarded opens the address at which other hosts' statements arrive.
func (e *Edge) listenForwarded(ctx context.Context, config net.ListenConfig) error {
	if e.options.ForwardPort == 0 {
		return nil
	}
	host, _, err := net.SplitHostPort(e.options.CallerAddress)
	if err != nil {
		return eris.Wrap(err, "edge: address for callers")
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

// serveForwarded takes statements of other hosts.
func (e *Edge) serveForwarded(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go dfforward.NewCarrier(e, e.options.Now).Serve(conn)
	}
}

// Lent counts the connections that other hosts' transactions hold.
func (e *Edge) Lent(change int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lent += change
}

// Pool returns the pool that other hosts may use for an upstream, or nil. A host
// that stops takes no further statements. Replicas that do not answer are known
// here first, and others can serve instead.
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
	e.counters.carried.Inc()
	return s.pools[id], nil
}

// refusedBy passes a replica over that a carrier has no connection to. The leader
// is asked for again, since no other upstream can stand in for it.
func (e *Edge) refusedBy(s *service, id dffleet.ID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if id != s.leader {
		s.placer.RecordFailure(e.options.Now(), id)
	}
}
