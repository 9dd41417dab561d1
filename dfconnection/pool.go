package dfconnection

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfpool"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfstatement"
)

const (
	// idleClose frees a share of the upstream's limit that other hosts may need.
	// The last connection stays for lastIdleClose where each host may hold one,
	// because an opening takes a slot for longer than many statements do.
	idleClose     = 2 * dfclock.Second
	lastIdleClose = 15 * dfclock.Second
	// strayIdleClose is the same for a host that holds no connections by the plan:
	// those from before it knew the plan keep the carriers from opening theirs.
	strayIdleClose = 100 * dfclock.Millisecond
	// reopenFirst and reopenCap pace openings after a failure. The first is
	// several times the time that an opening takes.
	reopenFirst = 100 * dfclock.Millisecond
	reopenCap   = 300 * dfclock.Millisecond
	// openWait is the wait after which a further connection is opened: a usual
	// statement and its round trip.
	openWait = 40 * dfclock.Millisecond
	// waiters bounds the requests that wait for one upstream at one host.
	waiters = 256
)

// Idle is how long connections may rest: any of them, and the last one.
type Idle struct{ Any, Last dfclock.Millis }

// Use is what a host holds connections to an upstream for.
type Use int

// Uses.
const (
	// Own is for its own statements, at an upstream that is short of connections.
	Own Use = iota
	// Spare is the same at an upstream with room for an idle one of each host.
	Spare
	// Carried is for the statements of other hosts too.
	Carried
	// Stray is none: other hosts carry its statements.
	Stray
)

// IdleFor returns how long connections may rest. It answers the seconds after all
// hosts started at once: before they know of each other each opens connections of
// its own, and the upstream has none left for the carriers.
func IdleFor(use Use) Idle {
	switch use {
	case Spare, Carried:
		return Idle{Any: idleClose, Last: lastIdleClose}
	case Stray:
		return Idle{Any: strayIdleClose, Last: strayIdleClose}
	}
	return Idle{Any: idleClose, Last: idleClose}
}

// Opener opens a connection. A refusal by the upstream is a *dfresult.Error.
type Opener func(ctx context.Context, upstream dffleet.Upstream) (*Conn, error)

// Clock returns the present instant.
type Clock func() dfclock.Millis

// Observer learns how openings end.
type Observer func(upstream dffleet.ID, err error)

// grant is the end of a wait.
type grant struct {
	conn *Conn
	err  *dfresult.Error
}

// Pool runs the decisions of dfpool for one upstream. It is safe for concurrent
// use.
type Pool struct {
	upstream dffleet.Upstream
	open     Opener
	clock    Clock
	observe  Observer
	ctx      context.Context
	cancel   context.CancelFunc

	mu       sync.Mutex
	use      Use
	decision *dfpool.Pool
	conns    map[dfpool.ConnID]*Conn
	waiting  map[dfpool.WaiterID]chan grant
	last     dfpool.WaiterID
}

// NewPool returns a pool without connections.
func NewPool(upstream dffleet.Upstream, limit int, use Use, clock Clock, open Opener, observe Observer, source *rand.Rand) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	idle := IdleFor(use)
	config := dfpool.Config{
		Limit: limit, MaxWaiters: waiters,
		IdleTimeout: idle.Any, LastIdleTimeout: idle.Last, InitialBackoff: reopenFirst, MaxBackoff: reopenCap,
		OpenDelay: openWait,
	}
	return &Pool{
		use: use, upstream: upstream, open: open, clock: clock, observe: observe, ctx: ctx, cancel: cancel,
		decision: dfpool.New(config, source),
		conns:    map[dfpool.ConnID]*Conn{},
		waiting:  map[dfpool.WaiterID]chan grant{},
	}
}

// Upstream returns the entry that the pool was made for.
func (p *Pool) Upstream() dffleet.Upstream {
	return p.upstream
}

// Acquire returns a connection, or an error with the outcome not run.
func (p *Pool) Acquire(priority int, deadline dfclock.Millis) (*Conn, error) {
	for {
		conn, err := p.acquire(priority, deadline)
		if err != nil {
			return nil, err
		}
		if !conn.Closed() {
			return conn, nil
		}
		p.handle(dfpool.Closed{Conn: conn.id})
		p.drop(conn)
	}
}

func (p *Pool) acquire(priority int, deadline dfclock.Millis) (*Conn, error) {
	answer := make(chan grant, 1)
	p.mu.Lock()
	p.last++
	p.waiting[p.last] = answer
	p.run(p.decision.Handle(p.clock(), dfpool.Acquire{Waiter: p.last, Priority: priority, Deadline: deadline}))
	p.mu.Unlock()
	got := p.await(answer)
	if got.err != nil {
		return nil, got.err
	}
	return got.conn, nil
}

