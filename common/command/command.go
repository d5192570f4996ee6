// Package command contains what the programs' command lines have in common: input and
// output streams, exit codes, and the error types that determine the exit code.
//
// # Usage
//
//	func main() { os.Exit(command.Run(command.System(), "arbutusctl", os.Args[1:], register)) }
//
// A command's Execute returns command.Report(streams, err).
package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/google/subcommands"
	"golang.org/x/term"
)

// Exit codes of all programs.
const (
	ExitOK ExitCode = 0
	// ExitFailure is for errors that have no exit code of their own.
	ExitFailure ExitCode = 1
	// ExitUsage means wrong flags, arguments or settings.
	ExitUsage ExitCode = 2
	// ExitCanceled means that the operator declined a confirmation or interrupted the
	// program.
	ExitCanceled ExitCode = 3
	// ExitConflict means that a change was not accepted because the configuration in
	// force is not the expected one.
	ExitConflict ExitCode = 4
	// ExitUnreachable means that the store or a process could not be reached.
	ExitUnreachable ExitCode = 5
	// ExitUnknown means that it is unknown whether a change took effect.
	ExitUnknown ExitCode = 6
	// ExitTimeout means that a deadline passed.
	ExitTimeout ExitCode = 7
	// ExitInvalid means that the given configuration is invalid.
	ExitInvalid ExitCode = 8
)

// ErrSilent is a failure that has already been reported. Report prints nothing for it.
var ErrSilent = errors.New("silent failure")

type (
	// ExitCode is a program's exit status.
	ExitCode int

	// Streams are a program's input and output streams.
	Streams struct {
		In  io.Reader
		Out io.Writer
		Err io.Writer
		// OutIsTerminal is set if Out is a terminal, so that output is formatted for a
		// person.
		OutIsTerminal bool
		// InIsTerminal is set if In is a terminal, so that the user can be prompted.
		InIsTerminal bool
	}

	// UsageError is an error in flags, arguments or settings.
	UsageError struct{ Err error }

	// CanceledError means that the operator declined a confirmation or interrupted the
	// program.
	CanceledError struct{ Reason string }

	// ExitError is an error with an explicit exit code.
	ExitError struct {
		Code ExitCode
		Err  error
	}
)

// Error implements error.
func (e UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e UsageError) Unwrap() error { return e.Err }

// Error implements error.
func (e CanceledError) Error() string { return e.Reason }

// Error implements error.
func (e ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e ExitError) Unwrap() error { return e.Err }

// Usagef returns a UsageError with a formatted message.
func Usagef(format string, args ...any) error {
	return UsageError{Err: fmt.Errorf(format, args...)}
}

// System returns the process's own streams.
func System() Streams {
	return Streams{
		In:            os.Stdin,
		Out:           os.Stdout,
		Err:           os.Stderr,
		OutIsTerminal: term.IsTerminal(int(os.Stdout.Fd())),
		InIsTerminal:  term.IsTerminal(int(os.Stdin.Fd())),
	}
}

// Run parses the arguments, runs the command that they name and returns the exit code.
// register adds the program's commands. An interrupt or SIGTERM cancels the command's
// context.
func Run(s Streams, program string, args []string, register func(*subcommands.Commander)) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return RunContext(ctx, s, program, args, register)
}

// RunContext is like Run, but with the given context in place of signal handling.
func RunContext(
	ctx context.Context, s Streams, program string, args []string, register func(*subcommands.Commander),
) int {
	flags := flag.NewFlagSet(program, flag.ContinueOnError)
	flags.SetOutput(s.Err)
	commander := subcommands.NewCommander(flags, program)
	commander.Output = s.Out
	commander.Error = s.Err
	flags.Usage = func() { commander.Explain(s.Out) }
	commander.Register(commander.HelpCommand(), "")
	commander.Register(&versionCommand{streams: s, program: program}, "")
	register(commander)
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return int(ExitOK)
		}
		return int(ExitUsage)
	}
	return int(commander.Execute(ctx))
}

// Report prints err, unless it is ErrSilent, and returns the exit status for its type.
func Report(s Streams, err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitStatus(ExitOK)
	}
	code := CodeOf(err)
	if !errors.Is(err, ErrSilent) {
		fmt.Fprintln(s.Err, err)
	}
	return subcommands.ExitStatus(code)
}

// CodeOf returns the exit code for the type of err.
func CodeOf(err error) ExitCode {
	var usage UsageError
	var canceled CanceledError
	var exit ExitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &exit):
		return exit.Code
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &canceled), errors.Is(err, context.Canceled):
		return ExitCanceled
	case errors.Is(err, context.DeadlineExceeded):
		return ExitTimeout
	default:
		return ExitFailure
	}
}

// Positionals returns a command's positional arguments. It also parses the flags between
// and after them, which the flag package doesn't. A wrong flag results in a UsageError.
func Positionals(f *flag.FlagSet) ([]string, error) {
	var out []string
	for f.NArg() > 0 {
		out = append(out, f.Arg(0))
		if err := f.Parse(f.Args()[1:]); err != nil {
			return nil, UsageError{Err: err}
		}
	}
	return out, nil
}

// Version returns the version of the program's main module, or "devel" if the build doesn't
// contain one.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "devel"
	}
	return info.Main.Version
}
