// Package run is the command that runs an experiment and writes its result to a file.
//
// # Usage
//
//	arbutus-lab run -bin bin -out result.json experiments/phellos.json
package run

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"arbutusfront.dev/arbutus-lab/experiment"
	"arbutusfront.dev/common/command"
)

type (
	// Options holds what Run needs: the streams and the values from the command line.
	Options struct {
		Streams command.Streams
		// Bin is the directory of the programs.
		Bin string
		// File is the experiment's file, Out the result's.
		File string
		Out  string
		// Commit is the commit of the programs, which the report shows.
		Commit string
	}

	// Command runs an experiment.
	Command struct {
		streams command.Streams
		run     func(context.Context, *Options) error
		opts    Options
	}
)

// New returns the command, which runs run, or Run if that is nil.
func New(s command.Streams, run func(context.Context, *Options) error) *Command {
	if run == nil {
		run = Run
	}
	return &Command{streams: s, run: run}
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "run" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "run an experiment and write its result to a file" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `arbutus-lab run [-bin DIR] [-commit COMMIT] -out RESULT.json EXPERIMENT.json

Run a deployment as separate processes on loopback, under load, with the changes
and faults of the experiment, and write the measurements to a file that
arbutus-lab report reads. On a terminal, print the progress each second.

Examples:
  arbutus-lab run -out phellos.json experiments/phellos.json

`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.opts.Bin, "bin", "bin", "`directory` with the programs")
	f.StringVar(&c.opts.Out, "out", "", "`file` for the result")
	f.StringVar(&c.opts.Commit, "commit", "unknown", "`commit` of the programs, which the report shows")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	opts := c.opts
	opts.Streams = c.streams
	files, err := command.Positionals(f)
	switch {
	case err != nil:
	case len(files) != 1:
		err = command.Usagef("run needs one experiment's file; see arbutus-lab help run")
	case opts.Out == "":
		err = command.Usagef("-out is missing; name the file for the result")
	default:
		opts.File = files[0]
		err = c.run(ctx, &opts)
	}
	return command.Report(c.streams, err)
}

// Run runs the experiment and writes its result. A file that can't be read or is invalid
// is a usage error.
func Run(ctx context.Context, opts *Options) error {
	x, err := experiment.Read(opts.File)
	if err != nil {
		return command.UsageError{Err: err}
	}
	result, err := experiment.Run(ctx, x,
		experiment.WithPrograms(opts.Bin),
		experiment.WithProgress(opts.progress),
	)
	if err != nil {
		return err
	}
	result.File, result.Commit = opts.File, opts.Commit
	if err := result.Write(opts.Out); err != nil {
		return err
	}
	_, err = fmt.Fprintf(opts.Streams.Out, "%s: result written to %s\n", x.Name, opts.Out)
	return err
}

// progress prints a line to a terminal.
func (o *Options) progress(line string) {
	if o.Streams.OutIsTerminal {
		fmt.Fprintln(o.Streams.Err, line)
	}
}
