// Package store is the client of the platform's key-value store.
//
// # Usage
//
//	c := store.Connect(httpClient, "http://127.0.0.1:7700")
//	e, err := c.Get(ctx, store.KeyHead)
//	swap, err := c.CompareAndSwap(ctx, store.Write{...})
//
// Each call counts against the store's limits on calls; a waiting watch counts as one call.
// A call that fails may still have taken effect, as perhaps only its response was lost: read
// the key again before retrying. Errors are of class Error and wrap the cause, such as a
// canceled context.
package store

import (
	"context"
	"encoding/hex"
	"errors"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/zeebo/errs"

	storev1 "arbutusfront.dev/common/protocol/gen/arbutus/store/v1"
	"arbutusfront.dev/common/protocol/gen/arbutus/store/v1/storev1connect"
)

// Keys of the deployment, and prefixes of keys.
const (
	// KeyHead is the key of the head, which references the configuration in force.
	KeyHead = "arbutus/head"
	// KeyCollector is the key of the lease of the balancer that removes unreferenced
	// chunks.
	KeyCollector = "arbutus/collector"
	// PrefixChunk is followed by the hexadecimal digest of a chunk.
	PrefixChunk = "arbutus/chunk/"
	// PrefixBalancers is followed by the packet address of a registered balancer.
	PrefixBalancers = "arbutus/balancers/"
	// PrefixLedgers is followed by a failure domain and the number of a group of its
	// balancers. The key contains the ledgers of that group: for each balancer the part of its
	// flow table that its next incarnation restores.
	PrefixLedgers = "arbutus/flows/"
)

// callTimeout is the deadline of a call; a watch has its waiting time in addition.
const callTimeout = 2 * time.Second

// ChunkKey returns the key of the chunk with the given digest.
func ChunkKey(digest []byte) string { return PrefixChunk + hex.EncodeToString(digest) }

// DomainLedgers returns the prefix of the keys with the ledgers of the failure domain's balancers.
func DomainLedgers(domain string) string { return PrefixLedgers + domain + "/" }

// LedgerKey returns the key with the ledgers of a group of the failure domain's balancers.
func LedgerKey(domain string, group int) string { return DomainLedgers(domain) + strconv.Itoa(group) }

// RegistrationKey returns the key under which the balancer with the given packet address is
// registered.
func RegistrationKey(packet netip.AddrPort) string { return PrefixBalancers + packet.String() }

// Registered returns the packet addresses of the registered balancers, and the keys that contain
// none, which someone else must have written.
func Registered(ctx context.Context, c *Client) (addresses []netip.AddrPort, odd []string, err error) {
	entries, err := c.ListStale(ctx, PrefixBalancers)
	if err != nil {
		return nil, nil, err
	}
	addresses = make([]netip.AddrPort, 0, len(entries))
	for _, e := range entries {
		a, err := netip.ParseAddrPort(strings.TrimPrefix(e.Key, PrefixBalancers))
		if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
			odd = append(odd, e.Key)
			continue
		}
		addresses = append(addresses, a)
	}
	return addresses, odd, nil
}

// Error is the class of this package's errors.
var Error = errs.Class("store")

type (
	// Entry is the value of a key. Its version increases with each write of the same era;
	// version 0 means that the key does not exist.
	Entry struct {
		Key     string
		Value   []byte
		Version uint64
	}

	// Write is a compare-and-swap of a key. It takes effect only if the key's version
	// is ExpectedVersion, which is 0 for a key that does not exist. Lease is the lease
	// that the key is bound to; 0 means none. With Delete, the key is removed.
	Write struct {
		Key             string
		ExpectedVersion uint64
		Value           []byte
		Lease           uint64
		Delete          bool
	}

	// Swap is the outcome of a Write: whether it took effect, and the key's entry
	// afterwards.
	Swap struct {
		Swapped bool
		Entry   Entry
	}

	// Client contains the calls of the store. Tests replace single calls.
	Client struct {
		Get  func(ctx context.Context, key string) (Entry, error)
		List func(ctx context.Context, prefix string) ([]Entry, error)
		// ListStale is like List, but the entries may be some seconds old.
		ListStale      func(ctx context.Context, prefix string) ([]Entry, error)
		CompareAndSwap func(ctx context.Context, w Write) (Swap, error)
		// Watch blocks until the key has a version higher than after, or until wait
		// has passed. In the latter case the returned version is not higher.
		Watch func(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error)
		// Grant creates a lease that expires after ttl.
		Grant func(ctx context.Context, ttl time.Duration) (lease uint64, err error)
		// KeepAlive renews a lease, and reports whether it still exists.
		KeepAlive func(ctx context.Context, lease uint64) (alive bool, err error)
		// Eras tracks the store's era, which the calls record.
		Eras *Eras
	}
)

