package ending

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestOfHolder guards against a flow that is reset because this process does not know its holder, and
// against one that is never reset although its holder is gone.
func TestOfHolder(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for name, c := range map[string]struct {
		holder Holder
		want   Verdict
	}{
		"no configuration":                  {Holder{Recorded: true}, PassOn},
		"no configuration, holder ended":    {Holder{Recorded: true, ReturnsUntil: now.Add(-time.Hour)}, PassOn},
		"holder unknown":                    {Holder{Configured: true}, PassOn},
		"holder may return":                 {Holder{Configured: true, Recorded: true, ReturnsUntil: now.Add(1)}, Wait},
		"holder does not return":            {Holder{Configured: true, Recorded: true, ReturnsUntil: now}, Reset},
		"not ended, but no longer a holder": {Holder{Configured: true, Recorded: true}, Reset},
	} {
		t.Run(name, func(t *testing.T) { NewWithT(t).Expect(OfHolder(c.holder, now)).To(Equal(c.want)) })
	}
}

// TestOfUnclaimed guards against a reset while an agent may hold the flow, against a delay of one that
// certainly has ended, and against a flow that is never reset: only Away and Behind last longer than
// AnswerTime, and they have an end.
func TestOfUnclaimed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		duration := func(name string) time.Duration {
			bound := rapid.SampledFrom([]time.Duration{SettleTime, ResetDelay, AnswerTime}).Draw(t, name+"_bound")
			return time.Duration(rapid.Int64Range(0, int64(2*bound)).Draw(t, name))
		}
		u := Unclaimed{
			Uncertain: rapid.Bool().Draw(t, "uncertain"), Unanswered: rapid.Bool().Draw(t, "unanswered"),
			Away: rapid.Bool().Draw(t, "away"), Behind: rapid.Bool().Draw(t, "behind"),
			SinceJoin: duration("since_join"), For: duration("for"), AskedFor: duration("searched_for"),
		}
		verdict := OfUnclaimed(u)
		switch {
		case u.Away || u.Behind:
			g.Expect(verdict).To(Equal(Wait))
		case u.Unanswered && u.AskedFor < AnswerTime:
			g.Expect(verdict).To(Equal(Wait))
		case u.For >= ResetDelay:
			g.Expect(verdict).To(Equal(Reset))
		case u.Uncertain || u.SinceJoin < SettleTime:
			g.Expect(verdict).To(Equal(Wait))
		default:
			g.Expect(verdict).To(Equal(Reset))
		}
	})
}

// TestOfUnrouted guards against the reset of an open flow whose route may be in a later revision, against a
// SYN that is not refused at once without such a revision, and against a flow that is never reset.
func TestOfUnrouted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := Unrouted{
			Opens: rapid.Bool().Draw(t, "opens"), Behind: rapid.Bool().Draw(t, "behind"),
			Withdrawn: rapid.Bool().Draw(t, "withdrawn"), Confirmed: rapid.Bool().Draw(t, "confirmed"),
			For:          time.Duration(rapid.Int64Range(0, int64(2*RevisionTime)).Draw(t, "for")),
			RevisionTime: RevisionTime,
		}
		want := Wait
		switch {
		case u.Behind:
		case u.Opens, u.Withdrawn, u.Confirmed, u.For >= u.RevisionTime:
			want = Reset
		}
		NewWithT(t).Expect(OfUnrouted(u)).To(Equal(want))
	})
}

func BenchmarkOfUnclaimed(b *testing.B) {
	b.ReportAllocs()
	u := Unclaimed{SinceJoin: time.Second}
	for b.Loop() {
		if OfUnclaimed(u) != Reset {
			b.Fatal("not reset")
		}
	}
}
