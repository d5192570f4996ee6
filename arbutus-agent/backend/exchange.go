package backend

import (
	"container/list"
	"context"
	"errors"
	"io"
	"math"
	"sync"
	"syscall"
	"time"
)

// requestsPerSlot is how many requests for each slot a warm backend server may have in
// flight: one that runs and one that is ready to run next.
const requestsPerSlot = 2

type (
	// Exchange tracks the requests within one flow. A request begins with the first bytes
	// that the caller sends after an answer, and is answered by the first bytes that the
	// backend server sends back.
	Exchange struct {
		limiter  *Limiter
		openedAt time.Time
		// onArrival, onAnswer and onEnd are the functions of WithRequests.
		onArrival, onAnswer, onEnd func()

		mu sync.Mutex
		// request is the one in flight, or nil.
		request *list.Element
		// answered is set once the backend server has sent bytes.
		answered bool
		// sendingEnded is set when nothing more is sent to the backend server.
		sendingEnded bool
	}

	// ExchangeOption configures an Exchange.
	ExchangeOption func(*Exchange)
)

// WithRequests sets the functions that are called when a request arrives, before it waits for
// capacity, when it is answered, and at the end of the flow. They are called without locks held.
func WithRequests(onArrival, onAnswer, onEnd func()) ExchangeOption {
	return func(x *Exchange) { x.onArrival, x.onAnswer, x.onEnd = onArrival, onAnswer, onEnd }
}

// NewExchange tracks a flow that begins now.
func (l *Limiter) NewExchange(opts ...ExchangeOption) *Exchange {
	x := &Exchange{limiter: l, openedAt: l.now(), onArrival: func() {}, onAnswer: func() {}, onEnd: func() {}}
	for _, opt := range opts {
		opt(x)
	}
	return x
}

// Sending must be called before bytes are sent to the backend server. If they begin a
// request, it waits for capacity and takes it; if a request is in flight, they belong to that
// one. It returns an error if ctx is canceled first.
func (x *Exchange) Sending(ctx context.Context) error {
	x.mu.Lock()
	inFlight := x.request != nil
	x.mu.Unlock()
	if inFlight {
		return nil
	}
	x.onArrival()
	request, err := x.limiter.beginRequest(ctx)
	if err != nil {
		return err
	}
	x.mu.Lock()
	x.request = request
	x.mu.Unlock()
	return nil
}

// Received must be called when bytes have arrived from the backend server. They answer the
// request in flight, if any, and release its capacity. The first bytes of a flow that come
// without a request count as an answer since the flow began.
func (x *Exchange) Received() {
	x.mu.Lock()
	request, first := x.request, !x.answered
	x.request, x.answered = nil, true
	x.mu.Unlock()
	switch {
	case request != nil:
		x.limiter.finishRequest(request)
		x.onAnswer()
	case first:
		// The backend server sent first, without a request.
		x.limiter.Answered(x.limiter.now().Sub(x.openedAt))
	}
}

// SendingEnded must be called when nothing more is sent to the backend server.
func (x *Exchange) SendingEnded() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sendingEnded = true
}

// ReceiveFailed must be called when reading from the backend server fails. A RST counts
// as an overload of the backend server, unless sending has ended: the caller may have
// given up, and the RST may be the backend server's answer to that.
func (x *Exchange) ReceiveFailed(err error) {
	x.mu.Lock()
	sendingEnded := x.sendingEnded
	x.mu.Unlock()
	if !sendingEnded && errors.Is(err, syscall.ECONNRESET) {
		x.limiter.EnterColdStart()
	}
}

// End releases the capacity of an unanswered request. It must be called at the flow's
// end, after the last Sending.
func (x *Exchange) End() {
	x.mu.Lock()
	request := x.request
	x.request = nil
	x.mu.Unlock()
	if request != nil {
		x.limiter.cancelRequest(request)
	}
	x.onEnd()
}

// Writer returns a writer to w that waits for capacity before each request. A write
// fails if ctx is canceled first.
func (x *Exchange) Writer(ctx context.Context, w io.Writer) io.Writer {
	return &exchangeWriter{ctx: ctx, exchange: x, w: w}
}

type exchangeWriter struct {
	ctx      context.Context
	exchange *Exchange
	w        io.Writer
}

// Write implements io.Writer.
func (e *exchangeWriter) Write(b []byte) (int, error) {
	if err := e.exchange.Sending(e.ctx); err != nil {
		return 0, err
	}
	return e.w.Write(b)
}

// CheckStall puts the backend server into cold start if it has stopped answering: the
// time since the oldest request in flight began and the time since the last answer both
// show an overload. It does nothing if the service sets no limit of requests in cold
// start.
func (l *Limiter) CheckStall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	oldest := l.inFlightSince.Front()
	if oldest == nil || l.coldStart.Requests == 0 {
		return
	}
	now := l.now()
	if l.isLatencyJump(now.Sub(oldest.Value.(time.Time))) && l.isLatencyJump(now.Sub(l.lastAnswerAt)) {
		l.answered = 0
	}
}

// beginRequest waits for the capacity for a request, and takes it. It returns an error
// if ctx is canceled first.
func (l *Limiter) beginRequest(ctx context.Context) (*list.Element, error) {
	l.mu.Lock()
	if l.waiting.Len() == 0 && l.inFlightSince.Len() < l.requestLimit() {
		defer l.mu.Unlock()
		return l.inFlightSince.PushBack(l.now()), nil
	}
	admitted := make(chan *list.Element, 1)
	entry := l.waiting.PushBack(admitted)
	l.mu.Unlock()
	select {
	case request := <-admitted:
		return request, nil
	case <-ctx.Done():
		l.abandonWait(entry, admitted)
		return nil, Error.Wrap(ctx.Err())
	}
}

// abandonWait removes the entry from the queue. If its request was admitted meanwhile,
// it releases that request's capacity.
func (l *Limiter) abandonWait(entry *list.Element, admitted <-chan *list.Element) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting.Remove(entry)
	select {
	case request := <-admitted:
		l.inFlightSince.Remove(request)
		l.admitWaiting()
	default:
	}
}

// finishRequest records that a request was answered, and then releases its capacity.
// This order matters: an answer that shows an overload lowers the limit.
func (l *Limiter) finishRequest(request *list.Element) {
	l.mu.Lock()
	defer l.mu.Unlock()
	started := l.inFlightSince.Remove(request).(time.Time)
	l.recordLatency(l.now().Sub(started))
	l.admitWaiting()
}

// cancelRequest releases the capacity of a request that was not answered.
func (l *Limiter) cancelRequest(request *list.Element) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlightSince.Remove(request)
	l.admitWaiting()
}

// admitWaiting admits waiting requests while there is capacity, first come, first
// served. l.mu must be held.
func (l *Limiter) admitWaiting() {
	for l.waiting.Len() > 0 && l.inFlightSince.Len() < l.requestLimit() {
		admitted := l.waiting.Remove(l.waiting.Front()).(chan *list.Element)
		admitted <- l.inFlightSince.PushBack(l.now())
	}
}

// requestLimit returns how many requests may be in flight. In cold start the limit
// grows with each answer, up to that of a warm backend server. If the service sets no
// limit of requests in cold start, there is never one. l.mu must be held.
func (l *Limiter) requestLimit() int {
	if l.coldStart.Requests == 0 {
		return math.MaxInt
	}
	warmLimit := max(requestsPerSlot*l.class.Slots, l.coldStart.Requests)
	if l.isWarm() {
		return warmLimit
	}
	return l.coldStart.Requests + l.answered*(warmLimit-l.coldStart.Requests)/l.coldStart.WarmAfterConnections
}
