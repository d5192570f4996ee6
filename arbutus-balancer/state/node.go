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
	"arbutusfront.dev/common/protocol/capsule"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
	"arbutusfront.dev/common/transport/wait"
)

const (
	// ContactBound is how long a balancer keeps forwarding without receiving a message
	// from another failure domain. After that it may have missed that a failure domain
	// was taken out (see InContact).
	ContactBound = 2500 * time.Millisecond

	// rebuildPause delays the rebuild of the routes after a change of the members.
	rebuildPause = 20 * time.Millisecond
)

type (
	// Heartbeat is the content of a member's last heartbeat to this balancer, and when it
	// arrived.
	Heartbeat struct {
		At       time.Time
		Revision config.Order
		Flows    uint32
		// Demand is what became of requests at an agent.
		Demand []*controlv1.RequestDemand
	}

	// Node is a balancer's state. It is safe for concurrent use.
	Node struct {
		Table  *member.Table
		Config *config.RevisionHolder
		Costs  *Costs

		self   member.Member
		routes atomic.Pointer[Routes]
		// wake triggers a rebuild of the routes.
		wake chan struct{}

		mu         sync.Mutex
		heartbeats map[member.ID]Heartbeat
		// lastContacts is when the last message from each failure domain arrived.
		lastContacts map[string]time.Time
		// blockedUntil is, by failure domain, the revision until which the failure domain is
		// treated as taken out (BlockDomain).
		blockedUntil map[string]config.Order
		// settledAgents has an entry for each live agent, by instance: whether it is
		// past the joining phase. lastJoin is when an agent was last added, or entered
		// or left the joining phase; at first, when the balancer started.
		settledAgents map[uint64]bool
		lastJoin      time.Time
		// endedAgents are the names of agents of which no incarnation is alive, by service, and
		// the same names as a set. Only those are included that may return when the routes
		// are rebuilt.
		endedAgents map[capsule.ServiceKey][]string
		ended       map[string]bool
	}
)

// NewNode returns the state of a balancer without configuration and members.
func NewNode(self member.Member) *Node {
	n := &Node{
		Table:         member.NewTable(),
		Config:        config.NewRevisionHolder(),
		Costs:         NewCosts(),
		self:          self,
		wake:          make(chan struct{}, 1),
		heartbeats:    make(map[member.ID]Heartbeat),
		lastContacts:  make(map[string]time.Time),
		blockedUntil:  make(map[string]config.Order),
		settledAgents: make(map[uint64]bool),
		lastJoin:      time.Now(),
	}
	n.routes.Store(BuildRoutes(nil, nil, nil))
	return n
}

// Routes returns the current routes.
func (n *Node) Routes() *Routes { return n.routes.Load() }

// Run rebuilds the routes at its start and after each change, until ctx is canceled. The
// channel receives nil then.
func (n *Node) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for {
			membersChanged, configChanged := n.Table.Changed(), n.Config.Changed()
			n.Rebuild()
			select {
			case <-ctx.Done():
				done <- nil
				return
			case <-membersChanged:
				// Membership changes come in bursts: one rebuild covers several.
				wait.For(ctx, rebuildPause)
			case <-configChanged:
			case <-n.wake:
			}
		}
	}()
	return done
}

// RecordHeartbeat stores h as the last heartbeat of the member.
func (n *Node) RecordHeartbeat(id member.ID, h Heartbeat) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heartbeats[id] = h
}

// LastHeartbeat returns the member's last heartbeat, and whether there was one.
func (n *Node) LastHeartbeat(id member.ID) (Heartbeat, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h, ok := n.heartbeats[id]
	return h, ok
}

// Expire removes expired members from the table, the heartbeats of members that are no longer
// in it, and expired costs.
func (n *Node) Expire() {
	n.Table.Expire()
	n.Costs.Expire(time.Now())
	n.mu.Lock()
	defer n.mu.Unlock()
	maps.DeleteFunc(n.heartbeats, func(id member.ID, _ Heartbeat) bool {
		_, known := n.Table.Get(id)
		return !known
	})
}

// RecordContact records that a message from a member of the failure domain arrived at the
// given time.
func (n *Node) RecordContact(domain string, at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastContacts[domain] = at
}

