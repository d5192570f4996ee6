// Package tcpstack terminates TCP connections in user space, over links that carry
// whole IPv4 packets. Agents use it for the connections of callers; callers in tests use
// it too.
//
// # Usage
//
//	s, err := tcpstack.New(tcpstack.WithAddresses(local.Addr()))
//	go s.Output(ctx, send)
//	s.Inject(packet)
//	conn, err := s.Dial(ctx, local, remote)
//
// The send and receive buffers of one connection are bounded by SendBufferBytes and
// ReceiveBufferBytes.
package tcpstack

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"gvisor.dev/gvisor/pkg/buffer"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
	"gvisor.dev/gvisor/pkg/tcpip/header"
	"gvisor.dev/gvisor/pkg/tcpip/link/channel"
	networkv4 "gvisor.dev/gvisor/pkg/tcpip/network/ipv4"
	"gvisor.dev/gvisor/pkg/tcpip/stack"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"
	"gvisor.dev/gvisor/pkg/waiter"
)

const (
	// SendBufferBytes bounds the unacknowledged and unsent data of one connection.
	SendBufferBytes = 256 << 10
	// ReceiveBufferBytes bounds the received data of one connection that was not read.
	ReceiveBufferBytes = 256 << 10
	// PacketBytes is the size of the largest packet sent. In a capsule that lists up to
	// three visited agents, it fits into an Ethernet frame.
	PacketBytes = 1400

	copyBytes = 32 << 10
	nicID     = 1
	// queuePackets bounds the packets queued for Output; further ones are dropped.
	queuePackets = 4096
	// maxHandshakes bounds the connection requests for which neither Accept nor Ignore
	// has returned; further SYNs are dropped.
	maxHandshakes = 16384
	// timeWait is how long a connection remains in TIME_WAIT.
	timeWait = 2 * time.Second
	// keepaliveProbes is the number of unanswered probes after which a connection ends.
	keepaliveProbes = 4
)

// DefaultKeepalive detects a silent peer within 45 s, or within a minute while data that
// was sent to it is not acknowledged.
var DefaultKeepalive = Keepalive{Idle: 20 * time.Second, Period: 5 * time.Second, UserTimeout: time.Minute}

// copyBuffers holds the buffers of CopyTo, of type *[copyBytes]byte.
var copyBuffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// Error is the class of this package's errors.
var Error = errs.Class("tcpstack")

type (
	// Conn is one established connection.
	Conn struct {
		*gonet.TCPConn
		// endpoint and queue are nil for connections that were dialed.
		endpoint tcpip.Endpoint
		queue    *waiter.Queue
		// peerClosed is set once all data of the peer and its FIN have been read.
		peerClosed atomic.Bool
	}

	// Keepalive configures the detection of silent peers. A connection ends after
	// keepaliveProbes unanswered probes.
	Keepalive struct {
		// Idle is the time without a packet after which the peer is probed.
		Idle time.Duration
		// Period is the time between two probes.
		Period time.Duration
		// UserTimeout is the time after which a connection ends whose data is not
		// acknowledged (the TCP user timeout).
		UserTimeout time.Duration
	}

	// ConnectionRequest is a SYN that was received and for which no SYN-ACK was sent yet.
	ConnectionRequest struct {
		// Caller is the source of the SYN.
		Caller netip.AddrPort
		// Service is the destination of the SYN.
		Service   netip.AddrPort
		request   *tcp.ForwarderRequest
		keepalive Keepalive
	}

	// Stack is one user-space TCP stack.
	Stack struct {
		stack *stack.Stack
		link  *channel.Endpoint
	}

	// Option changes how a Stack is built.
	Option func(*options)

	options struct {
		addresses []netip.Addr
		accept    func(*ConnectionRequest)
		keepalive Keepalive
	}
)

// WithAddresses assigns local addresses to the stack, from which it can dial.
func WithAddresses(addresses ...netip.Addr) Option {
	return func(o *options) { o.addresses = append(o.addresses, addresses...) }
}

// WithAccept calls accept in a new goroutine for each SYN, to any address. The function must
// call ConnectionRequest.Accept or ConnectionRequest.Ignore.
func WithAccept(accept func(*ConnectionRequest)) Option {
	return func(o *options) { o.accept = accept }
}

// WithKeepalive sets the keepalive of connections that ConnectionRequest.Accept returns. The
// default is DefaultKeepalive.
func WithKeepalive(k Keepalive) Option {
	return func(o *options) { o.keepalive = k }
}

