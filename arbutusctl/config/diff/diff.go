// Package diff contains the diff command, which compares the files of a directory with the
// configuration in force.
//
// # Usage
//
//	arbutusctl diff -f examples/phellos
package diff

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
		// Load loads and validates the files of a directory.
		Load func(dir string) (config.Config, strictjson.Problems)
	}

	// Command is the diff command.
	Command struct {
		session   *session.Session
		run       func(context.Context, *Options) error
		directory string
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
func (*Command) Name() string { return "diff" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string {
	return "compare the configuration files of a directory with the configuration in force"
}

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `arbutusctl diff -f DIR

Print what "arbutusctl apply -f DIR" would change, one value a line: its path,
the value in force, and the value in the files.

Examples:
  arbutusctl diff -f deployment
  arbutusctl diff -f deployment --json

`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	c.session.SetFlags(f)
	f.StringVar(&c.directory, "f", "", "`directory` with the configuration files")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := command.Usagef("diff needs -f DIR and no arguments; see arbutusctl help diff")
	if c.directory != "" && f.NArg() == 0 {
		err = c.run(ctx, &Options{Session: c.session, Directory: c.directory, Load: config.LoadDirectory})
	}
	return command.Report(c.session.Streams, err)
}

// Run prints the changes that an apply of the files would make. If there are none and the output
// is a terminal, it prints that instead. Invalid files result in an error with
// command.ExitInvalid.
func Run(ctx context.Context, opts *Options) error {
	cfg, problems := opts.Load(opts.Directory)
	if len(problems) > 0 {
		return command.ExitError{Code: command.ExitInvalid, Err: problems}
	}
	current, err := opts.Session.ReadInForce(ctx)
	if err != nil {
		return err
	}
	before := config.Config{}
	if current != nil {
		before = current.Config
	}
	changes, err := config.Diff(before, cfg.WithDrainedOf(before))
	if err != nil {
		return err
	}
	if len(changes) == 0 && opts.Session.Streams.OutIsTerminal {
		_, err := fmt.Fprintf(opts.Session.Streams.Out, "no difference from revision %d\n", current.Number())
		return err
	}
	return opts.Session.PrintChanges(changes)
}
