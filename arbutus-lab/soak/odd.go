package soak

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"strings"
	"time"

	kvstore "arbutusfront.dev/common/coordination/store"
	"arbutusfront.dev/common/transport/network"
	"arbutusfront.dev/common/transport/wait"
)

const (
	// oddDepth is the nesting of an odd announcement, whose body may have 16 KiB.
	oddDepth = 7000
	// oddCallTimeout bounds the call with an odd announcement.
	oddCallTimeout = time.Second
)

// oddAnnouncements return the bodies of announcements in a backend server's name that another
// writer sends at a time, by the variant of the event.
var oddAnnouncements = map[string]func(now time.Time) string{
	"nested":    func(time.Time) string { return nestedBody },
	"born":      func(time.Time) string { return drainingBody(math.MaxInt64, 1, 0, 1) },
	"sequence":  func(time.Time) string { return drainingBody(1, math.MaxUint64, 0, 1) },
	"slots":     func(time.Time) string { return drainingBody(1, 1, 0, math.MaxInt64) },
	"cold":      func(time.Time) string { return drainingBody(1, 1, math.MaxInt64, 1) },
	"no_number": func(time.Time) string { return `{"sequence": 1e999}` },
	// With the missing field it would be the first announcement of a new run.
	"incomplete": func(now time.Time) string {
		return fmt.Sprintf(
			`{"born_unix_millis": %d, "sequence": 1, "draining": false, "slots": 1}`, now.UnixMilli())
	},
}

// nestedBody is the body of an announcement that is nested deeply.
var nestedBody = `{"slots": ` + strings.Repeat("[", oddDepth) + strings.Repeat("]", oddDepth) + `}`

// drainingBody returns the body of a draining backend server's announcement that lacks no field.
func drainingBody(born int64, sequence uint64, cold, slots int64) string {
	return fmt.Sprintf(
		`{"born_unix_millis": %d, "sequence": %d, "draining": true, "cold_millis": %d, "slots": %d}`,
		born, sequence, cold, slots)
}

// announceOddly sends an odd announcement to the target's agent, in the name of its backend server.
// It is a violation if the agent accepts it, and callers must not notice it either.
func (h *harness) announceOddly(ctx context.Context, e Event) error {
	call, cancel := context.WithTimeout(ctx, oddCallTimeout)
	defer cancel()
	url := "http://" + h.cluster.ControlAddress(e.Target).String() + "/announcements/" + e.Target
	body := oddAnnouncements[e.How](time.Now())
	r, err := http.NewRequestWithContext(call, http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	// The agent may be down or paused by another fault.
	if response, err := network.System().HTTP1Client().Do(r); err == nil {
		if err := response.Body.Close(); err != nil {
			return err
		}
		if response.StatusCode < http.StatusBadRequest {
			h.records.addViolationf("%s accepted an odd announcement (%s): status %d", e.Target, e.How, response.StatusCode)
		}
	}
	wait.For(ctx, e.For)
	return nil
}

// writeOddly writes odd entries beside those of balancers to the store, and removes them after the
// event's duration.
func (h *harness) writeOddly(ctx context.Context, e Event) error {
	client := network.System().HTTP2Client()
	defer client.CloseIdleConnections()
	s := kvstore.Connect(client, h.cluster.StoreURL())
	for _, key := range []string{
		kvstore.PrefixBalancers + "nowhere:99999",
		kvstore.PrefixBalancers + "0.0.0.0:0",
		kvstore.PrefixChunk + "odd",
		kvstore.DomainLedgers(h.targets.domains[0]) + "odd",
	} {
		swap, err := s.CompareAndSwap(ctx, kvstore.Write{Key: key, Value: []byte(nestedBody)})
		if err != nil {
			return err
		}
		defer func() {
			// The collector may have removed the entry.
			_, _ = s.CompareAndSwap(context.WithoutCancel(ctx), kvstore.Write{
				Key: key, ExpectedVersion: swap.Entry.Version, Delete: true,
			})
		}()
	}
	wait.For(ctx, e.For)
	return nil
}
