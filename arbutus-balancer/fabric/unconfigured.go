package fabric

import (
	"slices"

	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/frame"
	"arbutusfront.dev/common/state/placement"
)

// mayBeHeld reports whether an agent may hold the packet's flow although no configuration
// is known. This happens if all processes are killed while the store is unreachable:
// backend servers keep running with their flows. Each agent queries its own backend
// server only and knows no other agent, so the balancer queries one agent after the
// other.
func (f *Forwarder) mayBeHeld(routes *state.Routes, p frame.Frame) bool {
	return f.placement != nil && routes.Revision.IsZero() && !p.IsSYN() && !f.refusesUnconfigured
}

// firstTarget returns the service that is queried first for a flow: the one that the hash
// selects among the route's targets or, if the route is nil because there is no
// configuration, the first by name.
func (f *Forwarder) firstTarget(routes *state.Routes, route *state.Route, hash uint64) (*state.Target, bool) {
	if route != nil {
		return route.Pick(hash)
	}
	services := routes.Services()
	if len(services) == 0 {
		return nil, false
	}
	return services[0], true
}

// queryUnconfigured forwards an unclaimed packet to the next agent of its service, and then to
// the next service. If a service has more than capsule.MaxVisited agents, all agents are asked
// directly. After the last one the packet is dropped without a reset: agents that are not known yet may hold its flow.
func (f *Forwarder) queryUnconfigured(routes *state.Routes, h capsule.Header, p frame.Frame) {
	hash := placement.FlowHash(p.Key)
	isDirect := h.Marks.Has(capsule.MarkDirect)
	if !isDirect && f.queryNext(routes, h, p, hash) {
		return
	}
	if t, ok := routes.Target(h.Service); isDirect || ok && len(t.Agents.Candidates()) > capsule.MaxVisited {
		f.searchDirectly(routes, routes.Services(), h, p)
		return
	}
	queried := f.placement.recordQueried(routes, p.Key, h.Service).queried
	h.Visited = nil
	for _, t := range routes.Services() {
		if !slices.Contains(queried, t.Key) {
			f.query(routes, t, h, p, hash)
			return
		}
	}
	f.placement.endSearch(p.Key)
}

// queryNext forwards an unclaimed packet to the next agent of its service, after an agent without a
// configuration has returned it: that agent knows no other. It returns false if all agents were
// visited, or capsule.MaxVisited.
func (f *Forwarder) queryNext(routes *state.Routes, h capsule.Header, p frame.Frame, hash uint64) bool {
	t, ok := routes.Target(h.Service)
	if !ok || len(h.Visited) >= capsule.MaxVisited {
		return false
	}
	if _, hasNext := t.Agents.FirstSettled(hash, h.Visited); !hasNext {
		return false
	}
	f.query(routes, t, h, p, hash)
	return true
}
