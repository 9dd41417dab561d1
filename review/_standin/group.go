package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is how often a backend writes its entry.
	heartbeat = 1200 * time.Millisecond
	// promoteTime is how long after the order the named backend leads.
	promoteTime = 300 * time.Millisecond
	// openTime is how long a new connection, and workTime how long a read, write or
	// commit occupies a slot.
	openTime = 2 * time.Millisecond
	workTime = 2 * time.Millisecond
)

// group is the service "service" with its backends. All of them have the same log, which
// replicas receive at once.
type group struct {
	name     string
	store    *store
	record   *record
	ran      func(b *backend, host, id, text string)
	mu       sync.Mutex
	backends []*backend
	term     int
	number   int
}

// backend is a database server.
type backend struct {
	group    *group
	id, zone string
	listener net.Listener
	slots    chan struct{}
	born     int64
	// The group's mutex guards the others.
	primary  bool
	draining bool
	gone     bool
	sequence int
	conns    map[net.Conn]bool
	proofs   int
}

func newGroup(s *store, name string, slots int) *group {
	g := &group{name: name, store: s, record: s.record, term: 1, number: 1, ran: func(*backend, string, string, string) {}}
	s.groups[name] = g
	return g
}

// start adds a running backend.
func (g *group) start(id, zone, ip string, slots int, primary bool) (*backend, error) {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	b := &backend{
		group: g, id: id, zone: zone, listener: listener, slots: make(chan struct{}, slots), born: time.Now().UnixMilli(),
		primary: primary, conns: map[net.Conn]bool{},
	}
	g.mu.Lock()
	g.backends = append(g.backends, b)
	g.mu.Unlock()
	go b.accept()
	go b.beat()
	return b, nil
}

// publish writes the backend's entry. When it returns, the store has accepted it.
func (b *backend) publish() {
	b.group.mu.Lock()
	if b.gone {
		b.group.mu.Unlock()
		return
	}
	b.sequence++
	entry := map[string]any{
		"service": b.group.name, "address": b.listener.Addr().String(), "zone": b.zone, "version": "v1", "slots": cap(b.slots),
		"state": "ready", "cold-remaining-ms": 0, "sequence": b.sequence, "born": b.born, "database-role": "replica",
	}
	if b.draining {
		entry["state"] = "draining"
	}
	if b.primary {
		entry["database-role"] = "primary"
	}
	b.group.mu.Unlock()
	b.group.store.put("servers", b.id, entry)
}

func (b *backend) beat() {
	for !b.isGone() {
		b.publish()
		time.Sleep(heartbeat)
	}
}

func (b *backend) isGone() bool {
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	return b.gone
}

// drain makes the backend report that it is draining, and returns once the store has
// accepted that.
func (b *backend) drain() {
	b.group.mu.Lock()
	b.draining = true
	b.group.mu.Unlock()
	b.publish()
}

// exit ends the backend and removes its entry.
func (b *backend) exit() {
	b.group.mu.Lock()
	b.gone = true
	_ = b.listener.Close()
	for conn := range b.conns {
		_ = conn.Close()
	}
	b.group.mu.Unlock()
	b.group.store.drop("servers", b.id)
}

// promote makes a backend lead the next term. The primary loses the lead at that moment.
func (g *group) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range g.backends {
		if b.id != id || b.gone {
			continue
		}
		if !b.primary {
			time.AfterFunc(promoteTime, func() { g.lead(b) })
		}
		return true
	}
	return false
}

func (g *group) lead(next *backend) {
	g.mu.Lock()
	g.term++
	for _, b := range g.backends {
		b.primary = b == next
	}
	backends := append([]*backend(nil), g.backends...)
	g.mu.Unlock()
	g.record.printf("%s leads term %d", next.id, g.term)
	for _, b := range backends {
		b.publish()
	}
}

func (b *backend) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.group.mu.Lock()
		b.conns[conn] = true
		b.group.mu.Unlock()
		go func() {
			b.serve(conn)
			b.group.mu.Lock()
			delete(b.conns, conn)
			b.group.mu.Unlock()
			_ = conn.Close()
		}()
	}
}

// link is a connection to a backend.
type link struct {
	backend *backend
	// host is who opened the connection.
	host  string
	state byte
	// plain is true in a transaction that may write, term the backend's term at its start.
	plain  bool
	term   int
	writes int
	plans  map[string]string
}

