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

// acceptBacklog is how many accepted connections can wait for the HTTP server.
const acceptBacklog = 1024

type (
	// Flows terminates the callers' TCP for a backend server in pass-through mode. It
	// returns packets of flows that it does not hold to the agent, marked as unclaimed.
	Flows struct {
		socket   *datagram.Socket
		outbound netip.AddrPort
		stack    *tcpstack.Stack
		accepted chan net.Conn
		// ended is closed once the socket receives no more packets.
		ended chan struct{}

		mu   sync.Mutex
		held map[ipv4.FlowKey]*heldFlow // guarded by mu
	}

	// heldFlow is a flow whose SYN has been received. It is open once the caller has
	// acknowledged the backend server's initial sequence number.
	heldFlow struct {
		// initialSequence is that of the SYN-ACK, or 0 before it is sent.
		initialSequence uint32
		open            bool
	}

	// heldConn removes its flow from Flows.held when lingerTime has passed after Close.
	heldConn struct {
		net.Conn
		remove func()
	}
)

// NewFlows returns the flows of a backend server that receives packets on the socket and
// sends its own to the agent's address outbound.
func NewFlows(socket *datagram.Socket, outbound netip.AddrPort) (*Flows, error) {
	f := &Flows{
		socket: socket, outbound: outbound, held: make(map[ipv4.FlowKey]*heldFlow),
		accepted: make(chan net.Conn, acceptBacklog), ended: make(chan struct{}),
	}
	s, err := tcpstack.New(tcpstack.WithAccept(f.accept))
	f.stack = s
	return f, err
}

// Run serves requests on the flows with h until ctx is canceled, then sends its error, or
// nil, on the channel. It closes the socket.
func (f *Flows) Run(ctx context.Context, h http.Handler) <-chan error {
	server := &http.Server{Handler: h}
	served := make(chan error, 1)
	outputDone := make(chan struct{})
	go func() { served <- server.Serve(f) }()
	go func() {
		defer close(outputDone)
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
		<-outputDone
		f.stack.Close()
		done <- err
	}()
	return done
}

// read receives packets until the socket is closed.
func (f *Flows) read() error {
	return f.socket.Serve(func(m *datagram.Message) { f.receive(m.Bytes()) })
}

// receive passes a packet of a held flow to the TCP stack, and returns any other to the
// agent with a mark. A malformed one is dropped.
func (f *Flows) receive(b []byte) {
	p, err := ipv4.Parse(b)
	if err != nil {
		return
	}
	if f.admit(p) {
		f.stack.Inject(b)
		return
	}
	returned := bytes.Clone(b)
	ipv4.MarkReturned(returned)
	f.send(returned)
}

// admit reports whether the packet is for the TCP stack: whether it belongs to a held flow
// or is a SYN, whose flow is held from then on. It opens a held flow once the caller
// acknowledges this server's SYN-ACK, and rejects other acknowledgments until then, because
// the caller may have accepted the SYN-ACK of another backend server. The stack doesn't
// check this: its forwarder has no listener, and accepts any acknowledgment number.
func (f *Flows) admit(p ipv4.Packet) bool {
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
		h.open = h.initialSequence != 0 && p.Acknowledgment() == h.initialSequence+1
		return h.open
	default:
		return true
	}
}

// output sends a packet of the stack to the agent, and records the initial sequence number of a
// SYN-ACK.
func (f *Flows) output(b []byte) {
	if p, err := ipv4.Parse(b); err == nil && p.Flags().Has(ipv4.FlagSYN|ipv4.FlagACK) {
		key := ipv4.FlowKey{Caller: p.Key().Service, Service: p.Key().Caller}
		f.mu.Lock()
		if h := f.held[key]; h != nil {
			h.initialSequence = p.Sequence()
		}
		f.mu.Unlock()
	}
	f.send(b)
}

// send sends a packet to the agent. An error is ignored, as TCP retransmits lost packets.
func (f *Flows) send(b []byte) { _ = f.socket.Write(b, f.outbound) }

// accept completes the handshake of a flow and queues its connection for the HTTP server.
// If the handshake fails, the flow is no longer held. Once the
// socket is closed, the connection is aborted.
func (f *Flows) accept(r *tcpstack.ConnectionRequest) {
	key := ipv4.FlowKey{Caller: r.Caller, Service: r.Service}
	remove := func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.held, key)
	}
	c, err := r.Accept()
	if err != nil {
		remove()
		return
	}
	select {
	case f.accepted <- heldConn{Conn: c, remove: remove}:
	case <-f.ended:
		c.Abort()
	}
}

// Close closes the connection. The flow remains held for lingerTime, so that its last
// packets still reach the stack.
func (c heldConn) Close() error {
	err := c.Conn.Close()
	afterLinger(c.remove)
	return err
}

// Accept implements net.Listener. It returns net.ErrClosed once Run's context is canceled.
func (f *Flows) Accept() (net.Conn, error) {
	select {
	case c := <-f.accepted:
		return c, nil
	case <-f.ended:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It does nothing, as the flows end with Run's context.
func (f *Flows) Close() error { return nil }

// Addr implements net.Listener.
func (f *Flows) Addr() net.Addr { return net.UDPAddrFromAddrPort(f.socket.Local) }
