package network

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
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

// silenceable returns the machine's network with connections that can be made silent.
func silenceable() Network {
	n := System()
	dial := n.Dial
	n.Dial = func(ctx context.Context, to string) (net.Conn, error) {
		c, err := dial(ctx, to)
		return silentConn{Conn: c, silent: new(atomic.Bool)}, err
	}
	return n
}

// onConn makes the request with the returned context call f with the connection that it uses.
// Consecutive requests may use two: the transport also sets one up for a request that starts
// before the connection of the last one is idle.
func onConn(ctx context.Context, f func(*trackedConn)) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		c, _ := i.Conn.(*trackedConn)
		f(c)
	}})
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
	return serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			select {
			case <-time.After(time.Second):
			case <-r.Context().Done():
			}
		}
		w.WriteHeader(http.StatusOK)
	})
}

func serve(t *testing.T, h http.HandlerFunc) *httptest.Server {
	t.Helper()
	s := httptest.NewUnstartedServer(h)
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
	c := silenceable().HTTP2Client()
	defer c.CloseIdleConnections()
	g.Expect(get(t.Context(), c, s.URL, time.Second)).To(Succeed())
	g.Expect(get(t.Context(), c, s.URL, time.Second)).To(Succeed())
	var silent, used atomic.Pointer[trackedConn]
	silence := onConn(t.Context(), func(c *trackedConn) {
		c.Conn.(silentConn).silent.Store(true)
		silent.Store(c)
	})
	g.Expect(get(silence, c, s.URL, 100*time.Millisecond)).To(MatchError(context.DeadlineExceeded))
	g.Expect(silent.Load()).NotTo(BeNil())
	g.Expect(get(onConn(t.Context(), used.Store), c, s.URL, time.Second)).To(Succeed())
	g.Expect(used.Load()).NotTo(BeIdenticalTo(silent.Load()))
}

// TestSlowResponseClosesNoConnection guards against calls that fail because another one on the
// same connection, whose peer still responds, has timed out.
func TestSlowResponseClosesNoConnection(t *testing.T) {
	g, s := NewWithT(t), newServer(t)
	c := silenceable().HTTP2Client()
	defer c.CloseIdleConnections()
	g.Expect(get(t.Context(), c, s.URL, time.Second)).To(Succeed())
	slow := make(chan error, 1)
	var used atomic.Pointer[trackedConn]
	go func() { slow <- get(onConn(t.Context(), used.Store), c, s.URL+"/slow", 300*time.Millisecond) }()
	time.Sleep(100 * time.Millisecond)
	g.Expect(get(t.Context(), c, s.URL, time.Second)).To(Succeed())
	g.Expect(<-slow).To(MatchError(context.DeadlineExceeded))
	g.Expect(get(t.Context(), c, s.URL, time.Second)).To(Succeed())
	g.Expect(used.Load().discarded.Load()).To(BeFalse())
	g.Expect(used.Load().released).NotTo(BeClosed())
}

// TestCanceledRequestClosesNoConnection guards against calls that fail because another one on the
// same connection was canceled before its response could arrive.
func TestCanceledRequestClosesNoConnection(t *testing.T) {
	g, s := NewWithT(t), newServer(t)
	c := silenceable().HTTP2Client()
	defer c.CloseIdleConnections()
	g.Expect(get(t.Context(), c, s.URL, time.Second)).To(Succeed())
	var used atomic.Pointer[trackedConn]
	ctx, cancel := context.WithCancel(onConn(t.Context(), used.Store))
	canceled := make(chan error, 1)
	go func() { canceled <- get(ctx, c, s.URL+"/slow", time.Second) }()
	time.Sleep(100 * time.Millisecond)
	cancel()
	g.Expect(<-canceled).To(MatchError(context.Canceled))
	g.Expect(get(t.Context(), c, s.URL, time.Second)).To(Succeed())
	g.Expect(used.Load().discarded.Load()).To(BeFalse())
	g.Expect(used.Load().released).NotTo(BeClosed())
}