// await waits for a grant, and lets the pool open a further connection in time.
func (p *Pool) await(answer chan grant) grant {
	select {
	case got := <-answer:
		return got
	default:
	}
	timer := time.AfterFunc(time.Duration(openWait)*time.Millisecond, func() { p.handle(dfpool.Tick{}) })
	defer timer.Stop()
	return <-answer
}

// Release gives a connection back. Reusable is false if it is in doubt.
func (p *Pool) Release(conn *Conn, reusable bool) {
	p.handle(dfpool.Returned{Conn: conn.id, Reusable: reusable})
}

// Silent closes a connection that did not answer in time. Connections of its
// age are probed before they are used again.
func (p *Pool) Silent(conn *Conn) {
	p.handle(dfpool.Silent{Conn: conn.id})
}

// Tick lets waiters expire and unused connections close.
func (p *Pool) Tick(limit int, use Use) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	if use != p.use {
		p.use = use
		idle := IdleFor(use)
		p.run(p.decision.Handle(now, dfpool.IdleTimeoutChanged{IdleTimeout: idle.Any, LastIdleTimeout: idle.Last}))
	}
	if limit != p.decision.Stats().Limit {
		p.run(p.decision.Handle(now, dfpool.LimitChanged{Limit: limit}))
		return
	}
	if now.Reached(p.decision.NextTick()) {
		p.run(p.decision.Handle(now, dfpool.Tick{}))
	}
}

// Stats counts connections and waiters.
func (p *Pool) Stats() dfpool.Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.decision.Stats()
}

// Close closes idle connections and refuses waiters; held ones close when they
// are released.
func (p *Pool) Close() {
	p.cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.run(p.decision.Handle(p.clock(), dfpool.LimitChanged{Limit: 0}))
}

func (p *Pool) handle(event dfpool.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.run(p.decision.Handle(p.clock(), event))
}

// run carries actions out. Actions of further events are appended, because the
// decision reuses its slice.
func (p *Pool) run(actions []dfpool.Action) {
	queue := append([]dfpool.Action(nil), actions...)
	for len(queue) > 0 {
		action := queue[0]
		queue = queue[1:]
		switch a := action.(type) {
		case dfpool.Grant:
			p.give(a)
		case dfpool.Open:
			go p.opening(a.Conn)
		case dfpool.Probe:
			go p.probe(p.conns[a.Conn])
		case dfpool.Close:
			if conn := p.conns[a.Conn]; conn != nil {
				delete(p.conns, a.Conn)
				closeWire(conn)
			}
			queue = append(queue, p.decision.Handle(p.clock(), dfpool.Closed(a))...)
		case dfpool.Refuse:
			err := dfresult.NewError(a.Code, "upstream %s", p.upstream.ID).WithRetryAfter(a.RetryAfter)
			p.end(a.Waiter, grant{err: err})
		case dfpool.InvariantViolated:
			log.Error().Str("upstream", string(p.upstream.ID)).Str("invariant", a.Text).Msg("pool: invariant failed")
		}
	}
}

func (p *Pool) give(a dfpool.Grant) {
	p.end(a.Waiter, grant{conn: p.conns[a.Conn]})
}

func (p *Pool) end(waiter dfpool.WaiterID, result grant) {
	if answer := p.waiting[waiter]; answer != nil {
		delete(p.waiting, waiter)
		answer <- result
	}
}

// opening opens one connection.
func (p *Pool) opening(id dfpool.ConnID) {
	conn, err := p.open(p.ctx, p.upstream)
	p.observe(p.upstream.ID, err)
	if err != nil {
		p.handle(dfpool.OpenFailed{Conn: id})
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	conn.id = id
	p.conns[id] = conn
	p.run(p.decision.Handle(p.clock(), dfpool.Opened{Conn: id}))
}

// probe asks a suspect connection for an answer. Values that it carries stay.
func (p *Pool) probe(conn *Conn) {
	if conn == nil {
		return
	}
	_, _, err := conn.Exchange(nil, deadlineAfter(probeTimeout), dfstatement.Call{Statement: dfstatement.Status{}})
	p.handle(dfpool.ProbeFinished{Conn: conn.id, OK: err == nil})
}

func (p *Pool) drop(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn.id)
	closeWire(conn)
}

// closeWire closes a connection; an error would tell only that it is closed.
func closeWire(conn *Conn) {
	_ = conn.wire.Close()
}
