package passthrough

import (
	"testing"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/arbutus-agent/state"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/ipv4"
)

// TestUnconfiguredAgentResetsNoFlow guards against resets of other agents' flows by an agent that has
// no configuration, and so no candidates, as if it starts while all balancers leave: the holder, of
// which it may or may not have a record, serves.
func TestUnconfiguredAgentResetsNoFlow(t *testing.T) {
	for name, recorded := range map[string]bool{"holder recorded": true, "holder unknown": false} {
		t.Run(name, func(t *testing.T) {
			g, r := NewWithT(t), newHarness(t)
			r.start()
			r.node = state.NewNode(r.self)
			r.engine.node = r.node
			if recorded {
				r.node.Learn(agentMember("a-2", "south", 2))
			}
			data := segment(1, ipv4.FlagACK, 2000, 6000, 50)
			r.engine.Register(data.Key, 102)
			r.fromCaller(data, 0)
			g.Expect(r.replied).To(BeEmpty())
			g.Expect(r.forwarded).To(HaveLen(1))
			g.Expect(r.forwarded[0].kind).To(Equal(capsule.KindUnclaimed))
			g.Expect(r.forwarded[0].h.Marks.Has(capsule.MarkUncertain)).To(BeTrue())
			g.Expect(r.forwarded[0].h.Visited).To(Equal([]uint64{r.self.Instance}))
		})
	}
}

// TestUnknownHolderIsNotReset guards against the reset of a flow whose holder has published it before
// this agent has a record of the holder.
func TestUnknownHolderIsNotReset(t *testing.T) {
	g, r := NewWithT(t), newHarness(t)
	r.start()
	data := segment(1, ipv4.FlagACK, 2000, 6000, 50)
	r.engine.Register(data.Key, 109)
	r.fromCaller(data, 0)
	g.Expect(r.replied).To(BeEmpty())
	g.Expect(r.forwarded).To(HaveLen(1))
	g.Expect(r.forwarded[0].h.Marks.Has(capsule.MarkUncertain)).To(BeTrue())
}
