// Package unclaimed records unclaimed flows: flows whose packets arrive although no agent
// is known to hold them. It determines when such a flow may be reset.
//
// A search for the flow's holder begins with an unclaimed packet and goes on while the caller
// repeats it. The packets of a flow that was found elsewhere in the meantime, and is unclaimed
// again later, are another search.
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
	// retransmitInterval is the longest interval between the retransmissions of a caller that
	// bounds it. Other callers double it with each retransmission.
	retransmitInterval = 1600 * time.Millisecond

	// maxDelay is how much later than another one a packet may be returned as unclaimed. The
	// agents pass it on one after the other.
	maxDelay = 400 * time.Millisecond

	// maxFlows bounds the memory of a Set. Flows beyond it are not recorded, so MayReset
	// is true for them only with a reset delay of 0.
	maxFlows = 1 << 16
)

type (
	// Set records unclaimed flows with the time of their search's first packet. It is safe for
	// concurrent use.
	Set struct {
		mu       sync.Mutex
		searches map[ipv4.FlowKey]search
	}

	// First describes the first packet of the search for an unclaimed flow's holder.
	First struct {
		// At is when it arrived, or until when the flow was postponed.
		At time.Time
		// Absent are the agents that may have held the flow then and could not be asked.
		Absent []string
	}

	// search is what is known of the packets of a search: the first, when the last one
	// arrived, and the longest pause between two.
	search struct {
		first        First
		lastAt       time.Time
		longestPause time.Duration
	}
)

// New returns an empty set.
func New() *Set { return &Set{searches: make(map[ipv4.FlowKey]search)} }

// hasEnded reports whether a packet that arrives now begins another search: a caller that still
// waits for the search would have retransmitted its packet earlier.
func (s search) hasEnded(now time.Time) bool {
	return now.Sub(s.lastAt) > max(retransmitInterval, 2*s.longestPause)+maxDelay
}

// Record records a packet of an unclaimed flow, and returns what is known of the first one of
// its search. The function absent is called for that only.
func (s *Set) Record(key ipv4.FlowKey, now time.Time, absent func() []string) First {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, known := s.searches[key]
	if known && !found.hasEnded(now) {
		found.longestPause = max(found.longestPause, now.Sub(found.lastAt))
		found.lastAt = now
		s.searches[key] = found
		return found.first
	}
	found = search{first: First{At: now, Absent: absent()}, lastAt: now}
	if known || len(s.searches) < maxFlows {
		s.searches[key] = found
	}
	return found.first
}

// Postpone makes the time for which the flow is unclaimed start at now.
func (s *Set) Postpone(key ipv4.FlowKey, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if found, known := s.searches[key]; known {
		found.first.At = now
		s.searches[key] = found
	}
}

// MayReset records a packet of an unclaimed flow and reports whether the flow has been
// unclaimed for at least resetDelay in this search, so that the caller may be sent a RST.
func (s *Set) MayReset(key ipv4.FlowKey, now time.Time, resetDelay time.Duration) bool {
	return now.Sub(s.Record(key, now, func() []string { return nil }).At) >= resetDelay
}

// Remove removes the flow, because its holder has become known.
func (s *Set) Remove(key ipv4.FlowKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.searches, key)
}

// Expire removes the searches that have ended. It is to be called regularly.
func (s *Set) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, found := range s.searches {
		if found.hasEnded(now) {
			delete(s.searches, key)
		}
	}
}
