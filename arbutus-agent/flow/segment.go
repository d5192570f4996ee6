package flow

import (
	"slices"

	"arbutusfront.dev/arbutus-agent/directory"
	"arbutusfront.dev/arbutus-agent/state"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/state/orphan"
	"arbutusfront.dev/common/state/placement"
	"arbutusfront.dev/common/transport/datagram"
)

// handleSegment delivers a packet of an existing flow, or passes it on.
func (e *Engine) handleSegment(v *state.View, h capsule.Header, p ipv4.Packet) {
	key := p.Key()
	if f := e.flow(key); f != nil && f.claims(p) {
		e.metrics.delivered.Inc(1)
		e.stack.Inject(p.Bytes())
		if f.noteDelivered(p) {
			// A request of it may wait for room, and must not run any more.
			f.cancel()
		}
		return
	}
	self := e.self().Instance
	h.Visited = append(h.Visited, self)
	visited := h.Visited
	if known, ok := e.directory.Get(key); ok {
		if c, alive := v.Agents.ByInstance(known.Instance); alive && !slices.Contains(visited, c.Instance) {
			e.passOn(v, c, visited, p)
			return
		}
		if !known.Tentative && e.node.FlowsEnded(known.Instance) {
			e.endOrphan(p, known)
			return
		}
	}
	if len(visited) < capsule.MaxVisited {
		if c, ok := v.Agents.First(placement.FlowHash(key), visited); ok {
			e.passOn(v, c, visited, p)
			return
		}
	}
	if e.orphans.MayReset(key, e.now(), orphan.Patience) && e.node.UnclaimedFlowsEnded() {
		e.resetOrphan(p)
		return
	}
	e.metrics.dropped("no_holder").Inc(1)
}

// endOrphan tells a caller that the flow's agent is gone. A RST of the caller
// shows that it knows.
func (e *Engine) endOrphan(p ipv4.Packet, known directory.Holding) {
	if p.Flags().Has(ipv4.FlagRST) {
		e.directory.Remove(p.Key(), known.Instance)
		return
	}
	e.resetOrphan(p)
}

func (e *Engine) resetOrphan(p ipv4.Packet) {
	if b := ipv4.Reset(p); b != nil {
		e.metrics.resetOrphans.Inc(1)
		e.reply(b)
	}
}

// passOn sends the packet to another agent.
func (e *Engine) passOn(v *state.View, to *placement.Candidate, visited []uint64, p ipv4.Packet) {
	h := capsule.Header{
		Revision: v.Revision,
		Sender:   e.self().Instance,
		Target:   to.Instance,
		Service:  e.self().ServiceKey(),
		Visited:  visited,
	}
	b := capsule.AppendPacket(make([]byte, 0, datagram.MaxBytes), h, p.Bytes())
	if err := e.forward(b, to.Packet); err == nil {
		e.metrics.passedOn.Inc(1)
	}
}
