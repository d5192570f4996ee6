package soak

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"arbutusfront.dev/arbutus-lab/caller"
	"arbutusfront.dev/arbutus-lab/cluster"
	"arbutusfront.dev/arbutus-lab/demo"
	"arbutusfront.dev/arbutus-lab/proxy"
	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/transport/tasks"
)

const (
	// portStore and portPackets are the ports on a balancer's own address at which the proxies
	// for its store link and its packets listen.
	portStore   = 7101
	portPackets = 7102

	callerHosts    = 4
	workersPerHost = 5
	// serverWork is how long a request occupies its slot, as flag -work.
	serverWork = "2ms"
)

// harness runs the deployment with its fault-injecting proxies and callers, and keeps the records.
type harness struct {
	cluster *cluster.Cluster
	cfg     config.Config
	opts    *Options
	targets targets
	servers map[string]cluster.Server
	hosts   []*caller.Host
	plan    []Event

	storeLinks  map[string]*proxy.TCP
	packetLinks map[string]*proxy.UDP
	// proxyErrors holds the channel of each proxy's Run.
	proxyErrors []<-chan error
	stopProxies context.CancelFunc
	closeHosts  func() error

	started time.Time
	records *records
	// mu guards down, which holds the processes that a fault or planned stop keeps down, and
	// noBalancerAt, when all balancers were last down.
	mu           sync.Mutex
	down         map[string]bool
	noBalancerAt time.Time
}

func newHarness(c *cluster.Cluster, cfg config.Config, opts *Options) *harness {
	h := &harness{
		cluster: c, cfg: cfg, opts: opts, servers: make(map[string]cluster.Server), records: newRecords(),
		storeLinks: make(map[string]*proxy.TCP), packetLinks: make(map[string]*proxy.UDP), down: make(map[string]bool),
	}
	for _, s := range demo.Servers(cfg) {
		h.servers[s.Name] = s
		h.targets.servers = append(h.targets.servers, s.Name)
	}
	for _, d := range cfg.Domains {
		h.targets.domains = append(h.targets.domains, d.Name)
		h.targets.balancers = append(h.targets.balancers, "balancer-"+string(rune('0'+len(h.targets.domains))))
	}
	h.plan = plan(opts.Seed, opts.Duration, h.targets, opts.Kinds, opts.PassThrough)
	return h
}

func (h *harness) domainOf(balancer string) string {
	for i, b := range h.targets.balancers {
		if b == balancer {
			return h.targets.domains[i]
		}
	}
	return ""
}

// start starts the proxies, the processes and the callers' hosts, and puts the
// configuration in force.
func (h *harness) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*startupTimeout)
	defer cancel()
	c := h.cluster
	if err := h.startProxies(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	c.SetLinks(cluster.Links{
		Store:   func(b string) netip.AddrPort { return c.Address(b, portStore) },
		Packets: func(b string) netip.AddrPort { return c.Address(b, portPackets) },
	})
	for _, b := range h.targets.balancers {
		if err := c.StartBalancer(b, h.domainOf(b)); err != nil {
			return err
		}
	}
	for i, name := range h.targets.servers {
		if err := c.StartServer(h.servers[name], h.serverArgs(i)...); err != nil {
			return err
		}
	}
	if err := c.SetBalancers(ctx, h.targets.balancers...); err != nil {
		return err
	}
	if _, err := c.Ctl(ctx, "apply", "-f", h.opts.Config, "--yes", "--wait"); err != nil {
		return err
	}
	if err := c.AwaitReady(startupTimeout, h.processNames()...); err != nil {
		return err
	}
	hosts, end, err := c.StartHosts(context.WithoutCancel(ctx), callerHosts)
	h.hosts, h.closeHosts = hosts, end
	return err
}

// serverArgs returns the arguments of the i-th backend server. Only the first one gets the
// ServerFault; -1 stands for a restarted one, which gets none.
func (h *harness) serverArgs(i int) []string {
	args := []string{"-work", serverWork}
	if i == 0 && h.opts.ServerFault != "" {
		args = append(args, "-mischief", string(h.opts.ServerFault))
	}
	return args
}

func (h *harness) startProxies(ctx context.Context) error {
	ctx, h.stopProxies = context.WithCancel(ctx)
	for i, b := range h.targets.balancers {
		t, err := proxy.ListenTCP(h.cluster.Address(b, portStore), h.cluster.StoreAddress())
		if err != nil {
			return err
		}
		u, err := proxy.ListenUDP(h.cluster.Address(b, portPackets), h.cluster.PacketAddress(b), h.opts.Seed+uint64(i))
		if err != nil {
			return err
		}
		h.storeLinks[b], h.packetLinks[b] = t, u
		h.proxyErrors = append(h.proxyErrors, t.Run(ctx), u.Run(ctx))
	}
	return nil
}

// run sends load and checks revisions while it injects the plan's events, and waits for
// service to recover after the last one is reverted. Then it collects what the backend
// servers ran, and checks the processes.
func (h *harness) run(ctx context.Context) {
	h.started = time.Now()
	h.records.start = h.started
	loadCtx, stopLoad := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i, source := range h.hosts {
		for w := range workersPerHost {
			wg.Go(func() { h.sendLoad(loadCtx, source, i*workersPerHost+w) })
		}
	}
	checksEnded := make(chan struct{})
	go func() {
		defer close(checksEnded)
		h.checkRevisions(loadCtx)
	}()
	stopProgress := h.progress(loadCtx)
	var injected sync.WaitGroup
	for _, e := range h.plan {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(h.started.Add(e.At))):
		}
		if ctx.Err() != nil {
			break
		}
		injected.Go(func() { h.inject(ctx, e) })
	}
	injected.Wait()
	h.records.recordRecovery(h.awaitService(ctx))
	stopLoad()
	wg.Wait()
	<-checksEnded
	stopProgress()
	h.collectRuns(ctx)
	h.checkProcesses()
}

// awaitService waits until all requests are answered for stablePeriod. It reports whether
// that happened within recoveryTimeout.
func (h *harness) awaitService(ctx context.Context) bool {
	deadline := time.Now().Add(recoveryTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		since := time.Now()
		time.Sleep(stablePeriod)
		if h.records.allAnsweredSince(since) {
			return true
		}
	}
	return false
}

// close stops the callers' hosts and the proxies, and returns their errors.
func (h *harness) close() error {
	err := h.closeHosts()
	h.stopProxies()
	return errors.Join(err, tasks.Gather(h.proxyErrors...).Wait())
}
