// Package dfpace decides which upstreams of a service are set aside because they
// answer worse than the others, and how many statements this host sends to an
// upstream that has just started, recovered, returned or been promoted. It uses only
// the answers that this host saw.
package dfpace

import (
	"math"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
)

// state is the state of an upstream: open, aside, onTrial or paced.
type state interface{ state() }

// open means that nothing restricts the upstream.
type open struct{}

// aside means that the upstream gets no statements that others can run until a trial.
type aside struct {
	until dfclock.Millis
	// admitted is Pace.admitted at the begin.
	admitted int
}

// onTrial means that one statement tries the upstream.
type onTrial struct{ startedAt dfclock.Millis }

// paced means that a limit is in force.
type paced struct {
	// limit bounds the concurrent statements of this host. Below 1 it is their mean
	// over time: the interval between statements is the latency divided by it.
	limit float64
	// start is the first limit, which was in force from startedAt on.
	start     float64
	startedAt dfclock.Millis
	// answeredAt is when the last good answer arrived.
	answeredAt dfclock.Millis
	// awaitsFirst is true from a loss until the next statement. A host with many
	// answers then grows the limit from that statement on; for one with rare answers
	// the time since the loss counts, as its time between answers does.
	awaitsFirst bool
	// nextAt is the instant before which no statement starts, where limit is below 1.
	nextAt dfclock.Millis
	// delayedAt is when the limit last delayed a statement.
	delayedAt   dfclock.Millis
	decreasedAt dfclock.Millis
	// base and nextBase are the lowest latencies of the last and the current second;
	// zero if there was none.
	base, nextBase dfclock.Millis
	baseSecond     dfclock.Millis
	// latency is the moving average of the latency in ms.
	latency float64
	// queuedAt is when a carrier last reported a queue, or zero.
	queuedAt dfclock.Millis
	// awaitsLoad is true from a good answer until the report of its carrier.
	awaitsLoad bool
	// probation is the number of good answers that are left of the probation.
	probation int
}

func (open) state()    {}
func (aside) state()   {}
func (onTrial) state() {}
func (*paced) state()  {}

// upstream is the state of one upstream.
type upstream struct {
	id     dffleet.ID
	slots  int
	state  state
	window window
	// reported has the answers to statements of all hosts, where carriers report them.
	reported window
	// inFlight has the start times of statements that were admitted while a trial or
	// a limit was in force, in order.
	inFlight []dfclock.Millis
	// span is the last time aside, or zero. returnedAt is when that ended.
	span       dfclock.Millis
	returnedAt dfclock.Millis
	// losses counts the losses since the last good answer, from losingSince to lostAt.
	losses      int
	losingSince dfclock.Millis
	lostAt      dfclock.Millis
	everLost    bool
	// reportedLossAt is when a carrier last reported a loss, if lossReported.
	reportedLossAt dfclock.Millis
	lossReported   bool
	// countsFrom is the instant before which reported answers do not count, because
	// the upstream may have been another one or its window was emptied.
	countsFrom dfclock.Millis
	// comparedAt is when the latency was last compared.
	comparedAt dfclock.Millis
}

// Pace holds the upstreams of one service. It is not safe for concurrent use.
type Pace struct {
	growth    Growth
	upstreams map[dffleet.ID]*upstream
	// leader is the upstream whose latency is not compared, because it runs other
	// statements than the replicas.
	leader dffleet.ID
	hosts  int
	// now is when a carrier last reported.
	now dfclock.Millis
	// admitted counts the statements that were admitted.
	admitted int
	// spread returns a number in [0, 1) that differs between hosts, so that hosts do
	// not send their first statements at the same moment.
	spread func() float64
	events []Event
	// disabled is true if upstreams are neither compared nor paced.
	disabled bool
}

// New returns a decision without upstreams.
func New(growth Growth, spread func() float64) *Pace {
	return &Pace{growth: growth, upstreams: map[dffleet.ID]*upstream{}, hosts: 1, spread: spread}
}

