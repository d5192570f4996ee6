package sessions

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"arbutusfront.dev/arbutus-balancer/state"
	balancerstore "arbutusfront.dev/arbutus-balancer/store"
	"arbutusfront.dev/arbutus-lab/store"
	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/member"
	kvstore "arbutusfront.dev/common/coordination/store"
)

const (
	// collectionBound is the time in which a chunk that the head no longer references must be
	// removed. The collector lists a sixteenth of the chunks every 10 s and removes a chunk
	// when it finds it unreferenced twice: 320 s, after an earlier collector's lease of 30 s
	// has expired.
	collectionBound = 7 * time.Minute
	// leaseExpiryWait is how long tests wait until the collector's lease of 30 s has expired.
	leaseExpiryWait = time.Minute
)

// collectorHarness is a store with the collectors that remove its unreferenced chunks.
type collectorHarness struct {
	t     *testing.T
	g     *WithT
	store *store.Store
	ctx   context.Context
	// applies counts the applies, to give each an ID of its own.
	applies atomic.Int64
}

// withCollector runs the test in virtual time, and stops its collectors at the end.
func withCollector(t *testing.T, run func(c *collectorHarness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		run(&collectorHarness{t: t, g: NewWithT(t), store: store.New(), ctx: ctx})
		cancel()
	})
}

// startCollector starts the collector of the named balancer, and returns the balancer's state.
func (c *collectorHarness) startCollector(name string, client *kvstore.Client) *state.Node {
	self := member.Member{
		Name: name, Role: member.Balancer, Domain: name, Instance: 1, Version: 1, Phase: member.Serving,
	}
	node := state.NewNode(self)
	node.Table.Merge(self)
	balancerstore.NewCollector(client, node, self, log.NewNopLogger()).Run(c.ctx)
	return node
}

// apply applies the sample configuration of the id.
func (c *collectorHarness) apply(client *kvstore.Client, id string) config.Outcome {
	return config.NewApplier(client).Apply(c.ctx, config.Proposal{
		ID: fmt.Sprintf("%s/%d", id, c.applies.Add(1)), Author: id,
		Change: func(*config.Revision) (config.Config, error) { return sampleConfig(id), nil },
	})
}

// applyMany applies n configurations, which leaves unreferenced chunks in the store.
func (c *collectorHarness) applyMany(n int) {
	for i := range n {
		c.g.Expect(c.apply(directClient(c.store), fmt.Sprintf("old-%d", i)).Result).To(Equal(config.Accepted))
	}
}

// expectConfig expects the head to have the sample configuration of the id. Reading it
// fails if a chunk that the head references is missing.
func (c *collectorHarness) expectConfig(id string) {
	r, err := config.NewApplier(directClient(c.store)).Read(c.ctx)
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(r.Config.Drained).To(Equal([]string{id}))
}

// chunkCount returns the number of chunks in the store.
func (c *collectorHarness) chunkCount() int {
	entries, err := directClient(c.store).List(c.ctx, kvstore.PrefixChunk)
	c.g.Expect(err).NotTo(HaveOccurred())
	return len(entries)
}

// TestUnreferencedChunksAreRemoved guards against chunks that remain in the store when the
// head no longer references them. The store is also down for so long that the collector's
// lease expires: a collector must acquire it again.
func TestUnreferencedChunksAreRemoved(t *testing.T) {
	withCollector(t, func(c *collectorHarness) {
		c.applyMany(50)
		c.g.Expect(c.chunkCount()).To(BeNumerically(">", 50))
		c.startCollector("balancer-1", directClient(c.store))
		c.startCollector("balancer-2", directClient(c.store))
		time.Sleep(collectionBound)
		c.g.Expect(c.chunkCount()).To(Equal(2))
		c.expectConfig("old-49")

		c.store.SetFaults(storeDown)
		time.Sleep(leaseExpiryWait)
		c.store.SetFaults(store.Faults{})
		c.applyMany(50)
		time.Sleep(collectionBound)
		c.g.Expect(c.chunkCount()).To(Equal(2))
		c.expectConfig("old-49")
	})
}

