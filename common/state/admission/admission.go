// Package admission decides which requests a backend server gets, and when, while there are more
// than it can answer in time.
//
// # Usage
//
//	q := admission.NewQueue(cost.NewEstimator())
//	q.Configure(config.NewClassCodes(classes))
//	q.SetSlots(slots)
//
// On a SYN, unless q.Repeated finds that its flow waits already:
//
//	q.Offered(request, now)
//	switch q.Decide(now, request).Verdict {
//	case admission.Admit:
//		q.Admitted(&job, request, now)
//	case admission.Wait:
//		q.Push(now, ticket)
//	case admission.Defer: // drop the SYN
//	case admission.Refuse: // reset the flow
//	}
//
// On a request, an answer, and the end of a flow:
//
//	q.Requested(&job, now)
//	q.Answered(&job, succeeded, now)
//	q.Ended(&job, now)
//
// After each of these, and regularly. A ticket that is to be admitted must be passed to Admitted
// before the next call of Next, which would otherwise return tickets beyond the slots:
//
//	q.Expire(now)
//	for t, verdict, ok := q.Next(now); ok; t, verdict, ok = q.Next(now) {
//		if verdict == admission.Admit {
//			q.Admitted(&job, t.RequestAt(now), now)
//		}
//	}
//
// The example of the package is a complete program.
//
// # Decisions
//
// A Queue predicts when a request would be answered: from the requests at the backend server,
// how much longer each of them is likely to take, and the requests that wait before it. What
// can be answered within its target latency is admitted, or waits for a slot. What can't, gets
// only capacity that no other request needs; it is refused at once if none is expected before
// its caller gives up.
//
// Requests wait in lines: one for each request class of callers in this failure domain, and one of
// callers in others. These share the backend server by weight (start-time fair queueing), and a
// share that is not used goes to the others. Each has a second line for requests that are late, or
// will be: they can't be answered in time any more. Late lines get only the capacity that the lines
// for requests in time leave.
//
// A caller repeats its SYN, and the copy may reach another agent. A ticket is therefore owned, and may
// be admitted, only until the next copy is due, unless that comes here.
//
// All decisions depend only on the arguments and on what was recorded before. The package needs
// no clock and no network.
package admission

import (
	"time"

	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/state/cost"
)

// Verdicts on a request.
const (
	// Admit means that the backend server gets the request now.
	Admit Verdict = iota + 1
	// Wait means that the request waits for a slot.
	Wait
	// Defer means that the request gets nothing now. Its caller repeats the SYN soon enough for
	// the request to be answered in time then.
	Defer
	// Refuse means that the request can't be answered in time here, and is not expected to get
	// capacity before its caller gives up.
	Refuse
)

const (
	// MaxWaiting bounds the tickets of a queue; further requests are refused.
	MaxWaiting = 256

	// assumedShare is the share of its target latency that a request is assumed to take while
	// no request of any class has been observed.
	assumedShare = 0.1
	// defaultTarget is the target latency of classes that state none.
	defaultTarget = 300 * time.Millisecond
	// Callers give up a SYN without an answer after synTimeout. maxSYNAge bounds the age until
	// which one waits.
	synTimeout = 1400 * time.Millisecond
	maxSYNAge  = 1200 * time.Millisecond
	// repeatSlack is how much later than due a repeated SYN may arrive.
	repeatSlack = 20 * time.Millisecond
	// noCapacityWait stands for the wait of a request that is expected to get no capacity.
	noCapacityWait = time.Hour
	// maxLateWait bounds how long a request waits that can't be answered in time any more.
	maxLateWait = 600 * time.Millisecond
	// A request that arrives waits only if its expected wait is at most a share of its budget:
	// maxPlannedShare, since waits vary, and a request that is refused only after its wait has lost
	// that time. The share shrinks to minPlannedShare while the queue has not been empty for
	// shrinkTime. A short burst then uses the whole budget, and lasting overload causes no long
	// queue, which would not raise the throughput.
	maxPlannedShare = 0.9
	minPlannedShare = 0.55
	shrinkTime      = 2 * time.Second
	// roundTrips to the caller pass besides the wait and the work: one for the handshake, and one
	// for the way of the SYN and that of the answer. While requests wait, many of them are retries:
	// their caller has spent refusedRoundTrips on an attempt that was refused.
	roundTrips        = 2
	refusedRoundTrips = 1

	// recoveryTime is how long after a start requests are deferred instead of refused. A caller
	// repeats a SYN for 1.4 s, and then opens another flow.
	recoveryTime = 3 * time.Second

	// timeoutShare is the share of its timeout within which a late request is planned to be
	// answered. An answer after the timeout is work for nothing.
	timeoutShare = 0.9

	// HandshakeTimeout is how long a request that is expected on an admitted flow is counted. A
	// round trip to the caller takes 20 ms at most.
	HandshakeTimeout = 250 * time.Millisecond
	// A request is not expected any more after maxHandshakes times the usual handshake time and
	// minHandshakeTimeout: its caller may have opened the flow elsewhere meanwhile, or given up.
	maxHandshakes       = 3
	minHandshakeTimeout = 10 * time.Millisecond
	// handshakeWeight is the weight of a sample in the moving average of the handshake time.
	handshakeWeight = 1.0 / 16
	// initialHandshake is the handshake time that is assumed at first.
	initialHandshake = 5 * time.Millisecond
	// Loads are averaged over minLoadWindow, or over the time that the backend server takes for
	// windowRequests requests if that is longer, so that single requests don't appear as a high
	// load. The share of busy slots is averaged over busyWindow.
	minLoadWindow  = 500 * time.Millisecond
	windowRequests = 10
	busyWindow     = time.Second
	// minLineLoad is the share of the backend server below which the load of a line is left out, and
	// the smallest share that a line is expected to get.
	minLineLoad = 0.01
	// minRefusal and maxRefusal bound how long balancers are told that a class is refused.
	minRefusal = 5 * time.Millisecond
	maxRefusal = 100 * time.Millisecond
	// reopenShare is the share of the longest wait of a class below which it is admitted again
	// after a refusal. It keeps the queue from being refilled by single requests.
	reopenShare = 0.85
)

