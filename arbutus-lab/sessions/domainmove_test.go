//go:build !race

package sessions

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// moveLoad is the load in requests a second. It is more than restCapacity, which the
	// map service's two other backend servers answer while the third one's failure domain
	// is out.
	moveLoad     = 50
	restCapacity = 40
	// outTime is how long the failure domain is out.
	outTime = 10 * time.Second
	// floodTime is how long a backend server that came back is checked for overloads.
	// Until it ends, the cold-start limits have not grown by a request.
	floodTime = 2 * time.Second
	// returnTime is the time after the return within which the load is answered again.
	returnTime = 10 * time.Second
	// inTime is how long the load continues after the check for overloads.
	inTime = 20 * time.Second
	// answeredShare is the least share of the load that is answered after returnTime over
	// the whole period; restShare is the least share in each second.
	answeredShare = 0.95
)

// TestDomainMoveUnderLoad guards against lost goodput when a failure domain is taken out and
// in while the load is more than the other backend servers can answer. In each second the
// others must answer restShare of their capacity. The backend server that comes back cold
// must get requests, but not more than its cold-start capacity. Then the load must be
// answered again: callers keep idle flows to the other backend servers, and counting those
// as load would make the one that came back seem the least loaded and get all new flows.
func TestDomainMoveUnderLoad(t *testing.T) {
	inWorld(t, 8, func(w *world) {
		w.work = mapWork
		w.startPhellos()
		service := w.service("plot-maps")
		l := w.startLoad(service, moveLoad)
		time.Sleep(warmUpTime)

		code, out := w.ctl("domain", "out", "arcadia-a", "--wait")
		w.g.Expect(code).To(Equal(0), out)
		var rest []int
		before := w.restRequests()
		everySecond(outTime, func(int) {
			now := w.restRequests()
			rest = append(rest, now-before)
			before = now
		})

		returned := w.backends["plot-maps-1"]
		earlier := returned.Requests()
		returned.StartColdStart(mapWork, coldCapacity)
		code, out = w.ctl("domain", "in", "arcadia-a", "--wait")
		w.g.Expect(code).To(Equal(0), out)
		time.Sleep(floodTime)
		overloads, taken := len(returned.ExcessArrivals()), returned.Requests()-earlier
		returned.StartColdStart(mapWork, 0)
		answered := l.answeredPerSecond(inTime)
		l.stop()

		t.Logf("others per second while out %v, overloads %d of %d requests, answered per second after the return %v",
			rest, overloads, taken, answered)
		for _, n := range rest {
			w.g.Expect(float64(n)).To(BeNumerically(">=", restShare*restCapacity))
		}
		w.g.Expect(overloads).To(BeZero())
		w.g.Expect(taken).To(BeNumerically(">", 0))
		settled, total := answered[int(returnTime/time.Second):], 0
		for _, n := range settled {
			w.g.Expect(float64(n)).To(BeNumerically(">=", restShare*moveLoad))
			total += n
		}
		w.g.Expect(float64(total)).To(BeNumerically(">=", answeredShare*moveLoad*float64(len(settled))))
	})
}

// answeredPerSecond returns how many requests are answered in each second of the next d.
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
