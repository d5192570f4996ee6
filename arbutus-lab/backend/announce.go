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
	// lingerTime is how long an ended flow remains held, so that its late packets still
	// reach the TCP stack.
	lingerTime = 3 * time.Second
)

// afterLinger calls f after lingerTime.
func afterLinger(f func()) { time.AfterFunc(lingerTime, f) }

// Announce sends an announcement of the backend server to the agent's control address
// every announceInterval until ctx is canceled. A failed announcement is not retried
// before the next interval.
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

// announce sends one announcement and ignores errors.
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
	if resp, err := c.Do(r); err == nil {
		_ = resp.Body.Close()
	}
}
