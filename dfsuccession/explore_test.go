package dfsuccession

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dffresh"
	"dragonflygrade/dfposition"
)

// The model has a service of three upstreams on a platform that fences. Upstream 0
// leads at the start. It is cut off from its replicas and from all hosts except those
// of its own data centre, for which host 0 stands. Host 1 stands for the others. Only
// host 0 reads: it reaches whatever host 1 reaches, and proofs of any host reach it.
//
// The model allows more than the hosts do, to have fewer states. Any host may suspect
// any leader at any time, claims and epochs exclude no order, and a host discards its
// proofs at any time.
const (
	modelHosts     = 2
	modelUpstreams = 3
	// modelBound is the staleness bound of reads, and the unit in which time passes.
	modelBound = 1500 * dfclock.Millisecond
	// modelMaxAge caps ages. Proofs and commits of that age are beyond the bound of
	// every read, including one that waited.
	modelMaxAge = 3 * modelBound
	// maxModelStates bounds the search.
	maxModelStates = 800_000
)

// scenario selects the events that the search spends its states on.
type scenario struct {
	name string
	// commits, orders, proofs, demotions and steps bound the events of one run. steps
	// counts the passing of time.
	commits, orders, proofs, demotions, steps int
	// anyTarget lets orders name any upstream, as if chosen by positions from any
	// time. Otherwise a Coordinator chooses.
	anyTarget bool
}

var scenarios = []scenario{
	{name: "strong reads", commits: 5, orders: 4},
	{name: "strong reads, any target", commits: 5, orders: 3, demotions: 1, anyTarget: true},
	{name: "bounded reads", commits: 3, orders: 2, proofs: 2, steps: 2},
}

// defect is a mechanism of the hosts, or a fact about the platform, that is removed
// from the model to check that the search finds the resulting violation.
type defect int

const (
	none defect = iota
	// strongReadUnproved sends strong reads without a transaction that only a leader
	// grants.
	strongReadUnproved
	// proofByReplica takes the position of a replaced leader as a proof.
	proofByReplica
	// proofDatedAtArrival dates a proof at its arrival instead of its request.
	proofDatedAtArrival
	// positionNotRequired sends bounded reads without the position that they need.
	positionNotRequired
	// sessionIgnored sends reads of a session without the session's newest commit.
	sessionIgnored
	// leadKept lets a replaced leader keep its lead.
	leadKept
	// tailLost lets a leader lose its newest commit while it leads.
	tailLost
	// absentLeaderIgnored counts no commit as rolled back if no upstream led when the
	// promotion took effect.
	absentLeaderIgnored
	// restoredCommitsCount makes commits that were rolled back count again once an
	// upstream that has them leads.
	restoredCommitsCount
)

// modelCommit is an acknowledged commit.
type modelCommit struct {
	position dfposition.Position
	ackedAt  dfclock.Millis
	// host is the host whose session it belongs to.
	host       int
	rolledBack bool
}

// modelUpstream is the state of one upstream.
type modelUpstream struct {
	// log has indices of commits in ascending order of positions.
	log []int
	// term is the term that it leads, or zero.
	term dfposition.Term
}

// modelRead is a bounded read of host 0 on its way to an upstream.
type modelRead struct {
	onItsWay  bool
	arrivedAt dfclock.Millis
	after     dfposition.Position
	// session is true if the read must also see the commits of its session.
	session bool
}

// needs reports whether the read must see a commit that was not rolled back.
func (r modelRead) needs(c modelCommit) bool {
	return c.ackedAt < r.arrivedAt-modelBound || r.session && c.host == 0 && c.ackedAt <= r.arrivedAt
}

// modelState is one state of the model.
type modelState struct {
	now       dfclock.Millis
	upstreams [modelUpstreams]modelUpstream
	commits   []modelCommit
	// term is the newest term that had a leader, and latestLeader that leader.
	term         dfposition.Term
	latestLeader int
	cut          bool
	// orders are the targets of promotions that the platform accepted and has not
	// carried out. An order whose answer was lost and that was sent again is in it
	// twice.
	orders                []int
	ordersSent, demotions int
	// proofs were made by leaders and may reach host 0 late, also through others.
	proofs []dffresh.Proof
	// known are the proofs that host 0 added to its timeline since it discarded it.
	known []dffresh.Proof
	read  modelRead
}

