package sessions

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// countOpen counts the streams that have not ended.
func countOpen(streams []*stream) int {
	n := 0
	for _, s := range streams {
		if s.endError() == nil {
			n++
		}
	}
	return n
}

// TestPassThroughPlannedChanges guards against flows that break and requests that fail
// when balancers and agents restart with empty memory one after the other, and against
// new flows to a backend server that drains.
func TestPassThroughPlannedChanges(t *testing.T) {
	runSession(t, 31, func(w *deployment) {
		servers := w.startPassThroughPhellos()
		streams := w.openMany(w.service("contract-desk"), 60)
		defer closeAll(streams)
		for _, b := range []string{"balancer-1", "balancer-2", "balancer-3"} {
			w.stop(b)
			w.startPassThroughBalancer(b, map[string]string{
				"balancer-1": "arcadia-a", "balancer-2": "messinia-b", "balancer-3": "laconia-c",
			}[b])
			time.Sleep(3 * time.Second)
			w.g.Expect(countOpen(streams)).To(Equal(60), "after the restart of %s", b)
		}
		for _, a := range []string{"contract-desk-1", "contract-desk-2"} {
			w.stop(a)
			time.Sleep(500 * time.Millisecond)
			w.startPassThroughAgent(a, "contract-desk", map[string]string{
				"contract-desk-1": "arcadia-a", "contract-desk-2": "messinia-b",
			}[a], servers[a])
			time.Sleep(3 * time.Second)
			w.g.Expect(countOpen(streams)).To(Equal(60), "after the restart of %s", a)
		}
		answered, err := w.sendRequests(w.service("contract-desk"))
		w.g.Expect(err).NotTo(HaveOccurred())
		w.g.Expect(answered).To(Equal(requestCount))
		servers["contract-desk-3"].announcedMu.Lock()
		servers["contract-desk-3"].draining = true
		servers["contract-desk-3"].announcedMu.Unlock()
		time.Sleep(time.Second)
		since := time.Now()
		answered, err = w.sendRequests(w.service("contract-desk"))
		w.g.Expect(err).NotTo(HaveOccurred())
		w.g.Expect(answered).To(Equal(requestCount))
		w.g.Expect(w.countArrivals(since, func(a arrival) bool {
			return a.isSYN && a.agent == "contract-desk-3"
		})).To(BeZero())
		w.g.Expect(countOpen(streams)).To(Equal(60))
	})
}

// TestPassThroughDeadServer guards against callers that keep flows of a dead backend
// server. One drops all packets, stops announcing itself and loses its flows without sending a
// packet: their callers must be reset within 4 s, other flows must continue, and new ones must
// be placed on other backend servers.
func TestPassThroughDeadServer(t *testing.T) {
	runSession(t, 32, func(w *deployment) {
		servers := w.startPassThroughPhellos()
		streams := w.openMany(w.service("contract-desk"), 40)
		defer closeAll(streams)
		dead := servers["contract-desk-1"]
		lostFlows := 0
		for _, s := range streams {
			if s.server == "contract-desk-1" {
				lostFlows++
			}
		}
		w.g.Expect(lostFlows).To(BeNumerically(">", 0))
		w.stop("contract-desk-1-health")
		dead.flowServer.mu.Lock()
		dead.silent = true
		dead.flowServer.mu.Unlock()
		dead.dropFlows()
		w.g.Expect(w.waitUntil(4*time.Second, func() bool { return countOpen(streams) == 40-lostFlows })).To(BeTrue())
		answered, err := w.sendRequests(w.service("contract-desk"))
		w.g.Expect(err).NotTo(HaveOccurred())
		w.g.Expect(answered).To(Equal(requestCount))
	})
}

// TestPassThroughDomainOut guards against flows that end, and new flows that still arrive,
// in a failure domain that is taken out under the policy that keeps flows.
func TestPassThroughDomainOut(t *testing.T) {
	runSession(t, 33, func(w *deployment) {
		w.startPassThroughPhellos()
		streams := w.openMany(w.service("contract-desk"), 40)
		defer closeAll(streams)
		code, out := w.ctl("domain", "out", "laconia-c", "--wait")
		w.g.Expect(code).To(Equal(0), out)
		time.Sleep(time.Second)
		since := time.Now()
		answered, err := w.sendRequests(w.service("contract-desk"))
		w.g.Expect(err).NotTo(HaveOccurred())
		w.g.Expect(answered).To(Equal(requestCount))
		w.g.Expect(w.countArrivals(since, func(a arrival) bool { return a.isSYN && a.domain == "laconia-c" })).To(BeZero())
		w.g.Expect(countOpen(streams)).To(Equal(40))
	})
}
