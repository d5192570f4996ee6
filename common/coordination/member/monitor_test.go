package member

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// fleetOf returns a table with the given number of balancers in each of the failure domains d0,
// d1 and so on.
func fleetOf(perDomain ...int) *Table {
	table := NewTable()
	for d, n := range perDomain {
		for i := range n {
			table.Merge(Member{
				Name: fmt.Sprintf("b%d-%d", d, i), Role: Balancer, Domain: fmt.Sprintf("d%d", d),
				Instance: 1, Version: 1, Phase: Serving,
			})
		}
	}
	return table
}

// TestAgentsAreMonitoredNearby guards against agents whose heartbeats leave the failure domain
// although it has enough balancers, against ones with too few monitors where it has not, and
// against ones that nobody monitors after the loss of their failure domain's balancers.
func TestAgentsAreMonitoredNearby(t *testing.T) {
	for _, c := range []struct {
		name      string
		balancers []int
		want      map[string]int
	}{
		{"many balancers", []int{4, 4, 4}, map[string]int{"d0": 3}},
		{"one of its own", []int{1, 4, 4}, map[string]int{"d0": 1, "d1": 1, "d2": 1}},
		{"two of its own", []int{2, 4, 4}, map[string]int{"d0": 2, "d1 or d2": 1}},
		{"its own are lost", []int{0, 4, 4}, map[string]int{"d1": 1, "d2": 1, "d1 or d2": 1}},
		{"few in all", []int{1, 1}, map[string]int{"d0": 1, "d1": 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, s := NewWithT(t), fleetOf(c.balancers...).Snapshot()
			load := make(map[string]int)
			for i := range 200 {
				domains := make(map[string]int)
				for _, m := range s.Monitors(Member{Name: fmt.Sprintf("a%d", i), Role: Agent, Domain: "d0"}) {
					domains[m.Domain]++
					load[m.Name]++
				}
				total := 0
				for domain, n := range c.want {
					total += n
					if domain != "d1 or d2" {
						g.Expect(domains[domain]).To(BeNumerically(">=", n), domain)
					}
				}
				g.Expect(domains["d0"] + domains["d1"] + domains["d2"]).To(Equal(total))
			}
			for i := range c.balancers[0] {
				name := fmt.Sprintf("b0-%d", i)
				fair := 200 * min(c.balancers[0], MonitorCount) / c.balancers[0]
				g.Expect(load[name]).To(BeNumerically("~", fair, fair/2), name)
			}
		})
	}
}

// TestElectedAcross guards against tasks whose cost grows with the fleet, and against ones that
// nobody performs after the loss of a failure domain.
func TestElectedAcross(t *testing.T) {
	const n = 3
	for _, perDomain := range [][]int{
		{1}, {2, 2, 1}, {13, 11, 13, 11, 11}, {0, 11, 13, 11, 11}, {120, 120, 120, 120, 120},
	} {
		g, s := NewWithT(t), fleetOf(perDomain...).Snapshot()
		elected := make(map[string]int)
		ranks := make(map[int]bool)
		for _, m := range s.Members {
			if s.ElectedAcross(m, "task", n) {
				elected[m.Domain]++
			}
			ranks[s.Rank(m, "task")] = true
		}
		domains := 0
		for _, balancers := range perDomain {
			domains += min(balancers, 1)
		}
		g.Expect(elected).To(HaveLen(min(n, domains)), "%v", perDomain)
		for domain, count := range elected {
			g.Expect(count).To(Equal(1), domain)
		}
		g.Expect(ranks).To(HaveLen(len(s.Members)))
	}
}
