// Package unclaimed records unclaimed flows: flows whose packets arrive although no agent
// is known to hold them. It determines when such a flow may be reset.
//
// # Usage
//
//	s := unclaimed.New()
//	if s.MayReset(key, now, ending.ResetDelay) { reset() }
package unclaimed

import (
	"sync"
	"time"

	"arbutusfront.dev/common/protocol/ipv4"
)

const (
	// lifetime is how long an unclaimed flow is recorded after its first packet.
	lifetime = 2 * time.Minute

	// maxFlows bounds the memory of a Set. Flows beyond it are not recorded, so MayReset
	// is true for them only with a reset delay of 0.
	maxFlows = 1 << 16
)

type (
	// Set records unclaimed flows with the time of their first packet. It is safe for
	// concurrent use.
	Set struct {
		mu    sync.Mutex
		first map[ipv4.FlowKey]First
	}

	// First describes the first packet of an unclaimed flow.
	First struct {
		// At is when it arrived, or until when the flow was postponed.
		At time.Time
		// Absent are the agents that may have held the flow then and could not be asked.
		Absent []string
	}
)

// New returns an empty set.
func New() *Set { return &Set{first: make(map[ipv4.FlowKey]First)} }

// Record records a packet of an unclaimed flow, and returns what is known of the flow's first one.
// The function absent is called for that only.
func (s *Set) Record(key ipv4.FlowKey, now time.Time, absent func() []string) First {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, known := s.first[key]
	if !known {
		f = First{At: now, Absent: absent()}
		if len(s.first) < maxFlows {
			s.first[key] = f
		}
	}
	return f
}

// Postpone makes the time for which the flow is unclaimed start at now.
func (s *Set) Postpone(key ipv4.FlowKey, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f, known := s.first[key]; known {
		f.At = now
		s.first[key] = f
	}
}

// MayReset records a packet of an unclaimed flow and reports whether the flow has been
// unclaimed for at least resetDelay, so that the caller may be sent a RST.
func (s *Set) MayReset(key ipv4.FlowKey, now time.Time, resetDelay time.Duration) bool {
	return now.Sub(s.Record(key, now, func() []string { return nil }).At) >= resetDelay
}

// Remove removes the flow, because its holder has become known.
func (s *Set) Remove(key ipv4.FlowKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.first, key)
}

// Expire removes flows that were recorded more than lifetime ago. It is to be called
// regularly.
func (s *Set) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, f := range s.first {
		if now.Sub(f.At) > lifetime {
			delete(s.first, key)
		}
	}
}