// initialStates are the states after the cut. The replicas lack the newest commit of
// the leader; in the second state, one of them has it.
func initialStates() []modelState {
	lagging := modelState{
		term: 1, cut: true,
		commits: []modelCommit{{position: dfposition.Position{Term: 1, Offset: 1}}, {position: dfposition.Position{Term: 1, Offset: 2}}},
	}
	lagging.upstreams = [modelUpstreams]modelUpstream{{log: []int{0, 1}, term: 1}, {log: []int{0}}, {log: []int{0}}}
	uneven := lagging.clone()
	uneven.upstreams[1].log = []int{0, 1}
	return []modelState{lagging, uneven}
}

func (s modelState) clone() modelState {
	s.commits, s.orders, s.proofs = slices.Clone(s.commits), slices.Clone(s.orders), slices.Clone(s.proofs)
	for u := range s.upstreams {
		s.upstreams[u].log = slices.Clone(s.upstreams[u].log)
	}
	s.known = slices.Clone(s.known)
	return s
}

// key identifies a state. States that differ only in which of the two replicas is
// which have the same key.
func (s modelState) key() string {
	straight, swapped := s.encode([modelUpstreams]int{0, 1, 2}), s.encode([modelUpstreams]int{0, 2, 1})
	if bytes.Compare(swapped, straight) < 0 {
		return string(swapped)
	}
	return string(straight)
}

// encode encodes a state with its upstreams renamed. Instants are relative to now and
// capped.
func (s modelState) encode(names [modelUpstreams]int) []byte {
	b := make([]byte, 0, 96)
	put := func(values ...int) {
		for _, v := range values {
			b = binary.AppendVarint(b, int64(v))
		}
	}
	flag := func(f bool) int {
		if f {
			return 1
		}
		return 0
	}
	age := func(at dfclock.Millis) int { return int(min(s.now-at, modelMaxAge) / modelBound) }
	position := func(p dfposition.Position) { put(int(p.Term), int(p.Offset)) }
	putProofs := func(proofs []dffresh.Proof) {
		put(len(proofs))
		for _, p := range proofs {
			put(age(p.At))
			position(p.Position)
		}
	}
	for _, u := range names {
		put(int(s.upstreams[u].term), len(s.upstreams[u].log))
		put(s.upstreams[u].log...)
	}
	put(len(s.commits))
	for _, c := range s.commits {
		position(c.position)
		put(flag(c.rolledBack))
		if s.read.onItsWay {
			put(flag(s.read.needs(c)))
		} else {
			put(age(c.ackedAt), c.host)
		}
	}
	orders := [modelUpstreams]int{}
	for _, target := range s.orders {
		orders[names[target]]++
	}
	put(orders[:]...)
	put(int(s.term), names[s.latestLeader], flag(s.cut), s.ordersSent, s.demotions, flag(s.read.onItsWay))
	if s.read.onItsWay {
		position(s.read.after)
		return b
	}
	put(int(s.now / modelBound))
	putProofs(s.proofs)
	putProofs(s.known)
	return b
}

// reaches reports whether a host reaches an upstream.
func (s modelState) reaches(host, upstream int) bool {
	return !s.cut || upstream != 0 || host == 0
}

// replicates reports whether commits travel between two upstreams.
func (s modelState) replicates(from, to int) bool {
	return !s.cut || from != 0 && to != 0
}

// leads reports whether an upstream takes itself for the leader.
func (s modelState) leads(upstream int) bool {
	return s.upstreams[upstream].term > 0
}

// end returns the end of an upstream's log.
func (s modelState) end(upstream int) dfposition.Position {
	log := s.upstreams[upstream].log
	if len(log) == 0 {
		return dfposition.Position{Term: 1}
	}
	return s.commits[log[len(log)-1]].position
}

// contains reports whether an upstream grants a read that needs a position.
func (s modelState) contains(upstream int, position dfposition.Position) bool {
	return position.Offset == 0 || slices.ContainsFunc(s.upstreams[upstream].log, func(c int) bool {
		return s.commits[c].position == position
	})
}

// transition is an event and the state that follows from it.
type transition struct {
	name  string
	state modelState
	// violation is the rule that the event violated, or "".
	violation string
}

