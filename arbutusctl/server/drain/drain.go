// Package drain contains the server command, which drains a backend server or puts it back in
// service.
//
// # Usage
//
//	arbutusctl server drain desk-3
//	arbutusctl server undrain desk-3
package drain

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"arbutusfront.dev/arbutusctl/session"
	"arbutusfront.dev/common/command"
	"arbutusfront.dev/common/coordination/config"
)

const (
	verbDrain   = "drain"
	verbUndrain = "undrain"
)

type (
	// Options holds what Run needs: the session and the values from the command line.
	Options struct {
		Session *session.Session
		// Drain is set to drain the backend server, and unset to undrain it.
		Drain bool
		// Name is the backend server's name.
		Name string
		// Wait waits until the change is in force everywhere.
		Wait bool
	}

	// Command is the server command.
	Command struct {
		session *session.Session
		run     func(context.Context, *Options) error
		wait    bool
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
func (*Command) Name() string { return "server" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "drain a backend server or put it back in service" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `arbutusctl server drain|undrain NAME [--wait]

Drain a backend server: it gets no new flows, and its existing flows continue.
"arbutusctl status" shows how many are left. "undrain" puts it back in service.

Examples:
  arbutusctl server drain desk-3 --wait
  arbutusctl server undrain desk-3

`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	c.session.SetFlags(f)
	f.BoolVar(&c.wait, "wait", false, "wait until the change is in force everywhere")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	opts, err := c.options(f)
	if err == nil {
		err = c.run(ctx, opts)
	}
	return command.Report(c.session.Streams, err)
}

func (c *Command) options(f *flag.FlagSet) (*Options, error) {
	verb, name, err := session.VerbAndName(f, c.Name(), verbDrain, verbUndrain)
	if err != nil {
		return nil, err
	}
	return &Options{Session: c.session, Drain: verb == verbDrain, Name: name, Wait: c.wait}, nil
}

// Run drains or undrains the backend server, and prints the outcome. If another operator changes
// something else meanwhile, it is applied on top of that change. If no configuration is in force,
// Run returns a UsageError.
func Run(ctx context.Context, opts *Options) error {
	verb := verbUndrain
	if opts.Drain {
		verb = verbDrain
	}
	return opts.Session.Propose(ctx, config.Proposal{
		Summary: fmt.Sprintf("server %s %s", verb, opts.Name),
		Rebase:  true,
		Change: func(current *config.Revision) (config.Config, error) {
			if current == nil {
				return config.Config{}, command.Usagef("no configuration is in force; use arbutusctl apply first")
			}
			return current.Config.WithDrained(opts.Name, opts.Drain), nil
		},
	}, opts.Wait)
}
