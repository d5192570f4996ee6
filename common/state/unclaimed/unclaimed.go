// Package unclaimed records unclaimed flows: flows whose packets arrive although no agent
// is known to hold them. It determines when such a flow may be reset.
//
// # Usage
//
//	s := unclaimed.New()
//	if s.MayReset(key, now, unclaimed.ResetDelay) { reset() }
package unclaimed

import (
	"sync"
	"time"

	"arbutusfront.dev/common/protocol/ipv4"
)

const (
	// ResetDelay is how long packets of an unclaimed flow are dropped before a RST is
	// sent in response to one. Until then the flow may have a holder that this process
	// has not learned of yet.
	ResetDelay = 1500 * time.Millisecond
	// lifetime is how long an unclaimed flow is recorded after its first packet.
	lifetime = 2 * time.Minute

	// maxFlows bounds the memory of a Set. Flows beyond it are not recorded, so MayReset
	// is true for them only with a reset delay of 0.
	maxFlows = 1 << 16
)

// Set records unclaimed flows with the time of their first packet. It is safe for
// concurrent use.
type Set struct {
	mu        sync.Mutex
	firstSeen map[ipv4.FlowKey]time.Time
}

// New returns an empty set.
func New() *Set { return &Set{firstSeen: make(map[ipv4.FlowKey]time.Time)} }

// MayReset records a packet of an unclaimed flow and reports whether the flow has been
// unclaimed for at least resetDelay, so that the caller may be sent a RST.
func (s *Set) MayReset(key ipv4.FlowKey, now time.Time, resetDelay time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	since, known := s.firstSeen[key]
	if !known {
		if len(s.firstSeen) < maxFlows {
			s.firstSeen[key] = now
		}
		return resetDelay == 0
	}
	return now.Sub(since) >= resetDelay
}

// Remove removes the flow, because its holder has become known.
func (s *Set) Remove(key ipv4.FlowKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.firstSeen, key)
}

// Expire removes flows that were recorded more than lifetime ago. It is to be called
// regularly.
func (s *Set) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, since := range s.firstSeen {
		if now.Sub(since) > lifetime {
			delete(s.firstSeen, key)
		}
	}
}
