// Package state holds an agent's view of its service: the configuration, and the
// members that serve it.
//
// # Usage
//
//	n := state.NewNode(self)
//	n.Adopt(view)
//	v := n.View()
//	next, ok := v.Agents.First(hash, visited)
//
// A View is immutable: the packet path reads the current one without a lock.
package state

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/learned"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/coordination/peer"
	"arbutusfront.dev/common/state/placement"
)

type (
	// View is a snapshot of the agent's state. Known is false until a balancer has sent
	// a configuration.
	View struct {
		Known    bool
		Revision config.Order
		Config   config.View
		// DomainOut is set if this agent's failure domain is out, Drained if its
		// backend server is drained.
		DomainOut bool
		Drained   bool
		// Agents are the candidates of the service, this agent among them.
		Agents *placement.Service
		// Costs are the costs of the service's requests that other agents have learned. Digest
		// does not depend on them.
		Costs []learned.Cost
		// Digest identifies the contents of the view without its revision. The agent
		// pulls a new view from a balancer whose digest differs. It is zero while Known
		// is false.
		Digest uint64

		// states has the service's agents by instance. partitions has, by region, the
		// current or last partition. healedAt is when the last partition healed: a member
		// of the region was in contact again. homeRegion is the agent's own region.
		states     map[uint64]agentState
		partitions map[string]partition
		healedAt   time.Time
		homeRegion string
	}

	// Node is an agent's state. It is safe for concurrent use.
	Node struct {
		Table *member.Table

		self    member.Member
		now     func() time.Time
		current atomic.Pointer[View]

		mu                 sync.Mutex
		revision           config.Order
		known              bool
		config             config.View
		costs              []learned.Cost
		partitionedRegions []string
		partitions         map[string]partition
		healedAt           time.Time
		changed            chan struct{}
	}
)

// NewNode returns the state of an agent that has received no view.
func NewNode(self member.Member) *Node {
	n := &Node{
		Table:      member.NewTable(),
		self:       self,
		now:        time.Now,
		partitions: make(map[string]partition),
		changed:    make(chan struct{}),
	}
	n.current.Store(&View{Agents: placement.NewService(nil)})
	return n
}

// View returns the current view.
func (n *Node) View() *View { return n.current.Load() }

// Changed returns a channel that is closed when the view changes.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// Adopt merges a view that a balancer sent. The configuration is adopted unless its
// revision comes before the known one; members are merged in any case. A view that
// lists this agent's own region as silent is ignored: its balancer was partitioned from
// the region, so it may report live agents as dead.
func (n *Node) Adopt(v peer.View) {
	if slices.Contains(v.PartitionedRegions, v.Config.RegionOf(n.self.Domain)) {
		return
	}
	for _, m := range v.Members {
		n.Table.Merge(m)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(v.Costs) > 0 {
		// They are valid in each revision. A balancer that knows none doesn't remove those of
		// another one.
		n.costs = v.Costs
	}
	if !v.Revision.Before(n.revision) {
		n.revision, n.config, n.known = v.Revision, v.Config, true
		n.recordPartitions(v.PartitionedRegions)
	}
	n.rebuild()
}

// Confirm raises the revision of the view without a change to its contents.
func (n *Node) Confirm(revision config.Order) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.known && n.revision.Before(revision) {
		n.revision = revision
		n.rebuild()
	}
}

// Learn merges one member record, and publishes a new view if that changes the table.
func (n *Node) Learn(m member.Member) {
	if !n.Table.Merge(m) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rebuild()
}

// Follow calls f with the view, first at once and then after each change, until ctx is
// canceled. Then it sends nil on the channel. Changes during a call of f lead to one call.
func (n *Node) Follow(ctx context.Context, f func(*View)) <-chan error {
	done := make(chan error, 1)
	go func() {
		for {
			changed := n.Changed()
			f(n.View())
			select {
			case <-ctx.Done():
				done <- nil
				return
			case <-changed:
			}
		}
	}()
	return done
}

// EndedInstances returns the instances of the service's agents whose flows have certainly
// ended.
func (n *Node) EndedInstances() []uint64 {
	v, now := n.View(), n.now()
	var ended []uint64
	for instance, a := range v.states {
		if v.flowsEnded(a, now) {
			ended = append(ended, instance)
		}
	}
	return ended
}

// FlowsEnded reports whether the agent with the instance is known and its flows have
// certainly ended.
func (n *Node) FlowsEnded(instance uint64) bool {
	v := n.View()
	a, ok := v.states[instance]
	return ok && v.flowsEnded(a, n.now())
}

// MemberOf returns the member record of the instance, alive or not.
func (n *Node) MemberOf(instance uint64) (member.Member, bool) {
	for _, m := range n.Table.Snapshot().Members {
		if m.Instance == instance {
			return m, true
		}
	}
	return member.Member{}, false
}

// Expire removes members that ended longer ago than the member table retains them.
func (n *Node) Expire() { n.Table.Expire() }

func (n *Node) members() []member.Member {
	return n.Table.Snapshot().Select(func(m member.Member) bool { return m.Service == n.self.Service })
}

// rebuild publishes a new view and wakes those who wait for Changed. n.mu must be held.
func (n *Node) rebuild() {
	policy := placement.Policy{
		DomainIsOut: n.config.DomainIsOut, IsDrained: n.config.IsDrained, KeepsFlows: n.config.KeepsFlows(),
	}
	members := n.members()
	v := &View{
		Known:      n.known,
		Revision:   n.revision,
		Config:     n.config,
		DomainOut:  n.known && n.config.DomainIsOut(n.self.Domain),
		Drained:    n.config.IsDrained(n.self.Name),
		Costs:      n.costs,
		Agents:     placement.FromMembers(members, policy),
		states:     n.agentStates(members),
		partitions: maps.Clone(n.partitions),
		healedAt:   n.healedAt,
		homeRegion: n.config.RegionOf(n.self.Domain),
	}
	if n.known {
		known := peer.View{Config: n.config, Members: members, PartitionedRegions: n.partitionedRegions}
		v.Digest, _ = known.Digest()
	}
	n.current.Store(v)
	close(n.changed)
	n.changed = make(chan struct{})
}
