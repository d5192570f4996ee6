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
	// staleChecks is how often within the bound on staleness its age is looked at.
	staleChecks = 8
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
		// pause and spread are as in WithStart, chunkSpread as the constant.
		pause       time.Duration
		spread      time.Duration
		chunkSpread time.Duration
		// wait is how long one call waits for a change.
		wait time.Duration
		// staleBound is the age of the store's word from which a balancer asks that
		// is not elected; 0 for never.
		staleBound time.Duration
		watchers   int
	}

	// Option changes how a Watcher is built.
	Option func(*Watcher)
)

// WithStart sets how long the watcher waits before its first call: for the pause,
// and up to the spread longer.
func WithStart(pause, spread time.Duration) Option {
	return func(w *Watcher) { w.pause, w.spread = pause, spread }
}

// WithFreshness bounds how old the store's word on the configuration becomes: each
// call waits for a change for the given time, and a balancer whose peers have no word
// that is younger than the bound asks itself. One balancer of each failure domain
// watches.
func WithFreshness(wait, bound time.Duration) Option {
	return func(w *Watcher) { w.wait, w.staleBound, w.watchers = wait, bound, 1 }
}

// WithoutChunkReads tells that the chunks are at hand once the head is, so that
// reading them need not be spread.
func WithoutChunkReads() Option { return func(w *Watcher) { w.chunkSpread = 0 } }

// New returns a watcher of the store for the balancer.
func New(client *store.Client, node *state.Node, self member.Member, logger log.Logger, opts ...Option) *Watcher {
	w := &Watcher{
		client: client, node: node, self: self, log: logger, pause: startPause, spread: startSpread,
		chunkSpread: chunkSpread, wait: watchWait, watchers: watchersPerDomain,
	}
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
		if !w.mustWatch() {
			pause = w.electionPause()
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

// mustWatch reports whether this balancer is to ask the store now.
func (w *Watcher) mustWatch() bool {
	if w.node.Table.Snapshot().Elected(w.self, electionTask, w.watchers) {
		return true
	}
	age, known := w.node.Config.Age(time.Now())
	return w.staleBound > 0 && (!known || age > w.staleBound)
}

func (w *Watcher) electionPause() time.Duration {
	if w.staleBound > 0 {
		return w.staleBound / staleChecks
	}
	return electionInterval
}

// follow waits for a head later than the version and adopts it. A watch that
// goes silent ends by its own deadline.
func (w *Watcher) follow(ctx context.Context, version uint64) (uint64, error) {
	e, err := w.client.Watch(ctx, store.KeyHead, version, w.wait)
	if err != nil {
		return version, err
	}
	if e.Version <= version {
		w.node.Config.Confirm(w.node.Config.Current().Number(), time.Now())
		return version, nil
	}
	var head controlv1.Head
	if err := proto.Unmarshal(e.Value, &head); err != nil {
		return version, err
	}
	known := w.node.Config.Current()
	if missing := len(known.Missing(&head)); missing > 1 && w.chunkSpread > 0 {
		wait.For(ctx, rand.N(w.chunkSpread*time.Duration(missing)))
		known = w.node.Config.Current()
	}
	if head.GetRevision() <= known.Number() {
		w.node.Config.Confirm(known.Number(), time.Now())
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
	adopted := w.node.Config.Adopt(r)
	w.node.Config.Confirm(r.Number(), time.Now())
	if adopted {
		_ = level.Info(w.log).Log("event", "revision_adopted", "revision", r.Number(), "from", "store")
	}
	return e.Version, nil
}
