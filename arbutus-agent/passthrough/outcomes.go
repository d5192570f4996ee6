package passthrough

import (
	"time"

	"github.com/go-kit/log/level"

	"arbutusfront.dev/common/protocol/frame"
)

const (
	// outcomeWindow is how long an answer counts towards the failure ratio, in
	// outcomeBuckets buckets. Once the failures are older than that, a failing backend
	// server gets its full share of flows again.
	outcomeWindow  = 4 * time.Second
	outcomeBuckets = 4
	// minAnswers is the number of answers needed to determine a failure ratio.
	minAnswers = 8
	// failingRatio is the ratio of failed answers from which a backend server counts as
	// failing.
	failingRatio = 0.1
	// failingPenaltyRounds is how many rounds of requests are added to the load of a
	// backend server that fails all requests, so that it gets fewer flows than others, but
	// still some.
	failingPenaltyRounds = 4
)

type (
	// recentOutcomes counts the recent answers of the backend server, and how many of them
	// failed. It is not safe for concurrent use.
	recentOutcomes struct {
		buckets [outcomeBuckets]struct {
			index             int64
			answers, failures int
		}
		// failing is set while the ratio at the latest answer was at least failingRatio.
		failing bool
	}
)

func bucketIndex(now time.Time) int64 { return now.UnixNano() / int64(outcomeWindow/outcomeBuckets) }

func (o *recentOutcomes) record(now time.Time, failed bool) {
	index := bucketIndex(now)
	b := &o.buckets[index%outcomeBuckets]
	if b.index != index {
		b.index, b.answers, b.failures = index, 0, 0
	}
	b.answers++
	if failed {
		b.failures++
	}
}

// failureRatio returns the ratio of failed answers, or 0 if there are too few answers or
// the ratio is below failingRatio.
func (o *recentOutcomes) failureRatio(now time.Time) float64 {
	answers, failures := 0, 0
	for _, b := range o.buckets {
		if bucketIndex(now)-b.index < outcomeBuckets {
			answers += b.answers
			failures += b.failures
		}
	}
	if answers < minAnswers || float64(failures) < failingRatio*float64(answers) {
		return 0
	}
	return float64(failures) / float64(answers)
}

// recordAnswer records the outcome of a request, and logs when the backend server begins or
// stops to count as failing. A reset is a failure; an answer that sheds load is one only if
// the backend server has capacity left. The time that a successful answer took is learned.
// e.mu must be held.
func (e *Engine) recordAnswer(f *flow, p frame.Frame, reset bool, now time.Time) {
	failed, failure := reset, frame.NoFailure
	if e.codec.Failure != nil && !reset {
		failure = e.codec.Failure(p)
		failed = failure == frame.Failed || failure == frame.Shed && !e.hasRoundsInFlight(1)
	}
	e.queue.Answered(&f.job, !reset && failure == frame.NoFailure, now)
	e.outcomes.record(now, failed)
	if failed {
		e.metrics.failed.Inc(1)
	}
	ratio := e.outcomes.failureRatio(now)
	if failing := ratio > 0; failing != e.outcomes.failing {
		e.outcomes.failing = failing
		_ = level.Info(e.log).Log("event", "server_failing", "failing", failing, "share", ratio, "requests", e.inFlight())
	}
}

// penalty returns the number of requests added to the load of a failing backend server; 0 for
// any other. e.mu must be held.
func (e *Engine) penalty(now time.Time) int {
	if !e.outcomes.failing || e.without.failurePenalty {
		return 0
	}
	return int(e.outcomes.failureRatio(now) * failingPenaltyRounds * float64(max(e.server.Slots(), 1)))
}
