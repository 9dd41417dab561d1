package dfedge

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"dragonflygrade/dfadmit"
	"dragonflygrade/dfcatalog"
	"dragonflygrade/dfclock"
	"dragonflygrade/dfconnection"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfforward"
	"dragonflygrade/dffresh"
	"dragonflygrade/dfmember"
	"dragonflygrade/dfneighbour"
	"dragonflygrade/dfpace"
	"dragonflygrade/dfplace"
	"dragonflygrade/dfrevision"
	"dragonflygrade/dfrevocation"
	"dragonflygrade/dfroster"
	"dragonflygrade/dfsuccession"
)

// Edge is a running host.
type Edge struct {
	options  Options
	log      *log.Logger
	counters *counters

	mu sync.Mutex
	// catalog is only ever replaced by a higher version.
	catalog  dfcatalog.Catalog
	document []byte
	// catalogFeedLost is true while the platform's catalog feed is unavailable.
	catalogFeedLost bool
	storeEra        storeEra
	fleet           *dffleet.Fleet
	fleetLoaded     bool
	drains          drainRecords
	services        map[string]*service
	neighbours      *dfneighbour.View
	// roster is the host table. writingRoster is true while this host writes to it, and
	// rosterCheckedAt when it last decided on that.
	roster          *dfroster.Roster
	writingRoster   bool
	rosterCheckedAt dfclock.Millis
	// announcedAt is when this host last wrote its row in the host table, or Never.
	announcedAt dfclock.Millis
	// changed is closed and replaced on every change that may unblock a waiting
	// statement.
	changed  chan struct{}
	sessions map[*session]struct{}
	// unreadySince is when the host became not ready, or Never.
	unreadySince dfclock.Millis
	isolation    isolation
	// isolationKnown is true once the host, holding a valid lease, could tell
	// whether its data centre is cut off.
	isolationKnown bool
	// claimsLoaded is true once the host knows all hosts and all claims, so that no
	// promotion order from before its start can surprise it, and claimsLoadedAt when it
	// got so. claimsLost is true if the store has lost claims that no host has written
	// again. membersLoaded is true once the host has read the host table.
	claimsLoaded   bool
	claimsLoadedAt dfclock.Millis
	claimsLost     bool
	membersLoaded  bool
	// holds has the holds of services whose commits replicas confirm, by service.
	// holdsLoaded is true once the host knows those that were accepted before its start.
	holds       map[string]dfrevocation.Hold
	holdsLoaded bool
	// compressedDocument is the document for neighbours, or nil until it is first
	// requested.
	compressedDocument []byte
	// fetchingDocument is true while a neighbour's document is being fetched.
	// documentSends counts running transfers to neighbours.
	fetchingDocument bool
	documentSends    int
	startedAt        dfclock.Millis
	// stoppingAt is when shutdown was requested, or Never.
	stoppingAt dfclock.Millis
	random     *rand.Rand
	// exchangeTriggers wakes the exchange loops, by neighbour address.
	exchangeTriggers map[string]chan struct{}
	// carrierClients has the clients of carrier hosts, by their address.
	carrierClients map[string]*dfforward.Client
	// lentConnections is the number of connections held by transactions of other
	// hosts.
	lentConnections      int
	neighboursSelectedAt dfclock.Millis
	// followingFeeds is true while this host polls the platform's feeds itself.
	// lastCurrentAt is when it last knew that it missed no version.
	followingFeeds bool
	lastCurrentAt  dfclock.Millis
	// feedAnsweredAt is when a poll of any feed was last answered.
	feedAnsweredAt dfclock.Millis
	// feedConfirmedAt is when the newest poll of the catalog feed that was answered had
	// been sent, or 0.
	feedConfirmedAt dfclock.Millis
	// newestVersion is the newest version of the desired state that a neighbour told
	// of, and newestVersionAt when the host first knew that its own is older.
	newestVersion   uint64
	newestVersionAt dfclock.Millis
	// tickedAt is when the last tick was, and resumedAt when one was last so late that
	// the host must have been suspended. It lies before the start if none was.
	tickedAt  dfclock.Millis
	resumedAt dfclock.Millis
	quota     *quota
	// majorityNeeded is true while this host counts a majority of the hosts.
	majorityNeeded bool
	// limitReturns decides when callers come back whose organisation has reached its
	// limit, by organisation.
	limitReturns map[string]*dfadmit.Returns
}

