package store

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"arbutusfront.dev/arbutus-balancer/fabric"
	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/coordination/member"
)

// ledgerFleet is a fleet of balancers of one failure domain with the ledgers of one store. All
// know each other.
type ledgerFleet struct {
	store *singleKeyStore
	stop  map[string]func()

	mu      sync.Mutex
	ledgers map[string]*Ledger
	// restored are the flows that the latest run of each balancer has restored.
	restored map[string][]fabric.RememberedFlow
}

func newLedgerFleet() *ledgerFleet {
	return &ledgerFleet{
		store: new(singleKeyStore), ledgers: make(map[string]*Ledger), stop: make(map[string]func()),
		restored: make(map[string][]fabric.RememberedFlow),
	}
}

// start starts the ledgers of n balancers, of which the i-th remembers i flows if they are
// withFlows.
func (f *ledgerFleet) start(n int, withFlows bool) {
	for i := range n {
		self := balancerNamed(fmt.Sprintf("balancer-%d", i))
		node := state.NewNode(self)
		for j := range n {
			node.Table.Merge(balancerNamed(fmt.Sprintf("balancer-%d", j)))
		}
		l := NewLedger(f.store.client(), node, self, log.NewNopLogger(), Flows{
			Remembered: func() []fabric.RememberedFlow {
				if !withFlows {
					return nil
				}
				return rememberedFlows(i)
			},
			Restore: func(flows []fabric.RememberedFlow) {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.restored[self.Name] = flows
			},
			Fetch: func(_ context.Context, m member.Member, maxBytes int) ([]byte, error) {
				peer := f.ledger(m.Name)
				if peer == nil {
					return nil, errors.New("connection refused")
				}
				return peer.Own(maxBytes)
			},
		})
		f.setLedger(self.Name, l)
		ctx, cancel := context.WithCancel(context.Background())
		done := l.Run(ctx)
		f.stop[self.Name] = func() {
			cancel()
			if err := <-done; err != nil {
				panic(err)
			}
			f.setLedger(self.Name, nil)
		}
	}
}

// ledger returns the ledger of a running balancer, or nil.
func (f *ledgerFleet) ledger(name string) *Ledger {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ledgers[name]
}

func (f *ledgerFleet) setLedger(name string, l *Ledger) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.ledgers, name)
	if l != nil {
		f.ledgers[name] = l
	}
}

// restoredBy returns the flows that the latest run of the balancer has restored.
func (f *ledgerFleet) restoredBy(name string) []fabric.RememberedFlow {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.restored[name]
}

func (f *ledgerFleet) stopAll() {
	for _, name := range slices.Sorted(maps.Keys(f.stop)) {
		f.stop[name]()
	}
	f.stop = make(map[string]func())
}

// markDead makes the other balancers know that the named one is dead.
func (f *ledgerFleet) markDead(name string) {
	for _, l := range f.ledgers {
		l.node.Table.Merge(balancerNamed(name).WithDeath())
	}
}

// writer returns the name of the balancer that writes the ledgers.
func (f *ledgerFleet) writer() string {
	for _, l := range f.ledgers {
		if _, elected := groupOf(l.node.Table.Snapshot(), l.self); elected {
			return l.self.Name
		}
	}
	return ""
}

// TestGroupIsWrittenByOne guards against calls to the store that grow with the number of
// balancers. The large fleet's 59 balancers once made 908 of 2,248 calls to write a ledger each.
func TestGroupIsWrittenByOne(t *testing.T) {
	for _, n := range []int{2, 12, balancersPerGroup} {
		synctest.Test(t, func(t *testing.T) {
			g, f := NewWithT(t), newLedgerFleet()
			f.start(n, true)
			time.Sleep(20 * time.Second)
			f.stopAll()
			g.Expect(f.store.writes).To(BeNumerically("<=", 2), "the flows do not change")
			f.start(n, false)
			time.Sleep(time.Second)
			for i := range n {
				want := rememberedFlows(i)
				g.Expect(f.restoredBy(fmt.Sprintf("balancer-%d", i))).To(HaveLen(len(want)))
			}
			f.stopAll()
		})
	}
}

// TestNextWriterKeepsLedgers guards against ledgers that are lost when the balancer that writes
// them ends: the ledgers of balancers that are not running must still be there.
func TestNextWriterKeepsLedgers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := NewWithT(t), newLedgerFleet()
		f.start(6, true)
		time.Sleep(10 * time.Second)
		first := f.writer()
		f.stop[first]()
		delete(f.stop, first)
		f.markDead(first)
		g.Expect(f.writer()).NotTo(Equal(first))
		time.Sleep(10 * time.Second)
		f.stopAll()
		f.start(6, false)
		time.Sleep(time.Second)
		for i := range 6 {
			g.Expect(f.restoredBy(fmt.Sprintf("balancer-%d", i))).To(HaveLen(i))
		}
		f.stopAll()
	})
}

// TestWriterWaitsForRestore guards against a ledger that is replaced before its balancer has read
// it: after the return of power, one balancer may write while another starts.
func TestWriterWaitsForRestore(t *testing.T) {
	g, f := NewWithT(t), newLedgerFleet()
	synctest.Test(t, func(*testing.T) {
		f.start(6, true)
		time.Sleep(10 * time.Second)
		f.stopAll()
		f.start(6, false)
		late := f.ledger("balancer-5")
		late.restored.Store(false)
		_, err := late.Own(1000)
		g.Expect(err).To(MatchError(errNotRestored))
		time.Sleep(time.Second)
		late.restored.Store(false)
		time.Sleep(10 * time.Second)
		f.stopAll()
		stored, err := decodeGroup(f.store.entry.Value)
		g.Expect(err).NotTo(HaveOccurred())
		flows, err := decodeLedger(stored["balancer-5"])
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(flows).To(HaveLen(5))
	})
}

// TestOddLedgerHidesNoOthers guards against one entry or ledger in the store that can't be
// decoded, and keeps a balancer from restoring its flows or from writing them again.
func TestOddLedgerHidesNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := NewWithT(t), newLedgerFleet()
		f.start(3, true)
		time.Sleep(5 * time.Second)
		f.stopAll()
		stored, err := decodeGroup(f.store.entry.Value)
		g.Expect(err).NotTo(HaveOccurred())
		ledgers := map[string]groupLedger{"balancer-9": {encoded: []byte("odd")}, "": {encoded: []byte{0xff}}}
		for name, b := range stored {
			ledgers[name] = groupLedger{encoded: b}
		}
		f.store.entry.Value, err = encodeGroup(ledgers)
		g.Expect(err).NotTo(HaveOccurred())
		f.start(3, true)
		time.Sleep(5 * time.Second)
		g.Expect(f.restoredBy("balancer-2")).To(HaveLen(2))
		f.stopAll()
		f.store.entry.Value = []byte("\xff odd")
		f.start(3, true)
		time.Sleep(5 * time.Second)
		f.stopAll()
		_, err = decodeGroup(f.store.entry.Value)
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// FuzzLedger guards against a ledger in the store that ends the process.
func FuzzLedger(f *testing.F) {
	value, err := encodeLedger(rememberedFlows(3), maxGroupBytes)
	if err != nil {
		f.Fatal(err)
	}
	group, err := encodeGroup(map[string]groupLedger{"balancer-1": {encoded: value}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(group)
	f.Fuzz(func(_ *testing.T, b []byte) {
		ledgers, err := decodeGroup(b)
		if err != nil {
			return
		}
		for _, l := range ledgers {
			_, _ = decodeLedger(l)
		}
	})
}
