// Package store connects a balancer to the platform's store: it watches the
// configuration's head, removes unreferenced chunks, registers the balancer's address,
// and saves the flows that the balancer remembers.
//
// # Usage
//
//	w := store.New(client, node, self, logger)
//	done := w.Run(ctx)
//	collected := store.NewCollector(client, node, self, logger).Run(ctx)
//
// Only a few balancers watch the head, elected by rendezvous hashing among the known ones. The
// others learn of new revisions from their peers.
package store

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/coordination/store"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
	"arbutusfront.dev/common/transport/wait"
)

const (
	// watchersPerDomain bounds the load on the store regardless of the fleet's size.
	watchersPerDomain = 2
	// freshWatchers is how many balancers watch a store whose watches are short. They are in
	// different failure domains, so that the loss or a partition of one leaves others. Each
	// watch counts as a call, so there are no more, however large the fleet is.
	freshWatchers = 3
	// staleStagger delays the first watch of a balancer with a stale confirmation, for each
	// balancer that ranks before it, up to maxStaleStagger. The confirmation that one of them
	// gets soon reaches the others.
	staleStagger    = 10 * time.Millisecond
	maxStaleStagger = time.Second
	// firstReadPause is how long a balancer that has just read its first revision waits before
	// it watches. By then it knows its peers, and mostly is not elected.
	firstReadPause = time.Second

	watcherElection  = "watch head"
	electionInterval = time.Second
	// staleChecks is how often the age of the last confirmation is checked within the
	// staleness bound.
	staleChecks = 8
	// startPause delays the first call, because peers may already have the configuration.
	// startSpread spreads the first calls of a fleet that starts at once.
	startPause  = 300 * time.Millisecond
	startSpread = 1200 * time.Millisecond
	// eagerAttempts is how many times a balancer without a configuration retries an
	// unreachable store after the shortest backoff.
	eagerAttempts = 20
	// chunkSpread is the time, for each missing chunk, over which a fleet's chunk reads
	// are spread. Most balancers get the chunks from a peer before their turn.
	chunkSpread = 16 * time.Millisecond
	// watchWait is the default time that one watch waits for a change.
	watchWait = 10 * time.Second
	// writeBackSpread spreads the attempts of several watchers to write back a head that
	// the store has lost. Most then find that another one has written it.
	writeBackSpread = 2 * time.Second
)

var retry = wait.Backoff{First: 100 * time.Millisecond, Limit: 5 * time.Second}

type (
	// Watcher watches the configuration's head while its balancer is elected for it, and
	// adopts new revisions. It writes the revision in force back to a store that has lost
	// it.
	Watcher struct {
		client *store.Client
		// applier writes revisions back; nil if another system writes the
		// configuration.
		applier *config.Applier
		node    *state.Node
		self    member.Member
		log     log.Logger
		// pause and spread are those of WithStart; chunkSpread defaults to the constant.
		pause       time.Duration
		spread      time.Duration
		chunkSpread time.Duration
		// wait is how long one watch waits for a change.
		wait time.Duration
		// staleBound is the age of the last confirmation from which a balancer that is
		// not elected watches too; 0 for never.
		staleBound time.Duration
		// watchers is how many balancers of each failure domain are elected, or of the whole
		// fleet if acrossFleet is set.
		watchers    int
		acrossFleet bool
		// electsAll makes all balancers watch.
		electsAll bool
		// eraGauge is the store's era, writtenBack counts the heads written back.
		eraGauge    tally.Gauge
		writtenBack tally.Counter
	}

	// Option changes how a Watcher is built.
	Option func(*Watcher)
)

// WithStart sets the delay before the watcher's first call: the pause, plus a random time
// up to the spread.
func WithStart(pause, spread time.Duration) Option {
	return func(w *Watcher) { w.pause, w.spread = pause, spread }
}

// WithFreshness bounds the time since the store last confirmed the revision in force.
// Each watch waits at most the given time for a change. A balancer that is not elected
// watches too if neither it nor its peers have a confirmation younger than the bound. Only
// freshWatchers balancers of the fleet are elected.
func WithFreshness(wait, bound time.Duration) Option {
	return func(w *Watcher) {
		w.wait, w.staleBound, w.watchers, w.acrossFleet = wait, bound, freshWatchers, true
	}
}

