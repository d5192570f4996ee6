// Package memory simulates a network of hosts with UDP sockets and TCP connections. The
// link between two hosts can have delay, jitter, loss, duplication, or be cut. It is for
// tests in virtual time (package testing/synctest), where sleeping takes no real time.
//
// # Usage
//
//	n := memory.New(seed)
//	n.SetLinks(func(from, to netip.Addr) memory.Link { return memory.Link{Delay: 5 * time.Millisecond} })
//	process := n.Host(netip.MustParseAddr("10.0.0.1"))
//	socket, err := process.ListenPacket(addr)
//	defer n.Close()
package memory

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"arbutusfront.dev/common/transport/datagram"
	"arbutusfront.dev/common/transport/network"
)

const (
	// queueDatagrams bounds the receive queue of a socket; further datagrams are dropped.
	queueDatagrams = 4096
	// backlog bounds the connections of a listener that were not accepted yet.
	backlog = 128
	// ephemeralPortBase is the port below the first one that is assigned to a socket
	// without a local port.
	ephemeralPortBase = 40000
)

type (
	// Link is the state of the link from one host to another.
	Link struct {
		// Delay is the latency in one direction.
		Delay time.Duration
		// Jitter bounds the random latency that is added for a datagram.
		Jitter time.Duration
		// Loss is the probability, from 0 to 1, that a datagram is lost, and
		// Duplication that it is delivered twice.
		Loss        float64
		Duplication float64
		// Cut drops datagrams, stalls streams, and makes dialing hang
		// until its context is canceled.
		Cut bool
	}

	// Network is a set of hosts. It is safe for concurrent use.
	Network struct {
		mu        sync.Mutex
		random    *rand.Rand
		links     func(from, to netip.Addr) Link
		sockets   map[netip.AddrPort]*socket
		listeners map[netip.AddrPort]*listener
		streams   map[*stream]struct{}
		nextPort  uint16
		observe   func(from, to netip.AddrPort, b []byte)
		closed    bool
		traffic   map[netip.Addr]Traffic
		// sentBytes has the bytes sent by each host, by destination.
		sentBytes map[netip.Addr]map[netip.Addr]int
	}

	// Traffic is the traffic of one host. SentBytes and ReceivedBytes include datagrams
	// and streams; StreamBytes is the part of streams, both sent and received. Data is
	// counted when it is sent, so lost datagrams count as received.
	Traffic struct {
		SentDatagrams     int
		SentBytes         int
		ReceivedDatagrams int
		ReceivedBytes     int
		StreamBytes       int
	}

	socket struct {
		local netip.AddrPort
		queue chan receivedDatagram
		done  chan struct{}
		once  sync.Once
	}

	// receivedDatagram is a datagram with its source, as the destination reads it.
	receivedDatagram struct {
		b    []byte
		from netip.AddrPort
	}
)

// New returns a network whose links have no delay and no loss. Seed determines the
// random loss, duplication and jitter.
func New(seed uint64) *Network {
	return &Network{
		random:    rand.New(rand.NewPCG(seed, seed)),
		links:     func(netip.Addr, netip.Addr) Link { return Link{} },
		sockets:   make(map[netip.AddrPort]*socket),
		listeners: make(map[netip.AddrPort]*listener),
		streams:   make(map[*stream]struct{}),
		observe:   func(netip.AddrPort, netip.AddrPort, []byte) {},
		nextPort:  ephemeralPortBase,
		traffic:   make(map[netip.Addr]Traffic),
		sentBytes: make(map[netip.Addr]map[netip.Addr]int),
	}
}

// SetLinks sets the function that returns the current state of a link. It is called with
// the network locked, so it must neither block nor use the network.
func (n *Network) SetLinks(links func(from, to netip.Addr) Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links = links
}

// Observe sets the function that is called with each datagram that reaches a bound socket,
// before it is queued there. Calls may be concurrent.
func (n *Network) Observe(f func(from, to netip.AddrPort, b []byte)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.observe = f
}

// Traffic returns the traffic of the host so far.
func (n *Network) Traffic(a netip.Addr) Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.traffic[a]
}

// SentBytes returns the bytes of datagrams and streams that were sent so far, from and to hosts
// for which match returns true.
func (n *Network) SentBytes(match func(from, to netip.Addr) bool) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := 0
	for from, sent := range n.sentBytes {
		for to, bytes := range sent {
			if match(from, to) {
				sum += bytes
			}
		}
	}
	return sum
}

// addTraffic adds data that is being sent to the traffic of both hosts. Datagrams is 0 for
// streams. n.mu must be held.
func (n *Network) addTraffic(from, to netip.Addr, bytes, datagrams int) {
	sent, received := n.traffic[from], n.traffic[to]
	sent.SentBytes += bytes
	sent.SentDatagrams += datagrams
	if datagrams == 0 {
		sent.StreamBytes += bytes
		received.StreamBytes += bytes
	}
	n.traffic[from] = sent
	received.ReceivedBytes += bytes
	received.ReceivedDatagrams += datagrams
	n.traffic[to] = received
	if n.sentBytes[from] == nil {
		n.sentBytes[from] = make(map[netip.Addr]int)
	}
	n.sentBytes[from][to] += bytes
}

// Host returns the network as seen by the host with the address. Its ListenPacket binds to
// that address, and uses only the port of its argument.
func (n *Network) Host(a netip.Addr) network.Network {
	return network.Network{
		ListenPacket: func(local netip.AddrPort) (*datagram.Socket, error) {
			return n.listenPacket(netip.AddrPortFrom(a, local.Port()))
		},
		Listen: func(local netip.AddrPort) (net.Listener, error) { return n.listen(local) },
		Dial: func(ctx context.Context, to string) (net.Conn, error) {
			return n.dial(ctx, a, to)
		},
	}
}

