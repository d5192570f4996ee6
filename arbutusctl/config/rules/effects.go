package rules

import (
	"fmt"
	"slices"
	"strings"

	"arbutusfront.dev/common/coordination/config"
)

// The balancers remember the holder of a flow in pass-through mode (arbutus-balancer/fabric): for
// 30 s after its last packet (flowLifetime). Later they query the targets of the route and up to
// maxOtherServices more services.
const maxOtherServices = 4

// fieldEffects are the effects of changed fields that end no flow, by the prefix of their path
// within the entry. The first one applies that matches.
var (
	deploymentEffects = []fieldEffect{
		{"name", "processes don't use the name"},
		{"limits.flow_idle_millis", "flows may be idle for longer; pass-through mode only"},
		{
			"limits.", "processes use the new interval and detection time as soon as they have the revision; one that is cut " +
				"off from it meanwhile may declare others dead, or be declared dead, by the former ones",
		},
	}
	domainEffects = []fieldEffect{
		{"region", "the region decides which failure domains may be partitioned together"},
	}
	serviceEffects = []fieldEffect{
		{
			"backend_class.slots", "requests beyond it wait at their agents, and balancers compare loads by it; " +
				"pass-through agents use the slots that their backend servers announce",
		},
		{
			"backend_class.connections", "also above a lower limit; a backend server above it gets no new flows until it is " +
				"below",
		},
		{
			"cold_start.requests", "but requests within them are limited by it from now on, with two for each slot once warm; " +
				"with 0 they are not limited; terminating mode only",
		},
		{
			"cold_start.", "new flows to backend servers that are cold, or that have answered fewer requests " +
				"since their last cold start than warm_after_connections, are limited by it; pass-through agents use only " +
				"new_per_second, while their backend servers announce that they are cold",
		},
		{
			"drain_deadline_seconds", "it applies to agents that begin to leave later, and only to those of " +
				"the terminating mode",
		},
		{"retry_refused", "it applies to new flows only, in the terminating mode"},
		{"health_path", "it applies to backend servers that have not announced themselves, in pass-through mode only"},
	}
)

// fieldEffect is the effect of a changed field that ends no flow.
type fieldEffect struct{ prefix, detail string }

// effects returns the effects of a difference on open flows.
func (c *comparison) effects(p part, d Difference) []Effect {
	if effects := c.effectsOf(p, d); len(effects) > 0 {
		return effects
	}
	return []Effect{harmless("nothing changes for them")}
}

// effectsOf is effects without the effect of a difference that changes nothing for open flows.
func (c *comparison) effectsOf(p part, d Difference) []Effect {
	switch p.list {
	case listDeployment:
		if d.Kind == Added {
			return nil
		}
		return c.deploymentEffects(d)
	case listDomains:
		return c.domainEffects(p.name, d)
	case listServices:
		return c.serviceEffects(p.name, d)
	case listRoutes:
		if d.Kind == Added {
			return nil
		}
		effects := c.addressEffects(p.String())
		if d.Kind == Changed {
			effects = append(effects, requestEffects(d)...)
		}
		return effects
	default:
		return []Effect{harmless("only new flows are concerned")}
	}
}

// harmless returns an effect that ends no flow.
func harmless(detail string) Effect { return Effect{Continue, Continue, detail} }

// ofFields returns the effects of the changed fields, each once.
func ofFields(d Difference, table []fieldEffect) []Effect {
	var effects []Effect
	for _, change := range d.Changes {
		for _, f := range table {
			if !strings.HasPrefix(d.field(change), f.prefix) {
				continue
			}
			if e := harmless(f.detail); !slices.Contains(effects, e) {
				effects = append(effects, e)
			}
			break
		}
	}
	return effects
}

// field returns the path of a change within its entry.
func (d Difference) field(change config.Change) string {
	if rest, ok := strings.CutPrefix(change.Path, listDeployment+"."); ok {
		return rest
	}
	const pathParts = 3
	parts := strings.SplitN(change.Path, ".", pathParts)
	return parts[len(parts)-1]
}

// requestEffects returns the effect of a changed request class.
func requestEffects(d Difference) []Effect {
	return ofFields(d, []fieldEffect{{
		"requests", "agents decide on new flows by the new class; its cost is learned anew, and the mean of all classes " +
			"applies until then",
	}})
}

func (c *comparison) deploymentEffects(d Difference) []Effect {
	var effects []Effect
	limits := d
	before, after := c.before.Deployment, c.after.Deployment
	if idle := after.Limits.FlowIdle(); idle > 0 && (before.Limits.FlowIdle() == 0 || idle < before.Limits.FlowIdle()) {
		limits.Changes = slices.DeleteFunc(slices.Clone(d.Changes), func(change config.Change) bool {
			return d.field(change) == "limits.flow_idle_millis"
		})
		effects = append(effects, Effect{Continue, SomeReset, fmt.Sprintf(
			"flows without packets for %s are forgotten within a second, and reset when their callers send again before their "+
				"backend servers do; agents of the terminating mode ignore it", millis(idle))})
	}
	if before.KeepsFlows() != after.KeepsFlows() {
		effects = append(effects, c.policyEffect())
	}
	return append(effects, ofFields(limits, deploymentEffects)...)
}

