package store

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/coordination/store"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
)

const (
	testWait  = 1500 * time.Millisecond
	testBound = 2 * time.Second
)

// stalledStore is a store with one configuration whose watches report no change while
// they wait.
type stalledStore struct {
	t        *testing.T
	revision atomic.Uint64
	calls    atomic.Int64
}

func (s *stalledStore) client() *store.Client {
	chunks, err := config.Split(config.Config{Deployment: config.Deployment{Name: "deaf"}})
	NewWithT(s.t).Expect(err).NotTo(HaveOccurred())
	return &store.Client{
		Watch: func(ctx context.Context, key string, after uint64, wait time.Duration) (store.Entry, error) {
			s.calls.Add(1)
			if s.revision.Load() <= after {
				select {
				case <-ctx.Done():
					return store.Entry{}, ctx.Err()
				case <-time.After(wait):
				}
			}
			n := s.revision.Load()
			b, err := proto.Marshal(config.NewHead(&controlv1.Head{Revision: n - 1}, chunks, &controlv1.Accepted{}))
			return store.Entry{Key: key, Value: b, Version: n}, err
		},
		Get: func(_ context.Context, key string) (store.Entry, error) {
			for _, c := range chunks {
				if store.ChunkKey(c.Digest[:]) == key {
					return store.Entry{Key: key, Value: c.Value, Version: 1}, nil
				}
			}
			return store.Entry{Key: key}, nil
		},
	}
}

func balancerNamed(name string) member.Member {
	return member.Member{
		Name: name, Role: member.Balancer, Domain: "north", Instance: 1, Version: 1, Phase: member.Serving,
	}
}

// timeToAdopt runs a watcher against a store with stalled watches, and returns how long a
// new revision takes to be in force, and how many watches were made before.
func timeToAdopt(t *testing.T, node *state.Node, self member.Member, s *stalledStore) (time.Duration, int64) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := New(
		s.client(), node, self, log.NewNopLogger(), WithStart(0, time.Millisecond),
		WithFreshness(testWait, testBound), WithoutChunkSpread(),
	).Run(ctx)
	time.Sleep(10 * time.Second)
	before := s.calls.Load()
	s.revision.Add(1)
	start := time.Now()
	for node.Config.Current().Number() != s.revision.Load() && time.Since(start) < time.Minute {
		time.Sleep(10 * time.Millisecond)
	}
	took := time.Since(start)
	cancel()
	NewWithT(t).Expect(<-done).To(Succeed())
	return took, before
}

// TestChangeMissedByWatch guards against a late adoption of revisions that a watch of
// the store does not report. Watches once waited 10 s, so that a revision was not in
// force everywhere in time (benchmark day scale-1 of avisos-vial).
func TestChangeMissedByWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &stalledStore{t: t}
		s.revision.Store(5)
		self := balancerNamed("balancer-1")
		node := state.NewNode(self)
		node.Table.Merge(self)
		took, calls := timeToAdopt(t, node, self, s)
		NewWithT(t).Expect(took).To(BeNumerically("<=", testWait+100*time.Millisecond))
		NewWithT(t).Expect(calls).To(BeNumerically("<=", 10), "calls in 10 s")
	})
}

// TestStaleBalancerWatchesUnelected guards against a stale configuration if no elected
// balancer confirms it: a balancer that is not elected must watch the store itself once
// the last confirmation is too old, but not while its peers have a recent one.
func TestStaleBalancerWatchesUnelected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &stalledStore{t: t}
		s.revision.Store(5)
		one, two := balancerNamed("balancer-1"), balancerNamed("balancer-2")
		node := state.NewNode(one)
		node.Table.Merge(one)
		node.Table.Merge(two)
		self := one
		if node.Table.Snapshot().Elected(one, watcherElection, 1) {
			self = two
		}
		took, _ := timeToAdopt(t, node, self, s)
		NewWithT(t).Expect(took).To(BeNumerically("<=", testBound+testWait), "no other balancer watches the store")

		ctx, cancel := context.WithCancel(context.Background())
		done := New(s.client(), node, self, log.NewNopLogger(), WithFreshness(testWait, testBound)).Run(ctx)
		before := s.calls.Load()
		for range 50 {
			node.Config.Confirm(node.Config.Current().Order(), time.Now())
			time.Sleep(200 * time.Millisecond)
		}
		NewWithT(t).Expect(s.calls.Load()).To(Equal(before), "peers confirm the revision")
		cancel()
		NewWithT(t).Expect(<-done).To(Succeed())
	})
}