func (s modelState) transitions(sc scenario, d defect) []transition {
	var next []transition
	add := func(name string, change func(*modelState)) {
		state := s.clone()
		change(&state)
		next = append(next, transition{name: name, state: state})
	}
	read := func(name, violation string) {
		if violation != "" {
			next = append(next, transition{name: name, state: s, violation: violation})
		}
	}
	if s.cut {
		add("the cut ends", func(n *modelState) { n.cut = false })
	}
	s.promotionTransitions(sc, d, add)
	s.logTransitions(d, add)
	if s.read.onItsWay {
		// Proofs, further writes and the time no longer matter to the read.
		s.boundedReads(read)
		return next
	}
	s.writes(sc, add)
	s.strongReads(d, read)
	if int(s.now/modelBound) < sc.steps {
		add("time passes", func(n *modelState) { n.now += modelBound })
	}
	if sc.proofs > 0 {
		s.proofTransitions(sc, d, add)
		s.planReads(d, add)
	}
	return next
}

// writes are writes that a leader acknowledges.
func (s modelState) writes(sc scenario, add func(string, func(*modelState))) {
	for u := range s.upstreams {
		for i := range modelHosts {
			if i > 0 && sc.proofs == 0 {
				// Strong reads don't depend on whose commits they are.
				break
			}
			if s.leads(u) && s.reaches(i, u) && len(s.commits) < sc.commits {
				add(fmt.Sprintf("h%d has a write acknowledged at u%d", i, u), func(n *modelState) {
					position := dfposition.Position{Term: n.upstreams[u].term, Offset: n.end(u).Offset + 1}
					n.upstreams[u].log = append(n.upstreams[u].log, len(n.commits))
					n.commits = append(n.commits, modelCommit{position: position, ackedAt: n.now, host: i})
				})
			}
		}
	}
}

// logTransitions are replication and the loss of commits.
func (s modelState) logTransitions(d defect, add func(string, func(*modelState))) {
	for u := range s.upstreams {
		if s.upstreams[u].term != s.term {
			continue
		}
		if d == tailLost && len(s.upstreams[u].log) > 1 {
			add(fmt.Sprintf("u%d loses its newest commit", u), func(n *modelState) {
				log := n.upstreams[u].log
				n.upstreams[u].log = log[:len(log)-1]
			})
		}
		for to := range s.upstreams {
			if to != u && !s.leads(to) && s.replicates(u, to) && !slices.Equal(s.upstreams[u].log, s.upstreams[to].log) {
				add(fmt.Sprintf("u%d receives from u%d", to, u), func(n *modelState) { n.receive(u, to) })
			}
		}
	}
}

// receive gives a replica the next commit of the leader's log. Commits that the
// leader lacks are removed first.
func (s *modelState) receive(from, to int) {
	source, log := s.upstreams[from].log, s.upstreams[to].log
	common := 0
	for common < min(len(source), len(log)) && source[common] == log[common] {
		common++
	}
	log = log[:common]
	if common < len(source) {
		log = append(log, source[common])
	}
	s.upstreams[to].log = log
}

// promotionTransitions are orders for promotions and their effects. An order for an
// upstream that leads the newest term may change nothing or begin a term.
func (s modelState) promotionTransitions(sc scenario, d defect, add func(string, func(*modelState))) {
	if s.ordersSent < sc.orders {
		selectable := s.selectableTargets()
		for target := range s.upstreams {
			if sc.anyTarget || selectable[target] {
				add(fmt.Sprintf("a host orders u%d", target), func(n *modelState) {
					n.orders = append(n.orders, target)
					n.ordersSent++
				})
			}
			if slices.Contains(s.orders, target) {
				add(fmt.Sprintf("the order for u%d is sent again", target), func(n *modelState) {
					n.orders = append(n.orders, target)
					n.ordersSent++
				})
			}
		}
	}
	for target := range s.upstreams {
		at := slices.Index(s.orders, target)
		if at < 0 {
			continue
		}
		add(fmt.Sprintf("an order for u%d is carried out", target), func(n *modelState) {
			n.orders = slices.Delete(n.orders, at, at+1)
			n.promote(target, d)
		})
		if s.upstreams[target].term == s.term {
			add(fmt.Sprintf("an order for u%d changes nothing", target), func(n *modelState) {
				n.orders = slices.Delete(n.orders, at, at+1)
			})
		}
	}
	if u := s.latestLeader; s.demotions < sc.demotions && s.leads(u) {
		add(fmt.Sprintf("a host demotes u%d", u), func(n *modelState) {
			n.upstreams[u].term = 0
			n.demotions++
		})
	}
}

