// Package check contains the config check command, which checks the files of a directory before they
// are applied: their errors, what can't work although it is valid, and what an apply would change.
//
// # Usage
//
//	arbutusctl config check -f deployment
//	arbutusctl config check -f deployment --offline --strict --json
//
// The rules are those of package rules. This package loads what they need, and prints what they find.
package check

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"arbutusfront.dev/arbutusctl/config/rules"
	"arbutusfront.dev/arbutusctl/session"
	"arbutusfront.dev/common/command"
	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/protocol/strictjson"
)

const verbCheck = "check"

type (
	// Options holds what Run needs: the session, the values from the command line and the
	// function that loads the files.
	Options struct {
		Session *session.Session
		// Directory contains the configuration files.
		Directory string
		// Strict makes warnings a failure.
		Strict bool
		// Offline leaves out what needs the store or the balancers.
		Offline bool
		// Load loads and validates the files of a directory.
		Load func(dir string) (config.Config, config.Sources, strictjson.Problems)
	}

	// Command is the config command.
	Command struct {
		session   *session.Session
		run       func(context.Context, *Options) error
		directory string
		strict    bool
		offline   bool
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
func (*Command) Name() string { return "config" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string {
	return "check the configuration files of a directory before they are applied"
}

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `arbutusctl config check -f DIR [--strict] [--offline] [--json]

Check all JSON files of a directory as one configuration, and change nothing:

- errors: what an apply would refuse;
- warnings: entries that can never match or get nothing, and limits that
  contradict each other, each with the name of its rule in brackets;
- differences from the configuration in force, with the effect of each on open
  flows.

Errors are reported alone, as the rest can't be checked with them. With
--offline, neither the store nor a balancer is contacted: differences, drained
backend servers, running agents and learned costs are not checked.

Exit codes: 0 if nothing or only differences or warnings were found, 1 for
warnings with --strict, 2 for a wrong command or settings, 5 if the
configuration in force can't be read, 8 for errors. 8 goes before 5, and 5
before 1.

Examples:
  arbutusctl config check -f deployment
  arbutusctl config check -f deployment --offline --strict
  arbutusctl config check -f deployment --json

`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	c.session.SetFlags(f)
	f.StringVar(&c.directory, "f", "", "`directory` with the configuration files")
	f.BoolVar(&c.strict, "strict", false, "exit with 1 if there are warnings")
	f.BoolVar(&c.offline, "offline", false, "check the files only, without the configuration in force")
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
	args, err := command.Positionals(f)
	if err != nil {
		return nil, err
	}
	if len(args) != 1 || args[0] != verbCheck || c.directory == "" {
		return nil, command.Usagef(`config needs "check", -f DIR and no other arguments; see arbutusctl help config`)
	}
	return &Options{
		Session: c.session, Directory: c.directory, Strict: c.strict, Offline: c.offline, Load: config.LoadWithSources,
	}, nil
}

// Run checks the files and prints the result. Errors in the files result in an error with
// command.ExitInvalid, warnings with Strict in one with command.ExitFailure; both have been printed then.
// If the configuration in force can't be read, Run prints what it has found in the files, and
// returns that error.
func Run(ctx context.Context, opts *Options) error {
	cfg, sources, problems := opts.Load(opts.Directory)
	if len(problems) > 0 {
		r := report{Findings: rules.Errors(sources, problems)}
		r.skip("warnings and differences", "the files have errors")
		if err := opts.print(r); err != nil {
			return err
		}
		return command.ExitError{Code: command.ExitInvalid, Err: command.ErrSilent}
	}
	r, unread, err := opts.check(ctx, cfg, sources)
	if err != nil {
		return err
	}
	if err := opts.print(r); err != nil {
		return err
	}
	switch {
	case unread != nil:
		return unread
	case opts.Strict && len(r.Findings) > 0:
		return command.ExitError{Code: command.ExitFailure, Err: command.ErrSilent}
	default:
		return nil
	}
}

// check checks a valid configuration. The error unread is why the configuration in force is not known.
func (o *Options) check(ctx context.Context, cfg config.Config, s config.Sources) (r report, unread, err error) {
	in := rules.Input{Config: cfg, Sources: s}
	if o.Offline {
		r.skip(partDifferences, "--offline")
		r.skip(partAgents, "--offline")
		r.skip(partCosts, "--offline")
		r.Findings = rules.Check(in)
		return r, nil, nil
	}
	current, err := o.Session.ReadInForce(ctx)
	if err != nil {
		for _, part := range []string{partDifferences, partAgents, partCosts} {
			r.skip(part, "the configuration in force can't be read")
		}
		r.Findings = rules.Check(in)
		return r, fmt.Errorf("%w; to check the files alone, repeat with --offline", err), nil
	}
	before := config.Config{}
	if current != nil {
		before = current.Config
		in.Current = &before
	}
	number := current.Number()
	r.Revision = &number
	in.Live = o.live(ctx, cfg, before, &r)
	r.Findings = rules.Check(in)
	r.Differences, err = rules.Differences(before, cfg.WithDrainedOf(before), s)
	return r, nil, err
}
