package flow

import (
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"arbutusfront.dev/arbutus-agent/newflow"
	"arbutusfront.dev/arbutus-agent/state"
	"arbutusfront.dev/common/coordination/learned"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/frame"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/state/admission"
	"arbutusfront.dev/common/state/placement"
)

const (
	// synOwnership is how long after a copy of a SYN only this agent may answer it. TCP repeats a
	// SYN after 1 s (RFC 6298, section 2.1), and the copy may reach another agent. The rest of that
	// second is for the ways of the copies and of the SYN-ACK, and for the forwarding by agents.
	synOwnership = 900 * time.Millisecond
	// maxHandoverAge is the age up to which a SYN that has waited is offered to another agent. Its
	// packet does not carry the age: that agent assumes this one, and may let the SYN wait only for
	// the rest of synOwnership.
	maxHandoverAge = synOwnership / 2
	// freshAge is the age up to which a SYN counts as new at the next agent. A refused connection
	// to the backend server takes less.
	freshAge = 5 * time.Millisecond
	// checkInterval is how often the queue is checked while SYNs wait, in addition to the checks
	// after each answer.
	checkInterval = 50 * time.Millisecond
)

// waitingSYN is what is known of a SYN that waits in the queue.
type waitingSYN struct {
	// sequence tells copies of the SYN from the SYN of another connection with the same key.
	sequence uint32
	// arrivedAt is when the first copy arrived. ownedUntil is until when only this agent may answer
	// the SYN: it changes with each copy.
	arrivedAt, ownedUntil time.Time
}

// admitsByTime configures the queue, and reports whether it decides on new flows. While the agent
// does not know the slots, the service has no request classes or the feature is switched off, the
// limiter alone decides. A change is logged. e.queueMu must be held.
func (e *Engine) admitsByTime(v *state.View) bool {
	byTime := !e.withoutTime && e.queue.Apply(v, e.backend.Limiter.Slots(), e.now())
	if byTime != e.byTime {
		e.byTime = byTime
		_ = level.Info(e.log).Log("event", "admission", "by_time", byTime, "classes", len(v.Config.Classes))
	}
	return byTime
}

// LearnedCosts returns some costs that were learned from this agent's requests, in turn, for the
// balancers.
func (e *Engine) LearnedCosts() []learned.Cost {
	e.queueMu.Lock()
	defer e.queueMu.Unlock()
	return e.queue.LearnedCosts(e.now())
}

// requestOf returns what is known of the request for which the caller opens the flow. A SYN of this
// mode carries neither its age nor when it is repeated. Without the latter, the queue never defers
// a request until the next copy.
func requestOf(h capsule.Header) admission.Request {
	return newflow.RequestOf(h, frame.Frame{Age: ageOf(h)})
}

// ageOf returns the assumed age of a SYN that arrives with the header.
func ageOf(h capsule.Header) time.Duration {
	if h.Marks.Has(capsule.MarkBusy) {
		return maxHandoverAge
	}
	return 0
}

// decide admits the flow, lets it wait for a slot, or offers it to one other agent if its request
// can't be answered in time here. After that it is refused at once. The limits of cold start and of
// connections apply first. e.queueMu must be held.
func (e *Engine) decide(v *state.View, h capsule.Header, p ipv4.Packet) {
	now := e.now()
	if !e.backend.Limiter.HasCapacity() {
		e.offerToNext(v, h, p)
		return
	}
	r, owned := requestOf(h), synOwnership-ageOf(h)
	e.queue.Expire(now)
	e.queue.Offered(r, now)
	d := e.queue.Decide(now, r)
	if d.Verdict == admission.Wait && d.Wait > owned {
		// The ticket would be dropped before its turn.
		d.Verdict = admission.Refuse
	}
	switch d.Verdict {
	case admission.Admit:
		if !e.backend.Limiter.Acquire() {
			e.offerToNext(v, h, p)
			return
		}
		e.admit(h, p, r, waitingSYN{arrivedAt: now, ownedUntil: now.Add(owned)})
	case admission.Wait:
		e.logDecision(p, h, d, now)
		e.wait(h, p, r, owned, now)
	default:
		e.logDecision(p, h, d, now)
		if c, ok := newflow.NextOffer(v, h, p.Key()); ok {
			e.offerTo(v, c, h, p)
			return
		}
		e.refuse(p, "no_capacity_in_time")
	}
}

// wait adds the flow to the queue. e.queueMu must be held.
func (e *Engine) wait(h capsule.Header, p ipv4.Packet, r admission.Request, owned time.Duration, now time.Time) {
	e.metrics.waited.Inc(1)
	if e.queue.Waiting() == 0 {
		select {
		case e.waitBegan <- struct{}{}:
		default:
		}
	}
	r.RepeatedIn = owned
	e.queue.Push(now, admission.Ticket{
		Request: r, Key: p.Key(), Sequence: p.Sequence(), Header: cloneHeader(h), SYN: slices.Clone(p.Bytes()),
	})
	e.waiting[p.Key()] = waitingSYN{sequence: p.Sequence(), arrivedAt: now, ownedUntil: now.Add(owned)}
}

// isRepeated reports whether the SYN is a copy of one that waits here, and records the copy. The SYN
// of another connection with the same key ends the wait of the earlier one. e.queueMu must be held.
func (e *Engine) isRepeated(p ipv4.Packet) bool {
	key, now := p.Key(), e.now()
	w, ok := e.waiting[key]
	if !ok {
		return false
	}
	if !e.queue.Repeated(key, p.Sequence(), synOwnership, now) {
		delete(e.waiting, key)
		return false
	}
	w.ownedUntil = now.Add(synOwnership)
	e.waiting[key] = w
	return true
}

