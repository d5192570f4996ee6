// Package state holds what an agent knows: its service's view of the
// configuration, and the other agents of the service.
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
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/coordination/peer"
	"arbutusfront.dev/common/state/placement"
)

type (
	// View is the agent's view at one moment. Before the first word of a
	// balancer, Known is false.
	View struct {
		Known     bool
		Revision  uint64
		Config    config.View
		DomainOut bool
		Drained   bool
		// Agents are the candidates of the service, this agent among them.
		Agents *placement.Service
		// Digest is that of what the agent knows, to compare with a balancer's;
		// zero without a view.
		Digest uint64

		// records are the service's agents by their instance, silences the
		// regions that are or were silent, reunited is when the last one was heard
		// again, and home the agent's own region.
		records  map[uint64]record
		silences map[string]silence
		reunited time.Time
		home     string
	}

	// Node is an agent's state. Its methods may be called by several
	// goroutines.
	Node struct {
		Table *member.Table

		self    member.Member
		now     func() time.Time
		current atomic.Pointer[View]

		mu       sync.Mutex
		revision uint64
		known    bool
		config   config.View
		silent   []string
		silences map[string]silence
		reunited time.Time
		changed  chan struct{}
	}
)

// NewNode returns the state of an agent that knows nothing yet.
func NewNode(self member.Member) *Node {
	n := &Node{
		Table:    member.NewTable(),
		self:     self,
		now:      time.Now,
		silences: make(map[string]silence),
		changed:  make(chan struct{}),
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

// Adopt takes in what a balancer told. A configuration of a lower revision is
// not adopted; the members are merged in any case. A balancer that hears nobody of
// this agent's region was cut off from it: its view is not taken in.
func (n *Node) Adopt(v peer.View) {
	if slices.Contains(v.SilentRegions, v.Config.RegionOf(n.self.Domain)) {
		return
	}
	for _, m := range v.Members {
		n.Table.Merge(m)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if v.Revision >= n.revision {
		n.revision, n.config, n.known = v.Revision, v.Config, true
		n.noteSilence(v.SilentRegions)
	}
	n.rebuild()
}

// Confirm notes that the view is the same at a later revision.
func (n *Node) Confirm(revision uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.known && revision > n.revision {
		n.revision = revision
		n.rebuild()
	}
}

// Learn merges one member.
func (n *Node) Learn(m member.Member) {
	if !n.Table.Merge(m) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rebuild()
}

// Follow calls f after each change of the view, and once at the start, until
// ctx ends. It reports its end on the channel.
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

// Gone returns the agents of the service whose flows have ended.
func (n *Node) Gone() []uint64 {
	v, now := n.View(), n.now()
	var gone []uint64
	for instance, r := range v.records {
		if v.isGone(r, now) {
			gone = append(gone, instance)
		}
	}
	return gone
}

// IsGone reports whether the instance is known, and its flows have ended.
func (n *Node) IsGone(instance uint64) bool {
	v := n.View()
	r, ok := v.records[instance]
	return ok && v.isGone(r, n.now())
}

// MemberOf returns the record of an instance of the service's agents, be it alive
// or not.
func (n *Node) MemberOf(instance uint64) (member.Member, bool) {
	for _, m := range n.Table.Snapshot().Members {
		if m.Instance == instance {
			return m, true
		}
	}
	return member.Member{}, false
}

// Forget drops the agents that ended long ago.
func (n *Node) Forget() { n.Table.Forget() }

func (n *Node) members() []member.Member {
	return n.Table.Snapshot().Select(func(m member.Member) bool { return m.Service == n.self.Service })
}

// rebuild makes the view anew. The caller holds the mutex.
func (n *Node) rebuild() {
	policy := placement.Policy{
		DomainIsOut: n.config.DomainIsOut, IsDrained: n.config.IsDrained, KeepsFlows: n.config.KeepsFlows(),
	}
	members := n.members()
	v := &View{
		Known:     n.known,
		Revision:  n.revision,
		Config:    n.config,
		DomainOut: n.known && n.config.DomainIsOut(n.self.Domain),
		Drained:   n.config.IsDrained(n.self.Name),
		Agents:    placement.FromMembers(members, policy),
		records:   n.records(members),
		silences:  maps.Clone(n.silences),
		reunited:  n.reunited,
		home:      n.config.RegionOf(n.self.Domain),
	}
	if n.known {
		known := peer.View{Config: n.config, Members: members, SilentRegions: n.silent}
		v.Digest, _ = known.Digest()
	}
	n.current.Store(v)
	close(n.changed)
	n.changed = make(chan struct{})
}
