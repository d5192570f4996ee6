// Package state holds a balancer's state: the configuration in force, the members, and
// the routes that result from both.
//
// # Usage
//
//	n := state.NewNode(self)
//	done := n.Run(ctx)
//	route, ok := n.Routes().Lookup(endpoint)
//
// Routes are immutable: the packet path reads the current ones without a lock.
package state

import (
	"cmp"
	"iter"
	"maps"
	"net/netip"
	"slices"

	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/state/placement"
)

// maxWithdrawn bounds the endpoints that are remembered as withdrawn.
const maxWithdrawn = 4096

type (
	// Target is a service with its agents, on its own or as a target of a route.
	Target struct {
		Service string
		Key     capsule.ServiceKey
		Agents  *placement.Service
		// Slots is how many requests one of its backend servers runs concurrently.
		Slots int
		// Class is the code of the request class of the route's requests; 0 if there is none,
		// and outside a route.
		Class uint8
		// Requests is that request class; zero if there is none, and outside a route.
		Requests config.RequestClass
		// weight is the relative share of new flows; 0 outside a route.
		weight int
	}

	// Route is the set of services that receive the packets for one address and port.
	Route struct {
		Name string
		// Targets are ordered by service name. Those with weight zero get no new flows.
		Targets     []Target
		totalWeight int
	}

	// Routes are the routes for one revision of the configuration and one set of members.
	Routes struct {
		Revision   config.Order
		byEndpoint map[netip.AddrPort]*Route
		// services are ordered by name. byKey indexes them by key, byInstance by the
		// instance of each of their agents.
		services   []*Target
		byKey      map[capsule.ServiceKey]*Target
		byInstance map[uint64]*Target
		// withdrawn are the endpoints that had a route by an earlier revision and have none now.
		withdrawn map[netip.AddrPort]bool
	}
)

// BuildRoutes returns the routes for the revision and the members. A failure domain in
// blockedUntil is treated as taken out until the revision given there is in force. Without a
// configuration (r is nil) there are no routes, only the services that agents announce.
func BuildRoutes(r *config.Revision, members []member.Member, blockedUntil map[string]config.Order) *Routes {
	routes := &Routes{
		Revision: r.Order(), byEndpoint: make(map[netip.AddrPort]*Route),
		byKey: make(map[capsule.ServiceKey]*Target), byInstance: make(map[uint64]*Target, len(members)),
	}
	byService := make(map[string][]member.Member)
	for _, m := range members {
		byService[m.Service] = append(byService[m.Service], m)
	}
	if r == nil {
		routes.addAnnounced(byService)
		routes.sortServices()
		return routes
	}
	policy := placement.Policy{
		DomainIsOut: func(domain string) bool {
			return r.Config.DomainIsOut(domain) || r.Order().Before(blockedUntil[domain])
		},
		IsDrained:  r.Config.IsDrained,
		KeepsFlows: r.Config.Deployment.KeepsFlows(),
	}
	for _, s := range r.Config.Services {
		routes.addTarget(Target{
			Service: s.Name,
			Key:     capsule.KeyOf(s.Name),
			Agents:  placement.FromMembers(byService[s.Name], policy),
			Slots:   s.BackendClass.Slots,
		})
	}
	routes.sortServices()
	codes := make(map[string]config.ClassCodes)
	for service, classes := range r.Config.Classes() {
		codes[service] = config.NewClassCodes(classes)
	}
	for _, route := range r.Config.AllRoutes() {
		routes.byEndpoint[route.Endpoint()] = routes.buildRoute(route, codes)
	}
	return routes
}

// addAnnounced adds the services that agents announce. None of these agents admits new
// flows.
func (r *Routes) addAnnounced(byService map[string][]member.Member) {
	drained := placement.Policy{
		DomainIsOut: func(string) bool { return false },
		IsDrained:   func(string) bool { return true },
		KeepsFlows:  true,
	}
	for name, members := range byService {
		if agents := placement.FromMembers(members, drained); len(agents.Candidates()) > 0 {
			r.addTarget(Target{Service: name, Key: capsule.KeyOf(name), Agents: agents})
		}
	}
}

// Services returns all services, ordered by name. The slice must not be modified.
func (r *Routes) Services() []*Target { return r.services }

func (r *Routes) sortServices() {
	slices.SortFunc(r.services, func(a, b *Target) int { return cmp.Compare(a.Service, b.Service) })
}

func (r *Routes) addTarget(t Target) {
	r.services = append(r.services, &t)
	r.byKey[t.Key] = &t
	for _, c := range t.Agents.Candidates() {
		r.byInstance[c.Instance] = &t
	}
}

// Target returns the service with the key, and whether it is known.
func (r *Routes) Target(key capsule.ServiceKey) (*Target, bool) {
	t, ok := r.byKey[key]
	return t, ok
}

// Agent returns the agent with the instance, its service, and whether both are known.
func (r *Routes) Agent(instance uint64) (*Target, *placement.Candidate, bool) {
	t, ok := r.byInstance[instance]
	if !ok {
		return nil, nil, false
	}
	c, ok := t.Agents.ByInstance(instance)
	return t, c, ok
}

