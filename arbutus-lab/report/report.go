// Package report is the command that renders an experiment's result as a Markdown table and
// SVG plots.
//
// # Usage
//
//	arbutus-lab report -out docs/measurements result.json
package report

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"github.com/google/subcommands"

	"arbutusfront.dev/arbutus-lab/experiment"
	"arbutusfront.dev/common/command"
)

type (
	// Options holds what Run needs: the streams and the values from the command line. File is
	// the result, Out the directory to write to.
	Options struct {
		Streams command.Streams
		File    string
		Out     string
	}

	// Command implements arbutus-lab report.
	Command struct {
		streams command.Streams
		run     func(context.Context, *Options) error
		opts    Options
	}
)

// New returns the command, which calls run, or Run if run is nil.
func New(s command.Streams, run func(context.Context, *Options) error) *Command {
	if run == nil {
		run = Run
	}
	return &Command{streams: s, run: run}
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "report" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "render an experiment's result as a table and plots" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `arbutus-lab report [-out DIR] RESULT.json

Render a result of arbutus-lab run: a table that compares it with the baselines,
service second by second, imbalance over time, and broken flows by cause. The
table is printed. It is also written to DIR, with the plots, and named after the
experiment.

Examples:
  arbutus-lab report -out docs/measurements phellos.json

`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.opts.Out, "out", "docs/measurements", "`directory` for the table and the plots")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	opts := c.opts
	opts.Streams = c.streams
	files, err := command.Positionals(f)
	switch {
	case err != nil:
	case len(files) != 1:
		err = command.Usagef("report takes one result file; see arbutus-lab help report")
	default:
		opts.File = files[0]
		err = c.run(ctx, &opts)
	}
	return command.Report(c.streams, err)
}

// Run reads the result, writes the table and the plots, and prints the table. A result that
// can't be read is a usage error.
func Run(_ context.Context, opts *Options) error {
	r, err := experiment.ReadResult(opts.File)
	if err != nil {
		return command.UsageError{Err: err}
	}
	if err := os.MkdirAll(opts.Out, 0o750); err != nil {
		return err
	}
	table := Table(r)
	base := filepath.Join(opts.Out, r.Experiment.Name)
	if err := os.WriteFile(base+".md", []byte(table), 0o600); err != nil {
		return err
	}
	if err := plotService(r, base+".svg"); err != nil {
		return err
	}
	if err := plotImbalance(r, base+"-imbalance.svg"); err != nil {
		return err
	}
	_, err = fmt.Fprint(opts.Streams.Out, table)
	return err
}
