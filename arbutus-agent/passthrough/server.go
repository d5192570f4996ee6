package passthrough

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"arbutusfront.dev/common/coordination/config"
)

const (
	// capacityBackoff is how long a backend server gets no new flows after it has returned
	// a SYN.
	capacityBackoff = 200 * time.Millisecond
	// probeInterval is the minimum time between two liveness probes.
	probeInterval = 500 * time.Millisecond
	// probeTimeout limits a liveness probe. The backend server runs on the same machine.
	probeTimeout = 200 * time.Millisecond
	// announcementTimeout is how long a backend server that leaves probes unanswered may go
	// without an announcement before it counts as dead; announcements come every 1.2 s.
	announcementTimeout = 2 * time.Second
	// announcementProbeTime is how long a backend server may go without an announcement before
	// it is probed. Two probes can time out until announcementTimeout and a periodic check.
	announcementProbeTime = 1600 * time.Millisecond
	// unknownFlowsPeriod is how long after its start an agent assumes that its backend
	// server may hold flows that it does not know. Flows are assumed not to be older, or
	// idle for longer, than this.
	unknownFlowsPeriod = 60 * time.Second
	// coldRateWindow is the period over which the rate of new flows to a cold backend
	// server is counted.
	coldRateWindow = time.Second
)

type (
	// Server is the agent's record of its backend server. It is safe for concurrent use.
	Server struct {
		probeLiveness  func(ctx context.Context) error
		probeHealth    func(ctx context.Context, path string) error
		log            log.Logger
		now            func() time.Time
		agentStartedAt time.Time
		// rejected counts the announcements that were not applied, by reason.
		rejected func(Rejection) tally.Counter

		mu sync.Mutex
		// known is set once the backend server has announced itself or was discovered as
		// ready.
		known       bool
		announced   Announcement
		announcedAt time.Time
		ignored     ignoredRun
		// predates is set unless the backend server is known to have started after the
		// agent: it was found absent, and has announced itself since.
		predates  bool
		withdrawn bool
		dead      bool
		// foundAbsent is set once a liveness probe has found that no process listens at the
		// backend server's address, and remains set.
		foundAbsent bool
		// foundRunning is set once Discover has found the backend server running, and remains
		// set. Both may be set.
		foundRunning bool
		// coldNewPerSecond limits the new flows to a cold backend server; 0 means no limit.
		coldNewPerSecond int
		// coldUntil is when the backend server will be warm. coldUnknown is set from the
		// agent's start, a discovery or the return of the failure domain until the next
		// announcement states the remaining warm-up time.
		coldUntil       time.Time
		coldUnknown     bool
		admittedAt      []time.Time
		atCapacityUntil time.Time
		// silentSince is when a SYN was found without a SYN-ACK; zero once the backend server
		// has sent something or was probed.
		silentSince time.Time
		// unansweredSince is when the oldest packet was delivered after which the backend
		// server has sent nothing; zero if there is none.
		unansweredSince time.Time
		lastSentAt      time.Time
		probing         bool
		probeStartedAt  time.Time
		probedAt        time.Time
		silence         silence
		// crashSuspected is set when the backend server has lost a flow, as it does in a
		// crash.
		crashSuspected bool
	}

	// ServerOption configures a Server.
	ServerOption func(*Server)
)

// WithHealthProbe sets the probe that finds out, by a request for the HTTP path, whether a
// backend server that has not announced itself is ready for requests.
func WithHealthProbe(f func(ctx context.Context, path string) error) ServerOption {
	return func(s *Server) { s.probeHealth = f }
}

// WithServerLogger sets the logger for events.
func WithServerLogger(l log.Logger) ServerOption { return func(s *Server) { s.log = l } }

// WithServerScope sets the scope of the record's metrics.
func WithServerScope(scope tally.Scope) ServerOption {
	return func(s *Server) { s.rejected = rejectionCounter(scope) }
}