// ServerRuns iterates over the agents' names and the run of each one's backend server.
func (r *Routes) ServerRuns() iter.Seq2[string, uint64] {
	return func(yield func(string, uint64) bool) {
		for _, t := range r.byKey {
			for _, c := range t.Agents.Candidates() {
				if !yield(c.Name, c.ServerRun) {
					return
				}
			}
		}
	}
}

// buildRoute returns the route with those of its targets whose service is known. codes has the
// codes of request classes by service.
func (r *Routes) buildRoute(route config.Route, codes map[string]config.ClassCodes) *Route {
	built := &Route{Name: route.Name, Targets: make([]Target, 0, len(route.Targets))}
	for _, t := range route.Targets {
		known, ok := r.byKey[capsule.KeyOf(t.Service)]
		if !ok {
			continue
		}
		target := *known
		target.weight = t.Weight
		target.Class = codes[t.Service][route.Requests]
		target.Requests = route.Requests
		built.totalWeight += t.Weight
		built.Targets = append(built.Targets, target)
	}
	slices.SortFunc(built.Targets, func(a, b Target) int { return cmp.Compare(a.Service, b.Service) })
	return built
}

// Lookup returns the route of an address and port.
func (r *Routes) Lookup(endpoint netip.AddrPort) (*Route, bool) {
	route, ok := r.byEndpoint[endpoint]
	return route, ok
}

// IsWithdrawn reports whether an earlier revision that was in force here had a route for the endpoint,
// and the one in force has none.
func (r *Routes) IsWithdrawn(endpoint netip.AddrPort) bool { return r.withdrawn[endpoint] }

// withdrawSince records the endpoints that had a route by the earlier routes, or that were withdrawn by
// then, and that have none now.
func (r *Routes) withdrawSince(earlier *Routes) {
	if earlier.Revision == r.Revision {
		r.withdrawn = earlier.withdrawn
		return
	}
	r.withdrawn = make(map[netip.AddrPort]bool)
	add := func(endpoint netip.AddrPort) {
		if _, ok := r.byEndpoint[endpoint]; !ok && len(r.withdrawn) < maxWithdrawn {
			r.withdrawn[endpoint] = true
		}
	}
	for endpoint := range earlier.byEndpoint {
		add(endpoint)
	}
	for endpoint := range earlier.withdrawn {
		add(endpoint)
	}
}

// Targets returns the services that may hold a flow of the route: first the target that
// the flow's hash selects, then the other targets, then up to maxOthers further
// services. The latter are included because flows remain at their service when the
// targets of a route change.
func (r *Routes) Targets(route *Route, hash uint64, maxOthers int) []*Target {
	targets := make([]*Target, 0, len(route.Targets)+maxOthers)
	first, ok := route.Pick(hash)
	if ok {
		targets = append(targets, first)
	}
	for i := range route.Targets {
		if &route.Targets[i] != first {
			targets = append(targets, &route.Targets[i])
		}
	}
	ownTargets := len(targets)
	for _, s := range r.services {
		if len(targets) == ownTargets+maxOthers {
			break
		}
		if !slices.ContainsFunc(targets, func(t *Target) bool { return t.Key == s.Key }) {
			targets = append(targets, s)
		}
	}
	return targets
}

// ClassOf returns the code of the request class that the route's requests have at the service; 0
// if there is none. The route may be nil.
func (r *Route) ClassOf(service capsule.ServiceKey) uint8 {
	if r == nil {
		return 0
	}
	for i := range r.Targets {
		if r.Targets[i].Key == service {
			return r.Targets[i].Class
		}
	}
	return 0
}

// AllTargetsHaveAgents reports whether each of the route's services has at least one
// known agent.
func (r *Route) AllTargetsHaveAgents() bool {
	return !slices.ContainsFunc(r.Targets, func(t Target) bool { return len(t.Agents.Candidates()) == 0 })
}

// Pick returns the target that the flow's hash selects, in proportion to the weights. It
// returns false if all weights are zero.
func (r *Route) Pick(hash uint64) (*Target, bool) {
	if r.totalWeight == 0 {
		return nil, false
	}
	// The ranking of agents uses the same hash. Its upper half is sufficiently
	// independent of that ranking.
	position := int(hash >> 32 % uint64(r.totalWeight))
	for i := range r.Targets {
		if position -= r.Targets[i].weight; position < 0 {
			return &r.Targets[i], true
		}
	}
	return nil, false
}

// RouteDump is one target of a route, as shown in a state dump.
type RouteDump struct {
	Service  string                    `json:"service"`
	Endpoint string                    `json:"endpoint"`
	Agents   []placement.CandidateDump `json:"agents"`
}

// Dump returns the targets of all routes, ordered by endpoint.
func (r *Routes) Dump() []RouteDump {
	endpoints := slices.SortedFunc(maps.Keys(r.byEndpoint), netip.AddrPort.Compare)
	out := make([]RouteDump, 0, len(endpoints))
	for _, e := range endpoints {
		for _, t := range r.byEndpoint[e].Targets {
			out = append(out, RouteDump{Service: t.Service, Endpoint: e.String(), Agents: t.Agents.Dump()})
		}
	}
	return out
}
