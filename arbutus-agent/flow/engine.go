// Package flow is the packet path of an agent that terminates its callers' TCP. It
// admits, holds and ends the flows of the agent's backend server, and forwards the
// packets of flows that other agents hold.
//
// # Usage
//
//	e := flow.New(node, server, flow.WithIdentity(self, hasLease), flow.WithForward(forward),
//		flow.WithReply(reply), ...)
//	e.SetStack(stack)
//	done := e.Run(ctx)
//	e.HandlePacket(from, header, packet)
//
// A packet of a flow that is held here goes to the flow's connection. Otherwise the
// directory names the holder. If it doesn't, the packet is forwarded along the
// service's candidates in the order of the flow's ranking; its header lists the agents
// that it has visited. The last one that the header has room for asks all agents for the flow. A SYN
// is forwarded along the candidates that take new flows, until one admits it.
package flow

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"arbutusfront.dev/arbutus-agent/backend"
	"arbutusfront.dev/arbutus-agent/caller"
	"arbutusfront.dev/arbutus-agent/directory"
	"arbutusfront.dev/arbutus-agent/newflow"
	"arbutusfront.dev/arbutus-agent/state"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/state/feature"
	"arbutusfront.dev/common/state/load"
	"arbutusfront.dev/common/state/unclaimed"
)

const (
	expireInterval = time.Second
	stallInterval  = 250 * time.Millisecond
)

type (
	// Engine is the agent's packet path. It is safe for concurrent use.
	Engine struct {
		node      *state.Node
		backend   *backend.Server
		stack     *caller.Stack
		directory *directory.Directory
		unclaimed *unclaimed.Set
		searches  *searches
		now       func() time.Time
		log       log.Logger
		metrics   metrics
		samplers  samplers

		// self returns the agent's own member record. hasLease reports whether
		// the agent's lease is valid: a balancer has acknowledged a recent heartbeat.
		self     func() member.Member
		hasLease func() bool
		// forward sends a capsule to another agent; reply sends a packet to a caller;
		// notify sends this agent's state to a packet's sender whose view is stale.
		forward func(b []byte, to netip.AddrPort) error
		reply   func(packet []byte)
		notify  func(to netip.AddrPort)
		// opened and closed publish the start and end of flows held here to the other
		// agents. loadOf returns the load that another agent reported, and whether the
		// report is still valid.
		opened func(ipv4.FlowKey)
		closed func(ipv4.FlowKey)
		loadOf func(instance uint64) (l load.Load, known bool)

		// queue has the requests at the backend server and, if request classes are configured,
		// the SYNs that wait for it. waiting has what else is known of these SYNs.
		queueMu sync.Mutex
		queue   *newflow.Queue
		waiting map[ipv4.FlowKey]waitingSYN
		// byTime is set while the queue decides on new flows, withoutTime if it never does.
		byTime, withoutTime bool
		switchedOff         feature.Set
		// waitBegan receives a value when a SYN waits after none did.
		waitBegan chan struct{}

		// mu is locked after queueMu.
		mu    sync.RWMutex
		flows map[ipv4.FlowKey]*Flow
		// stopped is set when Run ends: no more tasks are started.
		stopped bool
		tasks   sync.WaitGroup
		ctx     context.Context
	}

	// Option configures an Engine. WithIdentity, WithForward and WithReply are required.
	Option func(*Engine)

	metrics struct {
		admitted, forwarded, refused, waited, notAccepted, resets, delivered, uploadsCut tally.Counter
		dropped                                                                          func(reason string) tally.Counter
	}
)

// WithIdentity sets the functions that return the agent's own member record and whether
// its lease is valid.
func WithIdentity(self func() member.Member, hasLease func() bool) Option {
	return func(e *Engine) { e.self, e.hasLease = self, hasLease }
}

// WithForward sets the function that sends a capsule to another agent.
func WithForward(f func(b []byte, to netip.AddrPort) error) Option {
	return func(e *Engine) { e.forward = f }
}

// WithReply sets the function that sends a packet to a caller.
func WithReply(f func(packet []byte)) Option { return func(e *Engine) { e.reply = f } }

// WithNotify sets the function that sends this agent's state to a packet's sender whose
// view is stale.
func WithNotify(f func(to netip.AddrPort)) Option { return func(e *Engine) { e.notify = f } }

// WithDirectoryUpdates sets the functions that publish the start and end of flows held
// here.
func WithDirectoryUpdates(opened, closed func(ipv4.FlowKey)) Option {
	return func(e *Engine) { e.opened, e.closed = opened, closed }
}

