// Package check contains the check command, which validates a program's settings file and
// reports the problems found.
//
// # Usage
//
//	arbutus-agent check -settings agent.json
package check

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"arbutusfront.dev/common/command"
)

// Command is the check command of a program.
type Command struct {
	streams command.Streams
	program string
	load    func(file string) error
	file    string
}

// New returns the check command of the program. The function load reads and validates a
// settings file.
func New(s command.Streams, program string, load func(file string) error) *Command {
	return &Command{streams: s, program: program, load: load}
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "check a settings file" }

// Usage implements subcommands.Command.
func (c *Command) Usage() string {
	return c.program + ` check -settings FILE

Check a settings file and report each problem with its line, path and remedy.
Nothing is started.

Examples:
  ` + c.program + ` check -settings settings.json

`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", "", "`file` with the settings")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return command.Report(c.streams, c.check(f))
}

func (c *Command) check(f *flag.FlagSet) error {
	if c.file == "" || f.NArg() > 0 {
		return command.Usagef("check needs -settings and no arguments; see %s help check", c.program)
	}
	if err := c.load(c.file); err != nil {
		return command.UsageError{Err: err}
	}
	_, err := fmt.Fprintf(c.streams.Out, "%s: ok\n", c.file)
	return err
}
