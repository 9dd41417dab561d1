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

// Shape of the simulated group.
const (
	simHosts     = 5
	simSlots     = 3
	simCallers   = 8
	simHostLease = 2 * dfclock.Second
	simEnd       = 12 * dfclock.Second
)

// fault is put into the protocol on purpose to show that the checks notice it.
type fault int

const (
	faultNone fault = iota
	faultNotify
	faultApplied
	faultFloor
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

// simUpstream is a log with a replication that lags.
type simUpstream struct {
	id       dfgroup.UpstreamID
	log      []int
	applied  int
	history  dfposition.History
	accepted dfposition.Term
	// actor won the accepted term; another one cannot win it too.
	actor     int
	role      dfgroup.Role
	following *simUpstream
	cutUntil  dfclock.Millis
	stalled   dfclock.Millis
	// epochs are the lowest epochs whose connections are not terminated, by slot.
	epochs [simSlots]uint64
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

// sim runs the decisions of several hosts in virtual time.
type sim struct {
	source    *rand.Rand
	fault     fault
	now       dfclock.Millis
	queue     simQueue
	seq       int
	upstreams []*simUpstream
	hosts     []*simHost
	slots     [simSlots]simSlot
	acked     []simWrite
	// tokens and seen are what callers hold: position and number of own writes.
	tokens  [simCallers]dfposition.Position
	seen    [simCallers]int
	lastID  int
	tableUp bool
	rungs   [RungPrimary + 1]int
	replica int
	refused int
	faults  []string
}

func newSim(seed uint64, fault fault) *sim {
	s := &sim{source: rand.New(rand.NewPCG(seed, 7)), fault: fault, now: 1, tableUp: true}
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
	s.every(nil, 15, s.operate)
	s.every(nil, 2500, s.promote)
	s.every(nil, 700, s.disturb)
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

// after runs an event at a host, or anywhere if the host is nil.
func (s *sim) after(host *simHost, span dfclock.Millis, run func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{at: s.now + span, seq: s.seq, host: host, run: run})
}

func (s *sim) every(host *simHost, span dfclock.Millis, run func()) {
	s.after(host, 1+dfclock.Millis(s.source.Int64N(int64(span))), func() {
		run()
		s.every(host, span, run)
	})
}

// send delivers a message late, out of order or not at all.
func (s *sim) send(to *simHost, run func()) {
	delay := dfclock.Millis(1 + s.source.IntN(12))
	switch s.source.IntN(40) {
	case 0:
		return
	case 1:
		delay += dfclock.Millis(s.source.IntN(400))
	}
	s.after(to, delay, run)
}

func (s *sim) chance(oneIn int) bool { return s.source.IntN(oneIn) == 0 }

func (s *sim) span(most dfclock.Millis) dfclock.Millis {
	return dfclock.Millis(s.source.Int64N(int64(most)))
}

func (u *simUpstream) cut(now dfclock.Millis) bool { return now < u.cutUntil }

func (u *simUpstream) status() dfgroup.Status {
	return dfgroup.Status{
		Upstream: u.id, Role: u.role, Accepted: u.accepted, LogTerm: u.history.Last(), History: u.history,
		Flushed: dfposition.Offset(len(u.log)), Applied: dfposition.Offset(u.applied),
	}
}

// replicate copies a part of the primary's log and applies a part of the own one.
func (s *sim) replicate(u *simUpstream) {
	if u.role == dfgroup.RolePrimary {
		u.applied = len(u.log)
		return
	}
	p := u.following
	if p != nil && p.role == dfgroup.RolePrimary && p.accepted == u.accepted && !p.cut(s.now) && !u.cut(s.now) {
		end := min(len(p.log), len(u.log)+s.source.IntN(12))
		u.log = append(u.log[:len(u.log):len(u.log)], p.log[len(u.log):end]...)
		u.history = p.history.WithTruncation(dfposition.Offset(end))
	}
	if s.now >= u.stalled {
		u.applied = min(len(u.log), u.applied+s.source.IntN(4))
	}
}

// promote fences a majority and makes the better log of it the primary.
func (s *sim) promote() {
	term := dfposition.Term(1)
	for _, u := range s.upstreams {
		term = max(term, u.accepted+1)
	}
	s.seq++
	actor := s.seq
	order := s.source.Perm(3)
	fenced := []*simUpstream{s.upstreams[order[0]], s.upstreams[order[1]]}
	for _, u := range fenced {
		s.after(nil, s.span(30), func() {
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
		s.after(nil, s.span(300), func() { other.follow(best) })
		s.after(nil, s.span(1500), func() { s.upstreams[order[2]].follow(best) })
	})
}

// follow cuts the tail that the primary lacks.
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

// disturb puts in one of the faults that may come at any moment.
func (s *sim) disturb() {
	host := s.hosts[s.source.IntN(simHosts)]
	upstream := s.upstreams[s.source.IntN(3)]
	switch s.source.IntN(8) {
	case 0, 1:
		host.pausedUntil = s.now + s.span(3000)
	case 2:
		alive := 0
		for _, h := range s.hosts {
			if !h.dead {
				alive++
			}
		}
		host.dead = alive > simSlots
	case 3:
		upstream.cutUntil = s.now + s.span(1500)
	case 4, 5:
		upstream.stalled = s.now + s.span(2000)
	case 6:
		s.tableUp = false
		s.after(nil, s.span(2500), func() { s.tableUp = true })
	case 7:
		host.release()
	}
}
