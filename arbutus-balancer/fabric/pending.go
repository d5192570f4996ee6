package fabric

import (
	"context"
	"slices"
	"sync"
	"time"

	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/transport/datagram"
	"arbutusfront.dev/common/transport/wait"
)

const (
	// pendingTime is how long a packet is buffered. Callers retransmit lost packets after
	// 200 ms, so an older one has been replaced.
	pendingTime = 180 * time.Millisecond
	// maxPending is the number of buffered packets from which add refuses more: those of
	// 180 ms at 5,000 packets a second, of at most 1.2 KB each.
	maxPending = 900
	// pendingInterval is how often forwarding of buffered packets is retried.
	pendingInterval = 10 * time.Millisecond
)

type (
	// pendingPackets buffers packets that arrived before the balancer knew where to
	// forward them, such as right after its start.
	pendingPackets struct {
		now func() time.Time

		mu      sync.Mutex
		packets []pendingPacket
	}

	pendingPacket struct {
		bytes     []byte
		arrivedAt time.Time
	}
)

// add buffers a copy of the packet, and reports whether there was capacity for it.
func (p *pendingPackets) add(b []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.packets) >= maxPending {
		return false
	}
	p.packets = append(p.packets, pendingPacket{bytes: slices.Clone(b), arrivedAt: p.now()})
	return true
}

// take removes all packets. It returns those that are not older than pendingTime, and the number
// of the others.
func (p *pendingPackets) take() (current []pendingPacket, expired int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	taken := len(p.packets)
	now := p.now()
	current = slices.DeleteFunc(p.packets, func(k pendingPacket) bool { return now.Sub(k.arrivedAt) > pendingTime })
	p.packets = nil
	return current, taken - len(current)
}

// putBack buffers packets again that can't be forwarded yet, before those that arrived
// since they were taken. It does not apply maxPending.
func (p *pendingPackets) putBack(packets []pendingPacket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.packets = append(packets, p.packets...)
}

// mayBecomeForwardable reports whether a packet that was not forwarded for the reason may
// be forwarded once more agents or the configuration are known.
func (f *Forwarder) mayBecomeForwardable(reason ipv4.Reason) bool {
	switch reason {
	case dropNoAgent, dropBehind:
		return true
	case dropService:
		return f.node.Routes().Revision.IsZero()
	default:
		return false
	}
}

// retryPending retries buffered packets until ctx is canceled.
func (f *Forwarder) retryPending(ctx context.Context) {
	for f.pending != nil && wait.For(ctx, pendingInterval) {
		f.forwardPending()
	}
}

// forwardPending forwards the buffered packets whose destination is known by now. It
// retains those that may still become forwardable, and discards the others.
func (f *Forwarder) forwardPending() {
	packets, discarded := f.pending.take()
	defer func() { f.discardedLate.Inc(int64(discarded)) }()
	if len(packets) == 0 {
		return
	}
	out := datagram.NewBatch(1)
	packets = slices.DeleteFunc(packets, func(p pendingPacket) bool {
		b, to, err := f.encapsulate(out[0].Buffer[:0], p.bytes)
		if err != nil && f.mayBecomeForwardable(ipv4.ReasonOf(err)) {
			return false
		}
		if err != nil {
			discarded++
			return true
		}
		f.forwardedLate.Inc(f.send(b, to))
		return true
	})
	f.pending.putBack(packets)
}
