package passthrough

import (
	"slices"
	"time"

	"arbutusfront.dev/arbutus-agent/newflow"
	"arbutusfront.dev/arbutus-agent/state"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/frame"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/state/admission"
	"arbutusfront.dev/common/state/demand"
	"arbutusfront.dev/common/state/ending"
	"arbutusfront.dev/common/state/placement"
	"arbutusfront.dev/common/transport/datagram"
)

// handleSYN delivers a retransmitted SYN of a known flow, and reports this agent as the
// holder if the backend server has sent a SYN-ACK. It admits, buffers, forwards or refuses a
// new SYN; if that has the key of a known flow, the known flow is removed. e.mu must be held.
func (e *Engine) handleSYN(v *state.View, h capsule.Header, p frame.Frame) {
	now := e.now()
	f := e.flows[p.Key]
	if f != nil && f.synSequence == p.Sequence {
		f.usedAt = now
		e.deliverPacket(f, p, now)
		if f.synACKed {
			e.sendHeld(f, h.Origin)
		}
		return
	}
	if f != nil && f.isDelayedSYN(p, now) {
		e.metrics.dropped("late_syn").Inc(1)
		return
	}
	if f != nil {
		// A new SYN for a known flow: the caller has abandoned the old flow.
		e.remove(f)
	}
	h.Visited = append(h.Visited, e.self().Instance)
	e.origins.Record(h, now)
	if reason := e.refusal(v, now); reason != "" {
		e.recordNotAdmitted(h, now)
		e.logNotAdmitted(p, h, reason)
		e.offerToNext(v, h, p)
		return
	}
	switch {
	case e.admitsByTime(v):
		e.decide(v, h, p, now)
	case e.isTooBusyFor(p):
		e.offerOrBuffer(v, h, p, now)
	default:
		e.admit(v, h, p, newflow.RequestOf(h, p), now)
	}
}

// admit delivers the SYN to the backend server as a new flow on which the request is expected, or
// offers it to the next candidate if the agent has maxFlows. e.mu must be held.
func (e *Engine) admit(v *state.View, h capsule.Header, p frame.Frame, r admission.Request, now time.Time) {
	f := &flow{
		key: p.Key, stage: handshaking, header: cloneHeader(h), syn: slices.Clone(p.Bytes),
		synSequence: p.Sequence, startedAt: now, usedAt: now,
	}
	if !e.add(f) {
		e.offerToNext(v, h, p)
		return
	}
	e.queue.Admitted(&f.job, r, now)
	e.metrics.admitted.Inc(1)
	e.recordDemand(r, demand.Admitted, now)
	e.server.recordAdmitted(now)
	e.logAdmitted(f, now)
	e.deliverPacket(f, p, now)
}

// refusal returns the reason why the backend server gets no new flow now, or an empty
// string. e.mu must be held.
func (e *Engine) refusal(v *state.View, now time.Time) string {
	switch {
	case e.leaving:
		return "agent_leaving"
	case !v.Known:
		return "no_configuration"
	case v.Drained:
		return "drained"
	case v.DomainOut:
		return "domain_out"
	case len(e.flows) >= v.Config.Service.BackendClass.Connections:
		return "full"
	default:
		return e.server.refusal(now)
	}
}

// recordNotAdmitted records that a flow is not admitted here, if a balancer placed it here.
// e.mu must be held.
func (e *Engine) recordNotAdmitted(h capsule.Header, now time.Time) {
	if len(h.Visited) == 1 {
		e.dueReports.recordNotAdmitted(h.Origin, now)
	}
}

// offerToNext offers the flow to the next candidate. If none is left or the flow has visited
// capsule.MaxVisited agents, it is offered once more to the first candidate if a visited agent
// was only busy, and reset otherwise. A reset is safe, as no request of the flow has been
// executed. e.mu must be held.
func (e *Engine) offerToNext(v *state.View, h capsule.Header, p frame.Frame) {
	if len(h.Visited) < capsule.MaxVisited {
		if c, ok := v.Agents.FirstAdmitting(placement.FlowHash(p.Key), h.Visited); ok {
			e.forwardTo(v, c, h, p)
			return
		}
	}
	if c, ok := v.Agents.FirstAdmitting(placement.FlowHash(p.Key), nil); ok && e.mayReturnToBusy(h) {
		h.Visited = nil
		h.Marks |= capsule.MarkLastOffer
		e.forwardTo(v, c, h, p)
		return
	}
	e.refuse(p, newflow.RequestOf(h, p), demand.Refusal{Reason: demand.NoAgentAdmits}, e.now())
}

// mayReturnToBusy reports whether a visited agent was only busy and the flow has not been
// offered a second time yet.
func (e *Engine) mayReturnToBusy(h capsule.Header) bool {
	return h.Marks.Has(capsule.MarkBusy) && !h.Marks.Has(capsule.MarkLastOffer)
}

