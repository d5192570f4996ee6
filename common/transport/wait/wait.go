// Package wait provides sleeps that a context can cancel, and exponential backoff.
//
// # Usage
//
//	for wait.For(ctx, interval) {
//		work()
//	}
//
//	for attempt := 0; wait.For(ctx, backoff.After(attempt)); attempt++ { ... }
package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// maxDoublings bounds the exponent of a backoff, so that the shift doesn't overflow.
const maxDoublings = 16

// Backoff is an exponential backoff with jitter.
type Backoff struct {
	// First is the upper bound of the first delay. It doubles with each attempt.
	First time.Duration
	// Limit is the upper bound of all delays.
	Limit time.Duration
}

// For waits for d or until ctx is canceled, and reports whether ctx is still active.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return ctx.Err() == nil
	}
}

// After returns the delay after the given number of earlier attempts. It is chosen at
// random between half and all of min(First << attempts, Limit).
func (b Backoff) After(attempts int) time.Duration {
	d := min(b.First<<min(attempts, maxDoublings), b.Limit)
	return d/2 + rand.N(d/2+1)
}
