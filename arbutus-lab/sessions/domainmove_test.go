// Tests named UnderLoad run without the race detector; see the target "test" in the Makefile.

//go:build !race

package sessions

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// moveLoad is the load in requests a second. It is more than othersCapacity, which the
	// map service's two other backend servers answer while the third one's failure domain
	// is out.
	moveLoad       = 50
	othersCapacity = 40
	// outTime is how long the failure domain is out.
	outTime = 10 * time.Second
	// overloadCheckTime is how long a backend server that came back is checked for overloads:
	// requests beyond its capacity of coldCapacity. Its agent's limit of requests in flight
	// starts at the same number and rises with the answers, but not within this time.
	overloadCheckTime = 2 * time.Second
	// recoveryTime is the time after overloadCheckTime within which the load must be answered
	// again.
	recoveryTime = 10 * time.Second
	// loadTimeAfterReturn is how long the load continues after overloadCheckTime.
	loadTimeAfterReturn = 20 * time.Second
	// answeredShare is the least share of the load that must be answered from recoveryTime
	// to the end. In each single second of that time, the least share is othersShare.
	answeredShare = 0.95
)

// TestDomainMoveUnderLoad guards against lost goodput when a failure domain is taken out and
// in while the load is more than the other backend servers can answer. In each second the
// others must answer othersShare of their capacity. The backend server that comes back cold
// must get requests, but not more than its cold-start capacity. Then the load must be
// answered again: callers keep idle flows to the other backend servers, and counting those
// as load would make the one that came back seem the least loaded and get all new flows.
func TestDomainMoveUnderLoad(t *testing.T) {
	runSession(t, 8, func(w *deployment) {
		w.requestDuration = mapWork
		w.startPhellos()
		service := w.service("plot-maps")
		l := w.startLoad(service, moveLoad)
		time.Sleep(warmUpTime)

		code, out := w.ctl("domain", "out", "arcadia-a", "--wait")
		w.g.Expect(code).To(Equal(0), out)
		var others []int
		before := w.othersRequests()
		everySecond(outTime, func(int) {
			now := w.othersRequests()
			others = append(others, now-before)
			before = now
		})

		returned := w.backends["plot-maps-1"]
		earlier := returned.RequestCount()
		returned.StartColdStart(mapWork, coldCapacity)
		code, out = w.ctl("domain", "in", "arcadia-a", "--wait")
		w.g.Expect(code).To(Equal(0), out)
		time.Sleep(overloadCheckTime)
		overloads, taken := len(returned.ExcessArrivals()), returned.RequestCount()-earlier
		returned.StartColdStart(mapWork, 0)
		answered := l.answeredPerSecond(loadTimeAfterReturn)
		l.stop()

		t.Logf("others per second while out %v, overloads %d of %d requests, answered per second after the return %v",
			others, overloads, taken, answered)
		for _, n := range others {
			w.g.Expect(float64(n)).To(BeNumerically(">=", othersShare*othersCapacity))
		}
		w.g.Expect(overloads).To(BeZero())
		w.g.Expect(taken).To(BeNumerically(">", 0))
		settled, total := answered[int(recoveryTime/time.Second):], 0
		for _, n := range settled {
			w.g.Expect(float64(n)).To(BeNumerically(">=", othersShare*moveLoad))
			total += n
		}
		w.g.Expect(float64(total)).To(BeNumerically(">=", answeredShare*moveLoad*float64(len(settled))))
	})
}

// answeredPerSecond waits for d, and returns how many requests were answered in each second of
// it.
func (l *load) answeredPerSecond(d time.Duration) []int {
	var answered []int
	last := l.answered.Load()
	everySecond(d, func(int) {
		now := l.answered.Load()
		answered = append(answered, int(now-last))
		last = now
	})
	return answered
}
