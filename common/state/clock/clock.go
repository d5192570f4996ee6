// Package clock provides a clock for permissions that run out, such as leases. It also counts
// the time for which the VM was suspended. time.Now leaves that out of its monotonic reading, so
// that after a suspension a process would act on a lease that has expired meanwhile.
//
// # Usage
//
//	c := clock.New()
//	expires := c.Now().Add(lease)
//	valid := c.Now().Before(expires)
package clock

import "time"

// Clock is a clock that also counts suspensions since New. It is safe for concurrent use.
type Clock struct {
	// suspended returns for how long the VM has been suspended since its boot.
	suspended func() time.Duration
	atStart   time.Duration
}

// New returns a clock.
func New() *Clock { return newClock(suspended) }

func newClock(suspended func() time.Duration) *Clock {
	return &Clock{suspended: suspended, atStart: suspended()}
}

// Now returns the current time. Times that it returns may be compared with each other, but not
// with those of time.Now.
func (c *Clock) Now() time.Time { return time.Now().Add(c.suspended() - c.atStart) }