// promote makes an upstream the leader of the next term with the log that it has.
// Commits that the previous leader had when it lost the lead are rolled back if the
// next one lacks them. A demoted leader's log does not change before the promotion.
func (s *modelState) promote(target int, d defect) {
	for _, c := range s.upstreams[s.latestLeader].log {
		if d == absentLeaderIgnored && !s.leads(s.latestLeader) {
			break
		}
		if !slices.Contains(s.upstreams[target].log, c) {
			s.commits[c].rolledBack = true
		}
	}
	if d == restoredCommitsCount {
		for _, c := range s.upstreams[target].log {
			s.commits[c].rolledBack = false
		}
	}
	if d != leadKept {
		s.upstreams[s.latestLeader].term = 0
	}
	s.term++
	s.latestLeader = target
	s.upstreams[target].term = s.term
}

// selectableTargets returns the upstreams that a Coordinator at some host promotes
// after it suspected the upstream that it takes for the leader.
func (s modelState) selectableTargets() (selectable [modelUpstreams]bool) {
	for i := range modelHosts {
		for leader := range s.upstreams {
			if leader != 0 && leader != s.latestLeader {
				continue
			}
			for _, order := range [][]int{{0, 1, 2}, {2, 1, 0}} {
				if target := s.selectTarget(i, leader, order); target >= 0 {
					selectable[target] = true
				}
			}
		}
	}
	return selectable
}

// selectTarget returns the upstream that a Coordinator at a host promotes if the
// upstreams within its reach answer in the given order, or -1. More than two of three
// upstreams can't answer, since the suspected leader does not.
func (s modelState) selectTarget(host, leader int, order []int) int {
	ids := []dffleet.ID{"0", "1", "2"}
	observation := Observation{Leader: ids[leader], Upstreams: []Upstream{{ID: "0"}, {ID: "1"}, {ID: "2"}}, Candidates: ids}
	c := New(0, PlatformFences{})
	c.Step(0, observation)
	for range suspectAfterFailures {
		c.Handle(0, ProbeFailed{ID: observation.Leader})
	}
	c.Step(0, observation)
	for _, u := range order {
		if s.reaches(host, u) && u != leader {
			c.Handle(0, StatusReceived{ID: ids[u], Primary: s.leads(u), Received: s.end(u)})
		}
	}
	c.Handle(0, QueryEnded{})
	claim, ok := c.Step(0, observation).(Claim)
	if !ok {
		return -1
	}
	return slices.Index(ids, claim.Target)
}

// strongReads are reads on a strong route. Such a read runs in a transaction, which a
// leader grants and refuses once it is replaced, so it is one event.
func (s modelState) strongReads(d defect, read func(name, violation string)) {
	for u := range s.upstreams {
		if s.leads(u) || d == strongReadUnproved && u == 0 {
			read(fmt.Sprintf("h0 has a strong read run at u%d", u), s.missing(u, func(modelCommit) bool { return true }))
		}
	}
}

// missing names an acknowledged commit that a read at an upstream lacks although it
// needs it, or returns "".
func (s modelState) missing(upstream int, needed func(modelCommit) bool) string {
	for c, commit := range s.commits {
		if !commit.rolledBack && needed(commit) && !slices.Contains(s.upstreams[upstream].log, c) {
			role := "replica"
			if s.leads(upstream) {
				role = "leader"
			}
			return fmt.Sprintf("the read at the %s u%d lacks commit %s", role, upstream, commit.position)
		}
	}
	return ""
}

// proofTransitions are proofs of positions, and how host 0 learns and discards them.
func (s modelState) proofTransitions(sc scenario, d defect, add func(string, func(*modelState))) {
	for u := range s.upstreams {
		if len(s.proofs) < sc.proofs && (s.leads(u) || d == proofByReplica && u == 0) {
			add(fmt.Sprintf("u%d proves its position", u), func(n *modelState) {
				n.proofs = append(n.proofs, dffresh.Proof{At: n.now, Position: n.end(u)})
			})
		}
	}
	for _, proof := range s.proofs {
		if d == proofDatedAtArrival {
			proof.At = s.now
		}
		if n := len(s.known); n == 0 || s.known[n-1].At < proof.At {
			// A Timeline ignores a proof that is not newer than the last one.
			add(fmt.Sprintf("h0 learns the proof of %s", proof.Position), func(n *modelState) { n.known = append(n.known, proof) })
		}
	}
	if len(s.known) > 0 {
		add("h0 discards its proofs", func(n *modelState) { n.known = nil })
	}
}

