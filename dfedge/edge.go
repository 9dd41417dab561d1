package dfedge

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"dragonflygrade/dfcatalog"
	"dragonflygrade/dfclock"
	"dragonflygrade/dfconnection"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfforward"
	"dragonflygrade/dffresh"
	"dragonflygrade/dfmember"
	"dragonflygrade/dfneighbour"
	"dragonflygrade/dfplace"
	"dragonflygrade/dfrevocation"
	"dragonflygrade/dfsuccession"
)

// Edge is one host.
type Edge struct {
	options  Options
	log      *log.Logger
	counters *counters

	mu sync.Mutex
	// catalog never falls back to a lower version.
	catalog  dfcatalog.Catalog
	document []byte
	// catalogLost is true while the platform does not tell new versions.
	catalogLost bool
	fleet       *dffleet.Fleet
	fleetRead   bool
	services    map[string]*service
	circle      *dfneighbour.Circle
	// changed is closed and replaced when something is learned that a waiting
	// statement may need.
	changed  chan struct{}
	sessions map[*session]struct{}
	// unreadySince is when the host stopped being ready, or Never.
	unreadySince dfclock.Millis
	isolation    isolation
	// oriented is true once the host could tell whether its data centre is cut off.
	oriented bool
	// informed is true once the host knows all hosts, and which leaders may be about
	// to be replaced by an order from before its start. membersRead is true once it
	// read the table of hosts.
	informed    bool
	membersRead bool
	// packed is the document as it is sent to neighbours, or nil until one asks.
	packed []byte
	// fetching is true while a neighbour's document is on its way, and handing
	// counts the documents that are sent.
	fetching bool
	handing  int
	// startedAt is when the host started.
	startedAt dfclock.Millis
	// stoppingAt is when the host was told to stop, or Never.
	stoppingAt dfclock.Millis
	source     *rand.Rand
	// poke asks the links to neighbours for an exchange at once.
	poke map[string]chan struct{}
	// lanes has the ways to hosts that carry connections, by their address.
	lanes map[string]*dfforward.Lane
	// lent is the number of connections that other hosts' transactions hold.
	lent     int
	linkedAt dfclock.Millis
	// following is true while this host follows the platform's feeds itself, and
	// lostAt is when it was current for the last time.
	following bool
	lostAt    dfclock.Millis
}

// service is what the host knows of one group of upstreams.
type service struct {
	name      string
	timeline  dffresh.Timeline
	placer    *dfplace.Selector
	successor *dfsuccession.Coordinator
	pools     map[dffleet.ID]*dfconnection.Pool
	// suspected is what this host last said of the leader. Probes change it
	// between two steps.
	suspected bool
	// fullAt is when an upstream refused a connection because of its limit, or a
	// statement because of its queue.
	fullAt map[dffleet.ID]dfclock.Millis
	// leader is the one that proofs and waiting statements are about.
	leader dffleet.ID
	// waiting counts statements that wait for or run on the leader.
	waiting int
	// readAt is when the last read arrived.
	readAt  dfclock.Millis
	proving bool
	// epoch is held for the next promotion, or 0; epochAt is when it was taken,
	// dropped or tried for, and claiming is true meanwhile.
	epoch    uint64
	epochAt  dfclock.Millis
	claiming bool
	// claimSeen is the version of the last claim that was read, and since when.
	claimSeen   uint64
	claimSeenAt dfclock.Millis
	// voter is what this host promised to those that replace the leader.
	voter dfrevocation.Voter
	// held is true while statements at the leader end and no new one is sent.
	held bool
	// leaderlessAt is since when no leader is known, or Never. Terms are asked for
	// meanwhile: termAskedAt is when, by upstream, and askingTerm is true while a
	// question is under way.
	leaderlessAt dfclock.Millis
	termAskedAt  map[dffleet.ID]dfclock.Millis
	askingTerm   bool
}

// New returns a host that has not started.
func New(options Options, logger *log.Logger) (*Edge, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	return &Edge{
		options:      options,
		log:          logger,
		counters:     newCounters(),
		fleet:        newFleet(options.Fencing),
		services:     map[string]*service{},
		circle:       newCircle(options),
		changed:      make(chan struct{}),
		sessions:     map[*session]struct{}{},
		startedAt:    options.Now(),
		unreadySince: dfclock.Never,
		stoppingAt:   dfclock.Never,
		source:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		poke:         map[string]chan struct{}{},
		lanes:        map[string]*dfforward.Lane{},
	}, nil
}

