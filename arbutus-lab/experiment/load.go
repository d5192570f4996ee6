package experiment

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"arbutusfront.dev/arbutus-lab/backend"
	"arbutusfront.dev/arbutus-lab/caller"
)

const (
	requestTimeout = 15 * time.Second
	// openInterval is the time between the openings of two long flows.
	openInterval = 2 * time.Millisecond
	// retryPause is the time after which a refused long flow is opened again.
	retryPause = 300 * time.Millisecond

	// Range and precision of the latency histograms.
	lowestMicros      = 1
	highestMicros     = 60_000_000
	significantDigits = 3
)

type (
	// Generator sends requests at constant rates and holds long flows.
	Generator struct {
		hosts   []*caller.Host
		service netip.AddrPort
		start   time.Time

		// mu guards the fields below.
		mu      sync.Mutex
		seconds []Second
		// latency holds a histogram in microseconds for each kind of requests. Run makes
		// them before it sends requests.
		latency   map[string]*hdrhistogram.Histogram
		longFlows []*longFlow
	}

	// longFlow is a flow whose answer does not end by itself.
	longFlow struct {
		server string
		body   io.ReadCloser
		// endedAt is zero while the flow lasts.
		endedAt time.Time
	}
)

// NewGenerator returns a generator that sends load from the hosts, in rotation, to the
// service.
func NewGenerator(hosts []*caller.Host, service netip.AddrPort) *Generator {
	return &Generator{
		hosts:   hosts,
		service: service,
		start:   time.Now(),
		latency: make(map[string]*hdrhistogram.Histogram),
	}
}

// Run sends requests of all kinds until ctx is canceled, and returns once the last one was
// answered or has failed.
func (g *Generator) Run(ctx context.Context, kinds []Requests) {
	g.start = time.Now()
	for _, kind := range kinds {
		g.latency[kind.Name] = hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
	}
	var wg sync.WaitGroup
	for _, kind := range kinds {
		wg.Go(func() { g.sendAtRate(ctx, kind) })
	}
	wg.Wait()
}

// Total returns the counts of all requests that have ended.
func (g *Generator) Total() Second {
	g.mu.Lock()
	defer g.mu.Unlock()
	var total Second
	for _, s := range g.seconds {
		total.Due += s.Due
		total.Answered += s.Answered
		total.Broken += s.Broken
	}
	return total
}

// Seconds returns the counts of the requests that were due in each second.
func (g *Generator) Seconds() []Second {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Second(nil), g.seconds...)
}

// Latencies returns the latencies of the answered requests of each kind, in the order of
// kinds. Run must have been called with these kinds.
func (g *Generator) Latencies(kinds []Requests) []Latency {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Latency
	for _, kind := range kinds {
		h := g.latency[kind.Name]
		out = append(out, Latency{
			Requests:  kind.Name,
			P50Micros: h.ValueAtQuantile(50),
			P99Micros: h.ValueAtQuantile(99),
			MaxMicros: h.Max(),
		})
	}
	return out
}

// sendAtRate sends requests of one kind at their constant rate until ctx is canceled, and waits
// for the last one.
func (g *Generator) sendAtRate(ctx context.Context, kind Requests) {
	var wg sync.WaitGroup
	defer wg.Wait()
	interval := time.Second / time.Duration(kind.PerSecond)
	for i := 0; ctx.Err() == nil; i++ {
		due := g.start.Add(time.Duration(i) * interval)
		time.Sleep(time.Until(due))
		wg.Go(func() { g.sendRequest(kind, i, due) })
	}
}

// sendRequest sends the request with index i and counts its outcome in the second in
// which it was due. Latency counts from due, so that it includes any delay in sending.
func (g *Generator) sendRequest(kind Requests, i int, due time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	err := caller.Do(ctx, g.hosts[i%len(g.hosts)].Client(false), caller.Request{
		Service: g.service, Body: make([]byte, kind.BodyBytes), AnswerBytes: kind.AnswerBytes,
	})
	latency := time.Since(due)
	g.mu.Lock()
	defer g.mu.Unlock()
	second := int(due.Sub(g.start) / time.Second)
	for len(g.seconds) <= second {
		g.seconds = append(g.seconds, Second{})
	}
	g.seconds[second].Due++
	if err != nil {
		g.seconds[second].Broken++
		return
	}
	g.seconds[second].Answered++
	_ = g.latency[kind.Name].RecordValue(latency.Microseconds())
}

// HoldLongFlows opens n long flows, waits until all are open or have failed to open, and
// records in the background when each ends. It returns an error if one could not be opened.
func (g *Generator) HoldLongFlows(ctx context.Context, n int) error {
	var wg sync.WaitGroup
	failed := make(chan error, n)
	for i := range n {
		time.Sleep(openInterval)
		wg.Go(func() {
			f, err := g.openLongFlow(ctx, i)
			if err != nil {
				failed <- err
				return
			}
			g.mu.Lock()
			g.longFlows = append(g.longFlows, f)
			g.mu.Unlock()
			go g.awaitEnd(f)
		})
	}
	wg.Wait()
	select {
	case err := <-failed:
		return fmt.Errorf("open long flows: %w", err)
	default:
		return nil
	}
}

// openLongFlow opens the long flow with index i. It retries without a limit while the flow
// is refused.
func (g *Generator) openLongFlow(ctx context.Context, i int) (*longFlow, error) {
	for {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.service.String()+backend.PathStream, nil)
		if err != nil {
			return nil, err
		}
		r.Header.Set(backend.HeaderRequest, fmt.Sprintf("stream %d", i))
		resp, err := g.hosts[i%len(g.hosts)].Client(false).Do(r)
		if err == nil {
			return &longFlow{server: resp.Header.Get(backend.HeaderServer), body: resp.Body}, nil
		}
		if !caller.IsRefused(err) {
			return nil, err
		}
		time.Sleep(retryPause)
	}
}

// awaitEnd reads the flow's answer until it ends, and records the time.
func (g *Generator) awaitEnd(f *longFlow) {
	_, _ = io.Copy(io.Discard, f.body)
	g.mu.Lock()
	defer g.mu.Unlock()
	f.endedAt = time.Now()
}

// EndedLongFlows returns the number of long flows that have ended.
func (g *Generator) EndedLongFlows() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, f := range g.longFlows {
		if !f.endedAt.IsZero() {
			n++
		}
	}
	return n
}

// countEnds counts the long flows that have ended by their cause.
func (g *Generator) countEnds(cause func(*longFlow) Cause) []Ends {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := make(map[Cause]int)
	for _, f := range g.longFlows {
		if !f.endedAt.IsZero() {
			counts[cause(f)]++
		}
	}
	var out []Ends
	for _, c := range []Cause{ByPlanned, ByFailure, ByDomain} {
		out = append(out, Ends{Cause: c, Flows: counts[c]})
	}
	return out
}
