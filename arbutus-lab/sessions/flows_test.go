package sessions

import (
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/arbutus-lab/caller"
	"arbutusfront.dev/arbutus-lab/experiment"
	"arbutusfront.dev/arbutus-lab/store"
)

// overlapFlows is the number of flows that are open during the overlapping changes.
const overlapFlows = 200

// storeDown makes the store refuse all calls.
var storeDown = store.Faults{Down: true}

// openMany opens n long-lived flows, one every 5 ms. A refused request has not run and is
// retried.
func (w *deployment) openMany(service netip.AddrPort, n int) []*stream {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var streams []*stream
	for i := range n {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			for {
				s, err := w.openStream(service, fmt.Sprintf("%s stream %d", service, i))
				if err != nil && caller.IsRefused(err) {
					time.Sleep(500 * time.Millisecond)
					continue
				}
				w.must(err)
				mu.Lock()
				streams = append(streams, s)
				mu.Unlock()
				return
			}
		})
	}
	wg.Wait()
	return streams
}

// closeAll closes the callers' ends of the streams.
func closeAll(streams []*stream) {
	for _, s := range streams {
		s.close()
	}
}

// cutHost drops all packets from and to the named host until heal is called.
func (w *deployment) cutHost(name string) (heal func()) {
	host := w.address(name, 0).Addr()
	return w.cut(func(from, to netip.Addr) bool { return from == host || to == host })
}

// cut drops packets on the matching links until heal is called. Overlapping cuts must be
// healed in reverse order, because heal restores the earlier ones.
func (w *deployment) cut(match func(from, to netip.Addr) bool) (heal func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.isCut
	w.isCut = func(from, to netip.Addr) bool { return before(from, to) || match(from, to) }
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.isCut = before
	}
}

// TestAnyPacketAnyBalancer guards against flows that break because a balancer does not
// forward their packets to the holder. The fabric sprays the packets of 2,000 flows over the
// balancers, while these join, die, are cut off, and have different revisions.
func TestAnyPacketAnyBalancer(t *testing.T) {
	runSession(t, 2, func(w *deployment) {
		w.streamPeriod = 4 * time.Second
		w.startPhellos()
		streams := w.openMany(w.service("contract-desk"), 2000)

		w.startBalancer("balancer-4", "arcadia-a")
		time.Sleep(time.Second)
		w.updateFabric()
		time.Sleep(2 * time.Second)
		w.kill("balancer-2")
		time.Sleep(2 * time.Second)
		heal := w.cutHost("balancer-3")
		code, out := w.ctl("server", "drain", "contract-desk-1")
		w.g.Expect(code).To(Equal(0), out)
		time.Sleep(4 * time.Second)
		heal()
		time.Sleep(10 * time.Second)

		w.g.Expect(countByError(streams)).To(BeEmpty())
		w.g.Expect(count(streams, alive)).To(Equal(2000))
		closeAll(streams)
	})
}

// plannedChange is one change, with the numbers of the backend servers of the contract desk
// that take new flows after it.
type plannedChange struct {
	do        func(w *deployment)
	accepting []int
}

// plannedChanges returns the changes of TestOverlappingChanges in order.
func plannedChanges() []plannedChange {
	return []plannedChange{
		{func(w *deployment) { w.ctl("server", "drain", "contract-desk-1") }, []int{2, 3, 4, 5, 6, 7}},
		{
			func(w *deployment) { w.startServer("contract-desk-8", "contract-desk", "arcadia-a") },
			[]int{2, 3, 4, 5, 6, 7, 8},
		},
		{func(w *deployment) {
			w.startBalancer("balancer-4", "messinia-b")
			time.Sleep(time.Second)
			w.updateFabric()
			w.stop("balancer-2")
		}, []int{2, 3, 4, 5, 6, 7, 8}},
		{func(w *deployment) { w.beginStop("contract-desk-4") }, []int{2, 3, 5, 6, 7, 8}},
		{func(w *deployment) {
			w.ctl("server", "undrain", "contract-desk-1")
			w.startServer("contract-desk-9", "contract-desk", "laconia-c")
		}, []int{1, 2, 3, 5, 6, 7, 8, 9}},
	}
}

