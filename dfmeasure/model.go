package dfmeasure

import (
	"fmt"
	"math/rand/v2"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfroute"
	"dragonflygrade/dfsession"
)

// Policy decides where reads run.
type Policy int

// Policies of the table.
const (
	// Ours is the read ladder.
	Ours Policy = iota
	// OursWithTokens is the read ladder with callers that present tokens.
	OursWithTokens
	// PrimaryOnly sends every read to the primary.
	PrimaryOnly
	// Sticky reads at the primary for a fixed time after a caller's write and
	// at a random replica otherwise. Writes are known to all hosts at once,
	// which favours it.
	Sticky
	// WaitForReplica waits until a random replica has the caller's last write.
	WaitForReplica
)

var policyNames = [...]string{"ladder", "ladder with tokens", "primary only", "sticky for 2 s", "wait for replica"}

// String names the policy.
func (p Policy) String() string {
	return policyNames[p]
}

// result is what becomes of one read.
type result struct {
	arrivedAt dfclock.Millis
	own       int
	class     Class
	rung      int
	replica   bool
	local     bool
}

// Counts are the figures of one run.
type Counts struct {
	Reads        int
	ReplicaReads int
	LocalReads   int
	StaleReads   int
	Refused      int
	Writes       int
	// Rungs counts reads by the rung that decided; index 0 is unused by the ladder.
	Rungs [dfroute.RungPrimary + 1]int
	// DelaySum and DelayMax are the spans from arrival at the executing host
	// until the statement reached an upstream.
	DelaySum dfclock.Millis
	DelayMax dfclock.Millis
}

// ReplicaShare returns the share of reads that replicas served. A refused read
// counts as not served by a replica.
func (c Counts) ReplicaShare() float64 {
	return c.share(c.ReplicaReads)
}

func (c Counts) share(count int) float64 {
	if c.Reads+c.Refused == 0 {
		return 0
	}
	return float64(count) / float64(c.Reads+c.Refused)
}

func (c *Counts) read(m *model, result *result, seen int) {
	if result.arrivedAt < warmUp {
		return
	}
	c.Reads++
	c.Rungs[result.rung]++
	if result.replica {
		c.ReplicaReads++
	}
	if result.local {
		c.LocalReads++
	}
	if m.group.stale(seen, result.own, result.arrivedAt, result.class.MaxAge) {
		c.StaleReads++
	}
	delay := m.time.now - result.arrivedAt
	c.DelaySum += delay
	c.DelayMax = max(c.DelayMax, delay)
}

func (c *Counts) refuse(result *result) {
	if result.arrivedAt >= warmUp {
		c.Refused++
	}
}

// model is one database of a deployment under one policy.
type model struct {
	seed       uint64
	deployment Deployment
	policy     Policy
	time       *timeline
	group      *group
	holders    []*holder
	tokens     []dfposition.Position
	wroteAt    []dfclock.Millis
	counts     *Counts
	// arrivals draws requests, so that every policy gets the same ones.
	arrivals *rand.Rand
}

// Run measures one cell of the table: a deployment under a policy at a lag, for
// a span of virtual time after the warm-up.
func Run(deployment Deployment, policy Policy, lag, span dfclock.Millis, seed uint64) (Counts, error) {
	m := &model{
		seed: seed, deployment: deployment, policy: policy, time: newTimeline(seed), counts: &Counts{},
		arrivals: rand.New(rand.NewPCG(seed, 1000)),
		tokens:   make([]dfposition.Position, deployment.Callers),
		wroteAt:  make([]dfclock.Millis, deployment.Callers),
	}
	group, err := newGroup(m.time, lag)
	if err != nil {
		return Counts{}, err
	}
	m.group = group
	for i := range deployment.Slots {
		m.holders = append(m.holders, newHolder(m, i))
	}
	for _, h := range m.holders {
		h.begin()
	}
	m.time.after(dfclock.Second, m.arrive)
	m.time.run(warmUp + span)
	return *m.counts, nil
}

// send delivers a message between data centres.
func (m *model) send(from, to int, run func()) {
	span := within
	if from != to {
		span = m.deployment.Between
	}
	m.time.after(span+dfclock.Millis(m.time.source.Int64N(int64(jitter)+1)), run)
}

func (m *model) hash(caller int) dfsession.Caller {
	return dfsession.CallerOf("orders", fmt.Sprint(caller))
}

// arrive lets a random caller send a request to a random host, which passes it
// to the slot holder next to it.
func (m *model) arrive() {
	mean := float64(dfclock.Second) / float64(m.deployment.Rate)
	m.time.after(dfclock.Millis(m.arrivals.ExpFloat64()*mean), m.arrive)
	caller, class := m.arrivals.IntN(m.deployment.Callers), m.draw()
	host := m.arrivals.IntN(m.deployment.Hosts)
	if host < len(m.holders) {
		m.request(m.holders[host], caller, class)
		return
	}
	near := m.holders[host%dataCentres]
	m.send(host%dataCentres, near.dataCentre, func() { m.request(near, caller, class) })
}

func (m *model) draw() Class {
	rest := m.arrivals.Float64()
	for _, class := range m.deployment.Mix {
		if rest -= class.Share; rest < 0 {
			return class
		}
	}
	return m.deployment.Mix[0]
}

func (m *model) request(h *holder, caller int, class Class) {
	if class.Write {
		if m.time.now >= warmUp {
			m.counts.Writes++
		}
		m.wroteAt[caller] = m.time.now
		h.write(caller)
		return
	}
	switch m.policy {
	case Ours, OursWithTokens:
		h.read(caller, class, m.policy == OursWithTokens)
	case PrimaryOnly:
		m.plain(h, caller, class, m.group.primary())
	case Sticky:
		if wrote := m.wroteAt[caller]; wrote > 0 && m.time.now < wrote+stickySpan {
			m.plain(h, caller, class, m.group.primary())
			return
		}
		m.plain(h, caller, class, m.anyReplica())
	case WaitForReplica:
		m.waitFor(h, caller, class)
	}
}

func (m *model) anyReplica() *upstream {
	return m.group.upstreams[1+m.time.source.IntN(dataCentres-1)]
}

// plain reads at an upstream without a check.
func (m *model) plain(h *holder, caller int, class Class, u *upstream) {
	result := &result{
		arrivedAt: m.time.now, own: m.group.own(caller), class: class,
		replica: !u.primary, local: u.dataCentre == h.dataCentre,
	}
	m.send(h.dataCentre, u.dataCentre, func() { m.counts.read(m, result, m.group.see(u)) })
}

// waitFor reads at a replica once it has the caller's last write.
func (m *model) waitFor(h *holder, caller int, class Class) {
	u, own := m.anyReplica(), m.group.own(caller)
	result := &result{arrivedAt: m.time.now, own: own, class: class, replica: true, local: u.dataCentre == h.dataCentre}
	var attempt func()
	attempt = func() {
		seen := m.group.see(u)
		switch {
		case seen >= own:
			m.counts.read(m, result, seen)
		case m.time.now >= result.arrivedAt+requestSpan:
			m.counts.refuse(result)
		default:
			m.time.after(1, attempt)
		}
	}
	m.send(h.dataCentre, u.dataCentre, attempt)
}
