package flow

import (
	"context"
	"slices"
	"time"

	"arbutusfront.dev/arbutus-agent/backend"
	"arbutusfront.dev/arbutus-agent/caller"
	"arbutusfront.dev/arbutus-agent/directory"
	"arbutusfront.dev/arbutus-agent/state"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/state/placement"
	"arbutusfront.dev/common/transport/wait"
)

const (
	// handshakeTimeout ends a flow whose caller does not accept the answer.
	handshakeTimeout = 10 * time.Second
	// closingCheck is how often a closing flow is looked at, closingBound how
	// long its endpoint may still deliver what the backend server sent.
	closingCheck = 500 * time.Millisecond
	closingBound = 2 * time.Minute
	// lateBound is how long late packets of an ended flow are awaited.
	lateBound = 2 * time.Second

	// secondChoice stands in the list of those visited for the choice between a
	// flow's first two candidates. No instance has this number.
	secondChoice = 0
	// tellBound is how long it may take to tell a caller that its flow was
	// ended here.
	tellBound = 8 * time.Second
)

// handleSYN continues, admits, passes on or refuses a flow.
func (e *Engine) handleSYN(v *state.View, h capsule.Header, p ipv4.Packet) {
	key := p.Key()
	if f := e.flow(key); f != nil {
		if !f.opensAnew(p) {
			e.repeatSYN(f, p)
			return
		}
		// The caller has forgotten the old flow, whatever its stage here.
		f.abort()
		e.drop(f)
	}
	h.Visited = append(h.Visited, e.self().Instance)
	visited := h.Visited
	if known, ok := e.directory.Get(key); ok && known.Instance != e.self().Instance {
		if e.node.FlowsEnded(known.Instance) {
			// The caller comes back from the same port: its old flow must not
			// be mistaken for the new one.
			e.directory.Remove(key, known.Instance)
		}
		if c, alive := v.Agents.ByInstance(known.Instance); alive && !slices.Contains(visited, c.Instance) {
			e.passOn(v, c, visited, p)
			return
		}
	}
	if second, ok := e.lessLoaded(v, p, visited); ok {
		e.offerTo(v, second, []uint64{secondChoice}, p)
		return
	}
	if e.mayAdmit(v) && e.backend.Limiter.Acquire() {
		e.admit(p, visited)
		return
	}
	e.offerToNext(v, p, visited)
}

// lessLoaded returns the flow's second candidate if this agent is its first and
// the second has told of clearly less load. Only the first candidate chooses,
// once: the mark that it leaves in the list of those visited ends the matter.
func (e *Engine) lessLoaded(v *state.View, p ipv4.Packet, visited []uint64) (*placement.Candidate, bool) {
	if len(visited) > 1 || !e.mayAdmit(v) {
		return nil, false
	}
	second, ok := v.Agents.FirstAdmitting(placement.FlowHash(p.Key()), visited)
	if !ok {
		return nil, false
	}
	load, known := e.loadOf(second.Instance)
	return second, known && e.Load().Exceeds(load, v.Config.Service.BackendClass.Slots)
}

// repeatSYN answers a retransmission. While the backend server is dialled there
// is nothing to answer yet.
func (e *Engine) repeatSYN(f *Flow, p ipv4.Packet) {
	if f.currentStage() != dialing {
		e.stack.Inject(p.Bytes())
	}
}

func (e *Engine) mayAdmit(v *state.View) bool {
	return e.self().Phase == member.Serving && !v.Drained && !v.DomainOut && e.trusted()
}

// admit starts the flow's task.
func (e *Engine) admit(p ipv4.Packet, visited []uint64) {
	ctx, cancel := context.WithCancel(e.ctx)
	f := newFlow(p, e.now(), cancel)
	visited = slices.Clone(visited)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		cancel()
		e.backend.Limiter.Release()
		return
	}
	e.flows[f.key] = f
	e.tasks.Go(func() { e.hold(ctx, f, visited) })
}

// offerTo passes a SYN on to a candidate and remembers to which.
func (e *Engine) offerTo(v *state.View, to *placement.Candidate, visited []uint64, p ipv4.Packet) {
	e.directory.Put(p.Key(), directory.Holding{Instance: to.Instance, Tentative: true, At: e.now()})
	e.passOn(v, to, visited, p)
}

// offerToNext offers a flow to the next candidate, or refuses it when there is
// none.
func (e *Engine) offerToNext(v *state.View, p ipv4.Packet, visited []uint64) {
	if len(visited) < capsule.MaxVisited {
		if c, ok := v.Agents.FirstAdmitting(placement.FlowHash(p.Key()), visited); ok {
			e.offerTo(v, c, visited, p)
			return
		}
	}
	e.refuse(p)
}

// refuse answers a SYN by a RST: nothing has run.
func (e *Engine) refuse(p ipv4.Packet) {
	e.metrics.refused.Inc(1)
	e.reply(ipv4.Reset(p))
}

// hold is a flow's task, from the SYN to the last late packet.
func (e *Engine) hold(ctx context.Context, f *Flow, visited []uint64) {
	defer e.drop(f)
	defer f.cancel()
	server, conn, ok := e.open(ctx, f, visited)
	if !ok {
		e.backend.Limiter.Release()
		return
	}
	e.metrics.admitted.Inc(1)
	e.opened(f.key)
	e.relay(ctx, conn, server)
	f.setStage(closing)
	e.backend.Limiter.Release()
	if f.wasAborted() {
		// The RST may be lost or not acceptable. Until the caller must have
		// been told, the keepers remember who held the flow.
		wait.For(e.ctx, tellBound)
	}
	e.awaitClosing(e.ctx, f)
	if current := e.flow(f.key); current == nil || current == f {
		e.closed(f.key)
	}
}

// open dials the backend server and then answers the caller. Without both,
// nothing has been sent to the backend server.
func (e *Engine) open(ctx context.Context, f *Flow, visited []uint64) (*backend.Conn, *caller.Conn, bool) {
	server, err := e.backend.Dial(ctx)
	if err != nil {
		e.afterRefusedDial(f, visited)
		return nil, nil, false
	}
	handshake, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := e.stack.Answer(handshake, f.key, f.syn)
	if err != nil {
		e.metrics.offeredLost.Inc(1)
		server.Abort()
		return nil, nil, false
	}
	f.establish(conn)
	return server, conn, true
}

// afterRefusedDial offers the flow elsewhere if the service allows it.
func (e *Engine) afterRefusedDial(f *Flow, visited []uint64) {
	e.drop(f)
	p, err := ipv4.Parse(f.syn)
	if err != nil {
		return
	}
	v := e.node.View()
	if !v.Config.Service.RetryRefused {
		e.refuse(p)
		return
	}
	e.offerToNext(v, p, visited)
}

// awaitClosing waits until the caller has everything, and for late packets.
func (e *Engine) awaitClosing(ctx context.Context, f *Flow) {
	deadline := e.now().Add(closingBound)
	for !f.conn.Ended() && e.now().Before(deadline) {
		if !wait.For(ctx, closingCheck) {
			return
		}
	}
	wait.For(ctx, lateBound)
}

// drop removes the flow, unless another has taken its key.
func (e *Engine) drop(f *Flow) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.flows[f.key] == f {
		delete(e.flows, f.key)
	}
}

// abort ends the flow, by a RST to its caller if that has accepted it.
func (f *Flow) abort() {
	f.cancel()
	f.mu.Lock()
	f.aborted = true
	c := f.conn
	f.mu.Unlock()
	if c != nil {
		c.Abort()
	}
}