// baselineStep returns the step for experiment.Baselines in which the given backend servers of
// the contract desk take new flows. All others remain reachable.
func baselineStep(accepting []int) experiment.Step {
	step := experiment.Step{Alive: make(map[string]bool)}
	for _, n := range accepting {
		step.Servers = append(step.Servers, fmt.Sprintf("contract-desk-%d", n))
	}
	for n := range 10 {
		step.Alive[fmt.Sprintf("contract-desk-%d", n)] = true
	}
	return step
}

// TestOverlappingChanges guards against flows that planned changes break when they overlap:
// each is made before the previous one is in force everywhere, all within the lifetime of
// the flows. For comparison, it logs how many flows would have ended with plain hashing, and
// with hashing that knows one previous owner (experiment.Baselines).
func TestOverlappingChanges(t *testing.T) {
	for _, overlapping := range []int{1, 2, 5} {
		t.Run(fmt.Sprint(overlapping), func(t *testing.T) {
			runSession(t, uint64(overlapping), func(w *deployment) {
				w.startPhellos()
				streams := w.openMany(w.service("contract-desk"), overlapFlows)
				steps := []experiment.Step{baselineStep([]int{1, 2, 3, 4, 5, 6, 7})}
				for _, c := range plannedChanges()[:overlapping] {
					go c.do(w)
					steps = append(steps, baselineStep(c.accepting))
					time.Sleep(50 * time.Millisecond)
				}
				time.Sleep(20 * time.Second)
				answered, last := w.sendRequests(w.service("contract-desk"))
				t.Logf("%d changes, flows ended of %d: %d", overlapping, overlapFlows, count(streams, not(alive)))
				for _, b := range experiment.Baselines(overlapFlows, steps) {
					t.Logf("%s: %d", b.Name, b.Ended)
				}
				w.g.Expect(last).NotTo(HaveOccurred())
				w.g.Expect(answered).To(Equal(requestCount))
				w.g.Expect(countByError(streams)).To(BeEmpty())
				closeAll(streams)
			})
		})
	}
}

// TestBackendServerDeath guards against callers that wait forever for a backend server that
// was killed with its agent. Its flows are idle, so no packet reveals that they have ended: they
// must be reset all the same, and other flows must remain.
func TestBackendServerDeath(t *testing.T) {
	runSession(t, 3, func(w *deployment) {
		w.streamPeriod = time.Hour
		w.startPhellos()
		streams := w.openMany(w.service("contract-desk"), 200)
		time.Sleep(time.Second)
		w.kill("contract-desk-3")
		onKilled := func(s *stream) bool { return s.server == "contract-desk-3" }
		allEnded := w.waitUntil(5*time.Second, func() bool { return count(streams, and(onKilled, alive)) == 0 })
		w.g.Expect(count(streams, onKilled)).To(BeNumerically(">", 0))
		w.g.Expect(allEnded).To(BeTrue(), "%d flows were not reset", count(streams, and(onKilled, alive)))
		w.g.Expect(count(streams, and(not(onKilled), broken))).To(Equal(0))
		closeAll(streams)
	})
}

