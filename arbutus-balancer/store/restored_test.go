package store

import (
	"context"
	"errors"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/store"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
)

var errUnavailable = errors.New("store is down")

// restorableStore is a store that can be down, and can be replaced by an earlier copy. Like the
// product's store, it states its era in each response, also in errors.
type restorableStore struct {
	mu      sync.Mutex
	eras    *store.Eras
	entries map[string]store.Entry
	version uint64
	era     uint64
	down    bool
	changed chan struct{}
	calls   int
	// headWrittenAt is when the head was written last.
	headWrittenAt time.Time
}

func newRestorableStore() *restorableStore {
	return &restorableStore{
		eras: store.NewEras(), entries: make(map[string]store.Entry), era: 1, changed: make(chan struct{}),
	}
}

// wake wakes all watches. s.mu must be held.
func (s *restorableStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *restorableStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// restore begins a new era with the entries, of which the latest has the version.
func (s *restorableStore) restore(entries map[string]store.Entry, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries, s.version = maps.Clone(entries), version
	s.era++
	s.wake()
}

// enter counts a call and returns its error. s.mu must be held.
func (s *restorableStore) enter() error {
	s.calls++
	return s.status()
}

func (s *restorableStore) status() error {
	err := s.eras.Observe(s.era)
	if s.down {
		return errUnavailable
	}
	return err
}

func (s *restorableStore) client() *store.Client {
	return &store.Client{Eras: s.eras, Get: s.get, CompareAndSwap: s.swap, Watch: s.watch}
}

func (s *restorableStore) get(_ context.Context, key string) (store.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[key], s.enter()
}

func (s *restorableStore) swap(_ context.Context, w store.Write) (store.Swap, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.enter(); err != nil || s.entries[w.Key].Version != w.ExpectedVersion {
		return store.Swap{Entry: s.entries[w.Key]}, err
	}
	s.version++
	s.entries[w.Key] = store.Entry{Key: w.Key, Value: w.Value, Version: s.version}
	if w.Key == store.KeyHead {
		s.headWrittenAt = time.Now()
	}
	s.wake()
	return store.Swap{Swapped: true, Entry: s.entries[w.Key]}, nil
}

func (s *restorableStore) watch(
	ctx context.Context, key string, after uint64, wait time.Duration,
) (store.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.enter(); err != nil {
		return store.Entry{}, err
	}
	era, deadline := s.era, time.After(wait)
	for {
		if err := s.status(); err != nil {
			return store.Entry{}, err
		}
		if after > s.version || era != s.era {
			return store.Entry{}, errors.New("version has not been assigned")
		}
		if s.entries[key].Version > after {
			return s.entries[key], nil
		}
		changed := s.changed
		s.mu.Unlock()
		ended, canceled := false, false
		select {
		case <-ctx.Done():
			canceled = true
		case <-deadline:
			ended = true
		case <-changed:
		}
		s.mu.Lock()
		if canceled {
			return store.Entry{}, ctx.Err()
		}
		if ended {
			return s.entries[key], s.status()
		}
	}
}

// revisionNumbered returns a revision of an empty configuration.
func revisionNumbered(t *testing.T, n uint64) *config.Revision {
	t.Helper()
	g := NewWithT(t)
	chunks, err := config.Split(config.Config{Deployment: config.Deployment{Name: "deaf"}})
	g.Expect(err).NotTo(HaveOccurred())
	values := make([][]byte, 0, len(chunks))
	for _, c := range chunks {
		values = append(values, c.Value)
	}
	head := config.NewHead(&controlv1.Head{Revision: n - 1}, chunks, &controlv1.Accepted{})
	r, err := config.Assemble(head, values)
	g.Expect(err).NotTo(HaveOccurred())
	return r
}

// entriesOf returns the entries of a store that has only the revision's head and chunks.
func entriesOf(t *testing.T, r *config.Revision) map[string]store.Entry {
	t.Helper()
	b, err := proto.Marshal(r.Head)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	entries := map[string]store.Entry{store.KeyHead: {Key: store.KeyHead, Value: b, Version: 2}}
	for _, c := range r.Chunks() {
		key := store.ChunkKey(c.Digest[:])
		entries[key] = store.Entry{Key: key, Value: c.Value, Version: 1}
	}
	return entries
}

// restoreCase is a restore of the store, and how long the store may lack the revision then.
type restoreCase struct {
	name string
	// hasRevision is whether the balancer has the revision in force before the store is restored,
	// and hasRead whether it has read it from the store.
	hasRevision, hasRead bool
	// downFor is how long the store is down before it comes back.
	downFor time.Duration
	// copied is whether the copy has an earlier revision.
	copied bool
	// adoptedAfter is when a balancer without the revision gets it from a peer.
	adoptedAfter time.Duration
	bound        time.Duration
}

// TestRevisionIsWrittenBackInTime guards against a store that lacks the revision in force for longer
// after a restore than the waits that are needed: a watcher may wait retry.Limit until it calls a
// store that was unreachable, and writeBackSpread for other watchers.
func TestRevisionIsWrittenBackInTime(t *testing.T) {
	for _, c := range []restoreCase{
		{name: "while watching", hasRevision: true, hasRead: true, bound: writeBackSpread},
		{
			name: "while watching, to an earlier revision", hasRevision: true, hasRead: true, copied: true,
			bound: writeBackSpread,
		},
		{
			name: "after an outage", hasRevision: true, hasRead: true, downFor: 30 * time.Second,
			bound: retry.Limit + writeBackSpread,
		},
		{
			name: "after an outage, to an earlier revision", hasRevision: true, hasRead: true, downFor: 30 * time.Second,
			copied: true, bound: retry.Limit + writeBackSpread,
		},
		{name: "before the first read", hasRevision: true, bound: writeBackSpread},
		{
			name: "during an outage before the first read", hasRevision: true, downFor: 30 * time.Second,
			bound: retry.Limit + writeBackSpread,
		},
		{name: "before the revision comes from a peer", adoptedAfter: 3 * time.Second, bound: writeBackSpread},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testRestore(t, c) })
		})
	}
}

