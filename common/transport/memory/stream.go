package memory

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

type (
	listener struct {
		network *Network
		local   netip.AddrPort
		// queue holds connections that were not accepted yet.
		queue chan net.Conn
		done  chan struct{}
		once  sync.Once
	}

	// stream is one end of a connection. Written data is delivered in order after the
	// link's delay, and stalls while the link is cut.
	stream struct {
		net.Conn
		network *Network
		local   netip.Addr
		peer    netip.Addr

		mu sync.Mutex
		// queue holds written data that was not delivered yet.
		queue  chan pendingWrite
		closed bool
		failed bool
	}

	// pendingWrite is the data of one Write that was not delivered yet.
	pendingWrite struct {
		b []byte
		// at is the earliest time of delivery.
		at time.Time
	}
)

const (
	// cutPollInterval is how often a stalled stream polls whether its link is still cut.
	cutPollInterval = 50 * time.Millisecond
	// maxPendingWrites bounds the writes of a stream that were not delivered yet. Further
	// ones fail with ENOBUFS.
	maxPendingWrites = 4096
)

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.local] == l {
			delete(l.network.listeners, l.local)
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.local) }

// connect creates a connection from the host to the listener and queues the far end there.
func (n *Network) connect(l *listener, from netip.Addr) (net.Conn, error) {
	near, far := net.Pipe()
	dialer := n.newStream(near, from, l.local.Addr())
	acceptor := n.newStream(far, l.local.Addr(), from)
	select {
	case l.queue <- acceptor:
		return dialer, nil
	case <-l.done:
		_ = dialer.kill()
		_ = acceptor.kill()
		return nil, syscall.ECONNREFUSED
	}
}

// newStream returns a stream that is registered with the network, and starts its pump. If the
// network is closed, so is the stream.
func (n *Network) newStream(c net.Conn, local, peer netip.Addr) *stream {
	s := &stream{
		Conn: c, network: n, local: local, peer: peer,
		queue: make(chan pendingWrite, maxPendingWrites),
	}
	n.mu.Lock()
	n.streams[s] = struct{}{}
	closed := n.closed
	n.mu.Unlock()
	go s.pump()
	if closed {
		// The network was closed during connect, so closeWhere missed this stream.
		_ = s.kill()
	}
	return s
}

// Write implements net.Conn. It queues a copy of b and never blocks.
func (s *stream) Write(b []byte) (int, error) {
	at := time.Now().Add(s.network.recordStreamWrite(s.local, s.peer, len(b)).Delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return 0, net.ErrClosed
	}
	if s.failed {
		return 0, syscall.ECONNRESET
	}
	select {
	case s.queue <- pendingWrite{b: append([]byte(nil), b...), at: at}:
		return len(b), nil
	default:
		return 0, syscall.ENOBUFS
	}
}

// recordStreamWrite counts the bytes of a write to a stream, and returns the state of the
// link that they are sent over.
func (n *Network) recordStreamWrite(from, to netip.Addr, bytes int) Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addTraffic(from, to, bytes, 0)
	return n.links(from, to)
}

// Read implements net.Conn.
func (s *stream) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil && s.closed {
		return n, net.ErrClosed
	}
	return n, err
}

// Close implements net.Conn. Data written before is still delivered.
func (s *stream) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	s.closed = true
	close(s.queue)
	return s.Conn.SetReadDeadline(time.Now())
}

// kill closes the stream without delivering pending data.
func (s *stream) kill() error {
	s.fail()
	err := s.Conn.Close()
	return errors.Join(err, s.Close())
}

// pump delivers queued data until the stream is closed and the queue is empty. It then closes
// the connection and removes the stream from the network.
func (s *stream) pump() {
	defer s.closeAndUnregister()
	for c := range s.queue {
		s.awaitArrival(c)
		if _, err := s.Conn.Write(c.b); err != nil {
			s.fail()
		}
	}
}

// awaitArrival waits for the time of delivery of c and while the link is cut, unless the
// stream has failed.
func (s *stream) awaitArrival(c pendingWrite) {
	time.Sleep(time.Until(c.at))
	for s.network.link(s.local, s.peer).Cut && !s.hasFailed() {
		time.Sleep(cutPollInterval)
	}
}

func (s *stream) fail() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = true
}

func (s *stream) hasFailed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

func (s *stream) closeAndUnregister() {
	_ = s.Conn.Close()
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	delete(s.network.streams, s)
}
