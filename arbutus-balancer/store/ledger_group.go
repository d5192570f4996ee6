package store

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
	"google.golang.org/protobuf/proto"

	"arbutusfront.dev/arbutus-balancer/fabric"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/protocol/capsule"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
	"arbutusfront.dev/common/protocol/ipv4"
)

const (
	// maxGroupBytes bounds the ledgers of a group. It is below the platform's limit for a
	// value, 1 MB.
	maxGroupBytes = 768 << 10
	// balancersPerGroup is how many balancers a group has at most, on average. More would
	// have too little room for their flows in one value.
	balancersPerGroup = 32
	ledgerElection    = "ledger "

	// holderBytes exceeds the encoded size of a holder without its name and flows.
	holderBytes         = 40
	acknowledgmentBytes = 4
	ledgerFlowBytes     = ipv4.FlowKeyBytes + acknowledgmentBytes
)

// group is a group of balancers of one failure domain: its number, and the members except this
// balancer.
type group struct {
	number  int
	members []member.Member
}

// groupsOf returns the number of groups for n balancers.
func groupsOf(n int) int { return max(1, (n+balancersPerGroup-1)/balancersPerGroup) }

// groupOf returns the group of the balancer self, and whether self writes its ledgers. A balancer
// that is leaving does so only if there is no other.
func groupOf(s *member.Snapshot, self member.Member) (g group, elected bool) {
	nearby := s.Select(func(m member.Member) bool {
		return m.Role == member.Balancer && m.Phase.Alive() && m.Domain == self.Domain && m.Name != self.Name
	})
	groups := groupsOf(len(nearby) + 1)
	numberOf := func(name string) int { return int(xxh3.HashString(name) % uint64(groups)) }
	g.number = numberOf(self.Name)
	score := func(name string) uint64 { return xxh3.HashString(ledgerElection + name) }
	own, _ := s.Find(self.ID())
	elected = true
	for _, m := range nearby {
		if numberOf(m.Name) != g.number {
			continue
		}
		g.members = append(g.members, m)
		if m.Phase != member.Leaving && (own.Phase == member.Leaving || score(m.Name) > score(self.Name)) {
			elected = false
		}
	}
	return g, elected
}

// interval returns the time between two writes, which grows with the number of groups.
func (l *Ledger) interval() time.Duration {
	balancers := make(map[string]int)
	for _, m := range l.node.Table.Snapshot().Members {
		if m.Role == member.Balancer && m.Phase.Alive() {
			balancers[m.Domain]++
		}
	}
	groups := 0
	for _, n := range balancers {
		groups += groupsOf(n)
	}
	return max(ledgerInterval, time.Duration(groups)*time.Second/ledgerWritesPerSecond)
}

// encodeGroup encodes the ledgers of a group, ordered by the balancers' names.
func encodeGroup(ledgers map[string]groupLedger) ([]byte, error) {
	g := new(controlv1.LedgerGroup)
	for _, name := range slices.Sorted(maps.Keys(ledgers)) {
		g.Balancers = append(g.Balancers, &controlv1.BalancerLedger{Balancer: name, Ledger: ledgers[name].encoded})
	}
	return proto.Marshal(g)
}

// decodeGroup returns the encoded ledgers of a group, by the balancers' names.
func decodeGroup(b []byte) (map[string][]byte, error) {
	var g controlv1.LedgerGroup
	if err := proto.Unmarshal(b, &g); err != nil {
		return nil, err
	}
	ledgers := make(map[string][]byte, len(g.GetBalancers()))
	for _, l := range g.GetBalancers() {
		ledgers[l.GetBalancer()] = l.GetLedger()
	}
	return ledgers, nil
}

// encodeLedger encodes the flows, which must be ordered by holder. Flows beyond maxBytes are left
// out.
func encodeLedger(flows []fabric.RememberedFlow, maxBytes int) ([]byte, error) {
	ledger := new(controlv1.FlowLedger)
	var holder *controlv1.FlowHolder
	size := 0
	for _, f := range flows {
		if holder == nil || !isHolderOf(holder, f) {
			size += len(f.Agent) + holderBytes
			holder = &controlv1.FlowHolder{Agent: f.Agent, ServiceKey: uint64(f.Service), ServerRun: f.ServerRun}
			if size <= maxBytes {
				ledger.Holders = append(ledger.Holders, holder)
			}
		}
		if size += ledgerFlowBytes; size > maxBytes {
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
