package dfconnection

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"

	"dragonflygrade/dfadmission"
	"dragonflygrade/dfadmit"
	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfpool"
	"dragonflygrade/dfreport"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfstatement"
)

const (
	// idleTimeout is how long a connection may be idle before it is closed, so that
	// other hosts can use its share of the upstream's limit. Where each host may
	// hold an idle connection, the last one is closed after lastIdleTimeout only,
	// because opening one takes a slot for longer than many statements do.
	idleTimeout     = 2 * dfclock.Second
	lastIdleTimeout = 15 * dfclock.Second
	// organisationIdleTimeout is the idle timeout at a carrier whose connections belong
	// to organisations. A small organisation sends a few statements a minute to an
	// upstream. Carriers together stay within the usable part of the upstream's limit,
	// and the pool closes the least recently used connection if another organisation
	// needs its place.
	organisationIdleTimeout = dfclock.Minute
	// unusedIdleTimeout is the idle timeout at a host whose statements run on
	// carriers. Connections that it opened before it knew the connection plan
	// prevent the carriers from opening theirs.
	unusedIdleTimeout = 100 * dfclock.Millisecond
	// firstReopenDelay and maxReopenDelay are the backoff after a connection could
	// not be opened. The first is several times the duration of an opening.
	firstReopenDelay = 100 * dfclock.Millisecond
	maxReopenDelay   = 300 * dfclock.Millisecond
	// openDelay is how long a request waits before another connection is opened for
	// it: a typical statement and its round trip.
	openDelay = 40 * dfclock.Millisecond
	// maxWaiters bounds the requests that wait for connections to one upstream.
	maxWaiters = 256
)

// IdleTimeouts is how long connections may be idle. Last applies to the last
// connection of a pool, Any to the others.
type IdleTimeouts struct{ Any, Last dfclock.Millis }

// Use is the purpose of a host's connections to an upstream.
type Use int

// The uses of a pool.
const (
	// UseOwn is for the host's own statements, at an upstream without room for an
	// idle connection of each host.
	UseOwn Use = iota
	// UseOwnWithSpare is for the host's own statements, at an upstream with room for
	// an idle connection of each host.
	UseOwnWithSpare
	// UseCarrier is for the statements of this host and of others.
	UseCarrier
	// UseOrganisationCarrier is like UseCarrier where connections belong to
	// organisations.
	UseOrganisationCarrier
	// UseNone is for no statements, because carriers run them for this host.
	UseNone
)

// IdleTimeoutsFor returns the idle timeouts for a use. The short timeout of
// UseNone is for the seconds after all hosts started at once: until they know of
// each other, each opens connections of its own, and the upstream has none left
// for the carriers.
func IdleTimeoutsFor(use Use) IdleTimeouts {
	switch use {
	case UseOwnWithSpare, UseCarrier:
		return IdleTimeouts{Any: idleTimeout, Last: lastIdleTimeout}
	case UseOrganisationCarrier:
		return IdleTimeouts{Any: organisationIdleTimeout, Last: organisationIdleTimeout}
	case UseNone:
		return IdleTimeouts{Any: unusedIdleTimeout, Last: unusedIdleTimeout}
	}
	return IdleTimeouts{Any: idleTimeout, Last: idleTimeout}
}

// Opener opens a connection in the name of an organisation, or of none if it is empty.
// A refusal by the upstream is a *dfresult.Error.
type Opener func(ctx context.Context, upstream dffleet.Upstream, organisation string) (*Conn, error)

// Clock returns the current time.
type Clock func() dfclock.Millis

// Observer is called with the result of each attempt to open a connection.
type Observer func(upstream dffleet.ID, err error)

// acquireResult is the connection that a waiter got, or why it got none.
type acquireResult struct {
	conn *Conn
	err  *dfresult.Error
}

// Pool is the connection pool for one upstream, for all organisations. It carries out
// the decisions of dfpool. It is safe for concurrent use.
type Pool struct {
	upstream dffleet.Upstream
	open     Opener
	clock    Clock
	observe  Observer
	ctx      context.Context
	cancel   context.CancelFunc
	recorder *recorder

	mu sync.Mutex
	// admission orders statements before they get a connection, or is nil if they are
	// not queued. admissionLimit and spreadReturns
	// are its settings.
	admission      *dfadmission.Controller
	admissionLimit int
	spreadReturns  bool
	use            Use
	policy         *dfpool.Pool
	conns          map[dfpool.ConnID]*Conn
	waiting        map[dfpool.WaiterID]chan acquireResult
	lastWaiter     dfpool.WaiterID
}

