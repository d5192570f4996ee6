package balancer

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/member"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
	"arbutusfront.dev/common/transport/wait"
)

const (
	// detectSteps is how often within the bound on silence members are looked
	// at. Within the last inquirySteps, the other monitors are asked.
	detectSteps  = 8
	inquirySteps = 3
	// deputyCount is the number of balancers that are asked in place of monitors
	// in a region that is not heard.
	deputyCount = 2
)

// suspicion is a member that this monitor has not heard for a while, and what
// the other monitors say of it.
type suspicion struct {
	refuted time.Time
	silent  map[string]time.Time
}

// limits returns the limits in force, or their defaults.
func (p *Peers) limits() config.Limits {
	r := p.node.Config.Current()
	if r == nil {
		return config.Limits{}
	}
	return r.Config.Deployment.Limits
}

// quietBound is how long a member may be silent before other monitors are asked.
func (p *Peers) quietBound() time.Duration {
	return p.limits().DeadAfter() * (detectSteps - inquirySteps) / detectSteps
}

// assignments are the members that this balancer monitors, with the monitors of
// each. They are worked out anew only when the table changes, and the monitors
// of a member only when the balancers do.
type assignments struct {
	generation uint64
	balancers  uint64
	monitors   map[string][]member.Member
	own        []member.Member
	since      map[member.ID]time.Time
}

// update brings the assignments up to the snapshot.
func (a *assignments) update(s *member.Snapshot, self member.Member, now time.Time) {
	if a.since != nil && a.generation == s.Generation {
		return
	}
	a.generation = s.Generation
	if digest := s.BalancersDigest(); a.monitors == nil || a.balancers != digest {
		a.balancers = digest
		a.monitors = make(map[string][]member.Member)
	}
	before := a.since
	a.own = nil
	a.since = make(map[member.ID]time.Time)
	for _, m := range s.Members {
		if !m.Phase.Alive() || m.ID() == self.ID() {
			continue
		}
		monitors, ok := a.monitors[m.Name]
		if !ok {
			monitors = s.Monitors(m)
			a.monitors[m.Name] = monitors
		}
		if !contains(monitors, self.Name) {
			continue
		}
		a.own = append(a.own, m)
		a.since[m.ID()] = now
		if since, ok := before[m.ID()]; ok {
			a.since[m.ID()] = since
		}
	}
}

// detect declares members dead that neither this monitor nor the others have
// heard within the bound.
func (p *Peers) detect(ctx context.Context) error {
	var a assignments
	last := p.now()
	for wait.For(ctx, p.limits().DeadAfter()/detectSteps) {
		now := p.now()
		if now.Sub(last) > p.limits().DeadAfter()/2 {
			// This process was paused: what it has not heard meanwhile says
			// nothing about the others.
			a = assignments{}
		}
		last = now
		a.update(p.node.Table.Snapshot(), p.announcer.Self(), now)
		for _, m := range a.own {
			p.examine(now, m, a.monitors[m.Name], a.since[m.ID()])
		}
	}
	return nil
}

// examine looks at one member. Silence counts from the last heartbeat, or from
// when this balancer became its monitor. A monitor that is cut off can't tell
// that from the death of others, so it takes the word of other monitors to
// declare a member dead.
func (p *Peers) examine(now time.Time, m member.Member, monitors []member.Member, since time.Time) {
	deadAfter := p.limits().DeadAfter()
	if h, ok := p.node.LastHeartbeat(m.ID()); ok && h.At.After(since) {
		since = h.At
	}
	quiet := p.quietBound()
	if now.Sub(since) < quiet {
		p.acquit(m.ID())
		return
	}
	// Where only this monitor can't hear the member, the word of the others
	// stands for a heartbeat. It is kept, since it is all there is.
	refuted, confirmations := p.testimony(m.ID(), now.Add(-deadAfter))
	if refuted.After(since) {
		since = refuted
	}
	silent := now.Sub(since)
	others := p.otherMonitors(monitors)
	p.inquire(m, append(p.deputies(m, now.Add(-quiet)), others...))
	if silent < deadAfter || confirmations < (len(others)+1)/2 || !p.node.InContact(now) {
		return
	}
	p.acquit(m.ID())
	_ = level.Warn(p.log).Log("event", "member_silent", "name", m.Name, "instance", m.Instance, "silent", silent)
	if p.Learn(m.WithDeath()) {
		p.Kick()
	}
}

