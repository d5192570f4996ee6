package observe

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
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

// Lines writes log lines without ever waiting for their reader. Lines beyond the budget
// of a second, and those that find the queue full, are left out; a line tells how many.
// Its methods may be called by several goroutines.
type Lines struct {
	now    func() time.Time
	budget int
	queue  chan []byte
	ended  chan struct{}

	mu     sync.Mutex
	second int64
	used   int
	left   int
	closed bool
}

// NewLines returns a writer of up to perSecond lines a second to w.
func NewLines(w io.Writer, perSecond int) *Lines {
	l := &Lines{now: time.Now, budget: perSecond, queue: make(chan []byte, queuedLines), ended: make(chan struct{})}
	go l.run(w)
	return l
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
	if l.closed {
		return len(b), nil
	}
	if second := l.now().Unix(); second != l.second {
		l.second, l.used = second, 0
		if l.left > 0 && l.enqueue(fmt.Appendf(nil, "event=lines_left_out count=%d\n", l.left)) {
			l.left = 0
		}
	}
	if l.used >= l.budget || !l.enqueue(bytes.Clone(b)) {
		l.left++
		return len(b), nil
	}
	l.used++
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
