// Package fabric is a stand-in for the network in front of the balancers: it sprays
// callers' packets at random over the ready balancers, and delivers agents' packets to
// the callers.
//
// # Usage
//
//	f := fabric.New(entry, returnSocket, client, fabric.WithSeed(1))
//	f.SetBalancers(balancers)
//	done := f.Run(ctx)
//
// A packet to a caller goes to the UDP address from which the caller's last packet came.
package fabric

import (
	"context"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/transport/datagram"
	"arbutusfront.dev/common/transport/wait"
)

const (
	probeInterval = 200 * time.Millisecond
	probeTimeout  = 150 * time.Millisecond
	// maxProbeFailures is the number of consecutive probes without a response after which
	// a balancer is not ready.
	maxProbeFailures = 2
	readyPath        = "/readyz"
)

type (
	// Balancer holds the addresses of one balancer.
	Balancer struct {
		// Packets is the UDP address for callers' packets.
		Packets netip.AddrPort `json:"packets"`
		// Control is the HTTP address of the readiness probe, as "address:port".
		Control string `json:"control"`
	}

	// Fabric is the stand-in.
	Fabric struct {
		entry        *datagram.Socket
		returnSocket *datagram.Socket
		client       *http.Client

		// random selects balancers. Only the goroutine that reads entry uses it.
		random *rand.Rand
		delay  time.Duration
		// readyAddresses holds the packet addresses of the balancers that were ready in the last
		// round of probes.
		readyAddresses atomic.Pointer[[]netip.AddrPort]

		// mu guards balancers and callers.
		mu        sync.Mutex
		balancers []Balancer
		// probeFailures counts consecutive failed probes by control address. Only the
		// goroutine that probes uses it.
		probeFailures map[string]int
		// callers holds the UDP address from which each caller's last packet came.
		callers map[netip.Addr]netip.AddrPort
	}

	// Option changes how a Fabric is built.
	Option func(*Fabric)
)

// WithSeed sets the seed of the random choice of balancers; the default is 1.
func WithSeed(seed uint64) Option {
	return func(f *Fabric) { f.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithDelay sets how long packets take between callers and the fabric, in each
// direction.
func WithDelay(d time.Duration) Option { return func(f *Fabric) { f.delay = d } }

// New returns a fabric that receives callers' packets on entry and agents' packets on
// returnSocket. It probes the balancers with the client.
func New(entry, returnSocket *datagram.Socket, client *http.Client, opts ...Option) *Fabric {
	f := &Fabric{
		entry:         entry,
		returnSocket:  returnSocket,
		client:        client,
		random:        rand.New(rand.NewPCG(1, 1)),
		probeFailures: make(map[string]int),
		callers:       make(map[netip.Addr]netip.AddrPort),
	}
	f.readyAddresses.Store(new([]netip.AddrPort))
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// SetBalancers replaces the list of balancers, which takes effect at the next round of
// probes.
func (f *Fabric) SetBalancers(balancers []Balancer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = balancers
}

// ReadyCount returns the number of balancers that are ready.
func (f *Fabric) ReadyCount() int { return len(*f.readyAddresses.Load()) }

// Run forwards packets and probes balancers until ctx is canceled, then sends its error,
// or nil, on the channel. It closes both sockets.
func (f *Fabric) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	ended := make(chan error, 2)
	probesEnded := make(chan struct{})
	context.AfterFunc(ctx, func() {
		_ = f.entry.Close()
		_ = f.returnSocket.Close()
	})
	go func() {
		defer close(probesEnded)
		f.probe(ctx)
	}()
	go func() { ended <- f.entry.Serve(f.spray) }()
	go func() { ended <- f.returnSocket.Serve(f.deliver) }()
	go func() {
		err := errors.Join(<-ended, <-ended)
		<-probesEnded
		done <- err
	}()
	return done
}

// spray records the caller's address and forwards its packet to a random ready balancer.
// The packet is dropped if none is ready. One that is too short for its headers is ignored.
func (f *Fabric) spray(m *datagram.Message) {
	if m.N < ipv4.MinPacketBytes {
		return
	}
	source := netip.AddrFrom4([4]byte(m.Bytes()[12:16]))
	f.mu.Lock()
	f.callers[source] = m.Peer
	f.mu.Unlock()
	ready := *f.readyAddresses.Load()
	if len(ready) == 0 {
		return
	}
	f.send(m, ready[f.random.IntN(len(ready))])
}

// deliver forwards an agent's packet to the caller that is its destination. Truncated
// packets, and those to unknown callers, are dropped.
func (f *Fabric) deliver(m *datagram.Message) {
	if m.N < ipv4.MinPacketBytes || int(binary.BigEndian.Uint16(m.Bytes()[2:])) > m.N {
		return
	}
	f.mu.Lock()
	to, ok := f.callers[netip.AddrFrom4([4]byte(m.Bytes()[16:20]))]
	f.mu.Unlock()
	if ok {
		f.send(m, to)
	}
}

// send forwards the packet after the delay. Errors are ignored, as the network may lose
// packets.
func (f *Fabric) send(m *datagram.Message, to netip.AddrPort) {
	if f.delay == 0 {
		_ = f.entry.Write(m.Bytes(), to)
		return
	}
	b := append([]byte(nil), m.Bytes()...)
	time.AfterFunc(f.delay, func() { _ = f.entry.Write(b, to) })
}

// probe probes all balancers in rounds, with a pause of probeInterval between rounds, until
// ctx is canceled.
func (f *Fabric) probe(ctx context.Context) {
	for {
		f.mu.Lock()
		balancers := f.balancers
		f.mu.Unlock()
		ready := make([]netip.AddrPort, 0, len(balancers))
		for _, b := range balancers {
			if f.probeReady(ctx, b) {
				ready = append(ready, b.Packets)
			}
		}
		f.readyAddresses.Store(&ready)
		if !wait.For(ctx, probeInterval) {
			return
		}
	}
}

// probeReady probes a balancer, counts failures, and reports whether it is ready. A balancer that responds
// with a status other than 200 gets no more packets at once; one that doesn't respond gets
// none after maxProbeFailures probes.
func (f *Fabric) probeReady(ctx context.Context, b Balancer) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.Control+readyPath, nil)
	if err != nil {
		return false
	}
	resp, err := f.client.Do(r)
	if err == nil {
		_ = resp.Body.Close()
		f.probeFailures[b.Control] = 0
		if resp.StatusCode != http.StatusOK {
			f.probeFailures[b.Control] = maxProbeFailures
		}
	} else {
		f.probeFailures[b.Control]++
	}
	return f.probeFailures[b.Control] < maxProbeFailures
}
