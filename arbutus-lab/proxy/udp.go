package proxy

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"arbutusfront.dev/common/transport/datagram"
)

// UDP relays datagrams to the target. It relays no responses: it is for links whose return
// traffic takes another path.
type UDP struct {
	socket *datagram.Socket
	target netip.AddrPort
	faults *faultState

	mu     sync.Mutex
	random *rand.Rand
}

// ListenUDP listens on the address and returns a proxy to the target, which relays nothing
// until Run is called. The seed determines which datagrams Fault.Loss drops.
func ListenUDP(listen, target netip.AddrPort, seed uint64) (*UDP, error) {
	s, err := datagram.Listen(listen)
	if err != nil {
		return nil, err
	}
	return &UDP{socket: s, target: target, faults: newFaultState(), random: rand.New(rand.NewPCG(seed, seed))}, nil
}

// SetFault sets the fault for all further datagrams.
func (u *UDP) SetFault(f Fault) { u.faults.set(f) }

// Run relays datagrams until ctx is canceled. The channel then yields nil, or the error of a failed
// read.
func (u *UDP) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	context.AfterFunc(ctx, func() { _ = u.socket.Close() })
	go func() { done <- u.socket.Serve(func(m *datagram.Message) { u.relay(m.Bytes()) }) }()
	return done
}

func (u *UDP) relay(b []byte) {
	fault, _ := u.faults.get()
	if fault.DropToTarget || fault.Reset || fault.Loss > 0 && u.chance() < fault.Loss {
		return
	}
	if fault.Delay == 0 {
		// A datagram that can't be sent is lost, as on a real link.
		_ = u.socket.Write(b, u.target)
		return
	}
	delayed := slices.Clone(b)
	time.AfterFunc(fault.Delay, func() { _ = u.socket.Write(delayed, u.target) })
}

// chance returns a random number in [0, 1).
func (u *UDP) chance() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.random.Float64()
}
