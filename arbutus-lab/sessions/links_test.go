package sessions

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"arbutusfront.dev/arbutus-lab/caller"
)

const (
	linkLoss        = 0.02
	linkDuplication = 0.02
	linkJitter      = 8 * time.Millisecond

	linkCallers       = 40
	requestsPerCaller = 10
)

// TestAnswersOverFaultyLinks guards against answers that fail, are truncated or reach
// another caller's request. Links lose, duplicate and reorder packets while a backend
// server is drained, one is added and a balancer leaves. Half of the callers keep their
// flow open; the others open a flow per request and reuse their port at once, so that
// packets of the ended flow carry the key of the new one.
func TestAnswersOverFaultyLinks(t *testing.T) {
	runSession(t, 5, func(w *deployment) {
		out := transcript{w: w}
		w.startPhellos()
		desk := w.service("contract-desk")
		w.mu.Lock()
		w.loss, w.duplication, w.jitter = linkLoss, linkDuplication, linkJitter
		w.mu.Unlock()
		var correct, wrong, failed atomic.Int64
		var wg sync.WaitGroup
		for i := range linkCallers {
			client := w.client(true)
			if i%2 == 0 {
				client = w.fixedPortClient(uint16(40000 + i))
			}
			wg.Go(func() { runCaller(client, desk, &correct, &wrong, &failed) })
		}
		out.ctl("ana", "server", "drain", "contract-desk-1", "--wait")
		w.startServer("contract-desk-8", "contract-desk", "arcadia-a")
		w.startBalancer("balancer-4", "messinia-b")
		time.Sleep(time.Second)
		w.updateFabric()
		w.stop("balancer-2")
		out.ctl("ben", "server", "undrain", "contract-desk-1", "--wait")
		wg.Wait()
		twiceCount := 0
		for _, n := range w.runsByRequest() {
			if n > 1 {
				twiceCount++
			}
		}
		out.recordf("requests of %d callers: %d with their own whole answer, %d with another's, %d failed",
			linkCallers, correct.Load(), wrong.Load(), failed.Load())
		out.recordf("run twice: %d", twiceCount)
		compareGolden(w, "own_answers.golden", out.String())
	})
}

// runCaller sends a caller's requests one after the other and counts the correct,
// wrong and missing answers.
func runCaller(client *http.Client, service netip.AddrPort, correct, wrong, failed *atomic.Int64) {
	defer client.CloseIdleConnections()
	for i := range requestsPerCaller {
		err := caller.Do(context.Background(), client, caller.Request{
			Service: service, Body: fmt.Appendf(nil, "tally %d", i), AnswerBytes: 3000,
		})
		switch {
		case err == nil:
			correct.Add(1)
		case errors.Is(err, caller.ErrWrongAnswer):
			wrong.Add(1)
		default:
			failed.Add(1)
		}
	}
}

// fixedPortClient returns an HTTP client that opens a new flow for each request, always
// from the same port.
func (w *deployment) fixedPortClient(port uint16) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(_ context.Context, _, to string) (net.Conn, error) {
			service, err := netip.ParseAddrPort(to)
			if err != nil {
				return nil, err
			}
			return w.caller.dialFrom(port, service, w.caller.send)
		},
	}}
}
