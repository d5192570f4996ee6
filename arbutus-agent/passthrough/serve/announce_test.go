package serve

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/arbutus-agent/passthrough"
)

// TestReadAnnouncement guards against announcements that are applied although they are
// malformed or have unknown fields.
func TestReadAnnouncement(t *testing.T) {
	g := NewWithT(t)
	a, err := readAnnouncement(strings.NewReader(
		`{"born_unix_millis": 1700000000000, "sequence": 3, "draining": true, "cold_millis": 250, "slots": 4}`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a).To(Equal(passthrough.Announcement{
		StartedUnixMillis: 1_700_000_000_000, Sequence: 3, Draining: true, ColdFor: 250 * time.Millisecond, Slots: 4,
	}))
	for _, bad := range []string{
		"", "\x00", `{"sequence": "three"}`, `{"sequenze": 3}`, `{"slots": 1e99}`, `{"cold_millis": 9223372036854775807}`,
		`{"cold_millis": -1}`, `{"slots":` + strings.Repeat("[", 8000) + strings.Repeat("]", 8000) + `}`,
	} {
		_, err := readAnnouncement(strings.NewReader(bad))
		g.Expect(err).To(HaveOccurred(), bad)
	}
}
