package store

import (
	"context"
	"time"

	"arbutusfront.dev/common/state/clock"
)

// Lease is a process's exclusive claim to a key, which the store removes when the lease
// that it is bound to expires. It is not safe for concurrent use.
type Lease struct {
	client *Client
	key    string
	owner  string
	ttl    time.Duration
	now    func() time.Time

	// id identifies the lease in the store; 0 means that there is none. until is the
	// earliest time at which it can expire, era the store's era in which it was granted.
	id    uint64
	until time.Time
	era   uint64
	// reclaim is set if the key may still exist from a former era, bound to a lease that
	// this process held then.
	reclaim bool
}

// NewLease returns a Lease on the key with the lease owner's name as the key's value. It is
// not held until Renew acquires it, and expires when it has not been renewed for ttl.
func NewLease(c *Client, key, owner string, ttl time.Duration) *Lease {
	return &Lease{client: c, key: key, owner: owner, ttl: ttl, now: clock.New().Now}
}

// Held reports whether the lease is held and has not expired. It is false after the process
// was paused, or its VM suspended, for longer than the lease's ttl, and after the store has
// been restored: it may have lost the lease, and granted another one with the same ID.
func (l *Lease) Held() bool {
	return l.id != 0 && l.now().Before(l.until) && l.era == l.client.Eras.Current()
}

// Renew renews the lease, or acquires the key if it does not exist. It returns whether the
// lease is held; a failed renewal doesn't end a lease that has not expired. The ttl counts
// from before each call, so that the store never ends the lease before Held returns false.
func (l *Lease) Renew(ctx context.Context) (bool, error) {
	if l.id == 0 || l.era != l.client.Eras.Current() {
		return l.acquire(ctx)
	}
	sent := l.now()
	alive, err := l.client.KeepAlive(ctx, l.id)
	if err != nil {
		return l.Held(), err
	}
	if !alive || l.era != l.client.Eras.Current() {
		return l.acquire(ctx)
	}
	l.until = sent.Add(l.ttl)
	return l.Held(), nil
}

// acquire creates the key, bound to a new lease. If the key still exists from a former era in
// which this process held it, it is bound to the new lease. If the store's response is lost,
// the key may exist with a lease that this process doesn't know; it can then be acquired only
// after that lease has expired.
func (l *Lease) acquire(ctx context.Context) (bool, error) {
	l.reclaim = l.reclaim || l.id != 0 && l.era != l.client.Eras.Current()
	l.id = 0
	e, err := l.client.Get(ctx, l.key)
	if err != nil {
		return false, err
	}
	if e.Version != 0 && (!l.reclaim || string(e.Value) != l.owner) {
		return false, nil
	}
	era, sent := l.client.Eras.Current(), l.now()
	id, err := l.client.Grant(ctx, l.ttl)
	if err != nil {
		return false, err
	}
	swap, err := l.client.CompareAndSwap(ctx, Write{
		Key: l.key, ExpectedVersion: e.Version, Value: []byte(l.owner), Lease: id,
	})
	if err != nil || !swap.Swapped {
		return false, err
	}
	l.id, l.until, l.era, l.reclaim = id, sent.Add(l.ttl), era, false
	return l.Held(), nil
}
