package observe

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"
)

const (
	// DefaultLinesPerSecond is the default log budget of a process: enough for every
	// change of its view of the cluster, and for samples of its decisions about flows.
	DefaultLinesPerSecond = 200

	// maxQueuedLines bounds the lines queued for the writer.
	maxQueuedLines = 1024
	// closeTimeout is how long Close waits until queued lines are written.
	closeTimeout = 100 * time.Millisecond
)

type (
	// LineWriter is a log writer that never blocks on a stalled reader, such as a full pipe.
	// It queues lines and drops them while the queue is full; the next line that is
	// queued is preceded by one with the number dropped. It is safe for concurrent use.
	LineWriter struct {
		queue chan []byte
		ended chan struct{}

		mu           sync.Mutex
		droppedLines int
		closed       bool
	}

	// budgetLogger is a logger that suppresses lines beyond a number per second. It does so
	// before they are formatted, so that suppressed lines cost little.
	budgetLogger struct {
		next      log.Logger
		perSecond int
		now       func() time.Time

		mu sync.Mutex
		// usedLines and suppressedLines are counted since second, a Unix time.
		second          int64
		usedLines       int
		suppressedLines int
	}
)

// NewLineWriter returns a LineWriter that writes to w from a goroutine of its own. Close
// ends it.
func NewLineWriter(w io.Writer) *LineWriter {
	l := &LineWriter{queue: make(chan []byte, maxQueuedLines), ended: make(chan struct{})}
	go l.run(w)
	return l
}

// WithBudget returns a logger that passes up to perSecond lines per second to next. If
// lines were suppressed, the first line of a later second is preceded by a
// "lines_left_out" event with their number.
func WithBudget(next log.Logger, perSecond int) log.Logger {
	return &budgetLogger{next: next, perSecond: perSecond, now: time.Now}
}

// Log implements log.Logger.
func (b *budgetLogger) Log(keyvals ...any) error {
	b.mu.Lock()
	suppressed := 0
	if second := b.now().Unix(); second != b.second {
		suppressed = b.suppressedLines
		b.second, b.usedLines, b.suppressedLines = second, 0, 0
	}
	if b.usedLines >= b.perSecond {
		b.suppressedLines++
		b.mu.Unlock()
		return nil
	}
	b.usedLines++
	b.mu.Unlock()
	if suppressed > 0 {
		if err := b.next.Log("event", "lines_left_out", "count", suppressed); err != nil {
			return err
		}
	}
	return b.next.Log(keyvals...)
}

func (l *LineWriter) run(w io.Writer) {
	defer close(l.ended)
	for b := range l.queue {
		// A write error can't be reported: this is the log.
		_, _ = w.Write(b)
	}
}

// Write implements io.Writer. It queues a copy of b, which must be one line, or drops it if
// the queue is full or l is closed. It never blocks or fails.
func (l *LineWriter) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.closed:
	case l.droppedLines > 0 && !l.enqueue(fmt.Appendf(nil, "event=lines_unread count=%d\n", l.droppedLines)):
		l.droppedLines++
	case !l.enqueue(bytes.Clone(b)):
		l.droppedLines = 1
	default:
		l.droppedLines = 0
	}
	return len(b), nil
}

func (l *LineWriter) enqueue(b []byte) bool {
	select {
	case l.queue <- b:
		return true
	default:
		return false
	}
}

// Close stops accepting lines and waits up to closeTimeout until queued lines are
// written. It may be called more than once, and never fails.
func (l *LineWriter) Close() error {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.queue)
	}
	l.mu.Unlock()
	select {
	case <-l.ended:
	case <-time.After(closeTimeout):
	}
	return nil
}
