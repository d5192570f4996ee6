package fabric

import (
	"time"

	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/state/demand"
	"arbutusfront.dev/common/state/placement"
)

// AgentDump is what the balancer knows of one agent's load, as shown in its dump.
type AgentDump struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Domain  string `json:"domain"`
	// Flows, Requests and Slots are those of the last report, ReportAgeMillis its age.
	Flows           int   `json:"flows"`
	Requests        int   `json:"requests"`
	Slots           int   `json:"slots"`
	ReportAgeMillis int64 `json:"report_age_millis"`
	// Placed is the number of flows that were sent to the agent since that report.
	Placed int `json:"placed"`
	// Suspect is set while the agent is the last resort, as it did not report a flow in time.
	Suspect bool `json:"suspect"`
	// Estimate is absent if the agent has sent none. EstimateAgeMillis is its age, and
	// EstimateUsed is set while it is recent enough for decisions.
	Estimate          *demand.EstimateDump `json:"estimate,omitempty"`
	EstimateAgeMillis int64                `json:"estimate_age_millis"`
	EstimateUsed      bool                 `json:"estimate_used"`
	// ExpectedWaitMicros is the wait of a request that is placed there now.
	ExpectedWaitMicros int64 `json:"expected_wait_micros"`
}

// DumpAgents returns what the balancer knows of the load of each agent that has reported any,
// ordered by service and name. The function classOf returns the request class of a service's code.
func (f *Forwarder) DumpAgents(classOf func(service string, code uint8) config.RequestClass) []AgentDump {
	if f.placement == nil {
		return nil
	}
	all, estimates := f.placement.dumpAgents(f.node.Routes())
	for i, e := range estimates {
		if e == nil {
			continue
		}
		dump := demand.DumpEstimate(*e, func(code uint8) config.RequestClass { return classOf(all[i].Service, code) })
		all[i].Estimate = &dump
	}
	return all
}

// dumpAgents returns the agents' loads without their estimates, and these. The classes of the
// estimates are looked up without p.mu, as that takes long in a large fleet.
func (p *placements) dumpAgents(routes *state.Routes) ([]AgentDump, []*capsule.Estimate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []AgentDump
	var estimates []*capsule.Estimate
	for _, t := range routes.Services() {
		for i := range t.Agents.Candidates() {
			c := &t.Agents.Candidates()[i]
			if a := p.agentLoads[c.Name]; a != nil {
				all = append(all, p.dumpAgent(t, c, a))
				estimates = append(estimates, a.copyEstimate())
			}
		}
	}
	return all, estimates
}

// dumpAgent returns what is known of the agent's load. mu must be held.
func (p *placements) dumpAgent(t *state.Target, c *placement.Candidate, a *agentLoad) AgentDump {
	now := p.now()
	d := AgentDump{
		Name: c.Name, Service: t.Service, Domain: c.Domain,
		Flows: a.reported.Flows, Requests: a.reported.Requests, Slots: a.slots, Placed: a.placedFlows,
		ReportAgeMillis: ageMillis(a.reportedAt, now), Suspect: p.isSuspect(c.Name, now),
		EstimateAgeMillis: ageMillis(a.estimatedAt, now), EstimateUsed: p.estimated(c.Name, now) != nil,
	}
	if !a.estimatedAt.IsZero() {
		d.ExpectedWaitMicros = a.expectedWait(now).Microseconds()
	}
	return d
}

// ageMillis returns the time since then; 0 if it is zero.
func ageMillis(then, now time.Time) int64 {
	if then.IsZero() {
		return 0
	}
	return now.Sub(then).Milliseconds()
}

// copyEstimate returns the agent's last estimate, or nil if it has sent none.
func (a *agentLoad) copyEstimate() *capsule.Estimate {
	if a.estimatedAt.IsZero() {
		return nil
	}
	e := a.estimate
	return &e
}
