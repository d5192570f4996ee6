package agent

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/arbutus-agent/state"
	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/coordination/peer"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/state/load"
)

const (
	// searchAgents is the number of agents that are asked, beside the one that searches.
	searchAgents = 40
	sequence     = 7
	oneWay       = 5 * time.Millisecond
	// silentAgent is the instance of an agent that does not answer at times.
	silentAgent = 9
)

// searchers are an agent that searches, and others whose answers are fakes.
type searchers struct {
	g     *WithT
	peers *Peers
	node  *state.Node

	mu sync.Mutex
	// holder holds all flows if it is not 0. silent is set while silentAgent doesn't answer.
	holder uint64
	silent bool
	// lastSequence is that of the last search.
	lastSequence uint64
	// sent counts the messages to each agent.
	sent  map[uint64]int
	found map[ipv4.FlowKey]uint64
	ended map[ipv4.FlowKey]bool
}

func memberOf(instance uint64) member.Member {
	return member.Member{
		Name: fmt.Sprint("desk-", instance), Role: member.Agent, Domain: "a", Service: "desk", Instance: instance,
		Version: 1, Phase: member.Serving,
		Packet: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(instance)}), 7002),
	}
}

func runSearchers(t *testing.T, run func(s *searchers)) {
	t.Helper()
	runSearchersAs(t, memberOf(1), run)
}

// runSearchersAs is runSearchers with another incarnation of the agent that searches.
func runSearchersAs(t *testing.T, self member.Member, run func(s *searchers)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &searchers{
			g: NewWithT(t), node: state.NewNode(self), sent: make(map[uint64]int),
			found: make(map[ipv4.FlowKey]uint64), ended: make(map[ipv4.FlowKey]bool),
		}
		v := peer.View{
			Revision: config.Order{Number: 1},
			Config: config.View{
				Service: config.Service{Name: "desk"}, Domains: []config.Domain{{Name: "a", State: config.DomainIn}},
			},
		}
		for i := range uint64(searchAgents + 1) {
			v.Members = append(v.Members, memberOf(i+1))
		}
		s.node.Adopt(v)
		s.peers = New(s.node, WithSelf(func() member.Member { return self }), WithSend(s.send))
		s.peers.SetEngineHooks(EngineHooks{
			ProbeCallersOf: func(uint64) int { return 0 },
			Held:           func() []ipv4.FlowKey { return nil },
			Load:           func() load.Load { return load.Load{} },
			Claims: func(_ ipv4.FlowKey, numbers, acknowledgment uint32) bool {
				return numbers == sequence && acknowledgment == sequence+1
			},
			Found:       s.recordFound,
			SearchEnded: s.recordEnded,
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := s.peers.Run(ctx)
		run(s)
		cancel()
		s.g.Expect(<-done).To(Succeed())
	})
}

func (s *searchers) recordFound(key ipv4.FlowKey, instance uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.found[key] = instance
}

func (s *searchers) recordEnded(key ipv4.FlowKey, denied bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended[key] = denied
}

// send answers a search as the agent at the address.
func (s *searchers) send(to netip.AddrPort, m *controlv1.Datagram) {
	search := m.GetFlowSearch()
	if search == nil {
		return
	}
	instance := uint64(to.Addr().As4()[3])
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[instance]++
	s.lastSequence = search.GetSequence()
	if s.silent && instance == silentAgent {
		return
	}
	a := &controlv1.FlowSearchAnswer{Sequence: search.GetSequence(), Instance: instance}
	if instance == s.holder {
		for i := range len(search.GetFlows()) / searchedBytes {
			a.Held = append(a.Held, uint32(i))
		}
	}
	time.AfterFunc(2*oneWay, func() {
		s.peers.Handle(to, &controlv1.Datagram{Body: &controlv1.Datagram_FlowSearchAnswer{FlowSearchAnswer: a}})
	})
}

func (s *searchers) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// results returns the number of flows that were found, were denied by all agents, and were given up.
func (s *searchers) results() (found, denied, givenUp int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, all := range s.ended {
		if all {
			denied++
		} else {
			givenUp++
		}
	}
	return len(s.found), denied, givenUp
}

func (s *searchers) expect(found, denied, givenUp int) {
	f, d, u := s.results()
	s.g.ExpectWithOffset(1, []int{f, d, u}).To(Equal([]int{found, denied, givenUp}))
}

func flowNumber(i int) ipv4.FlowKey {
	return ipv4.FlowKey{
		Caller:  netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), uint16(1000+i)),
		Service: netip.MustParseAddrPort("10.80.0.1:80"),
	}
}

// TestSearchFindsHolder guards against a holder among many agents that is not asked.
func TestSearchFindsHolder(t *testing.T) {
	for _, holder := range []uint64{2, searchAgents + 1} {
		runSearchers(t, func(s *searchers) {
			s.holder = holder
			s.g.Expect(s.peers.Search(flowNumber(0), sequence, sequence+1)).To(BeTrue())
			time.Sleep(searchDelay + 3*oneWay)
			s.expect(1, 0, 0)
			s.g.Expect(s.found[flowNumber(0)]).To(Equal(holder))
		})
	}
}

