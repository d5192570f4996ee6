// Package heartbeat sends a process's heartbeats to the balancers that monitor it, and
// tracks the lease that their acknowledgments grant.
//
// # Usage
//
//	a := heartbeat.New(self, heartbeat.WithSeeds(seeds), ...)
//	done := a.Run(ctx)
//	a.HandleAck(ack)
//	if a.HasLease() { admit() }
//
// A lease counts from the time at which the acknowledged heartbeat was sent. It expires when
// a process is cut off from its monitors or is paused, or when its VM is suspended. An
// acknowledgment makes it valid again only if the heartbeat was sent less than the lease's
// duration ago.
package heartbeat

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/learned"
	"arbutusfront.dev/common/coordination/member"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
	"arbutusfront.dev/common/state/clock"
)

const (
	// seedsPerHeartbeat is the largest number of seeds that get a heartbeat while no monitor is
	// known or there is no valid lease.
	seedsPerHeartbeat = 3
	// seedsUnconfigured is the same while the process has no configuration.
	seedsUnconfigured = 6
	// maxTargets is the largest number of monitors, current and former, that get a
	// heartbeat.
	maxTargets = 6
	// targetLifetimeHeartbeats is how long a balancer that is no longer listed as a monitor
	// still gets heartbeats, in heartbeat intervals.
	targetLifetimeHeartbeats = 8
	// unreachableEvery is the interval, in heartbeats, at which one is also sent to a
	// balancer that counts as unreachable, in order to detect the end of a partition.
	unreachableEvery = 10
	// sentWindow is the number of latest heartbeats whose acknowledgments are accepted.
	sentWindow = 64
	// searchInterval is the heartbeat interval during searchTime, the first part of a
	// process's life. When all processes start together, most seeds don't respond yet,
	// and the balancers that find each other first would form separate groups.
	searchInterval = 50 * time.Millisecond
	searchTime     = 1500 * time.Millisecond
)

type (
	// Report is the state that a heartbeat contains in addition to the member's record:
	// the configuration revision in force, the number of flows held, some learned costs and, if
	// requests lacked capacity, what became of them.
	Report struct {
		Revision config.Order
		Flows    int
		Costs    []learned.Cost
		Demand   []*controlv1.RequestDemand
	}

	// Pace is the interval between heartbeats and the duration of the lease that an
	// acknowledgment grants.
	Pace struct {
		Interval time.Duration
		Lease    time.Duration
	}

	// Monitor is a balancer whose addresses are known from an acknowledgment: its own,
	// or that of another balancer that lists it as a monitor.
	Monitor struct {
		Name    string
		Packet  netip.AddrPort
		Control netip.AddrPort
	}

	// Announcer sends a process's heartbeats and handles their acknowledgments. It is safe
	// for concurrent use.
	Announcer struct {
		send        func(to netip.AddrPort, m *controlv1.Datagram)
		report      func() Report
		pace        func() Pace
		seeds       func() []netip.AddrPort
		unreachable func() []netip.AddrPort
		now         func() time.Time
		onRefute    func(member.Member)
		// configured reports whether the process has a configuration.
		configured func() bool
		// wake makes Run send a heartbeat at once.
		wake chan struct{}
		// searchAtStart enables the search for other balancers after the start.
		searchAtStart bool
		startedAt     time.Time

		mu       sync.Mutex
		self     member.Member
		sequence uint64
		sentAt   [sentWindow]time.Time
		// leaseExpires is the time at which the lease expires; zero before the first.
		leaseExpires time.Time
		// lateRenewals are the latest times at which an expired lease was renewed, at
		// most flapCount of them.
		lateRenewals []time.Time
		// targets are keyed by packet address, monitors by name.
		targets  map[netip.AddrPort]target
		monitors map[string]Monitor
		// refusedBy describes the member that has the claim to this process's name or
		// backend address.
		refusedBy string
		// listed are the packet addresses of the monitors in the latest acknowledgment
		// that contained a list. It is cleared when seeds get heartbeats.
		listed []netip.AddrPort
	}

	// target is a monitor that gets heartbeats: the time at which it was last listed,
	// and the version of this process's record that it has, or 0 if it has none.
	target struct {
		listedAt     time.Time
		knownVersion uint64
	}

	// Option configures an Announcer.
	Option func(*Announcer)
)

