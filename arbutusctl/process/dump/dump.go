// Package dump contains the dump command, which prints the state of a running balancer or agent.
//
// # Usage
//
//	arbutusctl dump 127.0.0.1:7201
package dump

import (
	"context"
	"flag"
	"fmt"
	"net/netip"

	"github.com/google/subcommands"

	"arbutusfront.dev/arbutusctl/session"
	"arbutusfront.dev/common/command"
)

type (
	// Options holds what Run needs: the session and the address from the command line.
	Options struct {
		Session *session.Session
		// Address is the control address of the process.
		Address netip.AddrPort
	}

	// Command is the dump command.
	Command struct {
		session *session.Session
		run     func(context.Context, *Options) error
	}
)

// New returns the command. If run is nil, Run is used.
func New(s *session.Session, run func(context.Context, *Options) error) *Command {
	if run == nil {
		run = Run
	}
	return &Command{session: s, run: run}
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "dump" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "print the state of a balancer or agent as JSON" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `arbutusctl dump ADDR

Print the state of the balancer or agent at a control address as JSON: its
revision and configuration, and a balancer's members and routes or an agent's
candidates, flows and limits (in pass-through mode: its candidates and load).

Examples:
  arbutusctl dump 127.0.0.1:7201

`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) { c.session.SetFlags(f) }

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	opts, err := c.options(f)
	if err == nil {
		err = c.run(ctx, opts)
	}
	return command.Report(c.session.Streams, err)
}

func (c *Command) options(f *flag.FlagSet) (*Options, error) {
	args, err := command.Positionals(f)
	if err != nil {
		return nil, err
	}
	if len(args) != 1 {
		return nil, command.Usagef("dump needs one control address; see arbutusctl help dump")
	}
	address, err := netip.ParseAddrPort(args[0])
	if err != nil {
		return nil, command.Usagef("%q is not a control address; give one such as 127.0.0.1:7201", args[0])
	}
	return &Options{Session: c.session, Address: address}, nil
}

// Run prints the state of the process. If it does not respond, Run returns an error with
// command.ExitUnreachable.
func Run(ctx context.Context, opts *Options) error {
	peers, err := opts.Session.Peers()
	if err != nil {
		return err
	}
	b, err := peers.Dump(ctx, opts.Address)
	if err != nil {
		return command.ExitError{
			Code: command.ExitUnreachable,
			Err:  fmt.Errorf("%s does not respond; check its control address: %w", opts.Address, err),
		}
	}
	_, err = fmt.Fprintf(opts.Session.Streams.Out, "%s\n", b)
	return err
}
