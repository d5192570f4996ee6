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

// largeDesk is the number of further agents of the desk service in the tests of this file, more than a
// packet visits.
const largeDesk = 40

// newLargeBalancer returns a balancer of newTestBalancer with largeDesk more agents, which have been there
// for longer than ending.SettleTime.
func newLargeBalancer(t *testing.T) *testBalancer {
	t.Helper()
	d := newTestBalancer(t)
	for i := range largeDesk {
		d.node.Table.Merge(agentOf("desk", "middle", i+1))
	}
	d.node.Rebuild()
	d.now = time.Now().Add(ending.SettleTime)
	return d
}

// endChain returns the packet as the last agent of desk does that has reached the hop limit, and then, if
// it is passed on to the agents of plots, as the last one of these. It returns the direct queries that the
// balancer then sends.
func (d *testBalancer) endChain(b []byte) []sentCapsule {
	d.sent = nil
	d.forwarder.HandleUnclaimed(capsule.Header{Service: capsule.KeyOf("desk"), Marks: capsule.MarkHopLimit}, b)
	if len(d.sent) == 1 && !d.sent[0].h.Marks.Has(capsule.MarkDirect) {
		d.sent = nil
		d.forwarder.HandleUnclaimed(capsule.Header{Service: capsule.KeyOf("plots")}, b)
	}
	return d.sent
}

// respond returns the packet as the agent does that got the query.
func (d *testBalancer) respond(q sentCapsule, b []byte, marks capsule.Marks) {
	d.forwarder.HandleUnclaimed(capsule.Header{
		Service: q.h.Service, Sender: q.h.Sender, Target: q.h.Target, Marks: q.h.Marks | capsule.MarkHopLimit | marks,
	}, b)
}

// TestAllAgentsAreAskedBeyondHopLimit guards against the reset of an open flow whose holder was not
// asked, because the packet had visited as many agents as it may (issue 64). It guards against a flow that
// is not reset, too, once all agents of all its services have responded.
func TestAllAgentsAreAskedBeyondHopLimit(t *testing.T) {
	g, d := NewWithT(t), newLargeBalancer(t)
	b := deskPacket(1, ipv4.FlagACK)
	g.Expect(d.forward(b).h.Visited).To(HaveLen(capsule.MaxVisited - chainHops))
	queries := d.endChain(b)
	asked := make(map[uint64]bool)
	for _, q := range queries {
		asked[q.h.Target] = true
		g.Expect(q.h.Visited).To(HaveLen(capsule.MaxVisited-1), "the agent can't pass it on")
		g.Expect(q.h.Marks.Has(capsule.MarkReportHolder)).To(BeTrue())
	}
	g.Expect(asked).To(HaveLen(largeDesk + 4*northAgents))
	for i, q := range queries {
		g.Expect(d.resets).To(BeZero(), "%d agents have responded", i)
		d.respond(q, b, 0)
		d.respond(q, b, 0)
	}
	g.Expect(d.resets).To(Equal(1))
	d.respond(queries[0], b, 0)
	g.Expect(d.resets).To(Equal(1), "the search has ended")
}

// TestFlowFoundDirectlyIsNotReset guards against the reset of a flow whose holder has reported it while
// other agents still respond.
func TestFlowFoundDirectlyIsNotReset(t *testing.T) {
	g, d := NewWithT(t), newLargeBalancer(t)
	b := deskPacket(1, ipv4.FlagACK)
	queries := d.endChain(b)
	d.forwarder.HandleHeld(capsule.Held{Key: keyOf(b), Instance: queries[0].h.Target, ServerRun: 1})
	for _, q := range queries[1:] {
		d.respond(q, b, 0)
	}
	g.Expect(d.resets).To(BeZero())
	g.Expect(d.forward(b).h.Target).To(Equal(queries[0].h.Target))
}

// TestSilentAgentIsAskedAgain guards against the reset of a flow whose holder has not responded, since its
// response was lost or it was stopped, and against a flow that is never reset for lack of a response.
func TestSilentAgentIsAskedAgain(t *testing.T) {
	g, d := NewWithT(t), newLargeBalancer(t)
	b := deskPacket(1, ipv4.FlagACK)
	queries := d.endChain(b)
	for _, q := range queries[1:] {
		d.respond(q, b, 0)
	}
	g.Expect(d.endChain(b)).To(BeEmpty(), "within repeatInterval")
	for passed := time.Duration(0); passed < ending.AnswerTime; passed += time.Second {
		d.now = d.now.Add(time.Second)
		g.Expect(d.resets).To(BeZero(), "after %v", passed)
		again := d.endChain(b)
		g.Expect(again).To(HaveLen(1))
		g.Expect(again[0].h.Target).To(Equal(queries[0].h.Target))
	}
	g.Expect(d.resets).To(Equal(1))
}