// WithSend sets the function that sends datagrams. It must not block.
func WithSend(send func(to netip.AddrPort, m *controlv1.Datagram)) Option {
	return func(a *Announcer) { a.send = send }
}

// WithReport sets the function that returns the state to include in each heartbeat.
func WithReport(report func() Report) Option {
	return func(a *Announcer) { a.report = report }
}

// WithPace sets the function that returns the interval and the duration of the lease. It is
// called for each heartbeat and acknowledgment, and must not call the Announcer.
func WithPace(pace func() Pace) Option {
	return func(a *Announcer) { a.pace = pace }
}

// WithSeeds sets the function that returns the addresses of balancers that get heartbeats
// while no monitor is known or the lease has expired.
func WithSeeds(seeds func() []netip.AddrPort) Option {
	return func(a *Announcer) { a.seeds = seeds }
}

// WithUnreachable sets the function that returns the addresses of balancers that count as
// dead or are not in the membership table. Every unreachableEvery-th heartbeat is also sent
// to one of these balancers, so that the parts of a partitioned deployment find each other
// afterwards.
func WithUnreachable(unreachable func() []netip.AddrPort) Option {
	return func(a *Announcer) { a.unreachable = unreachable }
}

// WithRefute sets the function that is called after others have declared this process dead
// and it has refuted that by increasing its version. Its argument is the new record.
func WithRefute(f func(member.Member)) Option {
	return func(a *Announcer) { a.onRefute = f }
}

// WithSearch makes the process search for balancers for a short time after its start: its
// heartbeats are sent at a shorter interval, and each time also to one of the addresses set
// by WithUnreachable.
func WithSearch() Option { return func(a *Announcer) { a.searchAtStart = true } }

// WithConfigured sets the function that reports whether the process has a configuration. Until
// it does, heartbeats go to seeds too, although there are monitors. The function must not call
// the Announcer.
func WithConfigured(f func() bool) Option { return func(a *Announcer) { a.configured = f } }

// New returns an Announcer for the process with the record self. WithSend, WithPace and
// WithSeeds are required.
func New(self member.Member, opts ...Option) *Announcer {
	a := &Announcer{
		self:        self,
		now:         clock.New().Now,
		report:      func() Report { return Report{} },
		unreachable: func() []netip.AddrPort { return nil },
		onRefute:    func(member.Member) {},
		configured:  func() bool { return true },
		wake:        make(chan struct{}, 1),
		targets:     make(map[netip.AddrPort]target),
		monitors:    make(map[string]Monitor),
	}
	for _, opt := range opts {
		opt(a)
	}
	a.startedAt = a.now()
	return a
}

// Run starts to send heartbeats. The channel receives nil once ctx is canceled. Intervals
// vary by up to a tenth, so that processes don't send in step.
func (a *Announcer) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for {
			a.SendHeartbeats()
			interval := a.interval()
			t := time.NewTimer(interval - interval/10 + rand.N(interval/5+1))
			select {
			case <-ctx.Done():
				t.Stop()
				done <- nil
				return
			case <-a.wake:
				t.Stop()
			case <-t.C:
			}
		}
	}()
	return done
}

func (a *Announcer) interval() time.Duration {
	interval := a.pace().Interval
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isSearching() {
		return min(interval, searchInterval)
	}
	return interval
}

func (a *Announcer) isSearching() bool {
	return a.searchAtStart && a.now().Sub(a.startedAt) < searchTime
}

// SendHeartbeats sends a heartbeat to the monitors and, if due, to seeds or an unreachable
// balancer.
func (a *Announcer) SendHeartbeats() {
	for _, h := range a.nextHeartbeats() {
		a.send(h.to, h.datagram)
	}
}

// Self returns the process's own record.
func (a *Announcer) Self() member.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.self
}

// SetPhase sets the phase of the process. A change is announced at once.
func (a *Announcer) SetPhase(p member.Phase) {
	a.changePhase(p, func(member.Phase) bool { return true })
}

// ChangePhase changes the phase of the process if it is in the phase from, and reports
// whether it did. A change is announced at once.
func (a *Announcer) ChangePhase(from, to member.Phase) bool {
	return a.changePhase(to, func(p member.Phase) bool { return p == from })
}

