package dfedge

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"dragonflygrade/dfcatalog"
	"dragonflygrade/dfclock"
	"dragonflygrade/dfmember"
	"dragonflygrade/dfmessage"
	"dragonflygrade/dfneighbour"
	"dragonflygrade/dfquota"
	"dragonflygrade/dfresult"
)

const (
	// quotaTick is the interval in which the hosts, the limits and the contact with a
	// majority are passed on, and probes are sent.
	quotaTick = 50 * time.Millisecond
	// quotaIdleTimeout closes the connection of a host that sends no more asks, and
	// ends the goroutine that asks a host. Organisations pause for seconds.
	quotaIdleTimeout = 60 * time.Second
	// quotaStartSpan is how long after its start a host without a majority polls others
	// more often.
	quotaStartSpan = 5 * dfclock.Second
	// quotaListenDelay is the pause before the listener is opened again after a
	// failure.
	quotaListenDelay = dfclock.Second
	// quotaLogInterval bounds the log lines about ownership.
	quotaLogInterval = dfclock.Second
	// namedOrganisations is how many organisations have metrics of their own.
	namedOrganisations = 10
	// otherOrganisations labels the metrics of the others. Names of organisations have
	// no parentheses.
	otherOrganisations = "(others)"
)

// quota is the host's part in the limits over all hosts.
type quota struct {
	mu    sync.Mutex
	host  *dfquota.Host
	owner *dfquota.Owner
	// version is the version of the limits that host and owner have.
	version uint64
	// named has the organisations with metrics of their own.
	named map[string]bool
	// status is what operators see of the limits.
	status limitStatus
	// counts has the counters by event and label.
	counts map[string]*metrics.Counter
	// waiters has the channels of waiting operations.
	waiters map[dfquota.Ticket]chan dfquota.Verdict
	// askers has the channel of the goroutine that asks a host, by host ID.
	askers map[string]chan dfquota.Outgoing
	// wake makes quotaLoop send asks.
	wake chan struct{}
	// stopped is true once the host stops. Operations that wait are refused then.
	stopped bool
	// ready and replacing are the ownership as logged at loggedAt.
	ready     bool
	replacing int
	loggedAt  dfclock.Millis
}

func newQuota(self string) *quota {
	return &quota{
		host: dfquota.NewHost(), owner: dfquota.NewOwner(self),
		counts:  map[string]*metrics.Counter{},
		waiters: map[dfquota.Ticket]chan dfquota.Verdict{}, askers: map[string]chan dfquota.Outgoing{},
		wake: make(chan struct{}, 1), status: newLimitStatus(),
	}
}

// needsQuorum reports whether hosts need to know when they were last in contact with a
// majority. e.mu must be held.
func (e *Edge) needsQuorum() bool {
	return e.usesLeases() || e.catalog.HasOrganisations() || e.catalog.HasSyncReplicas()
}

// admitOperation counts an operation against the limit of its organisation, before
// its first statement is sent to an upstream. It returns why the operation is refused,
// or nil.
func (e *Edge) admitOperation(req *routeRequest) *dfresult.Error {
	if req.organisation == "" {
		return nil
	}
	e.mu.Lock()
	catalog := e.catalog
	e.mu.Unlock()
	if organisation, ok := catalog.Organisation(req.organisation); !ok || organisation.Rate <= 0 {
		return nil
	}
	wait := maxAcquireWait
	if req.targetLatency > 0 {
		wait = req.targetLatency * admitWaitPercent / 100
	}
	verdict := e.admit(req.caller(), req.organisation, catalog, min(e.options.Now().Add(wait), req.deadline))
	switch v := verdict.(type) {
	case dfquota.Admitted:
		req.token = v
	case dfquota.Refused:
		return dfresult.NewError(dfresult.OverLimit, "organisation %s", req.organisation).WithRetryAfter(e.returnUnderLimit(req, v.RetryAfter))
	case dfquota.Withdrawn:
		return errCallerLeft(req)
	}
	return nil
}

// returnToken gives back what an operation took of the limit, if no upstream can have
// received any of it.
func (e *Edge) returnToken(req *routeRequest) {
	if req.sent || req.token == (dfquota.Admitted{}) {
		return
	}
	q := e.quota
	q.mu.Lock()
	defer q.mu.Unlock()
	decisions, returned := q.host.Return(e.options.Now(), req.organisation, req.token)
	if returned {
		e.countQuota("returned", req.organisation, 1)
	}
	q.decide(decisions)
	req.token = dfquota.Admitted{}
}

