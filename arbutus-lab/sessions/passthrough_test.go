package sessions

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func stillOpen(streams []*stream) int {
	n := 0
	for _, s := range streams {
		if s.ended() == nil {
			n++
		}
	}
	return n
}

// TestPassThroughPlannedChanges restarts balancers and agents with empty memory, and
// drains a backend server, while flows and requests go on: none breaks.
func TestPassThroughPlannedChanges(t *testing.T) {
	inWorld(t, 31, func(w *world) {
		servers := w.startPassPhellos()
		streams := w.openMany(w.service("contract-desk"), 60)
		defer closeAll(streams)
		for _, b := range []string{"balancer-1", "balancer-2", "balancer-3"} {
			w.stop(b)
			w.startPassBalancer(b, map[string]string{
				"balancer-1": "arcadia-a", "balancer-2": "messinia-b", "balancer-3": "laconia-c",
			}[b])
			time.Sleep(3 * time.Second)
			w.g.Expect(stillOpen(streams)).To(Equal(60), "after the restart of %s", b)
		}
		for _, a := range []string{"contract-desk-1", "contract-desk-2"} {
			w.stop(a)
			time.Sleep(500 * time.Millisecond)
			w.startPassAgent(a, "contract-desk", map[string]string{
				"contract-desk-1": "arcadia-a", "contract-desk-2": "messinia-b",
			}[a], servers[a])
			time.Sleep(3 * time.Second)
			w.g.Expect(stillOpen(streams)).To(Equal(60), "after the restart of %s", a)
		}
		answered, err := w.requests(w.service("contract-desk"))
		w.g.Expect(err).NotTo(HaveOccurred())
		w.g.Expect(answered).To(Equal(requestCount))
		servers["contract-desk-3"].mu.Lock()
		servers["contract-desk-3"].draining = true
		servers["contract-desk-3"].mu.Unlock()
		time.Sleep(time.Second)
		since := time.Now()
		answered, err = w.requests(w.service("contract-desk"))
		w.g.Expect(err).NotTo(HaveOccurred())
		w.g.Expect(answered).To(Equal(requestCount))
		w.g.Expect(w.arrivalsSince(since, func(a arrival) bool { return a.syn && a.agent == "contract-desk-3" })).To(BeZero())
		w.g.Expect(stillOpen(streams)).To(Equal(60))
	})
}

// TestPassThroughDeadServer has a backend server fall silent with its flows: its
// callers are told within a second, and new flows go elsewhere.
func TestPassThroughDeadServer(t *testing.T) {
	inWorld(t, 32, func(w *world) {
		servers := w.startPassPhellos()
		streams := w.openMany(w.service("contract-desk"), 40)
		defer closeAll(streams)
		dead := servers["contract-desk-1"]
		lost := 0
		for _, s := range streams {
			if s.server == "contract-desk-1" {
				lost++
			}
		}
		w.g.Expect(lost).To(BeNumerically(">", 0))
		w.stop("contract-desk-1-health")
		dead.flowServer.mu.Lock()
		dead.deaf = true
		dead.flowServer.mu.Unlock()
		dead.lose()
		w.g.Expect(w.within(4*time.Second, func() bool { return stillOpen(streams) == 40-lost })).To(BeTrue())
		answered, err := w.requests(w.service("contract-desk"))
		w.g.Expect(err).NotTo(HaveOccurred())
		w.g.Expect(answered).To(Equal(requestCount))
	})
}

// TestPassThroughDomainOut takes a failure domain out: its flows go on, and it gets no
// new ones.
func TestPassThroughDomainOut(t *testing.T) {
	inWorld(t, 33, func(w *world) {
		w.startPassPhellos()
		streams := w.openMany(w.service("contract-desk"), 40)
		defer closeAll(streams)
		code, out := w.ctl("domain", "out", "laconia-c", "--wait")
		w.g.Expect(code).To(Equal(0), out)
		time.Sleep(time.Second)
		since := time.Now()
		answered, err := w.requests(w.service("contract-desk"))
		w.g.Expect(err).NotTo(HaveOccurred())
		w.g.Expect(answered).To(Equal(requestCount))
		w.g.Expect(w.arrivalsSince(since, func(a arrival) bool { return a.syn && a.domain == "laconia-c" })).To(BeZero())
		w.g.Expect(stillOpen(streams)).To(Equal(40))
	})
}
