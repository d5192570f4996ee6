// Package store is a stand-in for the platform's key-value store. It keeps entries in
// memory and can inject the faults that occur in the platform's store.
//
// # Usage
//
//	s := store.New()
//	mux.Handle(s.Handler())
//	s.SetFaults(store.Faults{Down: true})
//	fmt.Println(s.Calls())
//	backup := s.Backup()
//	s.Restore(backup)
//
// An acknowledged write is lost only through Restore. A Store is safe for concurrent use.
package store

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	storev1 "arbutusfront.dev/common/protocol/gen/arbutus/store/v1"
	"arbutusfront.dev/common/protocol/gen/arbutus/store/v1/storev1connect"
)

// eraHeader is the response header with the number of times that the store has been
// restored, plus one.
const eraHeader = "Store-Era"

var (
	errDown = connect.NewError(connect.CodeUnavailable, errors.New("store is down"))
	errLost = connect.NewError(connect.CodeUnavailable, errors.New("answer is lost"))
	// errFuture is the error of a watch from a version that has not been assigned.
	errFuture = connect.NewError(connect.CodeOutOfRange, errors.New("version has not been assigned"))
)

type (
	// Faults are the faults that the store injects. The zero value stands for none.
	Faults struct {
		// Down rejects all calls, and ends pending watches, as unavailable.
		Down bool `json:"down"`
		// DelayMillis is added to the duration of each call.
		DelayMillis int `json:"delay_millis"`
		// LoseAnswers is the number of next writes that take effect but return an error,
		// as if their response was lost.
		LoseAnswers int `json:"lose_answers"`
		// StaleReads has Get return the entry before the last write of its key.
		StaleReads bool `json:"stale_reads"`
	}

	// Calls counts calls since the start. A watch counts once, however long it waits.
	Calls struct {
		Reads  uint64 `json:"reads"`
		Writes uint64 `json:"writes"`
	}

	// Store is the stand-in.
	Store struct {
		// mu guards all fields.
		mu      sync.Mutex
		entries map[string]*storev1.Entry
		// previous holds each key's entry before its last write, nil if there was none.
		previous map[string]*storev1.Entry
		leases   map[uint64]lease
		// version is the last version of an entry or ID of a lease that was assigned.
		version uint64
		// era is one more than the number of restores.
		era uint64
		// changed is closed and replaced at each change, which wakes the watches.
		changed chan struct{}
		faults  Faults
		calls   Calls
	}

	// Backup is a copy of a store's contents.
	Backup struct {
		entries  map[string]*storev1.Entry
		previous map[string]*storev1.Entry
		leases   map[uint64]lease
		version  uint64
	}

	// lease is removed with its keys after expires, unless KeepAlive extends it before.
	lease struct {
		ttl     time.Duration
		expires time.Time
	}
)

// New returns an empty store.
func New() *Store {
	return &Store{
		entries:  make(map[string]*storev1.Entry),
		previous: make(map[string]*storev1.Entry),
		leases:   make(map[uint64]lease),
		era:      1,
		changed:  make(chan struct{}),
	}
}

// Handler returns the path and handler of the store's service. All responses contain the
// store's era at the time when they are sent.
func (s *Store) Handler() (string, http.Handler) {
	path, h := storev1connect.NewStoreServiceHandler(s)
	return path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(&eraWriter{ResponseWriter: w, store: s}, r)
	})
}

// SetFaults replaces the faults that the store injects, and wakes all watches.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wakeWatches()
}

// Backup returns a copy of the store's contents.
func (s *Store) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Backup{
		entries: maps.Clone(s.entries), previous: maps.Clone(s.previous), leases: maps.Clone(s.leases),
		version: s.version,
	}
}

// Restore replaces the store's contents by a backup and begins a new era. Writes and leases
// since the backup are lost, and their versions and IDs are assigned again. It wakes all
// watches.
func (s *Store) Restore(b Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries, s.previous, s.leases = maps.Clone(b.entries), maps.Clone(b.previous), maps.Clone(b.leases)
	s.version = b.version
	s.era++
	s.wakeWatches()
}

// Era returns one more than the number of restores.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Calls returns the number of calls since the start.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Get implements storev1connect.StoreServiceHandler. A missing key has no entry.
func (s *Store) Get(
	ctx context.Context, r *connect.Request[storev1.GetRequest],
) (*connect.Response[storev1.GetResponse], error) {
	if err := s.lockForCall(ctx, &s.calls.Reads); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	e := s.entries[r.Msg.GetKey()]
	if s.faults.StaleReads {
		e = s.previous[r.Msg.GetKey()]
	}
	return connect.NewResponse(&storev1.GetResponse{Entry: e}), nil
}

// List implements storev1connect.StoreServiceHandler. Entries are sorted by key.
func (s *Store) List(
	ctx context.Context, r *connect.Request[storev1.ListRequest],
) (*connect.Response[storev1.ListResponse], error) {
	if err := s.lockForCall(ctx, &s.calls.Reads); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	out := new(storev1.ListResponse)
	for key, e := range s.entries {
		if strings.HasPrefix(key, r.Msg.GetPrefix()) {
			out.Entries = append(out.Entries, e)
		}
	}
	slices.SortFunc(out.Entries, func(a, b *storev1.Entry) int { return strings.Compare(a.GetKey(), b.GetKey()) })
	return connect.NewResponse(out), nil
}

