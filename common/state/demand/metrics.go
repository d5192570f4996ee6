package demand

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"arbutusfront.dev/common/coordination/config"
)

var (
	// outcomeNames and reasonNames are the names for operators.
	outcomeNames = [outcomes]string{Admitted: "admitted", Waited: "waited", Deferred: "deferred", PassedOn: "passed_on"}
	reasonNames  = [reasons]string{
		NoCapacityInTime: "no_capacity_in_time",
		WaitedTooLong:    "waited_too_long",
		NoAgentAdmits:    "no_agent_admits",
		AllServersBusy:   "all_servers_busy",
		AllAgentsRefuse:  "all_agents_refuse",
	}
	// waitBuckets are the histogram bounds of waits, up to the age at which callers give up a SYN.
	waitBuckets = tally.DurationBuckets{
		time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
		50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second,
		2 * time.Second,
	}
	// ratioBuckets are the histogram bounds of the ratio of a wait to the expected one.
	ratioBuckets = tally.ValueBuckets{0.1, 0.25, 0.5, 0.75, 0.9, 1.1, 1.25, 1.5, 2, 4, 10}
)

// metrics are the metrics of one kind. They are created when they are first needed.
type metrics struct {
	scope            tally.Scope
	outcomes         [outcomes]tally.Counter
	refused          [reasons]tally.Counter
	expected, actual tally.Histogram
	ratio            tally.Histogram
}

// newMetrics returns the metrics of the kind. The service is not a tag: a balancer's services may
// be thousands.
func newMetrics(s tally.Scope, k Kind) metrics {
	callers := "own_domain"
	if k.Remote {
		callers = "other_domain"
	}
	return metrics{scope: s.Tagged(map[string]string{
		"target": TargetOf(k.Class), "priority": strconv.Itoa(k.Class.Priority), "callers": callers,
	})}
}

// TargetOf returns the target latency of the class for log lines and metrics: "none" if there is
// none.
func TargetOf(c config.RequestClass) string {
	if c.TargetLatencyMillis == 0 {
		return "none"
	}
	return c.TargetLatency().String()
}

func (m *metrics) outcome(o Outcome) tally.Counter {
	if m.outcomes[o] == nil {
		m.outcomes[o] = m.scope.Counter("requests_" + outcomeNames[o])
	}
	return m.outcomes[o]
}

func (m *metrics) refusal(reason Reason) tally.Counter {
	if m.refused[reason] == nil {
		m.refused[reason] = m.scope.Tagged(map[string]string{"reason": reason.String()}).Counter("requests_refused")
	}
	return m.refused[reason]
}

func (m *metrics) recordWait(expected, actual time.Duration) {
	if m.actual == nil {
		m.expected = m.scope.Histogram("wait_expected_seconds", waitBuckets)
		m.actual = m.scope.Histogram("wait_seconds", waitBuckets)
		m.ratio = m.scope.Histogram("wait_to_expected", ratioBuckets)
	}
	m.expected.RecordDuration(expected)
	m.actual.RecordDuration(actual)
	if expected > 0 {
		m.ratio.RecordValue(actual.Seconds() / expected.Seconds())
	}
}

// String returns the name of the reason, as in log lines.
func (r Reason) String() string {
	if r > 0 && r < reasons {
		return reasonNames[r]
	}
	return "reason_" + strconv.Itoa(int(r))
}