// Connect returns a client of the store at the URL. Each call has its own deadline. A call
// whose response belongs to a former era fails with ErrFormerEra.
func Connect(client *http.Client, url string) *Client {
	rpc := storev1connect.NewStoreServiceClient(client, url)
	eras := NewEras()
	list := func(ctx context.Context, prefix string) ([]Entry, error) {
		out, err := call(ctx, eras, callTimeout, rpc.List, &storev1.ListRequest{Prefix: prefix})
		entries := make([]Entry, 0, len(out.GetEntries()))
		for _, e := range out.GetEntries() {
			entries = append(entries, decode(e.GetKey(), e))
		}
		return entries, err
	}
	return &Client{
		Eras:      eras,
		List:      list,
		ListStale: list,
		Get: func(ctx context.Context, key string) (Entry, error) {
			out, err := call(ctx, eras, callTimeout, rpc.Get, &storev1.GetRequest{Key: key})
			return decode(key, out.GetEntry()), err
		},
		CompareAndSwap: func(ctx context.Context, w Write) (Swap, error) {
			out, err := call(ctx, eras, callTimeout, rpc.CompareAndSwap, &storev1.CompareAndSwapRequest{
				Key:             w.Key,
				ExpectedVersion: w.ExpectedVersion,
				Value:           w.Value,
				Lease:           w.Lease,
				Delete:          w.Delete,
			})
			return Swap{Swapped: out.GetSwapped(), Entry: decode(w.Key, out.GetEntry())}, err
		},
		Watch: func(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error) {
			out, err := call(ctx, eras, wait+callTimeout, rpc.Watch, &storev1.WatchRequest{
				Key: key, AfterVersion: after, WaitMillis: uint32(wait.Milliseconds()),
			})
			return decode(key, out.GetEntry()), err
		},
		Grant: func(ctx context.Context, ttl time.Duration) (uint64, error) {
			out, err := call(ctx, eras, callTimeout, rpc.Grant, &storev1.GrantRequest{TtlMillis: uint32(ttl.Milliseconds())})
			return out.GetLease(), err
		},
		KeepAlive: func(ctx context.Context, lease uint64) (bool, error) {
			out, err := call(ctx, eras, callTimeout, rpc.KeepAlive, &storev1.KeepAliveRequest{Lease: lease})
			return out.GetAlive(), err
		},
	}
}

// call makes a unary call with a deadline. On an error the returned message is nil, whose
// getters return zero values.
func call[I, O any](
	ctx context.Context,
	eras *Eras,
	timeout time.Duration,
	rpc func(context.Context, *connect.Request[I]) (*connect.Response[O], error),
	in *I,
) (*O, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	out, err := rpc(ctx, connect.NewRequest(in))
	if err != nil {
		if failed := new(connect.Error); errors.As(err, &failed) {
			err = errors.Join(err, eras.Observe(EraOf(failed.Meta())))
		}
		return nil, Error.Wrap(err)
	}
	if err := eras.Observe(EraOf(out.Header())); err != nil {
		return nil, Error.Wrap(err)
	}
	return out.Msg, nil
}

func decode(key string, e *storev1.Entry) Entry {
	return Entry{Key: key, Value: e.GetValue(), Version: e.GetVersion()}
}
