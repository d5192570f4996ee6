package heartbeat

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"arbutusfront.dev/common/coordination/learned"
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
		t.listedAt = now
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

// recordListed adds a monitor from an acknowledgment's list to listed, unless its packet
// address is malformed, and stores its addresses if both are well-formed. They are taken from
// the list because the monitor's own acknowledgments contain them only if they contain a list
// too. a.mu must be held.
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

// nextHeartbeats returns the heartbeats to send now, and records their sequence number and
// time. A target that has the current version of the process's record gets it without
// addresses.
func (a *Announcer) nextHeartbeats() []outgoingHeartbeat {
	report := a.report()
	costs := learned.Encode(report.Costs, time.Now())
	pace := a.pace()
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.sequence++
	a.sentAt[a.sequence%sentWindow] = now
	digest := MonitorsDigest(a.listed)
	heartbeatTo := func(to netip.AddrPort) outgoingHeartbeat {
		record := a.self
		if a.targets[to].knownVersion >= a.self.Version {
			record = record.WithoutAddresses()
		}
		return outgoingHeartbeat{to: to, datagram: &controlv1.Datagram{Body: &controlv1.Datagram_Heartbeat{
			Heartbeat: &controlv1.Heartbeat{
				Member:         record.Encode(),
				Sequence:       a.sequence,
				Revision:       report.Revision.Number,
				ConfigVersion:  report.Revision.Version,
				Flows:          uint32(report.Flows),
				Demand:         report.Demand,
				MonitorsDigest: digest,
				LearnedCosts:   costs,
			},
		}}}
	}
	var heartbeats []outgoingHeartbeat
	for _, to := range a.selectRecipients(now, pace.Interval) {
		heartbeats = append(heartbeats, heartbeatTo(to))
	}
	return heartbeats
}

// selectRecipients returns the addresses that the next heartbeat is sent to: up to maxTargets
// monitors, and some seeds if there is no monitor, no valid lease or no configuration.
// Otherwise one unreachable balancer is added during the search and at every
// unreachableEvery-th heartbeat. It removes targets that were not listed for
// targetLifetimeHeartbeats intervals, and clears listed if there is no monitor or no valid
// lease. a.mu must be held.
func (a *Announcer) selectRecipients(now time.Time, interval time.Duration) []netip.AddrPort {
	var targets []netip.AddrPort
	for to, t := range a.targets {
		if now.Sub(t.listedAt) > targetLifetimeHeartbeats*interval {
			delete(a.targets, to)
			continue
		}
		targets = append(targets, to)
	}
	// While the balancers change, more monitors than maxTargets may be listed in turn.
	// The ones listed last are those that would declare this process dead if they got
	// no heartbeats.
	slices.SortFunc(targets, func(x, y netip.AddrPort) int {
		return cmp.Or(a.targets[y].listedAt.Compare(a.targets[x].listedAt), x.Compare(y))
	})
	targets = targets[:min(len(targets), maxTargets)]
	if len(targets) == 0 || !now.Before(a.leaseExpires) {
		a.listed = nil
		return append(targets, pick(a.seeds(), a.seedsPerHeartbeat())...)
	}
	if !a.configured() {
		// The monitors may have no configuration themselves, while other balancers do.
		seeds := slices.DeleteFunc(a.seeds(), func(s netip.AddrPort) bool { return slices.Contains(targets, s) })
		return append(targets, pick(seeds, a.seedsPerHeartbeat())...)
	}
	if a.sequence%unreachableEvery == 0 || a.isSearching() {
		targets = append(targets, pick(a.unreachable(), 1)...)
	}
	return targets
}

// seedsPerHeartbeat returns how many seeds get a heartbeat at once. Without a configuration,
// more do: after a loss of all processes, most seeds may not be running yet.
func (a *Announcer) seedsPerHeartbeat() int {
	if !a.configured() {
		return seedsUnconfigured
	}
	return seedsPerHeartbeat
}

// MonitorsDigest returns a digest of a list of monitors' packet addresses. A monitor compares it
// with that of its own list, and sends its list only if they differ.
func MonitorsDigest(addresses []netip.AddrPort) uint64 {
	var b []byte
	for _, a := range addresses {
		b = a.AppendTo(b)
		b = append(b, ' ')
	}
	return xxh3.Hash(b)
}

// pick returns up to n different addresses, chosen at random.
func pick(from []netip.AddrPort, n int) []netip.AddrPort {
	picked := slices.Clone(from)
	slices.SortFunc(picked, netip.AddrPort.Compare)
	picked = slices.Compact(picked)
	rand.Shuffle(len(picked), func(i, j int) { picked[i], picked[j] = picked[j], picked[i] })
	return picked[:min(n, len(picked))]
}
