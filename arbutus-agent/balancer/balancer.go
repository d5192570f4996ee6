// Package balancer speaks to the balancers that monitor this agent: it takes in
// their answers to heartbeats, and pulls the service's view from them when it
// differs.
//
// # Usage
//
//	c := balancer.New(node, announcer, fetch, logger)
//	done := c.Run(ctx)
//	c.HandleAck(ack)
package balancer

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"arbutusfront.dev/arbutus-agent/state"
	"arbutusfront.dev/common/coordination/heartbeat"
	"arbutusfront.dev/common/coordination/peer"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
	"arbutusfront.dev/common/transport/wait"
)

// pullPause bounds how often views are pulled.
const pullPause = 100 * time.Millisecond

// Client is the agent's side of the conversation with balancers.
type Client struct {
	node      *state.Node
	announcer *heartbeat.Announcer
	fetch     func(ctx context.Context, at netip.AddrPort, service string) (peer.View, error)
	log       log.Logger
	pulls     chan netip.AddrPort
}

// New returns the client. Fetch asks a balancer for a service's view.
func New(
	node *state.Node,
	announcer *heartbeat.Announcer,
	fetch func(ctx context.Context, at netip.AddrPort, service string) (peer.View, error),
	l log.Logger,
) *Client {
	return &Client{node: node, announcer: announcer, fetch: fetch, log: l, pulls: make(chan netip.AddrPort, 1)}
}

// HandleAck takes in an answer to a heartbeat.
func (c *Client) HandleAck(ack *controlv1.HeartbeatAck) {
	c.announcer.Handle(ack)
	v := c.node.View()
	switch {
	case ack.GetRevision() == 0:
		// The balancer has no configuration yet, and so no view.
	case ack.GetRevision() < v.Revision:
		// The balancer is behind: it learns that from its peers.
	case ack.GetViewDigest() == v.Digest && v.Known:
		c.node.Confirm(ack.GetRevision())
	default:
		c.request(ack)
	}
}

// Run pulls views until ctx ends, and reports its end on the channel.
func (c *Client) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				done <- nil
				return
			case at := <-c.pulls:
				c.pull(ctx, at)
			}
			wait.For(ctx, pullPause)
		}
	}()
	return done
}

func (c *Client) request(ack *controlv1.HeartbeatAck) {
	control, ok := c.announcer.ControlOf(ack.GetMonitor().GetName())
	if !ok {
		return
	}
	select {
	case c.pulls <- control:
	default:
	}
}

func (c *Client) pull(ctx context.Context, at netip.AddrPort) {
	v, err := c.fetch(ctx, at, c.announcer.Self().Service)
	if err != nil {
		_ = level.Warn(c.log).Log("event", "view_failed", "balancer", at, "err", err)
		return
	}
	before := c.node.View().Revision
	c.node.Adopt(v)
	if after := c.node.View().Revision; after != before {
		_ = level.Info(c.log).Log("event", "revision_adopted", "revision", after, "from", at)
	}
}
