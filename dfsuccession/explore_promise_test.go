package dfsuccession

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfposition"
)

// The promise model has a service whose commits are acknowledged once one replica has
// received them, with upstream 0 as its leader, on a platform that fences. A
// Coordinator at one host replaces the leader while another host writes. Replicas stop
// receiving, upstreams drain and end, and the leader crashes, at any moment. The other
// host may miss that writes are held and go on until its lease has run out. An order is
// carried out at any moment after it was sent. A run ends with a promotion, which must
// not lose a commit that was acknowledged.
const (
	// promiseStep is the unit in which time passes.
	promiseStep = 200 * dfclock.Millisecond
	// maxPromiseAge caps ages. It is longer than the waits of a change.
	maxPromiseAge = 600 * dfclock.Millisecond
	// maxPromiseStates bounds the search.
	maxPromiseStates = 400_000
)

// promiseScenario selects the events of a search and bounds their number.
type promiseScenario struct {
	name string
	// writes and deafnesses bound the writes, and how often a replica stops receiving.
	writes, deafnesses int
	// drains is the upstream that drains from the start, and crash is true if the leader
	// may crash.
	drains int
	crash  bool
}

var promiseScenarios = []promiseScenario{
	{name: "draining leader", writes: 2, deafnesses: 1, drains: 0},
	{name: "crash", writes: 2, deafnesses: 1, drains: -1, crash: true},
	{name: "draining replica and crash", writes: 2, deafnesses: 1, drains: 1, crash: true},
}

// promiseUpstream is the state of an upstream.
type promiseUpstream struct {
	received                   int
	deaf, draining, down, gone bool
	// asked is when a query was sent that it has not answered, or Never.
	asked dfclock.Millis
}

// promiseState is one state of the model.
type promiseState struct {
	now         dfclock.Millis
	upstreams   [modelUpstreams]promiseUpstream
	coordinator Coordinator
	// acknowledged is the newest commit that the other host was told of.
	acknowledged       int
	writes, deafnesses int
	claiming           bool
	// order is the target of the order that was sent, or -1.
	order int
	// suspected is true once the leader's failure was noticed.
	suspected bool
	// holding is true while the coordinator holds the writes, and held and lapsed are true
	// while the other host sends none, because it knows of the hold or has no lease.
	holding, held, lapsed bool
}

// promiseDefect is a mechanism that is removed from the model, to check that the search
// finds the resulting violation.
type promiseDefect int

const (
	promiseKept promiseDefect = iota
	// writesNotHeld lets the other host write while writes are held.
	writesNotHeld
	// leaseIgnored does not wait for the lease of a host that missed the hold.
	leaseIgnored
)

func newPromiseState(sc promiseScenario) promiseState {
	s := promiseState{coordinator: *New(0, PlatformFences{}), order: -1}
	for u := range s.upstreams {
		s.upstreams[u] = promiseUpstream{received: 1, draining: u == sc.drains, asked: dfclock.Never}
	}
	s.acknowledged = 1
	return s
}

func promiseID(u int) dffleet.ID { return dffleet.ID(fmt.Sprint(u)) }

func (s promiseState) observation() Observation {
	observation := Observation{Leader: promiseID(0), LeaderLeaving: s.upstreams[0].draining, SyncReplicas: 1}
	for u, upstream := range s.upstreams {
		if upstream.gone {
			continue
		}
		observation.Upstreams = append(observation.Upstreams, Upstream{ID: promiseID(u)})
		if !upstream.draining {
			observation.Candidates = append(observation.Candidates, promiseID(u))
		}
	}
	observation.WritesHeld = s.holding
	return observation
}

func (s promiseState) clone() promiseState {
	s.coordinator.reports = slices.Clone(s.coordinator.reports)
	return s
}

