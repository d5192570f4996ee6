package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/common/transport/datagram"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// startEchoServer starts a server that sends back what it receives, and returns its address.
func startEchoServer(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(loopback))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func startTCP(t *testing.T, target netip.AddrPort) *TCP {
	t.Helper()
	p, err := ListenTCP(loopback, target)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := p.Run(ctx)
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return p
}

// exchangeLine sends a line, and returns an error unless it is sent back in time.
func exchangeLine(c net.Conn, within time.Duration) error {
	if _, err := io.WriteString(c, "hello\n"); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(within))
	_, err := bufio.NewReader(c).ReadString('\n')
	return err
}

// TestTCPFaults guards against a proxy that ignores a fault, or that doesn't return to
// normal when the fault is reverted: it sets a delay, a cut return direction and resets in
// turn on an open connection, and checks that resets apply to new connections too.
func TestTCPFaults(t *testing.T) {
	g := NewWithT(t)
	p := startTCP(t, startEchoServer(t))
	dial := func() net.Conn {
		c, err := net.Dial("tcp4", p.listener.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		return c
	}
	c := dial()
	g.Expect(exchangeLine(c, time.Second)).To(Succeed())
	p.SetFault(Fault{Delay: 60 * time.Millisecond})
	start := time.Now()
	g.Expect(exchangeLine(c, time.Second)).To(Succeed())
	g.Expect(time.Since(start)).To(BeNumerically(">=", 120*time.Millisecond))
	p.SetFault(Fault{DropFromTarget: true})
	g.Expect(exchangeLine(c, 100*time.Millisecond)).To(HaveOccurred(), "the return direction is cut")
	p.SetFault(Fault{})
	g.Expect(exchangeLine(c, time.Second)).To(Succeed(), "held back bytes are relayed")
	p.SetFault(Fault{Reset: true})
	g.Eventually(func() error { return exchangeLine(c, 100*time.Millisecond) }).Should(HaveOccurred())
	// The reset may arrive before or after Dial returns.
	again, err := net.Dial("tcp4", p.listener.Addr().String())
	if err == nil {
		err = exchangeLine(again, 200*time.Millisecond)
	}
	g.Expect(err).To(HaveOccurred(), "new connections are reset too")
	p.SetFault(Fault{})
	g.Expect(exchangeLine(dial(), time.Second)).To(Succeed())
}

// TestUDPFaults guards against a proxy that ignores a fault: it sets a cut direction to the
// target, a delay and loss in turn, and counts the datagrams that reach the target.
func TestUDPFaults(t *testing.T) {
	g := NewWithT(t)
	target, err := datagram.Listen(loopback)
	g.Expect(err).NotTo(HaveOccurred())
	p, err := ListenUDP(loopback, target.Local, 1)
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := p.Run(ctx)
	received := make(chan struct{}, 100)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		batch := datagram.NewBatch(1)
		for {
			if _, err := target.ReadBatch(batch); err != nil {
				return
			}
			received <- struct{}{}
		}
	}()
	sender, err := datagram.Listen(loopback)
	g.Expect(err).NotTo(HaveOccurred())
	send := func(n int) {
		for range n {
			g.Expect(sender.Write([]byte("x"), p.socket.Local)).To(Succeed())
		}
	}
	send(10)
	g.Eventually(received).Should(HaveLen(10))
	p.SetFault(Fault{DropToTarget: true})
	send(10)
	g.Consistently(received, 50*time.Millisecond).Should(HaveLen(10))
	p.SetFault(Fault{Delay: 20 * time.Millisecond})
	send(5)
	g.Eventually(received).Should(HaveLen(15))
	p.SetFault(Fault{Loss: 0.5})
	send(40)
	g.Eventually(func() int { return len(received) }).Should(BeNumerically(">", 20))
	g.Expect(len(received)).To(BeNumerically("<", 50))
	cancel()
	g.Expect(<-done).To(Succeed())
	g.Expect(target.Close()).To(Succeed())
	g.Expect(sender.Close()).To(Succeed())
	<-ended
}
