package sessions

import (
	"flag"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// serverDeathBound is the time within which the callers of a backend server that is gone are
	// reset.
	serverDeathBound = 4 * time.Second
	// slowServerTime is how long a slow backend server handles no packet and accepts no connection. A
	// liveness probe times out meanwhile.
	slowServerTime = 600 * time.Millisecond
	// deathStreams is the number of open flows of a session, over all backend servers of the service.
	deathStreams = 40
)

var (
	deathSeed  = flag.Uint64("server_death.seed", 61, "first seed of the sessions with a backend server that is gone")
	deathCount = flag.Int("server_death.count", 1, "number of seeds of these sessions")
)

// makeUnreachable drops the packets and connections between the named backend server and its agent until
// heal is called.
func (w *deployment) makeUnreachable(name string) (heal func()) {
	host := w.address(name, 0).Addr()
	return w.cut(func(from, to netip.Addr) bool { return from == host && to == host })
}

// timeResets returns how long after since each of the streams at the backend server was reset.
func (w *deployment) timeResets(streams []*stream, server string, since time.Time) []time.Duration {
	var times []time.Duration
	var open []*stream
	for _, s := range streams {
		if s.server == server {
			open = append(open, s)
		}
	}
	w.g.Expect(open).NotTo(BeEmpty())
	w.g.Expect(w.waitUntil(serverDeathBound, func() bool {
		open = slices.DeleteFunc(open, func(s *stream) bool {
			if s.endError() == nil {
				return false
			}
			times = append(times, time.Since(since))
			return true
		})
		return len(open) == 0
	})).To(BeTrue(), "%d flows are open after %v", len(open), serverDeathBound)
	return times
}

// TestServerGoneResetsFlows guards against callers that keep flows of a backend server that is gone: its
// process has ended and the connections of probes are refused, or nothing answers any more. It logs when
// they were reset, while new flows arrive and without.
func TestServerGoneResetsFlows(t *testing.T) {
	for _, refuses := range []bool{true, false} {
		for _, newFlows := range []bool{false, true} {
			t.Run(fmt.Sprintf("refuses=%v,new_flows=%v", refuses, newFlows), func(t *testing.T) {
				var times []time.Duration
				for seed := *deathSeed; seed < *deathSeed+uint64(*deathCount); seed++ {
					runSession(t, seed, func(w *deployment) { times = append(times, w.timeServerGone(seed, refuses, newFlows)...) })
				}
				slices.Sort(times)
				t.Logf("%d flows, reset after %v (median), %v (p99)", len(times), times[len(times)/2], times[len(times)*99/100])
			})
		}
	}
}

// timeServerGone returns how long after the end of a backend server each of its flows was reset.
func (w *deployment) timeServerGone(seed uint64, refuses, newFlows bool) []time.Duration {
	servers := w.startPassThroughPhellos()
	streams := w.openMany(w.service("contract-desk"), deathStreams)
	defer closeAll(streams)
	time.Sleep(time.Duration(seed%10) * 40 * time.Millisecond)
	gone := servers["contract-desk-1"]
	gone.flowServer.mu.Lock()
	gone.silent = true
	gone.flowServer.mu.Unlock()
	gone.dropFlows()
	if refuses {
		w.stop("contract-desk-1-health")
	} else {
		w.makeUnreachable("contract-desk-1")
	}
	since := time.Now()
	if newFlows {
		go func() { _, _ = w.sendRequests(w.service("contract-desk")) }()
	}
	return w.timeResets(streams, "contract-desk-1", since)
}

// TestSlowServerKeepsFlows guards against the reset of the flows of a backend server that lives and is too
// busy to answer a liveness probe in time.
func TestSlowServerKeepsFlows(t *testing.T) {
	for seed := *deathSeed; seed < *deathSeed+uint64(*deathCount); seed++ {
		runSession(t, seed, func(w *deployment) {
			w.startPassThroughPhellos()
			streams := w.openMany(w.service("contract-desk"), deathStreams)
			defer closeAll(streams)
			heal := w.makeUnreachable("contract-desk-1")
			time.AfterFunc(slowServerTime, heal)
			answered, err := w.sendRequests(w.service("contract-desk"))
			w.g.Expect(err).NotTo(HaveOccurred())
			w.g.Expect(answered).To(Equal(requestCount))
			time.Sleep(serverDeathBound)
			w.g.Expect(countOpen(streams)).To(Equal(deathStreams))
			w.g.Expect(w.log()).NotTo(ContainSubstring("reason=server_dead"))
		})
	}
}
