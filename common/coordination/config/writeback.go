package config

import (
	"context"

	"google.golang.org/protobuf/proto"

	"arbutusfront.dev/common/coordination/store"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
)

// WriteBack writes the revision to the store if the store's head is older or missing, as after
// the store was restored from a backup. It reports whether it wrote the head. The head keeps
// the era in which it was accepted, because a process may have a later revision than r.
func (a *Applier) WriteBack(ctx context.Context, r *Revision) (bool, error) {
	e, err := a.store.Get(ctx, store.KeyHead)
	if err != nil {
		return false, err
	}
	era := a.store.Eras.Current()
	var stored controlv1.Head
	if err := proto.Unmarshal(e.Value, &stored); err != nil {
		return false, Error.Wrap(err)
	}
	if stored.GetRevision() >= r.Number() {
		return false, nil
	}
	if err := a.writeChunks(ctx, unreferenced(r.Chunks(), &stored)); err != nil {
		return false, err
	}
	value, err := proto.Marshal(r.Head)
	if err != nil {
		return false, Error.Wrap(err)
	}
	if a.store.Eras.Current() != era {
		return false, Error.Wrap(store.ErrFormerEra)
	}
	swap, err := a.store.CompareAndSwap(ctx, store.Write{Key: store.KeyHead, ExpectedVersion: e.Version, Value: value})
	if err == nil && a.store.Eras.Current() != era {
		// The head was written to a store that was restored again, and has lost chunks.
		err = a.writeChunks(ctx, r.Chunks())
	}
	return swap.Swapped, err
}

// unreferenced returns the chunks that the head does not reference.
func unreferenced(chunks []Chunk, head *controlv1.Head) []Chunk {
	referenced := make(map[string]bool, len(head.GetChunks()))
	for _, ref := range head.GetChunks() {
		referenced[string(ref.GetDigest())] = true
	}
	var out []Chunk
	for _, c := range chunks {
		if !referenced[string(c.Digest[:])] {
			out = append(out, c)
		}
	}
	return out
}
