package fabric

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/protocol/capsule"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/transport/datagram"
)

const (
	numberOfSYN = 7
	northAgents = 3
)

var (
	splitEndpoint = netip.MustParseAddrPort("10.80.0.5:443")
	ownPacket     = netip.MustParseAddrPort("10.0.0.1:7002")
)

type (
	// sent is a capsule that left the balancer.
	sent struct {
		h  capsule.Header
		to netip.AddrPort
	}

	// desk is a balancer in failure domain north that remembers where flows are.
	desk struct {
		t         *testing.T
		forwarder *Forwarder
		node      *state.Node
		cfg       config.Config
		revision  uint64
		now       time.Time
		sent      []sent
		resets    int
	}
)

func agentOf(service, domain string, i int) member.Member {
	return member.Member{
		Name: fmt.Sprintf("%s-%s-%d", service, domain, i), Role: member.Agent, Domain: domain, Service: service,
		Packet:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(len(service)), byte(len(domain)), byte(i)}), 7002),
		Instance: uint64(1000*len(service) + 100*len(domain) + i), Version: 1, Phase: member.Serving,
	}
}

// newDesk returns a balancer of two services, desk and plots, with agents in two
// failure domains each. One route goes to both services.
func newDesk(t *testing.T) *desk {
	t.Helper()
	self := member.Member{Name: "balancer-1", Role: member.Balancer, Domain: "north", Packet: ownPacket, Instance: 1}
	d := &desk{t: t, node: state.NewNode(self), now: time.Now()}
	d.cfg = config.Config{
		Deployment: config.Deployment{Name: "desk", DomainOut: config.KeepFlows},
		Domains:    []config.Domain{{Name: "north", State: config.DomainIn}, {Name: "far-south", State: config.DomainIn}},
		Services: []config.Service{
			{Name: "desk", Address: netip.MustParseAddr("10.80.0.1"), Port: 80, BackendClass: config.BackendClass{Slots: 4}},
			{Name: "plots", BackendClass: config.BackendClass{Slots: 4}},
		},
	}
	for _, service := range []string{"desk", "plots"} {
		for i := range northAgents {
			d.node.Table.Merge(agentOf(service, "north", i+1))
			d.node.Table.Merge(agentOf(service, "far-south", i+1))
		}
	}
	socket := &datagram.Socket{Write: func([]byte, netip.AddrPort) error { d.resets++; return nil }}
	d.forwarder = New(
		socket, d.node, self, d.write, func(netip.AddrPort, []byte) {}, tally.NoopScope,
		WithPlacement(), WithoutContactBound(), WithCallers(func(a netip.AddrPort) netip.AddrPort { return a }),
	)
	d.forwarder.placement.now = func() time.Time { return d.now }
	d.forwarder.mayRun.Store(true)
	d.apply(90, 10)
	d.now = d.now.Add(time.Minute)
	return d
}

func (d *desk) write(batch []datagram.Message) (int, error) {
	for i := range batch {
		h, _, err := capsule.ParsePacket(batch[i].Bytes(), nil)
		if err != nil {
			return i, err
		}
		d.sent = append(d.sent, sent{h: h, to: batch[i].Peer})
	}
	return len(batch), nil
}

// apply puts a revision with the split route's weights in force.
func (d *desk) apply(desk, plots int) {
	d.t.Helper()
	d.cfg.Routes = []config.Route{{
		Name: "split", Address: splitEndpoint.Addr(), Port: splitEndpoint.Port(),
		Targets: []config.Target{{Service: "desk", Weight: desk}, {Service: "plots", Weight: plots}},
	}}
	chunks, err := config.Split(d.cfg)
	NewWithT(d.t).Expect(err).NotTo(HaveOccurred())
	values := make([][]byte, 0, len(chunks))
	for _, c := range chunks {
		values = append(values, c.Value)
	}
	r, err := config.Assemble(
		config.NewHead(&controlv1.Head{Revision: d.revision}, chunks, &controlv1.Accepted{}), values)
	NewWithT(d.t).Expect(err).NotTo(HaveOccurred())
	d.revision = r.Number()
	d.node.Config.Adopt(r)
	d.node.Rebuild()
}

func packetOf(port uint16, service netip.AddrPort, flags ipv4.Flags, sequence uint32) []byte {
	return ipv4.Build(ipv4.Segment{
		Key:   ipv4.FlowKey{Caller: netip.AddrPortFrom(netip.MustParseAddr("192.0.2.7"), port), Service: service},
		Flags: flags, Sequence: sequence, Acknowledgment: 9, Payload: make([]byte, 10),
	})
}

// take hands the balancer a caller's packet and returns where it goes.
func (d *desk) take(b []byte) sent {
	d.t.Helper()
	out, to, err := d.forwarder.encapsulate(nil, b)
	NewWithT(d.t).Expect(err).NotTo(HaveOccurred())
	h, _, err := capsule.ParsePacket(out, nil)
	NewWithT(d.t).Expect(err).NotTo(HaveOccurred())
	return sent{h: h, to: to}
}