// service is the host's state of one group of upstreams.
type service struct {
	name      string
	timeline  dffresh.Timeline
	placer    *dfplace.Selector
	successor *dfsuccession.Coordinator
	pools     map[dffleet.ID]*dfconnection.Pool
	// lastSuspected is the suspicion of the leader at the last tick. Probes change
	// the current one between ticks.
	lastSuspected bool
	// fullAt is when an upstream last refused a connection because of its
	// connection limit, or a statement because its queue was full.
	fullAt map[dffleet.ID]dfclock.Millis
	// leader is the upstream that the proofs in timeline and leaderStatements refer
	// to.
	leader dffleet.ID
	// leaderStatements counts statements that wait for or run on the leader.
	leaderStatements int
	lastReadAt       dfclock.Millis
	refreshingProof  bool
	// returns decides when callers come back that this host refuses.
	returns *dfadmit.Returns
	// reservedEpoch is the epoch held for the next promotion, or 0. reservedEpochAt
	// is when it was last reserved, dropped or attempted, and reservingEpoch is
	// true during an attempt.
	reservedEpoch   uint64
	reservedEpochAt dfclock.Millis
	reservingEpoch  bool
	// lastClaimVersion is the version of the newest claim that was read, and
	// lastClaimSeenAt when it was first seen.
	// claimedTarget is the target of that claim.
	lastClaimVersion dfrevision.Revision
	claimedTarget    dffleet.ID
	lastClaimSeenAt  dfclock.Millis
	// voter has this host's promises to hosts that replace the leader.
	voter dfrevocation.Voter
	// leaderPaused is true while statements in flight at the leader finish and no
	// new ones are sent.
	leaderPaused bool
	// heldAt is when writes to the leader were last held, and nextLeaderAt when the next
	// leader was then expected. holdCount counts the confirmed holds, and writesInFlight
	// the commits that were sent and not answered.
	heldAt, nextLeaderAt dfclock.Millis
	holdCount            uint64
	writesInFlight       int
	// heldEpoch and orderedEpoch are the epochs under which this host last held the writes
	// and last sent a promotion. earlierHold is the epoch of an earlier change whose
	// promotion may take effect, or zero, and earlierBefore that of the change of this host
	// under unorderedEpoch, which sent none.
	heldEpoch, orderedEpoch, unorderedEpoch, earlierHold, earlierBefore uint64
	// leaderlessSince is since when the service has no known leader, or Never.
	// Meanwhile upstreams are asked for their term: termQueriedAt is when, by
	// upstream, and queryingTerm is true while a query runs.
	leaderlessSince dfclock.Millis
	termQueriedAt   map[dffleet.ID]dfclock.Millis
	queryingTerm    bool
	// limitGauges has the upstreams with a gauge of their limit.
	limitGauges map[dffleet.ID]struct{}
}

// New returns a host that is not running yet.
func New(options Options, logger *log.Logger) (*Edge, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	e := &Edge{
		options:          options,
		log:              logger,
		counters:         newCounters(),
		storeEra:         newStoreEra(0),
		fleet:            newFleet(options.Fencing),
		drains:           newDrainRecords(),
		services:         map[string]*service{},
		holds:            map[string]dfrevocation.Hold{},
		neighbours:       newNeighbours(options),
		roster:           dfroster.New(options.Self),
		announcedAt:      dfclock.Never,
		changed:          make(chan struct{}),
		sessions:         map[*session]struct{}{},
		startedAt:        options.Now(),
		unreadySince:     dfclock.Never,
		tickedAt:         options.Now(),
		resumedAt:        options.Now() - feedStallTimeout,
		stoppingAt:       dfclock.Never,
		random:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		exchangeTriggers: map[string]chan struct{}{},
		carrierClients:   map[string]*dfforward.Client{},
		limitReturns:     map[string]*dfadmit.Returns{},
		quota:            newQuota(options.Self.ID),
	}
	if e.usesRoster() {
		e.neighbours.UseRoster(e.roster)
	}
	return e, nil
}

