package passthrough

import (
	"net/netip"
	"slices"
	"time"

	"arbutusfront.dev/arbutus-agent/newflow"
	"arbutusfront.dev/arbutus-agent/state"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/frame"
	"arbutusfront.dev/common/state/admission"
	"arbutusfront.dev/common/state/demand"
)

// admitsByTime configures the queue, and reports whether it decides on new flows: the service has
// request classes, and the slots are known. e.mu must be held.
func (e *Engine) admitsByTime(v *state.View) bool {
	if e.without.admissionByTime {
		return false
	}
	e.queue.SetStarted(e.server.lastStart())
	return e.queue.Apply(v, e.server.Slots(), e.now())
}

// decide admits the flow, lets it wait for a slot, or offers it to one other agent if its request
// can't be answered in time here. After that it is refused at once: its caller can then retry
// while the request can still be in time. e.mu must be held.
func (e *Engine) decide(v *state.View, h capsule.Header, p frame.Frame, now time.Time) {
	if e.queue.Repeated(p.Key, p.Sequence, p.RepeatedIn, now) {
		e.reportWaiting(h.Origin, now)
		return
	}
	r := newflow.RequestOf(h, p)
	e.queue.Offered(r, now)
	d := e.queue.Decide(now, r)
	switch d.Verdict {
	case admission.Admit:
		e.admit(v, h, p, r, now)
	case admission.Wait:
		e.metrics.waited.Inc(1)
		e.recordDemand(r, demand.Waited, now)
		e.logDelayed(p, r, d.Verdict, now)
		e.queue.Push(now, admission.Ticket{
			Request: r, Key: p.Key, Sequence: p.Sequence, Header: cloneHeader(h), SYN: slices.Clone(p.Bytes),
			Expected: d.Wait,
		})
		e.reportWaiting(h.Origin, now)
	case admission.Defer:
		if !e.passOnForLack(v, h, p, r, now) {
			e.metrics.dropped("deferred").Inc(1)
			e.recordDemand(r, demand.Deferred, now)
			e.logDelayed(p, r, d.Verdict, now)
			e.reportWaiting(h.Origin, now)
		}
	default:
		e.reportRefusals(now)
		if !e.passOnForLack(v, h, p, r, now) {
			e.refuseByTime(p, r, now)
		}
	}
}

// offerOnce offers the flow to the next candidate that admits flows, and reports whether there
// was one and the flow may visit another agent. e.mu must be held.
func (e *Engine) offerOnce(v *state.View, h capsule.Header, p frame.Frame) bool {
	c, ok := newflow.NextOffer(v, h, p.Key)
	if !ok {
		return false
	}
	h.Marks |= capsule.MarkBusy
	e.forwardTo(v, c, h, p)
	return true
}

// admitWaiting admits the waiting flows that the backend server has capacity for, and refuses
// those that have waited for too long. If the backend server gets no new flows any more, all are
// offered to other agents. e.mu must be held.
func (e *Engine) admitWaiting(v *state.View, now time.Time) {
	if e.queue.Waiting() == 0 {
		return
	}
	if reason := e.refusal(v, now); reason != "" || !e.admitsByTime(v) {
		for _, t := range e.queue.TakeAll(now) {
			e.passOnWaiting(v, t, reason, now)
		}
		return
	}
	for {
		t, verdict, ok := e.queue.Next(now)
		if !ok {
			return
		}
		p, err := e.codec.Parse(t.SYN)
		if err != nil || e.flows[p.Key] != nil {
			continue
		}
		e.recordWaited(t, now)
		if verdict == admission.Admit {
			e.admit(v, t.Header, p, t.RequestAt(now), now)
			continue
		}
		e.refuseWaited(p, t, now)
	}
}

// passOnWaiting offers a waiting flow to other agents. It drops the SYN if its caller is about to
// repeat it: the next agent does not know how long it has waited here, and would answer it for too
// long. e.mu must be held.
func (e *Engine) passOnWaiting(v *state.View, t admission.Ticket, reason string, now time.Time) {
	p, err := e.codec.Parse(t.SYN)
	if err != nil || e.flows[p.Key] != nil {
		return
	}
	if t.RepeatedIn > 0 && waitedOf(t, now) > t.RepeatedIn/2 {
		e.metrics.dropped("deferred").Inc(1)
		return
	}
	e.logNotAdmitted(p, t.Header, reason)
	e.offerToNext(v, t.Header, p)
}

// estimateFor returns the estimate for a balancer, or nil if it reads none. e.mu must be held.
func (e *Engine) estimateFor(to netip.AddrPort, now time.Time) *capsule.Estimate {
	if !e.origins.Has(to) {
		return nil
	}
	estimate := e.queue.Estimate(now)
	if slots := e.server.Slots(); slots > 0 {
		// A failing backend server is to get fewer flows, as if requests waited there.
		estimate.Penalty = time.Duration(e.penalty(now)) * estimate.Service / time.Duration(slots)
	}
	return &estimate
}

// reportWaiting reports to the balancer of a waiting flow that this agent has received it, so that
// it does not take the agent for unresponsive. e.mu must be held.
func (e *Engine) reportWaiting(to netip.AddrPort, now time.Time) {
	if e.origins.Has(to) {
		e.sendLoad(to, now)
	}
}

// reportRefusals reports the refused classes to the balancers that place flows here and are due a
// report. e.mu must be held.
func (e *Engine) reportRefusals(now time.Time) {
	for _, to := range e.origins.TakeDue(now) {
		e.sendLoad(to, now)
	}
}