// admitWaiting admits the waiting flows that the backend server has capacity for, and refuses those
// that have waited for too long. If the agent takes no new flows any more, all are handed over.
// e.queueMu must be held.
func (e *Engine) admitWaiting(v *state.View, now time.Time) {
	if e.queue.Waiting() == 0 {
		return
	}
	if !e.mayAdmit(v) || !e.admitsByTime(v) {
		for _, t := range e.queue.TakeAll(now) {
			if p, w, ok := e.takeWaiting(t, now); ok {
				e.handOver(v, t.Header, p, now.Sub(w.arrivedAt), "not_admitting")
			}
		}
		return
	}
	for {
		t, verdict, ok := e.queue.Next(now)
		if !ok {
			return
		}
		p, w, ok := e.takeWaiting(t, now)
		switch {
		case !ok:
		case verdict != admission.Admit:
			e.logDecision(p, t.Header, admission.Decision{Verdict: verdict}, now)
			e.refuse(p, "waited_too_long")
		case !e.backend.Limiter.Acquire():
			e.handOver(v, t.Header, p, now.Sub(w.arrivedAt), "server_full")
		default:
			e.admit(t.Header, p, t.RequestAt(now), w)
		}
	}
}

// takeWaiting removes what is known of a ticket's SYN, and returns it with the packet. It returns
// false if the SYN must not be answered any more: its caller may have opened the flow elsewhere, or
// has started another connection. e.queueMu must be held.
func (e *Engine) takeWaiting(t admission.Ticket, now time.Time) (ipv4.Packet, waitingSYN, bool) {
	p, err := ipv4.Parse(t.SYN)
	w, ok := e.waiting[t.Key]
	if err != nil || !ok || w.sequence != p.Sequence() {
		return ipv4.Packet{}, waitingSYN{}, false
	}
	delete(e.waiting, t.Key)
	if now.After(w.ownedUntil) {
		e.metrics.dropped("late_syn").Inc(1)
		return ipv4.Packet{}, waitingSYN{}, false
	}
	return p, w, true
}

// handOver offers a flow that was admitted or has waited here, but can't be opened, to the next
// candidate. If the SYN is not fresh any more, MarkBusy tells the next agent to assume
// maxHandoverAge. An older SYN, and one that was handed over before, has an age beyond that
// assumption: its flow is refused.
func (e *Engine) handOver(v *state.View, h capsule.Header, p ipv4.Packet, age time.Duration, reason string) {
	if h.Marks.Has(capsule.MarkBusy) || age > maxHandoverAge {
		e.refuse(p, "waited_too_long")
		return
	}
	if age > freshAge {
		h.Marks |= capsule.MarkBusy
	}
	e.logPassedOn(p, age, reason)
	e.offerToNext(v, h, p)
}

// offerToNext offers the flow to the next candidate that admits flows, or refuses it if
// there is none.
func (e *Engine) offerToNext(v *state.View, h capsule.Header, p ipv4.Packet) {
	if len(h.Visited) < capsule.MaxVisited {
		if c, ok := v.Agents.FirstAdmitting(placement.FlowHash(p.Key()), h.Visited); ok {
			e.offerTo(v, c, h, p)
			return
		}
	}
	e.refuse(p, "no_agent_admits")
}

// checkWaiting admits, refuses or hands over waiting flows, and reports whether any still wait.
func (e *Engine) checkWaiting() bool {
	e.queueMu.Lock()
	defer e.queueMu.Unlock()
	now := e.now()
	e.queue.Expire(now)
	e.admitWaiting(e.node.View(), now)
	// The queue drops the tickets of such SYNs without notice.
	maps.DeleteFunc(e.waiting, func(_ ipv4.FlowKey, w waitingSYN) bool { return now.After(w.ownedUntil) })
	return e.queue.Waiting() > 0
}

// Leave hands over the waiting flows at once. It is called when the agent's phase has become
// leaving.
func (e *Engine) Leave() { e.checkWaiting() }

// requestArrived, requestAnswered and requestEnded record the requests within a flow. They are
// called by the flow's backend.Exchange.
func (e *Engine) requestArrived(f *Flow) {
	e.queueMu.Lock()
	defer e.queueMu.Unlock()
	e.queue.Requested(&f.job, e.now())
}

func (e *Engine) requestAnswered(f *Flow) {
	e.queueMu.Lock()
	defer e.queueMu.Unlock()
	now := e.now()
	e.queue.Answered(&f.job, true, now)
	e.admitWaiting(e.node.View(), now)
}

func (e *Engine) requestEnded(f *Flow) {
	e.queueMu.Lock()
	defer e.queueMu.Unlock()
	now := e.now()
	e.queue.Ended(&f.job, now)
	e.admitWaiting(e.node.View(), now)
}

func (e *Engine) logDecision(p ipv4.Packet, h capsule.Header, d admission.Decision, now time.Time) {
	if suppressed, ok := e.samplers.waits.Allow(now); ok {
		key := p.Key()
		_ = level.Info(e.log).Log(
			"event", "flow_waits", "outcome", d.Verdict, "caller", key.Caller, "service", key.Service,
			"start", p.Sequence(), "class", h.Class, "age", ageOf(h), "wait", d.Wait, "budget", d.Budget,
			"requests", e.queue.InSystem(), "slots", e.backend.Limiter.Slots(), "waiting", e.queue.Waiting(),
			"left_out", suppressed,
		)
	}
}
