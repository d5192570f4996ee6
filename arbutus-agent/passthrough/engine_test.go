package passthrough

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/arbutus-agent/state"
	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/state/admission"
)

// TestSYNOpensFlow: a handshake must open the flow, publish it to the directory replicas,
// and report its holder to the balancer once.
func TestSYNOpensFlow(t *testing.T) {
	g, r := NewWithT(t), newHarness(t)
	r.announce(nil)
	r.open(1)
	g.Expect(r.delivered).To(HaveLen(2))
	g.Expect(r.replied).To(HaveLen(1))
	g.Expect(r.opened).To(HaveLen(1))
	g.Expect(r.forwarded).To(HaveLen(1), "the holder is reported to the balancer")
	g.Expect(r.forwarded[0].held).To(Equal(capsule.Held{
		Key: r.opened[0], Instance: r.self.Instance, Flows: 1, Requests: 1, Slots: 4, ServerRun: uint64(r.now.UnixMilli()),
		Handshaking: true, Acknowledgment: serverISN + 1,
	}))
}

// TestCallerAcceptsOtherServersSYNACK: copies of a SYN reach two backend servers, and the
// caller accepts the SYN-ACK of the other one. The packet must be forwarded, and nothing
// reset.
func TestCallerAcceptsOtherServersSYNACK(t *testing.T) {
	g, r := NewWithT(t), newHarness(t)
	r.announce(nil)
	r.fromCaller(segment(1, ipv4.FlagSYN, callerISN, 0, 0), 0)
	r.fromServer(segment(1, ipv4.FlagSYN|ipv4.FlagACK, serverISN, callerISN+1, 0))
	r.clear()
	r.fromCaller(segment(1, ipv4.FlagACK, callerISN+1, 77_000_000, 0), 0)
	g.Expect(r.delivered).To(BeEmpty())
	g.Expect(r.replied).To(BeEmpty())
	g.Expect(r.forwarded).To(HaveLen(1))
	g.Expect(r.forwarded[0].kind).To(Equal(capsule.KindPacket))
	g.Expect(r.forwarded[0].h.Visited).To(Equal([]uint64{r.self.Instance}))
}

// TestStaleSYNDoesNotHoldFlow: an agent restarts beside its backend server and is paused
// with a SYN in its queue, for which another backend server sends a SYN-ACK meanwhile. The
// packets after the SYN must not be delivered here: a backend server that accepted them
// executed the request a second time (found by the soak test, seed 3).
func TestStaleSYNDoesNotHoldFlow(t *testing.T) {
	g, r := NewWithT(t), newHarness(t)
	r.announce(func(a *Announcement) { a.StartedUnixMillis -= time.Hour.Milliseconds(); a.Sequence = 900 })
	r.fromCaller(segment(1, ipv4.FlagSYN, callerISN, 0, 0), 0)
	r.fromServer(segment(1, ipv4.FlagSYN|ipv4.FlagACK, serverISN, callerISN+1, 0))
	r.clear()
	r.fromCaller(segment(1, ipv4.FlagACK, callerISN+1, 77_000_000, 100), 0)
	g.Expect(r.delivered).To(BeEmpty())
	g.Expect(r.forwarded).To(HaveLen(1))
}

// TestLateSYNOfAdoptedFlow: a restarted agent adopts the flows of its backend server without
// their SYNs. A delayed copy of such a SYN must not replace the flow, whose packets would then
// be forwarded to other agents; the SYN of a new flow must.
func TestLateSYNOfAdoptedFlow(t *testing.T) {
	g, r := NewWithT(t), newHarness(t)
	r.announce(func(a *Announcement) { a.Sequence = 9 })
	r.fromServer(segment(2, ipv4.FlagACK, serverISN+1, callerISN+1, 50))
	g.Expect(r.engine.Held()).To(HaveLen(1))
	r.markRetransmitted()
	r.clear()
	r.syn(2, 0)
	g.Expect(r.delivered).To(BeEmpty())
	r.fromCaller(segment(2, ipv4.FlagACK, callerISN+1, serverISN+51, 100), 0)
	g.Expect(r.delivered).To(HaveLen(1), "the flow is still here")
	r.now = r.now.Add(maxSYNDelay)
	r.syn(2, 0)
	g.Expect(r.delivered).To(HaveLen(2), "too late for a copy")
}

