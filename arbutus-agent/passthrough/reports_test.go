package passthrough

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/ipv4"
)

// loadReports returns the load reports that the engine has sent.
func (r *harness) loadReports() []capsule.Load {
	var reports []capsule.Load
	for _, f := range r.forwarded {
		if f.kind == capsule.KindLoad {
			reports = append(reports, f.load)
		}
	}
	return reports
}

// TestCapacityIsReported: a balancer that last learned of a queue must be told once the
// backend server has a free slot. Before, it left the backend server idle for 2 s.
func TestCapacityIsReported(t *testing.T) {
	g, r := NewWithT(t), newHarness(t)
	r.announce(nil)
	last := r.openWithRequests(testSlots + 1)
	r.answerRequest(last)
	g.Expect(r.loadReports()).To(BeEmpty(), "all slots are in use")
	r.answerRequest(last - 1)
	g.Expect(r.loadReports()).To(Equal([]capsule.Load{{
		Instance: r.self.Instance, Flows: testSlots + 1, Requests: testSlots - 1, Slots: testSlots,
	}}))
	r.answerRequest(last - 2)
	g.Expect(r.loadReports()).To(HaveLen(1), "the balancer knows of the capacity already")
}

// TestColdLimitIsReported: a balancer counts a flow that the agent did not admit, because its
// backend server is cold, as load. It must be told once the limit allows the next flow.
func TestColdLimitIsReported(t *testing.T) {
	g, r := NewWithT(t), newHarness(t)
	r.announce(func(a *Announcement) { a.ColdFor = time.Minute })
	r.server.coldNewPerSecond = 1
	r.open(1)
	r.syn(2, 0)
	r.clear()
	r.suppressProbes()
	r.now = r.now.Add(coldRateWindow - time.Millisecond)
	r.engine.runChecks()
	g.Expect(r.loadReports()).To(BeEmpty())
	r.now = r.now.Add(time.Millisecond)
	r.engine.runChecks()
	g.Expect(r.loadReports()).To(HaveLen(1))
}

// TestClosedFlowsAreNoLoad: flows that both ends have closed are kept for late packets. They
// once counted as load for 3 s, and the share of new flows of two agents swung between a
// quarter and all of them.
func TestClosedFlowsAreNoLoad(t *testing.T) {
	g, r := NewWithT(t), newHarness(t)
	r.announce(nil)
	r.open(1)
	r.open(2)
	r.fromCaller(segment(1, ipv4.FlagACK|ipv4.FlagFIN, callerISN+1, serverISN+1, 0), 0)
	g.Expect(r.engine.Load().Flows).To(Equal(2))
	r.fromServer(segment(1, ipv4.FlagACK|ipv4.FlagFIN, serverISN+1, callerISN+2, 0))
	r.fromServer(segment(1, ipv4.FlagACK|ipv4.FlagFIN, serverISN+1, callerISN+2, 0))
	r.fromServer(segment(2, ipv4.FlagRST, serverISN+1, 0, 0))
	g.Expect(r.engine.Load().Flows).To(BeZero())
	r.now = r.now.Add(closedLifetime + time.Millisecond)
	r.engine.expire()
	g.Expect(r.engine.Load().Flows).To(BeZero())
	g.Expect(r.engine.flows).To(BeEmpty())
}

// TestReportSaysWhetherSYNACKIsAccepted guards against a balancer that takes an agent for the holder of a
// flow whose caller may accept another backend server's SYN-ACK: the report says that the handshake isn't
// over, and which acknowledgment number would end it.
func TestReportSaysWhetherSYNACKIsAccepted(t *testing.T) {
	g, r := NewWithT(t), newHarness(t)
	r.announce(nil)
	syn := segment(1, ipv4.FlagSYN, callerISN, 0, 0)
	r.fromCaller(syn, 0)
	r.fromServer(segment(1, ipv4.FlagSYN|ipv4.FlagACK, serverISN, callerISN+1, 0))
	r.fromCaller(syn, 0)
	r.fromCaller(segment(1, ipv4.FlagACK, callerISN+1, serverISN+1, 0), capsule.MarkReportHolder)
	r.fromCaller(segment(1, ipv4.FlagACK, callerISN+1, serverISN+51, 0), capsule.MarkReportHolder)
	var reports []capsule.Held
	for _, f := range r.forwarded {
		if f.kind == capsule.KindHeld {
			reports = append(reports, f.held)
		}
	}
	g.Expect(reports).To(HaveLen(4))
	for i, want := range []capsule.Held{
		{Handshaking: true, Acknowledgment: serverISN + 1},
		{Handshaking: true, Acknowledgment: serverISN + 1},
		{Acknowledgment: serverISN + 1},
		{Acknowledgment: serverISN + 51},
	} {
		g.Expect(reports[i].Handshaking).To(Equal(want.Handshaking))
		g.Expect(reports[i].Acknowledgment).To(Equal(want.Acknowledgment))
	}
}
