// Package network opens the UDP sockets and TCP connections of a process. Peers are
// addressed by IP address.
//
// # Usage
//
//	n := network.System()
//	socket, err := n.ListenPacket(addr)
//	client := n.HTTP2Client()
//
// Tests replace the function fields by in-memory links (package memory).
package network

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"arbutusfront.dev/common/transport/datagram"
)

const (
	// idleTimeout is how long an unused connection remains open.
	idleTimeout = 30 * time.Second
	// connectTimeout bounds the setup of a TCP connection, and the response to an HTTP/2
	// ping.
	connectTimeout = 2 * time.Second
	// maxIdleConnectionsPerHost bounds the unused connections to one host.
	maxIdleConnectionsPerHost = 4
)

// Network opens sockets and connections, of the machine or in memory.
type Network struct {
	// ListenPacket binds a UDP socket to the local address.
	ListenPacket func(local netip.AddrPort) (*datagram.Socket, error)
	// Listen opens a TCP listener on the local address.
	Listen func(local netip.AddrPort) (net.Listener, error)
	// Dial opens a TCP connection to "address:port".
	Dial func(ctx context.Context, to string) (net.Conn, error)
}

// System returns the network of the machine, restricted to IPv4.
func System() Network {
	dialer := net.Dialer{Timeout: connectTimeout}
	return Network{
		ListenPacket: datagram.Listen,
		Listen: func(local netip.AddrPort) (net.Listener, error) {
			return net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(local))
		},
		Dial: func(ctx context.Context, to string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp4", to)
		},
	}
}

// HTTP2Client returns an HTTP/2 client without TLS. One connection carries all concurrent
// requests to a peer. It is closed if a request on it timed out, and the peer has sent nothing
// since the request.
func (n Network) HTTP2Client() *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	t := n.transport(protocols)
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, to string) (net.Conn, error) {
		c, err := dial(ctx, network, to)
		if err != nil {
			return nil, err
		}
		return newTrackedConn(c), nil
	}
	return &http.Client{Transport: silenceCloser{t}}
}

// HTTP1Client returns an HTTP/1.1 client without TLS.
func (n Network) HTTP1Client() *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Client{Transport: n.transport(protocols)}
}

func (n Network) transport(protocols *http.Protocols) *http.Transport {
	return &http.Transport{
		Protocols:           protocols,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: maxIdleConnectionsPerHost,
		HTTP2: &http.HTTP2Config{
			// A connection on which nothing was received for this long is checked by
			// a ping, so that one to a peer that is gone is closed.
			SendPingTimeout: idleTimeout / 3,
			PingTimeout:     connectTimeout,
		},
		DialContext: func(ctx context.Context, _, to string) (net.Conn, error) {
			return n.Dial(ctx, to)
		},
	}
}
