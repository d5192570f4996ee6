package store

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/zeebo/errs"

	"arbutusfront.dev/arbutus-balancer/fabric"
	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/coordination/learned"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/coordination/store"
	"arbutusfront.dev/common/transport/wait"
)

const (
	// ledgerInterval is the interval between writes in a small deployment. Flows that
	// were opened since the last write are lost in a power loss.
	ledgerInterval = 2 * time.Second
	// ledgerWritesPerSecond bounds the writes of all balancers together: the store
	// handles several hundred a second, most of which are needed for other purposes.
	ledgerWritesPerSecond = 20
	// ledgerTTL is how long a ledger outlives its balancer. A flow that is unused for
	// longer may be discarded.
	ledgerTTL = time.Minute
	// ledgerRenewals is how many times within ledgerTTL the lease is renewed.
	ledgerRenewals = 3
	// collectTimeout bounds how long a write waits for the ledgers of other balancers of the
	// failure domain, which respond within some milliseconds.
	collectTimeout = 300 * time.Millisecond
)

// errNotRestored means that the balancer has not read its ledger of the previous run yet, which
// must not be replaced before.
var errNotRestored = errs.New("the ledger of the previous run has not been restored yet")

type (
	// Ledger saves the flows that balancers remember in the store, for their next runs. After
	// a power loss of all machines, no other process knows which callers have flows to
	// backend servers that were restarted.
	//
	// One balancer of each group writes the ledgers of all: it fetches them from the others,
	// which are in its failure domain, so that the number of calls to the store hardly grows
	// with the number of balancers.
	Ledger struct {
		client *store.Client
		node   *state.Node
		self   member.Member
		log    log.Logger
		flows  Flows
		// restored is set once the ledger of the previous run was restored, or can't be.
		restored atomic.Bool

		// The following belong to the goroutine that writes. ledgers has the latest ledger of
		// each balancer of the group; it is complete once those in the store were merged.
		ledgers map[string]groupLedger
		merged  bool
		// version is the version of the group's key in the store, lastFlows the value that was
		// last written, without its costs, and leaseID the lease under which it is stored; 0 for
		// none. They are valid for the key in the given era of the store.
		key       string
		era       uint64
		version   uint64
		lastFlows []byte
		leaseID   uint64
		renewedAt time.Time
	}

	// Flows are the functions that connect a ledger with the flows of balancers, and with what
	// they know of the costs of requests.
	Flows struct {
		// Remembered returns this balancer's flows.
		Remembered func() []fabric.RememberedFlow
		// Restore passes the flows of its previous run to this balancer.
		Restore func(flows []fabric.RememberedFlow)
		// Costs returns the costs that this balancer knows, latest first. RestoreCosts passes on
		// those that the balancers of this failure domain knew in their previous runs. Both are
		// optional.
		Costs        func() []learned.Cost
		RestoreCosts func(costs []learned.Cost)
		// Fetch returns the encoded ledger of another balancer, of at most maxBytes.
		Fetch func(ctx context.Context, m member.Member, maxBytes int) ([]byte, error)
	}

	// groupLedger is the encoded ledger of one balancer, and when it was fetched.
	groupLedger struct {
		encoded   []byte
		fetchedAt time.Time
	}
)

// NewLedger returns the ledger of the balancer self.
func NewLedger(client *store.Client, node *state.Node, self member.Member, logger log.Logger, flows Flows) *Ledger {
	if flows.Costs == nil {
		flows.Costs = func() []learned.Cost { return nil }
	}
	if flows.RestoreCosts == nil {
		flows.RestoreCosts = func([]learned.Cost) {}
	}
	return &Ledger{client: client, node: node, self: self, log: logger, flows: flows}
}

// Run restores the flows of the previous run, then writes the ledgers of the group periodically,
// while this balancer is the one that does, until ctx is canceled. The channel receives nil then.
func (l *Ledger) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		l.restore(ctx)
		l.writePeriodically(ctx)
		done <- nil
	}()
	return done
}

