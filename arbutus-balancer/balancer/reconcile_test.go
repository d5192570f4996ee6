package balancer

import (
	"context"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/coordination/heartbeat"
	"arbutusfront.dev/common/coordination/member"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
)

// tableHarness is a balancer in the failure domain north that knows members in three.
type tableHarness struct {
	peers *Peers
	node  *state.Node
	// sent are the sent datagrams by recipient.
	sent map[netip.AddrPort][]*controlv1.Datagram
	// fetched are the members that the next pull returns.
	fetched []member.Member
}

func memberIn(domain, name string, role member.Role, i int) member.Member {
	m := memberOf(name, role, i)
	m.Domain = domain
	return m
}

func newTableHarness(members ...member.Member) *tableHarness {
	self := memberOf("north-1", member.Balancer, 1)
	h := &tableHarness{node: state.NewNode(self), sent: make(map[netip.AddrPort][]*controlv1.Datagram)}
	for _, m := range members {
		h.node.Table.Merge(m)
	}
	h.peers = New(h.node, heartbeat.New(self), WithSend(func(to netip.AddrPort, m *controlv1.Datagram) {
		h.sent[to] = append(h.sent[to], m)
	}), WithFetch(Fetch{Members: func(context.Context, netip.AddrPort, []uint64) ([]member.Member, error) {
		return h.fetched, nil
	}}))
	return h
}

func (h *tableHarness) gossip(sender member.Member, changes ...member.Member) {
	h.peers.Handle(sender.Packet, &controlv1.Datagram{Body: &controlv1.Datagram_Gossip{Gossip: &controlv1.Gossip{
		Sender: sender.Encode(), Changes: member.EncodeAll(changes),
	}}})
}

func (h *tableHarness) heartbeat(m member.Member) *controlv1.HeartbeatAck {
	delete(h.sent, m.Packet)
	h.peers.Handle(m.Packet, &controlv1.Datagram{Body: &controlv1.Datagram_Heartbeat{Heartbeat: &controlv1.Heartbeat{
		Member: m.Encode(),
	}}})
	for _, d := range h.sent[m.Packet] {
		if ack := d.GetHeartbeatAck(); ack != nil {
			return ack
		}
	}
	return nil
}

func (h *tableHarness) phaseOf(m member.Member) member.Phase {
	known, _ := h.node.Table.Get(m.ID())
	return known.Phase
}

// TestDeathReportedAfterCut guards against a live member that counts as dead because balancers
// which were cut off report it after the cut: agents reset its flows until it had refuted that,
// seconds later. A death must still be believed if nothing contradicts it.
func TestDeathReportedAfterCut(t *testing.T) {
	north, south := memberIn("north", "north-2", member.Balancer, 2), memberIn("south", "south-1", member.Balancer, 3)
	east, agent := memberIn("east", "east-1", member.Balancer, 4), memberIn("south", "desk-1", member.Agent, 5)
	back := east.WithVersion(east.Version + 1)
	for name, c := range map[string]struct {
		sender     member.Member
		subject    member.Member
		contactAgo time.Duration
		without    member.Member
		want       member.Phase
	}{
		"by a third failure domain":              {east, agent, 100 * time.Millisecond, member.Member{}, member.Serving},
		"by the agent's failure domain":          {south, agent, 100 * time.Millisecond, member.Member{}, member.Dead},
		"by this failure domain":                 {north, agent, 100 * time.Millisecond, member.Member{}, member.Dead},
		"no contact with the agent's domain":     {east, agent, 3 * time.Second, member.Member{}, member.Dead},
		"no balancer in the agent's domain":      {east, agent, 100 * time.Millisecond, south, member.Dead},
		"balancer, by a third failure domain":    {east, south, 100 * time.Millisecond, member.Member{}, member.Dead},
		"balancer, by one that was cut off":      {back, south, 100 * time.Millisecond, member.Member{}, member.Serving},
		"balancer, contact before it was silent": {back, south, 10 * time.Second, member.Member{}, member.Dead},
	} {
		for _, pulled := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				g := NewWithT(t)
				h := newTableHarness(north, south, east, agent)
				if c.sender == back {
					h.node.Table.Merge(east.WithDeath())
					h.heartbeat(back)
				}
				if c.without.Name != "" {
					h.node.Table.Merge(c.without.WithPhase(member.Left))
				}
				h.node.RecordContact("south", time.Now().Add(-c.contactAgo))
				if pulled {
					h.fetched = []member.Member{c.subject.WithDeath()}
					h.peers.PullMembers(t.Context(), c.sender)
				} else {
					if c.sender.Domain == "south" {
						// The message itself is contact with the failure domain.
						h.node.RecordContact("south", time.Now())
					}
					h.gossip(c.sender, c.subject.WithDeath())
				}
				g.Expect(h.phaseOf(c.subject)).To(Equal(c.want))
			})
		}
	}
}

// TestDeathOfOwnAgentIsPassedToMonitors guards against an agent that learns only seconds later
// that it counts as dead elsewhere, because the balancer that is told so gets no heartbeats of it.
func TestDeathOfOwnAgentIsPassedToMonitors(t *testing.T) {
	g := NewWithT(t)
	north, east := memberIn("north", "north-2", member.Balancer, 2), memberIn("east", "east-1", member.Balancer, 4)
	agent := memberIn("north", "desk-1", member.Agent, 5)
	h := newTableHarness(north, east, agent)
	h.gossip(east, agent.WithDeath())
	g.Expect(h.phaseOf(agent)).To(Equal(member.Serving))
	g.Expect(h.sent[north.Packet]).To(HaveLen(1))
	reported, err := member.Decode(h.sent[north.Packet][0].GetGossip().GetChanges()[0])
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reported.Phase).To(Equal(member.Dead))

	h.heartbeat(agent)
	h.gossip(east, agent.WithDeath())
	g.Expect(h.heartbeat(agent).GetDeclaredDead()).To(BeTrue(), "the agent is told, and refutes it")
}

// TestBalancerThatIsBackIsToldOfDeaths guards against members that count as dead in the other part
// of a deployment for seconds after a cut, because only a later comparison of digests shows it.
func TestBalancerThatIsBackIsToldOfDeaths(t *testing.T) {
	g := NewWithT(t)
	east, agent := memberIn("east", "east-1", member.Balancer, 4), memberIn("east", "desk-1", member.Agent, 5)
	other := memberIn("south", "desk-2", member.Agent, 6)
	h := newTableHarness(east.WithDeath(), agent.WithDeath(), other.WithDeath())
	back := east.WithVersion(east.Version + 1)
	g.Expect(h.heartbeat(back)).NotTo(BeNil())
	var deaths []string
	for _, d := range h.sent[back.Packet] {
		for _, c := range d.GetGossip().GetChanges() {
			deaths = append(deaths, c.GetName())
		}
	}
	g.Expect(deaths).To(Equal([]string{"desk-1"}), "those of its own failure domain")
	g.Expect(h.peers.pulls).To(HaveLen(1))
	g.Expect((<-h.peers.pulls).members).To(BeTrue())
	h.heartbeat(back)
	h.peers.queueFollowUps()
	g.Expect(h.peers.pulls).To(BeEmpty())
	h.peers.now = func() time.Time { return time.Now().Add(followUpDelay) }
	h.peers.queueFollowUps()
	g.Expect(h.peers.pulls).To(HaveLen(1), "members that have refuted their deaths meanwhile")
	<-h.peers.pulls
	h.peers.queueFollowUps()
	g.Expect(h.peers.pulls).To(BeEmpty(), "once")
}
