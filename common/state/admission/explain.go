package admission

import "time"

type (
	// Explanation is what a decision on a request compares, for logs.
	Explanation struct {
		// Wait is how long the request would wait here in the line for requests that can be
		// answered in time, and Allowed the longest such wait with which it is let wait; negative
		// if it can't be answered in time even without a wait.
		Wait, Allowed time.Duration
		// LateWait is how long the request would wait for capacity that requests in time leave,
		// and LateAllowed the longest such wait. NoneLeft is set if they leave none.
		LateWait, LateAllowed time.Duration
		NoneLeft              bool
		// Learned is set if the durations of requests were observed, and not assumed.
		Learned bool
	}

	// LineDump is one line of the queue.
	LineDump struct {
		Class  uint8
		Remote bool
		// Late is set if the line's requests can't be answered in time.
		Late    bool
		Waiting int
		// Oldest is how long the line's oldest request has waited here; 0 if the line is empty.
		Oldest time.Duration
		// Work is the expected duration of the waiting requests together.
		Work time.Duration
		// Weight is the share of the line relative to others.
		Weight float64
		// Offered is the recent load of arriving requests as a share of the backend server.
		Offered float64
	}

	// SystemDump are the requests at the backend server.
	SystemDump struct {
		Slots int
		// Running are the requests that the backend server works on, Queued those that it has
		// received beyond that, Opening the flows whose request is expected.
		Running, Queued, Opening int
		// Limit is the number of requests from which further ones wait.
		Limit int
		// Handshake is the mean time from an admission to the request, for callers of this
		// failure domain, and RemoteHandshake for others.
		Handshake, RemoteHandshake time.Duration
		// Slowness is the ratio of the current durations to the usual ones.
		Slowness float64
		Lines    []LineDump
	}

	// CostDump is the duration of the requests of one class, as observed or, unless Learned is
	// set, assumed.
	CostDump struct {
		Mean, High time.Duration
		Learned    bool
	}
)

// Explain returns what Decide compares for the request. It changes nothing.
func (q *Queue) Explain(now time.Time, r Request) Explanation {
	budget, o := q.budget(r), q.outlookAt(now)
	late := q.expectedLateWait(&o)
	return Explanation{
		Wait: q.expectedWait(&o, r), Allowed: min(budget, q.plannedWait(now, budget)),
		LateWait: late, LateAllowed: q.lateBudget(r), NoneLeft: late == noCapacityWait,
		Learned: q.costs.Known(),
	}
}

// ExplainTicket returns what is compared for a ticket that has waited until now. LateAllowed is what
// is left of the longest wait.
func (q *Queue) ExplainTicket(now time.Time, t Ticket) Explanation {
	x := q.Explain(now, t.RequestAt(now))
	x.LateAllowed = q.lastStart(&t).Sub(now)
	return x
}

// Dump returns the state of the queue.
func (q *Queue) Dump(now time.Time) SystemDump {
	d := SystemDump{
		Slots: q.slots, Running: q.running.n, Queued: q.queued.n, Opening: q.opening.n, Limit: q.limit(),
		Handshake: q.handshake, RemoteHandshake: q.remoteHandshake, Slowness: q.costs.Slowness(),
	}
	for _, l := range q.lines {
		line := LineDump{
			Class: l.class, Remote: l.remote, Late: l.kind == lateLine, Waiting: len(l.tickets), Work: l.work,
			Weight: l.weight, Offered: l.offered * q.loadDecay(now),
		}
		for i := range l.tickets {
			line.Oldest = max(line.Oldest, now.Sub(l.tickets[i].arrivedAt))
		}
		d.Lines = append(d.Lines, line)
	}
	return d
}

// CostOf returns the expected duration of the class's requests.
func (q *Queue) CostOf(class uint8) CostDump {
	return CostDump{Mean: q.mean(class), High: q.high(class), Learned: q.costs.Known()}
}

// EachWaiting calls add with the number of tickets of each line that has any.
func (q *Queue) EachWaiting(add func(class uint8, remote bool, n int)) {
	for _, l := range q.lines {
		if len(l.tickets) > 0 {
			add(l.class, l.remote, len(l.tickets))
		}
	}
}
