package server

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// endBound is how long a server may take to end that has an idle connection.
const endBound = 500 * time.Millisecond

// TestEndsWithIdleConnection ends a server with an idle HTTP/2 connection. It once took
// over a second, in which a balancer that had left was neither there nor back.
func TestEndsWithIdleConnection(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := Run(ctx, l, http.NotFoundHandler())
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	answer, err := client.Get("http://" + l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.Body.Close()).To(Succeed())
	start := time.Now()
	cancel()
	g.Expect(<-done).To(Succeed())
	g.Expect(time.Since(start)).To(BeNumerically("<", endBound))
	client.CloseIdleConnections()
}
