// Package datagram sends and receives UDP datagrams in batches.
//
// # Usage
//
//	s, err := datagram.Listen(netip.MustParseAddrPort("127.0.0.1:7000"))
//	err = s.Serve(func(m *datagram.Message) { handle(m.Peer, m.Bytes()) })
//	err = s.Write(b, to)
//
// Socket is a struct of functions, so that tests in virtual time can replace the
// kernel's sockets by in-memory links.
package datagram

import (
	"errors"
	"net"
	"net/netip"

	"github.com/zeebo/errs"
)

const (
	// BatchSize is the largest number of messages in one system call.
	BatchSize = 32
	// MaxBytes is the size of a read buffer. Larger datagrams are truncated.
	MaxBytes = 2048

	// socketBufferBytes is the requested size of the kernel's buffer in each direction.
	socketBufferBytes = 4 << 20
)

// Error is the class of this package's errors.
var Error = errs.Class("datagram")

type (
	// Message is one datagram.
	Message struct {
		// Buffer holds the datagram in its first N bytes. Buffers for reading have
		// MaxBytes.
		Buffer []byte
		N      int
		// Peer is the source of a datagram read, or the destination of one to send.
		Peer netip.AddrPort
	}

	// Socket is one bound UDP socket.
	Socket struct {
		// Local is the address that the socket is bound to.
		Local netip.AddrPort
		// ReadBatch waits for at least one datagram and returns the number
		// read. It fails with net.ErrClosed once the socket is closed.
		ReadBatch func(batch []Message) (int, error)
		// ReadWaited reports whether the last ReadBatch found no datagram and waited for
		// one. It is nil if that is not known.
		ReadWaited func() bool
		// Lost returns how many received datagrams did not fit into the kernel's buffer since
		// the socket was opened. It is nil if that is not known, and safe for concurrent use.
		Lost func() uint32
		// Write sends one datagram. It is safe for concurrent use.
		Write func(b []byte, to netip.AddrPort) error
		// WriteBatch sends the messages in order and returns the number sent.
		// It is safe for concurrent use.
		WriteBatch func(batch []Message) (int, error)
		// Close closes the socket. Pending reads fail with net.ErrClosed.
		Close func() error
	}
)

// Bytes returns the datagram, a slice of Buffer.
func (m *Message) Bytes() []byte { return m.Buffer[:m.N] }

// NewBatch returns n messages with buffers of MaxBytes.
func NewBatch(n int) []Message {
	batch := make([]Message, n)
	for i := range batch {
		batch[i].Buffer = make([]byte, MaxBytes)
	}
	return batch
}

// Serve reads datagrams and calls handle with each, until a read fails. It returns nil
// if the socket was closed, otherwise the error of the read. The message is valid only
// during the call.
func (s *Socket) Serve(handle func(*Message)) error {
	return s.ServeBatches(func(batch []Message) {
		for i := range batch {
			handle(&batch[i])
		}
	})
}

// ServeBatches is like Serve, but calls handle with all datagrams of one read.
func (s *Socket) ServeBatches(handle func([]Message)) error {
	batch := NewBatch(BatchSize)
	for {
		n, err := s.ReadBatch(batch)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		handle(batch[:n])
	}
}

// Listen binds an IPv4 UDP socket of the kernel. Errors are of class Error.
func Listen(local netip.AddrPort) (*Socket, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	// The kernel may cap the size. A smaller buffer only drops datagrams earlier, so
	// errors are ignored.
	_ = c.SetReadBuffer(socketBufferBytes)
	_ = c.SetWriteBuffer(socketBufferBytes)
	b, err := newBatcher(c)
	if err != nil {
		return nil, errs.Combine(Error.Wrap(err), c.Close())
	}
	return &Socket{
		Local:      c.LocalAddr().(*net.UDPAddr).AddrPort(),
		ReadBatch:  b.readBatch,
		ReadWaited: b.readWaited,
		Lost:       b.lost,
		Write: func(b []byte, to netip.AddrPort) error {
			_, err := c.WriteToUDPAddrPort(b, to)
			return err
		},
		WriteBatch: b.writeBatch,
		Close:      c.Close,
	}, nil
}
