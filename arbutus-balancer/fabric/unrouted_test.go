package fabric

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/protocol/capsule"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/state/ending"
)

// newEndpoint is an endpoint that no revision has a route for at first.
var newEndpoint = netip.MustParseAddrPort("10.80.0.6:443")

// addRoute puts a revision in force that has a route for newEndpoint too.
func (d *testBalancer) addRoute() {
	d.t.Helper()
	d.cfg.Routes = append(d.cfg.Routes, config.Route{
		Name: "new", Address: newEndpoint.Addr(), Port: newEndpoint.Port(),
		Targets: []config.Target{{Service: "desk", Weight: 1}},
	})
	d.adopt()
}

// announceRevision announces the revision that follows the one in force.
func (d *testBalancer) announceRevision() {
	d.node.Config.Announce(config.Order{Number: d.revision + 1}, d.now)
}

// unforwarded passes a caller's packet to the balancer, which must not forward it, and returns the reason.
func (d *testBalancer) unforwarded(b []byte) ipv4.Reason {
	d.t.Helper()
	_, _, err := d.forwarder.encapsulate(nil, b)
	NewWithT(d.t).Expect(err).To(HaveOccurred())
	d.forwarder.handleUnforwarded(ipv4.ReasonOf(err), b)
	return ipv4.ReasonOf(err)
}

// TestFlowOnNewRouteIsNotReset guards against the reset of a flow on a route that a later revision adds, by
// a balancer that has heard of the revision and does not have it yet (review/12).
func TestFlowOnNewRouteIsNotReset(t *testing.T) {
	g, d := NewWithT(t), newTestBalancer(t)
	d.forwarder.pending = &pendingPackets{now: func() time.Time { return d.now }}
	d.announceRevision()
	for i, flags := range []ipv4.Flags{ipv4.FlagACK, ipv4.FlagSYN} {
		g.Expect(d.unforwarded(packetOf(uint16(1+i), newEndpoint, flags, 1))).To(Equal(dropBehind))
	}
	d.forwarder.HandleUnclaimed(
		capsule.Header{Service: capsule.KeyOf("desk")}, packetOf(3, newEndpoint, ipv4.FlagACK, 1))
	d.forwarder.forwardPending()
	g.Expect(d.resets).To(BeZero())
	g.Expect(d.sent).To(BeEmpty())
	d.addRoute()
	d.forwarder.forwardPending()
	g.Expect(d.sent).To(HaveLen(2), "the packets were buffered")
	g.Expect(d.resets).To(BeZero())
}

// TestFlowIsNotResetBeforeRoutesAreRebuilt guards against the reset of a flow by routes that are older than
// the revision in force, which has the flow's route and was confirmed.
func TestFlowIsNotResetBeforeRoutesAreRebuilt(t *testing.T) {
	g, d := NewWithT(t), newTestBalancer(t)
	ack := packetOf(1, newEndpoint, ipv4.FlagACK, 1)
	g.Expect(d.unforwarded(ack)).To(Equal(dropUnconfirmed))
	d.now = d.now.Add(time.Millisecond)
	adopted := &config.Revision{Head: config.NewHeadAt(config.Order{Number: d.revision + 1}, nil, &controlv1.Accepted{})}
	d.node.Config.Adopt(adopted)
	d.node.Config.Confirm(adopted.Order(), d.now)
	g.Expect(d.unforwarded(ack)).To(Equal(dropBehind))
	for _, service := range []string{"desk", "plots"} {
		d.forwarder.HandleUnclaimed(
			capsule.Header{Service: capsule.KeyOf(service)}, packetOf(1, splitEndpoint, ipv4.FlagACK, 1))
	}
	g.Expect(d.resets).To(BeZero())
}

// TestUnclaimedFlowIsNotResetWhileBehind guards against the reset of a flow that no agent claims, because
// the balancer does not know the service yet that a later revision has added to the route.
func TestUnclaimedFlowIsNotResetWhileBehind(t *testing.T) {
	g, d := NewWithT(t), newTestBalancer(t)
	unclaimed := func() {
		for _, service := range []string{"desk", "plots"} {
			d.forwarder.HandleUnclaimed(
				capsule.Header{Service: capsule.KeyOf(service)}, packetOf(1, splitEndpoint, ipv4.FlagACK, 1))
		}
	}
	d.announceRevision()
	unclaimed()
	d.now = d.now.Add(ending.ResetDelay)
	unclaimed()
	g.Expect(d.resets).To(BeZero())
	d.apply(50, 50)
	unclaimed()
	g.Expect(d.resets).To(Equal(1), "no agent holds it by the later revision either")
}