func newFleet(fencing dfsuccession.Fencing) *dffleet.Fleet {
	switch fencing.(type) {
	case dfsuccession.HostsFence:
		return dffleet.NewWithTerms()
	default:
		return dffleet.New()
	}
}

func newNeighbours(options Options) *dfneighbour.View {
	switch options.Fencing.(type) {
	case dfsuccession.HostsFence:
		return dfneighbour.NewView(options.Self, dfneighbour.LeasePollPeriods())
	default:
		return dfneighbour.NewView(options.Self, dfneighbour.DefaultPollPeriods())
	}
}

// Run serves callers until the context ends, then drains the sessions.
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
	go e.rewriteLostRows(work)
	go e.tickLoop(work)
	go e.quotaLoop(work)
	go e.loadHolds(work)
	if e.usesLeases() {
		go e.loadClaims(work)
		go e.keepRecord(work)
	}
	go e.acceptCallers(listener)
	<-ctx.Done()
	e.drain(listener)
	stop()
	e.withdraw(context.WithoutCancel(ctx))
	e.log.Info().Str("Host", e.options.Self.ID).Msg("edge: stop")
	return nil
}

// Reload applies changed settings: the seeds, the drain timeout and the grace
// period. Addresses are fixed at startup.
func (e *Edge) Reload(seeds []string, drainTimeout, gracePeriod dfclock.Millis) {
	e.mu.Lock()
	changed := e.options.DrainTimeout != drainTimeout || e.options.GracePeriod != gracePeriod
	e.options.Seeds, e.options.DrainTimeout, e.options.GracePeriod = seeds, drainTimeout, gracePeriod
	e.mu.Unlock()
	for _, seed := range seeds {
		e.addNeighbour(dfmember.Host{Address: seed})
	}
	e.log.Info().Bool("BoundsChanged", changed).Strs("Seeds", seeds).Msg("edge: settings reloaded")
}

// tickLoop runs the decisions that depend on time.
func (e *Edge) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.tick(ctx)
		}
	}
}

func (e *Edge) tick(ctx context.Context) {
	e.mu.Lock()
	now := e.options.Now()
	e.recordTick(now)
	if now-e.neighboursSelectedAt >= neighbourSelectPeriod {
		e.neighboursSelectedAt = now
		e.startExchanges(ctx, now)
	}
	var actions []func()
	if expired := e.fleet.Expire(now); len(expired) > 0 {
		e.log.Info().Int("Gone", len(expired)).Msg("fleet: expired upstreams removed")
		e.reconcile()
		if action := e.removeDrains(ctx, expired); action != nil {
			actions = append(actions, action)
		}
	}
	if action := e.tickDrains(ctx, now); action != nil {
		actions = append(actions, action)
	}
	for _, s := range e.services {
		e.updateLeader(now, s)
		e.reportPace(now, s)
		if action := e.tickService(ctx, now, s); action != nil {
			actions = append(actions, action)
		}
		for id, pool := range s.pools {
			plan := e.connectionPlan(now, s, id)
			use := e.connectionUse(now, s, id, plan)
			pool.Tick(e.connectionLimit(now, s, id, plan), use)
			pool.SetAdmissionLimit(e.admissionLimit(id, plan, use), e.ordersAdmission())
			e.nameCarriers(now, s, id, plan)
		}
	}
	if action := e.tickRoster(ctx, now); action != nil {
		actions = append(actions, action)
	}
	e.updateReadiness(now)
	e.mu.Unlock()
	for _, action := range actions {
		go action()
	}
}

