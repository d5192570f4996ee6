package fabric

import (
	"time"

	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/state/load"
	"arbutusfront.dev/common/state/placement"
)

const (
	// suspectTime is how long an agent is the last resort for new flows after it failed
	// to report a flow within reportTimeout. Any report of its load ends it early.
	suspectTime = time.Second
	// loadLifetime is how long the number of requests in an agent's load report is
	// valid.
	loadLifetime = 2 * time.Second
)

// agentLoad is the last load report of one agent, the number of flows that were sent
// to the agent since, and whether it is suspect (suspectTime).
type agentLoad struct {
	reported   load.Load
	slots      int
	reportedAt time.Time
	// placedFlows counts the flows that were sent to the agent since its last report.
	placedFlows int
	// suspectUntil is until when the agent is suspect; zero after a report.
	suspectUntil time.Time
}

// lessLoaded returns the less loaded candidate, or nil without any. mu must be held.
func (p *placements) lessLoaded(of topTwo, slots int, now time.Time) *placement.Candidate {
	if of.second == nil || p.without.lessLoaded {
		return of.first
	}
	if p.loadOf(of.first.Name, now).Exceeds(p.loadOf(of.second.Name, now), p.slotsOf(of.first.Name, slots)) {
		return of.second
	}
	return of.first
}

// loadOf returns the estimated load of the agent: its last report, plus the flows that
// were sent to it since. Without a report in loadLifetime, Requests is 0. mu must be held.
func (p *placements) loadOf(name string, now time.Time) load.Load {
	a := p.agentLoads[name]
	if a == nil {
		return load.Load{}
	}
	l := load.Load{Flows: a.reported.Flows + a.placedFlows}
	if now.Sub(a.reportedAt) < loadLifetime {
		l.Requests = a.reported.Requests + a.placedFlows
	}
	return l
}

// loadWithAge returns the estimated load of the agent and the age of its last report.
// The age is zero if it has sent none.
func (p *placements) loadWithAge(name string, now time.Time) (l load.Load, age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.agentLoads[name]; a != nil && !a.reportedAt.IsZero() {
		age = now.Sub(a.reportedAt)
	}
	return p.loadOf(name, now), age
}

// slotsOf returns how many requests the agent's backend server runs concurrently, as the
// agent reported or, without a report, as the service is configured. mu must be held.
func (p *placements) slotsOf(name string, configured int) int {
	if a := p.agentLoads[name]; a != nil && a.slots > 0 {
		return a.slots
	}
	return configured
}

func (p *placements) isSuspect(name string, now time.Time) bool {
	a := p.agentLoads[name]
	return a != nil && now.Before(a.suspectUntil)
}

func (p *placements) ensureAgentLoad(name string) *agentLoad {
	a := p.agentLoads[name]
	if a == nil {
		a = new(agentLoad)
		p.agentLoads[name] = a
	}
	return a
}

// handleLoad records an agent's load report, if the agent is known.
func (p *placements) handleLoad(routes *state.Routes, l capsule.Load) {
	_, c, ok := routes.Agent(l.Instance)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordLoad(c.Name, load.Load{Flows: int(l.Flows), Requests: int(l.Requests)}, int(l.Slots), p.now())
}

// recordLoad records a load report of the agent, and ends its suspect time. mu must be held.
func (p *placements) recordLoad(name string, reported load.Load, slots int, now time.Time) {
	a := p.ensureAgentLoad(name)
	a.reported, a.slots, a.reportedAt, a.placedFlows, a.suspectUntil = reported, slots, now, 0, time.Time{}
}