// TestFlowWithoutRouteIsReset guards against callers that wait on flows without a route, longer than the
// balancer needs to be certain: it resets a flow on a withdrawn route and one that it knew at once, and any
// other one as soon as the store has confirmed the revision in force, or would have another one.
func TestFlowWithoutRouteIsReset(t *testing.T) {
	ack := packetOf(1, newEndpoint, ipv4.FlagACK, 1)
	t.Run("withdrawn", func(t *testing.T) {
		g, d := NewWithT(t), newTestBalancer(t)
		d.addRoute()
		d.apply(50, 50)
		g.Expect(d.unforwarded(ack)).To(Equal(dropService))
		g.Expect(d.resets).To(Equal(1))
	})
	t.Run("withdrawn before the balancer's start", func(t *testing.T) {
		g, d := NewWithT(t), newTestBalancer(t)
		d.forwarder.Restore([]RememberedFlow{{
			Key: keyOf(ack), Agent: agentOf("desk", "north", 1).Name, Service: capsule.KeyOf("desk"),
			ServerRun: firstRun, Acknowledged: 9,
		}})
		g.Expect(d.unforwarded(ack)).To(Equal(dropService))
		g.Expect(d.resets).To(Equal(1))
	})
	t.Run("SYN", func(t *testing.T) {
		g, d := NewWithT(t), newTestBalancer(t)
		g.Expect(d.unforwarded(packetOf(1, newEndpoint, ipv4.FlagSYN, 1))).To(Equal(dropService))
		g.Expect(d.resets).To(Equal(1))
	})
	t.Run("confirmed", func(t *testing.T) {
		g, d := NewWithT(t), newTestBalancer(t)
		d.node.Config.Confirm(d.node.Config.Current().Order(), d.now.Add(-time.Millisecond))
		g.Expect(d.unforwarded(ack)).To(Equal(dropUnconfirmed))
		g.Expect(d.resets).To(BeZero(), "the store may have had a later revision since")
		d.node.Config.Confirm(d.node.Config.Current().Order(), d.now)
		d.now = d.now.Add(200 * time.Millisecond)
		g.Expect(d.unforwarded(ack)).To(Equal(dropService))
		g.Expect(d.resets).To(Equal(1))
	})
	t.Run("never confirmed", func(t *testing.T) {
		g, d := NewWithT(t), newTestBalancer(t)
		g.Expect(d.unforwarded(ack)).To(Equal(dropUnconfirmed))
		d.now = d.now.Add(ending.RevisionTime / 2)
		g.Expect(d.unforwarded(ack)).To(Equal(dropUnconfirmed))
		d.now = d.now.Add(ending.RevisionTime/2 - time.Millisecond)
		g.Expect(d.unforwarded(ack)).To(Equal(dropUnconfirmed))
		d.now = d.now.Add(time.Millisecond)
		g.Expect(d.unforwarded(ack)).To(Equal(dropService))
		g.Expect(d.resets).To(Equal(1))
	})
	t.Run("no longer announced", func(t *testing.T) {
		g, d := NewWithT(t), newTestBalancer(t)
		d.addRoute()
		d.apply(50, 50)
		d.announceRevision()
		g.Expect(d.unforwarded(ack)).To(Equal(dropBehind))
		d.now = d.now.Add(time.Minute)
		g.Expect(d.unforwarded(ack)).To(Equal(dropService))
		g.Expect(d.resets).To(Equal(1))
	})
}

// TestWithdrawnEndpoints guards against an endpoint that counts as withdrawn although its route was added
// again, or is forgotten when the members change.
func TestWithdrawnEndpoints(t *testing.T) {
	g, d := NewWithT(t), newTestBalancer(t)
	isWithdrawn := func() bool { return d.node.Routes().IsWithdrawn(newEndpoint) }
	g.Expect(isWithdrawn()).To(BeFalse())
	d.addRoute()
	g.Expect(isWithdrawn()).To(BeFalse())
	d.apply(50, 50)
	g.Expect(isWithdrawn()).To(BeTrue())
	d.node.Rebuild()
	g.Expect(isWithdrawn()).To(BeTrue())
	d.apply(60, 40)
	g.Expect(isWithdrawn()).To(BeTrue())
	d.addRoute()
	g.Expect(isWithdrawn()).To(BeFalse())
	g.Expect(state.BuildRoutes(nil, nil, nil).IsWithdrawn(newEndpoint)).To(BeFalse())
}