// WithoutElection makes all balancers watch the store.
func WithoutElection() Option { return func(w *Watcher) { w.electsAll = true } }

// WithoutChunkSpread disables the spreading of chunk reads, for stores whose client has
// the chunks at hand once it has the head.
func WithoutChunkSpread() Option { return func(w *Watcher) { w.chunkSpread = 0 } }

// WithReadOnly disables writing revisions back to the store. It is for stores in which another
// system writes the configuration.
func WithReadOnly() Option { return func(w *Watcher) { w.applier = nil } }

// WithScope sets the scope of the watcher's metrics.
func WithScope(s tally.Scope) Option {
	return func(w *Watcher) {
		w.eraGauge, w.writtenBack = s.Gauge("store_era"), s.Counter("heads_written_back")
	}
}

// New returns a watcher for the balancer self.
func New(client *store.Client, node *state.Node, self member.Member, logger log.Logger, opts ...Option) *Watcher {
	w := &Watcher{
		client: client, node: node, self: self, log: logger, pause: startPause, spread: startSpread,
		chunkSpread: chunkSpread, wait: watchWait, watchers: watchersPerDomain,
		applier: config.NewApplier(client),
	}
	WithScope(tally.NoopScope)(w)
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// Run watches the head until ctx is canceled. The channel receives nil then.
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
	era := w.client.Eras.Current()
	failures := 0
	pause := w.pause + rand.N(w.spread)
	for wait.For(ctx, pause) {
		if current := w.client.Eras.Current(); current != era {
			w.reportEra(era, current)
			if era != 0 {
				version = 0
			}
			era = current
		}
		if !w.mustWatch() {
			pause = w.electionPause()
			continue
		}
		next, err := w.watchOnce(ctx, version, w.waitAfter(failures))
		if err != nil && w.isRestoredSince(era) {
			pause, failures = 0, 0
			continue
		}
		if err != nil {
			pause = w.pauseAfter(failures)
			failures++
			_ = level.Warn(w.log).Log("event", "store_unreachable", "failures", failures, "retry_in", pause, "err", err)
			continue
		}
		pause = 0
		if version == 0 && next != 0 && w.acrossFleet {
			pause = firstReadPause
		}
		version, failures = next, 0
	}
}

// isRestoredSince reports whether the store has responded, if only with an error, in a later era than
// the given one. What was read before is then read again at once.
func (w *Watcher) isRestoredSince(era uint64) bool {
	return era != 0 && era != w.client.Eras.Current()
}

// pauseAfter returns the pause after a failed watch that follows the given number of others.
func (w *Watcher) pauseAfter(failures int) time.Duration {
	if w.node.Config.Current() == nil && failures < eagerAttempts {
		return retry.After(0)
	}
	return retry.After(failures)
}

// waitAfter returns how long a watch waits after that many failed ones. The first one after a failure
// doesn't wait: the store may have been restored meanwhile, and only a response tells.
func (w *Watcher) waitAfter(failures int) time.Duration {
	if failures > 0 && w.applier != nil {
		return 0
	}
	return w.wait
}

// reportEra logs and measures the store's first era that is known, or a later one.
func (w *Watcher) reportEra(former, current uint64) {
	event := "store_restored"
	if former == 0 {
		event = "store_era"
	}
	w.eraGauge.Update(float64(current))
	_ = level.Info(w.log).Log(
		"event", event, "era", current, "former", former, "revision", w.node.Config.Current().Order())
}

// mustWatch reports whether this balancer is to watch the store now: it is elected, or
// its last confirmation is stale.
func (w *Watcher) mustWatch() bool {
	s := w.node.Table.Snapshot()
	if w.electsAll || w.isElected(s) {
		return true
	}
	age, known := w.node.Config.Age(time.Now())
	stagger := min(time.Duration(s.Rank(w.self, watcherElection))*staleStagger, maxStaleStagger)
	return w.staleBound > 0 && (!known || age > w.staleBound+stagger)
}

func (w *Watcher) isElected(s *member.Snapshot) bool {
	if w.acrossFleet {
		return s.ElectedAcross(w.self, watcherElection, w.watchers)
	}
	return s.Elected(w.self, watcherElection, w.watchers)
}

// electionPause returns how often a balancer that does not watch checks whether it has to.
func (w *Watcher) electionPause() time.Duration {
	if w.staleBound > 0 {
		return w.staleBound / staleChecks
	}
	return electionInterval
}

