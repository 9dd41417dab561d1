package dfupstream

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfpool"
	"dragonflygrade/dfresult"
)

// PoolConfig has the settings of a pool runner. Zero spans mean the defaults.
type PoolConfig struct {
	Conn Config
	Pool dfpool.Config
	// Now reads the host's clock; it is never nil.
	Now func() dfclock.Millis
	// OnTerminated is called by a goroutine of its own when the upstream's
	// administrator ended a connection. It must not call Close; nil does nothing.
	OnTerminated func()
	// OnSilent is called by a goroutine of its own with the process number of a
	// connection found silent, which the upstream may still keep. It must not call
	// Close; nil does nothing.
	OnSilent func(pid uint32)
	// Seed makes the jitter repeatable.
	Seed         uint64
	Ring         int
	OpenTimeout  dfclock.Millis
	ProbeTimeout dfclock.Millis
	ResetTimeout dfclock.Millis
}

func (c PoolConfig) withDefaults() PoolConfig {
	if c.Ring == 0 {
		c.Ring = DefaultRing
	}
	if c.OpenTimeout == 0 {
		c.OpenTimeout = DefaultOpenTimeout
	}
	if c.ProbeTimeout == 0 {
		c.ProbeTimeout = DefaultProbeTimeout
	}
	if c.ResetTimeout == 0 {
		c.ResetTimeout = DefaultResetTimeout
	}
	return c
}

// grant answers a waiter.
type grant struct {
	conn *Conn
	err  error
}

// claim is a waiter as seen by its caller.
type claim struct {
	// answer has room for one grant.
	answer chan grant
	// abandoned is set when the caller gave up, before the event Cancelled.
	abandoned atomic.Bool
}

// unusedClaims has claims that were answered. A claim that its caller gave up
// is not reused, because the pool may still hold it.
var unusedClaims = sync.Pool{New: func() any { return &claim{answer: make(chan grant, 1)} }}

// request is an event for the pool with what belongs to it.
type request struct {
	event dfpool.Event
	// conn belongs to Opened.
	conn *Conn
	// claim belongs to Acquire and Cancelled.
	claim *claim
	// stats belongs to a request for statistics.
	stats chan dfpool.Stats
}

// Pool runs the decisions of dfpool. A mutex guards the decision value: handing
// every event to one goroutine costs two switches for each request.
type Pool struct {
	config PoolConfig
	done   chan struct{}
	// kick makes the timer's goroutine look for an earlier instant.
	kick    chan struct{}
	stop    context.CancelFunc
	ctx     context.Context
	workers sync.WaitGroup
	lastID  atomic.Uint64
	// failures limits the log lines on failed openings.
	failures failureLog
	// entering counts the callers of Get that wait for the mutex, at most Ring.
	entering atomic.Int64

	// mu guards the following fields.
	mu     sync.Mutex
	closed bool
	// wakeAt is the instant for which the timer is set.
	wakeAt   dfclock.Millis
	decision *dfpool.Pool
	// pending has the actions that are carried out now.
	pending []dfpool.Action
	conns   map[dfpool.ConnID]*Conn
	claims  map[dfpool.WaiterID]*claim
}

// NewPool starts a pool. Close ends it.
func NewPool(config PoolConfig) *Pool {
	config = config.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	p := &Pool{
		config:   config,
		done:     make(chan struct{}),
		kick:     make(chan struct{}, 1),
		stop:     stop,
		ctx:      ctx,
		decision: dfpool.New(config.Pool, rand.New(rand.NewPCG(config.Seed, 1))),
		conns:    map[dfpool.ConnID]*Conn{},
		claims:   map[dfpool.WaiterID]*claim{},
	}
	go p.run()
	return p
}

// Get waits for a connection until the deadline, which is an instant of the
// pool's clock. Lower priorities go first. An error is a *dfresult.Error with
// the outcome not run.
func (p *Pool) Get(ctx context.Context, deadline dfclock.Millis, priority int) (*Conn, error) {
	waiter := dfpool.WaiterID(p.lastID.Add(1))
	want := dfpool.Acquire{Waiter: waiter, Priority: priority, Deadline: deadline}
	mine := unusedClaims.Get().(*claim)
	if p.entering.Add(1) > int64(p.config.Ring) {
		p.entering.Add(-1)
		return nil, dfresult.NewError(dfresult.QueueFull, "the pool of %s is busy", p.config.Conn.Address)
	}
	open := p.post(request{event: want, claim: mine})
	p.entering.Add(-1)
	if !open {
		return nil, errPoolClosed()
	}
	select {
	case granted := <-mine.answer:
		unusedClaims.Put(mine)
		return granted.conn, granted.err
	default:
	}
	select {
	case granted := <-mine.answer:
		unusedClaims.Put(mine)
		return granted.conn, granted.err
	case <-p.done:
		return nil, errPoolClosed()
	case <-ctx.Done():
		mine.abandoned.Store(true)
		p.post(request{event: dfpool.Cancelled{Waiter: waiter}, claim: mine})
		return nil, dfresult.NewError(dfresult.NoConnection, "the request was given up: %v", ctx.Err())
	}
}

