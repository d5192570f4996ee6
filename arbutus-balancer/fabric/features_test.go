package fabric

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/state/feature"
	"arbutusfront.dev/common/state/placement"
	"arbutusfront.dev/common/transport/datagram"
)

// TestFeaturesSwitchOff guards against a switch that has no effect: the measured worth of its
// feature would be nothing. Each case returns a number that differs without the feature.
func TestFeaturesSwitchOff(t *testing.T) {
	north := agentOf("desk", "north", 1)
	for _, c := range []struct {
		feature       feature.Name
		with, without int
		measure       func(d *testBalancer) int
	}{
		{feature.RememberedFlows, 1, 0, func(d *testBalancer) int {
			b := packetOf(1, splitEndpoint, ipv4.FlagACK, 1)
			d.forwarder.HandleHeld(capsule.Held{Key: keyOf(b), Instance: north.Instance})
			return count(d.forward(b).h.Marks&capsule.MarkReportHolder == 0)
		}},
		{feature.LessLoaded, 0, 1, func(d *testBalancer) int {
			_, first, _ := d.forwarder.node.Routes().Agent(north.Instance)
			second := placement.Candidate{Name: "desk-north-2"}
			d.reportHeld(deskPacket(900, ipv4.FlagSYN), north.Instance, 12)
			chosen := d.forwarder.placement.leastLoaded(topRanked{first, &second}, 4, d.now)
			return count(chosen == first)
		}},
		{feature.OwnDomainFirst, 0, 1, func(d *testBalancer) int {
			left := false
			for port := range uint16(60) {
				_, c, _ := d.forwarder.node.Routes().Agent(d.forward(deskPacket(port, ipv4.FlagSYN)).h.Target)
				left = left || c.Domain != "north"
			}
			return count(left)
		}},
		{feature.RunResets, 1, 0, func(d *testBalancer) int {
			one := d.announceRun(north, firstRun)
			d.holdFlow(1, one, firstRun)
			d.now = d.now.Add(announcementTime)
			d.announceRun(one, secondRun)
			d.forwarder.resetFlowsOfEndedRuns()
			return d.resets
		}},
		{feature.ResetPacing, 0, 1, func(d *testBalancer) int {
			one := d.announceRun(north, firstRun)
			d.holdFlow(1, one, firstRun)
			d.now = d.now.Add(announcementTime)
			for _, m := range d.node.Table.Snapshot().Members {
				d.node.Table.Merge(m.WithPhase(member.Joining))
			}
			known, _ := d.node.Table.Get(one.ID())
			d.announceRun(known, secondRun)
			d.forwarder.resetFlowsOfEndedRuns()
			return d.resets
		}},
		{feature.PacketPriority, 1, 0, func(d *testBalancer) int {
			if s := d.forwarder.shedder; s != nil {
				s.overload.cpu = shedLevel{value: allGivenUp, fallsFrom: time.Now()}
			}
			b := deskPacket(1, ipv4.FlagSYN)
			d.forwarder.handleBatch([]datagram.Message{{Buffer: b, N: len(b)}}, datagram.NewBatch(1))
			return count(len(d.sent) == 0)
		}},
	} {
		t.Run(string(c.feature), func(t *testing.T) {
			for _, off := range []bool{false, true} {
				d := newTestBalancer(t)
				want := c.with
				if off {
					want = c.without
					Without(feature.Set{}.With(c.feature))(d.forwarder)
				}
				NewWithT(t).Expect(c.measure(d)).To(Equal(want), "off: %v", off)
			}
		})
	}
}

// TestStartFeaturesSwitchOff is TestFeaturesSwitchOff for what a balancer does right after its
// start.
func TestStartFeaturesSwitchOff(t *testing.T) {
	g := NewWithT(t)
	d := newWithoutAgents(t)
	Without(feature.Set{}.With(feature.PendingPackets))(d.forwarder)
	g.Expect(d.forwarder.pending).To(BeNil())
	d = newUnconfigured(t)
	Without(feature.Set{}.With(feature.UnconfiguredSearch))(d.forwarder)
	_, _, err := d.forwarder.encapsulate(nil, packetOf(1, splitEndpoint, ipv4.FlagACK, 1))
	g.Expect(err).To(MatchError(dropService))
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}
