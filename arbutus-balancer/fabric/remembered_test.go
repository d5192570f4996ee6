package fabric

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/ipv4"
)

const (
	firstRun  = 5000
	secondRun = 9000
)

// announceRun merges the agent with the given run of its backend server into the
// balancer's table.
func (d *testBalancer) announceRun(m member.Member, run uint64) member.Member {
	d.t.Helper()
	m = m.WithServerRun(run)
	NewWithT(d.t).Expect(d.node.Table.Merge(m)).To(BeTrue())
	d.node.Rebuild()
	return m
}

// holdFlow makes the agent report that it holds a flow, and sends a packet of the caller
// on it.
func (d *testBalancer) holdFlow(port uint16, m member.Member, run uint64) {
	d.t.Helper()
	b := packetOf(port, splitEndpoint, ipv4.FlagACK, 1)
	d.forwarder.HandleHeld(capsule.Held{Key: keyOf(b), Instance: m.Instance, ServerRun: run})
	g := NewWithT(d.t)
	g.Expect(d.forward(b).to).To(Equal(m.Packet))
}

// TestServerRestartResetsItsFlows guards against requests that are lost on flows of a
// restarted backend server: its flows are reset, before callers use them, and no others.
func TestServerRestartResetsItsFlows(t *testing.T) {
	g, d := NewWithT(t), newTestBalancer(t)
	one := d.announceRun(agentOf("desk", "north", 1), firstRun)
	two := d.announceRun(agentOf("desk", "north", 2), firstRun)
	d.holdFlow(1, one, firstRun)
	d.holdFlow(2, one, firstRun)
	d.holdFlow(3, two, firstRun)
	d.holdFlow(4, one, 0)
	d.forwarder.resetFlowsOfEndedRuns()
	g.Expect(d.resets).To(BeZero())

	one.Instance, one.Phase = one.Instance+1, member.Joining
	one = d.announceRun(one, secondRun)
	d.holdFlow(5, one, secondRun)
	d.forwarder.resetFlowsOfEndedRuns()
	g.Expect(d.resets).To(Equal(2), "flows 1 and 2; the run of flow 4 is unknown")
	d.forwarder.resetFlowsOfEndedRuns()
	g.Expect(d.resets).To(Equal(2))
}

// TestPacketOfEndedRunIsReset guards against a search for a flow that ended with its
// backend server: the first packet on it triggers a reset, without a query to other
// agents.
func TestPacketOfEndedRunIsReset(t *testing.T) {
	g, d := NewWithT(t), newTestBalancer(t)
	one := d.announceRun(agentOf("desk", "north", 1), firstRun)
	d.holdFlow(1, one, firstRun)
	d.now = d.now.Add(announcementTime)
	d.announceRun(one, secondRun)
	_, _, err := d.forwarder.encapsulate(nil, packetOf(1, splitEndpoint, ipv4.FlagACK, 1))
	g.Expect(err).To(MatchError(dropEndedRun))
	g.Expect(d.resets).To(Equal(1))
}

// TestFlowOfUnannouncedRunIsNotReset guards against the reset of a flow that a backend server has taken
// after its restart, while its agent did not know of that and reported the earlier run. The agent resets the
// flows of the earlier run itself, but only as long as it runs: an older flow is reset here, and so is one
// that an earlier incarnation of the agent has reported.
func TestFlowOfUnannouncedRunIsNotReset(t *testing.T) {
	g, d := NewWithT(t), newTestBalancer(t)
	one := d.announceRun(agentOf("desk", "north", 1), firstRun)
	d.forwarder.resetFlowsOfEndedRuns()
	two := d.announceRun(agentOf("desk", "north", 2), firstRun)
	d.holdFlow(1, one, firstRun)
	d.holdFlow(2, two, firstRun)
	d.now = d.now.Add(announcementTime - time.Millisecond)
	d.holdFlow(3, one, firstRun)
	d.holdFlow(4, one, firstRun)
	d.now = d.now.Add(time.Millisecond)
	one = d.announceRun(one, secondRun)
	two.Instance++
	d.announceRun(two, secondRun)
	packet := packetOf(3, splitEndpoint, ipv4.FlagACK, 1)
	g.Expect(d.forward(packet).h.Marks.Has(capsule.MarkReportHolder)).To(BeTrue())
	d.forwarder.resetFlowsOfEndedRuns()
	g.Expect(d.resets).To(Equal(2), "flows 1 and 2")
	g.Expect(d.forward(packet).h.Marks.Has(capsule.MarkReportHolder)).To(BeTrue())
	g.Expect(d.forwarder.RememberedFlows()).To(BeEmpty(), "their run is uncertain")
	d.holdFlow(3, one, secondRun)
	d.now = d.now.Add(announcementTime)
	d.forwarder.resetFlowsOfEndedRuns()
	g.Expect(d.resets).To(Equal(2))
	g.Expect(d.forwarder.RememberedFlows()).To(HaveLen(1))
}