func errPoolClosed() error {
	return dfresult.NewError(dfresult.NoConnection, "the pool is closed")
}

// Put gives a connection back. A connection with session state is reset first,
// and one that is not idle is closed. If the upstream did not answer in time,
// idle connections of that age or older are probed before reuse.
func (p *Pool) Put(conn *Conn) {
	if !conn.Idle() || conn.State() == None {
		p.returned(conn, conn.Idle())
		return
	}
	go func() {
		ctx, stop := p.bounded(p.config.ResetTimeout)
		defer stop()
		err := conn.Reset(ctx)
		p.returned(conn, err == nil && conn.Idle())
	}()
}

func (p *Pool) returned(conn *Conn, idle bool) {
	if conn.Silent() {
		silentRequests.Inc()
		p.tellSilent(conn)
		p.post(request{event: dfpool.Silent{Conn: dfpool.ConnID(conn.poolID)}})
		return
	}
	p.post(request{event: dfpool.Returned{Conn: dfpool.ConnID(conn.poolID), Reusable: idle}})
}

// suspension is the wait after the administrator ended a connection.
func (p *Pool) suspension() dfclock.Millis {
	if p.config.Pool.MaxBackoff > 0 {
		return p.config.Pool.MaxBackoff
	}
	return dfpool.DefaultSuspension
}

// tellSilent reports a connection that the upstream may still keep.
func (p *Pool) tellSilent(conn *Conn) {
	if p.config.OnSilent != nil {
		go p.config.OnSilent(conn.PID())
	}
}

// Doubt makes idle connections as old as a held one, or older, be probed before
// reuse, because the held one is not answered in time.
func (p *Pool) Doubt(conn *Conn) {
	p.post(request{event: dfpool.ReplyOverdue{Conn: dfpool.ConnID(conn.poolID)}})
}

// SetReachable tells whether the upstream is seen to answer at all. While it is
// not, waiters are refused and openings are rare.
func (p *Pool) SetReachable(up bool) {
	p.post(request{event: dfpool.Reachable{Up: up}})
}

// Suspend stops the opening of connections for a span.
func (p *Pool) Suspend(span dfclock.Millis) {
	p.post(request{event: dfpool.Suspended{For: span}})
}

// SetLimit changes the largest number of connections.
func (p *Pool) SetLimit(limit int) {
	p.post(request{event: dfpool.LimitChanged{Limit: limit}})
}

// Stats counts the connections. It is empty after Close.
func (p *Pool) Stats() dfpool.Stats {
	answer := make(chan dfpool.Stats, 1)
	p.post(request{stats: answer})
	select {
	case stats := <-answer:
		return stats
	case <-p.done:
		return dfpool.Stats{}
	}
}

// Close refuses all waiters and closes all connections, also held ones.
func (p *Pool) Close() {
	p.stop()
	<-p.done
	p.workers.Wait()
}

// post handles an event. It returns false if the pool is closed.
func (p *Pool) post(r request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		if r.conn != nil {
			r.conn.Close()
		}
		return false
	}
	p.take(r)
	if p.decision.NextTick() < p.wakeAt {
		select {
		case p.kick <- struct{}{}:
		default:
		}
	}
	return true
}

// run ticks the decision at the instants that it asks for.
func (p *Pool) run() {
	defer p.shutDown()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	p.post(request{event: dfpool.Tick{}})
	for {
		timer.Reset(p.untilWake())
		select {
		case <-p.ctx.Done():
			return
		case <-p.kick:
		case <-timer.C:
			p.post(request{event: dfpool.Tick{}})
		}
	}
}

func (p *Pool) untilWake() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wakeAt = p.decision.NextTick()
	if p.wakeAt == dfclock.Never {
		return time.Hour
	}
	// A span of at least one millisecond keeps a past instant from spinning.
	span := max(p.wakeAt.Since(p.config.Now()), dfclock.Millisecond)
	return time.Duration(span) * time.Millisecond
}

// shutDown closes everything; no event is handled any more.
func (p *Pool) shutDown() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	close(p.done)
	for _, conn := range p.conns {
		conn.Close()
	}
}

// take handles a request with its attachments.
func (p *Pool) take(r request) {
	switch event := r.event.(type) {
	case nil:
		r.stats <- p.decision.Stats()
		return
	case dfpool.Acquire:
		if r.claim.abandoned.Load() {
			return
		}
		p.claims[event.Waiter] = r.claim
	case dfpool.Cancelled:
		p.takeWithdrawn(event, r.claim)
		return
	case dfpool.Opened:
		p.conns[event.Conn] = r.conn
	case dfpool.Returned:
		conn := p.conns[event.Conn]
		if !event.Reusable {
			p.noteTerminated(conn)
			break
		}
		event.Reusable = conn != nil && check(conn.Idle(), "a returned connection is idle")
		p.handle(event)
		return
	}
	p.handle(r.event)
}

