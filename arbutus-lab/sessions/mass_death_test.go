// Tests named UnderLoad run without the race detector; see the target "test" in the Makefile.

//go:build !race

package sessions

import (
	"fmt"
	"regexp"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// racksPerDomain is the number of racks in each failure domain.
	racksPerDomain = 4
	// deathsKnownBound is the time in which all remaining balancers must have declared dead
	// every member of a killed rack or failure domain.
	deathsKnownBound = 4 * time.Second
)

var deadPattern = regexp.MustCompile(`event=member name=(\S+) role=\S+ phase=dead`)

// TestLostTogetherUnderLoad guards against deaths that are detected or spread too late,
// and against false ones, when many members die at once. It kills a rack, then in another
// run a failure domain, of a larger deployment: all remaining balancers must declare every
// killed member dead in time, and no other member.
func TestLostTogetherUnderLoad(t *testing.T) {
	for _, test := range []struct {
		name      string
		balancers int
		isKilled  func(index int) bool
	}{
		{"rack", 12, func(index int) bool { return index%racksPerDomain == 0 }},
		{"failure domain", 24, func(int) bool { return true }},
	} {
		t.Run(test.name, func(t *testing.T) {
			runSession(t, 38, func(w *deployment) {
				w.startFleet(test.balancers)
				var killed []string
				for i, name := range w.namesInDomain(fleetDomains[0]) {
					if test.isKilled(i) {
						killed = append(killed, name)
						w.kill(name)
					}
				}
				expected := len(killed) * countBalancersOutside(test.balancers, killed)
				start := time.Now()
				known := w.waitUntil(deathsKnownBound, func() bool { return len(w.deaths()) >= expected })
				t.Logf("%d of %d processes killed: known to all after %v",
					len(killed), test.balancers*(1+agentsPerBalancer), time.Since(start))
				w.g.Expect(known).To(BeTrue())
				time.Sleep(deathsKnownBound)
				w.g.Expect(w.deaths()).To(HaveLen(expected))
				w.g.Expect(w.deaths()).To(HaveEach(BeElementOf(killed)))
			})
		})
	}
}

// deaths returns the names in the balancers' log lines about dead members. Each balancer logs a
// death once, so names repeat.
func (w *deployment) deaths() []string {
	var names []string
	for _, match := range deadPattern.FindAllStringSubmatch(w.log(), -1) {
		names = append(names, match[1])
	}
	return names
}

// countBalancersOutside counts the balancers that are not among the names.
func countBalancersOutside(balancers int, names []string) int {
	n := 0
	for i := range balancers {
		if !slices.Contains(names, fmt.Sprintf("balancer-%d", i+1)) {
			n++
		}
	}
	return n
}

// namesInDomain returns the names of the failure domain's processes, sorted.
func (w *deployment) namesInDomain(domain string) []string {
	return w.namesInDomains(func(d string) bool { return d == domain })
}
