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
	// modelOrderSteps is the number of time steps in which an order is carried out, if
	// the store came back from an older copy.
	modelOrderSteps = 1
	// maxClaims, maxOrders, maxRestarts, maxLosses and maxRestores bound the events of
	// one run.
	maxClaims   = 2
	maxOrders   = 2
	maxRestarts = 2
	maxLosses   = 1
	maxRestores = 1
	// maxStates bounds the search, and maxLostStates that from a state whose order was
	// sent already.
	maxStates     = 500_000
	maxLostStates = 150_000
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
	lostClaimsIgnored
	recordsOfFewHosts
	lostEpochsAccepted
	forgetfulContacts
)

// modelHost is the state of one host.
type modelHost struct {
	voter Voter
	// leaseUntil is the end of its lease, and leader and term the leader it uses.
	leaseUntil dfclock.Millis
	leader     int
	term       dfposition.Term
	// era is the era of the store that the host knows, and record the one that it wrote
	// last.
	era    uint64
	record Record
	// unsettledAt is when it started without knowing its promises, or Never.
	unsettledAt dfclock.Millis
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
	sentAt dfclock.Millis
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
	// restorable is true if the store can come back from an older copy, which has no
	// claim. era counts from 1 how often it did, and lowestEpoch is the lowest epoch
	// since.
	restorable  bool
	era         uint64
	lowestEpoch uint64
}

func newModelState() modelState {
	s := modelState{term: 1, era: firstEra}
	s.led[0] = 1
	for i := range s.hosts {
		s.hosts[i] = modelHost{leaseUntil: LeaseSpan, term: 1, majorityAt: dfclock.Never, unsettledAt: dfclock.Never, era: firstEra}
	}
	return s
}

// stateAfter returns the state after events in which the store can come back from a copy
// without the claim.
func stateAfter(t *testing.T, events []string) modelState {
	t.Helper()
	s := newModelState()
	s.restorable = true
	for _, event := range events {
		found := false
		for _, next := range s.transitions(none) {
			if next.name == event {
				s, found = next.state, true
				break
			}
		}
		require.True(t, found, event)
	}
	return s
}

