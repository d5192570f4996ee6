// Package agent exchanges control messages with the other agents of the service. The
// holder of a flow publishes it to a few directory replicas. A replica forwards the
// flow's packets straight to the holder, and probes the flow's caller if the holder
// dies.
//
// # Usage
//
//	p := agent.New(node, agent.WithSend(send), agent.WithSelf(self))
//	p.SetEngineHooks(hooks)
//	done := p.Run(ctx)
//	p.Opened(key)
//	p.Handle(from, message)
//
// An agent that sees packets of a flow without knowing its holder asks all other agents for it
// with Search.
//
// A flow's replicas are the agents, other than the holder, that come first in its ranking
// by rendezvous hashing. One task per replica batches updates and retransmits them until
// they are acknowledged.
package agent

import (
	"context"
	"errors"
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
	// replicasPerFlow is the number of directory replicas that each flow is published
	// to.
	replicasPerFlow = 2

	// maxProbeRounds bounds how many times the callers of an agent's ended flows are
	// probed: probes or their answers may be lost.
	maxProbeRounds = 20
	probeInterval  = 250 * time.Millisecond

	// loadLifetime is how long a load report of another agent is treated as valid.
	loadLifetime = 3 * time.Second
)

type (
	// EngineHooks are the engine's side of Peers: they store the flows that other agents
	// publish here, and list the flows held here.
	EngineHooks struct {
		// Register records the agent with the instance as the holder of the flow;
		// Unregister removes that record.
		Register   func(key ipv4.FlowKey, instance uint64)
		Unregister func(key ipv4.FlowKey, instance uint64)
		// ProbeCallersOf probes the callers of all flows that the agent with the instance
		// held, and returns their number.
		ProbeCallersOf func(instance uint64) int
		// Held returns the established flows that this agent holds. Load also counts
		// those whose handshake is not complete.
		Held func() []ipv4.FlowKey
		Load func() load.Load
		// Claims reports whether a packet of a caller with these numbers belongs to a flow
		// that this agent holds. Found is called if a search has found the holder of a flow.
		// Otherwise SearchEnded is called at its end: denied is set if all other agents have
		// answered that they don't hold the flow. All are nil if no flows are searched for.
		Claims      func(key ipv4.FlowKey, sequence, acknowledgment uint32) bool
		Found       func(key ipv4.FlowKey, instance uint64)
		SearchEnded func(key ipv4.FlowKey, denied bool)
	}

	// loadReport is the last load that another agent reported.
	loadReport struct {
		load.Load
		receivedAt time.Time
	}

	// Peers publishes the flows of this agent to their directory replicas, and receives
	// those of the other agents. It is safe for concurrent use.
	Peers struct {
		node       *state.Node
		self       func() member.Member
		send       func(to netip.AddrPort, m *controlv1.Datagram)
		hooks      EngineHooks
		batchDelay time.Duration
		// rank returns the first limit candidates in the ranking for a flow's hash.
		rank func(s *placement.Service, hash uint64, limit int) []placement.Candidate
		log  log.Logger

		mu sync.Mutex
		// tasks has, by the replica's instance, the task that publishes flows to it.
		tasks map[uint64]*task
		// replicas are the instances that each flow held here is published to.
		replicas map[ipv4.FlowKey][]uint64
		// loads has the last load reports by the agent's instance.
		loads map[uint64]loadReport
		// searches are the searches for the holders of flows.
		searches searches
		// stopped is set when Run ends: no more tasks are started.
		stopped bool
		wg      sync.WaitGroup
		ctx     context.Context
	}

	// Option configures Peers.
	Option func(*Peers)
)

// WithSend sets the function that sends a datagram. The function must not block.
func WithSend(send func(to netip.AddrPort, m *controlv1.Datagram)) Option {
	return func(p *Peers) { p.send = send }
}

// WithSelf sets the function that returns the agent's own member record.
func WithSelf(self func() member.Member) Option { return func(p *Peers) { p.self = self } }

