package balancer

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/coordination/member"
)

// reconcileWindow is how long ago a member was declared dead at most for its death to be reported
// to a balancer that is back.
const reconcileWindow = time.Minute

// isDoubtful reports whether the sender's report that a member is dead contradicts what this
// balancer receives. A part of the deployment that is cut off declares the members of all others
// dead, and reports it once the cut is over. A balancer of the member's own failure domain knows
// better; one of this failure domain has checked the report itself. A report by any other is
// doubtful while this balancer is in contact with the member's failure domain: if the member is
// dead, a balancer there says so. The death of a balancer may be known only elsewhere if there is
// no other one in its failure domain, so that there must have been contact since it should have
// been heard last.
func (p *Peers) isDoubtful(m, sender member.Member) bool {
	self := p.announcer.Self()
	if m.Phase != member.Dead || sender.Domain == m.Domain || sender.Domain == self.Domain {
		return false
	}
	if known, ok := p.node.Table.Get(m.ID()); !ok || !known.Phase.Alive() {
		return false
	}
	if m.Domain == self.Domain {
		return m.Role == member.Agent
	}
	if m.Role == member.Balancer {
		return p.node.InContactWithDomain(m.Domain, p.now().Add(-p.suspectAfter()))
	}
	return p.node.InContactWithDomain(m.Domain, p.now().Add(-state.ContactBound)) &&
		slices.ContainsFunc(p.others(), func(b member.Member) bool { return b.Domain == m.Domain })
}

// reconcile exchanges what this balancer and one that is back have missed of each other while one
// of them was cut off: it reports the members of the other's failure domain that count as dead
// here, which refute it if they live, and fetches the other's table.
func (p *Peers) reconcile(b member.Member) {
	now := p.now()
	deaths := p.node.Table.Snapshot().Select(func(m member.Member) bool {
		return m.Phase == member.Dead && m.Domain == b.Domain && m.ID() != b.ID() &&
			now.Sub(p.node.Table.EndedAt(m.ID())) < reconcileWindow
	})
	_ = level.Info(p.log).Log("event", "balancer_back", "name", b.Name, "domain", b.Domain, "deaths", len(deaths))
	for part := range slices.Chunk(deaths[:min(len(deaths), maxRumors)], changesPerSend) {
		p.spread(part, []member.Member{b})
	}
	p.queuePull(pull{from: b, members: true})
}