// policyEffect returns the effect of a changed policy for failure domains that are out.
func (c *comparison) policyEffect() Effect {
	isOut := func(d config.Domain) bool { return c.before.DomainIsOut(d.Name) && d.State != config.DomainIn }
	if !slices.ContainsFunc(c.after.Domains, isOut) {
		return harmless("no failure domain is out; the policy applies to those that are taken out later")
	}
	if c.after.Deployment.KeepsFlows() {
		return harmless(
			"also those that are still open in failure domains that are out; only pass-through agents keep flows")
	}
	return Effect{
		Continue, SomeReset,
		"those that are still open in failure domains that are out are reset when their callers next send; agents of the " +
			"terminating mode have reset them when the failure domain was taken out",
	}
}

func (c *comparison) domainEffects(name string, d Difference) []Effect {
	before, after := c.before.DomainIsOut(name), c.after.DomainIsOut(name)
	switch {
	case before && !after:
		return []Effect{harmless(
			"they stay where they are; its backend servers are in cold start, and get new flows at a limited rate")}
	case before || !after:
		return ofFields(d, domainEffects)
	case c.after.Deployment.KeepsFlows():
		return []Effect{{
			Reset, Continue,
			`pass-through agents follow the policy "keep"; agents of the terminating mode ignore it, and reset them at once`,
		}}
	default:
		return []Effect{{
			Reset, Reset,
			"at once in the terminating mode, when their callers next send in pass-through mode; the callers connect again to " +
				"other failure domains",
		}}
	}
}

func (c *comparison) serviceEffects(name string, d Difference) []Effect {
	switch d.Kind {
	case Added:
		return []Effect{harmless("it gets flows once agents with this service in their settings run")}
	case Removed:
		effects := c.addressEffects(serviceEntry(name))
		if len(effects) == 0 {
			effects = []Effect{harmless("it has no address of its own; those of routes are shown with the routes")}
		}
		return effects
	default:
		return slices.Concat(c.addressEffects(serviceEntry(name)), requestEffects(d), ofFields(d, serviceEffects))
	}
}

// addressEffects returns the effects on the flows that are open to the entry's former address: none if
// it had no address, or if address and targets are unchanged.
func (c *comparison) addressEffects(name string) []Effect {
	before, had := c.routesBefore[name]
	if !had {
		return nil
	}
	now, taken := c.endpoints[before.Endpoint()]
	switch {
	case !taken:
		return []Effect{{NoAnswer, Reset, fmt.Sprintf(
			"no entry has the address %s any more: they are cut off at once, whatever the drain deadline; in the "+
				"terminating mode their packets are dropped, and callers find out by their timeouts; in pass-through mode they "+
				"are reset when their callers next send, or dropped if balancers have no fabric_return",
			before.Endpoint())}}
	case newSplit(before.Targets).equal(newSplit(now.Targets)) && len(c.removedTargets(before)) == 0:
		return nil
	default:
		return []Effect{c.targetsEffect(name, before, now)}
	}
}

// targetsEffect returns the effect on the flows that are open to the address of the entry before,
// which now belongs to the entry now.
func (c *comparison) targetsEffect(name string, before config.Route, now entry) Effect {
	moved := movedShare(before.Targets, now.Targets)
	e := Effect{Continue, Continue, "the shares of new flows change"}
	if now.String() != name {
		e.Detail = fmt.Sprintf("the address %s now belongs to %s", before.Endpoint(), now)
	}
	switch {
	case moved >= 1:
		e.Terminating = Reset
	case moved > 0:
		e.Terminating = SomeReset
	}
	if moved > 0 {
		e.Detail += fmt.Sprintf("; in the terminating mode, balancers choose the service of each packet by the targets in "+
			"force, so that %s are reset after 1.5 s", shareOfFlows(moved))
	}
	if removed := c.removedTargets(before); len(removed) > 0 {
		e.PassThrough = SomeReset
		if len(removed) == len(before.Targets) {
			e.PassThrough = Reset
		}
		e.Detail += fmt.Sprintf("; in pass-through mode, the flows of %s, which is not defined any more, are reset when "+
			"their callers next send", listed(removed))
		return e
	}
	e.Detail += "; in pass-through mode open flows stay with their backend servers"
	if others := len(c.after.Services) - len(now.Targets); others > maxOtherServices && c.losesTarget(before, now) {
		e.Detail += fmt.Sprintf(", except that one without packets for 30 s may not be found at a removed target, as "+
			"balancers search for it at %d of %d other services, and is then reset", maxOtherServices, others)
	}
	return e
}

// removedTargets returns the services of the route's targets that are not defined any more.
func (c *comparison) removedTargets(r config.Route) []string {
	var removed []string
	for _, t := range r.Targets {
		if !c.partsAfter[part{listServices, t.Service}] {
			removed = append(removed, t.Service)
		}
	}
	return removed
}

// losesTarget reports whether a target of the former route is not one of the new route.
func (c *comparison) losesTarget(before config.Route, now entry) bool {
	return slices.ContainsFunc(before.Targets, func(t config.Target) bool {
		return !slices.ContainsFunc(now.Targets, func(n config.Target) bool { return n.Service == t.Service })
	})
}
