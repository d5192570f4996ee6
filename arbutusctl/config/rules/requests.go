package rules

import (
	"fmt"
	"math"
	"time"

	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/state/admission"
)

const (
	fieldTarget  = "requests/target_latency_millis"
	fieldTimeout = "requests/timeout_millis"

	millisPerSecond = 1000
)

// requestRules are about target latencies and timeouts.
func requestRules() []Rule {
	return []Rule{
		{
			"target_latency_assumed",
			"admission.Queue.Configure (common/state/admission): classes without a target latency get an assumed one",
			(*checker).checkAssumedTargets,
		},
		{
			"target_latency_too_short",
			"admission.Queue.budget (common/state/admission): the way of packets and the request itself are reserved from " +
				"the target latency",
			(*checker).checkShortTargets,
		},
		{
			"target_latency_below_cost",
			"admission.Queue.budget (common/state/admission), with the mean durations that balancers keep " +
				"(common/coordination/learned)",
			(*checker).checkCosts,
		},
		{
			"timeout_below_detection",
			"Peers in arbutus-balancer/balancer (detector.go): an agent is declared dead after dead_after_millis, and only " +
				"then are the callers of its flows reset",
			(*checker).checkDetection,
		},
		{
			"timeout_above_drain_deadline",
			"Server.leave (arbutus-agent/serve): flows that are left at the deadline are reset; terminating mode only, " +
				"pass-through agents wait 4 s",
			(*checker).checkDrainDeadlines,
		},
		{
			"timeout_above_flow_idle",
			"flow.isExpired (arbutus-agent/passthrough): a flow without packets for flow_idle_millis is forgotten, also while " +
				"its request runs; pass-through mode only",
			(*checker).checkFlowIdle,
		},
	}
}

func (c *checker) checkAssumedTargets() {
	for _, e := range c.entries {
		if e.Requests.IsZero() || e.Requests.TargetLatencyMillis > 0 {
			continue
		}
		detail := fmt.Sprintf("without a target latency, agents assume %s", millis(admission.AssumedTarget))
		remedy := "state target_latency_millis"
		if timeout := e.Requests.Timeout(); timeout > 0 && timeout < admission.AssumedTarget {
			detail += fmt.Sprintf(", which is above the timeout of %s", millis(timeout))
			remedy += ", at most the timeout"
		}
		c.reportEntry(e, "requests", detail, remedy)
	}
}

func (c *checker) checkShortTargets() {
	for _, e := range c.entries {
		target := e.Requests.TargetLatency()
		if target > 0 && target < admission.MinTarget() {
			c.reportEntry(e, fieldTarget,
				fmt.Sprintf("of the target latency of %s, %s are reserved for the way of packets, and a fifth for the request "+
					"until durations are learned: no request can be planned to be in time", millis(target),
					millis(admission.FirstTrips)),
				fmt.Sprintf("use at least %.0f ms", math.Ceil(admission.MinTarget().Seconds()*millisPerSecond)))
		}
	}
}

// checkCosts compares target latencies with the learned cost of the class or, if it is a new one, with
// that of the class which the same entry has in force.
func (c *checker) checkCosts() {
	if c.Live == nil {
		return
	}
	inForce := make(map[string]config.RequestClass)
	if c.Current != nil {
		for i, r := range c.Current.AllRoutes() {
			inForce[entry{Route: r, isService: i >= len(c.Current.Routes)}.String()] = r.Requests
		}
	}
	for _, e := range c.entries {
		target := e.Requests.TargetLatency()
		if target == 0 {
			continue
		}
		for _, t := range e.Targets {
			costs := c.Live.Costs[t.Service]
			mean, known := costs[e.Requests.Key()]
			if !known {
				mean, known = costs[inForce[e.String()].Key()]
			}
			if known && mean+admission.FirstTrips > target {
				c.reportEntry(e, fieldTarget,
					fmt.Sprintf("a request takes %s on average at service %s, as its agents have learned, and the way of packets "+
						"%s: together more than the target latency of %s", millis(mean), t.Service, millis(admission.FirstTrips),
						millis(target)),
					"raise the target latency, or make the requests faster")
			}
		}
	}
}

// checkDetection reports all timeouts that are too short at once, as their remedy is one setting.
func (c *checker) checkDetection() {
	deadAfter := c.Config.Deployment.Limits.DeadAfter()
	var shortest entry
	var names []string
	for _, e := range c.entries {
		timeout := e.Requests.Timeout()
		if timeout == 0 || timeout >= deadAfter {
			continue
		}
		if len(names) == 0 || timeout < shortest.Requests.Timeout() {
			shortest = e
		}
		names = append(names, e.String())
	}
	if len(names) == 0 {
		return
	}
	c.report(c.Sources.Deployment("limits/dead_after_millis"), "deployment",
		fmt.Sprintf("a dead agent is detected after %s, when callers of %s have given up (the first of them after %s): they "+
			"learn of its death by their timeout, not by a reset", millis(deadAfter), listed(names),
			millis(shortest.Requests.Timeout())),
		"use a dead_after_millis below the timeouts, with a heartbeat_millis of at most a third of it, or longer timeouts")
}

func (c *checker) checkDrainDeadlines() {
	for _, e := range c.entries {
		timeout := e.Requests.Timeout()
		if timeout == 0 {
			continue
		}
		for _, t := range e.Targets {
			deadline := c.services[t.Service].DrainDeadline()
			if deadline < timeout {
				c.reportEntry(e, fieldTimeout,
					fmt.Sprintf("callers wait %s for an answer, but an agent of service %s that leaves resets its flows after %s: "+
						"requests in flight are lost", millis(timeout), t.Service, millis(deadline)),
					fmt.Sprintf("raise drain_deadline_seconds of service %s to the timeout or more", t.Service))
			}
		}
	}
}

func (c *checker) checkFlowIdle() {
	idle := c.Config.Deployment.Limits.FlowIdle()
	if idle == 0 {
		return
	}
	for _, e := range c.entries {
		field, longest := fieldTimeout, e.Requests.Timeout()
		if longest == 0 {
			field, longest = fieldTarget, e.Requests.TargetLatency()
		}
		if longest > idle {
			c.reportEntry(e, field,
				fmt.Sprintf("a request may take %s, but a pass-through agent forgets a flow without packets after %s",
					millis(longest), millis(idle)),
				"raise limits.flow_idle_millis above it")
		}
	}
}

// millis returns the duration in milliseconds, for messages.
func millis(d time.Duration) string {
	return fmt.Sprintf("%g ms", float64(d.Microseconds())/float64(time.Millisecond/time.Microsecond))
}
