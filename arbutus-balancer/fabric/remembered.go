package fabric

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/frame"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/state/placement"
	"arbutusfront.dev/common/transport/wait"
)

const (
	// runCheckInterval is how often the routes are checked for restarted backend
	// servers. It is well below the 200 ms after which callers retransmit lost packets.
	runCheckInterval = 25 * time.Millisecond
	// maxRemembered bounds the flows that are handed to the balancer's next run:
	// packets wait for the lock while the flows are collected, and the flows are stored
	// as one value of at most 1 MB.
	maxRemembered = 48_000
	// announcementTime is how long an agent may take to learn that its backend server has restarted:
	// some intervals of its announcements. Reports name the earlier run until then.
	announcementTime = 3 * time.Second
)

// RememberedFlow is a flow and its holder, which one run of a balancer hands to the next.
type RememberedFlow struct {
	Key       ipv4.FlowKey
	Agent     string
	Service   capsule.ServiceKey
	ServerRun uint64
	// Acknowledged is the caller's last acknowledgment number, which a reset must match.
	Acknowledged uint32
}

// RememberedFlows returns up to maxRemembered open flows that were used within
// flowLifetime and for which the backend server's run and the caller's acknowledgment
// number are known. They are ordered by agent, service and run. There are none without
// WithPlacement.
func (f *Forwarder) RememberedFlows() []RememberedFlow {
	if f.placement == nil {
		return nil
	}
	return f.placement.remembered()
}

// Restore adds the flows that an earlier run of this balancer remembered. Flows that this
// run already knows keep their newer entry. Restored flows whose backend server has
// restarted are reset at the next check.
func (f *Forwarder) Restore(flows []RememberedFlow) {
	if f.placement != nil {
		f.placement.restore(flows)
	}
}

// checkServerRuns resets the flows of restarted backend servers, at each runCheckInterval
// until ctx is canceled. A caller whose flow is reset before it sends a request on it does
// not lose that request.
func (f *Forwarder) checkServerRuns(ctx context.Context) {
	if f.placement == nil {
		return
	}
	for wait.For(ctx, runCheckInterval) {
		f.resetFlowsOfEndedRuns()
	}
}

// resetFlowsOfEndedRuns resets the flows that takeFlowsOfEndedRuns returns, and logs the
// resets.
func (f *Forwarder) resetFlowsOfEndedRuns() {
	ended := 0
	for _, p := range f.placement.takeFlowsOfEndedRuns(f.node.Routes()) {
		if f.reset(p) {
			ended++
			f.logReset(p, string(dropEndedRun))
		}
	}
	if ended > 0 {
		_ = level.Info(f.log).Log("event", "flows_reset", "reason", string(dropEndedRun), "flows", ended)
	}
}

// resetEndedFlow resets the flow of a caller's packet after the flow's backend server has
// restarted, and logs the reset. It does nothing for a RST.
func (f *Forwarder) resetEndedFlow(p frame.Frame) {
	if p.Flags.Has(ipv4.FlagRST) || !f.reset(p) {
		return
	}
	f.logReset(p, string(dropEndedRun))
}

// hasEnded reports whether the backend server of the flow's agent c has restarted since it
// took the flow. It is false if the run that took the flow is unknown or uncertain, or if the caller
// may have accepted another agent's SYN-ACK.
func (p *placements) hasEnded(e *flowEntry, c *placement.Candidate) bool {
	return e.accepted && e.serverRun != 0 && c.ServerRun > e.serverRun && !p.without.runResets
}

// doubtEarlierRun makes the holder uncertain if the present run of the agent's backend server may have
// taken the flow, although the agent has reported an earlier one: it may not have known of the restart. The
// next packet then asks for a report. The agent itself resets the flows of the earlier run, as it knows when
// each began. mu must be held.
func (p *placements) doubtEarlierRun(e *flowEntry, c *placement.Candidate) {
	if c.ServerRun <= e.serverRun || e.instance != c.Instance {
		return
	}
	learnedAt := p.now()
	if r := p.serverRuns[c.Name]; r.run == c.ServerRun {
		learnedAt = r.learnedAt
	}
	if learnedAt.Sub(e.sentAt) < announcementTime {
		e.accepted, e.accepting = false, 0
	}
}

