package rules

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"

	"arbutusfront.dev/common/coordination/config"
)

// Kinds of differences.
const (
	Added   Kind = "added"
	Removed Kind = "removed"
	Changed Kind = "changed"
)

// Outcomes for open flows.
const (
	// Continue means that open flows are not affected.
	Continue Outcome = "continue"
	// SomeReset means that some of the open flows are reset.
	SomeReset Outcome = "some_reset"
	// Reset means that the open flows are reset.
	Reset Outcome = "reset"
	// NoAnswer means that packets of the open flows are dropped without an answer, so that their
	// callers find out by their timeouts.
	NoAnswer Outcome = "no_answer"
)

type (
	// Kind says whether an entry was added, removed or changed.
	Kind string

	// Outcome says what becomes of the open flows of an entry.
	Outcome string

	// Effect is what a difference does to the open flows of its entry, with agents of the
	// terminating and of the pass-through mode.
	Effect struct {
		Terminating Outcome `json:"terminating"`
		PassThrough Outcome `json:"pass_through"`
		Detail      string  `json:"detail"`
	}

	// Difference is an entry in which two configurations differ. File is empty for a removed entry.
	Difference struct {
		Kind    Kind            `json:"kind"`
		Entry   string          `json:"entry"`
		File    string          `json:"file"`
		Line    int             `json:"line"`
		Changes []config.Change `json:"changes"`
		Effects []Effect        `json:"effects"`
	}

	// comparison has what the effects of differences depend on.
	comparison struct {
		before, after config.Config
		// routes are the entries by kind and name, endpoints those after the change by address.
		routesBefore, routesAfter map[string]config.Route
		endpoints                 map[netip.AddrPort]entry
		partsBefore, partsAfter   map[part]bool
	}

	// part identifies an entry by the list that contains it, as in a path of config.Diff, and its
	// name. The name of the deployment is empty.
	part struct{ list, name string }
)

// Lists of entries, as in the paths of config.Diff.
const (
	listDeployment = "deployment"
	listDomains    = "domains"
	listServices   = "services"
	listRoutes     = "routes"
	listDrained    = "drained"
)

// Differences returns the entries in which the two configurations differ, in the order deployment,
// failure domains, services, routes, drained backend servers, and by name. Sources are those of the
// configuration after the change.
func Differences(before, after config.Config, s config.Sources) ([]Difference, error) {
	changes, err := config.Diff(before, after)
	if err != nil {
		return nil, err
	}
	byPart := make(map[part][]config.Change)
	var parts []part
	for _, c := range changes {
		p := partOf(c.Path)
		if byPart[p] == nil {
			parts = append(parts, p)
		}
		byPart[p] = append(byPart[p], c)
	}
	order := []string{listDeployment, listDomains, listServices, listRoutes, listDrained}
	slices.SortFunc(parts, func(a, b part) int {
		return cmp.Or(cmp.Compare(slices.Index(order, a.list), slices.Index(order, b.list)), cmp.Compare(a.name, b.name))
	})
	both := compare(before, after)
	out := make([]Difference, 0, len(parts))
	for _, p := range parts {
		d := Difference{Kind: both.kind(p), Entry: p.String(), Changes: byPart[p]}
		if d.Kind != Removed {
			at := p.place(s)
			d.File, d.Line = at.File, at.Line
		}
		d.Effects = both.effects(p, d)
		out = append(out, d)
	}
	return out, nil
}

// partOf returns the entry that a path of config.Diff belongs to. Names contain no dots.
func partOf(path string) part {
	list, rest, _ := strings.Cut(path, ".")
	if list == listDeployment {
		return part{list: list}
	}
	name, _, _ := strings.Cut(rest, ".")
	return part{list, name}
}

// String returns the kind and name of the entry.
func (p part) String() string {
	switch p.list {
	case listDomains:
		return "failure domain " + p.name
	case listServices:
		return serviceEntry(p.name)
	case listRoutes:
		return "route " + p.name
	case listDrained:
		return "drained " + p.name
	default:
		return p.list
	}
}

// place returns where the entry is defined.
func (p part) place(s config.Sources) config.Place {
	switch p.list {
	case listDeployment:
		return s.Deployment("")
	case listDomains:
		return s.Domain(p.name, "")
	case listServices:
		return s.Service(p.name, "")
	case listRoutes:
		return s.Route(p.name, "")
	default:
		return config.Place{}
	}
}

// compare prepares the comparison of two configurations.
func compare(before, after config.Config) *comparison {
	c := &comparison{
		before: before, after: after, routesBefore: routesByEntry(before), routesAfter: routesByEntry(after),
		endpoints: make(map[netip.AddrPort]entry), partsBefore: partsOf(before), partsAfter: partsOf(after),
	}
	for i, r := range after.AllRoutes() {
		c.endpoints[r.Endpoint()] = entry{Route: r, isService: i >= len(after.Routes)}
	}
	return c
}

// routesByEntry returns the routes, and the addresses of services, by kind and name.
func routesByEntry(c config.Config) map[string]config.Route {
	routes := make(map[string]config.Route)
	for i, r := range c.AllRoutes() {
		routes[entry{Route: r, isService: i >= len(c.Routes)}.String()] = r
	}
	return routes
}

// partsOf returns the entries of the configuration.
func partsOf(c config.Config) map[part]bool {
	parts := map[part]bool{{list: listDeployment}: c.Deployment != config.Deployment{}}
	for _, d := range c.Domains {
		parts[part{listDomains, d.Name}] = true
	}
	for _, s := range c.Services {
		parts[part{listServices, s.Name}] = true
	}
	for _, r := range c.Routes {
		parts[part{listRoutes, r.Name}] = true
	}
	for _, name := range c.Drained {
		parts[part{listDrained, name}] = true
	}
	return parts
}

// kind returns whether the entry was added, removed or changed.
func (c *comparison) kind(p part) Kind {
	switch {
	case !c.partsBefore[p]:
		return Added
	case !c.partsAfter[p]:
		return Removed
	default:
		return Changed
	}
}
