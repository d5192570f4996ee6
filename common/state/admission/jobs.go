package admission

import "time"

// Stages of a job.
const (
	idle jobStage = iota
	opening
	queued
	running
)

type (
	jobStage uint8

	// Job is the request of one flow at the backend server. The zero value is idle. A Job must
	// not be copied while it is not idle.
	Job struct {
		class      uint8
		remote     bool
		stage      jobStage
		since      time.Time
		prev, next *Job
		// work is the expected duration with which a job counts that is not running.
		work time.Duration
	}

	// list is a doubly linked list of jobs, oldest first.
	list struct {
		first, last *Job
		n           int
		work        time.Duration
	}
)

func (l *list) add(j *Job) {
	j.prev, j.next = l.last, nil
	if l.last == nil {
		l.first = j
	} else {
		l.last.next = j
	}
	l.last = j
	l.n++
	l.work += j.work
}

func (l *list) remove(j *Job) {
	if j.prev == nil {
		l.first = j.next
	} else {
		j.prev.next = j.next
	}
	if j.next == nil {
		l.last = j.prev
	} else {
		j.next.prev = j.prev
	}
	j.prev, j.next = nil, nil
	l.n--
	l.work -= j.work
}

// InSystem returns the number of requests at the backend server, with those that are expected on
// flows which are being opened.
func (q *Queue) InSystem() int { return q.running.n + q.queued.n + q.opening.n }

// Requests returns the number of requests that the backend server has received.
func (q *Queue) Requests() int { return q.running.n + q.queued.n }

func (q *Queue) listOf(s jobStage) *list {
	switch s {
	case opening:
		return &q.opening
	case queued:
		return &q.queued
	case running:
		return &q.running
	default:
		return nil
	}
}

// move changes the stage of the job.
func (q *Queue) move(j *Job, to jobStage, now time.Time) {
	q.busy.update(now, q.busyShare())
	if l := q.listOf(j.stage); l != nil {
		l.remove(j)
	}
	j.stage, j.since = to, now
	j.work = 0
	if to == opening || to == queued {
		j.work = q.mean(j.class)
	}
	if l := q.listOf(to); l != nil {
		l.add(j)
	}
}

func (q *Queue) busyShare() float64 {
	if q.slots == 0 {
		return 0
	}
	return min(1, float64(q.running.n)/float64(q.slots))
}

// Admitted records that the job's flow was admitted, and the request is expected on it.
func (q *Queue) Admitted(j *Job, r Request, now time.Time) {
	j.class, j.remote = r.Class, r.Remote
	if q.budget(r) >= 0 {
		q.addInTime(r.Class, now)
	}
	q.move(j, opening, now)
}

// addInTime counts the work of a request that the backend server gets in time.
func (q *Queue) addInTime(class uint8, now time.Time) {
	if q.slots > 0 {
		q.updateLoads(now)
		q.inTime += q.loadOf(class)
	}
}

// Offered counts the work of a request that arrived here, whatever the decision on it.
func (q *Queue) Offered(r Request, now time.Time) {
	if now.Sub(q.startedAt) < recoveryTime && now.Add(-r.Age).Before(q.startedAt) {
		q.recoveringUntil = q.startedAt.Add(recoveryTime)
	}
	if q.slots > 0 {
		q.updateLoads(now)
		q.ensureLine(r, inTimeLine).offered += q.loadOf(r.Class)
	}
}

// Requested records that the backend server has got the job's request. A request that is not the
// first one of its flow counts as offered work.
func (q *Queue) Requested(j *Job, now time.Time) {
	switch j.stage {
	case opening:
		average := &q.handshake
		if j.remote {
			average = &q.remoteHandshake
		}
		*average += time.Duration(handshakeWeight * float64(now.Sub(j.since)-*average))
	case idle:
		q.Offered(Request{Class: j.class, Remote: j.remote}, now)
		q.addInTime(j.class, now)
	default:
		return
	}
	to := queued
	if q.slots == 0 || q.running.n < q.slots {
		to = running
	}
	q.move(j, to, now)
}

// Answered records that the backend server has answered the job's request, and, if succeeded is
// set, learns from the time that it took. It returns that time.
func (q *Queue) Answered(j *Job, succeeded bool, now time.Time) time.Duration {
	if j.stage != running && j.stage != queued {
		q.Ended(j, now)
		return 0
	}
	if j.stage == queued && q.running.first != nil {
		// The backend server has not worked in the order of arrival: the oldest running request
		// is the one that waits.
		other := q.running.first
		j.since, other.since = other.since, j.since
		since := j.since
		q.move(other, queued, now)
		q.move(j, running, now)
		j.since = since
	}
	took := now.Sub(j.since)
	q.Ended(j, now)
	if succeeded {
		q.costs.Record(j.class, took)
	}
	return took
}

// Ended records that the job's request or its flow has ended without an answer.
func (q *Queue) Ended(j *Job, now time.Time) {
	if j.stage == idle {
		return
	}
	q.move(j, idle, now)
	for q.running.n < q.slots && q.queued.first != nil {
		q.move(q.queued.first, running, now)
	}
}

// Expire ends the jobs whose request was expected for too long.
func (q *Queue) Expire(now time.Time) {
	timeout := min(HandshakeTimeout, minHandshakeTimeout+maxHandshakes*max(q.handshake, q.remoteHandshake))
	for j := q.opening.first; j != nil && now.Sub(j.since) > timeout; j = q.opening.first {
		q.Ended(j, now)
	}
}
