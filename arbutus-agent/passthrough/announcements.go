package passthrough

import (
	"math"
	"time"

	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
)

const (
	// maxFirstSequence is the highest sequence number that the first announcement received
	// from a run may have for the run to count as started after the agent. A backend server
	// repeats its announcement at once while no agent accepts it.
	maxFirstSequence = 6

	// MaxSlots bounds the slots that a backend server may announce. Products with more
	// overflow.
	MaxSlots = 1 << 20
	// MaxColdFor bounds the remaining warm-up time that a backend server may announce.
	MaxColdFor = 24 * time.Hour
	// maxIDBytes bounds the ID of a backend server, which log lines contain.
	maxIDBytes = 256
	// maxSequence is the highest sequence number that an announcement may have: a backend
	// server may count from any time in nanoseconds.
	maxSequence = math.MaxInt64
	// maxClockError is how far the VM's clock may be behind when it is compared with the
	// start of a backend server on the same VM. The clock may jump by seconds.
	maxClockError = time.Minute
	// The order of announcements restarts at another run, or at a lower sequence number,
	// after restartAnnouncements of that run in a row, which span at least restartTime. The
	// time is longer than the interval between announcements, so those of a live run
	// prevent it.
	restartAnnouncements = 3
	restartTime          = 2 * time.Second
)

// Reasons why an announcement is not applied.
const (
	// Stale: it is of an earlier run, or a later one of the same run has been applied.
	Stale Rejection = "stale"
	// OutOfOrder: it orders so far ahead of what a backend server can announce that those
	// of the backend server itself would be ignored from then on.
	OutOfOrder Rejection = "out_of_order"
	// OutOfRange: a number or the ID exceeds its bounds.
	OutOfRange Rejection = "out_of_range"
	// Unreadable: it can't be decoded or lacks a field.
	Unreadable Rejection = "unreadable"
	// OfOther: it names another service or address.
	OfOther Rejection = "of_other"
)

type (
	// Announcement is a backend server's report of its own state.
	Announcement struct {
		// ID names the backend server. A later run may have the same ID or another one.
		ID string
		// StartedUnixMillis is when this run of the backend server began, as a Unix time in
		// milliseconds; 0 if unknown.
		StartedUnixMillis int64
		// Sequence increases with each announcement of a run.
		Sequence uint64
		Draining bool
		// ColdFor is the remaining warm-up time, during which the backend server is slow.
		ColdFor time.Duration
		// Slots is the number of requests that the backend server runs concurrently.
		Slots int
	}

	// Rejection is the reason why an announcement is not applied.
	Rejection string

	// ignoredRun is the run of which announcements were ignored since the last one that was
	// applied: the latest of them, how many came in a row with increasing sequence numbers,
	// and since when.
	ignoredRun struct {
		last  Announcement
		count int
		since time.Time
	}
)

// isSameRun reports whether both announcements are of the same run of a backend server.
func (a Announcement) isSameRun(b Announcement) bool {
	return a.ID == b.ID && a.StartedUnixMillis == b.StartedUnixMillis
}

// isInRange reports whether the ID and the numbers are within their bounds.
func (a Announcement) isInRange() bool {
	return len(a.ID) <= maxIDBytes && a.StartedUnixMillis >= 0 &&
		a.Slots >= 0 && a.Slots <= MaxSlots && a.ColdFor >= 0 && a.ColdFor <= MaxColdFor
}

// confirms records another ignored announcement, and reports whether it and the ones before are
// enough for the order of announcements to restart at it.
func (r *ignoredRun) confirms(a Announcement, now time.Time) bool {
	if r.count == 0 || !a.isSameRun(r.last) || a.Sequence <= r.last.Sequence {
		*r = ignoredRun{since: now}
	}
	r.last = a
	r.count++
	return r.count >= restartAnnouncements && now.Sub(r.since) >= restartTime
}

