// Package agent speaks to the other agents of the service: each agent tells a
// few others of the flows that it holds, so that they find the holder at once,
// and can tell its callers if it dies.
//
// # Usage
//
//	p := agent.New(node, engine, agent.WithSend(send), ...)
//	done := p.Run(ctx)
//	p.Opened(key)
//	p.Handle(from, message)
//
// A flow is told to the agents that rank first for it, besides the holder. Each
// of them has a task of its own that repeats what was not acknowledged.
package agent

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"arbutusfront.dev/arbutus-agent/state"
	"arbutusfront.dev/common/coordination/member"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/state/load"
	"arbutusfront.dev/common/state/placement"
	"arbutusfront.dev/common/transport/wait"
)

const (
	// keepers is the number of agents that are told of each flow.
	keepers = 2

	// probeRounds bounds how often the callers of a lost agent are probed.
	probeRounds   = 20
	probeInterval = 250 * time.Millisecond

	// loadLifetime is how long another agent's word on its load is taken.
	loadLifetime = 3 * time.Second
)

type (
	// Directory is what the engine keeps of flows held elsewhere.
	Directory struct {
		Register   func(key ipv4.FlowKey, instance uint64)
		Unregister func(key ipv4.FlowKey, instance uint64)
		ProbeHeld  func(instance uint64) int
		// Held returns the flows that this agent holds; Load counts them with
		// those that are being opened.
		Held func() []ipv4.FlowKey
		Load func() load.Load
	}

	// toldLoad is what another agent last told of its load.
	toldLoad struct {
		load.Load
		at time.Time
	}

	// Peers are the other agents of the service.
	Peers struct {
		node      *state.Node
		self      func() member.Member
		send      func(to netip.AddrPort, m *controlv1.Datagram)
		directory Directory
		gather    time.Duration
		// rank returns the first candidates for a flow's hash.
		rank func(s *placement.Service, hash uint64, limit int) []placement.Candidate
		log  log.Logger

		mu    sync.Mutex
		tasks map[uint64]*task
		// told are the keepers that know of each flow held here.
		told  map[ipv4.FlowKey][]uint64
		loads map[uint64]toldLoad
		// ended tells that no more tasks are started.
		ended bool
		wg    sync.WaitGroup
		ctx   context.Context
	}

	// Option changes how Peers are built.
	Option func(*Peers)
)

// WithSend sets how datagrams are sent. It must not wait.
func WithSend(send func(to netip.AddrPort, m *controlv1.Datagram)) Option {
	return func(p *Peers) { p.send = send }
}

// WithSelf sets how the agent itself is announced.
func WithSelf(self func() member.Member) Option { return func(p *Peers) { p.self = self } }

// WithLogger sets where events are logged.
func WithLogger(l log.Logger) Option { return func(p *Peers) { p.log = l } }

// WithGather sets how long updates are gathered for one message.
func WithGather(d time.Duration) Option { return func(p *Peers) { p.gather = d } }

// WithSettledKeepers has agents that have taken no flows yet told last.
func WithSettledKeepers() Option {
	return func(p *Peers) { p.rank = (*placement.Service).RankedSettled }
}