// New returns a running stack, which must be closed. Errors are of class Error.
func New(opts ...Option) (*Stack, error) {
	o := options{keepalive: DefaultKeepalive}
	for _, opt := range opts {
		opt(&o)
	}
	s := &Stack{
		link: channel.New(queuePackets, PacketBytes, ""),
		stack: stack.New(stack.Options{
			NetworkProtocols:   []stack.NetworkProtocolFactory{networkv4.NewProtocol},
			TransportProtocols: []stack.TransportProtocolFactory{tcp.NewProtocol},
		}),
	}
	if err := s.configure(o); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Stack) configure(o options) error {
	if err := s.stack.CreateNIC(nicID, s.link); err != nil {
		return Error.New("create interface: %s", err)
	}
	s.stack.SetRouteTable([]tcpip.Route{{Destination: header.IPv4EmptySubnet, NIC: nicID}})
	for _, a := range o.addresses {
		address := tcpip.ProtocolAddress{
			Protocol:          networkv4.ProtocolNumber,
			AddressWithPrefix: tcpip.AddrFrom4(a.As4()).WithPrefix(),
		}
		if err := s.stack.AddProtocolAddress(nicID, address, stack.AddressProperties{}); err != nil {
			return Error.New("add address %s: %s", a, err)
		}
	}
	if err := s.setTCPOptions(); err != nil {
		return err
	}
	if o.accept == nil {
		return nil
	}
	// The stack accepts packets to, and sends packets from, every service address of
	// the fabric.
	if err := s.stack.SetPromiscuousMode(nicID, true); err != nil {
		return Error.New("set promiscuous mode: %s", err)
	}
	if err := s.stack.SetSpoofing(nicID, true); err != nil {
		return Error.New("set spoofing: %s", err)
	}
	f := tcp.NewForwarder(s.stack, ReceiveBufferBytes, maxHandshakes, func(r *tcp.ForwarderRequest) {
		id := r.ID()
		o.accept(&ConnectionRequest{
			Caller:  addrPort(id.RemoteAddress, id.RemotePort),
			Service: addrPort(id.LocalAddress, id.LocalPort),
			request: r,

			keepalive: o.keepalive,
		})
	})
	s.stack.SetTransportProtocolHandler(tcp.ProtocolNumber, f.HandlePacket)
	return nil
}

func (s *Stack) setTCPOptions() error {
	timeWaitOption := tcpip.TCPTimeWaitTimeoutOption(timeWait)
	sack := tcpip.TCPSACKEnabled(true)
	send := tcpip.TCPSendBufferSizeRangeOption{Min: 4 << 10, Default: 64 << 10, Max: SendBufferBytes}
	receive := tcpip.TCPReceiveBufferSizeRangeOption{Min: 4 << 10, Default: 64 << 10, Max: ReceiveBufferBytes}
	for _, option := range []tcpip.SettableTransportProtocolOption{&timeWaitOption, &sack, &send, &receive} {
		if err := s.stack.SetTransportProtocolOption(tcp.ProtocolNumber, option); err != nil {
			return Error.New("set option: %s", err)
		}
	}
	return nil
}

// Inject delivers a copy of one IPv4 packet to the stack.
func (s *Stack) Inject(packet []byte) {
	p := stack.NewPacketBuffer(stack.PacketBufferOptions{Payload: buffer.MakeWithData(packet)})
	s.link.InjectInbound(networkv4.ProtocolNumber, p)
	p.DecRef()
}

// Output calls send with each outgoing packet of the stack until ctx is canceled. The
// packet is valid only during the call.
func (s *Stack) Output(ctx context.Context, send func(packet []byte)) {
	b := make([]byte, 0, PacketBytes)
	for {
		p := s.link.ReadContext(ctx)
		if p == nil {
			return
		}
		b = b[:0]
		for _, part := range p.AsSlices() {
			b = append(b, part...)
		}
		p.DecRef()
		send(b)
	}
}

// Dial opens a connection from local to remote. Only connections that were accepted support
// CopyTo and Ended. Errors are of class Error.
func (s *Stack) Dial(ctx context.Context, local, remote netip.AddrPort) (*Conn, error) {
	c, err := gonet.DialTCPWithBind(ctx, s.stack, fullAddress(local), fullAddress(remote), networkv4.ProtocolNumber)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &Conn{TCPConn: c}, nil
}

// Close stops the stack and drops its connections.
func (s *Stack) Close() {
	s.stack.Destroy()
	s.link.Close()
}

