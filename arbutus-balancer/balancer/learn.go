package balancer

import (
	"github.com/go-kit/log/level"

	"arbutusfront.dev/common/coordination/member"
)

// Learn merges a member that this balancer has learned of first-hand into the table, spreads it
// by gossip if it is a change, and reports whether it is one.
func (p *Peers) Learn(m member.Member) bool { return p.learn(m, true) }

// learn merges a member into the table, spreads it by gossip if it is a change, and reports
// whether it is one: in all failure domains if it was learned first-hand, and otherwise in this
// one. Changes beyond maxRumors, such as after a start of the whole deployment, are left to the
// comparison of digests.
func (p *Peers) learn(m member.Member, firstHand bool) bool {
	if !p.merge(m) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.rumors) < maxRumors {
		p.rumors[m.ID()] = rumor{firstHand: firstHand}
	}
	return true
}

// learnSender merges the record of a balancer that has sent a message, and spreads it if it is a
// change. If the balancer counted as dead, the tables are reconciled.
func (p *Peers) learnSender(m member.Member, firstHand bool) bool {
	if m.ID() == p.announcer.Self().ID() {
		return false
	}
	before, _ := p.node.Table.Get(m.ID())
	changed := p.learn(m, firstHand)
	if changed && isBack(before, m) {
		p.reconcile(m)
	}
	return changed
}

// learnReport merges a member that the sender reports, and spreads it within this failure domain
// if it is a change. A report on this balancer itself is ignored here: if it is wrong, the
// announcer refutes it when the next heartbeat is acknowledged. A death that the sender can't know
// is passed to the member's monitors if they are in this failure domain, so that the member
// refutes it.
func (p *Peers) learnReport(m, sender member.Member) {
	switch {
	case m.ID() == p.announcer.Self().ID():
	case !p.isDoubtful(m, sender):
		p.learn(m, false)
	case m.Domain == p.announcer.Self().Domain && !p.dispute(m):
		p.spread([]member.Member{m}, p.otherMonitors(p.node.Table.Snapshot().Monitors(m)))
	}
}

// merge merges a member into the table and reports whether it is a change. The death of
// a member whose heartbeats this balancer still receives is rejected and recorded as
// disputedVersions: it may have been declared in a part of the deployment that was cut off. The
// acknowledgment of the member's next heartbeat says so, and the member announces a
// later version.
func (p *Peers) merge(m member.Member) bool {
	before, _ := p.node.Table.Get(m.ID())
	if m.Phase == member.Dead && p.dispute(m) || !p.node.Table.Merge(m) {
		return false
	}
	if isBack(before, m) {
		p.recordBack(m.Domain)
	}
	if !m.Phase.Alive() {
		p.cancelPulls(m.ID())
	}
	_ = level.Info(p.log).Log(
		"event", "member", "name", m.Name, "role", m.Role, "phase", m.Phase,
		"domain", m.Domain, "service", m.Service, "instance", m.Instance, "version", m.Version,
	)
	return true
}

// isBack reports whether the record m shows that a balancer which counted as dead is back.
func isBack(before, m member.Member) bool {
	return m.Role == member.Balancer && before.Phase == member.Dead && m.Phase.Alive()
}

// dispute records that the member has been declared dead, if this balancer still receives its
// heartbeats, and reports whether it does.
func (p *Peers) dispute(m member.Member) bool {
	if !p.hasRecentHeartbeat(m) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disputedVersions[m.ID()] = m.Version
	return true
}

// hasRecentHeartbeat reports whether the table has the member as alive, and its last
// heartbeat to this balancer is recent enough not to declare it dead.
func (p *Peers) hasRecentHeartbeat(m member.Member) bool {
	known, ok := p.node.Table.Get(m.ID())
	h, received := p.node.LastHeartbeat(m.ID())
	return ok && known.Phase.Alive() && received && p.now().Sub(h.At) < p.limits().DeadAfter()
}

// isDisputed reports whether other balancers have declared the member dead at the version
// known here or a later one, and returns that version. If the member has a later version
// than was declared dead, isDisputed removes the record of the dispute.
func (p *Peers) isDisputed(m member.Member) (version uint64, disputed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	version, ok := p.disputedVersions[m.ID()]
	if !ok {
		return 0, false
	}
	if version < m.Version {
		delete(p.disputedVersions, m.ID())
		return 0, false
	}
	return version, true
}
