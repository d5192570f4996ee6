package serve

import (
	"bytes"
	"context"
	"net"
	"testing"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"arbutusfront.dev/common/protocol/settings"
	"arbutusfront.dev/common/transport/network"
)

// TestRefusedProbeShowsAbsence guards against a liveness probe whose error no longer tells a
// refused connection, which shows that no backend server runs, from any other failure.
func TestRefusedProbeShowsAbsence(t *testing.T) {
	g := NewWithT(t)
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.Close()).To(Succeed())
	var lines bytes.Buffer
	o, closeObserver := provideObserver()
	defer closeObserver()
	s := &settings.Agent{BackendAddress: l.Addr().(*net.TCPAddr).AddrPort()}
	b := provideBackend(s, network.System(), o, log.NewLogfmtLogger(&lines))
	b.Discover(context.Background(), "")
	g.Expect(lines.String()).To(ContainSubstring("event=server_absent"))
}
