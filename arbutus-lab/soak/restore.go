package soak

import (
	"context"
	"time"

	"github.com/go-json-experiment/json"

	"arbutusfront.dev/arbutus-lab/store"
	"arbutusfront.dev/common/coordination/config"
	kvstore "arbutusfront.dev/common/coordination/store"
	"arbutusfront.dev/common/transport/network"
	"arbutusfront.dev/common/transport/wait"
)

// writeBackBound is how long after a restore the store may lack a revision that was in force in
// all processes. A balancer may be cut off from the store for 5 s, and calls an unreachable store
// again after at most 5 s more.
const writeBackBound = 12 * time.Second

// restoreStore takes the store down and brings it back as a copy whose age is the event's variant.
// A revision that was in force in all processes before must then be in the store within
// writeBackBound, unless all balancers were down at the same time. The event's duration includes
// writeBackBound, so that the store has no other fault meanwhile.
func (h *harness) restoreStore(ctx context.Context, e Event) error {
	age, err := time.ParseDuration(e.How)
	if err != nil {
		return err
	}
	before, known := h.revisionInForce(ctx)
	started := time.Now()
	if err := h.cluster.SetFaults(ctx, store.Faults{Down: true}); err != nil {
		return err
	}
	wait.For(ctx, e.For-writeBackBound)
	reachable := context.WithoutCancel(ctx)
	if err := h.cluster.RestoreStore(reachable, age); err != nil {
		return err
	}
	if err := h.cluster.SetFaults(reachable, store.Faults{}); err != nil {
		return err
	}
	if !known || !wait.For(ctx, writeBackBound) || h.balancersEndedSince(started) {
		return nil
	}
	if after, ok := h.storedRevision(ctx); ok && after < before {
		h.records.addViolationf("the store has revision %d after it was restored, but %d was in force", after, before)
	}
	return nil
}

// revisionInForce returns the revision that all processes have in force. It reports false if
// some have another one, or can't be reached.
func (h *harness) revisionInForce(ctx context.Context) (uint64, bool) {
	out, err := h.cluster.Ctl(ctx, "status", "--json")
	if err != nil {
		return 0, false
	}
	var status struct {
		Revision  uint64 `json:"revision"`
		Processes int    `json:"processes"`
		Following int    `json:"following"`
	}
	if err := json.Unmarshal([]byte(out), &status); err != nil {
		h.records.addViolationf("arbutusctl status returned %q: %v", out, err)
		return 0, false
	}
	return status.Revision, status.Processes == status.Following
}

// storedRevision returns the revision of the store's head, and whether it could be read.
func (h *harness) storedRevision(ctx context.Context) (uint64, bool) {
	r, err := config.NewApplier(kvstore.Connect(network.System().HTTP2Client(), h.cluster.StoreURL())).Read(ctx)
	return r.Number(), err == nil
}

// balancersEndedSince reports whether all balancers were down at t or later.
func (h *harness) balancersEndedSince(t time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.noBalancerAt.Before(t)
}
