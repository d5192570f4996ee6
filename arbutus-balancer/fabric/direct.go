package fabric

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/frame"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/state/placement"
	"arbutusfront.dev/common/transport/datagram"
)

const (
	// chainHops is how many agents a packet of an unknown flow visits one after the other, passed on by
	// each to the next, in a service that has more than capsule.MaxVisited. The others are asked directly
	// if no agent of another service has the flow.
	chainHops = capsule.MaxVisited / 2
	// maxWaiting bounds the agents that are asked about a flow at the same time.
	maxWaiting = 128
	// repeatInterval is the minimum time between two packets to the same agent about a flow. Callers
	// retransmit after 200 ms.
	repeatInterval = 100 * time.Millisecond
	// maxQueries bounds the direct queries of a balancer in each queryWindow. What exceeds it waits for
	// the caller's next packet.
	maxQueries  = 1024
	queryWindow = 100 * time.Millisecond
)

var (
	// An agent passes a packet on until its visited list is full. Zeros, which are no agent's instance,
	// shorten the list: chainVisited leaves room for chainHops agents, directVisited for the target alone.
	chainVisited  = make([]uint64, capsule.MaxVisited-chainHops)
	directVisited = make([]uint64, capsule.MaxVisited-1)
)

type (
	// directSearch asks all agents that may hold a flow, each with a packet of its own. A packet that is
	// passed from one agent to the next visits only some of the agents of a large service, and that these
	// don't know the flow does not prove that it has ended.
	directSearch struct {
		// waiting are the agents that have not responded yet, with the instance that was asked; 0 if
		// the agent is away and may return. remaining are those that were not asked yet.
		waiting   map[agentRef]uint64
		remaining []agentRef
		// known are the agents that are asked in this search, and askedAt is when the last of them was
		// asked first; zero while some remain.
		known   map[agentRef]bool
		askedAt time.Time
		// uncertain is set once an agent has responded that may not know all flows of its backend
		// server.
		uncertain  bool
		repeatedAt time.Time
	}

	// progress is the state of a search after a packet: whom to ask next, whether all agents have
	// responded, and whether one of them may not know all flows of its backend server.
	progress struct {
		search      search
		queries     []destination
		isComplete  bool
		isUncertain bool
		// askedFor is how long ago the last agent was asked first; 0 if some were not asked yet.
		askedFor time.Duration
	}

	// agentRef names an agent of a service.
	agentRef struct {
		service capsule.ServiceKey
		name    string
	}

	// queryBudget counts the direct queries in the current window.
	queryBudget struct {
		startedAt time.Time
		used      int
	}
)

// shortenedVisited returns the visited list with which a packet of an unknown flow is sent to the first of
// the agents: none if the packet can visit all of them.
func shortenedVisited(agents *placement.Service) []uint64 {
	if len(agents.Candidates()) > capsule.MaxVisited {
		return chainVisited
	}
	return nil
}

// searchDirectly begins or continues the direct search for the holder of a flow, after the packet was
// returned by the last agent of a chain or, with MarkDirect, by one that was asked directly. It resets the
// flow once all agents have responded (see endUnclaimed); without a configuration it never does.
func (f *Forwarder) searchDirectly(routes *state.Routes, targets []*state.Target, h capsule.Header, p frame.Frame) {
	isResponse := h.Marks.Has(capsule.MarkDirect)
	if !isResponse {
		for _, t := range targets {
			f.placement.recordQueried(routes, p.Key, t.Key)
		}
	}
	next, ok := f.placement.advance(p.Key, targets, h)
	if !ok {
		return
	}
	f.sendQueries(routes, next.queries, p)
	if next.isComplete {
		f.placement.endSearch(p.Key)
	}
	if routes.Revision.IsZero() || isResponse && !next.isComplete {
		return
	}
	if next.isUncertain {
		h.Marks |= capsule.MarkUncertain
	}
	f.endUnclaimed(routes, h, p, next)
}

// sendQueries sends the packet to each of the agents alone.
func (f *Forwarder) sendQueries(routes *state.Routes, queries []destination, p frame.Frame) {
	batch := make([]datagram.Message, 0, len(queries))
	for _, q := range queries {
		b := capsule.AppendPacket(nil, capsule.Header{
			Visited:  directVisited,
			Revision: routes.Revision.Number,
			Sender:   f.self.Instance,
			Target:   q.agent.Instance,
			Service:  q.target.Key,
			Origin:   f.self.Packet,
			Marks:    capsule.MarkReportHolder | capsule.MarkDirect,
		}, p.Bytes)
		batch = append(batch, datagram.Message{Buffer: b, N: len(b), Peer: q.agent.Packet})
	}
	sent, _ := f.writeBatch(batch)
	f.queries.Inc(int64(sent))
	f.recordSent(batch[:sent])
}

