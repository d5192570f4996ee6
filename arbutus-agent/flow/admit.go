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
	"arbutusfront.dev/common/state/admission"
	"arbutusfront.dev/common/state/placement"
	"arbutusfront.dev/common/transport/wait"
)

const (
	// handshakeTimeout ends a flow whose caller does not complete the handshake.
	handshakeTimeout = 10 * time.Second
	// A closing flow is checked every closingPollInterval. Its connection to the caller has
	// up to closingTimeout to deliver what the backend server sent.
	closingPollInterval = 500 * time.Millisecond
	closingTimeout      = 2 * time.Minute
	// latePacketTime is how long an ended flow is retained for late packets of its
	// caller.
	latePacketTime = 2 * time.Second

	// loadChoiceInstance is a pseudo-instance in a SYN's visited list: the choice by load
	// between the flow's first two candidates has been made. No agent has instance 0.
	loadChoiceInstance = 0
	// resetDeliveryTime bounds the time until the caller of a flow that was aborted
	// here has received a RST that it accepts.
	resetDeliveryTime = 8 * time.Second
)

// handleSYN continues an existing flow, admits a new one, lets it wait, forwards the SYN to
// another agent, or refuses the flow. A SYN that starts a new connection aborts the old flow with its
// key, and removes the directory entry of an old flow that has certainly ended elsewhere.
func (e *Engine) handleSYN(v *state.View, h capsule.Header, p ipv4.Packet) {
	e.queueMu.Lock()
	defer e.queueMu.Unlock()
	key := p.Key()
	if f := e.flow(key); f != nil {
		if !f.startsNewConnection(p) {
			e.handleRetransmittedSYN(f, p)
			return
		}
		// The caller has started a new connection from the same port: the old flow is
		// over, whatever its stage here.
		f.abort()
		e.removeFlow(f)
	}
	if e.isRepeated(p) {
		return
	}
	h.Visited = append(h.Visited, e.self().Instance)
	if known, ok := e.directory.Get(key); ok && known.Instance != e.self().Instance {
		if e.node.FlowsEnded(known.Instance) {
			// The caller reuses the port of a flow that has ended. The old flow's
			// entry must not apply to the new flow.
			e.directory.Remove(key, known.Instance)
		}
		if c, alive := v.Agents.ByInstance(known.Instance); alive && !slices.Contains(h.Visited, c.Instance) {
			e.forwardPacket(v, c, h, p)
			return
		}
	}
	if second, ok := e.lessLoaded(v, p, h.Visited); ok {
		h.Visited = []uint64{loadChoiceInstance}
		e.offerTo(v, second, h, p)
		return
	}
	switch {
	case !e.mayAdmit(v):
		e.offerToNext(v, h, p)
	case e.admitsByTime(v):
		e.decide(v, h, p)
	case e.backend.Limiter.Acquire():
		e.admit(h, p, requestOf(h), waitingSYN{arrivedAt: e.now()})
	default:
		e.offerToNext(v, h, p)
	}
}

// lessLoaded returns the next candidate if this agent is the first that the SYN has
// reached and the next reported clearly less load. Only the first agent chooses by load,
// and only once: it forwards the SYN with loadChoiceInstance as its only visited entry.
// The next then admits the flow or offers it to another candidate, which may be the first
// agent again. e.queueMu must be held.
func (e *Engine) lessLoaded(v *state.View, p ipv4.Packet, visited []uint64) (*placement.Candidate, bool) {
	if len(visited) > 1 || !e.mayAdmit(v) {
		return nil, false
	}
	second, ok := v.Agents.FirstAdmitting(placement.FlowHash(p.Key()), visited)
	if !ok {
		return nil, false
	}
	load, known := e.loadOf(second.Instance)
	return second, known && e.load().Exceeds(load, v.Config.Service.BackendClass.Slots)
}

// handleRetransmittedSYN lets the stack send the SYN-ACK for a retransmitted SYN. While the
// backend server is being dialed there is none yet.
func (e *Engine) handleRetransmittedSYN(f *Flow, p ipv4.Packet) {
	f.recordCopy(e.now())
	if f.currentStage() != dialing {
		e.stack.Inject(p.Bytes())
	}
}

// mayAdmit reports whether this agent takes new flows, apart from its backend server's
// limits.
func (e *Engine) mayAdmit(v *state.View) bool {
	return e.self().Phase == member.Serving && !v.Drained && !v.DomainOut && e.hasLease()
}

