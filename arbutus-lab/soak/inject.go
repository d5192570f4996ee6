package soak

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	"arbutusfront.dev/arbutus-lab/cluster"
	"arbutusfront.dev/arbutus-lab/proxy"
	"arbutusfront.dev/arbutus-lab/store"
	"arbutusfront.dev/common/transport/wait"
)

const (
	stopTimeout = 15 * time.Second
	// slowLinkDelay is the delay that a slow link adds in each direction, lossyLinkShare the
	// share of datagrams that a lossy link drops, slowStoreMillis the delay that a slow store
	// adds to each call, and lostResponses how many writes a store applies without responding.
	slowLinkDelay   = 120 * time.Millisecond
	lossyLinkShare  = 0.2
	slowStoreMillis = 400
	lostResponses   = 3
	// newFlowsBound is how long new flows may still arrive after a drain or the removal of
	// a failure domain is in force.
	newFlowsBound = 2 * time.Second
)

var storeFaults = map[Kind]store.Faults{
	StoreDown:         {Down: true},
	StoreSlow:         {DelayMillis: slowStoreMillis},
	StoreLosesAnswers: {LoseAnswers: lostResponses},
}

// inject applies the event, reverts it after its duration, and records when it was active.
// A failure to do so counts as a violation unless ctx has ended.
func (h *harness) inject(ctx context.Context, e Event) {
	done := h.records.recordEvent(e)
	defer done()
	if err := h.apply(ctx, e); err != nil && ctx.Err() == nil {
		h.records.addViolationf("injecting %s on %s: %v", e.Kind, e.Target, err)
	}
}

func (h *harness) apply(ctx context.Context, e Event) error {
	if faults, ok := storeFaults[e.Kind]; ok {
		return h.injectStoreFaults(ctx, e, faults)
	}
	switch e.Kind {
	case StoreRestored, OddStoreEntries, OddAnnouncement:
		return h.applyFromOutside(ctx, e)
	case KillBalancer, KillAgent:
		return h.killFor(ctx, e.For, e.Target)
	case KillAll:
		return h.killFor(ctx, e.For, h.processNames()...)
	case PauseBalancer, PauseAgent:
		return h.pauseFor(ctx, e)
	case RestartBalancer, RestartAgent:
		return h.restart(ctx, e)
	case CrashServer:
		return h.crashServer(ctx, e)
	case CutFromStore:
		injectLinkFault(ctx, h.storeLinks[e.Target].SetFault, e)
	case DegradePackets:
		injectLinkFault(ctx, h.packetLinks[e.Target].SetFault, e)
	case DrainServer:
		h.takeOut(ctx, e, []string{"server", "drain"}, []string{"server", "undrain"}, []string{e.Target})
	case DomainOut:
		h.takeOut(ctx, e, []string{"domain", "out"}, []string{"domain", "in"}, h.serversIn(e.Target))
	default:
		return fmt.Errorf("unknown kind %q", e.Kind)
	}
	return nil
}

// applyFromOutside applies an event that others than the processes of the deployment cause.
func (h *harness) applyFromOutside(ctx context.Context, e Event) error {
	switch e.Kind {
	case StoreRestored:
		return h.restoreStore(ctx, e)
	case OddStoreEntries:
		return h.writeOddly(ctx, e)
	default:
		return h.announceOddly(ctx, e)
	}
}

// processNames returns the names of all balancers and agents.
func (h *harness) processNames() []string {
	return append(append([]string{}, h.targets.balancers...), h.targets.servers...)
}

// injectLinkFault sets the link fault that the event's variant names, for its duration.
func injectLinkFault(ctx context.Context, set func(proxy.Fault), e Event) {
	set(linkFault(e.How))
	wait.For(ctx, e.For)
	set(proxy.Fault{})
}

func linkFault(how string) proxy.Fault {
	switch how {
	case "reset":
		return proxy.Fault{Reset: true}
	case "silent":
		return proxy.Fault{DropToTarget: true, DropFromTarget: true}
	case "one_way":
		return proxy.Fault{DropFromTarget: true}
	case "lossy":
		return proxy.Fault{Loss: lossyLinkShare}
	default:
		return proxy.Fault{Delay: slowLinkDelay}
	}
}

