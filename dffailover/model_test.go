package dffailover_test

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
)

// The simulation runs several actors and upstreams in virtual time. Upstreams
// implement the control statements and replicate asynchronously. The network
// delays, reorders and loses requests and answers.

var (
	errRefused = errors.New("connection refused")
	errTimeout = errors.New("no answer")
)

type refusedError struct{ accepted dfposition.Term }

func (refusedError) Error() string { return "refused" }

type task struct {
	at  dfclock.Millis
	seq int
	run func()
}

type tasks []task

func (t tasks) Len() int { return len(t) }
func (t tasks) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t tasks) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *tasks) Push(x any)   { *t = append(*t, x.(task)) }
func (t *tasks) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

type entry struct {
	term       dfposition.Term
	key, value int
}

// server is a simulated upstream.
type server struct {
	id          dfgroup.UpstreamID
	index       int
	up          bool
	pausedUntil dfclock.Millis
	accepted    dfposition.Term
	actor       string
	role        dfgroup.Role
	following   *server
	log         []entry
	starts      []dfposition.Start
	heardAt     dfclock.Millis
	leaving     bool
	discarded   string
	// highest is the highest term that the upstream has accepted.
	highest dfposition.Term
}

// faults are injected to prove that the invariant checks detect them.
type faults struct {
	ignoreTerms      bool // the gate compares offsets only and ignores terms
	minorityFence    bool // fencing reaches one upstream, success is faked for the others
	promoteLowestLog bool // the upstream with the lowest log is promoted
	reuseTerm        bool // upstreams accept a term from a second actor
	forgetTerm       bool // a restarted upstream forgets its accepted term
	readsAsCommits   bool // reads are confirmed like commits, also under later terms
}

type acked struct {
	position dfposition.Position
	entry    entry
}

type simulation struct {
	now      dfclock.Millis
	rng      *rand.Rand
	queue    tasks
	seq      int
	servers  []*server
	actors   []*actor
	faults   faults
	strategy strategy
	// cut has the interrupted links as pairs (from, to) of nodes. Servers are
	// numbered by index, actors after them.
	cut           map[[2]int]bool
	slowUntil     dfclock.Millis
	stepCrashRate float64
	tableDown     bool
	row           leaseRow

	acked      []acked
	ackTimes   []dfclock.Millis
	winners    map[dfposition.Term]string
	violations map[string]string
	history    []operation
	lastValue  int
	// maxOutstanding bounds the unanswered requests of one actor.
	maxOutstanding int
}

func newSimulation(seed uint64, f faults, st strategy) *simulation {
	sim := &simulation{
		now: 1, rng: rand.New(rand.NewPCG(seed, 1)), faults: f, strategy: st, cut: map[[2]int]bool{},
		maxOutstanding: maxOutstanding,
		winners:        map[dfposition.Term]string{}, violations: map[string]string{},
	}
	for i := range 3 {
		s := &server{
			id: dfgroup.UpstreamID(fmt.Sprintf("u%d", i)), index: i, up: true, accepted: 1, actor: "first",
			role: dfgroup.RoleReplica, starts: []dfposition.Start{{Term: 1}},
		}
		sim.servers = append(sim.servers, s)
	}
	sim.servers[0].role = dfgroup.RolePrimary
	for _, s := range sim.servers {
		if s.index > 0 {
			s.following = sim.servers[0]
		}
		sim.replicate(s)
	}
	for i := range 3 {
		a := &actor{sim: sim, index: i}
		sim.actors = append(sim.actors, a)
		a.start()
	}
	return sim
}

func (sim *simulation) after(span dfclock.Millis, run func()) {
	sim.seq++
	heap.Push(&sim.queue, task{at: sim.now + span, seq: sim.seq, run: run})
}

func (sim *simulation) runUntil(end dfclock.Millis) {
	for len(sim.queue) > 0 && sim.queue[0].at <= end {
		next := heap.Pop(&sim.queue).(task)
		sim.now = next.at
		next.run()
	}
	sim.now = end
}

