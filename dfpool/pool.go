// Package dfpool decides how the connections to one upstream are shared. It
// opens, gives, probes and closes connections within a limit.
package dfpool

import (
	"math/rand/v2"
	"sort"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfresult"
)

// Config has the settings of a pool. Zero spans and counts mean the defaults,
// except for Limit and Warm.
type Config struct {
	// Limit bounds connections in every state, also those being opened or closed.
	Limit int
	// Warm connections are kept open without demand; at most Limit.
	Warm      int
	Waiters   int
	IdleClose dfclock.Millis
	// LastIdleClose is IdleClose for the last connection; zero means IdleClose.
	LastIdleClose dfclock.Millis
	ReopenFirst   dfclock.Millis
	ReopenCap     dfclock.Millis
	// OpenWait is how long a waiter relies on the connections that are there
	// before a further one is opened, one at a time. Zero opens one for each
	// waiter at once. It answers loads at which openings take the upstream's time.
	OpenWait dfclock.Millis
}

// withDefaults fills in what is not set.
func (c Config) withDefaults() Config {
	if c.Waiters == 0 {
		c.Waiters = DefaultWaiters
	}
	if c.IdleClose == 0 {
		c.IdleClose = DefaultIdleClose
	}
	if c.LastIdleClose == 0 {
		c.LastIdleClose = c.IdleClose
	}
	if c.ReopenFirst == 0 {
		c.ReopenFirst = DefaultReopenFirst
	}
	if c.ReopenCap == 0 {
		c.ReopenCap = DefaultReopenCap
	}
	return c
}

// state is what a connection does.
type state int

const (
	opening state = iota + 1
	idle
	held
	probing
	closing
)

// connection is one counted connection.
type connection struct {
	id    ConnID
	state state
	// openedAt is the instant at which the opening began. A connection is as
	// old as its path through the network.
	openedAt dfclock.Millis
	idleAt   dfclock.Millis
	// suspect connections are probed before they are given.
	suspect bool
	// given is the waiter that got the connection last.
	given waiter
}

// waiter is a request that has no connection yet.
type waiter struct {
	id       WaiterID
	priority int
	deadline dfclock.Millis
	// arrivedAt is when it began to wait.
	arrivedAt dfclock.Millis
}

// Stats counts the connections by state.
type Stats struct {
	Limit, Opening, Idle, Suspect, Held, Probing, Closing, Waiting int
}

// Total counts every connection against the limit.
func (s Stats) Total() int {
	return s.Opening + s.Idle + s.Held + s.Probing + s.Closing
}

// Pool is the state of the decision. It is used by one goroutine.
type Pool struct {
	config Config
	source *rand.Rand
	lastID ConnID
	// connections has at most Limit entries unless the limit was lowered.
	connections map[ConnID]*connection
	// counts has the number of connections by state.
	counts [closing + 1]int
	// idles has the idle connections, the last used one at the end.
	idles []*connection
	// waiters is in the order of service: priority, then arrival.
	waiters []waiter
	// failures counts failed openings since the last success.
	failures int
	// openAfter is the instant before which nothing is opened.
	openAfter dfclock.Millis
	// suspendedUntil is the part of openAfter that only time ends.
	suspendedUntil dfclock.Millis
	// down is true while the upstream is seen not to answer. Then nobody waits.
	down    bool
	actions []Action
}

// New returns a pool without connections. The source gives the jitter.
func New(config Config, source *rand.Rand) *Pool {
	return &Pool{
		config:      config.withDefaults(),
		source:      source,
		connections: map[ConnID]*connection{},
	}
}

