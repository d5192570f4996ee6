// Package demo is the command that shows the main job: a whole deployment as
// separate processes, serving callers through planned changes.
//
// # Usage
//
//	arbutus-lab demo -bin bin -config examples/phellos
package demo

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/subcommands"

	"arbutusfront.dev/arbutus-lab/caller"
	"arbutusfront.dev/arbutus-lab/cluster"
	"arbutusfront.dev/common/command"
	"arbutusfront.dev/common/coordination/config"
)

const (
	serveTime      = 10 * time.Second
	bound          = 28 * time.Second
	requestTimeout = 10 * time.Second
	readyTimeout   = 10 * time.Second
	stopTimeout    = 12 * time.Second
	callerHosts    = 4
	workersPerHost = 8
	longRequests   = 20
	bodyBytes      = 2000
	mapBytes       = 200_000
	thinkTime      = 20 * time.Millisecond
	serversOfFirst = 7
	serversOfOther = 3
)

type (
	// Options are what the command runs with.
	Options struct {
		Streams command.Streams
		Bin     string
		Config  string
		// PassThrough has backend servers hold flows themselves.
		PassThrough bool
	}

	// Command runs the demo.
	Command struct {
		streams command.Streams
		run     func(context.Context, *Options) error
		opts    Options
	}

	// tally counts requests.
	tally struct {
		requests, answered, broken atomic.Int64

		mu    sync.Mutex
		first error
	}
)

// New returns the command. A nil run stands for Run.
func New(s command.Streams, run func(context.Context, *Options) error) *Command {
	if run == nil {
		run = Run
	}
	return &Command{streams: s, run: run}
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "serve callers through planned changes, then end" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `arbutus-lab demo -bin DIR -config DIR

Run a deployment as separate processes on loopback: store, fabric, three
balancers, backend servers with their agents in three failure domains. Callers
send requests over real TCP while a backend server is drained and a balancer is
replaced. Ends by itself; exit code 0 only if every request got its own whole
answer.

Examples:
  arbutus-lab demo -bin bin -config examples/phellos
  arbutus-lab demo -bin bin -config examples/phellos -pass-through

`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.opts.Bin, "bin", "bin", "`directory` with the programs")
	f.BoolVar(&c.opts.PassThrough, "pass-through", false, "have backend servers hold flows themselves")
	f.StringVar(&c.opts.Config, "config", "examples/phellos", "`directory` with the deployment's files")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := command.Usagef("demo takes no arguments; see arbutus-lab help demo")
	if f.NArg() == 0 {
		opts := c.opts
		opts.Streams = c.streams
		err = c.run(ctx, &opts)
	}
	return command.Report(c.streams, err)
}

// Run runs the demo.
func Run(ctx context.Context, opts *Options) (err error) {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
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
	if err := opts.bringUp(ctx, c, cfg); err != nil {
		return err
	}
	var t tally
	failed := opts.serve(ctx, c, cfg, &t)
	if t.first != nil {
		opts.sayf("first broken request: %v", t.first)
	}
	opts.sayf("demo: requests=%d answered=%d broken=%d", t.requests.Load(), t.answered.Load(), t.broken.Load())
	if failed == nil && (t.broken.Load() > 0 || t.answered.Load() == 0) {
		failed = command.ErrSilent
	}
	return failed
}

// bringUp starts the processes and puts the configuration in force.
func (o *Options) bringUp(ctx context.Context, c *cluster.Cluster, cfg config.Config) error {
	o.sayf("starting 3 balancers in %d failure domains", len(cfg.Domains))
	balancers := []string{"balancer-1", "balancer-2", "balancer-3"}
	for i, name := range balancers {
		if err := c.StartBalancer(name, cfg.Domains[i%len(cfg.Domains)].Name); err != nil {
			return err
		}
	}
	servers := Servers(cfg)
	o.sayf("starting %d backend servers with their agents", len(servers))
	var names []string
	for _, s := range servers {
		if err := c.StartServer(s, "-work", "2ms"); err != nil {
			return err
		}
		names = append(names, s.Name)
	}
	if err := c.SprayOver(ctx, balancers...); err != nil {
		return err
	}
	o.sayf("applying %s", o.Config)
	out, err := c.Ctl(ctx, "apply", "-f", o.Config, "--yes", "--wait")
	if err != nil {
		return err
	}
	o.sayf("%s", lastLine(out))
	return c.AwaitReady(readyTimeout, append(balancers, names...)...)
}

