// Package config contains the deployment's configuration: its data types, the loading and
// validation of operators' files, and the revisions that are kept in the platform's store.
//
// # Usage
//
//	cfg, problems := config.LoadDirectory(dir)
//	outcome := config.NewApplier(storeClient).Apply(ctx, proposal)
//	r, err := config.Assemble(head, values)
//
// A Config is immutable once loaded: the With methods return modified copies.
//
// In the store, a revision consists of chunks, which contain the configuration and are
// addressed by their digests, and one head, which references them. An apply writes the
// chunks first and then replaces the head with a compare-and-swap.
package config

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/errs"
)

// States of a failure domain.
const (
	DomainIn  DomainState = "in"
	DomainOut DomainState = "out"
)

// Policies for existing flows of a failure domain that is taken out of service.
const (
	// ResetFlows resets them at once, so that their callers reconnect to another
	// failure domain. It is the default.
	ResetFlows DomainOutPolicy = "reset"
	// KeepFlows lets them continue. The failure domain gets no new flows.
	KeepFlows DomainOutPolicy = "keep"
)

// Error is the class of this package's errors.
var Error = errs.Class("config")

type (
	// DomainOutPolicy decides whether existing flows are reset when their failure
	// domain is taken out of service.
	DomainOutPolicy string

	// DomainState is whether a failure domain is in service.
	DomainState string

	// Config is the complete configuration of a deployment.
	Config struct {
		Deployment Deployment `json:"deployment"`
		Domains    []Domain   `json:"domains"`
		Services   []Service  `json:"services"`
		// Routes are addresses and ports in addition to those that the services
		// define themselves.
		Routes []Route `json:"routes,omitempty"`
		// Drained contains the names of the backend servers that operators have
		// drained. It is set by "arbutusctl server drain", not in files.
		Drained []string `json:"drained"`
	}

	// Deployment contains the settings of the deployment as a whole.
	Deployment struct {
		Name   string `json:"name"`
		Limits Limits `json:"limits"`
		// DomainOut decides whether flows are reset when their failure domain is taken
		// out of service; empty means ResetFlows.
		DomainOut DomainOutPolicy `json:"domain_out,omitempty"`
	}

	// Limits are time limits that apply to the whole deployment.
	Limits struct {
		// HeartbeatMillis is the interval between heartbeats; 0 means the default.
		HeartbeatMillis int `json:"heartbeat_millis"`
		// DeadAfterMillis is how long a member may go without a heartbeat before it is
		// considered dead; 0 means the default. It is also the duration of the lease
		// that an acknowledged heartbeat grants.
		DeadAfterMillis int `json:"dead_after_millis"`
		// FlowIdleMillis is how long a flow may be idle before a pass-through agent
		// drops its state; 0 means no limit. Other agents ignore it.
		FlowIdleMillis int `json:"flow_idle_millis,omitempty"`
	}

	// Domain is a failure domain.
	Domain struct {
		Name   string      `json:"name"`
		Region string      `json:"region"`
		State  DomainState `json:"state"`
	}

	// Route is an address and port that callers connect to, and the services among
	// which its new flows are split.
	Route struct {
		Name    string     `json:"name"`
		Address netip.Addr `json:"address"`
		Port    uint16     `json:"port"`
		Targets []Target   `json:"targets"`
		// Requests describes the requests of the route's callers.
		Requests RequestClass `json:"requests,omitzero"`
	}

	// Target is one service of a route. Weight sets its share of new flows, relative to
	// the other targets' weights.
	Target struct {
		Service string `json:"service"`
		Weight  int    `json:"weight"`
	}

	// Service contains the settings for a group of backend servers, and the address and
	// port that callers connect to. Address and Port may be unset if a route has the
	// service as a target.
	Service struct {
		Name    string     `json:"name"`
		Address netip.Addr `json:"address"`
		Port    uint16     `json:"port"`
		// Requests describes the requests of callers that connect to the service's own address.
		Requests RequestClass `json:"requests,omitzero"`
		// BackendClass limits the load of a warm backend server.
		BackendClass BackendClass `json:"backend_class"`
		// ColdStart limits the load of a backend server that is being warmed up.
		ColdStart ColdStart `json:"cold_start"`
		// DrainDeadlineSeconds is how long a backend server that is shutting down may
		// keep its flows. Flows that are left at the deadline are reset.
		DrainDeadlineSeconds int `json:"drain_deadline_seconds"`
		// RetryRefused makes an agent forward a flow to the next candidate if its
		// backend server refused it. Otherwise the caller's connection is refused.
		RetryRefused bool `json:"retry_refused"`
		// HealthPath is the HTTP path that pass-through agents probe to find out
		// whether a backend server accepts requests. Other agents ignore it.
		HealthPath string `json:"health_path,omitempty"`
	}

	// BackendClass is the capacity of a warm backend server. Slots is the number of
	// requests that it runs concurrently.
	BackendClass struct {
		Slots       int `json:"slots"`
		Connections int `json:"connections"`
	}

	// ColdStart limits the load of a backend server until it has answered
	// WarmAfterConnections requests: to NewPerSecond new flows per second, and at first
	// to Connections flows at a time and Requests requests in flight. These two limits
	// grow with each answer. With Requests 0, requests within flows are not limited, even
	// once the backend server is warm. Pass-through agents use only NewPerSecond.
	ColdStart struct {
		Connections          int `json:"connections"`
		NewPerSecond         int `json:"new_per_second"`
		WarmAfterConnections int `json:"warm_after_connections"`
		Requests             int `json:"requests,omitempty"`
	}
)

