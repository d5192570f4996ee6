package server

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// shutdownBound bounds the shutdown of a server with an idle connection.
const shutdownBound = 500 * time.Millisecond

// TestRunShutsDownWithIdleConnection guards against a slow shutdown. An idle HTTP/2
// connection delayed it by over a second, during which a restarted balancer had left the
// cluster but was not back yet.
func TestRunShutsDownWithIdleConnection(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := Run(ctx, l, http.NotFoundHandler())
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	resp, err := client.Get("http://" + l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Body.Close()).To(Succeed())
	start := time.Now()
	cancel()
	g.Expect(<-done).To(Succeed())
	g.Expect(time.Since(start)).To(BeNumerically("<", shutdownBound))
	client.CloseIdleConnections()
}
