package fabric

import (
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

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
	// searchLifetime is how long a search for a flow's holder is remembered after a packet of the flow was
	// returned. Callers retransmit at least every 1.6 s.
	searchLifetime = 2 * time.Second
	// expireInterval is the minimum time between removals of expired entries. They are
	// removed only when a SYN is placed.
	expireInterval = 5 * time.Second
	// maxFlows bounds the remembered flows and, separately, the running searches. A
	// flow takes 243 bytes (BenchmarkPlacementMemory).
	maxFlows = 1 << 18
	// reportTimeout is how long an agent has, after a SYN was sent to it, to report that
	// it holds the flow. After that, a retransmitted SYN goes to another agent. Between
	// failure domains a packet takes about 5 ms one way, and callers retransmit after
	// 200 ms.
	reportTimeout = 150 * time.Millisecond
	// maxOtherServices bounds the services besides those of the route that are queried
	// for a flow: it may have been opened before the targets of the route changed.
	maxOtherServices = 4
)

type (
	// placements holds the remembered and unclaimed flows, searches and agents' loads.
	placements struct {
		domain    string
		without   disabled
		now       func() time.Time
		unclaimed *unclaimed.Set
		// unrouted records when the first packet of a flow without a route arrived.
		unrouted *unclaimed.Set
		// mayReturn reports whether the next incarnation of an agent that has ended may
		// still appear.
		mayReturn func(agent string, now time.Time) bool
		// reportsIgnored counts reports that did not replace what is known of a flow's holder.
		reportsIgnored tally.Counter

		mu         sync.Mutex
		flows      map[ipv4.FlowKey]*flowEntry
		agentLoads map[string]*agentLoad
		searches   map[ipv4.FlowKey]*search
		// budget bounds the packets of direct searches.
		budget      queryBudget
		lastExpired time.Time
		// checkedRoutes are the routes that were last checked for restarted backend
		// servers, and serverRuns the latest runs, by agent name. resetsDeferred is set
		// while flows of earlier runs may still have to be reset.
		checkedRoutes  *state.Routes
		serverRuns     map[string]serverRun
		resetsDeferred bool
	}

	// serverRun is a run of a backend server, and when the balancer learned of it.
	serverRun struct {
		run       uint64
		learnedAt time.Time
	}

	// disabled are the mechanisms that are switched off.
	disabled struct {
		rememberedFlows, lessLoaded, ownDomainFirst, runResets, resetPacing, entryRefusal, expectedTime bool
	}

	// search lists the services that were queried for a flow's holder without success.
	search struct {
		queried []capsule.ServiceKey
		// usedAt is when a packet of the flow was last returned.
		usedAt time.Time
		// direct is set once the agents are asked directly.
		direct *directSearch
		// returnedByHolder is set if the agent that was remembered as the flow's holder is
		// alive, and so has returned the flow itself.
		returnedByHolder bool
	}

	// flowEntry records the agent that holds a flow, or that its SYN was sent to.
	flowEntry struct {
		agent   string
		service capsule.ServiceKey
		// instance is the agent's instance when the SYN was sent to it or, later, when
		// it last reported that it holds the flow; 0 for a flow restored from an
		// earlier run of the balancer.
		instance uint64
		// serverRun is the run of the backend server that took the flow; 0 if unknown.
		serverRun uint64
		// sequence is the sequence number of the SYN; 0 if place did not add the entry.
		sequence uint32
		// acknowledged is the caller's last acknowledgment number, 0 if none was seen.
		acknowledged uint32
		// accepting is the acknowledgment number that accepts the SYN-ACK that the agent has
		// reported; 0 if it has reported none.
		accepting uint32
		// closed is set once the caller has sent a FIN or RST.
		closed bool
		// confirmed is set once the agent has reported that it holds the flow, or a SYN-ACK.
		confirmed bool
		// accepted is set once the agent certainly holds the flow: the caller has accepted
		// its SYN-ACK, or the agent has reported it after that.
		accepted bool
		// sentAt is when the flow's first SYN to this agent was sent or, without one, when the
		// first report arrived; zero if the flow was restored. usedAt is when the flow last had a
		// packet or a report, or was restored.
		sentAt time.Time
		usedAt time.Time
		// tried are the agents that did not report in time that they hold the flow, or
		// are no longer alive.
		tried []string
	}
)

