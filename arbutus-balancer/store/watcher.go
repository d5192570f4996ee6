// Package store follows the configuration's head in the platform's store, and
// removes chunks that are no longer needed.
//
// # Usage
//
//	w := store.New(client, node, self, logger)
//	done := w.Run(ctx)
//	collected := store.NewCollector(client, node, self, logger).Run(ctx)
//
// Only a few balancers of each failure domain watch, chosen by hash among those
// known: the others learn of new revisions from their peers.
package store

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/coordination/store"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
	"arbutusfront.dev/common/transport/wait"
)

const (
	// watchersPerDomain bounds the store's load, whatever the fleet's size.
	watchersPerDomain = 2

	electionTask     = "watch head"
	electionInterval = time.Second
	// startPause lets a balancer hear of others first, which may have the
	// configuration; startSpread keeps a fleet that starts from asking at once.
	startPause  = 300 * time.Millisecond
	startSpread = 1200 * time.Millisecond
	// attemptsAtOnce is how many times an unreachable store is tried at the first
	// pause of the backoff by a balancer without a configuration.
	attemptsAtOnce = 20
	// chunkSpread, for each chunk that is missing, is the time over which a
	// fleet's reads of the chunks are spread. Most have them from a peer before.
	chunkSpread = 16 * time.Millisecond
	watchWait   = 10 * time.Second
)

var retry = wait.Backoff{First: 100 * time.Millisecond, Limit: 5 * time.Second}

type (
	// Watcher follows the head while its balancer is elected.
	Watcher struct {
		client *store.Client
		node   *state.Node
		self   member.Member
		log    log.Logger
		pause  time.Duration
		spread time.Duration
	}

	// Option changes how a Watcher is built.
	Option func(*Watcher)
)

// WithStart sets how long the watcher waits before its first call: for the pause,
// and up to the spread longer.
func WithStart(pause, spread time.Duration) Option {
	return func(w *Watcher) { w.pause, w.spread = pause, spread }
}

// New returns a watcher of the store for the balancer.
func New(client *store.Client, node *state.Node, self member.Member, logger log.Logger, opts ...Option) *Watcher {
	w := &Watcher{client: client, node: node, self: self, log: logger, pause: startPause, spread: startSpread}
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// Run follows the head until ctx ends, and reports its end on the channel.
func (w *Watcher) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		w.run(ctx)
		done <- nil
	}()
	return done
}

func (w *Watcher) run(ctx context.Context) {
	var version uint64
	failures := 0
	pause := w.pause + rand.N(w.spread)
	for wait.For(ctx, pause) {
		if !w.node.Table.Snapshot().Elected(w.self, electionTask, watchersPerDomain) {
			pause = electionInterval
			continue
		}
		next, err := w.follow(ctx, version)
		if err != nil {
			pause = retry.After(failures)
			if w.node.Config.Current() == nil && failures < attemptsAtOnce {
				pause = retry.After(0)
			}
			failures++
			_ = level.Warn(w.log).Log("event", "store_unreachable", "failures", failures, "retry_in", pause, "err", err)
			continue
		}
		version, failures, pause = next, 0, 0
	}
}

// follow waits for a head later than the version and adopts it. A watch that
// goes silent ends by its own deadline.
func (w *Watcher) follow(ctx context.Context, version uint64) (uint64, error) {
	e, err := w.client.Watch(ctx, store.KeyHead, version, watchWait)
	if err != nil || e.Version <= version {
		return version, err
	}
	var head controlv1.Head
	if err := proto.Unmarshal(e.Value, &head); err != nil {
		return version, err
	}
	known := w.node.Config.Current()
	if missing := len(known.Missing(&head)); missing > 1 {
		wait.For(ctx, rand.N(chunkSpread*time.Duration(missing)))
		known = w.node.Config.Current()
	}
	if head.GetRevision() <= known.Number() {
		return e.Version, nil
	}
	values, err := config.ReadChunks(ctx, w.client, known, &head)
	if err != nil {
		return version, err
	}
	r, err := config.Assemble(&head, values)
	if err != nil {
		return version, err
	}
	if w.node.Config.Adopt(r) {
		_ = level.Info(w.log).Log("event", "revision_adopted", "revision", r.Number(), "from", "store")
	}
	return e.Version, nil
}
