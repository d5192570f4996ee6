package balancer

import (
	"net/netip"
	"sync"
	"time"

	"arbutusfront.dev/arbutus-agent/state"
	"arbutusfront.dev/common/coordination/heartbeat"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
)

const (
	// noticeInterval is the shortest time between two notices to one address.
	noticeInterval = 200 * time.Millisecond
	// maxReceivers bounds the memory: lastSentAt is cleared when it has this many addresses,
	// so that each of them may get one notice early.
	maxReceivers = 4096
)

// Notices sends this agent's state (its member record, its revision and whether its
// failure domain is out) to packet senders whose view is stale. Each address gets at
// most one notice in noticeInterval. It is safe for concurrent use.
type Notices struct {
	node      *state.Node
	announcer *heartbeat.Announcer
	send      func(to netip.AddrPort, m *controlv1.Datagram)

	mu         sync.Mutex
	lastSentAt map[netip.AddrPort]time.Time
}

// NewNotices returns Notices about the agent that announcer announces.
func NewNotices(
	node *state.Node, announcer *heartbeat.Announcer, send func(to netip.AddrPort, m *controlv1.Datagram),
) *Notices {
	return &Notices{node: node, announcer: announcer, send: send, lastSentAt: make(map[netip.AddrPort]time.Time)}
}

// Send sends a notice to the address, unless one was sent within noticeInterval.
func (n *Notices) Send(to netip.AddrPort) {
	now := time.Now()
	n.mu.Lock()
	if len(n.lastSentAt) >= maxReceivers {
		clear(n.lastSentAt)
	}
	due := now.Sub(n.lastSentAt[to]) >= noticeInterval
	if due {
		n.lastSentAt[to] = now
	}
	n.mu.Unlock()
	if !due {
		return
	}
	v := n.node.View()
	n.send(to, &controlv1.Datagram{Body: &controlv1.Datagram_Notice{Notice: &controlv1.Notice{
		Member:        n.announcer.Self().Encode(),
		Revision:      v.Revision.Number,
		ConfigVersion: v.Revision.Version,
		DomainOut:     v.DomainOut,
	}}})
}