// Accept sends a SYN-ACK, waits until the caller has completed the handshake, and configures
// the keepalive. Errors are of class Error.
func (r *ConnectionRequest) Accept() (*Conn, error) {
	var wq waiter.Queue
	ep, err := r.request.CreateEndpoint(&wq)
	r.request.Complete(false)
	if err != nil {
		return nil, Error.New("handshake: %s", err)
	}
	ep.SocketOptions().SetKeepAlive(true)
	idle := tcpip.KeepaliveIdleOption(r.keepalive.Idle)
	period := tcpip.KeepaliveIntervalOption(r.keepalive.Period)
	timeout := tcpip.TCPUserTimeoutOption(r.keepalive.UserTimeout)
	for _, option := range []tcpip.SettableSocketOption{&idle, &period, &timeout} {
		if err := ep.SetSockOpt(option); err != nil {
			ep.Abort()
			return nil, Error.New("set keepalive: %s", err)
		}
	}
	if err := ep.SetSockOptInt(tcpip.KeepaliveCountOption, keepaliveProbes); err != nil {
		ep.Abort()
		return nil, Error.New("set keepalive probes: %s", err)
	}
	return &Conn{TCPConn: gonet.NewTCPConn(&wq, ep), endpoint: ep, queue: &wq}, nil
}

// Ignore drops the SYN without sending a SYN-ACK or RST.
func (r *ConnectionRequest) Ignore() { r.request.Complete(false) }

// CopyTo copies received data to w until the peer closes its direction, and then returns
// nil. It supports only connections returned by ConnectionRequest.Accept. It holds a buffer
// only while there is data to copy. It writes to w without the endpoint's lock, so that a
// slow w delays neither acknowledgments nor the other direction.
func (c *Conn) CopyTo(w io.Writer) error {
	entry, readable := waiter.NewChannelEntry(waiter.ReadableEvents | waiter.EventHUp | waiter.EventErr)
	c.queue.EventRegister(&entry)
	defer c.queue.EventUnregister(&entry)
	for {
		// Wait before copyReceived: for an idle connection, calling it would take a
		// buffer and grow the goroutine's stack.
		for c.endpoint.Readiness(waiter.ReadableEvents) == 0 {
			<-readable
		}
		ended, err := c.copyReceived(w)
		if ended || err != nil {
			return err
		}
	}
}

// copyReceived copies the data received so far to w without waiting for more, and reports
// whether the peer has closed its direction, in which case it sets peerClosed.
func (c *Conn) copyReceived(w io.Writer) (ended bool, err error) {
	pooled := copyBuffers.Get().(*[copyBytes]byte)
	defer copyBuffers.Put(pooled)
	for {
		destination := tcpip.SliceWriter(pooled[:])
		read, err := c.endpoint.Read(&destination, tcpip.ReadOptions{})
		switch err.(type) {
		case nil:
		case *tcpip.ErrWouldBlock:
			return false, nil
		case *tcpip.ErrClosedForReceive:
			c.peerClosed.Store(true)
			return true, nil
		default:
			return false, Error.New("read: %s", err)
		}
		if _, err := w.Write(pooled[:read.Count]); err != nil {
			return false, err
		}
	}
}

// Abort closes the connection. If it was returned by ConnectionRequest.Accept, a RST is sent.
func (c *Conn) Abort() {
	if c.endpoint != nil {
		c.endpoint.Abort()
	}
	_ = c.Close()
}

func addrPort(a tcpip.Address, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(a.As4()), port)
}

func fullAddress(a netip.AddrPort) tcpip.FullAddress {
	return tcpip.FullAddress{NIC: nicID, Addr: tcpip.AddrFrom4(a.Addr().As4()), Port: a.Port()}
}

// Ended reports whether both directions of the connection are closed, so that only
// delayed packets of the peer can still arrive. It supports only connections returned by
// ConnectionRequest.Accept.
func (c *Conn) Ended() bool {
	switch tcp.EndpointState(c.endpoint.State()) {
	case tcp.StateClose, tcp.StateError, tcp.StateTimeWait, tcp.StateInitial:
		return true
	case tcp.StateFinWait2:
		// A tail loss probe that retransmits the FIN moves gVisor's endpoint from
		// LAST_ACK to FIN_WAIT1. The acknowledgment of the FIN then leads to
		// FIN_WAIT2, although the peer's FIN was received before.
		return c.peerClosed.Load()
	default:
		return false
	}
}
