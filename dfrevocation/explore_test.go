package dfrevocation

import (
	"encoding/binary"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfposition"
)

const (
	// The model has modelHosts hosts, of which the first modelHolders replace
	// leaders, and modelUpstreams upstreams, of which the first leads at the start.
	modelHosts     = 3
	modelHolders   = 2
	modelUpstreams = 3
	// modelTimeStep is the unit in which time passes.
	modelTimeStep = LeaseSpan
	// maxClaims, maxOrders, maxRestarts and maxLosses bound the events of one run.
	maxClaims   = 2
	maxOrders   = 2
	maxRestarts = 2
	maxLosses   = 1
	// maxStates bounds the search.
	maxStates = 500_000
)

// defect is a mechanism that is removed from the model, to check that the search
// finds the resulting violation.
type defect int

const (
	none defect = iota
	leaseIgnored
	confirmationNotAwaited
	claimsOverlap
	claimsNotRead
)

// modelHost is the state of one host.
type modelHost struct {
	voter Voter
	// leaseUntil is the end of its lease, and leader and term the leader it uses.
	leaseUntil dfclock.Millis
	leader     int
	term       dfposition.Term
	// notice is what it sends to the others since startedAt; zero if it replaces no
	// leader.
	notice    Notice
	startedAt dfclock.Millis
	// accepted are the hosts that confirmed, and majorityAt when a majority had.
	accepted   [modelHosts]bool
	demoted    bool
	majorityAt dfclock.Millis
}

// modelOrder is a promotion that was sent and not yet carried out.
type modelOrder struct {
	target int
	epoch  uint64
}

// modelState is one state of the model. It is copied by value.
type modelState struct {
	now   dfclock.Millis
	hosts [modelHosts]modelHost
	// led are the terms that upstreams lead, zero for a replica.
	led [modelUpstreams]dfposition.Term
	// term is the newest term that took effect.
	term dfposition.Term
	// claim is the newest claim in the platform's table, written at claimedAt.
	claim                        Notice
	claimedAt                    dfclock.Millis
	claims                       int
	orders                       []modelOrder
	ordersSent, restarts, losses int
	// highestEpoch is the highest epoch of a promotion that was sent.
	highestEpoch uint64
}

func newModelState() modelState {
	s := modelState{term: 1}
	s.led[0] = 1
	for i := range s.hosts {
		s.hosts[i] = modelHost{leaseUntil: LeaseSpan, term: 1, majorityAt: dfclock.Never}
	}
	return s
}

// key identifies a state. Instants are relative to now, in time steps and capped,
// so that states which differ only in older instants are equal.
func (s modelState) key() string {
	var b []byte
	put := func(values ...int64) {
		for _, v := range values {
			b = binary.AppendVarint(b, v)
		}
	}
	age := func(at dfclock.Millis) int64 {
		if at == dfclock.Never {
			return -1
		}
		return int64(min(s.now-at, 12*modelTimeStep) / modelTimeStep)
	}
	flag := func(f bool) int64 {
		if f {
			return 1
		}
		return 0
	}
	for _, h := range s.hosts {
		put(int64(h.voter.epoch), int64(h.voter.term), age(h.voter.acceptedAt), int64(max(0, h.leaseUntil-s.now)), int64(h.leader), int64(h.term))
		b = append(b, h.voter.holder...)
		b = append(b, h.voter.target...)
		put(int64(h.notice.Epoch), int64(h.notice.Term), age(h.startedAt), age(h.majorityAt), flag(h.demoted))
		for _, yes := range h.accepted {
			put(flag(yes))
		}
	}
	for _, led := range s.led {
		put(int64(led))
	}
	put(int64(s.term), int64(s.claims), int64(s.ordersSent), int64(s.restarts), int64(s.losses), int64(s.highestEpoch), int64(s.claim.Epoch), age(s.claimedAt), int64(len(s.orders)))
	for _, o := range s.orders {
		put(int64(o.target), int64(o.epoch))
	}
	return string(b)
}

// transition is an event and the state that follows from it.
type transition struct {
	name  string
	state modelState
	// violation is the rule that the event violated, or "".
	violation string
}

