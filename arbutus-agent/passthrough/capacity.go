package passthrough

import (
	"slices"
	"time"

	"arbutusfront.dev/arbutus-agent/newflow"
	"arbutusfront.dev/arbutus-agent/state"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/frame"
	"arbutusfront.dev/common/state/demand"
	"arbutusfront.dev/common/state/placement"
)

const (
	// maxRounds is the number of rounds of requests in flight from which new flows go to
	// other agents. A round is as many requests as the backend server runs concurrently. A
	// request takes about 30 ms, and is to be answered within 150 ms.
	maxRounds = 3
	// maxBusyHops is the number of visited agents from which a flow is buffered here
	// instead of being offered to another agent. It also counts agents that refused the
	// flow for other reasons, and this agent.
	maxBusyHops = 4
	// maxRoundsRetransmitted and maxRoundsLastRetransmit are the limits for a SYN that the
	// caller has retransmitted. Its request is late already, so requests that can still be
	// in time go first. The last copy has the higher limit, as no further copy follows it.
	maxRoundsRetransmitted  = 1
	maxRoundsLastRetransmit = 2
	// lastRetransmit is the number of the last copy of a SYN: callers retransmit it twice.
	lastRetransmit = 2
	// firstWait is how long a first SYN waits for capacity while its request can still be
	// in time. retransmittedWait is the same for a retransmitted SYN, whose request is late
	// already: callers give up after about a second.
	firstWait         = 30 * time.Millisecond
	retransmittedWait = 350 * time.Millisecond
	// maxPending bounds the buffered SYNs; further ones are refused at once.
	maxPending = 256
)

// pendingSYN is a SYN that is buffered until the backend server has capacity.
type pendingSYN struct {
	header capsule.Header
	syn    []byte
	since  time.Time
}

// hasRoundsInFlight reports whether at least n rounds of requests are in flight to the
// backend server. It returns false while the number of slots is unknown. e.mu must be held.
func (e *Engine) hasRoundsInFlight(n int) bool {
	slots := e.server.Slots()
	return slots > 0 && e.inFlight() >= n*slots
}

// isTooBusyFor reports whether the backend server has too many requests in flight to answer
// that of a first SYN in time or, for a retransmitted SYN, to admit it without delaying
// others. e.mu must be held.
func (e *Engine) isTooBusyFor(p frame.Frame) bool {
	switch {
	case p.Retransmits == 0 || e.without.firstSYNPriority:
		return e.hasRoundsInFlight(maxRounds)
	case p.Retransmits < lastRetransmit:
		return e.hasRoundsInFlight(maxRoundsRetransmitted)
	default:
		return e.hasRoundsInFlight(maxRoundsLastRetransmit)
	}
}

// maxWait returns how long the SYN may be buffered.
func maxWait(p frame.Frame) time.Duration {
	if p.Retransmits == 0 {
		return firstWait
	}
	return retransmittedWait
}

// offerOrBuffer offers the flow to another agent. If that is not possible, it buffers the
// SYN here, or refuses the flow if maxPending SYNs are buffered. e.mu must be held.
func (e *Engine) offerOrBuffer(v *state.View, h capsule.Header, p frame.Frame, now time.Time) {
	if e.offerWhileBusy(v, h, p) {
		return
	}
	if len(e.pending) >= maxPending || e.without.capacityWait {
		e.logWaits(p, "refused", now)
		e.refuse(p, newflow.RequestOf(h, p), demand.Refusal{Reason: demand.AllServersBusy}, now)
		return
	}
	e.metrics.waited.Inc(1)
	e.recordDemand(newflow.RequestOf(h, p), demand.Waited, now)
	e.logWaits(p, "waits", now)
	e.pending = append(e.pending, pendingSYN{header: cloneHeader(h), syn: slices.Clone(p.Bytes), since: now})
}

// offerWhileBusy offers the flow to the next candidate that admits flows, and reports
// whether there was one. It sets MarkBusy, so that the flow may return to a busy agent. A flow
// that has visited maxBusyHops agents or has MarkLastOffer is not offered. e.mu must be held.
func (e *Engine) offerWhileBusy(v *state.View, h capsule.Header, p frame.Frame) bool {
	if h.Marks.Has(capsule.MarkLastOffer) || len(h.Visited) >= maxBusyHops {
		return false
	}
	c, ok := v.Agents.FirstAdmitting(placement.FlowHash(p.Key), h.Visited)
	if !ok {
		return false
	}
	now := e.now()
	e.recordNotAdmitted(h, now)
	e.recordDemand(newflow.RequestOf(h, p), demand.PassedOn, now)
	e.logNotAdmitted(p, h, "server_busy")
	h.Marks |= capsule.MarkBusy
	e.forwardTo(v, c, h, p)
	return true
}

// admitPending admits buffered SYNs, oldest first, while the backend server has capacity. It
// offers the others to candidates that admit flows, and drops those that have waited for too
// long. If the backend server gets no new flows any more, it offers all of them to other
// agents, or resets their flows if none admits them. e.mu must be held.
func (e *Engine) admitPending(v *state.View, now time.Time) {
	e.pending = slices.DeleteFunc(e.pending, func(s pendingSYN) bool { return e.resolvePending(v, s, now) })
}

// resolvePending admits, forwards, refuses or drops a buffered SYN, and reports whether it
// can be removed from the buffer; it cannot while it has to wait longer. A SYN whose flow is
// known to the engine by now is removed.
// e.mu must be held.
func (e *Engine) resolvePending(v *state.View, s pendingSYN, now time.Time) bool {
	p, err := e.codec.Parse(s.syn)
	if err != nil || e.flows[p.Key] != nil {
		return true
	}
	if reason := e.refusal(v, now); reason != "" {
		e.logNotAdmitted(p, s.header, reason)
		e.offerToNext(v, s.header, p)
		return true
	}
	expired := now.Sub(s.since) >= maxWait(p)
	switch {
	// A retransmitted SYN has a lower limit than a first one. After its wait it is admitted
	// up to the limit of a first one.
	case !e.isTooBusyFor(p) || expired && !e.hasRoundsInFlight(maxRounds):
		e.admit(v, s.header, p, newflow.RequestOf(s.header, p), now)
		return true
	case expired:
		// The caller retransmits its SYN, which may find capacity at another agent.
		e.logWaits(p, "dropped", now)
		e.metrics.dropped("all_servers_busy").Inc(1)
		e.recordDemand(newflow.RequestOf(s.header, p), demand.Deferred, now)
		return true
	default:
		return e.offerWhileBusy(v, s.header, p)
	}
}