type (
	// Verdict is the decision on a request.
	Verdict int

	// Request is what is known of a request when its flow is to be opened.
	Request struct {
		// Class is the code of its class.
		Class uint8
		// Remote is set if its caller belongs to another failure domain.
		Remote bool
		// Age is how long its caller has been trying.
		Age time.Duration
		// RepeatedIn is after how long the caller repeats the SYN; 0 if it does not.
		RepeatedIn time.Duration
	}

	// Decision is a verdict with its reasons, for logs.
	Decision struct {
		Verdict Verdict
		// Wait is how long the request is expected to wait here: 0 if it is admitted, and if it
		// would be late, how long until there is capacity that others leave.
		Wait time.Duration
		// Budget is how long the request may wait and still be answered within its target latency;
		// negative if that is impossible.
		Budget time.Duration
	}

	// Ticket is a request that waits, with the SYN that opens its flow.
	Ticket struct {
		Request
		// Key identifies the flow. No two tickets of a queue may have the same. Sequence is the
		// sequence number of the SYN, by which copies are told from the SYN of another flow with
		// the same key.
		Key      ipv4.FlowKey
		Sequence uint32
		Header   capsule.Header
		SYN      []byte
		// Expected is how long the request was expected to wait. It is not used for decisions.
		Expected time.Duration
		// arrivedAt is when the request began to wait here.
		arrivedAt time.Time
		// ownedUntil is until when only this agent can open the flow.
		ownedUntil time.Time
	}

	// class are the settings of a request class. Those of code 0 apply to codes that are not known.
	class struct {
		known           bool
		target, timeout time.Duration
		weight          float64
	}

	// Queue is the queue of one backend server: the requests that it has, and those that wait.
	// It is not safe for concurrent use.
	Queue struct {
		costs   *cost.Estimator
		slots   int
		classes [256]class
		codes   []uint8

		// running are the requests that the backend server is assumed to work on, queued those
		// that it has received beyond that, opening the flows whose request is expected.
		running, queued, opening list
		// handshake is the mean time from an admission to the flow's first request, for callers of
		// this failure domain, and remoteHandshake for those of others.
		handshake, remoteHandshake time.Duration

		lines []*line
		// waiting is the number of tickets, waitingInTime that of the lines for requests in time, and
		// waitingWork the expected duration of all together.
		waiting, waitingInTime int
		waitingWork            time.Duration
		byKey                  map[ipv4.FlowKey]*Ticket
		// ownedUntil is a time until which no ticket is abandoned, and lateUntil one until which no
		// ticket of a late line expires.
		ownedUntil, lateUntil time.Time
		// standingSince is since when requests in time have been waiting without a break.
		standingSince time.Time
		// virtual is the virtual time of fair queueing: the start tag of the last ticket that
		// was admitted.
		virtual float64

		// startedAt is when the agent or its backend server started. recoveringUntil is until when
		// requests are deferred instead of refused.
		startedAt       time.Time
		recoveringUntil time.Time
		// inTime is the load of the admitted requests that can be answered in time, as a share of
		// the backend server. It and the loads that the lines are offered are those of loadsAt.
		inTime  float64
		loadsAt time.Time
		busy    gauge
	}
)