// Histories from which the search of lost claims starts.
var (
	orderedByAll = []string{"h0 claims for u1", "h1 is told by h0", "h2 is told by h0", "h0 orders u1 under epoch 1"}
	orderedByTwo = []string{
		"h0 claims for u1", "h1 is told by h0", "time passes", "h0 is in touch with h1", "h1 is in touch with h0",
		"h0 orders u1 under epoch 1",
	}
	claimLostBeforeNotices = []string{
		"h0 claims for u1", "the store comes back without the claim", "h1 learns of the era", "h1 writes its record",
		"h2 learns of the era", "h2 writes its record",
	}
)

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
		put(int64(h.era), int64(h.record.Era), int64(h.record.Terms["u"]), age(h.unsettledAt), int64(h.voter.lowestEpoch)) // #nosec G115 -- small
		put(int64(h.notice.Epoch), int64(h.notice.Term), age(h.startedAt), age(h.majorityAt), flag(h.demoted))
		for _, yes := range h.accepted {
			put(flag(yes))
		}
	}
	for _, led := range s.led {
		put(int64(led))
	}
	put(int64(s.term), int64(s.claims), int64(s.ordersSent), int64(s.restarts), int64(s.losses), int64(s.highestEpoch), int64(s.claim.Epoch), age(s.claimedAt), int64(len(s.orders)), int64(s.era))
	for _, o := range s.orders {
		put(int64(o.target), int64(o.epoch), age(o.sentAt))
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
	if !s.orderDue() {
		add("time passes", func(n *modelState) string { n.now += modelTimeStep; return "" })
	}
	if s.restorable && s.era <= maxRestores {
		add("the store comes back without the claim", func(n *modelState) string {
			n.era, n.lowestEpoch = n.era+1, uint64(n.claims)+1 // #nosec G115 -- small
			n.claim, n.claimedAt = Notice{}, 0
			return ""
		})
	}
	if s.restorable && s.restarts < maxRestarts {
		add("all hosts start again", func(n *modelState) string {
			n.restarts++
			for i := range n.hosts {
				n.restart(d, i)
			}
			return ""
		})
	}
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
		settled := h.settled() && (s.hosts[j].settled() || d == forgetfulContacts)
		if j != i && settled {
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
	if s.restorable {
		s.recoveryTransitions(d, i, add)
	}
	if s.restarts == maxRestarts {
		return
	}
	add(fmt.Sprintf("h%d starts again", i), func(n *modelState) string {
		n.restarts++
		n.restart(d, i)
		return ""
	})
}

// recoveryTransitions are those of a host that learns of an era, writes its record or
// starts without knowing its promises.
func (s modelState) recoveryTransitions(d defect, i int, add func(string, func(*modelState) string)) {
	h := s.hosts[i]
	switch {
	case !h.settled() && Recovered(s.now, h.unsettledAt):
		add(fmt.Sprintf("h%d has waited", i), func(n *modelState) string {
			a := &n.hosts[i]
			a.unsettledAt = dfclock.Never
			a.voter = a.voter.WithClaim(n.now, n.claim).WithTerm(n.term)
			return ""
		})
	case h.settled() && h.era < s.era:
		add(fmt.Sprintf("h%d learns of the era", i), func(n *modelState) string {
			n.hosts[i].learnEra(d, n.era, n.lowestEpoch)
			return ""
		})
	case h.settled() && h.era > firstEra && h.record.Era < h.era:
		add(fmt.Sprintf("h%d writes its record", i), func(n *modelState) string {
			n.hosts[i].record = Record{Era: h.era, Hosts: modelHosts, Terms: map[string]dfposition.Term{"u": max(h.term, h.voter.term)}}
			return ""
		})
	}
}

// settled reports whether the host knows its promises.
func (h modelHost) settled() bool {
	return h.unsettledAt == dfclock.Never
}

func (h *modelHost) learnEra(d defect, era, lowestEpoch uint64) {
	h.era = era
	if d != lostEpochsAccepted {
		h.voter = h.voter.WithLowestEpoch(lowestEpoch)
	}
}

// restart starts a host again, which keeps only its record in the table.
func (s *modelState) restart(d defect, i int) {
	var records []Record
	for _, h := range s.hosts {
		records = append(records, h.record)
	}
	fresh := modelHost{majorityAt: dfclock.Never, unsettledAt: dfclock.Never, record: s.hosts[i].record}
	fresh.learnEra(d, s.era, s.lowestEpoch)
	hosts := modelHosts
	if d == recordsOfFewHosts {
		hosts = 0
		for n := range records {
			records[n].Hosts = 0
		}
	}
	switch {
	case d == claimsNotRead:
	case RecordsComplete(s.era, hosts, records) || d == lostClaimsIgnored:
		fresh.voter = fresh.voter.WithClaim(s.now, s.claim)
		for _, record := range records {
			fresh.voter = fresh.voter.WithTerm(record.Terms["u"])
		}
	default:
		fresh.unsettledAt = s.now
	}
	s.hosts[i] = fresh
}

// orderDue reports whether an order has to be carried out before more time passes. The
// time that a host waits for lost claims is sufficient only then.
func (s modelState) orderDue() bool {
	for _, o := range s.orders {
		if s.restorable && s.now-o.sentAt >= modelOrderSteps*modelTimeStep {
			return true
		}
	}
	return false
}

func (s modelState) holderTransitions(d defect, i int, add func(string, func(*modelState) string)) {
	h := s.hosts[i]
	if h.notice.Epoch == 0 {
		free := s.claims == 0 || s.claim.Holder == fmt.Sprint("h", i) || s.now-s.claimedAt >= PromiseSpan || d == claimsOverlap
		if s.claims < maxClaims && s.now < h.leaseUntil && free && h.era == s.era {
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
		if h.accepted[j] || !s.hosts[j].settled() {
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
		n.orders = append(n.orders, modelOrder{int(h.notice.Target[0] - '0'), h.notice.Epoch, n.now})
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

// explore visits the states of the model breadth first from a first one and returns the
// shortest trace to a violation, or "". The order is the same in each run.
func explore(first modelState, d defect) (trace string, states int) {
	type visit struct {
		state  modelState
		before int
		name   string
	}
	visits := []visit{{state: first, before: -1}}
	seen := map[string]bool{visits[0].state.key(): true}
	limit := maxStates
	if first.restorable {
		limit = maxLostStates
	}
	for at := 0; at < len(visits) && len(visits) < limit; at++ {
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
	trace, states := explore(newModelState(), none)
	require.Empty(t, trace)
	t.Logf("%d states", states)
}

// Guards against hosts that start again and use a leader although its successor was
// ordered, because the store came back without the claim.
func TestExploreLostClaims(t *testing.T) {
	for name, events := range map[string][]string{
		"ordered by all": orderedByAll, "ordered by two": orderedByTwo, "lost before notices": claimLostBeforeNotices,
	} {
		t.Run(name, func(t *testing.T) {
			trace, states := explore(stateAfter(t, events), none)
			require.Empty(t, trace)
			t.Logf("%d states", states)
		})
	}
}

// Guards against a search of lost claims that can't find violations.
func TestExploreLostClaimsNoticesDefects(t *testing.T) {
	cases := []struct {
		name   string
		defect defect
		events []string
	}{
		{"lost claims ignored", lostClaimsIgnored, orderedByTwo},
		{"records of few hosts", recordsOfFewHosts, orderedByTwo},
		{"contacts with hosts that forgot", forgetfulContacts, orderedByTwo},
		{"epochs of lost claims accepted", lostEpochsAccepted, claimLostBeforeNotices},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			trace, states := explore(stateAfter(t, c.events), c.defect)
			require.NotEmpty(t, trace, "%d states", states)
			t.Logf("%d states\n%s", states, trace)
		})
	}
}

// Guards against a search that can't find violations: without any one of the
// mechanisms it has to find one.
func TestExploreNoticesDefects(t *testing.T) {
	for name, d := range map[string]defect{
		"lease ignored": leaseIgnored, "confirmation not awaited": confirmationNotAwaited,
		"claims overlap": claimsOverlap, "claims not read": claimsNotRead,
	} {
		t.Run(name, func(t *testing.T) {
			trace, states := explore(newModelState(), d)
			require.NotEmpty(t, trace, "%d states", states)
			t.Logf("%d states\n%s", states, trace)
		})
	}
}
