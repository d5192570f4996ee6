package serve

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/go-kit/log"

	"arbutusfront.dev/arbutus-balancer/balancer"
	"arbutusfront.dev/arbutus-balancer/fabric"
	"arbutusfront.dev/arbutus-balancer/operator"
	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/arbutus-balancer/store"
	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/heartbeat"
	"arbutusfront.dev/common/coordination/learned"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/coordination/peer"
	kvstore "arbutusfront.dev/common/coordination/store"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/control"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
	"arbutusfront.dev/common/protocol/link"
	"arbutusfront.dev/common/protocol/settings"
	"arbutusfront.dev/common/state/observe"
	"arbutusfront.dev/common/transport/network"
)

type (
	// clients are the HTTP client and the clients that use it.
	clients struct {
		http  *http.Client
		peer  *peer.Client
		store *kvstore.Client
	}

	// sender breaks the dependency cycle between the link and the parts that send over it
	// or handle what it receives. Its fields are set when the link and the forwarder are
	// built, after those parts.
	sender struct {
		link *link.Link
		// forwarder handles the agents' reports on forwarded packets.
		forwarder *fabric.Forwarder
	}
)

func (s *sender) send(to netip.AddrPort, m *controlv1.Datagram) { s.link.SendControl(to, m) }

func (s *sender) handleUnclaimed(h capsule.Header, packet []byte) {
	s.forwarder.HandleUnclaimed(h, packet)
}

func (s *sender) handleHeld(h capsule.Held) { s.forwarder.HandleHeld(h) }

func (s *sender) handleLoad(l capsule.Load) { s.forwarder.HandleLoad(l) }

func provideSender() *sender { return new(sender) }

func provideKey(s *settings.Balancer) (control.Key, error) { return control.NewKey(s.Secret) }

func provideSelf(s *settings.Balancer) member.Member {
	return member.Member{
		Name:     s.Name,
		Role:     member.Balancer,
		Domain:   s.Domain,
		Packet:   s.PacketAddress,
		Control:  s.ControlAddress,
		Instance: member.NewInstance(s.Name, time.Now()),
		Version:  1,
		Phase:    member.Joining,
	}
}

func provideObserver() (*observe.Observer, func()) {
	o := observe.New("balancer")
	return o, func() { _ = o.Close() }
}

func provideAnnouncer(
	self member.Member, s *settings.Balancer, n *state.Node, out *sender, m Mode,
) *heartbeat.Announcer {
	opts := []heartbeat.Option{
		heartbeat.WithSend(out.send),
		heartbeat.WithSeeds(m.seeds(s.Seeds, s.PacketAddress)),
		heartbeat.WithUnreachable(m.unreachable(s.Seeds, s.PacketAddress, n)),
		heartbeat.WithReport(func() heartbeat.Report {
			return heartbeat.Report{
				Revision: n.Config.Current().Order(), Costs: n.Costs.Next(learned.PerBalancerHeartbeat, time.Now()),
			}
		}),
		heartbeat.WithPace(func() heartbeat.Pace { return paceOf(n.Config.Current()) }),
		heartbeat.WithRefute(func(m member.Member) { n.Table.Merge(m) }),
	}
	if m.CatchUpTime > 0 {
		opts = append(opts, heartbeat.WithSearch())
	}
	return heartbeat.New(self, opts...)
}

// paceOf returns the heartbeat interval and lease of the revision, or the defaults if r
// is nil.
func paceOf(r *config.Revision) heartbeat.Pace {
	var limits config.Limits
	if r != nil {
		limits = r.Config.Deployment.Limits
	}
	return heartbeat.Pace{Interval: limits.Heartbeat(), Lease: limits.DeadAfter()}
}

func provideClients(s *settings.Balancer, n network.Network, m Mode) clients {
	h := n.HTTP2Client()
	c := clients{http: h, peer: peer.NewClient(h), store: m.Store}
	if c.store == nil {
		c.store = kvstore.Connect(h, s.StoreURL)
	}
	return c
}

