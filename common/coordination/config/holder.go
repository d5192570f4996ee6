package config

import (
	"sync"
	"time"
)

const (
	// announcementLifetime is how long a later revision is taken to exist after its last announcement. A
	// process that has it in force announces it several times a second.
	announcementLifetime = 4 * time.Second
	// maxBehind is how long a process counts as behind a revision at most: it can't be had any more if,
	// for example, the store was restored to an earlier one and only agents still have it.
	maxBehind = 10 * time.Second
)

// RevisionHolder holds the revision that is in force in a process. Its order only
// ever increases. It is safe for concurrent use.
type RevisionHolder struct {
	mu      sync.Mutex
	current *Revision
	changed chan struct{}
	// confirmedAt is the latest time at which the store is known to have had no later
	// revision than current; zero if that has never been confirmed.
	confirmedAt time.Time
	// announced is the latest order that another process or the store has announced, first and last
	// at these times.
	announced        Order
	firstAnnouncedAt time.Time
	announcedAt      time.Time
}

// NewRevisionHolder returns a RevisionHolder without a revision in force.
func NewRevisionHolder() *RevisionHolder { return &RevisionHolder{changed: make(chan struct{})} }

// Current returns the revision in force, or nil if there is none.
func (h *RevisionHolder) Current() *Revision {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

// Changed returns a channel that is closed when the next revision is adopted.
func (h *RevisionHolder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Adopt puts r in force if it comes after the current revision, and reports whether it did.
func (h *RevisionHolder) Adopt(r *Revision) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.current.Order().Before(r.Order()) {
		return false
	}
	h.current = r
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// Confirm records that the given revision was the store's latest at that time. It is
// ignored if another revision is in force here, or if a later confirmation is known.
func (h *RevisionHolder) Confirm(revision Order, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if revision == h.current.Order() && at.After(h.confirmedAt) {
		h.confirmedAt = at
	}
}

// Announce records that a revision of the given order exists elsewhere, and reports whether that comes
// after the one in force.
func (h *RevisionHolder) Announce(revision Order, at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !revision.Before(h.announced) || at.Sub(h.announcedAt) >= announcementLifetime {
		if revision != h.announced {
			h.firstAnnouncedAt = at
		}
		h.announced, h.announcedAt = revision, at
	}
	return h.current.Order().Before(revision)
}

// LaterExists reports whether a later revision than the one in force has been announced within
// announcementLifetime.
func (h *RevisionHolder) LaterExists(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.laterExists(now)
}

// Behind reports whether the revision in force is no evidence, as a later one exists and may soon be in
// force here. That ends maxBehind after its first announcement.
func (h *RevisionHolder) Behind(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.laterExists(now) && now.Sub(h.firstAnnouncedAt) < maxBehind
}

// laterExists is LaterExists with h.mu held.
func (h *RevisionHolder) laterExists(now time.Time) bool {
	return h.current.Order().Before(h.announced) && now.Sub(h.announcedAt) < announcementLifetime
}

// ConfirmedAt returns when the store was last known to have no later revision than the one in force;
// zero if that has never been confirmed.
func (h *RevisionHolder) ConfirmedAt() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.confirmedAt
}

// Age returns how long ago the store was last known to have no later revision than the
// one in force. The second result is false if that has never been confirmed.
func (h *RevisionHolder) Age(now time.Time) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.confirmedAt), !h.confirmedAt.IsZero()
}
