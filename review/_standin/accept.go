package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Sizes of the deployment of the case: sessions and descriptors of the sheet of the site
// volplata-pool-grown, of whose hosts all but two are lost.
const (
	// openSessions is how many sessions stand open.
	openSessions = 3960
	// maxDescriptors is max-file-descriptors of the smallest machine. The process may use
	// all of it for sockets here.
	maxDescriptors = 3010
	recoverySpan   = 15 * time.Second
	killedFor      = 3500 * time.Millisecond
	// sessionLife is the mean time from the opening of a session to its end.
	sessionLife = 9 * time.Second
	// timeBudget is the time of an operation with its retries.
	timeBudget = 3 * time.Second
	// observedFor is how long operations are counted after recovery-s.
	observedFor = 12 * time.Second
)

// ingress stands in for the platform's address: it chooses the host of a new connection.
type ingress struct {
	mu    sync.Mutex
	hosts []*host
	// misses counts the readiness checks in a row that a host has missed.
	misses map[*host]int
}

func (n *ingress) check(stop chan struct{}) {
	for {
		for _, h := range n.hosts {
			ready := h.ready()
			n.mu.Lock()
			if ready {
				n.misses[h] = 0
			} else {
				n.misses[h]++
			}
			n.mu.Unlock()
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// rotation returns the hosts that get new connections: those without two misses, or all.
func (n *ingress) rotation() []*host {
	n.mu.Lock()
	defer n.mu.Unlock()
	var hosts []*host
	for _, h := range n.hosts {
		if n.misses[h] < 2 {
			hosts = append(hosts, h)
		}
	}
	if len(hosts) == 0 {
		return n.hosts
	}
	return hosts
}

// choose returns the host of a client's connection. Retries reach other hosts.
func (n *ingress) choose(client, try int) *host {
	hosts := n.rotation()
	return hosts[(client+try)%len(hosts)]
}

// phase counts the operations of a part of the run, and how many were served.
type phase struct{ sent, served atomic.Int64 }

// runAccept kills one of two hosts for a moment. All sessions reconnect to the other one,
// which has too few descriptors for them.
func runAccept(s setting) (verdict, error) {
	r := s.record
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < 5500 {
		return notRun, fmt.Errorf("the script needs 5500 descriptors, it has %d", limit.Cur)
	}
	platform, err := newStore(r, s.address(0, 1)+":0")
	if err != nil {
		return notRun, err
	}
	defer platform.server.Close()
	g := newGroup(platform, "orders", 5)
	zones := []string{"north", "south"}
	for i := range 3 {
		if _, err := g.start(fmt.Sprintf("i-%d", i+1), zones[i%2], s.address(1, i+1), 5, i == 0); err != nil {
			return notRun, err
		}
	}
	platform.put("op", "config", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "r1", "host": "lookups", "prefix": "/", "kind": "bounded_staleness", "timeout-ms": 2000, "target-latency-ms": 600,
			"priority": 2, "service": "orders", "max-attempts": 2, "max-staleness-ms": 1500,
		}},
		"services": []map[string]any{{"name": "orders", "max-connections": 74, "sync-replicas": 0}},
		"limits":   map[string]any{"transaction-idle-ms": 3000},
	})
	var hosts []*host
	for i, zone := range zones {
		hosts = append(hosts, &host{
			record: r, program: s.program, dir: s.dir, name: "frontend-" + zone + "-1", zone: zone, ip: s.address(2, i+1),
			settings:         settings{descriptors: maxDescriptors, memoryMB: 284, stableMs: 5000, drainMs: 10000, recoveryS: 15, configMs: 5000},
			limitDescriptors: true,
		})
	}
	for _, h := range hosts {
		if err := h.writeSettings(platform, zones, hosts); err != nil {
			return notRun, err
		}
		if err := h.start(); err != nil {
			return notRun, err
		}
		defer h.kill()
	}
	time.Sleep(3 * time.Second)
	for _, h := range hosts {
		if !h.ready() {
			return notRun, fmt.Errorf("%s is not ready", h.name)
		}
	}
	stop := make(chan struct{})
	balancer := &ingress{hosts: hosts, misses: map[*host]int{}}
	go balancer.check(stop)
	before, after := &phase{}, &phase{}
	var current atomic.Pointer[phase]
	var sessions sync.WaitGroup
	for i := range openSessions {
		sessions.Go(func() {
			// The sessions of the clients begin one after the other.
			pause(stop, time.Duration(i)*sessionLife/openSessions)
			live(r, i, balancer, &current, stop)
		})
	}
	peak := &peaks{most: map[*host]int{}}
	go peak.watch(hosts, stop)
	describe := func(when string) {
		for _, h := range hosts {
			r.say("%s: %s has %d descriptors of %d (at most %d so far), ready %v",
				when, h.name, h.descriptors(), maxDescriptors, peak.of(h), h.ready())
		}
	}
	time.Sleep(sessionLife + 2*time.Second)
	current.Store(before)
	time.Sleep(4 * time.Second)
	current.Store(nil)
	describe("before")
	if s.trouble {
		hosts[0].kill()
		r.say("%s is killed for %s", hosts[0].name, killedFor)
		time.Sleep(killedFor)
		describe("meanwhile")
		if err := hosts[0].start(); err != nil {
			return notRun, err
		}
	}
	time.Sleep(recoverySpan)
	describe("recovery-s after the host is back")
	current.Store(after)
	time.Sleep(observedFor)
	current.Store(nil)
	describe("at the end")
	silent, asked := askEach(r, hosts)
	close(stop)
	sessions.Wait()
	share := func(p *phase) float64 { return float64(p.served.Load()) / float64(max(1, p.sent.Load())) }
	r.say("operations served before the fault: %d of %d (%.3f)", before.served.Load(), before.sent.Load(), share(before))
	r.say("operations served later than recovery-s after the host was back: %d of %d (%.3f)", after.served.Load(), after.sent.Load(), share(after))
	r.say("new sessions to hosts that are ready and got no READY within 2 s: %d of %d", silent, asked)
	switch {
	case share(before) < 0.9:
		return notRun, fmt.Errorf("the deployment does not serve its load")
	case share(after) < 0.25 || silent > 0:
		return broken, nil
	}
	return held, nil
}

