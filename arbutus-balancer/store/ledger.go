package store

import (
	"bytes"
	"context"
	"encoding/binary"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"arbutusfront.dev/arbutus-balancer/fabric"
	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/coordination/store"
	"arbutusfront.dev/common/protocol/capsule"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
	"arbutusfront.dev/common/protocol/ipv4"
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
	// ledgerRenewals is how many times within ledgerTTL a write renews the lease, at
	// most.
	ledgerRenewals = 3
	// maxLedgerBytes is below the platform's limit for a value, 1 MB.
	maxLedgerBytes = 768 << 10

	// holderBytes exceeds the encoded size of a holder without its name and flows.
	holderBytes         = 40
	acknowledgmentBytes = 4
	ledgerFlowBytes     = ipv4.FlowKeyBytes + acknowledgmentBytes
)

type (
	// Ledger saves the flows that a balancer remembers in the store, for its next run.
	// After a power loss of all machines, no other process knows which callers have flows
	// to backend servers that were restarted.
	Ledger struct {
		client *store.Client
		node   *state.Node
		self   member.Member
		log    log.Logger
		// remembered returns the balancer's flows. restoreFlows passes those of the
		// previous run to the balancer.
		remembered   func() []fabric.RememberedFlow
		restoreFlows func(flows []fabric.RememberedFlow)

		// version is the version of the ledger's key in the store, lastValue the value
		// that was last written, and leaseID the lease under which it is stored; 0 for
		// none. They are valid in the given era of the store.
		era       uint64
		version   uint64
		lastValue []byte
		leaseID   uint64
		renewedAt time.Time
	}
)

// NewLedger returns the ledger of the balancer self. It saves the flows that remembered
// returns, and passes those of the previous run to restoreFlows.
func NewLedger(
	client *store.Client, node *state.Node, self member.Member, logger log.Logger,
	remembered func() []fabric.RememberedFlow, restoreFlows func(flows []fabric.RememberedFlow),
) *Ledger {
	return &Ledger{client: client, node: node, self: self, log: logger, remembered: remembered, restoreFlows: restoreFlows}
}

// Run restores the flows of the previous run, then writes the ledger periodically until
// ctx is canceled. The channel receives nil then.
func (l *Ledger) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		l.restore(ctx)
		l.writePeriodically(ctx)
		done <- nil
	}()
	return done
}

// restore reads the ledger of the previous run and passes its flows to restoreFlows. It
// retries until the store responds, so that the ledger is not overwritten before it is
// read. If the ledger can't be decoded, no flows are restored.
func (l *Ledger) restore(ctx context.Context) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		e, err := l.client.Get(ctx, store.LedgerKey(l.self.Name))
		if err != nil {
			pause := retry.After(attempt)
			_ = level.Warn(l.log).Log("event", "ledger_unreachable", "attempt", attempt, "retry_in", pause, "err", err)
			wait.For(ctx, pause)
			continue
		}
		l.version = e.Version
		flows, err := decodeLedger(e.Value)
		if err != nil {
			_ = level.Error(l.log).Log("event", "ledger_unreadable", "version", e.Version, "err", err)
			return
		}
		l.restoreFlows(flows)
		_ = level.Info(l.log).Log("event", "ledger_restored", "version", e.Version, "flows", len(flows))
		return
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

// interval returns the time between two writes, which grows with the number of balancers.
func (l *Ledger) interval() time.Duration {
	balancers := l.node.Table.Snapshot().Select(func(m member.Member) bool {
		return m.Role == member.Balancer && m.Phase.Alive()
	})
	return max(ledgerInterval, time.Duration(len(balancers))*time.Second/ledgerWritesPerSecond)
}

// write stores the ledger if it differs from the last value written, or if the store has been
// restored since. If the stored ledger has another version than expected, write only records
// that version for the next call.
func (l *Ledger) write(ctx context.Context) error {
	value, err := encodeLedger(l.remembered())
	if err != nil {
		return err
	}
	if era := l.client.Eras.Current(); era != l.era {
		l.era, l.leaseID, l.lastValue = era, 0, nil
	}
	if bytes.Equal(value, l.lastValue) {
		return nil
	}
	if err := l.renewLease(ctx); err != nil {
		return err
	}
	w := store.Write{Key: store.LedgerKey(l.self.Name), ExpectedVersion: l.version, Value: value, Lease: l.leaseID}
	swap, err := l.client.CompareAndSwap(ctx, w)
	if err != nil {
		// The write may have taken effect. The next one then fails its compare-and-swap
		// and returns the current version. The lease may be gone, so it is renewed first.
		l.renewedAt = time.Time{}
		return err
	}
	l.version = swap.Entry.Version
	if swap.Swapped {
		l.lastValue = value
	}
	return nil
}

// renewLease renews the lease under which the ledger is stored, or acquires one. The
// ledger of a balancer that does not return expires with the lease. So does that of a
// balancer whose ledger is unchanged for ledgerTTL, because only a write renews the
// lease.
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

// encodeLedger encodes the flows, which must be ordered by holder. Flows beyond
// maxLedgerBytes are left out.
func encodeLedger(flows []fabric.RememberedFlow) ([]byte, error) {
	ledger := new(controlv1.FlowLedger)
	var holder *controlv1.FlowHolder
	size := 0
	for _, f := range flows {
		if holder == nil || !isHolderOf(holder, f) {
			holder = &controlv1.FlowHolder{Agent: f.Agent, ServiceKey: uint64(f.Service), ServerRun: f.ServerRun}
			ledger.Holders = append(ledger.Holders, holder)
			size += len(f.Agent) + holderBytes
		}
		if size += ledgerFlowBytes; size > maxLedgerBytes {
			break
		}
		holder.Flows = f.Key.Append(holder.Flows)
		holder.Flows = binary.BigEndian.AppendUint32(holder.Flows, f.Acknowledged)
	}
	return proto.Marshal(ledger)
}

func isHolderOf(h *controlv1.FlowHolder, f fabric.RememberedFlow) bool {
	return h.GetAgent() == f.Agent && h.GetServiceKey() == uint64(f.Service) && h.GetServerRun() == f.ServerRun
}

func decodeLedger(b []byte) ([]fabric.RememberedFlow, error) {
	var ledger controlv1.FlowLedger
	if err := proto.Unmarshal(b, &ledger); err != nil {
		return nil, err
	}
	var flows []fabric.RememberedFlow
	for _, h := range ledger.GetHolders() {
		for b := h.GetFlows(); len(b) >= ledgerFlowBytes; b = b[ledgerFlowBytes:] {
			key, ok := ipv4.DecodeFlowKey(b[:ipv4.FlowKeyBytes])
			if !ok {
				continue
			}
			flows = append(flows, fabric.RememberedFlow{
				Key: key, Agent: h.GetAgent(), Service: capsule.ServiceKey(h.GetServiceKey()), ServerRun: h.GetServerRun(),
				Acknowledged: binary.BigEndian.Uint32(b[ipv4.FlowKeyBytes:]),
			})
		}
	}
	return flows, nil
}
