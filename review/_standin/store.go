package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeRow is a row of the platform's store.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"row-version,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r storeRow) name() string {
	return r.Table + "/" + r.Part + "/" + r.Key
}

// store stands in for the platform's store and for its cloud API.
type store struct {
	record  *record
	started time.Time
	server  *http.Server
	address string

	mu      sync.Mutex
	version uint64
	rows    map[string]storeRow
	changed chan struct{}
	groups  map[string]*group
	// epochs has the highest fencing token by service. cloudDown makes the cloud API
	// answer 503.
	epochs    map[string]uint64
	cloudDown bool
}

func newStore(r *record, address string) (*store, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &store{
		record: r, started: time.Now(), address: listener.Addr().String(), rows: map[string]storeRow{},
		changed: make(chan struct{}), groups: map[string]*group{}, epochs: map[string]uint64{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.transact)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /promotion", s.promote)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put writes a row as the operator or a backend does. Its return is the ack.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(storeRow{Table: table, Key: key, Value: data})
}

func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(storeRow{Table: table, Key: key, Deleted: true})
}

// write applies changes in one transaction. The mutex must be held.
func (s *store) write(rows ...storeRow) {
	s.version++
	for _, row := range rows {
		row.Version = s.version
		s.rows[row.name()] = row
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, rows []storeRow) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	body := map[string]any{"row-version": s.version, "now-ms": time.Since(s.started).Milliseconds()}
	if rows != nil {
		body["rows"], body["more-pages"] = rows, false
	}
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Precondition []storeRow `json:"precondition"`
		Writes       []storeRow `json:"writes"`
		Remove       []storeRow `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range body.Remove {
		body.Remove[i].Deleted = true
	}
	changes := append(body.Writes, body.Remove...)
	for _, row := range changes {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	current := []storeRow{}
	conflict := false
	for _, wanted := range body.Precondition {
		known := s.rows[wanted.name()]
		version := known.Version
		if known.Deleted {
			version = 0
		}
		conflict = conflict || version != wanted.Version
		if version > 0 {
			current = append(current, known)
		}
	}
	if conflict {
		s.answer(w, http.StatusPreconditionFailed, current)
		return
	}
	s.write(changes...)
	s.answer(w, http.StatusOK, nil)
}

// list returns the rows of a table that match, in an order.
func (s *store) list(table string, matches func(storeRow) bool, less func(a, b storeRow) bool) []storeRow {
	rows := []storeRow{}
	for _, row := range s.rows {
		if row.Table == table && matches(row) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return less(rows[i], rows[j]) })
	return rows
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, end := query.Get("start-from"), query.Get("target")
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := s.list(query.Get("table"), func(row storeRow) bool {
		return !row.Deleted && row.Part == query.Get("part") && row.Key >= from && (end == "" || row.Key < end)
	}, func(a, b storeRow) bool { return a.Key < b.Key })
	s.answer(w, http.StatusOK, rows)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		rows := s.list(query.Get("table"), func(row storeRow) bool { return row.Version > after },
			func(a, b storeRow) bool { return a.Version < b.Version })
		if len(rows) > 0 || !waiting {
			s.answer(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) setCloudDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cloudDown = down
}

// promote is the cloud API's call of the duty "promotion".
func (s *store) promote(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, ID string }
	epoch, err := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	if json.NewDecoder(r.Body).Decode(&body) != nil || err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	down, fenced, g := s.cloudDown, epoch < s.epochs[body.Service], s.groups[body.Service]
	if !down && !fenced {
		s.epochs[body.Service] = epoch
	}
	s.mu.Unlock()
	status := http.StatusOK
	switch {
	case down:
		status = http.StatusServiceUnavailable
	case fenced || g == nil || !g.promote(body.ID):
		status = http.StatusConflict
	}
	s.record.printf("cloud API: %s asks to promote %s of %s, token %d: %d", r.Header.Get("X-Lease-Holder"), body.ID, body.Service, epoch, status)
	w.WriteHeader(status)
}
