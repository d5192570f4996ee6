package config

import (
	"context"

	"google.golang.org/protobuf/proto"

	"arbutusfront.dev/common/coordination/store"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
)

// maxSingleReads is the largest number of missing chunks that are read with one call each.
// Beyond it, all chunks are read with a single List call.
const maxSingleReads = 16

// readWithRetry reads the head and its chunks, and retries until it succeeds or ctx is
// canceled.
func (a *Applier) readWithRetry(ctx context.Context) (base, error) {
	var b base
	err := retry(ctx, func() (err error) {
		b, err = a.read(ctx)
		return err
	})
	return b, err
}

// read returns the revision in force. If the store's head was accepted in a former era of the
// store, or there is none, the store may have lost later revisions: the processes are then
// queried for theirs. It fails if the store has a head and no process can be queried.
func (a *Applier) read(ctx context.Context) (base, error) {
	b, err := a.readStored(ctx)
	if err != nil || a.inForce == nil || b.stored != nil && b.stored.Head.GetStoreEra() == b.era {
		return b, err
	}
	r, err := a.inForce(ctx, b.stored)
	if err != nil {
		if b.stored == nil {
			return b, nil
		}
		return base{}, Error.New(
			"the store was restored after revision %d was accepted, and no balancer says whether a later one is in force: %w",
			b.stored.Number(), err)
	}
	if r.Number() > b.stored.Number() {
		b.revision = r
	}
	return b, nil
}

// readStored returns the revision that the store has.
func (a *Applier) readStored(ctx context.Context) (base, error) {
	e, err := a.store.Get(ctx, store.KeyHead)
	if err != nil || e.Version == 0 {
		return base{era: a.store.Eras.Current()}, err
	}
	era := a.store.Eras.Current()
	var head controlv1.Head
	if err := proto.Unmarshal(e.Value, &head); err != nil {
		return base{}, Error.Wrap(err)
	}
	r, err := a.assemble(ctx, &head)
	return base{revision: r, stored: r, version: e.Version, era: era}, err
}

func (a *Applier) assemble(ctx context.Context, head *controlv1.Head) (*Revision, error) {
	values, err := ReadChunks(ctx, a.store, nil, head)
	if err != nil {
		return nil, err
	}
	return Assemble(head, values)
}

// contains reports whether the apply with the ID led to the revision or to one before it, as
// far as the head's history goes back.
func (r *Revision) contains(applyID string) bool {
	if r == nil {
		return false
	}
	if r.Head.GetAccepted().GetApplyId() == applyID {
		return true
	}
	for _, earlier := range r.Head.GetHistory() {
		if earlier.GetApplyId() == applyID {
			return true
		}
	}
	return false
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
