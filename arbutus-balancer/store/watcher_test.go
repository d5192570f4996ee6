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

// deafStore has one configuration. Its watches hear of no change while they wait.
type deafStore struct {
	t        *testing.T
	revision atomic.Uint64
	calls    atomic.Int64
}

func (s *deafStore) client() *store.Client {
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

// inForceWithin runs a watcher of the node and returns how long a change takes to be in
// force while watches hear nothing.
func inForceWithin(t *testing.T, node *state.Node, self member.Member, s *deafStore) (time.Duration, int64) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := New(
		s.client(), node, self, log.NewNopLogger(), WithStart(0, time.Millisecond),
		WithFreshness(testWait, testBound), WithoutChunkReads(),
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

// TestDeafWatch bounds how long a change takes that the store's watches don't tell of.
// They once waited 10 s, and CONFIG was broken on scale-1 of avisos-vial.
func TestDeafWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &deafStore{t: t}
		s.revision.Store(5)
		self := balancerNamed("balancer-1")
		node := state.NewNode(self)
		node.Table.Merge(self)
		took, calls := inForceWithin(t, node, self, s)
		NewWithT(t).Expect(took).To(BeNumerically("<=", testWait+100*time.Millisecond))
		NewWithT(t).Expect(calls).To(BeNumerically("<=", 10), "calls in 10 s")
	})
}

// TestStaleWord has a balancer that is not elected ask the store itself once its peers
// have had no word of it for too long, and not while they have.
func TestStaleWord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &deafStore{t: t}
		s.revision.Store(5)
		one, two := balancerNamed("balancer-1"), balancerNamed("balancer-2")
		node := state.NewNode(one)
		node.Table.Merge(one)
		node.Table.Merge(two)
		self := one
		if node.Table.Snapshot().Elected(one, electionTask, 1) {
			self = two
		}
		took, _ := inForceWithin(t, node, self, s)
		NewWithT(t).Expect(took).To(BeNumerically("<=", testBound+testWait), "nobody else watches")

		ctx, cancel := context.WithCancel(context.Background())
		done := New(s.client(), node, self, log.NewNopLogger(), WithFreshness(testWait, testBound)).Run(ctx)
		before := s.calls.Load()
		for range 50 {
			node.Config.Confirm(node.Config.Current().Number(), time.Now())
			time.Sleep(200 * time.Millisecond)
		}
		NewWithT(t).Expect(s.calls.Load()).To(Equal(before), "peers confirm")
		cancel()
		NewWithT(t).Expect(<-done).To(Succeed())
	})
}
