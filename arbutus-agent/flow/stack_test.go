package flow

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/arbutus-agent/backend"
	"arbutusfront.dev/arbutus-agent/caller"
	"arbutusfront.dev/arbutus-agent/state"
	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/coordination/peer"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/transport/network"
	"arbutusfront.dev/common/transport/tcpstack"
)

var (
	shortKeepalive = tcpstack.Keepalive{
		Idle: 500 * time.Millisecond, Period: 500 * time.Millisecond, UserTimeout: 4 * time.Second,
	}
	sampleService = netip.MustParseAddrPort("10.80.0.1:80")
	sampleCaller  = netip.MustParseAddr("192.0.2.1")
)

const (
	// slack is added to time bounds for a busy machine.
	slack        = 3 * time.Second
	newPerSecond = 1_000_000
)

// path connects a caller's stack directly to an engine.
type path struct {
	engine *Engine
	caller *tcpstack.Stack
	// cut is set to drop all packets that the caller sends.
	cut atomic.Bool
}

// startPath starts an engine in front of an echo server.
func startPath(tb testing.TB, connections int, opts ...tcpstack.Option) *path {
	tb.Helper()
	return startPathTo(tb, echo, connections, opts...)
}

// startPathTo starts an engine in front of a backend server that calls serve for each
// connection.
func startPathTo(tb testing.TB, serve func(net.Conn), connections int, opts ...tcpstack.Option) *path {
	tb.Helper()
	g := NewWithT(tb)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	go accept(l, serve)
	self := member.Member{
		Name: "desk-1", Role: member.Agent, Domain: "a", Service: "desk", Instance: 1, Version: 1,
		Phase: member.Serving, Packet: netip.MustParseAddrPort("127.0.0.1:9"),
	}
	node := state.NewNode(self)
	node.Adopt(peer.View{Revision: config.Order{Number: 1}, Members: []member.Member{self}, Config: config.View{
		Service: config.Service{Name: "desk", Address: sampleService.Addr(), Port: sampleService.Port()},
		Domains: []config.Domain{{Name: "a", State: config.DomainIn}},
	}})
	server := backend.New(network.System(), netip.MustParseAddrPort(l.Addr().String()), backend.NewLimiter())
	server.Limiter.Configure(
		config.BackendClass{Slots: 4, Connections: connections},
		config.ColdStart{Connections: connections, NewPerSecond: newPerSecond, WarmAfterConnections: 1},
	)
	p := &path{}
	p.engine = New(
		node, server,
		WithIdentity(func() member.Member { return self }, func() bool { return true }),
		WithReply(func(b []byte) { p.caller.Inject(b) }),
		WithForward(func([]byte, netip.AddrPort) error { return nil }),
	)
	stack, err := caller.NewStack(p.engine.HandleOutput, opts...)
	g.Expect(err).NotTo(HaveOccurred())
	p.engine.SetStack(stack)
	p.caller, err = tcpstack.New(tcpstack.WithAddresses(sampleCaller))
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	stackDone, engineDone := stack.Run(ctx), p.engine.Run(ctx)
	h := capsule.Header{Revision: 1, Target: self.Instance, Service: self.ServiceKey()}
	go p.caller.Output(ctx, func(b []byte) {
		if !p.cut.Load() {
			p.engine.HandlePacket(netip.AddrPort{}, h, b)
		}
	})
	tb.Cleanup(func() {
		cancel()
		g.Expect(<-engineDone).To(Succeed())
		g.Expect(<-stackDone).To(Succeed())
		p.caller.Close()
		g.Expect(l.Close()).To(Succeed())
	})
	return p
}

func accept(l net.Listener, serve func(net.Conn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		serve(c)
	}
}

func echo(c net.Conn) {
	go func() {
		_, _ = io.Copy(c, c)
		_ = c.Close()
	}()
}

