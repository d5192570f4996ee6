package agent

import (
	"context"
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/go-kit/log/level"

	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/state/ending"
	"arbutusfront.dev/common/state/placement"
	"arbutusfront.dev/common/transport/wait"
)

const (
	// flowsPerSearch keeps a search within one Ethernet frame.
	flowsPerSearch = 48
	// searchDelay is how long flows are batched before they are searched for in one round.
	searchDelay = 20 * time.Millisecond
	// searchPause is the time for each message of a round until the next round. It bounds the
	// rate of messages, whatever the number of flows and of agents.
	searchPause = time.Millisecond
	// searchTimeout ends a round in which an agent does not answer, although no balancer has
	// declared it dead.
	searchTimeout = ending.AnswerTime
	// maxSearched bounds the flows that wait for a round, and maxRounds the rounds that wait for
	// answers.
	maxSearched = 4096
	maxRounds   = 64

	searchedBytes = ipv4.FlowKeyBytes + 8
)

type (
	// searched is a flow that is searched for, with the numbers of a packet of its caller.
	searched struct {
		key                      ipv4.FlowKey
		sequence, acknowledgment uint32
	}

	// searches are the flows that are searched for. They are guarded by Peers.mu.
	searches struct {
		pending []searched
		rounds  map[uint64]*round
		// wake receives a value when pending is no longer empty.
		wake chan struct{}
	}

	// round is one search for several flows. It is guarded by Peers.mu.
	round struct {
		flows []searched
		// held is set for the flows that an agent holds.
		held []bool
		// answered are the instances that have answered, awaited those that still have to.
		answered, awaited map[uint64]bool
		// complete receives a value when awaited becomes empty.
		complete chan struct{}
	}
)

func newSearches() searches {
	return searches{rounds: make(map[uint64]*round), wake: make(chan struct{}, 1)}
}

// Search asks all other agents of the service whether they hold the flow of a caller's packet
// with these numbers. Search reports whether the search begins. EngineHooks.Found or
// EngineHooks.SearchEnded is called at its end then.
func (p *Peers) Search(key ipv4.FlowKey, sequence, acknowledgment uint32) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.searches.pending) >= maxSearched {
		return false
	}
	p.searches.pending = append(p.searches.pending, searched{key, sequence, acknowledgment})
	notify(p.searches.wake)
	return true
}

// runSearches starts a round of up to flowsPerSearch flows at a time until ctx is canceled. It
// then waits for the rounds, and sends nil on the channel.
func (p *Peers) runSearches(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		running := make(chan struct{}, maxRounds)
		// Late answers to an earlier incarnation must not count.
		for sequence := p.self().Instance; p.awaitSearch(ctx); sequence++ {
			r := p.beginRound(sequence)
			running <- struct{}{}
			go func() {
				p.runRound(ctx, sequence, r)
				<-running
			}()
			if !wait.For(ctx, time.Duration(len(p.node.View().Agents.Candidates()))*searchPause) {
				break
			}
		}
		for range maxRounds {
			running <- struct{}{}
		}
		done <- nil
	}()
	return done
}

// awaitSearch waits for flows to search for. It returns false if ctx is canceled.
func (p *Peers) awaitSearch(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-p.searches.wake:
		return wait.For(ctx, searchDelay)
	}
}

// beginRound returns a round with the flows that have waited longest.
func (p *Peers) beginRound(sequence uint64) *round {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := &p.searches
	n := min(len(s.pending), flowsPerSearch)
	r := &round{
		flows: s.pending[:n:n], held: make([]bool, n), answered: make(map[uint64]bool),
		awaited: make(map[uint64]bool), complete: make(chan struct{}, 1),
	}
	s.pending = s.pending[n:]
	s.rounds[sequence] = r
	if len(s.pending) > 0 {
		notify(s.wake)
	}
	return r
}

