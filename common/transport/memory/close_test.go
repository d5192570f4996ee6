package memory

import (
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"
)

// TestConnectionAfterClose guards against a leak: a connection that is set up after the
// network was closed, to a listener that was open before, must not leave a stream behind.
func TestConnectionAfterClose(t *testing.T) {
	g := NewWithT(t)
	n := New(1)
	l, err := n.Host(netip.MustParseAddr("10.0.0.1")).Listen(netip.MustParseAddrPort("10.0.0.1:80"))
	g.Expect(err).NotTo(HaveOccurred())
	n.Close()
	for range 20 {
		_, _ = n.connect(l.(*listener), netip.MustParseAddr("10.0.0.2"))
	}
	g.Eventually(func() int {
		n.mu.Lock()
		defer n.mu.Unlock()
		return len(n.streams)
	}, "5s").Should(BeZero())
}
