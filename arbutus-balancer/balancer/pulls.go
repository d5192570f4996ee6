package balancer

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/transport/lane"
	"arbutusfront.dev/common/transport/wait"
)

const (
	// pullQueue bounds the pulls that wait to be sorted into lanes.
	pullQueue = 16
	// revisionPatience and memberPatience are how long a pull may take before the next one of its
	// lane runs beside it. A peer that responds takes some milliseconds.
	revisionPatience = 100 * time.Millisecond
	memberPatience   = 250 * time.Millisecond
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

	// pullKey identifies pulls that would fetch the same.
	pullKey struct {
		from   member.ID
		isBack bool
	}
)

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

// newLane returns a lane for pulls. Those from peers that count as dead are left out.
func (p *Peers) newLane(patience time.Duration, opts ...lane.Option[pullKey]) *lane.Lane[pullKey] {
	return lane.New(patience, append(opts, lane.WithFilter(p.mayRespond))...)
}

// cancelPulls ends the running pulls from a peer that counts as dead.
func (p *Peers) cancelPulls(peer member.ID) {
	for _, l := range []*lane.Lane[pullKey]{p.revisionLane, p.memberLane} {
		l.Cancel(func(key pullKey) bool { return key.from == peer })
	}
}

// runPulls executes the queued pulls until ctx is canceled. Those of revisions and those of members
// don't wait for each other, nor for a peer that does not respond.
func (p *Peers) runPulls(ctx context.Context) error {
	var lanes sync.WaitGroup
	defer lanes.Wait()
	lanes.Go(func() { p.revisionLane.Serve(ctx) })
	lanes.Go(func() { p.memberLane.Serve(ctx) })
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-p.pulls:
			key := pullKey{from: r.from.ID(), isBack: r.isBack}
			if r.revision {
				p.revisionLane.Add(key, func(ctx context.Context) { p.pullRevision(ctx, r.from) })
			}
			if r.members {
				p.memberLane.Add(key, func(ctx context.Context) { p.pullMembers(ctx, r) })
			}
		}
	}
}

// mayRespond reports whether the peer does not count as dead or left.
func (p *Peers) mayRespond(key pullKey) bool {
	known, ok := p.node.Table.Get(key.from)
	return !ok || known.Phase.Alive()
}

// pullElsewhere queues a pull of the later revision from a random balancer, as the one that was asked
// first takes long.
func (p *Peers) pullElsewhere(pullKey) {
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
	if !p.node.Config.LaterExists(p.now()) {
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
