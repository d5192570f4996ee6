package admission

import (
	"slices"
	"time"

	"arbutusfront.dev/common/protocol/ipv4"
)

// Kinds of lines.
const (
	// inTimeLine has requests that can be answered within their target latency, lateLine those that
	// can't.
	inTimeLine lineKind = iota
	lateLine
)

type (
	lineKind uint8

	// line are the tickets of one class, from callers of this failure domain or of others: in
	// the order of arrival or, in a late line, of the requests' first SYNs. Late lines are served
	// from their end: the youngest request is the least late, and the oldest one is next to be
	// given up by its caller.
	line struct {
		class  uint8
		remote bool
		kind   lineKind
		weight float64
		// offered is the load of arriving requests as a share of the backend server, whatever
		// the decision on them. It is kept by lines for requests in time.
		offered float64
		// load and satisfied are scratch space of shareOf: the load at the time of the prediction,
		// and whether the line gets all that it asks for.
		load      float64
		satisfied bool
		// work is the expected duration of the line's requests together.
		work    time.Duration
		tickets []*Ticket
		// finish is the virtual time at which the line's last admitted ticket ends.
		finish float64
	}
)

// RequestAt returns the ticket's request, with the age that it has now.
func (t *Ticket) RequestAt(now time.Time) Request {
	r := t.Request
	r.Age += now.Sub(t.arrivedAt)
	return r
}

// sentAt returns when the caller sent the first SYN of the request.
func (t *Ticket) sentAt() time.Time { return t.arrivedAt.Add(-t.Age) }

// line returns the line, or nil if it does not exist.
func (q *Queue) line(class uint8, remote bool, kind lineKind) *line {
	for _, l := range q.lines {
		if l.class == class && l.remote == remote && l.kind == kind {
			return l
		}
	}
	return nil
}

func (q *Queue) ensureLine(r Request, kind lineKind) *line {
	l := q.line(r.Class, r.Remote, kind)
	if l == nil {
		l = &line{class: r.Class, remote: r.Remote, kind: kind}
		q.lines = append(q.lines, l)
	}
	l.weight = q.weight(r)
	return l
}

// Waiting returns the number of tickets.
func (q *Queue) Waiting() int { return q.waiting }

// Push adds a ticket that begins to wait now.
func (q *Queue) Push(now time.Time, t Ticket) {
	t.arrivedAt = now
	q.setOwned(&t, now, t.RepeatedIn)
	o := q.outlookAt(now)
	kind := inTimeLine
	switch {
	case q.expectedWait(&o, t.Request) > q.plannedWait(now, q.budget(t.Request)):
		kind = lateLine
	case q.waitingInTime == 0:
		q.standingSince = now
	}
	q.push(&t, kind)
}

func (q *Queue) push(t *Ticket, kind lineKind) {
	l := q.ensureLine(t.Request, kind)
	i := len(l.tickets)
	for kind == lateLine && i > 0 && l.tickets[i-1].sentAt().After(t.sentAt()) {
		i--
	}
	if kind == lateLine {
		q.lateUntil = earlier(q.lateUntil, q.lastStart(t))
	}
	l.tickets = slices.Insert(l.tickets, i, t)
	q.byKey[t.Key] = t
	q.count(l, 1, l.work+q.mean(t.Class))
}

// pop removes the line's i-th ticket.
func (q *Queue) pop(l *line, i int) *Ticket {
	t := l.tickets[i]
	l.tickets = slices.Delete(l.tickets, i, i+1)
	delete(q.byKey, t.Key)
	q.countRemoved(l, 1)
	return t
}

// countRemoved counts n tickets that were removed from the line. The work of the others is computed
// anew, as the expected duration changes with each answer.
func (q *Queue) countRemoved(l *line, n int) {
	q.count(l, -n, time.Duration(len(l.tickets))*q.mean(l.class))
}

// count counts n more tickets in the line, whose requests now take work together.
func (q *Queue) count(l *line, n int, work time.Duration) {
	q.waiting += n
	if l.kind == inTimeLine {
		q.waitingInTime += n
	}
	q.waitingWork += work - l.work
	l.work = work
}

// Next removes and returns the next ticket that is to be admitted or refused. It returns false
// once there is none.
func (q *Queue) Next(now time.Time) (Ticket, Verdict, bool) {
	if t := q.takeExpired(now); t != nil {
		return *t, Refuse, true
	}
	if q.InSystem() < q.limit() {
		if l := q.nextLine(inTimeLine); l != nil {
			start := max(q.virtual, l.finish)
			q.virtual = start
			l.finish = start + q.mean(l.class).Seconds()/l.weight
			return *q.pop(l, 0), Admit, true
		}
	}
	if q.InSystem() < q.slots {
		if l := q.nextLine(lateLine); l != nil {
			return *q.pop(l, len(l.tickets)-1), Admit, true
		}
	}
	return Ticket{}, 0, false
}

