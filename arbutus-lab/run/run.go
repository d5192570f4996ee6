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

const usage = `arbutus-lab run [-bin DIR] [-commit COMMIT] -out RESULT.json EXPERIMENT.json

Run a deployment as separate processes on loopback, under load, with the changes
and faults of the experiment, and write the measurements to a file that
arbutus-lab report reads. On a terminal, print the progress each second.

Examples:
  arbutus-lab run -out phellos.json experiments/phellos.json

`

// options are the values of the flags.
type options struct {
	// bin is the directory of the programs, out the result's file.
	bin, out string
	// commit is the commit of the programs, which the report shows.
	commit string
}

// New returns the command.
func New(s command.Streams) subcommands.Command {
	return &command.FileCommand[options]{
		Streams:     s,
		CommandName: "run",
		Brief:       "run an experiment and write its result to a file",
		Help:        usage,
		Missing:     "run needs one experiment's file; see arbutus-lab help run",
		Flags: func(opts *options, f *flag.FlagSet) {
			f.StringVar(&opts.bin, "bin", "bin", "`directory` with the programs")
			f.StringVar(&opts.out, "out", "", "`file` for the result")
			f.StringVar(&opts.commit, "commit", "unknown", "`commit` of the programs, which the report shows")
		},
		Check: func(opts *options) error {
			if opts.out == "" {
				return command.Usagef("-out is missing; name the file for the result")
			}
			return nil
		},
		Run: run,
	}
}

// run runs the experiment and writes its result. A file that can't be read or is invalid
// is a usage error.
func run(ctx context.Context, s command.Streams, opts options, file string) error {
	x, err := experiment.Read(file)
	if err != nil {
		return command.UsageError{Err: err}
	}
	result, err := experiment.Run(ctx, x,
		experiment.WithPrograms(opts.bin),
		experiment.WithProgress(func(line string) {
			if s.OutIsTerminal {
				fmt.Fprintln(s.Err, line)
			}
		}),
	)
	if err != nil {
		return err
	}
	result.File, result.Commit = file, opts.commit
	if err := result.Write(opts.out); err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.Out, "%s: result written to %s\n", x.Name, opts.out)
	return err
}
