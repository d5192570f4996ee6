package store

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
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

var errUnreachable = errors.New("the store is unreachable")

// singleKeyStore is a store of one key. A test may change unreachable and lost, and no other
// field, while a ledger runs.
type singleKeyStore struct {
	// mu is held during each call.
	mu          sync.Mutex
	entry       store.Entry
	writes      int
	unreachable atomic.Bool
	// loseResponse makes the next write take effect but return an error.
	loseResponse bool
	grants       uint64
	leaseEnded   bool
	eras         *store.Eras
	// lost makes the next call find that the entry is gone.
	lost atomic.Bool
	// leases has the leases under which the entry was written, in order.
	leases []uint64
}

func (s *singleKeyStore) client() *store.Client {
	return &store.Client{
		Eras: s.eras,
		Get: func(context.Context, string) (store.Entry, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.unreachable.Load() {
				return store.Entry{}, errUnreachable
			}
			return s.entry, nil
		},
		List: func(context.Context, string) ([]store.Entry, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.unreachable.Load() {
				return nil, errUnreachable
			}
			return []store.Entry{s.entry}, nil
		},
		CompareAndSwap: func(_ context.Context, w store.Write) (store.Swap, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.unreachable.Load() {
				return store.Swap{}, errUnreachable
			}
			if s.lost.CompareAndSwap(true, false) {
				s.entry = store.Entry{}
			}
			if w.ExpectedVersion != s.entry.Version {
				return store.Swap{Entry: s.entry}, nil
			}
			s.writes++
			s.leases = append(s.leases, w.Lease)
			s.entry = store.Entry{Key: w.Key, Value: w.Value, Version: s.entry.Version + 1}
			if s.loseResponse {
				s.loseResponse = false
				return store.Swap{}, errUnreachable
			}
			return store.Swap{Swapped: true, Entry: s.entry}, nil
		},
		Grant: func(context.Context, time.Duration) (uint64, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.grants++
			return s.grants, nil
		},
		KeepAlive: func(context.Context, uint64) (bool, error) { return !s.leaseEnded, nil },
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

// runLedger runs a ledger that saves the flows for the time, and returns the flows that
// it restored.
func runLedger(
	s *singleKeyStore, flows []fabric.RememberedFlow, d time.Duration, during func(),
) []fabric.RememberedFlow {
	self := balancerNamed("balancer-1")
	var restored []fabric.RememberedFlow
	l := NewLedger(
		s.client(), state.NewNode(self), self, log.NewNopLogger(), Flows{
			Remembered: func() []fabric.RememberedFlow { return flows },
			Restore:    func(f []fabric.RememberedFlow) { restored = f },
		},
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

// TestLedgerIsRestoredByNextRun guards against the loss of a balancer's remembered flows
// when the balancer restarts.
func TestLedgerIsRestoredByNextRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, s := NewWithT(t), new(singleKeyStore)
		flows := rememberedFlows(5)
		g.Expect(runLedger(s, flows, 10*time.Second, nil)).To(BeEmpty())
		g.Expect(s.writes).To(Equal(1), "an unchanged ledger is not written again")
		g.Expect(runLedger(s, nil, time.Second, nil)).To(Equal(flows))
	})
}

// TestLedgerSurvivesStoreFaults guards against a ledger that is no longer written after
// a fault: the response to a write is lost, or the store is unreachable, expires the
// lease, or holds a value that can't be decoded.
func TestLedgerSurvivesStoreFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, s := NewWithT(t), &singleKeyStore{loseResponse: true}
		flows := rememberedFlows(3)
		runLedger(s, flows, 10*time.Second, nil)
		g.Expect(runLedger(s, flows[:2], 10*time.Second, nil)).To(Equal(flows))

		s.unreachable.Store(true)
		restored := runLedger(s, flows[:1], 10*time.Second, func() {
			time.Sleep(time.Minute)
			s.unreachable.Store(false)
		})
		g.Expect(restored).To(Equal(flows[:2]), "the store is queried again until it is reachable")
		s.leaseEnded = true
		runLedger(s, rememberedFlows(9), time.Minute, nil)
		g.Expect(runLedger(s, nil, time.Second, nil)).To(HaveLen(9))

		s.entry.Value = []byte("not a ledger")
		g.Expect(runLedger(s, flows, 10*time.Second, nil)).To(BeEmpty())
		g.Expect(runLedger(s, nil, time.Second, nil)).To(Equal(flows))
	})
}

// TestLedgerIsWrittenAgainAfterRestore guards against flows that are lost with the next power
// loss: a restored store has an older ledger or none, and not the lease of the latest one.
func TestLedgerIsWrittenAgainAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, s := NewWithT(t), &singleKeyStore{eras: store.NewEras()}
		g.Expect(s.eras.Observe(1)).To(Succeed())
		flows := rememberedFlows(3)
		runLedger(s, flows, 2*ledgerInterval+time.Second, func() {
			time.Sleep(10 * time.Second)
			s.lost.Store(true)
			g.Expect(s.eras.Observe(2)).To(Succeed())
		})
		g.Expect(s.leases).To(Equal([]uint64{1, 2}), "one write in each era, with a lease of that era")
		g.Expect(runLedger(s, nil, time.Second, nil)).To(Equal(flows))
	})
}

// TestLedgerBounds guards against an overloaded store in a large fleet: the writes of all
// balancers together and the size of a value must remain within their bounds.
func TestLedgerBounds(t *testing.T) {
	g := NewWithT(t)
	self := balancerNamed("balancer-1")
	node := state.NewNode(self)
	l := NewLedger(new(singleKeyStore).client(), node, self, log.NewNopLogger(), Flows{})
	g.Expect(l.interval()).To(Equal(ledgerInterval))
	const balancers = 20 * balancersPerGroup
	for i := range balancers {
		node.Table.Merge(balancerNamed(fmt.Sprintf("balancer-%d", i)))
	}
	node.Table.Merge(member.Member{Name: "agent", Role: member.Agent, Instance: 1, Phase: member.Serving})
	writers, s := 0, node.Table.Snapshot()
	for _, m := range s.Members {
		if _, elected := groupOf(s, m); elected && m.Role == member.Balancer {
			writers++
		}
	}
	g.Expect(writers).To(Equal(balancers / balancersPerGroup))
	g.Expect(float64(writers) / l.interval().Seconds()).To(BeNumerically("<=", ledgerWritesPerSecond))

	ledgers := make(map[string]groupLedger)
	for i := range balancersPerGroup {
		value, err := encodeLedger(rememberedFlows(60_000), maxGroupBytes/balancersPerGroup)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(len(value)).To(BeNumerically("<=", maxGroupBytes/balancersPerGroup))
		ledgers[fmt.Sprintf("balancer-%d", i)] = groupLedger{encoded: value}
	}
	value, err := encodeGroup(ledgers)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(value)).To(BeNumerically("<", 1<<20))
}