func newFleet(fencing dfsuccession.Fencing) *dffleet.Fleet {
	switch fencing.(type) {
	case dfsuccession.HostsFence:
		return dffleet.NewWithTerms()
	default:
		return dffleet.New()
	}
}

func newCircle(options Options) *dfneighbour.Circle {
	switch options.Fencing.(type) {
	case dfsuccession.HostsFence:
		return dfneighbour.NewCircle(options.Self, dfneighbour.LeasePace())
	default:
		return dfneighbour.NewCircle(options.Self, dfneighbour.UsualPace())
	}
}

// Run serves callers until the context ends and the sessions are over.
func (e *Edge) Run(ctx context.Context) error {
	e.log.Info().Str("Host", e.options.Self.ID).Str("DataCentre", e.options.Self.DataCentre).Msg("edge: start")
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	listener, err := e.listen(work)
	if err != nil {
		return err
	}
	go e.watchCatalog(work)
	go e.watchFleet(work)
	go e.watchMembers(work)
	go e.beat(work)
	if e.leases() {
		go e.inform(work)
	}
	go e.accept(listener)
	<-ctx.Done()
	e.drain(listener)
	e.log.Info().Str("Host", e.options.Self.ID).Msg("edge: stop")
	return nil
}

// Reload puts changed settings in force: the seeds and the bounds of shutdown
// and drain. Addresses stay as they were at the start.
func (e *Edge) Reload(seeds []string, drainTimeout, gracePeriod dfclock.Millis) {
	e.mu.Lock()
	changed := e.options.DrainTimeout != drainTimeout || e.options.GracePeriod != gracePeriod
	e.options.Seeds, e.options.DrainTimeout, e.options.GracePeriod = seeds, drainTimeout, gracePeriod
	e.mu.Unlock()
	for _, seed := range seeds {
		e.learn(dfmember.Host{Address: seed})
	}
	e.log.Info().Bool("BoundsChanged", changed).Strs("Seeds", seeds).Msg("edge: settings read again")
}

// beat takes the decisions that depend on time.
func (e *Edge) beat(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.step(ctx)
		}
	}
}

func (e *Edge) step(ctx context.Context) {
	e.mu.Lock()
	now := e.options.Now()
	if now-e.linkedAt >= linkPeriod {
		e.linkedAt = now
		e.link(ctx, now)
	}
	if gone := e.fleet.Expire(now); len(gone) > 0 {
		e.log.Info().Int("Gone", len(gone)).Msg("fleet: upstreams left the list")
		e.reconcile()
	}
	var actions []func()
	for _, s := range e.services {
		e.follow(now, s)
		if action := e.stepService(ctx, now, s); action != nil {
			actions = append(actions, action)
		}
		plan := e.connectionPlan(now, s)
		for id, pool := range s.pools {
			pool.Tick(e.connectionLimit(now, s, id, plan), e.connectionUse(now, s, id, plan))
		}
	}
	e.stepReadiness(now)
	e.mu.Unlock()
	for _, action := range actions {
		go action()
	}
}

// connectionLimit is how many connections this host may hold to an upstream.
func (e *Edge) connectionLimit(now dfclock.Millis, s *service, id dffleet.ID, plan dfforward.Plan) int {
	known, ok := e.catalog.Service(s.name)
	if !ok {
		return 0
	}
	if plan.Shared() {
		return plan.Each
	}
	return e.connectionShare(now, s, known, id).Connections()
}

// connectionUse is what this host holds connections to an upstream for.
func (e *Edge) connectionUse(now dfclock.Millis, s *service, id dffleet.ID, plan dfforward.Plan) dfconnection.Use {
	known, _ := e.catalog.Service(s.name)
	switch {
	case plan.Shared() && slices.Contains(e.circle.Carriers(now, id, plan.Carriers), e.options.Self):
		return dfconnection.Carried
	case plan.Shared():
		return dfconnection.Stray
	case e.connectionShare(now, s, known, id).Spacious():
		return dfconnection.Spare
	}
	return dfconnection.Own
}

func (e *Edge) connectionShare(now dfclock.Millis, s *service, known dfcatalog.Service, id dffleet.ID) dfconnection.Share {
	upstream, _ := e.fleet.Find(id)
	fullAt, full := s.fullAt[id]
	return dfconnection.Share{
		Limit: known.ConnectionLimit, Slots: upstream.Slots, Hosts: e.circle.Count(now),
		DataCentres: max(1, len(e.circle.Speakers(now))), Full: full && now-fullAt < fullSpan,
	}
}

