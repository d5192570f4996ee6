package observe

import (
	"sync"

	"github.com/uber-go/tally/v4"

	"arbutusfront.dev/common/protocol/link"
)

// DatagramDropCounter returns a function that counts dropped datagrams by reason.
func DatagramDropCounter(s tally.Scope) func(link.DropReason) {
	counters := make(map[link.DropReason]tally.Counter)
	for _, d := range []link.DropReason{link.DropMalformed, link.DropForged, link.DropHeader} {
		counters[d] = s.Tagged(map[string]string{"reason": string(d)}).Counter("datagrams_dropped")
	}
	return func(d link.DropReason) { counters[d].Inc(1) }
}

// PacketDropCounter returns a function that returns the counter of packets dropped for a
// reason. The function creates the counter on first use. It is safe for concurrent use.
func PacketDropCounter(s tally.Scope) func(reason string) tally.Counter {
	var mu sync.Mutex
	counters := make(map[string]tally.Counter)
	return func(reason string) tally.Counter {
		mu.Lock()
		defer mu.Unlock()
		c, ok := counters[reason]
		if !ok {
			c = s.Tagged(map[string]string{"reason": reason}).Counter("packets_dropped")
			counters[reason] = c
		}
		return c
	}
}

// ControlCounters returns two functions that count control messages and their bytes,
// one for messages sent and one for messages read. Each takes the size of one datagram.
func ControlCounters(s tally.Scope) (sent, read func(bytes int)) {
	return messageCounter(s, "sent"), messageCounter(s, "read")
}

func messageCounter(s tally.Scope, direction string) func(bytes int) {
	messages := s.Counter("control_messages_" + direction)
	total := s.Counter("control_bytes_" + direction)
	return func(n int) {
		messages.Inc(1)
		total.Inc(int64(n))
	}
}