// TestEarlierServerRunIsIgnored guards against resets when an agent announces an earlier
// run than the one that holds the flow, as with a delayed announcement or a clock that
// was set back.
func TestEarlierServerRunIsIgnored(t *testing.T) {
	g, d := NewWithT(t), newTestBalancer(t)
	one := d.announceRun(agentOf("desk", "north", 1), secondRun)
	d.holdFlow(1, one, secondRun)
	d.announceRun(one, firstRun)
	d.forwarder.resetFlowsOfEndedRuns()
	g.Expect(d.resets).To(BeZero())
	g.Expect(d.forward(packetOf(1, splitEndpoint, ipv4.FlagACK, 1)).to).To(Equal(one.Packet))
}

// TestResetWaitsForAdmittingAgent guards against callers that reconnect in vain: callers
// that are reset reconnect at once, so their flows are retained until an agent of the
// service admits new ones.
func TestResetWaitsForAdmittingAgent(t *testing.T) {
	g, d := NewWithT(t), newTestBalancer(t)
	one := d.announceRun(agentOf("desk", "north", 1), firstRun)
	d.holdFlow(1, one, firstRun)
	for _, domain := range []string{"north", "far-south"} {
		for i := range northAgents {
			m := agentOf("desk", domain, i+1)
			known, _ := d.node.Table.Get(m.ID())
			d.node.Table.Merge(known.WithPhase(member.Joining))
		}
	}
	d.now = d.now.Add(announcementTime)
	known, _ := d.node.Table.Get(one.ID())
	one = d.announceRun(known, secondRun)
	d.forwarder.resetFlowsOfEndedRuns()
	g.Expect(d.resets).To(BeZero())
	d.node.Table.Merge(one.WithPhase(member.Serving))
	d.node.Rebuild()
	d.forwarder.resetFlowsOfEndedRuns()
	g.Expect(d.resets).To(Equal(1))
}

// TestRestartedBalancerRestoresFlows guards against the loss of remembered flows with a
// restart of the balancer: packets go straight to the holder, without a forwarding chain,
// and flows of an ended run are reset.
func TestRestartedBalancerRestoresFlows(t *testing.T) {
	g, d := NewWithT(t), newTestBalancer(t)
	one := d.announceRun(agentOf("desk", "north", 1), firstRun)
	two := d.announceRun(agentOf("desk", "far-south", 2), firstRun)
	d.holdFlow(1, one, firstRun)
	d.holdFlow(2, two, firstRun)
	d.holdFlow(3, two, firstRun)
	d.forward(packetOf(3, splitEndpoint, ipv4.FlagACK|ipv4.FlagFIN, 1))
	remembered := d.forwarder.RememberedFlows()
	g.Expect(remembered).To(HaveLen(2), "the caller has closed flow 3")

	next := newTestBalancer(t)
	next.announceRun(agentOf("desk", "north", 1), secondRun)
	two = next.announceRun(agentOf("desk", "far-south", 2), firstRun)
	next.forwarder.Restore(remembered)
	next.forwarder.resetFlowsOfEndedRuns()
	g.Expect(next.resets).To(Equal(1))
	to := next.forward(packetOf(2, splitEndpoint, ipv4.FlagACK, 1))
	g.Expect(to.to).To(Equal(two.Packet))
	g.Expect(to.h.Marks.Has(capsule.MarkReportHolder)).To(BeTrue(), "only the agent knows whether the flow is still there")
	next.now = next.now.Add(flowLifetime + time.Second)
	g.Expect(next.forwarder.RememberedFlows()).To(BeEmpty())
}

// BenchmarkRemembered measures the collection of flows for the next run of a balancer
// that has many, and the check for restarted backend servers if none has restarted.
func BenchmarkRemembered(b *testing.B) {
	const flows = 200_000
	p := newPlacements("north", func(string, time.Time) bool { return false })
	for i := range flows {
		p.flows[keyOfFlow(i)] = &flowEntry{agent: "agent", serverRun: 1, acknowledged: 1, usedAt: p.now()}
	}
	b.Run("collect", func(b *testing.B) {
		for b.Loop() {
			p.collect()
		}
	})
	b.Run("no_ended_run", func(b *testing.B) {
		for b.Loop() {
			p.takeFlowsOfEndedRuns(state.BuildRoutes(nil, nil, nil))
		}
	})
}

func keyOfFlow(i int) ipv4.FlowKey {
	return ipv4.FlowKey{
		Caller:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 4000),
		Service: splitEndpoint,
	}
}
