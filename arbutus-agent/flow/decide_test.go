package flow

import (
	"context"
	"net/netip"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/state/admission"
	"arbutusfront.dev/common/state/feature"
)

// waitingPort is the port of a SYN that is sent after the backend server's slots are taken.
const waitingPort = 100

// TestWaitingSYNsAreAdmitted guards against SYNs that wait although the backend server has become
// free, and against more flows at the backend server than it can work on.
func TestWaitingSYNsAreAdmitted(t *testing.T) {
	runDecisions(t, []config.RequestClass{quick}, func(d *decisions) {
		d.fill(quick)
		for i := range uint16(4) {
			d.send(d.header(quick), waitingPort+i, firstSYN)
		}
		d.g.Expect(d.waiting()).To(Equal(4))
		d.g.Expect(d.engine.Load().Requests).To(Equal(admittedAtOnce + 4))
		d.g.Expect(d.dials()).To(Equal(admittedAtOnce), "the backend server is not dialed for SYNs that wait")
		time.Sleep(quick.TargetLatency())
		d.g.Expect(d.waiting()).To(BeZero())
		for i := range uint16(4) {
			d.g.Expect(d.wasAccepted(waitingPort+i)).To(BeTrue(), "port %d", waitingPort+i)
		}
		d.g.Expect(d.engine.Load().Requests).To(BeZero())
		d.g.Expect(d.resets()).To(BeEmpty())
		d.g.Expect(d.offers()).To(BeEmpty())
	})
}

// TestAnswerOnOpenFlowAdmitsWaiting guards against SYNs that wait until a flow ends, although the
// answer to its request has freed a slot: callers may keep their flows open.
func TestAnswerOnOpenFlowAdmitsWaiting(t *testing.T) {
	runDecisions(t, []config.RequestClass{quick}, func(d *decisions) {
		d.work = time.Minute
		d.fill(quick)
		d.send(d.header(quick), waitingPort, firstSYN)
		d.g.Expect(d.waiting()).To(Equal(1))
		for _, f := range d.engine.flows {
			d.engine.requestAnswered(f)
			break
		}
		time.Sleep(2 * handshakeTime)
		d.g.Expect(d.wasAccepted(waitingPort)).To(BeTrue())
		d.g.Expect(d.engine.Flows()).To(Equal(admittedAtOnce + 1))
	})
}

// TestRefusedFlowIsOfferedOnce guards against a refusal that is repeated at many agents, one that
// comes after the backend server was dialed, and one without a RST.
func TestRefusedFlowIsOfferedOnce(t *testing.T) {
	runDecisions(t, []config.RequestClass{quick}, func(d *decisions) {
		d.fill(quick)
		port := uint16(waitingPort)
		for ; len(d.offers()) == 0; port++ {
			d.g.Expect(port).To(BeNumerically("<", waitingPort+50), "the queue must have a limit")
			d.send(d.header(quick), port, firstSYN)
		}
		offered := d.offers()[0]
		d.g.Expect(offered.Visited).To(Equal([]uint64{selfInstance}))
		d.g.Expect(offered.Class).To(Equal(d.header(quick).Class))
		d.g.Expect(offered.Marks).To(BeZero())

		h := d.header(quick)
		h.Visited = []uint64{selfInstance + 1}
		d.send(h, port, firstSYN)
		d.g.Expect(d.resets()).To(Equal([]uint16{port}), "two agents have refused the flow")
		h.Visited = []uint64{loadChoiceInstance}
		d.send(h, port+1, firstSYN)
		d.g.Expect(d.offers()).To(HaveLen(2), "an agent that has chosen by load has not refused the flow")
		d.g.Expect(d.dials()).To(Equal(admittedAtOnce))
	})
}