// testimony returns when another monitor last heard the member, and how many
// have said after that, and after the given time, that they don't.
func (p *Peers) testimony(id member.ID, after time.Time) (refuted time.Time, confirmations int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.suspects[id]
	if s == nil {
		return time.Time{}, 0
	}
	for _, at := range s.silent {
		if at.After(after) && at.After(s.refuted) {
			confirmations++
		}
	}
	return s.refuted, confirmations
}

// deputies returns other balancers to ask about a member of a region that this
// balancer has not heard since then: its monitors there can't answer.
func (p *Peers) deputies(m member.Member, since time.Time) []member.Member {
	region := p.node.RegionOf(m.Domain)
	if region == p.homeRegion() || p.node.HeardFromRegion(region, since) {
		return nil
	}
	return pick(slices.DeleteFunc(p.others(), func(b member.Member) bool {
		return p.node.RegionOf(b.Domain) == region
	}), deputyCount)
}

func (p *Peers) homeRegion() string { return p.node.RegionOf(p.announcer.Self().Domain) }

func (p *Peers) acquit(id member.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.suspects, id)
}

func (p *Peers) otherMonitors(monitors []member.Member) []member.Member {
	self := p.announcer.Self().Name
	return slices.DeleteFunc(slices.Clone(monitors), func(b member.Member) bool { return b.Name == self })
}

// inquire asks the other monitors whether they hear the member.
func (p *Peers) inquire(m member.Member, others []member.Member) {
	p.mu.Lock()
	if p.suspects[m.ID()] == nil {
		p.suspects[m.ID()] = &suspicion{silent: make(map[string]time.Time)}
	}
	p.mu.Unlock()
	for _, b := range others {
		p.send(b.Packet, &controlv1.Datagram{Body: &controlv1.Datagram_Inquiry{Inquiry: &controlv1.Inquiry{
			Member: m.Name, Instance: m.Instance,
		}}})
	}
}

// handleInquiry answers whether the member was lately heard. Of a member in
// another region that this balancer does not monitor it tells whether that region
// was.
func (p *Peers) handleInquiry(from netip.AddrPort, q *controlv1.Inquiry) {
	id := member.ID{Name: q.GetMember(), Instance: q.GetInstance()}
	since := p.now().Add(-p.quietBound())
	h, ok := p.node.LastHeartbeat(id)
	heard := ok && !h.At.Before(since)
	if m, known := p.node.Table.Get(id); known && !heard && !p.monitors(m) {
		heard = p.hearsRegionOf(m, since)
	}
	p.send(from, &controlv1.Datagram{Body: &controlv1.Datagram_InquiryAnswer{InquiryAnswer: &controlv1.InquiryAnswer{
		Member:   q.GetMember(),
		Instance: q.GetInstance(),
		Heard:    heard,
		Monitor:  p.announcer.Self().Name,
	}}})
}

// monitors reports whether this balancer is a monitor of the member.
func (p *Peers) monitors(m member.Member) bool {
	return contains(p.node.Table.Snapshot().Monitors(m), p.announcer.Self().Name)
}

// hearsRegionOf reports whether the member is in another region, and that was
// heard since then.
func (p *Peers) hearsRegionOf(m member.Member, since time.Time) bool {
	region := p.node.RegionOf(m.Domain)
	return region != p.homeRegion() && p.node.HeardFromRegion(region, since)
}

func (p *Peers) handleInquiryAnswer(a *controlv1.InquiryAnswer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.suspects[member.ID{Name: a.GetMember(), Instance: a.GetInstance()}]
	switch {
	case s == nil:
	case a.GetHeard():
		s.refuted = p.now()
	default:
		s.silent[a.GetMonitor()] = p.now()
	}
}

func contains(members []member.Member, name string) bool {
	return slices.ContainsFunc(members, func(m member.Member) bool { return m.Name == name })
}
