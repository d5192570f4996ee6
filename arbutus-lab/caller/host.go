// Package caller is a stand-in for callers: hosts with a user-space TCP stack that send
// their packets to the fabric, and HTTP requests whose answers are verified.
//
// # Usage
//
//	h, err := caller.NewHost(socket, fabricEntry, addr)
//	done := h.Run(ctx)
//	client := h.Client(false)
//
// Each request of a client opens a flow unless the client keeps connections alive.
package caller

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"arbutusfront.dev/common/transport/datagram"
	"arbutusfront.dev/common/transport/tcpstack"
)

const (
	// Source ports are assigned in rotation from firstPort up to lastPort, exclusive.
	firstPort = 20000
	lastPort  = 60000

	dialTimeout = 8 * time.Second
)

// Host is a caller's host with one IP address. It is safe for concurrent use.
type Host struct {
	address netip.Addr
	socket  *datagram.Socket
	fabric  netip.AddrPort
	stack   *tcpstack.Stack
	// portIndex counts dials from a random start value. Modulo the number of ports, it is
	// the offset of the last source port from firstPort.
	portIndex atomic.Uint32
}

// NewHost returns a host with the IP address, which exchanges packets with the fabric
// through the socket.
func NewHost(socket *datagram.Socket, fabric netip.AddrPort, address netip.Addr) (*Host, error) {
	s, err := tcpstack.New(tcpstack.WithAddresses(address))
	if err != nil {
		return nil, err
	}
	h := &Host{address: address, socket: socket, fabric: fabric, stack: s}
	h.portIndex.Store(uint32(rand.IntN(lastPort - firstPort)))
	return h, nil
}

// Run exchanges packets with the fabric until ctx is canceled, then sends its error, or
// nil, on the channel. It closes the socket.
func (h *Host) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	ended := make(chan error, 2)
	context.AfterFunc(ctx, func() { _ = h.socket.Close() })
	go func() {
		h.stack.Output(ctx, func(packet []byte) { _ = h.socket.Write(packet, h.fabric) })
		ended <- nil
	}()
	go func() { ended <- h.read() }()
	go func() {
		err := errors.Join(<-ended, <-ended)
		h.stack.Close()
		done <- err
	}()
	return done
}

// Dial opens a TCP connection to a service. It fails after dialTimeout.
func (h *Host) Dial(ctx context.Context, service netip.AddrPort) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	port := firstPort + h.portIndex.Add(1)%(lastPort-firstPort)
	return h.stack.Dial(ctx, netip.AddrPortFrom(h.address, uint16(port)), service)
}

// Client returns an HTTP client whose connections are opened by Dial. With keepAlive,
// requests reuse connections. URLs must have an IP address and port as host.
func (h *Host) Client(keepAlive bool) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: !keepAlive,
		DialContext: func(ctx context.Context, _, to string) (net.Conn, error) {
			service, err := netip.ParseAddrPort(to)
			if err != nil {
				return nil, err
			}
			return h.Dial(ctx, service)
		},
	}}
}

// read passes received packets to the TCP stack.
func (h *Host) read() error {
	return h.socket.Serve(func(m *datagram.Message) { h.stack.Inject(m.Bytes()) })
}
