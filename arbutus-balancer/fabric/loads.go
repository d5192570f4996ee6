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
	// estimate is the agent's last estimate, which was received at estimatedAt; zero if there
	// is none. placedSince counts the flows that were sent to the agent since.
	estimate    capsule.Estimate
	estimatedAt time.Time
	placedSince int
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

// recordPlaced records that a flow was sent to the agent.
func (a *agentLoad) recordPlaced() {
	a.placedFlows++
	a.placedSince++
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
	now := p.now()
	p.recordLoad(c.Name, load.Load{Flows: int(l.Flows), Requests: int(l.Requests)}, int(l.Slots), now)
	p.recordEstimate(c.Name, l.Estimate, now)
}

// recordLoad records a load report of the agent, and ends its suspect time. mu must be held.
func (p *placements) recordLoad(name string, reported load.Load, slots int, now time.Time) {
	a := p.ensureAgentLoad(name)
	a.reported, a.slots, a.reportedAt, a.placedFlows, a.suspectUntil = reported, slots, now, 0, time.Time{}
}

// recordEstimate records the estimate of an agent's report, if it has one. mu must be held.
func (p *placements) recordEstimate(name string, e *capsule.Estimate, now time.Time) {
	if e == nil {
		return
	}
	a := p.ensureAgentLoad(name)
	a.estimate, a.estimatedAt, a.placedSince = *e, now, 0
}

// estimated returns the load of an agent with a recent estimate, or nil. mu must be held.
func (p *placements) estimated(name string, now time.Time) *agentLoad {
	a := p.agentLoads[name]
	if a == nil || a.estimate.Service == 0 || now.Sub(a.estimatedAt) >= loadLifetime || p.without.expectedTime {
		return nil
	}
	return a
}

// expectedWait returns how long a request that arrives now is expected to wait at the agent: its
// queue has become shorter since the estimate, and the flows that were sent there since have taken
// its free slots or were added to the queue.
func (a *agentLoad) expectedWait(now time.Time) time.Duration {
	queued := a.placedSince - max(0, a.slots-a.reported.Requests)
	placed := time.Duration(max(0, queued)) * a.estimate.Service / time.Duration(max(1, a.slots))
	return max(0, a.estimate.Wait-now.Sub(a.estimatedAt)) + a.estimate.Penalty + placed
}

// flowWork returns the work that the agent's flows bring, if each of them has one request.
func (a *agentLoad) flowWork() float64 {
	return float64(a.reported.Flows+a.placedFlows+1) * a.estimate.Service.Seconds() / float64(max(1, a.slots))
}

// refuses reports whether the agent has recently reported that it refuses flows of the request
// class. mu must be held.
func (p *placements) refuses(c *placement.Candidate, class uint8, now time.Time) bool {
	a := p.agentLoads[c.Name]
	if a == nil || class == 0 || len(a.estimate.Refusals) == 0 || p.without.entryRefusal {
		return false
	}
	for _, r := range a.estimate.Refusals {
		if r.Class != class {
			continue
		}
		duration := r.Own
		if c.Domain != p.domain {
			duration = r.Remote
		}
		return now.Sub(a.estimatedAt) < duration
	}
	return false
}

// hasEstimateSince reports whether the agent has sent an estimate after the given time. mu must be
// held.
func (p *placements) hasEstimateSince(name string, since time.Time) bool {
	a := p.agentLoads[name]
	return a != nil && a.estimatedAt.After(since)
}
