package flow

import (
	"time"

	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/state/observe"
)

func newMetrics(s tally.Scope) metrics {
	return metrics{
		admitted:    s.Counter("flows_admitted"),
		forwarded:   s.Counter("packets_passed_on"),
		refused:     s.Counter("flows_refused"),
		waited:      s.Counter("flows_waited"),
		notAccepted: s.Counter("flows_not_accepted"),
		resets:      s.Counter("orphans_reset"),
		delivered:   s.Counter("packets_delivered"),
		uploadsCut:  s.Counter("uploads_cut"),
		dropped:     observe.PacketDropCounter(s),
	}
}

// samplers limit how many lines are logged for each event about single flows.
type samplers struct{ waits, refused, passedOn *observe.Sampler }

func newSamplers() samplers {
	next := func() *observe.Sampler { return observe.NewSampler(observe.FlowLinesPerSecond) }
	return samplers{waits: next(), refused: next(), passedOn: next()}
}

func (e *Engine) logRefused(p ipv4.Packet, reason string) {
	if suppressed, ok := e.samplers.refused.Allow(e.now()); ok {
		key := p.Key()
		_ = level.Info(e.log).Log(
			"event", "flow_reset", "reason", reason, "caller", key.Caller, "service", key.Service, "left_out", suppressed,
		)
	}
}

func (e *Engine) logPassedOn(p ipv4.Packet, age time.Duration, reason string) {
	if suppressed, ok := e.samplers.passedOn.Allow(e.now()); ok {
		key := p.Key()
		_ = level.Info(e.log).Log(
			"event", "flow_passed_on", "reason", reason, "caller", key.Caller, "service", key.Service, "age", age,
			"left_out", suppressed,
		)
	}
}
