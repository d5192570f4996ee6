package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// item is a key of the store with its value.
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
		removed bool
	}

	lease struct {
		ttl  time.Duration
		ends time.Time
	}

	// store is the platform's metadata store, by PROTOCOL.md.
	store struct {
		server *http.Server

		mu       sync.Mutex
		items    map[string]item
		events   []event
		revision uint64
		leases   map[uint64]*lease
		next     uint64
		changed  chan struct{}
	}
)

func newStore() *store {
	return &store{items: make(map[string]item), revision: 100, leases: make(map[uint64]*lease), next: 77000, changed: make(chan struct{})}
}

// serve serves the store at the listener.
func (s *store) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.getKey)
	mux.HandleFunc("GET /api/kv-range", s.getRange)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	mux.HandleFunc("POST /api/kv-txn", s.transact)
	mux.HandleFunc("POST /api/kv-lease", s.grant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.end)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire()
		}
	}()
}

// put writes a key for the operator, and returns the revision.
func (s *store) put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(item{Key: key, Value: value})
	s.notify()
	return s.revision
}

// write stores the item at the current revision. s.mu must be held.
func (s *store) write(i item) {
	i.Revision, i.Created = s.revision, s.revision
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	s.items[i.Key] = i
	s.events = append(s.events, event{item: i})
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.events = append(s.events, event{item: item{Key: key, Revision: s.revision}, removed: true})
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	s.revision++
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
	s.notify()
}

func answer(w http.ResponseWriter, status int, body any) {
	time.Sleep(4 * time.Millisecond)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	asOf := s.revision
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"as-of": asOf})
		return
	}
	answer(w, http.StatusOK, map[string]any{
		"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "as-of": asOf,
	})
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	answer(w, http.StatusOK, map[string]any{"items": found, "truncated": false, "as-of": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, asOf, changed := s.eventsAfter(q.Get("prefix"), after), s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "as-of": asOf})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			answer(w, http.StatusOK, map[string]any{"events": events, "as-of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) eventsAfter(prefix string, after uint64) []any {
	events := []any{}
	for _, e := range s.events {
		switch {
		case e.Revision <= after || !strings.HasPrefix(e.Key, prefix):
		case e.removed:
			events = append(events, map[string]any{"key": e.Key, "revision": e.Revision, "removed": true})
		default:
			events = append(events, e.item)
		}
	}
	return events
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
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
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	holds, current := true, []item{}
	for _, e := range t.Expect {
		i, ok := s.items[e.Key]
		if ok {
			current = append(current, i)
		}
		holds = holds && i.Revision == e.Revision
	}
	status := http.StatusOK
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			status = http.StatusForbidden
		} else if p.Lease != 0 && s.leases[p.Lease] == nil {
			status = http.StatusNotFound
		}
	}
	if status == http.StatusOK && !holds {
		status = http.StatusPreconditionFailed
	}
	if status == http.StatusOK {
		s.revision++
		for _, p := range t.Puts {
			s.write(item{Key: p.Key, Value: p.Value, Lease: p.Lease})
		}
		for _, key := range t.Deletes {
			s.remove(key)
		}
		s.notify()
	}
	revision := s.revision
	s.mu.Unlock()
	if status == http.StatusPreconditionFailed {
		answer(w, status, map[string]any{"items": current})
		return
	}
	answer(w, status, map[string]any{"revision": revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl-ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	ttl := time.Duration(min(max(body.TTL, 1000), 600_000)) * time.Millisecond
	s.mu.Lock()
	s.next++
	id := s.next
	s.leases[id] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttl-ms": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	var ttl time.Duration
	if l != nil {
		l.ends, ttl = time.Now().Add(l.ttl), l.ttl
	}
	s.mu.Unlock()
	if l == nil {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	answer(w, http.StatusOK, map[string]any{"ttl-ms": ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	if s.leases[id] != nil {
		s.endLease(id)
	}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{})
}
