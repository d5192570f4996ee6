package sessions

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"arbutusfront.dev/arbutus-lab/store"
	kvstore "arbutusfront.dev/common/coordination/store"
	storev1 "arbutusfront.dev/common/protocol/gen/arbutus/store/v1"
)

// directClient returns a store client that calls s directly, without a network.
func directClient(s *store.Store) *kvstore.Client {
	eras := kvstore.NewEras()
	entry := func(e *storev1.Entry) kvstore.Entry {
		return kvstore.Entry{Key: e.GetKey(), Value: e.GetValue(), Version: e.GetVersion()}
	}
	return &kvstore.Client{
		Eras: eras,
		Get: func(ctx context.Context, key string) (kvstore.Entry, error) {
			out, err := direct(ctx, s, eras, s.Get, &storev1.GetRequest{Key: key})
			return entry(out.GetEntry()), err
		},
		List: func(ctx context.Context, prefix string) ([]kvstore.Entry, error) {
			out, err := direct(ctx, s, eras, s.List, &storev1.ListRequest{Prefix: prefix})
			var entries []kvstore.Entry
			for _, e := range out.GetEntries() {
				entries = append(entries, entry(e))
			}
			return entries, err
		},
		Grant: func(ctx context.Context, ttl time.Duration) (uint64, error) {
			out, err := direct(ctx, s, eras, s.Grant, &storev1.GrantRequest{TtlMillis: uint32(ttl.Milliseconds())})
			return out.GetLease(), err
		},
		KeepAlive: func(ctx context.Context, lease uint64) (bool, error) {
			out, err := direct(ctx, s, eras, s.KeepAlive, &storev1.KeepAliveRequest{Lease: lease})
			return out.GetAlive(), err
		},
		CompareAndSwap: func(ctx context.Context, w kvstore.Write) (kvstore.Swap, error) {
			out, err := direct(ctx, s, eras, s.CompareAndSwap, &storev1.CompareAndSwapRequest{
				Key: w.Key, ExpectedVersion: w.ExpectedVersion, Value: w.Value, Lease: w.Lease, Delete: w.Delete,
			})
			return kvstore.Swap{Swapped: out.GetSwapped(), Entry: entry(out.GetEntry())}, err
		},
	}
}

// direct makes a call and records the store's era. On an error the returned message is nil,
// whose getters return zero values.
func direct[I, O any](
	ctx context.Context, s *store.Store, eras *kvstore.Eras,
	f func(context.Context, *connect.Request[I]) (*connect.Response[O], error), in *I,
) (*O, error) {
	out, err := f(ctx, connect.NewRequest(in))
	if err != nil {
		return nil, err
	}
	return out.Msg, eras.Observe(s.Era())
}