// Announce applies the announcement, and reports whether it did: one that is stale, out of
// range or out of order is rejected. After an applied one the backend server no longer counts
// as withdrawn or dead.
//
// Anyone who reaches the agent may send an announcement in the backend server's name. One that
// orders after all true ones must not shut these out for good. If the announcements of another
// run, or with lower sequence numbers, keep coming while those in force have stopped, the order
// therefore restarts with them.
func (s *Server) Announce(a Announcement) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	rejection := s.rejection(a, now)
	if rejection != "" && (rejection == OutOfRange || !s.ignored.confirms(a, now)) {
		s.Reject(rejection)
		_ = level.Info(s.log).Log(
			"event", "announcement_ignored", "reason", rejection, "id", a.ID[:min(len(a.ID), maxIDBytes)],
			"sequence", a.Sequence, "born", a.StartedUnixMillis,
		)
		return false
	}
	s.ignored = ignoredRun{}
	if !s.known || !a.isSameRun(s.announced) {
		s.predates = s.mayPredate(a)
		s.logChange("server_started", a)
	} else if a.Draining != s.announced.Draining || s.withdrawn || s.dead || rejection != "" {
		s.logChange("server_changed", a)
	}
	s.known, s.withdrawn, s.dead = true, false, false
	s.announced, s.announcedAt = a, now
	s.silence.probes = 0
	s.coldUntil, s.coldUnknown = now.Add(a.ColdFor), false
	return true
}

// Reject counts an announcement that was rejected before it reached the record.
func (s *Server) Reject(reason Rejection) { s.rejected(reason).Inc(1) }

// rejection returns the reason why the announcement is not applied, or an empty string. s.mu
// must be held.
func (s *Server) rejection(a Announcement, now time.Time) Rejection {
	switch {
	case !a.isInRange():
		return OutOfRange
	case a.Sequence > maxSequence || a.StartedUnixMillis > now.Add(maxClockError).UnixMilli():
		return OutOfOrder
	case s.known && s.isStale(a):
		return Stale
	default:
		return ""
	}
}

// mayPredate reports whether a run of the backend server may have started before the agent, and
// so may hold flows that an earlier incarnation of the agent delivered. Neither a low sequence
// number nor a recent start rules that out: an agent may be restarted within the backend
// server's first second, and the clock may jump. s.mu must be held.
func (s *Server) mayPredate(a Announcement) bool {
	return !s.foundAbsent || a.Sequence > maxFirstSequence
}

// isStale reports whether the announcement is from an earlier run than the last applied one,
// lacks the start of its run although that one states it, or is not newer than that one of the
// same run. s.mu must be held.
func (s *Server) isStale(a Announcement) bool {
	if a.StartedUnixMillis != s.announced.StartedUnixMillis {
		return a.StartedUnixMillis < s.announced.StartedUnixMillis
	}
	return a.ID == s.announced.ID && a.Sequence <= s.announced.Sequence
}

func (s *Server) logChange(event string, a Announcement) {
	_ = level.Info(s.log).Log(
		"event", event, "id", a.ID, "born", a.StartedUnixMillis, "sequence", a.Sequence, "draining", a.Draining,
		"cold", a.ColdFor, "predates_agent", s.predates,
	)
}

// Withdraw records that the backend server with the ID has announced its end. It is ignored
// if the last announcement had another ID.
func (s *Server) Withdraw(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.known || id != s.announced.ID {
		return
	}
	s.withdrawn = true
	s.logChange("server_withdrawn", s.announced)
}

// rejectionCounter returns a function that returns the counter of announcements rejected for a
// reason.
func rejectionCounter(s tally.Scope) func(Rejection) tally.Counter {
	counters := make(map[Rejection]tally.Counter)
	for _, r := range []Rejection{Stale, OutOfOrder, OutOfRange, Unreadable, OfOther} {
		counters[r] = s.Tagged(map[string]string{"reason": string(r)}).Counter("announcements_rejected")
	}
	return func(r Rejection) tally.Counter { return counters[r] }
}
