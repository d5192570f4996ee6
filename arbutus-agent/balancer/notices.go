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
	noticeInterval = 200 * time.Millisecond
	maxNoticed     = 4096
)

// Notices tells the senders of packets about this agent, each at most once in an
// interval.
type Notices struct {
	node      *state.Node
	announcer *heartbeat.Announcer
	send      func(to netip.AddrPort, m *controlv1.Datagram)

	mu   sync.Mutex
	last map[netip.AddrPort]time.Time
}

// NewNotices returns the notices of an agent.
func NewNotices(
	node *state.Node, announcer *heartbeat.Announcer, send func(to netip.AddrPort, m *controlv1.Datagram),
) *Notices {
	return &Notices{node: node, announcer: announcer, send: send, last: make(map[netip.AddrPort]time.Time)}
}

// Send tells the process at the address, if that is due.
func (n *Notices) Send(to netip.AddrPort) {
	now := time.Now()
	n.mu.Lock()
	if len(n.last) >= maxNoticed {
		clear(n.last)
	}
	due := now.Sub(n.last[to]) >= noticeInterval
	if due {
		n.last[to] = now
	}
	n.mu.Unlock()
	if !due {
		return
	}
	v := n.node.View()
	n.send(to, &controlv1.Datagram{Body: &controlv1.Datagram_Notice{Notice: &controlv1.Notice{
		Member:    n.announcer.Self().Encode(),
		Revision:  v.Revision,
		DomainOut: v.DomainOut,
	}}})
}
