package store

import (
	"context"
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
		client := &Client{List: func(context.Context, string) ([]Entry, error) {
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