// Handle takes an event and returns what to do, in order. The slice is valid
// until the next call.
func (p *Pool) Handle(now dfclock.Millis, event Event) []Action {
	p.actions = p.actions[:0]
	switch e := event.(type) {
	case Want:
		p.want(now, e)
	case Withdrawn:
		p.withdraw(e.Waiter)
	case Returned:
		p.returned(now, e)
	case Stale:
		p.stale(e.Conn)
	case Opened:
		p.opened(now, e.Conn)
	case OpenFailed:
		p.openFailed(now, e.Conn)
	case Closed:
		p.closed(e.Conn)
	case Silent:
		p.silent(e.Conn)
	case Doubted:
		p.doubted(e.Conn)
	case Reachable:
		p.reachable(now, e.Up)
	case ProbeAnswered:
		p.probeAnswered(now, e)
	case LimitChanged:
		p.config.Limit = max(0, e.Limit)
	case IdleChanged:
		p.config.IdleClose, p.config.LastIdleClose = e.IdleClose, e.LastIdleClose
	case Suspended:
		p.suspendedUntil = max(p.suspendedUntil, now.Add(e.For))
		p.openAfter = max(p.openAfter, p.suspendedUntil)
	case Tick:
		p.closeUnused(now)
	}
	p.settle(now)
	return p.actions
}

// Stats counts connections and waiters.
func (p *Pool) Stats() Stats {
	stats := Stats{Limit: p.config.Limit, Waiting: len(p.waiters)}
	for _, c := range p.connections {
		switch c.state {
		case opening:
			stats.Opening++
		case idle:
			stats.Idle++
		case held:
			stats.Held++
		case probing:
			stats.Probing++
		case closing:
			stats.Closing++
		}
		if c.suspect {
			stats.Suspect++
		}
	}
	return stats
}

// Wake returns the next instant at which a Tick has an effect, or Never.
func (p *Pool) Wake() dfclock.Millis {
	next := dfclock.Never
	for _, w := range p.waiters {
		next = min(next, w.deadline)
	}
	if len(p.connections) < p.config.Limit && (len(p.waiters) > 0 || len(p.connections) < p.config.Warm) {
		next = min(next, max(p.openAfter, p.openDue()))
	}
	if len(p.connections) > p.config.Warm {
		if len(p.idles) > 0 {
			// Connections are appended when they become idle, so the first one
			// has been idle for longest.
			next = min(next, p.idles[0].idleAt.Add(p.idleClose()))
		}
	}
	return next
}

func (p *Pool) act(action Action) {
	p.actions = append(p.actions, action)
}

func (p *Pool) want(now dfclock.Millis, e Want) {
	if len(p.waiters) >= p.config.Waiters {
		p.act(Refuse{Waiter: e.Waiter, Code: dfresult.QueueFull})
		return
	}
	at := sort.Search(len(p.waiters), func(i int) bool { return p.waiters[i].priority > e.Priority })
	p.insert(at, waiter{id: e.Waiter, priority: e.Priority, deadline: e.Deadline, arrivedAt: now})
}

func (p *Pool) insert(at int, w waiter) {
	p.waiters = append(p.waiters, waiter{})
	copy(p.waiters[at+1:], p.waiters[at:])
	p.waiters[at] = w
}

// stale closes a connection and puts its waiter first among its equals.
func (p *Pool) stale(id ConnID) {
	c := p.inState(id, held, "a stale connection was given")
	if c == nil {
		return
	}
	at := sort.Search(len(p.waiters), func(i int) bool { return p.waiters[i].priority >= c.given.priority })
	p.insert(at, c.given)
	p.close(c)
}

func (p *Pool) withdraw(id WaiterID) {
	for i, w := range p.waiters {
		if w.id == id {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			return
		}
	}
}

// inState returns the connection if it is in the state that the event needs.
// An event for a connection that is already closing is late, not wrong.
func (p *Pool) inState(id ConnID, want state, text string) *connection {
	c := p.connections[id]
	if c != nil && c.state == want {
		return c
	}
	if c != nil && c.state == closing {
		return nil
	}
	p.act(Violated{Conn: id, Text: text})
	if c != nil {
		p.close(c)
	}
	return nil
}

func (p *Pool) returned(now dfclock.Millis, e Returned) {
	c := p.inState(e.Conn, held, "a returned connection is held")
	if c == nil {
		return
	}
	if !e.Idle {
		p.close(c)
		return
	}
	p.rest(now, c)
}

// rest makes a connection idle and trusted.
func (p *Pool) rest(now dfclock.Millis, c *connection) {
	p.enter(c, idle)
	c.idleAt, c.suspect = now, false
	p.idles = append(p.idles, c)
}

func (p *Pool) opened(now dfclock.Millis, id ConnID) {
	c := p.inState(id, opening, "an opened connection was being opened")
	if c == nil {
		return
	}
	p.failures = 0
	p.rest(now, c)
}

