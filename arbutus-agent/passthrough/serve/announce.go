package serve

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-kit/log/level"

	"arbutusfront.dev/arbutus-agent/passthrough"
	"arbutusfront.dev/common/protocol/number"
	"arbutusfront.dev/common/protocol/strictjson"
)

const (
	patternAnnounce = "PUT /announcements/{id}"
	patternWithdraw = "DELETE /announcements/{id}"

	// maxAnnouncementBytes limits how much of an announcement's body is read.
	maxAnnouncementBytes = 16 << 10
	// maxErrorBytes bounds the part of an error that is logged and returned: the position in
	// a deeply nested body can take megabytes.
	maxErrorBytes = 200
)

type (
	// AnnouncementBody is the body of an announcement, which a backend server sends to its
	// agent's control address.
	AnnouncementBody struct {
		StartedUnixMillis int64  `json:"born_unix_millis"`
		Sequence          uint64 `json:"sequence"`
		Draining          bool   `json:"draining"`
		ColdMillis        int64  `json:"cold_millis"`
		Slots             int    `json:"slots"`
	}

	// receivedBody is an AnnouncementBody of which fields may be missing, as in one that
	// another writer sent.
	receivedBody struct {
		StartedUnixMillis *int64  `json:"born_unix_millis"`
		Sequence          *uint64 `json:"sequence"`
		Draining          *bool   `json:"draining"`
		ColdMillis        *int64  `json:"cold_millis"`
		Slots             *int    `json:"slots"`
	}
)

// registerAnnouncements registers the handlers for the backend server's announcements.
func (s *Server) registerAnnouncements(mux *http.ServeMux) {
	mux.HandleFunc(patternAnnounce, func(w http.ResponseWriter, r *http.Request) {
		a, err := readAnnouncement(r.Body)
		if err != nil {
			reason := shorten(err.Error())
			s.backend.Reject(passthrough.Unreadable)
			_ = level.Warn(s.log).Log("event", "announcement_unreadable", "id", shorten(r.PathValue("id")), "err", reason)
			http.Error(w, reason, http.StatusBadRequest)
			return
		}
		a.ID = r.PathValue("id")
		if !s.backend.Announce(a) {
			http.Error(w, "a later announcement of this backend server is known", http.StatusConflict)
		}
	})
	mux.HandleFunc(patternWithdraw, func(_ http.ResponseWriter, r *http.Request) { s.backend.Withdraw(r.PathValue("id")) })
}

func shorten(s string) string { return s[:min(len(s), maxErrorBytes)] }

// readAnnouncement returns the announcement with the body that r contains, without an ID. It
// returns an error if the body can't be decoded, lacks a field or the warm-up time is out of range;
// the record of the backend server checks the other numbers.
func readAnnouncement(r io.Reader) (passthrough.Announcement, error) {
	b, err := io.ReadAll(io.LimitReader(r, maxAnnouncementBytes))
	if err != nil {
		return passthrough.Announcement{}, Error.Wrap(err)
	}
	var body receivedBody
	if err := json.Unmarshal(b, &body, json.RejectUnknownMembers(true)); err != nil {
		return passthrough.Announcement{}, Error.Wrap(err)
	}
	if missing := strictjson.Missing(body); len(missing) > 0 {
		return passthrough.Announcement{}, Error.New("announcement lacks %s", strings.Join(missing, ", "))
	}
	cold, err := number.Duration(float64(*body.ColdMillis), time.Millisecond, passthrough.MaxColdFor)
	if err != nil {
		return passthrough.Announcement{}, Error.New("cold_millis: %w", err)
	}
	return passthrough.Announcement{
		StartedUnixMillis: *body.StartedUnixMillis,
		Sequence:          *body.Sequence,
		Draining:          *body.Draining,
		ColdFor:           cold,
		Slots:             *body.Slots,
	}, nil
}
