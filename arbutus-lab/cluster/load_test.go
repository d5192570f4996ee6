package cluster_test

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-json-experiment/json"
	. "github.com/onsi/gomega"

	"arbutusfront.dev/arbutus-lab/caller"
	"arbutusfront.dev/arbutus-lab/cluster"
)

// TestLoadCommand guards against a load command that skips due requests, loses long
// flows or miscounts them in its JSON. It runs arbutus-lab load against a healthy
// deployment, and once with a required flag missing.
func TestLoadCommand(t *testing.T) {
	g := NewWithT(t)
	h := startHarness(t, 3)
	out, code := cluster.RunProgram(
		binDir, "arbutus-lab", "load", "--json", "-fabric", h.cluster.FabricEntry().String(),
		"-service", deskService.String(), "-listen", h.cluster.Address("load", 9000).String(), "-caller", "192.0.2.200",
		"-long", "5", "-rate", "50", "-for", "2s", "-answer", "2000",
	)
	g.Expect(code).To(Equal(0), out)
	var summary struct {
		Due       int `json:"due"`
		Answered  int `json:"answered"`
		LongFlows int `json:"long_flows"`
		LongEnded int `json:"long_ended"`
	}
	g.Expect(json.Unmarshal([]byte(out), &summary, json.RejectUnknownMembers(false))).To(Succeed())
	g.Expect(summary.Due).To(BeNumerically(">=", 99))
	g.Expect(summary.Answered).To(Equal(summary.Due))
	g.Expect(summary.LongFlows).To(Equal(5))
	g.Expect(summary.LongEnded).To(BeZero())

	out, code = cluster.RunProgram(binDir, "arbutus-lab", "load", "-fabric", "127.0.0.1:1")
	g.Expect(code).To(Equal(2), out)
	g.Expect(out).To(ContainSubstring("-service is missing"))
}

// BenchmarkLatency compares the latency of requests through the deployment with that
// of requests over the kernel's TCP directly to a backend server. Each request opens a
// flow. No link has an added delay.
func BenchmarkLatency(b *testing.B) {
	deployment := startHarness(b, 3)
	b.Run("direct", func(b *testing.B) {
		direct := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		benchmarkRequests(b, direct, deployment.cluster.BackendAddress("desk-1"))
	})
	b.Run("through", func(b *testing.B) { benchmarkRequests(b, deployment.host.Client(false), deskService) })
}

func benchmarkRequests(b *testing.B, client *http.Client, to netip.AddrPort) {
	latencies := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for b.Loop() {
		started := time.Now()
		q := caller.Request{Service: to, Body: make([]byte, 1000), AnswerBytes: 1000}
		if err := caller.Do(context.Background(), client, q); err != nil {
			b.Fatal(err)
		}
		_ = latencies.RecordValue(time.Since(started).Microseconds())
	}
	b.ReportMetric(float64(latencies.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(latencies.ValueAtQuantile(99)), "p99-us")
}