// NewServer returns the record of a backend server that has not announced itself. The
// function probeLiveness returns an error if the process is not running; it wraps
// syscall.ECONNREFUSED if no process listens at the backend server's address.
func NewServer(probeLiveness func(ctx context.Context) error, opts ...ServerOption) *Server {
	s := &Server{
		probeLiveness: probeLiveness, log: log.NewNopLogger(), now: time.Now, predates: true, coldUnknown: true,
		probeHealth: func(context.Context, string) error { return errNoHealthProbe },
		rejected:    rejectionCounter(tally.NoopScope),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.agentStartedAt = s.now()
	return s
}

// Configure sets the limit for new flows to a cold backend server. A rate of 0 means no limit.
func (s *Server) Configure(cold config.ColdStart) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldNewPerSecond = cold.NewPerSecond
}

// AssumeCold treats the backend server as cold until its next announcement.
func (s *Server) AssumeCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUnknown = true
}

// Slots returns the number of requests that the backend server runs concurrently; 0 if
// unknown.
func (s *Server) Slots() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announced.Slots
}

// RunStartedMillis returns when the current run of the backend server started, as a Unix
// time in milliseconds; 0 if unknown.
func (s *Server) RunStartedMillis() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return uint64(max(s.announced.StartedUnixMillis, 0))
}

// lastStart returns when the agent or the current run of the backend server started, whichever is
// later.
func (s *Server) lastStart() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := time.UnixMilli(max(s.announced.StartedUnixMillis, 0))
	if run.After(s.agentStartedAt) && run.Before(s.now()) {
		return run
	}
	return s.agentStartedAt
}

// NotReadyReason returns the reason why the backend server's state allows no new flows, or
// an empty string.
func (s *Server) NotReadyReason() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.notReadyReason()
}

// notReadyReason is NotReadyReason with s.mu held.
func (s *Server) notReadyReason() string {
	switch {
	case !s.known:
		return "server_unknown"
	case s.withdrawn:
		return "server_gone"
	case s.dead:
		return "server_dead"
	case s.announced.Draining:
		return "server_draining"
	case !s.silentSince.IsZero():
		return "server_silent"
	default:
		return ""
	}
}

// IsDraining reports whether the backend server is draining or has withdrawn.
func (s *Server) IsDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known && (s.withdrawn || s.announced.Draining)
}

// refusal returns the reason why the backend server gets no new flow now, or an empty
// string. It forgets admissions that are older than coldRateWindow.
func (s *Server) refusal(now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reason := s.notReadyReason(); reason != "" {
		return reason
	}
	if now.Before(s.atCapacityUntil) {
		return "server_full"
	}
	for len(s.admittedAt) > 0 && now.Sub(s.admittedAt[0]) >= coldRateWindow {
		s.admittedAt = s.admittedAt[1:]
	}
	if s.coldNewPerSecond > 0 && s.isCold(now) && len(s.admittedAt) >= s.coldNewPerSecond {
		return "server_cold"
	}
	return ""
}

// recordAdmitted counts a new flow against the rate of a cold backend server.
func (s *Server) recordAdmitted(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admittedAt = append(s.admittedAt, now)
}

func (s *Server) isCold(now time.Time) bool { return s.coldUnknown || now.Before(s.coldUntil) }

// allFlowsKnown reports whether the backend server is assumed to hold no flow that the agent
// does not know: it started after the agent, is dead or withdrawn, or the agent has run for
// more than unknownFlowsPeriod. One that has neither announced itself nor been found ready is
// assumed to hold none once Discover has found it absent.
func (s *Server) allFlowsKnown(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.known {
		return s.foundAbsent
	}
	return s.withdrawn || s.dead || !s.predates || now.Sub(s.agentStartedAt) > unknownFlowsPeriod
}

// mayHoldUnknownFlows reports whether packets of flows that the agent does not know are to be
// delivered to the backend server. Until that is known or found running, the result is false
// although it may hold such flows, and allFlowsKnown may return false too.
func (s *Server) mayHoldUnknownFlows(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return (s.known || s.foundRunning) && !s.withdrawn && !s.dead && s.predates &&
		now.Sub(s.agentStartedAt) <= unknownFlowsPeriod
}

func (s *Server) recordAtCapacity(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.atCapacityUntil = now.Add(capacityBackoff)
}