// TestSYNForwardedWhenNotAdmitting: a SYN must not reach a backend server that gets no new
// flows. It is forwarded, and refused with a RST by the last candidate.
func TestSYNForwardedWhenNotAdmitting(t *testing.T) {
	for _, c := range []struct {
		name  string
		setUp func(r *harness)
	}{
		{"nothing known of the backend server", func(*harness) {}},
		{"draining", func(r *harness) { r.announce(func(a *Announcement) { a.Draining = true }) }},
		{"withdrawn", func(r *harness) { r.announce(nil); r.server.Withdraw("s-1") }},
		{"failure domain out", func(r *harness) { r.announce(nil); r.adopt(2, config.DomainOut) }},
		{"leaving", func(r *harness) { r.announce(nil); r.engine.Leave() }},
		{"dead", func(r *harness) { r.announce(nil); r.server.recordProbe(errDead) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, r := NewWithT(t), newHarness(t)
			c.setUp(r)
			r.fromCaller(segment(1, ipv4.FlagSYN, callerISN, 0, 0), 0)
			g.Expect(r.delivered).To(BeEmpty())
			g.Expect(r.forwarded).To(HaveLen(1))
			r.clear()
			r.fromCaller(segment(2, ipv4.FlagSYN, callerISN, 0, 0), 0, 102, 103)
			g.Expect(r.replied).To(HaveLen(1), "the last candidate refuses the flow")
			g.Expect(r.replied[0].Flags().Has(ipv4.FlagRST)).To(BeTrue())
		})
	}
}

// TestDomainOutKeepsFlows: flows of a failure domain that is taken out must continue.
func TestDomainOutKeepsFlows(t *testing.T) {
	g, r := NewWithT(t), newHarness(t)
	r.announce(nil)
	r.open(1)
	r.adopt(2, config.DomainOut)
	r.clear()
	r.fromCaller(segment(1, ipv4.FlagACK, callerISN+1, serverISN+1, 100), 0)
	g.Expect(r.delivered).To(HaveLen(1))
	g.Expect(r.replied).To(BeEmpty())
}

// TestRestartedAgentDeliversUnknownFlowOnce: an agent that started after its backend server
// delivers packets of unknown flows to it. Flows that the server answers are adopted.
// Packets that it returns are forwarded, and further packets of these flows are not
// delivered again.
func TestRestartedAgentDeliversUnknownFlowOnce(t *testing.T) {
	g, r := NewWithT(t), newHarness(t)
	r.announce(func(a *Announcement) { a.StartedUnixMillis -= time.Hour.Milliseconds(); a.Sequence = 900 })
	held, lost := segment(1, ipv4.FlagACK, 2000, 6000, 50), segment(2, ipv4.FlagACK, 2000, 6000, 50)
	r.fromCaller(held, capsule.MarkReportHolder)
	g.Expect(r.delivered).To(HaveLen(1))
	r.fromServer(segment(1, ipv4.FlagACK, 6000, 2050, 0))
	g.Expect(r.opened).To(HaveLen(1))
	g.Expect(r.forwarded).To(HaveLen(1), "the holder is reported to the balancer")
	r.clear()
	r.fromCaller(lost, capsule.MarkReportHolder)
	r.returnPacket(lost)
	g.Expect(r.delivered).To(HaveLen(1))
	g.Expect(r.forwarded).To(HaveLen(1))
	g.Expect(r.forwarded[0].h.Marks.Has(capsule.MarkUncertain)).To(BeFalse())
	r.clear()
	r.fromCaller(lost, capsule.MarkReportHolder)
	g.Expect(r.delivered).To(BeEmpty())
}

