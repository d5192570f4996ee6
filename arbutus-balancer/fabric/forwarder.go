// Package fabric receives callers' packets from the fabric and forwards each of them to
// an agent of its service.
//
// # Usage
//
//	f := fabric.New(socket, node, self, writeBatch, onControl, scope)
//	done := f.Run(ctx)
//
// An agent that knows no balancer sends its control messages over the fabric too, to an
// address that belongs to no service.
//
// By default a Forwarder keeps no state per flow: a SYN goes to the highest-ranked agent
// that admits new flows, any other packet to the highest-ranked agent. An agent that does
// not hold the packet's flow forwards it to the next one. With WithPlacement, the
// Forwarder chooses agents by load and remembers the holder of each flow, so that packets
// skip this forwarding chain.
package fabric

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/frame"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/state/demand"
	"arbutusfront.dev/common/state/ending"
	"arbutusfront.dev/common/state/feature"
	"arbutusfront.dev/common/state/placement"
	"arbutusfront.dev/common/transport/datagram"
	"arbutusfront.dev/common/transport/wait"
)

// Reasons for dropping a packet, in addition to those of package ipv4.
const (
	dropService   ipv4.Reason = "unknown_service"
	dropNoAgent   ipv4.Reason = "no_agent"
	dropCutOff    ipv4.Reason = "cut_off"
	dropUnclaimed ipv4.Reason = "unclaimed"
	dropEndedRun  ipv4.Reason = "server_run_over"
	dropAway      ipv4.Reason = "holder_away"
	dropRefused   ipv4.Reason = "all_agents_refuse"
	// dropBehind: there is no route, but a later revision exists that may have it.
	dropBehind ipv4.Reason = "revision_behind"
	// dropUnconfirmed: there is no route, and it is not known yet whether a later revision exists.
	dropUnconfirmed ipv4.Reason = "revision_unconfirmed"
)

// contactCheckInterval is how often the forwarder checks that it is still in contact with
// another failure domain.
const contactCheckInterval = 100 * time.Millisecond

type (
	// Forwarder forwards callers' packets to agents.
	Forwarder struct {
		socket *datagram.Socket
		node   *state.Node
		self   member.Member
		codec  frame.Codec
		// writeBatch sends capsules to agents.
		writeBatch func(batch []datagram.Message) (int, error)
		// onControl handles an agent's control message.
		onControl func(from netip.AddrPort, b []byte)
		// placement chooses agents by load and remembers flows; nil without
		// WithPlacement.
		placement *placements
		// addressOf returns the address to which packets for a caller are sent; nil if
		// the balancer sends callers no packets.
		addressOf func(caller netip.AddrPort) netip.AddrPort
		log       log.Logger
		samplers  samplers
		scope     tally.Scope
		forwarded tally.Counter
		refused   tally.Counter
		// demand counts the requests that are refused here, for operators.
		demand *demand.Recorder
		// queries counts the packets by which agents were asked directly whether they hold a flow.
		queries       tally.Counter
		forwardedLate tally.Counter
		discardedLate tally.Counter
		// droppedAway counts packets that were returned as unclaimed while the flow's
		// remembered agent may return.
		droppedAway tally.Counter
		// pending buffers packets that can't be forwarded yet; nil without WithPendingPackets.
		pending *pendingPackets
		// shedder gives up SYNs while CPU or link bandwidth is short; nil if PacketPriority
		// is switched off.
		shedder *shedder
		// drops counts the dropped packets by reason.
		drops map[ipv4.Reason]tally.Counter
		// revisionTime is that of WithRevisionTime.
		revisionTime time.Duration
		// skipsContactCheck allows forwarding without contact to another failure domain.
		skipsContactCheck bool
		// refusesUnconfigured disables the search for the holder of a flow while no
		// configuration is known.
		refusesUnconfigured bool
		// mayForward is the result of the last contact check.
		mayForward atomic.Bool
		// lastReadUnixNano is when the last packets were read from the fabric; 0 if
		// none were.
		lastReadUnixNano atomic.Int64
	}

	// Option changes how a Forwarder is built.
	Option func(*Forwarder)
)

// WithCodec sets the format of callers' packets. The default is IPv4 TCP.
func WithCodec(c frame.Codec) Option { return func(f *Forwarder) { f.codec = c } }