func (s modelState) transitions(d defect) []transition {
	var next []transition
	add := func(name string, change func(*modelState) string) {
		state := s
		state.orders = append([]modelOrder(nil), s.orders...)
		violation := change(&state)
		next = append(next, transition{name, state, violation})
	}
	add("time passes", func(n *modelState) string { n.now += modelTimeStep; return "" })
	for i := range s.hosts {
		s.hostTransitions(d, i, add)
		if i < modelHolders {
			s.holderTransitions(d, i, add)
		}
	}
	for i := range s.orders {
		add(fmt.Sprintf("the order for u%d is carried out", s.orders[i].target), func(n *modelState) string {
			target := n.orders[i].target
			n.orders = append(n.orders[:i], n.orders[i+1:]...)
			if n.led[target] == n.term {
				return ""
			}
			n.term++
			n.led[target] = n.term
			return ""
		})
	}
	return next
}

func (s modelState) hostTransitions(d defect, i int, add func(string, func(*modelState) string)) {
	h := s.hosts[i]
	leased := s.now < h.leaseUntil || d == leaseIgnored
	if leased && h.term > 0 && h.term >= h.voter.term && s.led[h.leader] == h.term {
		add(fmt.Sprintf("h%d has a write acknowledged at u%d", i, h.leader), func(*modelState) string {
			if s.term > h.term {
				return fmt.Sprintf("an acknowledged write at u%d, which was replaced", h.leader)
			}
			return ""
		})
	}
	for j := range s.hosts {
		if j != i {
			add(fmt.Sprintf("h%d is in touch with h%d", i, j), func(n *modelState) string {
				a, b := &n.hosts[i], n.hosts[j]
				a.voter = a.voter.WithTerm(b.voter.term)
				if b.term > a.term {
					a.leader, a.term = b.leader, b.term
				}
				a.leaseUntil = n.now + LeaseSpan
				return ""
			})
		}
	}
	for u, led := range s.led {
		if led > h.term && led >= h.voter.term {
			add(fmt.Sprintf("h%d learns that u%d leads", i, u), func(n *modelState) string {
				n.hosts[i].leader, n.hosts[i].term = u, led
				return ""
			})
		}
	}
	if s.restarts == maxRestarts {
		return
	}
	add(fmt.Sprintf("h%d starts again", i), func(n *modelState) string {
		n.restarts++
		fresh := modelHost{majorityAt: dfclock.Never}
		if d != claimsNotRead {
			fresh.voter = fresh.voter.WithClaim(n.now, n.claim)
		}
		n.hosts[i] = fresh
		return ""
	})
}

func (s modelState) holderTransitions(d defect, i int, add func(string, func(*modelState) string)) {
	h := s.hosts[i]
	if h.notice.Epoch == 0 {
		free := s.claims == 0 || s.claim.Holder == fmt.Sprint("h", i) || s.now-s.claimedAt >= PromiseSpan || d == claimsOverlap
		if s.claims < maxClaims && s.now < h.leaseUntil && free {
			for target := 1; target <= s.claims+1; target++ {
				add(fmt.Sprintf("h%d claims for u%d", i, target), func(n *modelState) string {
					n.claims++
					n.claim = Notice{
						Holder: fmt.Sprint("h", i), Target: dffleet.ID(fmt.Sprint(target)), Epoch: uint64(n.claims),
						Term: max(h.term+1, h.voter.term),
					}
					n.claimedAt = n.now
					a := &n.hosts[i]
					a.notice, a.startedAt = n.claim, n.now
					n.deliverNotice(i, i, false)
					return ""
				})
			}
		}
		return
	}
	for j := range s.hosts {
		if h.accepted[j] {
			continue
		}
		for _, lost := range []bool{false, true} {
			if lost && s.losses == maxLosses {
				continue
			}
			name := fmt.Sprintf("h%d is told by h%d", j, i)
			if lost {
				name += ", the reply is lost"
			}
			add(name, func(n *modelState) string {
				n.deliverNotice(i, j, lost)
				return ""
			})
		}
	}
	for u, led := range s.led {
		if led > 0 && led < h.notice.Term && u == h.leader {
			add(fmt.Sprintf("u%d is demoted by h%d", u, i), func(n *modelState) string {
				n.led[u] = 0
				n.hosts[i].handle(n.now, Demoted{})
				return ""
			})
		}
	}
	verdict, over := h.tally().Verdict(s.now), s.now-h.startedAt >= PromiseSpan
	if verdict == Failed || over {
		add(fmt.Sprintf("h%d gives up", i), func(n *modelState) string { n.hosts[i].reset(); return "" })
		return
	}
	clear := verdict == Clear || d == confirmationNotAwaited && h.majorityAt != dfclock.Never
	if !clear || s.ordersSent == maxOrders || h.voter.epoch > h.notice.Epoch {
		return
	}
	add(fmt.Sprintf("h%d orders u%s under epoch %d", i, h.notice.Target, h.notice.Epoch), func(n *modelState) string {
		n.ordersSent++
		n.orders = append(n.orders, modelOrder{int(h.notice.Target[0] - '0'), h.notice.Epoch})
		if h.notice.Epoch < n.highestEpoch {
			return fmt.Sprintf("epoch %d is sent after %d", h.notice.Epoch, n.highestEpoch)
		}
		n.highestEpoch = h.notice.Epoch
		return ""
	})
}