// InContact reports whether the balancer may forward: it received a message from
// another failure domain within ContactBound, or the configuration has no other one in
// service. A balancer without such contact can't learn that a failure domain has been
// taken out. InContact returns false if no configuration is in force.
func (n *Node) InContact(now time.Time) bool {
	r := n.Config.Current()
	if r == nil {
		return false
	}
	hasOthers := false
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range r.Config.Domains {
		if d.Name == n.self.Domain || d.State != config.DomainIn {
			continue
		}
		hasOthers = true
		if now.Sub(n.lastContacts[d.Name]) < ContactBound {
			return true
		}
	}
	return !hasOthers
}

// InContactWithRegion reports whether a message from any failure domain of the region
// has arrived since the given time. It returns false if no configuration is in force.
func (n *Node) InContactWithRegion(region string, since time.Time) bool {
	r := n.Config.Current()
	if r == nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.ContainsFunc(r.Config.Domains, func(d config.Domain) bool {
		return d.Region == region && n.lastContacts[d.Name].After(since)
	})
}

// InContactWithDomain reports whether a message from the failure domain has arrived since the
// given time.
func (n *Node) InContactWithDomain(domain string, since time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lastContacts[domain].After(since)
}

// RegionOf returns the region of the failure domain; empty if the configuration in force
// does not contain it.
func (n *Node) RegionOf(domain string) string {
	r := n.Config.Current()
	if r == nil {
		return ""
	}
	return r.Config.RegionOf(domain)
}

// BlockDomain treats the failure domain as taken out until the balancer has the given
// revision in force itself. It is called when an agent of that failure domain reports a
// later revision that takes the failure domain out.
func (n *Node) BlockDomain(domain string, revision config.Order) {
	n.mu.Lock()
	raised := n.blockedUntil[domain].Before(revision)
	if raised {
		n.blockedUntil[domain] = revision
	}
	n.mu.Unlock()
	if !raised {
		return
	}
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// LastJoin returns when an agent was last added, or last entered or left the joining
// phase, or when the balancer started if that is later.
func (n *Node) LastJoin() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lastJoin
}

// Away returns the names of the service's agents that have ended and may return.
func (n *Node) Away(service capsule.ServiceKey, now time.Time) []string {
	n.mu.Lock()
	ended := n.endedAgents[service]
	n.mu.Unlock()
	var away []string
	for _, name := range ended {
		if n.Table.MayReturn(name, now) {
			away = append(away, name)
		}
	}
	return away
}

// IsAway reports whether the named agent has ended and may return.
func (n *Node) IsAway(name string, now time.Time) bool {
	n.mu.Lock()
	ended := n.ended[name]
	n.mu.Unlock()
	return ended && n.Table.MayReturn(name, now)
}

// Rebuild rebuilds the routes synchronously, and updates LastJoin. Run calls it after each
// change.
func (n *Node) Rebuild() {
	members := n.Table.Snapshot().Members
	n.mu.Lock()
	blockedUntil := maps.Clone(n.blockedUntil)
	n.recordAgents(members)
	n.mu.Unlock()
	routes := BuildRoutes(n.Config.Current(), members, blockedUntil)
	routes.withdrawSince(n.Routes())
	n.routes.Store(routes)
}

// recordAgents updates settledAgents, endedAgents and, if an agent was added or has entered or left
// the joining phase, lastJoin. mu must be held.
func (n *Node) recordAgents(members []member.Member) {
	alive := make(map[uint64]bool, len(n.settledAgents))
	for _, m := range members {
		if m.Role != member.Agent || !m.Phase.Alive() {
			continue
		}
		settled := m.Phase != member.Joining
		wasSettled, known := n.settledAgents[m.Instance]
		alive[m.Instance] = settled
		if !known || wasSettled != settled {
			n.lastJoin = time.Now()
		}
	}
	n.settledAgents = alive
	n.recordEnded(members)
}

// recordEnded updates the agents that have ended and may return. mu must be held.
func (n *Node) recordEnded(members []member.Member) {
	now := time.Now()
	alive := make(map[string]bool)
	for _, m := range members {
		alive[m.Name] = alive[m.Name] || m.Phase.Alive()
	}
	n.endedAgents, n.ended = make(map[capsule.ServiceKey][]string), make(map[string]bool)
	for _, m := range members {
		if m.Role != member.Agent || alive[m.Name] || n.ended[m.Name] || !n.Table.MayReturn(m.Name, now) {
			continue
		}
		n.ended[m.Name] = true
		n.endedAgents[m.ServiceKey()] = append(n.endedAgents[m.ServiceKey()], m.Name)
	}
}