// TestWaitingSYNIsNotAnsweredLate guards against a SYN that is answered after its caller has sent a
// copy which may have reached another agent: neither a SYN-ACK nor a RST may follow then.
func TestWaitingSYNIsNotAnsweredLate(t *testing.T) {
	for _, test := range []struct {
		name string
		// copyAfter is after how long a copy of the SYN arrives here; 0 for none.
		copyAfter, freeAfter time.Duration
		marks                capsule.Marks
		answered             bool
	}{
		{"in time", 0, synOwnership - 50*time.Millisecond, 0, true},
		{"too late", 0, synOwnership + time.Millisecond, 0, false},
		{"after a copy", 500 * time.Millisecond, synOwnership + time.Millisecond, 0, true},
		{"handed over, in time", 0, synOwnership - maxHandoverAge - 50*time.Millisecond, capsule.MarkBusy, true},
		{"handed over, too late", 0, synOwnership - maxHandoverAge + time.Millisecond, capsule.MarkBusy, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			runDecisions(t, []config.RequestClass{patient}, func(d *decisions) {
				d.work = time.Minute
				d.fill(patient)
				h := d.header(patient)
				h.Marks = test.marks
				d.send(h, waitingPort, firstSYN)
				d.g.Expect(d.waiting()).To(Equal(1))
				if test.copyAfter > 0 {
					time.Sleep(test.copyAfter)
					d.send(d.header(patient), waitingPort, firstSYN)
					d.g.Expect(d.waiting()).To(Equal(1))
				}
				time.Sleep(test.freeAfter - test.copyAfter)
				d.free()
				d.g.Expect(d.wasAccepted(waitingPort)).To(Equal(test.answered))
				d.g.Expect(d.waiting()).To(BeZero())
				d.g.Expect(d.resets()).To(BeEmpty())
				d.g.Expect(d.offers()).To(BeEmpty())
			})
		})
	}
}

// TestSlowDialIsNotAnsweredLate guards against a SYN-ACK after a dial that has taken so long that
// the caller may have opened the flow elsewhere. A copy that arrives here shows that it has not.
func TestSlowDialIsNotAnsweredLate(t *testing.T) {
	for _, copied := range []bool{false, true} {
		runDecisions(t, []config.RequestClass{patient}, func(d *decisions) {
			d.dialDelay = synOwnership + 50*time.Millisecond
			d.send(d.header(patient), waitingPort, firstSYN)
			if copied {
				time.Sleep(synOwnership / 2)
				d.send(d.header(patient), waitingPort, firstSYN)
			}
			time.Sleep(synOwnership + d.dialDelay + d.work)
			d.g.Expect(d.dials()).To(Equal(1))
			d.g.Expect(d.wasAccepted(waitingPort)).To(Equal(copied))
			d.g.Expect(d.closes()).To(Equal(1))
			d.g.Expect(d.engine.Load().Requests).To(BeZero())
			d.g.Expect(d.resets()).To(BeEmpty())
		})
	}
}

// TestFailedDialHandsOver guards against a flow whose age is lost when it goes to another agent
// after a dial that took long, and against one that is handed over again and again.
func TestFailedDialHandsOver(t *testing.T) {
	for _, test := range []struct {
		delay     time.Duration
		marks     capsule.Marks
		offered   int
		wantMarks capsule.Marks
		reset     int
	}{
		{time.Millisecond, 0, 1, 0, 0},
		{100 * time.Millisecond, 0, 1, capsule.MarkBusy, 0},
		{time.Millisecond, capsule.MarkBusy, 0, 0, 1},
		{maxHandoverAge + time.Millisecond, 0, 0, 0, 1},
		{synOwnership + time.Millisecond, 0, 0, 0, 0},
	} {
		runDecisions(t, []config.RequestClass{patient}, func(d *decisions) {
			d.dialDelay, d.dialErr = test.delay, syscall.ECONNREFUSED
			h := d.header(patient)
			h.Marks = test.marks
			d.send(h, waitingPort, firstSYN)
			time.Sleep(test.delay + time.Millisecond)
			d.g.Expect(d.offers()).To(HaveLen(test.offered), "%+v", test)
			d.g.Expect(d.resets()).To(HaveLen(test.reset), "%+v", test)
			d.g.Expect(d.engine.Load().Requests).To(BeZero(), "%+v", test)
			if test.offered > 0 {
				d.g.Expect(d.offers()[0].Marks).To(Equal(test.wantMarks))
			}
		})
	}
}

// TestLeavingAgentHandsOverWaitingSYNs guards against SYNs that wait at an agent which takes no new
// flows any more, and against an agent that answers one handed over to it too late, because it does
// not know that the SYN has waited before.
func TestLeavingAgentHandsOverWaitingSYNs(t *testing.T) {
	for _, test := range []struct {
		name    string
		waited  time.Duration
		marks   capsule.Marks
		offered bool
	}{
		{"young", 100 * time.Millisecond, 0, true},
		{"old", maxHandoverAge + time.Millisecond, 0, false},
		{"handed over before", 100 * time.Millisecond, capsule.MarkBusy, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			runDecisions(t, []config.RequestClass{patient}, func(d *decisions) {
				d.work = time.Minute
				d.fill(patient)
				h := d.header(patient)
				h.Marks, h.Visited = test.marks, nil
				d.send(h, waitingPort, firstSYN)
				time.Sleep(test.waited)
				d.setPhase(member.Leaving)
				d.engine.Leave()
				d.g.Expect(d.waiting()).To(BeZero())
				d.g.Expect(d.wasAccepted(waitingPort)).To(BeFalse())
				if !test.offered {
					d.g.Expect(d.resets()).To(Equal([]uint16{waitingPort}))
					d.g.Expect(d.offers()).To(BeEmpty())
					return
				}
				d.g.Expect(d.resets()).To(BeEmpty())
				d.g.Expect(d.offers()).To(HaveLen(1))
				offered := d.offers()[0]
				d.g.Expect(offered.Visited).To(Equal([]uint64{selfInstance}))
				d.g.Expect(offered.Class).To(Equal(h.Class))
				d.g.Expect(offered.Marks).To(Equal(capsule.MarkBusy))
			})
		})
	}
}