func (p *Pool) openFailed(now dfclock.Millis, id ConnID) {
	c := p.inState(id, opening, "a failed opening was under way")
	if c == nil {
		return
	}
	p.remove(c)
	wait := min(p.config.ReopenCap, p.config.ReopenFirst<<min(p.failures, maxDoublings))
	if p.down {
		wait = p.config.ReopenCap
	}
	p.failures++
	p.openAfter = max(p.openAfter, now.Add(p.jittered(wait)))
}

// jittered makes half of a wait random, so that hosts do not return all at once.
func (p *Pool) jittered(wait dfclock.Millis) dfclock.Millis {
	return wait/2 + dfclock.Millis(p.source.Int64N(int64(wait/2)+1))
}

// reachable takes what others see of the upstream. Connections of an upstream
// that did not answer are probed, and one that returns is used at once.
func (p *Pool) reachable(now dfclock.Millis, up bool) {
	if p.down == !up {
		return
	}
	p.down = !up
	if up {
		p.failures = 0
		p.openAfter = p.suspendedUntil
		return
	}
	p.openAfter = max(p.openAfter, now.Add(p.jittered(p.config.ReopenCap)))
	for _, c := range p.idles {
		c.suspect = true
	}
}

func (p *Pool) closed(id ConnID) {
	c := p.connections[id]
	if c == nil {
		return
	}
	p.unrest(c)
	p.remove(c)
}

// silent closes a connection and suspects its age.
func (p *Pool) silent(id ConnID) {
	c := p.connections[id]
	if c == nil {
		return
	}
	p.suspectAge(c)
	if c.state != closing {
		p.close(c)
	}
}

// doubted suspects the age of a connection that may be silent.
func (p *Pool) doubted(id ConnID) {
	if c := p.connections[id]; c != nil {
		p.suspectAge(c)
	}
}

// suspectAge suspects every idle connection that is as old or older, because
// they share the fate of the path that went silent.
func (p *Pool) suspectAge(c *connection) {
	for _, other := range p.idles {
		if other.openedAt <= c.openedAt {
			other.suspect = true
		}
	}
}

func (p *Pool) probeAnswered(now dfclock.Millis, e ProbeAnswered) {
	c := p.inState(e.Conn, probing, "a probed connection was being probed")
	if c == nil {
		return
	}
	if !e.OK {
		p.close(c)
		return
	}
	p.rest(now, c)
}

func (p *Pool) close(c *connection) {
	p.unrest(c)
	p.enter(c, closing)
	p.act(Close{Conn: c.id})
}

// unrest removes the connection from the idle ones.
func (p *Pool) unrest(c *connection) {
	for i, other := range p.idles {
		if other == c {
			p.idles = append(p.idles[:i], p.idles[i+1:]...)
			return
		}
	}
}

// settle serves waiters and adjusts the number of connections.
func (p *Pool) settle(now dfclock.Millis) {
	p.expire(now)
	p.closeBeyondLimit()
	p.serve()
	p.probe()
	p.open(now)
	p.refuseHopeless(now)
}

// expire refuses waiters whose deadline passed.
func (p *Pool) expire(now dfclock.Millis) {
	kept := p.waiters[:0]
	for _, w := range p.waiters {
		if now.Reached(w.deadline) {
			p.act(Refuse{Waiter: w.id, Code: dfresult.NoConnection})
			continue
		}
		kept = append(kept, w)
	}
	p.waiters = kept
}

func (p *Pool) closeBeyondLimit() {
	excess := len(p.connections) - p.config.Limit - p.count(closing)
	for excess > 0 && len(p.idles) > 0 {
		p.close(p.idles[0])
		excess--
	}
}

// serve gives trusted idle connections, the last used ones first.
func (p *Pool) serve() {
	for i := len(p.idles) - 1; i >= 0 && len(p.waiters) > 0; i-- {
		c := p.idles[i]
		if c.suspect {
			continue
		}
		p.unrest(c)
		p.enter(c, held)
		c.given = p.waiters[0]
		p.act(Give{Waiter: p.waiters[0].id, Conn: c.id})
		p.waiters = p.waiters[:copy(p.waiters, p.waiters[1:])]
	}
}

