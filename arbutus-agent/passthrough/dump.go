package passthrough

import (
	"maps"
	"net/netip"
	"slices"

	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/state/demand"
)

type (
	// QueueDump is the state of the agent's queue, as shown in its dump.
	QueueDump struct {
		// ByTime is set if the service has request classes and the slots are known, so that the
		// queue decides on new flows. Otherwise the decisions are by counts.
		ByTime bool `json:"by_time"`
		Slots  int  `json:"slots"`
		// Running are the requests that the backend server works on, Queued those that it has
		// received beyond that, Opening the flows whose request is expected. Limit is their number
		// from which further requests wait.
		Running int `json:"running"`
		Queued  int `json:"queued"`
		Opening int `json:"opening"`
		Limit   int `json:"limit"`
		Waiting int `json:"waiting"`
		// HandshakeMicros is the time from an admission to the request, for callers of this
		// failure domain, and OtherHandshakeMicros for others.
		HandshakeMicros      int64 `json:"handshake_micros"`
		OtherHandshakeMicros int64 `json:"other_handshake_micros"`
		// Slowness is the ratio of the current durations to the usual ones.
		Slowness float64     `json:"slowness"`
		Lines    []lineDump  `json:"lines"`
		Classes  []classDump `json:"classes"`
		// Estimate is what balancers are told now, and Origins the balancers that have placed
		// flows here recently.
		Estimate demand.EstimateDump `json:"estimate"`
		Origins  []netip.AddrPort    `json:"origins"`
		// Demand is what became of requests in the last ten seconds.
		Demand []demand.Dump `json:"demand"`
	}

	// lineDump are the requests of one class that wait. Late is set if they can't be answered in
	// time.
	lineDump struct {
		demand.ClassDump
		OtherDomain  bool    `json:"other_domain"`
		Late         bool    `json:"late"`
		Waiting      int     `json:"waiting"`
		OldestMicros int64   `json:"oldest_micros"`
		WorkMicros   int64   `json:"work_micros"`
		Weight       float64 `json:"weight"`
		Offered      float64 `json:"offered"`
	}

	// classDump is the duration of the requests of one class: the mean, and what nine in ten do
	// not exceed. They are assumed unless Learned is set.
	classDump struct {
		demand.ClassDump
		MeanMicros int64 `json:"mean_micros"`
		HighMicros int64 `json:"high_micros"`
		Learned    bool  `json:"learned"`
	}
)

// DumpQueue returns the state of the queue.
func (e *Engine) DumpQueue() QueueDump {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	q := e.queue.Dump(now)
	d := QueueDump{
		ByTime: !e.without.admissionByTime && e.queue.Configured(),
		Slots:  e.server.Slots(), Running: q.Running, Queued: q.Queued, Opening: q.Opening, Limit: q.Limit,
		Waiting:         e.queue.Waiting() + len(e.pending),
		HandshakeMicros: q.Handshake.Microseconds(), OtherHandshakeMicros: q.RemoteHandshake.Microseconds(),
		Slowness: demand.Rounded(q.Slowness),
		Estimate: demand.DumpEstimate(e.queue.Estimate(now), e.classOf),
		Origins:  slices.SortedFunc(maps.Keys(e.origins), netip.AddrPort.Compare),
	}
	for _, l := range q.Lines {
		d.Lines = append(d.Lines, lineDump{
			ClassDump: e.dumpClass(l.Class), OtherDomain: l.Remote, Late: l.Late, Waiting: l.Waiting,
			OldestMicros: l.Oldest.Microseconds(), WorkMicros: l.Work.Microseconds(), Weight: demand.Rounded(l.Weight),
			Offered: demand.Rounded(l.Offered),
		})
	}
	for _, code := range slices.Sorted(maps.Keys(e.demand.classes)) {
		cost := e.queue.CostOf(code)
		d.Classes = append(d.Classes, classDump{
			ClassDump: e.dumpClass(code), MeanMicros: cost.Mean.Microseconds(), HighMicros: cost.High.Microseconds(),
			Learned: cost.Learned,
		})
	}
	for _, f := range e.figures(now) {
		d.Demand = append(d.Demand, f.Dump())
	}
	return d
}

func (e *Engine) classOf(code uint8) config.RequestClass { return e.demand.classes[code] }

func (e *Engine) dumpClass(code uint8) demand.ClassDump { return demand.DumpClass(e.classOf(code)) }
