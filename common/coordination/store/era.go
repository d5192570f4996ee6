package store

import (
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// eraHeader is the response header with the store's era.
	eraHeader = "Store-Era"
	// settleTime is how long after a restore a key may be missing that its author writes
	// again. The platform states about two seconds.
	settleTime = 2500 * time.Millisecond
)

// ErrFormerEra means that a response was sent before the store was restored, but arrived after
// a response of the restored store. What it says no longer holds. It is wrapped: test for it
// with errors.Is.
var ErrFormerEra = errors.New("the store has been restored since it sent the response")

type (
	// Eras tracks the era of the store. A new era begins when the store is restored from a
	// backup: writes and leases since the backup are lost, and the store assigns their
	// versions and IDs again. Versions and leases can therefore only be compared within one
	// era. A nil Eras stands for a store that is never restored. It is safe for concurrent
	// use.
	Eras struct {
		settle time.Duration
		now    func() time.Time

		mu      sync.Mutex
		current uint64
		// seenAt is when the first response of the current era arrived; zero if none
		// has yet.
		seenAt time.Time
	}

	// EraOption changes how an Eras is built.
	EraOption func(*Eras)
)

// WithSettleTime replaces the time after which an era has settled.
func WithSettleTime(d time.Duration) EraOption { return func(e *Eras) { e.settle = d } }

// NewEras returns an Eras that has seen no response yet.
func NewEras(opts ...EraOption) *Eras {
	e := &Eras{settle: settleTime, now: time.Now}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// EraOf returns the era in a response's header, or 0 if it has none.
func EraOf(h http.Header) uint64 {
	era, err := strconv.ParseUint(h.Get(eraHeader), 10, 64)
	if err != nil {
		return 0
	}
	return era
}

// Observe records the era of a response that has just arrived. It returns ErrFormerEra if a
// response of a later era arrived before. A response without an era, which is given as 0,
// counts as one of the current era.
func (e *Eras) Observe(era uint64) error {
	if e == nil {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if era == 0 {
		era = e.current
	}
	switch {
	case era < e.current:
		return ErrFormerEra
	case era > e.current || e.seenAt.IsZero():
		e.current, e.seenAt = era, e.now()
	}
	return nil
}

// Current returns the latest era of which a response has arrived, or 0 if there is none.
func (e *Eras) Current() uint64 {
	if e == nil {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// UntilSettled returns how long it takes until the current era has settled: what its authors
// write again after a restore is then complete, so a key that is missing has been removed. It
// is 0 if the era has settled. An era has never settled before the first response.
func (e *Eras) UntilSettled() time.Duration {
	if e == nil {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.seenAt.IsZero() {
		return e.settle
	}
	return max(e.settle-e.now().Sub(e.seenAt), 0)
}
