package fabric

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/ipv4"
)

// accepted is the acknowledgment number of packetOf, which accepts the SYN-ACK of the right agent.
const accepted = 9

// offer makes the agent report, for the first flow, a SYN-ACK that the given acknowledgment number accepts.
func (d *testBalancer) offer(m member.Member, acknowledgment uint32) {
	d.forwarder.HandleHeld(capsule.Held{
		Key: keyOf(packetOf(1, splitEndpoint, ipv4.FlagSYN, synSequence)), Instance: m.Instance, ServerRun: firstRun,
		Handshaking: true, Acknowledgment: acknowledgment,
	})
}

// TestLateClaimDoesNotReplaceHolder guards against the reset of an idle flow after a restart of a backend
// server that never held it (review/11). Its agent was stopped with the flow's SYN in its socket. When it
// wakes it reports a SYN-ACK, although the caller has accepted that of another agent.
func TestLateClaimDoesNotReplaceHolder(t *testing.T) {
	ack := packetOf(1, splitEndpoint, ipv4.FlagACK, 1)
	for _, late := range []uint32{accepted + acceptWindow, 1 << 31, accepted + 1} {
		for _, when := range []string{
			"before the caller's packet", "after the caller's packet", "before the holder's report",
		} {
			t.Run(fmt.Sprintf("%d, %s", late, when), func(t *testing.T) {
				g, d := NewWithT(t), newTestBalancer(t)
				stopped := d.announceRun(agentOf("desk", "north", 1), firstRun)
				holder := d.announceRun(agentOf("desk", "north", 2), firstRun)
				syn := packetOf(1, splitEndpoint, ipv4.FlagSYN, synSequence)
				d.forward(syn)
				d.now = d.now.Add(reportTimeout + time.Millisecond)
				d.forward(syn)
				switch when {
				case "before the caller's packet":
					d.offer(holder, accepted)
					d.offer(stopped, late)
					g.Expect(d.forward(ack).to).To(Equal(holder.Packet))
				case "after the caller's packet":
					d.offer(holder, accepted)
					g.Expect(d.forward(ack).to).To(Equal(holder.Packet))
					d.offer(stopped, late)
				case "before the holder's report":
					d.forward(ack)
					d.offer(stopped, late)
					d.offer(holder, accepted)
				}
				next := d.forward(ack)
				g.Expect(next.to).To(Equal(holder.Packet))
				g.Expect(next.h.Marks.Has(capsule.MarkReportHolder)).To(BeFalse(), "the holder is certain")

				d.announceRun(stopped, secondRun)
				d.forwarder.resetFlowsOfEndedRuns()
				g.Expect(d.resets).To(BeZero())
				g.Expect(d.forward(ack).to).To(Equal(holder.Packet))
				d.now = d.now.Add(announcementTime)
				d.announceRun(holder, secondRun)
				d.forwarder.resetFlowsOfEndedRuns()
				g.Expect(d.resets).To(Equal(1), "the holder's backend server has restarted")
			})
		}
	}
}

// TestOfferIsNoHolder guards against the reset of a flow at a balancer that was stopped: it forwards an old
// copy of the SYN when it wakes, the flow is open elsewhere meanwhile, and the backend server beside the agent
// that answered the copy restarts.
func TestOfferIsNoHolder(t *testing.T) {
	g, d := NewWithT(t), newTestBalancer(t)
	offering := d.announceRun(agentOf("desk", "north", 1), firstRun)
	holder := d.announceRun(agentOf("desk", "far-south", 2), firstRun)
	ack := packetOf(1, splitEndpoint, ipv4.FlagACK, 1)
	d.forward(packetOf(1, splitEndpoint, ipv4.FlagSYN, synSequence))
	d.offer(offering, accepted+acceptWindow)
	d.announceRun(offering, secondRun)
	d.forwarder.resetFlowsOfEndedRuns()
	g.Expect(d.forward(ack).h.Marks.Has(capsule.MarkReportHolder)).To(BeTrue(), "the caller accepted another SYN-ACK")
	d.forwarder.resetFlowsOfEndedRuns()
	g.Expect(d.resets).To(BeZero())
	g.Expect(d.forwarder.RememberedFlows()).To(BeEmpty())
	d.holdFlow(1, holder, firstRun)
	g.Expect(d.forwarder.RememberedFlows()).To(HaveLen(1))
}