// TestPausedAgentDropsWaitingSYNs guards against a leaving agent that hands over or resets SYNs
// after a pause in which their callers may have opened the flows elsewhere.
func TestPausedAgentDropsWaitingSYNs(t *testing.T) {
	runDecisions(t, []config.RequestClass{patient}, func(d *decisions) {
		d.work = time.Minute
		d.fill(patient)
		d.send(d.header(patient), waitingPort, firstSYN)
		time.Sleep(synOwnership + time.Millisecond)
		d.setPhase(member.Leaving)
		d.engine.Leave()
		d.g.Expect(d.waiting()).To(BeZero())
		d.g.Expect(d.resets()).To(BeEmpty())
		d.g.Expect(d.offers()).To(BeEmpty())
	})
}

// TestNewConnectionEndsWait guards against a SYN-ACK for a SYN whose caller has started another
// connection from the same port since.
func TestNewConnectionEndsWait(t *testing.T) {
	runDecisions(t, []config.RequestClass{patient}, func(d *decisions) {
		d.work = time.Minute
		d.fill(patient)
		d.send(d.header(patient), waitingPort, firstSYN)
		d.send(d.header(patient), waitingPort, firstSYN+1)
		d.free()
		d.g.Expect(d.acceptedSYN(waitingPort)).To(Equal(uint32(firstSYN + 1)))
		d.g.Expect(d.dials()).To(Equal(admittedAtOnce + 1))
		d.g.Expect(d.waiting()).To(BeZero())
	})
}

// TestLimiterAppliesFirst guards against flows beyond the limits of cold start that wait or are
// admitted because the queue has room: they go to other agents at once, as without classes.
func TestLimiterAppliesFirst(t *testing.T) {
	runDecisions(t, []config.RequestClass{quick}, func(d *decisions) {
		d.engine.backend.Limiter.Configure(
			config.BackendClass{Slots: decisionSlots, Connections: 1000},
			config.ColdStart{Connections: 1, NewPerSecond: newPerSecond, WarmAfterConnections: 100},
		)
		d.send(d.header(quick), 1, firstSYN)
		d.send(d.header(quick), 2, firstSYN)
		d.g.Expect(d.waiting()).To(BeZero())
		d.g.Expect(d.offers()).To(HaveLen(1))
		d.g.Expect(d.engine.Flows()).To(Equal(1))
	})
	runDecisions(t, []config.RequestClass{quick}, func(d *decisions) {
		d.fill(quick)
		d.engine.backend.Limiter.Configure(
			config.BackendClass{Slots: decisionSlots, Connections: admittedAtOnce},
			config.ColdStart{Connections: 1000, NewPerSecond: newPerSecond, WarmAfterConnections: 1},
		)
		d.send(d.header(quick), waitingPort, firstSYN)
		d.g.Expect(d.waiting()).To(BeZero())
		d.g.Expect(d.offers()).To(HaveLen(1))
	})
}

// TestNoSYNWaitsInVain guards against SYNs that wait although their callers are expected to repeat
// them before their turn.
func TestNoSYNWaitsInVain(t *testing.T) {
	runDecisions(t, []config.RequestClass{patient}, func(d *decisions) {
		d.work = time.Minute
		d.fill(patient)
		for i := uint16(0); len(d.offers()) == 0; i++ {
			d.g.Expect(i).To(BeNumerically("<", 50), "the queue must have a limit")
			d.send(d.header(patient), waitingPort+i, firstSYN)
		}
		// Until the first answer, a request is assumed to take a tenth of its target latency.
		oneMore := patient.TargetLatency() / 10 / decisionSlots
		wait := d.engine.queue.Decide(time.Now(), admission.Request{Class: d.header(patient).Class}).Wait
		d.g.Expect(wait).To(BeNumerically(">", synOwnership))
		d.g.Expect(wait).To(BeNumerically("<=", synOwnership+oneMore))
	})
}

