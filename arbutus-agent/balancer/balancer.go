// Package balancer exchanges messages with the balancers that monitor this agent. It
// processes the acknowledgments of heartbeats, pulls the service's view from a balancer
// whose view differs, and sends notices about this agent to packet senders whose view
// is stale.
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
	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/heartbeat"
	"arbutusfront.dev/common/coordination/peer"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
	"arbutusfront.dev/common/transport/lane"
	"arbutusfront.dev/common/transport/wait"
)

const (
	// minPullInterval is the shortest time between two pulls.
	minPullInterval = 100 * time.Millisecond
	// pullPatience is how long a pull and the interval after it may take before another balancer is
	// asked too.
	pullPatience = 400 * time.Millisecond
)

// Client synchronizes the agent's view with those of its balancers.
type Client struct {
	node      *state.Node
	announcer *heartbeat.Announcer
	fetch     func(ctx context.Context, at netip.AddrPort, service string) (peer.View, error)
	log       log.Logger
	pulls     *lane.Lane[netip.AddrPort]
}

// New returns a client. fetch requests a service's view from the balancer at the
// address.
func New(
	node *state.Node,
	announcer *heartbeat.Announcer,
	fetch func(ctx context.Context, at netip.AddrPort, service string) (peer.View, error),
	l log.Logger,
) *Client {
	pulls := lane.New(pullPatience, lane.WithQueue[netip.AddrPort](1))
	return &Client{node: node, announcer: announcer, fetch: fetch, log: l, pulls: pulls}
}

// HandleAck processes the acknowledgment of a heartbeat: it passes it to the announcer,
// confirms the agent's view if the balancer has the same one, and requests a pull if the
// balancer's view differs and is not older.
func (c *Client) HandleAck(ack *controlv1.HeartbeatAck) {
	c.announcer.HandleAck(ack)
	v := c.node.View()
	revision := config.OrderOf(ack)
	switch {
	case revision.IsZero():
		// The balancer has no configuration, so it can't serve a view.
	case revision.Before(v.Revision):
		// The balancer's view is stale. It gets the new revision from the other balancers.
	case ack.GetViewDigest() == v.Digest && v.Known:
		c.node.Confirm(revision)
	default:
		c.requestPull(ack)
	}
}

// Run pulls requested views until ctx is canceled. Then it sends nil on the channel.
func (c *Client) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		c.pulls.Serve(ctx)
		done <- nil
	}()
	return done
}

// requestPull requests a pull from the balancer that sent the acknowledgment. The request is
// dropped if another one waits, or the balancer's control address is unknown: later
// acknowledgments repeat it.
func (c *Client) requestPull(ack *controlv1.HeartbeatAck) {
	control, ok := c.announcer.ControlOf(ack.GetMonitor().GetName())
	if !ok {
		return
	}
	c.pulls.Add(control, func(ctx context.Context) {
		c.pull(ctx, control)
		wait.For(ctx, minPullInterval)
	})
}

// pull fetches the view from the balancer and adopts it. An error is logged.
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
