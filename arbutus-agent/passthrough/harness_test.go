package passthrough

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"syscall"
	"testing"
	"time"

	"arbutusfront.dev/arbutus-agent/state"
	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/coordination/peer"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/frame"
	"arbutusfront.dev/common/protocol/ipv4"
)

const (
	callerISN = 1000
	serverISN = 5000
)

var (
	balancerAddress = netip.MustParseAddrPort("10.0.0.9:7000")
	endpoint        = netip.MustParseAddrPort("10.80.0.1:80")
	errDead         = fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
)

type (
	// forwarded is a datagram that the engine sent to another process.
	forwarded struct {
		to   netip.AddrPort
		kind capsule.Kind
		h    capsule.Header
		held capsule.Held
		load capsule.Load
	}

	// harness is an engine under test, with everything that it has sent.
	harness struct {
		engine      *Engine
		server      *Server
		node        *state.Node
		self        member.Member
		now         time.Time
		delivered   [][]byte
		replied     []ipv4.Packet
		forwarded   []forwarded
		opened      []ipv4.FlowKey
		livenessErr error
	}
)

func agentMember(name, domain string, i int) member.Member {
	return member.Member{
		Name: name, Role: member.Agent, Domain: domain, Service: "desk", Instance: uint64(100 + i), Version: 1,
		Phase: member.Serving, Packet: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7002),
	}
}

// newHarness returns a harness with the engine of agent a-1, and a view in which a-2 and a-3
// are its peers. The backend server has not announced itself.
func newHarness(t *testing.T) *harness {
	t.Helper()
	r := &harness{now: time.Unix(1_700_000_000, 0), self: agentMember("a-1", "north", 1)}
	r.node = state.NewNode(r.self)
	r.server = NewServer(func(context.Context) error { return r.livenessErr })
	r.server.now = func() time.Time { return r.now }
	r.server.agentStartedAt = r.now
	r.adopt(1, config.DomainIn)
	r.engine = New(
		r.node, r.server, frame.IPv4(),
		WithIdentity(func() member.Member { return r.self }),
		WithDeliver(func(b []byte) error { r.delivered = append(r.delivered, slices.Clone(b)); return nil }),
		WithReply(func(_ netip.AddrPort, b []byte) error {
			p, err := ipv4.Parse(slices.Clone(b))
			r.replied = append(r.replied, p)
			return err
		}),
		WithForward(r.forward),
		WithDirectoryUpdates(func(k ipv4.FlowKey) { r.opened = append(r.opened, k) }, func(ipv4.FlowKey) {}),
	)
	r.engine.now = r.server.now
	return r
}

// adopt makes the node adopt a view with the revision, in which failure domain north has
// the given state.
func (r *harness) adopt(revision uint64, north config.DomainState) {
	r.node.Adopt(peer.View{
		Revision: config.Order{Number: revision},
		Config: config.View{
			Service:   config.Service{Name: "desk", BackendClass: config.BackendClass{Connections: 100}},
			Domains:   []config.Domain{{Name: "north", State: north}, {Name: "south", State: config.DomainIn}},
			DomainOut: config.KeepFlows,
		},
		Members: []member.Member{r.self, agentMember("a-2", "south", 2), agentMember("a-3", "south", 3)},
	})
}

func (r *harness) forward(b []byte, to netip.AddrPort) error {
	kind, err := capsule.KindOf(b)
	if err != nil {
		return err
	}
	f := forwarded{to: to, kind: kind}
	switch kind {
	case capsule.KindHeld:
		f.held, err = capsule.ParseHeld(b)
	case capsule.KindLoad:
		f.load, err = capsule.ParseLoad(b)
	default:
		f.h, _, err = capsule.ParsePacket(b, nil)
	}
	r.forwarded = append(r.forwarded, f)
	return err
}

// announce applies an announcement of the backend server, modified by change.
func (r *harness) announce(change func(*Announcement)) {
	a := Announcement{ID: "s-1", StartedUnixMillis: r.now.UnixMilli(), Sequence: 1, Slots: 4}
	if change != nil {
		change(&a)
	}
	r.server.Announce(a)
}

// start makes the backend server start after the agent: a probe finds it absent, and then it
// announces itself.
func (r *harness) start() {
	r.livenessErr = errDead
	r.server.Discover(context.Background(), "")
	r.livenessErr = nil
	r.announce(nil)
}

func segment(port uint16, flags ipv4.Flags, sequence, acknowledgment uint32, payload int) ipv4.Segment {
	return ipv4.Segment{
		Key:   ipv4.FlowKey{Caller: netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), port), Service: endpoint},
		Flags: flags, Sequence: sequence, Acknowledgment: acknowledgment, Payload: make([]byte, payload),
	}
}

// fromCaller passes a caller's packet to the engine, as a balancer sends it.
func (r *harness) fromCaller(s ipv4.Segment, marks capsule.Marks, visited ...uint64) {
	r.engine.HandlePacket(balancerAddress, capsule.Header{
		Revision: 1, Target: r.self.Instance, Service: r.self.ServiceKey(), Origin: balancerAddress, Marks: marks,
		Visited: visited,
	}, ipv4.Build(s))
}

// fromServer passes to the engine a packet that the backend server sent.
func (r *harness) fromServer(s ipv4.Segment) {
	s.FromService = true
	r.engine.HandleOutbound(ipv4.Build(s))
}

// returnPacket passes to the engine a caller's packet that the backend server returned.
func (r *harness) returnPacket(s ipv4.Segment) {
	b := ipv4.Build(s)
	ipv4.MarkReturned(b)
	r.engine.HandleOutbound(b)
}

// open opens a flow at the backend server.
func (r *harness) open(port uint16) {
	r.fromCaller(segment(port, ipv4.FlagSYN, callerISN, 0, 0), capsule.MarkReportHolder)
	r.fromServer(segment(port, ipv4.FlagSYN|ipv4.FlagACK, serverISN, callerISN+1, 0))
	r.fromCaller(segment(port, ipv4.FlagACK, callerISN+1, serverISN+1, 0), 0)
}

// suppressProbes prevents liveness probes from running concurrently with the test: their
// results would change the state that the test reads.
func (r *harness) suppressProbes() { r.server.probing = true }

func (r *harness) clear() { r.delivered, r.replied, r.forwarded = nil, nil, nil }
