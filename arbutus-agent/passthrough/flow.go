package passthrough

import (
	"net/netip"
	"time"

	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/frame"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/state/admission"
)

// Ends of a flow.
const (
	callerEnd ends = 1 << iota
	serverEnd
	bothEnds = callerEnd | serverEnd
)

// Stages of a flow at the agent.
const (
	// handshaking: the SYN was delivered to the backend server, and the caller has not
	// acknowledged the SYN-ACK.
	handshaking stage = iota + 1
	// unconfirmed: a packet of a flow unknown to the agent was delivered to the backend
	// server, which may return it.
	unconfirmed
	// open: both ends hold the flow.
	open
)

const (
	// acceptWindow is the largest distance between the backend server's initial sequence
	// number and an acknowledgment that accepts its SYN-ACK.
	acceptWindow = 1 << 16
	// closedLifetime is how long late packets of a flow are still delivered after both ends
	// have closed it.
	closedLifetime = 3 * time.Second
	// handshakeLifetime is how long the caller may take to acknowledge the SYN-ACK. Callers
	// give up after 1.4 s.
	handshakeLifetime = 3 * time.Second
	// maxSYNDelay is how long a copy of a SYN may arrive after the packets of its flow.
	maxSYNDelay = 2 * time.Second
	// unconfirmedLifetime is how long an unconfirmed flow is assumed to be at the backend
	// server while that neither answers nor returns its packet.
	unconfirmedLifetime = 2 * time.Second
	// notHeldLifetime is how long the agent delivers no more packets of a flow that the
	// backend server was found not to hold. It exceeds the time within which packets
	// delivered to backend servers that do not hold the flow break it.
	notHeldLifetime = 5 * time.Second
	// maxFlows bounds the memory: a flow takes 420 bytes (BenchmarkFlowMemory).
	maxFlows = 1 << 16
)

type (
	stage int

	// flow is a flow that the backend server may hold.
	flow struct {
		key   ipv4.FlowKey
		stage stage
		// header is that of the caller's packet that created the flow; it is zero if a packet
		// of the backend server did.
		header capsule.Header
		// syn is the caller's SYN packet, until the caller has accepted a SYN-ACK.
		syn         []byte
		synSequence uint32
		// synACKed is set once the backend server has sent a SYN-ACK, whose sequence number
		// is serverISN.
		synACKed  bool
		serverISN uint32
		// acknowledged is the caller's latest acknowledgment number.
		acknowledged uint32
		// startedAt is when the agent first saw the flow or, once the backend server has sent a
		// SYN-ACK, when it first sent that one.
		startedAt time.Time
		usedAt    time.Time
		// requestedAt is when the request in flight arrived; zero if there is none. requestEnd
		// is the sequence number after the last request byte seen from the caller; it is
		// valid once requestSeen is set.
		requestedAt time.Time
		requestEnd  uint32
		requestSeen bool
		closed      ends
		// job is the flow's request, or the one that is expected, in the agent's queue.
		job admission.Job
	}

	// ends is a set of the two ends of a flow.
	ends int
)

// cloneHeader returns a copy of the header that remains valid after HandlePacket returns.
func cloneHeader(h capsule.Header) capsule.Header {
	h.Visited = append([]uint64(nil), h.Visited...)
	return h
}

// matches reports whether a packet other than a SYN belongs to this flow. Two backend
// servers may have sent a SYN-ACK for copies of the same SYN; the acknowledgment number
// identifies the one that the caller accepted.
func (f *flow) matches(p frame.Frame) bool {
	if f.stage != handshaking {
		return true
	}
	if !f.synACKed {
		return false
	}
	return !p.Flags.Has(ipv4.FlagACK) || p.Acknowledgment-f.serverISN <= acceptWindow
}

// isDelayedSYN reports whether the SYN may be a delayed copy of the one that opened this flow.
// That can't be told by its sequence number if the flow was adopted.
func (f *flow) isDelayedSYN(p frame.Frame, now time.Time) bool {
	return f.synSequence == 0 && f.stage == open && p.Retransmits > 0 && now.Sub(f.usedAt) < maxSYNDelay
}

// isClosed reports whether both ends have closed the flow.
func (f *flow) isClosed() bool { return f.closed == bothEnds }

// close records that the given ends have closed the flow, and ends its request in flight.
// e.mu must be held.
func (e *Engine) close(f *flow, by ends) {
	e.endRequest(f)
	if !f.isClosed() && f.closed|by == bothEnds && e.flows[f.key] == f {
		e.closedFlows++
	}
	f.closed |= by
}

