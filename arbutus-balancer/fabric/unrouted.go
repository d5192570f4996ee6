package fabric

import (
	"time"

	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/protocol/frame"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/state/ending"
)

// WithRevisionTime sets how long it may take until the balancer learns of a later revision of the
// configuration. The default is ending.RevisionTime.
func WithRevisionTime(d time.Duration) Option { return func(f *Forwarder) { f.revisionTime = d } }

// refuse handles a packet to an endpoint without a route. It resets the packet's flow and counts it as
// refused, unless a later revision may have the route: such a flow may be open, as other balancers
// learn of that revision earlier. It returns the reason why the packet is not forwarded.
func (f *Forwarder) refuse(routes *state.Routes, p frame.Frame) ipv4.Reason {
	if routes.Revision.IsZero() {
		return dropService
	}
	now := f.now()
	evidence := ending.Unrouted{Opens: p.IsSYN(), Behind: f.isBehind(routes, now), RevisionTime: f.revisionTime}
	if !evidence.Opens && !evidence.Behind {
		f.addUnroutedEvidence(&evidence, routes, p, now)
	}
	switch {
	case ending.OfUnrouted(evidence) == ending.Reset:
		if f.reset(p) {
			f.refused.Inc(1)
			f.logReset(p, "no_route", "revision", routes.Revision)
		}
		return dropService
	case evidence.Behind:
		return dropBehind
	default:
		return dropUnconfirmed
	}
}

// isBehind reports whether a later revision is known to exist than that of the routes. They are rebuilt some
// milliseconds after a revision is adopted.
func (f *Forwarder) isBehind(routes *state.Routes, now time.Time) bool {
	return f.node.Config.Behind(now) || routes.Revision.Before(f.node.Config.Current().Order())
}

// addUnroutedEvidence adds what the balancer knows of an open flow without a route.
func (f *Forwarder) addUnroutedEvidence(u *ending.Unrouted, routes *state.Routes, p frame.Frame, now time.Time) {
	if f.placement == nil {
		u.Confirmed = true
		return
	}
	u.Withdrawn = routes.IsWithdrawn(p.Key.Service) || f.placement.hadHolder(p.Key)
	if u.Withdrawn {
		return
	}
	first := f.placement.unrouted.Record(p.Key, now, func() []string { return nil }).At
	u.Confirmed, u.For = !f.node.Config.ConfirmedAt().Before(first), now.Sub(first)
}

// hadHolder reports whether an agent is remembered that holds the flow, or held it.
func (p *placements) hadHolder(key ipv4.FlowKey) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.flows[key]
	return e != nil && e.accepted
}

// now returns the time by which flows are judged.
func (f *Forwarder) now() time.Time {
	if f.placement == nil {
		return time.Now()
	}
	return f.placement.now()
}