func (sim *simulation) recordViolation(invariant, format string, args ...any) {
	if sim.violations[invariant] == "" {
		sim.violations[invariant] = fmt.Sprintf("%v: ", sim.now) + fmt.Sprintf(format, args...)
	}
}

func (sim *simulation) delay() dfclock.Millis {
	if sim.now < sim.slowUntil && sim.rng.IntN(4) == 0 {
		return dfclock.Millis(sim.rng.IntN(700))
	}
	return dfclock.Millis(2 + sim.rng.IntN(5))
}

// call runs a statement at an upstream. An answer that arrives after the time-out
// is dropped, although the statement may have taken effect.
func (sim *simulation) call(a *actor, s *server, timeout dfclock.Millis, run func() (dfgroup.Status, error), done func(dfgroup.Status, error)) {
	open, incarnation := true, a.incarnation
	finish := func(status dfgroup.Status, err error) {
		if open {
			open = false
			a.whenRunning(incarnation, func() { done(status, err) })
		}
	}
	sim.after(timeout, func() { finish(dfgroup.Status{}, errTimeout) })
	from, to := len(sim.servers)+a.index, s.index
	var arrive func()
	arrive = func() {
		if sim.cut[[2]int{from, to}] {
			return
		}
		if sim.now < s.pausedUntil {
			sim.after(s.pausedUntil-sim.now, arrive)
			return
		}
		status, err := dfgroup.Status{}, errRefused
		if s.up {
			status, err = run()
		}
		if errors.Is(err, errPending) {
			sim.after(3, arrive)
			return
		}
		sim.after(sim.delay(), func() {
			if !sim.cut[[2]int{to, from}] {
				finish(status, err)
			}
		})
	}
	sim.after(sim.delay(), arrive)
}

func (s *server) status(now dfclock.Millis) dfgroup.Status {
	history, _ := dfposition.NewHistory(s.starts...) // fails only with an injected fault
	status := dfgroup.Status{
		Upstream: s.id, Role: s.role, Accepted: s.accepted, Actor: s.actor, Flushed: dfposition.Offset(len(s.log)),
		History: history, PrimarySilence: now - s.heardAt, Leaving: s.leaving, Discarded: s.discarded,
	}
	status.LogTerm = s.logTerm()
	status.Applied = status.Flushed
	if s.following != nil {
		status.Following = s.following.id
	}
	if s.role == dfgroup.RolePrimary {
		status.PrimarySilence = -1
	}
	return status
}

func (s *server) logTerm() dfposition.Term {
	if len(s.log) == 0 {
		return 0
	}
	return s.log[len(s.log)-1].term
}

func (sim *simulation) fence(s *server, term dfposition.Term, actor string) (dfgroup.Status, error) {
	if term < s.accepted || term == s.accepted && actor != s.actor && !sim.faults.reuseTerm {
		return dfgroup.Status{}, refusedError{s.accepted}
	}
	if term > s.accepted {
		s.role, s.following = dfgroup.RoleFenced, nil
	}
	s.accepted, s.actor = term, actor
	sim.checkInvariants()
	return s.status(sim.now), nil
}

func (sim *simulation) promote(s *server, term dfposition.Term, actor string) (dfgroup.Status, error) {
	if s.accepted != term || s.actor != actor {
		return dfgroup.Status{}, refusedError{s.accepted}
	}
	if s.role != dfgroup.RolePrimary {
		s.role, s.following = dfgroup.RolePrimary, nil
		s.starts = append(s.starts, dfposition.Start{Term: term, Offset: dfposition.Offset(len(s.log))})
		won := actor + " at " + string(s.id)
		if before := sim.winners[term]; before != "" && before != won {
			sim.recordViolation("one winner per term", "term %d won by %s and %s", term, before, won)
		}
		sim.winners[term] = won
	}
	sim.checkInvariants()
	return s.status(sim.now), nil
}