// WithCallers sets the address to which packets for a caller are sent. It enables the
// balancer to reset flows: those to endpoints without a route and, with WithPlacement,
// unclaimed flows and flows of restarted backend servers.
func WithCallers(addressOf func(caller netip.AddrPort) netip.AddrPort) Option {
	return func(f *Forwarder) { f.addressOf = addressOf }
}

// WithoutContactCheck lets the balancer forward while it receives nothing from other
// failure domains. It is meant for deployments whose agents themselves refuse flows that
// their failure domain must not receive.
func WithoutContactCheck() Option { return func(f *Forwarder) { f.skipsContactCheck = true } }

// WithPlacement makes the balancer choose agents for new flows by load, and remember the
// holder of each flow.
func WithPlacement() Option {
	return func(f *Forwarder) { f.placement = newPlacements(f.self.Domain, f.node.Table.MayReturn) }
}

// Without switches off the features that concern the packet path. It must follow WithPlacement
// and WithPendingPackets.
func Without(s feature.Set) Option {
	return func(f *Forwarder) {
		f.refusesUnconfigured = s.Has(feature.UnconfiguredSearch)
		if s.Has(feature.PendingPackets) {
			f.pending = nil
		}
		if s.Has(feature.PacketPriority) {
			f.shedder = nil
		}
		if f.placement != nil {
			f.placement.without = disabled{
				rememberedFlows: s.Has(feature.RememberedFlows),
				lessLoaded:      s.Has(feature.LessLoaded),
				ownDomainFirst:  s.Has(feature.OwnDomainFirst),
				runResets:       s.Has(feature.RunResets),
				resetPacing:     s.Has(feature.ResetPacing),
				entryRefusal:    s.Has(feature.EntryRefusal),
				expectedTime:    s.Has(feature.ExpectedTime),
			}
		}
	}
}

// WithPendingPackets buffers packets for a short time that arrive before the balancer knows
// where to forward them, such as right after its start.
func WithPendingPackets() Option {
	return func(f *Forwarder) { f.pending = &pendingPackets{now: time.Now} }
}

// WithLogger sets the logger. The default discards events.
func WithLogger(l log.Logger) Option { return func(f *Forwarder) { f.log = l } }

// New returns a forwarder that reads from the socket on behalf of the balancer self. It
// sends capsules with writeBatch and passes agents' control messages to onControl.
func New(
	socket *datagram.Socket,
	node *state.Node,
	self member.Member,
	writeBatch func(batch []datagram.Message) (int, error),
	onControl func(from netip.AddrPort, b []byte),
	scope tally.Scope,
	opts ...Option,
) *Forwarder {
	f := &Forwarder{
		socket:        socket,
		node:          node,
		self:          self,
		codec:         frame.IPv4(),
		writeBatch:    writeBatch,
		onControl:     onControl,
		log:           log.NewNopLogger(),
		samplers:      newSamplers(),
		scope:         scope,
		forwarded:     scope.Counter("packets_forwarded"),
		refused:       scope.Counter("flows_refused"),
		demand:        demand.NewRecorder(demand.WithScope(scope)),
		queries:       scope.Counter("holder_queries"),
		forwardedLate: scope.Counter("packets_forwarded_after_waiting"),
		discardedLate: scope.Counter("packets_dropped_after_waiting"),
		droppedAway:   scope.Tagged(map[string]string{"reason": string(dropAway)}).Counter("packets_dropped"),
		drops:         make(map[ipv4.Reason]tally.Counter),
		shedder:       newShedder(scope),
		revisionTime:  ending.RevisionTime,
	}
	for _, opt := range opts {
		opt(f)
	}
	if f.placement != nil {
		f.placement.reportsIgnored = scope.Counter("holder_reports_ignored")
	}
	return f
}

// Run forwards packets until ctx is canceled, then closes the socket. The channel
// receives the result.
func (f *Forwarder) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	context.AfterFunc(ctx, func() { _ = f.socket.Close() })
	var loops sync.WaitGroup
	loops.Go(func() { f.checkContact(ctx) })
	loops.Go(func() { f.checkServerRuns(ctx) })
	loops.Go(func() { f.retryPending(ctx) })
	go func() {
		err := f.forwardUntilClosed()
		loops.Wait()
		done <- err
	}()
	return done
}

// Idle returns the time since the last packet from the fabric, or since 1970 if there was
// none.
func (f *Forwarder) Idle(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, f.lastReadUnixNano.Load()))
}