// isExpired reports whether the flow can be removed. An idleTimeout of 0 means that open
// flows never expire.
func (f *flow) isExpired(now time.Time, idleTimeout time.Duration) bool {
	unused := now.Sub(f.usedAt)
	switch {
	case f.isClosed():
		return unused > closedLifetime
	case f.stage == handshaking:
		return unused > handshakeLifetime
	case f.stage == unconfirmed:
		return unused > unconfirmedLifetime
	default:
		return idleTimeout > 0 && unused > idleTimeout
	}
}

// add stores the flow, and returns false if the agent already has maxFlows. A handshaking
// flow also begins to wait for a SYN-ACK. e.mu must be held.
func (e *Engine) add(f *flow) bool {
	if len(e.flows) >= maxFlows {
		e.metrics.dropped("too_many_flows").Inc(1)
		return false
	}
	e.flows[f.key] = f
	if f.stage == handshaking {
		e.awaitingSYNACK[f.key] = f
	}
	return true
}

// setOpen marks the flow as held by the backend server, publishes that to the directory
// replicas, and drops the SYN. e.mu must be held.
func (e *Engine) setOpen(f *flow) {
	f.stage = open
	f.syn = nil
	delete(e.awaitingSYNACK, f.key)
	delete(e.notHeldSince, f.key)
	e.opened(f.key)
}

// remove deletes the flow with its request in flight, and publishes the end of an open one.
// It does nothing if the flow is not stored, or another one has replaced it. e.mu must be held.
func (e *Engine) remove(f *flow) {
	if e.flows[f.key] != f {
		return
	}
	e.endRequest(f)
	e.queue.Ended(&f.job, e.now())
	if f.isClosed() {
		e.closedFlows--
	}
	delete(e.flows, f.key)
	delete(e.awaitingSYNACK, f.key)
	if f.stage == open {
		e.closed(f.key)
	}
}

// startsRequest reports whether the caller's packet carries new request data, and records
// its extent. Retransmitted data is not a new request: callers retransmit when an answer is
// late.
func (f *flow) startsRequest(p frame.Frame) bool {
	end := p.Sequence + uint32(p.PayloadBytes)
	if p.PayloadBytes == 0 || f.requestSeen && int32(end-f.requestEnd) <= 0 {
		return false
	}
	f.requestSeen, f.requestEnd = true, end
	return true
}

// beginRequest records a request in flight on the flow, endRequest that it has ended. e.mu
// must be held for both.
func (e *Engine) beginRequest(f *flow, now time.Time) {
	if f.requestedAt.IsZero() {
		f.requestedAt = now
		e.queue.Requested(&f.job, now)
	}
}

func (e *Engine) endRequest(f *flow) {
	if !f.requestedAt.IsZero() {
		f.requestedAt = time.Time{}
		e.queue.Ended(&f.job, e.now())
	}
}

// sendHeld reports to the balancer that first forwarded the packet that this agent holds
// the flow or, during the handshake, that it will if the caller accepts its SYN-ACK. e.mu must be
// held.
func (e *Engine) sendHeld(f *flow, origin netip.AddrPort) {
	if !origin.IsValid() {
		return
	}
	l, slots := e.load(), e.server.Slots()
	now := e.now()
	e.dueReports.recordReport(origin, l.Requests, slots, now)
	// A SYN-ACK for a flow that is unconfirmed shows that the backend server does not hold it yet.
	inHandshake := f.stage != open
	acknowledgment := f.acknowledged
	if inHandshake {
		acknowledgment = f.serverISN + 1
	}
	b := capsule.AppendHeld(nil, capsule.Held{
		Key:            f.key,
		Instance:       e.self().Instance,
		Flows:          uint32(l.Flows),
		Requests:       uint32(l.Requests),
		Slots:          uint32(slots),
		ServerRun:      e.server.RunStartedMillis(),
		Handshaking:    inHandshake,
		Acknowledgment: acknowledgment,
		Estimate:       e.estimateFor(origin, now),
	})
	e.checkSend(origin, e.forward(b, origin))
}

// expire removes expired flows, directory entries, and records of flows that are not held
// here.
func (e *Engine) expire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	e.node.Expire()
	e.directory.Expire(now, e.node.Table.Snapshot().Members)
	idleTimeout := e.node.View().Config.Limits.FlowIdle()
	for _, f := range e.flows {
		if f.isExpired(now, idleTimeout) {
			e.remove(f)
		}
	}
	for key, since := range e.notHeldSince {
		if now.Sub(since) > notHeldLifetime {
			delete(e.notHeldSince, key)
		}
	}
}
