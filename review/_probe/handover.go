package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	writers     = 6
	writePause  = 240 * time.Millisecond
	drainAt     = 4 * time.Second
	deafAfter   = 500 * time.Millisecond
	deafFor     = 6 * time.Second
	handoverEnd = 14 * time.Second
)

// handover drains the primary of a service with sync-replicas 1. A replica receives
// nothing for a while. It breaks LOST if an acknowledged commit is not in the log of the
// upstream that is promoted.
func handover(w *world) bool {
	dir, err := os.MkdirTemp("", "probe")
	check(err)
	defer os.RemoveAll(dir)
	w.build(dir, 1, []map[string]any{{
		"name": "r1", "host": "lepu270", "prefix": "/", "kind": "primary", "timeout-ms": 1000, "target-latency-ms": 200, "priority": 1,
		"service": serviceName, "max-attempts": 2,
	}})
	var mu sync.Mutex
	acknowledged := map[string]time.Duration{}
	started := time.Now()
	var stop atomic.Bool
	var group sync.WaitGroup
	for i := range writers {
		group.Add(1)
		go func() {
			defer group.Done()
			w.write(i, &stop, func(id string) {
				mu.Lock()
				defer mu.Unlock()
				acknowledged[id] = time.Since(started)
			})
		}()
	}
	lost := 0
	var promotedLogs []map[string]bool
	var promoted []time.Duration
	w.service.onPromote = func(leader *upstream) {
		log := map[string]bool{}
		for _, entry := range leader.log {
			log[entry.id] = true
		}
		promotedLogs, promoted = append(promotedLogs, log), append(promoted, time.Since(started))
	}
	time.Sleep(drainAt)
	w.service.mu.Lock()
	primary := w.service.leader()
	w.service.mu.Unlock()
	w.record.add("%s reports draining", primary.id)
	primary.drain()
	if w.trouble {
		time.Sleep(deafAfter)
		w.setDeaf("i-palermo", true)
		time.AfterFunc(deafFor, func() { w.setDeaf("i-palermo", false) })
	}
	time.Sleep(handoverEnd - drainAt)
	stop.Store(true)
	group.Wait()
	w.service.mu.Lock()
	defer w.service.mu.Unlock()
	mu.Lock()
	defer mu.Unlock()
	w.record.add("%d writes acknowledged, %d promotions", len(acknowledged), len(promoted))
	if len(promoted) == 0 || len(acknowledged) == 0 {
		w.fail("no promotion or no writes")
	}
	for i, log := range promotedLogs {
		for id, at := range acknowledged {
			if at < promoted[i] && !log[id] {
				lost++
				w.record.add("write %s was acknowledged %d ms before the promotion and is not in the log of the new leader", id, (promoted[i] - at).Milliseconds())
			}
		}
	}
	return lost > 0
}

func (w *world) setDeaf(id string, deaf bool) {
	w.service.mu.Lock()
	defer w.service.mu.Unlock()
	for _, u := range w.service.upstreams {
		if u.id == id && !u.primary {
			u.deaf = deaf
			w.record.add("%s receives commits: %v", id, !deaf)
		}
	}
}

// write sends single writes over sessions of one client until it is stopped.
func (w *world) write(client int, stop *atomic.Bool, acknowledge func(id string)) {
	var c *conn
	for n := 0; !stop.Load(); n++ {
		if c == nil {
			next, err := dial(w.machines[client%len(w.machines)].frontend, "lepu270")
			if err != nil {
				time.Sleep(writePause)
				continue
			}
			c = next
		}
		id := fmt.Sprintf("%04x%08x", client, n)
		result, err := c.query(id, fmt.Sprintf("WRITE i%d d%d", client, n), 1500*time.Millisecond)
		switch {
		case err != nil:
			w.record.add("write %s: %v", id, err)
			_ = c.Close()
			c = nil
		case result == "COMPLETE":
			acknowledge(id)
		default:
			w.record.add("write %s: %s", id, result)
		}
		time.Sleep(writePause)
	}
}