// TestNeverAnotherService guards against requests that reach a backend server of another
// service. A backend server of one service takes over the addresses of a killed one of
// another service, while packets for the killed one are under way.
func TestNeverAnotherService(t *testing.T) {
	runSession(t, 4, func(w *deployment) {
		w.startPhellos()
		streams := w.openMany(w.service("contract-desk"), 100)
		w.kill("contract-desk-7")
		reused := w.address("contract-desk-7", 0).Addr()
		w.mu.Lock()
		w.addresses["plot-maps-7"] = reused
		w.mu.Unlock()
		w.startServer("plot-maps-7", "plot-maps", "arcadia-a")
		for range 5 {
			_, _ = w.sendRequests(w.service("contract-desk"))
			_, _ = w.sendRequests(w.service("plot-maps"))
		}
		for name, b := range w.backends {
			for id := range b.Runs() {
				if strings.Contains(id, " stream ") {
					w.g.Expect(name).To(HavePrefix("contract-desk"), id)
				}
			}
			for host := range b.Hosts() {
				want := w.service(strings.TrimRight(name, "-0123456789")).String()
				w.g.Expect(host).To(Equal(want), "requests that %s ran", name)
			}
		}
		w.g.Expect(len(w.backends["plot-maps-7"].Runs())).To(BeNumerically(">", 0))
		closeAll(streams)
	})
}

// TestAtMostOnce guards against requests that run twice, or that run although the caller was
// refused. Backend servers are killed while requests that are not idempotent are sent.
func TestAtMostOnce(t *testing.T) {
	runSession(t, 5, func(w *deployment) {
		w.startPhellos()
		desk := w.service("contract-desk")
		var mu sync.Mutex
		refused := make(map[string]bool)
		var wg sync.WaitGroup
		for i := range 600 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 15 * time.Millisecond)
				id := fmt.Sprintf("tally %d", i)
				_, err := w.openStreamAt(desk, id, "/tally")
				if err != nil && caller.IsRefused(err) {
					mu.Lock()
					refused[id] = true
					mu.Unlock()
				}
			})
		}
		for i := range 4 {
			time.Sleep(1500 * time.Millisecond)
			w.kill(fmt.Sprintf("contract-desk-%d", i+1))
		}
		wg.Wait()
		for id, n := range w.runsByRequest() {
			w.g.Expect(n).To(Equal(1), id)
			w.g.Expect(refused).NotTo(HaveKey(id))
		}
	})
}

// TestDomainOutWhileCutOff guards against flows that remain in, or new packets that reach, a
// failure domain that is out. One balancer is cut off from all other balancers and the
// store, and the store goes down right after the accepting write.
func TestDomainOutWhileCutOff(t *testing.T) {
	runSession(t, 6, func(w *deployment) {
		w.startPhellos()
		desk := w.service("contract-desk")
		streams := w.openMany(desk, 100)
		isolated := w.address("balancer-2", 0).Addr()
		others := map[netip.Addr]bool{
			storeHost: true, ctlHost: true,
			w.address("balancer-1", 0).Addr(): true, w.address("balancer-3", 0).Addr(): true,
		}
		w.cut(func(from, to netip.Addr) bool {
			return from == isolated && others[to] || to == isolated && others[from]
		})
		code, out := w.ctl("domain", "out", "laconia-c")
		w.g.Expect(code).To(Equal(0), out)
		outAt := time.Now()
		w.store.SetFaults(storeDown)
		inLaconia := w.inDomain("laconia-c")
		allEnded := w.waitUntil(settleBound, func() bool { return count(streams, and(inLaconia, alive)) == 0 })
		w.g.Expect(allEnded).To(BeTrue())
		for range 3 {
			answered, last := w.sendRequests(desk)
			w.g.Expect(last).NotTo(HaveOccurred())
			w.g.Expect(answered).To(Equal(100))
		}
		arrived := w.countArrivals(outAt.Add(settleBound), func(a arrival) bool { return a.domain == "laconia-c" })
		w.g.Expect(arrived).To(Equal(0))
		w.g.Expect(count(streams, and(not(inLaconia), broken))).To(Equal(0))
		closeAll(streams)
	})
}

