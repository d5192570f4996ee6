package admission

import (
	"math"
	"time"
)

// plannedWait returns the longest expected wait of a request with the budget.
func (q *Queue) plannedWait(now time.Time, budget time.Duration) time.Duration {
	share := maxPlannedShare - q.standing(now)*(maxPlannedShare-minPlannedShare)
	return time.Duration(share * float64(budget))
}

// standing returns for how long requests in time have been waiting without a break, as a share of
// shrinkTime, up to 1.
func (q *Queue) standing(now time.Time) float64 {
	if q.waitingInTime == 0 {
		return 0
	}
	return min(1, now.Sub(q.standingSince).Seconds()/shrinkTime.Seconds())
}

// budget returns how long the request may wait and still be answered in time.
func (q *Queue) budget(r Request) time.Duration {
	trips := time.Duration(roundTrips)
	if q.waitingInTime > 0 {
		trips += refusedRoundTrips
	}
	inTime := q.class(r.Class).target - r.Age - trips*q.handshakeOf(r.Remote) - q.high(r.Class)
	return min(maxSYNAge-r.Age, inTime)
}

// handshakeOf returns the handshake time of callers of other failure domains, or of this one.
func (q *Queue) handshakeOf(remote bool) time.Duration {
	if remote {
		return q.remoteHandshake
	}
	return q.handshake
}

// mayDefer reports whether the request can still be answered well within its target latency after
// its caller has repeated the SYN. It can't under lasting overload, or if requests that can't be
// answered in time, which wait for late, would not be answered before their callers give up.
func (q *Queue) mayDefer(now time.Time, r Request, late time.Duration) bool {
	if r.RepeatedIn == 0 || late > q.timeoutBudget(r) || q.standing(now) == 1 {
		return false
	}
	return r.Age+r.RepeatedIn <= q.class(r.Class).target/2
}

// timeoutBudget returns how long the request may wait and still be answered before its caller gives
// up. Without a timeout that is never.
func (q *Queue) timeoutBudget(r Request) time.Duration {
	timeout := q.class(r.Class).timeout
	if timeout == 0 {
		return math.MaxInt64
	}
	latest := time.Duration(timeoutShare * float64(timeout))
	return latest - r.Age - roundTrips*q.handshakeOf(r.Remote) - q.high(r.Class)
}

// lateBudget returns how long a request may wait that can't be answered in time.
func (q *Queue) lateBudget(r Request) time.Duration { return min(maxLateWait, q.timeoutBudget(r)) }
