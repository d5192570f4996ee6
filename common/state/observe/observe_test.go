package observe

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"
)

// TestHandler guards against a process that is reported as ready when it isn't, against a
// health endpoint that depends on readiness, and against metrics that Close doesn't flush.
func TestHandler(t *testing.T) {
	g := NewWithT(t)
	o := New("balancer")
	o.Scope.Tagged(map[string]string{"reason": "no_agent"}).Counter("packets_dropped").Inc(3)
	g.Expect(o.Close()).To(Succeed())
	reason := ""
	s := httptest.NewServer(o.Handler(func() any { return struct{}{} }, func() string { return reason }))
	defer s.Close()
	get := func(path string) (int, string) {
		resp, err := http.Get(s.URL + path)
		g.Expect(err).NotTo(HaveOccurred())
		b, err := io.ReadAll(resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.Body.Close()).To(Succeed())
		return resp.StatusCode, string(b)
	}
	_, metrics := get("/metrics")
	g.Expect(metrics).To(ContainSubstring(`arbutus_balancer_packets_dropped{reason="no_agent"} 3`))
	code, text := get("/readyz")
	g.Expect(code).To(Equal(http.StatusOK))
	g.Expect(text).To(Equal("ready\n"))
	reason = "cut off"
	code, text = get("/readyz")
	g.Expect(code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(text).To(Equal("cut off\n"))
	code, _ = get("/healthz")
	g.Expect(code).To(Equal(http.StatusOK))
}
