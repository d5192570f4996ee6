package flow

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/arbutus-agent/backend"
	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/ipv4"
)

const (
	snapshotTimeout = 2 * time.Second
	// duplexBytes is more than all buffers between caller and backend server hold.
	duplexBytes   = 32 << 20
	duplexTimeout = 20 * time.Second
)

// received collects what a backend server receives on all connections.
type received struct {
	mu    sync.Mutex
	bytes bytes.Buffer
}

// Write implements io.Writer.
func (r *received) Write(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytes.Write(b)
}

func (r *received) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytes.String()
}

// TestResetCancelsWaitingRequest guards against running a request whose caller has
// given up: the backend server may have one request in flight and doesn't answer it, a
// second waits for capacity, and its caller resets the flow. The second request must
// never reach the backend server.
func TestResetCancelsWaitingRequest(t *testing.T) {
	g := NewWithT(t)
	got := new(received)
	p := startPathTo(t, func(c net.Conn) { go func() { _, _ = io.Copy(got, c) }() }, 100)
	limiter := p.engine.backend.Limiter
	limiter.Configure(config.BackendClass{Slots: 1, Connections: 100}, config.ColdStart{
		Connections: 100, NewPerSecond: newPerSecond, WarmAfterConnections: 1000, Requests: 1,
	})
	snapshot := func() backend.Snapshot { return limiter.Snapshot() }

	first := p.dial(t, 20000)
	_, err := first.Write([]byte("first"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(snapshot, snapshotTimeout).Should(HaveField("InFlight", 1))
	second := p.dial(t, 20001)
	_, err = second.Write([]byte("second"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(snapshot, snapshotTimeout).Should(HaveField("Waiting", 1))

	p.reset(second.LocalAddr())
	g.Eventually(snapshot, snapshotTimeout).Should(HaveField("Waiting", 0))
	g.Eventually(snapshot, snapshotTimeout).Should(HaveField("Held", 1))
	p.reset(first.LocalAddr())
	g.Eventually(snapshot, snapshotTimeout).Should(HaveField("Held", 0))
	g.Expect(got.String()).To(Equal("first"))
}

// reset sends a RST from the caller's address with the sequence number that the agent
// expects.
func (p *path) reset(from net.Addr) {
	key := ipv4.FlowKey{Caller: netip.MustParseAddrPort(from.String()), Service: sampleService}
	f := p.engine.flow(key)
	f.mu.Lock()
	next := f.callerNext
	f.mu.Unlock()
	self := p.engine.self()
	h := capsule.Header{Revision: 1, Target: self.Instance, Service: self.ServiceKey()}
	p.engine.HandlePacket(netip.AddrPort{}, h, ipv4.Build(ipv4.Segment{Key: key, Flags: ipv4.FlagRST, Sequence: next}))
}

// TestSimultaneousUploadAndDownload guards against a deadlock between the two
// directions of a flow: the backend server reads nothing until it has sent everything,
// while the caller sends as much itself.
func TestSimultaneousUploadAndDownload(t *testing.T) {
	g := NewWithT(t)
	p := startPathTo(t, func(c net.Conn) {
		go func() {
			_, _ = c.Write(make([]byte, duplexBytes))
			_, _ = io.Copy(io.Discard, c)
			_ = c.Close()
		}()
	}, 100)
	c := p.dial(t, 20000)
	sent := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, duplexBytes))
		sent <- err
	}()
	g.Expect(c.SetReadDeadline(time.Now().Add(duplexTimeout))).To(Succeed())
	n, err := io.Copy(io.Discard, io.LimitReader(c, duplexBytes))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n).To(Equal(int64(duplexBytes)))
	g.Eventually(sent, duplexTimeout).Should(Receive(BeNil()))
	g.Expect(c.Close()).To(Succeed())
}
