// Package apply contains the apply command, which puts the files of a directory in force as the
// deployment's configuration.
//
// # Usage
//
//	arbutusctl apply -f examples/phellos --wait
package apply

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"arbutusfront.dev/arbutusctl/session"
	"arbutusfront.dev/common/command"
	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/protocol/strictjson"
)

type (
	// Options holds what Run needs: the session, the values from the command line and the
	// function that loads the files.
	Options struct {
		Session *session.Session
		// Directory contains the configuration files.
		Directory string
		// Yes skips the confirmation.
		Yes bool
		// Wait waits until the change is in force everywhere.
		Wait bool
		// BaseRevision is the revision that must be in force; nil accepts any.
		BaseRevision *uint64
		// Load loads and validates the files of a directory.
		Load func(dir string) (config.Config, strictjson.Problems)
	}

	// Command is the apply command.
	Command struct {
		session      *session.Session
		run          func(context.Context, *Options) error
		directory    string
		yes          bool
		wait         bool
		baseRevision int64
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
func (*Command) Name() string { return "apply" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "put the configuration files of a directory in force" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `arbutusctl apply -f DIR [--yes] [--wait] [--base-revision N]

Read all JSON files of a directory as one configuration, validate it, print how
it differs from the configuration in force, and put it in force as a whole.
Drained backend servers stay drained. If another operator changes the
configuration meanwhile, apply reports a conflict and changes nothing.

Examples:
  arbutusctl apply -f deployment
  arbutusctl apply -f deployment --yes --wait
  arbutusctl apply -f deployment --base-revision 41

`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	c.session.SetFlags(f)
	f.StringVar(&c.directory, "f", "", "`directory` with the configuration files")
	f.BoolVar(&c.yes, "yes", false, "don't ask for confirmation")
	f.BoolVar(&c.wait, "wait", false, "wait until the change is in force everywhere")
	f.Int64Var(&c.baseRevision, "base-revision", -1, "apply only if this `revision` is in force; -1 accepts any")
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
	if c.directory == "" || f.NArg() > 0 {
		return nil, command.Usagef("apply needs -f DIR and no arguments; see arbutusctl help apply")
	}
	opts := &Options{
		Session:   c.session,
		Directory: c.directory,
		Yes:       c.yes,
		Wait:      c.wait,
		Load:      config.LoadDirectory,
	}
	if c.baseRevision >= 0 {
		base := uint64(c.baseRevision)
		opts.BaseRevision = &base
	}
	return opts, nil
}

// Run loads and validates the files, prints the changes, asks for confirmation and applies the
// files. Backend servers that are drained remain so. Invalid files result in an error with
// command.ExitInvalid, a revision that was accepted since the changes were printed in one with
// command.ExitConflict.
func Run(ctx context.Context, opts *Options) error {
	cfg, problems := opts.Load(opts.Directory)
	if len(problems) > 0 {
		return command.ExitError{Code: command.ExitInvalid, Err: problems}
	}
	base, err := opts.confirmChanges(ctx, cfg)
	if err != nil {
		return err
	}
	return opts.Session.Propose(ctx, config.Proposal{
		Summary:      "apply " + opts.Directory,
		BaseRevision: &base,
		Change: func(current *config.Revision) (config.Config, error) {
			if current == nil {
				return cfg, nil
			}
			return cfg.WithDrainedOf(current.Config), nil
		},
	}, opts.Wait)
}

// confirmChanges prints the changes from the revision in force to cfg, unless the output is JSON, asks
// for confirmation unless --yes is given or nothing changes, and returns the number of the
// revision in force. If a base revision is given and is not the one in force, it returns an error
// with command.ExitConflict.
func (o *Options) confirmChanges(ctx context.Context, cfg config.Config) (uint64, error) {
	current, err := o.Session.ReadInForce(ctx)
	if err != nil {
		return 0, err
	}
	if o.BaseRevision != nil && *o.BaseRevision != current.Number() {
		return 0, command.ExitError{Code: command.ExitConflict, Err: fmt.Errorf(
			"conflict: revision %d is in force, not %d; nothing has changed; see arbutusctl diff",
			current.Number(), *o.BaseRevision)}
	}
	before := config.Config{}
	if current != nil {
		before = current.Config
	}
	changes, err := config.Diff(before, cfg.WithDrainedOf(before))
	if err != nil {
		return 0, err
	}
	if !o.Session.JSON {
		if err := o.Session.PrintChanges(changes); err != nil {
			return 0, err
		}
	}
	if len(changes) > 0 && !o.Yes {
		if err := o.Session.Confirm(fmt.Sprintf("put %d changes in force?", len(changes))); err != nil {
			return 0, err
		}
	}
	return current.Number(), nil
}
