package sessions

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/arbutus-lab/backend"
	"arbutusfront.dev/arbutus-lab/caller"
)

const (
	// coldConnections, coldPerSecond and warmAfter are the limits of a cold backend server
	// in examples/phellos: its concurrent flows, its new flows a second, and the number of
	// answered requests after which it is warm.
	coldConnections = 50
	coldPerSecond   = 50
	warmAfter       = 200
	// coldStartTime is the time in which a cold backend server and its agent start.
	coldStartTime = 3 * time.Second
	loadTime      = 10 * time.Second
)

// countingListener records the connections that a backend server accepts. It is safe for
// concurrent use.
type countingListener struct {
	net.Listener

	mu         sync.Mutex
	acceptedAt []time.Time
	open       int
	maxOpen    int
}

// countedConn counts as open until it is closed.
type countedConn struct {
	net.Conn
	listener *countingListener
	once     sync.Once
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acceptedAt = append(l.acceptedAt, time.Now())
	l.open++
	l.maxOpen = max(l.maxOpen, l.open)
	return &countedConn{Conn: c, listener: l}, nil
}

func (c *countedConn) Close() error {
	c.once.Do(func() {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.listener.open--
	})
	return c.Conn.Close()
}

// maxPerSecond returns the most connections that were accepted within any second, among
// the first n.
func (l *countingListener) maxPerSecond(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	times := l.acceptedAt[:min(n, len(l.acceptedAt))]
	highest, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}

// startColdServer starts a cold backend server of the contract desk with its agent, and
// returns the listener that counts its connections.
func (w *deployment) startColdServer(name string) *countingListener {
	host := w.registerHost(name, "arcadia-a", "contract-desk")
	b := backend.New(name)
	w.mu.Lock()
	w.backends[name] = b
	w.mu.Unlock()
	l, err := w.network.Host(host).Listen(netip.AddrPortFrom(host, portBackend))
	w.must(err)
	listener := &countingListener{Listener: l}
	s := &http.Server{Handler: b}
	w.start(name+"-backend", func(ctx context.Context) error {
		context.AfterFunc(ctx, func() { _ = s.Close() })
		_ = s.Serve(listener)
		return nil
	})
	w.startAgent(name, "contract-desk", "arcadia-a")
	return listener
}

// sendLoad sends rate requests a second for loadTime, each on a flow of its own, and
// returns how many were answered.
func (w *deployment) sendLoad(service netip.AddrPort, rate int) int {
	n := rate * int(loadTime/time.Second)
	results := make(chan error, n)
	for i := range n {
		go func() {
			time.Sleep(time.Duration(i) * time.Second / time.Duration(rate))
			results <- caller.Do(context.Background(), w.client(false), caller.Request{
				Service: service, Body: fmt.Appendf(nil, "tally %d", i),
			})
		}()
	}
	answered := 0
	for range n {
		if err := <-results; err == nil {
			answered++
		}
	}
	return answered
}

// TestColdStartLimits guards against a cold backend server that is overloaded when it joins
// under load. Among its first warmAfter flows, no more than coldPerSecond may be opened in any
// second. At no time may more than coldConnections+warmAfter flows be open, as the limit grows
// by one with each answered request until the backend server is warm. All requests must be
// answered.
func TestColdStartLimits(t *testing.T) {
	for _, rate := range []int{100, 200, 400} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			runSession(t, uint64(rate), func(w *deployment) {
				w.startPhellos()
				listener := w.startColdServer("contract-desk-8")
				time.Sleep(coldStartTime)
				answered := w.sendLoad(w.service("contract-desk"), rate)
				w.g.Expect(answered).To(Equal(rate * int(loadTime/time.Second)))
				w.g.Expect(listener.maxPerSecond(warmAfter)).To(BeNumerically("<=", coldPerSecond))
				w.g.Expect(listener.maxOpen).To(BeNumerically("<=", coldConnections+warmAfter))
				w.g.Expect(len(listener.acceptedAt)).To(BeNumerically(">", 0))
			})
		})
	}
}

// TestColdStartOnlyColdServer guards against callers that are never served, or an overload,
// when every backend server of the service is cold. More flows are opened than the cold-start
// limits allow: some requests are refused before they run, callers retry them, and all must be
// served.
func TestColdStartOnlyColdServer(t *testing.T) {
	runSession(t, 50, func(w *deployment) {
		for i, d := range []string{"arcadia-a", "messinia-b", "laconia-c"} {
			w.startBalancer(fmt.Sprintf("balancer-%d", i+1), d)
		}
		listener := w.startColdServer("contract-desk-1")
		w.updateFabric()
		code, out := w.ctl("apply", "-f", "../../examples/phellos", "--yes", "--wait")
		w.g.Expect(code).To(Equal(0), out)
		time.Sleep(coldStartTime)
		streams := w.openMany(w.service("contract-desk"), 300)
		w.g.Expect(listener.maxPerSecond(warmAfter)).To(BeNumerically("<=", coldPerSecond))
		w.g.Expect(streams).To(HaveLen(300))
		closeAll(streams)
	})
}
