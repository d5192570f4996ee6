package backend

import (
	"bytes"
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-json-experiment/json"

	passserve "arbutusfront.dev/arbutus-agent/passthrough/serve"
	"arbutusfront.dev/common/transport/wait"
)

const (
	announceInterval = 400 * time.Millisecond
	announceTimeout  = time.Second
	// lateBound is how long late packets of an ended flow are awaited.
	lateBound = 3 * time.Second
)

func lateAfter(f func()) { time.AfterFunc(lateBound, f) }

// Announce tells the agent at the control address of the backend server until ctx ends.
// A failure is repeated at the next interval.
func (s *Server) Announce(ctx context.Context, c *http.Client, control netip.AddrPort) {
	body := passserve.AnnouncementBody{StartedUnixMillis: time.Now().UnixMilli(), Slots: cap(s.slots)}
	for {
		body.Sequence++
		s.announce(ctx, c, control, body)
		if !wait.For(ctx, announceInterval) {
			return
		}
	}
}

func (s *Server) announce(
	ctx context.Context, c *http.Client, control netip.AddrPort, body passserve.AnnouncementBody,
) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	b, err := json.Marshal(body)
	if err != nil {
		return
	}
	url := "http://" + control.String() + "/announcements/" + s.name
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(b))
	if err != nil {
		return
	}
	if answer, err := c.Do(r); err == nil {
		_ = answer.Body.Close()
	}
}
