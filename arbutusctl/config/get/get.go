// Package get contains the get command, which prints the configuration in force.
//
// # Usage
//
//	arbutusctl get
package get

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"arbutusfront.dev/arbutusctl/session"
	"arbutusfront.dev/common/command"
	"arbutusfront.dev/common/coordination/config"
)

type (
	// Options holds what Run needs: the session.
	Options struct {
		Session *session.Session
	}

	// Command is the get command.
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
func (*Command) Name() string { return "get" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "print the configuration in force as JSON" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `arbutusctl get

Print the revision and the configuration in force as JSON, as read from the
store. Before the first apply, the revision is 0 and the configuration is null.

Examples:
  arbutusctl get
  arbutusctl get > in-force.json

`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) { c.session.SetFlags(f) }

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := command.Usagef("get takes no arguments; see arbutusctl help get")
	if f.NArg() == 0 {
		err = c.run(ctx, &Options{Session: c.session})
	}
	return command.Report(c.session.Streams, err)
}

// Run prints the revision in force and its configuration as JSON. Before the first apply, these
// are 0 and null.
func Run(ctx context.Context, opts *Options) error {
	r, err := opts.Session.ReadInForce(ctx)
	if err != nil {
		return err
	}
	var cfg *config.Config
	if r != nil {
		cfg = &r.Config
	}
	return opts.Session.Streams.PrintJSON(struct {
		Revision uint64         `json:"revision"`
		Config   *config.Config `json:"config"`
	}{r.Number(), cfg})
}