// NewPool returns an empty pool.
func NewPool(upstream dffleet.Upstream, limit int, use Use, clock Clock, open Opener, observe Observer, source *rand.Rand) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	idle := IdleTimeoutsFor(use)
	config := dfpool.Config{
		Limit: limit, MaxWaiters: maxWaiters,
		IdleTimeout: idle.Any, LastIdleTimeout: idle.Last, InitialBackoff: firstReopenDelay, MaxBackoff: maxReopenDelay,
		OpenDelay: openDelay,
	}
	return &Pool{
		use: use, upstream: upstream, open: open, clock: clock, observe: observe, ctx: ctx, cancel: cancel, recorder: newRecorder(clock),
		policy:  dfpool.New(config, source),
		conns:   map[dfpool.ConnID]*Conn{},
		waiting: map[dfpool.WaiterID]chan acquireResult{},
	}
}

// Upstream returns the list entry that the pool was created for.
func (p *Pool) Upstream() dffleet.Upstream {
	return p.upstream
}

// Acquire returns a connection that was opened in the name of an organisation, or of
// none if it is empty. Otherwise it returns an error whose outcome is "not run". caller
// ends when the caller of the statement leaves, which then gives up its place.
func (p *Pool) Acquire(caller context.Context, organisation string, priority int, deadline dfclock.Millis) (*Conn, error) {
	admission, admitted, err := p.admit(caller, organisation, priority, deadline)
	if err != nil {
		return nil, err
	}
	for {
		conn, err := p.acquire(caller, organisation, priority, deadline)
		if err != nil {
			admitted(false)
			return nil, err
		}
		if caller.Err() != nil {
			admitted(false)
			p.Release(conn, true)
			return nil, p.errCallerLeft()
		}
		if conn.usable() {
			conn.admission, conn.admitted = admission, admitted
			return conn, nil
		}
		p.handle(dfpool.Closed{Conn: conn.id})
		p.discard(conn)
	}
}

func (p *Pool) errCallerLeft() *dfresult.Error {
	return dfresult.NewError(dfresult.CallerLeft, "before the statement was sent to upstream %s", p.upstream.ID)
}

// admit waits until a statement may start.
func (p *Pool) admit(caller context.Context, organisation string, priority int, deadline dfclock.Millis) (*dfadmission.Controller, dfadmission.Release, error) {
	p.mu.Lock()
	admission := p.admission
	p.mu.Unlock()
	if admission == nil {
		return nil, func(bool) {}, nil
	}
	ctx, cancel := context.WithCancel(caller)
	defer cancel()
	defer context.AfterFunc(p.ctx, cancel)()
	release, err := admission.Admit(ctx, dfadmit.Request{Caller: organisation, Priority: priority, Deadline: deadline, BoundsStart: true})
	if err != nil && caller.Err() != nil {
		return nil, nil, p.errCallerLeft()
	}
	return admission, release, err
}

// SetAdmissionLimit sets how many statements may run at the upstream over this pool at
// once. Further ones are queued by priority and organisation. Zero ends the queueing of
// new statements. With spreadReturns, callers that are refused come back one after the
// other.
func (p *Pool) SetAdmissionLimit(limit int, spreadReturns bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit == p.admissionLimit && spreadReturns == p.spreadReturns {
		return
	}
	p.admissionLimit, p.spreadReturns = limit, spreadReturns
	switch {
	case limit == 0:
		p.admission = nil
	case p.admission == nil:
		p.admission = dfadmission.New(dfadmit.Options{Limit: limit, MaxQueued: maxWaiters}, p.clock)
	default:
		p.admission.SetLimit(limit)
	}
	if p.admission != nil {
		p.admission.SetSpreadReturns(spreadReturns)
	}
}

func (p *Pool) acquire(caller context.Context, organisation string, priority int, deadline dfclock.Millis) (*Conn, error) {
	results := make(chan acquireResult, 1)
	p.mu.Lock()
	p.lastWaiter++
	waiter := p.lastWaiter
	p.waiting[waiter] = results
	p.perform(p.policy.Handle(p.clock(), dfpool.Acquire{
		Waiter: waiter, Organisation: organisation, Priority: priority, Deadline: deadline,
	}))
	p.mu.Unlock()
	result := p.awaitResult(caller, waiter, results)
	if result.err != nil {
		return nil, result.err
	}
	return result.conn, nil
}

