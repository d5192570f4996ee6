package passthrough

import (
	"time"

	"github.com/go-kit/log/level"
)

const (
	// silentProbes is how many liveness probes in a row have to time out before a backend server
	// may count as dead without a refused connection.
	silentProbes = 2
	// silentTime is how long a backend server must have sent no packet before it may count as dead
	// without a refused connection.
	silentTime = time.Second
	// maxCheckDelay is how late a periodic check or the end of a probe may be. If one is later, the
	// agent itself has not run, and what the backend server sent may not have been read yet.
	maxCheckDelay = 100 * time.Millisecond
)

// silence is the evidence that a backend server is gone although no connection to it was refused. A
// server that lives may leave a probe unanswered: it accepts connections late while it is busy.
type silence struct {
	// probes counts the probes in a row that timed out, while the agent ran and the backend server
	// sent neither a packet nor an announcement.
	probes int
	// checkedAt is when the last periodic check ran, delayedAt when one last ran late.
	checkedAt, delayedAt time.Time
}

// recordUnansweredProbe records a liveness probe that failed without a refused connection. It blocks new
// flows, and the probe is repeated at once if it was the first one or shows nothing. s.mu must be held.
func (s *Server) recordUnansweredProbe(err error, now time.Time) {
	delayed := now.Sub(s.probeStartedAt) > probeTimeout+maxCheckDelay || s.silence.delayedAt.After(s.probeStartedAt)
	switch {
	case s.dead:
		return
	case delayed:
		s.probedAt = time.Time{}
		return
	case s.lastSentAt.After(s.probeStartedAt) || s.announcedAt.After(s.probeStartedAt):
		s.silence.probes = 0
		return
	}
	s.silence.probes++
	s.unansweredSince = time.Time{}
	if s.silentSince.IsZero() {
		s.silentSince = now
	}
	if s.silence.probes == 1 {
		s.probedAt = time.Time{}
		_ = level.Info(s.log).Log("event", "server_checked", "id", s.announced.ID, "dead", false, "err", err)
	}
}

// checkSilence is to be called at each periodic check. It reports whether the backend server has died
// without a refused connection: silentProbes timed out, its announcement is overdue, and it has sent no
// packet for silentTime. The evidence of a time in which the agent itself did not run is void.
func (s *Server) checkSilence(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	delayed := !s.silence.checkedAt.IsZero() && now.Sub(s.silence.checkedAt) > checkInterval+maxCheckDelay
	s.silence.checkedAt = now
	if delayed {
		s.silence.delayedAt, s.silence.probes = now, 0
		return false
	}
	announcedAt := s.announcedAt
	if announcedAt.IsZero() {
		announcedAt = s.agentStartedAt
	}
	silent := s.silence.probes >= silentProbes && now.Sub(s.lastSentAt) >= silentTime
	if s.dead || !silent || now.Sub(announcedAt) < announcementTimeout {
		return false
	}
	s.dead, s.silentSince = true, time.Time{}
	_ = level.Info(s.log).Log(
		"event", "server_checked", "id", s.announced.ID, "dead", true, "unanswered_probes", s.silence.probes,
		"announced_before", now.Sub(announcedAt).Round(time.Millisecond),
	)
	return true
}
