// Package dfpool decides how the connections to one upstream are shared: when to
// open, grant, probe and close them within a limit. A connection is granted only to
// waiters of the organisation in whose name it was opened. It does no input or output.
package dfpool

import (
	"math/rand/v2"
	"slices"
	"sort"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfresult"
)

// Config has the settings of a pool. Zero durations and counts mean the defaults,
// except for Limit, MinOpen and OpenDelay.
type Config struct {
	// Limit bounds the connections in all states, including those being opened or
	// closed.
	Limit int
	// MinOpen is the number of connections that are kept open without demand; at most
	// Limit.
	MinOpen     int
	MaxWaiters  int
	IdleTimeout dfclock.Millis
	// LastIdleTimeout is the idle timeout of the last connection; zero means
	// IdleTimeout.
	LastIdleTimeout dfclock.Millis
	InitialBackoff  dfclock.Millis
	MaxBackoff      dfclock.Millis
	// OpenDelay is how long a waiter waits for an existing connection of its
	// organisation before another one is opened, one at a time for each organisation.
	// Zero opens one for each waiter at once. A delay helps under loads at which
	// opening connections takes up the upstream's time.
	OpenDelay dfclock.Millis
}

// withDefaults replaces settings that are not set by their defaults.
func (c Config) withDefaults() Config {
	if c.MaxWaiters == 0 {
		c.MaxWaiters = DefaultMaxWaiters
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = DefaultIdleTimeout
	}
	if c.LastIdleTimeout == 0 {
		c.LastIdleTimeout = c.IdleTimeout
	}
	if c.InitialBackoff == 0 {
		c.InitialBackoff = DefaultInitialBackoff
	}
	if c.MaxBackoff == 0 {
		c.MaxBackoff = DefaultMaxBackoff
	}
	return c
}

// state is the state of a connection. The zero value is the state before opening.
type state int

const (
	opening state = iota + 1
	idle
	inUse
	probing
	closing
)

// connection is a connection that counts against the limit.
type connection struct {
	id    ConnID
	state state
	// group counts the connection. It is that of its organisation.
	group *group
	// openedAt is when opening began. It stands for the age of the connection's path
	// through the network, see suspectOlder.
	openedAt  dfclock.Millis
	idleSince dfclock.Millis
	// suspect connections are probed before they are granted.
	suspect bool
	// holder is the waiter to which the connection was last granted.
	holder waiter
}

// waiter is a request that has no connection yet.
type waiter struct {
	id         WaiterID
	group      *group
	priority   int
	deadline   dfclock.Millis
	enqueuedAt dfclock.Millis
}

// Stats counts the connections by state.
type Stats struct {
	Limit, Opening, Idle, Suspect, InUse, Probing, Closing, Waiting int
}

// Total returns the number of connections that count against the limit.
func (s Stats) Total() int {
	return s.Opening + s.Idle + s.InUse + s.Probing + s.Closing
}

// Pool is the state of the connections to one upstream. It is not safe for
// concurrent use.
type Pool struct {
	config Config
	random *rand.Rand
	lastID ConnID
	// connections has at most Limit entries, unless the limit was lowered.
	connections map[ConnID]*connection
	// counts has the number of connections by state.
	counts [closing + 1]int
	// groups has the organisations with connections or waiters, by name.
	groups map[string]*group
	// idleConns has the idle connections, the most recently used one last.
	idleConns []*connection
	// waiters is sorted by priority, then arrival.
	waiters []waiter
	// failedOpens counts the failures to open a connection since the last success.
	failedOpens int
	// noOpenBefore is the time before which no connection is opened.
	noOpenBefore dfclock.Millis
	// suspendedUntil is the end of the last suspension. It bounds noOpenBefore from
	// below even if the upstream becomes reachable again.
	suspendedUntil dfclock.Millis
	// noTakeBefore is the time before which no connection is closed for a waiter while
	// later ones could use it.
	noTakeBefore dfclock.Millis
	// unreachable is true while the upstream does not answer. All waiters are then
	// refused.
	unreachable bool
	actions     []Action
}

// New returns a pool without connections. random is the source of the jitter.
func New(config Config, random *rand.Rand) *Pool {
	return &Pool{
		config:      config.withDefaults(),
		random:      random,
		connections: map[ConnID]*connection{},
		groups:      map[string]*group{},
	}
}

