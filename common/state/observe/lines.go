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
	// DefaultLinesPerSecond is the usual budget of a process's log: enough for each
	// change of what it believes, and for samples of what it decides about flows.
	DefaultLinesPerSecond = 200

	// queuedLines is how many lines may wait for a reader.
	queuedLines = 1024
	// endBound is how long Close waits for a reader.
	endBound = 100 * time.Millisecond
)

type (
	// Lines writes log lines without ever waiting for their reader. Lines that find
	// the queue full are left out; a line tells how many. Its methods may be called by
	// several goroutines.
	Lines struct {
		queue chan []byte
		ended chan struct{}

		mu     sync.Mutex
		left   int
		closed bool
	}

	// budget is a logger that leaves out lines beyond a number a second, before they
	// are formatted.
	budget struct {
		next      log.Logger
		perSecond int
		now       func() time.Time

		mu     sync.Mutex
		second int64
		used   int
		left   int
	}
)

// NewLines returns a writer of lines to w.
func NewLines(w io.Writer) *Lines {
	l := &Lines{queue: make(chan []byte, queuedLines), ended: make(chan struct{})}
	go l.run(w)
	return l
}

// WithBudget returns a logger that passes up to perSecond lines a second to next, and
// then a line that tells how many it has left out.
func WithBudget(next log.Logger, perSecond int) log.Logger {
	return &budget{next: next, perSecond: perSecond, now: time.Now}
}

// Log implements log.Logger.
func (b *budget) Log(keyvals ...any) error {
	b.mu.Lock()
	left := 0
	if second := b.now().Unix(); second != b.second {
		left = b.left
		b.second, b.used, b.left = second, 0, 0
	}
	if b.used >= b.perSecond {
		b.left++
		b.mu.Unlock()
		return nil
	}
	b.used++
	b.mu.Unlock()
	if left > 0 {
		if err := b.next.Log("event", "lines_left_out", "count", left); err != nil {
			return err
		}
	}
	return b.next.Log(keyvals...)
}

func (l *Lines) run(w io.Writer) {
	defer close(l.ended)
	for b := range l.queue {
		// There is nowhere left to report a failure of the log itself.
		_, _ = w.Write(b)
	}
}

// Write implements io.Writer. It takes one line, and never fails.
func (l *Lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.closed:
	case l.left > 0 && !l.enqueue(fmt.Appendf(nil, "event=lines_unread count=%d\n", l.left)):
		l.left++
	case !l.enqueue(bytes.Clone(b)):
		l.left = 1
	default:
		l.left = 0
	}
	return len(b), nil
}

func (l *Lines) enqueue(b []byte) bool {
	select {
	case l.queue <- b:
		return true
	default:
		return false
	}
}

// Close writes what waits, if its reader takes it in time.
func (l *Lines) Close() error {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.queue)
	}
	l.mu.Unlock()
	select {
	case <-l.ended:
	case <-time.After(endBound):
	}
	return nil
}
