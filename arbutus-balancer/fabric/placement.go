package fabric

import (
	"slices"
	"sync"
	"time"

	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/frame"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/state/load"
	"arbutusfront.dev/common/state/placement"
	"arbutusfront.dev/common/state/unclaimed"
)

const (
	// flowLifetime is how long a flow without packets is remembered. The holder of a flow
	// that outlives its entry is found again by the forwarding chain.
	flowLifetime = 30 * time.Second
	// searchLifetime is the age from which expire removes the search for a flow's
	// holder, which records the services that were queried. A packet takes about 5 ms
	// from one agent to the next.
	searchLifetime = 2 * time.Second
	// expireInterval is the minimum time between removals of expired entries. They are
	// removed when a SYN is placed.
	expireInterval = 5 * time.Second
	// maxFlows bounds the remembered flows and, separately, the running searches. A
	// flow takes 243 bytes (BenchmarkPlacementMemory).
	maxFlows = 1 << 18
	// reportTimeout is how long an agent has to report that it holds a flow whose SYN
	// it was sent. After that, a retransmitted SYN goes to another agent. Between
	// failure domains a packet takes about 5 ms one way, and callers retransmit after
	// 200 ms.
	reportTimeout = 150 * time.Millisecond
	// suspectTime is how long an agent that did not report that it holds a flow whose
	// SYN it was sent is chosen for new flows only if there is no other agent. A report
	// on any flow ends it early.
	suspectTime = time.Second
	// loadLifetime is how long the number of requests in an agent's load report is
	// valid.
	loadLifetime = 2 * time.Second
	// otherDomainMargin is how many requests fewer than an agent at capacity in this
	// failure domain an agent of another one must have to get a flow instead.
	otherDomainMargin = 2
	// maxOtherServices bounds the services besides those of the route that are queried
	// for a flow which was opened before the route changed.
	maxOtherServices = 4
)

type (
	// placements holds the remembered flows and the load of agents.
	placements struct {
		domain    string
		now       func() time.Time
		unclaimed *unclaimed.Set

		mu     sync.Mutex
		flows  map[ipv4.FlowKey]*flowEntry
		agents map[string]*agentLoad
		// searches are the running searches for flows' holders.
		searches    map[ipv4.FlowKey]*search
		lastExpired time.Time
		// checkedRoutes are the routes that were last checked for restarted backend
		// servers, and serverRuns the latest runs, by agent name. resetsDeferred is set
		// while flows of earlier runs still have to be reset.
		checkedRoutes  *state.Routes
		serverRuns     map[string]uint64
		resetsDeferred bool
	}

	// search lists the services whose agents do not hold a flow.
	search struct {
		queried []capsule.ServiceKey
		since   time.Time
	}

	// flowEntry records the agent that holds a flow, or that its SYN was sent to.
	flowEntry struct {
		agent   string
		service capsule.ServiceKey
		// instance is the agent's instance when the SYN was sent to it or, later, when
		// it last reported that it holds the flow; 0 for a flow restored from an
		// earlier run of the balancer.
		instance uint64
		// serverRun is the run of the backend server that holds the flow; 0 if unknown.
		serverRun uint64
		// sequence is the sequence number of the SYN.
		sequence uint32
		// acknowledged is the caller's last acknowledgment number, 0 if none was seen.
		// closed is set once the caller has sent a FIN or RST.
		acknowledged uint32
		closed       bool
		// confirmed is set once the agent has reported that it holds the flow.
		confirmed bool
		// sentAt is when the first SYN was sent to the agent. usedAt is when the flow
		// last had a packet or a report, or was restored.
		sentAt time.Time
		usedAt time.Time
		// tried are the agents that did not report in time that they hold the flow, or
		// are no longer alive.
		tried []string
	}

	// agentLoad is the load of one agent, as last reported, and what was sent to it
	// since.
	agentLoad struct {
		reported   load.Load
		slots      int
		reportedAt time.Time
		// placed counts the flows that were sent to the agent since its last report.
		placed int
		// suspectUntil is when suspectTime ends.
		suspectUntil time.Time
	}
)

func newPlacements(domain string) *placements {
	return &placements{
		domain:    domain,
		now:       time.Now,
		unclaimed: unclaimed.New(),
		flows:     make(map[ipv4.FlowKey]*flowEntry),
		agents:    make(map[string]*agentLoad),

		searches:   make(map[ipv4.FlowKey]*search),
		serverRuns: make(map[string]uint64),
	}
}

