package passthrough

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

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
	// announcementTimeout is how long a backend server may go without an announcement
	// before it is probed; announcements come every 1.2 s. One that has sent none this long
	// after the agent's start is assumed to hold no flows.
	announcementTimeout = 2 * time.Second
	// unknownFlowsPeriod is how long after its start an agent assumes that its backend
	// server may hold flows that it does not know. Flows are assumed not to be older, or
	// idle for longer, than this.
	unknownFlowsPeriod = 60 * time.Second
	// maxFirstSequence is the highest sequence number that the first announcement received
	// from a run of a backend server may have for the run to count as started after the
	// agent.
	maxFirstSequence = 2
	// maxBootSequence is the highest sequence number that the first announcement received
	// from a run may have for the run to count as started together with the agent, at the
	// boot of their machine: a backend server repeats its announcement at once while no
	// agent accepts it. Comparing the two start times alone would not suffice, as the clock
	// may jump.
	maxBootSequence = 6
	// coldRateWindow is the period over which the rate of new flows to a cold backend
	// server is counted.
	coldRateWindow = time.Second
	// minRestartDelay is less than the time between the end of an agent and the start of
	// its new incarnation. No earlier incarnation can have delivered flows to a backend
	// server that started at most this long before the agent.
	minRestartDelay = 400 * time.Millisecond
)

type (
	// Announcement is a backend server's report of its own state.
	Announcement struct {
		// ID names the backend server. A later run may have the same ID or another one.
		ID string
		// StartedUnixMillis is when this run of the backend server began, as a Unix time in
		// milliseconds; 0 if unknown.
		StartedUnixMillis int64
		// Sequence increases with each announcement of a run.
		Sequence uint64
		Draining bool
		// ColdFor is the remaining warm-up time, during which the backend server is slow.
		ColdFor time.Duration
		// Slots is the number of requests that the backend server runs concurrently.
		Slots int
	}

	// Server is the agent's record of its backend server. It is safe for concurrent use.
	Server struct {
		probeLiveness  func(ctx context.Context) error
		probeHealth    func(ctx context.Context, path string) error
		log            log.Logger
		now            func() time.Time
		agentStartedAt time.Time

		mu sync.Mutex
		// known is set once the backend server has announced itself or was discovered as
		// ready.
		known       bool
		announced   Announcement
		announcedAt time.Time
		// predates is set unless the backend server is known to have started after the
		// agent.
		predates  bool
		withdrawn bool
		dead      bool
		// foundAbsent is set once Discover has found no backend server running, and remains
		// set.
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
		probedAt        time.Time
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

// NewServer returns the record of a backend server that has not announced itself. The
// function probeLiveness returns an error if the process is not running.
func NewServer(probeLiveness func(ctx context.Context) error, opts ...ServerOption) *Server {
	s := &Server{
		probeLiveness: probeLiveness, log: log.NewNopLogger(), now: time.Now, predates: true, coldUnknown: true,
		probeHealth: func(context.Context, string) error { return errNoHealthProbe },
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

// Announce applies the announcement unless it is stale, and reports whether it did. After an
// applied one the backend server no longer counts as withdrawn or dead.
func (s *Server) Announce(a Announcement) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known && s.isStale(a) {
		_ = level.Info(s.log).Log(
			"event", "announcement_ignored", "id", a.ID, "sequence", a.Sequence, "born", a.StartedUnixMillis,
		)
		return false
	}
	now := s.now()
	if !s.known || a.ID != s.announced.ID || a.StartedUnixMillis != s.announced.StartedUnixMillis {
		s.predates = a.Sequence > maxFirstSequence && !s.startedWithAgent(a)
		s.logChange("server_started", a)
	} else if a.Draining != s.announced.Draining || s.withdrawn || s.dead {
		s.logChange("server_changed", a)
	}
	s.known, s.withdrawn, s.dead = true, false, false
	s.announced, s.announcedAt = a, now
	s.coldUntil, s.coldUnknown = now.Add(a.ColdFor), false
	return true
}

// startedWithAgent reports whether the backend server started with the agent, rather than
// before it.
func (s *Server) startedWithAgent(a Announcement) bool {
	return a.Sequence <= maxBootSequence && a.StartedUnixMillis >= s.agentStartedAt.Add(-minRestartDelay).UnixMilli()
}

// isStale reports whether the announcement is from an earlier run than the last applied one,
// or is not newer than that one of the same run. s.mu must be held.
func (s *Server) isStale(a Announcement) bool {
	if a.StartedUnixMillis != s.announced.StartedUnixMillis &&
		a.StartedUnixMillis != 0 && s.announced.StartedUnixMillis != 0 {
		return a.StartedUnixMillis < s.announced.StartedUnixMillis
	}
	return a.ID == s.announced.ID && a.Sequence <= s.announced.Sequence
}

func (s *Server) logChange(event string, a Announcement) {
	_ = level.Info(s.log).Log(
		"event", event, "id", a.ID, "born", a.StartedUnixMillis, "sequence", a.Sequence, "draining", a.Draining,
		"cold", a.ColdFor, "predates_agent", s.predates,
	)
}

// Withdraw records that the backend server with the ID has announced its end. It is ignored
// if the last announcement had another ID.
func (s *Server) Withdraw(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.known || id != s.announced.ID {
		return
	}
	s.withdrawn = true
	s.logChange("server_withdrawn", s.announced)
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
// assumed to hold none once Discover has found it absent, or announcementTimeout after the
// agent's start.
func (s *Server) allFlowsKnown(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	age := now.Sub(s.agentStartedAt)
	if !s.known {
		return s.foundAbsent || age > announcementTimeout
	}
	return s.withdrawn || s.dead || !s.predates || age > unknownFlowsPeriod
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
