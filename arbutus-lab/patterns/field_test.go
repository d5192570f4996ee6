package patterns

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"arbutusfront.dev/arbutus-agent/passthrough"
	agentstate "arbutusfront.dev/arbutus-agent/state"
	"arbutusfront.dev/arbutus-balancer/fabric"
	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/coordination/peer"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/frame"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/transport/datagram"
)

// Delays one way, and what backend servers and callers are like on the users' sites.
const (
	nearDelay   = 200 * time.Microsecond
	farDelay    = 5 * time.Millisecond
	callerDelay = 3 * time.Millisecond

	slots       = 4
	queue       = 16
	connections = 2000
	meanWork    = 22 * time.Millisecond

	serviceName = "desk"
	// deadBound is how long the death of an agent takes to be known.
	deadBound = time.Second
)

var (
	endpoint  = netip.MustParseAddrPort("10.80.0.1:80")
	errClosed = errors.New("connection refused")
)

type (
	// rule is how new flows are placed.
	rule struct {
		name  string
		plain bool
	}

	// field is a deployment of one service, with a balancer in each failure domain.
	field struct {
		t       *testing.T
		ctx     context.Context
		rule    rule
		domains []string

		entries map[string]*entry
		servers []*server
		agents  map[netip.AddrPort]*server

		mu       sync.Mutex
		rng      *rand.Rand
		attempts map[ipv4.FlowKey]*attempt
		port     uint16
		results  []result
	}

	// entry is a balancer with the packets that come to it.
	entry struct {
		forwarder *fabric.Forwarder
		node      *state.Node
		self      member.Member
		in        chan []byte
	}
)

var (
	product = rule{name: "product"}
	plain   = rule{name: "plain hashing", plain: true}
)

// play runs the pattern in virtual time, and returns its results.
func play(t *testing.T, r rule, perDomain int, run func(f *field)) *tallied {
	t.Helper()
	var out *tallied
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := &field{
			t: t, ctx: ctx, rule: r, domains: []string{"north", "centre", "south"},
			entries: make(map[string]*entry), agents: make(map[netip.AddrPort]*server),
			rng: rand.New(rand.NewPCG(1, 2)), attempts: make(map[ipv4.FlowKey]*attempt),
		}
		var ended []<-chan error
		for i, d := range f.domains {
			for n := range perDomain {
				f.addServer(d, i, n)
			}
		}
		for i, d := range f.domains {
			ended = append(ended, f.addEntry(d, i))
		}
		for _, s := range f.servers {
			s.join()
			ended = append(ended, s.engine.Run(ctx))
		}
		time.Sleep(time.Second)
		run(f)
		time.Sleep(3 * time.Second)
		cancel()
		for _, done := range ended {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
		out = f.tally()
	})
	t.Logf("%-14s %s", r.name, out)
	return out
}

func (f *field) service() config.Service {
	return config.Service{
		Name: serviceName, Address: endpoint.Addr(), Port: endpoint.Port(),
		BackendClass: config.BackendClass{Slots: slots, Connections: connections},
	}
}

func (f *field) configDomains() []config.Domain {
	out := make([]config.Domain, 0, len(f.domains))
	for _, d := range f.domains {
		out = append(out, config.Domain{Name: d, State: config.DomainIn})
	}
	return out
}

// revision returns the configuration that is in force.
func (f *field) revision() *config.Revision {
	chunks, err := config.Split(config.Config{
		Deployment: config.Deployment{Name: "patterns", DomainOut: config.KeepFlows},
		Domains:    f.configDomains(), Services: []config.Service{f.service()},
	})
	f.must(err)
	values := make([][]byte, 0, len(chunks))
	for _, c := range chunks {
		values = append(values, c.Value)
	}
	r, err := config.Assemble(config.NewHead(&controlv1.Head{}, chunks, &controlv1.Accepted{}), values)
	f.must(err)
	return r
}

