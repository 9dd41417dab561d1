package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	writers    = 6
	writePause = 240 * time.Millisecond
	happenAt   = 4 * time.Second
	deafAfter  = 500 * time.Millisecond
	deafFor    = 6 * time.Second
	crashAfter = time.Second
	crashFor   = 6 * time.Second
	endAt      = 14 * time.Second
)

// handover drains the primary of a service with sync-replicas 1. A replica receives
// nothing for a while. It breaks LOST if an acknowledged commit is not in the log of the
// upstream that is promoted.
func handover(w *world) bool {
	return w.losesWrites(func() {
		w.service.find("i-catania").drain()
		if w.trouble == fullTrouble {
			time.Sleep(deafAfter)
			w.setDeaf("i-palermo", deafFor)
		}
	})
}

// drainingReplica drains a replica of a service with sync-replicas 1. The other replica
// receives nothing for a while, and the primary crashes meanwhile.
func drainingReplica(w *world) bool {
	return w.losesWrites(func() {
		w.service.find("i-trapani").drain()
		if w.trouble != noTrouble {
			time.Sleep(deafAfter)
			if w.trouble == fullTrouble {
				w.setDeaf("i-palermo", deafFor)
			}
			time.Sleep(crashAfter)
			w.service.find("i-catania").crash(crashFor)
		}
	})
}

// losesWrites sends writes while something happens, and reports whether an upstream was
// promoted whose log lacks a write that was acknowledged before.
func (w *world) losesWrites(happen func()) bool {
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
	var promoted []promotedLog
	w.service.mu.Lock()
	w.service.onPromote = func(leader *upstream) {
		log := promotedLog{at: time.Since(started), writes: map[string]bool{}}
		for _, entry := range leader.log {
			log.writes[entry.id] = true
		}
		promoted = append(promoted, log)
	}
	w.service.mu.Unlock()
	time.Sleep(happenAt)
	happen()
	time.Sleep(time.Until(started.Add(endAt)))
	stop.Store(true)
	group.Wait()
	w.service.mu.Lock()
	defer w.service.mu.Unlock()
	mu.Lock()
	defer mu.Unlock()
	w.record.add("%d writes acknowledged, %d promotions", len(acknowledged), len(promoted))
	if len(acknowledged) == 0 || w.trouble != noTrouble && len(promoted) == 0 {
		w.fail("no promotion or no writes")
	}
	lost := 0
	for _, log := range promoted {
		for id, at := range acknowledged {
			if at < log.at && !log.writes[id] {
				lost++
				w.record.add("write %s was acknowledged %d ms before the promotion and is not in the log of the new leader", id, (log.at - at).Milliseconds())
			}
		}
	}
	return lost > 0
}

// promotedLog is the log of an upstream at its promotion.
type promotedLog struct {
	at     time.Duration
	writes map[string]bool
}

// setDeaf keeps a replica from receiving commits for a while.
func (w *world) setDeaf(id string, span time.Duration) {
	set := func(deaf bool) {
		w.service.mu.Lock()
		defer w.service.mu.Unlock()
		w.service.find(id).deaf = deaf
		w.record.add("%s receives commits: %v", id, !deaf)
	}
	set(true)
	time.AfterFunc(span, func() { set(false) })
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