// TestOfferedFlowDoesNotWaitForItsAgent guards against packets of an open flow that are dropped while an
// agent is away which the caller did not choose.
func TestOfferedFlowDoesNotWaitForItsAgent(t *testing.T) {
	g, d := NewWithT(t), newTestBalancer(t)
	offering := d.announceRun(agentOf("desk", "north", 1), firstRun)
	d.forward(packetOf(1, splitEndpoint, ipv4.FlagSYN, synSequence))
	d.offer(offering, accepted+acceptWindow)
	d.node.Table.Merge(offering.WithPhase(member.Left))
	d.node.Rebuild()
	d.now = time.Now()
	g.Expect(d.forward(packetOf(1, splitEndpoint, ipv4.FlagACK, 1)).to).NotTo(Equal(offering.Packet))
}

// TestLateSYNOfOpenFlow guards against a flow whose packets go to another agent while its own restarts,
// because an old copy of its SYN arrived.
func TestLateSYNOfOpenFlow(t *testing.T) {
	g, d := NewWithT(t), newTestBalancer(t)
	syn, ack := packetOf(1, splitEndpoint, ipv4.FlagSYN, synSequence), packetOf(1, splitEndpoint, ipv4.FlagACK, 1)
	holder := d.announceRun(agentOf("desk", "north", 1), firstRun)
	d.forward(syn)
	d.offer(holder, accepted)
	g.Expect(d.forward(ack).to).To(Equal(holder.Packet))
	d.now = time.Now()
	d.node.Table.Merge(holder.WithPhase(member.Left))
	d.node.Rebuild()
	g.Expect(d.unforwarded(syn)).To(Equal(dropAway))
	holder.Instance++
	holder = d.announceRun(holder, firstRun)
	g.Expect(d.forward(ack).to).To(Equal(holder.Packet))

	d.node.Table.Merge(holder.WithDeath())
	d.node.Rebuild()
	d.now = time.Now().Add(member.CrashRestartTimeout)
	g.Expect(d.forward(syn).to).NotTo(Equal(holder.Packet), "the agent does not return")
}

// TestReportsOfTwoConnections guards against the reset of a flow whose caller has used its port again: an
// agent reports the earlier connection late, and its backend server restarts.
func TestReportsOfTwoConnections(t *testing.T) {
	g, d := NewWithT(t), newTestBalancer(t)
	earlier := d.announceRun(agentOf("desk", "north", 1), firstRun)
	holder := d.announceRun(agentOf("desk", "north", 2), firstRun)
	report := func(m member.Member, run uint64, acknowledgment uint32) {
		d.forwarder.HandleHeld(capsule.Held{
			Key: keyOf(packetOf(1, splitEndpoint, ipv4.FlagACK, 1)), Instance: m.Instance, ServerRun: run,
			Acknowledgment: acknowledgment,
		})
	}
	report(holder, firstRun, accepted)
	report(earlier, firstRun, accepted+2*connectionWindow)
	d.announceRun(earlier, secondRun)
	d.forwarder.resetFlowsOfEndedRuns()
	g.Expect(d.resets).To(BeZero())
	report(holder, firstRun, accepted)
	report(holder, firstRun, accepted)
	holder = d.announceRun(holder, secondRun)
	report(holder, secondRun, accepted)
	report(holder, firstRun, accepted)
	d.forwarder.resetFlowsOfEndedRuns()
	g.Expect(d.resets).To(BeZero(), "a report of an earlier run arrives late")
}
