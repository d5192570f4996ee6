package backend

import (
	"container/list"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"arbutusfront.dev/common/coordination/config"
)

const (
	// An answer that takes more than jumpFactor times the usual latency, and more than
	// jumpFloor, shows that the backend server is overloaded. Each such answer raises
	// the usual latency by the factor jumpGrowth, so that a backend server that has
	// become slower permanently leaves cold start again.
	jumpFactor = 8
	jumpFloor  = 500 * time.Millisecond
	jumpGrowth = 1.02

	// latencyWeight is the weight of a new answer in the moving average of the latency.
	latencyWeight = 0.1

	// burstDivisor sets the burst of new flows: the flows allowed in one second, divided by
	// it, but at least one.
	burstDivisor = 10
	// minRefillRate is the refill rate, per second, if only one new flow may come in a
	// second. That one is the burst; without a refill no other would follow.
	minRefillRate = 0.5
)

type (
	// Limiter limits the flows of one backend server, and the requests within them. In
	// cold start it allows few, and more with each request that the backend server has
	// answered. A backend server that is overloaded goes back to cold start: it refuses or
	// resets connections, its latency jumps, or it stops answering. Limiter is safe for
	// concurrent use.
	Limiter struct {
		mu        sync.Mutex
		now       func() time.Time
		class     config.BackendClass
		coldStart config.ColdStart
		rate      *rate.Limiter
		// held is the number of flows. answered is the number of requests answered since the
		// last cold start began.
		held     int
		answered int
		// latency is the moving average of the time to an answer, lastAnswerAt when the
		// last answer came.
		latency      time.Duration
		lastAnswerAt time.Time
		// inFlightSince has the start time of each request in flight, oldest first.
		// waiting has a channel for each request that waits for capacity, oldest first.
		inFlightSince *list.List
		waiting       *list.List
	}

	// Snapshot is the state of a limiter: the flows that it counts and allows, and its
	// requests. Answered counts the answers since the last cold start began.
	Snapshot struct {
		Warm     bool `json:"warm"`
		Held     int  `json:"held"`
		Allowed  int  `json:"allowed"`
		Answered int  `json:"answered"`
		InFlight int  `json:"in_flight"`
		Waiting  int  `json:"waiting"`
	}
)

// NewLimiter returns a limiter in cold start that allows nothing until Configure is
// called.
func NewLimiter() *Limiter {
	return &Limiter{
		now:           time.Now,
		rate:          rate.NewLimiter(0, 0),
		inFlightSince: list.New(),
		waiting:       list.New(),
	}
}

// Configure sets the limits. Flows, requests and the latency are retained; if a limit has
// changed, the rate of new flows starts with a full burst, and waiting requests may be admitted.
func (l *Limiter) Configure(class config.BackendClass, coldStart config.ColdStart) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.class == class && l.coldStart == coldStart {
		return
	}
	l.class, l.coldStart = class, coldStart
	l.rate = newRateLimiter(coldStart.NewPerSecond)
	l.admitWaiting()
}

// newRateLimiter returns a limiter that lets at most n events pass in any second: the burst
// and the refill within a second add up to n.
func newRateLimiter(n int) *rate.Limiter {
	burst := max(1, n/burstDivisor)
	return rate.NewLimiter(max(rate.Limit(n-burst), minRefillRate), burst)
}

// Acquire takes the capacity for one more flow, and reports whether there was any. In cold
// start, the flow also counts against the rate of new flows.
func (l *Limiter) Acquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held >= l.flowLimit() {
		return false
	}
	if !l.isWarm() && !l.rate.AllowN(l.now(), 1) {
		return false
	}
	l.held++
	return true
}

// HasCapacity reports whether Acquire would succeed. It takes nothing.
func (l *Limiter) HasCapacity() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held < l.flowLimit() && (l.isWarm() || l.rate.TokensAt(l.now()) >= 1)
}

// Slots returns how many requests the backend server works on at once: its slots or, in cold
// start, the limit of requests in flight if that is lower; 0 if the slots are not known.
func (l *Limiter) Slots() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(l.class.Slots, l.requestLimit())
}

// Release returns the capacity of a flow that has ended.
func (l *Limiter) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held--
}

// Answered records an answer after d and admits waiting requests. A latency jump puts the
// backend server into cold start.
func (l *Limiter) Answered(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordLatency(d)
	l.admitWaiting()
}

// recordLatency records an answer after d: a latency jump puts the backend server into
// cold start. l.mu must be held.
func (l *Limiter) recordLatency(d time.Duration) {
	l.lastAnswerAt = l.now()
	if l.isLatencyJump(d) {
		l.latency = time.Duration(jumpGrowth * float64(l.latency))
		l.answered = 0
		return
	}
	l.answered++
	if l.latency == 0 {
		l.latency = d
	}
	l.latency += time.Duration(latencyWeight * float64(d-l.latency))
}

// isLatencyJump reports whether an answer after d shows an overload. l.mu must be held.
func (l *Limiter) isLatencyJump(d time.Duration) bool {
	return l.latency > 0 && d > jumpFactor*l.latency && d > jumpFloor
}

// EnterColdStart sets the count of answers to 0, so that the limits of cold start apply
// until the backend server has answered enough requests to be warm.
func (l *Limiter) EnterColdStart() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answered = 0
}

// Snapshot returns the limiter's current state.
func (l *Limiter) Snapshot() Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Snapshot{
		Warm:     l.isWarm(),
		Held:     l.held,
		Allowed:  l.flowLimit(),
		Answered: l.answered,
		InFlight: l.inFlightSince.Len(),
		Waiting:  l.waiting.Len(),
	}
}

// isWarm reports whether the backend server has answered enough requests since it last
// entered cold start. l.mu must be held.
func (l *Limiter) isWarm() bool {
	return l.coldStart.WarmAfterConnections > 0 && l.answered >= l.coldStart.WarmAfterConnections
}

// flowLimit returns how many flows may be held. l.mu must be held.
func (l *Limiter) flowLimit() int {
	if l.isWarm() {
		return l.class.Connections
	}
	return min(l.coldStart.Connections+l.answered, l.class.Connections)
}
