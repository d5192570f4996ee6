package observe

import (
	"sync"
	"time"
)

// FlowLinesPerSecond bounds the log lines per second of each per-flow event in one
// process, so that a burst of one event does not use up the log budget of the others.
const FlowLinesPerSecond = 40

// Sampler limits the rate of the log lines of one event. It is called before a line is
// built, so that a suppressed line costs next to nothing. It is safe for concurrent use.
type Sampler struct {
	perSecond int

	mu sync.Mutex
	// usedLines is counted since second, a Unix time; suppressedLines is counted since the
	// last line that was allowed.
	second          int64
	usedLines       int
	suppressedLines uint64
}

// NewSampler returns a sampler that allows perSecond lines per second.
func NewSampler(perSecond int) *Sampler { return &Sampler{perSecond: perSecond} }

// Allow reports whether a line may be written now and, if so, how many were suppressed
// since the previous one. It allocates nothing.
func (s *Sampler) Allow(now time.Time) (suppressed uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := now.Unix(); second != s.second {
		s.second, s.usedLines = second, 0
	}
	if s.usedLines >= s.perSecond {
		s.suppressedLines++
		return 0, false
	}
	s.usedLines++
	suppressed, s.suppressedLines = s.suppressedLines, 0
	return suppressed, true
}
