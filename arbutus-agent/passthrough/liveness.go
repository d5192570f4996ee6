package passthrough

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/go-kit/log/level"
)

// recordDelivered records that a packet was delivered which the backend server should
// answer.
func (s *Server) recordDelivered(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unansweredSince.IsZero() {
		s.unansweredSince = now
	}
}

// recordOutbound records that the backend server sent a packet, which shows that it is
// alive: it is no longer treated as silent or dead.
func (s *Server) recordOutbound(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSentAt, s.unansweredSince, s.silentSince = now, time.Time{}, time.Time{}
	s.silence.probes = 0
	if s.dead {
		s.dead = false
		s.logChange("server_changed", s.announced)
	}
}

func (s *Server) hasSentSince(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastSentAt.After(t)
}

// recordSilent blocks new flows to the backend server until it sends something or a probe
// succeeds.
func (s *Server) recordSilent(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silentSince.IsZero() {
		s.silentSince = now
		s.logChange("server_silent", s.announced)
	}
}

// recordLostFlow records that the backend server has lost a flow: it may have crashed, and
// lost all others too.
func (s *Server) recordLostFlow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashSuspected = true
}

// needsProbe reports whether a liveness probe is due: packets unanswered for longer than
// timeout, an overdue announcement, a suspected crash, or a backend server that is silent,
// dead or withdrawn. A withdrawn one is probed only until it is dead. It returns false while
// a probe runs, within probeInterval of the last one, and before the backend server is known.
// A suspected crash is reported once: the call clears it.
func (s *Server) needsProbe(now time.Time, timeout time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.probing || !s.known || s.withdrawn && s.dead || now.Sub(s.probedAt) < probeInterval {
		return false
	}
	if s.crashSuspected {
		s.crashSuspected = false
		return true
	}
	unanswered := !s.unansweredSince.IsZero() && now.Sub(s.unansweredSince) > timeout
	overdue := !s.announcedAt.IsZero() && now.Sub(s.announcedAt) > announcementProbeTime
	return unanswered || overdue || !s.silentSince.IsZero() || s.dead || s.withdrawn
}

// startProbe starts a liveness probe, and calls onDeath if the result changes from alive to
// dead.
func (s *Server) startProbe(onDeath func()) {
	s.mu.Lock()
	s.probing, s.probeStartedAt = true, s.now()
	s.mu.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		if s.recordProbe(s.probeLiveness(ctx)) {
			onDeath()
		}
	}()
}

// recordProbe records the result of a liveness probe, and reports whether it changed from
// alive to dead. Only a refused connection is certain: no process listens. With a connection or a
// refused one, the backend server no longer counts as silent, and unanswered packets are forgotten.
func (s *Server) recordProbe(err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probing, s.probedAt = false, s.now()
	if err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
		s.recordUnansweredProbe(err, s.probedAt)
		return false
	}
	s.silence.probes = 0
	died := err != nil && !s.dead
	revived := err == nil && s.dead
	s.dead = err != nil
	s.recordAbsent(err)
	s.silentSince, s.unansweredSince = time.Time{}, time.Time{}
	if died || revived {
		_ = level.Info(s.log).Log("event", "server_checked", "id", s.announced.ID, "dead", s.dead, "err", err)
	}
	return died
}

// Discover probes a backend server that has not announced itself: first for liveness and
// then, at the HTTP path, for readiness. A ready one counts as known, and as cold until its
// next announcement. With an empty path only liveness is probed.
func (s *Server) Discover(ctx context.Context, path string) {
	if err := s.probeLiveness(ctx); err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.recordAbsent(err)
		return
	}
	s.recordFoundRunning()
	if path == "" {
		return
	}
	if err := s.probeHealth(ctx, path); err != nil {
		_ = level.Debug(s.log).Log("event", "server_probed", "err", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known {
		return
	}
	s.known, s.coldUnknown = true, true
	s.logChange("server_found", s.announced)
}

// recordFoundRunning records that a probe has found the backend server running. Beside a
// restarted agent, the backend server may hold flows before its first announcement to this
// agent.
func (s *Server) recordFoundRunning() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.foundRunning {
		s.foundRunning = true
		_ = level.Info(s.log).Log("event", "server_present", "known", s.known)
	}
}

// recordAbsent records that no process listens at the backend server's address, if the error of
// a liveness probe shows that. A probe that fails in another way, such as by a timeout, leaves
// open whether one does. s.mu must be held.
func (s *Server) recordAbsent(err error) {
	if !s.foundAbsent && errors.Is(err, syscall.ECONNREFUSED) {
		s.foundAbsent = true
		_ = level.Info(s.log).Log("event", "server_absent", "err", err)
	}
}

// WasFoundRunning reports whether Discover has ever found the backend server running.
func (s *Server) WasFoundRunning() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.foundRunning
}

// IsKnown reports whether the backend server has announced itself, or was discovered as
// ready.
func (s *Server) IsKnown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known
}