// key identifies a state. Instants are relative to now and capped, so that states which
// differ only in older instants are equal.
func (s promiseState) key() string {
	age := func(at dfclock.Millis) dfclock.Millis {
		if at == dfclock.Never {
			return -1
		}
		return min(s.now-at, maxPromiseAge) / promiseStep
	}
	c := s.coordinator
	drainedAt, drained := c.handover.DrainedAt()
	drained = drained && c.phase == comparing
	var b strings.Builder
	for _, u := range s.upstreams {
		fmt.Fprint(&b, u.received, u.deaf, u.draining, u.down, u.asked != dfclock.Never, drained && u.asked >= drainedAt, " ")
	}
	fmt.Fprint(&b, c.leader, c.phase, c.Suspected(), c.requestInFlight, c.holding, c.orderSent, " ")
	switch c.phase {
	case watching:
		fmt.Fprint(&b, max(0, c.backoffUntil-s.now))
	case querying, comparing:
		for u := range s.upstreams {
			for _, report := range c.reports {
				if report.ID == promiseID(u) {
					fmt.Fprint(&b, u, report.Received.Offset, " ")
				}
			}
		}
		fmt.Fprint(&b, c.leaderEnd.Offset, c.queryEnded, age(c.phaseStart), drained, age(drainedAt))
	default:
		fmt.Fprint(&b, c.target)
	}
	fmt.Fprint(&b, " ", s.acknowledged, s.writes, s.deafnesses, s.claiming, s.order, s.suspected, s.holding, s.held, s.lapsed)
	return b.String()
}

// transitions are the events that may follow, with the violation of those that break
// the promise.
func (s promiseState) transitions(sc promiseScenario, d promiseDefect) []promiseTransition {
	var next []promiseTransition
	add := func(name string, change func(*promiseState) string) {
		state := s.clone()
		violation := change(&state)
		next = append(next, promiseTransition{name, state, violation})
	}
	s.upstreamTransitions(sc, d, add)
	s.coordinatorTransitions(add)
	s.holdTransitions(d, add)
	return next
}

type promiseTransition struct {
	name      string
	state     promiseState
	violation string
}

func (s promiseState) upstreamTransitions(sc promiseScenario, d promiseDefect, add func(string, func(*promiseState) string)) {
	leader := s.upstreams[0]
	mayWrite := !s.held && !s.lapsed || d == writesNotHeld
	if mayWrite && !leader.down && s.writes < sc.writes {
		add("a host writes", func(n *promiseState) string { n.write(); return "" })
	}
	for u := 1; u < modelUpstreams; u++ {
		replica := s.upstreams[u]
		if s.deafnesses < sc.deafnesses && !replica.deaf && !replica.down {
			add(fmt.Sprintf("u%d receives nothing any more", u), func(n *promiseState) string {
				n.upstreams[u].deaf = true
				n.deafnesses++
				return ""
			})
		}
		if replica.deaf {
			add(fmt.Sprintf("u%d receives again", u), func(n *promiseState) string {
				n.upstreams[u].deaf = false
				return ""
			})
		}
	}
	if sc.crash && !leader.down {
		add("the leader crashes", func(n *promiseState) string {
			n.upstreams[0].down = true
			return ""
		})
	}
}

// write commits at the leader, and sends its log to the replicas that receive.
func (s *promiseState) write() {
	s.writes++
	s.upstreams[0].received++
	for u := 1; u < modelUpstreams; u++ {
		if replica := &s.upstreams[u]; !replica.deaf && !replica.down {
			replica.received = s.upstreams[0].received
			s.acknowledged = s.upstreams[0].received
		}
	}
}

func (s promiseState) coordinatorTransitions(add func(string, func(*promiseState) string)) {
	add("time passes", func(n *promiseState) string { n.now += promiseStep; return "" })
	add("the coordinator acts", func(n *promiseState) string { n.act(); return "" })
	if s.upstreams[0].down && !s.suspected {
		add("the crash is noticed", func(n *promiseState) string {
			n.suspected = true
			for range suspectAfterFailures {
				n.coordinator.Handle(n.now, ProbeFailed{ID: promiseID(0)})
			}
			return ""
		})
	}
	pending := false
	for u, upstream := range s.upstreams {
		if upstream.asked == dfclock.Never {
			continue
		}
		pending = true
		add(fmt.Sprintf("u%d answers", u), func(n *promiseState) string { n.answer(u); return "" })
	}
	if !pending && (s.coordinator.phase == querying || s.coordinator.phase == comparing) && !s.coordinator.queryEnded {
		add("the query ends", func(n *promiseState) string { n.coordinator.Handle(n.now, QueryEnded{}); return "" })
	}
	if s.claiming {
		add("the claim succeeds", func(n *promiseState) string {
			n.claiming = false
			n.coordinator.Handle(n.now, Claimed{Epoch: 1})
			return ""
		})
	}
	if s.order >= 0 {
		add(fmt.Sprintf("u%d leads", s.order), func(n *promiseState) string {
			target := n.upstreams[n.order]
			if target.received < n.acknowledged {
				return fmt.Sprintf("u%d received %d of %d acknowledged commits", n.order, target.received, n.acknowledged)
			}
			return ""
		})
	}
}