// Endpoint returns the route's address and port.
func (r Route) Endpoint() netip.AddrPort { return netip.AddrPortFrom(r.Address, r.Port) }

// FlowIdle returns how long a flow may be idle; 0 means no limit.
func (l Limits) FlowIdle() time.Duration { return time.Duration(l.FlowIdleMillis) * time.Millisecond }

// KeepsFlows reports whether existing flows continue when their failure domain is
// taken out of service.
func (d Deployment) KeepsFlows() bool { return d.DomainOut == KeepFlows }

// AllRoutes returns the configured routes, and one more for each service that has an
// address of its own.
func (c Config) AllRoutes() []Route {
	routes := slices.Clone(c.Routes)
	for _, s := range c.Services {
		if s.Address.IsValid() {
			routes = append(routes, Route{
				Name: s.Name, Address: s.Address, Port: s.Port, Targets: []Target{{Service: s.Name, Weight: 1}},
				Requests: s.Requests,
			})
		}
	}
	return routes
}

// Endpoint returns the service's address and port.
func (s Service) Endpoint() netip.AddrPort { return netip.AddrPortFrom(s.Address, s.Port) }

// DrainDeadline returns how long a backend server that is shutting down may keep its
// flows.
func (s Service) DrainDeadline() time.Duration {
	return time.Duration(s.DrainDeadlineSeconds) * time.Second
}

// Heartbeat returns the interval between heartbeats.
func (l Limits) Heartbeat() time.Duration {
	return time.Duration(cmp.Or(l.HeartbeatMillis, defaultHeartbeatMillis)) * time.Millisecond
}

// DeadAfter returns how long a member may go without a heartbeat before it is considered
// dead.
func (l Limits) DeadAfter() time.Duration {
	return time.Duration(cmp.Or(l.DeadAfterMillis, defaultDeadAfterMillis)) * time.Millisecond
}

// Domain returns the named failure domain, and whether the configuration contains it.
func (c Config) Domain(name string) (Domain, bool) {
	i := slices.IndexFunc(c.Domains, func(d Domain) bool { return d.Name == name })
	if i < 0 {
		return Domain{}, false
	}
	return c.Domains[i], true
}

// RegionOf returns the region of the named failure domain, or an empty string if the
// configuration doesn't contain that domain.
func (c Config) RegionOf(domain string) string {
	d, _ := c.Domain(domain)
	return d.Region
}

// DomainIsOut reports whether the named failure domain is out of service. It is true for
// a domain that the configuration doesn't contain.
func (c Config) DomainIsOut(name string) bool {
	d, ok := c.Domain(name)
	return !ok || d.State != DomainIn
}

// Service returns the named service, and whether the configuration contains it.
func (c Config) Service(name string) (Service, bool) {
	i := slices.IndexFunc(c.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return c.Services[i], true
}

// IsDrained reports whether the named backend server is drained.
func (c Config) IsDrained(server string) bool { return slices.Contains(c.Drained, server) }

// WithDomainState returns the configuration with the state of one failure domain
// replaced, and whether the configuration contains that domain.
func (c Config) WithDomainState(name string, state DomainState) (Config, bool) {
	i := slices.IndexFunc(c.Domains, func(d Domain) bool { return d.Name == name })
	if i < 0 {
		return c, false
	}
	c.Domains = slices.Clone(c.Domains)
	c.Domains[i].State = state
	return c, true
}

// WithDrained returns the configuration with the named backend server added to or removed
// from the drained ones.
func (c Config) WithDrained(server string, drained bool) Config {
	remaining := slices.DeleteFunc(slices.Clone(c.Drained), func(s string) bool { return s == server })
	if drained {
		remaining = append(remaining, server)
		slices.Sort(remaining)
	}
	c.Drained = remaining
	return c
}

// WithDrainedOf returns the configuration with the drained backend servers of another
// configuration.
func (c Config) WithDrainedOf(other Config) Config {
	c.Drained = slices.Clone(other.Drained)
	return c
}

// sorted returns the configuration with its failure domains, services and routes ordered
// by name.
func (c Config) sorted() Config {
	c.Domains = slices.Clone(c.Domains)
	slices.SortFunc(c.Domains, func(a, b Domain) int { return cmp.Compare(a.Name, b.Name) })
	c.Services = slices.Clone(c.Services)
	slices.SortFunc(c.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	c.Routes = slices.Clone(c.Routes)
	slices.SortFunc(c.Routes, func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
	return c
}