// SetServerRun sets the run of the agent's backend server, and reports whether it differs
// from the previous one. A change is announced at once.
func (a *Announcer) SetServerRun(run uint64) bool {
	return a.change(func(m member.Member) member.Member {
		if m.ServerRun == run {
			return m
		}
		return m.WithServerRun(run)
	})
}

func (a *Announcer) changePhase(to member.Phase, allowed func(from member.Phase) bool) bool {
	return a.change(func(m member.Member) member.Member {
		if m.Phase == to || !allowed(m.Phase) {
			return m
		}
		return m.WithPhase(to)
	})
}

// change replaces the process's record with the result of f, and reports whether they
// differ. If they do, a heartbeat is sent at once.
func (a *Announcer) change(f func(member.Member) member.Member) bool {
	a.mu.Lock()
	next := f(a.self)
	changed := next != a.self
	a.self = next
	a.mu.Unlock()
	if changed {
		a.SendSoon()
	}
	return changed
}

// SendSoon makes Run send a heartbeat at once.
func (a *Announcer) SendSoon() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// HasLease reports whether the lease is valid, which means that a heartbeat that was sent
// less than the lease's duration ago has been acknowledged.
func (a *Announcer) HasLease() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.now().Before(a.leaseExpires)
}

// RefusedBy describes the member that, by the latest acknowledgment, holds the claim to the
// process's name or backend address. It is empty if no other member does.
func (a *Announcer) RefusedBy() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.refusedBy
}

// ControlOf returns the control address of the named balancer, and whether it is known from
// an acknowledgment.
func (a *Announcer) ControlOf(name string) (netip.AddrPort, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	m, ok := a.monitors[name]
	return m.Control, ok
}

// Monitors returns the balancers that are listed as monitors, or were until recently,
// ordered by name.
func (a *Announcer) Monitors() []Monitor {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]Monitor, 0, len(a.monitors))
	for _, m := range a.monitors {
		if _, ok := a.targets[m.Packet]; ok {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(x, y Monitor) int { return cmp.Compare(x.Name, y.Name) })
	return out
}

// HandleAck processes an acknowledgment, and reports whether the lease that it grants is valid
// now. It also updates the monitors and RefusedBy. If the monitor has declared this process
// dead and knows no lower version of its record than the current one, the process refutes that
// with a higher version. A malformed acknowledgment is ignored.
func (a *Announcer) HandleAck(ack *controlv1.HeartbeatAck) bool {
	monitor, err := member.Decode(ack.GetMonitor())
	if err != nil {
		return false
	}
	a.mu.Lock()
	now := a.now()
	valid := a.renew(ack.GetSequence())
	a.refusedBy = ack.GetRefusedBy()
	a.recordMonitors(monitor, ack, now)
	refuted := ack.GetDeclaredDead() && ack.GetKnownVersion() >= a.self.Version
	if refuted {
		a.self = a.self.WithVersion(ack.GetKnownVersion() + 1)
	}
	self := a.self
	a.mu.Unlock()
	if refuted {
		a.onRefute(self)
	}
	return valid
}

// renew extends the lease, counted from the time at which the acknowledged heartbeat was
// sent, and reports whether that lease is valid now. If the previous lease had expired, it
// records a late renewal. Acknowledgments of heartbeats that are not among the latest
// sentWindow are ignored. a.mu must be held.
func (a *Announcer) renew(sequence uint64) bool {
	if sequence == 0 || sequence > a.sequence || a.sequence-sequence >= sentWindow {
		return false
	}
	until := a.sentAt[sequence%sentWindow].Add(a.pace().Lease)
	now := a.now()
	if !until.After(a.leaseExpires) {
		return now.Before(until)
	}
	if !a.leaseExpires.IsZero() && a.leaseExpires.Before(now) && now.Before(until) {
		a.recordLateRenewal(now)
	}
	a.leaseExpires = until
	return now.Before(until)
}

// outgoingHeartbeat is a heartbeat and the address that it is sent to.
type outgoingHeartbeat struct {
	to       netip.AddrPort
	datagram *controlv1.Datagram
}
