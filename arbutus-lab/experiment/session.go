package experiment

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-json-experiment/json"

	"arbutusfront.dev/arbutus-lab/cluster"
	"arbutusfront.dev/common/coordination/config"
)

const (
	readyTimeout   = 15 * time.Second
	stopTimeout    = 15 * time.Second
	sampleInterval = 5 * time.Second
	progressPeriod = time.Second
)

type (
	// Option configures the run of an experiment.
	Option func(*session)

	// session is one run of an experiment.
	session struct {
		x *Experiment
		// bin is the directory of the programs.
		bin      string
		progress func(line string)
		cfg      config.Config
		service  config.Service
		cluster  *cluster.Cluster
		load     *Generator

		// mu guards the fields below, which changes and samples access concurrently.
		mu        sync.Mutex
		balancers []string
		servers   map[string]cluster.Server
		drained   map[string]bool
		// domainOutAt holds when each failure domain was taken out, or the zero time if it
		// was put in again.
		domainOutAt map[string]time.Time
		// down holds the processes that are killed or frozen at present, failed those that
		// were at any time.
		down    map[string]bool
		failed  map[string]bool
		steps   []Step
		events  []Event
		samples []Sample
	}
)

// WithPrograms sets the directory of the programs; the default is bin.
func WithPrograms(bin string) Option { return func(s *session) { s.bin = bin } }

// WithProgress sets a function that is called each second with a line about the progress.
func WithProgress(f func(line string)) Option { return func(s *session) { s.progress = f } }

// Run runs the experiment and returns its result. The processes are ended before it
// returns.
func Run(ctx context.Context, x *Experiment, opts ...Option) (result *Result, err error) {
	cfg, problems := config.LoadDirectory(x.Config)
	if len(problems) > 0 {
		return nil, problems
	}
	s := &session{
		x: x, cfg: cfg, bin: "bin", progress: func(string) {},
		servers:     make(map[string]cluster.Server),
		drained:     make(map[string]bool),
		domainOutAt: make(map[string]time.Time),
		down:        make(map[string]bool),
		failed:      make(map[string]bool),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.service, _ = cfg.Service(x.Service)
	delay := time.Duration(x.DelayMillis) * time.Millisecond
	s.cluster, err = cluster.Start(s.bin, "-delay", delay.String(), "-seed", fmt.Sprint(x.Seed))
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, s.cluster.Close()) }()
	if err := s.deploy(ctx); err != nil {
		return nil, err
	}
	hosts, stop, err := s.cluster.StartHosts(ctx, x.Load.Hosts)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, stop()) }()
	s.load = NewGenerator(hosts, s.service.Endpoint())
	started := time.Now()
	if err := s.runTimeline(ctx); err != nil {
		return nil, err
	}
	return s.result(started), nil
}

// deploy starts all processes, applies the configuration and waits until all are ready.
func (s *session) deploy(ctx context.Context) error {
	for i := range s.x.Balancers {
		name := fmt.Sprintf("balancer-%d", i+1)
		s.balancers = append(s.balancers, name)
		if err := s.cluster.StartBalancer(name, s.domain(i)); err != nil {
			return err
		}
	}
	if err := s.cluster.SetBalancers(ctx, s.balancers...); err != nil {
		return err
	}
	names := slices.Clone(s.balancers)
	for _, group := range s.x.Servers {
		for i := range group.Count {
			server := cluster.Server{
				Name: fmt.Sprintf("%s-%d", group.Service, i+1), Service: group.Service, Domain: s.domain(i),
			}
			names = append(names, server.Name)
			if err := s.startServer(server); err != nil {
				return err
			}
		}
	}
	s.recordStep()
	if _, err := s.cluster.Ctl(ctx, "apply", "-f", s.x.Config, "--yes", "--wait"); err != nil {
		return err
	}
	return s.cluster.AwaitReady(readyTimeout, names...)
}

// startServer records and starts a backend server and its agent.
func (s *session) startServer(server cluster.Server) error {
	s.servers[server.Name] = server
	work := time.Duration(s.x.WorkMillis) * time.Millisecond
	return s.cluster.StartServer(server, "-work", work.String())
}

// runTimeline opens the long flows, and then runs the load, the changes, the samples and
// the progress until the load ends. If a change fails, the load ends as soon as all changes
// have been made.
func (s *session) runTimeline(ctx context.Context) error {
	if err := s.load.HoldLongFlows(ctx, s.x.Load.LongFlows); err != nil {
		return err
	}
	loadCtx, endLoad := context.WithTimeout(ctx, s.x.duration())
	defer endLoad()
	var load, periodic sync.WaitGroup
	load.Go(func() { s.load.Run(loadCtx, s.x.Load.Requests) })
	periodic.Go(func() { s.every(loadCtx, progressPeriod, s.reportProgress) })
	periodic.Go(func() { s.every(loadCtx, sampleInterval, func() { s.sampleImbalance(loadCtx) }) })
	err := s.makeChanges(loadCtx)
	if err != nil {
		endLoad()
	}
	<-loadCtx.Done()
	load.Wait()
	periodic.Wait()
	return err
}

