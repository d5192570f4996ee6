package ending

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
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
