package serve

import (
	"io"
	"net/http"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-kit/log/level"

	"arbutusfront.dev/arbutus-agent/passthrough"
)

const (
	patternAnnounce = "PUT /announcements/{id}"
	patternWithdraw = "DELETE /announcements/{id}"

	// maxAnnouncementBytes limits how much of an announcement's body is read.
	maxAnnouncementBytes = 16 << 10
)

// AnnouncementBody is the body of an announcement, which a backend server sends to its
// agent's control address.
type AnnouncementBody struct {
	StartedUnixMillis int64  `json:"born_unix_millis"`
	Sequence          uint64 `json:"sequence"`
	Draining          bool   `json:"draining"`
	ColdMillis        int64  `json:"cold_millis"`
	Slots             int    `json:"slots"`
}

// registerAnnouncements registers the handlers for the backend server's announcements.
func (s *Server) registerAnnouncements(mux *http.ServeMux) {
	mux.HandleFunc(patternAnnounce, func(w http.ResponseWriter, r *http.Request) {
		body, err := readAnnouncement(r.Body)
		if err != nil {
			_ = level.Warn(s.log).Log("event", "announcement_unreadable", "id", r.PathValue("id"), "err", err)
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.backend.Announce(passthrough.Announcement{
			ID:                r.PathValue("id"),
			StartedUnixMillis: body.StartedUnixMillis,
			Sequence:          body.Sequence,
			Draining:          body.Draining,
			ColdFor:           time.Duration(body.ColdMillis) * time.Millisecond,
			Slots:             body.Slots,
		})
	})
	mux.HandleFunc(patternWithdraw, func(_ http.ResponseWriter, r *http.Request) { s.backend.Withdraw(r.PathValue("id")) })
}

func readAnnouncement(r io.Reader) (AnnouncementBody, error) {
	b, err := io.ReadAll(io.LimitReader(r, maxAnnouncementBytes))
	if err != nil {
		return AnnouncementBody{}, Error.Wrap(err)
	}
	var body AnnouncementBody
	return body, Error.Wrap(json.Unmarshal(b, &body, json.RejectUnknownMembers(true)))
}
