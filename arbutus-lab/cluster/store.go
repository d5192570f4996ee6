package cluster

import (
	"context"
	"time"
)

// SetFaults sets the faults that the store injects, a store.Faults.
func (c *Cluster) SetFaults(ctx context.Context, faults any) error {
	return c.Post(ctx, c.StoreURL()+"/faults", faults)
}

// RestoreStore restores the store from a copy that is at least as old as age, or the oldest one
// if there is none.
func (c *Cluster) RestoreStore(ctx context.Context, age time.Duration) error {
	return c.Post(ctx, c.StoreURL()+"/restore", map[string]int64{"age_millis": age.Milliseconds()})
}
