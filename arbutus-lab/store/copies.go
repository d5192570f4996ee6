package store

import (
	"context"
	"sync"
	"time"
)

const (
	// copyInterval is the interval between two copies, maxCopies the number that is kept.
	copyInterval = 500 * time.Millisecond
	maxCopies    = 60
)

type (
	// Copies keeps recent copies of a store, from which it can be restored. It is safe for
	// concurrent use.
	Copies struct {
		store *Store

		mu     sync.Mutex
		copies []agedBackup
	}

	agedBackup struct {
		backup Backup
		at     time.Time
	}
)

// NewCopies returns the copies of the store. There are none before Run.
func NewCopies(s *Store) *Copies { return &Copies{store: s} }

// Run copies the store periodically until ctx is canceled. The channel receives nil then.
func (c *Copies) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(copyInterval)
		defer ticker.Stop()
		for {
			c.add(agedBackup{c.store.Backup(), time.Now()})
			select {
			case <-ctx.Done():
				done <- nil
				return
			case <-ticker.C:
			}
		}
	}()
	return done
}

func (c *Copies) add(b agedBackup) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.copies = append(c.copies, b)
	c.copies = c.copies[max(0, len(c.copies)-maxCopies):]
}

// Restore restores the store from the latest copy that is at least as old as age, or from the
// oldest one if none is. Later copies are dropped. It does nothing if there are no copies.
func (c *Copies) Restore(age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.copies) == 0 {
		return
	}
	chosen := 0
	for i, b := range c.copies {
		if time.Since(b.at) >= age {
			chosen = i
		}
	}
	c.copies = c.copies[:chosen+1]
	c.store.Restore(c.copies[chosen].backup)
}
