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

const usage = `arbutus-lab report [-out DIR] RESULT.json

Render a result of arbutus-lab run: a table that compares it with the baselines,
service second by second, imbalance over time, and broken flows by cause. The
table is printed. It is also written to DIR, with the plots, and named after the
experiment.

Examples:
  arbutus-lab report -out docs/measurements phellos.json

`

// options are the values of the flags.
type options struct {
	// out is the directory for the table and the plots.
	out string
}

// New returns the command.
func New(s command.Streams) subcommands.Command {
	return &command.FileCommand[options]{
		Streams:     s,
		CommandName: "report",
		Brief:       "render an experiment's result as a table and plots",
		Help:        usage,
		Missing:     "report takes one result file; see arbutus-lab help report",
		Flags: func(opts *options, f *flag.FlagSet) {
			f.StringVar(&opts.out, "out", "docs/measurements", "`directory` for the table and the plots")
		},
		Run: run,
	}
}

// run reads the result, writes the table and the plots, and prints the table. A result that
// can't be read is a usage error.
func run(_ context.Context, s command.Streams, opts options, file string) error {
	r, err := experiment.ReadResult(file)
	if err != nil {
		return command.UsageError{Err: err}
	}
	if err := os.MkdirAll(opts.out, 0o750); err != nil {
		return err
	}
	table := Table(r)
	base := filepath.Join(opts.out, r.Experiment.Name)
	if err := os.WriteFile(base+".md", []byte(table), 0o600); err != nil {
		return err
	}
	if err := plotService(r, base+".svg"); err != nil {
		return err
	}
	if err := plotImbalance(r, base+"-imbalance.svg"); err != nil {
		return err
	}
	_, err = fmt.Fprint(s.Out, table)
	return err
}