func (p *path) dial(tb testing.TB, port int) *tcpstack.Conn {
	tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c, err := p.caller.Dial(ctx, netip.AddrPortFrom(sampleCaller, uint16(port)), sampleService)
	if err != nil {
		tb.Fatal(err)
	}
	return c
}

// TestFlowsCloseWithoutLeak guards against flows and goroutines that remain after both
// ends of a flow have closed.
func TestFlowsCloseWithoutLeak(t *testing.T) {
	g := NewWithT(t)
	p := startPath(t, 100)
	before := runtime.NumGoroutine()
	for i := range 20 {
		p.exchange(t, 20000+i)
	}
	g.Eventually(func() int { return p.engine.Dump().Held }, "10s").Should(BeZero())
	g.Eventually(runtime.NumGoroutine, "10s").Should(BeNumerically("<=", before+2))
}

// TestRetransmittedFIN guards against a flow that never ends after its FIN was
// retransmitted. The answer and the FIN behind it are delayed, so that both are
// unacknowledged when the stack's tail loss probe sends the FIN again.
func TestRetransmittedFIN(t *testing.T) {
	g := NewWithT(t)
	p := startPath(t, 100)
	p.engine.reply = func(b []byte) {
		packet, err := ipv4.Parse(bytes.Clone(b))
		g.Expect(err).NotTo(HaveOccurred())
		delay := time.Duration(0)
		switch {
		case packet.Flags().Has(ipv4.FlagFIN):
			delay = 100 * time.Millisecond
		case packet.Flags().Has(ipv4.FlagPSH):
			delay = 20 * time.Millisecond
		}
		time.AfterFunc(delay, func() { p.caller.Inject(packet.Bytes()) })
	}
	p.exchange(t, 20000)
	g.Eventually(func() int { return p.engine.Dump().Held }, "10s").Should(BeZero())
}

// TestSilentCallerTimesOut guards against flows and goroutines that remain when idle
// callers disappear without a FIN or RST. The flows must end within the keepalive
// timeout, on both sides of the agent; callers that answer keepalive probes must keep
// theirs.
func TestSilentCallerTimesOut(t *testing.T) {
	g := NewWithT(t)
	k := shortKeepalive
	p := startPath(t, 2000, tcpstack.WithKeepalive(k))
	before := runtime.NumGoroutine()
	for i := range 20 {
		p.dial(t, 20000+i)
	}
	time.Sleep(2 * keepaliveTimeout(k))
	g.Expect(p.engine.Flows()).To(Equal(20), "flows whose callers answer keepalive probes remain")
	p.cut.Store(true)
	time.Sleep(k.Idle / 2)
	g.Expect(p.engine.Flows()).To(Equal(20), "the keepalive timeout has not passed")
	g.Eventually(p.engine.Flows, keepaliveTimeout(k)+slack).Should(BeZero())
	g.Eventually(func() int { return p.engine.Dump().Held }, "10s").Should(BeZero())
	// The caller's stack does not learn of the end. The goroutines of the agent and of the
	// echo server must be gone.
	g.Eventually(runtime.NumGoroutine, "10s").Should(BeNumerically("<=", before+2))
}

