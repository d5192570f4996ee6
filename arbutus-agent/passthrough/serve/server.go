// Package serve runs an agent in pass-through mode, in which the backend server
// terminates the callers' flows itself.
//
// # Usage
//
//	s, cleanup, err := serve.Build(&settings, network, logger, serve.Options{...})
//	s.Backend().Announce(announcement)
//	err = s.Run(ctx)
package serve

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/zeebo/errs"

	"arbutusfront.dev/arbutus-agent/agent"
	"arbutusfront.dev/arbutus-agent/balancer"
	"arbutusfront.dev/arbutus-agent/passthrough"
	"arbutusfront.dev/arbutus-agent/state"
	"arbutusfront.dev/common/coordination/heartbeat"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/protocol/frame"
	"arbutusfront.dev/common/protocol/link"
	"arbutusfront.dev/common/protocol/settings"
	"arbutusfront.dev/common/state/feature"
	"arbutusfront.dev/common/state/observe"
	"arbutusfront.dev/common/transport/datagram"
	"arbutusfront.dev/common/transport/network"
	"arbutusfront.dev/common/transport/server"
	"arbutusfront.dev/common/transport/tasks"
	"arbutusfront.dev/common/transport/wait"
)

const (
	// phaseInterval is how often the agent updates its phase. It is also the delay before the
	// first probe of the backend server, and the interval of checks for remaining requests
	// while the agent is leaving.
	phaseInterval = 25 * time.Millisecond
	// discoverInterval is the interval between probes of a backend server that has not
	// announced itself; the first probe follows phaseInterval after the start.
	discoverInterval = 100 * time.Millisecond
	// discoverTimeout limits the liveness and readiness probe of one attempt together.
	discoverTimeout = 300 * time.Millisecond
	// leaveDelay is how long a leaving agent runs on at least, to forward packets that still
	// arrive.
	leaveDelay = 300 * time.Millisecond
	// leaveTimeout is how long a leaving agent waits for the requests in flight.
	leaveTimeout = 4 * time.Second
	// leftDelay is how long the agent runs on after its last heartbeat, so that the
	// heartbeat reaches the balancers.
	leftDelay = 20 * time.Millisecond
)

// Error is the class of this package's errors.
var Error = errs.Class("agent")

type (
	// Options configure how an agent exchanges packets with its backend server and with
	// callers.
	Options struct {
		Codec frame.Codec
		// OutboundAddress is the UDP address on which the agent receives the backend server's
		// packets.
		OutboundAddress netip.AddrPort
		// ReplyAddressOf returns the address that packets to a caller are sent to.
		ReplyAddressOf func(caller netip.AddrPort) netip.AddrPort
		// Seeds, if set, replaces the seeds of the settings, which may be outdated. It is
		// called whenever no balancer responds.
		Seeds func() []netip.AddrPort
		// Without are the features to switch off.
		Without feature.Set
	}

	// Server is an agent in pass-through mode.
	Server struct {
		node      *state.Node
		announcer *heartbeat.Announcer
		balancers *balancer.Client
		peers     *agent.Peers
		engine    *passthrough.Engine
		backend   *passthrough.Server
		socket    backendSocket
		link      *link.Link
		observer  *observe.Observer
		listener  net.Listener
		http      *http.Client
		log       log.Logger
		// without are the features that are switched off.
		without feature.Set
	}
)

func (opts Options) seeds(configured []netip.AddrPort) func() []netip.AddrPort {
	if opts.Seeds != nil {
		return opts.Seeds
	}
	return func() []netip.AddrPort { return configured }
}

// Build returns an agent that is ready to run, and a function that releases its resources.
func Build(s *settings.Agent, n network.Network, l log.Logger, opts Options) (*Server, func(), error) {
	return build(s, n, l, opts)
}

// Backend returns the agent's record of its backend server.
func (s *Server) Backend() *passthrough.Server { return s.backend }

// SeedsFound makes an agent without a configuration contact the balancers at the seeds at
// once.
func (s *Server) SeedsFound() {
	if !s.node.View().Known {
		s.announcer.SendSoon()
	}
}

// Run serves until ctx is canceled or a component ends. When ctx is canceled the agent
// leaves: it admits no new flows, and stops once the requests in flight are answered, or
// after leaveTimeout. Run returns the errors of all components.
func (s *Server) Run(ctx context.Context) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	s.node.Learn(s.announcer.Self())
	group := tasks.Gather(
		s.engine.Run(running),
		s.peers.Run(running),
		s.balancers.Run(running),
		s.link.Run(running),
		s.readOutbound(running),
		s.announcer.Run(running),
		s.node.Follow(running, s.viewHandler()),
		s.announcePhase(running, ctx),
		s.discover(running),
		server.Run(running, s.listener, s.Handler()),
	)
	self := s.announcer.Self()
	_ = level.Info(s.log).Log(append([]any{
		"event", "started", "name", self.Name, "service", self.Service, "domain", self.Domain, "instance", self.Instance,
	}, s.without.LogFields()...)...)
	select {
	case <-ctx.Done():
		s.leave(group.Ended())
	case <-group.Ended():
	}
	stop()
	err := group.Wait()
	s.http.CloseIdleConnections()
	_ = level.Info(s.log).Log("event", "stopped", "name", self.Name)
	return err
}

