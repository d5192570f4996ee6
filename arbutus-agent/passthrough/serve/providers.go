package serve

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-kit/log"

	"arbutusfront.dev/arbutus-agent/agent"
	"arbutusfront.dev/arbutus-agent/balancer"
	"arbutusfront.dev/arbutus-agent/passthrough"
	"arbutusfront.dev/arbutus-agent/state"
	"arbutusfront.dev/common/coordination/heartbeat"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/coordination/peer"
	"arbutusfront.dev/common/protocol/control"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/protocol/link"
	"arbutusfront.dev/common/protocol/settings"
	"arbutusfront.dev/common/state/feature"
	"arbutusfront.dev/common/state/observe"
	"arbutusfront.dev/common/transport/datagram"
	"arbutusfront.dev/common/transport/network"
)

// initialHeartbeatInterval is the heartbeat interval until a balancer has sent the service's
// configuration. It is short so that a start of the whole deployment is not delayed by
// heartbeats.
const initialHeartbeatInterval = 50 * time.Millisecond

// batchDelay is how long updates for other agents are collected into one message. After a
// flow has opened, its next packet may reach another agent, which looks up the holder. That
// packet arrives at least one round trip of the caller later, which takes 2 ms or more, so
// batchDelay is no longer than that.
const batchDelay = 2 * time.Millisecond

type (
	// sender sends datagrams through the link. The link and the engine depend on the components
	// that send, so they are set after those are built.
	sender struct {
		link *link.Link
		// engine reports the demand and the learned costs with heartbeats.
		engine *passthrough.Engine
	}

	// backendSocket is the socket for packets to and from the backend server, and to
	// callers.
	backendSocket struct{ *datagram.Socket }
)

func (s *sender) send(to netip.AddrPort, m *controlv1.Datagram) { s.link.SendControl(to, m) }

func (s *sender) forward(b []byte, to netip.AddrPort) error { return s.link.Write(b, to) }

func provideSender() *sender { return new(sender) }

func provideObserver() (*observe.Observer, func()) {
	o := observe.New("agent")
	return o, func() { _ = o.Close() }
}

func provideKey(s *settings.Agent) (control.Key, error) { return control.NewKey(s.Secret) }

func provideBackend(s *settings.Agent, n network.Network, o *observe.Observer, l log.Logger) *passthrough.Server {
	address := s.BackendAddress.String()
	plain := n.HTTP1Client()
	return passthrough.NewServer(
		func(ctx context.Context) error {
			c, err := n.Dial(ctx, address)
			if err != nil {
				return Error.Wrap(err)
			}
			return Error.Wrap(c.Close())
		},
		passthrough.WithHealthProbe(func(ctx context.Context, path string) error { return probe(ctx, plain, address, path) }),
		passthrough.WithServerLogger(l),
		passthrough.WithServerScope(o.Scope),
	)
}

// probe requests the path from the backend server, and returns an error unless the
// status is 200.
func probe(ctx context.Context, c *http.Client, address, path string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return Error.Wrap(err)
	}
	r.Close = true
	resp, err := c.Do(r)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := resp.Body.Close(); err != nil {
		return Error.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		return Error.New("backend server %s responded to the health probe with %s", address, resp.Status)
	}
	return nil
}

func provideAnnouncer(
	self member.Member, s *settings.Agent, n *state.Node, out *sender, opts Options,
) *heartbeat.Announcer {
	return heartbeat.New(
		self,
		heartbeat.WithSend(out.send),
		heartbeat.WithSeeds(opts.seeds(s.Seeds)),
		heartbeat.WithConfigured(func() bool { return opts.Without.Has(feature.SeedHeartbeats) || n.View().Known }),
		heartbeat.WithReport(func() heartbeat.Report {
			return heartbeat.Report{
				Revision: n.View().Revision, Demand: out.engine.Demand(), Costs: out.engine.LearnedCosts(),
			}
		}),
		heartbeat.WithPace(func() heartbeat.Pace {
			v := n.View()
			pace := heartbeat.Pace{Interval: v.Config.Limits.Heartbeat(), Lease: v.Config.Limits.DeadAfter()}
			if !v.Known {
				pace.Interval = initialHeartbeatInterval
			}
			return pace
		}),
		heartbeat.WithRefute(n.Learn),
	)
}

func provideClient(n network.Network) *http.Client { return n.HTTP2Client() }

func provideBalancers(n *state.Node, a *heartbeat.Announcer, h *http.Client, l log.Logger) *balancer.Client {
	return balancer.New(n, a, peer.NewClient(h).View, l)
}

func providePeers(n *state.Node, a *heartbeat.Announcer, out *sender, l log.Logger) *agent.Peers {
	return agent.New(
		n, agent.WithSend(out.send), agent.WithSelf(a.Self), agent.WithLogger(l), agent.WithBatchDelay(batchDelay),
		agent.WithSettledReplicas(),
	)
}

func provideBackendSocket(n network.Network, opts Options) (backendSocket, error) {
	s, err := n.ListenPacket(opts.OutboundAddress)
	return backendSocket{s}, err
}

func provideEngine(
	n *state.Node, a *heartbeat.Announcer, b *passthrough.Server, p *agent.Peers, s *settings.Agent,
	socket backendSocket, out *sender, o *observe.Observer, l log.Logger, opts Options,
) *passthrough.Engine {
	opened, closed := p.Opened, p.Closed
	if opts.Without.Has(feature.DirectoryReplicas) {
		opened, closed = func(ipv4.FlowKey) {}, func(ipv4.FlowKey) {}
	}
	e := passthrough.New(
		n, b, opts.Codec,
		passthrough.Without(opts.Without),
		passthrough.WithIdentity(a.Self),
		passthrough.WithDeliver(func(packet []byte) error { return socket.Write(packet, s.BackendAddress) }),
		passthrough.WithForward(out.forward),
		passthrough.WithReply(func(caller netip.AddrPort, packet []byte) error {
			return socket.Write(packet, opts.ReplyAddressOf(caller))
		}),
		passthrough.WithNotify(balancer.NewNotices(n, a, out.send).Send),
		passthrough.WithDirectoryUpdates(opened, closed),
		passthrough.WithScope(o.Scope),
		passthrough.WithLogger(l),
	)
	out.engine = e
	p.SetEngineHooks(agent.EngineHooks{
		Register:       e.Register,
		Unregister:     e.Unregister,
		ProbeCallersOf: func(uint64) int { return 0 },
		Held:           e.Held,
		Load:           e.Load,
	})
	return e
}

func provideLink(
	s *settings.Agent, n network.Network, key control.Key, e *passthrough.Engine, b *balancer.Client, p *agent.Peers,
	o *observe.Observer, out *sender,
) (*link.Link, error) {
	socket, err := n.ListenPacket(s.PacketAddress)
	if err != nil {
		return nil, err
	}
	out.link = link.New(
		socket, key,
		link.WithPacket(e.HandlePacket),
		link.WithControl(func(from netip.AddrPort, m *controlv1.Datagram) {
			if ack := m.GetHeartbeatAck(); ack != nil {
				b.HandleAck(ack)
				return
			}
			p.Handle(from, m)
		}),
		link.WithDrop(observe.DatagramDropCounter(o.Scope)),
		link.WithControlBytes(observe.ControlCounters(o.Scope)),
	)
	return out.link, nil
}

func provideWithout(opts Options) feature.Set { return opts.Without }

func provideListener(s *settings.Agent, n network.Network) (net.Listener, error) {
	return n.Listen(s.ControlAddress)
}