// NewQueue returns a queue that learns durations with the estimator.
func NewQueue(costs *cost.Estimator) *Queue {
	q := &Queue{
		costs: costs, byKey: make(map[ipv4.FlowKey]*Ticket),
		handshake: initialHandshake, remoteHandshake: initialHandshake,
	}
	q.classes[0] = class{target: defaultTarget, weight: 1}
	return q
}

// Configure sets the request classes. Requests of other classes are treated like those of code
// 0, for which the shortest target latency of all classes applies, and the lowest weight.
func (q *Queue) Configure(codes config.ClassCodes) {
	q.classes, q.codes = [256]class{}, q.codes[:0]
	weights := weightsOf(codes)
	fallback := class{weight: 1}
	for c, code := range codes {
		s := class{known: true, target: c.TargetLatency(), timeout: c.Timeout(), weight: weights[c.Priority]}
		if s.target == 0 {
			s.target = defaultTarget
		}
		if s.timeout > 0 {
			s.target = min(s.target, s.timeout)
		}
		q.classes[code] = s
		q.codes = append(q.codes, code)
		if fallback.target == 0 || s.target < fallback.target {
			fallback.target = s.target
		}
		fallback.weight = min(fallback.weight, s.weight)
	}
	if fallback.target == 0 {
		fallback.target = defaultTarget
	}
	q.classes[0] = fallback
	for _, l := range q.lines {
		l.weight = q.weight(Request{Class: l.class, Remote: l.remote})
	}
}

// SetStarted sets when the agent or its backend server started, whichever is later. For
// recoveryTime after that, requests are deferred instead of refused if callers have been trying
// since before the start. There is capacity for them soon, and a refusal would use up their
// attempts before that.
func (q *Queue) SetStarted(at time.Time) { q.startedAt = at }

// SetSlots sets how many requests the backend server works on at once; 0 means unknown.
func (q *Queue) SetSlots(n int) { q.slots = n }

// Configured reports whether the queue can decide: whether the classes and the slots are known.
func (q *Queue) Configured() bool { return len(q.codes) > 0 && q.slots > 0 }

// loadWindow returns the time over which loads are averaged.
func (q *Queue) loadWindow() time.Duration {
	return max(minLoadWindow, windowRequests*q.meanOfAll()/time.Duration(max(1, q.slots)))
}

// class returns the settings of a class, or those of code 0 if it is unknown.
func (q *Queue) class(code uint8) *class {
	if c := &q.classes[code]; c.known {
		return c
	}
	return &q.classes[0]
}

// mean returns the expected duration of a request of the class.
func (q *Queue) mean(code uint8) time.Duration {
	if !q.costs.Known() {
		return time.Duration(assumedShare * float64(q.class(code).target))
	}
	return q.costs.Mean(code)
}

// meanOfAll returns the expected duration of a request of any class.
func (q *Queue) meanOfAll() time.Duration {
	if !q.costs.Known() {
		return q.mean(0)
	}
	return q.costs.MeanOfAll()
}

// high returns the duration that nine in ten requests of the class do not exceed.
func (q *Queue) high(code uint8) time.Duration {
	if !q.costs.Known() {
		return time.Duration(2 * assumedShare * float64(q.class(code).target))
	}
	return q.costs.High(code)
}

// String returns the verdict for logs.
func (v Verdict) String() string {
	switch v {
	case Admit:
		return "admitted"
	case Wait:
		return "waits"
	case Defer:
		return "deferred"
	case Refuse:
		return "refused"
	default:
		return "unknown"
	}
}

// Decide returns what to do with a request that arrives now. It changes nothing.
func (q *Queue) Decide(now time.Time, r Request) Decision {
	budget := q.budget(r)
	if q.hasCapacity(budget >= 0) {
		return Decision{Verdict: Admit, Budget: budget}
	}
	o := q.outlookAt(now)
	return q.decideWithout(&o, r, budget)
}

// decideWithout returns the decision on a request for which there is no capacity now.
func (q *Queue) decideWithout(o *outlook, r Request, budget time.Duration) Decision {
	d := Decision{Verdict: Refuse, Wait: q.expectedWait(o, r), Budget: budget}
	switch {
	case q.waiting >= MaxWaiting:
	case d.Wait <= q.plannedWait(o.now, budget):
		d.Verdict = Wait
	default:
		d.Wait = q.expectedLateWait(o)
		recovering := o.now.Before(q.recoveringUntil)
		switch {
		case d.Wait <= q.lateBudget(r):
			d.Verdict = Wait
		case recovering || q.mayDefer(o.now, r, d.Wait):
			d.Verdict = Defer
		}
	}
	return d
}