// watchOnce waits up to the given time for a head later than the version, adopts its revision if that is newer,
// and returns the head's version. If no such head comes in time, it returns the version
// unchanged. In both cases the store has confirmed the revision in force, which
// watchOnce records. If the store is restored meanwhile, versions start again, and watchOnce
// returns 0. The store client's timeout ends a stalled watch.
func (w *Watcher) watchOnce(ctx context.Context, version uint64, limit time.Duration) (uint64, error) {
	era := w.client.Eras.Current()
	e, err := w.watchHead(ctx, version, limit)
	if err != nil {
		return version, err
	}
	if w.isRestoredSince(era) {
		return 0, nil
	}
	known := w.node.Config.Current()
	if e.Version <= version {
		w.node.Config.Confirm(known.Order(), time.Now())
		if e.Version == 0 && known != nil {
			return 0, w.writeBack(ctx, known)
		}
		return version, nil
	}
	return w.adopt(ctx, e, version)
}

// watchHead waits up to the given time for a head later than the version. It doesn't wait if a revision
// is in force but no head has been seen, as the store may have lost it. Nor does it wait any longer
// once the first revision has come from a peer.
func (w *Watcher) watchHead(ctx context.Context, version uint64, limit time.Duration) (store.Entry, error) {
	if version != 0 || w.applier == nil {
		return w.client.Watch(ctx, store.KeyHead, version, limit)
	}
	adopted := w.node.Config.Changed()
	if w.node.Config.Current() != nil {
		return w.client.Watch(ctx, store.KeyHead, version, 0)
	}
	watching, cancel := context.WithCancel(ctx)
	done := cancelOn(watching, adopted, cancel)
	e, err := w.client.Watch(watching, store.KeyHead, version, limit)
	cancel()
	<-done
	if err != nil && ctx.Err() == nil && w.node.Config.Current() != nil {
		return w.client.Watch(ctx, store.KeyHead, version, 0)
	}
	return e, err
}

// cancelOn calls cancel when the signal is closed. The returned channel is closed then, or when ctx is
// canceled.
func cancelOn(ctx context.Context, signal <-chan struct{}, cancel context.CancelFunc) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		select {
		case <-signal:
			cancel()
		case <-ctx.Done():
		}
	}()
	return done
}

// adopt adopts the revision of the head's entry if it is newer than the one in force, or writes
// the one in force back if it is older. It returns the entry's version, or with an error the
// given one.
func (w *Watcher) adopt(ctx context.Context, e store.Entry, version uint64) (uint64, error) {
	var head controlv1.Head
	if err := proto.Unmarshal(e.Value, &head); err != nil {
		return version, err
	}
	known := w.node.Config.Current()
	if missing := len(known.Missing(&head)); missing > 1 && w.chunkSpread > 0 {
		wait.For(ctx, rand.N(w.chunkSpread*time.Duration(missing)))
		known = w.node.Config.Current()
	}
	if stored := config.OrderOf(&head); !known.Order().Before(stored) {
		w.node.Config.Confirm(known.Order(), time.Now())
		if stored.Before(known.Order()) {
			return e.Version, w.writeBack(ctx, known)
		}
		return e.Version, nil
	}
	w.node.Config.Announce(config.OrderOf(&head), time.Now())
	values, err := config.ReadChunks(ctx, w.client, known, &head)
	if err != nil {
		return version, err
	}
	r, err := config.Assemble(&head, values)
	if err != nil {
		return version, err
	}
	adopted := w.node.Config.Adopt(r)
	w.node.Config.Confirm(r.Order(), time.Now())
	if adopted {
		_ = level.Info(w.log).Log("event", "revision_adopted", "revision", r.Order(), "from", "store")
	}
	return e.Version, nil
}

// writeBack writes the revision, which the store has lost, to the store. It leaves that to the
// other watchers if one of them has done so after a random time.
func (w *Watcher) writeBack(ctx context.Context, r *config.Revision) error {
	if w.applier == nil || !wait.For(ctx, rand.N(writeBackSpread)) {
		return nil
	}
	written, err := w.applier.WriteBack(ctx, r)
	if written {
		w.writtenBack.Inc(1)
		_ = level.Warn(w.log).Log(
			"event", "head_written_back", "revision", r.Order(), "era", w.client.Eras.Current())
	}
	return err
}