// makeChanges makes each change at its time, also while an earlier one is not complete. It
// waits for all and returns the first error.
func (s *session) makeChanges(ctx context.Context) error {
	start := time.Now()
	failed := make(chan error, len(s.x.Changes))
	var wg sync.WaitGroup
	for _, c := range s.x.Changes {
		wg.Go(func() {
			time.Sleep(time.Until(start.Add(c.At())))
			if err := s.makeChange(ctx, c, start); err != nil {
				failed <- fmt.Errorf("%s %s: %w", c.Action, c.Target, err)
			}
		})
	}
	wg.Wait()
	close(failed)
	return <-failed
}

// every calls f once each period until ctx is canceled.
func (s *session) every(ctx context.Context, period time.Duration, f func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

// reportProgress passes the current counts to the progress function.
func (s *session) reportProgress() {
	total := s.load.Total()
	s.progress(fmt.Sprintf("second %d of %d: %d due, %d answered, %d broken, %d of %d long flows ended",
		int(time.Since(s.load.start)/time.Second), s.x.Seconds,
		total.Due, total.Answered, total.Broken, s.load.EndedLongFlows(), s.x.Load.LongFlows))
}

// sampleImbalance records the imbalance over the backend servers that accept new flows. It
// records nothing if arbutusctl status fails, as it does while the store is down.
func (s *session) sampleImbalance(ctx context.Context) {
	at := time.Since(s.load.start)
	out, err := s.cluster.Ctl(ctx, "status", "--json")
	if err != nil {
		return
	}
	var status struct {
		Members []struct {
			Name  string `json:"name"`
			Flows int    `json:"flows"`
		} `json:"members"`
	}
	if err := json.Unmarshal([]byte(out), &status); err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held := make(map[string]int)
	for _, m := range status.Members {
		if s.acceptsFlows(m.Name) {
			held[m.Name] = m.Flows
		}
	}
	s.samples = append(s.samples, Sample{AtMillis: at.Milliseconds(), MaxOverMean: imbalance(held)})
}

// acceptsFlows reports whether the backend server belongs to the experiment's service and
// accepts new flows. mu must be held.
func (s *session) acceptsFlows(name string) bool {
	server, ok := s.servers[name]
	return ok && server.Service == s.x.Service && !s.drained[name] && !s.down[name] &&
		s.domainOutAt[server.Domain].IsZero()
}

// recordStep records which backend servers accept new flows from now on. It records nothing
// if none does. mu must be held once changes are made.
func (s *session) recordStep() {
	step := Step{Alive: make(map[string]bool)}
	for _, name := range slices.Sorted(maps.Keys(s.servers)) {
		server := s.servers[name]
		if server.Service != s.x.Service {
			continue
		}
		step.Alive[name] = !s.down[name] && s.domainOutAt[server.Domain].IsZero()
		if s.acceptsFlows(name) {
			step.Servers = append(step.Servers, name)
		}
	}
	if len(step.Servers) > 0 {
		s.steps = append(s.steps, step)
	}
}

// domain returns the failure domain of the i-th process of a kind.
func (s *session) domain(i int) string { return s.cfg.Domains[i%len(s.cfg.Domains)].Name }

// result returns the measurements of the run, which must have ended.
func (s *session) result(started time.Time) *Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Result{
		Experiment: *s.x,
		Started:    started.UTC().Format(time.RFC3339),
		Seconds:    s.load.Seconds(),
		Events:     s.events,
		Ends:       s.load.countEnds(s.causeOf),
		Imbalance:  s.samples,
		Latencies:  s.load.Latencies(s.x.Load.Requests),
		Baselines:  Baselines(s.x.Load.LongFlows, s.steps),
	}
}

// causeOf returns why the long flow ended. If its failure domain was put in again, the time
// at which it was taken out is not known, and an end at any time counts as ByDomain. mu
// must be held.
func (s *session) causeOf(f *longFlow) Cause {
	if s.failed[f.server] {
		return ByFailure
	}
	if out, ok := s.domainOutAt[s.servers[f.server].Domain]; ok && (out.IsZero() || f.endedAt.After(out)) {
		return ByDomain
	}
	return ByPlanned
}
