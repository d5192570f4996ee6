package passthrough

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/ipv4"
)

// announceOlderServer announces a backend server that may hold flows which the agent does not know.
func (r *harness) announceOlderServer() {
	r.announce(func(a *Announcement) { a.StartedUnixMillis -= time.Hour.Milliseconds(); a.Sequence = 900 })
}

// TestReportOfUnconfirmedHandshake guards against a balancer that takes an agent for a flow's holder whose
// backend server was given a packet of an unknown flow and sends a SYN-ACK: it had the flow's SYN and is in
// the handshake.
func TestReportOfUnconfirmedHandshake(t *testing.T) {
	g, r := NewWithT(t), newHarness(t)
	r.announceOlderServer()
	r.fromCaller(segment(1, ipv4.FlagACK, callerISN+1, 77_000_000, 0), capsule.MarkReportHolder)
	g.Expect(r.delivered).To(HaveLen(1))
	r.clear()
	r.fromServer(segment(1, ipv4.FlagSYN|ipv4.FlagACK, serverISN, callerISN+1, 0))
	g.Expect(r.forwarded).To(HaveLen(1))
	g.Expect(r.forwarded[0].held.Handshaking).To(BeTrue())
	g.Expect(r.forwarded[0].held.Acknowledgment).To(Equal(uint32(serverISN + 1)))
}

// TestPacketBeforeSYNACKIsPassedOn guards against a backend server that is given a packet of a connection
// which the caller has opened elsewhere, while it is in the handshake of a copy of the flow's SYN: it may
// answer with a RST that the caller accepts. An agent that was stopped handles both in a row.
func TestPacketBeforeSYNACKIsPassedOn(t *testing.T) {
	g, r := NewWithT(t), newHarness(t)
	r.announceOlderServer()
	r.fromCaller(segment(1, ipv4.FlagSYN, callerISN, 0, 0), 0)
	r.clear()
	r.fromCaller(segment(1, ipv4.FlagACK, callerISN+1, 77_000_000, 0), capsule.MarkReportHolder|capsule.MarkHolderKnown)
	g.Expect(r.delivered).To(BeEmpty())
	g.Expect(r.forwarded).To(HaveLen(1))
	g.Expect(r.forwarded[0].kind).To(Equal(capsule.KindPacket))
	r.clear()
	r.fromServer(segment(1, ipv4.FlagSYN|ipv4.FlagACK, serverISN, callerISN+1, 0))
	r.fromCaller(segment(1, ipv4.FlagACK, callerISN+1, serverISN+1, 0), 0)
	g.Expect(r.opened).To(HaveLen(1), "the packet was one of an earlier connection")
}

// TestFlowTakenByLaterRun guards against the reset of a flow whose SYN arrived before its backend server
// crashed, and was repeated and answered after that one had started again.
func TestFlowTakenByLaterRun(t *testing.T) {
	g, r := NewWithT(t), newHarness(t)
	r.announce(nil)
	r.suppressProbes()
	r.open(2)
	r.engine.runChecks()
	syn := segment(1, ipv4.FlagSYN, callerISN, 0, 0)
	r.fromCaller(syn, 0)
	r.now = r.now.Add(100 * time.Millisecond)
	restartedAt := r.now
	r.now = r.now.Add(20 * time.Millisecond)
	r.fromCaller(syn, 0)
	r.fromServer(segment(1, ipv4.FlagSYN|ipv4.FlagACK, serverISN, callerISN+1, 0))
	r.fromCaller(segment(1, ipv4.FlagACK, callerISN+1, serverISN+1, 0), 0)
	r.clear()
	r.now = r.now.Add(30 * time.Millisecond)
	r.announce(func(a *Announcement) { a.ID = "s-2"; a.StartedUnixMillis = restartedAt.UnixMilli(); a.Sequence = 1 })
	r.engine.runChecks()
	g.Expect(r.replied).To(HaveLen(1), "only the flow that the earlier run held is reset")
	g.Expect(r.replied[0].Key().Service.Port()).To(Equal(uint16(2)))
}
