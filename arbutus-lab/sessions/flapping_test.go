package sessions

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// A flap takes links down for flapDown and up for flapUp. flapDown is longer than an
	// agent's lease, which is 1.6 s (dead_after_millis in examples/phellos).
	flapUp   = 5 * time.Second
	flapDown = 3 * time.Second
	flaps    = 15
	// toleratedFlaps is how many times all links of an agent go down before the agent counts
	// as flapping and gets no new flows: flapCount in common/coordination/heartbeat.
	toleratedFlaps = 3
	// flapRecoveryBound is the time in which an agent whose links are stable again must get
	// flows.
	flapRecoveryBound = 15 * time.Second
)

// flap takes the matching links down and up again, several times. It calls onUp at the end
// of each period in which they are up.
func (w *deployment) flap(matches func(from, to netip.Addr) bool, onUp func()) {
	for range flaps {
		heal := w.cut(matches)
		time.Sleep(flapDown)
		heal()
		time.Sleep(flapUp)
		onUp()
	}
}

// TestFlappingLinks guards against members that are declared dead because the links between
// an agent and two of its three monitors go up and down.
func TestFlappingLinks(t *testing.T) {
	runSession(t, 35, func(w *deployment) {
		w.startPhellos()
		agent := w.address("contract-desk-1", 0).Addr()
		monitor1, monitor2 := w.address("balancer-1", 0).Addr(), w.address("balancer-2", 0).Addr()
		w.flap(func(from, to netip.Addr) bool {
			return from == agent && (to == monitor1 || to == monitor2) || to == agent && (from == monitor1 || from == monitor2)
		}, func() {})
		w.g.Expect(strings.Count(w.log(), "phase=dead")).To(Equal(0))
	})
}

// TestFlappingAgent guards against an agent whose links all go up and down, and which
// breaks new flows each time. After toleratedFlaps it must get no new flows, while the
// others serve. Once its links are stable it must get flows again.
func TestFlappingAgent(t *testing.T) {
	runSession(t, 36, func(w *deployment) {
		w.startPhellos()
		desk := w.service("contract-desk")
		agent := w.address("contract-desk-1", 0).Addr()
		var streams []*stream
		var endedByFlap []int
		w.flap(func(from, to netip.Addr) bool { return from == agent || to == agent }, func() {
			endedByFlap = append(endedByFlap, count(streams, func(s *stream) bool { return !alive(s) }))
			closeAll(streams)
			streams = w.openMany(desk, 30)
		})
		closeAll(streams)
		t.Logf("streams ended by each flap %v", endedByFlap)
		for _, n := range endedByFlap[toleratedFlaps:] {
			w.g.Expect(n).To(BeZero())
		}
		before := len(w.backends["contract-desk-1"].Runs())
		time.Sleep(flapRecoveryBound)
		answered, last := w.sendRequests(desk)
		w.g.Expect(last).NotTo(HaveOccurred())
		w.g.Expect(answered).To(Equal(requestCount))
		w.g.Expect(len(w.backends["contract-desk-1"].Runs())).To(BeNumerically(">", before))
	})
}
