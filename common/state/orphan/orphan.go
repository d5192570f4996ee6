// Package orphan remembers flows that packets came of and nobody was found to
// hold.
//
// # Usage
//
//	s := orphan.New()
//	if s.MayReset(key, now, orphan.Patience) { reset() }
package orphan

import (
	"sync"
	"time"

	"arbutusfront.dev/common/protocol/ipv4"
)

const (
	// Patience is how long packets of a flow that nobody holds are dropped before
	// they are answered by a RST. Until then, an agent that holds it may only be
	// unknown here as yet.
	Patience = 1500 * time.Millisecond
	// lifetime is how long such a flow is remembered.
	lifetime = 2 * time.Minute

	maxFlows = 1 << 16
)

// Set holds flows without a holder. Its methods may be called by several
// goroutines.
type Set struct {
	mu    sync.Mutex
	since map[ipv4.FlowKey]time.Time
}

// New returns an empty set.
func New() *Set { return &Set{since: make(map[ipv4.FlowKey]time.Time)} }

// MayReset notes a packet and reports whether the flow has been without a holder
// for as long as patience.
func (s *Set) MayReset(key ipv4.FlowKey, now time.Time, patience time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	since, known := s.since[key]
	if !known {
		if len(s.since) < maxFlows {
			s.since[key] = now
		}
		return patience == 0
	}
	return now.Sub(since) >= patience
}

// Found notes that the flow has a holder.
func (s *Set) Found(key ipv4.FlowKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.since, key)
}

// Expire forgets flows that packets came of long ago.
func (s *Set) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, since := range s.since {
		if now.Sub(since) > lifetime {
			delete(s.since, key)
		}
	}
}
