package serve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"arbutusfront.dev/arbutus-balancer/balancer"
	"arbutusfront.dev/arbutus-balancer/fabric"
	"arbutusfront.dev/arbutus-balancer/operator"
	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/arbutus-balancer/store"
	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/heartbeat"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/protocol/link"
	"arbutusfront.dev/common/state/observe"
	"arbutusfront.dev/common/transport/server"
	"arbutusfront.dev/common/transport/tasks"
)

const (
	// fabricQuietTime is how long the fabric must have sent nothing before a leaving
	// balancer stops. It is the default of LeaveTiming.Quiet.
	fabricQuietTime = time.Second
	// maxLeaveTime is the time after which a leaving balancer stops although the fabric
	// still sends. It is the default of LeaveTiming.MaxTime.
	maxLeaveTime = 10 * time.Second
	// leaveCheckInterval is the default of LeaveTiming.CheckInterval.
	leaveCheckInterval = 100 * time.Millisecond
)

// Server is a balancer, assembled from its parts.
type Server struct {
	node      *state.Node
	announcer *heartbeat.Announcer
	peers     *balancer.Peers
	link      *link.Link
	forwarder *fabric.Forwarder
	watcher   *store.Watcher
	collector *store.Collector
	registrar *store.Registrar
	ledger    *store.Ledger
	operator  *operator.Server
	observer  *observe.Observer
	listener  net.Listener
	clients   clients
	mode      Mode
	startedAt time.Time
	log       log.Logger
}

// Run runs the balancer until ctx is canceled, then leaves gracefully: it announces
// this to its peers, forwards until the fabric stops sending, and returns. If one of
// its parts ends by itself, it stops at once.
func (s *Server) Run(ctx context.Context) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	// HTTP calls are served until the balancer has left. The other parts, including the
	// packet path, stop after that.
	servingCalls, stopServingCalls := context.WithCancel(running)
	defer stopServingCalls()
	s.peers.Learn(s.announcer.Self())
	calls := server.Run(servingCalls, s.listener, s.Handler())
	group := tasks.Gather(s.runParts(running)...)
	s.setPhase(member.Serving)
	self := s.announcer.Self()
	_ = level.Info(s.log).Log(append([]any{
		"event", "started", "name", self.Name, "domain", self.Domain, "instance", self.Instance,
	}, s.mode.Without.LogFields()...)...)
	select {
	case <-ctx.Done():
		s.leave()
	case <-group.Ended():
	}
	stopServingCalls()
	err := <-calls
	stop()
	err = errors.Join(err, group.Wait())
	s.clients.http.CloseIdleConnections()
	_ = level.Info(s.log).Log("event", "stopped", "name", self.Name)
	return err
}

// Revision returns the revision in force, or nil if there is none.
func (s *Server) Revision() *config.Revision { return s.node.Config.Current() }

// runParts starts the parts that the mode enables, except the HTTP server, and returns the
// channels that receive the result of each.
func (s *Server) runParts(ctx context.Context) []<-chan error {
	running := []<-chan error{
		s.link.Run(ctx),
		s.node.Run(ctx),
		s.peers.Run(ctx),
		s.announcer.Run(ctx),
		s.forwarder.Run(ctx),
		s.watcher.Run(ctx),
	}
	if !s.mode.ReadOnlyConfig {
		running = append(running, s.collector.Run(ctx))
	}
	if s.mode.Registered {
		running = append(running, s.registrar.Run(ctx))
	}
	if s.mode.StoredFlows {
		running = append(running, s.ledger.Run(ctx))
	}
	return running
}

// NotReady returns why the fabric should not send to this balancer, or an empty string
// if it should: the balancer can't forward, or has not merged the members of another
// balancer yet.
func (s *Server) NotReady() string {
	if reason := notServing(s.node, s.announcer, s.mode); reason != "" {
		return reason
	}
	if s.mode.SyncTimeout > 0 && !s.peers.Synced() && time.Since(s.startedAt) < s.mode.SyncTimeout {
		return "the members known to another balancer have not been merged yet"
	}
	return ""
}

// leave announces that the balancer is leaving, waits until the fabric has sent nothing for
// a while or the maximum time has passed, and announces that the balancer has left.
func (s *Server) leave() {
	_ = level.Info(s.log).Log("event", "leaving")
	s.setPhase(member.Leaving)
	l := s.mode.leaveTiming()
	start := time.Now()
	for time.Since(start) < l.MaxTime && (time.Since(start) < l.MinTime || s.forwarder.Idle(time.Now()) < l.Quiet) {
		time.Sleep(l.CheckInterval)
	}
	_ = level.Info(s.log).Log("event", "left", "after", time.Since(start), "idle", s.forwarder.Idle(time.Now()))
	s.setPhase(member.Left)
	time.Sleep(l.CheckInterval)
}

// setPhase sets the balancer's phase and announces it to monitors and peers immediately.
func (s *Server) setPhase(p member.Phase) {
	s.announcer.SetPhase(p)
	s.peers.Learn(s.announcer.Self())
	s.peers.GossipNow()
}

// Handler returns the handler for calls of the control API, metrics, readiness and state
// dumps.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", s.observer.Handler(
		func() any { return dumpOf(s.node, s.announcer, s.forwarder, s.clients.store.Eras, s.NotReady()) },
		s.NotReady,
	))
	mux.Handle(s.operator.Handler())
	return mux
}

// notServing returns why the balancer can't forward, or an empty string if it can.
// Unlike NotReady, it does not consider whether the members of another balancer have
// been merged.
func notServing(n *state.Node, a *heartbeat.Announcer, m Mode) string {
	switch {
	case a.Self().Phase != member.Serving:
		return "balancer is " + a.Self().Phase.String()
	case n.Config.Current() == nil:
		return "no configuration: neither the store nor a peer has been reached"
	case !m.SkipsContactCheck && !n.InContact(time.Now()):
		return "cut off: no word from another failure domain"
	default:
		return ""
	}
}

// unreachableOf returns a function that lists the packet addresses of balancers that have
// been declared dead, and of seeds that belong to no live balancer.
func unreachableOf(seeds []netip.AddrPort, n *state.Node) func() []netip.AddrPort {
	return func() []netip.AddrPort {
		unreachable := slices.Clone(seeds)
		var live []netip.AddrPort
		for _, m := range n.Table.Snapshot().Members {
			switch {
			case m.Role != member.Balancer:
			case m.Phase.Alive():
				live = append(live, m.Packet)
			case m.Phase == member.Dead:
				unreachable = append(unreachable, m.Packet)
			}
		}
		return slices.DeleteFunc(unreachable, func(a netip.AddrPort) bool { return slices.Contains(live, a) })
	}
}
