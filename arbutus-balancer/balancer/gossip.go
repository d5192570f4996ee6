package balancer

import (
	"cmp"
	"context"
	"maps"
	"math/bits"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"arbutusfront.dev/common/coordination/member"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
	"arbutusfront.dev/common/transport/wait"
)

// gossip sends changes to a few peers in each round and, while there are none, the digest
// of the table to one peer at longer intervals. A new revision is announced at once. It
// runs until ctx is canceled.
func (p *Peers) gossip(ctx context.Context) error {
	lastDigestAt := p.now()
	for {
		configChanged := p.node.Config.Changed()
		timer := time.NewTimer(gossipInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-configChanged:
			p.spread(nil, fanout)
		case <-p.gossipNow:
		case <-timer.C:
		}
		timer.Stop()
		if changes := p.takeRumors(); len(changes) > 0 {
			for part := range slices.Chunk(changes, changesPerSend) {
				p.spread(part, fanout)
			}
		} else if p.now().Sub(lastDigestAt) >= digestInterval {
			lastDigestAt = p.now()
			p.spread(nil, 1)
		}
	}
}

// spread sends the changes, the number of the revision in force and the digest of the
// table to n random balancers.
func (p *Peers) spread(changes []member.Member, n int) {
	g := &controlv1.Gossip{
		Sender:      p.announcer.Self().Encode(),
		Changes:     member.EncodeAll(changes),
		Revision:    p.node.Config.Current().Number(),
		TableDigest: p.node.Table.Snapshot().Digest,

		RevisionAgeMillis: p.revisionAge(),
	}
	for _, b := range pickRandom(p.others(), n) {
		p.send(b.Packet, &controlv1.Datagram{Body: &controlv1.Datagram_Gossip{Gossip: g}})
	}
}

// takeRumors returns the changes to send in this round, up to a bound, those that were sent
// least often first, and counts the round for each. A change is dropped after a number of
// rounds that grows with the logarithm of the number of balancers.
func (p *Peers) takeRumors() []member.Member {
	rounds := bits.Len(uint(len(p.others()))) + extraRounds
	p.mu.Lock()
	defer p.mu.Unlock()
	var changes []member.Member
	ids := slices.SortedFunc(maps.Keys(p.rumorRounds), func(a, b member.ID) int {
		return cmp.Compare(p.rumorRounds[a], p.rumorRounds[b])
	})
	for _, id := range ids[:min(len(ids), changesPerSend*sendsPerRound)] {
		sent := p.rumorRounds[id]
		if m, ok := p.node.Table.Get(id); ok {
			changes = append(changes, m)
		}
		p.rumorRounds[id] = sent + 1
		if sent+1 >= rounds {
			delete(p.rumorRounds, id)
		}
	}
	return changes
}

// handleGossip merges the changes in a gossip message, and queues a pull if the sender has
// a newer revision or, in a message without changes, a different table.
func (p *Peers) handleGossip(g *controlv1.Gossip) {
	sender, err := member.Decode(g.GetSender())
	if err != nil {
		return
	}
	p.node.RecordContact(sender.Domain, p.now())
	p.Learn(sender)
	if known, ok := p.node.Table.Get(sender.ID()); ok && !known.Phase.Alive() {
		// The sender was cut off or paused. Its reports on other members are ignored
		// until it has announced a later version of itself.
		return
	}
	p.confirmRevision(g.GetRevision(), g.GetRevisionAgeMillis())
	for _, c := range g.GetChanges() {
		m, err := member.Decode(c)
		if err != nil {
			continue
		}
		p.learnFromPeer(m)
	}
	p.queuePull(pull{
		from:     sender,
		revision: g.GetRevision() > p.node.Config.Current().Number(),
		members:  len(g.GetChanges()) == 0 && g.GetTableDigest() != p.node.Table.Snapshot().Digest,
	})
}

// learnFromPeer merges a member that another balancer reports. A report on this balancer
// itself is ignored here: if it is wrong, the announcer refutes it when the next
// heartbeat is acknowledged.
func (p *Peers) learnFromPeer(m member.Member) {
	if m.ID() == p.announcer.Self().ID() {
		return
	}
	p.Learn(m)
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

// runPulls executes the queued pulls one at a time until ctx is canceled.
func (p *Peers) runPulls(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-p.pulls:
			if r.revision {
				p.pullRevision(ctx, r.from)
			}
			if r.members {
				p.PullMembers(ctx, r.from)
			}
		}
	}
}

// catchUp queues pulls of members from random peers at short intervals, for catchUpTime
// after the start.
func (p *Peers) catchUp(ctx context.Context) error {
	for end := p.now().Add(p.catchUpTime); p.now().Before(end) && wait.For(ctx, catchUpInterval); {
		if b, ok := p.randomPeer(); ok {
			p.queuePull(pull{from: b, members: true})
		}
	}
	return nil
}

// pullRevision fetches the revision of the peer and adopts it if it is newer.
func (p *Peers) pullRevision(ctx context.Context, from member.Member) {
	known := p.node.Config.Current()
	r, err := p.fetch.Revision(ctx, from.Control, known)
	if err != nil {
		_ = level.Warn(p.log).Log("event", "pull_failed", "peer", from.Name, "err", err)
		return
	}
	if p.node.Config.Adopt(r) {
		_ = level.Info(p.log).Log("event", "revision_adopted", "revision", r.Number(), "from", from.Name)
	}
}

// PullMembers fetches the part of the peer's table that differs from this balancer's, and
// merges it. Synced returns true after the first success.
func (p *Peers) PullMembers(ctx context.Context, from member.Member) {
	digests := p.node.Table.Snapshot().BucketDigests()
	members, err := p.fetch.Members(ctx, from.Control, digests)
	if err != nil {
		_ = level.Warn(p.log).Log("event", "sync_failed", "peer", from.Name, "err", err)
		return
	}
	for _, m := range members {
		// Other balancers compare digests too, so these changes are not spread again.
		if m.ID() != p.announcer.Self().ID() {
			p.merge(m)
		}
	}
	p.synced.Store(true)
}
