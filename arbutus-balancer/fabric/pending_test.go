package fabric

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/transport/datagram"
)

// newWithoutAgents returns a balancer right after its start: it has the configuration,
// and no agent has joined yet.
func newWithoutAgents(t *testing.T) *testBalancer {
	t.Helper()
	d := newTestBalancer(t)
	WithPendingPackets()(d.forwarder)
	d.forwarder.pending.now = func() time.Time { return d.now }
	empty := state.NewNode(d.forwarder.self)
	empty.Config.Adopt(d.node.Config.Current())
	empty.Rebuild()
	d.node, d.forwarder.node = empty, empty
	return d
}

// countingCounter is a counter that a test reads.
type countingCounter struct{ value int64 }

func (c *countingCounter) Inc(n int64) { c.value += n }

// receive passes a packet to the balancer as the fabric does.
func (d *testBalancer) receive(b []byte) {
	in := []datagram.Message{{Buffer: b, N: len(b)}}
	d.forwarder.forward(in, datagram.NewBatch(1))
}

func (d *testBalancer) join(m member.Member) {
	d.node.Table.Merge(m)
	d.node.Rebuild()
}

// TestPacketWaitsForAnAgent guards against the loss of packets that arrive before any
// agent is known. Such packets were once dropped, and callers retransmit a SYN only after
// 200 ms, which exceeds most latency targets.
func TestPacketWaitsForAnAgent(t *testing.T) {
	g, d := NewWithT(t), newWithoutAgents(t)
	d.receive(packetOf(1, splitEndpoint, ipv4.FlagSYN, synSequence))
	d.forwarder.forwardPending()
	g.Expect(d.sent).To(BeEmpty())
	d.now = d.now.Add(pendingTime)
	d.join(agentOf("desk", "north", 1))
	d.join(agentOf("plots", "north", 1))
	d.forwarder.forwardPending()
	g.Expect(d.sent).To(HaveLen(1))
	d.forwarder.forwardPending()
	g.Expect(d.sent).To(HaveLen(1))
}

// TestPendingPacketsAreBounded guards against an unbounded buffer. Packets are dropped if
// they are so old that the caller has retransmitted them, if the buffer is full, or if
// the configuration has no route for them.
func TestPendingPacketsAreBounded(t *testing.T) {
	g, d := NewWithT(t), newWithoutAgents(t)
	discarded := new(countingCounter)
	d.forwarder.discardedLate = discarded
	d.receive(packetOf(1, splitEndpoint, ipv4.FlagSYN, synSequence))
	d.now = d.now.Add(pendingTime + time.Millisecond)
	for i := range maxPending + 10 {
		d.receive(packetOf(uint16(100+i), splitEndpoint, ipv4.FlagSYN, synSequence))
	}
	g.Expect(d.forwarder.pending.packets).To(HaveLen(maxPending))
	d.forwarder.forwardPending()
	g.Expect(d.forwarder.pending.packets).To(HaveLen(maxPending - 1))
	g.Expect(discarded.value).To(Equal(int64(1)))

	g, d = NewWithT(t), newWithoutAgents(t)
	d.receive(packetOf(1, netip.AddrPortFrom(splitEndpoint.Addr(), 999), ipv4.FlagSYN, synSequence))
	g.Expect(d.forwarder.pending.packets).To(BeEmpty())
	g.Expect(d.resets).To(Equal(1), "the configuration has no such route")
}
