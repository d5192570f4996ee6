package serve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"arbutusfront.dev/arbutus-agent/agent"
	"arbutusfront.dev/arbutus-agent/backend"
	"arbutusfront.dev/arbutus-agent/balancer"
	"arbutusfront.dev/arbutus-agent/caller"
	"arbutusfront.dev/arbutus-agent/flow"
	"arbutusfront.dev/arbutus-agent/state"
	"arbutusfront.dev/common/coordination/heartbeat"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/protocol/capsule"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
	"arbutusfront.dev/common/protocol/link"
	"arbutusfront.dev/common/state/feature"
	"arbutusfront.dev/common/state/observe"
	"arbutusfront.dev/common/transport/datagram"
	"arbutusfront.dev/common/transport/server"
	"arbutusfront.dev/common/transport/tasks"
	"arbutusfront.dev/common/transport/wait"
)

const (
	// joinDelay is how long an agent is on the candidate lists before it admits flows,
	// so that packets of its flows find it wherever they arrive.
	joinDelay = time.Second
	// leaveDelay is how long a leaving agent runs on at least, to forward packets that
	// still arrive.
	leaveDelay = time.Second

	// lifecycleInterval is how often the phase and the remaining flows are checked, and how
	// long the agent runs on after its last heartbeat.
	lifecycleInterval = 50 * time.Millisecond
)

// Server is one agent.
type Server struct {
	node         *state.Node
	announcer    *heartbeat.Announcer
	balancers    *balancer.Client
	peers        *agent.Peers
	engine       *flow.Engine
	backend      *backend.Server
	stack        *caller.Stack
	link         *link.Link
	returnSocket *datagram.Socket
	observer     *observe.Observer
	listener     net.Listener
	http         *http.Client
	log          log.Logger
	// without are the features that are switched off.
	without feature.Set
}

// Run serves until ctx is canceled. Then the agent leaves: it admits no new flows, and stops
// when its flows have ended or the drain deadline has passed. Run returns early if one
// of the agent's components ends.
func (s *Server) Run(ctx context.Context) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	stackCtx, stopStack := context.WithCancel(context.WithoutCancel(ctx))
	defer stopStack()
	s.learnSelf()
	stackDone := s.stack.Run(stackCtx)
	group := tasks.Gather(
		s.engine.Run(running),
		s.peers.Run(running),
		s.balancers.Run(running),
		s.link.Run(running),
		s.announcer.Run(running),
		s.node.Follow(running, s.applyView),
		server.Run(running, s.listener, s.handler()),
	)
	self := s.announcer.Self()
	_ = level.Info(s.log).Log(append([]any{
		"event", "started", "name", self.Name, "service", self.Service, "domain", self.Domain, "instance", self.Instance,
	}, s.without.LogFields()...)...)
	joined := s.join(running)
	select {
	case <-ctx.Done():
		s.leave(group.Ended())
	case <-group.Ended():
	}
	stop()
	err := errors.Join(group.Wait(), <-joined)
	stopStack()
	s.http.CloseIdleConnections()
	_ = level.Info(s.log).Log("event", "stopped", "name", self.Name)
	return errors.Join(err, <-stackDone, s.returnSocket.Close())
}

// join switches the agent between joining and serving until ctx is canceled, and then sends nil
// on the channel. The agent serves once it is ready to take flows, and joins again while its
// lease expires repeatedly.
func (s *Server) join(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for wait.For(ctx, lifecycleInterval) {
			switch s.announcer.Self().Phase {
			case member.Joining:
				s.awaitJoined(ctx)
			case member.Serving:
				s.rejoinIfFlapping()
			}
		}
		done <- nil
	}()
	return done
}

// rejoinIfFlapping switches a serving agent back to joining if its lease expires repeatedly.
func (s *Server) rejoinIfFlapping() {
	if s.announcer.IsFlapping() && s.announcer.ChangePhase(member.Serving, member.Joining) {
		s.recordPhase(member.Joining)
	}
}