// advance records the packet that was returned in the direct search for the flow's holder, which it
// begins if none is running. It returns false for a response that is not awaited, as when the holder was
// found meanwhile.
func (p *placements) advance(key ipv4.FlowKey, targets []*state.Target, h capsule.Header) (progress, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	s := p.searches[key]
	isResponse := h.Marks.Has(capsule.MarkDirect)
	if s == nil || isResponse && s.direct == nil {
		return progress{}, false
	}
	if s.direct == nil {
		s.direct = &directSearch{waiting: make(map[agentRef]uint64), known: make(map[agentRef]bool)}
	}
	d := s.direct
	s.usedAt = now
	next := progress{search: *s}
	if isResponse {
		d.recordResponse(h)
	} else {
		next.queries = p.repeat(d, targets, now)
	}
	if !isResponse || d.isComplete() {
		d.addCandidates(targets)
	}
	next.queries = append(next.queries, p.askNext(d, targets, now)...)
	next.isComplete, next.isUncertain = d.isComplete(), d.uncertain
	if !d.askedAt.IsZero() {
		next.askedFor = now.Sub(d.askedAt)
	}
	return next, true
}

func (s *directSearch) isComplete() bool { return len(s.waiting)+len(s.remaining) == 0 }

// addCandidates adds the agents that are not known in this search: all of them at its beginning, and those
// that have joined or come back since.
func (s *directSearch) addCandidates(targets []*state.Target) {
	for _, t := range targets {
		for _, c := range t.Agents.Candidates() {
			ref := agentRef{service: t.Key, name: c.Name}
			if !s.known[ref] {
				s.known[ref] = true
				s.remaining = append(s.remaining, ref)
			}
		}
	}
}

// recordResponse records the response of the target. If another agent has passed the packet on to it, as
// its directory lists the target as the holder, that one does not hold the flow either.
func (s *directSearch) recordResponse(h capsule.Header) {
	for ref, instance := range s.waiting {
		if instance != 0 && (instance == h.Target || instance == h.Sender) {
			delete(s.waiting, ref)
		}
	}
	s.uncertain = s.uncertain || h.Marks.Has(capsule.MarkUncertain)
}

// repeat returns the agents that have not responded, at most once per repeatInterval: queries and
// responses may be lost, and agents restart. Those that are gone for good no longer count. mu must be held.
func (p *placements) repeat(s *directSearch, targets []*state.Target, now time.Time) []destination {
	if now.Sub(s.repeatedAt) < repeatInterval {
		return nil
	}
	s.repeatedAt = now
	var queries []destination
	for _, ref := range slices.SortedFunc(maps.Keys(s.waiting), compareRefs) {
		if !p.budget.allows(now) {
			break
		}
		delete(s.waiting, ref)
		queries = p.ask(s, targets, ref, now, queries)
	}
	return queries
}

func compareRefs(a, b agentRef) int {
	return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.name, b.name))
}

// askNext returns further agents to ask. mu must be held.
func (p *placements) askNext(s *directSearch, targets []*state.Target, now time.Time) []destination {
	var queries []destination
	for len(s.remaining) > 0 && len(s.waiting) < maxWaiting && p.budget.allows(now) {
		ref := s.remaining[0]
		s.remaining = s.remaining[1:]
		s.askedAt = now
		queries = p.ask(s, targets, ref, now, queries)
	}
	if len(s.remaining) > 0 {
		s.askedAt = time.Time{}
	}
	return queries
}

// ask appends the agent to the queries and waits for it, also if it is away and may return. mu must be held.
func (p *placements) ask(
	s *directSearch, targets []*state.Target, ref agentRef, now time.Time, queries []destination,
) []destination {
	for _, t := range targets {
		if t.Key != ref.service {
			continue
		}
		if c, alive := t.Agents.ByName(ref.name); alive {
			p.budget.used++
			s.waiting[ref] = c.Instance
			return append(queries, destination{target: t, agent: c})
		}
	}
	if p.mayReturn(ref.name, now) {
		s.waiting[ref] = 0
	}
	return queries
}

// allows reports whether another query may be sent.
func (b *queryBudget) allows(now time.Time) bool {
	if now.Sub(b.startedAt) >= queryWindow {
		*b = queryBudget{startedAt: now}
	}
	return b.used < maxQueries
}