// recordPacket updates the entry with the acknowledgment number and flags of a caller's
// packet, and with whether it accepts the agent's SYN-ACK.
func (e *flowEntry) recordPacket(f frame.Frame) {
	if f.Flags.Has(ipv4.FlagACK) {
		e.recordAcknowledged(f.Acknowledgment)
		e.accepted = e.accepted || e.confirmed && isAccepted(e.accepting, f.Acknowledgment)
	}
	if f.Flags&(ipv4.FlagFIN|ipv4.FlagRST) != 0 {
		e.closed = true
	}
}

// recordAcknowledged stores the caller's acknowledgment number unless a later one is
// known: packets may be reordered.
func (e *flowEntry) recordAcknowledged(n uint32) {
	if n != 0 && (e.acknowledged == 0 || int32(n-e.acknowledged) > 0) {
		e.acknowledged = n
	}
}

// isResettable reports whether the flow is open as far as is known, and its holder, the backend
// server's run and the caller's acknowledgment number, which a reset must match, are
// known.
func (e *flowEntry) isResettable() bool {
	return e.accepted && e.serverRun != 0 && e.acknowledged != 0 && !e.closed
}

// remembered returns the flows of collect, ordered by agent, service, run and flow key.
func (p *placements) remembered() []RememberedFlow {
	out := p.collect()
	slices.SortFunc(out, func(a, b RememberedFlow) int {
		return cmp.Or(
			cmp.Compare(a.Agent, b.Agent), cmp.Compare(a.Service, b.Service), cmp.Compare(a.ServerRun, b.ServerRun),
			a.Key.Caller.Compare(b.Key.Caller), a.Key.Service.Compare(b.Key.Service),
		)
	})
	return out
}

// collect returns up to maxRemembered resettable flows that were used within flowLifetime,
// in random order.
func (p *placements) collect() []RememberedFlow {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	out := make([]RememberedFlow, 0, min(len(p.flows), maxRemembered))
	for key, e := range p.flows {
		if len(out) == maxRemembered {
			break
		}
		if e.isResettable() && now.Sub(e.usedAt) < flowLifetime {
			out = append(out, RememberedFlow{
				Key: key, Agent: e.agent, Service: e.service, ServerRun: e.serverRun, Acknowledged: e.acknowledged,
			})
		}
	}
	return out
}

// restore adds the flows that are not known yet, up to maxFlows. It makes the next
// takeFlowsOfEndedRuns check all flows, even if the routes have not changed.
func (p *placements) restore(flows []RememberedFlow) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for _, r := range flows {
		if _, known := p.flows[r.Key]; known || len(p.flows) >= maxFlows {
			continue
		}
		p.flows[r.Key] = &flowEntry{
			agent: r.Agent, service: r.Service, serverRun: r.ServerRun, acknowledged: r.Acknowledged, usedAt: now,
			accepted: true,
		}
	}
	p.checkedRoutes, p.resetsDeferred = nil, true
}

// takeFlowsOfEndedRuns removes the resettable flows of restarted backend servers, and
// returns for each a frame from which its reset is built. Flows are retained while no
// agent of their service admits new ones: callers that are reset reconnect at once. The
// flows are checked only once for the same routes.
func (p *placements) takeFlowsOfEndedRuns(routes *state.Routes) []frame.Frame {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.checkedRoutes == routes {
		return nil
	}
	p.checkedRoutes = routes
	if !p.recordServerRuns(routes) && !p.resetsDeferred {
		return nil
	}
	p.resetsDeferred = false
	var ended []frame.Frame
	for key, e := range p.flows {
		t, known := routes.Target(e.service)
		if !known || !e.isResettable() {
			continue
		}
		c, alive := t.Agents.ByName(e.agent)
		if !alive {
			continue
		}
		p.doubtEarlierRun(e, c)
		if !p.hasEnded(e, c) {
			continue
		}
		if _, ok := t.Agents.FirstAdmitting(0, nil); !ok && !p.without.resetPacing {
			p.resetsDeferred = true
			continue
		}
		delete(p.flows, key)
		ended = append(ended, frame.Frame{Key: key, Flags: ipv4.FlagACK, Acknowledgment: e.acknowledged})
	}
	return ended
}

// recordServerRuns records the runs of all agents' backend servers, and reports whether
// any of them has restarted. mu must be held.
func (p *placements) recordServerRuns(routes *state.Routes) bool {
	restarted := false
	now := p.now()
	for name, run := range routes.ServerRuns() {
		if run > p.serverRuns[name].run {
			restarted = true
			p.serverRuns[name] = serverRun{run: run, learnedAt: now}
		}
	}
	return restarted
}
