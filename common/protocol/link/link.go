// Package link sends and receives the capsules of one process over one UDP socket:
// packets and control messages between balancers and agents.
//
// # Usage
//
//	l := link.New(socket, key, link.WithControl(handle), link.WithPacket(forward))
//	done := l.Run(ctx)
//	l.SendControl(to, message)
//
// Malformed datagrams and control messages with a wrong authentication code are dropped
// and reported by reason (WithDrop).
package link

import (
	"context"
	"errors"
	"net/netip"

	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/control"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/transport/datagram"
)

// Reasons to drop a datagram.
const (
	// DropMalformed stands for a datagram of a known kind that can't be decoded.
	DropMalformed DropReason = "malformed"
	// DropForged stands for a control message with a wrong authentication code.
	DropForged DropReason = "forged"
	// DropHeader stands for a datagram without a valid capsule header.
	DropHeader DropReason = "header"
)

type (
	// DropReason is a reason to drop a datagram.
	DropReason string

	// Link sends and receives the capsules of one process over its UDP socket.
	Link struct {
		socket    *datagram.Socket
		key       control.Key
		onControl func(from netip.AddrPort, m *controlv1.Datagram)
		onPacket  func(from netip.AddrPort, h capsule.Header, packet []byte)
		// onUnclaimed receives packets of unclaimed flows, and onHeld the reports of
		// agents about flows that they hold.
		onUnclaimed func(h capsule.Header, packet []byte)
		onHeld      func(h capsule.Held)
		// onLoad receives the load reports of agents that name no flow.
		onLoad func(l capsule.Load)
		onDrop func(DropReason)
		// onControlSent and onControlReceived are called with the size of each control
		// message sent, and of each valid one received.
		onControlSent     func(bytes int)
		onControlReceived func(bytes int)
	}

	// Option changes how a Link is built.
	Option func(*Link)
)

// WithControl sets the handler of authenticated control messages.
func WithControl(f func(from netip.AddrPort, m *controlv1.Datagram)) Option {
	return func(l *Link) { l.onControl = f }
}

// WithPacket sets the handler of packets. Header and packet are valid only during the
// call.
func WithPacket(f func(from netip.AddrPort, h capsule.Header, packet []byte)) Option {
	return func(l *Link) { l.onPacket = f }
}

// WithFlowReports sets the handlers of packets of unclaimed flows, which agents return, and
// of the reports of agents about flows that they hold. Header and packet are valid only
// during the call.
func WithFlowReports(unclaimed func(h capsule.Header, packet []byte), held func(h capsule.Held)) Option {
	return func(l *Link) { l.onUnclaimed, l.onHeld = unclaimed, held }
}

// WithLoadReports sets the handler of agents' load reports.
func WithLoadReports(f func(l capsule.Load)) Option { return func(l *Link) { l.onLoad = f } }

// WithDrop sets the function that is called for each dropped datagram.
func WithDrop(f func(DropReason)) Option {
	return func(l *Link) { l.onDrop = f }
}

// WithControlBytes sets the functions that are called with the datagram's size for each
// control message sent, and for each one received that is authentic and well-formed.
func WithControlBytes(sent, read func(bytes int)) Option {
	return func(l *Link) { l.onControlSent, l.onControlReceived = sent, read }
}

// New returns a link over the socket.
func New(socket *datagram.Socket, key control.Key, opts ...Option) *Link {
	l := &Link{
		socket:            socket,
		key:               key,
		onControl:         func(netip.AddrPort, *controlv1.Datagram) {},
		onPacket:          func(netip.AddrPort, capsule.Header, []byte) {},
		onDrop:            func(DropReason) {},
		onUnclaimed:       func(capsule.Header, []byte) {},
		onHeld:            func(capsule.Held) {},
		onLoad:            func(capsule.Load) {},
		onControlSent:     func(int) {},
		onControlReceived: func(int) {},
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Run reads datagrams in a new goroutine until ctx is canceled, which closes the socket. The
// channel receives the error that ended the reads, or nil if the socket was closed.
func (l *Link) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() { _ = l.socket.Close() })
	go func() {
		defer stop()
		done <- l.read()
	}()
	return done
}