func (f *field) must(err error) {
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *field) addEntry(domain string, i int) <-chan error {
	e := &entry{in: make(chan []byte, 4096)}
	e.self = member.Member{
		Name: "balancer-" + domain, Role: member.Balancer, Domain: domain, Instance: uint64(i + 1),
		Packet: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, byte(i + 1)}), 7002),
	}
	e.node = state.NewNode(e.self)
	e.node.Config.Adopt(f.revision())
	for _, s := range f.servers {
		e.node.Table.Merge(s.identity())
	}
	e.node.Rebuild()
	var closing sync.Once
	socket := &datagram.Socket{
		ReadBatch: func(batch []datagram.Message) (int, error) {
			b, ok := <-e.in
			if !ok {
				return 0, net.ErrClosed
			}
			batch[0].N = copy(batch[0].Buffer, b)
			return 1, nil
		},
		Write: func(b []byte, _ netip.AddrPort) error { f.toCaller(b); return nil },
		Close: func() error { closing.Do(func() { close(e.in) }); return nil },
	}
	opts := []fabric.Option{
		fabric.WithoutContactCheck(), fabric.WithCallers(func(a netip.AddrPort) netip.AddrPort { return a }),
	}
	if !f.rule.plain {
		opts = append(opts, fabric.WithPlacement(), fabric.WithPendingPackets())
	}
	write := func(batch []datagram.Message) (int, error) {
		for i := range batch {
			f.toProcess(domain, e.self.Packet, batch[i].Bytes(), batch[i].Peer)
		}
		return len(batch), nil
	}
	e.forwarder = fabric.New(socket, e.node, e.self, write, func(netip.AddrPort, []byte) {}, tally.NoopScope, opts...)
	f.entries[domain] = e
	return e.forwarder.Run(f.ctx)
}

// toProcess carries a datagram from a process of the failure domain to another one.
func (f *field) toProcess(domain string, from netip.AddrPort, b []byte, to netip.AddrPort) {
	b = slices.Clone(b)
	if s := f.agents[to]; s != nil {
		f.after(delayBetween(domain, s.domain), func() { s.receive(from, b) })
		return
	}
	for _, e := range f.entries {
		if e.self.Packet == to {
			f.after(delayBetween(domain, e.self.Domain), func() { e.receive(b) })
		}
	}
}

func (e *entry) receive(b []byte) {
	switch kind, _ := capsule.KindOf(b); kind {
	case capsule.KindHeld:
		if h, err := capsule.ParseHeld(b); err == nil {
			e.forwarder.HandleHeld(h)
		}
	case capsule.KindUnclaimed:
		if h, packet, err := capsule.ParsePacket(b, nil); err == nil {
			e.forwarder.HandleUnclaimed(h, packet)
		}
	default:
	}
}

func delayBetween(a, b string) time.Duration {
	if a == b {
		return nearDelay
	}
	return farDelay
}

// after runs the function later, unless the pattern has ended by then.
func (f *field) after(d time.Duration, run func()) {
	time.AfterFunc(d, func() {
		if f.ctx.Err() == nil {
			run()
		}
	})
}

func (f *field) addServer(domain string, i, n int) {
	s := &server{
		field: f, domain: domain, factor: 1, flows: make(map[ipv4.FlowKey]bool), born: time.Now().UnixMilli(),
		self: member.Member{
			Name: fmt.Sprintf("%s-%d", domain, n+1), Role: member.Agent, Domain: domain, Service: serviceName,
			Instance: uint64(100*(i+1) + n), Version: 1, Phase: member.Serving,
			Packet: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i + 1), 0, byte(n + 1)}), 7002),
		},
	}
	packets := s.self.Packet
	s.node = agentstate.NewNode(s.self)
	s.state = passthrough.NewServer(func(context.Context) error {
		if s.isDown() {
			return errClosed
		}
		return nil
	})
	s.engine = passthrough.New(
		s.node, s.state, countingCodec(),
		passthrough.WithIdentity(s.identity),
		passthrough.WithDeliver(func(b []byte) error { s.take(slices.Clone(b)); return nil }),
		passthrough.WithForward(func(b []byte, to netip.AddrPort) error {
			f.toProcess(domain, packets, b, to)
			return nil
		}),
		passthrough.WithReply(func(_ netip.AddrPort, b []byte) error { f.toCaller(b); return nil }),
	)
	f.servers = append(f.servers, s)
	f.agents[s.self.Packet] = s
}

// countingCodec is the format of callers that count the copies of a SYN in its
// acknowledgment, as the users' do.
func countingCodec() frame.Codec {
	c := frame.IPv4()
	parse := c.Parse
	c.Parse = func(b []byte) (frame.Frame, error) {
		f, err := parse(b)
		if f.IsSYN() {
			f.Repeats = int(f.Acknowledgment)
		}
		return f, err
	}
	return c
}

// known has all processes learn of a change of the agent.
func (f *field) known(m member.Member) {
	for _, e := range f.entries {
		e.node.Table.Merge(m)
		e.node.Rebuild()
	}
	for _, s := range f.servers {
		s.node.Learn(m)
	}
}

func (f *field) view() peer.View {
	members := make([]member.Member, 0, len(f.servers))
	for _, s := range f.servers {
		members = append(members, s.identity())
	}
	return peer.View{
		Revision: 1, Members: members,
		Config: config.View{Service: f.service(), Domains: f.configDomains(), DomainOut: config.KeepFlows},
	}
}
