package balancer

import (
	"arbutusfront.dev/common/coordination/learned"
	"arbutusfront.dev/common/coordination/member"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
)

// learnCosts adds the costs in a heartbeat. Those of an agent are of its own service. A balancer
// sends those of any service: after the loss of a failure domain, the balancers that start there
// again learn in this way what is known in the others.
func (p *Peers) learnCosts(from member.Member, h *controlv1.Heartbeat) {
	now := p.now()
	for _, c := range learned.Decode(h.GetLearnedCosts(), now) {
		if from.Role == member.Agent {
			c = c.WithService(from.ServiceKey())
		}
		if c.Service != 0 {
			p.node.Costs.Learn(c, now)
		}
	}
}