// Kill closes all sockets, listeners and streams of the host, as if its processes had
// been killed. Peers of the streams read EOF, and their writes fail with ECONNRESET once
// an earlier one could not be delivered.
func (n *Network) Kill(a netip.Addr) {
	n.closeWhere(func(local, _ netip.Addr) bool { return local == a })
}

// Close closes all sockets, listeners and streams, restores the links, and lets no new
// sockets or listeners be opened.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	n.links = func(netip.Addr, netip.Addr) Link { return Link{} }
	n.mu.Unlock()
	n.closeWhere(func(netip.Addr, netip.Addr) bool { return true })
}

// closeWhere closes the sockets, listeners and streams for which match returns true. The peer
// is not valid for sockets and listeners.
func (n *Network) closeWhere(match func(local, peer netip.Addr) bool) {
	n.mu.Lock()
	var closers []func() error
	for local, s := range n.sockets {
		if match(local.Addr(), netip.Addr{}) {
			delete(n.sockets, local)
			closers = append(closers, s.close)
		}
	}
	for _, l := range n.listeners {
		if match(l.local.Addr(), netip.Addr{}) {
			closers = append(closers, l.Close)
		}
	}
	for s := range n.streams {
		if match(s.local, s.peer) {
			closers = append(closers, s.kill)
		}
	}
	n.mu.Unlock()
	for _, c := range closers {
		_ = c()
	}
}

func (n *Network) listenPacket(local netip.AddrPort) (*datagram.Socket, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if local.Port() == 0 {
		n.nextPort++
		local = netip.AddrPortFrom(local.Addr(), n.nextPort)
	}
	if _, taken := n.sockets[local]; taken || n.closed {
		return nil, syscall.EADDRINUSE
	}
	s := &socket{local: local, queue: make(chan receivedDatagram, queueDatagrams), done: make(chan struct{})}
	n.sockets[local] = s
	closeSocket := func() error {
		n.mu.Lock()
		if n.sockets[local] == s {
			delete(n.sockets, local)
		}
		n.mu.Unlock()
		return s.close()
	}
	write := func(b []byte, to netip.AddrPort) error {
		n.send(s, b, to)
		return nil
	}
	return &datagram.Socket{
		Local:     local,
		ReadBatch: s.readBatch,
		Write:     write,
		WriteBatch: func(batch []datagram.Message) (int, error) {
			for i := range batch {
				n.send(s, batch[i].Bytes(), batch[i].Peer)
			}
			return len(batch), nil
		},
		Close: closeSocket,
	}, nil
}

// send schedules the delivery of a datagram after the delay of its link, unless it is lost or
// the sending socket is closed. It counts the datagram also if it is lost.
func (n *Network) send(from *socket, b []byte, to netip.AddrPort) {
	select {
	case <-from.done:
		return
	default:
	}
	n.mu.Lock()
	link := n.links(from.local.Addr(), to.Addr())
	n.addTraffic(from.local.Addr(), to.Addr(), len(b), 1)
	lost := link.Cut || n.random.Float64() < link.Loss
	copies := 1
	if n.random.Float64() < link.Duplication {
		copies = 2
	}
	delays := make([]time.Duration, copies)
	for i := range delays {
		delays[i] = link.Delay + time.Duration(n.random.Float64()*float64(link.Jitter))
	}
	n.mu.Unlock()
	if lost {
		return
	}
	p := receivedDatagram{b: append([]byte(nil), b...), from: from.local}
	for _, d := range delays {
		time.AfterFunc(d, func() { n.deliver(p, to) })
	}
}

// deliver queues the datagram at the socket bound to the address, or drops it if there is
// none or its queue is full.
func (n *Network) deliver(p receivedDatagram, to netip.AddrPort) {
	n.mu.Lock()
	s := n.sockets[to]
	observe := n.observe
	n.mu.Unlock()
	if s == nil {
		return
	}
	observe(p.from, to, p.b)
	select {
	case s.queue <- p:
	default:
	}
}

func (s *socket) readBatch(batch []datagram.Message) (int, error) {
	select {
	case <-s.done:
		return 0, net.ErrClosed
	case p := <-s.queue:
		batch[0].N = copy(batch[0].Buffer, p.b)
		batch[0].Peer = p.from
		return 1, nil
	}
}

func (s *socket) close() error {
	s.once.Do(func() { close(s.done) })
	return nil
}

// link returns the current state of the link.
func (n *Network) link(from, to netip.Addr) Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links(from, to)
}

func (n *Network) listen(local netip.AddrPort) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, taken := n.listeners[local]; taken || n.closed {
		return nil, syscall.EADDRINUSE
	}
	l := &listener{network: n, local: local, queue: make(chan net.Conn, backlog), done: make(chan struct{})}
	n.listeners[local] = l
	return l, nil
}

func (n *Network) dial(ctx context.Context, from netip.Addr, to string) (net.Conn, error) {
	remote, err := netip.ParseAddrPort(to)
	if err != nil {
		return nil, err
	}
	link := n.link(from, remote.Addr())
	if link.Cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(2 * link.Delay):
	}
	n.mu.Lock()
	l := n.listeners[remote]
	n.mu.Unlock()
	if l == nil {
		return nil, errors.Join(errors.New("dial "+to), syscall.ECONNREFUSED)
	}
	return n.connect(l, from)
}