// admit decides on an operation of an organisation. It waits for a token until the
// given time at most, and until departure ends because the caller leaves.
func (e *Edge) admit(departure context.Context, organisation string, catalog dfcatalog.Catalog, until dfclock.Millis) dfquota.Verdict {
	q := e.quota
	q.mu.Lock()
	now := e.options.Now()
	e.adoptLimits(now, catalog)
	var verdict dfquota.Verdict = dfquota.Refused{}
	if !q.stopped {
		verdict = q.host.Arrive(now, organisation, until)
	}
	var decided chan dfquota.Verdict
	if waiting, ok := verdict.(dfquota.Waiting); ok {
		decided = make(chan dfquota.Verdict, 1)
		q.waiters[waiting.Ticket] = decided
	}
	e.quota.wakeUp()
	q.mu.Unlock()
	if decided != nil {
		ticket := verdict.(dfquota.Waiting).Ticket
		verdict = q.await(departure, organisation, ticket, decided)
	}
	event := "used"
	switch verdict.(type) {
	case dfquota.Refused:
		event = "refused"
	case dfquota.Withdrawn:
		return verdict
	}
	q.mu.Lock()
	e.countQuota(event, organisation, 1)
	e.recordUsage(organisation, event == "used")
	q.mu.Unlock()
	return verdict
}

// adoptLimits adopts the limits of the desired state. e.quota.mu must be held.
func (e *Edge) adoptLimits(now dfclock.Millis, catalog dfcatalog.Catalog) {
	q := e.quota
	if catalog.Version() <= q.version {
		return
	}
	limits := map[string]dfquota.Limit{}
	var largest []dfcatalog.Organisation
	for _, organisation := range catalog.Organisations() {
		if organisation.Rate > 0 {
			limits[organisation.Name] = dfquota.Limit{Rate: organisation.Rate, Burst: organisation.Burst, Tolerance: e.options.LimitTolerance}
			largest = append(largest, organisation)
		}
	}
	slices.SortFunc(largest, func(a, b dfcatalog.Organisation) int {
		if a.Rate != b.Rate && a.Rate > b.Rate {
			return -1
		}
		if a.Rate != b.Rate {
			return 1
		}
		return strings.Compare(a.Name, b.Name)
	})
	named := map[string]bool{}
	for _, organisation := range largest[:min(namedOrganisations, len(largest))] {
		named[organisation.Name] = true
	}
	for name := range q.named {
		if !named[name] {
			e.removeQuotaCounts(name)
		}
	}
	q.version, q.named = catalog.Version(), named
	q.adoptStatus(limits)
	q.host.SetLimits(catalog.Version(), limits)
	q.owner.SetLimits(now, catalog.Version(), limits)
}

func quotaCounter(event, label string) string {
	return fmt.Sprintf("dragonflygrade_edge_quota_%s_total{organisation=%q}", event, label)
}

// countQuota counts an event of an organisation. e.quota.mu must be held.
func (e *Edge) countQuota(event, organisation string, count int) {
	if !e.quota.named[organisation] {
		organisation = otherOrganisations
	}
	key := event + "/" + organisation
	counter := e.quota.counts[key]
	if counter == nil {
		counter = e.counters.set.GetOrCreateCounter(quotaCounter(event, organisation))
		e.quota.counts[key] = counter
	}
	counter.Add(count)
}

func (e *Edge) removeQuotaCounts(organisation string) {
	for _, event := range []string{"used", "refused", "granted", "returned"} {
		delete(e.quota.counts, event+"/"+organisation)
		e.counters.set.UnregisterMetric(quotaCounter(event, organisation))
	}
}

// quotaLoop drives the limits for as long as the desired state has organisations.
func (e *Edge) quotaLoop(ctx context.Context) {
	ticker := time.NewTicker(quotaTick)
	defer ticker.Stop()
	timer := time.NewTimer(quotaIdleTimeout)
	defer timer.Stop()
	listening := false
	listenAt := dfclock.Millis(0)
	for {
		select {
		case <-ctx.Done():
			e.quota.stop()
			return
		case <-ticker.C:
			if !e.observeQuota() {
				continue
			}
			if now := e.options.Now(); !listening && e.options.ForwardPort != 0 && now >= listenAt {
				listening, listenAt = e.listenQuota(ctx), now.Add(quotaListenDelay)
			}
		case <-timer.C:
		case <-e.quota.wake:
		}
		timer.Reset(e.driveQuota(ctx))
	}
}

// observeQuota passes the hosts, the limits and the contact with a majority to the
// decisions. It returns false if the desired state has no organisations.
func (e *Edge) observeQuota() bool {
	e.mu.Lock()
	now := e.options.Now()
	catalog := e.catalog
	e.observeMajority(now)
	if !catalog.HasOrganisations() && e.quota.version == 0 {
		e.mu.Unlock()
		return false
	}
	hosts, heardAt, quorumAt := e.ownership(now)
	e.mu.Unlock()
	q := e.quota
	q.mu.Lock()
	defer q.mu.Unlock()
	e.adoptLimits(now, catalog)
	q.host.SetHosts(hosts)
	q.owner.SetHosts(now, hosts)
	e.logLimits(now)
	q.owner.Observe(now, quorumAt, heardAt)
	e.logOwnership(now)
	return catalog.HasOrganisations()
}

