package fabric

import (
	"net/netip"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/frame"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/state/ending"
	"arbutusfront.dev/common/state/placement"
	"arbutusfront.dev/common/transport/datagram"
)

// HandleHeld records an agent's report that it holds a flow, and the load that the report
// carries. It has no effect without WithPlacement.
func (f *Forwarder) HandleHeld(h capsule.Held) {
	if f.placement != nil {
		f.placement.handleHeld(f.node.Routes(), h)
	}
}

// HandleLoad records an agent's load report. It has no effect without WithPlacement.
func (f *Forwarder) HandleLoad(l capsule.Load) {
	if f.placement != nil {
		f.placement.handleLoad(f.node.Routes(), l)
	}
}

// HandleUnclaimed handles a packet that no queried agent of a service claimed. It forwards
// the packet to an agent of the next service that may have the flow. If the last agent had no
// configuration, and so could not pass the packet on, the next one of its service comes first.
// If the packet could not visit all agents of a service, they are asked directly. Once nobody is
// left to query, it resets the flow, after a delay if an agent may hold it after all. A flow to an
// endpoint that certainly has no route is reset at once. A packet is dropped while the flow's
// remembered agent may still return. Without a configuration, the agents are queried, and no flow
// is reset. HandleUnclaimed has no effect without WithPlacement.
func (f *Forwarder) HandleUnclaimed(h capsule.Header, packet []byte) {
	p, err := f.codec.Parse(packet)
	if err != nil || f.placement == nil {
		return
	}
	routes := f.node.Routes()
	route, ok := routes.Lookup(p.Key.Service)
	switch {
	case !ok && f.mayBeHeld(routes, p):
		f.queryUnconfigured(routes, h, p)
	case !ok:
		_ = f.refuse(routes, p)
	case f.placement.holderIsAway(routes, p.Key):
		f.droppedAway.Inc(1)
	default:
		f.continueSearch(routes, route, h, p)
	}
}

// continueSearch queries the next agent, service or all agents directly, or ends the search.
func (f *Forwarder) continueSearch(routes *state.Routes, route *state.Route, h capsule.Header, p frame.Frame) {
	hash := placement.FlowHash(p.Key)
	isDirect := h.Marks.Has(capsule.MarkDirect)
	if len(h.Visited) > 0 && !isDirect {
		if f.queryNext(routes, h, p, hash) {
			return
		}
		h.Marks |= capsule.MarkHopLimit
	}
	h.Visited = nil
	if !route.AllTargetsHaveAgents() {
		h.Marks |= capsule.MarkUncertain
	}
	targets := routes.Targets(route, hash, maxOtherServices)
	if isDirect {
		f.searchDirectly(routes, targets, h, p)
		return
	}
	s := f.placement.recordQueried(routes, p.Key, h.Service)
	if t, ok := nextTarget(targets, s.queried); ok {
		f.query(routes, t, h, p, hash)
		return
	}
	if h.Marks.Has(capsule.MarkHopLimit) || s.direct != nil || exceedHops(targets) {
		f.searchDirectly(routes, targets, h, p)
		return
	}
	f.placement.endSearch(p.Key)
	f.endUnclaimed(routes, h, p, progress{search: s, isComplete: true})
}

// exceedHops reports whether a service has more agents than a packet can visit. The agents' own mark is no
// proof of the contrary: one that has just started may know only some of the others.
func exceedHops(targets []*state.Target) bool {
	return slices.ContainsFunc(targets, func(t *state.Target) bool {
		return len(t.Agents.Candidates()) > capsule.MaxVisited
	})
}

// nextTarget returns the first target that has agents and has not been queried. It
// compares keys instead of counting positions: the order of the targets changes when the
// weights of the route change, which may happen during a search.
func nextTarget(targets []*state.Target, queried []capsule.ServiceKey) (*state.Target, bool) {
	for _, t := range targets {
		if len(t.Agents.Candidates()) > 0 && !slices.Contains(queried, t.Key) {
			return t, true
		}
	}
	return nil, false
}

// query sends an unclaimed packet to the agent of the target that ranks highest among
// those not visited yet, with agents in the joining phase last. It drops the packet if all
// were visited.
func (f *Forwarder) query(routes *state.Routes, t *state.Target, h capsule.Header, p frame.Frame, hash uint64) {
	agent, ok := t.Agents.FirstSettled(hash, h.Visited)
	if !ok {
		return
	}
	if len(h.Visited) == 0 {
		h.Visited = shortenedVisited(t.Agents)
	}
	next := capsule.Header{
		Visited:  h.Visited,
		Revision: routes.Revision.Number,
		Sender:   f.self.Instance,
		Target:   agent.Instance,
		Service:  t.Key,
		Origin:   f.self.Packet,
		Marks:    capsule.MarkReportHolder | h.Marks&capsule.MarkUncertain,
	}
	b := capsule.AppendPacket(make([]byte, 0, datagram.MaxBytes), next, p.Bytes)
	f.send(b, agent.Packet)
}

// send sends one capsule to the agent at the address, and counts it as forwarded. It
// returns the number of capsules sent, 0 or 1, and logs a failure.
func (f *Forwarder) send(b []byte, to netip.AddrPort) int64 {
	batch := []datagram.Message{{Buffer: b, N: len(b), Peer: to}}
	sent, err := f.writeBatch(batch)
	if err != nil {
		_ = level.Debug(f.log).Log("event", "send_failed", "to", to, "err", err)
	}
	f.forwarded.Inc(int64(sent))
	f.recordSent(batch[:sent])
	return int64(sent)
}

// endUnclaimed drops a packet that no service claimed, and resets its flow once that has certainly
// ended (see ending.OfUnclaimed). No reset is sent for a RST.
func (f *Forwarder) endUnclaimed(routes *state.Routes, h capsule.Header, p frame.Frame, s progress) {
	now := f.placement.now()
	first := f.placement.unclaimed.Record(p.Key, now, func() []string { return f.absentHolders(s.search, now) })
	evidence := ending.Unclaimed{
		Uncertain:  h.Marks.Has(capsule.MarkUncertain),
		Unanswered: !s.isComplete,
		AskedFor:   s.askedFor,
		Away:       slices.ContainsFunc(first.Absent, func(name string) bool { return f.node.IsAway(name, now) }),
		SinceJoin:  now.Sub(f.node.LastJoin()),
		Behind:     f.isBehind(routes, now),
		For:        now.Sub(first.At),
	}
	if evidence.Away {
		f.placement.unclaimed.Postpone(p.Key, now)
	}
	if p.Flags.Has(ipv4.FlagRST) || ending.OfUnclaimed(evidence) != ending.Reset || !f.reset(p) {
		return
	}
	f.logReset(p, "no_holder", "certain", !evidence.Uncertain, "unanswered", evidence.Unanswered,
		"unclaimed_for", evidence.For.Round(time.Millisecond), "since_join", evidence.SinceJoin.Round(time.Millisecond))
}

// absentHolders returns the agents of the queried services that are away and may hold the flow. There
// are none if the holder that was remembered for the flow has returned it itself.
func (f *Forwarder) absentHolders(s search, now time.Time) []string {
	if s.returnedByHolder {
		return nil
	}
	var absent []string
	for _, service := range s.queried {
		absent = append(absent, f.node.Away(service, now)...)
	}
	return absent
}
