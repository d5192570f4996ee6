package network

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// silentConn discards what is written, and what the peer sends, once it is silent.
type silentConn struct {
	net.Conn
	silent *atomic.Bool
}

func (c silentConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// dials is a network whose connections can be made silent, and counts them.
type dials struct {
	mu    sync.Mutex
	conns []*atomic.Bool
}

func (d *dials) network() Network {
	n := System()
	dial := n.Dial
	n.Dial = func(ctx context.Context, to string) (net.Conn, error) {
		c, err := dial(ctx, to)
		if err != nil {
			return nil, err
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		silent := new(atomic.Bool)
		d.conns = append(d.conns, silent)
		return silentConn{Conn: c, silent: silent}, nil
	}
	return n
}

func (d *dials) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.conns)
}

// get requests the URL and returns the error. The request times out after the given time.
func get(ctx context.Context, c *http.Client, url string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	response, err := c.Do(r)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// newServer serves HTTP/2 without TLS. Requests for /slow take a second.
func newServer(t *testing.T) *httptest.Server {
	t.Helper()
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			select {
			case <-time.After(time.Second):
			case <-r.Context().Done():
			}
		}
		w.WriteHeader(http.StatusOK)
	}))
	s.Config.Protocols = new(http.Protocols)
	s.Config.Protocols.SetUnencryptedHTTP2(true)
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// TestSilentConnectionIsNotUsedAgain guards against calls that all hang on a connection that has
// become silent, until a ping on it times out.
func TestSilentConnectionIsNotUsedAgain(t *testing.T) {
	g, s := NewWithT(t), newServer(t)
	d := new(dials)
	c := d.network().HTTP2Client()
	defer c.CloseIdleConnections()
	g.Expect(get(t.Context(), c, s.URL, time.Second)).To(Succeed())
	g.Expect(get(t.Context(), c, s.URL, time.Second)).To(Succeed())
	g.Expect(d.count()).To(Equal(1))
	d.conns[0].Store(true)
	g.Expect(get(t.Context(), c, s.URL, 100*time.Millisecond)).To(MatchError(context.DeadlineExceeded))
	g.Expect(get(t.Context(), c, s.URL, time.Second)).To(Succeed())
	g.Expect(d.count()).To(Equal(2))
}

// TestSlowResponseClosesNoConnection guards against calls that fail because another one on the
// same connection, whose peer still responds, has timed out.
func TestSlowResponseClosesNoConnection(t *testing.T) {
	g, s := NewWithT(t), newServer(t)
	d := new(dials)
	c := d.network().HTTP2Client()
	defer c.CloseIdleConnections()
	g.Expect(get(t.Context(), c, s.URL, time.Second)).To(Succeed())
	slow := make(chan error, 1)
	go func() { slow <- get(t.Context(), c, s.URL+"/slow", 300*time.Millisecond) }()
	time.Sleep(100 * time.Millisecond)
	g.Expect(get(t.Context(), c, s.URL, time.Second)).To(Succeed())
	g.Expect(<-slow).To(MatchError(context.DeadlineExceeded))
	g.Expect(get(t.Context(), c, s.URL, time.Second)).To(Succeed())
	g.Expect(d.count()).To(Equal(1))
}

// TestCanceledRequestClosesNoConnection guards against calls that fail because another one on the
// same connection was canceled before its response could arrive.
func TestCanceledRequestClosesNoConnection(t *testing.T) {
	g, s := NewWithT(t), newServer(t)
	d := new(dials)
	c := d.network().HTTP2Client()
	defer c.CloseIdleConnections()
	g.Expect(get(t.Context(), c, s.URL, time.Second)).To(Succeed())
	ctx, cancel := context.WithCancel(t.Context())
	canceled := make(chan error, 1)
	go func() { canceled <- get(ctx, c, s.URL+"/slow", time.Second) }()
	time.Sleep(100 * time.Millisecond)
	cancel()
	g.Expect(<-canceled).To(MatchError(context.Canceled))
	g.Expect(get(t.Context(), c, s.URL, time.Second)).To(Succeed())
	g.Expect(d.count()).To(Equal(1))
}
