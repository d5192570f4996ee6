// Package config holds the deployment's configuration: what operators state in
// files, how it is checked, and how it is kept in the platform's store.
//
// # Usage
//
//	cfg, problems := config.LoadDirectory(dir)
//	outcome := config.NewApplier(storeClient).Apply(ctx, proposal)
//	r, err := config.Assemble(head, chunks)
//
// A Config is immutable once loaded: the With methods return changed copies.
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

// What becomes of the flows of a failure domain that is taken out.
const (
	// ResetFlows ends them at once, so that their callers come back elsewhere. It
	// is the default.
	ResetFlows DomainOutPolicy = "reset"
	// KeepFlows lets them go on; the failure domain gets no new ones.
	KeepFlows DomainOutPolicy = "keep"
)

// Error is the class of this package's errors.
var Error = errs.Class("config")

type (
	// DomainOutPolicy tells what becomes of the flows of a failure domain that is
	// taken out.
	DomainOutPolicy string

	// DomainState tells whether a failure domain takes packets.
	DomainState string

	// Config is the whole configuration.
	Config struct {
		Deployment Deployment `json:"deployment"`
		Domains    []Domain   `json:"domains"`
		Services   []Service  `json:"services"`
		// Routes are further addresses and ports, besides those that services
		// state themselves.
		Routes []Route `json:"routes,omitempty"`
		// Drained are the backend servers that operators drain. It is set by
		// "arbutusctl server drain", not in files.
		Drained []string `json:"drained"`
	}

	// Deployment names the site and its limits.
	Deployment struct {
		Name   string `json:"name"`
		Limits Limits `json:"limits"`
		// DomainOut tells what becomes of the flows of a failure domain that is
		// taken out; empty stands for ResetFlows.
		DomainOut DomainOutPolicy `json:"domain_out,omitempty"`
	}

	// Limits hold for the whole deployment.
	Limits struct {
		// HeartbeatMillis is the interval between two heartbeats.
		HeartbeatMillis int `json:"heartbeat_millis"`
		// DeadAfterMillis is how long a member may be silent.
		DeadAfterMillis int `json:"dead_after_millis"`
		// FlowIdleMillis is how long a flow may be idle before agents forget it;
		// 0 stands for ever. It is for agents that pass flows through.
		FlowIdleMillis int `json:"flow_idle_millis,omitempty"`
	}

	// Domain is one failure domain.
	Domain struct {
		Name   string      `json:"name"`
		Region string      `json:"region"`
		State  DomainState `json:"state"`
	}

	// Route is one address and port, and the services that its new flows go to.
	Route struct {
		Name    string     `json:"name"`
		Address netip.Addr `json:"address"`
		Port    uint16     `json:"port"`
		Targets []Target   `json:"targets"`
	}

	// Target is one service of a route, with its share of new flows.
	Target struct {
		Service string `json:"service"`
		Weight  int    `json:"weight"`
	}

	// Service is how backend servers are treated, and the address and port where
	// callers reach them, which may be left to routes.
	Service struct {
		Name    string     `json:"name"`
		Address netip.Addr `json:"address"`
		Port    uint16     `json:"port"`
		// BackendClass bounds a warm backend server.
		BackendClass BackendClass `json:"backend_class"`
		// ColdStart bounds a backend server in cold start.
		ColdStart ColdStart `json:"cold_start"`
		// DrainDeadlineSeconds is how long a leaving backend server may keep
		// its flows.
		DrainDeadlineSeconds int `json:"drain_deadline_seconds"`
		// RetryRefused lets an agent offer a flow that its backend server
		// refused to the next one.
		RetryRefused bool `json:"retry_refused"`
		// HealthPath is the HTTP path that tells whether a backend server takes
		// requests. It is for agents that pass flows through.
		HealthPath string `json:"health_path,omitempty"`
	}

	// BackendClass is what a warm backend server bears.
	BackendClass struct {
		Slots       int `json:"slots"`
		Connections int `json:"connections"`
	}

	// ColdStart is what a backend server bears in cold start. Requests bounds
	// the requests in flight; with 0, requests within flows are not bounded.
	ColdStart struct {
		Connections          int `json:"connections"`
		NewPerSecond         int `json:"new_per_second"`
		WarmAfterConnections int `json:"warm_after_connections"`
		Requests             int `json:"requests,omitempty"`
	}
)