func (sim *simulation) follow(s *server, term dfposition.Term, actor string, primary dfgroup.UpstreamID) (dfgroup.Status, error) {
	if s.accepted != term || s.role == dfgroup.RolePrimary {
		return dfgroup.Status{}, refusedError{s.accepted}
	}
	s.actor = actor
	s.role, s.following, s.heardAt = dfgroup.RoleReplica, sim.server(primary), sim.now
	return s.status(sim.now), nil
}

// replicate periodically copies the primary's log to a replica, with network
// delay.
func (sim *simulation) replicate(s *server) {
	sim.after(4+dfclock.Millis(sim.rng.IntN(4)), func() {
		defer sim.replicate(s)
		p := s.following
		if p == nil || !p.up || sim.now < p.pausedUntil || sim.cut[[2]int{p.index, s.index}] || sim.cut[[2]int{s.index, p.index}] {
			return
		}
		if p.role != dfgroup.RolePrimary || p.accepted != s.accepted {
			return
		}
		term, log, starts := p.accepted, p.log, p.starts
		sim.after(sim.delay(), func() { sim.receive(s, p, term, log, starts) })
	})
}

func (sim *simulation) receive(s, p *server, term dfposition.Term, log []entry, starts []dfposition.Start) {
	if !s.up || sim.now < s.pausedUntil || s.following != p || s.accepted != term {
		return
	}
	s.heardAt = sim.now
	same := min(len(log), len(s.log)) // the logs before two equal entries are equal
	for same > 0 && log[same-1] != s.log[same-1] {
		same--
	}
	if same == len(log) && s.starts[len(s.starts)-1].Term == term {
		return // an outdated copy
	}
	if same < len(s.log) {
		s.discarded = fmt.Sprintf("%d:%d-%d", s.logTerm(), same, len(s.log))
	}
	s.log = log[:len(log):len(log)]
	s.starts = starts[:len(starts):len(starts)]
}

func (sim *simulation) write(s *server, e entry) (dfposition.Position, error) {
	if s.role != dfgroup.RolePrimary {
		return dfposition.Position{}, refusedError{s.accepted}
	}
	e.term = s.accepted
	s.log = append(s.log[:len(s.log):len(s.log)], e)
	return dfposition.Position{Term: e.term, Offset: dfposition.Offset(len(s.log))}, nil
}

// majorityPrimaries returns the primaries whose term a majority accepts.
func (sim *simulation) majorityPrimaries() []*server {
	var primaries []*server
	for _, s := range sim.servers {
		count := 0
		for _, other := range sim.servers {
			if other.accepted == s.accepted {
				count++
			}
		}
		if s.role == dfgroup.RolePrimary && count > len(sim.servers)/2 {
			primaries = append(primaries, s)
		}
	}
	return primaries
}

// checkInvariants checks the invariants of the upstreams. It runs after every
// fencing and promotion.
func (sim *simulation) checkInvariants() {
	for _, s := range sim.servers {
		if s.accepted < s.highest {
			sim.recordViolation("terms never decrease", "%s accepts %d after %d", s.id, s.accepted, s.highest)
		}
		s.highest = max(s.highest, s.accepted)
	}
	primaries := sim.majorityPrimaries()
	if len(primaries) > 1 {
		sim.recordViolation("one primary with a majority", "%s and %s", primaries[0].id, primaries[1].id)
	}
	for _, primary := range primaries {
		for _, a := range sim.acked {
			sim.checkAcked(primary, a)
		}
	}
}

func (sim *simulation) checkAcked(primary *server, a acked) {
	at := int(a.position.Offset) - 1
	if primary.accepted < a.position.Term {
		return
	}
	if at >= len(primary.log) || primary.log[at] != a.entry {
		sim.recordViolation("acknowledged writes kept", "%s of term %d lacks %v", primary.id, primary.accepted, a.position)
	}
}

// superseded reports whether a majority has accepted a higher term.
func (sim *simulation) superseded(term dfposition.Term) bool {
	count := 0
	for _, s := range sim.servers {
		if s.accepted > term {
			count++
		}
	}
	return count > len(sim.servers)/2
}
