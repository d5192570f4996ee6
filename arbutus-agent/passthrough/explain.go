package passthrough

import (
	"time"

	"github.com/go-kit/log/level"

	"arbutusfront.dev/arbutus-agent/state"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/frame"
	"arbutusfront.dev/common/state/admission"
	"arbutusfront.dev/common/state/demand"
)

// logPrecision is the precision of durations in log lines.
const logPrecision = 100 * time.Microsecond

// passOnForLack offers the flow to one other agent for lack of capacity, and reports whether there
// was one. e.mu must be held.
func (e *Engine) passOnForLack(
	v *state.View, h capsule.Header, p frame.Frame, r admission.Request, now time.Time,
) bool {
	if !e.offerOnce(v, h, p) {
		return false
	}
	e.recordDemand(r, demand.PassedOn, now)
	if suppressed, ok := e.samplers.notAdmitted.Allow(now); ok {
		_ = level.Info(e.log).Log(append([]any{
			"event", "flow_passed_on", "reason", demand.NoCapacityInTime, "caller", p.Key.Caller, "service", p.Key.Service,
			"visited", len(h.Visited), "sender_revision", h.Revision, "left_out", suppressed,
		}, e.explain(r, e.queue.Explain(now, r))...)...)
	}
	return true
}

// refuseByTime refuses a flow whose request can't be answered in time. e.mu must be held.
func (e *Engine) refuseByTime(p frame.Frame, r admission.Request, now time.Time) {
	x := e.queue.Explain(now, r)
	why := demand.Refusal{Reason: demand.NoCapacityInTime, Wait: x.Wait, Allowed: x.Allowed}
	e.refuse(p, r, why, now, func() []any { return e.explain(r, x) })
}

// refuseWaited refuses a flow whose SYN has waited for too long. e.mu must be held.
func (e *Engine) refuseWaited(p frame.Frame, t admission.Ticket, now time.Time) {
	r, waited := t.RequestAt(now), waitedOf(t, now)
	x := e.queue.ExplainTicket(now, t)
	why := demand.Refusal{Reason: demand.WaitedTooLong, Wait: waited + x.LateWait, Allowed: waited + x.LateAllowed}
	if x.NoneLeft {
		why.Wait = waited + x.Wait
	}
	e.refuse(p, r, why, now, func() []any {
		return append(
			e.explain(r, x), "waited", waited.Round(logPrecision), "expected", t.Expected.Round(logPrecision),
		)
	})
}

// refuse resets a flow of which no request has run. The optional functions return what is added to
// the log line. e.mu must be held.
func (e *Engine) refuse(
	p frame.Frame, r admission.Request, why demand.Refusal, now time.Time, explain ...func() []any,
) {
	e.metrics.refused.Inc(1)
	e.demand.RecordRefused(e.demand.kindOf(r.Class, r.Remote), why, now)
	if e.sendReset(p) {
		e.logReset(p, why.Reason.String(), explain...)
	}
}

// explain returns the keyvals that explain a decision by time on a request. e.mu must be held.
func (e *Engine) explain(r admission.Request, x admission.Explanation) []any {
	class := e.demand.classes[r.Class]
	var lateWait any = x.LateWait.Round(logPrecision)
	if x.NoneLeft {
		lateWait = "none_left"
	}
	return []any{
		"target", demand.TargetOf(class), "priority", class.Priority, "other_domain", r.Remote,
		"age", r.Age.Round(logPrecision), "wait", x.Wait.Round(logPrecision), "allowed", x.Allowed.Round(logPrecision),
		"late_wait", lateWait, "late_allowed", x.LateAllowed.Round(logPrecision), "learned", x.Learned,
		"requests", e.inFlight(), "slots", e.server.Slots(), "waiting", e.queue.Waiting(),
	}
}

// logDelayed logs that a request waits here or is deferred. e.mu must be held.
func (e *Engine) logDelayed(p frame.Frame, r admission.Request, verdict admission.Verdict, now time.Time) {
	if suppressed, ok := e.samplers.waits.Allow(now); ok {
		_ = level.Info(e.log).Log(append([]any{
			"event", "flow_waits", "outcome", verdict, "caller", p.Key.Caller, "service", p.Key.Service,
			"start", p.Sequence, "left_out", suppressed,
		}, e.explain(r, e.queue.Explain(now, r))...)...)
	}
}