// peaks has the highest number of descriptors of each host so far.
type peaks struct {
	mu   sync.Mutex
	most map[*host]int
}

func (p *peaks) watch(hosts []*host, stop chan struct{}) {
	for {
		for _, h := range hosts {
			open := h.descriptors()
			p.mu.Lock()
			p.most[h] = max(p.most[h], open)
			p.mu.Unlock()
		}
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (p *peaks) of(h *host) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.most[h]
}

// askEach opens sessions to each host that is ready, and counts those without an answer.
func askEach(r *record, hosts []*host) (silent, asked int) {
	for _, h := range hosts {
		if !h.ready() {
			continue
		}
		for range 3 {
			asked++
			c, err := connect(h.callers(), "lookups", "u1")
			r.printf("new session to %s: %v", h.name, err)
			if err != nil {
				silent++
				continue
			}
			c.close()
		}
	}
	return silent, asked
}

func pause(stop chan struct{}, span time.Duration) {
	select {
	case <-stop:
	case <-time.After(span):
	}
}

// live keeps one session after the other open. Each runs an operation as it begins and
// one before it ends.
func live(r *record, number int, balancer *ingress, current *atomic.Pointer[phase], stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		c := operate(r, number, nil, balancer, current)
		if c == nil {
			pause(stop, time.Second)
			continue
		}
		if !c.rest(sessionLife/2 + time.Duration(rand.Int64N(int64(sessionLife)))) {
			// The session ended. Clients reconnect.
			c.close()
			pause(stop, time.Duration(rand.Int64N(int64(time.Second))))
			continue
		}
		if c = operate(r, number, c, balancer, current); c != nil {
			_, _ = fmt.Fprint(c.conn, "TERMINATE\r\n")
			c.close()
		}
	}
}

// operate runs a read over the session, or over a new one if it is nil, with two retries
// within the time budget. It returns the session, or nil if the operation was not served.
func operate(r *record, number int, c *client, balancer *ingress, current *atomic.Pointer[phase]) *client {
	counted := current.Load()
	until := time.Now().Add(timeBudget)
	served := false
	for try := 0; try < 3 && !served && time.Now().Before(until); try++ {
		if c == nil {
			h := balancer.choose(number, try)
			opened, err := connect(h.callers(), "lookups", "u1")
			if err != nil {
				if counted != nil {
					r.printf("client %d, try %d: no session at %s: %v", number, try, h.name, err)
				}
				continue
			}
			c = opened
		}
		id := newID()
		answer, err := c.query(id, "READ 1a4", time.Until(until))
		served = err == nil && len(answer) > 8 && answer[:8] == "COMPLETE"
		if counted != nil {
			r.printf("client %d, try %d: %s: %s %v", number, try, id, answer, err)
		}
		if err != nil {
			c.close()
			c = nil
		}
	}
	if counted != nil {
		counted.sent.Add(1)
		if served {
			counted.served.Add(1)
		}
	}
	if !served && c != nil {
		c.close()
		c = nil
	}
	return c
}
