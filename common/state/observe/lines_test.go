package observe

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"
)

// writeTimeout bounds the time to write all lines: queueing takes far less, and a write
// that blocked on the reader would never return.
const writeTimeout = time.Second

// TestBudgetSuppressesExcessLines guards against a log that exceeds its budget, and against
// suppressed lines that are not counted in a later second.
func TestBudgetSuppressesExcessLines(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	now := time.Unix(100, 0)
	l := &budgetLogger{next: log.NewLogfmtLogger(&out), perSecond: 3, now: func() time.Time { return now }}
	for i := range 10 {
		g.Expect(l.Log("event", "sample", "n", i)).To(Succeed())
	}
	now = now.Add(time.Second)
	g.Expect(l.Log("event", "sample", "n", 10)).To(Succeed())
	g.Expect(out.String()).To(Equal(
		"event=sample n=0\nevent=sample n=1\nevent=sample n=2\nevent=lines_left_out count=7\nevent=sample n=10\n"))
}

// TestLinesWithStalledReader guards against a process that blocks on its own log: it writes
// more lines than the queue holds to a pipe that is not read. Once the pipe is read, the
// number of dropped lines must be reported.
func TestLinesWithStalledReader(t *testing.T) {
	g := NewWithT(t)
	r, w := io.Pipe()
	l := NewLineWriter(w)
	start := time.Now()
	for range 10 * maxQueuedLines {
		_, _ = l.Write([]byte("event=sample\n"))
	}
	g.Expect(time.Since(start)).To(BeNumerically("<", writeTimeout))
	read := make(chan string)
	go func() {
		b, _ := io.ReadAll(r)
		read <- string(b)
	}()
	for len(l.queue) > 0 {
		time.Sleep(time.Millisecond)
	}
	_, _ = l.Write([]byte("event=last\n"))
	g.Expect(l.Close()).To(Succeed())
	g.Expect(w.Close()).To(Succeed())
	g.Expect(<-read).To(MatchRegexp(`event=lines_unread count=\d+\nevent=last\n$`))
	_, err := l.Write([]byte("event=late\n"))
	g.Expect(err).NotTo(HaveOccurred())
}

// TestLinesClosedTwice guards against a panic or an error when Close is called again.
func TestLinesClosedTwice(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	l := NewLineWriter(&out)
	g.Expect(l.Close()).To(Succeed())
	g.Expect(l.Close()).To(Succeed())
}
