package status

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"arbutusfront.dev/arbutusctl/session"
	"arbutusfront.dev/common/coordination/member"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
	"arbutusfront.dev/common/state/demand"
)

// maxRoutes bounds the names of routes in a row of the table.
const maxRoutes = 5

type (
	// demandReport is what became of the requests of one class at the agents or balancers of one
	// failure domain in the last ten seconds. Only requests of classes that lacked capacity are
	// reported. The request class is zero if the routes have none, or unless ClassKnown is set.
	demandReport struct {
		demand.Dump
		ClassKnown bool     `json:"class_known"`
		Routes     []string `json:"routes"`
		Domain     string   `json:"domain"`
		// At is the role of the processes.
		At string `json:"at"`
	}

	// demandKey are the requests that are reported together.
	demandKey struct {
		demand.Kind
		classKnown bool
		domain, at string
	}
)

// demandOf returns the figures of the live members, by service, class, failure domain, role and
// origin of the callers, in this order.
func demandOf(members []*controlv1.MemberStatus) []demandReport {
	sums := make(map[demandKey]demand.Figures)
	routes := make(map[demandKey][]string)
	for _, m := range members {
		if !session.IsLive(m) {
			continue
		}
		for _, d := range m.GetDemand() {
			figures := demand.Decode(d)
			figures.Service = cmp.Or(figures.Service, m.GetMember().GetService())
			key := demandKey{
				Kind: figures.Kind, classKnown: d.GetRequestClass() != nil,
				domain: m.GetMember().GetDomain(), at: newMemberReport(m).Role,
			}
			sum, known := sums[key]
			if !known {
				sum.Kind = figures.Kind
			}
			sums[key] = sum.Plus(figures)
			routes[key] = append(routes[key], d.GetRoutes()...)
		}
	}
	reports := make([]demandReport, 0, len(sums))
	for _, key := range slices.SortedFunc(maps.Keys(sums), demandKey.compare) {
		slices.Sort(routes[key])
		reports = append(reports, demandReport{
			Dump: sums[key].Dump(), ClassKnown: key.classKnown, Routes: slices.Compact(routes[key]),
			Domain: key.domain, At: key.at,
		})
	}
	return reports
}

func (k demandKey) compare(other demandKey) int {
	known := func(b bool) int {
		if b {
			return 0
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(k.Service, other.Service), cmp.Compare(known(k.classKnown), known(other.classKnown)),
		k.Class.Compare(other.Class), cmp.Compare(k.domain, other.domain), cmp.Compare(k.at, other.at),
		k.Kind.Compare(other.Kind),
	)
}

// row returns the report as a row of the table.
func (r demandReport) row() []string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s in %s, %s", r.Service, r.Domain, r.class())
	if r.At == member.Balancer.String() {
		b.WriteString(", at the balancers")
	}
	if r.OtherDomain {
		b.WriteString(", callers of other failure domains")
	}
	b.WriteString(": ")
	if r.At == member.Agent.String() {
		fmt.Fprintf(&b, "%d waiting; ", r.Waiting)
	}
	var parts []string
	for _, part := range []struct {
		n    int
		what string
	}{
		{r.Admitted, "admitted"},
		{r.Waited, "waited"},
		{r.Deferred, "deferred"},
		{r.PassedOn, "passed on"},
	} {
		if part.n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", part.n, part.what))
		}
	}
	if reasons := r.reasons(); len(reasons) > 0 {
		parts = append(parts, "refused "+strings.Join(reasons, " and "))
	}
	b.WriteString("in the last 10s " + cmp.Or(strings.Join(parts, ", "), "none"))
	if len(r.Refused) > 0 && r.WaitMillis > 0 {
		format := "; expected wait %s, allowed %s"
		if r.At == member.Balancer.String() {
			format = "; shortest expected wait %s, %s of the target left"
		}
		fmt.Fprintf(&b, format,
			time.Duration(r.WaitMillis)*time.Millisecond, time.Duration(r.AllowedMillis)*time.Millisecond)
	}
	return []string{"requests", b.String()}
}

// class returns the routes of the class and its target latency and priority.
func (r demandReport) class() string {
	routes := "no known route"
	switch {
	case len(r.Routes) > maxRoutes:
		routes = fmt.Sprintf("routes %s and %d more", strings.Join(r.Routes[:maxRoutes], ", "), len(r.Routes)-maxRoutes)
	case len(r.Routes) > 1:
		routes = "routes " + strings.Join(r.Routes, ", ")
	case len(r.Routes) == 1:
		routes = "route " + r.Routes[0]
	}
	switch {
	case !r.ClassKnown:
		return routes + " (request class unknown)"
	case r.ClassDump == demand.ClassDump{}:
		return routes + " (no request class)"
	case r.TargetLatencyMillis == 0:
		return fmt.Sprintf("%s (no target, priority %d)", routes, r.Priority)
	default:
		target := time.Duration(r.TargetLatencyMillis) * time.Millisecond
		return fmt.Sprintf("%s (target %s, priority %d)", routes, target, r.Priority)
	}
}

// reasons returns the numbers of refused requests with their reasons.
func (r demandReport) reasons() []string {
	var reasons []string
	for _, reason := range slices.Sorted(maps.Keys(r.Refused)) {
		reasons = append(reasons, fmt.Sprintf("%d for %s", r.Refused[reason], reason))
	}
	return reasons
}
