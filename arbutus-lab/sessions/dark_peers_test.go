package sessions

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/common/coordination/config"
)

const (
	// revisionBound is the time in which each balancer that is in touch must have a revision in force,
	// the bound on changes of the users' platform.
	revisionBound = 3 * time.Second
	// darkFleet is the number of balancers of a session beside dark ones.
	darkFleet = 20
)

// adoptedLine matches a balancer's log line on a revision that it adopts, with the balancer's name and the
// time.
var adoptedLine = regexp.MustCompile(`(?m)^(balancer-\d+) time=(\S+) .*event=revision_adopted revision=(\d+)`)

// adoptionTimes returns how long after the change each balancer has adopted the revision with the number, by
// name.
func (w *deployment) adoptionTimes(number string, changedAt time.Time) map[string]time.Duration {
	times := make(map[string]time.Duration)
	for _, m := range adoptedLine.FindAllStringSubmatch(w.log(), -1) {
		if m[3] != number {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, m[2])
		w.must(err)
		times[m[1]] = at.Sub(changedAt)
	}
	return times
}

// measureBesideDark starts balancers in three failure domains, and makes the last ones dark while the first one
// restarts. It then changes the configuration, and returns the times until the revision is in force at
// those that are left, in order.
func (w *deployment) measureBesideDark(balancers, dark int, pause time.Duration) []time.Duration {
	cfg := config.Config{Deployment: config.Deployment{Name: "dark"}}
	for _, d := range fleetDomains {
		cfg.Domains = append(cfg.Domains, config.Domain{Name: d, State: config.DomainIn})
	}
	w.applyConfig(cfg)
	for i := range balancers {
		w.startPassThroughBalancer(fmt.Sprintf("balancer-%d", i+1), fleetDomains[i%len(fleetDomains)])
	}
	time.Sleep(fleetSettleTime)
	w.stop("balancer-1")
	time.Sleep(500 * time.Millisecond)
	w.startPassThroughBalancer("balancer-1", fleetDomains[0])
	isDark := make(map[netip.Addr]bool)
	for i := balancers - dark; i < balancers; i++ {
		isDark[w.address(fmt.Sprintf("balancer-%d", i+1), 0).Addr()] = true
	}
	w.cut(func(from, to netip.Addr) bool { return isDark[from] || isDark[to] })
	time.Sleep(pause)
	cfg.Services = append(cfg.Services, config.Service{
		Name: "added", Port: 80, Address: netip.MustParseAddr("10.80.0.1"),
		BackendClass: config.BackendClass{Slots: 4, Connections: 2000},
	})
	changedAt := time.Now()
	w.applyConfig(cfg)
	time.Sleep(12 * time.Second)
	times := w.adoptionTimes("2", changedAt)
	var sorted []time.Duration
	for i := range balancers - dark {
		name := fmt.Sprintf("balancer-%d", i+1)
		w.g.Expect(times).To(HaveKey(name))
		sorted = append(sorted, times[name])
	}
	slices.Sort(sorted)
	return sorted
}

// TestRevisionBesideDarkBalancers guards against a revision that is late because some balancers do not
// respond: a quarter or half of them, right after they went dark and while they still count as alive, and once
// they count as dead. A balancer that had restarted beside a quarter had it only after 8 s (review/12).
func TestRevisionBesideDarkBalancers(t *testing.T) {
	for _, dark := range []int{darkFleet / 4, darkFleet / 2} {
		for _, pause := range []time.Duration{200 * time.Millisecond, 1200 * time.Millisecond, 5 * time.Second} {
			runSession(t, 80, func(w *deployment) {
				w.namedLogs = true
				times := w.measureBesideDark(darkFleet, dark, pause)
				t.Logf("%d balancers, %d dark, changed after %v: in force after %v (median), %v (last)",
					darkFleet, dark, pause, times[len(times)/2], times[len(times)-1])
				w.g.Expect(times[len(times)-1]).To(BeNumerically("<=", revisionBound))
			})
		}
	}
}