// Own returns this balancer's encoded ledger, of at most maxBytes. It returns an error as long
// as the ledger of the previous run has not been restored.
func (l *Ledger) Own(maxBytes int) ([]byte, error) {
	if !l.restored.Load() {
		return nil, errNotRestored
	}
	costs, err := encodeCosts(l.flows.Costs(), maxBytes/costShare, time.Now())
	if err != nil {
		return nil, err
	}
	flows, err := encodeLedger(l.flows.Remembered(), maxBytes-len(costs))
	if err != nil {
		return nil, err
	}
	// The encodings of two messages in a row are that of the merged message.
	return append(flows, costs...), nil
}

// restore reads the ledger of the previous run and restores its flows. It retries until the
// store responds, so that the ledger is not overwritten before it is read.
func (l *Ledger) restore(ctx context.Context) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		entries, err := l.client.List(ctx, store.DomainLedgers(l.self.Domain))
		if err != nil {
			pause := retry.After(attempt)
			_ = level.Warn(l.log).Log("event", "ledger_unreachable", "attempt", attempt, "retry_in", pause, "err", err)
			wait.For(ctx, pause)
			continue
		}
		for _, e := range entries {
			l.restoreEntry(e)
		}
		l.restored.Store(true)
		return
	}
}

// restoreEntry restores the flows of this balancer if the entry has a ledger of it, and the costs
// in all ledgers: agents may now report to other balancers of the failure domain than before. A
// ledger that can't be decoded is passed over.
func (l *Ledger) restoreEntry(e store.Entry) {
	ledgers, err := decodeGroup(e.Value)
	for _, name := range slices.Sorted(maps.Keys(ledgers)) {
		l.flows.RestoreCosts(decodeCosts(ledgers[name], time.Now()))
	}
	var flows []fabric.RememberedFlow
	own, ok := ledgers[l.self.Name]
	if err == nil && ok {
		flows, err = decodeLedger(own)
	}
	if err != nil {
		_ = level.Error(l.log).Log("event", "ledger_unreadable", "key", e.Key, "version", e.Version, "err", err)
		return
	}
	if ok {
		l.flows.Restore(flows)
		_ = level.Info(l.log).Log("event", "ledger_restored", "version", e.Version, "flows", len(flows))
	}
}

func (l *Ledger) writePeriodically(ctx context.Context) {
	failures := 0
	for pause := l.interval(); wait.For(ctx, pause); {
		pause = l.interval()
		if err := l.write(ctx); err != nil {
			pause = max(pause, retry.After(failures))
			failures++
			_ = level.Warn(l.log).Log("event", "ledger_not_written", "failures", failures, "retry_in", pause, "err", err)
			continue
		}
		failures = 0
	}
}

// write fetches the ledgers of the group, and stores them if their flows differ from those last
// written or the store has been restored since. Changed costs alone are no reason to write, so that
// they cause no calls to the store; requests that change costs change flows too. It does nothing if
// another balancer writes those of the group. If the stored value has another version than
// expected, the next call merges it.
func (l *Ledger) write(ctx context.Context) error {
	g, elected := groupOf(l.node.Table.Snapshot(), l.self)
	if !elected {
		l.ledgers, l.merged, l.lastFlows = nil, false, nil
		return nil
	}
	if key, era := store.LedgerKey(l.self.Domain, g.number), l.client.Eras.Current(); key != l.key || era != l.era {
		l.key, l.era, l.leaseID, l.lastFlows, l.merged = key, era, 0, nil, false
	}
	now := time.Now()
	if err := l.collect(ctx, g.members, now); err != nil {
		return err
	}
	if err := l.merge(ctx, now); err != nil {
		return err
	}
	maps.DeleteFunc(l.ledgers, func(_ string, b groupLedger) bool { return now.Sub(b.fetchedAt) > ledgerTTL })
	flows, err := encodeGroup(withoutCosts(l.ledgers))
	if err != nil {
		return err
	}
	lease := l.leaseID
	if err := l.renewLease(ctx); err != nil {
		return err
	}
	if bytes.Equal(flows, l.lastFlows) && l.leaseID == lease {
		return nil
	}
	value, err := encodeGroup(l.ledgers)
	if err != nil {
		return err
	}
	return l.swap(ctx, value, flows)
}

