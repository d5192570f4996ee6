package newflow

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"arbutusfront.dev/common/protocol/capsule"
)

const (
	// originLifetime is how long after its last flow a balancer gets reports of refusals.
	originLifetime = 2 * time.Second
	// maxOrigins bounds the balancers that get such reports.
	maxOrigins = 16
	// reportInterval is the minimum time between two reports of refusals to a balancer.
	reportInterval = 20 * time.Millisecond
)

type (
	// Origins are the balancers that have recently placed flows here and read estimates, by
	// their address. It is not safe for concurrent use. Balancers of the terminating mode state no
	// origin, so there are none.
	Origins map[netip.AddrPort]*origin

	origin struct {
		placedAt, reportedAt time.Time
	}
)

// Record records the balancer that placed a flow here.
func (o Origins) Record(h capsule.Header, now time.Time) {
	if !h.Origin.IsValid() || !h.Marks.Has(capsule.MarkEstimates) {
		return
	}
	known := o[h.Origin]
	if known == nil {
		if len(o) >= maxOrigins {
			return
		}
		known = new(origin)
		o[h.Origin] = known
	}
	known.placedAt = now
}

// Has reports whether the balancer at the address gets estimates.
func (o Origins) Has(a netip.AddrPort) bool { return o[a] != nil }

// TakeDue returns the balancers that are to get a report of a refusal now, in order: each at most
// once in reportInterval.
func (o Origins) TakeDue(now time.Time) []netip.AddrPort {
	var due []netip.AddrPort
	for _, a := range slices.SortedFunc(maps.Keys(o), netip.AddrPort.Compare) {
		if known := o[a]; now.Sub(known.reportedAt) >= reportInterval {
			known.reportedAt = now
			due = append(due, a)
		}
	}
	return due
}

// Expire removes the balancers that have placed no flow here for originLifetime.
func (o Origins) Expire(now time.Time) {
	for a, known := range o {
		if now.Sub(known.placedAt) > originLifetime {
			delete(o, a)
		}
	}
}
