package passthrough

import (
	"net/netip"
	"time"

	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/frame"
	"arbutusfront.dev/common/state/observe"
)

// Error is the class of this package's errors.
var Error = errs.Class("passthrough")

var errNoHealthProbe = Error.New("no health probe is configured: set one by WithHealthProbe")

// answerBuckets are the histogram bounds of the time from a request to its answer.
var answerBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second,
}

func newMetrics(s tally.Scope) metrics {
	return metrics{
		admitted:             s.Counter("flows_admitted"),
		forwarded:            s.Counter("packets_passed_on"),
		refused:              s.Counter("flows_refused"),
		delivered:            s.Counter("packets_delivered"),
		returned:             s.Counter("packets_returned"),
		deliveredUnconfirmed: s.Counter("unknown_flows_tried"),
		reset:                s.Counter("flows_reset"),
		reoffered:            s.Counter("flows_reoffered"),
		waited:               s.Counter("flows_waited"),
		failed:               s.Counter("answers_failed"),
		sendFailed:           s.Counter("sends_failed"),
		answer:               s.Histogram("answer_seconds", answerBuckets),
		dropped:              observe.PacketDropCounter(s),
	}
}

// samplers limit how many lines are logged for each event about single flows.
type samplers struct{ admitted, notAdmitted, waits, reset, unclaimed, adopted *observe.Sampler }

func newSamplers() samplers {
	next := func() *observe.Sampler { return observe.NewSampler(observe.FlowLinesPerSecond) }
	return samplers{
		admitted: next(), notAdmitted: next(), waits: next(), reset: next(), unclaimed: next(), adopted: next(),
	}
}

func (e *Engine) logAdmitted(f *flow, now time.Time) {
	if suppressed, ok := e.samplers.admitted.Allow(now); ok {
		_ = level.Info(e.log).Log(
			"event", "flow_admitted", "caller", f.key.Caller, "service", f.key.Service, "start", f.synSequence,
			"requests", e.inFlight(), "slots", e.server.Slots(), "visited", len(f.header.Visited)-1,
			"sender_revision", f.header.Revision, "left_out", suppressed,
		)
	}
}

func (e *Engine) logAdopted(f *flow, cause string, now time.Time) {
	if suppressed, ok := e.samplers.adopted.Allow(now); ok {
		_ = level.Info(e.log).Log(
			"event", "flow_adopted", "cause", cause, "caller", f.key.Caller, "service", f.key.Service, "left_out", suppressed,
		)
	}
}

func (e *Engine) logWaits(p frame.Frame, outcome string, now time.Time) {
	if suppressed, ok := e.samplers.waits.Allow(now); ok {
		_ = level.Info(e.log).Log(
			"event", "flow_waits", "outcome", outcome, "caller", p.Key.Caller, "service", p.Key.Service,
			"start", p.Sequence, "repeats", p.Retransmits, "requests", e.inFlight(), "slots", e.server.Slots(),
			"waiting", len(e.pending), "left_out", suppressed,
		)
	}
}

// logReset logs that a flow was reset. The optional functions return what is added to the line.
func (e *Engine) logReset(p frame.Frame, reason string, explain ...func() []any) {
	suppressed, ok := e.samplers.reset.Allow(e.now())
	if !ok {
		return
	}
	keyvals := []any{
		"event", "flow_reset", "reason", reason, "caller", p.Key.Caller, "service", p.Key.Service, "left_out", suppressed,
	}
	for _, f := range explain {
		keyvals = append(keyvals, f()...)
	}
	_ = level.Info(e.log).Log(keyvals...)
}

// logNotAdmitted logs why a new flow is offered to other agents or reset: it was not
// admitted here, or the backend server returned its SYN or sent no SYN-ACK.
func (e *Engine) logNotAdmitted(p frame.Frame, h capsule.Header, reason string) {
	if suppressed, ok := e.samplers.notAdmitted.Allow(e.now()); ok {
		_ = level.Info(e.log).Log(
			"event", "flow_passed_on", "reason", reason, "caller", p.Key.Caller, "service", p.Key.Service,
			"visited", len(h.Visited), "requests", e.inFlight(), "sender_revision", h.Revision, "left_out", suppressed,
		)
	}
}

func (e *Engine) logUnclaimed(p frame.Frame, h capsule.Header, visited int) {
	if suppressed, ok := e.samplers.unclaimed.Allow(e.now()); ok {
		_ = level.Info(e.log).Log(
			"event", "flow_unclaimed", "caller", p.Key.Caller, "service", p.Key.Service, "visited", visited,
			"uncertain", h.Marks.Has(capsule.MarkUncertain), "left_out", suppressed,
		)
	}
}

func (e *Engine) logSendFailure(to netip.AddrPort, err error) {
	_ = level.Debug(e.log).Log("event", "send_failed", "to", to, "err", err)
}
