package store

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/coordination/store"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
	"arbutusfront.dev/common/transport/wait"
)

const (
	collectorElection = "collect chunks"
	// collectorsPerDomain bounds the balancers of a failure domain that compete for the
	// lease.
	collectorsPerDomain = 1
	collectorLeaseTTL   = 30 * time.Second
	collectInterval     = 10 * time.Second
	// shards is the number of parts that the chunks are listed in, by the first hex digit
	// of their digests. Each interval lists one part.
	shards = 16
	// maxDeletions bounds the load on the store in one interval.
	maxDeletions = 100
)

// Collector removes chunks that the head no longer references, while it holds the
// collector's lease.
type Collector struct {
	client *store.Client
	node   *state.Node
	self   member.Member
	log    log.Logger
	lease  *store.Lease
	// shard is the part that was listed last.
	shard int
	// unreferencedVersions holds the versions of the chunks that were unreferenced when
	// they were last listed, by key. The versions are those of the store's era.
	unreferencedVersions map[string]uint64
	era                  uint64
}

// NewCollector returns a collector for the balancer self.
func NewCollector(client *store.Client, node *state.Node, self member.Member, logger log.Logger) *Collector {
	return &Collector{
		client:               client,
		node:                 node,
		self:                 self,
		log:                  logger,
		lease:                store.NewLease(client, store.KeyCollector, self.Name, collectorLeaseTTL),
		unreferencedVersions: make(map[string]uint64),
	}
}

// Run removes unreferenced chunks while the balancer is elected for it, until ctx is
// canceled. The channel receives nil then.
func (c *Collector) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for wait.For(ctx, collectInterval) {
			if !c.node.Table.Snapshot().Elected(c.self, collectorElection, collectorsPerDomain) {
				continue
			}
			if err := c.step(ctx); err != nil {
				_ = level.Warn(c.log).Log("event", "collection_failed", "err", err)
			}
		}
		done <- nil
	}()
	return done
}

// step renews or acquires the lease and collects the next shard. It does nothing if
// another balancer holds the lease.
func (c *Collector) step(ctx context.Context) error {
	held, err := c.lease.Renew(ctx)
	if err != nil || !held {
		return err
	}
	c.shard = (c.shard + 1) % shards
	return c.collect(ctx, fmt.Sprintf("%s%x", store.PrefixChunk, c.shard))
}

// collect removes the chunks with the prefix that the head does not reference, and did not
// reference when they were last listed. It writes back those that the head references and the
// store lacks. Before the first removal it writes the head again, unchanged: an apply that has
// read the head earlier and relies on one of these chunks then fails its compare-and-swap. An
// apply that reads the head later writes each chunk that the head does not reference. The
// version of such a chunk differs from the listed one, so it is not removed.
func (c *Collector) collect(ctx context.Context, prefix string) error {
	head, err := c.client.Get(ctx, store.KeyHead)
	if err != nil || head.Version == 0 {
		return err
	}
	referenced, err := referencedChunks(head.Value)
	if err != nil {
		return err
	}
	entries, err := c.client.List(ctx, prefix)
	if err != nil {
		return err
	}
	if era := c.client.Eras.Current(); era != c.era {
		// The versions of the former era are assigned again.
		c.era = era
		clear(c.unreferencedVersions)
	}
	if err := c.writeMissing(ctx, entries, referenced, prefix); err != nil {
		return err
	}
	c.pruneRemoved(entries, prefix)
	garbage := c.selectGarbage(entries, referenced)
	if len(garbage) == 0 || !c.lease.Held() {
		return nil
	}
	swap, err := c.client.CompareAndSwap(ctx, store.Write{
		Key: store.KeyHead, ExpectedVersion: head.Version, Value: head.Value,
	})
	if err != nil || !swap.Swapped {
		return err
	}
	return c.remove(ctx, garbage)
}

// writeMissing writes the referenced chunks with the prefix that are not among the entries, if
// the revision in force contains them. A chunk can be lost if its removal takes effect after
// the store was restored, when the listed version has been assigned again.
func (c *Collector) writeMissing(
	ctx context.Context, entries []store.Entry, referenced map[string]bool, prefix string,
) error {
	missing := maps.Clone(referenced)
	for _, e := range entries {
		delete(missing, e.Key)
	}
	for _, chunk := range c.node.Config.Current().Chunks() {
		key := store.ChunkKey(chunk.Digest[:])
		if !missing[key] || !strings.HasPrefix(key, prefix) {
			continue
		}
		if _, err := c.client.CompareAndSwap(ctx, store.Write{Key: key, Value: chunk.Value}); err != nil {
			return err
		}
		_ = level.Warn(c.log).Log("event", "chunk_written_back", "chunk", chunk.Name)
	}
	return nil
}

// pruneRemoved removes from unreferencedVersions the chunks with the prefix that are no
// longer in the store, such as those that another collector has removed.
func (c *Collector) pruneRemoved(entries []store.Entry, prefix string) {
	maps.DeleteFunc(c.unreferencedVersions, func(key string, _ uint64) bool {
		return strings.HasPrefix(key, prefix) &&
			!slices.ContainsFunc(entries, func(e store.Entry) bool { return e.Key == key })
	})
}

// selectGarbage returns up to maxDeletions entries that the head does not reference, and
// did not reference at the same version when they were last listed. It updates
// unreferencedVersions with the entries. The delay until the next listing lets processes
// finish that still read the chunks of a replaced head.
func (c *Collector) selectGarbage(entries []store.Entry, referenced map[string]bool) []store.Entry {
	var garbage []store.Entry
	for _, e := range entries {
		if referenced[e.Key] {
			delete(c.unreferencedVersions, e.Key)
			continue
		}
		if c.unreferencedVersions[e.Key] == e.Version && len(garbage) < maxDeletions {
			garbage = append(garbage, e)
		}
		c.unreferencedVersions[e.Key] = e.Version
	}
	return garbage
}

// remove removes the entries that still have the listed version, as long as the lease is
// held.
func (c *Collector) remove(ctx context.Context, garbage []store.Entry) error {
	removed := 0
	for _, e := range garbage {
		if !c.lease.Held() {
			break
		}
		swap, err := c.client.CompareAndSwap(ctx, store.Write{Key: e.Key, ExpectedVersion: e.Version, Delete: true})
		if err != nil {
			return err
		}
		if swap.Swapped {
			removed++
			delete(c.unreferencedVersions, e.Key)
		}
	}
	_ = level.Info(c.log).Log("event", "chunks_removed", "removed", removed, "of", len(garbage))
	return nil
}

// referencedChunks returns the keys of the chunks that the encoded head references.
func referencedChunks(value []byte) (map[string]bool, error) {
	var head controlv1.Head
	if err := proto.Unmarshal(value, &head); err != nil {
		return nil, err
	}
	referenced := make(map[string]bool, len(head.GetChunks()))
	for _, ref := range head.GetChunks() {
		referenced[store.ChunkKey(ref.GetDigest())] = true
	}
	return referenced, nil
}
