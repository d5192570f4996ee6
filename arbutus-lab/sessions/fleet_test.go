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
	restartBalancers = 12
	// The first restartedPerGroup of every restartGroup processes restart: 30%.
	restartGroup      = 10
	restartedPerGroup = 3
	// restartDelay is the time between the end of the processes and their start.
	restartDelay = 100 * time.Millisecond
)

// TestInForceInFleet guards against a revision that is late in a larger deployment. It is
// applied while 30% of the processes restart and one failure domain is cut off, and must be
// in force at all other processes within inForceBound.
func TestInForceInFleet(t *testing.T) {
	inWorld(t, 37, func(w *world) {
		cfg := w.startFleet(restartBalancers)
		cutDomain := fleetDomains[2]
		w.cut(w.acrossDomain(cutDomain))
		reachable := w.namesOutside(cutDomain)
		restarted := 0
		for i, name := range reachable {
			if i%restartGroup < restartedPerGroup {
				w.kill(name)
				restarted++
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
		inForce := w.within(inForceBound, func() bool { return slices.Min(w.revisions(reachable)) >= 2 })
		t.Logf("%d processes, %d reachable, %d restarted: in force after %v",
			restartBalancers*(1+serversPerNode), len(reachable), restarted, time.Since(start))
		w.g.Expect(inForce).To(BeTrue())
	})
}

// namesOutside returns the sorted names of the processes in the other failure domains.
func (w *world) namesOutside(domain string) []string {
	return w.namesOf(func(d string) bool { return d != domain })
}

// namesOf returns the sorted names of the processes whose failure domain satisfies in.
func (w *world) namesOf(in func(domain string) bool) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var names []string
	for name, a := range w.names {
		if d := w.domains[a]; d != "" && in(d) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// acrossDomain matches the links between the failure domain and the others.
func (w *world) acrossDomain(domain string) func(from, to netip.Addr) bool {
	return func(from, to netip.Addr) bool {
		a, b := w.domains[from], w.domains[to]
		return from != to && (a == domain) != (b == domain)
	}
}

// restart starts a killed balancer or agent again, in its failure domain and service.
func (w *world) restart(name string) {
	a := w.at(name, 0).Addr()
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
func (w *world) revisions(names []string) []uint64 {
	out := make([]uint64, len(names))
	var wg sync.WaitGroup
	for i, name := range names {
		wg.Go(func() { out[i] = w.revision(name) })
	}
	wg.Wait()
	return out
}
