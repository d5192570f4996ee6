package agent

import (
	"context"
	"net/netip"
	"sync"
	"time"

	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/transport/wait"
)

const (
	// flowsPerMessage keeps a message within one Ethernet frame.
	flowsPerMessage = 64
	// defaultBatchDelay is how long updates are batched before they are sent in one
	// message.
	defaultBatchDelay = 200 * time.Millisecond

	// An unacknowledged message is retransmitted after firstRetransmitDelay. The delay
	// doubles up to maxRetransmitDelay.
	firstRetransmitDelay = 100 * time.Millisecond
	maxRetransmitDelay   = 2 * time.Second
)

// task publishes flows to one replica.
type task struct {
	to     netip.AddrPort
	cancel context.CancelFunc
	wake   chan struct{}
	acked  chan uint64

	mu sync.Mutex
	// pending has the updates that are not yet in a message: each flow to be added (true) or
	// removed (false).
	pending map[ipv4.FlowKey]bool
}

func newTask(to netip.AddrPort, cancel context.CancelFunc) *task {
	return &task{
		to:      to,
		cancel:  cancel,
		wake:    make(chan struct{}, 1),
		acked:   make(chan uint64, 1),
		pending: make(map[ipv4.FlowKey]bool),
	}
}

func (t *task) add(key ipv4.FlowKey)    { t.update(key, true) }
func (t *task) remove(key ipv4.FlowKey) { t.update(key, false) }

func (t *task) update(key ipv4.FlowKey, held bool) {
	t.mu.Lock()
	t.pending[key] = held
	t.mu.Unlock()
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// acknowledge passes the sequence number of an acknowledged message to the task. It is dropped
// if the task has not read the previous one; the task then retransmits.
func (t *task) acknowledge(sequence uint64) {
	select {
	case t.acked <- sequence:
	default:
	}
}

// fill moves up to flowsPerMessage pending updates into the message, and reports
// whether the message has any.
func (t *task) fill(r *controlv1.Register) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, held := range t.pending {
		if len(r.GetAdded())+len(r.GetRemoved()) == flowsPerMessage {
			break
		}
		delete(t.pending, key)
		if held {
			r.Added = append(r.Added, key.Encode())
		} else {
			r.Removed = append(r.Removed, key.Encode())
		}
	}
	return len(r.GetAdded())+len(r.GetRemoved()) > 0
}

// runTask sends the task's updates until ctx is canceled, one message at a time: the next
// one waits for the acknowledgment of the last.
func (p *Peers) runTask(ctx context.Context, t *task) {
	for sequence := uint64(1); ; sequence++ {
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		}
		if !wait.For(ctx, p.batchDelay) {
			return
		}
		r := &controlv1.Register{Sequence: sequence}
		if !t.fill(r) {
			continue
		}
		r.Holder = p.self().Encode()
		load := p.hooks.Load()
		r.FlowsHeld, r.Requests = uint32(load.Flows), uint32(load.Requests)
		if !p.deliver(ctx, t, r) {
			return
		}
		select {
		case t.wake <- struct{}{}:
		default:
		}
	}
}

// deliver sends the message and retransmits it until it is acknowledged. It returns
// false if ctx is canceled first.
func (p *Peers) deliver(ctx context.Context, t *task, r *controlv1.Register) bool {
	m := &controlv1.Datagram{Body: &controlv1.Datagram_Register{Register: r}}
	for delay := firstRetransmitDelay; ; delay = min(2*delay, maxRetransmitDelay) {
		p.send(t.to, m)
		timer := time.NewTimer(delay)
		acknowledged := false
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case sequence := <-t.acked:
			acknowledged = sequence == r.GetSequence()
		case <-timer.C:
		}
		timer.Stop()
		if acknowledged {
			return true
		}
	}
}