// TestRestartedAgentDeliversBeforeAnnouncement: an agent restarts beside a running backend
// server, which announces itself only every 1.2 s. Its flows must continue as soon as a
// liveness probe succeeds. They were once delayed by up to 0.46 s (incident inc-0a40
// of avisos-vial).
func TestRestartedAgentDeliversBeforeAnnouncement(t *testing.T) {
	g, r := NewWithT(t), newHarness(t)
	held := segment(1, ipv4.FlagACK, 2000, 6000, 50)
	r.fromCaller(held, capsule.MarkReportHolder)
	g.Expect(r.delivered).To(BeEmpty(), "nothing is known of the backend server")
	r.server.Discover(context.Background(), "")
	r.fromCaller(held, capsule.MarkReportHolder)
	g.Expect(r.delivered).To(HaveLen(1))
	r.clear()
	r.fromCaller(segment(2, ipv4.FlagSYN, callerISN, 0, 0), 0)
	g.Expect(r.delivered).To(BeEmpty(), "no new flows before the first announcement")
}

// TestFlowHeldElsewhereIsNotDelivered guards against packets that wander past backend servers
// which can't hold their flow: an agent that may not know all flows of its backend server must
// send them to the holder that the directory lists, unless that is its own earlier incarnation.
func TestFlowHeldElsewhereIsNotDelivered(t *testing.T) {
	for _, c := range []struct {
		name      string
		instance  uint64
		delivered int
	}{
		{"held by another agent", 102, 0},
		{"held by this agent's earlier incarnation", 99, 1},
		{"held by an unknown agent", 98, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, r := NewWithT(t), newHarness(t)
			earlier := agentMember("a-1", "north", 1)
			earlier.Instance = 99
			r.node.Learn(earlier.WithDeath())
			r.announce(func(a *Announcement) { a.Sequence = 900 })
			data := segment(1, ipv4.FlagACK, 2000, 6000, 50)
			r.engine.Register(data.Key, c.instance)
			r.fromCaller(data, 0)
			g.Expect(r.delivered).To(HaveLen(c.delivered))
			g.Expect(r.forwarded).To(HaveLen(1 - c.delivered))
		})
	}
}

// TestUnconfiguredAgentReturnsVisited: an agent without a configuration knows no
// candidates. It must return the packet with the visited agents, so that the balancer
// continues the search from there.
func TestUnconfiguredAgentReturnsVisited(t *testing.T) {
	g, r := NewWithT(t), newHarness(t)
	r.engine.node = state.NewNode(r.self)
	r.fromCaller(segment(1, ipv4.FlagACK, 2000, 6000, 50), capsule.MarkReportHolder, 102)
	g.Expect(r.forwarded).To(HaveLen(1))
	g.Expect(r.forwarded[0].kind).To(Equal(capsule.KindUnclaimed))
	g.Expect(r.forwarded[0].h.Visited).To(Equal([]uint64{102, r.self.Instance}))
}

// TestAbsentServerGetsNoUnknownFlows: the backend server of an agent has left for good. The
// agent once delivered packets of unknown flows to the address where nothing ran, so that
// callers waited until their deadline (found by a randomized benchmark run, ac43-27 of
// phellos-lb).
func TestAbsentServerGetsNoUnknownFlows(t *testing.T) {
	g, r := NewWithT(t), newHarness(t)
	r.livenessErr = errDead
	r.server.Discover(context.Background(), "/health")
	r.fromCaller(segment(1, ipv4.FlagACK, 2000, 6000, 50), capsule.MarkReportHolder)
	g.Expect(r.delivered).To(BeEmpty())
	g.Expect(r.forwarded).To(HaveLen(1))
	g.Expect(r.forwarded[0].h.Marks.Has(capsule.MarkUncertain)).To(BeFalse(), "no backend server runs there")
}

// TestUnclaimedPacketReturnsToOrigin: a packet that no candidate claims must go back to the
// balancer that first forwarded it.
func TestUnclaimedPacketReturnsToOrigin(t *testing.T) {
	g, r := NewWithT(t), newHarness(t)
	r.start()
	r.fromCaller(segment(1, ipv4.FlagACK, 2000, 6000, 50), 0, 102, 103)
	g.Expect(r.forwarded).To(HaveLen(1))
	g.Expect(r.forwarded[0].kind).To(Equal(capsule.KindUnclaimed))
	g.Expect(r.forwarded[0].to).To(Equal(balancerAddress))
	g.Expect(r.replied).To(BeEmpty())
}