// WithSearch sets the function that asks the other agents whether they hold the flow of a caller's
// packet with these numbers, as agent.Peers.Search does. Without it, a flow is reset only if its packet
// has visited all agents.
func WithSearch(ask func(key ipv4.FlowKey, sequence, acknowledgment uint32) bool) Option {
	return func(e *Engine) { e.searches.ask = ask }
}

// WithLoads sets the function that returns the load that another agent reported, and
// whether the report is still valid.
func WithLoads(f func(instance uint64) (l load.Load, known bool)) Option {
	return func(e *Engine) { e.loadOf = f }
}

// WithLogger sets the logger of events.
func WithLogger(l log.Logger) Option { return func(e *Engine) { e.log = l } }

// Without switches off the features that concern the engine.
func Without(s feature.Set) Option {
	return func(e *Engine) { e.switchedOff, e.withoutTime = s, s.Has(feature.AdmissionByTime) }
}

// WithScope sets the scope that metrics are created in.
func WithScope(s tally.Scope) Option { return func(e *Engine) { e.metrics = newMetrics(s) } }

// New returns an engine for the agent's backend server.
func New(node *state.Node, b *backend.Server, opts ...Option) *Engine {
	e := &Engine{
		node:      node,
		backend:   b,
		directory: directory.New(),
		unclaimed: unclaimed.New(),
		searches:  newSearches(),
		now:       time.Now,
		log:       log.NewNopLogger(),
		metrics:   newMetrics(tally.NoopScope),
		samplers:  newSamplers(),
		notify:    func(netip.AddrPort) {},
		opened:    func(ipv4.FlowKey) {},
		closed:    func(ipv4.FlowKey) {},
		loadOf:    func(uint64) (load.Load, bool) { return load.Load{}, false },
		waiting:   make(map[ipv4.FlowKey]waitingSYN),
		waitBegan: make(chan struct{}, 1),
		flows:     make(map[ipv4.FlowKey]*Flow),
		ctx:       context.Background(),
	}
	for _, opt := range opts {
		opt(e)
	}
	e.queue = newflow.NewQueue(newflow.WithLogger(e.log), newflow.Without(e.switchedOff))
	return e
}

// SetStack sets the stack that terminates callers' TCP. It must be called before Run.
func (e *Engine) SetStack(s *caller.Stack) { e.stack = s }

// Run removes expired entries, checks the backend server for stalls, and checks the queue while
// SYNs wait, until ctx is canceled. Then it ends all flows and sends nil on the channel.
func (e *Engine) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	e.ctx = ctx
	go func() {
		expire, stall := time.NewTicker(expireInterval), time.NewTicker(stallInterval)
		check, search := time.NewTicker(checkInterval), time.NewTicker(searchCheckInterval)
		check.Stop()
		search.Stop()
		defer expire.Stop()
		defer stall.Stop()
		defer check.Stop()
		defer search.Stop()
		for {
			select {
			case <-ctx.Done():
				e.endFlows()
				done <- nil
				return
			case <-expire.C:
				e.expire()
			case <-stall.C:
				e.backend.Limiter.CheckStall()
			case <-e.waitBegan:
				check.Reset(checkInterval)
			case <-check.C:
				if !e.checkWaiting() {
					check.Stop()
				}
			case <-e.searches.began:
				search.Reset(searchCheckInterval)
			case <-search.C:
				if !e.checkSearches() {
					search.Stop()
				}
			}
		}
	}()
	return done
}

// endFlows ends all flows and waits for their tasks. No flow is admitted afterwards.
func (e *Engine) endFlows() {
	e.mu.Lock()
	e.stopped = true
	e.mu.Unlock()
	e.AbortAll()
	e.tasks.Wait()
}

// HandlePacket processes a packet that a balancer or another agent sent. It drops packets for
// another agent or service, and all packets while the agent has no configuration or its failure
// domain is out. If the target or the revision is wrong or the domain is out, the sender is
// notified. The packet may be for the service's own address or for that of any route: the balancer
// states the service in the header. A SYN for another address than the service's own is dropped if
// its sender has an older revision, in which that address may have been another service's. Header and
// packet are valid only during the call.
func (e *Engine) HandlePacket(from netip.AddrPort, h capsule.Header, packet []byte) {
	v := e.node.View()
	self := e.self()
	if h.Target != self.Instance || h.Service != self.ServiceKey() {
		e.metrics.dropped("wrong_target").Inc(1)
		e.notify(from)
		return
	}
	if !v.Known {
		e.metrics.dropped("no_view").Inc(1)
		return
	}
	if h.Revision < v.Revision.Number {
		e.notify(from)
	}
	if v.DomainOut {
		e.metrics.dropped("domain_out").Inc(1)
		e.notify(from)
		return
	}
	p, err := ipv4.Parse(packet)
	if err == nil {
		err = p.VerifyTCPChecksum()
	}
	if err != nil {
		e.metrics.dropped(string(ipv4.ReasonOf(err))).Inc(1)
		return
	}
	if p.IsSYN() {
		if h.Revision < v.Revision.Number && p.Key().Service != v.Config.Service.Endpoint() {
			e.metrics.dropped("wrong_service").Inc(1)
			return
		}
		e.handleSYN(v, h, p)
		return
	}
	e.handleSegment(v, h, p)
}