// NewDisabled returns a decision that sets no upstream aside and paces none.
func NewDisabled() *Pace {
	p := New(Gradient{}, func() float64 { return 0 })
	p.disabled = true
	return p
}

// Put adds an upstream or updates its number of slots.
func (p *Pace) Put(id dffleet.ID, slots int) {
	if p.disabled {
		return
	}
	u := p.upstreams[id]
	if u == nil {
		u = &upstream{id: id, state: open{}, window: newWindow(), reported: newReportedWindow(), countsFrom: p.now}
		p.upstreams[id] = u
	}
	u.slots = max(1, slots)
}

// Remove removes an upstream.
func (p *Pace) Remove(id dffleet.ID) {
	delete(p.upstreams, id)
}

// SetHosts sets the number of hosts that use the upstreams.
func (p *Pace) SetHosts(hosts int) {
	p.hosts = max(1, hosts)
}

// SetLeader sets the leader.
func (p *Pace) SetLeader(id dffleet.ID) {
	p.leader = id
}

// Events returns the events since the last call, at most maxEvents.
func (p *Pace) Events() []Event {
	events := p.events
	p.events = nil
	return events
}

func (p *Pace) emit(event Event) {
	if len(p.events) < maxEvents {
		p.events = append(p.events, event)
	}
}

// Start puts a limit in force for an upstream that has just started, recovered or
// been promoted.
func (p *Pace) Start(now dfclock.Millis, id dffleet.ID, cause Cause) {
	if u := p.upstreams[id]; u != nil {
		p.startPace(now, u, cause)
	}
}

func (p *Pace) startPace(now dfclock.Millis, u *upstream, cause Cause) {
	if _, unlimited := p.growth.(Unlimited); unlimited {
		u.state = open{}
		return
	}
	next := &paced{startedAt: now, answeredAt: now, nextAt: now, delayedAt: now, decreasedAt: now, latency: float64(coldLatency)}
	share := coldStartShare
	if cause == Promoted {
		share, next.latency = warmStartShare, float64(warmLatency)
	}
	limit := max(next.least(), float64(u.slots)*min(maxHostStartShare, share/float64(p.hosts)))
	next.limit, next.start = limit, limit
	if limit < 1 {
		next.nextAt = now.Add(dfclock.Millis(p.spread() * float64(next.interval())))
	}
	if cause == TrialSucceeded {
		next.probation = probationAnswers
	}
	u.state = next
	u.inFlight = nil
	u.window = newWindow()
	if cause != TrialSucceeded {
		// What carriers saw since the upstream was set aside counts.
		u.countsFrom = now
	}
	u.reported.buckets = [bucketCount]bucket{}
	p.emit(Paced{u.id, limit, cause})
}

// least is the limit at which the interval is maxInterval.
func (s *paced) least() float64 {
	return s.latency / float64(maxInterval)
}

// interval is the interval between two statements where the limit is below 1.
func (s *paced) interval() dfclock.Millis {
	return min(maxInterval, dfclock.Millis(math.Ceil(s.latency/s.limit)))
}

// IsAside reports whether an upstream is set aside and not due for a trial.
func (p *Pace) IsAside(now dfclock.Millis, id dffleet.ID) bool {
	u := p.upstreams[id]
	if u == nil {
		return false
	}
	switch s := u.state.(type) {
	case aside:
		return !p.isDue(now, s)
	case onTrial:
		return now < s.startedAt.Add(lostAfter)
	}
	return false
}

// isDue reports whether an upstream is due for a trial: its time aside is over, and
// the trial is a small part of this host's statements, or late.
func (p *Pace) isDue(now dfclock.Millis, s aside) bool {
	return now >= s.until && (p.admitted-s.admitted >= statementsPerTrial || now >= s.until.Add(maxAside))
}

// IsTrial reports whether the next statement on the upstream would be a trial.
func (p *Pace) IsTrial(now dfclock.Millis, id dffleet.ID) bool {
	u := p.upstreams[id]
	if u == nil {
		return false
	}
	switch u.state.(type) {
	case aside, onTrial:
		return !p.IsAside(now, id)
	}
	return false
}

