package balancer

import (
	"github.com/go-kit/log/level"

	"arbutusfront.dev/common/coordination/member"
)

// Learn merges a member and spreads it if it is news. When very much is news,
// as after a start of everything, the rest is left to the comparison of digests.
func (p *Peers) Learn(m member.Member) bool {
	if !p.merge(m) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.rumors) < maxRumors {
		p.rumors[m.ID()] = 0
	}
	return true
}

// merge merges a member and reports whether it is news. The death of a member
// that this balancer has lately heard itself is not believed: it may come from a
// part of the deployment that was cut off. The member is told, and announces a
// later version.
func (p *Peers) merge(m member.Member) bool {
	if m.Phase == member.Dead && p.hears(m) {
		p.mu.Lock()
		p.disputed[m.ID()] = m.Version
		p.mu.Unlock()
		return false
	}
	if !p.node.Table.Merge(m) {
		return false
	}
	_ = level.Info(p.log).Log(
		"event", "member", "name", m.Name, "role", m.Role, "phase", m.Phase,
		"domain", m.Domain, "service", m.Service, "instance", m.Instance, "version", m.Version,
	)
	return true
}

// hears reports whether the member, as a live one, was heard within the bound on
// silence.
func (p *Peers) hears(m member.Member) bool {
	known, ok := p.node.Table.Get(m.ID())
	h, heard := p.node.LastHeartbeat(m.ID())
	return ok && known.Phase.Alive() && heard && p.now().Sub(h.At) < p.limits().DeadAfter()
}

// isDisputed reports whether others hold the member for dead at the version that
// is known here, or a later one.
func (p *Peers) isDisputed(m member.Member) (version uint64, disputed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	version, ok := p.disputed[m.ID()]
	if !ok {
		return 0, false
	}
	if version < m.Version {
		delete(p.disputed, m.ID())
		return 0, false
	}
	return version, true
}