// connectionLimit returns how many connections this host may hold to an upstream.
func (e *Edge) connectionLimit(now dfclock.Millis, s *service, id dffleet.ID, plan dfforward.Plan) int {
	config, ok := e.catalog.Service(s.name)
	if !ok {
		return 0
	}
	if plan.Shared() {
		return plan.ConnectionsPerCarrier
	}
	return e.connectionShare(now, s, config, id).Connections()
}

// admissionLimit returns how many statements this host may run at an upstream at once,
// or zero if it does not queue them.
func (e *Edge) admissionLimit(id dffleet.ID, plan dfforward.Plan, use dfconnection.Use) int {
	if use != dfconnection.UseCarrier && use != dfconnection.UseOrganisationCarrier {
		return 0
	}
	upstream, _ := e.fleet.Find(id)
	return plan.StatementsPerCarrier(upstream.Slots)
}

// connectionUse returns the purpose of this host's connections to an upstream.
func (e *Edge) connectionUse(now dfclock.Millis, s *service, id dffleet.ID, plan dfforward.Plan) dfconnection.Use {
	config, _ := e.catalog.Service(s.name)
	carries := plan.Shared() && slices.Contains(e.carriers(now, id, plan), e.options.Self)
	switch {
	case carries && e.catalog.HasOrganisations():
		return dfconnection.UseOrganisationCarrier
	case carries:
		return dfconnection.UseCarrier
	case plan.Shared():
		return dfconnection.UseNone
	case e.connectionShare(now, s, config, id).HasSpare():
		return dfconnection.UseOwnWithSpare
	}
	return dfconnection.UseOwn
}

func (e *Edge) connectionShare(now dfclock.Millis, s *service, config dfcatalog.Service, id dffleet.ID) dfconnection.Share {
	upstream, _ := e.fleet.Find(id)
	fullAt, full := s.fullAt[id]
	return dfconnection.Share{
		Limit: config.ConnectionLimit, Slots: upstream.Slots, Hosts: e.neighbours.HostCount(now),
		DataCentres: max(1, len(e.neighbours.Speakers(now))), AtLimit: full && now-fullAt < fullBackoff,
	}
}

// reconcile updates services and connection pools to match the list of upstreams.
func (e *Edge) reconcile() {
	now := e.options.Now()
	for _, name := range e.catalog.Services() {
		s := e.services[name]
		if s == nil {
			s = &service{
				name: name, placer: e.newPlacer(), successor: dfsuccession.New(now, e.options.Fencing),
				reservedEpochAt: now, pools: map[dffleet.ID]*dfconnection.Pool{}, fullAt: map[dffleet.ID]dfclock.Millis{},
				leaderlessSince: dfclock.Never, termQueriedAt: map[dffleet.ID]dfclock.Millis{},
				returns: dfadmit.NewReturns(e.random.Float64()),
				voter:   dfrevocation.Voter{}.WithLowestEpoch(e.lowestEpoch()),
			}
			e.services[name] = s
		}
		listed := map[dffleet.ID]bool{}
		for _, upstream := range e.fleet.ByService(name) {
			listed[upstream.ID] = true
			e.updatePool(now, s, upstream)
		}
		for id, pool := range s.pools {
			if !listed[id] {
				pool.Close()
				delete(s.pools, id)
				s.placer.Remove(id)
				delete(s.fullAt, id)
			}
		}
		e.updateLeader(now, s)
	}
	e.notifyWaiters()
}

// newPlacer returns the selector of a service. Upstreams are compared and paced only
// where the settings ask for it.
func (e *Edge) newPlacer() *dfplace.Selector {
	if !e.options.OutlierEjection {
		return dfplace.NewWithReports(dfpace.NewDisabled(), dfplace.Weighted{}, e.random.Float64)
	}
	return dfplace.NewWithReports(dfpace.New(dfpace.Gradient{}, e.random.Float64), dfplace.Weighted{}, e.random.Float64)
}