// checkContact updates mayForward at each contactCheckInterval until ctx is canceled.
func (f *Forwarder) checkContact(ctx context.Context) {
	for {
		f.mayForward.Store(f.skipsContactCheck || f.node.InContact(time.Now()))
		if !wait.For(ctx, contactCheckInterval) {
			return
		}
	}
}

// forwardUntilClosed reads packets from the socket and forwards them until the socket is
// closed.
func (f *Forwarder) forwardUntilClosed() error {
	out := datagram.NewBatch(datagram.BatchSize)
	return f.socket.ServeBatches(func(in []datagram.Message) { f.handleBatch(in, out) })
}

// forward encapsulates the packets and sends them to agents in one batch. Those that
// can't be forwarded are passed to handleUnforwarded.
func (f *Forwarder) forward(in, out []datagram.Message) {
	n := 0
	for i := range in {
		b, to, err := f.encapsulate(out[n].Buffer[:0], in[i].Bytes())
		if err != nil {
			f.handleUnforwarded(ipv4.ReasonOf(err), in[i].Bytes())
			continue
		}
		out[n].Buffer, out[n].N, out[n].Peer = b[:cap(b)], len(b), to
		n++
	}
	sent, _ := f.writeBatch(out[:n])
	f.forwarded.Inc(int64(sent))
	f.recordSent(out[:sent])
}

// encapsulate appends the capsule for the packet to out, and returns the address to
// send it to. If the packet's endpoint certainly has no route, or the flow's backend server has
// restarted, it resets the flow and returns an error. Errors are of type ipv4.Reason.
func (f *Forwarder) encapsulate(out, b []byte) ([]byte, netip.AddrPort, error) {
	if !f.mayForward.Load() {
		return nil, netip.AddrPort{}, dropCutOff
	}
	p, err := f.codec.Parse(b)
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	routes := f.node.Routes()
	hash := placement.FlowHash(p.Key)
	route, ok := routes.Lookup(p.Key.Service)
	if !ok && !f.mayBeHeld(routes, p) {
		return nil, netip.AddrPort{}, f.refuse(routes, p)
	}
	to, err := f.findDestination(routes, route, p, hash)
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	h := capsule.Header{
		Visited:  to.visited,
		Revision: routes.Revision.Number,
		Sender:   f.self.Instance,
		Target:   to.agent.Instance,
		Service:  to.target.Key,
		Marks:    to.marks,
		Class:    route.ClassOf(to.target.Key),
	}
	if f.placement != nil {
		h.Origin = f.self.Packet
		if h.Class != 0 {
			h.Marks |= capsule.MarkEstimates
		}
	}
	return capsule.AppendPacket(out, h, p.Bytes), to.agent.Packet, nil
}

// reset sends the caller a RST for its flow, and reports whether one was sent. None is
// sent without WithCallers, or if the codec builds none for p.
func (f *Forwarder) reset(p frame.Frame) bool {
	if f.addressOf == nil {
		return false
	}
	b := f.codec.Reset(p)
	if b == nil {
		return false
	}
	if err := f.socket.Write(b, f.addressOf(p.Key.Caller)); err != nil {
		_ = level.Debug(f.log).Log("event", "send_failed", "caller", p.Key.Caller, "err", err)
		return false
	}
	f.recordSent([]datagram.Message{{N: len(b)}})
	return true
}

// handleUnforwarded handles a packet that can't be forwarded: it passes on a control
// message, buffers a packet that may become forwardable, and counts any other one as
// dropped. Only the reading goroutine may call it: drops is not locked.
func (f *Forwarder) handleUnforwarded(reason ipv4.Reason, b []byte) {
	if (reason == dropService || reason == dropBehind || reason == dropUnconfirmed) && f.handleControl(b) {
		return
	}
	if f.pending != nil && f.mayBecomeForwardable(reason) && f.pending.add(b) {
		return
	}
	counter, ok := f.drops[reason]
	if !ok {
		counter = f.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("packets_dropped")
		f.drops[reason] = counter
	}
	counter.Inc(1)
}

// handleControl passes an agent's control message to onControl, and reports whether the
// packet carried one.
func (f *Forwarder) handleControl(b []byte) bool {
	p, err := ipv4.Parse(b)
	if err != nil || p.VerifyTCPChecksum() != nil {
		return false
	}
	if kind, err := capsule.KindOf(p.Payload()); err != nil || kind != capsule.KindControl {
		return false
	}
	f.onControl(p.Key().Caller, p.Payload())
	return true
}
