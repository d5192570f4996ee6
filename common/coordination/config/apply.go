package config

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"arbutusfront.dev/common/coordination/store"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
	"arbutusfront.dev/common/transport/wait"
)

const (
	// historyLength is the number of earlier applies that a head lists.
	historyLength = 64
)

var retryBackoff = wait.Backoff{First: 20 * time.Millisecond, Limit: 500 * time.Millisecond}

// Results of an apply.
const (
	// Accepted means that the configuration was written and is now in force.
	Accepted Result = "accepted"
	// Unchanged means that an equal configuration was already in force.
	Unchanged Result = "unchanged"
	// Conflict means that another apply came first: the head has changed, or
	// BaseRevision is not in force. This apply had no effect.
	Conflict Result = "conflict"
	// NotAccepted means that the apply failed before it tried to write the head, for
	// example because the store could not be reached. The configuration in force is
	// unaffected.
	NotAccepted Result = "not accepted"
	// Unknown means that the write of the head may have taken effect, or may still
	// do so: its response was lost or can't be decoded.
	Unknown Result = "unknown"

	// restored means that the store was restored from a backup during the apply. It is
	// unknown whether the apply took effect, and whether that was kept.
	restored Result = "restored"
)

type (
	// Result is the kind of outcome of an apply.
	Result string

	// Proposal is a configuration change to apply. Change computes the new
	// configuration from the revision in force, which is nil if there is none yet.
	// ID identifies the apply in the head's history and must be unique.
	Proposal struct {
		ID      string
		Author  string
		Summary string
		// BaseRevision is the revision number that must be in force, or the apply ends
		// in a Conflict. With nil, any revision is accepted.
		BaseRevision *uint64
		// Rebase makes a conflicting apply call Change again on the new revision, if
		// the two changes have no path in common or if the other apply has already
		// made the same change.
		Rebase bool
		Change func(current *Revision) (Config, error)
	}

	// Outcome describes how an apply ended. Revision is the number that was written or,
	// with Unknown, may have been written; with Unchanged and Conflict it is the number
	// in force, with NotAccepted 0. Current is the revision in force at the end of the
	// apply, or the last one that was read; nil if none was. Rebased is set if the
	// change was rebased after a conflict. Err is the cause of a failure, if there is
	// one.
	Outcome struct {
		Result   Result
		Revision uint64
		Current  *Revision
		Rebased  bool
		Err      error
		proposed Config
	}

	// Applier writes configurations to the store, which puts them in force.
	Applier struct {
		store   *store.Client
		now     func() time.Time
		inForce func(ctx context.Context, known *Revision) (*Revision, error)
	}

	// Option changes how an Applier is built.
	Option func(*Applier)

	// attempts describes the earlier attempts of an apply: whether one may have taken
	// effect, and whether its change was rebased.
	attempts struct {
		uncertain bool
		rebased   bool
	}

	// base is the revision in force that an apply changes, and what the store has: the
	// version of the head's key, and the revision of that head. Stored is older than
	// revision if the store has been restored from a backup. All are zero if there is no
	// head yet. Era is the store's era in which the head was read.
	base struct {
		revision *Revision
		stored   *Revision
		version  uint64
		era      uint64
	}
)

// WithInForce sets the function that queries the processes for the latest revision that any of
// them has in force, and fails if none has any. The Applier calls it with the store's revision,
// which may be nil, if the store may have lost a later one.
func WithInForce(f func(ctx context.Context, known *Revision) (*Revision, error)) Option {
	return func(a *Applier) { a.inForce = f }
}