// awaitJoined switches the agent to serving when it has been ready for joinDelay
// without interruption: it knows its service, its lease is valid and does not expire
// repeatedly, and no balancer refuses its claim to its name and backend address. A
// refusal is logged when its reason changes. awaitJoined also returns when ctx is canceled or
// the agent is no longer joining.
func (s *Server) awaitJoined(ctx context.Context) {
	var since time.Time
	warned := ""
	for s.announcer.Self().Phase == member.Joining {
		refused := s.announcer.RefusedBy()
		if refused != "" && refused != warned {
			warned = refused
			_ = level.Error(s.log).Log("event", "claim_refused", "reason", refused)
		}
		ready := s.node.View().Known && s.announcer.HasLease() && refused == "" && !s.announcer.IsFlapping()
		switch {
		case !ready:
			since = time.Time{}
		case since.IsZero():
			since = time.Now()
		case time.Since(since) >= joinDelay:
			if s.announcer.ChangePhase(member.Joining, member.Serving) {
				s.recordPhase(member.Serving)
			}
			return
		}
		if !wait.For(ctx, lifecycleInterval) {
			return
		}
	}
}

// leave announces that the agent leaves, hands over the waiting flows, and waits until its flows have ended or the
// drain deadline has passed, but at least for leaveDelay. Then it resets the remaining flows
// and announces that the agent has left. If a component of the agent ends while it waits for
// flows, it returns without that announcement.
func (s *Server) leave(componentEnded <-chan struct{}) {
	s.setPhase(member.Leaving)
	s.engine.Leave()
	deadline := s.node.View().Config.Service.DrainDeadline()
	_ = level.Info(s.log).Log("event", "leaving", "flows", s.engine.Flows(), "deadline", deadline)
	end := time.Now().Add(deadline)
	time.Sleep(leaveDelay)
	for time.Now().Before(end) && s.engine.Flows() > 0 {
		select {
		case <-componentEnded:
			return
		case <-time.After(lifecycleInterval):
		}
	}
	_ = level.Info(s.log).Log("event", "left", "flows_left", s.engine.Flows())
	s.engine.AbortAll()
	s.setPhase(member.Left)
	time.Sleep(lifecycleInterval)
}

// applyView applies a new view. If the agent's failure domain is out, its flows end at
// once, so that their callers connect again elsewhere, and the backend server enters cold
// start.
func (s *Server) applyView(v *state.View) {
	if !v.Known {
		return
	}
	s.backend.Limiter.Configure(v.Config.Service.BackendClass, v.Config.Service.ColdStart)
	if v.DomainOut {
		s.backend.Limiter.EnterColdStart()
		s.engine.AbortAll()
	}
}

// setPhase announces the phase, and records it.
func (s *Server) setPhase(p member.Phase) {
	s.announcer.SetPhase(p)
	s.recordPhase(p)
}

// recordPhase updates the agent's own record in its view and logs the phase.
func (s *Server) recordPhase(p member.Phase) {
	s.learnSelf()
	_ = level.Info(s.log).Log("event", "phase", "phase", p)
}

// learnSelf merges the agent's announced record into its own view.
func (s *Server) learnSelf() { s.node.Learn(s.announcer.Self()) }

func (s *Server) handler() http.Handler {
	return s.observer.Handler(
		func() any { return dumpOf(s.node, s.announcer, s.backend, s.engine) },
		func() string { return notReadyReason(s.node, s.announcer) },
	)
}

// handler dispatches the packets and control messages that the link receives.
type handler struct {
	engine    *flow.Engine
	balancers *balancer.Client
	peers     *agent.Peers
}

func (h *handler) packet(from netip.AddrPort, header capsule.Header, packet []byte) {
	h.engine.HandlePacket(from, header, packet)
}

func (h *handler) control(from netip.AddrPort, m *controlv1.Datagram) {
	if ack := m.GetHeartbeatAck(); ack != nil {
		h.balancers.HandleAck(ack)
		return
	}
	h.peers.Handle(from, m)
}

// notReadyReason returns why the agent is not ready, or "" if it is.
func notReadyReason(n *state.Node, a *heartbeat.Announcer) string {
	v := n.View()
	switch {
	case !v.Known:
		return "no configuration: no balancer has answered"
	case v.DomainOut:
		return "failure domain is out"
	case a.RefusedBy() != "":
		return a.RefusedBy()
	case a.IsFlapping():
		return "cut off from balancers again and again"
	case a.Self().Phase != member.Serving:
		return "agent is " + a.Self().Phase.String()
	case !a.HasLease():
		return "no balancer has lately answered"
	default:
		return ""
	}
}