// takeWithdrawn also handles the case that a connection was given before.
func (p *Pool) takeWithdrawn(event dfpool.Cancelled, mine *claim) {
	select {
	case granted := <-mine.answer:
		if granted.conn != nil {
			p.handle(dfpool.Returned{Conn: dfpool.ConnID(granted.conn.poolID), Reusable: true})
		}
	default:
		delete(p.claims, event.Waiter)
		p.handle(event)
	}
}

func (p *Pool) handle(event dfpool.Event) {
	p.pending = append(p.pending[:0], p.decision.Handle(p.config.Now(), event)...)
	for i := 0; i < len(p.pending); i++ {
		if next := p.execute(p.pending[i]); next != nil {
			p.pending = append(p.pending, p.decision.Handle(p.config.Now(), next)...)
		}
	}
}

// execute carries out one action and returns an event that follows at once.
func (p *Pool) execute(action dfpool.Action) dfpool.Event {
	switch a := action.(type) {
	case dfpool.Grant:
		return p.give(a)
	case dfpool.Refuse:
		p.answer(a.Waiter, grant{err: dfresult.NewError(a.Code, "%s", p.config.Conn.Address).WithRetryAfter(a.RetryAfter)})
	case dfpool.Open:
		return p.start(a.Conn)
	case dfpool.Probe:
		conn := p.conns[a.Conn]
		p.work(func() { p.probe(a.Conn, conn) })
	case dfpool.Close:
		if conn := p.conns[a.Conn]; conn != nil {
			delete(p.conns, a.Conn)
			conn.Close()
		}
		return dfpool.Closed(a)
	case dfpool.InvariantViolated:
		check(false, a.Text)
	}
	return nil
}

// start begins an opening if the limit allows it.
func (p *Pool) start(id dfpool.ConnID) dfpool.Event {
	stats := p.decision.Stats()
	if !check(stats.Total() <= stats.Limit, "openings keep the limit") {
		return dfpool.OpenFailed{Conn: id}
	}
	p.work(func() { p.open(id) })
	return nil
}

// give hands a connection over if the upstream has not ended it.
func (p *Pool) give(a dfpool.Grant) dfpool.Event {
	conn := p.conns[a.Conn]
	if conn == nil || !check(conn.Idle(), "a given connection is idle") || !conn.fresh() {
		p.noteTerminated(conn)
		return dfpool.Stale{Conn: a.Conn}
	}
	p.answer(a.Waiter, grant{conn: conn})
	return nil
}

// noteTerminated reports that the administrator ended a connection.
func (p *Pool) noteTerminated(conn *Conn) {
	if conn == nil || !conn.Terminated() {
		return
	}
	p.work(func() {
		p.Suspend(p.suspension())
		if p.config.OnTerminated != nil {
			p.config.OnTerminated()
		}
	})
}

func (p *Pool) answer(waiter dfpool.WaiterID, granted grant) {
	mine, ok := p.claims[waiter]
	if !check(ok, "a served waiter waits") {
		return
	}
	delete(p.claims, waiter)
	mine.answer <- granted
}

func (p *Pool) work(job func()) {
	p.workers.Add(1)
	go func() {
		defer p.workers.Done()
		job()
	}()
}

func (p *Pool) bounded(span dfclock.Millis) (context.Context, context.CancelFunc) {
	return context.WithTimeout(p.ctx, time.Duration(span)*time.Millisecond)
}

func (p *Pool) open(id dfpool.ConnID) {
	ctx, stop := p.bounded(p.config.OpenTimeout)
	defer stop()
	conn, err := Open(ctx, p.config.Conn)
	if err != nil {
		var known *dfresult.Error
		if errors.As(err, &known) && p.ctx.Err() == nil {
			p.failures.note(p.config.Now(), p.config.Conn.Address, known.Detail)
		}
		p.post(request{event: dfpool.OpenFailed{Conn: id}})
		return
	}
	conn.poolID = uint64(id)
	p.post(request{event: dfpool.Opened{Conn: id}, conn: conn})
}

func (p *Pool) probe(id dfpool.ConnID, conn *Conn) {
	ctx, stop := p.bounded(p.config.ProbeTimeout)
	defer stop()
	err := conn.Probe(ctx)
	suspectsProbed.Inc()
	if err != nil && conn.Silent() {
		silentSuspects.Inc()
		p.tellSilent(conn)
	}
	p.post(request{event: dfpool.ProbeFinished{Conn: id, OK: err == nil && conn.Idle()}})
}
