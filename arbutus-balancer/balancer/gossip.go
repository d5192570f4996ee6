package balancer

import (
	"cmp"
	"context"
	"maps"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/member"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
)

// followUp is a pull that is due at a later time.
type followUp struct {
	at   time.Time
	pull pull
}

// gossip sends changes to a few peers in each round and, while there are none, the digest
// of the table to one peer at longer intervals. A new revision is announced at once. It
// runs until ctx is canceled.
//
// Traffic between failure domains is expensive, so that changes and digests mostly stay within
// one. A change is sent to one balancer of each other failure domain only by the balancers that
// learn of it first-hand: from the member itself, or by declaring it dead.
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
			p.spreadRevision()
		case <-p.gossipNow:
		case <-timer.C:
		}
		timer.Stop()
		p.queueFollowUps()
		near, far := p.takeRumors()
		for part := range slices.Chunk(near, changesPerSend) {
			p.spread(part, pickRandom(p.near(), fanout))
		}
		for part := range slices.Chunk(far, changesPerSend) {
			p.spread(part, p.oneOfEachOtherDomain())
		}
		if len(near)+len(far) == 0 && p.now().Sub(lastDigestAt) >= digestInterval {
			lastDigestAt = p.now()
			p.spread(nil, p.digestPeer())
		}
	}
}

// spreadRevision announces the revision in force to a few balancers of this failure domain and,
// unless it was fetched from a balancer, to one of each other failure domain.
func (p *Peers) spreadRevision() {
	to := pickRandom(p.near(), fanout)
	if p.node.Config.Current().Order() != *p.fetchedRevision.Load() {
		to = append(to, p.oneOfEachOtherDomain()...)
	}
	p.spread(nil, to)
}

// digestPeer returns the balancer that the next digest is sent to: every farDigestEvery-th time
// one of another failure domain, and otherwise one of this failure domain.
func (p *Peers) digestPeer() []member.Member {
	if rand.N(farDigestEvery) != 0 {
		if near := p.near(); len(near) > 0 {
			return pickRandom(near, 1)
		}
	}
	return pickRandom(p.far(), 1)
}

// spread sends the changes, the order of the revision in force and the digest of the
// table to the balancers.
func (p *Peers) spread(changes []member.Member, to []member.Member) {
	revision := p.node.Config.Current().Order()
	g := &controlv1.Gossip{
		Sender:        p.announcer.Self().Encode(),
		Changes:       member.EncodeAll(changes),
		Revision:      revision.Number,
		ConfigVersion: revision.Version,
		TableDigest:   p.node.Table.Snapshot().Digest,

		RevisionAgeMillis: p.revisionAge(),
	}
	for _, b := range to {
		p.send(b.Packet, &controlv1.Datagram{Body: &controlv1.Datagram_Gossip{Gossip: g}})
	}
}

// takeRumors returns the changes to send in this round to this failure domain and to the others,
// up to a bound, those that were sent least often first, and counts the round for each. A change
// is dropped after a number of rounds that grows with the logarithm of the number of balancers
// in this failure domain. It is sent to other failure domains in the first round only: several
// balancers do so, and the comparison of digests finds what is lost.
func (p *Peers) takeRumors() (near, far []member.Member) {
	rounds := bits.Len(uint(len(p.near()))) + extraRounds
	p.mu.Lock()
	defer p.mu.Unlock()
	ids := slices.SortedFunc(maps.Keys(p.rumors), func(a, b member.ID) int {
		return cmp.Compare(p.rumors[a].rounds, p.rumors[b].rounds)
	})
	for _, id := range ids[:min(len(ids), changesPerSend*sendsPerRound)] {
		r := p.rumors[id]
		if m, ok := p.node.Table.Get(id); ok {
			near = append(near, m)
			if r.firstHand && r.rounds == 0 {
				far = append(far, m)
			}
		}
		r.rounds++
		p.rumors[id] = r
		if r.rounds >= rounds {
			delete(p.rumors, id)
		}
	}
	return near, far
}

// handleGossip merges the changes in a gossip message, and queues a pull if the sender has
// a newer revision or, in a message without changes, a different table.
func (p *Peers) handleGossip(g *controlv1.Gossip) {
	sender, err := member.Decode(g.GetSender())
	if err != nil {
		return
	}
	p.node.RecordContact(sender.Domain, p.now())
	p.learnSender(sender, false)
	if known, ok := p.node.Table.Get(sender.ID()); ok && !known.Phase.Alive() {
		// The sender was cut off or paused. Its reports on other members are ignored
		// until it has announced a later version of itself.
		return
	}
	p.confirmRevision(config.OrderOf(g), g.GetRevisionAgeMillis())
	for _, c := range g.GetChanges() {
		m, err := member.Decode(c)
		if err != nil {
			continue
		}
		p.learnReport(m, sender)
	}
	p.queuePull(pull{
		from:     sender,
		revision: p.learnRevision(config.OrderOf(g)),
		members:  len(g.GetChanges()) == 0 && g.GetTableDigest() != p.node.Table.Snapshot().Digest,
	})
}