// AvailableIn returns how long the limit delays the next statement, or zero. It is a
// lower bound where the limit counts statements that have not ended.
func (p *Pace) AvailableIn(now dfclock.Millis, id dffleet.ID) dfclock.Millis {
	u := p.upstreams[id]
	if u == nil {
		return 0
	}
	s, isPaced := u.state.(*paced)
	if !isPaced {
		return 0
	}
	if p.liftIfIdle(now, u, s) {
		return 0
	}
	u.dropLost(now)
	wait := dfclock.Millis(0)
	if s.limit < 1 {
		wait = max(0, s.nextAt-now)
	}
	if len(u.inFlight) >= max(1, int(s.limit)) {
		wait = max(wait, dfclock.Millis(math.Ceil(s.latency))-(now-u.inFlight[0]), 1)
	}
	if wait > 0 {
		s.delayedAt = now
	}
	return wait
}

// liftIfIdle ends a limit that delayed no statement for idleSpan.
func (p *Pace) liftIfIdle(now dfclock.Millis, u *upstream, s *paced) bool {
	if now < s.startedAt.Add(minPaceSpan) || now < s.delayedAt.Add(idleSpan) || now < s.decreasedAt.Add(idleSpan) || s.probation > 0 || now < s.queuedAt.Add(queuedIdleSpan) {
		return false
	}
	u.state = open{}
	u.inFlight = nil
	p.emit(LimitLifted{u.id, s.limit})
	return true
}

// dropLost forgets statements whose end was not recorded.
func (u *upstream) dropLost(now dfclock.Millis) {
	for len(u.inFlight) > 0 && now >= u.inFlight[0].Add(lostAfter) {
		u.inFlight = u.inFlight[1:]
	}
}

// Admit counts a statement that is about to be sent.
func (p *Pace) Admit(now dfclock.Millis, id dffleet.ID) {
	u := p.upstreams[id]
	if u == nil {
		return
	}
	p.admitted++
	switch s := u.state.(type) {
	case aside:
		if id != p.leader || p.isDue(now, s) {
			p.startTrial(now, u)
		}
	case onTrial:
		if now >= s.startedAt.Add(lostAfter) {
			p.startTrial(now, u)
		}
	case *paced:
		if s.awaitsFirst && s.limit >= 1 {
			s.answeredAt = now
		}
		s.awaitsFirst = false
		u.inFlight = append(u.inFlight, now)
		if s.limit < 1 {
			s.nextAt = now.Add(s.interval())
		}
	}
}

func (p *Pace) startTrial(now dfclock.Millis, u *upstream) {
	u.state = onTrial{startedAt: now}
	p.emit(TrialStarted{u.id})
}

// Cancel uncounts a statement that was not sent, or whose end says nothing about the
// upstream. The next statement then is the trial.
func (p *Pace) Cancel(id dffleet.ID) {
	u := p.upstreams[id]
	if u == nil {
		return
	}
	if trial, ok := u.state.(onTrial); ok {
		u.state = aside{until: trial.startedAt, admitted: p.admitted - statementsPerTrial}
	}
	u.ended()
}

// ended uncounts the oldest statement in flight.
func (u *upstream) ended() {
	if len(u.inFlight) > 0 {
		u.inFlight = u.inFlight[1:]
	}
}

// RecordGood records a good answer.
func (p *Pace) RecordGood(now dfclock.Millis, id dffleet.ID, latency dfclock.Millis) {
	p.recordGood(now, id, latency, ownAnswer)
}

func (p *Pace) recordGood(now dfclock.Millis, id dffleet.ID, latency dfclock.Millis, source answerSource) {
	u := p.upstreams[id]
	if u == nil {
		return
	}
	u.losses = 0
	u.ended()
	switch s := u.state.(type) {
	case aside:
		// Statements from before, and those that only the leader can run.
	case onTrial:
		p.endTrial(now, u, latency)
	case *paced:
		u.window.addGood(now, latency)
		if source == carriedAnswer {
			// RecordObservation and RecordLoad take the carrier's report into account.
			s.awaitsLoad = true
		} else {
			p.grow(now, s, latency)
			s.probation = max(0, s.probation-1)
		}
		p.compareLatency(now, u)
	case open:
		u.window.addGood(now, latency)
		p.compareLatency(now, u)
	}
}

