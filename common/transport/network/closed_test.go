package network

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

type (
	// lateConn does not report the end of the connection to its reader until it is released.
	lateConn struct {
		net.Conn
		released <-chan struct{}
	}

	// closedSetup is a client whose only connection was discarded. The transport has not
	// noticed.
	closedSetup struct {
		client *http.Client
		server *httptest.Server
		// bodies receives the body of each request that the server has handled.
		bodies chan string
	}
)

func (c lateConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		<-c.released
	}
	return n, err
}

func newClosedSetup(t *testing.T) *closedSetup {
	t.Helper()
	released := make(chan struct{})
	s := &closedSetup{bodies: make(chan string, 10)}
	s.server = serve(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		s.bodies <- string(b)
		w.WriteHeader(http.StatusOK)
	})
	n := System()
	dial := n.Dial
	n.Dial = func(ctx context.Context, to string) (net.Conn, error) {
		c, err := dial(ctx, to)
		return lateConn{Conn: c, released: released}, err
	}
	s.client = n.HTTP2Client()
	t.Cleanup(s.client.CloseIdleConnections)
	t.Cleanup(func() { close(released) })

	g := NewWithT(t)
	var first atomic.Pointer[trackedConn]
	g.Expect(get(onConn(t.Context(), first.Store), s.client, s.server.URL, time.Second)).To(Succeed())
	g.Expect(s.bodies).To(Receive())
	first.Load().discard()
	return s
}

func (s *closedSetup) post(t *testing.T, body io.Reader) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.server.URL, body)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	response, err := s.client.Do(r)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// TestCallOnClosedConnectionIsRepeated guards against a call that fails because the transport
// chose a connection for it that had been closed before, and whose reader had not noticed yet.
func TestCallOnClosedConnectionIsRepeated(t *testing.T) {
	for name, body := range map[string]io.Reader{"": nil, "body": strings.NewReader("body")} {
		t.Run("body="+name, func(t *testing.T) {
			g, s := NewWithT(t), newClosedSetup(t)
			g.Expect(s.post(t, body)).To(Succeed())
			g.Expect(s.bodies).To(Receive(Equal(name)))
			g.Expect(s.bodies).NotTo(Receive(), "the server handles the call once")
		})
	}
}

// TestCallWithoutCopyOfBodyIsNotRepeated guards against a repetition without the part of the body
// that the first attempt has read.
func TestCallWithoutCopyOfBodyIsNotRepeated(t *testing.T) {
	g, s := NewWithT(t), newClosedSetup(t)
	g.Expect(s.post(t, io.MultiReader(strings.NewReader("body")))).To(MatchError(net.ErrClosed))
	g.Expect(s.bodies).NotTo(Receive())
}
