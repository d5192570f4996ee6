// Package status contains the status command, which prints the revision in force, how far the
// processes have adopted it, and which requests wait or are refused.
//
// # Usage
//
//	arbutusctl status
//	arbutusctl status --wait
//	arbutusctl status --apply-id 1b4e28ba-2fa1-11d2-883f-0016d3cca427
package status

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"arbutusfront.dev/arbutusctl/session"
	"arbutusfront.dev/common/command"
	"arbutusfront.dev/common/coordination/config"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
)

type (
	// Options holds what Run needs: the session and the values from the command line.
	Options struct {
		Session *session.Session
		// Wait waits until all live processes have adopted the revision in force, and
		// prints only how long that took.
		Wait bool
		// ApplyID is the identifier of the apply whose outcome to print; empty prints
		// the status.
		ApplyID string
	}

	// Command is the status command.
	Command struct {
		session *session.Session
		run     func(context.Context, *Options) error
		wait    bool
		applyID string
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
func (*Command) Name() string { return "status" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string {
	return "show the revision in force, which processes lack it, and refused requests"
}

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `arbutusctl status [--wait] [--apply-id ID]

Show which revision is in force, since when and by whom, which failure domains
are out, which backend servers are draining, and which processes are behind: they
still have an older revision. If requests wait or were refused in the last ten
seconds, also show how many, for each service, route and failure domain, and why.

With --wait, wait until all processes have the revision. With --apply-id, print
whether that apply was accepted.

Examples:
  arbutusctl status
  arbutusctl status --wait
  arbutusctl status --json

`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	c.session.SetFlags(f)
	f.BoolVar(&c.wait, "wait", false, "wait until the revision is in force everywhere")
	f.StringVar(&c.applyID, "apply-id", "", "print whether the apply with this `id` was accepted")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := command.Usagef("status takes no arguments; see arbutusctl help status")
	if f.NArg() == 0 {
		err = c.run(ctx, &Options{Session: c.session, Wait: c.wait, ApplyID: c.applyID})
	}
	return command.Report(c.session.Streams, err)
}

// Run prints the outcome of an apply if ApplyID is set, else waits for the revision in force if
// Wait is set, else prints the status.
func Run(ctx context.Context, opts *Options) error {
	if opts.ApplyID != "" {
		return opts.findApply(ctx)
	}
	peers, err := opts.Session.Peers()
	if err != nil {
		return err
	}
	response, err := peers.Status(ctx)
	if err != nil {
		return err
	}
	if opts.Wait {
		return opts.Session.WaitInForce(ctx, response.GetHead().GetRevision())
	}
	return opts.print(summarize(response, opts.inForce(ctx, response)))
}

// inForce returns the configuration in force as read from the store. It returns nil if no
// configuration is in force, the store can't be read, or the store returns an older revision
// than the balancer reported.
func (o *Options) inForce(ctx context.Context, response *controlv1.StatusResponse) *config.Config {
	r, err := o.Session.ReadInForce(ctx)
	if err != nil || r.Number() < response.GetHead().GetRevision() || r == nil {
		return nil
	}
	return &r.Config
}