// NewApplier returns an Applier that writes to the store.
func NewApplier(s *store.Client, opts ...Option) *Applier {
	a := &Applier{store: s, now: time.Now}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Apply writes the proposal's chunks and then puts them in force with one
// compare-and-swap of the head. Failed calls are retried until ctx is canceled; if the
// response of a swap was lost, the head's history shows whether the swap took effect. If the
// store is restored from a backup meanwhile, Apply starts again. An error from Change is
// returned unwrapped, with the result NotAccepted.
func (a *Applier) Apply(ctx context.Context, p Proposal) Outcome {
	var earlier attempts
	for {
		outcome, again := a.attempt(ctx, p, &earlier)
		if !again {
			return outcome
		}
	}
}

// attempt makes one attempt to apply the proposal. It reports whether another one is needed.
func (a *Applier) attempt(ctx context.Context, p Proposal, earlier *attempts) (outcome Outcome, again bool) {
	b, err := a.readWithRetry(ctx)
	if err != nil {
		return earlier.readFailed(err), false
	}
	if earlier.uncertain && b.revision.contains(p.ID) {
		return Outcome{
			Result: Accepted, Revision: b.revision.Number(), Current: b.revision, Rebased: earlier.rebased,
		}, false
	}
	if p.BaseRevision != nil && *p.BaseRevision != b.revision.Number() {
		return Outcome{Result: Conflict, Revision: b.revision.Number(), Current: b.revision}, false
	}
	outcome = a.applyTo(ctx, b, p)
	outcome.Rebased = earlier.rebased
	if ctx.Err() == nil && earlier.mustRepeat(outcome, b, p) {
		return outcome, true
	}
	if outcome.Result == restored {
		outcome.Result, outcome.Err = Unknown, Error.Wrap(ctx.Err())
	}
	return outcome, false
}

// readFailed returns the outcome of an apply that can't read what is in force.
func (e *attempts) readFailed(err error) Outcome {
	if e.uncertain {
		return Outcome{Result: Unknown, Err: err}
	}
	return Outcome{Result: NotAccepted, Err: err}
}

// mustRepeat reports whether another attempt is needed after one on top of b with the outcome,
// and records why.
func (e *attempts) mustRepeat(o Outcome, b base, p Proposal) bool {
	switch {
	case o.Result == restored:
		e.uncertain = true
		return true
	case o.Result != Conflict:
		return false
	case o.Revision == b.revision.Number() || o.Revision == b.stored.Number():
		// The head has another version, but not another revision: the collector has
		// written it again because it is about to remove unreferenced chunks, or a
		// balancer has written back what the store had lost.
		return true
	case p.canRebase(b.revision, o):
		e.rebased = true
		return true
	default:
		return false
	}
}

// canRebase reports whether the proposal's Change may be applied to the revision that
// caused the conflict: the two changes have no path in common, or Change has no effect
// on that revision.
func (p Proposal) canRebase(base *Revision, o Outcome) bool {
	if !p.Rebase || base == nil || o.Current == nil {
		return false
	}
	own, err := Diff(base.Config, o.proposed)
	if err != nil {
		return false
	}
	theirs, err := Diff(base.Config, o.Current.Config)
	if err != nil {
		return false
	}
	if Disjoint(own, theirs) {
		return true
	}
	reapplied, err := p.Change(o.Current)
	if err != nil {
		return false
	}
	remaining, err := Diff(o.Current.Config, reapplied)
	return err == nil && len(remaining) == 0
}

// Read returns the revision in force, or nil if there is none. That is the store's, unless the
// store has lost a later one.
func (a *Applier) Read(ctx context.Context) (*Revision, error) {
	b, err := a.read(ctx)
	return b.revision, err
}

// applyTo makes one attempt to apply the proposal on top of the revision b.
func (a *Applier) applyTo(ctx context.Context, b base, p Proposal) Outcome {
	cfg, err := p.Change(b.revision)
	if err != nil {
		return Outcome{Result: NotAccepted, Current: b.revision, Err: err}
	}
	chunks, err := Split(cfg)
	if err != nil {
		return Outcome{Result: NotAccepted, Current: b.revision, Err: err}
	}
	head := NewHead(b.revision.head(), chunks, &controlv1.Accepted{
		ApplyId:    p.ID,
		Author:     p.Author,
		Summary:    p.Summary,
		UnixMillis: a.now().UnixMilli(),
	})
	head.StoreEra = b.era
	if string(head.GetDigest()) == string(b.revision.head().GetDigest()) {
		return Outcome{Result: Unchanged, Revision: b.revision.Number(), Current: b.revision}
	}
	if err := a.writeChunks(ctx, unreferenced(chunks, b.stored.head())); err != nil {
		return Outcome{Result: NotAccepted, Current: b.revision, Err: err}
	}
	outcome := a.swapHead(ctx, b, head, chunks)
	outcome.proposed = cfg
	if outcome.Result == restored {
		// The head may have been written to the restored store, which has lost chunks.
		outcome.Err = a.writeChunks(ctx, chunks)
	}
	return outcome
}

func (a *Applier) writeChunks(ctx context.Context, chunks []Chunk) error {
	for _, c := range chunks {
		if err := a.writeChunk(ctx, c); err != nil {
			return err
		}
	}
	return nil
}

// swapHead retries the compare-and-swap of the head until its outcome is known or ctx
// is canceled. Retrying is idempotent: the expected version lets at most one of the attempts
// take effect. That holds only within one era of the store, and so does that the store has the
// chunks, so the era is checked before each attempt.
func (a *Applier) swapHead(ctx context.Context, b base, head *controlv1.Head, chunks []Chunk) Outcome {
	value, err := proto.Marshal(head)
	if err != nil {
		return Outcome{Result: NotAccepted, Current: b.revision, Err: Error.Wrap(err)}
	}
	w := store.Write{Key: store.KeyHead, ExpectedVersion: b.version, Value: value}
	var swap store.Swap
	err = retry(ctx, func() error {
		if _, err := a.store.Get(ctx, store.KeyHead); err != nil || a.store.Eras.Current() != b.era {
			return err
		}
		swap, err = a.store.CompareAndSwap(ctx, w)
		return err
	})
	if a.store.Eras.Current() != b.era {
		return Outcome{Result: restored, Revision: head.GetRevision(), Current: b.revision, Err: err}
	}
	if err != nil {
		return Outcome{Result: Unknown, Revision: head.GetRevision(), Current: b.revision, Err: err}
	}
	return a.resolveSwap(ctx, swap, head, chunks)
}

// resolveSwap returns the outcome once the store has responded to a swap: Accepted or
// Conflict, or Unknown if the current head can't be decoded. A failed swap may be the
// retry of one that took effect while its response was lost, even if other applies have
// followed since: then the current head or its history contains the apply's ID.
func (a *Applier) resolveSwap(ctx context.Context, swap store.Swap, head *controlv1.Head, chunks []Chunk) Outcome {
	own := Outcome{Result: Accepted, Revision: head.GetRevision()}
	if swap.Swapped {
		own.Current, own.Err = Assemble(head, valuesOf(chunks))
		return own
	}
	var current controlv1.Head
	if err := proto.Unmarshal(swap.Entry.Value, &current); err != nil {
		return Outcome{Result: Unknown, Revision: head.GetRevision(), Err: Error.Wrap(err)}
	}
	id := head.GetAccepted().GetApplyId()
	if current.GetAccepted().GetApplyId() == id {
		own.Current, own.Err = Assemble(head, valuesOf(chunks))
		return own
	}
	for _, earlier := range current.GetHistory() {
		if earlier.GetApplyId() == id {
			own.Current, _ = a.Read(ctx)
			return own
		}
	}
	revision, err := a.assemble(ctx, &current)
	return Outcome{Result: Conflict, Revision: current.GetRevision(), Current: revision, Err: err}
}

// writeChunk writes the chunk even if the key exists already. A collector that is about
// to remove it as unreferenced expects the old version, so its removal then fails.
func (a *Applier) writeChunk(ctx context.Context, c Chunk) error {
	w := store.Write{Key: store.ChunkKey(c.Digest[:]), Value: c.Value}
	for {
		var swap store.Swap
		err := retry(ctx, func() (err error) {
			swap, err = a.store.CompareAndSwap(ctx, w)
			return err
		})
		if err != nil || swap.Swapped {
			return err
		}
		w.ExpectedVersion = swap.Entry.Version
	}
}

// retry calls f with backoff until it succeeds or ctx is canceled. In the latter case it
// returns the last error from before ctx was canceled, as that one shows the cause.
func retry(ctx context.Context, f func() error) error {
	var cause error
	for attempt := 0; ; attempt++ {
		err := f()
		if err == nil {
			return nil
		}
		if cause == nil || ctx.Err() == nil {
			cause = err
		}
		if !wait.For(ctx, retryBackoff.After(attempt)) {
			return cause
		}
	}
}

func (r *Revision) head() *controlv1.Head {
	if r == nil {
		return nil
	}
	return r.Head
}

func valuesOf(chunks []Chunk) [][]byte {
	values := make([][]byte, 0, len(chunks))
	for _, c := range chunks {
		values = append(values, c.Value)
	}
	return values
}
