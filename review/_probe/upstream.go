package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	slots          = 3
	maxConnections = 21
	handshakeTime  = 12 * time.Millisecond
	workTime       = 4 * time.Millisecond
	promoteTime    = time.Second
	// inZone and crossZone are one way.
	inZone       = 100 * time.Microsecond
	crossZone    = 3400 * time.Microsecond
	drainTimeout = 7 * time.Second
	pingInterval = 1200 * time.Millisecond
)

// position is a place in the log of a service.
type position struct{ term, number int }

func (p position) less(other position) bool {
	return p.term < other.term || p.term == other.term && p.number < other.number
}

func (p position) String() string { return fmt.Sprintf("%d.%d", p.term, p.number) }

// commit is an entry of the log.
type commit struct {
	at position
	id string
}

// service is a primary and its replicas.
type service struct {
	mu           sync.Mutex
	name         string
	store        *store
	record       *record
	syncReplicas int
	term         int
	upstreams    []*upstream
	proofs       int
	highestToken uint64
	// onPromote is called with the new leader, which has just taken the lead.
	onPromote func(leader *upstream)
}

// upstream is one backend of a service.
type upstream struct {
	service  *service
	id, zone string
	address  string
	listener net.Listener
	primary  bool
	draining bool
	// deaf keeps a replica from receiving commits.
	deaf     bool
	stopped  bool
	sequence int
	born     int64
	log      []commit
	conns    map[net.Conn]bool
	slots    chan struct{}
}

func (s *service) start(id, zone, ip string, primary bool) *upstream {
	listener, err := net.Listen("tcp4", ip+":0")
	check(err)
	u := &upstream{service: s, id: id, zone: zone, address: listener.Addr().String(), listener: listener, primary: primary,
		conns: map[net.Conn]bool{}, slots: make(chan struct{}, slots), born: time.Now().UnixMilli()}
	s.mu.Lock()
	if leader := s.leader(); leader != nil {
		u.log = append(u.log, leader.log...)
	}
	s.upstreams = append(s.upstreams, u)
	s.mu.Unlock()
	u.publish()
	go u.accept()
	return u
}

func (s *service) leader() *upstream {
	for _, u := range s.upstreams {
		if u.primary && !u.stopped {
			return u
		}
	}
	return nil
}

// find returns an upstream by its ID.
func (s *service) find(id string) *upstream {
	for _, u := range s.upstreams {
		if u.id == id {
			return u
		}
	}
	return nil
}

func (u *upstream) publish() {
	u.service.mu.Lock()
	u.sequence++
	role, state := "replica", "ready"
	if u.primary {
		role = "primary"
	}
	if u.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": u.service.name, "address": u.address, "zone": u.zone, "version": "v1", "slots": slots, "state": state,
		"cold-remaining-ms": 0, "database-role": role, "sequence": u.sequence, "born": u.born,
	}
	u.service.mu.Unlock()
	u.service.store.put("servers", u.id, entry)
}

// drain makes the upstream leave as planned.
func (u *upstream) drain() {
	u.service.mu.Lock()
	u.draining = true
	u.service.record.add("%s reports draining", u.id)
	u.service.mu.Unlock()
	u.publish()
	time.AfterFunc(drainTimeout+time.Second, func() {
		u.service.mu.Lock()
		u.stopped = true
		for conn := range u.conns {
			_ = conn.Close()
		}
		u.service.mu.Unlock()
		_ = u.listener.Close()
		u.service.store.remove("servers", u.id)
	})
}

// crash stops the upstream at once and starts it again with its log. It leads again if no
// other upstream was promoted meanwhile. Its entry is removed after three silent pings.
func (u *upstream) crash(span time.Duration) {
	u.service.mu.Lock()
	u.stopped = true
	for conn := range u.conns {
		_ = conn.Close()
	}
	u.service.record.add("%s crashes, its log ends at %s", u.id, u.end())
	u.service.mu.Unlock()
	_ = u.listener.Close()
	time.AfterFunc(3*pingInterval, func() {
		u.service.mu.Lock()
		stopped := u.stopped
		u.service.mu.Unlock()
		if stopped {
			u.service.store.remove("servers", u.id)
		}
	})
	time.AfterFunc(span, func() {
		listener, err := net.Listen("tcp4", u.address)
		check(err)
		u.service.mu.Lock()
		u.listener, u.stopped = listener, false
		if leader := u.service.leader(); leader != nil && leader != u {
			u.primary = false
			u.follow(leader)
		}
		u.service.record.add("%s is back, its log ends at %s", u.id, u.end())
		u.service.mu.Unlock()
		u.publish()
		go u.accept()
	})
}

