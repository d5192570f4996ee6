package proxy

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"arbutusfront.dev/common/transport/wait"
)

const (
	dialTimeout = time.Second
	blockBytes  = 32 << 10
)

// TCP relays TCP connections to a target.
type TCP struct {
	listener *net.TCPListener
	target   netip.AddrPort
	faults   *faultState
	wg       sync.WaitGroup
}

// ListenTCP listens on the address and returns a proxy to the target, which relays nothing
// until Run is called.
func ListenTCP(listen, target netip.AddrPort) (*TCP, error) {
	l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(listen))
	if err != nil {
		return nil, err
	}
	return &TCP{listener: l, target: target, faults: newFaultState()}, nil
}

// SetFault sets the fault for all open and new connections.
func (t *TCP) SetFault(f Fault) { t.faults.set(f) }

// Run relays connections until ctx is canceled. The channel yields nil once all connections are
// closed.
func (t *TCP) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	context.AfterFunc(ctx, func() { _ = t.listener.Close() })
	go func() {
		for {
			c, err := t.listener.AcceptTCP()
			if errors.Is(err, net.ErrClosed) {
				break
			}
			if err == nil {
				t.wg.Go(func() { t.relay(ctx, c) })
			}
		}
		t.wg.Wait()
		done <- nil
	}()
	return done
}

// relay relays one connection until both sides have closed it, it is reset, or ctx is canceled.
func (t *TCP) relay(ctx context.Context, from *net.TCPConn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fault, _ := t.faults.get()
	if fault.Reset {
		reset(from)
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	c, err := dialer.DialContext(ctx, "tcp4", t.target.String())
	if err != nil {
		reset(from)
		return
	}
	to := c.(*net.TCPConn)
	t.wg.Go(func() { t.resetOnFault(ctx, from, to) })
	var both sync.WaitGroup
	both.Go(func() { t.copy(ctx, to, from, func(f Fault) bool { return f.DropToTarget }) })
	both.Go(func() { t.copy(ctx, from, to, func(f Fault) bool { return f.DropFromTarget }) })
	both.Wait()
	_ = from.Close()
	_ = to.Close()
}

// resetOnFault resets both ends of the connection when Fault.Reset is set or ctx is canceled.
func (t *TCP) resetOnFault(ctx context.Context, ends ...*net.TCPConn) {
	for {
		fault, changed := t.faults.get()
		if fault.Reset || ctx.Err() != nil {
			for _, c := range ends {
				reset(c)
			}
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// copy relays bytes in one direction. While that direction is cut, it holds the bytes back
// and relays them afterwards, as TCP retransmits them after the loss on a real link.
// Fault.Delay is added to each block that is read. At the end of the stream, it closes the
// write side of to.
func (t *TCP) copy(ctx context.Context, to, from *net.TCPConn, cut func(Fault) bool) {
	block := make([]byte, blockBytes)
	for {
		n, err := from.Read(block)
		for {
			fault, changed := t.faults.get()
			if !cut(fault) {
				if fault.Delay > 0 {
					wait.For(ctx, fault.Delay)
				}
				break
			}
			select {
			case <-ctx.Done():
				return
			case <-changed:
			}
		}
		if n > 0 {
			if _, failed := to.Write(block[:n]); failed != nil {
				return
			}
		}
		if err != nil {
			_ = to.CloseWrite()
			return
		}
	}
}

func reset(c *net.TCPConn) {
	// With a linger time of 0, closing the connection sends an RST instead of a FIN.
	_ = c.SetLinger(0)
	_ = c.Close()
}