// TestLeavingAgent guards against an agent that breaks its flows when it is stopped, or
// still gets requests. After 3 s it must get no new requests, and its flows must continue until
// they end or the drain deadline passes.
func TestLeavingAgent(t *testing.T) {
	runSession(t, 7, func(w *deployment) {
		w.startPhellos()
		desk := w.service("contract-desk")
		files := w.copyDeploymentFiles(`"drain_deadline_seconds": 600`, `"drain_deadline_seconds": 60`)
		code, out := w.ctl("apply", "-f", files, "--yes", "--wait")
		w.g.Expect(code).To(Equal(0), out)
		streams := w.openMany(desk, 200)
		onLeaving := func(s *stream) bool { return s.server == "contract-desk-5" }
		w.beginStop("contract-desk-5")
		time.Sleep(settleBound)
		before := len(w.backends["contract-desk-5"].Runs())
		answered, last := w.sendRequests(desk)
		w.g.Expect(last).NotTo(HaveOccurred())
		w.g.Expect(answered).To(Equal(100))
		w.g.Expect(len(w.backends["contract-desk-5"].Runs())).To(Equal(before))
		time.Sleep(50 * time.Second)
		w.g.Expect(countByError(streams)).To(BeEmpty())
		left := count(streams, and(onLeaving, alive))
		w.g.Expect(left).To(BeNumerically(">", 0))
		time.Sleep(10 * time.Second)
		w.g.Expect(w.log()).To(ContainSubstring(fmt.Sprintf("event=left flows_left=%d", left)))
		w.g.Expect(count(streams, and(not(onLeaving), broken))).To(Equal(0))
		closeAll(streams)
	})
}

// TestAgentReplaced guards against flows that break when a backend server's agent is
// replaced. A second agent starts in front of the backend server, and the first, which holds
// flows, is stopped: its flows must continue on it, and new ones must use the second.
func TestAgentReplaced(t *testing.T) {
	runSession(t, 19, func(w *deployment) {
		w.startPhellos()
		desk := w.service("contract-desk")
		streams := w.openMany(desk, 70)
		w.startSecondAgent("second", "contract-desk-1", "contract-desk", "arcadia-a")
		time.Sleep(settleBound)
		w.g.Expect(w.log()).To(MatchRegexp("event=claim_refused .*name contract-desk-1 is held"))
		w.beginStop("contract-desk-1")
		time.Sleep(settleBound)
		started := time.Now()
		answered, last := w.sendRequests(desk)
		w.g.Expect(last).NotTo(HaveOccurred())
		w.g.Expect(answered).To(Equal(requestCount))
		syns := w.countArrivals(started, func(a arrival) bool { return a.agent == "second" && a.isSYN })
		w.g.Expect(syns).To(BeNumerically(">", 0))
		w.g.Expect(countByError(streams)).To(BeEmpty())
		flowsOnFirst := count(streams, func(s *stream) bool { return s.server == "contract-desk-1" })
		w.g.Expect(flowsOnFirst).To(BeNumerically(">", 0))
		closeAll(streams)
	})
}

// TestDomainOutResetsAllFlows guards against callers that keep waiting because the RST of
// their flow was lost. A failure domain is taken out while data is under way to its callers
// and a fifth of all packets is lost.
func TestDomainOutResetsAllFlows(t *testing.T) {
	runSession(t, 8, func(w *deployment) {
		w.streamPeriod = time.Minute
		w.startPhellos()
		streams := w.openMany(w.service("contract-desk"), 200)
		time.Sleep(time.Second)
		w.mu.Lock()
		w.loss = 0.2
		w.mu.Unlock()
		code, out := w.ctl("domain", "out", "laconia-c")
		w.g.Expect(code).To(Equal(0), out)
		inLaconia := w.inDomain("laconia-c")
		allEnded := w.waitUntil(5*time.Second, func() bool { return count(streams, and(inLaconia, alive)) == 0 })
		w.g.Expect(allEnded).To(BeTrue(), "%d flows were not reset", count(streams, and(inLaconia, alive)))
		w.g.Expect(count(streams, and(not(inLaconia), broken))).To(Equal(0))
		closeAll(streams)
	})
}