// TestSearchAwaitsAllAgents guards against a flow that counts as ended although an agent has not answered,
// and against a search that waits for an agent that is gone.
func TestSearchAwaitsAllAgents(t *testing.T) {
	runSearchers(t, func(s *searchers) {
		s.peers.Search(flowNumber(0), sequence, sequence+1)
		time.Sleep(searchDelay + 3*oneWay)
		s.expect(0, 1, 0)
	})
	runSearchers(t, func(s *searchers) {
		s.setSilent(true)
		s.holder = silentAgent
		s.peers.Search(flowNumber(0), sequence, sequence+1)
		time.Sleep(3 * time.Second)
		s.expect(0, 0, 0)
		s.setSilent(false)
		time.Sleep(maxRetransmitDelay + 3*oneWay)
		s.expect(1, 0, 0)
		s.g.Expect(s.sent[silentAgent+1]).To(Equal(1), "an agent that has answered is not asked again")
	})
	runSearchers(t, func(s *searchers) {
		s.setSilent(true)
		s.peers.Search(flowNumber(0), sequence, sequence+1)
		time.Sleep(3 * time.Second)
		dead := memberOf(silentAgent)
		dead.Version, dead.Phase = 2, member.Dead
		s.node.Learn(dead)
		time.Sleep(maxRetransmitDelay)
		s.expect(0, 1, 0)
	})
	runSearchers(t, func(s *searchers) {
		s.setSilent(true)
		s.peers.Search(flowNumber(0), sequence, sequence+1)
		time.Sleep(searchTimeout + searchDelay + oneWay)
		s.expect(0, 0, 1)
	})
}

// TestSearchAsksAgentsThatJoin guards against a flow that counts as ended although an agent, which became
// known during the search, holds it.
func TestSearchAsksAgentsThatJoin(t *testing.T) {
	const joined = searchAgents + 2
	runSearchers(t, func(s *searchers) {
		s.setSilent(true)
		s.holder = joined
		s.peers.Search(flowNumber(0), sequence, sequence+1)
		time.Sleep(time.Second)
		s.node.Learn(memberOf(joined))
		time.Sleep(maxRetransmitDelay)
		s.expect(1, 0, 0)
	})
}

// TestSearchesOfIncarnationsDiffer guards against a flow that counts as denied because of a late answer to
// a search of the agent's earlier incarnation.
func TestSearchesOfIncarnationsDiffer(t *testing.T) {
	sequences := make(map[uint64]bool)
	for _, instance := range []uint64{1, 1 << 20} {
		self := memberOf(1)
		self.Instance = instance
		runSearchersAs(t, self, func(s *searchers) {
			s.peers.Search(flowNumber(0), sequence, sequence+1)
			time.Sleep(searchDelay + 3*oneWay)
			s.mu.Lock()
			defer s.mu.Unlock()
			sequences[s.lastSequence] = true
		})
	}
	NewWithT(t).Expect(sequences).To(HaveLen(2))
}

// TestSearchMessagesAreBounded guards against messages whose number grows with that of flows times agents.
func TestSearchMessagesAreBounded(t *testing.T) {
	const flows = 1000
	const rounds = (flows + flowsPerSearch - 1) / flowsPerSearch
	runSearchers(t, func(s *searchers) {
		begun := time.Now()
		for i := range flows {
			s.g.Expect(s.peers.Search(flowNumber(i), sequence, sequence+1)).To(BeTrue())
		}
		for d := 0; d < flows; _, d, _ = s.results() {
			time.Sleep(oneWay)
		}
		s.g.Expect(s.sent).To(HaveLen(searchAgents))
		for _, n := range s.sent {
			s.g.Expect(n).To(Equal(rounds))
		}
		s.g.Expect(time.Since(begun)).To(BeNumerically(">", (rounds-1)*searchAgents*searchPause))
	})
}

// TestSearchIsAnswered guards against an agent that denies a flow which it holds, or claims another one of
// the same caller's port.
func TestSearchIsAnswered(t *testing.T) {
	runSearchers(t, func(s *searchers) {
		var answer *controlv1.FlowSearchAnswer
		s.peers.send = func(_ netip.AddrPort, m *controlv1.Datagram) { answer = m.GetFlowSearchAnswer() }
		r := round{flows: []searched{
			{flowNumber(0), sequence + 1, sequence + 1}, {flowNumber(1), sequence, sequence + 1}, {flowNumber(2), sequence, 0},
		}}
		s.peers.Handle(netip.AddrPort{}, &controlv1.Datagram{
			Body: &controlv1.Datagram_FlowSearch{FlowSearch: r.message(3)},
		})
		s.g.Expect(answer.GetSequence()).To(Equal(uint64(3)))
		s.g.Expect(answer.GetInstance()).To(Equal(uint64(1)))
		s.g.Expect(answer.GetHeld()).To(Equal([]uint32{1}))
	})
}
