package command

import (
	"context"
	"flag"
	"fmt"
	"runtime"

	"github.com/google/subcommands"
)

// versionCommand prints the program's version.
type versionCommand struct {
	streams Streams
	program string
}

// Name implements subcommands.Command.
func (*versionCommand) Name() string { return "version" }

// Synopsis implements subcommands.Command.
func (*versionCommand) Synopsis() string { return "print the program's version" }

// Usage implements subcommands.Command.
func (c *versionCommand) Usage() string {
	return c.program + " version\n\nPrint the program's version.\n"
}

// SetFlags implements subcommands.Command.
func (*versionCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	_, err := fmt.Fprintf(c.streams.Out, "%s %s %s\n", c.program, Version(), runtime.Version())
	return Report(c.streams, err)
}
