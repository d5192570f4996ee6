package sessions

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// inForceBound is the time in which a revision must be in force at every reachable
	// process.
	inForceBound = 4 * time.Second
	// detectionBound is the time in which a killed backend server's agent must be declared
	// dead.
	detectionBound = 3 * time.Second
	// seedlessJoinBound is the time in which an agent whose seeds are all unreachable must
	// be in service.
	seedlessJoinBound = 5 * time.Second

	// storeReadsPerSecond and storeWritesPerSecond are the store's rate limits for the whole
	// deployment.
	storeReadsPerSecond  = 2000
	storeWritesPerSecond = 300
)

// TestAgentAnnouncedThroughFabric guards against an agent that cannot join because none of
// its seeds is reachable and the store is down. It must find the balancers through the
// fabric, be in service within seedlessJoinBound, and be declared dead when it is killed.
func TestAgentAnnouncedThroughFabric(t *testing.T) {
	runSession(t, 14, func(w *deployment) {
		w.startPhellos()
		desk := w.service("contract-desk")
		w.store.SetFaults(storeDown)
		w.startBackend("contract-desk-8", "contract-desk", "messinia-b")
		w.startAgentWithUnreachableSeeds("contract-desk-8", "contract-desk", "messinia-b")
		time.Sleep(seedlessJoinBound)
		answered, last := w.sendRequests(desk)
		w.g.Expect(last).NotTo(HaveOccurred())
		w.g.Expect(answered).To(Equal(requestCount))
		w.g.Expect(len(w.backends["contract-desk-8"].Runs())).To(BeNumerically(">", 0))

		w.kill("contract-desk-8")
		time.Sleep(detectionBound)
		w.g.Expect(w.log()).To(MatchRegexp("event=member name=contract-desk-8 role=agent phase=dead"))
	})
}

// TestDeadServerDetection guards against the late detection of a backend server that is
// killed at a random point of the heartbeat interval.
func TestDeadServerDetection(t *testing.T) {
	for _, seed := range []uint64{20, 21, 22, 23} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runSession(t, seed, func(w *deployment) {
				w.startPhellos()
				time.Sleep(rand.N(time.Second))
				w.kill("contract-desk-3")
				dead := w.waitUntil(detectionBound, func() bool {
					return strings.Contains(w.log(), "name=contract-desk-3 role=agent phase=dead")
				})
				w.g.Expect(dead).To(BeTrue())
			})
		})
	}
}

// TestDetectionFalsePositives guards against live members that are declared dead. For five
// minutes all links have 5% loss and jitter, and one link drops every packet in one
// direction.
func TestDetectionFalsePositives(t *testing.T) {
	runSession(t, 13, func(w *deployment) {
		w.startPhellos()
		w.mu.Lock()
		w.loss = 0.05
		w.mu.Unlock()
		agent, balancer := w.address("contract-desk-1", 0).Addr(), w.address("balancer-1", 0).Addr()
		w.cut(func(from, to netip.Addr) bool { return from == agent && to == balancer })
		time.Sleep(5 * time.Minute)
		w.g.Expect(strings.Count(w.log(), "phase=dead")).To(Equal(0))
	})
}

// TestClaimOfHeldName guards against a second agent that gets flows under the name of a
// running one. The second agent's claim must be refused, and the first agent must continue to
// serve.
func TestClaimOfHeldName(t *testing.T) {
	runSession(t, 14, func(w *deployment) {
		w.startPhellos()
		firstAgent := w.address("contract-desk-1", 0).Addr()
		w.startServer("impostor", "contract-desk", "arcadia-a", "contract-desk-1")
		time.Sleep(5 * time.Second)
		w.g.Expect(w.log()).To(ContainSubstring(
			fmt.Sprintf(`event=claim_refused reason="name contract-desk-1 is held by contract-desk-1 at %s:7002"`, firstAgent)))
		_, _ = w.sendRequests(w.service("contract-desk"))
		w.g.Expect(w.backends["impostor"].Runs()).To(BeEmpty())
		w.g.Expect(len(w.backends["contract-desk-1"].Runs())).To(BeNumerically(">", 0))
	})
}

// TestInForceWhileRestarting guards against a revision that is late at the reachable
// processes when it is applied while three processes restart and one failure domain is cut off.
func TestInForceWhileRestarting(t *testing.T) {
	runSession(t, 15, func(w *deployment) {
		w.startPhellos()
		cutDomain := "laconia-c"
		w.cut(w.acrossDomain(cutDomain))
		for _, name := range []string{"contract-desk-1", "contract-desk-2", "plot-maps-1"} {
			w.kill(name)
		}
		time.Sleep(100 * time.Millisecond)
		w.startServer("contract-desk-1", "contract-desk", "arcadia-a")
		w.startServer("contract-desk-2", "contract-desk", "messinia-b")
		w.startServer("plot-maps-1", "plot-maps", "arcadia-a")
		code, out := w.ctl("domain", "out", cutDomain)
		w.g.Expect(code).To(Equal(0), out)
		reachable := []string{
			"balancer-1", "balancer-2", "contract-desk-1", "contract-desk-2", "contract-desk-4",
			"contract-desk-5", "contract-desk-7", "plot-maps-1", "plot-maps-2",
		}
		inForce := w.waitUntil(inForceBound, func() bool {
			for _, name := range reachable {
				if w.revision(name) < 2 {
					return false
				}
			}
			return true
		})
		w.g.Expect(inForce).To(BeTrue())
	})
}

// TestCutOffAgentAdmitsNothing guards against an agent that admits flows without a lease.
// Its outgoing packets are dropped for longer than the lease lasts, while packets still
// reach it. It must admit no flow until a balancer has acknowledged a later heartbeat.
func TestCutOffAgentAdmitsNothing(t *testing.T) {
	runSession(t, 16, func(w *deployment) {
		w.startPhellos()
		agent := w.address("contract-desk-2", 0).Addr()
		heal := w.cut(func(from, _ netip.Addr) bool { return from == agent })
		time.Sleep(5 * time.Second)
		before := len(w.backends["contract-desk-2"].Runs())
		_, _ = w.sendRequests(w.service("contract-desk"))
		w.g.Expect(len(w.backends["contract-desk-2"].Runs())).To(Equal(before))
		heal()
		time.Sleep(5 * time.Second)
		answered, last := w.sendRequests(w.service("contract-desk"))
		w.g.Expect(last).NotTo(HaveOccurred())
		w.g.Expect(answered).To(Equal(requestCount))
		w.g.Expect(len(w.backends["contract-desk-2"].Runs())).To(BeNumerically(">", before))
	})
}

// TestUnresponsiveStore guards against watches that hang forever. The store stops
// responding without closing its connections: the watches must end by their own deadline,
// and later ones must work.
func TestUnresponsiveStore(t *testing.T) {
	runSession(t, 17, func(w *deployment) {
		w.startPhellos()
		heal := w.cut(func(from, to netip.Addr) bool { return from == storeHost || to == storeHost })
		time.Sleep(time.Minute)
		heal()
		time.Sleep(15 * time.Second)
		code, out := w.ctl("server", "drain", "contract-desk-1", "--wait")
		w.g.Expect(code).To(Equal(0), out)
	})
}
