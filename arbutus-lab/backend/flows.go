package backend

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"

	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/transport/datagram"
	"arbutusfront.dev/common/transport/tcpstack"
)

// acceptedConnections is how many connections may wait to be served.
const acceptedConnections = 1024

type (
	// Flows ends the TCP of callers for a backend server that holds flows itself. It
	// gives back packets of flows that it does not hold.
	Flows struct {
		socket   *datagram.Socket
		outbound netip.AddrPort
		stack    *tcpstack.Stack
		accepted chan net.Conn
		ended    chan struct{}

		mu   sync.Mutex
		held map[ipv4.FlowKey]*heldFlow
	}

	// heldFlow is a flow whose SYN has come. It is open once the caller has acknowledged
	// the number that the backend server began with.
	heldFlow struct {
		first uint32
		open  bool
	}

	// heldConn forgets its flow at the end.
	heldConn struct {
		net.Conn
		forget func()
	}
)

// NewFlows returns the flows of a backend server that gets packets from the socket, and
// hands out its own at the address.
func NewFlows(socket *datagram.Socket, outbound netip.AddrPort) (*Flows, error) {
	f := &Flows{
		socket: socket, outbound: outbound, held: make(map[ipv4.FlowKey]*heldFlow),
		accepted: make(chan net.Conn, acceptedConnections), ended: make(chan struct{}),
	}
	s, err := tcpstack.New(tcpstack.WithAccept(f.accept))
	f.stack = s
	return f, err
}

// Run serves the flows by h until ctx ends, and reports its end on the channel.
func (f *Flows) Run(ctx context.Context, h http.Handler) <-chan error {
	server := &http.Server{Handler: h}
	served := make(chan error, 1)
	sent := make(chan struct{})
	go func() { served <- server.Serve(f) }()
	go func() {
		defer close(sent)
		f.stack.Output(ctx, f.output)
	}()
	context.AfterFunc(ctx, func() { _ = f.socket.Close() })
	done := make(chan error, 1)
	go func() {
		err := f.read()
		close(f.ended)
		err = errors.Join(err, server.Close())
		if ended := <-served; !errors.Is(ended, http.ErrServerClosed) && !errors.Is(ended, net.ErrClosed) {
			err = errors.Join(err, ended)
		}
		<-sent
		f.stack.Close()
		done <- err
	}()
	return done
}

func (f *Flows) read() error {
	return f.socket.Serve(func(m *datagram.Message) { f.take(m.Bytes()) })
}

func (f *Flows) take(b []byte) {
	p, err := ipv4.Parse(b)
	if err != nil {
		return
	}
	if f.holds(p) {
		f.stack.Inject(b)
		return
	}
	returned := bytes.Clone(b)
	ipv4.Mark(returned)
	f.send(returned)
}

// holds reports whether the packet is of a flow that is held, or opens one. The stack itself
// would accept any acknowledgment of its SYN+ACK: its forwarder has no listener to check it
// with. The caller may have accepted another backend server's.
func (f *Flows) holds(p ipv4.Packet) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.held[p.Key()]
	switch {
	case p.IsSYN():
		if h == nil {
			f.held[p.Key()] = new(heldFlow)
		}
		return true
	case h == nil:
		return false
	case !h.open && p.Flags().Has(ipv4.FlagACK):
		h.open = h.first != 0 && p.Acknowledgment() == h.first+1
		return h.open
	default:
		return true
	}
}

// output hands out a packet of the stack, and notes the number that a flow begins with.
func (f *Flows) output(b []byte) {
	if p, err := ipv4.Parse(b); err == nil && p.Flags().Has(ipv4.FlagSYN|ipv4.FlagACK) {
		key := ipv4.FlowKey{Caller: p.Key().Service, Service: p.Key().Caller}
		f.mu.Lock()
		if h := f.held[key]; h != nil {
			h.first = p.Sequence()
		}
		f.mu.Unlock()
	}
	f.send(b)
}

// send hands out a packet. What is lost on the way is repeated by TCP.
func (f *Flows) send(b []byte) { _ = f.socket.Write(b, f.outbound) }

func (f *Flows) accept(r *tcpstack.ConnectionRequest) {
	key := ipv4.FlowKey{Caller: r.Caller, Service: r.Service}
	forget := func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.held, key)
	}
	c, err := r.Accept()
	if err != nil {
		forget()
		return
	}
	select {
	case f.accepted <- heldConn{Conn: c, forget: forget}:
	case <-f.ended:
		c.Abort()
	}
}

// Close leaves the last packets of the flow to the stack, and forgets it once they are
// late.
func (c heldConn) Close() error {
	err := c.Conn.Close()
	lateAfter(c.forget)
	return err
}

// Accept implements net.Listener.
func (f *Flows) Accept() (net.Conn, error) {
	select {
	case c := <-f.accepted:
		return c, nil
	case <-f.ended:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (f *Flows) Close() error { return nil }

// Addr implements net.Listener.
func (f *Flows) Addr() net.Addr { return net.UDPAddrFromAddrPort(f.socket.Local) }