// killFor kills the processes without warning, and starts them again after d.
func (h *harness) killFor(ctx context.Context, d time.Duration, names ...string) error {
	for _, name := range names {
		h.setDown(name, true)
		if err := h.cluster.Process(name).Kill(); err != nil {
			return err
		}
	}
	wait.For(ctx, d)
	for _, name := range names {
		if err := h.startProcess(name); err != nil {
			return err
		}
	}
	return nil
}

// pauseFor suspends the process without ending it, as a stalled machine would.
func (h *harness) pauseFor(ctx context.Context, e Event) error {
	p := h.cluster.Process(e.Target)
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	wait.For(ctx, e.For)
	return p.Signal(syscall.SIGCONT)
}

// restart stops the process gracefully, and starts it again after the event's duration.
func (h *harness) restart(ctx context.Context, e Event) error {
	h.setDown(e.Target, true)
	if err := h.cluster.Stop(e.Target, stopTimeout); err != nil {
		return fmt.Errorf("planned stop: %w", err)
	}
	wait.For(ctx, e.For)
	return h.startProcess(e.Target)
}

func (h *harness) startProcess(name string) error {
	defer h.setDown(name, false)
	if s, ok := h.servers[name]; ok {
		return h.cluster.StartAgent(s)
	}
	return h.cluster.StartBalancer(name, h.domainOf(name))
}

// crashServer kills the backend server but not its agent, and starts it again. It first
// collects what the server has run, because the new run starts with empty counts.
func (h *harness) crashServer(ctx context.Context, e Event) error {
	h.collectRunsOf(ctx, e.Target)
	name := e.Target + backendSuffix
	h.setDown(name, true)
	if err := h.cluster.Process(name).Kill(); err != nil {
		return err
	}
	wait.For(ctx, e.For)
	defer h.setDown(name, false)
	return h.cluster.StartBackend(h.servers[e.Target], h.serverArgs(-1)...)
}

func (h *harness) injectStoreFaults(ctx context.Context, e Event, faults store.Faults) error {
	if err := h.cluster.SetFaults(ctx, faults); err != nil {
		return err
	}
	wait.For(ctx, e.For)
	return h.cluster.SetFaults(context.WithoutCancel(ctx), store.Faults{})
}

// takeOut takes the target out of service with the arbutusctl command out, and puts it back
// with the command in. Starting newFlowsBound after out has succeeded, it checks for the
// event's duration that the servers get no new flows, unless an unplanned fault was active.
// If out fails, nothing is checked, but in runs all the same.
func (h *harness) takeOut(ctx context.Context, e Event, out, in, servers []string) {
	putBack := func() {
		for range commandAttempts {
			if _, err := h.cluster.Ctl(ctx, append(in, e.Target, "--wait")...); err == nil || ctx.Err() != nil {
				return
			}
			wait.For(ctx, commandPause)
		}
	}
	defer putBack()
	if _, err := h.cluster.Ctl(ctx, append(out, e.Target, "--wait")...); err != nil {
		return
	}
	inForceAt := time.Now()
	wait.For(ctx, newFlowsBound)
	before := make(map[string]int)
	for _, s := range servers {
		before[s] = h.freshRuns(ctx, s)
	}
	wait.For(ctx, e.For)
	for _, s := range servers {
		after := h.freshRuns(ctx, s)
		if before[s] >= 0 && after > before[s] && !h.records.faultActiveBetween(inForceAt.Add(-settleTime), time.Now()) {
			h.records.addViolationf("%s got %d new flows after it was taken out of service", s, after-before[s])
		}
	}
}

func (h *harness) serversIn(domain string) []string {
	var out []string
	for _, name := range h.targets.servers {
		if h.servers[name].Domain == domain {
			out = append(out, name)
		}
	}
	return out
}

func (h *harness) setDown(name string, down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down[name] = down
	if !slices.ContainsFunc(h.targets.balancers, func(b string) bool { return !h.down[b] }) {
		h.noBalancerAt = time.Now()
	}
}

func (h *harness) isDown(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.down[name]
}

// process returns the named process. It reports false if none was started, or while a fault
// or planned stop keeps it down.
func (h *harness) process(name string) (*cluster.Process, bool) {
	if h.isDown(name) {
		return nil, false
	}
	p := h.cluster.Process(name)
	return p, p != nil
}
