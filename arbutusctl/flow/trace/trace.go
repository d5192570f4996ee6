// Package trace contains the flow trace command, which extracts the events of one caller's
// flows from the logs of several processes and prints them in order of time.
//
// # Usage
//
//	arbutusctl flow trace 203.0.113.7:40001 balancer-1.log contract-desk-2.log
//	cat all.log | arbutusctl flow trace 203.0.113.7:40001
//
// A log line is a list of key=value pairs (logfmt) that begins with time=. Text before it is
// a prefix added by a log collector, and its last field is the process's name. For lines
// without a prefix, the process's name is the file's base name without its extension.
package trace

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"arbutusfront.dev/arbutusctl/session"
	"arbutusfront.dev/common/command"
)

const (
	verbTrace = "trace"

	// defaultAround is how long before and after the flow's lines other events of the
	// involved processes are shown. By default, a silent process is declared dead after
	// 1.6 s (dead_after_millis), so shorter times could miss the cause of a reset.
	defaultAround = 2 * time.Second

	timeFormat = "2006-01-02T15:04:05.000Z07:00"
)

type (
	// Options holds what Run needs: the session, the values from the command line and the
	// function that opens log files.
	Options struct {
		Session *session.Session
		// Caller is the caller's address. Port 0 matches all its ports.
		Caller netip.AddrPort
		// Service is the service address that the flows were sent to. The zero value
		// matches all services.
		Service netip.AddrPort
		// Around is how long before and after the flows' lines other events of the
		// involved processes are shown. Zero shows the flows' lines only.
		Around time.Duration
		// Files are the log files to read. If there are none, standard input is read.
		Files []string
		// Open opens the log file with the given name.
		Open func(name string) (io.ReadCloser, error)
	}

	// Command is the flow command.
	Command struct {
		session *session.Session
		run     func(context.Context, *Options) error
		service string
		around  time.Duration
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
func (*Command) Name() string { return "flow" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "show what the processes logged of a caller's flow" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `arbutusctl flow trace CALLER [--service ADDR] [--around DURATION] [--json] [FILE...]

Print what balancers and agents logged of a caller's flow, in order of time. Other
events of these processes are printed if they occurred shortly before or after.
Lines of the flow itself are marked with * in the second column. A line that says
that the flow was refused or deferred is followed by an explanation, marked with =:
which process decided it, for which route and target latency, the expected wait
and the longest one allowed, and how old the information was.

CALLER is an IP address with a port, or without one for all ports of the caller.
Without files, the logs are read from standard input.

Examples:
  arbutusctl flow trace 203.0.113.7:40001 logs/*.log
  cat all.log | arbutusctl flow trace 203.0.113.7 --around 0s --json

`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	c.session.SetFlags(f)
	f.StringVar(&c.service, "service", "", "show only flows to this service `address` and port")
	f.DurationVar(&c.around, "around", defaultAround, "also show other events this long before and after")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	opts, err := c.options(f)
	if err == nil {
		err = c.run(ctx, opts)
	}
	return command.Report(c.session.Streams, err)
}

func (c *Command) options(f *flag.FlagSet) (*Options, error) {
	args, err := command.Positionals(f)
	if err != nil {
		return nil, err
	}
	if len(args) < 2 || args[0] != verbTrace {
		return nil, command.Usagef(`flow needs "trace" and a caller's address; see arbutusctl help flow`)
	}
	opts := &Options{Session: c.session, Around: c.around, Files: args[2:], Open: openFile}
	if opts.Caller, err = parseCaller(args[1]); err != nil {
		return nil, err
	}
	if c.service != "" {
		if opts.Service, err = netip.ParseAddrPort(c.service); err != nil {
			return nil, command.Usagef("%q is not an address and port; give one such as 198.18.0.1:443", c.service)
		}
	}
	if c.around < 0 {
		return nil, command.Usagef("--around can't be negative; use 0s to show only the flow's own lines")
	}
	return opts, nil
}

// parseCaller parses an address with or without a port. Without one, the port is 0. An
// invalid address results in a UsageError.
func parseCaller(s string) (netip.AddrPort, error) {
	if a, err := netip.ParseAddrPort(s); err == nil {
		return a, nil
	}
	a, err := netip.ParseAddr(s)
	if err != nil {
		return netip.AddrPort{}, command.Usagef("%q is not a caller's address; give one such as 203.0.113.7:40001", s)
	}
	return netip.AddrPortFrom(a, 0), nil
}

func openFile(name string) (io.ReadCloser, error) { return os.Open(name) }

// Run reads the logs and prints the caller's flows in order of time. It returns an error if
// the logs contain no line of them.
func Run(ctx context.Context, opts *Options) error {
	var logs Logs
	if len(opts.Files) == 0 {
		if err := logs.Read(ctx, "stdin", opts.Session.Streams.In); err != nil {
			return err
		}
	}
	for _, name := range opts.Files {
		if err := opts.readFile(ctx, &logs, name); err != nil {
			return err
		}
	}
	timeline := logs.Timeline(opts.Caller, opts.Service, opts.Around)
	if len(timeline) == 0 {
		return fmt.Errorf(
			"no line of %s among %d read; check the address; event lines_left_out or a key left_out above 0 marks missing lines",
			opts.Caller, logs.LineCount(),
		)
	}
	return opts.print(timeline)
}

// readFile adds the lines of the named file to logs. A file that can't be opened results in a
// UsageError.
func (o *Options) readFile(ctx context.Context, logs *Logs, name string) error {
	f, err := o.Open(name)
	if err != nil {
		return command.UsageError{Err: fmt.Errorf("%w; give the names of log files", err)}
	}
	err = logs.Read(ctx, processOf(name), f)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (o *Options) print(timeline []Entry) error {
	if o.Session.JSON {
		return o.Session.Streams.PrintJSON(timeline)
	}
	rows := make([][]string, 0, len(timeline))
	for _, e := range timeline {
		marker := ""
		if e.OfFlow {
			marker = "*"
		}
		at := e.Time.UTC().Format(timeFormat)
		rows = append(rows, []string{at, marker, e.Process, e.Event, e.details()})
		if e.Explanation != "" {
			rows = append(rows, []string{at, "=", e.Process, "explanation", e.Explanation})
		}
	}
	return o.Session.Streams.PrintTable([]string{"time", "flow", "process", "event", "details"}, rows)
}

// details returns the line's fields as key=value pairs.
func (e Entry) details() string {
	pairs := make([]string, 0, len(e.Fields))
	for _, f := range e.Fields {
		pairs = append(pairs, f.Key+"="+f.Value)
	}
	return strings.Join(pairs, " ")
}
