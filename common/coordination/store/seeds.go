package store

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// seedsInterval is the interval at which the store is queried for registered balancers
// while a process is not connected to any. The first call of Addresses starts a query at
// once, because the configured seeds may be the last balancers to come back up. A process
// that knows balancers queries at seedsConnectedInterval, only to find others that it was
// cut off from.
const (
	seedsInterval          = 2 * time.Second
	seedsConnectedInterval = 20 * time.Second
)

// Seeds provides the addresses at which a process can find balancers: those from its
// settings, which may be stale, and those that are registered in the store. It is safe for
// concurrent use.
type Seeds struct {
	client     *Client
	configured []netip.AddrPort
	log        log.Logger
	now        func() time.Time
	// onFound is called when a query has returned registered balancers.
	onFound func()

	mu         sync.Mutex
	querying   bool
	queriedAt  time.Time
	registered []netip.AddrPort
}

// NewSeeds returns the seeds of a process whose settings contain the given addresses. It
// doesn't query the store yet.
func NewSeeds(client *Client, configured []netip.AddrPort, l log.Logger) *Seeds {
	return &Seeds{client: client, configured: configured, log: l, now: time.Now, onFound: func() {}}
}

// SetOnFound sets the function that is called when a query of the store has returned
// registered balancers.
func (s *Seeds) SetOnFound(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onFound = f
}

// SetConfigured replaces the addresses from the settings.
func (s *Seeds) SetConfigured(configured []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configured = configured
}

// Addresses returns the known addresses, for a process that is not connected to any
// balancer. It doesn't block: it starts a query of the store if one is due, whose result is
// included in later calls.
func (s *Seeds) Addresses() []netip.AddrPort { return s.addresses(seedsInterval) }

// AddressesWhileConnected is like Addresses, but for a process that knows balancers: it
// queries the store less often.
func (s *Seeds) AddressesWhileConnected() []netip.AddrPort {
	return s.addresses(seedsConnectedInterval)
}

func (s *Seeds) addresses(interval time.Duration) []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.now(); !s.querying && now.Sub(s.queriedAt) >= interval {
		s.querying, s.queriedAt = true, now
		go s.query()
	}
	return append(slices.Clone(s.configured), s.registered...)
}

// query reads the registered balancers from the store. If that fails, the previous result
// remains in use.
func (s *Seeds) query() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	registered, odd, err := Registered(ctx, s.client)
	if err != nil {
		_ = level.Warn(s.log).Log("event", "seeds_failed", "err", err)
	}
	if len(odd) > 0 {
		_ = level.Warn(s.log).Log("event", "registrations_unreadable", "count", len(odd), "first", odd[0])
	}
	s.mu.Lock()
	s.querying = false
	if err == nil {
		s.registered = registered
	}
	onFound := s.onFound
	s.mu.Unlock()
	if len(registered) > 0 {
		onFound()
	}
}
