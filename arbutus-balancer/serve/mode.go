package serve

import (
	"net/netip"
	"slices"
	"time"

	"arbutusfront.dev/arbutus-balancer/fabric"
	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/arbutus-balancer/store"
	kvstore "arbutusfront.dev/common/coordination/store"
	"arbutusfront.dev/common/state/feature"
)

// Mode contains what differs between deployments of a balancer. The zero Mode is that of
// a deployment whose callers use IPv4 TCP.
type Mode struct {
	// Store replaces the client of the store at the configured URL.
	Store *kvstore.Client
	// Seeds replaces the configured seeds, which may be stale. It is called whenever no
	// monitor acknowledges heartbeats.
	Seeds func() []netip.AddrPort
	// OtherSeeds returns the seeds that a balancer tries occasionally although it knows
	// other balancers. If nil, these are the addresses of Seeds.
	OtherSeeds func() []netip.AddrPort
	// Fabric are additional options of the packet path.
	Fabric []fabric.Option
	// Watch are additional options of the watch on the configuration.
	Watch []store.Option
	// Registered enables the registration of the balancer's address in the store, where
	// processes without a valid seed find it.
	Registered bool
	// StoredFlows enables saving the flows that the balancer remembers in the store, for
	// its next run.
	StoredFlows bool
	// ReadOnlyConfig disables the removal of unreferenced chunks from the store, and
	// writing back what a restored store has lost. It is set if another system writes the
	// configuration, and also does both.
	ReadOnlyConfig bool
	// SkipsContactCheck lets the balancer forward while it receives nothing from other
	// failure domains.
	SkipsContactCheck bool
	// SyncTimeout is how long after its start a balancer reports that it is not ready
	// because it has not merged the members of another balancer yet; 0 to be ready
	// without them.
	SyncTimeout time.Duration
	// CatchUpTime is how long after its start the balancer compares its members with
	// those of others, and merges what differs, at short intervals; 0 to disable.
	CatchUpTime time.Duration
	// Without are the features to switch off.
	Without feature.Set
	// Leaving replaces the default timing of a graceful stop, unless it is zero.
	Leaving LeaveTiming
}

// LeaveTiming is the timing of a graceful stop.
type LeaveTiming struct {
	// MinTime is the minimum time that the balancer continues to forward, for the fabric
	// to learn that it is leaving.
	MinTime time.Duration
	// Quiet is how long the fabric must have sent nothing before the balancer stops.
	Quiet time.Duration
	// MaxTime is the time after which the balancer stops although the fabric still sends.
	MaxTime time.Duration
	// CheckInterval is the interval at which these conditions are checked.
	CheckInterval time.Duration
}

// seeds returns a function that lists the packet addresses of the balancers to contact
// first, without the balancer's own.
func (m Mode) seeds(configured []netip.AddrPort, self netip.AddrPort) func() []netip.AddrPort {
	return exceptSelf(self, m.Seeds, configured)
}

// exceptSelf returns a function that lists the addresses of source, or the configured
// ones if source is nil, without the balancer's own.
func exceptSelf(
	self netip.AddrPort, source func() []netip.AddrPort, configured []netip.AddrPort,
) func() []netip.AddrPort {
	if source == nil {
		source = func() []netip.AddrPort { return configured }
	}
	return func() []netip.AddrPort {
		seeds := source()
		others := make([]netip.AddrPort, 0, len(seeds))
		for _, s := range seeds {
			if s != self {
				others = append(others, s)
			}
		}
		return others
	}
}

// resolve returns the mode without what is switched off as a whole. The parts switch off the
// other features themselves.
func (m Mode) resolve() Mode {
	if m.Without.Has(feature.Ledger) {
		m.StoredFlows = false
	}
	if m.Without.Has(feature.StartSearch) {
		m.CatchUpTime = 0
	}
	m.Fabric = append(slices.Clone(m.Fabric), fabric.Without(m.Without))
	if m.Without.Has(feature.WatcherElection) {
		m.Watch = append(slices.Clone(m.Watch), store.WithoutElection())
	}
	return m
}

// leaveTiming returns the timing of a graceful stop: Leaving, or the default if it is zero.
func (m Mode) leaveTiming() LeaveTiming {
	if m.Leaving == (LeaveTiming{}) {
		return LeaveTiming{Quiet: fabricQuietTime, MaxTime: maxLeaveTime, CheckInterval: leaveCheckInterval}
	}
	return m.Leaving
}

// unreachable returns a function that lists the packet addresses of balancers that have been
// declared dead, and of seeds that belong to no live balancer.
func (m Mode) unreachable(configured []netip.AddrPort, self netip.AddrPort, n *state.Node) func() []netip.AddrPort {
	source := m.OtherSeeds
	if source == nil {
		source = m.Seeds
	}
	seeds := exceptSelf(self, source, configured)
	return func() []netip.AddrPort { return unreachableOf(seeds(), n)() }
}