func newPlacements(domain string, mayReturn func(agent string, now time.Time) bool) *placements {
	return &placements{
		domain:    domain,
		now:       time.Now,
		unclaimed: unclaimed.New(),
		unrouted:  unclaimed.New(),
		mayReturn: mayReturn,

		reportsIgnored: tally.NoopScope.Counter("holder_reports_ignored"),

		flows:      make(map[ipv4.FlowKey]*flowEntry),
		agentLoads: make(map[string]*agentLoad),

		searches:   make(map[ipv4.FlowKey]*search),
		serverRuns: make(map[string]serverRun),
	}
}

// place returns where to forward a SYN, and remembers the agent. A retransmitted SYN goes
// to the same agent as the first SYN, unless that agent is no longer alive or did not
// report in time that it holds the flow. place also removes expired entries. Its errors are
// dropNoAgent if there is no target or agent for a new flow, dropRefused if all agents
// refuse flows of its request class, and dropAway for a late copy of the SYN of an open flow whose
// agent may return.
func (p *placements) place(route *state.Route, f frame.Frame, hash uint64) (destination, error) {
	target, ok := route.Pick(hash)
	if !ok {
		return destination{}, dropNoAgent
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
	} else if _, alive := target.Agents.ByName(entry.agent); !alive && p.mayReturnTo(entry) {
		return destination{}, dropAway
	} else if c, same := p.reuseAgent(entry, target, now); same {
		return p.newFlow(target, c), nil
	}
	c, err := p.chooseByLoad(target, hash, entry.tried, now)
	if err != nil {
		delete(p.flows, f.Key)
		return destination{}, err
	}
	entry.agent, entry.instance, entry.sentAt, entry.usedAt = c.Name, c.Instance, now, now
	p.ensureAgentLoad(c.Name).recordPlaced()
	return p.newFlow(target, c), nil
}

// newFlow returns the destination of a SYN.
func (p *placements) newFlow(target *state.Target, c *placement.Candidate) destination {
	d := destination{target: target, agent: c, marks: capsule.MarkReportHolder}
	if c.Domain != p.domain && target.Class != 0 {
		d.marks |= capsule.MarkRemote
	}
	return d
}

// reuseAgent returns the agent that an earlier SYN of the flow was sent to. If the agent
// is no longer alive or did not report in time that it holds the flow, reuseAgent returns
// false, excludes the agent for this SYN and its retransmissions and, unless the agent had
// confirmed the flow, marks it as suspect. mu must be held.
func (p *placements) reuseAgent(entry *flowEntry, target *state.Target, now time.Time) (*placement.Candidate, bool) {
	c, alive := target.Agents.ByName(entry.agent)
	if alive && (entry.confirmed || now.Sub(entry.sentAt) < reportTimeout || p.hasEstimateSince(c.Name, entry.sentAt)) {
		entry.usedAt = now
		return c, true
	}
	if !entry.confirmed {
		p.ensureAgentLoad(entry.agent).suspectUntil = now.Add(suspectTime)
	}
	entry.confirmed, entry.accepted, entry.accepting = false, false, 0
	entry.tried = append(entry.tried, entry.agent)
	return nil, false
}

