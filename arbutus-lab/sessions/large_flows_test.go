package sessions

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"arbutusfront.dev/common/protocol/ipv4"
)

const (
	// stabilityTime is the time without an unplanned disturbance after which a host has to keep its flows.
	stabilityTime = 6 * time.Second
	// requestTime is the time in which a request is answered or fails: the end of all retransmissions.
	requestTime = maxAttempts * retransmitInterval
	// lostReset is the time in which the callers of a backend server that has lost its flows are reset,
	// if nothing else happens: 2.2 s, and the way to the caller.
	lostReset = 2250 * time.Millisecond
	// largeFlowInterval is the time between the openings of two flows.
	largeFlowInterval = 20 * time.Millisecond
)

type (
	// largeCallers are the callers of a large order, and their flows.
	largeCallers struct {
		o       *largeOrder
		random  *rand.Rand
		excused int

		mu    sync.Mutex
		flows []*largeFlow
	}

	// largeFlow is a flow of largeCallers.
	largeFlow struct {
		idleFlow

		id       int
		openedAt time.Time

		mu sync.Mutex
		// endedAt is when the flow ended with the error of its endpoint; zero while it is open.
		endedAt time.Time
		// closedAt is when the caller closed the flow.
		closedAt time.Time
		// requests are those that were sent on the flow.
		requests []largeRequest
	}

	largeRequest struct {
		begun, ended time.Time
		err          error
	}
)

func newLargeCallers(o *largeOrder, r *rand.Rand) *largeCallers {
	return &largeCallers{o: o, random: r}
}

// openFlows opens flows until the end. A third of them ends after one request, another third sends
// requests with pauses of up to 4 s, and the rest is idle.
func (c *largeCallers) openFlows(end time.Time) {
	for n := 0; time.Now().Before(end); n++ {
		var pauses []time.Duration
		if n%3 == 1 {
			for range 4 {
				pauses = append(pauses, time.Duration(c.random.Int64N(int64(4*time.Second))))
			}
		}
		c.o.done.Go(func() { c.use(n, n%3 == 0, pauses) })
		time.Sleep(largeFlowInterval)
	}
}

// use opens a flow and sends a request at once and after each pause. A short flow is then closed.
func (c *largeCallers) use(id int, isShort bool, pauses []time.Duration) {
	conn, err := c.o.w.caller.dial(largeEndpoint)
	if err != nil {
		return
	}
	f := &largeFlow{idleFlow: idleFlow{callerConn: conn}, id: id, openedAt: time.Now()}
	c.mu.Lock()
	c.flows = append(c.flows, f)
	c.mu.Unlock()
	go f.awaitEnd()
	c.request(f)
	for _, d := range pauses {
		time.Sleep(d)
		c.request(f)
	}
	if isShort {
		f.mu.Lock()
		f.closedAt = time.Now()
		f.mu.Unlock()
		_ = f.Close()
	}
}

// awaitEnd waits until the flow has ended, and records when it did.
func (f *largeFlow) awaitEnd() {
	f.endpoint.mu.Lock()
	for f.state != tcpClosed {
		f.wait(time.Hour, func() bool { return false })
	}
	f.endpoint.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endedAt = time.Now()
}

// request sends a request on the flow, unless it has ended.
func (c *largeCallers) request(f *largeFlow) {
	f.endpoint.mu.Lock()
	ended := f.state == tcpClosed
	f.endpoint.mu.Unlock()
	if ended {
		return
	}
	r := largeRequest{begun: time.Now()}
	r.err = f.request(fmt.Sprintf("%d at %v", f.id, r.begun.Sub(c.o.began)))
	r.ended = time.Now()
	if f.server == "" {
		f.server = c.holder(f.key)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, r)
}

// holder returns the agent whose backend server holds the flow, or an empty string.
func (c *largeCallers) holder(key ipv4.FlowKey) string {
	c.o.mu.Lock()
	defer c.o.mu.Unlock()
	for name, s := range c.o.servers {
		s.flowServer.mu.Lock()
		e := s.conns[key]
		s.flowServer.mu.Unlock()
		if e == nil {
			continue
		}
		e.mu.Lock()
		established := e.state == tcpEstablished
		e.mu.Unlock()
		if established {
			return name
		}
	}
	return ""
}

// requestOnAll sends a request on each flow that is open.
func (c *largeCallers) requestOnAll() {
	var wg sync.WaitGroup
	for i, f := range c.flows {
		if f.closedAt.IsZero() {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				c.request(f)
			})
		}
	}
	wg.Wait()
}