func keyOf(b []byte) ipv4.FlowKey {
	p, err := ipv4.Parse(b)
	if err != nil {
		return ipv4.FlowKey{}
	}
	return p.Key()
}

func (d *desk) held(b []byte, instance uint64, requests uint32) {
	d.forwarder.HandleHeld(capsule.Held{Key: keyOf(b), Instance: instance, Flows: 1, Requests: requests, Slots: 4})
}

func deskPacket(port uint16, flags ipv4.Flags) []byte {
	return packetOf(port, netip.MustParseAddrPort("10.80.0.1:80"), flags, numberOfSYN)
}

// TestFlowStaysWithItsHolder follows a flow from its SYN through the agent's word that
// it holds it.
func TestFlowStaysWithItsHolder(t *testing.T) {
	g, d := NewWithT(t), newDesk(t)
	syn := deskPacket(1, ipv4.FlagSYN)
	first := d.take(syn)
	g.Expect(first.h.Origin).To(Equal(ownPacket))
	g.Expect(first.h.Marks.Has(capsule.MarkAsk)).To(BeTrue())
	other := agentOf("desk", "far-south", 1)
	d.held(syn, other.Instance, 0)
	next := d.take(deskPacket(1, ipv4.FlagACK))
	g.Expect(next.to).To(Equal(other.Packet))
	g.Expect(next.h.Marks).To(BeZero())
}

// TestCopyOfUnansweredSYN sends the copy of a SYN that its agent has not answered to
// another one, and new flows too, until the agent answers again.
func TestCopyOfUnansweredSYN(t *testing.T) {
	g, d := NewWithT(t), newDesk(t)
	syn := deskPacket(1, ipv4.FlagSYN)
	first := d.take(syn)
	d.now = d.now.Add(answerBound - time.Millisecond)
	g.Expect(d.take(syn).to).To(Equal(first.to))
	d.now = d.now.Add(2 * time.Millisecond)
	g.Expect(d.take(syn).to).NotTo(Equal(first.to))
	for port := range uint16(50) {
		g.Expect(d.take(deskPacket(100+port, ipv4.FlagSYN)).to).NotTo(Equal(first.to))
	}
	d.held(syn, first.h.Target, 0)
	used := false
	for port := range uint16(50) {
		used = used || d.take(deskPacket(200+port, ipv4.FlagSYN)).to == first.to
	}
	g.Expect(used).To(BeTrue())
}

// TestOwnFailureDomainFirst keeps flows within the failure domain while it has room.
func TestOwnFailureDomainFirst(t *testing.T) {
	g, d := NewWithT(t), newDesk(t)
	near := func(a netip.AddrPort) bool {
		return a == agentOf("desk", "north", 1).Packet || a == agentOf("desk", "north", 2).Packet ||
			a == agentOf("desk", "north", 3).Packet
	}
	for port := range uint16(60) {
		g.Expect(near(d.take(deskPacket(port, ipv4.FlagSYN)).to)).To(BeTrue())
	}
	for i := range northAgents {
		d.held(deskPacket(uint16(900+i), ipv4.FlagSYN), agentOf("desk", "north", i+1).Instance, 12)
		d.held(deskPacket(uint16(950+i), ipv4.FlagSYN), agentOf("desk", "far-south", i+1).Instance, 1)
	}
	g.Expect(near(d.take(deskPacket(300, ipv4.FlagSYN)).to)).To(BeFalse(), "all near agents have a queue")
}

// TestSearchSurvivesChangeOfWeights changes a route's weights while a packet looks for
// its holder: the second service is still asked before the flow is given up. Flows of
// eight days in forty were reset without that (hunt ac43 of phellos-lb).
func TestSearchSurvivesChangeOfWeights(t *testing.T) {
	for port := range uint16(20) {
		g, d := NewWithT(t), newDesk(t)
		b := packetOf(port, splitEndpoint, ipv4.FlagACK, 1)
		first := d.take(b)
		d.apply(10, 90)
		d.now = d.now.Add(time.Minute)
		d.forwarder.HandleUnclaimed(capsule.Header{Service: first.h.Service}, b)
		g.Expect(d.resets).To(BeZero())
		g.Expect(d.sent).To(HaveLen(1))
		g.Expect(d.sent[0].h.Service).NotTo(Equal(first.h.Service))
		d.forwarder.HandleUnclaimed(capsule.Header{Service: d.sent[0].h.Service}, b)
		g.Expect(d.resets).To(Equal(1), "all services were asked")
	}
}

