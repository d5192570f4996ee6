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
	// gatherPause is how long updates are gathered for one message.
	gatherPause = 200 * time.Millisecond

	firstRepeat = 100 * time.Millisecond
	lastRepeat  = 2 * time.Second
)

// task is one other agent's task: the updates that it has not acknowledged.
type task struct {
	to     netip.AddrPort
	cancel context.CancelFunc
	wake   chan struct{}
	acked  chan uint64

	mu      sync.Mutex
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

func (t *task) acknowledge(sequence uint64) {
	select {
	case t.acked <- sequence:
	default:
	}
}

// take moves up to flowsPerMessage updates into a message.
func (t *task) take(r *controlv1.Register) bool {
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

// serve sends the task's updates, one message at a time, until ctx ends.
func (p *Peers) serve(ctx context.Context, t *task) {
	for sequence := uint64(1); ; sequence++ {
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		}
		if !wait.For(ctx, p.gather) {
			return
		}
		r := &controlv1.Register{Sequence: sequence}
		if !t.take(r) {
			continue
		}
		r.Holder = p.self().Encode()
		load := p.directory.Load()
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

// deliver repeats the message until it is acknowledged or ctx ends.
func (p *Peers) deliver(ctx context.Context, t *task, r *controlv1.Register) bool {
	m := &controlv1.Datagram{Body: &controlv1.Datagram_Register{Register: r}}
	for pause := firstRepeat; ; pause = min(2*pause, lastRepeat) {
		p.send(t.to, m)
		timer := time.NewTimer(pause)
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
