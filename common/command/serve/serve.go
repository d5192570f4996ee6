// Package serve contains the serve command, which runs a long-running program with a
// settings file.
//
// # Usage
//
//	c := serve.New(streams, serve.Program{Name: "arbutus-agent", ...}, run)
package serve

import (
	"context"
	"flag"
	"time"

	"github.com/go-kit/log"
	"github.com/google/subcommands"

	"arbutusfront.dev/common/command"
)

type (
	// Program is the name of a program and its texts in the help.
	Program struct {
		Name string
		// Synopsis is one line, Description is a paragraph, and Example is the name of
		// a settings file.
		Synopsis    string
		Description string
		Example     string
	}

	// Command is the serve command of a program.
	Command struct {
		streams command.Streams
		program Program
		run     func(ctx context.Context, file string) error
		file    string
	}
)

// New returns the serve command. The function run runs the program with the given settings
// file until ctx is canceled.
func New(s command.Streams, p Program, run func(ctx context.Context, file string) error) *Command {
	return &Command{streams: s, program: p, run: run}
}

// Logger returns a logger that writes one logfmt line per event to the error stream, each
// with a timestamp.
func Logger(s command.Streams) log.Logger {
	l := log.NewLogfmtLogger(log.NewSyncWriter(s.Err))
	return log.With(l, "time", log.TimestampFormat(time.Now, time.RFC3339Nano))
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (c *Command) Synopsis() string { return c.program.Synopsis }

// Usage implements subcommands.Command.
func (c *Command) Usage() string {
	return c.program.Name + " serve -settings FILE\n\n" + c.program.Description +
		"\n\nExamples:\n  " + c.program.Name + " serve -settings " + c.program.Example + "\n\n"
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", "", "`file` with the settings")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := command.Usagef("serve needs -settings and no arguments; see %s help serve", c.program.Name)
	if c.file != "" && f.NArg() == 0 {
		err = c.run(ctx, c.file)
	}
	return command.Report(c.streams, err)
}
