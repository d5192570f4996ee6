package state

import (
	"testing"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/coordination/peer"
)

// TestNoFlowHasEndedWithoutConfiguration guards against resets of other agents' flows by an agent that
// has no configuration, and so knows no other agent.
func TestNoFlowHasEndedWithoutConfiguration(t *testing.T) {
	g := NewWithT(t)
	n := NewNode(member.Member{Name: "desk-1", Role: member.Agent, Domain: "north", Service: "desk", Instance: 1})
	g.Expect(n.UnclaimedFlowsEnded()).To(BeFalse())
	n.Adopt(peer.View{
		Revision: config.Order{Number: 1},
		Config: config.View{
			Service: config.Service{Name: "desk"}, Domains: []config.Domain{{Name: "north", State: config.DomainIn}},
		},
	})
	g.Expect(n.UnclaimedFlowsEnded()).To(BeTrue())
}