// broken returns what happened to flows that must not happen.
func (c *largeCallers) broken() []string {
	var broken []string
	add := func(f *largeFlow, format string, args ...any) {
		broken = append(broken, fmt.Sprintf("%v, open at %s since %v: ", f.key.Caller, f.server,
			f.openedAt.Sub(c.o.began))+fmt.Sprintf(format, args...))
	}
	for _, f := range c.flows {
		f.mu.Lock()
		lostAt, lost := c.lostAt(f)
		switch {
		case f.server == "":
		case lost:
			c.judgeLost(f, lostAt, add)
		default:
			c.judgeHeld(f, add)
		}
		f.mu.Unlock()
	}
	for id, n := range c.o.w.runsByRequest() {
		if n > 1 {
			broken = append(broken, fmt.Sprintf("request %q has run %d times", id, n))
		}
	}
	return broken
}

// strayed returns which flows had packets at other backend servers while none reached their own, though that
// held them.
func (c *largeCallers) strayed() []string {
	var strayed []string
	isExcused := func(s sighting) bool { return c.isDisturbed(c.o.w.nameOf(s.host), s.at) }
	for _, f := range c.flows {
		if _, lost := c.lostAt(f); lost || f.server == "" {
			continue
		}
		until := time.Now()
		if !f.closedAt.IsZero() {
			until = f.closedAt
		}
		own := c.o.w.address(f.server, 0).Addr()
		others := c.o.watch.strayed(f.key, own, f.openedAt, until, isExcused)
		if others == nil || c.isDisturbed(f.server, others[maxStray].at) {
			continue
		}
		var where []string
		for _, s := range others {
			where = append(where, fmt.Sprintf("%s at %v", c.o.w.nameOf(s.host), s.at.Sub(c.o.began)))
		}
		strayed = append(strayed, fmt.Sprintf("%v, open at %s since %v: went to %v", f.key.Caller, f.server,
			f.openedAt.Sub(c.o.began), where))
	}
	return strayed
}

// lostAt returns when the backend server lost the flow. A flow that opens at the moment of a crash may belong
// to either run.
func (c *largeCallers) lostAt(f *largeFlow) (time.Time, bool) {
	c.o.mu.Lock()
	defer c.o.mu.Unlock()
	for _, at := range c.o.crashes[f.server] {
		if at.After(f.openedAt.Add(-10 * time.Millisecond)) {
			return at, true
		}
	}
	return time.Time{}, false
}

// isDisturbed reports whether the process was stopped or cut off in the time until t that excuses it.
func (c *largeCallers) isDisturbed(name string, t time.Time) bool {
	return c.o.disturbed.within(name, t.Add(-stabilityTime), t, false)
}

// judgeHeld adds what must not happen to a flow that its backend server holds.
func (c *largeCallers) judgeHeld(f *largeFlow, add func(f *largeFlow, format string, args ...any)) {
	f.endpoint.mu.Lock()
	err := f.err
	f.endpoint.mu.Unlock()
	if errors.Is(err, syscall.ECONNRESET) && f.closedAt.IsZero() {
		sender := c.o.w.nameOf(c.o.watch.senderOfReset(f.key, f.endedAt))
		if c.isDisturbed(f.server, f.endedAt) || c.isDisturbed(sender, f.endedAt) {
			c.excused++
			return
		}
		add(f, "reset by %s at %v", sender, f.endedAt.Sub(c.o.began))
		return
	}
	for _, r := range f.requests {
		if r.err != nil && !c.o.disturbed.within(f.server, r.begun.Add(-stabilityTime), r.begun.Add(requestTime), false) {
			add(f, "the request at %v failed: %v", r.begun.Sub(c.o.began), r.err)
		}
	}
}

// judgeLost adds what must not happen to a flow that its backend server has lost. A request that is sent after
// all events must be reset before the caller gives up. The time is not bounded more closely: each balancer
// may be in doubt for 1.5 s after the first packet that it gets, and packets are sprayed over balancers.
func (c *largeCallers) judgeLost(f *largeFlow, lostAt time.Time, add func(f *largeFlow, format string, args ...any)) {
	if !f.closedAt.IsZero() {
		return
	}
	last := f.requests[len(f.requests)-1]
	switch {
	case f.endedAt.IsZero():
		add(f, "lost at %v, and still open", lostAt.Sub(c.o.began))
	case errors.Is(last.err, syscall.ETIMEDOUT) && last.begun.Sub(c.o.began) >= ordersTime+ordersSettle:
		add(f, "lost at %v, and its last request was not reset", lostAt.Sub(c.o.began))
	case f.endedAt.Sub(lostAt) > lostReset && !c.mayBeLate(f, lostAt):
		add(f, "lost at %v, and reset after %v", lostAt.Sub(c.o.began), f.endedAt.Sub(lostAt))
	}
}

// mayBeLate reports whether something else happened to the holder around the time at which its
// backend server lost the flow, or packets got lost.
func (c *largeCallers) mayBeLate(f *largeFlow, lostAt time.Time) bool {
	first, last := lostAt.Add(-stabilityTime), lostAt.Add(lostReset)
	return c.o.disturbed.within(f.server, first, last, true) || c.o.disturbed.within("loss", first, last, true) ||
		f.requests[0].err != nil || f.requests[0].ended.After(lostAt)
}
