package balancer

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/coordination/member"
)

const (
	// reconcileWindow is how long ago a member was declared dead at most for its death to be
	// reported to a balancer that is back.
	reconcileWindow = time.Minute
	// healTime is how long after a balancer is back the reports of its failure domain are
	// doubtful. By then the deaths that it had declared are refuted.
	healTime = 10 * time.Second
	// followUpDelay is after how long the table of a balancer that is back is compared once more.
	// Meanwhile members refute their deaths, and some of that is sent while one of the balancers
	// still counts as dead for the other.
	followUpDelay = time.Second
)

// isDoubtful reports whether the sender's report that a member is dead contradicts what this
// balancer receives. A part of the deployment that is cut off declares the members of all others
// dead, and reports it once the cut is over. A balancer of the member's own failure domain knows
// better; one of this failure domain has checked the report itself. A report by any other is
// doubtful while this balancer is in contact with the member's failure domain.
//
// Agents have monitors in their own failure domain if there is a balancer, which then says so if
// the agent is dead. The monitors of a balancer may all be elsewhere, so that a report of its death
// is doubtful only if the sender's failure domain counted as dead itself until recently.
func (p *Peers) isDoubtful(m, sender member.Member) bool {
	self := p.announcer.Self()
	if m.Phase != member.Dead || sender.Domain == m.Domain || sender.Domain == self.Domain {
		return false
	}
	if known, ok := p.node.Table.Get(m.ID()); !ok || !known.Phase.Alive() {
		return false
	}
	now := p.now()
	switch {
	case m.Role == member.Balancer:
		return p.wasCutOff(sender.Domain, now) &&
			(m.Domain == self.Domain || p.node.InContactWithDomain(m.Domain, now.Add(-p.suspectAfter())))
	case m.Domain == self.Domain:
		return true
	default:
		return p.node.InContactWithDomain(m.Domain, now.Add(-state.ContactBound)) &&
			slices.ContainsFunc(p.others(), func(b member.Member) bool { return b.Domain == m.Domain })
	}
}

// recordBack records that a balancer of the failure domain, which counted as dead, is back.
func (p *Peers) recordBack(domain string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backAt[domain] = p.now()
}

// wasCutOff reports whether a balancer of the failure domain has come back within healTime.
func (p *Peers) wasCutOff(domain string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.backAt[domain]
	return ok && now.Sub(at) < healTime
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
	back := pull{from: b, members: true, isBack: true}
	p.queuePull(back)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.followUps = append(p.followUps, followUp{at: now.Add(followUpDelay), pull: back})
}

// queueFollowUps queues the pulls that are due.
func (p *Peers) queueFollowUps() {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.followUps = slices.DeleteFunc(p.followUps, func(f followUp) bool {
		if f.at.After(now) {
			return false
		}
		p.queuePull(f.pull)
		return true
	})
}
