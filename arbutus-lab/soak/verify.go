package soak

import (
	"fmt"
	"time"
)

// maxListed bounds how many violations of one invariant are listed.
const maxListed = 5

// verify checks the records against the invariants, and returns the complete report.
func (h *harness) verify() *Report {
	r := h.records.verify()
	r.Seed, r.PassThrough = h.opts.Seed, h.opts.PassThrough
	return r
}

// verify checks the records against the invariants. It leaves the report's seed and mode
// unset.
func (r *records) verify() *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &Report{Violations: r.violations}
	for _, check := range []func(request) string{r.checkAnswer, r.checkNotRun, r.checkUnbroken} {
		found := 0
		for _, q := range r.requests {
			if v := check(q); v != "" {
				if found++; found <= maxListed {
					out.Violations = append(out.Violations, v)
				}
			}
		}
		if found > maxListed {
			out.Violations = append(out.Violations, fmt.Sprintf("and %d more of this kind", found-maxListed))
		}
	}
	out.Violations = append(out.Violations, r.checkRanOnce()...)
	if !r.recovered {
		out.Violations = append(out.Violations, fmt.Sprintf("service was not back %s after the last fault", recoveryTimeout))
	}
	r.fillTimeline(out)
	return out
}

// checkAnswer checks that a request got its own answer, in full. Like the other checks it
// returns a description of the violation, or "" if there is none.
func (r *records) checkAnswer(q request) string {
	if q.outcome != wrong {
		return ""
	}
	return fmt.Sprintf("%s at %s by %v got a wrong answer: %v", q.id, r.sinceStart(q.start), q.callers, q.err)
}

// checkNotRun checks that a refused request did not run.
func (r *records) checkNotRun(q request) string {
	if q.outcome != refused || len(r.runsByRequest[q.id]) == 0 {
		return ""
	}
	return fmt.Sprintf("%s at %s was refused, and ran at %v", q.id, r.sinceStart(q.start), r.runsByRequest[q.id])
}

// checkUnbroken checks that a request is not broken if no unplanned fault could affect it.
func (r *records) checkUnbroken(q request) string {
	if q.outcome != broken || r.faultActive(q.start.Add(-settleTime), q.end) {
		return ""
	}
	return fmt.Sprintf("%s at %s by %v broke after %s without a fault: %v",
		q.id, r.sinceStart(q.start), q.callers, q.end.Sub(q.start).Round(time.Millisecond), q.err)
}

// checkRanOnce checks that each request ran at most once, counted over all backend
// servers. It returns at most maxListed violations.
func (r *records) checkRanOnce() []string {
	var out []string
	callers := make(map[string][]string)
	for _, q := range r.requests {
		callers[q.id] = q.callers
	}
	for id, byServer := range r.runsByRequest {
		n := 0
		for _, times := range byServer {
			n += times
		}
		if n > 1 && len(out) < maxListed {
			out = append(out, fmt.Sprintf("%s ran %d times, at %v, sent by %v", id, n, byServer, callers[id]))
		}
	}
	return out
}

// sinceStart formats a time as the time since the start of the load.
func (r *records) sinceStart(t time.Time) string {
	return t.Sub(r.start).Round(time.Millisecond).String()
}
