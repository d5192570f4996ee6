// Package proxy relays connections and datagrams on loopback and injects link faults: delay,
// resets, loss, and partitions in one or both directions.
//
// # Usage
//
//	l, err := proxy.ListenTCP(listen, target)
//	done := l.Run(ctx)
//	l.SetFault(proxy.Fault{Delay: 50 * time.Millisecond})
//	l.SetFault(proxy.Fault{})
package proxy

import (
	"sync"
	"time"
)

type (
	// Fault is a fault that a proxy injects into the link it relays. The zero Fault injects none.
	Fault struct {
		// Delay is added in each direction that is relayed.
		Delay time.Duration
		// Reset resets open and new connections. It drops datagrams.
		Reset bool
		// DropToTarget drops what is sent to the target, DropFromTarget what comes from it.
		// Both together partition the link. A TCP proxy holds back the bytes instead.
		DropToTarget   bool
		DropFromTarget bool
		// Loss is the share of datagrams that are dropped, from 0 to 1. It has no effect on TCP.
		Loss float64
	}

	// faultState holds the current fault, and a channel that is closed when it changes. It is
	// safe for concurrent use.
	faultState struct {
		mu      sync.Mutex
		current Fault
		changed chan struct{}
	}
)

func newFaultState() *faultState { return &faultState{changed: make(chan struct{})} }

func (s *faultState) set(next Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = next
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *faultState) get() (Fault, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current, s.changed
}
