package store

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"
)

// TestSeedsQueriesRarelyWhileConnected guards the store against needless queries for
// registered balancers. Balancers that knew others once queried every two seconds, which
// made up 230 of 900 calls (standard benchmark day). A process that knows no balancer must
// still query that often.
func TestSeedsQueriesRarelyWhileConnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, calls := NewWithT(t), new(atomic.Int64)
		client := &Client{ListStale: func(context.Context, string) ([]Entry, error) {
			calls.Add(1)
			return []Entry{{Key: PrefixBalancers + "10.0.0.1:7000"}}, nil
		}}
		s := NewSeeds(client, nil, log.NewNopLogger())
		for range 60 {
			s.AddressesWhileConnected()
			time.Sleep(time.Second)
		}
		g.Expect(calls.Load()).To(BeNumerically("<=", 3))
		g.Expect(s.AddressesWhileConnected()).To(HaveLen(1))
		calls.Store(0)
		for range 60 {
			s.Addresses()
			time.Sleep(time.Second)
		}
		g.Expect(calls.Load()).To(BeNumerically(">=", 29), "a process that knows no balancer queries often")
	})
}

// TestOddRegistrationHidesNoOthers guards against one key that contains no usable address, and
// keeps all processes from finding the registered balancers.
func TestOddRegistrationHidesNoOthers(t *testing.T) {
	g := NewWithT(t)
	odd := []string{
		"", "nowhere", "10.0.0.1", "10.0.0.1:99999", "10.0.0.1:-1", "10.0.0.1:0", "0.0.0.0:7000", "224.0.0.1:7000", "\xff",
	}
	client := &Client{ListStale: func(context.Context, string) ([]Entry, error) {
		entries := []Entry{{Key: PrefixBalancers + "10.0.0.1:7000"}}
		for _, key := range odd {
			entries = append(entries, Entry{Key: PrefixBalancers + key})
		}
		return append(entries, Entry{Key: PrefixBalancers + "10.0.0.2:7000"}), nil
	}}
	addresses, keys, err := Registered(t.Context(), client)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(addresses).To(Equal([]netip.AddrPort{
		netip.MustParseAddrPort("10.0.0.1:7000"), netip.MustParseAddrPort("10.0.0.2:7000"),
	}))
	g.Expect(keys).To(HaveLen(len(odd)))
}
