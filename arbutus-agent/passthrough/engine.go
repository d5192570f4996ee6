// Package passthrough implements the agent's packet path for pass-through mode, in
// which the backend server terminates the callers' flows itself.
//
// # Usage
//
//	server := passthrough.NewServer(probeLiveness)
//	e := passthrough.New(node, server, codec, passthrough.WithDeliver(deliver), ...)
//	done := e.Run(ctx)
//	e.HandlePacket(from, header, packet)
//	e.HandleOutbound(packet)
//
// The agent admits or refuses new flows for its backend server and tracks the flows
// that the server has accepted. A packet of an unknown flow is forwarded along the
// service's candidates, as in package flow. An agent that started after its backend
// server does not know all flows there: it delivers packets of unknown flows to the
// backend server, which returns those of flows that it does not hold.
package passthrough

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"arbutusfront.dev/arbutus-agent/directory"
	"arbutusfront.dev/arbutus-agent/newflow"
	"arbutusfront.dev/arbutus-agent/state"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/frame"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/state/feature"
	"arbutusfront.dev/common/state/load"
)

const (
	expireInterval = time.Second
	// checkInterval is how often the engine runs its periodic checks of the backend server.
	checkInterval = 50 * time.Millisecond
)

type (
	// Engine is the agent's packet path in pass-through mode.
	Engine struct {
		node      *state.Node
		server    *Server
		codec     frame.Codec
		directory *directory.Directory
		now       func() time.Time
		log       log.Logger
		metrics   metrics
		samplers  samplers

		// self returns the agent's current member record.
		self func() member.Member
		// deliver sends a packet to the backend server, forward sends a capsule to another
		// process, reply sends a packet to a caller.
		deliver func(packet []byte) error
		forward func(b []byte, to netip.AddrPort) error
		reply   func(caller netip.AddrPort, packet []byte) error
		// notify sends this agent's member record and revision to the sender of a packet.
		notify func(to netip.AddrPort)
		// opened and closed publish to the directory replicas that a flow is held here, or
		// no longer.
		opened func(ipv4.FlowKey)
		closed func(ipv4.FlowKey)

		mu    sync.Mutex
		flows map[ipv4.FlowKey]*flow
		// closedFlows counts the flows that both ends have closed. They are kept for late
		// packets, and are no load.
		closedFlows int
		// awaitingSYNACK are the flows for whose SYN the backend server has sent no SYN-ACK.
		awaitingSYNACK map[ipv4.FlowKey]*flow
		// notHeldSince has the flows that the backend server does not hold, and when the agent
		// learned so.
		notHeldSince map[ipv4.FlowKey]time.Time
		// queue has the requests at the backend server and, if request classes are configured,
		// those that wait for it.
		queue *newflow.Queue
		// demand records what becomes of requests, for operators.
		demand demandRecord
		// origins are the balancers that have placed flows here.
		origins newflow.Origins
		leaving bool
		without disabled
		// switchedOff are the features that are switched off.
		switchedOff feature.Set
		// pending are the SYNs buffered until the backend server has capacity, oldest
		// first, if no request classes are configured.
		pending    []pendingSYN
		dueReports dueReports
		outcomes   recentOutcomes
		// lastRunStartedMillis is when the latest run of the backend server that runChecks has
		// seen began, as a Unix time in milliseconds; 0 if there is none.
		lastRunStartedMillis uint64
	}

	// disabled are the mechanisms that are switched off.
	disabled struct {
		capacityWait, firstSYNPriority, failurePenalty, silentResets, runResets, admissionByTime bool
	}

	// Option configures an Engine. WithIdentity, WithDeliver, WithForward and WithReply are
	// required.
	Option func(*Engine)

	metrics struct {
		admitted, forwarded, refused, delivered, returned, deliveredUnconfirmed, reset tally.Counter
		reoffered, waited, failed, sendFailed                                          tally.Counter
		answer                                                                         tally.Histogram
		dropped                                                                        func(reason string) tally.Counter
	}
)

// WithIdentity sets the function that returns the agent's own member record.
func WithIdentity(self func() member.Member) Option { return func(e *Engine) { e.self = self } }

// WithDeliver sets how packets are sent to the backend server.
func WithDeliver(f func(packet []byte) error) Option { return func(e *Engine) { e.deliver = f } }

// WithForward sets how capsules are sent to other processes.
func WithForward(f func(b []byte, to netip.AddrPort) error) Option {
	return func(e *Engine) { e.forward = f }
}

// WithReply sets how packets are sent to callers.
func WithReply(f func(caller netip.AddrPort, packet []byte) error) Option {
	return func(e *Engine) { e.reply = f }
}

// WithNotify sets how this agent's member record and revision are sent to the sender of a
// packet that has an outdated target or revision.
func WithNotify(f func(to netip.AddrPort)) Option { return func(e *Engine) { e.notify = f } }

// WithDirectoryUpdates sets the callbacks for flows that open and close at this agent.
func WithDirectoryUpdates(opened, closed func(ipv4.FlowKey)) Option {
	return func(e *Engine) { e.opened, e.closed = opened, closed }
}

// WithLogger sets the logger for events.
func WithLogger(l log.Logger) Option { return func(e *Engine) { e.log = l } }

// WithScope sets the metrics scope.
func WithScope(s tally.Scope) Option {
	return func(e *Engine) { e.metrics, e.demand = newMetrics(s), newDemandRecord(s) }
}