func (e *Edge) updatePool(now dfclock.Millis, s *service, upstream dffleet.Upstream) {
	pool := s.pools[upstream.ID]
	if pool != nil && (pool.Upstream().Born != upstream.Born || pool.Upstream().Address != upstream.Address) {
		pool.Close()
		s.placer.Remove(upstream.ID)
		pool = nil
	}
	s.placer.Put(upstream.ID, upstream.DataCentre == e.options.Self.DataCentre, upstream.Slots)
	if pool == nil {
		s.placer.SetHosts(e.neighbours.HostCount(now))
		if upstream.Warming {
			s.placer.StartPace(now, upstream.ID)
		}
		random := rand.New(rand.NewPCG(e.random.Uint64(), e.random.Uint64()))
		plan := e.connectionPlan(now, s, upstream.ID)
		limit := e.connectionLimit(now, s, upstream.ID, plan)
		use := e.connectionUse(now, s, upstream.ID, plan)
		s.pools[upstream.ID] = dfconnection.NewPool(upstream, limit, use, e.options.Now, e.openConnection, e.handleOpenResult, random)
		e.nameCarriers(now, s, upstream.ID, plan)
	}
}

// updateLeader records a change of a service's leader.
func (e *Edge) updateLeader(now dfclock.Millis, s *service) {
	leader, ok := e.fleet.Leader(now, s.name)
	if !ok || leader.ID == s.leader {
		return
	}
	e.log.Info().Str("Service", s.name).Str("Before", string(s.leader)).Str("Leader", string(leader.ID)).
		Stringer("Entry", leader.Version).Msg("fleet: another upstream leads")
	// A replica that is promoted is warm unless it has just started.
	s.placer.SetLeader(now, leader.ID, s.leader != "" && leader.Warming)
	s.leader = leader.ID
	s.timeline.Discard()
	e.counters.leaderChanges.Inc()
	e.notifyWaiters()
}

// notifyWaiters makes waiting statements re-evaluate their plan.
func (e *Edge) notifyWaiters() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// waitForChange returns when changed is closed, when departure ends because the caller
// leaves, or at the given time.
func (e *Edge) waitForChange(departure context.Context, changed chan struct{}, until dfclock.Millis) {
	wait := until - e.options.Now()
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-changed:
	case <-departure.Done():
	case <-timer.C:
	}
}

// openConnection opens a connection for a pool.
func (e *Edge) openConnection(ctx context.Context, upstream dffleet.Upstream, organisation string) (*dfconnection.Conn, error) {
	return e.dial(ctx, upstream, organisation, connectTimeout)
}

// dial opens a connection in the name of an organisation. If it is empty, the upstream
// is told the host's own ID.
func (e *Edge) dial(ctx context.Context, upstream dffleet.Upstream, organisation string, timeout dfclock.Millis) (*dfconnection.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(timeout)*time.Millisecond)
	defer cancel()
	raw, err := e.options.Dial(ctx, upstream.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "edge: connect to %s", upstream.ID)
	}
	deadline, _ := ctx.Deadline()
	if err := raw.SetDeadline(deadline); err != nil {
		return nil, eris.Wrap(closeOnError(raw, err), "edge: set deadline")
	}
	identity := organisation
	if identity == "" {
		identity = e.options.Self.ID
	}
	transport, err := e.options.Dialect.Open(raw, upstream.Service, identity, string(upstream.ID))
	if err != nil {
		return nil, closeOnError(raw, err)
	}
	e.counters.connectionsOpened.Inc()
	return dfconnection.New(upstream.ID, transport, raw), nil
}

// closeOnError closes a connection that failed and returns the failure.
func closeOnError(closer interface{ Close() error }, err error) error {
	_ = closer.Close()
	return err
}

// handleOpenResult records the result of opening a connection.
func (e *Edge) handleOpenResult(id dffleet.ID, err error) {
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
	e.counters.connectionFailures.Inc()
	e.log.Warn().Str("Service", s.name).Str("Upstream", string(id)).Err(err).Msg("pool: opening failed")
	if isConnectionLimit(err) {
		s.fullAt[id] = now
		return
	}
	s.placer.RecordConnectionLost(now, id)
	s.successor.Handle(now, dfsuccession.ConnectionFailed{ID: id})
}