// TestNewSearchAwaitsAnswers guards against the reset of an open flow at the beginning of a search, before
// any agent has responded, because its packets have been unclaimed for long: the balancer did not know the
// latest revision, and the search before has ended.
func TestNewSearchAwaitsAnswers(t *testing.T) {
	g, d := NewWithT(t), newLargeBalancer(t)
	b := deskPacket(1, ipv4.FlagACK)
	for began := d.now; d.now.Sub(began) < ending.AnswerTime; d.now = d.now.Add(time.Second) {
		d.announceRevision()
		for _, q := range d.endChain(b) {
			d.respond(q, b, 0)
		}
	}
	queries := d.endChain(b)
	g.Expect(queries).To(HaveLen(largeDesk + 4*northAgents))
	for i, q := range queries {
		g.Expect(d.resets).To(BeZero(), "%d agents have responded", i)
		d.respond(q, b, 0)
	}
	g.Expect(d.resets).To(Equal(1))
}

// TestAgentThatEndsWhileItIsAsked guards against the reset of a flow whose holder restarts while it is
// asked, and against one that waits for an agent that is gone for good.
func TestAgentThatEndsWhileItIsAsked(t *testing.T) {
	g, d := NewWithT(t), newLargeBalancer(t)
	b := deskPacket(1, ipv4.FlagACK)
	queries := d.endChain(b)
	stopped := agentOf("desk", "middle", 1)
	dead := agentOf("desk", "middle", 2)
	for _, q := range queries {
		if q.h.Target != stopped.Instance && q.h.Target != dead.Instance {
			d.respond(q, b, 0)
		}
	}
	end := func(m member.Member) {
		d.node.Table.Merge(m)
		d.node.Rebuild()
	}
	end(stopped.WithPhase(member.Left))
	end(dead.WithDeath())
	d.now = time.Now().Add(member.CrashRestartTimeout)
	g.Expect(d.endChain(b)).To(BeEmpty())
	g.Expect(d.resets).To(BeZero(), "one agent may return")

	stopped.Instance += 100_000
	end(stopped)
	d.now = time.Now().Add(member.CrashRestartTimeout + repeatInterval)
	again := d.endChain(b)
	g.Expect(again).To(HaveLen(1))
	g.Expect(again[0].h.Target).To(Equal(stopped.Instance))
	d.respond(again[0], b, 0)
	g.Expect(d.resets).To(Equal(1))
}

// TestUncertainResponseDelaysReset guards against a reset at once although an agent that was asked
// directly may not know all flows of its backend server.
func TestUncertainResponseDelaysReset(t *testing.T) {
	g, d := NewWithT(t), newLargeBalancer(t)
	b := deskPacket(1, ipv4.FlagACK)
	ask := func() {
		for i, q := range d.endChain(b) {
			marks := capsule.Marks(0)
			if i == 0 {
				marks = capsule.MarkUncertain
			}
			d.respond(q, b, marks)
		}
	}
	ask()
	g.Expect(d.resets).To(BeZero())
	d.now = d.now.Add(ending.ResetDelay)
	ask()
	g.Expect(d.resets).To(Equal(1))
}

// TestHolderListedElsewhereIsAsked guards against a search that never ends because an agent passes the
// query on to the one that its directory lists as the holder.
func TestHolderListedElsewhereIsAsked(t *testing.T) {
	g, d := NewWithT(t), newLargeBalancer(t)
	b := deskPacket(1, ipv4.FlagACK)
	queries := d.endChain(b)
	listed := queries[len(queries)-1]
	for _, q := range queries[:len(queries)-2] {
		d.respond(q, b, 0)
	}
	g.Expect(d.resets).To(BeZero())
	listed.h.Sender = queries[len(queries)-2].h.Target
	d.respond(listed, b, 0)
	g.Expect(d.resets).To(Equal(1))
}

// TestOtherServiceIsQueriedFirst guards against direct queries to all agents for a flow that the directory
// replicas of another service know: the weights of its route have changed since it was opened.
func TestOtherServiceIsQueriedFirst(t *testing.T) {
	g, d := NewWithT(t), newLargeBalancer(t)
	d.forwarder.HandleUnclaimed(
		capsule.Header{Service: capsule.KeyOf("desk"), Marks: capsule.MarkHopLimit}, deskPacket(1, ipv4.FlagACK))
	g.Expect(d.sent).To(HaveLen(1))
	g.Expect(d.sent[0].h.Service).To(Equal(capsule.KeyOf("plots")))
	g.Expect(d.sent[0].h.Marks.Has(capsule.MarkDirect)).To(BeFalse())
}

// TestSmallServiceEndsNoDirectSearch guards against a reset because the caller's next packet was returned by
// all agents of a small service, while agents of a large one have not responded.
func TestSmallServiceEndsNoDirectSearch(t *testing.T) {
	g, d := NewWithT(t), newLargeBalancer(t)
	b := deskPacket(1, ipv4.FlagACK)
	d.endChain(b)
	for range 4 {
		d.now = d.now.Add(200 * time.Millisecond)
		d.forwarder.HandleUnclaimed(capsule.Header{Service: capsule.KeyOf("plots")}, b)
	}
	g.Expect(d.resets).To(BeZero())
}