func (p *Pace) grow(now dfclock.Millis, s *paced, latency dfclock.Millis) {
	if second := now / bucketSpan; second != s.baseSecond {
		s.baseSecond, s.base, s.nextBase = second, s.nextBase, 0
	}
	if s.nextBase == 0 || latency < s.nextBase {
		s.nextBase = latency
	}
	base := s.nextBase
	if s.base > 0 {
		base = min(base, s.base)
	}
	s.latency += (float64(latency) - s.latency) / 4
	s.limit = max(s.least(), p.growth.next(sample{
		limit: s.limit, start: s.start, latency: latency, base: base, elapsed: now - s.answeredAt,
	}))
	s.answeredAt = now
}

func (p *Pace) endTrial(now dfclock.Millis, u *upstream, latency dfclock.Millis) {
	comparable := p.others(u, u.id != p.leader)
	others := sum(now, comparable...)
	if u.id != p.leader && others.good >= minStratumLatencies && isSlow(latency, others.medianLatency()) {
		p.setAside(now, u, comparable)
		return
	}
	u.returnedAt = now
	p.emit(Returned{u.id})
	p.startPace(now, u, TrialSucceeded)
}

// RecordLoss records a lost connection or a statement without an answer in time.
// Statements in one queue are lost together, so losses within lossSpan count once.
func (p *Pace) RecordLoss(now dfclock.Millis, id dffleet.ID) {
	u := p.upstreams[id]
	if u == nil {
		return
	}
	if u.losses == 0 {
		u.losingSince = now
	}
	if u.losses > 0 && now < u.lostAt.Add(lossSpan) && !u.isAside() {
		u.ended()
		return
	}
	u.losses++
	u.lostAt, u.everLost = now, true
	if p.lossIsShared(now, u) {
		// Queues that all outlast the timeout end at one upstream before the other.
		u.ended()
		if s, ok := u.state.(*paced); ok {
			p.halve(now, s)
		}
		return
	}
	p.RecordFailure(now, id)
	if u.losses >= recoveryLosses && now >= u.losingSince.Add(recoveryOutage) {
		p.expectRecovery(now, u)
	}
}

// lossIsShared reports whether another upstream that is not set aside lost statements
// recently as well.
func (p *Pace) lossIsShared(now dfclock.Millis, u *upstream) bool {
	if u.isAside() {
		return false
	}
	for _, other := range p.upstreams {
		if other == u || other.isAside() {
			continue
		}
		if other.everLost && now < other.lostAt.Add(sharedLossSpan) || other.lossReportedSince(now-sharedLossSpan) {
			return true
		}
	}
	return false
}

// expectRecovery puts a limit in force for an upstream that does not answer, so that
// it is in force when the upstream recovers.
func (p *Pace) expectRecovery(now dfclock.Millis, u *upstream) {
	switch s := u.state.(type) {
	case open:
		before := *u
		p.startPace(now, u, Recovered)
		u.window, u.reported, u.countsFrom = before.window, before.reported, before.countsFrom
		if limited, ok := u.state.(*paced); ok {
			limited.awaitsFirst = true
		}
	case *paced:
		s.limit, s.startedAt, s.delayedAt, s.awaitsFirst = s.start, now, now, true
	}
}

// RecordFailure records a failed statement.
func (p *Pace) RecordFailure(now dfclock.Millis, id dffleet.ID) {
	u := p.upstreams[id]
	if u == nil {
		return
	}
	u.ended()
	switch s := u.state.(type) {
	case aside:
	case onTrial:
		p.setAside(now, u, p.others(u, false))
	case *paced:
		u.window.addFailed(now)
		p.halve(now, s)
		if s.probation > 0 {
			p.setAside(now, u, p.others(u, false))
			return
		}
		p.compareFailures(now, u)
	case open:
		u.window.addFailed(now)
		p.compareFailures(now, u)
	}
}

