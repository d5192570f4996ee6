package fabric

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/state/ending"
)

// returnFromAll returns the caller's packet as unclaimed by the agents of both services.
func (d *testBalancer) returnFromAll(b []byte, marks capsule.Marks) {
	for _, service := range []string{"desk", "plots"} {
		d.forwarder.HandleUnclaimed(capsule.Header{Service: capsule.KeyOf(service), Marks: marks}, b)
	}
}

// TestFlowUnclaimedLongAgoIsNotReset guards against the reset of an open flow that comes back to a
// balancer, on the first answer of an agent that may not know all flows of its backend server. The
// flow had been unclaimed there for a moment, and had gone on through another balancer.
func TestFlowUnclaimedLongAgoIsNotReset(t *testing.T) {
	g, d := NewWithT(t), newTestBalancer(t)
	b := packetOf(1, splitEndpoint, ipv4.FlagACK, 1)
	d.returnFromAll(b, capsule.MarkUncertain)
	d.now = d.now.Add(20 * time.Second)
	d.returnFromAll(b, capsule.MarkUncertain)
	g.Expect(d.resets).To(BeZero(), "unclaimed for a moment only")
	d.now = d.now.Add(ending.ResetDelay)
	d.returnFromAll(b, capsule.MarkUncertain)
	g.Expect(d.resets).To(Equal(1))
}

// TestAgentThatLeavesBetweenSearches guards against the reset of an open flow whose agent is away now,
// but was there when the flow was unclaimed for a moment some time before.
func TestAgentThatLeavesBetweenSearches(t *testing.T) {
	g, d := NewWithT(t), newTestBalancer(t)
	b := packetOf(1, splitEndpoint, ipv4.FlagACK, 1)
	d.now = time.Now().Add(-20 * time.Second)
	d.returnFromAll(b, capsule.MarkUncertain)
	d.node.Table.Merge(agentOf("desk", "north", 1).WithPhase(member.Left))
	d.node.Rebuild()
	d.now = time.Now().Add(ending.SettleTime)
	d.returnFromAll(b, 0)
	g.Expect(d.resets).To(BeZero())
}

// TestFlowUnroutedLongAgoIsNotReset guards against the reset of an open flow by a revision that was
// confirmed some time ago: a later one may have the flow's route since.
func TestFlowUnroutedLongAgoIsNotReset(t *testing.T) {
	g, d := NewWithT(t), newTestBalancer(t)
	ack := packetOf(1, newEndpoint, ipv4.FlagACK, 1)
	g.Expect(d.unforwarded(ack)).To(Equal(dropUnconfirmed))
	d.node.Config.Confirm(d.node.Config.Current().Order(), d.now)
	d.now = d.now.Add(20 * time.Second)
	g.Expect(d.unforwarded(ack)).To(Equal(dropUnconfirmed))
	g.Expect(d.resets).To(BeZero())
	d.node.Config.Confirm(d.node.Config.Current().Order(), d.now)
	g.Expect(d.unforwarded(ack)).To(Equal(dropService))
	g.Expect(d.resets).To(Equal(1))
}

// TestUnfinishedSearchIsForgotten guards against the reset of an open flow before all services were
// queried, because one of them had returned an earlier packet of the flow whose search did not end.
func TestUnfinishedSearchIsForgotten(t *testing.T) {
	g, d := NewWithT(t), newTestBalancer(t)
	b := packetOf(1, splitEndpoint, ipv4.FlagACK, 1)
	d.forwarder.HandleUnclaimed(capsule.Header{Service: capsule.KeyOf("desk")}, b)
	d.now = d.now.Add(2 * searchLifetime)
	d.forwarder.HandleUnclaimed(capsule.Header{Service: capsule.KeyOf("plots")}, b)
	g.Expect(d.resets).To(BeZero())
	g.Expect(d.sent).To(HaveLen(2))
	g.Expect(d.sent[1].h.Service).To(Equal(capsule.KeyOf("desk")))
	d.forwarder.HandleUnclaimed(capsule.Header{Service: capsule.KeyOf("desk")}, b)
	g.Expect(d.resets).To(Equal(1), "all services were queried")
}
