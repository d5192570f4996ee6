package fabric

import (
	"time"

	"github.com/go-kit/log/level"

	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/protocol/frame"
	"arbutusfront.dev/common/state/observe"
)

// samplers limit the rate of log lines about single flows, per event.
type samplers struct{ placed, reset *observe.Sampler }

func newSamplers() samplers {
	return samplers{
		placed: observe.NewSampler(observe.FlowLinesPerSecond), reset: observe.NewSampler(observe.FlowLinesPerSecond),
	}
}

// logPlaced logs the agent that a SYN is sent to, with the agent's estimated load and the
// age of its last load report, unless the sampler suppresses the line.
func (f *Forwarder) logPlaced(p frame.Frame, route *state.Route, d destination) {
	now := f.placement.now()
	suppressed, ok := f.samplers.placed.Allow(now)
	if !ok {
		return
	}
	l, age := f.placement.loadWithAge(d.agent.Name, now)
	_ = level.Info(f.log).Log(
		"event", "flow_placed", "caller", p.Key.Caller, "service", p.Key.Service, "start", p.Sequence,
		"repeats", p.Retransmits, "route", route.Name, "agent", d.agent.Name, "flows", l.Flows, "requests", l.Requests,
		"load_age", age.Round(time.Millisecond), "revision", f.node.Routes().Revision, "left_out", suppressed,
	)
}

// logReset logs that the flow of p was reset, with the reason and additional keyvals,
// unless the sampler suppresses the line.
func (f *Forwarder) logReset(p frame.Frame, reason string, keyvals ...any) {
	if suppressed, ok := f.samplers.reset.Allow(f.now()); ok {
		_ = level.Info(f.log).Log(append([]any{
			"event", "flow_reset", "reason", reason, "caller", p.Key.Caller, "service", p.Key.Service, "left_out", suppressed,
		}, keyvals...)...)
	}
}
