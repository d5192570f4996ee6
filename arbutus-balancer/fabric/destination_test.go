package fabric

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/ipv4"
)

// TestFlowOfRestartingAgentIsNotReset guards against resets of open flows whose agent and
// directory replicas restart at the same time: no other agent claims them, but the balancer
// remembers the holder.
func TestFlowOfRestartingAgentIsNotReset(t *testing.T) {
	for _, c := range []struct {
		name    string
		end     func(member.Member) member.Member
		timeout time.Duration
	}{
		{"stopped", func(m member.Member) member.Member { return m.WithPhase(member.Left) }, member.PlannedRestartTimeout},
		{"crashed", member.Member.WithDeath, member.CrashRestartTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, d := NewWithT(t), newTestBalancer(t)
			one := d.announceRun(agentOf("desk", "north", 1), firstRun)
			d.holdFlow(1, one, firstRun)
			ended := time.Now()
			d.node.Table.Merge(c.end(one))
			d.node.Rebuild()
			packet := packetOf(1, splitEndpoint, ipv4.FlagACK, 1)
			unclaimed := func() { d.forwarder.HandleUnclaimed(capsule.Header{Service: one.ServiceKey()}, packet) }

			d.now = ended.Add(c.timeout - time.Millisecond)
			_, _, err := d.forwarder.encapsulate(nil, packet)
			g.Expect(err).To(MatchError(dropAway))
			unclaimed()
			g.Expect(d.resets).To(BeZero(), "the next incarnation may still appear")

			next := one
			next.Instance++
			next = d.announceRun(next, firstRun)
			g.Expect(d.forward(packet).to).To(Equal(one.Packet))
			d.node.Table.Merge(c.end(next))
			d.node.Rebuild()
			d.now = time.Now().Add(c.timeout + settleTime)
			g.Expect(d.forward(packet).to).NotTo(Equal(one.Packet), "another agent may know the flow")
			for range 3 {
				unclaimed()
				d.forwarder.HandleUnclaimed(capsule.Header{Service: agentOf("plots", "north", 1).ServiceKey()}, packet)
			}
			g.Expect(d.resets).NotTo(BeZero(), "the agent doesn't return")
		})
	}
}

// TestUnconfirmedPlacementNamesNoHolder guards against packets that are dropped because the agent
// that a SYN was sent to has ended, though another one holds the flow.
func TestUnconfirmedPlacementNamesNoHolder(t *testing.T) {
	g, d := NewWithT(t), newTestBalancer(t)
	first := d.forward(packetOf(1, splitEndpoint, ipv4.FlagSYN, synSequence))
	for _, m := range d.node.Table.Snapshot().Members {
		if m.Instance == first.h.Target {
			d.node.Table.Merge(m.WithDeath())
		}
	}
	d.node.Rebuild()
	d.now = time.Now()
	g.Expect(d.forward(packetOf(1, splitEndpoint, ipv4.FlagACK, 1)).to).NotTo(Equal(first.to))
}