// holdTransitions are what the other host learns of a hold.
func (s promiseState) holdTransitions(d promiseDefect, add func(string, func(*promiseState) string)) {
	if s.coordinator.phase == revoking && s.coordinator.requestInFlight {
		add("the other host confirms the hold", func(n *promiseState) string {
			n.held = true
			n.coordinator.Handle(n.now, Revoked{})
			return ""
		})
		add("the lease of the other host runs out, which missed the hold", func(n *promiseState) string {
			n.lapsed = d != leaseIgnored
			n.coordinator.Handle(n.now, Revoked{})
			return ""
		})
	}
	if s.lapsed {
		add("the other host learns whether writes are held", func(n *promiseState) string {
			n.lapsed, n.held = false, n.holding
			return ""
		})
	}
	if s.held && !s.holding {
		add("the other host learns of the release", func(n *promiseState) string { n.held = false; return "" })
	}
}

// act runs a step of the coordinator.
func (s *promiseState) act() {
	switch action := s.coordinator.Step(s.now, s.observation()).(type) {
	case QueryAll:
		for u := range s.upstreams {
			if !s.upstreams[u].gone {
				s.upstreams[u].asked = s.now
			}
		}
	case Claim:
		s.claiming = true
	case Revoke:
		s.holding = true
	case Release:
		s.holding = false
	case Promote:
		s.order = int(action.Target[0] - '0')
		s.coordinator.Handle(s.now, PromoteAccepted{})
	}
}

// answer delivers the answer of an upstream to a query, if it runs.
func (s *promiseState) answer(u int) {
	upstream := &s.upstreams[u]
	if !upstream.down {
		s.coordinator.Handle(s.now, StatusReceived{
			ID: promiseID(u), Primary: u == 0, AskedAt: upstream.asked,
			Received: dfposition.Position{Term: 1, Offset: dfposition.Offset(upstream.received)},
		})
	}
	upstream.asked = dfclock.Never
}

// explorePromise visits the states breadth first and returns the shortest trace to a
// violation, or "".
func explorePromise(sc promiseScenario, d promiseDefect) (trace string, states int, complete bool) {
	type visit struct {
		state  promiseState
		before int
		name   string
	}
	visits := []visit{{state: newPromiseState(sc), before: -1}}
	seen := map[string]bool{visits[0].state.key(): true}
	at := 0
	for ; at < len(visits) && len(visits) < maxPromiseStates; at++ {
		for _, next := range visits[at].state.transitions(sc, d) {
			if next.violation != "" {
				lines := []string{next.name, "broken: " + next.violation}
				for back := at; visits[back].before >= 0; back = visits[back].before {
					lines = append([]string{visits[back].name}, lines...)
				}
				return strings.Join(lines, "\n"), len(visits), false
			}
			key := next.state.key()
			if !seen[key] {
				seen[key] = true
				visits = append(visits, visit{next.state, at, next.name})
			}
		}
		visits[at].state = promiseState{}
	}
	return "", len(visits), at == len(visits)
}

// Guards against a promotion that loses an acknowledged commit because the target stops
// receiving after the logs were compared, or because the upstream that has the commit
// drains and is no candidate.
func TestExplorePromise(t *testing.T) {
	for _, sc := range promiseScenarios {
		t.Run(sc.name, func(t *testing.T) {
			trace, states, complete := explorePromise(sc, promiseKept)
			require.Empty(t, trace)
			require.True(t, complete, "%d states", states)
			t.Logf("%d states", states)
		})
	}
}

// Guards against a search that can't find violations.
func TestExplorePromiseNoticesDefects(t *testing.T) {
	for name, d := range map[string]promiseDefect{"writes not held": writesNotHeld, "lease ignored": leaseIgnored} {
		t.Run(name, func(t *testing.T) {
			trace, states, _ := explorePromise(promiseScenarios[0], d)
			require.NotEmpty(t, trace, "%d states", states)
			t.Logf("%d states\n%s", states, trace)
		})
	}
}