// Handle processes an event and returns the actions to carry out, in order. The
// slice is valid until the next call.
func (p *Pool) Handle(now dfclock.Millis, event Event) []Action {
	p.actions = p.actions[:0]
	switch e := event.(type) {
	case Acquire:
		p.addWaiter(now, e)
	case Cancelled:
		p.removeWaiter(e.Waiter)
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
	case ReplyOverdue:
		p.replyOverdue(e.Conn)
	case Reachable:
		p.setReachable(now, e.Up)
	case ProbeFinished:
		p.probeFinished(now, e)
	case LimitChanged:
		p.config.Limit = max(0, e.Limit)
	case IdleTimeoutChanged:
		p.config.IdleTimeout, p.config.LastIdleTimeout = e.IdleTimeout, e.LastIdleTimeout
	case Suspended:
		p.suspendedUntil = max(p.suspendedUntil, now.Add(e.For))
		p.noOpenBefore = max(p.noOpenBefore, p.suspendedUntil)
	case Tick:
		p.closeExpiredIdle(now)
	}
	p.reconcile(now)
	return p.actions
}

// Stats returns the numbers of connections and waiters.
func (p *Pool) Stats() Stats {
	stats := Stats{Limit: p.config.Limit, Waiting: len(p.waiters)}
	for _, c := range p.connections {
		switch c.state {
		case opening:
			stats.Opening++
		case idle:
			stats.Idle++
		case inUse:
			stats.InUse++
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

// NextTick returns the next time at which a Tick has an effect, or Never.
func (p *Pool) NextTick() dfclock.Millis {
	next := dfclock.Never
	for _, w := range p.waiters {
		next = min(next, w.deadline)
	}
	if len(p.connections) < p.config.Limit && (len(p.waiters) > 0 || len(p.connections) < p.config.MinOpen) ||
		p.canEvictForWaiters() {
		next = min(next, max(p.noOpenBefore, p.openDelayEnd()))
	}
	if len(p.connections) > p.config.MinOpen {
		if len(p.idleConns) > 0 {
			// Connections are appended when they become idle, so the first one has been
			// idle the longest.
			next = min(next, p.idleConns[0].idleSince.Add(p.idleTimeout()))
		}
	}
	return next
}

func (p *Pool) emit(action Action) {
	p.actions = append(p.actions, action)
}

func (p *Pool) addWaiter(now dfclock.Millis, e Acquire) {
	if len(p.waiters) >= p.config.MaxWaiters {
		p.emit(Refuse{Waiter: e.Waiter, Code: dfresult.QueueFull})
		return
	}
	at := sort.Search(len(p.waiters), func(i int) bool { return p.waiters[i].priority > e.Priority })
	p.insertWaiter(at, waiter{
		id: e.Waiter, group: p.groupOf(e.Organisation), priority: e.Priority, deadline: e.Deadline, enqueuedAt: now,
	})
}

func (p *Pool) insertWaiter(at int, w waiter) {
	w.group.waiting++
	p.waiters = append(p.waiters, waiter{})
	copy(p.waiters[at+1:], p.waiters[at:])
	p.waiters[at] = w
}

// stale closes a connection and puts its waiter first among those of its priority.
func (p *Pool) stale(id ConnID) {
	c := p.requireState(id, inUse, "only a connection in use can be stale")
	if c == nil {
		return
	}
	at := sort.Search(len(p.waiters), func(i int) bool { return p.waiters[i].priority >= c.holder.priority })
	p.insertWaiter(at, c.holder)
	p.close(c)
}

func (p *Pool) removeWaiter(id WaiterID) {
	for i, w := range p.waiters {
		if w.id == id {
			p.takeWaiter(i)
			return
		}
	}
}

// takeWaiter removes and returns the waiter at an index.
func (p *Pool) takeWaiter(at int) waiter {
	w := p.waiters[at]
	p.waiters = append(p.waiters[:at], p.waiters[at+1:]...)
	w.group.waiting--
	return w
}

// requireState returns the connection if it is in the state that the event requires.
// An event for a connection that is already closing is late and violates no
// invariant.
func (p *Pool) requireState(id ConnID, want state, text string) *connection {
	c := p.connections[id]
	if c != nil && c.state == want {
		return c
	}
	if c != nil && c.state == closing {
		return nil
	}
	p.emit(InvariantViolated{Conn: id, Text: text})
	if c != nil {
		p.close(c)
	}
	return nil
}

func (p *Pool) returned(now dfclock.Millis, e Returned) {
	c := p.requireState(e.Conn, inUse, "only a connection in use can be returned")
	if c == nil {
		return
	}
	if !e.Reusable {
		p.close(c)
		return
	}
	p.makeIdle(now, c)
}

// makeIdle makes a connection idle and clears its suspicion.
func (p *Pool) makeIdle(now dfclock.Millis, c *connection) {
	p.setState(c, idle)
	c.idleSince, c.suspect = now, false
	p.idleConns = append(p.idleConns, c)
}

func (p *Pool) opened(now dfclock.Millis, id ConnID) {
	c := p.requireState(id, opening, "only an opening connection can become open")
	if c == nil {
		return
	}
	p.failedOpens = 0
	p.makeIdle(now, c)
}

func (p *Pool) openFailed(now dfclock.Millis, id ConnID) {
	c := p.requireState(id, opening, "only an opening connection can fail to open")
	if c == nil {
		return
	}
	p.remove(c)
	wait := min(p.config.MaxBackoff, p.config.InitialBackoff<<min(p.failedOpens, maxDoublings))
	if p.unreachable {
		wait = p.config.MaxBackoff
	}
	p.failedOpens++
	p.noOpenBefore = max(p.noOpenBefore, now.Add(p.withJitter(wait)))
}

// withJitter makes half of a wait random, so that hosts do not reconnect at the same
// time.
func (p *Pool) withJitter(wait dfclock.Millis) dfclock.Millis {
	return wait/2 + dfclock.Millis(p.random.Int64N(int64(wait/2)+1))
}

// setReachable records whether the upstream answers. If it does not, idle connections
// become suspect. If it does again, the backoff ends at once.
func (p *Pool) setReachable(now dfclock.Millis, up bool) {
	if p.unreachable == !up {
		return
	}
	p.unreachable = !up
	if up {
		p.failedOpens = 0
		p.noOpenBefore = p.suspendedUntil
		return
	}
	p.noOpenBefore = max(p.noOpenBefore, now.Add(p.withJitter(p.config.MaxBackoff)))
	for _, c := range p.idleConns {
		c.suspect = true
	}
}

func (p *Pool) closed(id ConnID) {
	c := p.connections[id]
	if c == nil {
		return
	}
	p.removeIdle(c)
	p.remove(c)
}

// silent closes a connection and marks older idle ones as suspect.
func (p *Pool) silent(id ConnID) {
	c := p.connections[id]
	if c == nil {
		return
	}
	p.suspectOlder(c)
	if c.state != closing {
		p.close(c)
	}
}

// replyOverdue marks idle connections older than one that may be silent as suspect.
func (p *Pool) replyOverdue(id ConnID) {
	if c := p.connections[id]; c != nil {
		p.suspectOlder(c)
	}
}

// suspectOlder marks every idle connection of the same age or older as suspect,
// because it may use the network path that no longer answers.
func (p *Pool) suspectOlder(c *connection) {
	for _, other := range p.idleConns {
		if other.openedAt <= c.openedAt {
			other.suspect = true
		}
	}
}

func (p *Pool) probeFinished(now dfclock.Millis, e ProbeFinished) {
	c := p.requireState(e.Conn, probing, "only a probing connection can finish a probe")
	if c == nil {
		return
	}
	if !e.OK {
		p.close(c)
		return
	}
	p.makeIdle(now, c)
}

func (p *Pool) close(c *connection) {
	p.removeIdle(c)
	p.setState(c, closing)
	p.emit(Close{Conn: c.id})
}

// removeIdle removes a connection from idleConns.
func (p *Pool) removeIdle(c *connection) {
	for i, other := range p.idleConns {
		if other == c {
			p.idleConns = append(p.idleConns[:i], p.idleConns[i+1:]...)
			return
		}
	}
}

// reconcile serves waiters and adjusts the number of connections.
func (p *Pool) reconcile(now dfclock.Millis) {
	p.expireWaiters(now)
	p.closeBeyondLimit()
	p.closeForOverdue(now)
	p.grantIdle()
	p.probeSuspects()
	p.openConnections(now)
	p.refuseUnservable(now)
	p.removeEmptyGroups()
}

// expireWaiters refuses waiters whose deadline has passed.
func (p *Pool) expireWaiters(now dfclock.Millis) {
	kept := p.waiters[:0]
	for _, w := range p.waiters {
		if now.Reached(w.deadline) {
			p.emit(Refuse{Waiter: w.id, Code: dfresult.NoConnection})
			w.group.waiting--
			continue
		}
		kept = append(kept, w)
	}
	p.waiters = kept
}

func (p *Pool) closeBeyondLimit() {
	excess := len(p.connections) - p.config.Limit - p.count(closing)
	for excess > 0 && len(p.idleConns) > 0 {
		p.close(p.idleConns[0])
		excess--
	}
}

// grantIdle grants idle connections that are not suspect, the most recently used
// ones first.
func (p *Pool) grantIdle() {
	for i := len(p.idleConns) - 1; i >= 0 && len(p.waiters) > 0; i-- {
		c := p.idleConns[i]
		if c.suspect || c.group.waiting == 0 {
			continue
		}
		p.removeIdle(c)
		p.setState(c, inUse)
		c.holder = p.takeWaiter(p.firstWaiter(c.group))
		p.emit(Grant{Waiter: c.holder.id, Conn: c.id, Organisation: c.group.organisation})
	}
}

// firstWaiter returns the index of the first waiter of an organisation that has one.
func (p *Pool) firstWaiter(of *group) int {
	return slices.IndexFunc(p.waiters, func(w waiter) bool { return w.group == of })
}

// probeSuspects probes suspect connections for the remaining waiters.
func (p *Pool) probeSuspects() {
	for i := len(p.idleConns) - 1; i >= 0 && len(p.waiters) > 0; i-- {
		c := p.idleConns[i]
		if c.group.waiting <= c.group.counts[probing] {
			continue
		}
		p.removeIdle(c)
		p.setState(c, probing)
		p.emit(Probe{Conn: c.id})
	}
}

// openConnections opens connections for waiters, and up to MinOpen. Running probes do
// not reduce the number, because the probe of a silent connection fails only after
// its timeout.
func (p *Pool) openConnections(now dfclock.Millis) {
	if !now.Reached(p.noOpenBefore) {
		return
	}
	minOpen := min(p.config.MinOpen-len(p.connections), 1-p.count(opening))
	minOpen -= p.openForWaiters(now)
	for ; minOpen > 0 && len(p.connections) < p.config.Limit; minOpen-- {
		p.open(now, p.groupOf(""))
	}
}

// openForWaiters opens connections for waiters and returns how many are wanted. At the
// limit, idle connections of other organisations are closed first; their places are
// free once that is reported.
func (p *Pool) openForWaiters(now dfclock.Millis) (wanted int) {
	if len(p.waiters) == 0 {
		return 0
	}
	p.countWanted(now)
	attempts, capacity := p.openAttempts(), p.capacity()
	for i := 0; i < len(p.waiters) && attempts > 0; i++ {
		g := p.waiters[i].group
		if g.wanted <= 0 {
			continue
		}
		g.wanted--
		wanted++
		if capacity <= 0 && (capacity < 0 || !p.evictIdle(now, g)) {
			continue
		}
		capacity = max(0, capacity-1)
		attempts--
		if len(p.connections) < p.config.Limit {
			p.open(now, g)
		}
	}
	return wanted
}

// countWanted determines how many connections each organisation lacks.
func (p *Pool) countWanted(now dfclock.Millis) {
	for _, g := range p.groups {
		g.wanted = 0
		if due := p.openDelayEndOf(g); due != dfclock.Never && now.Reached(due) {
			g.wanted = g.waiting - g.counts[opening]
			if p.config.OpenDelay > 0 {
				g.wanted = min(g.wanted, 1)
			}
		}
	}
}

// openAttempts returns how many connections may be opened at once. A single attempt at
// a time shows whether an upstream is available again.
func (p *Pool) openAttempts() int {
	if p.failedOpens > 0 || p.unreachable {
		return 1 - p.count(opening)
	}
	return p.config.Limit
}

// capacity returns how many connections can be opened once all closing ones are
// closed. It is negative while the pool is above its limit.
func (p *Pool) capacity() int {
	return p.config.Limit - (len(p.connections) - p.count(closing))
}

func (p *Pool) open(now dfclock.Millis, g *group) {
	p.lastID++
	c := &connection{id: p.lastID, openedAt: now, group: g}
	p.connections[c.id] = c
	p.setState(c, opening)
	p.emit(Open{Conn: c.id, Organisation: g.organisation})
}

// evictIdle closes the least recently used idle connection of another organisation. For
// a further connection, it must have been idle for furtherEvictIdle.
func (p *Pool) evictIdle(now dfclock.Millis, wanting *group) bool {
	for _, c := range p.idleConns {
		if c.group == wanting {
			continue
		}
		if wanting.total() > 0 && !now.Reached(c.idleSince.Add(furtherEvictIdle)) {
			return false
		}
		p.close(c)
		return true
	}
	return false
}

// closeForOverdue closes an idle connection for a waiter that has waited OpenDelay
// without any connection of its organisation, although waiters of other organisations
// that come later could use it. Otherwise an organisation that always has waiters would
// keep all connections. It does so at most once per OpenDelay: under overload with more
// organisations than connections, most statements would open one.
func (p *Pool) closeForOverdue(now dfclock.Millis) {
	if len(p.groups) < 2 || len(p.idleConns) == 0 || p.capacity() != 0 || p.openAttempts() <= 0 ||
		!now.Reached(max(p.noOpenBefore, p.noTakeBefore)) {
		return
	}
	for at, w := range p.waiters {
		if w.group.total() > 0 || !now.Reached(w.enqueuedAt.Add(p.config.OpenDelay)) {
			continue
		}
		if p.closeBefore(at) {
			p.noTakeBefore = now.Add(p.config.OpenDelay)
		}
		return
	}
}

// closeBefore closes the least recently used idle connection that no waiter before an
// index can use.
func (p *Pool) closeBefore(at int) bool {
	for _, c := range p.idleConns {
		if c.group.waiting == 0 || p.firstWaiter(c.group) > at {
			p.close(c)
			return true
		}
	}
	return false
}

// openDelayEnd returns when another connection may be opened for the waiters, or
// Never.
func (p *Pool) openDelayEnd() dfclock.Millis {
	if p.config.OpenDelay == 0 || len(p.connections) == 0 {
		return 0
	}
	due := dfclock.Never
	for _, g := range p.groups {
		due = min(due, p.openDelayEndOf(g))
	}
	return due
}

// openDelayEndOf is openDelayEnd for one organisation.
func (p *Pool) openDelayEndOf(g *group) dfclock.Millis {
	if g.waiting == 0 {
		return dfclock.Never
	}
	if p.config.OpenDelay == 0 || g.total() == 0 {
		return 0
	}
	if g.counts[opening] > 0 {
		return dfclock.Never
	}
	due := dfclock.Never
	for _, w := range p.waiters {
		if w.group == g {
			due = min(due, w.enqueuedAt.Add(p.config.OpenDelay))
		}
	}
	return due
}

// canEvictForWaiters reports whether an idle connection may be closed for a waiter of
// another organisation.
func (p *Pool) canEvictForWaiters() bool {
	for _, c := range p.idleConns {
		if len(p.waiters) > c.group.waiting {
			return true
		}
	}
	return false
}

func (p *Pool) count(want state) int {
	return p.counts[want]
}

// setState changes the state of a connection and the counts by state.
func (p *Pool) setState(c *connection, next state) {
	if c.state != 0 {
		p.counts[c.state]--
		c.group.counts[c.state]--
	}
	c.state = next
	p.counts[next]++
	c.group.counts[next]++
}

// remove drops a connection from the pool.
func (p *Pool) remove(c *connection) {
	p.counts[c.state]--
	c.group.counts[c.state]--
	delete(p.connections, c.id)
}

// refuseUnservable refuses waiters that cannot get a connection before their
// deadline.
func (p *Pool) refuseUnservable(now dfclock.Millis) {
	if p.unreachable {
		p.refuseAll(now)
		return
	}
	if len(p.waiters) == 0 || now.Reached(p.noOpenBefore) && p.config.Limit > 0 {
		return
	}
	kept := p.waiters[:0]
	for _, w := range p.waiters {
		if w.group.counts[closing] < w.group.total() || p.config.Limit > 0 && p.noOpenBefore.Before(w.deadline) {
			kept = append(kept, w)
			continue
		}
		p.emit(Refuse{Waiter: w.id, Code: dfresult.NoConnection, RetryAfter: p.retryAfter(now)})
		w.group.waiting--
	}
	p.waiters = kept
}

// refuseAll refuses all waiters, so that their requests can go to another upstream.
func (p *Pool) refuseAll(now dfclock.Millis) {
	for _, w := range p.waiters {
		p.emit(Refuse{Waiter: w.id, Code: dfresult.UpstreamRefused, RetryAfter: p.retryAfter(now)})
		w.group.waiting--
	}
	p.waiters = p.waiters[:0]
}

func (p *Pool) retryAfter(now dfclock.Millis) dfclock.Millis {
	return max(0, p.noOpenBefore.Since(now))
}

// idleTimeout returns the timeout of the oldest idle connection.
func (p *Pool) idleTimeout() dfclock.Millis {
	if len(p.connections) == 1 {
		return p.config.LastIdleTimeout
	}
	return p.config.IdleTimeout
}

// closeExpiredIdle closes connections whose idle timeout has passed, one per Tick if
// MinOpen is set.
func (p *Pool) closeExpiredIdle(now dfclock.Millis) {
	for len(p.idleConns) > 0 && len(p.connections) > p.config.MinOpen {
		oldest := p.idleConns[0]
		if !now.Reached(oldest.idleSince.Add(p.idleTimeout())) {
			return
		}
		p.close(oldest)
		if p.config.MinOpen > 0 {
			return
		}
	}
}
