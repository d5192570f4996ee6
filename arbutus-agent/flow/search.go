package flow

import (
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"arbutusfront.dev/arbutus-agent/directory"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/state/ending"
)

const (
	// searchCheckInterval is how often unclaimed flows are checked while a search is due.
	searchCheckInterval = 50 * time.Millisecond
	// confirmAfter is when all agents are asked again. Their answers arrive before the reset delay
	// has passed, also if one message is lost.
	confirmAfter = ending.ResetDelay - 250*time.Millisecond
	// searchLifetime is how long the result of a search is kept after the flow's last packet.
	searchLifetime = 2 * time.Minute
	// maxSearches bounds the memory for unclaimed flows. Others are not reset.
	maxSearches = 1 << 14
)

type (
	// searches are the searches for the holders of flows whose packets have not visited all agents.
	searches struct {
		// ask begins to ask the other agents, and reports whether it does (agent.Peers.Search).
		ask func(key ipv4.FlowKey, sequence, acknowledgment uint32) bool
		// began receives a value when a search begins.
		began chan struct{}

		mu    sync.Mutex
		flows map[ipv4.FlowKey]*search
	}

	// search is the search for the holder of one flow. It is guarded by searches.mu.
	search struct {
		firstAt, lastAt time.Time
		// sequence and acknowledgment are those of the last packet, and reset is the RST for it.
		sequence, acknowledgment uint32
		reset                    []byte
		// asking is set while agents are asked. askedAt is when that began.
		asking  bool
		askedAt time.Time
		// denied is set if all agents have denied that they hold the flow, asked confirmAfter or later.
		denied bool
		// unanswered is set if some agents have not answered for ending.AnswerTime.
		unanswered bool
		// ended is set once the flow was reset.
		ended bool
	}
)

func newSearches() *searches {
	return &searches{
		ask:   func(ipv4.FlowKey, uint32, uint32) bool { return false },
		began: make(chan struct{}, 1),
		flows: make(map[ipv4.FlowKey]*search),
	}
}

// searchHolder asks all other agents whether they hold the flow of a packet that has not visited
// all of them, and asks again before the reset delay has passed. The flow is reset after the delay
// if all have denied it both times, or after ending.AnswerTime if some don't answer. Until then its
// packets are dropped.
func (e *Engine) searchHolder(p ipv4.Packet) {
	reset := ipv4.Reset(p)
	if reset == nil || !p.Flags().Has(ipv4.FlagACK) {
		// No connection sends such a packet, or it ends with it.
		e.metrics.dropped("no_holder").Inc(1)
		return
	}
	e.searches.mu.Lock()
	defer e.searches.mu.Unlock()
	now, key := e.now(), p.Key()
	s := e.searches.flows[key]
	if s != nil && !s.isOfConnection(p) {
		delete(e.searches.flows, key)
		s = nil
	}
	if s == nil {
		if len(e.searches.flows) >= maxSearches {
			e.metrics.dropped("no_holder").Inc(1)
			return
		}
		s = &search{firstAt: now}
		e.searches.flows[key] = s
	}
	s.lastAt, s.reset, s.sequence, s.acknowledgment = now, reset, p.Sequence(), p.Acknowledgment()
	if s.ended {
		e.resetSearched(s)
		return
	}
	e.metrics.dropped("no_holder").Inc(1)
	e.continueSearch(key, s, now)
	select {
	case e.searches.began <- struct{}{}:
	default:
	}
}

// isOfConnection reports whether the packet belongs to the connection that is searched for, rather
// than to a later one of the same caller's port.
func (s *search) isOfConnection(p ipv4.Packet) bool {
	return inWindow(p.Sequence(), s.sequence) && inWindow(p.Acknowledgment(), s.acknowledgment)
}

// isDue reports whether all agents have to be asked: when the search begins, and once more before
// the reset.
func (s *search) isDue(now time.Time) bool {
	return !s.ended && !s.denied && !s.unanswered && !s.asking &&
		(s.askedAt.IsZero() || now.Sub(s.firstAt) >= confirmAfter)
}

