package serve

import (
	"net"
	"net/http"
	"net/netip"
	"slices"

	"github.com/go-kit/log"

	"arbutusfront.dev/arbutus-agent/agent"
	"arbutusfront.dev/arbutus-agent/backend"
	"arbutusfront.dev/arbutus-agent/balancer"
	"arbutusfront.dev/arbutus-agent/caller"
	"arbutusfront.dev/arbutus-agent/flow"
	"arbutusfront.dev/arbutus-agent/state"
	"arbutusfront.dev/common/coordination/heartbeat"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/coordination/peer"
	"arbutusfront.dev/common/protocol/control"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
	"arbutusfront.dev/common/protocol/link"
	"arbutusfront.dev/common/protocol/settings"
	"arbutusfront.dev/common/state/feature"
	"arbutusfront.dev/common/state/observe"
	"arbutusfront.dev/common/transport/datagram"
	"arbutusfront.dev/common/transport/network"
)

type (
	// sender sends datagrams through the link. The link and the engine are set later, since they
	// are built after the components that send.
	sender struct {
		link *link.Link
		// engine reports the learned costs with heartbeats.
		engine *flow.Engine
		// self is the agent's packet address. fabric is the address at which the fabric
		// takes callers' packets.
		self   netip.AddrPort
		fabric netip.AddrPort
	}

	// stackFactory creates the stack that terminates callers' TCP. The deployment
	// tests in virtual time (arbutus-lab/sessions) replace it.
	stackFactory func(output func(packet []byte)) (*caller.Stack, error)
)

// send sends a datagram to a process. A datagram to the fabric's address reaches one of
// the balancers.
func (s *sender) send(to netip.AddrPort, m *controlv1.Datagram) {
	if to == s.fabric {
		s.link.SendThroughFabric(s.fabric, s.self, m)
		return
	}
	s.link.SendControl(to, m)
}

func (s *sender) forward(b []byte, to netip.AddrPort) error { return s.link.Write(b, to) }

func provideObserver() (*observe.Observer, func()) {
	o := observe.New("agent")
	return o, func() { _ = o.Close() }
}

func provideSender(s *settings.Agent) *sender {
	return &sender{self: s.PacketAddress, fabric: s.FabricEntry}
}

func provideKey(s *settings.Agent) (control.Key, error) { return control.NewKey(s.Secret) }

func provideBackend(s *settings.Agent, n network.Network) *backend.Server {
	return backend.New(n, s.BackendAddress, backend.NewLimiter())
}

func provideAnnouncer(
	self member.Member, s *settings.Agent, n *state.Node, b *backend.Server, out *sender,
) *heartbeat.Announcer {
	seeds := slices.Clone(s.Seeds)
	if s.FabricEntry.IsValid() {
		seeds = append(seeds, s.FabricEntry)
	}
	return heartbeat.New(
		self,
		heartbeat.WithSend(out.send),
		heartbeat.WithSeeds(func() []netip.AddrPort { return seeds }),
		heartbeat.WithReport(func() heartbeat.Report {
			return heartbeat.Report{
				Revision: n.View().Revision, Flows: b.Limiter.Snapshot().Held, Costs: out.engine.LearnedCosts(),
			}
		}),
		heartbeat.WithPace(func() heartbeat.Pace {
			limits := n.View().Config.Limits
			return heartbeat.Pace{Interval: limits.Heartbeat(), Lease: limits.DeadAfter()}
		}),
		heartbeat.WithRefute(n.Learn),
	)
}

func provideClient(n network.Network) *http.Client { return n.HTTP2Client() }

func provideBalancers(n *state.Node, a *heartbeat.Announcer, h *http.Client, l log.Logger) *balancer.Client {
	return balancer.New(n, a, peer.NewClient(h).View, l)
}

func providePeers(n *state.Node, a *heartbeat.Announcer, out *sender, l log.Logger) *agent.Peers {
	return agent.New(n, agent.WithSend(out.send), agent.WithSelf(a.Self), agent.WithLogger(l))
}

// provideReturnSocket returns the socket that packets to callers are sent from.
func provideReturnSocket(s *settings.Agent, n network.Network) (*datagram.Socket, error) {
	return n.ListenPacket(netip.AddrPortFrom(s.PacketAddress.Addr(), 0))
}

func provideEngine(
	n *state.Node, a *heartbeat.Announcer, b *backend.Server, p *agent.Peers, s *settings.Agent,
	returnSocket *datagram.Socket, out *sender, o *observe.Observer, l log.Logger,
	without feature.Set,
) *flow.Engine {
	notices := balancer.NewNotices(n, a, out.send)
	e := flow.New(
		n, b,
		flow.WithIdentity(a.Self, a.HasLease),
		flow.WithForward(out.forward),
		flow.WithReply(func(packet []byte) { _ = returnSocket.Write(packet, s.FabricReturn) }),
		flow.WithNotify(notices.Send),
		flow.WithDirectoryUpdates(p.Opened, p.Closed),
		flow.WithSearch(p.Search),
		flow.WithLoads(p.LoadOf),
		flow.WithLogger(l),
		flow.Without(without),
		flow.WithScope(o.Scope),
	)
	out.engine = e
	p.SetEngineHooks(agent.EngineHooks{
		Register:       e.Register,
		Unregister:     e.Unregister,
		ProbeCallersOf: e.ProbeCallersOf,
		Held:           e.Held,
		Load:           e.Load,
		Claims:         e.Claims,
		Found:          e.Found,
		SearchEnded:    e.SearchEnded,
	})
	return e
}

func newUserSpaceStack(output func(packet []byte)) (*caller.Stack, error) {
	return caller.NewStack(output)
}

func provideStack(e *flow.Engine, newStack stackFactory) (*caller.Stack, error) {
	s, err := newStack(e.HandleOutput)
	if err != nil {
		return nil, err
	}
	e.SetStack(s)
	return s, nil
}

func provideLink(
	s *settings.Agent, n network.Network, key control.Key, e *flow.Engine, b *balancer.Client, p *agent.Peers,
	o *observe.Observer, out *sender,
) (*link.Link, error) {
	socket, err := n.ListenPacket(s.PacketAddress)
	if err != nil {
		return nil, err
	}
	h := &handler{engine: e, balancers: b, peers: p}
	out.link = link.New(
		socket, key,
		link.WithPacket(h.packet),
		link.WithControl(h.control),
		link.WithDrop(observe.DatagramDropCounter(o.Scope)),
		link.WithControlBytes(observe.ControlCounters(o.Scope)),
	)
	return out.link, nil
}

func provideListener(s *settings.Agent, n network.Network) (net.Listener, error) {
	return n.Listen(s.ControlAddress)
}
