package serve

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// TestReadAnnouncement guards against announcements that are applied although they are
// malformed or have unknown fields.
func TestReadAnnouncement(t *testing.T) {
	g := NewWithT(t)
	body, err := readAnnouncement(strings.NewReader(
		`{"born_unix_millis": 1700000000000, "sequence": 3, "draining": true, "cold_millis": 250, "slots": 4}`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal(AnnouncementBody{
		StartedUnixMillis: 1_700_000_000_000, Sequence: 3, Draining: true, ColdMillis: 250, Slots: 4,
	}))
	for _, bad := range []string{"", "\x00", `{"sequence": "three"}`, `{"sequenze": 3}`, `{"slots": 1e99}`} {
		_, err := readAnnouncement(strings.NewReader(bad))
		g.Expect(err).To(HaveOccurred(), bad)
	}
}