func testRestore(t *testing.T, c restoreCase) {
	t.Helper()
	g, s := NewWithT(t), newRestorableStore()
	self := balancerNamed("balancer-1")
	node := state.NewNode(self)
	node.Table.Merge(self)
	r := revisionNumbered(t, 7)
	if c.hasRevision {
		node.Config.Adopt(r)
	}
	if c.hasRead {
		s.entries, s.version = entriesOf(t, r), 9
	}
	if !c.hasRead && c.downFor > 0 {
		s.setDown(true)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := New(s.client(), node, self, log.NewNopLogger(), WithStart(0, time.Millisecond)).Run(ctx)
	if c.hasRead {
		time.Sleep(3 * time.Second)
	}
	if c.downFor > 0 {
		s.setDown(true)
		time.Sleep(c.downFor)
	}
	copied, version := map[string]store.Entry{}, uint64(0)
	if c.copied {
		copied, version = entriesOf(t, revisionNumbered(t, 4)), 2
	}
	s.restore(copied, version)
	s.mu.Lock()
	s.calls, s.down = 0, false
	s.mu.Unlock()
	time.Sleep(c.adoptedAfter)
	node.Config.Adopt(r)
	back := time.Now()
	time.Sleep(time.Minute)
	cancel()
	g.Expect(<-done).To(Succeed())
	g.Expect(s.headWrittenAt).NotTo(BeZero(), "the head is missing")
	g.Expect(s.headWrittenAt.Sub(back)).To(BeNumerically("<=", c.bound+10*time.Millisecond))
	// In a minute, six watches end without a change.
	g.Expect(s.calls).To(BeNumerically("<=", 16))
}

// TestWatchOfEmptyStoreWaits guards against calls in quick succession while nobody has a
// configuration yet.
func TestWatchOfEmptyStoreWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestorableStore()
		self := balancerNamed("balancer-1")
		node := state.NewNode(self)
		node.Table.Merge(self)
		ctx, cancel := context.WithCancel(t.Context())
		done := New(s.client(), node, self, log.NewNopLogger(), WithStart(0, time.Millisecond)).Run(ctx)
		time.Sleep(time.Minute)
		cancel()
		NewWithT(t).Expect(<-done).To(Succeed())
		NewWithT(t).Expect(s.calls).To(BeNumerically("<=", 7))
	})
}