// serve runs callers while planned changes happen.
func (o *Options) serve(ctx context.Context, c *cluster.Cluster, cfg config.Config, t *tally) error {
	hosts, stop, err := c.StartHosts(ctx, callerHosts)
	if err != nil {
		return err
	}
	serving, endServing := context.WithTimeout(ctx, serveTime)
	defer endServing()
	var wg sync.WaitGroup
	for _, h := range hosts {
		for i := range workersPerHost {
			s := cfg.Services[i%len(cfg.Services)]
			wg.Go(func() { work(ctx, serving, h, s.Endpoint(), t) })
		}
	}
	stopProgress := o.progress(t)
	changed := o.change(ctx, c, cfg)
	wg.Wait()
	stopProgress()
	return errors.Join(changed, stop())
}

// change drains a backend server, replaces a balancer, and undoes the drain.
func (o *Options) change(ctx context.Context, c *cluster.Cluster, cfg config.Config) error {
	drained := Servers(cfg)[0].Name
	steps := []struct {
		what string
		do   func() error
	}{
		{"draining " + drained, func() error { return ctl(ctx, c, "server", "drain", drained, "--wait") }},
		{"replacing balancer-2 by balancer-4", func() error { return replaceBalancer(ctx, c, cfg) }},
		{"undraining " + drained, func() error { return ctl(ctx, c, "server", "undrain", drained, "--wait") }},
	}
	for _, s := range steps {
		time.Sleep(time.Second)
		o.sayf("%s", s.what)
		if err := s.do(); err != nil {
			return err
		}
	}
	return nil
}

func replaceBalancer(ctx context.Context, c *cluster.Cluster, cfg config.Config) error {
	if err := c.StartBalancer("balancer-4", cfg.Domains[1%len(cfg.Domains)].Name); err != nil {
		return err
	}
	if err := c.AwaitReady(readyTimeout, "balancer-4"); err != nil {
		return err
	}
	if err := c.SprayOver(ctx, "balancer-1", "balancer-2", "balancer-3", "balancer-4"); err != nil {
		return err
	}
	return c.Stop("balancer-2", stopTimeout)
}

// Servers returns the backend servers of a deployment at today's sizes, spread
// over the failure domains.
func Servers(cfg config.Config) []cluster.Server {
	var servers []cluster.Server
	for i, s := range cfg.Services {
		n := serversOfOther
		if i == 0 {
			n = serversOfFirst
		}
		for j := range n {
			servers = append(servers, cluster.Server{
				Name:    fmt.Sprintf("%s-%d", s.Name, j+1),
				Service: s.Name,
				Domain:  cfg.Domains[j%len(cfg.Domains)].Name,
			})
		}
	}
	return servers
}

// work sends requests until serving ends: some on flows of their own, some on a
// flow that lasts for longRequests.
func work(ctx, serving context.Context, h *caller.Host, service netip.AddrPort, t *tally) {
	for serving.Err() == nil {
		keep := rand.IntN(2) == 0
		client := h.Client(keep)
		n := 1
		if keep {
			n = longRequests
		}
		for range n {
			if serving.Err() != nil {
				break
			}
			t.count(request(ctx, client, service))
			time.Sleep(rand.N(thinkTime))
		}
		client.CloseIdleConnections()
	}
}

func request(ctx context.Context, client *http.Client, service netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	body := make([]byte, rand.IntN(bodyBytes))
	for i := range body {
		body[i] = byte(rand.Uint32())
	}
	q := caller.Request{Service: service, Body: body}
	if rand.IntN(10) == 0 {
		q.Bytes = mapBytes
	}
	return caller.Do(ctx, client, q)
}

func (t *tally) count(err error) {
	t.requests.Add(1)
	if err == nil {
		t.answered.Add(1)
		return
	}
	t.broken.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.first == nil {
		t.first = err
	}
}
