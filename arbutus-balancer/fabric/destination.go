package fabric

import (
	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/frame"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/state/placement"
)

// States of the holder that a balancer remembers for a flow.
const (
	// holderUnknown: none is remembered, or its agent has been gone for too long.
	holderUnknown holderState = iota
	// holderAlive: its agent is a candidate.
	holderAlive
	// holderAway: its agent has ended, and its next incarnation may still appear beside the
	// same backend server.
	holderAway
	// holderEnded: its backend server has restarted since it took the flow.
	holderEnded
)

type (
	// holderState is the state of a flow's remembered holder.
	holderState int

	// destination is the agent that a packet is forwarded to, and the marks and visited list of its
	// capsule.
	destination struct {
		target  *state.Target
		agent   *placement.Candidate
		marks   capsule.Marks
		visited []uint64
	}
)

// findDestination returns where to forward the packet. With WithPlacement, it remembers and logs
// the agent for a SYN, or resets its flow if all agents refuse its request class. For any other
// packet it returns an error while the flow's agent is away, and resets the flow if the flow's
// backend server has restarted. Errors are of type ipv4.Reason.
func (f *Forwarder) findDestination(
	routes *state.Routes, route *state.Route, p frame.Frame, hash uint64,
) (destination, error) {
	switch {
	case f.placement == nil:
	case p.IsSYN():
		d, err := f.placement.place(route, p, hash)
		if err != nil {
			f.refuseBusy(route, p, hash, err)
			return d, err
		}
		f.logPlaced(p, route, d)
		return d, nil
	default:
		switch d, holder := f.placement.locate(routes, p); holder {
		case holderAlive:
			return d, nil
		case holderAway:
			return destination{}, dropAway
		case holderEnded:
			f.resetEndedFlow(p)
			return destination{}, dropEndedRun
		case holderUnknown:
		}
	}
	target, ok := f.firstTarget(routes, route, hash)
	if !ok {
		return destination{}, dropNoAgent
	}
	agent, ok := f.chooseByRank(target.Agents, p, hash)
	d := destination{target: target, agent: agent, marks: capsule.MarkReportHolder}
	if f.placement != nil && !p.IsSYN() {
		d.visited = shortenedVisited(target.Agents)
	}
	return orNoAgent(d, ok)
}

// orNoAgent returns the destination, with the error dropNoAgent if ok is false.
func orNoAgent(d destination, ok bool) (destination, error) {
	if !ok {
		return d, dropNoAgent
	}
	return d, nil
}

// chooseByRank returns the agent that ranks highest, for a SYN among those that admit
// new flows if there are any. Otherwise, with WithPlacement, agents in the joining phase
// come last: they may not know all flows of their backend servers yet.
func (f *Forwarder) chooseByRank(agents *placement.Service, p frame.Frame, hash uint64) (*placement.Candidate, bool) {
	if p.IsSYN() {
		if c, ok := agents.FirstAdmitting(hash, nil); ok {
			return c, true
		}
	}
	if f.placement != nil {
		return agents.FirstSettled(hash, nil)
	}
	return agents.First(hash, nil)
}

// holderIsAway reports whether the flow's remembered agent has ended and may return. No other
// agent can claim the flow meanwhile.
func (p *placements) holderIsAway(routes *state.Routes, key ipv4.FlowKey) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.flows[key]
	if e == nil {
		return false
	}
	t, known := routes.Target(e.service)
	if !known {
		return false
	}
	_, alive := t.Agents.ByName(e.agent)
	return !alive && p.mayReturnTo(e)
}

// mayReturnTo reports whether the entry names a holder and the holder's agent, which is not alive,
// may return. An entry that names an agent whose SYN-ACK the caller may not have accepted names no
// holder. mu must be held.
func (p *placements) mayReturnTo(e *flowEntry) bool {
	return !p.without.rememberedFlows && e.accepted && p.mayReturn(e.agent, p.now())
}
