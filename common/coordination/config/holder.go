package config

import (
	"sync"
	"time"
)

// Holder holds the revision that a process has in force. It never goes back.
type Holder struct {
	mu      sync.Mutex
	current *Revision
	changed chan struct{}
	// confirmed is when the store was last known to have no later revision.
	confirmed time.Time
}

// NewHolder returns a holder without a revision.
func NewHolder() *Holder { return &Holder{changed: make(chan struct{})} }

// Current returns the revision in force, or nil.
func (h *Holder) Current() *Revision {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

// Changed returns a channel that is closed when another revision is adopted.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Adopt puts r in force if it is higher than the current revision, and reports
// whether it did.
func (h *Holder) Adopt(r *Revision) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.Number() <= h.current.Number() {
		return false
	}
	h.current = r
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// Confirm notes that the store had no later revision than the given one at that
// time. It says nothing about this process if that has another one in force.
func (h *Holder) Confirm(revision uint64, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if revision == h.current.Number() && at.After(h.confirmed) {
		h.confirmed = at
	}
}

// Age returns how long ago the store was last known to have no later revision, and
// whether it ever was.
func (h *Holder) Age(now time.Time) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.confirmed), !h.confirmed.IsZero()
}
