package admission

import (
	"math"
	"time"

	"arbutusfront.dev/common/protocol/capsule"
)

// gauge averages a value over busyWindow.
type gauge struct {
	average float64
	at      time.Time
}

// loadDecay returns the factor by which the loads have fallen since they were updated.
func (q *Queue) loadDecay(now time.Time) float64 {
	passed := now.Sub(q.loadsAt)
	if passed <= 0 {
		return 1
	}
	return math.Exp(-passed.Seconds() / q.loadWindow().Seconds())
}

// updateLoads brings all loads to the given time. They fall together, so that a prediction needs
// one exponential function and not one of each line.
func (q *Queue) updateLoads(now time.Time) {
	if !now.After(q.loadsAt) {
		return
	}
	decay := q.loadDecay(now)
	for _, l := range q.lines {
		l.offered *= decay
	}
	q.inTime *= decay
	q.loadsAt = now
}

// loadOf returns what one request of the class adds to a load.
func (q *Queue) loadOf(class uint8) float64 {
	return q.mean(class).Seconds() / (float64(q.slots) * q.loadWindow().Seconds())
}

// update records that the value was current since the last update.
func (g *gauge) update(now time.Time, current float64) {
	if !g.at.IsZero() {
		g.average = g.value(now, current)
	}
	g.at = now
}

func (g *gauge) value(now time.Time, current float64) float64 {
	if g.at.IsZero() {
		return current
	}
	share := 1 - math.Exp(-now.Sub(g.at).Seconds()/busyWindow.Seconds())
	return g.average + share*(current-g.average)
}

// Estimate returns the estimate that balancers get. It has refusals only if the queue is
// configured.
func (q *Queue) Estimate(now time.Time) capsule.Estimate {
	e := capsule.Estimate{
		Wait:    q.totalWait(now),
		Service: q.costs.MeanOfAll(),
		Busy:    q.busy.value(now, q.busyShare()),
	}
	if q.Configured() && q.waiting > 0 {
		e.Refusals = q.refusals(now)
	}
	return e
}

// totalWait returns how long it takes until the backend server has begun with all requests that
// can be answered in time.
func (q *Queue) totalWait(now time.Time) time.Duration {
	wait := q.systemWait(q.systemWork(now))
	for _, l := range q.lines {
		if l.kind == inTimeLine {
			wait += l.work / time.Duration(max(1, q.slots))
		}
	}
	return wait
}

// refusals returns the classes of which new requests are refused now.
func (q *Queue) refusals(now time.Time) []capsule.Refusal {
	var out []capsule.Refusal
	o := q.outlookAt(now)
	for _, code := range q.codes {
		r := capsule.Refusal{
			Class: code,
			Own:   q.refusedFor(&o, Request{Class: code}), Remote: q.refusedFor(&o, Request{Class: code, Remote: true}),
		}
		if r.Own > 0 || r.Remote > 0 {
			out = append(out, r)
		}
	}
	return out
}

// refusedFor returns for how long requests like r are refused; 0 if they are not.
func (q *Queue) refusedFor(o *outlook, r Request) time.Duration {
	budget := q.budget(r)
	if q.hasCapacity(budget >= 0) || q.decideWithout(o, r, budget).Verdict != Refuse {
		return 0
	}
	until := q.expectedWait(o, r) - time.Duration(reopenShare*float64(max(0, budget)))
	return max(minRefusal, min(maxRefusal, until))
}