// TestNothingWaitsByCounts guards against a deployment without request classes, or without the
// feature, that is served differently than before: the limiter alone decides.
func TestNothingWaitsByCounts(t *testing.T) {
	const flows = 100
	run := func(d *decisions) {
		for i := range uint16(flows) {
			d.send(d.header(quick), 1+i, firstSYN)
		}
		time.Sleep(2 * handshakeTime)
		d.g.Expect(d.engine.Flows()).To(Equal(flows))
		d.g.Expect(d.waiting()).To(BeZero())
		d.g.Expect(d.offers()).To(BeEmpty())
		d.g.Expect(d.engine.Load().Requests).To(Equal(flows))
	}
	runDecisions(t, nil, run)
	runDecisions(t, []config.RequestClass{quick}, run, Without(feature.Set{}.With(feature.AdmissionByTime)))
}

// TestClassesRemovedWhileSYNsWait guards against SYNs that wait forever after a change of the
// configuration by which flows are no longer admitted by time.
func TestClassesRemovedWhileSYNsWait(t *testing.T) {
	runDecisions(t, []config.RequestClass{quick}, func(d *decisions) {
		ctx, cancel := context.WithCancel(context.Background())
		done := d.engine.Run(ctx)
		d.work = time.Minute
		d.fill(quick)
		d.send(d.header(quick), waitingPort, firstSYN)
		d.g.Expect(d.waiting()).To(Equal(1))
		d.adopt(2, nil)
		time.Sleep(checkInterval + time.Millisecond)
		synctest.Wait()
		d.g.Expect(d.waiting()).To(BeZero())
		d.g.Expect(d.offers()).To(HaveLen(1))
		cancel()
		d.g.Expect(<-done).To(Succeed())
	})
}

// TestQueueIsCheckedWhileSYNsWait guards against SYNs that are not refused while the backend server
// answers nothing: their callers must learn of it while they can still retry in time.
func TestQueueIsCheckedWhileSYNsWait(t *testing.T) {
	runDecisions(t, []config.RequestClass{quick}, func(d *decisions) {
		ctx, cancel := context.WithCancel(context.Background())
		done := d.engine.Run(ctx)
		d.work = time.Minute
		d.fill(quick)
		d.send(d.header(quick), waitingPort, firstSYN)
		d.g.Expect(d.waiting()).To(Equal(1))
		time.Sleep(quick.Timeout())
		d.g.Expect(d.waiting()).To(BeZero())
		d.g.Expect(d.resets()).To(Equal([]uint16{waitingPort}))
		cancel()
		d.g.Expect(<-done).To(Succeed())
	})
}

// TestRouteAddressIsServed guards against flows to the address of a route that the agent drops,
// because it is not the service's own: routes could not compete for backend servers then.
func TestRouteAddressIsServed(t *testing.T) {
	runDecisions(t, []config.RequestClass{quick, patient}, func(d *decisions) {
		d.engine.HandlePacket(netip.AddrPort{}, d.header(patient), synForRoute())
		time.Sleep(2 * handshakeTime)
		d.g.Expect(d.wasAccepted(waitingPort)).To(BeTrue())
	})
}

// TestRouteAddressOfOlderRevision guards against a flow that reaches a backend server of a service
// to which its address does not belong any more, because a balancer has an older revision.
func TestRouteAddressOfOlderRevision(t *testing.T) {
	runDecisions(t, []config.RequestClass{quick, patient}, func(d *decisions) {
		older := d.header(patient)
		d.adopt(older.Revision+1, []config.RequestClass{quick, patient})
		d.engine.HandlePacket(netip.AddrPort{}, older, synForRoute())
		time.Sleep(2 * handshakeTime)
		d.g.Expect(d.wasAccepted(waitingPort)).To(BeFalse())
		d.send(older, waitingPort, firstSYN)
		time.Sleep(2 * handshakeTime)
		d.g.Expect(d.wasAccepted(waitingPort)).To(BeTrue(), "the service's own address was not served")
	})
}

// synForRoute returns a SYN for an address that is not the service's own.
func synForRoute() []byte {
	return ipv4.Build(ipv4.Segment{
		Key: ipv4.FlowKey{
			Caller: netip.AddrPortFrom(sampleCaller, waitingPort), Service: netip.MustParseAddrPort("10.80.0.9:81"),
		},
		Flags: ipv4.FlagSYN, Sequence: firstSYN,
	})
}
