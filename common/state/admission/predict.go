package admission

import (
	"math"
	"time"
)

// outlook is what the predictions for all requests at one time have in common. It is valid until a
// ticket or job changes.
type outlook struct {
	now time.Time
	// decay is the factor by which the loads have fallen since loadsAt.
	decay float64
	// work is how much longer the requests at the backend server are likely to take together, wait
	// how long it takes until the backend server begins with the next request after them.
	work, wait time.Duration
}

// outlookAt returns the outlook at the given time.
func (q *Queue) outlookAt(now time.Time) outlook {
	work := q.systemWork(now)
	return outlook{now: now, decay: q.loadDecay(now), work: work, wait: q.systemWait(work)}
}

// hasCapacity reports whether the backend server can get a request now that needs not wait for
// others. While a flow is opened, its slot would be idle, so that requests in time get some more
// flows than there are slots.
func (q *Queue) hasCapacity(inTime bool) bool {
	n := q.InSystem()
	return q.waitingInTime == 0 && (n < q.slots || inTime && n < q.limit())
}

// limit returns how many requests the backend server gets at most, with those whose flow is being
// opened.
func (q *Queue) limit() int {
	mean := q.meanOfAll()
	if mean <= 0 {
		return q.slots
	}
	opening := float64(q.slots) * float64(q.handshake) / float64(mean)
	return q.slots + 1 + int(math.Ceil(min(opening, float64(q.slots))))
}

// expectedWait returns how long the request would wait before the backend server began with it,
// if it waits in the line for requests in time.
func (q *Queue) expectedWait(o *outlook, r Request) time.Duration {
	wait := o.wait
	if own := q.line(r.Class, r.Remote, inTimeLine); own != nil && own.work > 0 {
		wait += time.Duration(float64(own.work) / (q.shareOf(o, own) * float64(max(1, q.slots))))
	}
	return wait
}

// shareOf returns the share of the backend server that the line gets while it has tickets. The
// other lines get what they ask for, up to their shares by weight; what they leave is divided among
// the lines that ask for more.
func (q *Queue) shareOf(o *outlook, own *line) float64 {
	weights := 0.0
	for _, l := range q.lines {
		l.load = l.offered * o.decay
		l.satisfied = l != own && l.load < minLineLoad
		if !l.satisfied {
			weights += l.weight
		}
	}
	free := 1.0
	for changed := true; changed; {
		changed = false
		for _, l := range q.lines {
			if l == own || l.satisfied || l.load*weights > free*l.weight {
				continue
			}
			l.satisfied, changed = true, true
			free -= l.load
			weights -= l.weight
		}
	}
	return max(minLineLoad, free*own.weight/weights)
}

// systemWait returns how long it takes until the backend server begins with the next request
// after those that it has, which take work together.
func (q *Queue) systemWait(work time.Duration) time.Duration {
	n := q.InSystem()
	if n < q.slots || q.slots == 0 {
		return 0
	}
	return time.Duration(float64(work) * float64(n-q.slots+1) / float64(n*q.slots))
}

// systemWork returns how much longer the requests at the backend server are likely to take
// together.
func (q *Queue) systemWork(now time.Time) time.Duration {
	work := q.queued.work + q.opening.work
	if !q.costs.Known() {
		for j := q.running.first; j != nil; j = j.next {
			work += q.mean(j.class)
		}
		return work
	}
	for j := q.running.first; j != nil; j = j.next {
		work += q.costs.Remaining(j.class, now.Sub(j.since))
	}
	return work
}

// expectedLateWait returns how long a request would wait that gets only the capacity which
// requests in time leave.
func (q *Queue) expectedLateWait(o *outlook) time.Duration {
	free := 1 - q.inTime*o.decay
	if free <= 0 {
		return noCapacityWait
	}
	wait := float64(q.waitingWork+o.work) / (free * float64(max(1, q.slots)))
	return time.Duration(min(wait, float64(noCapacityWait)))
}

// weight returns the weight of the request's line.
func (q *Queue) weight(r Request) float64 {
	if r.Remote {
		return q.class(r.Class).weight * remoteWeight
	}
	return q.class(r.Class).weight
}
