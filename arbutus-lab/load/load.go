// Package load is the command that sends load to a running deployment.
//
// # Usage
//
//	arbutus-lab load -fabric 127.0.0.1:7001 -service 10.80.0.1:80 -long 100 -rate 50 -for 30s
package load

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"time"

	"github.com/google/subcommands"

	"arbutusfront.dev/arbutus-lab/caller"
	"arbutusfront.dev/arbutus-lab/experiment"
	"arbutusfront.dev/common/command"
	"arbutusfront.dev/common/transport/datagram"
)

const progressPeriod = time.Second

type (
	// Options holds what Run needs: the streams and the values from the command line.
	Options struct {
		Streams command.Streams
		// Fabric is the fabric's UDP address for callers.
		Fabric netip.AddrPort
		// Listen is the UDP address of the caller's host, Caller its IP address.
		Listen  netip.AddrPort
		Caller  netip.Addr
		Service netip.AddrPort
		// LongFlows is the number of long flows to hold.
		LongFlows int
		Requests  experiment.Requests
		// For is how long requests are sent.
		For  time.Duration
		JSON bool
	}

	// Command sends load to a running deployment.
	Command struct {
		streams command.Streams
		run     func(context.Context, *Options) error
		opts    Options
	}

	// summary holds the counts and latencies that the command prints.
	summary struct {
		Due       int                  `json:"due"`
		Answered  int                  `json:"answered"`
		Broken    int                  `json:"broken"`
		LongFlows int                  `json:"long_flows"`
		LongEnded int                  `json:"long_ended"`
		Latencies []experiment.Latency `json:"latencies"`
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
func (*Command) Name() string { return "load" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "send load to a running deployment" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `arbutus-lab load -fabric ADDR -service ADDR [flags]

Hold long flows to a service and send it requests through the fabric, at a
constant rate whether or not earlier ones were answered. A request whose flow was
refused has not run and is retried; other failures are not. The exit code is 1 if
a request failed.

Examples:
  arbutus-lab load -fabric 127.0.0.1:7001 -service 10.80.0.1:80 -rate 50 -for 30s
  arbutus-lab load -fabric 127.0.0.1:7001 -service 10.80.0.1:80 -long 100 --json

`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	f.TextVar(&c.opts.Fabric, "fabric", netip.AddrPort{}, "the fabric's UDP `address` for callers")
	f.TextVar(&c.opts.Listen, "listen", loopback, "UDP `address` of the caller's host")
	f.TextVar(&c.opts.Caller, "caller", netip.MustParseAddr("192.0.2.1"), "the caller's IP `address`")
	f.TextVar(&c.opts.Service, "service", netip.AddrPort{}, "the service's `address`")
	f.IntVar(&c.opts.LongFlows, "long", 0, "`number` of long flows to hold")
	f.IntVar(&c.opts.Requests.PerSecond, "rate", 10, "`requests` per second, each on its own flow")
	f.IntVar(&c.opts.Requests.BodyBytes, "body", 1000, "size of a request in `bytes`")
	f.IntVar(&c.opts.Requests.AnswerBytes, "answer", 0, "size of an answer in `bytes`")
	f.DurationVar(&c.opts.For, "for", 10*time.Second, "`time` for which requests are sent")
	f.BoolVar(&c.opts.JSON, "json", false, "print JSON")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	opts := c.opts
	opts.Streams = c.streams
	opts.Requests.Name = "requests"
	var err error
	switch {
	case f.NArg() > 0:
		err = command.Usagef("load takes no arguments; see arbutus-lab help load")
	case !opts.Fabric.IsValid():
		err = command.Usagef("-fabric is missing; give the fabric's UDP address for callers")
	case !opts.Service.IsValid():
		err = command.Usagef("-service is missing; give the service's address and port")
	case opts.Requests.PerSecond < 1:
		err = command.Usagef("-rate %d is too low; use at least 1", opts.Requests.PerSecond)
	default:
		err = c.run(ctx, &opts)
	}
	return command.Report(c.streams, err)
}

// Run sends the load and prints its counts and latencies. It returns an error if a request
// failed.
func Run(ctx context.Context, opts *Options) (err error) {
	socket, err := datagram.Listen(opts.Listen)
	if err != nil {
		return err
	}
	host, err := caller.NewHost(socket, opts.Fabric, opts.Caller)
	if err != nil {
		return errors.Join(err, socket.Close())
	}
	hostCtx, stop := context.WithCancel(ctx)
	done := host.Run(hostCtx)
	defer func() {
		stop()
		err = errors.Join(err, <-done)
	}()
	g := experiment.NewGenerator([]*caller.Host{host}, opts.Service)
	if err := g.HoldLongFlows(ctx, opts.LongFlows); err != nil {
		return err
	}
	loadCtx, endLoad := context.WithTimeout(ctx, opts.For)
	defer endLoad()
	progressEnded := make(chan struct{})
	go func() {
		defer close(progressEnded)
		opts.progress(loadCtx, g)
	}()
	g.Run(loadCtx, []experiment.Requests{opts.Requests})
	<-progressEnded
	return opts.print(g)
}

// progress prints the counts to a terminal each second until ctx is canceled.
func (o *Options) progress(ctx context.Context, g *experiment.Generator) {
	ticker := time.NewTicker(progressPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if o.Streams.OutIsTerminal {
			total := g.Total()
			fmt.Fprintf(o.Streams.Err, "%d due, %d answered, %d broken, %d of %d long flows ended\n",
				total.Due, total.Answered, total.Broken, g.EndedLongFlows(), o.LongFlows)
		}
	}
}

// print prints the summary, and returns an error if a request failed.
func (o *Options) print(g *experiment.Generator) error {
	total := g.Total()
	s := summary{
		Due:       total.Due,
		Answered:  total.Answered,
		Broken:    total.Broken,
		LongFlows: o.LongFlows,
		LongEnded: g.EndedLongFlows(),
		Latencies: g.Latencies([]experiment.Requests{o.Requests}),
	}
	if err := o.write(s); err != nil {
		return err
	}
	if s.Broken > 0 {
		return fmt.Errorf("%d of %d requests failed; see the agents' logs", s.Broken, s.Due)
	}
	return nil
}

// write prints the summary as JSON or as a table.
func (o *Options) write(s summary) error {
	if o.JSON {
		return o.Streams.PrintJSON(s)
	}
	rows := [][]string{
		{"requests due", fmt.Sprint(s.Due)},
		{"answered", fmt.Sprint(s.Answered)},
		{"broken", fmt.Sprint(s.Broken)},
		{"long flows", fmt.Sprint(s.LongFlows)},
		{"long flows ended", fmt.Sprint(s.LongEnded)},
	}
	for _, l := range s.Latencies {
		rows = append(
			rows,
			[]string{"latency p50", micros(l.P50Micros)},
			[]string{"latency p99", micros(l.P99Micros)},
			[]string{"latency max", micros(l.MaxMicros)},
		)
	}
	return o.Streams.PrintTable([]string{"measure", "value"}, rows)
}

// micros formats n microseconds as a duration.
func micros(n int64) string { return (time.Duration(n) * time.Microsecond).String() }
