// Package caller terminates callers' TCP at the agent.
//
// # Usage
//
//	s, err := caller.NewStack(output)
//	done := s.Run(ctx)
//	conn, err := s.Accept(ctx, key, syn)
//	s.Inject(packet)
//
// Stack is a struct of functions, so that the deployment tests in virtual time
// (arbutus-lab/sessions) can replace the TCP stack by a minimal one.
package caller

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/zeebo/errs"

	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/transport/tcpstack"
)

// Error is the class of this package's errors.
var Error = errs.Class("caller")

type (
	// Conn is an established connection of a caller.
	Conn struct {
		net.Conn
		// CopyTo copies what the caller sends to w until the caller closes its
		// direction.
		CopyTo func(w io.Writer) error
		// CloseWrite closes the direction to the caller.
		CloseWrite func() error
		// Abort ends the connection with a RST.
		Abort func()
		// Ended reports, after Close, whether there is nothing left to send to the
		// caller or to receive from it.
		Ended func() bool
	}

	// Stack terminates callers' TCP.
	Stack struct {
		// Inject passes a caller's packet to the stack. The stack sends a RST for a packet
		// of an unknown connection, unless the packet is a SYN or a RST.
		Inject func(packet []byte)
		// Accept injects the SYN, sends a SYN-ACK, and waits for the end of the handshake.
		// It returns an error if the caller resets the connection or ctx is canceled first.
		Accept func(ctx context.Context, key ipv4.FlowKey, syn []byte) (*Conn, error)
		// Run sends the stack's packets until ctx is canceled. Then it closes the stack and
		// reports on the channel.
		Run func(ctx context.Context) <-chan error
	}

	// userSpace implements Stack with the user-space TCP of package tcpstack.
	userSpace struct {
		stack   *tcpstack.Stack
		output  func(packet []byte)
		mu      sync.Mutex
		waiters map[ipv4.FlowKey]*waiter
	}

	// waiter is a call of acceptSYN that waits for the handshake. started is set once the
	// stack has accepted the SYN.
	waiter struct {
		accepted chan acceptResult
		started  bool
	}

	acceptResult struct {
		conn *tcpstack.Conn
		err  error
	}
)

// NewStack returns a user-space TCP stack whose packets go to output, which must not
// retain them.
func NewStack(output func(packet []byte), opts ...tcpstack.Option) (*Stack, error) {
	u := &userSpace{output: output, waiters: make(map[ipv4.FlowKey]*waiter)}
	s, err := tcpstack.New(append(opts, tcpstack.WithAccept(u.handleConnectionRequest))...)
	if err != nil {
		return nil, err
	}
	u.stack = s
	return &Stack{Inject: s.Inject, Accept: u.acceptSYN, Run: u.run}, nil
}

func (u *userSpace) run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		u.stack.Output(ctx, u.output)
		u.stack.Close()
		done <- nil
	}()
	return done
}

// acceptSYN implements Stack.Accept.
func (u *userSpace) acceptSYN(ctx context.Context, key ipv4.FlowKey, syn []byte) (*Conn, error) {
	w := &waiter{accepted: make(chan acceptResult, 1)}
	u.mu.Lock()
	u.waiters[key] = w
	u.mu.Unlock()
	u.stack.Inject(syn)
	select {
	case a := <-w.accepted:
		u.stopWaiting(key, w)
		if a.err != nil {
			return nil, Error.Wrap(a.err)
		}
		return newConn(a.conn), nil
	case <-ctx.Done():
		started := u.stopWaiting(key, w)
		u.abandon(syn, w, started)
		return nil, Error.Wrap(ctx.Err())
	}
}

// stopWaiting removes the waiter and reports whether its handshake has started.
func (u *userSpace) stopWaiting(key ipv4.FlowKey, w *waiter) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.waiters[key] == w {
		delete(u.waiters, key)
	}
	return w.started
}

// abandon ends a started handshake that was not completed in time. It injects a RST as
// if the caller had sent it, and waits until the stack has ended the handshake. If that was
// completed meanwhile, the connection is aborted.
func (u *userSpace) abandon(syn []byte, w *waiter, started bool) {
	p, err := ipv4.Parse(syn)
	if err != nil || !started {
		return
	}
	u.stack.Inject(ipv4.Build(ipv4.Segment{
		Key: p.Key(), Flags: ipv4.FlagRST, Sequence: p.Sequence() + 1,
	}))
	if a := <-w.accepted; a.err == nil {
		a.conn.Abort()
	}
}

// handleConnectionRequest accepts a connection request that a call of acceptSYN waits
// for, and passes the result to that call. It ignores other requests, and retransmissions.
func (u *userSpace) handleConnectionRequest(r *tcpstack.ConnectionRequest) {
	u.mu.Lock()
	w, ok := u.waiters[ipv4.FlowKey{Caller: r.Caller, Service: r.Service}]
	ok = ok && !w.started
	if ok {
		w.started = true
	}
	u.mu.Unlock()
	if !ok {
		r.Ignore()
		return
	}
	c, err := r.Accept()
	w.accepted <- acceptResult{conn: c, err: err}
}

func newConn(c *tcpstack.Conn) *Conn {
	return &Conn{Conn: c, CopyTo: c.CopyTo, CloseWrite: c.CloseWrite, Abort: c.Abort, Ended: c.Ended}
}
