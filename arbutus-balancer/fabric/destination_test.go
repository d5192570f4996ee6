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
			d.now = time.Now().Add(c.timeout + ending.SettleTime)
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

// TestUnknownFlowOfAbsentAgentIsNotReset guards against resets of open flows by a balancer that does
// not know the holder, as after its own restart, while agents restart together: those that are back
// have lost their directories, and the holder could not be asked.
func TestUnknownFlowOfAbsentAgentIsNotReset(t *testing.T) {
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
			one, two := agentOf("desk", "north", 1), agentOf("desk", "north", 2)
			unclaimed := func(port uint16) {
				packet := packetOf(port, splitEndpoint, ipv4.FlagACK, 1)
				for _, service := range []string{"desk", "plots"} {
					d.forwarder.HandleUnclaimed(capsule.Header{Service: capsule.KeyOf(service)}, packet)
				}
			}
			ended := time.Now()
			d.node.Table.Merge(c.end(one))
			d.node.Rebuild()
			d.now = ended.Add(c.timeout - time.Millisecond)
			unclaimed(1)
			g.Expect(d.resets).To(BeZero(), "the holder may still return")

			next := one
			next.Instance++
			d.node.Table.Merge(next)
			d.node.Table.Merge(c.end(two))
			d.node.Rebuild()
			d.now = time.Now().Add(ending.SettleTime)
			unclaimed(1)
			g.Expect(d.resets).To(Equal(1), "each agent has returned the flow, also the one that has ended since")
			unclaimed(2)
			g.Expect(d.resets).To(Equal(1), "another flow")
			d.now = time.Now().Add(c.timeout)
			unclaimed(2)
			g.Expect(d.resets).To(Equal(2), "the agent does not return")
		})
	}
}

// TestFlowReturnedByItsHolderIsReset guards against a flow that has ended, as its holder says, and is
// reset later because some other agent is away.
func TestFlowReturnedByItsHolderIsReset(t *testing.T) {
	g, d := NewWithT(t), newTestBalancer(t)
	one := d.announceRun(agentOf("desk", "north", 1), firstRun)
	d.holdFlow(1, one, firstRun)
	d.node.Table.Merge(agentOf("desk", "north", 2).WithPhase(member.Left))
	d.node.Rebuild()
	d.now = time.Now().Add(ending.SettleTime)
	for _, service := range []string{"desk", "plots"} {
		d.forwarder.HandleUnclaimed(
			capsule.Header{Service: capsule.KeyOf(service)}, packetOf(1, splitEndpoint, ipv4.FlagACK, 1))
	}
	g.Expect(d.resets).To(Equal(1))
}

// TestUncertainAnswerAfterReturn guards against a flow that is reset as soon as its agent is back,
// before that knows its backend server, because the flow has been unclaimed for long enough.
func TestUncertainAnswerAfterReturn(t *testing.T) {
	g, d := NewWithT(t), newTestBalancer(t)
	one := agentOf("desk", "north", 1)
	unclaimed := func() {
		for _, service := range []string{"desk", "plots"} {
			d.forwarder.HandleUnclaimed(capsule.Header{
				Service: capsule.KeyOf(service), Marks: capsule.MarkUncertain,
			}, packetOf(1, splitEndpoint, ipv4.FlagACK, 1))
		}
	}
	d.now = time.Now()
	d.node.Table.Merge(one.WithPhase(member.Left))
	d.node.Rebuild()
	unclaimed()
	d.now = d.now.Add(2 * ending.ResetDelay)
	unclaimed()
	one.Instance++
	d.node.Table.Merge(one)
	d.node.Rebuild()
	unclaimed()
	g.Expect(d.resets).To(BeZero())
	d.now = d.now.Add(ending.ResetDelay)
	unclaimed()
	g.Expect(d.resets).To(Equal(1))
}