// promotion is the platform's call POST /promotion, which checks fences.
func (s *service) promotion(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, ID string }
	token, err := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	if json.NewDecoder(r.Body).Decode(&body) != nil || err != nil || body.Service != s.name {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	holder := r.Header.Get("X-Lease-Holder")
	s.mu.Lock()
	defer s.mu.Unlock()
	var target *upstream
	for _, u := range s.upstreams {
		if u.id == body.ID && !u.stopped {
			target = u
		}
	}
	if target == nil || token < s.highestToken {
		s.record.add("promotion of %s by %s with token %d: 409", body.ID, holder, token)
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.highestToken = token
	s.record.add("promotion of %s (log %s) by %s with token %d: 200", body.ID, target.end(), holder, token)
	if target.primary {
		return
	}
	time.AfterFunc(promoteTime, func() { s.promote(target, token) })
}

// promote makes an upstream lead the next term with what it has received. Replicas that
// are ahead of it are rolled back.
func (s *service) promote(target *upstream, token uint64) {
	s.mu.Lock()
	if token < s.highestToken || target.stopped || target.primary {
		s.mu.Unlock()
		return
	}
	s.term++
	s.record.add("%s leads term %d from log %s", target.id, s.term, target.end())
	for _, u := range s.upstreams {
		u.primary = u == target
	}
	if s.onPromote != nil {
		s.onPromote(target)
	}
	for _, u := range s.upstreams {
		if u != target {
			u.follow(target)
		}
	}
	upstreams := append([]*upstream(nil), s.upstreams...)
	s.mu.Unlock()
	for _, u := range upstreams {
		if !u.stopped {
			u.publish()
		}
	}
}

// follow truncates the log to what both have in common.
func (u *upstream) follow(leader *upstream) {
	common := 0
	for common < min(len(u.log), len(leader.log)) && u.log[common] == leader.log[common] {
		common++
	}
	u.log = u.log[:common]
}

// end returns the end of the log.
func (u *upstream) end() position {
	if len(u.log) == 0 {
		return position{1, 0}
	}
	return u.log[len(u.log)-1].at
}

// append commits at the leader and sends the commit to the replicas. It reports whether
// the commit may be acknowledged.
func (u *upstream) append(id string) bool {
	s := u.service
	u.log = append(u.log, commit{position{s.term, u.end().number + 1}, id})
	received := 0
	for _, other := range s.upstreams {
		if other == u || other.stopped || other.deaf {
			continue
		}
		other.follow(u)
		other.log = append(other.log, u.log[len(other.log):]...)
		received++
	}
	return received >= s.syncReplicas
}

func (u *upstream) accept() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		go u.serve(conn)
	}
}

// session is a connection to an upstream.
type session struct {
	u           *upstream
	state       byte
	plain       bool
	term        int
	writes      []string
	values      map[string]string
	plans       map[string]string
	unconfirmed bool
}

func (u *upstream) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	s := &session{u: u, state: 'I', values: map[string]string{}, plans: map[string]string{}}
	line, err := reader.ReadString('\n')
	if err != nil {
		return
	}
	fields := strings.Fields(line)
	if len(fields) < 3 || fields[0] != "STARTUP" || fields[1] != u.service.name || len(fields) > 3 && fields[3] != u.id {
		fmt.Fprintf(conn, "ERROR WRONGNODE %s\r\n", u.id)
		return
	}
	u.service.mu.Lock()
	full := len(u.conns) >= maxConnections
	if !full {
		u.conns[conn] = true
	}
	u.service.mu.Unlock()
	if full {
		fmt.Fprintf(conn, "ERROR OVERLOADED %s\r\n", u.id)
		return
	}
	defer func() {
		u.service.mu.Lock()
		delete(u.conns, conn)
		u.service.mu.Unlock()
	}()
	delay := u.delayTo(fields[2])
	u.occupy(handshakeTime)
	time.Sleep(delay)
	fmt.Fprintf(conn, "READY I %s\r\n", u.readEnd())
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		keyword, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		if keyword != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		time.Sleep(delay / 2)
		answer := s.query(id, text)
		time.Sleep(delay / 2)
		if s.unconfirmed {
			// No replica has received the commit: it is not acknowledged.
			time.Sleep(10 * time.Second)
			return
		}
		if _, err := fmt.Fprintf(conn, "%sREADY %c %s\r\n", answer, s.state, u.readEnd()); err != nil {
			return
		}
	}
}