// TestUnacknowledgedAnswerTimesOut guards against a flow that remains when all packets
// to its caller are lost while an answer is in flight. The flow must end within the
// keepalive's bound for unacknowledged data.
func TestUnacknowledgedAnswerTimesOut(t *testing.T) {
	g := NewWithT(t)
	p := startPath(t, 100, tcpstack.WithKeepalive(shortKeepalive))
	var lost atomic.Bool
	reply := p.engine.reply
	p.engine.reply = func(b []byte) {
		if !lost.Load() {
			reply(b)
		}
	}
	c := p.dial(t, 20000)
	lost.Store(true)
	_, err := c.Write([]byte("tally"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Consistently(p.engine.Flows, shortKeepalive.UserTimeout/2).Should(Equal(1))
	g.Eventually(p.engine.Flows, shortKeepalive.UserTimeout+slack).Should(BeZero())
	g.Eventually(func() int { return p.engine.Dump().Held }, "10s").Should(BeZero())
}

// TestAbortAfterCallerHalfClose guards against a flow task that never ends: the caller
// has closed its direction, the backend server keeps its connection open, and the agent
// aborts the flow.
func TestAbortAfterCallerHalfClose(t *testing.T) {
	g := NewWithT(t)
	var mu sync.Mutex
	var accepted []net.Conn
	p := startPathTo(t, func(c net.Conn) {
		mu.Lock()
		defer mu.Unlock()
		accepted = append(accepted, c)
	}, 100)
	c := p.dial(t, 20000)
	g.Expect(c.CloseWrite()).To(Succeed())
	time.Sleep(200 * time.Millisecond)
	p.engine.AbortAll()
	g.Eventually(p.engine.Flows, slack).Should(BeZero())
	mu.Lock()
	defer mu.Unlock()
	for _, c := range accepted {
		_ = c.Close()
	}
}

// keepaliveTimeout bounds the time until a silent peer is detected: Idle, and a Period for
// each of the stack's keepalive probes (4, tcpstack.keepaliveProbes) and one more.
func keepaliveTimeout(k tcpstack.Keepalive) time.Duration { return k.Idle + 5*k.Period }

// exchange sends a request from the port, reads the answer and closes the connection.
func (p *path) exchange(tb testing.TB, port int) {
	tb.Helper()
	g := NewWithT(tb)
	c := p.dial(tb, port)
	_, err := c.Write([]byte("tally"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.CloseWrite()).To(Succeed())
	answer, err := io.ReadAll(c)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(answer)).To(Equal("tally"))
	g.Expect(c.Close()).To(Succeed())
}

// BenchmarkFlowMemory reports the memory of an idle flow in a process that has the
// agent's engine, its stack and the caller's stack (B/flow), and the agent's share
// beyond the two stacks (B/flow-of-agent). The backend server accepts connections and
// does nothing.
func BenchmarkFlowMemory(b *testing.B) {
	for _, n := range []int{500, 1000, 2000, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				stacks := stackMemory(b, n)
				var accepted []net.Conn
				p := startPathTo(b, func(c net.Conn) { accepted = append(accepted, c) }, 2*n)
				before := memoryInUse()
				conns := make([]*tcpstack.Conn, 0, n)
				for i := range n {
					conns = append(conns, p.dial(b, 20000+i))
				}
				flow := float64(memoryInUse()-before) / float64(n)
				b.ReportMetric(flow, "B/flow")
				b.ReportMetric(flow-stacks, "B/flow-of-agent")
				b.ReportMetric(float64(runtime.NumGoroutine())/float64(n), "goroutines/flow")
				for _, c := range conns {
					_ = c.Close()
				}
				runtime.KeepAlive(accepted)
			}
		})
	}
}

// stackMemory returns the memory of one connection between two stacks in bytes.
func stackMemory(b *testing.B, n int) float64 {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	answered := make(chan *tcpstack.Conn, n)
	agentStack, err := tcpstack.New(tcpstack.WithAccept(func(r *tcpstack.ConnectionRequest) {
		c, err := r.Accept()
		if err == nil {
			answered <- c
		}
	}))
	if err != nil {
		b.Fatal(err)
	}
	defer agentStack.Close()
	callerStack, err := tcpstack.New(tcpstack.WithAddresses(sampleCaller))
	if err != nil {
		b.Fatal(err)
	}
	defer callerStack.Close()
	go agentStack.Output(ctx, callerStack.Inject)
	go callerStack.Output(ctx, agentStack.Inject)
	p := &path{caller: callerStack}
	before := memoryInUse()
	conns := make([]*tcpstack.Conn, 0, 2*n)
	for i := range n {
		conns = append(conns, p.dial(b, 20000+i), <-answered)
	}
	used := memoryInUse() - before
	for _, c := range conns {
		_ = c.Close()
	}
	return float64(used) / float64(n)
}

func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
