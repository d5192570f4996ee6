package rules

import (
	"fmt"
	"slices"
	"strings"

	"arbutusfront.dev/common/coordination/config"
)

const (
	// minShare is the share of a route's new flows below which a weight is reported. It is shown as
	// 0.0 %.
	minShare = 0.0005
	// maxTotalWeight is the number of positions that a balancer can pick among: it takes 32 bits of
	// the flow's hash.
	maxTotalWeight = 1 << 32
)

// entryRules are about entries that can never match, or that get nothing.
func entryRules() []Rule {
	return []Rule{
		{
			"service_without_flows",
			"Route.Pick (arbutus-balancer/state): a target of weight 0 gets no new flow",
			(*checker).checkServicesWithoutFlows,
		},
		{
			"target_without_weight",
			"Route.Pick (arbutus-balancer/state): a target of weight 0 gets no new flow",
			(*checker).checkTargetsWithoutWeight,
		},
		{
			"share_rounds_to_nothing",
			"Route.Pick (arbutus-balancer/state): new flows are split by weight, by 32 bits of their hash",
			(*checker).checkShares,
		},
		{
			"target_named_twice",
			"Route.Pick (arbutus-balancer/state): the weights of a service's targets add up",
			(*checker).checkTargetsNamedTwice,
		},
		{
			"name_of_two_addresses",
			"Config.AllRoutes (common/coordination/config): the address of a service is a route with the service's name, " +
				"by which logs, metrics and status show it",
			(*checker).checkNames,
		},
		{
			"class_without_flows",
			"Config.AllRoutes and Config.Classes (common/coordination/config): the class of a service applies to its own " +
				"address only, and a target of weight 0 counts as one that uses the class",
			(*checker).checkClassesWithoutFlows,
		},
		{
			"nothing_in_service",
			"placement.FromMembers (common/state/placement): agents of a failure domain that is out admit no new flows",
			(*checker).checkDomains,
		},
	}
}

func (c *checker) checkServicesWithoutFlows() {
	for _, s := range c.Config.Services {
		if !c.getsNewFlows(s.Name) {
			c.reportService(s.Name, "name", "no address and no route with a weight over 0 leads to it, so it gets no new flows",
				"give it an address or a weight, or remove it once its open flows have ended")
		}
	}
}

func (c *checker) checkTargetsWithoutWeight() {
	for _, e := range c.entries {
		for n, t := range e.Targets {
			if t.Weight == 0 {
				c.reportEntry(e, targetField(n, "weight"),
					fmt.Sprintf("target %s has weight 0, so it gets no new flows", t.Service),
					"remove the target once its open flows have ended, or give it a weight")
			}
		}
	}
}

func (c *checker) checkShares() {
	for _, e := range c.entries {
		total := 0
		for _, t := range e.Targets {
			total += t.Weight
		}
		if total > maxTotalWeight {
			c.reportEntry(e, "targets",
				fmt.Sprintf("the weights add up to %d, but flows are spread over %d positions only: the last targets by name "+
					"get nothing", total, maxTotalWeight),
				"divide all weights by the same number")
			continue
		}
		for n, t := range e.Targets {
			share := float64(t.Weight) / float64(total)
			if t.Weight > 0 && share < minShare {
				c.reportEntry(e, targetField(n, "weight"),
					fmt.Sprintf("target %s gets 1 in %d new flows (weight %d of %d), which rounds to 0.0 %%",
						t.Service, total/t.Weight, t.Weight, total),
					"raise its weight, or lower those of the other targets")
			}
		}
	}
}

func (c *checker) checkTargetsNamedTwice() {
	for _, e := range c.entries {
		first := make(map[string]int, len(e.Targets))
		for n, t := range e.Targets {
			if f, twice := first[t.Service]; twice {
				c.reportEntry(e, targetField(n, "service"),
					fmt.Sprintf("target %s is named twice, first as target %d: the weights add up to %d", t.Service, f,
						e.weightOf(t.Service)),
					"name it once, with the sum of the weights")
				continue
			}
			first[t.Service] = n
		}
	}
}

func (c *checker) checkNames() {
	for _, r := range c.Config.Routes {
		if s, ok := c.services[r.Name]; ok && s.Address.IsValid() {
			c.report(c.Sources.Route(r.Name, "name"), "route "+r.Name,
				fmt.Sprintf("service %s has the same name and an address of its own: logs and status can't tell the two apart",
					s.Name),
				"rename the route")
		}
	}
}

func (c *checker) checkClassesWithoutFlows() {
	for _, s := range c.Config.Services {
		if !s.Address.IsValid() && !s.Requests.IsZero() {
			c.reportService(s.Name, "requests",
				"the request class applies to callers of the service's own address, and it has none",
				"move it to the routes that lead to the service")
		}
	}
	for _, s := range c.Config.Services {
		for _, class := range c.classesOf(s.Name) {
			c.checkClassHasFlows(s.Name, class)
		}
	}
}

// checkClassHasFlows reports a request class of the service that only targets of weight 0 use.
func (c *checker) checkClassHasFlows(service string, class config.RequestClass) {
	var names []string
	for _, e := range c.byService[service] {
		if e.Requests != class {
			continue
		}
		if e.weightOf(service) > 0 {
			return
		}
		names = append(names, e.String())
	}
	c.reportService(service, "name",
		fmt.Sprintf("only targets of weight 0 use the request class of %s: it gets no new flows, and still counts among "+
			"the classes of the service", listed(names)),
		"remove the targets once their open flows have ended")
}

func (c *checker) checkDomains() {
	inService := make(map[string]bool)
	someIn := false
	for _, d := range c.Config.Domains {
		in := d.State == config.DomainIn
		someIn = someIn || in
		inService[d.Region] = inService[d.Region] || in
	}
	remedy := `set the state of a failure domain to "in"`
	for _, d := range c.Config.Domains {
		if in, first := inService[d.Region]; in || !first || d.Region == "" && someIn {
			continue
		}
		delete(inService, d.Region)
		at, entry := c.Sources.Domain(d.Name, "state"), "failure domain "+d.Name
		if !someIn {
			c.report(at, entry, "all failure domains are out: no agent admits new flows", remedy)
			return
		}
		c.report(at, entry, fmt.Sprintf("all failure domains of region %q are out: its callers are served by other regions",
			d.Region), remedy)
	}
}

// targetField returns the JSON pointer of a field of a route's target.
func targetField(n int, field string) string { return fmt.Sprintf("targets/%d/%s", n, field) }

// maxListed bounds the names in a message.
const maxListed = 5

// listed returns the names for a message, in order and each once.
func listed(names []string) string {
	names = slices.Compact(slices.Sorted(slices.Values(names)))
	if len(names) > maxListed {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxListed], ", "), len(names)-maxListed)
	}
	return strings.Join(names, ", ")
}