// TestRemovalRacesApply guards against the removal of chunks that the head references. An
// apply goes back to an earlier configuration while the collector is about to remove that
// configuration's chunks, at each point where the two can interleave badly.
func TestRemovalRacesApply(t *testing.T) {
	for _, point := range []struct {
		name string
		// before matches the collector's write that the apply precedes.
		before func(w kvstore.Write) bool
	}{
		{"before the collector rewrites the head", func(w kvstore.Write) bool { return w.Key == kvstore.KeyHead }},
		{"before the first removal", func(w kvstore.Write) bool { return w.Delete }},
	} {
		t.Run(point.name, func(t *testing.T) {
			withCollector(t, func(c *collectorHarness) {
				c.applyMany(3)
				client := directClient(c.store)
				swap := client.CompareAndSwap
				var raced atomic.Bool
				client.CompareAndSwap = func(ctx context.Context, w kvstore.Write) (kvstore.Swap, error) {
					if point.before(w) && raced.CompareAndSwap(false, true) {
						c.g.Expect(c.apply(directClient(c.store), "old-0").Result).To(Equal(config.Accepted))
					}
					return swap(ctx, w)
				}
				c.startCollector("balancer-1", client)
				time.Sleep(collectionBound)
				c.g.Expect(raced.Load()).To(BeTrue())
				c.expectConfig("old-0")
			})
		})
	}
	t.Run("while the apply is paused before its accepting write", func(t *testing.T) {
		withCollector(t, func(c *collectorHarness) {
			c.applyMany(3)
			client := directClient(c.store)
			swap, paused := client.CompareAndSwap, false
			client.CompareAndSwap = func(ctx context.Context, w kvstore.Write) (kvstore.Swap, error) {
				if w.Key == kvstore.KeyHead && !paused {
					paused = true
					time.Sleep(collectionBound)
				}
				return swap(ctx, w)
			}
			c.startCollector("balancer-1", directClient(c.store))
			c.g.Expect(c.apply(client, "old-0").Result).To(Equal(config.Accepted))
			c.expectConfig("old-0")
		})
	})
}

// TestPausedCollector guards against a collector that removes chunks after its lease has
// expired. The lease owner pauses just before the removal, for longer than the lease lasts:
// another collector takes over, and the first must remove nothing when it resumes.
func TestPausedCollector(t *testing.T) {
	withCollector(t, func(c *collectorHarness) {
		c.applyMany(3)
		client := directClient(c.store)
		swap := client.CompareAndSwap
		var paused atomic.Bool
		var removals atomic.Int64
		client.CompareAndSwap = func(ctx context.Context, w kvstore.Write) (kvstore.Swap, error) {
			out, err := swap(ctx, w)
			switch {
			case w.Key == kvstore.KeyHead && paused.CompareAndSwap(false, true):
				time.Sleep(leaseExpiryWait)
			case w.Delete:
				removals.Add(1)
			}
			return out, err
		}
		c.startCollector("balancer-1", client)
		for !paused.Load() {
			time.Sleep(time.Second)
		}
		c.startCollector("balancer-2", directClient(c.store))
		time.Sleep(collectionBound)
		leaseOwner, err := directClient(c.store).Get(c.ctx, kvstore.KeyCollector)
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(string(leaseOwner.Value)).To(Equal("balancer-2"))
		c.g.Expect(removals.Load()).To(BeZero())
		c.g.Expect(c.chunkCount()).To(Equal(2))
		c.expectConfig("old-2")
	})
}

// TestLostChunksAreWrittenBack guards against a head that can't be read because a chunk which it
// references is gone: a removal that was sent before the store was restored took effect
// afterwards, when the chunk's listed version had been assigned again.
func TestLostChunksAreWrittenBack(t *testing.T) {
	withCollector(t, func(c *collectorHarness) {
		c.applyMany(1)
		client := directClient(c.store)
		r, err := config.NewApplier(client).Read(c.ctx)
		c.g.Expect(err).NotTo(HaveOccurred())
		c.startCollector("balancer-1", client).Config.Adopt(r)
		entries, err := client.List(c.ctx, kvstore.PrefixChunk)
		c.g.Expect(err).NotTo(HaveOccurred())
		for _, e := range entries {
			_, err := client.CompareAndSwap(c.ctx, kvstore.Write{Key: e.Key, ExpectedVersion: e.Version, Delete: true})
			c.g.Expect(err).NotTo(HaveOccurred())
		}
		time.Sleep(collectionBound)
		c.expectConfig("old-0")
	})
}
