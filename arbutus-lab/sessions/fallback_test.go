// Tests named UnderLoad run without the race detector; see the target "test" in the Makefile.

//go:build !race

package sessions

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/arbutus-lab/caller"
)

const (
	// mapCapacity is the number of requests a second that the warm backend servers of the
	// map service answer: 3 servers with 4 slots, 200 ms a request.
	mapCapacity = 60
	mapWork     = 200 * time.Millisecond

	// warmUpTime is how long load is sent until the backend servers of the map service are
	// warm: each must have answered warmAfter requests.
	warmUpTime = 18 * time.Second
	// coldWork is the time that a request takes in its slot after the fallback. The cold
	// backend server is overloaded by more than coldCapacity concurrent requests.
	coldWork     = 2 * time.Second
	coldCapacity = 2
	// fallBackTime is how long the load continues after the fallback.
	fallBackTime = 10 * time.Second
	// fallBackDetectionBound is how long an agent may take to detect that its backend
	// server has fallen back. A response time of 8 times the usual one counts as a fallback
	// (package arbutus-agent/backend), up to two requests a slot are in flight, and a second
	// is added.
	fallBackDetectionBound = 8*2*mapWork + time.Second
	// othersShare is the share of their goodput that the other backend servers must keep.
	othersShare = 0.9
	// maxFlowsPerRequest is the most flows that may be opened for each request with a flow of
	// its own.
	maxFlowsPerRequest = 1.1
)

// load is an open-loop workload: requests are sent whether or not earlier ones were
// answered. Half of them have flows of their own, which dialled counts; half reuse kept-alive
// flows.
type load struct {
	sent, dialled, answered atomic.Int64
	keepAlive               *http.Client
	wg                      sync.WaitGroup
	cancel                  context.CancelFunc
}

// startLoad sends rate requests a second to the service until the load is stopped.
func (w *deployment) startLoad(service netip.AddrPort, rate int) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel, keepAlive: w.client(true)}
	for i := range rate {
		client := l.keepAlive
		if i%2 == 0 {
			client = w.countingClient(l)
		}
		l.wg.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / time.Duration(rate))
			l.sendEverySecond(ctx, client, service)
		})
	}
	return l
}

// sendEverySecond sends a request each second until ctx is canceled.
func (l *load) sendEverySecond(ctx context.Context, client *http.Client, service netip.AddrPort) {
	for i := 0; ctx.Err() == nil; i++ {
		l.sent.Add(1)
		l.wg.Go(func() {
			if caller.Do(ctx, client, caller.Request{Service: service, Body: fmt.Appendf(nil, "tally %d", i)}) == nil {
				l.answered.Add(1)
			}
		})
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// stop ends the load, and waits for the requests in flight.
func (l *load) stop() {
	l.cancel()
	l.wg.Wait()
	l.keepAlive.CloseIdleConnections()
}

// countingClient returns a client with a flow for each request, which l counts.
func (w *deployment) countingClient(l *load) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(_ context.Context, _, to string) (net.Conn, error) {
			l.dialled.Add(1)
			service, err := netip.ParseAddrPort(to)
			if err != nil {
				return nil, err
			}
			return w.caller.dial(service)
		},
	}}
}

// fallBackResult is the result of one run of fallBackUnderLoad.
type fallBackResult struct {
	// others is how many requests the other backend servers ran after the fallback.
	others int
	// overloads is how many requests the cold backend server got beyond its capacity,
	// after its agent had the time to detect the fallback.
	overloads int
	// flowsPerRequest is the number of flows opened for each request with a flow of its own.
	flowsPerRequest float64
}

// fallBackUnderLoad warms up the map service and sends it loadFactor times the load that its
// warm backend servers can answer. With fallBack, one of them then falls back into cold
// start. The result covers the fallBackTime after that moment, also without fallBack.
func fallBackUnderLoad(t *testing.T, loadFactor int, fallBack bool) fallBackResult {
	t.Helper()
	var result fallBackResult
	runSession(t, uint64(loadFactor), func(w *deployment) {
		w.requestDuration = mapWork
		w.startPhellos()
		service := w.service("plot-maps")
		warmUpLoad := w.startLoad(service, mapCapacity*4/5)
		time.Sleep(warmUpTime)
		warmUpLoad.stop()
		l := w.startLoad(service, loadFactor*mapCapacity)
		time.Sleep(time.Second)
		coldServer := w.backends["plot-maps-1"]
		if fallBack {
			coldServer.StartColdStart(coldWork, coldCapacity)
		}
		fallBackAt, before := time.Now(), w.othersRequests()
		time.Sleep(fallBackTime)
		result.others = w.othersRequests() - before
		for _, o := range coldServer.ExcessArrivals() {
			if o.Sub(fallBackAt) > fallBackDetectionBound {
				result.overloads++
			}
		}
		sent := l.sent.Load()
		l.stop()
		result.flowsPerRequest = 2 * float64(l.dialled.Load()) / float64(sent)
	})
	return result
}

// othersRequests returns how many requests the map service's backend servers 2 and 3 have run.
func (w *deployment) othersRequests() int {
	return w.backends["plot-maps-2"].RequestCount() + w.backends["plot-maps-3"].RequestCount()
}

// TestFallBackUnderLoad guards against a backend server that falls back into cold start,
// without warning and while it holds flows, and takes the whole service down. The load is
// 1, 2 and 4 times what the warm backend servers can answer. Once its agent has detected the
// fallback, the backend server must get no more than its cold-start capacity. The others
// must answer as many requests as without the fallback, and callers must not retry
// repeatedly.
func TestFallBackUnderLoad(t *testing.T) {
	for _, loadFactor := range []int{1, 2, 4} {
		t.Run(fmt.Sprint(loadFactor), func(t *testing.T) {
			g := NewWithT(t)
			baseline := fallBackUnderLoad(t, loadFactor, false)
			withFallBack := fallBackUnderLoad(t, loadFactor, true)
			t.Logf("without fallback %+v, with fallback %+v", baseline, withFallBack)
			g.Expect(withFallBack.overloads).To(BeZero())
			g.Expect(float64(withFallBack.others)).To(BeNumerically(">=", othersShare*float64(baseline.others)))
			g.Expect(baseline.flowsPerRequest).To(BeNumerically("<=", maxFlowsPerRequest))
			g.Expect(withFallBack.flowsPerRequest).To(BeNumerically("<=", maxFlowsPerRequest))
		})
	}
}
