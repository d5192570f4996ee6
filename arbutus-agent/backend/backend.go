// Package backend connects to the agent's one backend server and limits the load on it.
//
// # Usage
//
//	s := backend.New(network, address, limiter)
//	conn, err := s.Dial(ctx)
//
// The backend server is dialed before the caller gets a SYN-ACK. No data of a flow that
// is refused has therefore reached the backend server.
package backend

import (
	"context"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/zeebo/errs"

	"arbutusfront.dev/common/transport/network"
	"arbutusfront.dev/common/transport/stream"
)

const (
	dialTimeout = 2 * time.Second

	keepaliveIdle   = 20 * time.Second
	keepalivePeriod = 5 * time.Second
	keepaliveProbes = 4
)

// Error is the class of this package's errors.
var Error = errs.Class("backend")

type (
	// Server is the agent's backend server.
	Server struct {
		// Limiter limits its flows and requests.
		Limiter *Limiter

		network network.Network
		address netip.AddrPort
	}

	// Conn is one connection to the backend server.
	Conn struct {
		net.Conn
	}

	closeWriter interface{ CloseWrite() error }
)

// New returns the backend server at the address.
func New(n network.Network, address netip.AddrPort, l *Limiter) *Server {
	return &Server{Limiter: l, network: n, address: address}
}

// Dial opens a connection. It returns an error after dialTimeout. If no connection is opened,
// also because ctx is canceled, the limiter enters cold start.
func (s *Server) Dial(ctx context.Context) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := s.network.Dial(ctx, s.address.String())
	if err != nil {
		s.Limiter.EnterColdStart()
		return nil, Error.Wrap(err)
	}
	if t, ok := c.(*net.TCPConn); ok {
		err := t.SetKeepAliveConfig(net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepaliveIdle,
			Interval: keepalivePeriod,
			Count:    keepaliveProbes,
		})
		if err != nil {
			_ = c.Close()
			return nil, Error.Wrap(err)
		}
	}
	return &Conn{Conn: c}, nil
}

// CopyTo copies what the backend server sends to w until it closes its direction, and
// calls onRead after each read.
func (c *Conn) CopyTo(w io.Writer, onRead func()) error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return stream.CopyTCP(w, t, onRead)
	}
	return stream.Copy(w, c.Conn, onRead)
}

// CloseWrite closes the direction to the backend server.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(closeWriter); ok {
		return w.CloseWrite()
	}
	return nil
}

// Abort ends the connection with a RST.
func (c *Conn) Abort() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
