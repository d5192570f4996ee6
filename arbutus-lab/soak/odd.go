package soak

import (
	"bytes"
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

// oddAnnouncements are the bodies of announcements in a backend server's name that another writer
// sends, by the variant of the event.
var oddAnnouncements = map[string]string{
	"nested":    `{"slots": ` + strings.Repeat("[", oddDepth) + strings.Repeat("]", oddDepth) + `}`,
	"born":      fmt.Sprintf(`{"born_unix_millis": %d, "sequence": 1, "draining": true, "slots": 1}`, math.MaxInt64),
	"sequence":  `{"born_unix_millis": 1, "sequence": 18446744073709551615, "draining": true, "slots": 1}`,
	"slots":     fmt.Sprintf(`{"born_unix_millis": 1, "sequence": 1, "slots": %d}`, math.MaxInt64),
	"cold":      fmt.Sprintf(`{"born_unix_millis": 1, "sequence": 1, "cold_millis": %d}`, math.MaxInt64),
	"no_number": `{"sequence": 1e999}`,
}

// announceOddly sends an odd announcement to the target's agent, in the name of its backend server.
// The calls of callers and the checks of the soak show whether it has an effect.
func (h *harness) announceOddly(ctx context.Context, e Event) error {
	call, cancel := context.WithTimeout(ctx, oddCallTimeout)
	defer cancel()
	url := "http://" + h.cluster.ControlAddress(e.Target).String() + "/announcements/" + e.Target
	r, err := http.NewRequestWithContext(call, http.MethodPut, url, bytes.NewReader([]byte(oddAnnouncements[e.How])))
	if err != nil {
		return err
	}
	// The agent may be down or paused by another fault.
	if response, err := network.System().HTTP1Client().Do(r); err == nil {
		if err := response.Body.Close(); err != nil {
			return err
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
		swap, err := s.CompareAndSwap(ctx, kvstore.Write{Key: key, Value: []byte(oddAnnouncements["nested"])})
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