// runRound asks the other agents until all that are candidates have answered, searchTimeout has
// passed or ctx is canceled. Agents that join meanwhile are asked too.
func (p *Peers) runRound(ctx context.Context, sequence uint64, r *round) {
	m := &controlv1.Datagram{Body: &controlv1.Datagram_FlowSearch{FlowSearch: r.message(sequence)}}
	end := time.Now().Add(searchTimeout)
	denied := false
	for delay := firstRetransmitDelay; time.Now().Before(end); delay = min(2*delay, maxRetransmitDelay) {
		missing := p.awaitAnswers(r)
		if denied = len(missing) == 0; denied {
			break
		}
		for _, c := range missing {
			p.send(c.Packet, m)
		}
		if !r.wait(ctx, min(delay, time.Until(end))) {
			break
		}
	}
	p.mu.Lock()
	delete(p.searches.rounds, sequence)
	silent := len(r.awaited)
	p.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	if silent > 0 {
		_ = level.Warn(p.log).Log("event", "flow_search_incomplete", "flows", len(r.flows), "silent", silent)
	}
	for i, f := range r.flows {
		if !r.held[i] {
			p.hooks.SearchEnded(f.key, denied)
		}
	}
}

// awaitAnswers returns the candidates that have not answered, and waits for these only.
func (p *Peers) awaitAnswers(r *round) []placement.Candidate {
	self := p.self().Instance
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(r.awaited)
	var missing []placement.Candidate
	for _, c := range p.node.View().Agents.Candidates() {
		if c.Instance != self && !r.answered[c.Instance] {
			missing = append(missing, c)
			r.awaited[c.Instance] = true
		}
	}
	return missing
}

// wait waits until the round is complete, but not longer than d. It returns false if ctx is
// canceled.
func (r *round) wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-r.complete:
	case <-t.C:
	}
	return true
}

func (r *round) message(sequence uint64) *controlv1.FlowSearch {
	b := make([]byte, 0, len(r.flows)*searchedBytes)
	for _, f := range r.flows {
		b = f.key.Append(b)
		b = binary.BigEndian.AppendUint32(b, f.sequence)
		b = binary.BigEndian.AppendUint32(b, f.acknowledgment)
	}
	return &controlv1.FlowSearch{Sequence: sequence, Flows: b}
}

// handleSearch answers which flows this agent holds.
func (p *Peers) handleSearch(from netip.AddrPort, s *controlv1.FlowSearch) {
	if p.hooks.Claims == nil {
		return
	}
	answer := &controlv1.FlowSearchAnswer{Sequence: s.GetSequence(), Instance: p.self().Instance}
	b := s.GetFlows()
	for i := 0; len(b) >= searchedBytes; i++ {
		key, _ := ipv4.DecodeFlowKey(b[:ipv4.FlowKeyBytes])
		sequence := binary.BigEndian.Uint32(b[ipv4.FlowKeyBytes:])
		acknowledgment := binary.BigEndian.Uint32(b[ipv4.FlowKeyBytes+4:])
		if p.hooks.Claims(key, sequence, acknowledgment) {
			answer.Held = append(answer.Held, uint32(i))
		}
		b = b[searchedBytes:]
	}
	p.send(from, &controlv1.Datagram{Body: &controlv1.Datagram_FlowSearchAnswer{FlowSearchAnswer: answer}})
}

// handleSearchAnswer records the flows that the sender holds, and ends the round if it was the last
// one awaited. It ignores answers of agents that were not asked.
func (p *Peers) handleSearchAnswer(a *controlv1.FlowSearchAnswer) {
	for _, f := range p.recordAnswer(a) {
		p.hooks.Found(f.key, a.GetInstance())
	}
}

// recordAnswer returns the flows that the sender of the answer holds.
func (p *Peers) recordAnswer(a *controlv1.FlowSearchAnswer) []searched {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.searches.rounds[a.GetSequence()]
	if r == nil || !r.awaited[a.GetInstance()] {
		return nil
	}
	delete(r.awaited, a.GetInstance())
	r.answered[a.GetInstance()] = true
	if len(r.awaited) == 0 {
		notify(r.complete)
	}
	var found []searched
	for _, i := range a.GetHeld() {
		if int(i) < len(r.flows) {
			r.held[i] = true
			found = append(found, r.flows[i])
		}
	}
	return found
}

// notify sends a value unless one is already in the channel.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