// TestNoResetWhileAgentsBecomeKnown is a balancer that has just started and does not
// know all agents (fresh-dd91 of phellos-lb).
func TestNoResetWhileAgentsBecomeKnown(t *testing.T) {
	g, d := NewWithT(t), newDesk(t)
	b := packetOf(1, netip.MustParseAddrPort("10.80.0.1:80"), ipv4.FlagACK, 1)
	unclaimed := func(service string) {
		d.forwarder.HandleUnclaimed(capsule.Header{Service: capsule.KeyOf(service)}, b)
	}
	d.now = time.Now()
	d.node.Table.Merge(agentOf("desk", "north", 9))
	d.node.Rebuild()
	unclaimed("desk")
	unclaimed("plots")
	g.Expect(d.resets).To(BeZero())
	d.now = d.now.Add(2 * settleTime)
	unclaimed("desk")
	unclaimed("plots")
	g.Expect(d.resets).To(Equal(1))
}

// TestNoResetWithoutAgents leaves a flow alone whose service has no known agent.
func TestNoResetWithoutAgents(t *testing.T) {
	g, d := NewWithT(t), newDesk(t)
	for _, domain := range []string{"north", "far-south"} {
		for i := range northAgents {
			d.node.Table.Merge(agentOf("plots", domain, i+1).WithDeath())
		}
	}
	d.node.Rebuild()
	b := packetOf(1, splitEndpoint, ipv4.FlagACK, 1)
	d.forwarder.HandleUnclaimed(capsule.Header{Service: capsule.KeyOf("desk")}, b)
	g.Expect(d.resets).To(BeZero())
}

// TestUncertainFlowIsGivenUpLate waits where an agent may not know all flows.
func TestUncertainFlowIsGivenUpLate(t *testing.T) {
	g, d := NewWithT(t), newDesk(t)
	b := deskPacket(1, ipv4.FlagACK)
	unclaimed := func() {
		for _, service := range []string{"desk", "plots"} {
			d.forwarder.HandleUnclaimed(
				capsule.Header{Service: capsule.KeyOf(service), Marks: capsule.MarkUncertain}, b)
		}
	}
	unclaimed()
	g.Expect(d.resets).To(BeZero())
	d.now = d.now.Add(2 * time.Second)
	unclaimed()
	g.Expect(d.resets).To(Equal(1))
}

// TestBoundedWalkWhileRankingChanges leaves a flow alone that not all agents were asked
// for while agents join, or begin to take flows (scale-1 of avisos-vial-grown).
func TestBoundedWalkWhileRankingChanges(t *testing.T) {
	g, d := NewWithT(t), newDesk(t)
	b := deskPacket(1, ipv4.FlagACK)
	unclaimed := func() {
		for _, service := range []string{"desk", "plots"} {
			d.forwarder.HandleUnclaimed(capsule.Header{Service: capsule.KeyOf(service), Marks: capsule.MarkBounded}, b)
		}
	}
	joining := agentOf("desk", "north", 9)
	joining.Phase = member.Joining
	for _, phase := range []member.Member{joining, joining.WithPhase(member.Serving)} {
		d.node.Table.Merge(phase)
		d.node.Rebuild()
		d.now = time.Now().Add(retellTime - 100*time.Millisecond)
		unclaimed()
		g.Expect(d.resets).To(BeZero())
	}
	d.now = time.Now().Add(retellTime)
	unclaimed()
	g.Expect(d.resets).To(Equal(1))
}

// TestNoRouteIsRefusedAtOnce refuses a flow to an address that has no route.
func TestNoRouteIsRefusedAtOnce(t *testing.T) {
	g, d := NewWithT(t), newDesk(t)
	_, _, err := d.forwarder.encapsulate(nil, packetOf(1, netip.MustParseAddrPort("10.80.0.99:80"), ipv4.FlagSYN, 1))
	g.Expect(err).To(MatchError(dropService))
	g.Expect(d.resets).To(Equal(1))
}

// TestWeights splits new flows by the weights of their route.
func TestWeights(t *testing.T) {
	g, d := NewWithT(t), newDesk(t)
	counts := make(map[capsule.ServiceKey]int)
	const flows = 4000
	for port := range uint16(flows) {
		counts[d.take(packetOf(1024+port, splitEndpoint, ipv4.FlagSYN, 1)).h.Service]++
	}
	g.Expect(counts[capsule.KeyOf("plots")]).To(BeNumerically("~", flows/10, flows/50))
	d.apply(0, 100)
	g.Expect(d.take(packetOf(9000, splitEndpoint, ipv4.FlagSYN, 2)).h.Service).To(Equal(capsule.KeyOf("plots")))
}

func BenchmarkLocate(b *testing.B) {
	d := newDesk(new(testing.T))
	syn := deskPacket(1, ipv4.FlagSYN)
	d.held(syn, d.take(syn).h.Target, 0)
	packet := deskPacket(1, ipv4.FlagACK)
	out := make([]byte, 0, datagram.MaxBytes)
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := d.forwarder.encapsulate(out, packet); err != nil {
			b.Fatal(err)
		}
	}
}
