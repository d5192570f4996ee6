package observe

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestSamplerBoundsLines(t *testing.T) {
	g, s := NewWithT(t), NewSampler(2)
	now := time.Unix(100, 0)
	for _, want := range []bool{true, true, false, false, false} {
		_, ok := s.Allow(now)
		g.Expect(ok).To(Equal(want))
	}
	skipped, ok := s.Allow(now.Add(time.Second))
	g.Expect(ok).To(BeTrue())
	g.Expect(skipped).To(BeEquivalentTo(3))
	skipped, _ = s.Allow(now.Add(time.Second))
	g.Expect(skipped).To(BeZero())
}

// TestSamplerAllocatesNothing guards against garbage on the packet path: the sampler is
// called for each SYN, also when the line is suppressed.
func TestSamplerAllocatesNothing(t *testing.T) {
	s, now := NewSampler(1), time.Unix(100, 0)
	NewWithT(t).Expect(testing.AllocsPerRun(100, func() { s.Allow(now) })).To(BeZero())
}