func (b *backend) occupySlot(span time.Duration) {
	b.slots <- struct{}{}
	time.Sleep(span)
	<-b.slots
}

func (b *backend) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	l := &link{backend: b, state: 'I', plans: map[string]string{}}
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimSuffix(line, "\r\n")
		word, rest, _ := strings.Cut(line, " ")
		answer := ""
		switch word {
		case "STARTUP":
			fields := strings.Fields(rest)
			if len(fields) < 2 || fields[0] != b.group.name || len(fields) > 2 && fields[2] != b.id {
				_, _ = conn.Write([]byte("ERROR WRONGNODE " + b.id + "\r\n"))
				return
			}
			l.host = fields[1]
			b.occupySlot(openTime)
		case "QUERY":
			id, text, _ := strings.Cut(rest, " ")
			answer = l.query(id, text)
		case "TERMINATE":
			return
		}
		b.group.mu.Lock()
		position := fmt.Sprintf("%d.%d", b.group.term, b.group.number)
		b.group.mu.Unlock()
		if _, err := fmt.Fprintf(conn, "%sREADY %c %s\r\n", answer, l.state, position); err != nil {
			return
		}
	}
}

func (l *link) fail(code string) string {
	if l.state == 'T' {
		l.state = 'E'
	}
	return "ERROR " + code + " " + l.backend.id + "\r\n"
}

// query runs a statement and returns its answer without READY.
func (l *link) query(id, text string) string {
	b, g := l.backend, l.backend.group
	done := "COMPLETE -\r\n"
	word, rest, _ := strings.Cut(text, " ")
	if word == "AFTER" {
		// Every backend has the whole log.
		_, text, _ = strings.Cut(rest, " ")
		word, rest, _ = strings.Cut(text, " ")
	}
	if id != "-" {
		g.ran(b, l.host, id, text)
	}
	switch word {
	case "RESET":
		l.plans = map[string]string{}
		return done
	case "SET", "DEALLOCATE":
		return done
	case "PREPARE":
		name, plan, _ := strings.Cut(rest, " ")
		l.plans[name] = plan
		return done
	case "STATUS":
		b.occupySlot(workTime)
		g.mu.Lock()
		defer g.mu.Unlock()
		role := "replica"
		if b.primary {
			role = "primary"
		}
		return fmt.Sprintf("ROW %s %d %d.%d 0 0 %d %d\r\n", role, g.term, g.term, g.number, len(b.slots), len(b.conns)) + done
	case "ROLLBACK":
		l.state, l.writes = 'I', 0
		return done
	}
	if l.state == 'E' {
		return l.fail("MALFORMED")
	}
	g.mu.Lock()
	primary, term := b.primary, g.term
	g.mu.Unlock()
	lost := l.state == 'T' && l.plain && (!primary || term != l.term)
	if lost && (word != "COMMIT" || l.writes > 0) {
		return l.fail("READONLY")
	}
	switch word {
	case "BEGIN":
		if rest == "" && !primary {
			return l.fail("READONLY")
		}
		l.state, l.plain, l.term, l.writes = 'T', rest == "", term, 0
		return done
	case "EXECUTE":
		name, arguments, _ := strings.Cut(rest, " ")
		plan, known := l.plans[name]
		if !known {
			return l.fail("UNPREPARED")
		}
		word, rest = "READ", arguments
		if strings.HasPrefix(plan, "WRITE") {
			word = "WRITE"
		}
	}
	b.occupySlot(workTime)
	g.mu.Lock()
	defer g.mu.Unlock()
	b.proofs++
	proof := fmt.Sprintf("COMPLETE %s.%d.%s\r\n", b.id, b.proofs, id)
	switch word {
	case "READ":
		return fmt.Sprintf("ROW %s at %d\r\n", rest, g.number) + proof
	case "WRITE":
		if !b.primary {
			return l.fail("READONLY")
		}
		if l.state == 'T' {
			l.writes++
		} else {
			g.number++
		}
		return proof
	case "COMMIT":
		if l.writes > 0 {
			g.number++
		}
		l.state, l.writes = 'I', 0
		return proof
	}
	return l.fail("MALFORMED")
}