// admit adds the flow and starts its task. The limiter's capacity for the flow must have been
// acquired; if Run has ended, admit releases it instead. e.queueMu must be held.
func (e *Engine) admit(h capsule.Header, p ipv4.Packet, r admission.Request, w waitingSYN) {
	ctx, cancel := context.WithCancel(e.ctx)
	now := e.now()
	f := newFlow(p, now, cancel)
	f.header, f.arrivedAt, f.ownedUntil = cloneHeader(h), w.arrivedAt, w.ownedUntil
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		cancel()
		e.backend.Limiter.Release()
		return
	}
	e.queue.Admitted(&f.job, r, now)
	e.flows[f.key] = f
	e.tasks.Go(func() { e.runFlow(ctx, f) })
}

// offerTo forwards a SYN to a candidate and records it as the flow's tentative holder,
// so that the flow's next packets go there too.
func (e *Engine) offerTo(v *state.View, to *placement.Candidate, h capsule.Header, p ipv4.Packet) {
	e.directory.Put(p.Key(), directory.Holding{Instance: to.Instance, Tentative: true, At: e.now()})
	e.forwardPacket(v, to, h, p)
}

// refuse sends a RST for the SYN. No data of the flow has reached a backend server.
func (e *Engine) refuse(p ipv4.Packet, reason string) {
	e.metrics.refused.Inc(1)
	e.logRefused(p, reason)
	e.reply(ipv4.Reset(p))
}

// runFlow is a flow's task, from the SYN to the last late packet: it opens the connections,
// publishes the flow, relays its data, and removes it. The limiter's capacity is released once
// both directions have ended, or if the flow could not be opened.
func (e *Engine) runFlow(ctx context.Context, f *Flow) {
	defer e.removeFlow(f)
	defer f.cancel()
	server, conn, ok := e.open(ctx, f)
	if !ok {
		e.requestEnded(f)
		e.backend.Limiter.Release()
		return
	}
	e.metrics.admitted.Inc(1)
	e.opened(f.key)
	e.relay(ctx, f, conn, server)
	f.setStage(closing)
	e.backend.Limiter.Release()
	if f.wasAborted() {
		// The RST may be lost, or not be acceptable to the caller. Until the caller has
		// certainly been reset, its packets must find this agent, whose stack sends a
		// RST for them: the flow remains published to its replicas.
		wait.For(e.ctx, resetDeliveryTime)
	}
	e.awaitClosing(e.ctx, f)
	// A newer flow with the same key may have been admitted here. It must remain published.
	if current := e.flow(f.key); current == nil || current == f {
		e.closed(f.key)
	}
}

// open dials the backend server and then accepts the caller's SYN. Unless both succeed,
// no data has been sent to the backend server. After a failed dial, the flow is offered to the
// next candidate or refused. A SYN that its caller may have sent to another agent meanwhile is
// dropped.
func (e *Engine) open(ctx context.Context, f *Flow) (*backend.Conn, *caller.Conn, bool) {
	server, err := e.backend.Dial(ctx)
	if err != nil {
		e.afterFailedDial(f)
		return nil, nil, false
	}
	if !f.isOwned(e.now()) {
		e.metrics.dropped("late_syn").Inc(1)
		server.Abort()
		return nil, nil, false
	}
	handshake, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := e.stack.Accept(handshake, f.key, f.syn)
	if err != nil {
		e.metrics.notAccepted.Inc(1)
		server.Abort()
		return nil, nil, false
	}
	f.establish(conn)
	return server, conn, true
}

// afterFailedDial removes the flow, offers it to the next candidate if the service
// allows that, and refuses it otherwise.
func (e *Engine) afterFailedDial(f *Flow) {
	e.removeFlow(f)
	p, err := ipv4.Parse(f.syn)
	if err != nil {
		return
	}
	now := e.now()
	v := e.node.View()
	switch {
	case !f.isOwned(now):
		e.metrics.dropped("late_syn").Inc(1)
	case !v.Config.Service.RetryRefused:
		e.refuse(p, "not_dialed")
	case f.isLimited():
		e.handOver(v, f.header, p, now.Sub(f.arrivedAt), "not_dialed")
	default:
		e.offerToNext(v, f.header, p)
	}
}

// awaitClosing waits until the caller has received everything, and then for late
// packets.
func (e *Engine) awaitClosing(ctx context.Context, f *Flow) {
	deadline := e.now().Add(closingTimeout)
	for !f.conn.Ended() && e.now().Before(deadline) {
		if !wait.For(ctx, closingPollInterval) {
			return
		}
	}
	wait.For(ctx, latePacketTime)
}

// removeFlow removes the flow, unless a newer one has its key.
func (e *Engine) removeFlow(f *Flow) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.flows[f.key] == f {
		delete(e.flows, f.key)
	}
}

// abort ends the flow: it cancels its task and, if the handshake is complete, sends the caller
// a RST.
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
