package dfplace

import (
	"math/rand/v2"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfpace"
	"dragonflygrade/dfreport"
)

// The played load follows docs/design/load.md: upstreams of 4 slots and a queue of 32,
// reads of 18 ms on average that are expected within 250 ms and given up after 2.5 s.
const (
	playSlots       = 4
	playQueue       = 32
	playServiceTime = 18.0
	playTarget      = 250 * dfclock.Millisecond
	playTimeout     = 2500 * dfclock.Millisecond
	// playWaitPercent is the part of the target latency that the expected wait may
	// take, as in dfedge.
	playWaitPercent = 60
	playRetries     = 2
	playRetryDelay  = 15 * dfclock.Millisecond
	// playCapacity is the number of statements per second of a warm upstream.
	playCapacity = playSlots * 1000 / playServiceTime
)

// playUpstream simulates an upstream in virtual time.
type playUpstream struct {
	id      dffleet.ID
	running []*playRequest
	queue   []*playRequest
	// down, hangs and failShare are the faults in force.
	down      bool
	hangs     bool
	failShare float64
	slowdown  float64
	// startedAt and coldFactor give the cold phase of coldSpan: statements take
	// coldFactor times as long at its begin, and as long as usual at its end.
	startedAt  dfclock.Millis
	coldFactor float64
	coldSpan   dfclock.Millis
	// arrived, done, failed and refused count by second, and borne is the number of
	// statements that the upstream could have run.
	arrived, done, failed, refused map[dfclock.Millis]int
	borne                          map[dfclock.Millis]float64
	failures                       []dfclock.Millis
}

func newPlayUpstream(id dffleet.ID) *playUpstream {
	return &playUpstream{
		id: id, slowdown: 1, coldFactor: 1, coldSpan: 1,
		arrived: map[dfclock.Millis]int{}, done: map[dfclock.Millis]int{}, failed: map[dfclock.Millis]int{},
		refused: map[dfclock.Millis]int{}, borne: map[dfclock.Millis]float64{},
	}
}

// factor is by how much longer a statement takes than usual.
func (u *playUpstream) factor(now dfclock.Millis) float64 {
	age := float64(now-u.startedAt) / float64(u.coldSpan)
	return u.slowdown * max(1, u.coldFactor-(u.coldFactor-1)*age)
}

// playRequest is one read or write.
type playRequest struct {
	host      *playHost
	writes    bool
	arrivedAt dfclock.Millis
	deadline  dfclock.Millis
	dueAt     dfclock.Millis
	retries   int
	attempts  int
	avoid     []dffleet.ID
	upstream  *playUpstream
	sentAt    dfclock.Millis
	doneAt    dfclock.Millis
	// lostAt is when the host gives up on the answer.
	lostAt dfclock.Millis
	over   bool
	// carrier is the one that it was sent to, or nil. id is its number there, and
	// queued is true until it is sent to the upstream.
	carrier *playCarrier
	id      uint64
	queued  bool
	// refusedFor is the retry-after time of the last refusal for lack of capacity, or 0.
	refusedFor dfclock.Millis
	// admitBy is when the wait for capacity has taken its part of the target latency.
	admitBy dfclock.Millis
}

// playHost is one host.
type playHost struct {
	selector *Selector
	rate     float64
	// failed counts failures of c, and reads and readsAtC the reads from 1 s after the
	// tenth of them on.
	failed        int
	tenthFailedAt dfclock.Millis
	// carriers has the carriers of each upstream that the host uses, or none.
	carriers        map[dffleet.ID][]*playCarrier
	reads, readsAtC int
}

// play is one simulation.
type play struct {
	random    *rand.Rand
	now       dfclock.Millis
	hosts     []*playHost
	upstreams []*playUpstream
	carriers  []*playCarrier
	listed    []dffleet.Upstream
	leader    dffleet.ID
	waiting   []*playRequest
	open      []*playRequest
	// readRate and writeRate are per second, over all hosts.
	readRate, writeRate float64
	// requests, onTime, late, refused and expired count reads and writes.
	requests, onTime, late, refused, expired int
	writesOnTime, writes                     int
	// mostAside is the largest number of upstreams that one host had set aside.
	mostAside int
	setAside  int
	onEvent   func(dfpace.Event)
	paced     int
}

// newPlay returns a play of three upstreams. A tenth of the hosts serve half of the
// callers.
func newPlay(seed uint64, hosts int, growth dfpace.Growth, readRate, writeRate float64) *play {
	return newPlayWithChoice(seed, hosts, growth, Weighted{}, readRate, writeRate)
}

