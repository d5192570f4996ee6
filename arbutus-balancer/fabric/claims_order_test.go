package fabric

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/ipv4"
)

// claimModel is a balancer and one flow, copies of whose SYN have reached several agents. The caller has
// accepted the SYN-ACK of one of them, the holder.
type claimModel struct {
	*testBalancer

	agents []member.Member
	holder int
	runs   []uint64
	// late are reports that have not arrived yet.
	late []capsule.Held
}

func newClaimModel(t *testing.T, holder int) *claimModel {
	t.Helper()
	m := &claimModel{testBalancer: newTestBalancer(t), holder: holder}
	for i := range northAgents {
		m.agents = append(m.agents, m.announceRun(agentOf("desk", "north", i+1), firstRun))
		m.runs = append(m.runs, firstRun)
	}
	return m
}

// acceptedBy returns the acknowledgment number that accepts the agent's SYN-ACK.
func (m *claimModel) acceptedBy(agent int) uint32 {
	return uint32(accepted + 1_000_000*((agent-m.holder+northAgents)%northAgents))
}

// claim returns an agent's report on its SYN-ACK, or on a packet of the flow.
func (m *claimModel) claim(agent int, handshaking bool) capsule.Held {
	return capsule.Held{
		Key: keyOf(packetOf(1, splitEndpoint, ipv4.FlagACK, 1)), Instance: m.agents[agent].Instance,
		ServerRun: m.runs[agent], Handshaking: handshaking, Acknowledgment: m.acceptedBy(agent),
	}
}

// packet passes a packet of the caller to the balancer, and returns the agent that it is forwarded to.
// If the balancer asks who holds the flow, the holder's report is late too.
func (m *claimModel) packet() member.Member {
	c := m.forward(packetOf(1, splitEndpoint, ipv4.FlagACK, 1))
	if c.h.Marks.Has(capsule.MarkReportHolder) {
		m.late = append(m.late, m.claim(m.holder, false))
	}
	for _, a := range m.agents {
		if a.Packet == c.to {
			return a
		}
	}
	return member.Member{}
}

// deliver passes a late report to the balancer, and repeats it later if again is set.
func (m *claimModel) deliver(i int, again bool) {
	h := m.late[i]
	if !again {
		m.late = append(m.late[:i], m.late[i+1:]...)
	}
	m.forwarder.HandleHeld(h)
}

// restart makes the backend server beside an agent restart, and the agent announce it.
func (m *claimModel) restart(agent int) {
	m.runs[agent] += secondRun
	m.agents[agent] = m.announceRun(m.agents[agent], m.runs[agent])
	m.forwarder.resetFlowsOfEndedRuns()
}

// TestClaimsInAnyOrder guards against a holder that depends on the order in which reports and packets
// arrive, late or twice: while backend servers restart that do not hold the flow, it is not reset. Once a
// packet and the report that it asked for have arrived, the balancer knows the holder, and resets the flow
// when that one's backend server restarts.
func TestClaimsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		m := newClaimModel(t, rapid.IntRange(0, northAgents-1).Draw(rt, "holder"))
		m.forward(packetOf(1, splitEndpoint, ipv4.FlagSYN, synSequence))
		for i := range m.agents {
			m.late = append(m.late, m.claim(i, true))
		}
		for range rapid.IntRange(0, 25).Draw(rt, "steps") {
			switch step := rapid.IntRange(0, 9).Draw(rt, "step"); {
			case step < 5 && len(m.late) > 0:
				m.deliver(rapid.IntRange(0, len(m.late)-1).Draw(rt, "report"), rapid.Bool().Draw(rt, "again"))
			case step < 7:
				m.packet()
			case step < 8:
				m.now = m.now.Add(reportTimeout)
				m.forward(packetOf(1, splitEndpoint, ipv4.FlagSYN, synSequence))
			default:
				if a := rapid.IntRange(0, northAgents-1).Draw(rt, "restarted"); a != m.holder {
					m.restart(a)
				}
			}
			g.Expect(m.resets).To(BeZero())
		}
		m.packet()
		for len(m.late) > 0 {
			m.deliver(0, false)
		}
		g.Expect(m.packet().Name).To(Equal(m.agents[m.holder].Name))
		g.Expect(m.late).To(BeEmpty(), "the holder is certain")
		m.now = m.now.Add(announcementTime)
		m.restart(m.holder)
		g.Expect(m.resets).To(Equal(1))
	})
}
