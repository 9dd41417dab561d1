package dfroute

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfsession"
)

// Size and timing of the simulated group.
const (
	simHosts     = 5
	simSlots     = 3
	simCallers   = 8
	simHostLease = 2 * dfclock.Second
	simEnd       = 12 * dfclock.Second
)

// fault is a protocol fault that is injected to show that the checks detect it.
type fault int

const (
	faultNone fault = iota
	// faultIgnorePeerAnswers acknowledges writes before the peers allow it.
	faultIgnorePeerAnswers
	// faultOverstateApplied reports flushed writes as applied.
	faultOverstateApplied
	// faultDropFloor discards the barrier position in a holder's knowledge.
	faultDropFloor
)

type simEvent struct {
	at   dfclock.Millis
	seq  int
	host *simHost
	run  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simUpstream is an upstream with a log and replication lag.
type simUpstream struct {
	id       dfgroup.UpstreamID
	log      []int
	applied  int
	history  dfposition.History
	accepted dfposition.Term
	// actor is the promotion that won the accepted term. No other can win it.
	actor             int
	role              dfgroup.Role
	following         *simUpstream
	partitionedUntil  dfclock.Millis
	applyStalledUntil dfclock.Millis
	// minEpochs has, by slot, the lowest epoch whose connections are not terminated.
	minEpochs [simSlots]uint64
}

type simSlot struct {
	host      *simHost
	peer      dfsession.Peer
	renewedAt dfclock.Millis
}

type simWrite struct {
	caller  int
	id      int
	ackedAt dfclock.Millis
}

// sim simulates the routing of several hosts in virtual time.
type sim struct {
	random       *rand.Rand
	fault        fault
	now          dfclock.Millis
	queue        simQueue
	seq          int
	upstreams    []*simUpstream
	hosts        []*simHost
	slots        [simSlots]simSlot
	acknowledged []simWrite
	// tokens and lastAcknowledgedID have, by caller, the position and the ID of its
	// last write whose acknowledgement arrived.
	tokens             [simCallers]dfposition.Position
	lastAcknowledgedID [simCallers]int
	lastID             int
	tableAvailable     bool
	rungs              [RungPrimary + 1]int
	replicaReads       int
	refusedReads       int
	violations         []string
}

func newSim(seed uint64, fault fault) *sim {
	s := &sim{random: rand.New(rand.NewPCG(seed, 7)), fault: fault, now: 1, tableAvailable: true}
	for i := range 3 {
		start, _ := dfposition.NewHistory(dfposition.Start{Term: 1})
		s.upstreams = append(s.upstreams, &simUpstream{
			id: dfgroup.UpstreamID(fmt.Sprintf("u%d", i)), history: start, accepted: 1, role: dfgroup.RoleReplica,
		})
	}
	s.upstreams[0].role = dfgroup.RolePrimary
	for _, u := range s.upstreams[1:] {
		u.following = s.upstreams[0]
		s.every(nil, 8, func() { s.replicate(u) })
	}
	s.every(nil, 8, func() { s.replicate(s.upstreams[0]) })
	for i := range simHosts {
		s.hosts = append(s.hosts, newSimHost(s, i))
	}
	s.every(nil, 15, s.issueRequest)
	s.every(nil, 2500, s.promote)
	s.every(nil, 700, s.injectFault)
	return s
}

func (s *sim) run() {
	for len(s.queue) > 0 {
		event := heap.Pop(&s.queue).(simEvent)
		s.now = max(s.now, event.at)
		if s.now > simEnd {
			return
		}
		if host := event.host; host != nil {
			if host.dead {
				continue
			}
			if s.now < host.pausedUntil {
				event.at = host.pausedUntil
				heap.Push(&s.queue, event)
				continue
			}
		}
		event.run()
	}
}

// after schedules an event on a host. Events with a nil host are not affected by
// pauses and crashes.
func (s *sim) after(host *simHost, delay dfclock.Millis, run func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{at: s.now + delay, seq: s.seq, host: host, run: run})
}

func (s *sim) every(host *simHost, interval dfclock.Millis, run func()) {
	s.after(host, 1+dfclock.Millis(s.random.Int64N(int64(interval))), func() {
		run()
		s.every(host, interval, run)
	})
}

// send delivers a message with a random delay, so that messages may be reordered,
// or drops it.
func (s *sim) send(to *simHost, run func()) {
	delay := dfclock.Millis(1 + s.random.IntN(12))
	switch s.random.IntN(40) {
	case 0:
		return
	case 1:
		delay += dfclock.Millis(s.random.IntN(400))
	}
	s.after(to, delay, run)
}