// New returns the peers of an agent.
func New(node *state.Node, opts ...Option) *Peers {
	p := &Peers{
		node:   node,
		gather: gatherPause,
		rank:   (*placement.Service).Ranked,
		log:    log.NewNopLogger(),
		tasks:  make(map[uint64]*task),
		told:   make(map[ipv4.FlowKey][]uint64),
		loads:  make(map[uint64]toldLoad),
		ctx:    context.Background(),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// SetDirectory sets the engine's directory. It is called before Run.
func (p *Peers) SetDirectory(d Directory) { p.directory = d }

// Run follows the service's agents until ctx ends, and reports its end on the
// channel.
func (p *Peers) Run(ctx context.Context) <-chan error {
	p.ctx = ctx
	followed := p.node.Follow(ctx, p.retell)
	done := make(chan error, 1)
	go func() {
		p.tellCallers(ctx)
		err := <-followed
		p.mu.Lock()
		p.ended = true
		p.mu.Unlock()
		p.wg.Wait()
		done <- err
	}()
	return done
}

// Opened tells the keepers of a flow that this agent holds it.
func (p *Peers) Opened(key ipv4.FlowKey) {
	p.tell(p.node.View(), key)
}

// Closed tells the keepers of a flow that it has ended.
func (p *Peers) Closed(key ipv4.FlowKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, instance := range p.told[key] {
		if t := p.tasks[instance]; t != nil {
			t.remove(key)
		}
	}
	delete(p.told, key)
}

// LoadOf returns the load that another agent has lately told of, and whether it
// has.
func (p *Peers) LoadOf(instance uint64) (load.Load, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	told, ok := p.loads[instance]
	return told.Load, ok && time.Since(told.at) < loadLifetime
}

func (p *Peers) noteLoad(instance uint64, flows, requests uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loads[instance] = toldLoad{Load: load.Load{Flows: int(flows), Requests: int(requests)}, at: time.Now()}
}

// Handle takes in a control message of another agent.
func (p *Peers) Handle(from netip.AddrPort, m *controlv1.Datagram) {
	switch body := m.GetBody().(type) {
	case *controlv1.Datagram_Register:
		p.handleRegister(from, body.Register)
	case *controlv1.Datagram_RegisterAck:
		p.handleAck(body.RegisterAck)
	}
}

func (p *Peers) handleRegister(from netip.AddrPort, r *controlv1.Register) {
	holder, err := member.Decode(r.GetHolder())
	if err != nil || holder.Service != p.self().Service {
		return
	}
	p.node.Learn(holder)
	p.noteLoad(holder.Instance, r.GetFlowsHeld(), r.GetRequests())
	for _, b := range r.GetAdded() {
		if key, ok := ipv4.DecodeFlowKey(b); ok {
			p.directory.Register(key, holder.Instance)
		}
	}
	for _, b := range r.GetRemoved() {
		if key, ok := ipv4.DecodeFlowKey(b); ok {
			p.directory.Unregister(key, holder.Instance)
		}
	}
	load := p.directory.Load()
	p.send(from, &controlv1.Datagram{Body: &controlv1.Datagram_RegisterAck{RegisterAck: &controlv1.RegisterAck{
		Sequence:  r.GetSequence(),
		Instance:  p.self().Instance,
		FlowsHeld: uint32(load.Flows),
		Requests:  uint32(load.Requests),
	}}})
}

func (p *Peers) handleAck(a *controlv1.RegisterAck) {
	p.noteLoad(a.GetInstance(), a.GetFlowsHeld(), a.GetRequests())
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.tasks[a.GetInstance()]; t != nil {
		t.acknowledge(a.GetSequence())
	}
}

// tellCallers has the callers of flows told whose agents have died, or whose
// failure domain was taken out. What the caller does not answer is repeated.
func (p *Peers) tellCallers(ctx context.Context) {
	rounds := make(map[uint64]int)
	for wait.For(ctx, probeInterval) {
		// An instance whose failure domain comes back starts anew.
		next := make(map[uint64]int)
		for _, instance := range p.node.Gone() {
			next[instance] = min(rounds[instance]+1, probeRounds+1)
			if next[instance] <= probeRounds {
				p.probe(instance, next[instance] == 1)
			}
		}
		rounds = next
	}
}

func (p *Peers) probe(instance uint64, first bool) {
	if n := p.directory.ProbeHeld(instance); n > 0 && first {
		_ = level.Info(p.log).Log("event", "callers_probed", "instance", instance, "flows", n)
	}
}

// retell tells the keepers of each flow held here anew, where they changed.
func (p *Peers) retell(v *state.View) {
	for _, key := range p.directory.Held() {
		p.tell(v, key)
	}
	p.endTasks(v)
}

func (p *Peers) tell(v *state.View, key ipv4.FlowKey) {
	self := p.self().Instance
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.told[key]
	after := make([]uint64, 0, keepers)
	for _, c := range p.rank(v.Agents, placement.FlowHash(key), keepers+1) {
		if c.Instance == self || len(after) == keepers {
			continue
		}
		after = append(after, c.Instance)
		if !slices.Contains(before, c.Instance) {
			p.taskOf(c).add(key)
		}
	}
	for _, instance := range before {
		if t := p.tasks[instance]; t != nil && !slices.Contains(after, instance) {
			t.remove(key)
		}
	}
	p.told[key] = after
}

// taskOf returns the agent's task, and starts it if there is none. The caller
// holds the mutex.
func (p *Peers) taskOf(c placement.Candidate) *task {
	t := p.tasks[c.Instance]
	if t != nil {
		return t
	}
	ctx, cancel := context.WithCancel(p.ctx)
	t = newTask(c.Packet, cancel)
	p.tasks[c.Instance] = t
	if !p.ended {
		p.wg.Go(func() { p.serve(ctx, t) })
	}
	return t
}

// endTasks ends the tasks of agents that are gone.
func (p *Peers) endTasks(v *state.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for instance, t := range p.tasks {
		if _, ok := v.Agents.ByInstance(instance); !ok {
			t.cancel()
			delete(p.tasks, instance)
			delete(p.loads, instance)
		}
	}
}