// reconcile makes services and pools follow the list of upstreams.
func (e *Edge) reconcile() {
	now := e.options.Now()
	for _, name := range e.catalog.Services() {
		s := e.services[name]
		if s == nil {
			s = &service{
				name: name, placer: dfplace.New(), successor: dfsuccession.New(now, e.options.Fencing),
				epochAt: now, pools: map[dffleet.ID]*dfconnection.Pool{}, fullAt: map[dffleet.ID]dfclock.Millis{},
				leaderlessAt: dfclock.Never, termAskedAt: map[dffleet.ID]dfclock.Millis{},
			}
			e.services[name] = s
		}
		listed := map[dffleet.ID]bool{}
		for _, upstream := range e.fleet.ByService(name) {
			listed[upstream.ID] = true
			e.keepPool(now, s, upstream)
		}
		for id, pool := range s.pools {
			if !listed[id] {
				pool.Close()
				delete(s.pools, id)
				s.placer.Remove(id)
				delete(s.fullAt, id)
			}
		}
		e.follow(now, s)
	}
	e.wake()
}

func (e *Edge) keepPool(now dfclock.Millis, s *service, upstream dffleet.Upstream) {
	pool := s.pools[upstream.ID]
	if pool != nil && (pool.Upstream().Born != upstream.Born || pool.Upstream().Address != upstream.Address) {
		pool.Close()
		s.placer.Remove(upstream.ID)
		pool = nil
	}
	s.placer.Put(upstream.ID, upstream.DataCentre == e.options.Self.DataCentre, upstream.Slots)
	if pool == nil {
		source := rand.New(rand.NewPCG(e.source.Uint64(), e.source.Uint64()))
		plan := e.connectionPlan(now, s)
		limit := e.connectionLimit(now, s, upstream.ID, plan)
		use := e.connectionUse(now, s, upstream.ID, plan)
		s.pools[upstream.ID] = dfconnection.NewPool(upstream, limit, use, e.options.Now, e.open, e.opened, source)
	}
}

// follow notes a change of a service's leader.
func (e *Edge) follow(now dfclock.Millis, s *service) {
	leader, ok := e.fleet.Leader(now, s.name)
	if !ok || leader.ID == s.leader {
		return
	}
	e.log.Info().Str("Service", s.name).Str("Before", string(s.leader)).Str("Leader", string(leader.ID)).
		Uint64("Entry", leader.Version).Msg("fleet: another upstream leads")
	s.leader = leader.ID
	s.timeline.Discard()
	e.counters.leaderChanges.Inc()
	e.wake()
}

// wake lets waiting statements look again.
func (e *Edge) wake() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// await returns when something was learned, or at an instant.
func (e *Edge) await(changed chan struct{}, until dfclock.Millis) {
	span := until - e.options.Now()
	if span <= 0 {
		return
	}
	timer := time.NewTimer(time.Duration(span) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

// open opens a connection for a pool.
func (e *Edge) open(ctx context.Context, upstream dffleet.Upstream) (*dfconnection.Conn, error) {
	return e.dial(ctx, upstream, connectTimeout)
}

func (e *Edge) dial(ctx context.Context, upstream dffleet.Upstream, timeout dfclock.Millis) (*dfconnection.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(timeout)*time.Millisecond)
	defer cancel()
	raw, err := e.options.Dial(ctx, upstream.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "edge: connect to %s", upstream.ID)
	}
	deadline, _ := ctx.Deadline()
	if err := raw.SetDeadline(deadline); err != nil {
		return nil, eris.Wrap(closed(raw, err), "edge: deadline")
	}
	wire, err := e.options.Dialect.Open(raw, upstream.Service, e.options.Self.ID, string(upstream.ID))
	if err != nil {
		return nil, closed(raw, err)
	}
	e.counters.opened.Inc()
	return dfconnection.New(upstream.ID, wire, raw), nil
}

// closed closes a connection that failed and returns the failure.
func closed(closer interface{ Close() error }, err error) error {
	_ = closer.Close()
	return err
}

// opened learns how an opening ended.
func (e *Edge) opened(id dffleet.ID, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	upstream, ok := e.fleet.Find(id)
	if !ok {
		return
	}
	s := e.services[upstream.Service]
	if s == nil {
		return
	}
	if err == nil {
		s.successor.Handle(now, dfsuccession.Answered{ID: id})
		return
	}
	e.counters.openFailures.Inc()
	e.log.Warn().Str("Service", s.name).Str("Upstream", string(id)).Err(err).Msg("pool: opening failed")
	if isConnectionLimit(err) {
		s.fullAt[id] = now
		return
	}
	s.placer.RecordFailure(now, id)
	s.successor.Handle(now, dfsuccession.ConnectionFailed{ID: id})
}