// deliverNotice delivers a host's notice to another host or to itself. lost means
// that the reply does not arrive.
func (s *modelState) deliverNotice(from, to int, lost bool) {
	notice := s.hosts[from].notice
	voter, reply := s.hosts[to].voter.WithNotice(s.now, notice, s.hosts[to].term)
	s.hosts[to].voter = voter
	switch {
	case lost:
		s.losses++
	case reply.Accepted:
		s.hosts[from].handle(s.now, Accepted{Host: fmt.Sprint("h", to)})
	default:
		s.hosts[from].reset()
	}
}

// tally returns the tally of the host's notice.
func (h modelHost) tally() *Tally {
	t := NewTally(h.startedAt, nil)
	for j, yes := range h.accepted {
		t.hosts[fmt.Sprint("h", j)] = yes
	}
	t.demoted, t.majorityAt = h.demoted, h.majorityAt
	return t
}

func (h *modelHost) handle(now dfclock.Millis, event Event) {
	t := h.tally()
	t.Handle(now, event)
	for j := range h.accepted {
		h.accepted[j] = t.hosts[fmt.Sprint("h", j)]
	}
	h.demoted, h.majorityAt = t.demoted, t.majorityAt
}

func (h *modelHost) reset() {
	h.notice, h.accepted, h.demoted = Notice{}, [modelHosts]bool{}, false
	h.majorityAt, h.startedAt = dfclock.Never, 0
}

// explore visits the states of the model breadth first and returns the shortest
// trace to a violation, or "". The order is the same in each run.
func explore(d defect) (trace string, states int) {
	type visit struct {
		state  modelState
		before int
		name   string
	}
	visits := []visit{{state: newModelState(), before: -1}}
	seen := map[string]bool{visits[0].state.key(): true}
	for at := 0; at < len(visits) && len(visits) < maxStates; at++ {
		for _, next := range visits[at].state.transitions(d) {
			if next.violation != "" {
				lines := []string{next.name, "broken: " + next.violation}
				for back := at; visits[back].before >= 0; back = visits[back].before {
					lines = append([]string{visits[back].name}, lines...)
				}
				return strings.Join(lines, "\n"), len(visits)
			}
			key := next.state.key()
			if !seen[key] {
				seen[key] = true
				visits = append(visits, visit{next.state, at, next.name})
			}
		}
	}
	return "", len(visits)
}

// Guards against any sequence of messages, losses, restarts and late promotions
// that lets a write be acknowledged at a replaced leader or an older epoch be sent.
func TestExplore(t *testing.T) {
	trace, states := explore(none)
	require.Empty(t, trace)
	t.Logf("%d states", states)
}

// Guards against a search that can't find violations: without any one of the
// mechanisms it has to find one.
func TestExploreNoticesDefects(t *testing.T) {
	for name, d := range map[string]defect{
		"lease ignored": leaseIgnored, "confirmation not awaited": confirmationNotAwaited,
		"claims overlap": claimsOverlap, "claims not read": claimsNotRead,
	} {
		t.Run(name, func(t *testing.T) {
			trace, states := explore(d)
			require.NotEmpty(t, trace, "%d states", states)
			t.Logf("%d states\n%s", states, trace)
		})
	}
}