// handleSegment delivers a packet of an existing flow, or forwards it, also while the backend server has
// not sent a SYN-ACK. It removes the known flow if the caller has accepted the SYN-ACK of another backend
// server. e.mu must be held.
func (e *Engine) handleSegment(v *state.View, h capsule.Header, p frame.Frame) {
	now := e.now()
	f := e.flows[p.Key]
	if f != nil && f.matches(p) {
		e.relay(f, h, p, now)
		return
	}
	if f != nil && !f.synACKed {
		// The caller can't have accepted a SYN-ACK of this backend server. To it, the packet would be
		// one of a connection that it does not hold.
		e.forwardSegment(v, h, p, now)
		return
	}
	if f != nil {
		// The caller has accepted the SYN-ACK of another backend server. This one has sent another
		// sequence number, so it does not hold the flow.
		e.remove(f)
		e.notHeldSince[p.Key] = now
	}
	if e.mayHold(v, p.Key, now) {
		e.deliverUnconfirmed(h, p, now)
		return
	}
	e.forwardSegment(v, h, p, now)
}

// relay updates the state of a known flow from a packet of its caller, and delivers the
// packet. If the header requests it or an agent forwarded the packet, relay reports this agent
// as the holder of an open flow. e.mu must be held.
func (e *Engine) relay(f *flow, h capsule.Header, p frame.Frame, now time.Time) {
	f.usedAt = now
	if p.Flags.Has(ipv4.FlagACK) {
		if f.stage == handshaking || int32(p.Acknowledgment-f.acknowledged) > 0 {
			// Packets may arrive out of order.
			f.acknowledged = p.Acknowledgment
		}
		if f.stage == handshaking {
			e.setOpen(f)
		}
	}
	if p.Flags.Has(ipv4.FlagFIN) {
		// The caller has its answer, or has given up.
		e.close(f, callerEnd)
	}
	if p.Flags.Has(ipv4.FlagRST) {
		e.close(f, bothEnds)
	}
	e.deliverPacket(f, p, now)
	if f.stage == open && (h.Marks.Has(capsule.MarkReportHolder) || len(h.Visited) > 0) {
		e.sendHeld(f, h.Origin)
	}
}

// deliverPacket sends a packet of the flow to the backend server. It records the request that
// the packet begins, if any, and that a SYN or data is to be answered. e.mu must be held.
func (e *Engine) deliverPacket(f *flow, p frame.Frame, now time.Time) {
	if f.startsRequest(p) && f.closed&callerEnd == 0 {
		e.beginRequest(f, now)
	}
	if p.PayloadBytes > 0 || p.IsSYN() {
		e.server.recordDelivered(now)
	}
	if e.checkSend(f.key.Caller, e.deliver(p.Bytes)) {
		e.metrics.delivered.Inc(1)
	}
}

// mayHold reports whether the backend server may hold a flow that the agent does not know. It
// holds none that the directory lists as another agent's. e.mu must be held.
func (e *Engine) mayHold(v *state.View, key ipv4.FlowKey, now time.Time) bool {
	if since, ok := e.notHeldSince[key]; ok && now.Sub(since) <= notHeldLifetime {
		return false
	}
	return e.server.mayHoldUnknownFlows(now) && !e.isHeldElsewhere(v, key)
}

// isHeldElsewhere reports whether the directory lists the flow as held by an agent other than
// this one and its earlier incarnations. e.mu must be held.
func (e *Engine) isHeldElsewhere(v *state.View, key ipv4.FlowKey) bool {
	known, ok := e.directory.Get(key)
	if !ok {
		return false
	}
	if c, ok := v.Agents.ByInstance(known.Instance); ok {
		return c.Name != e.self().Name
	}
	m, ok := e.node.MemberOf(known.Instance)
	return ok && m.Name != e.self().Name
}

// deliverUnconfirmed adds an unknown flow as unconfirmed and delivers its packet to the
// backend server, or drops the packet if the agent has maxFlows. e.mu must be held.
func (e *Engine) deliverUnconfirmed(h capsule.Header, p frame.Frame, now time.Time) {
	f := &flow{
		key: p.Key, stage: unconfirmed, header: cloneHeader(h), startedAt: now, usedAt: now, acknowledged: p.Acknowledgment,
	}
	if !e.add(f) {
		return
	}
	e.metrics.deliveredUnconfirmed.Inc(1)
	e.deliverPacket(f, p, now)
}

