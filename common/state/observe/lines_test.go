package observe

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// writeBound is far more than writing a line takes, and far less than a reader that
// never comes.
const writeBound = time.Second

func TestBudget(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	l := NewLines(&out, 3)
	now := time.Unix(100, 0)
	l.now = func() time.Time { return now }
	for i := range 10 {
		_, err := fmt.Fprintf(l, "event=sample n=%d\n", i)
		g.Expect(err).NotTo(HaveOccurred())
	}
	now = now.Add(time.Second)
	_, _ = fmt.Fprintf(l, "event=sample n=%d\n", 10)
	g.Expect(l.Close()).To(Succeed())
	g.Expect(out.String()).To(Equal(
		"event=sample n=0\nevent=sample n=1\nevent=sample n=2\nevent=lines_left_out count=7\nevent=sample n=10\n"))
}

// TestStalledReader writes lines that nobody reads.
func TestStalledReader(t *testing.T) {
	g := NewWithT(t)
	r, w := io.Pipe()
	l := NewLines(w, 1_000_000)
	start := time.Now()
	for range 10 * queuedLines {
		_, _ = l.Write([]byte("event=sample\n"))
	}
	g.Expect(time.Since(start)).To(BeNumerically("<", writeBound))
	g.Expect(l.Close()).To(Succeed())
	g.Expect(r.Close()).To(Succeed())
	_, err := l.Write([]byte("event=late\n"))
	g.Expect(err).NotTo(HaveOccurred())
}

func TestClosedTwice(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	l := NewLines(&out, 1)
	g.Expect(l.Close()).To(Succeed())
	g.Expect(l.Close()).To(Succeed())
}