// observeMajority makes this host count a majority while one is needed. e.mu must be held.
func (e *Edge) observeMajority(now dfclock.Millis) {
	needed := e.needsQuorum()
	if e.usesLeases() || !needed && !e.majorityNeeded {
		return
	}
	e.majorityNeeded = needed
	periods := dfneighbour.DefaultPollPeriods()
	switch {
	case needed && now-e.startedAt < quotaStartSpan && e.neighbours.QuorumAt(now) < 0:
		periods = dfneighbour.StartPollPeriods()
	case e.catalog.HasSyncReplicas():
		periods = dfneighbour.LeasePollPeriods()
	case needed:
		periods = dfneighbour.QuorumPollPeriods()
	}
	e.neighbours.SetPeriods(periods)
	e.neighbours.SetMajorityNeeded(needed)
	if e.membersLoaded {
		e.neighbours.MarkComplete()
	}
}

// ownership returns the hosts that may own limits, when a host first answered this one, and
// the last contact with a majority. The last two count only since this host is in the host
// table: others ask it for tokens from then on. e.mu must be held.
func (e *Edge) ownership(now dfclock.Millis) (hosts []dfmember.Host, heardAt, quorumAt dfclock.Millis) {
	hosts, heardAt, quorumAt = e.neighbours.OtherHosts(), e.neighbours.HeardAt(), e.neighbours.QuorumAt(now)
	if !e.usesRoster() || !e.roster.Known() {
		return append(hosts, e.options.Self), heardAt, quorumAt
	}
	joinedAt := e.roster.JoinedAt()
	if joinedAt < 0 {
		return hosts, heardAt, -1
	}
	if heardAt >= 0 {
		heardAt = max(heardAt, joinedAt)
	}
	return append(hosts, e.options.Self), heardAt, quorumAt
}

// logOwnership logs that the host has become, or ceased to be, an owner.
func (e *Edge) logOwnership(now dfclock.Millis) {
	q := e.quota
	ready, replacing := q.owner.Ready(now), q.owner.Replacing()
	if ready == q.ready && replacing == q.replacing || now-q.loggedAt < quotaLogInterval {
		return
	}
	if ready != q.ready {
		e.log.Info().Bool("Owner", ready).Msg("quota: ownership of limits changed")
	}
	if replacing != q.replacing {
		e.log.Info().Int("Before", q.replacing).Int("Organisations", replacing).Msg("quota: granting in place of other hosts")
	}
	q.ready, q.replacing, q.loggedAt = ready, replacing, now
}

// driveQuota refuses the operations whose time is up and starts the asks that are due.
// It returns the time until the next call.
func (e *Edge) driveQuota(ctx context.Context) time.Duration {
	q := e.quota
	q.mu.Lock()
	defer q.mu.Unlock()
	now := e.options.Now()
	q.decide(q.host.Expire(now))
	for {
		asks := q.host.Asks(now, q.owner.Probes(now), q.owner.Missed(now))
		local := false
		for _, ask := range asks {
			if ask.To.ID == e.options.Self.ID {
				q.decide(q.host.Handle(now, ask, e.answerAsk(now, ask.Ask)))
				local = true
				continue
			}
			e.startAsk(ctx, ask)
		}
		if !local {
			break
		}
	}
	next := q.host.NextAt(now)
	if next == dfclock.Never {
		return quotaIdleTimeout
	}
	return time.Duration(max(dfclock.Millisecond, next-now)) * time.Millisecond
}

// wakeUp makes quotaLoop send the asks that are due.
func (q *quota) wakeUp() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// decide wakes the operations that were decided. q.mu must be held.
func (q *quota) decide(decisions []dfquota.Decision) {
	for _, decision := range decisions {
		if decided := q.waiters[decision.Ticket]; decided != nil {
			delete(q.waiters, decision.Ticket)
			decided <- decision.Verdict
		}
	}
}

// stop refuses the operations that wait and all later ones.
func (q *quota) stop() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stopped = true
	for ticket := range q.waiters {
		q.decide([]dfquota.Decision{{Ticket: ticket, Verdict: dfquota.Refused{}}})
	}
}

// startAsk passes an ask to the goroutine that asks its host. e.quota.mu must be held.
func (e *Edge) startAsk(ctx context.Context, ask dfquota.Outgoing) {
	asks := e.quota.askers[ask.To.ID]
	if asks == nil {
		asks = make(chan dfquota.Outgoing, 1)
		e.quota.askers[ask.To.ID] = asks
		go e.askLoop(ctx, ask.To.ID, asks)
	}
	asks <- ask
}