// place returns where to forward a SYN. A retransmitted SYN goes to the same agent as
// the first SYN, unless that agent is no longer alive or did not report in time that it
// holds the flow.
func (p *placements) place(route *state.Route, f frame.Frame, hash uint64) (destination, bool) {
	target, ok := route.Pick(hash)
	if !ok {
		return destination{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.expire(now)
	entry := p.flows[f.Key]
	if entry == nil || entry.sequence != f.Sequence || entry.service != target.Key {
		entry = &flowEntry{service: target.Key, sequence: f.Sequence}
		if len(p.flows) < maxFlows {
			p.flows[f.Key] = entry
		}
	} else if c, same := p.previousAgent(entry, target, now); same {
		return destination{target: target, agent: c, marks: capsule.MarkReportHolder}, true
	}
	c, ok := p.chooseAgent(target, hash, entry.tried, now)
	if !ok {
		delete(p.flows, f.Key)
		return destination{}, false
	}
	entry.agent, entry.instance, entry.sentAt, entry.usedAt = c.Name, c.Instance, now, now
	p.ensureAgentLoad(c.Name).placed++
	return destination{target: target, agent: c, marks: capsule.MarkReportHolder}, true
}

// previousAgent returns the agent that an earlier SYN of the flow was sent to. If the
// agent is no longer alive or did not report in time that it holds the flow,
// previousAgent returns false, excludes the agent for this SYN and, unless the agent
// had confirmed the flow, marks it as suspect.
func (p *placements) previousAgent(entry *flowEntry, target *state.Target, now time.Time) (*placement.Candidate, bool) {
	c, alive := target.Agents.ByName(entry.agent)
	if alive && (entry.confirmed || now.Sub(entry.sentAt) < reportTimeout) {
		entry.usedAt = now
		return c, true
	}
	if !entry.confirmed {
		p.ensureAgentLoad(entry.agent).suspectUntil = now.Add(suspectTime)
	}
	entry.confirmed = false
	entry.tried = append(entry.tried, entry.agent)
	return nil, false
}

// chooseAgent returns the agent for a new flow: the less loaded of the two that rank
// highest in this failure domain or, if that one is at capacity, an agent of another
// failure domain with clearly fewer requests. An agent of another failure domain is
// also chosen if this one has none. Agents in tried are excluded. Suspect agents, which
// did not report that they hold another flow, are the last resort.
func (p *placements) chooseAgent(
	target *state.Target, hash uint64, tried []string, now time.Time,
) (*placement.Candidate, bool) {
	var near, remote, suspects topTwo
	candidates := target.Agents.Candidates()
	for i := range candidates {
		c := &candidates[i]
		switch {
		case !c.Admitting || slices.Contains(tried, c.Name):
		case p.isSuspect(c.Name, now):
			suspects.add(c, hash)
		case c.Domain == p.domain:
			near.add(c, hash)
		default:
			remote.add(c, hash)
		}
	}
	bestNear, bestRemote := p.lessLoaded(near, target.Slots, now), p.lessLoaded(remote, target.Slots, now)
	switch {
	case bestNear == nil && bestRemote == nil:
		return suspects.first, suspects.first != nil
	case bestNear == nil:
		return bestRemote, true
	case bestRemote == nil:
		return bestNear, true
	}
	nearLoad, remoteLoad := p.loadOf(bestNear.Name, now), p.loadOf(bestRemote.Name, now)
	if nearLoad.Requests >= p.slotsOf(bestNear.Name, target.Slots) &&
		remoteLoad.Requests+otherDomainMargin <= nearLoad.Requests {
		return bestRemote, true
	}
	return bestNear, true
}

// topTwo are the two candidates that rank highest.
type topTwo struct{ first, second *placement.Candidate }

func (p *topTwo) add(c *placement.Candidate, hash uint64) {
	switch {
	case p.first == nil || c.Score(hash) > p.first.Score(hash):
		p.first, p.second = c, p.first
	case p.second == nil || c.Score(hash) > p.second.Score(hash):
		p.second = c
	}
}

func (p *placements) lessLoaded(of topTwo, slots int, now time.Time) *placement.Candidate {
	if of.second == nil {
		return of.first
	}
	if p.loadOf(of.first.Name, now).Exceeds(p.loadOf(of.second.Name, now), p.slotsOf(of.first.Name, slots)) {
		return of.second
	}
	return of.first
}

// loadOf returns the estimated load of the agent: its last report, plus the flows that
// were sent to it since. The requests of a report older than loadLifetime count as zero.
func (p *placements) loadOf(name string, now time.Time) load.Load {
	a := p.agents[name]
	if a == nil {
		return load.Load{}
	}
	l := load.Load{Flows: a.reported.Flows + a.placed}
	if now.Sub(a.reportedAt) < loadLifetime {
		l.Requests = a.reported.Requests + a.placed
	}
	return l
}

// loadWithAge returns the estimated load of the agent and the age of its last report.
// The age is zero if it has sent none.
func (p *placements) loadWithAge(name string, now time.Time) (l load.Load, age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.agents[name]; a != nil && !a.reportedAt.IsZero() {
		age = now.Sub(a.reportedAt)
	}
	return p.loadOf(name, now), age
}

// slotsOf returns how many requests the agent's backend server runs concurrently, as the
// agent reported or, without a report, as the service is configured.
func (p *placements) slotsOf(name string, configured int) int {
	if a := p.agents[name]; a != nil && a.slots > 0 {
		return a.slots
	}
	return configured
}

func (p *placements) isSuspect(name string, now time.Time) bool {
	a := p.agents[name]
	return a != nil && now.Before(a.suspectUntil)
}

func (p *placements) ensureAgentLoad(name string) *agentLoad {
	a := p.agents[name]
	if a == nil {
		a = new(agentLoad)
		p.agents[name] = a
	}
	return a
}

// locate returns the agent that holds the packet's flow, if it is remembered. It sets
// ended, and removes the flow, if the backend server has restarted since it took the
// flow.
func (p *placements) locate(routes *state.Routes, f frame.Frame) (d destination, ended, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := p.flows[f.Key]
	if entry == nil {
		return destination{}, false, false
	}
	t, known := routes.Target(entry.service)
	if !known {
		return destination{}, false, false
	}
	c, alive := t.Agents.ByName(entry.agent)
	if !alive {
		return destination{}, false, false
	}
	if entry.hasEnded(c) {
		delete(p.flows, f.Key)
		return destination{}, true, false
	}
	entry.usedAt = p.now()
	entry.recordPacket(f)
	d = destination{target: t, agent: c}
	if c.Instance != entry.instance || !entry.confirmed {
		// This incarnation of the agent has not reported that it holds the flow. The
		// marks request the report, and state that by this balancer's records the
		// agent's backend server holds the flow.
		d.marks = capsule.MarkReportHolder | capsule.MarkHolderKnown
	}
	return d, false, true
}

// handleHeld records an agent's report that it holds a flow, and the load that the report
// carries.
func (p *placements) handleHeld(routes *state.Routes, h capsule.Held) {
	if t, c, ok := routes.Agent(h.Instance); ok {
		p.recordHolder(t, c, h)
	}
}

func (p *placements) recordHolder(t *state.Target, c *placement.Candidate, h capsule.Held) {
	p.unclaimed.Remove(h.Key)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.searches, h.Key)
	now := p.now()
	a := p.ensureAgentLoad(c.Name)
	a.reported = load.Load{Flows: int(h.Flows), Requests: int(h.Requests)}
	a.slots, a.reportedAt, a.placed, a.suspectUntil = int(h.Slots), now, 0, time.Time{}
	entry := p.flows[h.Key]
	if entry == nil {
		if len(p.flows) >= maxFlows {
			return
		}
		entry = new(flowEntry)
		p.flows[h.Key] = entry
	}
	entry.agent, entry.service, entry.instance = c.Name, t.Key, c.Instance
	entry.serverRun = h.ServerRun
	entry.recordAcknowledged(h.Acknowledged)
	entry.confirmed, entry.usedAt = true, now
}

// recordUnclaimed records that no agent of the service holds the flow, and removes the
// remembered holder. It returns all services that the current search has excluded so
// far.
func (p *placements) recordUnclaimed(key ipv4.FlowKey, service capsule.ServiceKey) []capsule.ServiceKey {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.flows, key)
	s := p.searches[key]
	if s == nil {
		s = &search{since: p.now()}
		if len(p.searches) < maxFlows {
			p.searches[key] = s
		}
	}
	if !slices.Contains(s.queried, service) {
		s.queried = append(s.queried, service)
	}
	return slices.Clone(s.queried)
}

// endSearch removes the record of the services that were queried for the flow.
func (p *placements) endSearch(key ipv4.FlowKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.searches, key)
}

// expire removes expired flows and searches, at most once per expireInterval. mu must
// be held.
func (p *placements) expire(now time.Time) {
	if now.Sub(p.lastExpired) < expireInterval {
		return
	}
	p.lastExpired = now
	p.unclaimed.Expire(now)
	for key, entry := range p.flows {
		if now.Sub(entry.usedAt) > flowLifetime {
			delete(p.flows, key)
		}
	}
	for key, s := range p.searches {
		if now.Sub(s.since) > searchLifetime {
			delete(p.searches, key)
		}
	}
}