// probe tests suspect connections for the waiters that are left.
func (p *Pool) probe() {
	wanted := len(p.waiters) - p.count(probing)
	for i := len(p.idles) - 1; i >= 0 && wanted > 0; i-- {
		c := p.idles[i]
		p.unrest(c)
		p.enter(c, probing)
		p.act(Probe{Conn: c.id})
		wanted--
	}
}

// open opens connections for waiters, and up to the warm number. Probes do not
// count as help for waiters, because silent connections fail them late.
func (p *Pool) open(now dfclock.Millis) {
	if !now.Reached(p.openAfter) {
		return
	}
	wanted := len(p.waiters) - p.count(opening)
	if p.config.OpenWait > 0 && wanted > 0 {
		wanted = 0
		if now.Reached(p.openDue()) {
			wanted = 1
		}
	}
	if p.failures > 0 || p.down {
		// One attempt at a time finds out whether the upstream is back.
		wanted = min(wanted, 1-p.count(opening))
	}
	wanted = max(wanted, min(p.config.Warm-len(p.connections), 1-p.count(opening)))
	for ; wanted > 0 && len(p.connections) < p.config.Limit; wanted-- {
		p.lastID++
		c := &connection{id: p.lastID, openedAt: now}
		p.connections[c.id] = c
		p.enter(c, opening)
		p.act(Open{Conn: c.id})
	}
}

// openDue is when the waiters may have a further connection opened, or Never.
func (p *Pool) openDue() dfclock.Millis {
	if p.config.OpenWait == 0 || len(p.connections) == 0 {
		return 0
	}
	if p.count(opening) > 0 {
		return dfclock.Never
	}
	due := dfclock.Never
	for _, w := range p.waiters {
		due = min(due, w.arrivedAt.Add(p.config.OpenWait))
	}
	return due
}

func (p *Pool) count(want state) int {
	return p.counts[want]
}

// enter moves a connection to a state. A new connection has none.
func (p *Pool) enter(c *connection, next state) {
	if c.state != 0 {
		p.counts[c.state]--
	}
	c.state = next
	p.counts[next]++
}

// remove forgets a connection.
func (p *Pool) remove(c *connection) {
	p.counts[c.state]--
	delete(p.connections, c.id)
}

// refuseHopeless refuses waiters early that no connection can reach in time.
func (p *Pool) refuseHopeless(now dfclock.Millis) {
	if p.down {
		p.refuseAll(now)
		return
	}
	if len(p.waiters) == 0 || now.Reached(p.openAfter) && p.config.Limit > 0 {
		return
	}
	if p.count(closing) < len(p.connections) {
		return
	}
	kept := p.waiters[:0]
	for _, w := range p.waiters {
		if p.config.Limit > 0 && p.openAfter.Before(w.deadline) {
			kept = append(kept, w)
			continue
		}
		p.act(Refuse{Waiter: w.id, Code: dfresult.NoConnection, RetryAfter: p.retryAfter(now)})
	}
	p.waiters = kept
}

// refuseAll sends the waiters elsewhere.
func (p *Pool) refuseAll(now dfclock.Millis) {
	for _, w := range p.waiters {
		p.act(Refuse{Waiter: w.id, Code: dfresult.UpstreamRefused, RetryAfter: p.retryAfter(now)})
	}
	p.waiters = p.waiters[:0]
}

func (p *Pool) retryAfter(now dfclock.Millis) dfclock.Millis {
	return max(0, p.openAfter.Since(now))
}

// idleClose is how long the oldest idle connection may rest.
func (p *Pool) idleClose() dfclock.Millis {
	if len(p.connections) == 1 {
		return p.config.LastIdleClose
	}
	return p.config.IdleClose
}

// closeUnused closes one connection at a time that was idle for long.
func (p *Pool) closeUnused(now dfclock.Millis) {
	for len(p.idles) > 0 && len(p.connections) > p.config.Warm {
		oldest := p.idles[0]
		if !now.Reached(oldest.idleAt.Add(p.idleClose())) {
			return
		}
		p.close(oldest)
		if p.config.Warm > 0 {
			return
		}
	}
}