// locate returns the agent that is remembered for the packet's flow, if it is alive, and
// records the packet. The agent may not have confirmed the flow yet. The flow is removed if the
// backend server has restarted since it took the flow.
func (p *placements) locate(routes *state.Routes, f frame.Frame) (destination, holderState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := p.flows[f.Key]
	if entry == nil || p.without.rememberedFlows {
		return destination{}, holderUnknown
	}
	entry.recordPacket(f)
	t, known := routes.Target(entry.service)
	if !known {
		return destination{}, holderUnknown
	}
	c, alive := t.Agents.ByName(entry.agent)
	if !alive && p.mayReturnTo(entry) {
		entry.usedAt = p.now()
		return destination{}, holderAway
	}
	if !alive {
		return destination{}, holderUnknown
	}
	p.doubtEarlierRun(entry, c)
	if p.hasEnded(entry, c) {
		delete(p.flows, f.Key)
		return destination{}, holderEnded
	}
	entry.usedAt = p.now()
	d := destination{target: t, agent: c}
	switch {
	case c.Instance != entry.instance || !entry.confirmed:
		// This incarnation of the agent has not reported that it holds the flow.
		// MarkReportHolder requests the report. MarkHolderKnown tells the agent that,
		// by this balancer's records, its backend server has the flow.
		d.marks = capsule.MarkReportHolder | capsule.MarkHolderKnown
	case !entry.accepted:
		d.marks = capsule.MarkReportHolder
	}
	return d, holderAlive
}

// handleHeld records an agent's report that it holds a flow, and the load that the report
// carries, if the agent is known.
func (p *placements) handleHeld(routes *state.Routes, h capsule.Held) {
	if t, c, ok := routes.Agent(h.Instance); ok {
		p.recordHolder(t, c, h)
	}
}

// recordHolder records h, unless a holder is known that rules it out. It also ends the search for the
// holder and c's suspect time.
func (p *placements) recordHolder(t *state.Target, c *placement.Candidate, h capsule.Held) {
	p.unclaimed.Remove(h.Key)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.searches, h.Key)
	now := p.now()
	p.recordLoad(c.Name, load.Load{Flows: int(h.Flows), Requests: int(h.Requests)}, int(h.Slots), now)
	p.recordEstimate(c.Name, h.Estimate, now)
	entry := p.flows[h.Key]
	if entry == nil {
		if len(p.flows) >= maxFlows {
			return
		}
		entry = &flowEntry{sentAt: now}
		p.flows[h.Key] = entry
	}
	if !entry.accepts(c.Name, h) {
		p.reportsIgnored.Inc(1)
		return
	}
	entry.recordClaim(c.Name, h)
	entry.service, entry.instance, entry.usedAt = t.Key, c.Instance, now
}

// recordQueried records that the service was queried for the flow's holder without
// success, and starts a search if none was in use within searchLifetime. It also
// forgets the agent that was remembered for the flow. It returns a copy of the search.
func (p *placements) recordQueried(routes *state.Routes, key ipv4.FlowKey, service capsule.ServiceKey) search {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	s, known := p.searches[key]
	if !known || now.Sub(s.usedAt) > searchLifetime {
		s = new(search)
		if known || len(p.searches) < maxFlows {
			p.searches[key] = s
		}
	}
	s.usedAt = now
	if e := p.flows[key]; e != nil {
		t, known := routes.Target(e.service)
		if known && e.accepted && e.service == service {
			_, s.returnedByHolder = t.Agents.ByName(e.agent)
		}
		delete(p.flows, key)
	}
	if !slices.Contains(s.queried, service) {
		s.queried = append(s.queried, service)
	}
	found := *s
	found.queried = slices.Clone(s.queried)
	return found
}

// endSearch forgets which services were queried for the flow.
func (p *placements) endSearch(key ipv4.FlowKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.searches, key)
}

// expire removes expired remembered flows, unclaimed flows and searches, at most once per
// expireInterval. mu must be held.
func (p *placements) expire(now time.Time) {
	if now.Sub(p.lastExpired) < expireInterval {
		return
	}
	p.lastExpired = now
	p.unclaimed.Expire(now)
	p.unrouted.Expire(now)
	for key, entry := range p.flows {
		if now.Sub(entry.usedAt) > flowLifetime {
			delete(p.flows, key)
		}
	}
	for key, s := range p.searches {
		if now.Sub(s.usedAt) > searchLifetime {
			delete(p.searches, key)
		}
	}
}