// Endpoint returns the route's address and port.
func (r Route) Endpoint() netip.AddrPort { return netip.AddrPortFrom(r.Address, r.Port) }

// FlowIdle returns how long a flow may be idle; 0 stands for ever.
func (l Limits) FlowIdle() time.Duration { return time.Duration(l.FlowIdleMillis) * time.Millisecond }

// KeepsFlows reports whether flows of a failure domain that is taken out go on.
func (d Deployment) KeepsFlows() bool { return d.DomainOut == KeepFlows }

// AllRoutes returns the routes, with one for each service that states an address.
func (c Config) AllRoutes() []Route {
	routes := slices.Clone(c.Routes)
	for _, s := range c.Services {
		if s.Address.IsValid() {
			routes = append(routes, Route{
				Name: s.Name, Address: s.Address, Port: s.Port, Targets: []Target{{Service: s.Name, Weight: 1}},
			})
		}
	}
	return routes
}

// Endpoint returns the service's address and port.
func (s Service) Endpoint() netip.AddrPort { return netip.AddrPortFrom(s.Address, s.Port) }

// DrainDeadline returns how long a leaving backend server may keep its flows.
func (s Service) DrainDeadline() time.Duration {
	return time.Duration(s.DrainDeadlineSeconds) * time.Second
}

// Heartbeat returns the interval between two heartbeats.
func (l Limits) Heartbeat() time.Duration {
	return time.Duration(cmp.Or(l.HeartbeatMillis, defaultHeartbeatMillis)) * time.Millisecond
}

// DeadAfter returns how long a member may be silent.
func (l Limits) DeadAfter() time.Duration {
	return time.Duration(cmp.Or(l.DeadAfterMillis, defaultDeadAfterMillis)) * time.Millisecond
}

// Domain returns the named failure domain.
func (c Config) Domain(name string) (Domain, bool) {
	i := slices.IndexFunc(c.Domains, func(d Domain) bool { return d.Name == name })
	if i < 0 {
		return Domain{}, false
	}
	return c.Domains[i], true
}

// RegionOf returns the region of the named failure domain; empty if the
// configuration does not know it.
func (c Config) RegionOf(domain string) string {
	d, _ := c.Domain(domain)
	return d.Region
}

// DomainIsOut reports whether the named failure domain is taken out. A domain
// that the configuration does not know is not in service either.
func (c Config) DomainIsOut(name string) bool {
	d, ok := c.Domain(name)
	return !ok || d.State != DomainIn
}

// Service returns the named service.
func (c Config) Service(name string) (Service, bool) {
	i := slices.IndexFunc(c.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return c.Services[i], true
}

// IsDrained reports whether the named backend server is drained.
func (c Config) IsDrained(server string) bool { return slices.Contains(c.Drained, server) }

// WithDomainState returns the configuration with one failure domain's state
// changed, and whether it knows that domain.
func (c Config) WithDomainState(name string, state DomainState) (Config, bool) {
	i := slices.IndexFunc(c.Domains, func(d Domain) bool { return d.Name == name })
	if i < 0 {
		return c, false
	}
	c.Domains = slices.Clone(c.Domains)
	c.Domains[i].State = state
	return c, true
}

// WithDrained returns the configuration with one backend server drained or no
// longer drained.
func (c Config) WithDrained(server string, drained bool) Config {
	kept := slices.DeleteFunc(slices.Clone(c.Drained), func(s string) bool { return s == server })
	if drained {
		kept = append(kept, server)
		slices.Sort(kept)
	}
	c.Drained = kept
	return c
}

// WithDrainedOf returns the configuration with the drained backend servers of
// another one.
func (c Config) WithDrainedOf(other Config) Config {
	c.Drained = slices.Clone(other.Drained)
	return c
}

// sorted returns the configuration in the order that it is kept in.
func (c Config) sorted() Config {
	c.Domains = slices.Clone(c.Domains)
	slices.SortFunc(c.Domains, func(a, b Domain) int { return cmp.Compare(a.Name, b.Name) })
	c.Services = slices.Clone(c.Services)
	slices.SortFunc(c.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	c.Routes = slices.Clone(c.Routes)
	slices.SortFunc(c.Routes, func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
	return c
}
