// Command probe runs the cases of the review that need processes on the real clock. It
// starts the project's program on several loopback addresses, beside stand-ins of the
// platform, of upstreams and of clients.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

const serviceName = "huvo11a"

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
}

// record is the file that a case writes.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// trouble is what a case plays beside the planned work.
type trouble string

const (
	// noTrouble leaves out the disruption, fullTrouble plays it whole.
	noTrouble   trouble = "0"
	fullTrouble trouble = "1"
	// crashOnly plays the crash of the primary while all replicas receive.
	crashOnly trouble = "crash"
)

// world is what a case runs in.
type world struct {
	program  string
	trouble  trouble
	record   *record
	store    *store
	service  *service
	machines []*machine
}

func main() {
	// The kernel kills the machines' processes when the thread that started them ends.
	runtime.LockOSThread()
	if len(os.Args) != 5 {
		fmt.Fprintln(os.Stderr, "usage: probe CASE TROUBLE PROGRAM RECORD")
		os.Exit(cannotRun)
	}
	cases := map[string]func(*world) bool{"handover": handover, "draining-replica": drainingReplica}
	run := cases[os.Args[1]]
	if run == nil {
		check(fmt.Errorf("no case %q", os.Args[1]))
	}
	wanted := trouble(os.Args[2])
	if wanted != noTrouble && wanted != fullTrouble && wanted != crashOnly {
		check(fmt.Errorf("no trouble %q", wanted))
	}
	program, err := filepath.Abs(os.Args[3])
	check(err)
	file, err := os.Create(os.Args[4])
	check(err)
	w := &world{program: program, trouble: wanted, record: &record{file: file, started: time.Now()}}
	w.record.add("case %s, trouble %s", os.Args[1], w.trouble)
	isBroken := run(w)
	for _, m := range w.machines {
		m.kill()
	}
	if isBroken {
		w.record.add("the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(broken)
	}
	w.record.add("the rule held")
	fmt.Println("the rule held")
	os.Exit(held)
}

// serve starts an HTTP server and returns its address.
func serve(handler http.Handler) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String()
}

// build starts the store, a service and one machine in each of three zones.
func (w *world) build(dir string, syncReplicas int, routes []map[string]any) {
	w.store = newStore()
	w.service = &service{name: serviceName, store: w.store, record: w.record, term: 1, syncReplicas: syncReplicas}
	storeAddress := serve(w.store.handler())
	cloud := http.NewServeMux()
	cloud.HandleFunc("POST /promotion", w.service.promotion)
	cloudAddress := serve(cloud)
	w.store.put("op", "config", map[string]any{
		"version": 3, "routes": routes,
		"services": []map[string]any{{"name": w.service.name, "health-check-path": "/health", "max-connections": maxConnections, "protocol": "h1", "tls-enabled": false, "sync-replicas": syncReplicas}},
		"limits":   map[string]any{"transaction-idle-ms": 3000},
	})
	zones := []string{"catania", "palermo", "trapani"}
	subnet := fmt.Sprintf("127.%d.%d.", 1+os.Getpid()/250%200, os.Getpid()%250)
	var ips []string
	for i := range zones {
		ips = append(ips, fmt.Sprintf("%s%d", subnet, i+1))
	}
	p := freePorts(ips)
	for i, zone := range zones {
		w.service.start("i-"+zone, zone, ips[i], i == 0)
	}
	for i, zone := range zones {
		w.machines = append(w.machines, newMachine(dir, "frontend-"+zone+"-1", zone, ips[i], p, ips, storeAddress, cloudAddress))
	}
	for _, m := range w.machines {
		m.start(w.program)
	}
	deadline := time.Now().Add(10 * time.Second)
	for _, m := range w.machines {
		for !m.ready() {
			if time.Now().After(deadline) {
				w.fail("%s is not ready", m.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	w.record.add("all machines are ready")
}

// fail ends a case that could not run.
func (w *world) fail(format string, args ...any) {
	w.record.add("cannot run: "+format, args...)
	for _, m := range w.machines {
		m.kill()
	}
	os.Exit(cannotRun)
}
