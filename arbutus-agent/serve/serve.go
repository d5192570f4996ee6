// Package serve runs the agent of one backend server.
//
// # Usage
//
//	command := serve.New(streams)
//	err := serve.Run(ctx, &serve.Options{...})
package serve

import (
	"context"
	"net/netip"

	"arbutusfront.dev/arbutus-agent/caller"
	passserve "arbutusfront.dev/arbutus-agent/passthrough/serve"
	"arbutusfront.dev/common/command"
	"arbutusfront.dev/common/command/serve"
	"arbutusfront.dev/common/protocol/frame"
	"arbutusfront.dev/common/protocol/settings"
	"arbutusfront.dev/common/state/feature"
	"arbutusfront.dev/common/transport/network"
)

var program = serve.Program{
	Name:     "arbutus-agent",
	Synopsis: "run an agent until SIGTERM",
	Description: "Run the agent of one backend server. SIGTERM stops it gracefully: it admits no new\nflows and ends " +
		"with its flows, or at the drain deadline. In pass-through mode it ends with the\nrequests in flight, or after 4 s.",
	Example: "/etc/arbutus/agent.json",
}

// Options configure an agent. The deployment tests in virtual time (arbutus-lab/sessions)
// set their own Network and Stack.
type Options struct {
	Streams  command.Streams
	Settings settings.Agent
	Network  func() network.Network
	// Stack creates the stack that terminates callers' TCP. Pass-through mode does not
	// use it.
	Stack func(output func(packet []byte)) (*caller.Stack, error)
	// Without are the features to switch off.
	Without feature.Set
}

// New returns the command that runs an agent.
func New(s command.Streams) *serve.Command {
	return serve.New(s, program, func(ctx context.Context, file string) error {
		opts := &Options{Streams: s, Network: network.System, Stack: newUserSpaceStack}
		if err := settings.LoadToServe(program.Name, file, &opts.Settings); err != nil {
			return command.UsageError{Err: err}
		}
		return Run(ctx, opts)
	})
}

// Run runs an agent until ctx is canceled and the agent has left, or until one of its
// components ends.
func Run(ctx context.Context, opts *Options) error {
	if opts.Settings.Mode == settings.ModePassThrough {
		return runPassThrough(ctx, opts)
	}
	s, cleanup, err := build(&opts.Settings, opts.Network(), opts.Stack, serve.Logger(opts.Streams), opts.Without)
	if err != nil {
		return err
	}
	defer cleanup()
	return s.Run(ctx)
}

// runPassThrough runs an agent whose backend server terminates callers' TCP itself.
func runPassThrough(ctx context.Context, opts *Options) error {
	s := &opts.Settings
	a, cleanup, err := passserve.Build(s, opts.Network(), serve.Logger(opts.Streams), passserve.Options{
		Codec:           frame.IPv4(),
		Without:         opts.Without,
		OutboundAddress: s.OutboundAddress,
		ReplyAddressOf:  func(netip.AddrPort) netip.AddrPort { return s.FabricReturn },
	})
	if err != nil {
		return err
	}
	defer cleanup()
	return a.Run(ctx)
}
