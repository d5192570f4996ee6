package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// item is a key of the store.
	item struct {
		Key      string `json:"key"`
		Value    []byte `json:"value"`
		Revision uint64 `json:"revision"`
		Created  uint64 `json:"created"`
		Lease    uint64 `json:"lease"`
	}

	// event is a change of a key.
	event struct {
		item
		Removed bool `json:"removed,omitempty"`
	}

	// store is the platform's metadata store. It keeps its whole history.
	store struct {
		mu       sync.Mutex
		revision uint64
		items    map[string]item
		events   []event
		leases   map[uint64]lease
		nextID   uint64
		changed  chan struct{}
	}

	lease struct {
		ttl     time.Duration
		expires time.Time
	}
)

func newStore() *store {
	return &store{
		revision: 100, items: make(map[string]item), leases: make(map[uint64]lease), nextID: 7000, changed: make(chan struct{}),
	}
}

// put writes a key, and delete removes one. s.mu must be held for both.
func (s *store) put(key string, value []byte, lease uint64) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.record(event{item: i})
}

func (s *store) delete(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(event{item: item{Key: key, Revision: s.revision}, Removed: true})
}

func (s *store) record(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Write is a write of the operator.
func (s *store) Write(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

// Remove is a removal by the operator.
func (s *store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(key)
}

// expire removes the keys of expired leases, until the process ends.
func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.delete(key)
		}
	}
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// Handler returns the store's HTTP interface.
func (s *store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.serveKey)
	mux.HandleFunc("GET /api/kv-range", s.serveRange)
	mux.HandleFunc("GET /api/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /api/kv-txn", s.serveTransaction)
	mux.HandleFunc("POST /api/kv-lease", s.serveGrant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.serveEnd)
	return mux
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		respond(w, http.StatusNotFound, map[string]any{"as-of": s.revision})
		return
	}
	respond(w, http.StatusOK, struct {
		item
		AsOf uint64 `json:"as-of"`
	}{i, s.revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	respond(w, http.StatusOK, map[string]any{"items": found, "truncated": false, "as-of": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait-ms"), 10, 64)
	deadline := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		found := []event{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				found = append(found, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			respond(w, http.StatusOK, map[string]any{"events": found, "as-of": asOf})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			respond(w, http.StatusOK, map[string]any{"events": found, "as-of": asOf})
			return
		}
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expect"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		respond(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	current := []item{}
	for _, e := range t.Expect {
		i, ok := s.items[e.Key]
		holds = holds && i.Revision == e.Revision
		if ok {
			current = append(current, i)
		}
	}
	if !holds {
		respond(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			respond(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Deletes {
		s.delete(key)
	}
	respond(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl-ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		respond(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	ttl := time.Duration(max(body.TTL, 1000)) * time.Millisecond
	s.leases[s.nextID] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	respond(w, http.StatusOK, map[string]any{"lease": s.nextID, "ttl-ms": ttl.Milliseconds()})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		respond(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	s.leases[id] = l
	respond(w, http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
}

func (s *store) serveEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		respond(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.endLease(id)
	respond(w, http.StatusOK, map[string]any{})
}
