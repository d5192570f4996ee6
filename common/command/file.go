package command

import (
	"context"
	"flag"

	"github.com/google/subcommands"
)

// FileCommand implements subcommands.Command for a command that takes one file. Options is
// what the command needs besides its streams and the file.
type FileCommand[Options any] struct {
	Streams Streams
	Options Options

	// CommandName, Brief and Help are what Name, Synopsis and Usage return. Missing is the
	// usage error if not exactly one file is given.
	CommandName, Brief, Help, Missing string
	// Flags defines the command's flags, if it has any.
	Flags func(opts *Options, f *flag.FlagSet)
	// Check returns an error if flags are missing or contradict each other. It may be nil.
	Check func(opts *Options) error
	// Run runs the command with a copy of the options.
	Run func(ctx context.Context, s Streams, opts Options, file string) error
}

// Name implements subcommands.Command.
func (c *FileCommand[Options]) Name() string { return c.CommandName }

// Synopsis implements subcommands.Command.
func (c *FileCommand[Options]) Synopsis() string { return c.Brief }

// Usage implements subcommands.Command.
func (c *FileCommand[Options]) Usage() string { return c.Help }

// SetFlags implements subcommands.Command.
func (c *FileCommand[Options]) SetFlags(f *flag.FlagSet) {
	if c.Flags != nil {
		c.Flags(&c.Options, f)
	}
}

// Execute implements subcommands.Command.
func (c *FileCommand[Options]) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return Report(c.Streams, c.execute(ctx, f))
}

func (c *FileCommand[Options]) execute(ctx context.Context, f *flag.FlagSet) error {
	files, err := Positionals(f)
	if err != nil {
		return err
	}
	if len(files) != 1 {
		return Usagef("%s", c.Missing)
	}
	if c.Check != nil {
		if err := c.Check(&c.Options); err != nil {
			return err
		}
	}
	return c.Run(ctx, c.Streams, c.Options, files[0])
}
