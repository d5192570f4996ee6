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
	"arbutusfront.dev/common/protocol/link"
	"arbutusfront.dev/common/protocol/settings"
	"arbutusfront.dev/common/state/observe"
	"arbutusfront.dev/common/transport/datagram"
	"arbutusfront.dev/common/transport/network"
)

// firstInterval is the interval of heartbeats until a balancer has told the service's
// configuration, so that a start of everything takes no longer than it must.
const firstInterval = 50 * time.Millisecond

// gatherPause is how long updates for other agents are gathered. A packet that
// comes another way is looked for after one round trip of its caller, 2 ms or more.
const gatherPause = 2 * time.Millisecond

type (
	// sender sends datagrams through the link, which is built after those who
	// send.
	sender struct{ link *link.Link }

	// backendSocket is the socket towards the backend server.
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

func provideBackend(s *settings.Agent, n network.Network, l log.Logger) *passthrough.Server {
	address := s.BackendAddress.String()
	plain := n.PlainClient()
	return passthrough.NewServer(
		func(ctx context.Context) error {
			c, err := n.Dial(ctx, address)
			if err != nil {
				return Error.Wrap(err)
			}
			return Error.Wrap(c.Close())
		},
		passthrough.WithHealthProbe(func(ctx context.Context, path string) error { return get(ctx, plain, address, path) }),
		passthrough.WithServerLogger(l),
	)
}

// get asks for the path, and fails unless the answer is 200.
func get(ctx context.Context, c *http.Client, address, path string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return Error.Wrap(err)
	}
	r.Close = true
	answer, err := c.Do(r)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := answer.Body.Close(); err != nil {
		return Error.Wrap(err)
	}
	if answer.StatusCode != http.StatusOK {
		return Error.New("%s answers %s", address, answer.Status)
	}
	return nil
}

func provideAnnouncer(self member.Member, s *settings.Agent, n *state.Node, out *sender, m Mode) *heartbeat.Announcer {
	return heartbeat.New(
		self,
		heartbeat.WithSend(out.send),
		heartbeat.WithSeeds(m.seeds(s.Seeds)),
		heartbeat.WithReport(func() heartbeat.Report { return heartbeat.Report{Revision: n.View().Revision} }),
		heartbeat.WithPace(func() heartbeat.Pace {
			v := n.View()
			pace := heartbeat.Pace{Interval: v.Config.Limits.Heartbeat(), Lease: v.Config.Limits.DeadAfter()}
			if !v.Known {
				pace.Interval = firstInterval
			}
			return pace
		}),
		heartbeat.WithRefute(n.Learn),
	)
}

func provideClient(n network.Network) *http.Client { return n.Client() }

func provideBalancers(n *state.Node, a *heartbeat.Announcer, h *http.Client, l log.Logger) *balancer.Client {
	return balancer.New(n, a, peer.NewClient(h).View, l)
}

func providePeers(n *state.Node, a *heartbeat.Announcer, out *sender, l log.Logger) *agent.Peers {
	return agent.New(
		n, agent.WithSend(out.send), agent.WithSelf(a.Self), agent.WithLogger(l), agent.WithGather(gatherPause),
		agent.WithSettledKeepers(),
	)
}

func provideBackendSocket(n network.Network, m Mode) (backendSocket, error) {
	s, err := n.ListenPacket(m.Outbound)
	return backendSocket{s}, err
}

func provideEngine(
	n *state.Node, a *heartbeat.Announcer, b *passthrough.Server, p *agent.Peers, s *settings.Agent,
	socket backendSocket, out *sender, o *observe.Observer, l log.Logger, m Mode,
) *passthrough.Engine {
	e := passthrough.New(
		n, b, m.Codec,
		passthrough.WithIdentity(a.Self),
		passthrough.WithDeliver(func(packet []byte) error { return socket.Write(packet, s.BackendAddress) }),
		passthrough.WithForward(out.forward),
		passthrough.WithReply(func(caller netip.AddrPort, packet []byte) error {
			return socket.Write(packet, m.AddressOf(caller))
		}),
		passthrough.WithNotify(balancer.NewNotices(n, a, out.send).Send),
		passthrough.WithDirectoryUpdates(p.Opened, p.Closed),
		passthrough.WithScope(o.Scope),
		passthrough.WithLogger(l),
	)
	p.SetDirectory(agent.Directory{
		Register:   e.Register,
		Unregister: e.Unregister,
		ProbeHeld:  func(uint64) int { return 0 },
		Held:       e.Held,
		Load:       e.Load,
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
		link.WithDrop(observe.DropCounter(o.Scope)),
		link.WithControlBytes(observe.ControlCounters(o.Scope)),
	)
	return out.link, nil
}

func provideListener(s *settings.Agent, n network.Network) (net.Listener, error) {
	return n.Listen(s.ControlAddress)
}
