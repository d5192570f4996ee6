// Package serve implements the command that runs a balancer, and assembles the balancer
// from its parts.
//
// # Usage
//
//	command := serve.New(streams)
//	err := serve.Run(ctx, &serve.Options{...})
package serve

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-kit/log"

	"arbutusfront.dev/arbutus-balancer/fabric"
	"arbutusfront.dev/common/command"
	"arbutusfront.dev/common/command/serve"
	"arbutusfront.dev/common/protocol/settings"
	"arbutusfront.dev/common/transport/network"
)

var program = serve.Program{
	Name:     "arbutus-balancer",
	Synopsis: "run a balancer until SIGTERM",
	Description: "Run a balancer. SIGTERM stops it gracefully: it announces its leave to its peers and\n" +
		"forwards until the fabric stops sending, for at most 10 seconds.",
	Example: "/etc/arbutus/balancer.json",
}

// catchUpTime is how long after its start a balancer that remembers flows compares its
// members with those of others, and merges what differs, at short intervals: balancers and
// agents that start together become known to each other within it.
const catchUpTime = 1500 * time.Millisecond

// Options are the inputs of Run.
type Options struct {
	Streams  command.Streams
	Settings settings.Balancer
	Network  func() network.Network
	Mode     Mode
}

// New returns the command that runs a balancer.
func New(s command.Streams) *serve.Command {
	return serve.New(s, program, func(ctx context.Context, file string) error {
		opts := &Options{Streams: s, Network: network.System}
		if err := settings.LoadToServe(program.Name, file, &opts.Settings); err != nil {
			return command.UsageError{Err: err}
		}
		return Run(ctx, opts)
	})
}

// Run runs a balancer until ctx is canceled, then stops it gracefully.
func Run(ctx context.Context, opts *Options) error {
	s, cleanup, err := Build(&opts.Settings, opts.Network(), serve.Logger(opts.Streams), opts.mode())
	if err != nil {
		return err
	}
	defer cleanup()
	return s.Run(ctx)
}

// mode returns the Mode of the options, extended by what the settings enable.
func (o *Options) mode() Mode {
	m := o.Mode
	if o.Settings.Placement {
		m.Fabric = append(m.Fabric, fabric.WithPlacement(), fabric.WithPendingPackets())
		m.StoredFlows, m.CatchUpTime = true, catchUpTime
		if to := o.Settings.FabricReturn; to.IsValid() {
			m.Fabric = append(m.Fabric, fabric.WithCallers(func(netip.AddrPort) netip.AddrPort { return to }))
		}
	}
	return m
}

// Build returns a balancer that is ready to run, and a function that releases its
// resources.
func Build(s *settings.Balancer, n network.Network, l log.Logger, m Mode) (*Server, func(), error) {
	return build(s, n, l, m.resolve())
}
