package unclaimed

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/state/ending"
)

var (
	start = time.Unix(1_700_000_000, 0)
	key   = ipv4.FlowKey{
		Caller:  netip.MustParseAddrPort("192.0.2.1:40001"),
		Service: netip.MustParseAddrPort("10.80.0.1:443"),
	}
)

// firstReset returns when a caller that sends packets at the times gets the first reset, or -1.
func firstReset(s *Set, times ...time.Duration) time.Duration {
	for _, at := range times {
		if s.MayReset(key, start.Add(at), ending.ResetDelay) {
			return at
		}
	}
	return -1
}

// TestPauseBeginsNewSearch guards against the reset of an open flow on its first unclaimed packet after a
// pause, because the flow had been unclaimed for a moment some time before.
func TestPauseBeginsNewSearch(t *testing.T) {
	for _, pause := range []time.Duration{2500 * time.Millisecond, 20 * time.Second, 3 * time.Minute} {
		g, s := NewWithT(t), New()
		searches := 0
		absent := func() []string { searches++; return []string{"a-1"} }
		s.Record(key, start, absent)
		s.Record(key, start.Add(200*time.Millisecond), absent)
		g.Expect(searches).To(Equal(1))
		again := start.Add(200*time.Millisecond + pause)
		g.Expect(s.Record(key, again, absent).At).To(Equal(again), "pause of %v", pause)
		g.Expect(searches).To(Equal(2), "the agents that are away now")
		g.Expect(s.MayReset(key, again.Add(200*time.Millisecond), ending.ResetDelay)).To(BeFalse())
	}
}

// TestCallerThatRetransmitsIsReset guards against an ended flow that is not reset because each of its
// packets begins a new search.
func TestCallerThatRetransmitsIsReset(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name  string
		times []time.Duration
		want  time.Duration
	}{
		{"at most every 1.6 s", []time.Duration{0, 200 * ms, 600 * ms, 1400 * ms, 3000 * ms}, 3000 * ms},
		{"one packet lost", []time.Duration{0, 600 * ms, 1400 * ms, 3000 * ms}, 3000 * ms},
		{"late by a search", []time.Duration{0, 1990 * ms}, 1990 * ms},
		{"after 1 s, and twice that", []time.Duration{0, 1000 * ms, 3000 * ms}, 3000 * ms},
		{"after 1.4 s, and twice that", []time.Duration{0, 1400 * ms, 4200 * ms}, 4200 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(firstReset(New(), c.times...)).To(Equal(c.want))
		})
	}
}

// TestPostponedSearchGoesOn guards against a search that begins anew after each packet while an agent is
// away, so that it asks which agents are away again.
func TestPostponedSearchGoesOn(t *testing.T) {
	g, s := NewWithT(t), New()
	searches := 0
	for _, at := range []time.Duration{0, 200, 600, 1400, 3000, 4600, 6200, 7800} {
		now := start.Add(at * time.Millisecond)
		s.Record(key, now, func() []string { searches++; return nil })
		s.Postpone(key, now)
	}
	g.Expect(searches).To(Equal(1))
}

// TestExpire guards against the loss of a search that goes on, and against records that remain.
func TestExpire(t *testing.T) {
	g, s := NewWithT(t), New()
	g.Expect(firstReset(s, 0, 200*time.Millisecond, 600*time.Millisecond, 1400*time.Millisecond)).
		To(Equal(-1 * time.Nanosecond))
	s.Expire(start.Add(2900 * time.Millisecond))
	g.Expect(firstReset(s, 3*time.Second)).To(Equal(3 * time.Second))
	s.Expire(start.Add(time.Minute))
	g.Expect(s.searches).To(BeEmpty())
}
