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

// historyTime is how long the store keeps its history (history-s of a small deployment).
const historyTime = 20 * time.Second

type (
	item struct {
		Key      string `json:"key"`
		Value    []byte `json:"value"`
		Revision uint64 `json:"revision"`
		Created  uint64 `json:"created"`
		Lease    uint64 `json:"lease"`
	}

	// event is a change: the item as it was written, or the removal of its key.
	event struct {
		item    item
		removed bool
		at      time.Time
	}

	lease struct {
		ttl     time.Duration
		expires time.Time
	}

	// store is the platform's metadata store, as in PROTOCOL.md.
	store struct {
		mu       sync.Mutex
		items    map[string]item
		events   []event
		revision uint64
		// historyStart is the revision up to which changes have been discarded.
		historyStart uint64
		leases       map[uint64]*lease
		nextLease    uint64
		changed      chan struct{}
		// onWatch is called with the number of events and the size of each answer to a watch
		// that has any.
		onWatch func(events, bytes int)
	}
)

func newStore() *store {
	s := &store{
		items: make(map[string]item), leases: make(map[uint64]*lease), revision: 1, historyStart: 1, nextLease: 77000,
		changed: make(chan struct{}), onWatch: func(int, int) {},
	}
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			s.expire(time.Now())
		}
	}()
	return s
}

// expire ends leases, and discards events that are older than the history.
func (s *store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		delete(s.leases, id)
		for key, i := range s.items {
			if i.Lease == id {
				s.apply(key, nil, 0, true)
			}
		}
	}
	for len(s.events) > 0 && now.Sub(s.events[0].at) > historyTime {
		s.historyStart = s.events[0].item.Revision
		s.events = s.events[1:]
	}
}

// apply makes one change in a revision of its own. s.mu must be held.
func (s *store) apply(key string, value []byte, leaseID uint64, remove bool) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	if remove {
		delete(s.items, key)
	} else {
		s.items[key] = i
	}
	s.events = append(s.events, event{item: i, removed: remove, at: time.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
}

// put is a write of the operator.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(key, value, 0, false)
}

func answer(w http.ResponseWriter, status int, body any) {
	b, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.get)
	mux.HandleFunc("GET /api/kv-range", s.list)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	mux.HandleFunc("POST /api/kv-txn", s.transact)
	mux.HandleFunc("POST /api/kv-lease", s.grant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
		s.mu.Lock()
		if l := s.leases[id]; l != nil {
			l.expires = time.Now()
		}
		s.mu.Unlock()
		answer(w, http.StatusOK, struct{}{})
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(4 * time.Millisecond)
		mux.ServeHTTP(w, r)
	})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"as-of": revision})
		return
	}
	answer(w, http.StatusOK, struct {
		item
		AsOf uint64 `json:"as-of"`
	}{i, revision})
}

// list answers in pages of about 1 MB of values.
func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	var found []item
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			found = append(found, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	truncated, size := false, 0
	for n, i := range found {
		if size += len(i.Value); n > 0 && (size > 1<<20 || n == 500) {
			found, truncated = found[:n], true
			break
		}
	}
	if found == nil {
		found = []item{}
	}
	answer(w, http.StatusOK, map[string]any{"items": found, "truncated": truncated, "as-of": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, revision, gone := s.changed, s.revision, after < s.historyStart
		events := []any{}
		for _, e := range s.events {
			switch {
			case e.item.Revision <= after || !strings.HasPrefix(e.item.Key, q.Get("prefix")):
			case e.removed:
				events = append(events, map[string]any{"key": e.item.Key, "revision": e.item.Revision, "removed": true})
			default:
				events = append(events, e.item)
			}
		}
		s.mu.Unlock()
		if gone {
			answer(w, http.StatusGone, struct{}{})
			return
		}
		if len(events) > 0 {
			body := map[string]any{"events": events, "as-of": revision}
			b, _ := json.Marshal(body)
			s.onWatch(len(events), len(b))
			answer(w, http.StatusOK, json.RawMessage(b))
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": events, "as-of": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
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
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held, current := true, []item{}
	for _, e := range t.Expect {
		i, ok := s.items[e.Key]
		held = held && i.Revision == e.Revision
		if ok {
			current = append(current, i)
		}
	}
	if !held {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	for _, p := range t.Puts {
		s.apply(p.Key, p.Value, p.Lease, false)
	}
	for _, key := range t.Deletes {
		s.apply(key, nil, 0, true)
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl-ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.mu.Lock()
	s.nextLease++
	id := s.nextLease
	s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttl-ms": body.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttl-ms": l.ttl.Milliseconds()})
}