// TestLoadCountsRequestsOnce: a request counts from the SYN of its flow until its answer.
// Requests that callers retransmitted after the answer once counted until the flow was next
// used: 50 at a backend server that runs 4 concurrently.
func TestLoadCountsRequestsOnce(t *testing.T) {
	g, r := NewWithT(t), newHarness(t)
	r.announce(nil)
	r.fromCaller(segment(1, ipv4.FlagSYN, callerISN, 0, 0), 0)
	g.Expect(r.engine.Load().Requests).To(Equal(1), "an opening flow counts as a request")
	r.fromServer(segment(1, ipv4.FlagSYN|ipv4.FlagACK, serverISN, callerISN+1, 0))
	request := segment(1, ipv4.FlagACK, callerISN+1, serverISN+1, 100)
	r.fromCaller(request, 0)
	g.Expect(r.engine.Load().Requests).To(Equal(1))
	r.fromServer(segment(1, ipv4.FlagACK, serverISN+1, callerISN+101, 200))
	g.Expect(r.engine.Load().Requests).To(BeZero())
	r.fromCaller(request, 0)
	g.Expect(r.engine.Load().Requests).To(BeZero(), "a retransmit of an answered request is not counted")
	r.fromCaller(segment(1, ipv4.FlagACK, callerISN+101, serverISN+201, 100), 0)
	g.Expect(r.engine.Load().Requests).To(Equal(1))
}

// TestSilentCallerNotCountedAsRequest: a flow must not count as a request if its caller has
// accepted another backend server's SYN-ACK, or has gone.
func TestSilentCallerNotCountedAsRequest(t *testing.T) {
	g, r := NewWithT(t), newHarness(t)
	r.announce(nil)
	r.fromCaller(segment(1, ipv4.FlagSYN, callerISN, 0, 0), 0)
	r.fromServer(segment(1, ipv4.FlagSYN|ipv4.FlagACK, serverISN, callerISN+1, 0))
	r.now = r.now.Add(admission.HandshakeTimeout + time.Millisecond)
	r.engine.runChecks()
	g.Expect(r.engine.Load().Requests).To(BeZero())
	g.Expect(r.engine.Load().Flows).To(Equal(1))
}

// TestHolderUnreachable: packets for an agent that has crashed are dropped while a new
// incarnation may still appear; after that, its flows are reset.
func TestHolderUnreachable(t *testing.T) {
	g, r := NewWithT(t), newHarness(t)
	r.announce(nil)
	data := segment(1, ipv4.FlagACK, 2000, 6000, 50)
	r.engine.Register(data.Key, 102)
	r.node.Learn(agentMember("a-2", "south", 2).WithDeath())
	r.engine.now = time.Now
	r.fromCaller(data, 0)
	g.Expect(r.forwarded).To(BeEmpty())
	g.Expect(r.replied).To(BeEmpty())
	r.engine.now = func() time.Time { return time.Now().Add(member.CrashRestartTimeout) }
	r.fromCaller(data, 0)
	g.Expect(r.replied).To(HaveLen(1))
}

// TestHolderRestarted: packets of a flow whose holder has restarted must go to the holder's
// new incarnation.
func TestHolderRestarted(t *testing.T) {
	g, r := NewWithT(t), newHarness(t)
	r.start()
	data := segment(1, ipv4.FlagACK, 2000, 6000, 50)
	r.engine.Register(data.Key, 102)
	r.node.Learn(agentMember("a-2", "south", 2).WithPhase(member.Left))
	next := agentMember("a-2", "south", 2)
	next.Instance = 500
	r.node.Learn(next)
	r.fromCaller(data, 0)
	g.Expect(r.forwarded).To(HaveLen(1))
	g.Expect(r.forwarded[0].h.Target).To(Equal(uint64(500)))
	g.Expect(r.forwarded[0].h.Marks.Has(capsule.MarkHolderKnown)).To(BeTrue())
}

