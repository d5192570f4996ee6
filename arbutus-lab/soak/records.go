package soak

import (
	"fmt"
	"sync"
	"time"
)

// settleTime is how long after its end a fault may still affect requests: detecting a dead
// member takes a second, and TCP's retransmission timeout doubles each time.
const settleTime = 5 * time.Second

type (
	// records collects requests, events, runs and violations during a soak. It is safe for
	// concurrent use.
	records struct {
		start time.Time

		mu       sync.Mutex
		requests []request
		events   []*timedEvent
		// runsByRequest is how often each backend server ran a request, by request ID and server name.
		runsByRequest map[string]map[string]int
		violations    []string
		recovered     bool
	}

	// timedEvent is an event with the times at which it began and ended. A zero to means it
	// is still active.
	timedEvent struct {
		Event
		from, to time.Time
	}
)

func newRecords() *records { return &records{runsByRequest: make(map[string]map[string]int)} }

func (r *records) recordRequest(q request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, q)
}

// recordEvent records the start of the event. The returned function records its end.
func (r *records) recordEvent(e Event) (done func()) {
	entry := &timedEvent{Event: e, from: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, entry)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		entry.to = time.Now()
	}
}

// recordRuns records how often a backend server ran each request. Later counts of the same
// run of a server include the earlier ones, so the highest count is kept.
func (r *records) recordRuns(server string, ran map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, n := range ran {
		byServer := r.runsByRequest[id]
		if byServer == nil {
			byServer = make(map[string]int)
			r.runsByRequest[id] = byServer
		}
		byServer[server] = max(byServer[server], n)
	}
}

func (r *records) recordRecovery(recovered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recovered = recovered
}

func (r *records) addViolationf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// allAnsweredSince reports whether at least one request was sent after since and has
// ended, and all such requests were answered.
func (r *records) allAnsweredSince(since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, q := range r.requests {
		if q.start.Before(since) {
			continue
		}
		if q.outcome != answered {
			return false
		}
		n++
	}
	return n > 0
}

// faultActiveBetween reports whether an unplanned fault was active between the times.
func (r *records) faultActiveBetween(from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faultActive(from, to)
}

// faultActive is like faultActiveBetween. mu must be held.
func (r *records) faultActive(from, to time.Time) bool {
	for _, e := range r.events {
		if e.Planned || e.from.After(to) {
			continue
		}
		if e.to.IsZero() || !e.to.Before(from) {
			return true
		}
	}
	return false
}
