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

// gossip sends changes to a few peers in each round, and digests to one peer
// when there are none.
func (p *Peers) gossip(ctx context.Context) error {
	lastQuiet := p.now()
	for {
		revised := p.node.Config.Changed()
		timer := time.NewTimer(gossipInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-revised:
			p.spread(nil, fanout)
		case <-p.kick:
		case <-timer.C:
		}
		timer.Stop()
		if changes := p.takeRumors(); len(changes) > 0 {
			for part := range slices.Chunk(changes, changesPerSend) {
				p.spread(part, fanout)
			}
		} else if p.now().Sub(lastQuiet) >= quietInterval {
			lastQuiet = p.now()
			p.spread(nil, 1)
		}
	}
}

// spread sends the changes, the revision in force and the table's digest to n
// balancers at random.
func (p *Peers) spread(changes []member.Member, n int) {
	g := &controlv1.Gossip{
		Sender:      p.announcer.Self().Encode(),
		Changes:     member.EncodeAll(changes),
		Revision:    p.node.Config.Current().Number(),
		TableDigest: p.node.Table.Snapshot().Digest,

		RevisionAgeMillis: p.revisionAge(),
	}
	for _, b := range pick(p.others(), n) {
		p.send(b.Packet, &controlv1.Datagram{Body: &controlv1.Datagram_Gossip{Gossip: g}})
	}
}

// takeRumors returns the changes for the next round, those first that were sent
// least. A change is dropped after a number of rounds that grows with the logarithm
// of the number of balancers.
func (p *Peers) takeRumors() []member.Member {
	rounds := bits.Len(uint(len(p.others()))) + extraRounds
	p.mu.Lock()
	defer p.mu.Unlock()
	var changes []member.Member
	ids := slices.SortedFunc(maps.Keys(p.rumors), func(a, b member.ID) int {
		return cmp.Compare(p.rumors[a], p.rumors[b])
	})
	for _, id := range ids[:min(len(ids), changesPerSend*sendsPerRound)] {
		sent := p.rumors[id]
		if m, ok := p.node.Table.Get(id); ok {
			changes = append(changes, m)
		}
		p.rumors[id] = sent + 1
		if sent+1 >= rounds {
			delete(p.rumors, id)
		}
	}
	return changes
}

func (p *Peers) handleGossip(g *controlv1.Gossip) {
	sender, err := member.Decode(g.GetSender())
	if err != nil {
		return
	}
	p.node.RecordContact(sender.Domain, p.now())
	p.Learn(sender)
	if known, ok := p.node.Table.Get(sender.ID()); ok && !known.Phase.Alive() {
		// The sender was cut off or paused. What it says of others is taken in
		// when it has announced itself anew.
		return
	}
	p.confirm(g.GetRevision(), g.GetRevisionAgeMillis())
	for _, c := range g.GetChanges() {
		m, err := member.Decode(c)
		if err != nil {
			continue
		}
		p.learnOfOthers(m)
	}
	p.request(pull{
		from:     sender,
		revision: g.GetRevision() > p.node.Config.Current().Number(),
		members:  len(g.GetChanges()) == 0 && g.GetTableDigest() != p.node.Table.Snapshot().Digest,
	})
}

// learnOfOthers merges what another balancer says. What it says of this
// balancer itself is refuted by the announcer, on the next answer.
func (p *Peers) learnOfOthers(m member.Member) {
	if m.ID() == p.announcer.Self().ID() {
		return
	}
	p.Learn(m)
}

// request queues a pull. A full queue drops it: the next gossip asks again.
func (p *Peers) request(r pull) {
	if !r.revision && !r.members {
		return
	}
	select {
	case p.pulls <- r:
	default:
	}
}

// pullMissed asks peers for what they are ahead in, one at a time.
func (p *Peers) pullMissed(ctx context.Context) error {
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

// catchUp compares tables with other balancers, for a while after the start.
func (p *Peers) catchUp(ctx context.Context) error {
	for end := p.now().Add(p.catchUpFor); p.now().Before(end) && wait.For(ctx, catchUpInterval); {
		if b, ok := p.randomPeer(); ok {
			p.request(pull{from: b, members: true})
		}
	}
	return nil
}

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

// PullMembers merges the part of the peer's table that differs.
func (p *Peers) PullMembers(ctx context.Context, from member.Member) {
	digests := p.node.Table.Snapshot().BucketDigests()
	members, err := p.fetch.Members(ctx, from.Control, digests)
	if err != nil {
		_ = level.Warn(p.log).Log("event", "sync_failed", "peer", from.Name, "err", err)
		return
	}
	for _, m := range members {
		// Others compare digests too: what comes this way is not spread again.
		if m.ID() != p.announcer.Self().ID() {
			p.merge(m)
		}
	}
	p.synced.Store(true)
}
