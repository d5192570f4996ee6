package balancer

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/transport/wait"
)

const (
	// pullQueue bounds the pulls that wait to be sorted into lanes, laneQueue those in each lane.
	pullQueue = 16
	laneQueue = 16
	// revisionPatience and memberPatience are how long a pull may take before the next one of its
	// lane runs beside it. A peer that responds takes some milliseconds.
	revisionPatience = 100 * time.Millisecond
	memberPatience   = 250 * time.Millisecond
	// maxConcurrentPulls bounds the pulls that run beside each other in a lane.
	maxConcurrentPulls = 4
)

type (
	// pull is a queued fetch of a peer's newer revision, or of the members of its table
	// that differ, or of both. If isBack is set, the peer had counted as dead, so that what it
	// knows of its own failure domain is spread as if it was learned first-hand.
	pull struct {
		from     member.Member
		revision bool
		members  bool
		isBack   bool
	}

	// lane runs pulls one after the other, except that the next one does not wait for one that takes
	// longer than the patience. It leaves out pulls from a peer that counts as dead, and those that
	// already run.
	lane struct {
		queue    chan pull
		patience time.Duration
		run      func(ctx context.Context, r pull)
		// onSlow is called for a pull that takes longer than the patience.
		onSlow func(r pull)
		// isAlive reports whether the peer may respond.
		isAlive func(peer member.Member) bool

		mu      sync.Mutex
		running map[pullKey]context.CancelFunc
	}

	// pullKey identifies pulls that would fetch the same.
	pullKey struct {
		from   member.ID
		isBack bool
	}
)

// newLane returns a lane whose pulls run is called for.
func newLane(patience time.Duration, isAlive func(member.Member) bool, run func(context.Context, pull)) *lane {
	return &lane{
		queue: make(chan pull, laneQueue), patience: patience, run: run, onSlow: func(pull) {}, isAlive: isAlive,
		running: make(map[pullKey]context.CancelFunc),
	}
}

// add queues a pull, or drops it if the queue is full: the next message of a peer queues it again.
func (l *lane) add(r pull) {
	select {
	case l.queue <- r:
	default:
	}
}

// serve runs the queued pulls until ctx is canceled, and returns when all of them have ended.
func (l *lane) serve(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	slots := make(chan struct{}, maxConcurrentPulls)
	for {
		select {
		case <-ctx.Done():
			return
		case slots <- struct{}{}:
		}
		select {
		case <-ctx.Done():
			return
		case r := <-l.queue:
			pullCtx, begun := l.begin(ctx, r)
			if !begun {
				<-slots
				continue
			}
			done := make(chan struct{})
			running.Go(func() {
				l.run(pullCtx, r)
				l.end(r)
				<-slots
				close(done)
			})
			l.await(ctx, r, done)
		}
	}
}

// await waits until the pull is done, but no longer than the patience.
func (l *lane) await(ctx context.Context, r pull, done <-chan struct{}) {
	timer := time.NewTimer(l.patience)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-done:
	case <-timer.C:
		l.onSlow(r)
	}
}

// begin records that the pull runs, and returns its context. It returns false if the pull is left out.
func (l *lane) begin(ctx context.Context, r pull) (context.Context, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := pullKey{from: r.from.ID(), isBack: r.isBack}
	if _, runs := l.running[key]; runs || !l.isAlive(r.from) {
		return nil, false
	}
	ctx, l.running[key] = context.WithCancel(ctx)
	return ctx, true
}

// end records that the pull has ended.
func (l *lane) end(r pull) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := pullKey{from: r.from.ID(), isBack: r.isBack}
	l.running[key]()
	delete(l.running, key)
}

// cancel cancels the pulls from the peer that run.
func (l *lane) cancel(peer member.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, cancel := range l.running {
		if key.from == peer {
			cancel()
		}
	}
}

// queuePull queues a pull if there is anything to pull. It drops the pull if the queue is
// full, as the next gossip message triggers it again.
func (p *Peers) queuePull(r pull) {
	if !r.revision && !r.members {
		return
	}
	select {
	case p.pulls <- r:
	default:
	}
}

// runPulls executes the queued pulls until ctx is canceled. Those of revisions and those of members
// don't wait for each other.
func (p *Peers) runPulls(ctx context.Context) error {
	var lanes sync.WaitGroup
	defer lanes.Wait()
	lanes.Go(func() { p.revisionLane.serve(ctx) })
	lanes.Go(func() { p.memberLane.serve(ctx) })
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-p.pulls:
			if r.revision {
				p.revisionLane.add(r)
			}
			if r.members {
				p.memberLane.add(r)
			}
		}
	}
}

// mayRespond reports whether the peer does not count as dead or left.
func (p *Peers) mayRespond(peer member.Member) bool {
	known, ok := p.node.Table.Get(peer.ID())
	return !ok || known.Phase.Alive()
}

// pullElsewhere queues a pull of the later revision from a random balancer, as the one that was asked
// first takes long.
func (p *Peers) pullElsewhere(pull) {
	for _, b := range p.digestPeer() {
		p.queuePull(pull{from: b, revision: true})
	}
}

// catchUp queues pulls of members from random peers at short intervals, for catchUpTime
// after the start.
func (p *Peers) catchUp(ctx context.Context) error {
	for end := p.now().Add(p.catchUpTime); p.now().Before(end) && wait.For(ctx, catchUpInterval); {
		for _, b := range p.digestPeer() {
			p.queuePull(pull{from: b, members: true})
		}
	}
	return nil
}

// pullRevision fetches the revision of the peer and adopts it if it is newer. It does nothing if no later
// revision is known to exist any more, as another pull was faster.
func (p *Peers) pullRevision(ctx context.Context, from member.Member) {
	if !p.node.Config.Behind(p.now()) {
		return
	}
	known := p.node.Config.Current()
	r, err := p.fetch.Revision(ctx, from.Control, known)
	if err != nil {
		_ = level.Warn(p.log).Log("event", "pull_failed", "peer", from.Name, "err", err)
		return
	}
	fetched := r.Order()
	p.fetchedRevision.Store(&fetched)
	if p.node.Config.Adopt(r) {
		_ = level.Info(p.log).Log("event", "revision_adopted", "revision", r.Order(), "from", from.Name)
	}
}

// PullMembers fetches the part of the peer's table that differs from this balancer's, and
// merges it. Synced returns true after the first success.
func (p *Peers) PullMembers(ctx context.Context, from member.Member) {
	p.pullMembers(ctx, pull{from: from, members: true})
}

func (p *Peers) pullMembers(ctx context.Context, r pull) {
	digests := p.node.Table.Snapshot().BucketDigests()
	members, err := p.fetch.Members(ctx, r.from.Control, digests)
	if err != nil {
		_ = level.Warn(p.log).Log("event", "sync_failed", "peer", r.from.Name, "err", err)
		return
	}
	for _, m := range members {
		switch {
		case p.isDoubtful(m, r.from):
			p.learnReport(m, r.from)
		case m.ID() == p.announcer.Self().ID():
		case r.isBack && m.Domain == r.from.Domain:
			p.Learn(m)
		default:
			// Other balancers compare digests too, so these changes are not spread again.
			p.merge(m)
		}
	}
	p.synced.Store(true)
}
