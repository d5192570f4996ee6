package sessions

import (
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// inForceBalancers is the number of balancers in the fleet of TestInForceInFleet.
	inForceBalancers = 12
	// The first restartedPerGroup of every restartGroup processes restart: 30%.
	restartGroup      = 10
	restartedPerGroup = 3
	// restartDelay is the time between the kill of the processes and their restart.
	restartDelay = 100 * time.Millisecond
)

// TestInForceInFleet guards against a revision that is late in a larger deployment. It is
// applied while one failure domain is cut off and 30% of the other processes restart. It must
// be in force at all processes outside that failure domain, also the restarted ones, within
// inForceBound.
func TestInForceInFleet(t *testing.T) {
	runSession(t, 37, func(w *deployment) {
		cfg := w.startFleet(inForceBalancers)
		cutDomain := fleetDomains[2]
		w.cut(w.acrossDomain(cutDomain))
		reachable := w.namesOutside(cutDomain)
		restartCount := 0
		for i, name := range reachable {
			if i%restartGroup < restartedPerGroup {
				w.kill(name)
				restartCount++
			}
		}
		time.Sleep(restartDelay)
		for i, name := range reachable {
			if i%restartGroup < restartedPerGroup {
				w.restart(name)
			}
		}
		w.applyConfig(cfg.WithDrained("agent-1", true))
		start := time.Now()
		inForce := w.waitUntil(inForceBound, func() bool { return slices.Min(w.revisions(reachable)) >= 2 })
		t.Logf("%d processes, %d reachable, %d restarted: in force after %v",
			inForceBalancers*(1+agentsPerBalancer), len(reachable), restartCount, time.Since(start))
		w.g.Expect(inForce).To(BeTrue())
	})
}

// namesOutside returns the sorted names of the processes outside the failure domain.
func (w *deployment) namesOutside(domain string) []string {
	return w.namesInDomains(func(d string) bool { return d != domain })
}

// namesInDomains returns the sorted names of the processes whose failure domain satisfies
// matches.
func (w *deployment) namesInDomains(matches func(domain string) bool) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var names []string
	for name, a := range w.addresses {
		if d := w.domains[a]; d != "" && matches(d) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// acrossDomain matches the links between the failure domain and everything outside it, also
// the store, the fabric and callers. w.mu must be held when the returned function is called.
func (w *deployment) acrossDomain(domain string) func(from, to netip.Addr) bool {
	return func(from, to netip.Addr) bool {
		a, b := w.domains[from], w.domains[to]
		return from != to && (a == domain) != (b == domain)
	}
}

// restart starts a killed balancer or agent again, in its failure domain and service.
func (w *deployment) restart(name string) {
	a := w.address(name, 0).Addr()
	w.mu.Lock()
	domain, service := w.domains[a], w.services[a]
	w.mu.Unlock()
	if service == "" {
		w.startBalancer(name, domain)
		return
	}
	w.startAgent(name, service, domain)
}

// revisions returns the revision that each process has in force.
func (w *deployment) revisions(names []string) []uint64 {
	out := make([]uint64, len(names))
	var wg sync.WaitGroup
	for i, name := range names {
		wg.Go(func() { out[i] = w.revision(name) })
	}
	wg.Wait()
	return out
}
