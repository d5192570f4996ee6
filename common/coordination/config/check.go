package config

import (
	"cmp"
	"fmt"
	"net/netip"
	"regexp"
)

const (
	defaultHeartbeatMillis = 400
	defaultDeadAfterMillis = 1600

	minHeartbeatMillis = 50
	maxHeartbeatMillis = 10_000
	// minMissedHeartbeats is how many heartbeat intervals dead_after_millis must span at
	// least.
	minMissedHeartbeats = 3
	maxDeadAfterMillis  = 60_000

	maxSlots          = 100_000
	maxConnections    = 1_000_000
	maxPerSecond      = 1_000_000
	maxDrainSeconds   = 7 * 24 * 60 * 60
	maxWeight         = 1_000_000
	maxFlowIdleMillis = 24 * 60 * 60 * 1000
	maxRequestMillis  = 60 * 60 * 1000
	maxPriority       = 15

	nameRemedy = "use 1 to 63 lower-case letters, digits and inner hyphens"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// boundedField is a numeric field with its allowed range, both ends included.
type boundedField struct {
	field    string
	value    int
	min, max int
}

// check validates the merged configuration and collects the problems.
func (l *loader) check() {
	l.checkDeployment()
	l.checkDomains()
	endpoints := make(map[netip.AddrPort]string)
	l.checkServices(endpoints)
	l.checkRoutes(endpoints)
}

func (l *loader) checkDeployment() {
	if len(l.deployments) == 0 {
		l.report(missing("deployment"), "", "no file defines the deployment", `add {"deployment": {"name": ...}} to one file`)
		return
	}
	for _, extra := range l.deployments[1:] {
		at := located{extra, deploymentPath}
		l.report(at, "", "the deployment is defined twice, first in "+l.deployments[0].file, "remove one")
	}
	at := located{l.deployments[0], deploymentPath}
	l.checkName(at, l.config.Deployment.Name)
	switch l.config.Deployment.DomainOut {
	case "", ResetFlows, KeepFlows:
	default:
		l.report(at, "domain_out", fmt.Sprintf("unknown policy %q", l.config.Deployment.DomainOut),
			`use "reset" or "keep"`)
	}
	limits := l.config.Deployment.Limits
	l.checkBounds(at, []boundedField{{"limits/flow_idle_millis", limits.FlowIdleMillis, 0, maxFlowIdleMillis}})
	limits.FlowIdleMillis = 0
	if limits == (Limits{}) {
		return
	}
	l.checkBounds(at, []boundedField{
		{"limits/heartbeat_millis", limits.HeartbeatMillis, minHeartbeatMillis, maxHeartbeatMillis},
		{
			"limits/dead_after_millis", limits.DeadAfterMillis,
			minMissedHeartbeats * limits.HeartbeatMillis, maxDeadAfterMillis,
		},
	})
}

// missing returns the location of a part that no file contains.
func missing(part string) located {
	return located{source: source{file: part, locate: func(string) int { return 0 }}}
}

func (l *loader) checkDomains() {
	seen := make(map[string]string)
	for i, d := range l.config.Domains {
		at := l.domains[i]
		l.checkName(at, d.Name)
		l.checkUnique(at, "failure domain", d.Name, seen, "remove one")
		if d.Region != "" && !namePattern.MatchString(d.Region) {
			l.report(at, "region", fmt.Sprintf("%q is not a valid name", d.Region), nameRemedy)
		}
		if d.State != DomainIn && d.State != DomainOut {
			l.report(at, "state", fmt.Sprintf("unknown state %q", d.State), `use "in" or "out"`)
		}
	}
	if len(l.config.Domains) == 0 {
		l.report(missing("domains"), "", "no failure domain is defined", "define at least one under \"domains\"")
	}
}

func (l *loader) checkServices(endpoints map[netip.AddrPort]string) {
	names := make(map[string]string)
	routed := make(map[string]bool)
	for _, r := range l.config.Routes {
		for _, t := range r.Targets {
			routed[t.Service] = true
		}
	}
	for i, s := range l.config.Services {
		at := l.services[i]
		l.checkName(at, s.Name)
		l.checkUnique(at, "service", s.Name, names, "rename one")
		if s.Address.IsValid() || s.Port != 0 || !routed[s.Name] {
			l.checkEndpoint(at, s.Name, s.Endpoint(), endpoints)
		}
		l.checkBounds(at, []boundedField{
			{"backend_class/slots", s.BackendClass.Slots, 1, maxSlots},
			{"backend_class/connections", s.BackendClass.Connections, 1, maxConnections},
			{"cold_start/connections", s.ColdStart.Connections, 1, s.BackendClass.Connections},
			{"cold_start/new_per_second", s.ColdStart.NewPerSecond, 1, maxPerSecond},
			{"cold_start/warm_after_connections", s.ColdStart.WarmAfterConnections, 1, maxConnections},
			{"cold_start/requests", s.ColdStart.Requests, 0, cmp.Or(s.BackendClass.Slots, maxSlots)},
			{"drain_deadline_seconds", s.DrainDeadlineSeconds, 1, maxDrainSeconds},
		})
		l.checkRequests(at, s.Requests)
	}
}

// checkRoutes validates the routes. A route must not use the address and port of a service
// or of another route.
func (l *loader) checkRoutes(endpoints map[netip.AddrPort]string) {
	names := make(map[string]string)
	for i, r := range l.config.Routes {
		at := l.routes[i]
		l.checkName(at, r.Name)
		l.checkUnique(at, "route", r.Name, names, "rename one")
		l.checkEndpoint(at, r.Name, r.Endpoint(), endpoints)
		l.checkRequests(at, r.Requests)
		total := 0
		for n, t := range r.Targets {
			field := fmt.Sprintf("targets/%d/service", n)
			if _, known := l.config.Service(t.Service); !known {
				l.report(at, field, fmt.Sprintf("service %q is not defined", t.Service), "name a service of this deployment")
			}
			l.checkBounds(at, []boundedField{{fmt.Sprintf("targets/%d/weight", n), t.Weight, 0, maxWeight}})
			total += t.Weight
		}
		if total == 0 {
			l.report(at, "targets", "no target has a weight over 0", "name at least one service with a weight over 0")
		}
	}
}

// checkRequests validates a request class. A target latency above the timeout could never be met.
func (l *loader) checkRequests(at located, c RequestClass) {
	l.checkBounds(at, []boundedField{
		{"requests/target_latency_millis", c.TargetLatencyMillis, 0, maxRequestMillis},
		{"requests/timeout_millis", c.TimeoutMillis, 0, maxRequestMillis},
		{"requests/priority", c.Priority, 0, maxPriority},
	})
	if c.TimeoutMillis > 0 && c.TargetLatencyMillis > c.TimeoutMillis {
		l.report(at, "requests/target_latency_millis",
			fmt.Sprintf("the target latency of %d ms exceeds the timeout of %d ms", c.TargetLatencyMillis, c.TimeoutMillis),
			"use a target latency of at most timeout_millis")
	}
}

// checkEndpoint validates an address and port. The map seen contains the names that the
// endpoints checked so far belong to; the endpoint is added to it.
func (l *loader) checkEndpoint(at located, name string, endpoint netip.AddrPort, seen map[netip.AddrPort]string) {
	a := endpoint.Addr()
	if !a.Is4() || a.IsUnspecified() || a.IsMulticast() {
		l.report(at, "address", fmt.Sprintf("%q is not a usable IPv4 address", a), "give one, such as 10.80.0.1")
	}
	if endpoint.Port() == 0 {
		l.report(at, "port", "the port is missing or zero", "give a port from 1 to 65535")
	}
	if first, duplicate := seen[endpoint]; duplicate {
		l.report(at, "address", fmt.Sprintf("%s is also the address of %q", endpoint, first),
			"give each service and route its own address or port")
	}
	seen[endpoint] = name
}

// checkUnique reports a name that is defined twice. The map seen contains the locations
// of the names checked so far; the name is added to it.
func (l *loader) checkUnique(at located, kind, name string, seen map[string]string, fix string) {
	if first, duplicate := seen[name]; duplicate {
		l.report(at, "name", fmt.Sprintf("%s %q is defined twice, first in %s", kind, name, first), fix)
	}
	seen[name] = at.file + ":" + at.path
}

func (l *loader) checkName(at located, name string) {
	if !namePattern.MatchString(name) {
		l.report(at, "name", fmt.Sprintf("%q is not a valid name", name), nameRemedy)
	}
}

func (l *loader) checkBounds(at located, fields []boundedField) {
	for _, n := range fields {
		if n.value < n.min || n.value > n.max {
			l.report(at, n.field, fmt.Sprintf("%d is out of range", n.value),
				fmt.Sprintf("use a number from %d to %d", n.min, n.max))
		}
	}
}
