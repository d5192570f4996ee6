package config

import (
	"context"

	"google.golang.org/protobuf/proto"

	"arbutusfront.dev/common/coordination/store"
)

// WriteBack writes the revision to the store if the store's head is older or missing, as after
// the store was restored from a backup. It reports whether it wrote the head. The head keeps
// the era in which it was accepted, because a process may have a later revision than r.
func (a *Applier) WriteBack(ctx context.Context, r *Revision) (bool, error) {
	b, err := a.readStored(ctx)
	if err != nil || b.stored.Number() >= r.Number() {
		return false, err
	}
	if err := a.writeChunks(ctx, r.Chunks(), b.stored); err != nil {
		return false, err
	}
	value, err := proto.Marshal(r.Head)
	if err != nil {
		return false, Error.Wrap(err)
	}
	if a.store.Eras.Current() != b.era {
		return false, Error.Wrap(store.ErrFormerEra)
	}
	swap, err := a.store.CompareAndSwap(ctx, store.Write{Key: store.KeyHead, ExpectedVersion: b.version, Value: value})
	return swap.Swapped, err
}
