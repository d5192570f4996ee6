// Package demo is the command that demonstrates a whole deployment as separate
// processes, which serves callers without a failed request during planned changes.
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
	// loadTime is how long callers send requests.
	loadTime = 10 * time.Second
	// runTimeout limits the whole demo.
	runTimeout     = 28 * time.Second
	requestTimeout = 10 * time.Second
	readyTimeout   = 10 * time.Second
	stopTimeout    = 12 * time.Second
	callerHosts    = 4
	workersPerHost = 8
	// requestsPerFlow is the number of requests on a flow that is kept alive.
	requestsPerFlow  = 20
	maxBodyBytes     = 2000
	largeAnswerBytes = 200_000
	// maxPause limits the random pause of a worker between two requests.
	maxPause = 20 * time.Millisecond
	// The first service of a deployment gets more backend servers than the others.
	firstServiceServers = 7
	otherServiceServers = 3
)

type (
	// Options holds what Run needs: the streams and the values from the command line.
	Options struct {
		Streams command.Streams
		// Bin is the directory of the programs.
		Bin string
		// Config is the directory of the deployment's files.
		Config string
		// PassThrough selects pass-through mode, in which backend servers terminate TCP.
		PassThrough bool
	}

	// Command runs the demo.
	Command struct {
		streams command.Streams
		run     func(context.Context, *Options) error
		opts    Options
	}

	// counters counts requests and keeps the first error.
	counters struct {
		requests, answered, broken atomic.Int64

		mu         sync.Mutex
		firstError error // guarded by mu
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
func (*Command) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "serve callers during planned changes, then exit" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `arbutus-lab demo -bin DIR -config DIR

Run a deployment as separate processes on loopback: store, fabric, three
balancers, backend servers with their agents in three failure domains. Callers
send requests over TCP while a backend server is drained and a balancer is
replaced. The demo ends by itself. The exit code is 0 only if every request got
its own complete answer.

Examples:
  arbutus-lab demo -bin bin -config examples/phellos
  arbutus-lab demo -bin bin -config examples/phellos -pass-through

`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.opts.Bin, "bin", "bin", "`directory` with the programs")
	f.BoolVar(&c.opts.PassThrough, "pass-through", false, "use pass-through mode, in which backend servers terminate TCP")
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

// Run runs the demo and prints its steps and counts. It returns command.ErrSilent if a
// request failed or none was answered, since the printed counts already show it.
func Run(ctx context.Context, opts *Options) (err error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
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
	if err := opts.deploy(ctx, c, cfg); err != nil {
		return err
	}
	var n counters
	runErr := opts.serve(ctx, c, cfg, &n)
	if n.firstError != nil {
		opts.printf("first broken request: %v", n.firstError)
	}
	opts.printf("demo: requests=%d answered=%d broken=%d", n.requests.Load(), n.answered.Load(), n.broken.Load())
	if runErr == nil && (n.broken.Load() > 0 || n.answered.Load() == 0) {
		runErr = command.ErrSilent
	}
	return runErr
}

// deploy starts the processes, applies the configuration and waits until all are ready.
func (o *Options) deploy(ctx context.Context, c *cluster.Cluster, cfg config.Config) error {
	o.printf("starting 3 balancers in %d failure domains", len(cfg.Domains))
	balancers := []string{"balancer-1", "balancer-2", "balancer-3"}
	for i, name := range balancers {
		if err := c.StartBalancer(name, cfg.Domains[i%len(cfg.Domains)].Name); err != nil {
			return err
		}
	}
	servers := Servers(cfg)
	o.printf("starting %d backend servers with their agents", len(servers))
	var names []string
	for _, s := range servers {
		if err := c.StartServer(s, "-work", "2ms"); err != nil {
			return err
		}
		names = append(names, s.Name)
	}
	if err := c.SetBalancers(ctx, balancers...); err != nil {
		return err
	}
	o.printf("applying %s", o.Config)
	out, err := c.Ctl(ctx, "apply", "-f", o.Config, "--yes", "--wait")
	if err != nil {
		return err
	}
	o.printf("%s", lastLine(out))
	return c.AwaitReady(readyTimeout, append(balancers, names...)...)
}

// serve sends requests from callers for loadTime while it makes the planned changes.
func (o *Options) serve(ctx context.Context, c *cluster.Cluster, cfg config.Config, n *counters) error {
	hosts, stop, err := c.StartHosts(ctx, callerHosts)
	if err != nil {
		return err
	}
	loadCtx, endLoading := context.WithTimeout(ctx, loadTime)
	defer endLoading()
	var wg sync.WaitGroup
	for _, h := range hosts {
		for i := range workersPerHost {
			s := cfg.Services[i%len(cfg.Services)]
			wg.Go(func() { sendRequests(ctx, loadCtx, h, s.Endpoint(), n) })
		}
	}
	stopProgress := o.progress(n)
	changeErr := o.makeChanges(ctx, c, cfg)
	wg.Wait()
	stopProgress()
	return errors.Join(changeErr, stop())
}

// makeChanges drains a backend server, replaces a balancer, and undrains the backend
// server.
func (o *Options) makeChanges(ctx context.Context, c *cluster.Cluster, cfg config.Config) error {
	drained := Servers(cfg)[0].Name
	steps := []struct {
		name string
		run  func() error
	}{
		{"draining " + drained, func() error { return ctl(ctx, c, "server", "drain", drained, "--wait") }},
		{"replacing balancer-2 by balancer-4", func() error { return replaceBalancer(ctx, c, cfg) }},
		{"undraining " + drained, func() error { return ctl(ctx, c, "server", "undrain", drained, "--wait") }},
	}
	for _, s := range steps {
		time.Sleep(time.Second)
		o.printf("%s", s.name)
		if err := s.run(); err != nil {
			return err
		}
	}
	return nil
}

// replaceBalancer starts balancer-4 and, once it is ready and gets packets, stops
// balancer-2 gracefully.
func replaceBalancer(ctx context.Context, c *cluster.Cluster, cfg config.Config) error {
	if err := c.StartBalancer("balancer-4", cfg.Domains[1%len(cfg.Domains)].Name); err != nil {
		return err
	}
	if err := c.AwaitReady(readyTimeout, "balancer-4"); err != nil {
		return err
	}
	if err := c.SetBalancers(ctx, "balancer-1", "balancer-2", "balancer-3", "balancer-4"); err != nil {
		return err
	}
	return c.Stop("balancer-2", stopTimeout)
}

// Servers returns the backend servers of each service, spread over the failure domains:
// 7 for the first service and 3 for each other.
func Servers(cfg config.Config) []cluster.Server {
	var servers []cluster.Server
	for i, s := range cfg.Services {
		n := otherServiceServers
		if i == 0 {
			n = firstServiceServers
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

// sendRequests sends requests from the host until loadCtx is canceled. At random,
// it opens a flow for one request, or for requestsPerFlow. A request that was sent is
// awaited under ctx, also after loadCtx is canceled.
func sendRequests(ctx, loadCtx context.Context, h *caller.Host, service netip.AddrPort, n *counters) {
	for loadCtx.Err() == nil {
		keepAlive := rand.IntN(2) == 0
		client := h.Client(keepAlive)
		requests := 1
		if keepAlive {
			requests = requestsPerFlow
		}
		for range requests {
			if loadCtx.Err() != nil {
				break
			}
			n.count(request(ctx, client, service))
			time.Sleep(rand.N(maxPause))
		}
		client.CloseIdleConnections()
	}
}

// request sends a request with a random body. Every tenth on average asks for a large
// answer.
func request(ctx context.Context, client *http.Client, service netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	body := make([]byte, rand.IntN(maxBodyBytes))
	for i := range body {
		body[i] = byte(rand.Uint32())
	}
	q := caller.Request{Service: service, Body: body}
	if rand.IntN(10) == 0 {
		q.AnswerBytes = largeAnswerBytes
	}
	return caller.Do(ctx, client, q)
}

// count counts a request by its outcome, and keeps the first error.
func (n *counters) count(err error) {
	n.requests.Add(1)
	if err == nil {
		n.answered.Add(1)
		return
	}
	n.broken.Add(1)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.firstError == nil {
		n.firstError = err
	}
}
