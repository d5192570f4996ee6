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
	// detectSteps is how often a member is checked within the time after which it is
	// declared dead. During the last inquirySteps checks the other monitors, and
	// substitutes for monitors in an unreachable region, are queried.
	detectSteps  = 8
	inquirySteps = 3
	// substituteCount is the number of balancers that are queried in place of the
	// monitors in a region from which nothing is received.
	substituteCount = 2
)

// suspicion records what other balancers report about a member from which this monitor
// has not received a heartbeat for a while: when one last confirmed that the member is
// alive, and when each of them last reported it silent.
type suspicion struct {
	confirmedAliveAt time.Time
	// silentAt holds the times by the name of the reporting balancer.
	silentAt map[string]time.Time
}

// limits returns the limits in force, or the defaults without a configuration.
func (p *Peers) limits() config.Limits {
	r := p.node.Config.Current()
	if r == nil {
		return config.Limits{}
	}
	return r.Config.Deployment.Limits
}

// suspectAfter returns how long a member may be silent before other balancers are
// queried.
func (p *Peers) suspectAfter() time.Duration {
	return p.limits().DeadAfter() * (detectSteps - inquirySteps) / detectSteps
}

// assignments are the members that this balancer monitors, with the monitors of each.
// They are recomputed only if the table changes, and the monitors of a member only if the
// set of balancers changes.
type assignments struct {
	generation      uint64
	balancersDigest uint64
	// monitors are the monitors of each member, by its name.
	monitors map[string][]member.Member
	// monitored are the members that this balancer monitors, and since is from when it
	// has monitored each.
	monitored []member.Member
	since     map[member.ID]time.Time
}

// update recomputes the assignments for the snapshot. It retains the time since which a
// member has been monitored.
func (a *assignments) update(s *member.Snapshot, self member.Member, now time.Time) {
	if a.since != nil && a.generation == s.Generation {
		return
	}
	a.generation = s.Generation
	if digest := s.BalancersDigest(); a.monitors == nil || a.balancersDigest != digest {
		a.balancersDigest = digest
		a.monitors = make(map[string][]member.Member)
	}
	previous := a.since
	a.monitored = nil
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
		if !containsName(monitors, self.Name) {
			continue
		}
		a.monitored = append(a.monitored, m)
		a.since[m.ID()] = now
		if since, ok := previous[m.ID()]; ok {
			a.since[m.ID()] = since
		}
	}
}

// detect checks the members that this balancer monitors, detectSteps times within the
// configured time after which they are declared dead (see checkMember). It runs until ctx
// is canceled.
func (p *Peers) detect(ctx context.Context) error {
	var a assignments
	last := p.now()
	for wait.For(ctx, p.limits().DeadAfter()/detectSteps) {
		now := p.now()
		if now.Sub(last) > p.limits().DeadAfter()/2 {
			// This process was paused, and may have missed the heartbeats of live
			// members: their silence counts from now.
			a = assignments{}
		}
		last = now
		a.update(p.node.Table.Snapshot(), p.announcer.Self(), now)
		for _, m := range a.monitored {
			p.checkMember(now, m, a.monitors[m.Name], a.since[m.ID()])
		}
	}
	return nil
}

// checkMember queries other balancers about a member that has been silent for some time,
// and declares the member dead after a longer time. Silence counts from the last heartbeat,
// from the last time at which another balancer reported the member alive, or from when
// this balancer became its monitor. A monitor that is cut off receives no heartbeats of
// live members either. To declare a member dead, a monitor must therefore be in contact
// with another failure domain, and the number of other balancers that confirm the silence
// must be at least half that of the other monitors.
func (p *Peers) checkMember(now time.Time, m member.Member, monitors []member.Member, since time.Time) {
	deadAfter := p.limits().DeadAfter()
	if h, ok := p.node.LastHeartbeat(m.ID()); ok && h.At.After(since) {
		since = h.At
	}
	suspectAfter := p.suspectAfter()
	if now.Sub(since) < suspectAfter {
		p.clearSuspicion(m.ID())
		return
	}
	// If only this monitor does not receive the member's heartbeats, the reports of
	// other balancers replace them. The suspicion is retained, since it holds these
	// reports.
	confirmedAliveAt, silentReports := p.inquiryResults(m.ID(), now.Add(-deadAfter))
	if confirmedAliveAt.After(since) {
		since = confirmedAliveAt
	}
	silent := now.Sub(since)
	others := p.otherMonitors(monitors)
	p.inquire(m, append(p.substitutes(m, now.Add(-suspectAfter)), others...))
	if silent < deadAfter || silentReports < (len(others)+1)/2 || !p.node.InContact(now) {
		return
	}
	p.clearSuspicion(m.ID())
	_ = level.Warn(p.log).Log("event", "member_silent", "name", m.Name, "instance", m.Instance, "silent", silent)
	if p.Learn(m.WithDeath()) {
		p.GossipNow()
	}
}