// CompareAndSwap implements storev1connect.StoreServiceHandler. It writes only if the
// key's version is the expected one and the lease, if one is given, has not expired.
// Otherwise it returns the current entry.
func (s *Store) CompareAndSwap(
	ctx context.Context, r *connect.Request[storev1.CompareAndSwapRequest],
) (*connect.Response[storev1.CompareAndSwapResponse], error) {
	if err := s.lockForCall(ctx, &s.calls.Writes); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	m := r.Msg
	current := s.entries[m.GetKey()]
	if current.GetVersion() != m.GetExpectedVersion() || !s.leaseValid(m.GetLease()) {
		return connect.NewResponse(&storev1.CompareAndSwapResponse{Entry: current}), nil
	}
	s.write(m)
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return nil, errLost
	}
	out := &storev1.CompareAndSwapResponse{Swapped: true, Entry: s.entries[m.GetKey()]}
	return connect.NewResponse(out), nil
}

// Watch implements storev1connect.StoreServiceHandler. It waits until the key has a newer
// version than the given one, until the wait time is over or ctx is canceled, or until the
// store goes down, which is an error. It does not report a deletion, after which the key's
// version is 0.
func (s *Store) Watch(
	ctx context.Context, r *connect.Request[storev1.WatchRequest],
) (*connect.Response[storev1.WatchResponse], error) {
	if err := s.lockForCall(ctx, &s.calls.Reads); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	deadline := time.NewTimer(time.Duration(r.Msg.GetWaitMillis()) * time.Millisecond)
	defer deadline.Stop()
	era := s.era
	for {
		if s.faults.Down {
			return nil, errDown
		}
		if r.Msg.GetAfterVersion() > s.version || s.era != era {
			return nil, errFuture
		}
		e := s.entries[r.Msg.GetKey()]
		if e.GetVersion() > r.Msg.GetAfterVersion() {
			return connect.NewResponse(&storev1.WatchResponse{Changed: true, Entry: e}), nil
		}
		changed := s.changed
		s.mu.Unlock()
		ended := false
		select {
		case <-ctx.Done():
			ended = true
		case <-deadline.C:
			ended = true
		case <-changed:
		}
		s.mu.Lock()
		if ended {
			return connect.NewResponse(&storev1.WatchResponse{Entry: e}), nil
		}
	}
}

// Grant implements storev1connect.StoreServiceHandler. The lease's ID is a version number,
// so that it is never 0 or assigned twice.
func (s *Store) Grant(
	ctx context.Context, r *connect.Request[storev1.GrantRequest],
) (*connect.Response[storev1.GrantResponse], error) {
	if err := s.lockForCall(ctx, &s.calls.Writes); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	s.version++
	ttl := time.Duration(r.Msg.GetTtlMillis()) * time.Millisecond
	s.leases[s.version] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return connect.NewResponse(&storev1.GrantResponse{Lease: s.version}), nil
}

// KeepAlive implements storev1connect.StoreServiceHandler. It has the lease expire
// one TTL from now, and reports an expired lease as not alive.
func (s *Store) KeepAlive(
	ctx context.Context, r *connect.Request[storev1.KeepAliveRequest],
) (*connect.Response[storev1.KeepAliveResponse], error) {
	if err := s.lockForCall(ctx, &s.calls.Writes); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	l, ok := s.leases[r.Msg.GetLease()]
	if ok {
		l.expires = time.Now().Add(l.ttl)
		s.leases[r.Msg.GetLease()] = l
	}
	return connect.NewResponse(&storev1.KeepAliveResponse{Alive: ok}), nil
}

// lockForCall counts the call, waits for the injected delay, and locks mu. If it returns
// nil, it has removed expired leases, and the caller must unlock mu. If the store is down or
// ctx is canceled during the delay, it returns an error and mu is not held.
func (s *Store) lockForCall(ctx context.Context, count *uint64) error {
	s.mu.Lock()
	*count++
	delay := time.Duration(s.faults.DelayMillis) * time.Millisecond
	s.mu.Unlock()
	if delay > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(delay):
		}
	}
	s.mu.Lock()
	if s.faults.Down {
		s.mu.Unlock()
		return errDown
	}
	s.removeExpired()
	return nil
}

// write applies the write, keeps the key's previous entry for stale reads, and wakes the
// watches. mu must be held.
func (s *Store) write(m *storev1.CompareAndSwapRequest) {
	s.version++
	s.previous[m.GetKey()] = s.entries[m.GetKey()]
	if m.GetDelete() {
		delete(s.entries, m.GetKey())
	} else {
		s.entries[m.GetKey()] = &storev1.Entry{
			Key: m.GetKey(), Value: m.GetValue(), Version: s.version, Lease: m.GetLease(),
		}
	}
	s.wakeWatches()
}

// leaseValid reports whether the lease has not been removed; 0 stands for no lease and is
// valid. mu must be held.
func (s *Store) leaseValid(id uint64) bool {
	_, ok := s.leases[id]
	return id == 0 || ok
}

// removeExpired removes expired leases with their keys and wakes the watches. mu must be
// held.
func (s *Store) removeExpired() {
	now := time.Now()
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		delete(s.leases, id)
		for key, e := range s.entries {
			if e.GetLease() == id {
				delete(s.entries, key)
			}
		}
		s.wakeWatches()
	}
}

// wakeWatches wakes all pending watches, which then check their keys. mu must be held.
func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}
