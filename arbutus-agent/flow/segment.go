package flow

import (
	"slices"

	"arbutusfront.dev/arbutus-agent/directory"
	"arbutusfront.dev/arbutus-agent/state"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/state/ending"
	"arbutusfront.dev/common/state/placement"
	"arbutusfront.dev/common/transport/datagram"
)

// handleSegment delivers a packet of an existing flow or forwards it. It sends a RST for a
// packet of a flow that has certainly ended, and for one of an unclaimed flow only after
// the reset delay; before that, the packet is dropped. If the packet can't visit all agents, the
// others are asked. A RST from the caller with the
// expected sequence number also cancels the flow's waiting request.
func (e *Engine) handleSegment(v *state.View, h capsule.Header, p ipv4.Packet) {
	key := p.Key()
	if f := e.flow(key); f != nil && f.claims(p) {
		e.metrics.delivered.Inc(1)
		e.stack.Inject(p.Bytes())
		if f.trackDelivered(p) {
			// A request of the flow may be waiting for capacity. It must not run now.
			f.cancel()
		}
		return
	}
	self := e.self().Instance
	h.Visited = append(h.Visited, self)
	visited := h.Visited
	if known, ok := e.directory.Get(key); ok {
		if c, alive := v.Agents.ByInstance(known.Instance); alive && !slices.Contains(visited, c.Instance) {
			e.forwardPacket(v, c, h, p)
			return
		}
		if !known.Tentative && e.node.FlowsEnded(known.Instance) {
			e.resetEndedFlow(p, known)
			return
		}
	}
	if c, ok := v.Agents.First(placement.FlowHash(key), visited); ok {
		if len(visited) < capsule.MaxVisited {
			e.forwardPacket(v, c, h, p)
			return
		}
		// A candidate that was not visited may hold the flow.
		e.searchHolder(p)
		return
	}
	if e.unclaimed.MayReset(key, e.now(), ending.ResetDelay) && e.node.UnclaimedFlowsEnded() {
		e.sendReset(p)
		return
	}
	e.metrics.dropped("no_holder").Inc(1)
}

// resetEndedFlow sends a RST for a packet of a flow that ended because its holder left, died
// or is in a failure domain that was taken out. A RST from the caller shows that the caller
// has ended the flow: the directory entry is removed, which also ends the probes of the
// caller.
func (e *Engine) resetEndedFlow(p ipv4.Packet, known directory.Holding) {
	if p.Flags().Has(ipv4.FlagRST) {
		e.directory.Remove(p.Key(), known.Instance)
		return
	}
	e.sendReset(p)
}

func (e *Engine) sendReset(p ipv4.Packet) {
	if b := ipv4.Reset(p); b != nil {
		e.metrics.resets.Inc(1)
		e.reply(b)
	}
}

// forwardPacket sends the packet to another agent, with the class, the visited list and MarkBusy
// of the header.
func (e *Engine) forwardPacket(v *state.View, to *placement.Candidate, h capsule.Header, p ipv4.Packet) {
	b := capsule.AppendPacket(make([]byte, 0, datagram.MaxBytes), capsule.Header{
		Revision: v.Revision.Number,
		Sender:   e.self().Instance,
		Target:   to.Instance,
		Service:  e.self().ServiceKey(),
		Marks:    h.Marks & capsule.MarkBusy,
		Class:    h.Class,
		Visited:  h.Visited,
	}, p.Bytes())
	if err := e.forward(b, to.Packet); err == nil {
		e.metrics.forwarded.Inc(1)
	}
}