// awaitResult waits for the result of an acquisition. After openDelay it makes
// the pool consider another connection.
func (p *Pool) awaitResult(caller context.Context, waiter dfpool.WaiterID, results chan acquireResult) acquireResult {
	select {
	case result := <-results:
		return result
	default:
	}
	timer := time.AfterFunc(time.Duration(openDelay)*time.Millisecond, func() { p.handle(dfpool.Tick{}) })
	defer timer.Stop()
	select {
	case result := <-results:
		return result
	case <-caller.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting[waiter] == nil {
		return <-results
	}
	delete(p.waiting, waiter)
	p.perform(p.policy.Handle(p.clock(), dfpool.Cancelled{Waiter: waiter}))
	return acquireResult{err: p.errCallerLeft()}
}

// Release returns a connection to the pool. reusable is false if its state is
// uncertain. A connection on which answers were out of step is closed.
func (p *Pool) Release(conn *Conn, reusable bool) {
	conn.endStatement()
	p.handle(dfpool.Returned{Conn: conn.id, Reusable: reusable && conn.inStep()})
}

// ReleaseTimedOut closes a connection that did not answer in time. Idle
// connections of the same age or older are probed before they are used again,
// because they may have lost the same network path.
func (p *Pool) ReleaseTimedOut(conn *Conn) {
	conn.endStatement()
	p.handle(dfpool.Silent{Conn: conn.id})
}

// Tick applies the limit and use, expires waiters and closes idle connections.
func (p *Pool) Tick(limit int, use Use) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	if use != p.use {
		p.use = use
		idle := IdleTimeoutsFor(use)
		p.perform(p.policy.Handle(now, dfpool.IdleTimeoutChanged{IdleTimeout: idle.Any, LastIdleTimeout: idle.Last}))
	}
	if limit != p.policy.Stats().Limit {
		p.perform(p.policy.Handle(now, dfpool.LimitChanged{Limit: limit}))
		return
	}
	if now.Reached(p.policy.NextTick()) {
		p.perform(p.policy.Handle(now, dfpool.Tick{}))
	}
}

// Stats counts connections and waiters.
func (p *Pool) Stats() dfpool.Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.policy.Stats()
}

// Close closes idle connections and refuses waiters. Connections in use are
// closed when they are released.
func (p *Pool) Close() {
	p.cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.perform(p.policy.Handle(p.clock(), dfpool.LimitChanged{Limit: 0}))
}

func (p *Pool) handle(event dfpool.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.perform(p.policy.Handle(p.clock(), event))
}

// perform carries out actions. It copies them, because p.policy reuses the slice
// when the events of this loop are handled.
func (p *Pool) perform(actions []dfpool.Action) {
	queue := append([]dfpool.Action(nil), actions...)
	for len(queue) > 0 {
		action := queue[0]
		queue = queue[1:]
		switch a := action.(type) {
		case dfpool.Grant:
			p.give(a)
		case dfpool.Open:
			go p.openConn(a)
		case dfpool.Probe:
			go p.probe(p.conns[a.Conn])
		case dfpool.Close:
			if conn := p.conns[a.Conn]; conn != nil {
				delete(p.conns, a.Conn)
				closeTransport(conn)
			}
			queue = append(queue, p.policy.Handle(p.clock(), dfpool.Closed(a))...)
		case dfpool.Refuse:
			err := dfresult.NewError(a.Code, "upstream %s", p.upstream.ID).WithRetryAfter(a.RetryAfter)
			p.finishWait(a.Waiter, acquireResult{err: err})
		case dfpool.InvariantViolated:
			log.Error().Str("upstream", string(p.upstream.ID)).Str("invariant", a.Text).Msg("pool: invariant failed")
		}
	}
}

func (p *Pool) give(a dfpool.Grant) {
	p.finishWait(a.Waiter, acquireResult{conn: p.conns[a.Conn]})
}

func (p *Pool) finishWait(waiter dfpool.WaiterID, result acquireResult) {
	if results := p.waiting[waiter]; results != nil {
		delete(p.waiting, waiter)
		results <- result
	}
}

// openConn opens a connection and reports the result to the pool.
func (p *Pool) openConn(a dfpool.Open) {
	conn, err := p.open(p.ctx, p.upstream, a.Organisation)
	p.observe(p.upstream.ID, err)
	if err != nil {
		if !dfresult.HasCode(err, dfresult.ConnectionLimit) {
			p.recorder.record(dfreport.Lost)
		}
		p.handle(dfpool.OpenFailed{Conn: a.Conn})
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	conn.id, conn.recorder = a.Conn, p.recorder
	p.conns[a.Conn] = conn
	p.perform(p.policy.Handle(p.clock(), dfpool.Opened{Conn: a.Conn}))
}

// probe checks that a suspect connection still answers. Its session state is
// kept.
func (p *Pool) probe(conn *Conn) {
	if conn == nil {
		return
	}
	_, _, err := conn.Exchange(nil, deadlineIn(probeTimeout), dfstatement.Call{Statement: dfstatement.Status{}})
	p.handle(dfpool.ProbeFinished{Conn: conn.id, OK: err == nil && conn.inStep()})
}

func (p *Pool) discard(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn.id)
	closeTransport(conn)
}

// closeTransport closes a connection. An error would only mean that it is already
// closed.
func closeTransport(conn *Conn) {
	_ = conn.transport.Close()
}
