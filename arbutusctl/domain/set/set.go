// Package set contains the domain command, which takes a failure domain out of service or back
// in.
//
// # Usage
//
//	arbutusctl domain out laconia-c --wait
//	arbutusctl domain in laconia-c
package set

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"arbutusfront.dev/arbutusctl/session"
	"arbutusfront.dev/common/command"
	"arbutusfront.dev/common/coordination/config"
)

type (
	// Options holds what Run needs: the session and the values from the command line.
	Options struct {
		Session *session.Session
		// State is the state to set.
		State config.DomainState
		// Name is the failure domain's name.
		Name string
		// Wait waits until the change is in force everywhere.
		Wait bool
	}

	// Command is the domain command.
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
func (*Command) Name() string { return "domain" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "take a failure domain out of service or back in" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `arbutusctl domain out|in NAME [--wait]

Take a failure domain out of service or back in. After "out", no packet enters
it, and its flows are reset, so that callers reconnect to another failure domain.
If the deployment sets "domain_out" to "keep", existing flows continue instead.

If another operator changes something else meanwhile, that change is preserved:
the command is applied on top of it, and its output says so.

Examples:
  arbutusctl domain out laconia-c --wait
  arbutusctl domain in laconia-c

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
	state, name, err := session.VerbAndName(f, c.Name(), string(config.DomainOut), string(config.DomainIn))
	if err != nil {
		return nil, err
	}
	return &Options{Session: c.session, State: config.DomainState(state), Name: name, Wait: c.wait}, nil
}

// Run applies the change of the failure domain's state, and prints the outcome. If another
// operator changes something else meanwhile, it is applied on top of that change.
func Run(ctx context.Context, opts *Options) error {
	return opts.Session.Propose(ctx, config.Proposal{
		Summary: fmt.Sprintf("domain %s %s", opts.State, opts.Name),
		Rebase:  true,
		Change:  opts.change,
	}, opts.Wait)
}

// change returns the current configuration with the state set. A missing configuration or an
// unknown failure domain results in a UsageError.
func (o *Options) change(current *config.Revision) (config.Config, error) {
	if current == nil {
		return config.Config{}, command.Usagef("no configuration is in force; use arbutusctl apply first")
	}
	cfg, known := current.Config.WithDomainState(o.Name, o.State)
	if !known {
		return config.Config{}, command.Usagef("unknown failure domain %q; see arbutusctl get", o.Name)
	}
	return cfg, nil
}
