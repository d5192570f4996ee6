package state

import (
	"testing"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/coordination/peer"
)

// TestViewsOrderByVersion guards against an agent that keeps an old view because it compares
// only the numbers of revisions.
func TestViewsOrderByVersion(t *testing.T) {
	g := NewWithT(t)
	n := NewNode(member.Member{Name: "desk-1", Role: member.Agent, Domain: "north", Service: "desk", Instance: 1})
	adopt := func(o config.Order) {
		n.Adopt(peer.View{Revision: o, Config: config.View{Service: config.Service{Name: "desk"}}})
	}
	adopt(config.Order{Version: 7, Number: 90})
	adopt(config.Order{Version: 6, Number: 99})
	g.Expect(n.View().Revision).To(Equal(config.Order{Version: 7, Number: 90}))
	adopt(config.Order{Version: 2026120501, Number: 40})
	g.Expect(n.View().Revision).To(Equal(config.Order{Version: 2026120501, Number: 40}))
	n.Confirm(config.Order{Version: 7, Number: 95})
	g.Expect(n.View().Revision.Version).To(Equal(uint64(2026120501)))
	n.Confirm(config.Order{Version: 2026120501, Number: 41})
	g.Expect(n.View().Revision.Number).To(Equal(uint64(41)))
}