// askLoop sends asks to one host over one connection, until there are none for a
// while.
func (e *Edge) askLoop(ctx context.Context, id string, asks chan dfquota.Outgoing) {
	var conn net.Conn
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	idle := time.NewTimer(quotaIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
			e.quota.mu.Lock()
			if len(asks) == 0 {
				delete(e.quota.askers, id)
				e.quota.mu.Unlock()
				return
			}
			e.quota.mu.Unlock()
		case ask := <-asks:
			grant, next, err := e.exchangeAsk(ctx, conn, ask)
			conn = next
			e.handleGrant(ask, grant, err)
			idle.Reset(quotaIdleTimeout)
		}
	}
}

// exchangeAsk sends an ask and waits for the grant. It returns the connection for the
// next ask. A connection that the other host has closed meanwhile is replaced.
func (e *Edge) exchangeAsk(ctx context.Context, conn net.Conn, ask dfquota.Outgoing) (dfquota.Grant, net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(ask.Timeout())*time.Millisecond)
	defer cancel()
	if conn != nil {
		grant, err := exchangeAskOn(ctx, conn, ask.Ask)
		if err == nil {
			return grant, conn, nil
		}
		_ = conn.Close()
		if ctx.Err() != nil {
			return dfquota.Grant{}, nil, err
		}
	}
	conn, err := e.options.Dial(ctx, e.quotaAddress(ask.To))
	if err != nil {
		return dfquota.Grant{}, nil, eris.Wrapf(err, "quota: connect to %s", ask.To.ID)
	}
	grant, err := exchangeAskOn(ctx, conn, ask.Ask)
	if err != nil {
		return dfquota.Grant{}, nil, closeOnError(conn, err)
	}
	return grant, conn, nil
}

func exchangeAskOn(ctx context.Context, conn net.Conn, ask dfquota.Ask) (dfquota.Grant, error) {
	var grant dfquota.Grant
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		return grant, eris.Wrap(err, "quota: set deadline")
	}
	if err := dfmessage.Write(conn, ask); err != nil {
		return grant, err
	}
	return grant, dfmessage.Read(conn, &grant)
}

func (e *Edge) quotaAddress(host dfmember.Host) string {
	ip, _, err := net.SplitHostPort(host.Address)
	if err != nil {
		ip = host.Address
	}
	return net.JoinHostPort(ip, strconv.Itoa(e.options.ForwardPort+1))
}

// handleGrant processes the answer to an ask, or its failure.
func (e *Edge) handleGrant(ask dfquota.Outgoing, grant dfquota.Grant, err error) {
	q := e.quota
	q.mu.Lock()
	defer q.mu.Unlock()
	now := e.options.Now()
	q.owner.Probed(now, ask.To.ID, err == nil && grant.Ready, grant.Reached)
	if err != nil {
		q.host.Fail(now, ask)
	} else {
		q.decide(q.host.Handle(now, ask, grant))
	}
	e.quota.wakeUp()
}

// listenQuota opens the listener for asks and reports whether it is open.
func (e *Edge) listenQuota(ctx context.Context) bool {
	host, _, err := net.SplitHostPort(e.options.CallerAddress)
	if err != nil {
		e.log.Error().Err(err).Msg("quota: cannot parse caller address")
		return true
	}
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: forwardKeepAlive, Interval: forwardKeepAlive, Count: 2,
	}}
	listener, err := config.Listen(ctx, "tcp4", net.JoinHostPort(host, strconv.Itoa(e.options.ForwardPort+1)))
	if err != nil {
		e.log.Warn().Err(err).Msg("quota: cannot listen")
		return false
	}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serveAsks(conn)
		}
	}()
	return true
}

// answerAsk answers an ask. e.quota.mu must be held.
func (e *Edge) answerAsk(now dfclock.Millis, ask dfquota.Ask) dfquota.Grant {
	grant := e.quota.owner.Handle(now, ask)
	for i, part := range grant.Parts {
		if part.Tokens > 0 {
			e.countQuota("granted", ask.Wants[i].Organisation, part.Tokens)
		}
	}
	return grant
}

// serveAsks answers the asks of one host until it is idle for too long.
func (e *Edge) serveAsks(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	for {
		if err := conn.SetDeadline(time.Now().Add(quotaIdleTimeout)); err != nil {
			return
		}
		var ask dfquota.Ask
		if err := dfmessage.Read(conn, &ask); err != nil {
			return
		}
		e.quota.mu.Lock()
		grant := e.answerAsk(e.options.Now(), ask)
		e.quota.mu.Unlock()
		if err := dfmessage.Write(conn, grant); err != nil {
			return
		}
	}
}