// TestHolderRestartedTwice guards against resets of open flows while their agent restarts a
// second time: the directory may still list the incarnation before, which ended long ago.
func TestHolderRestartedTwice(t *testing.T) {
	for _, c := range []struct {
		name   string
		end    func(member.Member) member.Member
		resets time.Duration
	}{
		{"stopped", func(m member.Member) member.Member { return m.WithPhase(member.Left) }, member.PlannedRestartTimeout},
		{"crashed", member.Member.WithDeath, member.CrashRestartTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, r := NewWithT(t), newHarness(t)
				r.engine.now = time.Now
				r.start()
				data := segment(1, ipv4.FlagACK, 2000, 6000, 50)
				r.engine.Register(data.Key, 102)
				first, second := agentMember("a-2", "south", 2), agentMember("a-2", "south", 2)
				second.Instance = 500
				r.node.Learn(first.WithPhase(member.Left))
				r.node.Learn(second)
				time.Sleep(time.Minute)
				r.node.Learn(c.end(second))
				time.Sleep(c.resets - time.Millisecond)
				r.fromCaller(data, 0)
				g.Expect(r.replied).To(BeEmpty(), "its next incarnation may still appear")
				time.Sleep(time.Millisecond)
				r.fromCaller(data, 0)
				g.Expect(r.replied).To(HaveLen(1))
			})
		})
	}
}

// TestInboundSYNACKDropped: a SYN-ACK that arrives from a caller's side must be dropped.
func TestInboundSYNACKDropped(t *testing.T) {
	g, r := NewWithT(t), newHarness(t)
	r.announce(func(a *Announcement) { a.StartedUnixMillis = 0; a.Sequence = 900 })
	r.fromCaller(segment(1, ipv4.FlagSYN|ipv4.FlagACK, 1, 2, 0), 0)
	g.Expect(r.delivered).To(BeEmpty())
	g.Expect(r.forwarded).To(BeEmpty())
}

func BenchmarkRelay(b *testing.B) {
	r := newHarness(new(testing.T))
	r.announce(nil)
	r.open(1)
	r.engine.deliver = func([]byte) error { return nil }
	packet := ipv4.Build(segment(1, ipv4.FlagACK, callerISN+1, serverISN+1, 1000))
	h := capsule.Header{Revision: 1, Target: r.self.Instance, Service: r.self.ServiceKey(), Origin: balancerAddress}
	b.ReportAllocs()
	for b.Loop() {
		r.engine.HandlePacket(balancerAddress, h, packet)
	}
}

// TestForwardingLimitIsMarked: a packet reaches the maximum number of hops although
// candidates are left. It must be marked, since one of them may hold the flow (benchmark
// day scale-1 of avisos-vial-grown).
func TestForwardingLimitIsMarked(t *testing.T) {
	g, r := NewWithT(t), newHarness(t)
	r.start()
	visited := make([]uint64, capsule.MaxVisited-1)
	for i := range visited {
		visited[i] = uint64(9000 + i)
	}
	r.fromCaller(segment(1, ipv4.FlagACK, 2000, 6000, 50), 0, visited...)
	g.Expect(r.forwarded).To(HaveLen(1))
	g.Expect(r.forwarded[0].kind).To(Equal(capsule.KindUnclaimed))
	g.Expect(r.forwarded[0].h.Marks.Has(capsule.MarkHopLimit)).To(BeTrue())
}

// TestJoiningAgentsComeLast: packets of an unknown flow must go first to agents that have
// already taken flows.
func TestJoiningAgentsComeLast(t *testing.T) {
	g, r := NewWithT(t), newHarness(t)
	r.start()
	for i := range 40 {
		joining := agentMember("new-"+string(rune('a'+i)), "south", 100+i)
		joining.Phase = member.Joining
		r.node.Learn(joining)
	}
	for port := range uint16(20) {
		r.clear()
		r.fromCaller(segment(port, ipv4.FlagACK, 2000, 6000, 50), 0)
		g.Expect(r.forwarded).To(HaveLen(1))
		g.Expect(r.forwarded[0].h.Target).To(BeNumerically("<", 200))
	}
}