// readOutbound passes the backend server's packets to the engine until ctx is canceled, which
// closes the socket. It sends the result on the channel.
func (s *Server) readOutbound(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	context.AfterFunc(ctx, func() { _ = s.socket.Close() })
	go func() { done <- s.socket.Serve(func(m *datagram.Message) { s.engine.HandleOutbound(m.Bytes()) }) }()
	return done
}

// announcePhase keeps the announced phase, and the announced run of the backend server, up to
// date until ctx is canceled, and then sends nil on the channel. Once shutdown is canceled, the
// phase is leaving. Once the phase is left, it no longer changes.
func (s *Server) announcePhase(ctx, shutdown context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		lastReason := ""
		for s.waitForChange(ctx) {
			if s.announcer.SetServerRun(s.backend.RunStartedMillis()) {
				s.node.Learn(s.announcer.Self())
			}
			phase, reason := s.phase(shutdown)
			if s.announcer.Self().Phase == member.Left || phase == s.announcer.Self().Phase && reason == lastReason {
				continue
			}
			lastReason = reason
			s.announcer.SetPhase(phase)
			s.node.Learn(s.announcer.Self())
			_ = level.Info(s.log).Log("event", "phase", "phase", phase, "reason", reason)
		}
		done <- nil
	}()
	return done
}

// waitForChange waits until the view changes, and for phaseInterval at most. It returns false
// once ctx is canceled.
func (s *Server) waitForChange(ctx context.Context) bool {
	t := time.NewTimer(phaseInterval)
	defer t.Stop()
	select {
	case <-s.node.Changed():
	case <-t.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// phase returns the agent's phase and, unless that is serving, the reason.
func (s *Server) phase(shutdown context.Context) (member.Phase, string) {
	reason := s.NotReadyReason()
	switch {
	case shutdown.Err() != nil:
		return member.Leaving, "stopped"
	case s.backend.IsDraining():
		return member.Leaving, reason
	case reason != "":
		return member.Joining, reason
	default:
		return member.Serving, ""
	}
}

// NotReadyReason returns the reason why the agent is not ready: no configuration, a refused
// claim, or the state of its backend server. It returns an empty string if the agent is
// ready.
func (s *Server) NotReadyReason() string {
	switch {
	case !s.node.View().Known:
		return "no_configuration"
	case s.announcer.RefusedBy() != "":
		return s.announcer.RefusedBy()
	default:
		return s.backend.NotReadyReason()
	}
}

// discover probes the backend server until it has announced itself or is found ready. While
// no health path is configured, it is not probed again once it was found running. When ctx is
// canceled, discover ends and sends nil on the channel.
func (s *Server) discover(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		pause := phaseInterval
		for !s.backend.IsKnown() && wait.For(ctx, pause) {
			path := s.node.View().Config.Service.HealthPath
			if path == "" && s.backend.WasFoundRunning() {
				// Without a health path only liveness can be probed, and that probe has
				// succeeded.
				continue
			}
			attempt, cancel := context.WithTimeout(ctx, discoverTimeout)
			s.backend.Discover(attempt, path)
			cancel()
			if path != "" || !s.backend.WasFoundRunning() {
				pause = discoverInterval
			}
		}
		<-ctx.Done()
		done <- nil
	}()
	return done
}

// viewHandler returns a function that applies each new view to the record of the backend
// server. When the agent's failure domain returns, the backend server is treated as cold.
func (s *Server) viewHandler() func(*state.View) {
	domainOut := false
	return func(v *state.View) {
		if !v.Known {
			return
		}
		s.backend.Configure(v.Config.Service.ColdStart)
		if domainOut && !v.DomainOut {
			s.backend.AssumeCold()
		}
		if domainOut != v.DomainOut {
			domainOut = v.DomainOut
			_ = level.Info(s.log).Log("event", "domain", "out", domainOut, "revision", v.Revision)
		}
	}
}

// leave makes the engine admit no new flows, and waits for leaveDelay. It then waits until the
// requests in flight are answered or leaveTimeout has passed since its start, and announces
// that the agent has left. If a component ends during the second wait, leave returns without
// that announcement.
func (s *Server) leave(componentEnded <-chan struct{}) {
	s.engine.Leave()
	l := s.engine.Load()
	_ = level.Info(s.log).Log("event", "leaving", "flows", l.Flows, "requests", l.Requests)
	deadline := time.Now().Add(leaveTimeout)
	time.Sleep(leaveDelay)
	for time.Now().Before(deadline) && s.engine.Load().Requests > 0 {
		select {
		case <-componentEnded:
			return
		case <-time.After(phaseInterval):
		}
	}
	l = s.engine.Load()
	_ = level.Info(s.log).Log("event", "left", "flows_left", l.Flows, "requests_left", l.Requests)
	s.announcer.SetPhase(member.Left)
	time.Sleep(leftDelay)
}

// Handler returns the handler for metrics, health, dumps and the backend server's
// announcements.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", s.observer.Handler(func() any { return s.dump() }, s.NotReadyReason))
	s.registerAnnouncements(mux)
	return mux
}
