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
	"arbutusfront.dev/common/transport/wait"
)

const (
	// ContactBound is how long a balancer forwards without a word from another
	// failure domain.
	ContactBound = 2500 * time.Millisecond

	rebuildPause = 20 * time.Millisecond
)

type (
	// Heard is what a member's last heartbeat to this balancer told.
	Heard struct {
		At       time.Time
		Revision uint64
		Flows    uint32
	}

	// Node is a balancer's state. Its methods may be called by several
	// goroutines.
	Node struct {
		Table  *member.Table
		Config *config.Holder

		self   member.Member
		routes atomic.Pointer[Routes]
		wake   chan struct{}

		mu       sync.Mutex
		heard    map[member.ID]Heard
		contacts map[string]time.Time
		blocked  map[string]uint64
		// agents are the instances of agents that are known to live, with whether they
		// have taken flows; joined is when that last changed for one that lives.
		agents map[uint64]bool
		joined time.Time
	}
)

// NewNode returns the state of a balancer that knows nothing yet.
func NewNode(self member.Member) *Node {
	n := &Node{
		Table:    member.NewTable(),
		Config:   config.NewHolder(),
		self:     self,
		wake:     make(chan struct{}, 1),
		heard:    make(map[member.ID]Heard),
		contacts: make(map[string]time.Time),
		blocked:  make(map[string]uint64),
		agents:   make(map[uint64]bool),
		joined:   time.Now(),
	}
	n.routes.Store(BuildRoutes(nil, nil, nil))
	return n
}

// Routes returns the current routes.
func (n *Node) Routes() *Routes { return n.routes.Load() }

// Run rebuilds the routes after each change until ctx ends, and reports its
// end on the channel.
func (n *Node) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for {
			members, revised := n.Table.Changed(), n.Config.Changed()
			n.Rebuild()
			select {
			case <-ctx.Done():
				done <- nil
				return
			case <-members:
				// Changes come in bursts: one rebuild serves several.
				wait.For(ctx, rebuildPause)
			case <-revised:
			case <-n.wake:
			}
		}
	}()
	return done
}

// Hear notes a heartbeat of the member.
func (n *Node) Hear(id member.ID, h Heard) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heard[id] = h
}

// LastHeard returns what the member's last heartbeat told.
func (n *Node) LastHeard(id member.ID) (Heard, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h, ok := n.heard[id]
	return h, ok
}

// Forget drops what was heard of members that the table no longer holds.
func (n *Node) Forget() {
	n.Table.Forget()
	n.mu.Lock()
	defer n.mu.Unlock()
	maps.DeleteFunc(n.heard, func(id member.ID, _ Heard) bool {
		_, known := n.Table.Get(id)
		return !known
	})
}

// Contact notes a word from a member of the failure domain.
func (n *Node) Contact(domain string, at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.contacts[domain] = at
}

// InContact reports whether the balancer may forward: it has lately heard from
// another failure domain or, where the configuration has only one in service,
// the question does not arise. A balancer that is cut off can't learn that a
// failure domain has been taken out.
func (n *Node) InContact(now time.Time) bool {
	r := n.Config.Current()
	if r == nil {
		return false
	}
	others := false
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range r.Config.Domains {
		if d.Name == n.self.Domain || d.State != config.DomainIn {
			continue
		}
		others = true
		if now.Sub(n.contacts[d.Name]) < ContactBound {
			return true
		}
	}
	return !others
}

// Hears reports whether the balancer has heard from any failure domain of the
// region since then.
func (n *Node) Hears(region string, since time.Time) bool {
	r := n.Config.Current()
	if r == nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.ContainsFunc(r.Config.Domains, func(d config.Domain) bool {
		return d.Region == region && n.contacts[d.Name].After(since)
	})
}

// RegionOf returns the region of the failure domain; empty if the configuration in
// force does not know it.
func (n *Node) RegionOf(domain string) string {
	r := n.Config.Current()
	if r == nil {
		return ""
	}
	return r.Config.RegionOf(domain)
}

// Block treats the failure domain as taken out until the balancer itself has
// the given revision, which an agent there has told of.
func (n *Node) Block(domain string, revision uint64) {
	n.mu.Lock()
	news := n.blocked[domain] < revision
	if news {
		n.blocked[domain] = revision
	}
	n.mu.Unlock()
	if !news {
		return
	}
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// LastJoin returns when an agent last became known, or began to take flows; at least
// when the balancer started.
func (n *Node) LastJoin() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.joined
}

// Rebuild makes the routes anew at once. Run does so after each change.
func (n *Node) Rebuild() {
	members := n.Table.Snapshot().Members
	n.mu.Lock()
	blocked := maps.Clone(n.blocked)
	n.noteAgents(members)
	n.mu.Unlock()
	n.routes.Store(BuildRoutes(n.Config.Current(), members, blocked))
}

// noteAgents notes which agents live. The caller holds the mutex.
func (n *Node) noteAgents(members []member.Member) {
	alive := make(map[uint64]bool, len(n.agents))
	for _, m := range members {
		if m.Role != member.Agent || !m.Phase.Alive() {
			continue
		}
		settled := m.Phase != member.Joining
		before, known := n.agents[m.Instance]
		alive[m.Instance] = settled
		if !known || before != settled {
			n.joined = time.Now()
		}
	}
	n.agents = alive
}
