package rules

import (
	"cmp"
	"fmt"
	"math"
	"time"
)

// maxWarmUp is how long the backend servers of a failure domain may take at least until they are
// warm. It is a bound of this check only: meanwhile the rest of the flows has to fit into the other
// failure domains, of which the next one may fail.
const maxWarmUp = time.Minute

// limitRules are about the limits of backend servers.
func limitRules() []Rule {
	return []Rule{
		{
			"slots_above_connections",
			"Exchange (arbutus-agent/backend): a flow has one request in flight at a time; terminating mode only",
			(*checker).checkConnections,
		},
		{
			"cold_rate_below_requests",
			"Limiter.Acquire and requestLimit (arbutus-agent/backend): a backend server in cold start gets new_per_second new " +
				"flows, and runs cold_start.requests at first; terminating mode only",
			(*checker).checkColdRates,
		},
		{
			"slow_warm_up",
			"Limiter.isWarm (arbutus-agent/backend), Server.applyView (arbutus-agent/serve): all backend servers of a failure " +
				"domain that returns are cold until each has answered warm_after_connections requests; terminating mode only, " +
				"as the others announce when they are warm",
			(*checker).checkWarmUp,
		},
	}
}

func (c *checker) checkConnections() {
	for _, s := range c.Config.Services {
		if s.BackendClass.Connections < s.BackendClass.Slots {
			c.reportService(s.Name, "backend_class/connections",
				fmt.Sprintf("%d connections are fewer than the %d slots: the others are never used, as a flow has one request at "+
					"a time", s.BackendClass.Connections, s.BackendClass.Slots),
				"raise connections to at least slots")
		}
		if s.ColdStart.Connections < s.ColdStart.Requests {
			c.reportService(s.Name, "cold_start/connections",
				fmt.Sprintf("the limit of connections, %d, is below that of requests, %d, which then has no effect at first",
					s.ColdStart.Connections, s.ColdStart.Requests),
				"raise cold_start.connections to at least cold_start.requests")
		}
	}
}

// checkColdRates compares the rate of new flows with that of the requests that a cold backend server
// answers at least if all of them are in time.
func (c *checker) checkColdRates() {
	for _, s := range c.Config.Services {
		class, ok := longestTarget(c.classesOf(s.Name))
		if !ok {
			continue
		}
		requests := cmp.Or(s.ColdStart.Requests, s.BackendClass.Slots)
		needed := float64(requests) / class.TargetLatency().Seconds()
		if float64(s.ColdStart.NewPerSecond) < needed {
			c.reportService(s.Name, "cold_start/new_per_second",
				fmt.Sprintf("a cold backend server runs %d requests at a time, which are %.0f a second or more with target "+
					"latencies of up to %s, but gets %d new flows a second: those of a failure domain that returns can't be used as "+
					"far",
					requests, math.Ceil(needed), millis(class.TargetLatency()), s.ColdStart.NewPerSecond),
				fmt.Sprintf("use a new_per_second of at least %.0f, or fewer cold_start.requests", math.Ceil(needed)))
		}
	}
}

func (c *checker) checkWarmUp() {
	for _, s := range c.Config.Services {
		atLeast := time.Duration(s.ColdStart.WarmAfterConnections) * time.Second / time.Duration(s.ColdStart.NewPerSecond)
		if atLeast > maxWarmUp {
			c.reportService(s.Name, "cold_start/warm_after_connections",
				fmt.Sprintf("with one request on each of %d new flows a second, the backend servers of a failure domain that "+
					"returns take %.0f s until they have answered %d requests and are warm", s.ColdStart.NewPerSecond,
					atLeast.Seconds(), s.ColdStart.WarmAfterConnections),
				fmt.Sprintf("raise new_per_second or lower warm_after_connections until that takes %.0f s or less",
					maxWarmUp.Seconds()))
		}
	}
}