// WithLogger sets the logger of events.
func WithLogger(l log.Logger) Option { return func(p *Peers) { p.log = l } }

// WithBatchDelay sets how long updates are batched before they are sent in one message.
func WithBatchDelay(d time.Duration) Option { return func(p *Peers) { p.batchDelay = d } }

// WithSettledReplicas makes joining agents, which usually have taken no flows yet in this
// incarnation, replicas only if there are no others.
func WithSettledReplicas() Option {
	return func(p *Peers) { p.rank = (*placement.Service).RankedSettled }
}

// New returns the Peers of the agent whose state is in node.
func New(node *state.Node, opts ...Option) *Peers {
	p := &Peers{
		node:       node,
		batchDelay: defaultBatchDelay,
		rank:       (*placement.Service).Ranked,
		log:        log.NewNopLogger(),
		tasks:      make(map[uint64]*task),
		replicas:   make(map[ipv4.FlowKey][]uint64),
		loads:      make(map[uint64]loadReport),
		searches:   newSearches(),
		ctx:        context.Background(),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// SetEngineHooks sets the engine's callbacks. It must be called before Run.
func (p *Peers) SetEngineHooks(h EngineHooks) { p.hooks = h }

// Run republishes flows when their replicas change, and probes the callers of flows that
// ended because their holder left, died or is in a failure domain that was taken out, until
// ctx is canceled. Then it waits for its tasks and sends the result on the returned channel.
func (p *Peers) Run(ctx context.Context) <-chan error {
	p.ctx = ctx
	followed := p.node.Follow(ctx, p.republish)
	searched := p.runSearches(ctx)
	done := make(chan error, 1)
	go func() {
		p.probeCallers(ctx)
		err := errors.Join(<-followed, <-searched)
		p.mu.Lock()
		p.stopped = true
		p.mu.Unlock()
		p.wg.Wait()
		done <- err
	}()
	return done
}

// Opened publishes to the flow's replicas that this agent holds it.
func (p *Peers) Opened(key ipv4.FlowKey) {
	p.publish(p.node.View(), key)
}

// Closed removes the flow from its replicas.
func (p *Peers) Closed(key ipv4.FlowKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, instance := range p.replicas[key] {
		if t := p.tasks[instance]; t != nil {
			t.remove(key)
		}
	}
	delete(p.replicas, key)
}

// LoadOf returns the last load that the agent with the instance reported, and whether
// the report is still valid.
func (p *Peers) LoadOf(instance uint64) (load.Load, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	report, ok := p.loads[instance]
	return report.Load, ok && time.Since(report.receivedAt) < loadLifetime
}

func (p *Peers) recordLoad(instance uint64, flows, requests uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loads[instance] = loadReport{Load: load.Load{Flows: int(flows), Requests: int(requests)}, receivedAt: time.Now()}
}

// Handle processes a register, a search for flows, or the response to one of them, from another
// agent, and ignores other messages.
func (p *Peers) Handle(from netip.AddrPort, m *controlv1.Datagram) {
	switch body := m.GetBody().(type) {
	case *controlv1.Datagram_Register:
		p.handleRegister(from, body.Register)
	case *controlv1.Datagram_RegisterAck:
		p.handleAck(body.RegisterAck)
	case *controlv1.Datagram_FlowSearch:
		p.handleSearch(from, body.FlowSearch)
	case *controlv1.Datagram_FlowSearchAnswer:
		p.handleSearchAnswer(body.FlowSearchAnswer)
	}
}

// handleRegister applies the updates of a holder of this service, records its member record
// and load, and acknowledges the register with this agent's load. It ignores a register whose
// holder is invalid or belongs to another service.
func (p *Peers) handleRegister(from netip.AddrPort, r *controlv1.Register) {
	holder, err := member.Decode(r.GetHolder())
	if err != nil || holder.Service != p.self().Service {
		return
	}
	p.node.Learn(holder)
	p.recordLoad(holder.Instance, r.GetFlowsHeld(), r.GetRequests())
	for _, b := range r.GetAdded() {
		if key, ok := ipv4.DecodeFlowKey(b); ok {
			p.hooks.Register(key, holder.Instance)
		}
	}
	for _, b := range r.GetRemoved() {
		if key, ok := ipv4.DecodeFlowKey(b); ok {
			p.hooks.Unregister(key, holder.Instance)
		}
	}
	current := p.hooks.Load()
	p.send(from, &controlv1.Datagram{Body: &controlv1.Datagram_RegisterAck{RegisterAck: &controlv1.RegisterAck{
		Sequence:  r.GetSequence(),
		Instance:  p.self().Instance,
		FlowsHeld: uint32(current.Flows),
		Requests:  uint32(current.Requests),
	}}})
}

// handleAck records the load of a replica and passes the acknowledgment to the replica's task.
func (p *Peers) handleAck(a *controlv1.RegisterAck) {
	p.recordLoad(a.GetInstance(), a.GetFlowsHeld(), a.GetRequests())
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.tasks[a.GetInstance()]; t != nil {
		t.acknowledge(a.GetSequence())
	}
}

// probeCallers repeatedly probes the callers of flows that ended because their holder left,
// died or is in a failure domain that was taken out, so that callers learn of the end
// although they send nothing. The callers of each incarnation's flows are probed in up to
// maxProbeRounds rounds.
func (p *Peers) probeCallers(ctx context.Context) {
	rounds := make(map[uint64]int)
	for wait.For(ctx, probeInterval) {
		// An incarnation whose flows no longer count as ended loses its count: if its failure
		// domain is put back and taken out again, its callers get all rounds again.
		current := make(map[uint64]int)
		for _, instance := range p.node.EndedInstances() {
			current[instance] = min(rounds[instance]+1, maxProbeRounds+1)
			if current[instance] <= maxProbeRounds {
				p.probeCallersOf(instance, current[instance] == 1)
			}
		}
		rounds = current
	}
}

// probeCallersOf probes the callers of the flows that the instance held. It logs their number
// in the first round.
func (p *Peers) probeCallersOf(instance uint64, first bool) {
	if n := p.hooks.ProbeCallersOf(instance); n > 0 && first {
		_ = level.Info(p.log).Log("event", "callers_probed", "instance", instance, "flows", n)
	}
}

// republish publishes each flow held here to the replicas of the view, and stops the
// tasks of agents that are not in it.
func (p *Peers) republish(v *state.View) {
	for _, key := range p.hooks.Held() {
		p.publish(v, key)
	}
	p.endTasks(v)
}

// publish adds the flow to its replicas in the view that don't have it, and removes it
// from agents that are no longer among its replicas. Tasks for new replicas are started.
func (p *Peers) publish(v *state.View, key ipv4.FlowKey) {
	self := p.self().Instance
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.replicas[key]
	after := make([]uint64, 0, replicasPerFlow)
	for _, c := range p.rank(v.Agents, placement.FlowHash(key), replicasPerFlow+1) {
		if c.Instance == self || len(after) == replicasPerFlow {
			continue
		}
		after = append(after, c.Instance)
		if !slices.Contains(before, c.Instance) {
			p.ensureTask(c).add(key)
		}
	}
	for _, instance := range before {
		if t := p.tasks[instance]; t != nil && !slices.Contains(after, instance) {
			t.remove(key)
		}
	}
	p.replicas[key] = after
}

// ensureTask returns the candidate's task. If there is none, it creates one, and starts it
// unless Run has ended. p.mu must be held.
func (p *Peers) ensureTask(c placement.Candidate) *task {
	t := p.tasks[c.Instance]
	if t != nil {
		return t
	}
	ctx, cancel := context.WithCancel(p.ctx)
	t = newTask(c.Packet, cancel)
	p.tasks[c.Instance] = t
	if !p.stopped {
		p.wg.Go(func() { p.runTask(ctx, t) })
	}
	return t
}

// endTasks cancels and removes the tasks of agents that are not in the view, and removes the
// load reports of these agents.
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
