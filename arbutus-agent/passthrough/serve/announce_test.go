package serve

import (
	"bytes"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/go-json-experiment/json"
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

// TestIncompleteAnnouncementIsNotRead guards against an announcement that lacks a field, as only
// another writer's does, and is read with a zero in its place: a later start ends the flows of the
// true run.
func TestIncompleteAnnouncementIsNotRead(t *testing.T) {
	g := NewWithT(t)
	complete := map[string]any{
		"born_unix_millis": 1_700_000_000_000, "sequence": 3, "draining": false, "cold_millis": 0, "slots": 4,
	}
	for field := range complete {
		for name, change := range map[string]func(map[string]any){
			"missing": func(body map[string]any) { delete(body, field) },
			"null":    func(body map[string]any) { body[field] = nil },
		} {
			body := maps.Clone(complete)
			change(body)
			b, err := json.Marshal(body)
			g.Expect(err).NotTo(HaveOccurred())
			_, err = readAnnouncement(bytes.NewReader(b))
			g.Expect(err).To(MatchError(ContainSubstring(field)), name)
		}
	}
}