// HandleOutput sends a packet of the stack to its caller. It drops packets of unknown flows,
// and RSTs of flows whose SYN-ACK the caller has not accepted.
func (e *Engine) HandleOutput(packet []byte) {
	p, err := ipv4.Parse(packet)
	if err != nil {
		return
	}
	// The packet goes from the service to the caller; a flow's key has the opposite
	// direction.
	reversed := p.Key()
	key := ipv4.FlowKey{Caller: reversed.Service, Service: reversed.Caller}
	if f := e.flow(key); f == nil || !f.trackSent(p) {
		return
	}
	e.reply(packet)
}

// Flows returns the number of flows that have been admitted and not ended.
func (e *Engine) Flows() int { return e.Load().Flows }

// Load returns the number of flows, and of requests that are in flight or wait for capacity. If
// flows are admitted by time, it also counts the requests of waiting SYNs, and those that are
// expected on flows which are being opened.
func (e *Engine) Load() load.Load {
	e.queueMu.Lock()
	defer e.queueMu.Unlock()
	return e.load()
}

// load is Load with e.queueMu held.
func (e *Engine) load() load.Load {
	l := e.backend.Limiter.Snapshot()
	requests := l.InFlight + l.Waiting
	if e.queue.Configured() {
		e.queue.Expire(e.now())
		requests += e.queue.Waiting() + e.queue.InSystem() - e.queue.Requests()
	}
	return load.Load{Flows: l.Held, Requests: requests}
}

// Register records that the agent with the instance holds the flow, which is then no longer
// unclaimed.
func (e *Engine) Register(key ipv4.FlowKey, instance uint64) {
	e.directory.Put(key, directory.Holding{Instance: instance, At: e.now()})
	e.unclaimed.Remove(key)
	e.endSearch(key)
}

// Unregister records that the agent with the instance no longer holds the flow.
func (e *Engine) Unregister(key ipv4.FlowKey, instance uint64) {
	e.directory.Remove(key, instance)
}

// Held returns the keys of the established flows.
func (e *Engine) Held() []ipv4.FlowKey {
	e.mu.RLock()
	defer e.mu.RUnlock()
	keys := make([]ipv4.FlowKey, 0, len(e.flows))
	for key, f := range e.flows {
		if f.currentStage() == established {
			keys = append(keys, key)
		}
	}
	return keys
}

// AbortAll ends all flows. Callers whose handshake is complete get a RST.
func (e *Engine) AbortAll() {
	e.mu.RLock()
	flows := make([]*Flow, 0, len(e.flows))
	for _, f := range e.flows {
		flows = append(flows, f)
	}
	e.mu.RUnlock()
	for _, f := range flows {
		f.abort()
	}
}

// ProbeCallersOf probes the callers of the flows whose confirmed holder is the instance, and
// returns their number. It is called for an agent that left, died or is in a failure domain
// that was taken out. Without a probe, a caller that sends nothing would not learn that its
// flow has ended.
// The probe is an ACK with unacceptable sequence numbers, to which the caller responds
// with an ACK of its own. That ACK carries the numbers for a RST that the caller accepts.
func (e *Engine) ProbeCallersOf(instance uint64) int {
	keys := e.directory.HeldBy(instance)
	for _, key := range keys {
		e.reply(ipv4.Build(ipv4.Segment{Key: key, FromService: true, Flags: ipv4.FlagACK}))
	}
	return len(keys)
}

func (e *Engine) flow(key ipv4.FlowKey) *Flow {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.flows[key]
}

// expire removes expired members, unclaimed flows and directory entries.
func (e *Engine) expire() {
	now := e.now()
	e.node.Expire()
	e.unclaimed.Expire(now)
	e.checkSearches()
	e.directory.Expire(now, e.node.Table.Snapshot().Members)
}