// collect fetches the ledgers of the other balancers of the group, and adds this balancer's own.
// Those that don't respond in time keep the ledger that was fetched last.
func (l *Ledger) collect(ctx context.Context, others []member.Member, now time.Time) error {
	if l.ledgers == nil {
		l.ledgers = make(map[string]groupLedger)
	}
	maxBytes := maxGroupBytes / (len(others) + 1)
	own, err := l.Own(maxBytes)
	if err != nil {
		return err
	}
	l.ledgers[l.self.Name] = groupLedger{encoded: own, fetchedAt: now}
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	fetched := make([][]byte, len(others))
	done := make(chan struct{}, len(others))
	for i, m := range others {
		go func() {
			// A balancer that is ending, or has not restored its own ledger yet, keeps
			// the one that was fetched last.
			if b, err := l.flows.Fetch(ctx, m, maxBytes); err == nil && len(b) <= maxBytes {
				fetched[i] = b
			}
			done <- struct{}{}
		}()
	}
	for range others {
		<-done
	}
	for i, m := range others {
		if fetched[i] != nil {
			l.ledgers[m.Name] = groupLedger{encoded: fetched[i], fetchedAt: now}
		}
	}
	return nil
}

// merge adds the ledgers in the store of balancers of which none was fetched, unless that was done
// before. A value that can't be decoded is replaced.
func (l *Ledger) merge(ctx context.Context, now time.Time) error {
	if l.merged {
		return nil
	}
	e, err := l.client.Get(ctx, l.key)
	if err != nil {
		return err
	}
	stored, err := decodeGroup(e.Value)
	if err != nil {
		_ = level.Error(l.log).Log("event", "ledger_unreadable", "key", e.Key, "version", e.Version, "err", err)
	}
	for name, encoded := range stored {
		if _, ok := l.ledgers[name]; !ok {
			l.ledgers[name] = groupLedger{encoded: encoded, fetchedAt: now}
		}
	}
	l.version, l.merged = e.Version, true
	return nil
}

// swap writes the value, which has the given flows, if the stored one has the expected version.
func (l *Ledger) swap(ctx context.Context, value, flows []byte) error {
	swap, err := l.client.CompareAndSwap(ctx, store.Write{
		Key: l.key, ExpectedVersion: l.version, Value: value, Lease: l.leaseID,
	})
	if err != nil {
		// The write may have taken effect, so the next one reads the version again. The
		// lease may be gone, so it is renewed first.
		l.renewedAt, l.merged, l.lastFlows = time.Time{}, false, nil
		return err
	}
	l.version, l.merged, l.lastFlows = swap.Entry.Version, swap.Swapped, nil
	if swap.Swapped {
		l.lastFlows = flows
	}
	return nil
}

// renewLease renews the lease under which the ledgers are stored, or acquires one. The ledger of
// a balancer that does not return is kept as long as others of its group write; if none does, it
// expires with the lease.
func (l *Ledger) renewLease(ctx context.Context) error {
	now := time.Now()
	if l.leaseID != 0 && now.Sub(l.renewedAt) < ledgerTTL/ledgerRenewals {
		return nil
	}
	if l.leaseID != 0 {
		alive, err := l.client.KeepAlive(ctx, l.leaseID)
		if err != nil {
			return err
		}
		if alive {
			l.renewedAt = now
			return nil
		}
	}
	id, err := l.client.Grant(ctx, ledgerTTL)
	if err != nil {
		return err
	}
	l.leaseID, l.renewedAt = id, now
	return nil
}