// Without switches off the features that concern the engine.
func Without(s feature.Set) Option {
	return func(e *Engine) {
		e.switchedOff = s
		e.without = disabled{
			capacityWait:     s.Has(feature.CapacityWait),
			firstSYNPriority: s.Has(feature.FirstSYNPriority),
			failurePenalty:   s.Has(feature.FailurePenalty),
			silentResets:     s.Has(feature.SilentResets),
			runResets:        s.Has(feature.RunResets),
			admissionByTime:  s.Has(feature.AdmissionByTime),
		}
	}
}

// New returns an engine for the agent's backend server.
func New(node *state.Node, s *Server, c frame.Codec, opts ...Option) *Engine {
	e := &Engine{
		node:           node,
		server:         s,
		codec:          c,
		directory:      directory.New(),
		now:            time.Now,
		log:            log.NewNopLogger(),
		metrics:        newMetrics(tally.NoopScope),
		demand:         newDemandRecord(tally.NoopScope),
		samplers:       newSamplers(),
		notify:         func(netip.AddrPort) {},
		opened:         func(ipv4.FlowKey) {},
		closed:         func(ipv4.FlowKey) {},
		flows:          make(map[ipv4.FlowKey]*flow),
		awaitingSYNACK: make(map[ipv4.FlowKey]*flow),
		notHeldSince:   make(map[ipv4.FlowKey]time.Time),
		origins:        make(newflow.Origins),
		dueReports:     make(dueReports),
	}
	for _, opt := range opts {
		opt(e)
	}
	e.queue = newflow.NewQueue(
		newflow.WithLogger(e.log), newflow.WithClassObserver(e.demand.configure), newflow.Without(e.switchedOff),
	)
	return e
}

// Run expires flows and monitors the backend server until ctx is canceled, and then sends
// nil on the channel.
func (e *Engine) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		expire, check := time.NewTicker(expireInterval), time.NewTicker(checkInterval)
		defer expire.Stop()
		defer check.Stop()
		for {
			select {
			case <-ctx.Done():
				done <- nil
				return
			case <-expire.C:
				e.expire()
			case <-check.C:
				e.runChecks()
			}
		}
	}()
	return done
}

// Leave makes the engine admit no new flows; SYNs are offered to other agents, the buffered
// ones at once.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
	e.admitPending(e.node.View(), e.now())
	e.admitWaiting(e.node.View(), e.now())
}

// HandlePacket processes a caller's packet that a balancer or another agent sent: it is
// delivered, buffered, forwarded, returned to its origin, dropped, or its flow is reset.
// If its service, target or revision is wrong or outdated, the sender is notified. Header and
// packet are valid only during the call.
func (e *Engine) HandlePacket(from netip.AddrPort, h capsule.Header, packet []byte) {
	v := e.node.View()
	self := e.self()
	if h.Service != self.ServiceKey() {
		e.metrics.dropped("wrong_target").Inc(1)
		e.notify(from)
		return
	}
	// A packet addressed to an earlier incarnation of this agent is handled too: its flow
	// belongs to the backend server, which may have outlived that incarnation.
	if h.Target != self.Instance || h.Revision < v.Revision.Number {
		e.notify(from)
	}
	f, err := e.codec.Parse(packet)
	if err != nil {
		e.metrics.dropped(string(ipv4.ReasonOf(err))).Inc(1)
		return
	}
	if f.IsSYNACK() {
		// Only backend servers send a SYN-ACK. One from the direction of a caller must not be
		// delivered: the backend server would treat it as a forgery.
		e.metrics.dropped("answer_inbound").Inc(1)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.IsSYN() {
		e.handleSYN(v, h, f)
		return
	}
	e.handleSegment(v, h, f)
}

// Load returns the backend server's load. Its requests are those in flight, the buffered
// SYNs, and an addition for a failing backend server.
func (e *Engine) Load() load.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load()
}

// load is Load with e.mu held.
func (e *Engine) load() load.Load {
	waiting := len(e.pending) + e.queue.Waiting()
	return load.Load{Flows: len(e.flows) - e.closedFlows, Requests: e.inFlight() + waiting + e.penalty(e.now())}
}

// inFlight returns the number of requests in flight to the backend server, with the
// expected first request of each flow in its handshake. e.mu must be held.
func (e *Engine) inFlight() int { return e.queue.InSystem() }

// Register records that the agent with the instance holds the flow.
func (e *Engine) Register(key ipv4.FlowKey, instance uint64) {
	e.directory.Put(key, directory.Holding{Instance: instance, At: e.now()})
}

// Unregister records that the agent with the instance no longer holds the flow.
func (e *Engine) Unregister(key ipv4.FlowKey, instance uint64) { e.directory.Remove(key, instance) }

// Held returns the keys of the open flows at this agent.
func (e *Engine) Held() []ipv4.FlowKey {
	e.mu.Lock()
	defer e.mu.Unlock()
	keys := make([]ipv4.FlowKey, 0, len(e.flows))
	for key, f := range e.flows {
		if f.stage == open {
			keys = append(keys, key)
		}
	}
	return keys
}

// checkSend counts and logs a failed send, and reports whether it succeeded.
func (e *Engine) checkSend(to netip.AddrPort, err error) bool {
	if err != nil {
		e.metrics.sendFailed.Inc(1)
		e.logSendFailure(to, err)
	}
	return err == nil
}
