package passthrough

import (
	"net/netip"
	"time"

	"arbutusfront.dev/common/protocol/capsule"
)

// loadReportLifetime is how long balancers treat a load report as valid. An older one needs no
// correction.
const loadReportLifetime = 2 * time.Second

// dueReports holds the balancers that get a load report once the backend server has capacity,
// by their address, and since when. What they know of this agent keeps new flows away: their
// last report showed more requests than slots, or a flow that they placed here was not admitted.
type dueReports map[netip.AddrPort]time.Time

// recordReport records the number of requests that the balancer learned with the report of a
// held flow.
func (r dueReports) recordReport(to netip.AddrPort, requests, slots int, now time.Time) {
	if requests > slots {
		r[to] = now
	} else {
		delete(r, to)
	}
}

// recordNotAdmitted records that a flow which the balancer placed here was not admitted.
func (r dueReports) recordNotAdmitted(origin netip.AddrPort, now time.Time) {
	if origin.IsValid() {
		r[origin] = now
	}
}

// reportCapacity sends the due load reports if the backend server has a free slot and gets new
// flows. Otherwise balancers would leave it idle until what they know expires. e.mu must be
// held.
func (e *Engine) reportCapacity(now time.Time) {
	if len(e.dueReports) == 0 {
		return
	}
	l, slots := e.load(), e.server.Slots()
	if slots == 0 || l.Requests >= slots || e.refusal(e.node.View(), now) != "" {
		return
	}
	for to, since := range e.dueReports {
		delete(e.dueReports, to)
		if now.Sub(since) >= loadReportLifetime {
			continue
		}
		e.sendLoad(to, now)
	}
}

// sendLoad reports the backend server's load to a balancer. e.mu must be held.
func (e *Engine) sendLoad(to netip.AddrPort, now time.Time) {
	l := e.load()
	e.checkSend(to, e.forward(capsule.AppendLoad(nil, capsule.Load{
		Instance: e.self().Instance, Flows: uint32(l.Flows), Requests: uint32(l.Requests), Slots: uint32(e.server.Slots()),
		Estimate: e.estimateFor(to, now),
	}), to))
}