// forwardSegment sends a packet of a flow that is not held here to the flow's holder if the
// directory knows it, or else to the next candidate. If the holder has ended, the packet is
// dropped while a new incarnation may still appear, and the flow is reset after that. If no
// candidate is left, the packet is returned as unclaimed, and as uncertain if this agent can't tell
// whether the flow is held. e.mu must be held.
func (e *Engine) forwardSegment(v *state.View, h capsule.Header, p frame.Frame, now time.Time) {
	h.Visited = append(h.Visited, e.self().Instance)
	if _, ruledOut := e.notHeldSince[p.Key]; !v.Known || !ruledOut && !e.server.allFlowsKnown(now) {
		h.Marks |= capsule.MarkUncertain
	}
	if known, ok := e.directory.Get(p.Key); ok {
		holder, alive := e.latestIncarnation(v, known.Instance)
		if alive && !slices.Contains(h.Visited, holder.Instance) {
			h.Marks |= capsule.MarkHolderKnown
			e.forwardTo(v, holder, h, p)
			return
		}
		if !alive {
			switch ending.OfHolder(e.evidenceOf(v, known.Instance), now) {
			case ending.Wait:
				e.metrics.dropped("holder_away").Inc(1)
				return
			case ending.Reset:
				e.directory.Remove(p.Key, known.Instance)
				e.reset(p, "holder_gone")
				return
			case ending.PassOn:
				h.Marks |= capsule.MarkUncertain
			}
		}
	}
	if c, ok := v.Agents.FirstSettled(placement.FlowHash(p.Key), h.Visited); ok {
		if len(h.Visited) < capsule.MaxVisited {
			e.forwardTo(v, c, h, p)
			return
		}
		// A candidate that was not visited may hold the flow.
		h.Marks |= capsule.MarkHopLimit
	}
	e.returnUnclaimed(v, h, p)
}

// latestIncarnation returns the candidate that is the latest incarnation of the agent with
// the instance; it runs beside the same backend server. It returns false if there is none.
func (e *Engine) latestIncarnation(v *state.View, instance uint64) (*placement.Candidate, bool) {
	if c, ok := v.Agents.ByInstance(instance); ok {
		return v.Agents.ByName(c.Name)
	}
	if m, ok := e.node.MemberOf(instance); ok {
		return v.Agents.ByName(m.Name)
	}
	return nil, false
}

// evidenceOf returns what is known of a holder that is not a candidate. The instance may be an
// earlier incarnation than the one that ended last.
func (e *Engine) evidenceOf(v *state.View, instance uint64) ending.Holder {
	m, recorded := e.node.MemberOf(instance)
	return ending.Holder{
		Configured: v.Known, Recorded: recorded, ReturnsUntil: e.node.Table.ReturnsUntil(m.Name),
	}
}

// returnUnclaimed returns a packet that no candidate claims to the balancer that first
// forwarded it, or drops the packet if that is unknown. An agent without a configuration
// knows no candidates: it includes the visited agents, so that the balancer continues with
// the others. e.mu must be held.
func (e *Engine) returnUnclaimed(v *state.View, h capsule.Header, p frame.Frame) {
	if !h.Origin.IsValid() {
		e.metrics.dropped("no_holder").Inc(1)
		return
	}
	visited := countVisited(h)
	if v.Known {
		h.Visited = nil
	}
	b := capsule.AppendUnclaimed(make([]byte, 0, datagram.MaxBytes), h, p.Bytes)
	e.checkSend(h.Origin, e.forward(b, h.Origin))
	e.logUnclaimed(p, h, visited)
}

// countVisited returns the number of agents in the header's visited list. Balancers shorten the list by
// zeros.
func countVisited(h capsule.Header) int {
	n := 0
	for _, instance := range h.Visited {
		if instance != 0 {
			n++
		}
	}
	return n
}

// forwardTo sends the packet to another agent.
func (e *Engine) forwardTo(v *state.View, to *placement.Candidate, h capsule.Header, p frame.Frame) {
	if to.Domain != e.self().Domain {
		h.Marks |= capsule.MarkRemote
	}
	h.Revision = max(h.Revision, v.Revision.Number)
	h.Sender = e.self().Instance
	h.Target = to.Instance
	b := capsule.AppendPacket(make([]byte, 0, datagram.MaxBytes), h, p.Bytes)
	if e.checkSend(to.Packet, e.forward(b, to.Packet)) {
		e.metrics.forwarded.Inc(1)
	}
}

// reset sends the caller a reset that ends its flow, unless the codec builds none for the
// packet.
func (e *Engine) reset(p frame.Frame, reason string) {
	if e.sendReset(p) {
		e.logReset(p, reason)
	}
}

// sendReset is reset without a log line. It reports whether a reset was sent.
func (e *Engine) sendReset(p frame.Frame) bool {
	b := e.codec.Reset(p)
	if b == nil || !e.checkSend(p.Key.Caller, e.reply(p.Key.Caller, b)) {
		return false
	}
	e.metrics.reset.Inc(1)
	return true
}