// nextLine returns the line of the kind whose next ticket has the earliest start tag, or among
// late lines the one with the youngest request. It returns nil if all are empty.
func (q *Queue) nextLine(kind lineKind) *line {
	var next *line
	for _, l := range q.lines {
		if l.kind != kind || len(l.tickets) == 0 {
			continue
		}
		if next == nil || q.precedes(l, next) {
			next = l
		}
	}
	return next
}

func (q *Queue) precedes(a, b *line) bool {
	if a.kind == lateLine {
		return a.tickets[len(a.tickets)-1].sentAt().After(b.tickets[len(b.tickets)-1].sentAt())
	}
	return max(q.virtual, a.finish) < max(q.virtual, b.finish)
}

// takeExpired removes and returns a ticket at the head of a line that has waited for too long, or
// returns nil. A ticket that can't be answered in time any more moves to the late line of its class
// first.
func (q *Queue) takeExpired(now time.Time) *Ticket {
	q.dropAbandoned(now)
	if q.waiting == 0 {
		return nil
	}
	o := q.outlookAt(now)
	for _, l := range q.lines {
		for l.kind == inTimeLine && len(l.tickets) > 0 {
			t := l.tickets[0]
			if q.budget(t.RequestAt(now)) >= o.wait {
				break
			}
			q.pop(l, 0)
			if now.Add(q.expectedLateWait(&o)).After(q.lastStart(t)) {
				return t
			}
			q.push(t, lateLine)
		}
	}
	return q.takeExpiredLate(now)
}

// lastStart returns until when the backend server must have begun with a ticket that can't be
// answered in time.
func (q *Queue) lastStart(t *Ticket) time.Time { return t.arrivedAt.Add(q.lateBudget(t.Request)) }

// takeExpiredLate removes and returns a ticket of a late line with which the backend server must have
// begun before start, or returns nil.
func (q *Queue) takeExpiredLate(start time.Time) *Ticket {
	if !start.After(q.lateUntil) {
		return nil
	}
	q.lateUntil = start.Add(maxLateWait)
	for _, l := range q.lines {
		if l.kind != lateLine {
			continue
		}
		for i, t := range l.tickets {
			last := q.lastStart(t)
			if start.After(last) {
				q.lateUntil = time.Time{}
				return q.pop(l, i)
			}
			q.lateUntil = earlier(q.lateUntil, last)
		}
	}
	return nil
}

// dropAbandoned removes the tickets whose caller has not repeated its SYN here when that was due. It
// has opened the flow elsewhere, or given up.
func (q *Queue) dropAbandoned(now time.Time) {
	if q.waiting == 0 || !now.After(q.ownedUntil) {
		return
	}
	q.ownedUntil = now.Add(synTimeout)
	for _, l := range q.lines {
		before := len(l.tickets)
		l.tickets = slices.DeleteFunc(l.tickets, func(t *Ticket) bool {
			if now.After(t.ownedUntil) {
				delete(q.byKey, t.Key)
				return true
			}
			q.ownedUntil = earlier(q.ownedUntil, t.ownedUntil)
			return false
		})
		if n := before - len(l.tickets); n > 0 {
			q.countRemoved(l, n)
		}
	}
}

// TakeAll removes all tickets, and returns those that are still owned.
func (q *Queue) TakeAll(now time.Time) []Ticket {
	q.dropAbandoned(now)
	var all []Ticket
	for _, l := range q.lines {
		for _, t := range l.tickets {
			all = append(all, *t)
		}
		l.tickets, l.work = nil, 0
	}
	q.waiting, q.waitingInTime, q.waitingWork = 0, 0, 0
	clear(q.byKey)
	return all
}

// Repeated records that the caller has repeated the SYN of a ticket, and reports whether there is
// such a ticket. A ticket of another SYN with the same key is removed: its caller has given up.
func (q *Queue) Repeated(key ipv4.FlowKey, sequence uint32, repeatedIn time.Duration, now time.Time) bool {
	t := q.byKey[key]
	if t == nil {
		return false
	}
	if t.Sequence != sequence {
		q.remove(t)
		return false
	}
	q.setOwned(t, now, repeatedIn)
	return true
}

func (q *Queue) remove(t *Ticket) {
	for _, l := range q.lines {
		if i := slices.Index(l.tickets, t); i >= 0 {
			q.pop(l, i)
			return
		}
	}
}

// setOwned records a SYN of the ticket's caller. Until the caller sends the next copy, which may
// reach another agent, only this agent can open the flow.
func (q *Queue) setOwned(t *Ticket, now time.Time, repeatedIn time.Duration) {
	if repeatedIn == 0 {
		repeatedIn = synTimeout - t.Age
	}
	t.ownedUntil = now.Add(repeatedIn + repeatSlack)
	if q.waiting == 0 {
		q.ownedUntil = t.ownedUntil
	}
	q.ownedUntil = earlier(q.ownedUntil, t.ownedUntil)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
