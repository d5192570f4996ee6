package passthrough

import (
	"slices"
	"time"

	"github.com/uber-go/tally/v4"

	"arbutusfront.dev/common/coordination/config"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
	"arbutusfront.dev/common/state/admission"
	"arbutusfront.dev/common/state/demand"
)

// demandRecord records what becomes of requests by class. Without request classes, all requests
// have the zero class.
type demandRecord struct {
	*demand.Recorder
	codes   config.ClassCodes
	classes map[uint8]config.RequestClass
}

func newDemandRecord(s tally.Scope) demandRecord {
	return demandRecord{Recorder: demand.NewRecorder(demand.WithScope(s))}
}

// configure sets the request classes of the view.
func (d *demandRecord) configure(codes config.ClassCodes) { d.codes, d.classes = codes, codes.ByCode() }

func (d *demandRecord) kindOf(class uint8, remote bool) demand.Kind {
	return demand.Kind{Class: d.classes[class], Remote: remote}
}

// recordDemand counts a request for which a caller opens a flow. e.mu must be held.
func (e *Engine) recordDemand(r admission.Request, o demand.Outcome, now time.Time) {
	e.demand.Record(e.demand.kindOf(r.Class, r.Remote), o, now)
}

// recordWaited records the wait of a ticket that is admitted or refused now. e.mu must be held.
func (e *Engine) recordWaited(t admission.Ticket, now time.Time) {
	e.demand.RecordWait(e.demand.kindOf(t.Class, t.Remote), t.Expected, waitedOf(t, now), now)
}

// waitedOf returns how long the ticket has waited here.
func waitedOf(t admission.Ticket, now time.Time) time.Duration { return t.RequestAt(now).Age - t.Age }

// Demand returns what became of the requests of the classes that lacked capacity in the last ten
// seconds, for heartbeats.
func (e *Engine) Demand() []*controlv1.RequestDemand {
	e.mu.Lock()
	defer e.mu.Unlock()
	return demand.Encode(e.figures(e.now()), e.demand.codes)
}

// figures returns the figures of all request classes, with the requests that wait now. e.mu must be
// held.
func (e *Engine) figures(now time.Time) []demand.Figures {
	all := e.demand.Figures(now)
	add := func(class uint8, remote bool, n int) {
		kind := e.demand.kindOf(class, remote)
		i := slices.IndexFunc(all, func(f demand.Figures) bool { return f.Kind == kind })
		if i < 0 {
			i = len(all)
			all = append(all, demand.Figures{Kind: kind})
		}
		all[i].Waiting += n
	}
	e.queue.EachWaiting(add)
	for _, s := range e.pending {
		add(s.header.Class, false, 1)
	}
	return all
}