func (s *sim) chanceOneIn(n int) bool { return s.random.IntN(n) == 0 }

func (s *sim) randomDuration(limit dfclock.Millis) dfclock.Millis {
	return dfclock.Millis(s.random.Int64N(int64(limit)))
}

func (u *simUpstream) partitioned(now dfclock.Millis) bool { return now < u.partitionedUntil }

func (u *simUpstream) status() dfgroup.Status {
	return dfgroup.Status{
		Upstream: u.id, Role: u.role, Accepted: u.accepted, LogTerm: u.history.Last(), History: u.history,
		Flushed: dfposition.Offset(len(u.log)), Applied: dfposition.Offset(u.applied),
	}
}

// replicate copies a part of the primary's log to a replica and applies a part of
// the replica's log.
func (s *sim) replicate(u *simUpstream) {
	if u.role == dfgroup.RolePrimary {
		u.applied = len(u.log)
		return
	}
	p := u.following
	if p != nil && p.role == dfgroup.RolePrimary && p.accepted == u.accepted && !p.partitioned(s.now) && !u.partitioned(s.now) {
		end := min(len(p.log), len(u.log)+s.random.IntN(12))
		u.log = append(u.log[:len(u.log):len(u.log)], p.log[len(u.log):end]...)
		u.history = p.history.WithTruncation(dfposition.Offset(end))
	}
	if s.now >= u.applyStalledUntil {
		u.applied = min(len(u.log), u.applied+s.random.IntN(4))
	}
}

// promote fences a majority and promotes the upstream in it with the more complete
// log.
func (s *sim) promote() {
	term := dfposition.Term(1)
	for _, u := range s.upstreams {
		term = max(term, u.accepted+1)
	}
	s.seq++
	actor := s.seq
	order := s.random.Perm(3)
	fenced := []*simUpstream{s.upstreams[order[0]], s.upstreams[order[1]]}
	for _, u := range fenced {
		s.after(nil, s.randomDuration(30), func() {
			if term > u.accepted {
				u.accepted, u.actor, u.role, u.following = term, actor, dfgroup.RoleFenced, nil
			}
		})
	}
	s.after(nil, 40, func() {
		best, other := fenced[0], fenced[1]
		if best.actor != actor || other.actor != actor {
			return
		}
		log := func(u *simUpstream) dfposition.LogEnd {
			return dfposition.LogEnd{LastTerm: u.history.Last(), End: dfposition.Offset(len(u.log))}
		}
		if log(best).Less(log(other)) {
			best, other = other, best
		}
		best.history, _ = best.history.WithTerm(term, dfposition.Offset(len(best.log)))
		best.role, best.applied = dfgroup.RolePrimary, len(best.log)
		s.after(nil, s.randomDuration(300), func() { other.follow(best) })
		s.after(nil, s.randomDuration(1500), func() { s.upstreams[order[2]].follow(best) })
	})
}

// follow makes u a replica of p and truncates the log tail that p lacks.
func (u *simUpstream) follow(p *simUpstream) {
	if p.role != dfgroup.RolePrimary || p.accepted < u.accepted || p == u {
		return
	}
	common := 0
	for common < len(u.log) && common < len(p.log) && u.log[common] == p.log[common] {
		common++
	}
	u.log, u.applied = u.log[:common:common], min(u.applied, common)
	u.history = p.history.WithTruncation(dfposition.Offset(common))
	u.accepted, u.actor, u.role, u.following = p.accepted, p.actor, dfgroup.RoleReplica, p
}

// injectFault starts a random fault of a host, an upstream or the table, or
// releases a host's slot.
func (s *sim) injectFault() {
	host := s.hosts[s.random.IntN(simHosts)]
	upstream := s.upstreams[s.random.IntN(3)]
	switch s.random.IntN(8) {
	case 0, 1:
		host.pausedUntil = s.now + s.randomDuration(3000)
	case 2:
		alive := 0
		for _, h := range s.hosts {
			if !h.dead {
				alive++
			}
		}
		host.dead = alive > simSlots
	case 3:
		upstream.partitionedUntil = s.now + s.randomDuration(1500)
	case 4, 5:
		upstream.applyStalledUntil = s.now + s.randomDuration(2000)
	case 6:
		s.tableAvailable = false
		s.after(nil, s.randomDuration(2500), func() { s.tableAvailable = true })
	case 7:
		host.release()
	}
}