// planReads are bounded reads that host 0 sends, as in dfedge's planRead. A read that
// finds no proof runs like a strong one.
func (s modelState) planReads(d defect, add func(string, func(*modelState))) {
	timeline := &dffresh.Timeline{}
	for _, proof := range s.known {
		timeline.Add(proof)
	}
	var lastCommit dfposition.Position
	for _, commit := range s.commits {
		if commit.host == 0 {
			lastCommit = lastCommit.Max(commit.position)
		}
	}
	for _, waited := range []dfclock.Millis{0, modelBound} {
		proof, ok := timeline.RequiredProof(s.now-waited, modelBound)
		if !ok {
			continue
		}
		for _, session := range []bool{false, true} {
			after := proof.Position
			if session && d != sessionIgnored {
				after = after.Max(lastCommit)
			}
			if d == positionNotRequired {
				after = dfposition.Position{}
			}
			add(fmt.Sprintf("h0 sends a read that needs %s", after), func(n *modelState) {
				n.read = modelRead{true, n.now - waited, after, session}
				n.proofs, n.known = nil, nil
			})
		}
	}
}

// boundedReads are the runs of a read that is on its way. The read stays on its way,
// so that later states show its run at another time.
func (s modelState) boundedReads(read func(name, violation string)) {
	r := s.read
	for u := range s.upstreams {
		if s.contains(u, r.after) {
			read(fmt.Sprintf("the read of h0 runs at u%d", u), s.missing(u, r.needs))
		}
	}
}

// explore visits the states of the model breadth first and returns the shortest trace
// to a violation, or "". complete is true if no state was left out.
func explore(sc scenario, d defect) (trace string, states, depth int, complete bool) {
	type visit struct {
		state  modelState
		before int
		name   string
		depth  int
	}
	var visits []visit
	seen := map[string]bool{}
	for _, state := range initialStates() {
		visits = append(visits, visit{state: state, before: -1})
		seen[state.key()] = true
	}
	at := 0
	for ; at < len(visits) && len(visits) < maxModelStates; at++ {
		for _, next := range visits[at].state.transitions(sc, d) {
			if next.violation != "" {
				lines := []string{next.name, "broken: " + next.violation}
				for back := at; visits[back].before >= 0; back = visits[back].before {
					lines = append([]string{visits[back].name}, lines...)
				}
				return strings.Join(lines, "\n"), len(visits), visits[at].depth + 1, false
			}
			key := next.state.key()
			if !seen[key] {
				seen[key] = true
				visits = append(visits, visit{next.state, at, next.name, visits[at].depth + 1})
			}
		}
		visits[at].state = modelState{}
	}
	return "", len(visits), visits[at-1].depth, at == len(visits)
}

// Guards against a read that lacks an acknowledged commit after promotions that were
// late, repeated, or ordered by two hosts, while the old leader and the hosts of its
// data centre are cut off together.
func TestExplore(t *testing.T) {
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			trace, states, depth, complete := explore(sc, none)
			require.Empty(t, trace)
			require.True(t, complete, "%d states", states)
			t.Logf("%d states, traces of up to %d events", states, depth)
		})
	}
}

// Guards against a search that can't find violations: without any one of the
// mechanisms, or of the facts about the platform, it has to find one.
func TestExploreNoticesDefects(t *testing.T) {
	strong, anyTarget, bounded := scenarios[0], scenarios[1], scenarios[2]
	for _, test := range []struct {
		name     string
		scenario scenario
		defect   defect
	}{
		{"strong read unproved", strong, strongReadUnproved},
		{"lead kept", strong, leadKept},
		{"tail lost", strong, tailLost},
		{"absent leader ignored", anyTarget, absentLeaderIgnored},
		{"proof by a replica", bounded, proofByReplica},
		{"proof dated at its arrival", bounded, proofDatedAtArrival},
		{"position not required", bounded, positionNotRequired},
		{"session ignored", bounded, sessionIgnored},
		{"restored commits count", bounded, restoredCommitsCount},
	} {
		t.Run(test.name, func(t *testing.T) {
			trace, states, _, _ := explore(test.scenario, test.defect)
			require.NotEmpty(t, trace, "%d states", states)
			t.Logf("%d states\n%s", states, trace)
		})
	}
}