// TestAgentWithPartOfTheMembersEndsNoSearch guards against a reset because an agent that has just started,
// and knows few others, returns a packet as if all had been visited.
func TestAgentWithPartOfTheMembersEndsNoSearch(t *testing.T) {
	g, d := NewWithT(t), newLargeBalancer(t)
	for _, service := range []string{"desk", "plots"} {
		d.forwarder.HandleUnclaimed(capsule.Header{Service: capsule.KeyOf(service)}, deskPacket(1, ipv4.FlagACK))
	}
	g.Expect(d.resets).To(BeZero())
	g.Expect(len(d.sent)).To(BeNumerically(">", largeDesk))
}

// TestAgentThatJoinsDuringSearchIsAsked guards against the reset of a flow whose holder became known, or came
// back, after the search for it had begun.
func TestAgentThatJoinsDuringSearchIsAsked(t *testing.T) {
	g, d := NewWithT(t), newLargeBalancer(t)
	b := deskPacket(1, ipv4.FlagACK)
	queries := d.endChain(b)
	for _, q := range queries[1:] {
		d.respond(q, b, 0)
	}
	joined := agentOf("desk", "middle", largeDesk+1)
	d.node.Table.Merge(joined)
	d.node.Rebuild()
	d.now = time.Now().Add(2 * time.Second)
	d.sent = nil
	d.respond(queries[0], b, 0)
	g.Expect(d.resets).To(BeZero())
	g.Expect(d.sent).To(HaveLen(1))
	g.Expect(d.sent[0].h.Target).To(Equal(joined.Instance))
	d.respond(d.sent[0], b, 0)
	g.Expect(d.resets).To(Equal(1))
}

// TestFlowsBeyondBudgetAreNotReset guards against the reset of flows whose agents were not asked, because
// the balancer knows none of very many flows and its queries are bounded.
func TestFlowsBeyondBudgetAreNotReset(t *testing.T) {
	g, d := NewWithT(t), newLargeBalancer(t)
	const flows = 200
	for passed := time.Duration(0); passed < ending.AnswerTime+2*time.Second; passed += time.Second {
		for port := range uint16(flows) {
			d.endChain(deskPacket(port, ipv4.FlagACK))
		}
		if passed < ending.AnswerTime {
			g.Expect(d.resets).To(BeZero(), "after %v", passed)
		}
		d.now = d.now.Add(time.Second)
	}
	g.Expect(d.resets).To(BeNumerically("<", flows/2), "most flows have not been asked for")
}

// TestDirectQueriesAreBounded guards against a balancer that floods agents with queries when it knows none
// of many flows that have ended, and against flows that are not reset after that.
func TestDirectQueriesAreBounded(t *testing.T) {
	g, d := NewWithT(t), newLargeBalancer(t)
	const flows = 60
	resetAll := func() (sent int) {
		for port := range uint16(flows) {
			b := deskPacket(port, ipv4.FlagACK)
			queries := d.endChain(b)
			sent += len(queries)
			for _, q := range queries {
				d.sent = nil
				d.respond(q, b, 0)
				sent += len(d.sent)
			}
		}
		return sent
	}
	g.Expect(resetAll()).To(BeNumerically("<=", maxQueries))
	g.Expect(d.resets).To(And(BeNumerically(">", 0), BeNumerically("<", flows)))
	for range 4 {
		d.now = d.now.Add(200 * time.Millisecond)
		g.Expect(resetAll()).To(BeNumerically("<=", maxQueries))
	}
	g.Expect(d.resets).To(BeNumerically(">=", flows))

	repeated := 0
	for port := range uint16(2 * flows) {
		d.now = d.now.Add(queryWindow)
		d.endChain(deskPacket(1000+port, ipv4.FlagACK))
	}
	d.now = d.now.Add(queryWindow)
	for port := range uint16(2 * flows) {
		repeated += len(d.endChain(deskPacket(1000+port, ipv4.FlagACK)))
	}
	g.Expect(repeated).To(BeNumerically("<=", maxQueries), "agents that do not respond are asked again")
}

// TestAllAgentsAreAskedWithoutConfiguration guards against a flow that stalls until the store is reachable
// again, after all processes were killed: a packet visits only some of the agents, one after the other.
func TestAllAgentsAreAskedWithoutConfiguration(t *testing.T) {
	g, d := NewWithT(t), newUnconfigured(t)
	for i := range largeDesk {
		d.node.Table.Merge(agentOf("desk", "middle", i+1))
	}
	d.node.Rebuild()
	b := deskPacket(1, ipv4.FlagACK)
	visited := make([]uint64, capsule.MaxVisited)
	d.forwarder.HandleUnclaimed(capsule.Header{Service: capsule.KeyOf("desk"), Visited: visited}, b)
	g.Expect(d.sent).To(HaveLen(largeDesk + 4*northAgents))
	for _, q := range d.sent {
		d.respond(q, b, 0)
	}
	g.Expect(d.resets).To(BeZero(), "an agent that is not known yet may hold the flow")
}

func BenchmarkSearchDirectly(b *testing.B) {
	d := newLargeBalancer(new(testing.T))
	packet := deskPacket(1, ipv4.FlagACK)
	b.ReportAllocs()
	for b.Loop() {
		d.now = d.now.Add(time.Second)
		d.endChain(packet)
		d.forwarder.placement.endSearch(keyOf(packet))
	}
}