// delayTo returns the round trip to a machine, whose name has its zone.
func (u *upstream) delayTo(machine string) time.Duration {
	if strings.Contains(machine, u.zone) {
		return 2 * inZone
	}
	return 2 * crossZone
}

func (u *upstream) readEnd() position {
	u.service.mu.Lock()
	defer u.service.mu.Unlock()
	return u.end()
}

func (u *upstream) occupy(span time.Duration) {
	u.slots <- struct{}{}
	time.Sleep(span)
	<-u.slots
}

func (s *session) fail(code string) string {
	if s.state == 'T' {
		s.state = 'E'
	}
	return "ERROR " + code + " " + s.u.id + "\r\n"
}

const done = "COMPLETE -\r\n"

func (s *session) query(id, text string) string {
	keyword, rest, _ := strings.Cut(text, " ")
	switch keyword {
	case "READ", "WRITE", "EXECUTE", "COMMIT", "AFTER", "STATUS":
		s.u.occupy(workTime)
	}
	s.u.service.mu.Lock()
	defer s.u.service.mu.Unlock()
	if keyword == "AFTER" {
		after, inner, _ := strings.Cut(rest, " ")
		var wanted position
		_, _ = fmt.Sscanf(after, "%d.%d", &wanted.term, &wanted.number)
		if s.u.end().less(wanted) {
			return s.fail("LAGGING")
		}
		keyword, rest, _ = strings.Cut(inner, " ")
	}
	switch keyword {
	case "RESET":
		s.values, s.plans = map[string]string{}, map[string]string{}
		return done
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
		return done
	case "PREPARE":
		name, plan, _ := strings.Cut(rest, " ")
		s.plans[name] = plan
		return done
	case "STATUS":
		role := "replica"
		if s.u.primary {
			role = "primary"
		}
		return fmt.Sprintf("ROW %s %d %s 0 0 0 %d\r\n", role, s.u.service.term, s.u.end(), len(s.u.conns)) + done
	case "ROLLBACK":
		s.state, s.writes = 'I', nil
		return done
	}
	if s.state == 'E' {
		return s.fail("MALFORMED")
	}
	lost := s.state == 'T' && s.plain && (!s.u.primary || s.term != s.u.service.term)
	if lost && (keyword != "COMMIT" || len(s.writes) > 0) {
		return s.fail("READONLY")
	}
	return s.run(id, keyword, rest)
}

func (s *session) run(id, keyword, rest string) string {
	s.u.service.proofs++
	proof := fmt.Sprintf("COMPLETE %s.%s.%d\r\n", s.u.id, id, s.u.service.proofs)
	if keyword == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		plan, known := s.plans[name]
		if !known {
			return s.fail("UNPREPARED")
		}
		keyword, _, _ = strings.Cut(plan, " ")
		rest = arguments
	}
	switch keyword {
	case "BEGIN":
		s.plain, s.term = rest == "", s.u.service.term
		if s.plain && !s.u.primary {
			return s.fail("READONLY")
		}
		s.state = 'T'
		return done
	case "READ":
		return "ROW " + strconv.Itoa(len(s.u.log)) + "\r\n" + proof
	case "WRITE":
		if !s.u.primary {
			return s.fail("READONLY")
		}
		if s.state == 'T' {
			s.writes = append(s.writes, id)
			return proof
		}
		s.unconfirmed = !s.u.append(id)
		return proof
	case "COMMIT":
		for _, write := range s.writes {
			s.unconfirmed = !s.u.append(write)
		}
		s.state, s.writes = 'I', nil
		return proof
	}
	return s.fail("MALFORMED")
}