func providePeers(
	n *state.Node, a *heartbeat.Announcer, out *sender, c clients, l log.Logger, m Mode,
) *balancer.Peers {
	return balancer.New(
		n, a,
		balancer.WithSend(out.send),
		balancer.WithFetch(balancer.Fetch{Revision: c.peer.Revision, Members: c.peer.Members}),
		balancer.WithLogger(l),
		balancer.WithCatchUp(m.CatchUpTime),
	)
}

func provideLink(
	s *settings.Balancer, n network.Network, key control.Key, p *balancer.Peers, o *observe.Observer, out *sender,
) (*link.Link, error) {
	socket, err := n.ListenPacket(s.PacketAddress)
	if err != nil {
		return nil, err
	}
	out.link = link.New(
		socket, key,
		link.WithControl(p.Handle),
		link.WithFlowReports(out.handleUnclaimed, out.handleHeld),
		link.WithLoadReports(out.handleLoad),
		link.WithDrop(observe.DatagramDropCounter(o.Scope)),
		link.WithControlBytes(observe.ControlCounters(o.Scope)),
	)
	return out.link, nil
}

func provideForwarder(
	s *settings.Balancer, n network.Network, node *state.Node, self member.Member, l *link.Link, o *observe.Observer,
	out *sender, m Mode, logger log.Logger,
) (*fabric.Forwarder, error) {
	socket, err := n.ListenPacket(s.FabricAddress)
	if err != nil {
		return nil, err
	}
	opts := append([]fabric.Option{fabric.WithLogger(logger)}, m.Fabric...)
	if m.SkipsContactCheck {
		opts = append(opts, fabric.WithoutContactCheck())
	}
	out.forwarder = fabric.New(socket, node, self, l.WriteBatch, l.HandleControl, o.Scope, opts...)
	return out.forwarder, nil
}

func provideWatcher(
	c clients, n *state.Node, self member.Member, l log.Logger, o *observe.Observer, m Mode,
) *store.Watcher {
	opts := append(slices.Clone(m.Watch), store.WithScope(o.Scope))
	if m.ReadOnlyConfig {
		opts = append(opts, store.WithReadOnly())
	}
	return store.New(c.store, n, self, l, opts...)
}

func provideRegistrar(c clients, n *state.Node, self member.Member, l log.Logger) *store.Registrar {
	return store.NewRegistrar(c.store, n, self, l)
}

func provideLedger(
	c clients, n *state.Node, self member.Member, f *fabric.Forwarder, l log.Logger,
) *store.Ledger {
	fetch := func(ctx context.Context, m member.Member, maxBytes int) ([]byte, error) {
		return c.peer.Ledger(ctx, m.Control, maxBytes)
	}
	return store.NewLedger(c.store, n, self, l, store.Flows{
		Remembered: f.RememberedFlows, Restore: f.Restore, Fetch: fetch,
		Costs: func() []learned.Cost { return n.Costs.Latest(time.Now()) },
		RestoreCosts: func(costs []learned.Cost) {
			for _, c := range costs {
				n.Costs.Learn(c, time.Now())
			}
		},
	})
}

func provideCollector(c clients, n *state.Node, self member.Member, l log.Logger) *store.Collector {
	return store.NewCollector(c.store, n, self, l)
}

func provideOperator(
	n *state.Node, p *balancer.Peers, key control.Key, c clients, a *heartbeat.Announcer, l *store.Ledger,
	f *fabric.Forwarder,
) *operator.Server {
	return operator.New(n, p, key, c.http, a.Self, l.Own, operator.WithDemand(f.Demand))
}

func provideStart() time.Time { return time.Now() }

func provideListener(s *settings.Balancer, n network.Network) (net.Listener, error) {
	return n.Listen(s.ControlAddress)
}
