package fabric

import (
	"testing"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/ipv4"
)

// newUnconfigured returns a balancer that knows agents but has no configuration, as after
// a kill of all processes while the store is down.
func newUnconfigured(t *testing.T) *testBalancer {
	t.Helper()
	d := newTestBalancer(t)
	members := d.node.Table.Snapshot().Members
	d.node = state.NewNode(d.forwarder.self)
	d.forwarder.node = d.node
	for _, m := range members {
		d.node.Table.Merge(m)
	}
	d.node.Rebuild()
	return d
}

// TestQueriesAllAgentsWithoutConfiguration guards against flows that stall until the
// store is reachable again, after all processes were killed while it was down
// (benchmark day trouble-3 of avisos-vial). Each agent knows only its own backend
// server, so the balancer forwards a packet from one agent to the next until one claims
// it.
func TestQueriesAllAgentsWithoutConfiguration(t *testing.T) {
	g, d := NewWithT(t), newUnconfigured(t)
	b := packetOf(1, splitEndpoint, ipv4.FlagACK, 1)
	queried := map[uint64]bool{}
	next := d.forward(b)
	for range 4 * northAgents {
		g.Expect(queried[next.h.Target]).To(BeFalse(), "each agent is queried once")
		queried[next.h.Target] = true
		d.sent = nil
		h := next.h
		h.Visited = append(h.Visited, h.Target)
		d.forwarder.HandleUnclaimed(h, b)
		if len(d.sent) == 0 {
			break
		}
		next = d.sent[0]
	}
	g.Expect(queried).To(HaveLen(4*northAgents), "three agents in two failure domains of two services")
	g.Expect(d.sent).To(BeEmpty())
	g.Expect(d.resets).To(BeZero(), "an agent that is not known yet may hold the flow")

	holder := agentOf("plots", "far-south", 2)
	d.forwarder.HandleHeld(capsule.Held{Key: keyOf(b), Instance: holder.Instance})
	g.Expect(d.forward(b).to).To(Equal(holder.Packet), "the reported holder is remembered")
}

func TestNoNewFlowsWithoutConfiguration(t *testing.T) {
	g, d := NewWithT(t), newUnconfigured(t)
	_, _, err := d.forwarder.encapsulate(nil, packetOf(1, splitEndpoint, ipv4.FlagSYN, 1))
	g.Expect(err).To(MatchError(dropService))
	g.Expect(d.resets).To(BeZero())
}

// TestUnconfiguredAgentEndsNoSearch guards against the reset of a flow because an agent without a
// configuration has returned it: that agent could not pass it on to the others of its service.
func TestUnconfiguredAgentEndsNoSearch(t *testing.T) {
	g, d := NewWithT(t), newTestBalancer(t)
	b := packetOf(1, splitEndpoint, ipv4.FlagACK, 1)
	unconfigured := agentOf("desk", "north", 1).Instance
	d.forwarder.HandleUnclaimed(capsule.Header{Service: capsule.KeyOf("desk"), Visited: []uint64{unconfigured}}, b)
	g.Expect(d.sent).To(HaveLen(1))
	g.Expect(d.sent[0].h.Service).To(Equal(capsule.KeyOf("desk")))
	g.Expect(d.sent[0].h.Target).NotTo(Equal(unconfigured))
	g.Expect(d.sent[0].h.Visited).To(Equal([]uint64{unconfigured}))
	g.Expect(d.resets).To(BeZero())
}
