package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storedRow is a row of the platform's store.
type storedRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"row-version,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's store, as PROTOCOL.md describes it.
type store struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]storedRow
	changed chan struct{}
	started time.Time
}

func newStore() *store {
	return &store{rows: map[string]storedRow{}, changed: make(chan struct{}), started: time.Now()}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.transact)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	return mux
}

// put writes a row as the operator and the upstreams do.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[table+"/"+key] = storedRow{Table: table, Key: key, Value: data, Version: s.version}
	s.notify()
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[table+"/"+key] = storedRow{Table: table, Key: key, Version: s.version, Deleted: true}
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) respond(w http.ResponseWriter, status int, rows []storedRow) {
	if rows == nil {
		rows = []storedRow{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "more-pages": false, "row-version": s.version, "now-ms": time.Since(s.started).Milliseconds(),
	})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Precondition []storedRow `json:"precondition"`
		Writes       []storedRow `json:"writes"`
		Remove       []storedRow `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(6 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []storedRow
	conflict := false
	for _, p := range body.Precondition {
		known := s.rows[p.Table+"/"+p.Key]
		if known.Deleted {
			known = storedRow{}
		}
		if known.Version != p.Version {
			conflict = true
		}
		if known.Version > 0 {
			current = append(current, known)
		}
	}
	if conflict {
		s.respond(w, http.StatusPreconditionFailed, current)
		return
	}
	s.version++
	for _, write := range body.Writes {
		write.Version = s.version
		s.rows[write.Table+"/"+write.Key] = write
	}
	for _, removed := range body.Remove {
		s.rows[removed.Table+"/"+removed.Key] = storedRow{Table: removed.Table, Key: removed.Key, Version: s.version, Deleted: true}
	}
	s.notify()
	s.respond(w, http.StatusOK, nil)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []storedRow
	for _, row := range s.rows {
		if row.Table != query.Get("table") || row.Deleted || row.Key < query.Get("start-from") ||
			query.Get("target") != "" && row.Key >= query.Get("target") {
			continue
		}
		rows = append(rows, row)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	s.respond(w, http.StatusOK, rows)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timeout := time.After(time.Duration(wait)*time.Millisecond + 4*time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		var rows []storedRow
		for _, row := range s.rows {
			if row.Table == query.Get("table") && row.Version > after {
				rows = append(rows, row)
			}
		}
		if len(rows) > 0 || ended {
			sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
			s.respond(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}
