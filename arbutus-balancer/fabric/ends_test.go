package fabric

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/ipv4"
)

const (
	// serverKnownAfter is how long an agent of the model runs before it knows its backend server.
	serverKnownAfter = 200 * time.Millisecond
	// maxLag is how much later than its agent's end a process of the model may be back, less than
	// the time for which it counts as away.
	maxLag = 100 * time.Millisecond
	// retransmitTime is after how long a caller of the model repeats a packet.
	retransmitTime = 200 * time.Millisecond
)

// restartModel is a balancer without a memory of a flow, and agents that restart. The first agent is
// the holder's.
type restartModel struct {
	*testBalancer

	agents []member.Member
	// backAt is when each agent that is away returns, and startedAt when each last did.
	backAt, startedAt []time.Time
}

func newRestartModel(t *testing.T) *restartModel {
	t.Helper()
	m := &restartModel{testBalancer: newTestBalancer(t)}
	m.forwarder.placement.now = time.Now
	for i := range northAgents {
		m.agents = append(m.agents, agentOf("desk", "north", i+1), agentOf("desk", "far-south", i+1))
	}
	m.backAt, m.startedAt = make([]time.Time, len(m.agents)), make([]time.Time, len(m.agents))
	return m
}

// end ends an agent that is not away, for good or until it returns after the given time.
func (m *restartModel) end(i int, ended member.Member, returns bool, after time.Duration) {
	if !m.backAt[i].IsZero() {
		return
	}
	m.backAt[i] = time.Now().Add(after)
	if !returns {
		m.backAt[i] = time.Now().Add(time.Hour)
	}
	m.node.Table.Merge(ended)
	m.node.Rebuild()
}

// pass lets time pass, in which agents return.
func (m *restartModel) pass(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(min(10*time.Millisecond, time.Until(end)))
		for i, at := range m.backAt {
			if at.IsZero() || at.After(time.Now()) {
				continue
			}
			m.agents[i].Instance += 10_000
			m.backAt[i], m.startedAt[i] = time.Time{}, time.Now()
			m.node.Table.Merge(m.agents[i])
			m.node.Rebuild()
		}
	}
}

// send passes a packet of the flow to all agents that are there, and to the balancer if none claims
// it. An agent that does not know its backend server yet returns it as uncertain.
func (m *restartModel) send(held bool) {
	marks := capsule.Marks(0)
	for i, at := range m.backAt {
		switch knows := time.Since(m.startedAt[i]) >= serverKnownAfter; {
		case !at.IsZero():
		case !knows:
			marks |= capsule.MarkUncertain
		case i == 0 && held:
			return
		}
	}
	for _, service := range []string{"desk", "plots"} {
		m.forwarder.HandleUnclaimed(
			capsule.Header{Service: capsule.KeyOf(service), Marks: marks}, packetOf(1, splitEndpoint, ipv4.FlagACK, 1))
	}
}

// step is what the model does: agents end, a packet arrives, and time passes.
type step struct {
	ends  []endOfAgent
	pause time.Duration
}

// endOfAgent is the end of an agent that returns after a share of the time for which it counts as
// away.
type endOfAgent struct {
	agent   int
	crashes bool
	share   float64
}

func drawSteps(t *rapid.T) []step {
	steps := make([]step, rapid.IntRange(1, 25).Draw(t, "steps"))
	for i := range steps {
		steps[i].pause = time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause"))
		steps[i].ends = make([]endOfAgent, rapid.IntRange(0, 3).Draw(t, "ends"))
		for j := range steps[i].ends {
			steps[i].ends[j] = endOfAgent{
				agent:   rapid.IntRange(0, 2*northAgents-1).Draw(t, "agent"),
				crashes: rapid.Bool().Draw(t, "crashes"), share: rapid.Float64Range(0, 1).Draw(t, "share"),
			}
		}
	}
	return steps
}

// play plays the steps while the holder's backend server holds the flow. Then the holder ends for
// good, and callers repeat a packet until the flow is reset. It returns the resets before that, and
// how long it took.
func (m *restartModel) play(steps []step) (resets int, ended time.Duration) {
	m.pass(time.Second)
	for _, s := range steps {
		for _, e := range s.ends {
			record, timeout := m.agents[e.agent].WithPhase(member.Left), member.PlannedRestartTimeout
			if e.crashes {
				record, timeout = m.agents[e.agent].WithDeath(), member.CrashRestartTimeout
			}
			m.end(e.agent, record, true, time.Duration(e.share*float64(timeout-maxLag)))
		}
		m.send(true)
		m.pass(s.pause)
	}
	resets = m.resets
	m.pass(member.PlannedRestartTimeout)
	m.resets = 0
	m.end(0, m.agents[0].WithDeath(), false, 0)
	gone := time.Now()
	for m.resets == 0 && time.Since(gone) < time.Minute {
		m.send(false)
		m.pass(retransmitTime)
	}
	return resets, time.Since(gone)
}

// TestRestartsAndUnknownFlows guards against the reset of a flow whose holder lives, whatever the order
// in which agents restart, and against one that is not reset in time after its holder has gone.
func TestRestartsAndUnknownFlows(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		var resets int
		var ended time.Duration
		synctest.Test(t, func(t *testing.T) { resets, ended = newRestartModel(t).play(steps) })
		g := NewWithT(rt)
		g.Expect(resets).To(BeZero(), "the holder lives")
		g.Expect(ended).To(BeNumerically("<=", member.CrashRestartTimeout+2*retransmitTime))
	})
}
