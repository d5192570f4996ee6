package fabric

import (
	"time"

	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/protocol/frame"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/state/demand"
)

// logPrecision is the precision of durations in log lines.
const logPrecision = 100 * time.Microsecond

// entryRefusal is what is known when a flow is refused at the entry.
type entryRefusal struct {
	// agents is the number of the service's agents, refusing that of those that refuse the class.
	agents, refusing int
	// agent is the one of them with the shortest expected wait, domain its failure domain.
	agent, domain string
	wait          time.Duration
	// age is that of the agent's report, validFor how much longer its refusal is valid.
	age, validFor time.Duration
}

// Demand returns the numbers of requests that this balancer has refused in the last ten seconds.
func (f *Forwarder) Demand(now time.Time) []demand.Figures { return f.demand.Figures(now) }

// refuseBusy resets the flow of a SYN if all agents refuse its request class. No request of it has
// run, and its caller can retry while the request can still be in time.
func (f *Forwarder) refuseBusy(route *state.Route, p frame.Frame, hash uint64, err error) {
	target, ok := route.Pick(hash)
	if ipv4.ReasonOf(err) != dropRefused || !ok {
		return
	}
	now := f.placement.now()
	x := f.placement.explainRefusal(target, now)
	left := max(0, target.Requests.TargetLatency()-p.Age)
	f.demand.RecordRefused(
		demand.Kind{Service: target.Service, Class: target.Requests},
		demand.Refusal{Reason: demand.AllAgentsRefuse, Wait: x.wait, Allowed: left}, now,
	)
	if !f.reset(p) {
		return
	}
	f.refused.Inc(1)
	f.logReset(p, string(dropRefused),
		"start", p.Sequence, "route", route.Name, "target", demand.TargetOf(target.Requests),
		"priority", target.Requests.Priority, "age", p.Age.Round(logPrecision),
		"wait", x.wait.Round(logPrecision), "left", left.Round(logPrecision),
		"agent", x.agent, "agent_domain", x.domain,
		"load_age", x.age.Round(logPrecision), "valid_for", x.validFor.Round(logPrecision),
		"agents", x.agents, "refusing", x.refusing,
	)
}

// explainRefusal returns why a new flow of the target is refused.
func (p *placements) explainRefusal(target *state.Target, now time.Time) entryRefusal {
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates := target.Agents.Candidates()
	x := entryRefusal{agents: len(candidates)}
	for i := range candidates {
		c := &candidates[i]
		if !c.Admitting || !p.refuses(c, target.Class, now) {
			continue
		}
		a := p.agentLoads[c.Name]
		x.refusing++
		if wait := a.expectedWait(now); x.agent == "" || wait < x.wait {
			x.agent, x.domain, x.wait = c.Name, c.Domain, wait
			x.age = now.Sub(a.estimatedAt)
			x.validFor = p.refusedFor(c.Domain, a, target.Class) - x.age
		}
	}
	return x
}

// refusedFor returns for how long from its report on the agent refuses flows of the class that this
// balancer places there. mu must be held.
func (p *placements) refusedFor(domain string, a *agentLoad, class uint8) time.Duration {
	for _, r := range a.estimate.Refusals {
		if r.Class != class {
			continue
		}
		if domain != p.domain {
			return r.Remote
		}
		return r.Own
	}
	return 0
}