// continueSearch asks the other agents if that is due, or resets the flow if it has ended.
// searches.mu must be held.
func (e *Engine) continueSearch(key ipv4.FlowKey, s *search, now time.Time) {
	mayEnd := e.node.UnclaimedFlowsEnded()
	if (s.denied || s.unanswered) && !s.ended && now.Sub(s.firstAt) >= ending.ResetDelay {
		if mayEnd {
			s.ended = true
			e.logReset(key, s, now)
			e.resetSearched(s)
			return
		}
		// A region may be partitioned since. Its agents are asked when they are known again.
		s.denied, s.unanswered = false, false
	}
	if s.isDue(now) && (s.askedAt.IsZero() || mayEnd) {
		if s.asking = e.searches.ask(key, s.sequence, s.acknowledgment); s.asking {
			s.askedAt = now
		}
	}
}

// SearchEnded records the end of a search in which no agent was found that holds the flow. The
// argument denied is set if all agents were asked, and deny it.
func (e *Engine) SearchEnded(key ipv4.FlowKey, denied bool) {
	e.searches.mu.Lock()
	defer e.searches.mu.Unlock()
	s := e.searches.flows[key]
	if s == nil {
		return
	}
	s.asking = false
	now := e.now()
	if denied {
		s.denied = s.askedAt.Sub(s.firstAt) >= confirmAfter
	} else {
		s.unanswered = now.Sub(s.firstAt) >= ending.AnswerTime
	}
	e.continueSearch(key, s, now)
}

// Found records the agent with the instance as the holder of a flow that was searched for. The entry is
// tentative, as the holder doesn't remove it when the flow ends.
func (e *Engine) Found(key ipv4.FlowKey, instance uint64) {
	if known, ok := e.directory.Get(key); ok && known.Instance != instance {
		e.directory.Remove(key, known.Instance)
	}
	e.directory.Put(key, directory.Holding{Instance: instance, Tentative: true, At: e.now()})
	e.endSearch(key)
}

// endSearch removes the search for the flow, because its holder has become known.
func (e *Engine) endSearch(key ipv4.FlowKey) {
	e.searches.mu.Lock()
	defer e.searches.mu.Unlock()
	delete(e.searches.flows, key)
}

// checkSearches continues all searches, and reports whether one is not at its end.
func (e *Engine) checkSearches() bool {
	e.searches.mu.Lock()
	defer e.searches.mu.Unlock()
	now, pending := e.now(), false
	for key, s := range e.searches.flows {
		if now.Sub(s.lastAt) > searchLifetime {
			delete(e.searches.flows, key)
			continue
		}
		e.continueSearch(key, s, now)
		pending = pending || !s.ended
	}
	return pending
}

// Claims reports whether a packet of a caller with these numbers belongs to a flow held here.
func (e *Engine) Claims(key ipv4.FlowKey, sequence, acknowledgment uint32) bool {
	f := e.flow(key)
	if f == nil {
		return false
	}
	p, err := ipv4.Parse(ipv4.Build(ipv4.Segment{
		Key: key, Flags: ipv4.FlagACK, Sequence: sequence, Acknowledgment: acknowledgment,
	}))
	return err == nil && f.claims(p)
}

func (e *Engine) resetSearched(s *search) {
	e.metrics.resets.Inc(1)
	e.reply(s.reset)
}

func (e *Engine) logReset(key ipv4.FlowKey, s *search, now time.Time) {
	if suppressed, ok := e.samplers.refused.Allow(now); ok {
		_ = level.Info(e.log).Log(
			"event", "flow_reset", "reason", "no_holder", "caller", key.Caller, "service", key.Service,
			"unanswered", s.unanswered, "unclaimed_for", now.Sub(s.firstAt), "left_out", suppressed,
		)
	}
}
