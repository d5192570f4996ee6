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
	// maxSingleReads is the largest number of missing chunks that are read with one
	// call each. Beyond it, all chunks are read with a single List call.
	maxSingleReads = 16
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
		store *store.Client
		now   func() time.Time
	}

	// storedRevision is a revision as read from the store, with the version of the
	// head's key. It is zero if there is no head yet.
	storedRevision struct {
		revision *Revision
		version  uint64
	}
)

// NewApplier returns an Applier that writes to the store.
func NewApplier(s *store.Client) *Applier { return &Applier{store: s, now: time.Now} }

// Apply writes the proposal's chunks and then puts them in force with one
// compare-and-swap of the head. Failed calls are retried until ctx is canceled; if the
// response of a swap was lost, the head's history shows whether the swap took effect. An
// error from Change is returned unwrapped, with the result NotAccepted.
func (a *Applier) Apply(ctx context.Context, p Proposal) Outcome {
	rebased := false
	for {
		b, err := a.readWithRetry(ctx)
		if err != nil {
			return Outcome{Result: NotAccepted, Err: err}
		}
		if p.BaseRevision != nil && *p.BaseRevision != b.revision.Number() {
			return Outcome{Result: Conflict, Revision: b.revision.Number(), Current: b.revision}
		}
		outcome := a.applyTo(ctx, b, p)
		outcome.Rebased = rebased
		if outcome.Result == Conflict && outcome.Revision == b.revision.Number() && ctx.Err() == nil {
			// The collector has rewritten the head unchanged, which raises its
			// version, because it is about to remove unreferenced chunks.
			continue
		}
		if outcome.Result != Conflict || ctx.Err() != nil || !p.canRebase(b.revision, outcome) {
			return outcome
		}
		rebased = true
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

// Read returns the revision that the store has in force, or nil if there is none.
func (a *Applier) Read(ctx context.Context) (*Revision, error) {
	b, err := a.read(ctx)
	return b.revision, err
}

// applyTo makes one attempt to apply the proposal on top of the revision b.
func (a *Applier) applyTo(ctx context.Context, b storedRevision, p Proposal) Outcome {
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
	if string(head.GetDigest()) == string(b.revision.head().GetDigest()) {
		return Outcome{Result: Unchanged, Revision: b.revision.Number(), Current: b.revision}
	}
	for _, c := range chunks {
		if _, ok := b.revision.Chunk(c.Digest[:]); ok {
			continue
		}
		if err := a.writeChunk(ctx, c); err != nil {
			return Outcome{Result: NotAccepted, Current: b.revision, Err: err}
		}
	}
	outcome := a.swapHead(ctx, b, head, chunks)
	outcome.proposed = cfg
	return outcome
}

// swapHead retries the compare-and-swap of the head until its outcome is known or ctx
// is canceled. Retrying is idempotent: the expected version lets at most one of the attempts
// take effect.
func (a *Applier) swapHead(ctx context.Context, b storedRevision, head *controlv1.Head, chunks []Chunk) Outcome {
	value, err := proto.Marshal(head)
	if err != nil {
		return Outcome{Result: NotAccepted, Current: b.revision, Err: Error.Wrap(err)}
	}
	w := store.Write{Key: store.KeyHead, ExpectedVersion: b.version, Value: value}
	var swap store.Swap
	err = retry(ctx, func() error {
		swap, err = a.store.CompareAndSwap(ctx, w)
		return err
	})
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

// readWithRetry reads the head and its chunks, and retries until it succeeds or ctx is
// canceled.
func (a *Applier) readWithRetry(ctx context.Context) (storedRevision, error) {
	var b storedRevision
	err := retry(ctx, func() (err error) {
		b, err = a.read(ctx)
		return err
	})
	return b, err
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

func (a *Applier) read(ctx context.Context) (storedRevision, error) {
	e, err := a.store.Get(ctx, store.KeyHead)
	if err != nil || e.Version == 0 {
		return storedRevision{}, err
	}
	var head controlv1.Head
	if err := proto.Unmarshal(e.Value, &head); err != nil {
		return storedRevision{}, Error.Wrap(err)
	}
	r, err := a.assemble(ctx, &head)
	return storedRevision{revision: r, version: e.Version}, err
}

func (a *Applier) assemble(ctx context.Context, head *controlv1.Head) (*Revision, error) {
	values, err := ReadChunks(ctx, a.store, nil, head)
	if err != nil {
		return nil, err
	}
	return Assemble(head, values)
}

// ReadChunks returns the contents of the chunks that the head references. Chunks that
// known contains are taken from it, the others are read from the store. If more than
// maxSingleReads are missing, it reads all chunks with one List call, so the result may
// contain chunks that the head doesn't reference.
func ReadChunks(ctx context.Context, s *store.Client, known *Revision, head *controlv1.Head) ([][]byte, error) {
	missing := known.Missing(head)
	if len(missing) > maxSingleReads {
		return listChunks(ctx, s)
	}
	var values [][]byte
	for _, ref := range head.GetChunks() {
		if c, ok := known.Chunk(ref.GetDigest()); ok {
			values = append(values, c.Value)
		}
	}
	for _, digest := range missing {
		e, err := s.Get(ctx, store.ChunkKey(digest))
		if err != nil {
			return nil, err
		}
		values = append(values, e.Value)
	}
	return values, nil
}

// listChunks returns the contents of all chunks in the store.
func listChunks(ctx context.Context, s *store.Client) ([][]byte, error) {
	entries, err := s.List(ctx, store.PrefixChunk)
	if err != nil {
		return nil, err
	}
	values := make([][]byte, 0, len(entries))
	for _, e := range entries {
		values = append(values, e.Value)
	}
	return values, nil
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