// inquiryResults returns when another balancer last reported the member alive, and how
// many have reported it silent since then and since the given time.
func (p *Peers) inquiryResults(id member.ID, after time.Time) (confirmedAliveAt time.Time, silentReports int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.suspicions[id]
	if s == nil {
		return time.Time{}, 0
	}
	for _, at := range s.silentAt {
		if at.After(after) && at.After(s.confirmedAliveAt) {
			silentReports++
		}
	}
	return s.confirmedAliveAt, silentReports
}

// substitutes returns balancers outside the member's region to query about the member, in
// place of its monitors in that region. There are none if the region is this balancer's
// own, or if this balancer has received a message from it since the given time: then the
// monitors there can answer.
func (p *Peers) substitutes(m member.Member, since time.Time) []member.Member {
	region := p.node.RegionOf(m.Domain)
	if region == p.homeRegion() || p.node.InContactWithRegion(region, since) {
		return nil
	}
	return pickRandom(slices.DeleteFunc(p.others(), func(b member.Member) bool {
		return p.node.RegionOf(b.Domain) == region
	}), substituteCount)
}

func (p *Peers) homeRegion() string { return p.node.RegionOf(p.announcer.Self().Domain) }

func (p *Peers) clearSuspicion(id member.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.suspicions, id)
}

func (p *Peers) otherMonitors(monitors []member.Member) []member.Member {
	self := p.announcer.Self().Name
	return slices.DeleteFunc(slices.Clone(monitors), func(b member.Member) bool { return b.Name == self })
}

// inquire queries the other balancers whether they receive heartbeats of the member, and
// records a suspicion, to which handleInquiryAnswer adds their answers.
func (p *Peers) inquire(m member.Member, others []member.Member) {
	p.mu.Lock()
	if p.suspicions[m.ID()] == nil {
		p.suspicions[m.ID()] = &suspicion{silentAt: make(map[string]time.Time)}
	}
	p.mu.Unlock()
	for _, b := range others {
		p.send(b.Packet, &controlv1.Datagram{Body: &controlv1.Datagram_Inquiry{Inquiry: &controlv1.Inquiry{
			Member: m.Name, Instance: m.Instance,
		}}})
	}
}

// handleInquiry answers whether this balancer has recently received a heartbeat of the
// member. For a member in another region that this balancer does not monitor, it answers
// whether it has recently received anything from that region.
func (p *Peers) handleInquiry(from netip.AddrPort, q *controlv1.Inquiry) {
	id := member.ID{Name: q.GetMember(), Instance: q.GetInstance()}
	since := p.now().Add(-p.suspectAfter())
	h, ok := p.node.LastHeartbeat(id)
	received := ok && !h.At.Before(since)
	if m, known := p.node.Table.Get(id); known && !received && !p.isMonitorOf(m) {
		received = p.inContactWithOtherRegion(m, since)
	}
	p.send(from, &controlv1.Datagram{Body: &controlv1.Datagram_InquiryAnswer{InquiryAnswer: &controlv1.InquiryAnswer{
		Member:   q.GetMember(),
		Instance: q.GetInstance(),
		Heard:    received,
		Monitor:  p.announcer.Self().Name,
	}}})
}

// isMonitorOf reports whether this balancer is a monitor of the member.
func (p *Peers) isMonitorOf(m member.Member) bool {
	return containsName(p.node.Table.Snapshot().Monitors(m), p.announcer.Self().Name)
}

// inContactWithOtherRegion reports whether the member is in another region from which
// this balancer has received a message since the given time.
func (p *Peers) inContactWithOtherRegion(m member.Member, since time.Time) bool {
	region := p.node.RegionOf(m.Domain)
	return region != p.homeRegion() && p.node.InContactWithRegion(region, since)
}

func (p *Peers) handleInquiryAnswer(a *controlv1.InquiryAnswer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.suspicions[member.ID{Name: a.GetMember(), Instance: a.GetInstance()}]
	switch {
	case s == nil:
	case a.GetHeard():
		s.confirmedAliveAt = p.now()
	default:
		s.silentAt[a.GetMonitor()] = p.now()
	}
}

func containsName(members []member.Member, name string) bool {
	return slices.ContainsFunc(members, func(m member.Member) bool { return m.Name == name })
}