func newPlayWithChoice(seed uint64, hosts int, growth dfpace.Growth, choice Choice, readRate, writeRate float64) *play {
	p := &play{random: rand.New(rand.NewPCG(seed, 1)), leader: "a", readRate: readRate, writeRate: writeRate}
	for _, id := range []dffleet.ID{"a", "b", "c"} {
		p.upstreams = append(p.upstreams, newPlayUpstream(id))
		p.listed = append(p.listed, dffleet.Upstream{ID: id})
	}
	big := (hosts + 9) / 10
	for i := range hosts {
		h := &playHost{selector: NewWithReports(dfpace.New(growth, p.random.Float64), choice, p.random.Float64), rate: 0.5 / float64(max(1, hosts-big))}
		if i < big {
			h.rate = 0.5 / float64(big)
		}
		if hosts == 1 {
			h.rate = 1
		}
		h.selector.SetHosts(hosts)
		for _, u := range p.upstreams {
			h.selector.Put(u.id, true, playSlots)
		}
		h.selector.SetLeader(0, p.leader, false)
		p.hosts = append(p.hosts, h)
	}
	p.addCarriers()
	return p
}

func (p *play) find(id dffleet.ID) *playUpstream {
	for _, u := range p.upstreams {
		if u.id == id {
			return u
		}
	}
	return nil
}

// runUntil runs the load until the given time.
func (p *play) runUntil(end dfclock.Millis) {
	for ; p.now < end; p.now++ {
		for _, u := range p.upstreams {
			p.tickUpstream(u)
		}
		for _, c := range p.carriers {
			p.advanceCarrier(c)
		}
		p.dropLost()
		p.arrive(p.readRate, false)
		p.arrive(p.writeRate, true)
		waiting := p.waiting
		p.waiting = nil
		for _, r := range waiting {
			p.plan(r)
		}
		p.observe()
	}
}

func (p *play) arrive(rate float64, writes bool) {
	for n := p.poisson(rate / 1000); n > 0; n-- {
		r := &playRequest{host: p.pickHost(), writes: writes, arrivedAt: p.now, deadline: p.now + playTimeout, admitBy: p.now + playTarget*playWaitPercent/100}
		p.requests++
		if writes {
			p.writes++
		}
		p.waiting = append(p.waiting, r)
	}
}

func (p *play) poisson(mean float64) int {
	count := 0
	for sum := p.random.ExpFloat64(); sum < mean; sum += p.random.ExpFloat64() {
		count++
	}
	return count
}

func (p *play) pickHost() *playHost {
	at := p.random.Float64()
	for _, h := range p.hosts {
		if at -= h.rate; at < 0 {
			return h
		}
	}
	return p.hosts[0]
}

func (p *play) observe() {
	second := p.now / dfclock.Second
	for _, u := range p.upstreams {
		if !u.down {
			u.borne[second] += playSlots / (playServiceTime * u.factor(p.now))
		}
	}
	for _, h := range p.hosts {
		for _, event := range h.selector.Events() {
			if p.onEvent != nil {
				p.onEvent(event)
			}
			switch event.(type) {
			case dfpace.SetAside:
				p.setAside++
			case dfpace.Paced:
				p.paced++
			}
		}
		if p.now%50 != 0 {
			continue
		}
		aside := 0
		for _, u := range p.upstreams {
			if h.selector.pace.IsAside(p.now, u.id) {
				aside++
			}
		}
		p.mostAside = max(p.mostAside, aside)
	}
}

// plan does what dfedge's planRead and planLeader do.
func (p *play) plan(r *playRequest) {
	if p.now < r.dueAt {
		p.waiting = append(p.waiting, r)
		return
	}
	if p.now >= r.deadline || r.attempts >= 6 {
		p.expired++
		return
	}
	s := r.host.selector
	var id dffleet.ID
	if r.writes {
		id = p.leader
		delay := max(s.AvailableIn(p.now, id), s.PaceDelay(p.now, id))
		if id == "" {
			delay = 1
		}
		if delay > 0 {
			p.wait(r, delay)
			return
		}
	} else {
		var ok bool
		if id, ok = s.SelectForRead(p.now, Requirement{}, p.listed, p.leader, r.avoid); !ok {
			if r.refusedFor > 0 {
				p.refusedAtCarriers(r, r.refusedFor)
				return
			}
			r.avoid = nil
			p.wait(r, playRetryDelay)
			return
		}
	}
	if wait := s.ExpectedWait(p.now, id); len(p.carriers) == 0 && wait > playTarget*playWaitPercent/100 {
		p.refuse(r, wait-playTarget*playWaitPercent/100)
		return
	}
	s.Admit(p.now, id)
	p.send(r, p.find(id))
}

func (p *play) wait(r *playRequest, delay dfclock.Millis) {
	r.dueAt = p.now + delay
	p.waiting = append(p.waiting, r)
}

func (p *play) refuse(r *playRequest, retryAfter dfclock.Millis) {
	r.retries++
	if r.retries > playRetries {
		p.refused++
		return
	}
	p.wait(r, retryAfter+dfclock.Millis(p.random.IntN(50)))
}

func (p *play) send(r *playRequest, u *playUpstream) {
	s := r.host.selector
	r.attempts++
	r.upstream, r.sentAt, r.over = u, p.now, false
	s.Enqueue(u.id)
	s.Start(u.id)
	r.lostAt = p.now + max(300, 6*s.ExpectedWait(p.now, u.id))
	r.refusedFor = 0
	if h := r.host; h.failed >= 10 && p.now >= h.tenthFailedAt+dfclock.Second {
		h.reads++
		if u.id == "c" {
			h.readsAtC++
		}
	}
	if carriers := r.host.carriers[u.id]; len(carriers) > 0 {
		p.carry(r, carriers[p.random.IntN(len(carriers))])
		return
	}
	p.arriveAt(r, u)
}

