package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// leaveHosts is how many hosts there are, and leaving how many of them leave: 0.6.
	leaveHosts = 5
	leaving    = 3
	// leaveGap is the time between two hosts that are told to leave.
	leaveGap = 3 * time.Second
	// powerOff is how long all hosts are without power.
	powerOff = 700 * time.Millisecond
)

// organisationBounds are the bounds of the site swapline-addis-grown.
const organisationBounds = `strict-revocation = false
revoke-timeout-ms = 5000
quota-window-s = 5
quota-overage = 0.1
quota-slack = 20
`

// runLeave lets three of five hosts leave as planned, one after the other, and then all
// that are left lose power once.
func runLeave(s setting) (verdict, error) {
	r := s.record
	platform, err := newStore(r, s.address(0, 1)+":0")
	if err != nil {
		return notRun, err
	}
	defer platform.server.Close()
	g := newGroup(platform, "ledger", 4)
	g.ran = func(b *backend, name, id, text string) { r.printf("%s runs %s %s for %s", b.id, id, text, name) }
	zones := []string{"north", "south", "west"}
	for i, zone := range zones {
		if _, err := g.start(fmt.Sprintf("i-%d", i+1), zone, s.address(1, i+1), 4, i == 0); err != nil {
			return notRun, err
		}
	}
	platform.put("op", "config", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "r1", "host": "lookups", "prefix": "/", "kind": "own_writes", "timeout-ms": 1000, "target-latency-ms": 250,
			"priority": 1, "service": "ledger", "max-attempts": 2, "max-staleness-ms": 2500,
		}},
		"services": []map[string]any{{"name": "ledger", "max-connections": 70, "sync-replicas": 0}},
		"tenants": []map[string]any{
			{"name": "riders", "api-keys": []string{"k-riders"}, "requests-per-s": 400, "burst-size": 100, "priority": 1},
			{"name": "owners", "api-keys": []string{"k-owners"}, "requests-per-s": 200, "burst-size": 50, "priority": 1},
		},
		"limits": map[string]any{"transaction-idle-ms": 3000},
	})
	var hosts []*host
	for i := range leaveHosts {
		zone := zones[i%len(zones)]
		hosts = append(hosts, &host{
			record: r, program: s.program, dir: s.dir, name: fmt.Sprintf("frontend-%s-%d", zone, i/len(zones)+1), zone: zone,
			ip: s.address(2, i+1), settings: settings{
				descriptors: 4400, memoryMB: 184, stableMs: 5000, drainMs: 10000, recoveryS: 15, configMs: 5000,
				contracts: `,"health","pool","tenants","quota","pressure"`, bounds: organisationBounds,
			},
		})
	}
	for _, h := range hosts {
		if err := h.writeSettings(platform, zones, hosts[1:4]); err != nil {
			return notRun, err
		}
		if err := h.start(); err != nil {
			return notRun, err
		}
		defer h.kill()
	}
	time.Sleep(5 * time.Second)
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
	current.Store(before)
	var clients sync.WaitGroup
	for i := range 10 {
		clients.Go(func() { lookUp(r, i, balancer, &current, stop) })
	}
	describe := func(when string) {
		for _, h := range hosts {
			r.say("%s: %s ready %v", when, h.name, h.ready())
		}
	}
	time.Sleep(8 * time.Second)
	describe("before")
	left := hosts
	if s.trouble {
		left = hosts[leaving:]
		for _, h := range hosts[:leaving] {
			r.say("%s is told to leave", h.name)
			go h.leave()
			time.Sleep(leaveGap)
		}
	}
	time.Sleep(gracePeriod)
	describe("before the final fault")
	r.say("final fault: all hosts lose power for %s", powerOff)
	for _, h := range left {
		h.kill()
	}
	current.Store(nil)
	time.Sleep(powerOff)
	for _, h := range left {
		if err := h.start(); err != nil {
			return notRun, err
		}
	}
	time.Sleep(recoverySpan)
	describe("recovery-s after the hosts are back")
	current.Store(after)
	time.Sleep(10 * time.Second)
	current.Store(nil)
	close(stop)
	clients.Wait()
	share := func(p *phase) float64 { return float64(p.served.Load()) / float64(max(1, p.sent.Load())) }
	r.say("operations served before the final fault: %d of %d (%.3f)", before.served.Load(), before.sent.Load(), share(before))
	r.say("operations served later than recovery-s after the hosts were back: %d of %d (%.3f)", after.served.Load(), after.sent.Load(), share(after))
	switch {
	case share(before) < 0.25:
		return notRun, fmt.Errorf("too little was served before the final fault")
	case share(after) < 0.25:
		return broken, nil
	}
	return held, nil
}

// lookUp runs one operation after the other, each over a session of its own, with two
// retries at other hosts.
func lookUp(r *record, number int, balancer *ingress, current *atomic.Pointer[phase], stop chan struct{}) {
	keys := []string{"k-riders", "k-owners"}
	for turn := 0; ; turn++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		counted := current.Load()
		served := false
		until := time.Now().Add(2500 * time.Millisecond)
		for try := 0; try < 3 && !served && time.Now().Before(until); try++ {
			h := balancer.choose(number+turn, try)
			c, err := connect(h.callers(), "lookups", keys[number%len(keys)])
			if err != nil {
				r.printf("client %d at %s: no session: %v", number, h.name, err)
				continue
			}
			id := newID()
			r.printf("client %d sends %s to %s", number, id, h.name)
			answer, err := c.query(id, "READ 1a4", time.Until(until))
			served = err == nil && strings.HasPrefix(answer, "COMPLETE")
			r.printf("client %d gets for %s: %s %v", number, id, answer, err)
			c.close()
		}
		if counted != nil {
			counted.sent.Add(1)
			if served {
				counted.served.Add(1)
			}
		}
	}
}
