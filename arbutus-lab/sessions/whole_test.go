package sessions

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"testing"
	"time"

	"arbutusfront.dev/arbutus-lab/caller"
	"arbutusfront.dev/common/transport/datagram"
)

const (
	// settleBound is the time in which a planned change must take effect. The requirement
	// on planned changes says "a few seconds".
	settleBound = 3 * time.Second

	// requestCount is the number of requests that deployment.sendRequests sends, over one
	// second.
	requestCount = 100
)

// newBatch returns a batch for reading one datagram at a time.
func newBatch() []datagram.Message { return datagram.NewBatch(1) }

// sendRequests sends requestCount requests, 10 ms apart and each on a flow of its own. It
// returns how many got the whole answer to their own request, and the last error of the
// others.
func (w *deployment) sendRequests(service netip.AddrPort) (answered int, last error) {
	results := make(chan error, requestCount)
	for i := range requestCount {
		go func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			client := w.client(false)
			results <- caller.Do(context.Background(), client, caller.Request{
				Service: service, Body: fmt.Appendf(nil, "tally %d", i), AnswerBytes: 3000,
			})
		}()
	}
	for range requestCount {
		if err := <-results; err != nil {
			last = err
			continue
		}
		answered++
	}
	return answered, last
}

// openInSequence opens n streams to the service, one after the other.
func (w *deployment) openInSequence(service netip.AddrPort, n int) []*stream {
	streams := make([]*stream, 0, n)
	for i := range n {
		s, err := w.openStream(service, fmt.Sprintf("stream %d", i))
		w.must(err)
		streams = append(streams, s)
	}
	return streams
}

// count returns the number of streams that meet the condition.
func count(streams []*stream, condition func(*stream) bool) int {
	n := 0
	for _, s := range streams {
		if condition(s) {
			n++
		}
	}
	return n
}

// alive reports whether the stream has not ended.
func alive(s *stream) bool { return s.endError() == nil }

// countByError counts the ended streams by the error with which they ended.
func countByError(streams []*stream) map[string]int {
	out := make(map[string]int)
	for _, s := range streams {
		if err := s.endError(); err != nil {
			out[err.Error()]++
		}
	}
	return out
}

// broken reports whether the stream has ended before the regular end of its response.
func broken(s *stream) bool { err := s.endError(); return err != nil && !errors.Is(err, io.EOF) }

// inDomain returns the condition that a stream's backend server is in the failure domain.
func (w *deployment) inDomain(domain string) func(*stream) bool {
	return func(s *stream) bool {
		a := w.address(s.server, 0).Addr()
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.domains[a] == domain
	}
}

// and returns the condition that both a and b hold.
func and(a, b func(*stream) bool) func(*stream) bool {
	return func(s *stream) bool { return a(s) && b(s) }
}

// not returns the condition that a does not hold.
func not(a func(*stream) bool) func(*stream) bool {
	return func(s *stream) bool { return !a(s) }
}

// TestWholeSession guards against failed requests, requests that run twice, broken streams
// and traffic to what is drained or out, in one session with all usual operations: apply,
// serve, drain, a failure domain out and in, and two operators in conflict.
func TestWholeSession(t *testing.T) {
	runSession(t, 1, func(w *deployment) {
		out := transcript{w: w}
		ctl := out.ctl
		w.startPhellos()
		desk := w.service("contract-desk")

		out.recordf("# serve")
		answered, last := w.sendRequests(desk)
		out.recordf("100 requests: %d answered, error %v", answered, last)
		streams := w.openInSequence(desk, 40)
		out.recordf("40 streams: %d alive", count(streams, alive))

		out.recordf("# drain")
		ctl("ana", "server", "drain", "contract-desk-2", "--wait")
		time.Sleep(settleBound)
		before := len(w.backends["contract-desk-2"].Runs())
		answered, last = w.sendRequests(desk)
		out.recordf("100 requests: %d answered, error %v", answered, last)
		out.recordf("new work of contract-desk-2: %d", len(w.backends["contract-desk-2"].Runs())-before)
		out.recordf("streams broken: %d", count(streams, broken))

		out.recordf("# noon: two operators")
		ctl("ben", "domain", "out", "laconia-c", "--wait")
		outAt := time.Now()
		ctl("ana", "apply", "-f", "../../examples/phellos", "--yes", "--base-revision", "2")

		out.recordf("# domain out")
		inLaconia := w.inDomain("laconia-c")
		reset := w.waitUntil(settleBound, func() bool { return count(streams, and(inLaconia, alive)) == 0 })
		out.recordf("callers of laconia-c told within 3 s: %t", reset)
		out.recordf("streams elsewhere broken: %d", count(streams, and(not(inLaconia), broken)))
		answered, last = w.sendRequests(desk)
		out.recordf("100 requests: %d answered, error %v", answered, last)
		out.recordf("packets into laconia-c after 3 s: %d", w.countArrivals(outAt.Add(settleBound), func(a arrival) bool {
			return a.domain == "laconia-c"
		}))

		out.recordf("# domain in")
		ctl("ben", "domain", "in", "laconia-c", "--wait")
		ctl("ben", "server", "undrain", "contract-desk-2", "--wait")
		time.Sleep(settleBound)
		answered, last = w.sendRequests(desk)
		out.recordf("100 requests: %d answered, error %v", answered, last)
		out.recordf("streams elsewhere broken: %d", count(streams, and(not(inLaconia), broken)))
		twiceCount := 0
		for _, n := range w.runsByRequest() {
			if n > 1 {
				twiceCount++
			}
		}
		out.recordf("requests run twice: %d", twiceCount)
		for _, s := range streams {
			s.close()
		}
		compareGolden(w, "whole_session.golden", out.String())
	})
}