// RecordOverload records that the upstream refused a statement because it has too
// many. It is no failure.
func (p *Pace) RecordOverload(now dfclock.Millis, id dffleet.ID) {
	u := p.upstreams[id]
	if u == nil {
		return
	}
	u.ended()
	switch s := u.state.(type) {
	case onTrial:
		// The upstream answers; others fill it.
		u.state = aside{until: now.Add(minAside / 4), admitted: p.admitted - statementsPerTrial}
	case *paced:
		p.halve(now, s)
	}
}

func (p *Pace) halve(now dfclock.Millis, s *paced) {
	if now < s.decreasedAt.Add(decreaseSpan) {
		return
	}
	s.decreasedAt = now
	s.limit = max(s.least(), s.limit/2)
	if s.limit < 1 {
		s.nextAt = max(s.nextAt, now.Add(s.interval()))
	}
}

// others returns the windows of the other upstreams that are not set aside, without
// the leader if it is not comparable.
func (p *Pace) others(u *upstream, withoutLeader bool) []*window {
	return p.otherWindows(u, withoutLeader, func(other *upstream) *window { return &other.window })
}

func (p *Pace) otherWindows(u *upstream, withoutLeader bool, of func(*upstream) *window) []*window {
	var others []*window
	for _, other := range p.upstreams {
		if other == u || other.isAside() || withoutLeader && other.id == p.leader {
			continue
		}
		others = append(others, of(other))
	}
	return others
}

func sum(now dfclock.Millis, windows ...*window) totals {
	var t totals
	for _, w := range windows {
		w.addTo(now, &t)
	}
	return t
}

func (u *upstream) isAside() bool {
	switch u.state.(type) {
	case aside, onTrial:
		return true
	}
	return false
}

func (p *Pace) compareFailures(now dfclock.Millis, u *upstream) {
	if u.isReported(now) {
		p.compareReported(now, u)
		return
	}
	others := p.others(u, false)
	if failsMore(strata(now, &u.window, others, hasAnswers), deviations) {
		p.setAside(now, u, others)
	}
}

func (p *Pace) compareLatency(now dfclock.Millis, u *upstream) {
	if u.id == p.leader || now < u.comparedAt.Add(compareSpan) {
		return
	}
	u.comparedAt = now
	others := p.others(u, true)
	if slower(strata(now, &u.window, others, hasLatencies)) {
		p.setAside(now, u, others)
	}
}

// setAside sets an upstream aside, unless half of the upstreams are already.
func (p *Pace) setAside(now dfclock.Millis, u *upstream, othersWindows []*window) {
	if !u.isAside() {
		count := 1
		for _, other := range p.upstreams {
			if other.isAside() {
				count++
			}
		}
		if 2*count > len(p.upstreams) {
			return
		}
	}
	switch {
	case u.span == 0 || !u.isAside() && now >= u.returnedAt.Add(asideMemory):
		u.span = minAside
	default:
		u.span = min(maxAside, 2*u.span)
	}
	u.state = aside{until: now.Add(u.span), admitted: p.admitted}
	own, others := sum(now, &u.window), sum(now, othersWindows...)
	if u.isReported(now) {
		answers := sum(now, &u.reported)
		own.good, own.failed = answers.good, answers.failed
	}
	u.emptyWindow(now)
	u.inFlight = nil
	p.emit(SetAside{
		ID: u.id, Span: u.span, Answers: own.answers(), Failed: own.failed, OtherAnswers: others.answers(), OtherFailed: others.failed,
		Latency: own.medianLatency(), OtherLatency: others.medianLatency(),
	})
}

// Limit returns the limit in force for an upstream. ok is false if there is none.
func (p *Pace) Limit(id dffleet.ID) (limit float64, ok bool) {
	u := p.upstreams[id]
	if u == nil {
		return 0, false
	}
	if s, isPaced := u.state.(*paced); isPaced {
		return s.limit, true
	}
	return 0, false
}