// SendControl sends a control message. Delivery is not guaranteed: errors of sending are
// ignored too.
func (l *Link) SendControl(to netip.AddrPort, m *controlv1.Datagram) {
	sealed, err := l.key.Seal(m)
	if err != nil {
		return
	}
	b := capsule.AppendControl(make([]byte, 0, len(sealed)+4), sealed)
	if err := l.socket.Write(b, to); err == nil {
		l.onControlSent(len(b))
	}
}

// SendThroughFabric sends a control message in an IPv4 TCP packet, as callers send theirs,
// so that the fabric delivers it to one of the balancers. From becomes the source of the
// packet, to which the balancer responds. Delivery is not guaranteed.
func (l *Link) SendThroughFabric(fabric, from netip.AddrPort, m *controlv1.Datagram) {
	sealed, err := l.key.Seal(m)
	if err != nil {
		return
	}
	b := ipv4.Build(ipv4.Segment{
		Key:     ipv4.FlowKey{Caller: from, Service: fabric},
		Flags:   ipv4.FlagACK | ipv4.FlagPSH,
		Payload: capsule.AppendControl(nil, sealed),
	})
	if err := l.socket.Write(b, fabric); err == nil {
		l.onControlSent(len(b))
	}
}

// HandleControl handles a datagram of capsule.KindControl that was not received on the
// link's socket, such as one sent by SendThroughFabric.
func (l *Link) HandleControl(from netip.AddrPort, b []byte) {
	l.dispatchControl(&datagram.Message{Buffer: b, N: len(b), Peer: from})
}

// Write sends an encoded capsule.
func (l *Link) Write(b []byte, to netip.AddrPort) error { return l.socket.Write(b, to) }

// WriteBatch sends encoded capsules in order, and returns the number sent.
func (l *Link) WriteBatch(batch []datagram.Message) (int, error) { return l.socket.WriteBatch(batch) }

func (l *Link) read() error {
	// The capacity includes one entry for the receiving agent's own instance, which it
	// appends before it forwards the packet.
	visited := make([]uint64, 0, capsule.MaxVisited+1)
	return l.socket.Serve(func(m *datagram.Message) { l.dispatch(m, visited) })
}

func (l *Link) dispatch(m *datagram.Message, visited []uint64) {
	kind, err := capsule.KindOf(m.Bytes())
	if err != nil {
		l.onDrop(DropHeader)
		return
	}
	switch kind {
	case capsule.KindPacket:
		if h, packet, ok := l.parsePacket(m, visited); ok {
			l.onPacket(m.Peer, h, packet)
		}
	case capsule.KindUnclaimed:
		if h, packet, ok := l.parsePacket(m, visited); ok {
			l.onUnclaimed(h, packet)
		}
	case capsule.KindHeld:
		h, err := capsule.ParseHeld(m.Bytes())
		if err != nil {
			l.onDrop(DropMalformed)
			return
		}
		l.onHeld(h)
	case capsule.KindLoad:
		report, err := capsule.ParseLoad(m.Bytes())
		if err != nil {
			l.onDrop(DropMalformed)
			return
		}
		l.onLoad(report)
	default:
		l.dispatchControl(m)
	}
}

func (l *Link) parsePacket(m *datagram.Message, visited []uint64) (capsule.Header, []byte, bool) {
	h, packet, err := capsule.ParsePacket(m.Bytes(), visited)
	if err != nil {
		l.onDrop(DropMalformed)
	}
	return h, packet, err == nil
}

// dispatchControl authenticates and decodes a control message, and calls onControl with
// it.
func (l *Link) dispatchControl(m *datagram.Message) {
	sealed, err := capsule.ParseControl(m.Bytes())
	if err != nil {
		l.onDrop(DropMalformed)
		return
	}
	message, err := l.key.Open(sealed)
	if errors.Is(err, control.ErrForged) {
		l.onDrop(DropForged)
		return
	}
	if err != nil {
		l.onDrop(DropMalformed)
		return
	}
	l.onControlReceived(m.N)
	l.onControl(m.Peer, message)
}
