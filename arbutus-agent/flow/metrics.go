package flow

import (
	"github.com/uber-go/tally/v4"

	"arbutusfront.dev/common/state/observe"
)

func newMetrics(s tally.Scope) metrics {
	return metrics{
		admitted:    s.Counter("flows_admitted"),
		forwarded:   s.Counter("packets_passed_on"),
		refused:     s.Counter("flows_refused"),
		notAccepted: s.Counter("flows_not_accepted"),
		resets:      s.Counter("orphans_reset"),
		delivered:   s.Counter("packets_delivered"),
		uploadsCut:  s.Counter("uploads_cut"),
		dropped:     observe.PacketDropCounter(s),
	}
}