// arriveAt sends a request to an upstream.
func (p *play) arriveAt(r *playRequest, u *playUpstream) {
	u.arrived[p.now/dfclock.Second]++
	switch {
	case u.down:
		p.lose(r, u)
	case len(u.queue) >= playQueue:
		u.refused[p.now/dfclock.Second]++
		p.end(r)
		p.report(r, dfreport.Nothing)
		r.host.selector.RecordQueueFull(p.now, u.id)
		p.again(r)
	default:
		u.queue = append(u.queue, r)
		p.open = append(p.open, r)
	}
}

// lose ends an attempt whose connection to the upstream is lost, or that is not answered
// in time.
func (p *play) lose(r *playRequest, u *playUpstream) {
	p.end(r)
	u.failures = append(u.failures, p.now)
	r.host.selector.RecordConnectionLost(p.now, u.id)
	p.report(r, dfreport.Lost)
	p.again(r)
}

// end ends an attempt.
func (p *play) end(r *playRequest) {
	r.over = true
	r.host.selector.Finish(r.upstream.id)
}

// again sends a request elsewhere, or later.
func (p *play) again(r *playRequest) {
	if r.writes {
		p.wait(r, playRetryDelay)
		return
	}
	r.avoid = append(r.avoid, r.upstream.id)
	p.wait(r, 1)
}

func (p *play) dropLost() {
	kept := p.open[:0]
	for _, r := range p.open {
		if r.over {
			continue
		}
		if p.now >= min(r.lostAt, r.deadline) {
			p.end(r)
			r.upstream.failures = append(r.upstream.failures, p.now)
			r.host.selector.RecordConnectionLost(p.now, r.upstream.id)
			p.report(r, dfreport.Lost)
			// The upstream runs it to its end for nobody.
			next := &playRequest{host: r.host, writes: r.writes, arrivedAt: r.arrivedAt, deadline: r.deadline, retries: r.retries, attempts: r.attempts, avoid: r.avoid, upstream: r.upstream, admitBy: r.admitBy}
			p.again(next)
			continue
		}
		kept = append(kept, r)
	}
	p.open = kept
}

func (p *play) tickUpstream(u *playUpstream) {
	if u.down {
		for _, r := range append(u.running, u.queue...) {
			if !r.over {
				p.lose(r, u)
			}
		}
		u.running, u.queue = nil, nil
		return
	}
	if u.hangs {
		return
	}
	unfinished := u.running[:0]
	for _, r := range u.running {
		if p.now < r.doneAt {
			unfinished = append(unfinished, r)
			continue
		}
		p.answer(u, r)
	}
	u.running = unfinished
	for len(u.running) < playSlots && len(u.queue) > 0 {
		r := u.queue[0]
		u.queue = u.queue[1:]
		// Statements take between half and one and a half of the mean.
		length := playServiceTime * (0.5 + p.random.Float64()) * u.factor(p.now)
		r.doneAt = p.now + max(1, dfclock.Millis(length+p.random.Float64()))
		u.running = append(u.running, r)
	}
}

func (p *play) answer(u *playUpstream, r *playRequest) {
	second := p.now / dfclock.Second
	u.done[second]++
	if r.over {
		return
	}
	p.end(r)
	if p.random.Float64() < u.failShare {
		u.failed[second]++
		u.failures = append(u.failures, p.now)
		if r.host.failed++; r.host.failed == 10 {
			r.host.tenthFailedAt = p.now
		}
		r.host.selector.RecordStatementFailure(p.now, u.id)
		p.report(r, dfreport.Failed)
		p.again(r)
		return
	}
	if r.carrier == nil {
		r.host.selector.RecordAnswer(p.now, u.id, p.now-r.sentAt)
	} else {
		r.host.selector.RecordCarriedAnswer(p.now, u.id, p.now-r.sentAt)
	}
	p.report(r, dfreport.Good)
	switch latency := p.now - r.arrivedAt; {
	case latency <= playTarget:
		p.onTime++
		if r.writes {
			p.writesOnTime++
		}
	default:
		p.late++
	}
}

// restart makes an upstream new to every host, as a new incarnation in the list does.
func (p *play) restart(u *playUpstream, coldFactor float64, coldSpan dfclock.Millis) {
	u.down, u.startedAt, u.coldFactor, u.coldSpan = false, p.now, coldFactor, coldSpan
	for _, c := range p.carriers {
		if c.upstream == u {
			c.recorder = dfreport.NewRecorder(p.now, p.random.Uint32())
		}
	}
	for _, h := range p.hosts {
		h.selector.Remove(u.id)
		h.selector.Put(u.id, true, playSlots)
		h.nameCarriers(u)
		h.selector.StartPace(p.now, u.id)
	}
}
