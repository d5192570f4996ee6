// Package lane runs calls to peers one after the other, without letting all of them wait for a peer that
// does not respond.
//
// # Usage
//
//	l := lane.New[netip.AddrPort](250*time.Millisecond, lane.WithQueue[netip.AddrPort](16))
//	go l.Serve(ctx)
//	l.Add(address, func(ctx context.Context) { fetch(ctx, address) })
//
// A call that takes longer than the lane's patience goes on, and the next one runs beside it. Of calls
// with the same key only one runs at a time; the others are left out.
package lane

import (
	"context"
	"sync"
	"time"
)

const (
	// maxConcurrent bounds the calls that run beside each other.
	maxConcurrent = 4
	defaultQueue  = 16
)

type (
	// Lane runs calls, each of which has a key. It is safe for concurrent use.
	Lane[K comparable] struct {
		queue    chan call[K]
		patience time.Duration
		onSlow   func(key K)
		mayRun   func(key K) bool

		mu      sync.Mutex
		running map[K]context.CancelFunc
	}

	call[K comparable] struct {
		key K
		run func(ctx context.Context)
	}

	// Option changes how a Lane is built.
	Option[K comparable] func(*Lane[K])
)

// WithQueue sets how many calls may wait. The default is 16.
func WithQueue[K comparable](n int) Option[K] {
	return func(l *Lane[K]) { l.queue = make(chan call[K], n) }
}

// WithOnSlow sets a function that is called when a call takes longer than the patience.
func WithOnSlow[K comparable](f func(key K)) Option[K] { return func(l *Lane[K]) { l.onSlow = f } }

// WithFilter sets a function that reports, when it is a call's turn, whether it is to run.
func WithFilter[K comparable](mayRun func(key K) bool) Option[K] {
	return func(l *Lane[K]) { l.mayRun = mayRun }
}

// New returns a lane in which the next call waits for one for the patience at most.
func New[K comparable](patience time.Duration, opts ...Option[K]) *Lane[K] {
	l := &Lane[K]{
		queue: make(chan call[K], defaultQueue), patience: patience,
		onSlow: func(K) {}, mayRun: func(K) bool { return true }, running: make(map[K]context.CancelFunc),
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Add queues a call, or drops it if the queue is full. Callers repeat what is still needed.
func (l *Lane[K]) Add(key K, run func(ctx context.Context)) {
	select {
	case l.queue <- call[K]{key: key, run: run}:
	default:
	}
}

// Cancel cancels the contexts of the running calls whose key matches.
func (l *Lane[K]) Cancel(matches func(key K) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, cancel := range l.running {
		if matches(key) {
			cancel()
		}
	}
}

// Serve runs the queued calls until ctx is canceled, and returns when all of them have ended.
func (l *Lane[K]) Serve(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	slots := make(chan struct{}, maxConcurrent)
	for {
		select {
		case <-ctx.Done():
			return
		case slots <- struct{}{}:
		}
		select {
		case <-ctx.Done():
			return
		case c := <-l.queue:
			callCtx, begun := l.begin(ctx, c.key)
			if !begun {
				<-slots
				continue
			}
			done := make(chan struct{})
			running.Go(func() {
				c.run(callCtx)
				l.end(c.key)
				<-slots
				close(done)
			})
			l.await(ctx, c.key, done)
		}
	}
}

// await waits until the call is done, but no longer than the patience.
func (l *Lane[K]) await(ctx context.Context, key K, done <-chan struct{}) {
	timer := time.NewTimer(l.patience)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-done:
	case <-timer.C:
		l.onSlow(key)
	}
}

// begin records that the call runs, and returns its context. It returns false if the call is left out.
func (l *Lane[K]) begin(ctx context.Context, key K) (context.Context, bool) {
	if !l.mayRun(key) {
		return nil, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, runs := l.running[key]; runs {
		return nil, false
	}
	ctx, l.running[key] = context.WithCancel(ctx)
	return ctx, true
}

// end records that the call has ended.
func (l *Lane[K]) end(key K) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running[key]()
	delete(l.running, key)
}
