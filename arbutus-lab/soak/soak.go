// Package soak is the command that runs the real programs as separate processes under
// load, injects faults from outside, and checks invariants on what callers and backend
// servers observe.
//
// # Usage
//
//	arbutus-lab soak -seed 7 -duration 30s
//	arbutus-lab soak -pass-through -faults kill_balancer,cut_from_store -report soak.json
//
// The seed determines the plan of faults. Faults overlap, follow closely on each other, and
// are each reverted after a while. The plan also contains planned changes: a request that
// no unplanned fault could have affected must not break during them.
package soak

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"strings"
	"time"

	"github.com/google/subcommands"

	"arbutusfront.dev/arbutus-lab/backend"
	"arbutusfront.dev/arbutus-lab/cluster"
	"arbutusfront.dev/common/command"
	"arbutusfront.dev/common/coordination/config"
)

const (
	defaultDuration = 30 * time.Second
	// startupTimeout is how long the processes may take to become ready.
	startupTimeout = 15 * time.Second
	// recoveryTimeout is how long service may take to recover after the last fault.
	recoveryTimeout = 10 * time.Second
	// stablePeriod is how long all requests must be answered for service to count as recovered.
	stablePeriod = 2 * time.Second
)

type (
	// Options holds what Run needs: the streams and the values from the command line.
	Options struct {
		Streams  command.Streams
		Bin      string
		Config   string
		Seed     uint64
		Duration time.Duration
		// Kinds are the kinds of events to inject; nil stands for all.
		Kinds       []Kind
		PassThrough bool
		// ServerFault is the fault that the first backend server injects, to show that the
		// checks detect it. It is empty for none.
		ServerFault backend.Fault
		Report      string
		// KeepLogs keeps the logs even if all invariants hold.
		KeepLogs bool
	}

	// Command implements arbutus-lab soak.
	Command struct {
		streams command.Streams
		run     func(context.Context, *Options) error
		opts    Options
		// faults is the unparsed value of the flag -faults.
		faults string
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
func (*Command) Name() string { return "soak" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string {
	return "inject random faults into separate processes and check invariants"
}

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	names := make([]string, 0, len(kinds))
	for _, k := range kinds {
		names = append(names, string(k.kind))
	}
	return `arbutus-lab soak [-seed N] [-duration D] [-faults KIND,...] [-pass-through] [-report FILE]

Run a deployment as separate processes on loopback under load, inject faults and
planned changes that follow from the seed, and check what callers and backend
servers see. If an invariant is violated, the exit code is 1 and the logs are kept.

Kinds of faults: ` + strings.Join(names, ", ") + `

Examples:
  arbutus-lab soak -seed 7
  arbutus-lab soak -pass-through -duration 2m -report soak.json

`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.opts.Bin, "bin", "bin", "`directory` with the programs")
	f.StringVar(&c.opts.Config, "config", "examples/phellos", "`directory` with the deployment's files")
	f.Uint64Var(&c.opts.Seed, "seed", 1, "`seed` that determines the plan of faults")
	f.DurationVar(&c.opts.Duration, "duration", defaultDuration, "how `long` to inject faults")
	f.StringVar(&c.faults, "faults", "", "inject only these `kinds` of faults, separated by commas")
	f.BoolVar(&c.opts.PassThrough, "pass-through", false, "use pass-through mode, in which backend servers hold the flows")
	f.StringVar((*string)(&c.opts.ServerFault), "mischief", "", "fault of one backend server: wrong_answer or run_twice")
	f.StringVar(&c.opts.Report, "report", "", "write the report to this `file` as JSON, with a plot next to it")
	f.BoolVar(&c.opts.KeepLogs, "keep", false, "keep the logs even if all invariants hold")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	opts := c.opts
	opts.Streams = c.streams
	var err error
	if f.NArg() > 0 {
		err = command.Usagef("soak takes no arguments; see arbutus-lab help soak")
	} else if opts.Kinds, err = parseKinds(c.faults); err == nil {
		err = c.run(ctx, &opts)
	}
	return command.Report(c.streams, err)
}

// Run runs the soak. It returns an error if an invariant was violated.
func Run(ctx context.Context, opts *Options) (err error) {
	cfg, problems := config.LoadDirectory(opts.Config)
	if len(problems) > 0 {
		return problems
	}
	c, err := cluster.Start(opts.Bin)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, c.Close()) }()
	if opts.PassThrough {
		c.SetPassThrough()
	}
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	h := newHarness(c, cfg, opts)
	if err := h.start(runCtx); err != nil {
		return errors.Join(err, errors.New("logs in "+c.KeepFiles()))
	}
	h.run(runCtx)
	r := h.verify()
	stop()
	if err := errors.Join(h.close(), r.write(opts.Report)); err != nil {
		return err
	}
	if len(r.Violations) > 0 || opts.KeepLogs {
		r.Logs = c.KeepFiles()
	}
	return opts.verdict(r)
}

// verdict prints the violations and a summary line. It returns command.ErrSilent if there
// are violations.
func (o *Options) verdict(r *Report) error {
	for _, v := range r.Violations {
		o.printf("invariant violated: %s", v)
	}
	if r.Logs != "" {
		o.printf("logs: %s", r.Logs)
	}
	o.printf("soak: seed=%d faults=%d requests=%d answered=%d refused=%d broken=%d promises_broken=%d",
		o.Seed, len(r.Events), r.Requests, r.Answered, r.Refused, r.Broken, len(r.Violations))
	if len(r.Violations) > 0 {
		return command.ErrSilent
	}
	return nil
}

func (o *Options) printf(format string, args ...any) {
	fmt.Fprintf(o.Streams.Out, format+"\n", args...)
}
