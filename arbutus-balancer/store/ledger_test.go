package store

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"arbutusfront.dev/arbutus-balancer/fabric"
	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/coordination/store"
	"arbutusfront.dev/common/protocol/ipv4"
)

var errAway = errors.New("the store is away")

// oneKey is a store of one key. Only away changes while a ledger runs.
type oneKey struct {
	entry  store.Entry
	writes int
	away   atomic.Bool
	// lost has the next write take effect without an answer.
	lost   bool
	leases uint64
	ended  bool
}

func (s *oneKey) client() *store.Client {
	return &store.Client{
		Get: func(context.Context, string) (store.Entry, error) {
			if s.away.Load() {
				return store.Entry{}, errAway
			}
			return s.entry, nil
		},
		CompareAndSwap: func(_ context.Context, w store.Write) (store.Swap, error) {
			if s.away.Load() {
				return store.Swap{}, errAway
			}
			if w.ExpectedVersion != s.entry.Version {
				return store.Swap{Entry: s.entry}, nil
			}
			s.writes++
			s.entry = store.Entry{Key: w.Key, Value: w.Value, Version: s.entry.Version + 1}
			if s.lost {
				s.lost = false
				return store.Swap{}, errAway
			}
			return store.Swap{Swapped: true, Entry: s.entry}, nil
		},
		Grant: func(context.Context, time.Duration) (uint64, error) {
			s.leases++
			return s.leases, nil
		},
		KeepAlive: func(context.Context, uint64) (bool, error) { return !s.ended, nil },
	}
}

func rememberedFlows(n int) []fabric.RememberedFlow {
	flows := make([]fabric.RememberedFlow, 0, n)
	for i := range n {
		flows = append(flows, fabric.RememberedFlow{
			Key: ipv4.FlowKey{
				Caller:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(i >> 8), byte(i)}), 1024),
				Service: netip.MustParseAddrPort("10.80.0.1:80"),
			},
			Agent: fmt.Sprintf("agent-%d", i/2), Service: 7, ServerRun: uint64(i / 2), Acknowledged: uint32(i),
		})
	}
	return flows
}

// keepLedger runs a ledger of the flows for the time, and returns what it restored.
func keepLedger(s *oneKey, flows []fabric.RememberedFlow, d time.Duration, during func()) []fabric.RememberedFlow {
	self := balancerNamed("balancer-1")
	var restored []fabric.RememberedFlow
	l := NewLedger(
		s.client(), state.NewNode(self), self, log.NewNopLogger(),
		func() []fabric.RememberedFlow { return flows },
		func(f []fabric.RememberedFlow) { restored = f },
	)
	ctx, cancel := context.WithCancel(context.Background())
	done := l.Run(ctx)
	if during != nil {
		during()
	}
	time.Sleep(d)
	cancel()
	if err := <-done; err != nil {
		panic(err)
	}
	return restored
}

// TestLedgerOutlivesItsBalancer restores in one run what the run before remembered.
func TestLedgerOutlivesItsBalancer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, s := NewWithT(t), new(oneKey)
		flows := rememberedFlows(5)
		g.Expect(keepLedger(s, flows, 10*time.Second, nil)).To(BeEmpty())
		g.Expect(s.writes).To(Equal(1), "what has not changed is not written again")
		g.Expect(keepLedger(s, nil, time.Second, nil)).To(Equal(flows))
	})
}

// TestLedgerBearsFaults has the store lose an answer, go away, end the lease, and hold
// what can't be read.
func TestLedgerBearsFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, s := NewWithT(t), &oneKey{lost: true}
		flows := rememberedFlows(3)
		keepLedger(s, flows, 10*time.Second, nil)
		g.Expect(keepLedger(s, flows[:2], 10*time.Second, nil)).To(Equal(flows))

		s.away.Store(true)
		restored := keepLedger(s, flows[:1], 10*time.Second, func() {
			time.Sleep(time.Minute)
			s.away.Store(false)
		})
		g.Expect(restored).To(Equal(flows[:2]), "asked again while the store is away")
		s.ended = true
		keepLedger(s, rememberedFlows(9), time.Minute, nil)
		g.Expect(keepLedger(s, nil, time.Second, nil)).To(HaveLen(9))

		s.entry.Value = []byte("not a ledger")
		g.Expect(keepLedger(s, flows, 10*time.Second, nil)).To(BeEmpty())
		g.Expect(keepLedger(s, nil, time.Second, nil)).To(Equal(flows))
	})
}

// TestLedgerBounds keeps the writes of all balancers and the size of a value within their
// bounds.
func TestLedgerBounds(t *testing.T) {
	g := NewWithT(t)
	self := balancerNamed("balancer-1")
	node := state.NewNode(self)
	l := NewLedger(new(oneKey).client(), node, self, log.NewNopLogger(), nil, nil)
	g.Expect(l.interval()).To(Equal(ledgerInterval))
	for i := range 2400 {
		node.Table.Merge(balancerNamed(fmt.Sprintf("balancer-%d", i)))
	}
	node.Table.Merge(member.Member{Name: "agent", Role: member.Agent, Instance: 1, Phase: member.Serving})
	g.Expect(l.interval()).To(Equal(2400 * time.Second / ledgerWritesPerSecond))

	value, err := encodeLedger(rememberedFlows(60_000))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(value)).To(BeNumerically("<", 1<<20))
}
