package heartbeat

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"arbutusfront.dev/common/coordination/member"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
)

// recordMonitors updates the targets from an acknowledgment. An acknowledgment contains the
// list of monitors only if that has changed, and otherwise confirms the previous list. The
// balancer that sent the acknowledgment becomes a target only if it is listed itself:
// otherwise a seed would get the heartbeats of all processes for good. a.mu must be held.
func (a *Announcer) recordMonitors(monitor member.Member, ack *controlv1.HeartbeatAck, now time.Time) {
	if monitor.Packet.IsValid() {
		a.monitors[monitor.Name] = Monitor{Name: monitor.Name, Packet: monitor.Packet, Control: monitor.Control}
		a.listed = a.listed[:0]
		for _, m := range ack.GetMonitors() {
			a.recordListed(m)
		}
	}
	for _, to := range a.listed {
		t := a.targets[to]
		t.listed = now
		a.targets[to] = t
	}
	from := a.monitors[monitor.Name].Packet
	if t, ok := a.targets[from]; ok {
		t.knownVersion = ack.GetKnownVersion()
		if ack.GetNeedRecord() {
			t.knownVersion = 0
		}
		a.targets[from] = t
	}
}

// recordListed records the addresses of a listed monitor, because the acknowledgments that
// the monitor sends contain its addresses only together with a list. a.mu must be held.
func (a *Announcer) recordListed(m *controlv1.Monitor) {
	packet, err := netip.ParseAddrPort(m.GetPacketAddress())
	if err != nil {
		return
	}
	a.listed = append(a.listed, packet)
	if control, err := netip.ParseAddrPort(m.GetControlAddress()); err == nil {
		a.monitors[m.GetName()] = Monitor{Name: m.GetName(), Packet: packet, Control: control}
	}
}

// nextBeats returns the heartbeats to send now. A target that has the current version of
// the process's record gets it without addresses.
func (a *Announcer) nextBeats() []beat {
	report := a.report()
	pace := a.pace()
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.sequence++
	a.sent[a.sequence%sentWindow] = now
	digest := DigestOf(a.listed)
	heartbeatTo := func(to netip.AddrPort) beat {
		record := a.self
		if a.targets[to].knownVersion >= a.self.Version {
			record = record.WithoutAddresses()
		}
		return beat{to: to, datagram: &controlv1.Datagram{Body: &controlv1.Datagram_Heartbeat{
			Heartbeat: &controlv1.Heartbeat{
				Member:         record.Encode(),
				Sequence:       a.sequence,
				Revision:       report.Revision,
				Flows:          uint32(report.Flows),
				MonitorsDigest: digest,
			},
		}}}
	}
	var beats []beat
	for _, to := range a.currentTargets(now, pace.Interval) {
		beats = append(beats, heartbeatTo(to))
	}
	return beats
}

// currentTargets returns the addresses that the next heartbeat is sent to: the monitors, the
// seeds if there is no monitor or no lease, and sometimes one unreachable balancer. a.mu
// must be held.
func (a *Announcer) currentTargets(now time.Time, interval time.Duration) []netip.AddrPort {
	var targets []netip.AddrPort
	for to, t := range a.targets {
		if now.Sub(t.listed) > targetLifetimeBeats*interval {
			delete(a.targets, to)
			continue
		}
		targets = append(targets, to)
	}
	// While the balancers change, more monitors than maxTargets may be listed in turn.
	// The ones listed last are those that would declare this process dead if they got
	// no heartbeats.
	slices.SortFunc(targets, func(x, y netip.AddrPort) int {
		return cmp.Or(a.targets[y].listed.Compare(a.targets[x].listed), x.Compare(y))
	})
	targets = targets[:min(len(targets), maxTargets)]
	if len(targets) == 0 || !now.Before(a.lease) {
		a.listed = nil
		return append(targets, pick(a.seeds(), seedsPerBeat)...)
	}
	if a.sequence%unreachableEvery == 0 || a.isSearching() {
		targets = append(targets, pick(a.unreachable(), 1)...)
	}
	return targets
}

// DigestOf returns a digest of a list of monitors' packet addresses. A monitor compares it
// with that of its own list, and sends its list only if they differ.
func DigestOf(addresses []netip.AddrPort) uint64 {
	var b []byte
	for _, a := range addresses {
		b = a.AppendTo(b)
		b = append(b, ' ')
	}
	return xxh3.Hash(b)
}

// pick returns up to n of the addresses, chosen at random.
func pick(from []netip.AddrPort, n int) []netip.AddrPort {
	picked := slices.Clone(from)
	rand.Shuffle(len(picked), func(i, j int) { picked[i], picked[j] = picked[j], picked[i] })
	return picked[:min(n, len(picked))]
}
