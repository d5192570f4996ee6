package demand

import (
	"math"

	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/protocol/capsule"
)

type (
	// ClassDump is a request class in state dumps. It is zero if the class is unknown.
	ClassDump struct {
		TargetLatencyMillis int  `json:"target_latency_millis"`
		TimeoutMillis       int  `json:"timeout_millis"`
		Priority            int  `json:"priority"`
		Repeatable          bool `json:"repeatable"`
	}

	// Dump are the figures of one kind in state dumps.
	Dump struct {
		Service string `json:"service,omitempty"`
		ClassDump
		// OtherDomain is set if the callers belong to another failure domain.
		OtherDomain   bool           `json:"other_domain"`
		Waiting       int            `json:"waiting"`
		Admitted      int            `json:"admitted"`
		Waited        int            `json:"waited"`
		Deferred      int            `json:"deferred"`
		PassedOn      int            `json:"passed_on"`
		Refused       map[string]int `json:"refused"`
		WaitMillis    int64          `json:"wait_millis"`
		AllowedMillis int64          `json:"allowed_millis"`
	}
)

// DumpClass returns the class for a state dump.
func DumpClass(c config.RequestClass) ClassDump {
	return ClassDump{
		TargetLatencyMillis: c.TargetLatencyMillis, TimeoutMillis: c.TimeoutMillis,
		Priority: c.Priority, Repeatable: c.Repeatable,
	}
}

// Dump returns the figures for a state dump.
func (f Figures) Dump() Dump {
	d := Dump{
		Service: f.Service, ClassDump: DumpClass(f.Class), OtherDomain: f.Remote, Waiting: f.Waiting,
		Admitted: f.Admitted, Waited: f.Waited, Deferred: f.Deferred, PassedOn: f.PassedOn,
		Refused:    make(map[string]int, len(f.Refused)),
		WaitMillis: f.Last.Wait.Milliseconds(), AllowedMillis: f.Last.Allowed.Milliseconds(),
	}
	for reason, n := range f.Refused {
		d.Refused[reason.String()] += n
	}
	return d
}

type (
	// EstimateDump is an agent's estimate in state dumps.
	EstimateDump struct {
		WaitMicros    int64         `json:"wait_micros"`
		PenaltyMicros int64         `json:"penalty_micros"`
		ServiceMicros int64         `json:"service_micros"`
		Busy          float64       `json:"busy"`
		Refusals      []RefusedDump `json:"refusals"`
	}

	// RefusedDump is a class that an agent refuses, and for how long from the report on: for
	// flows placed in their own failure domain, and for those placed in another one.
	RefusedDump struct {
		ClassDump
		OwnMillis         int64 `json:"own_millis"`
		OtherDomainMillis int64 `json:"other_domain_millis"`
	}
)

// DumpEstimate returns the estimate for a state dump. The function classOf returns the class of a
// code.
func DumpEstimate(e capsule.Estimate, classOf func(code uint8) config.RequestClass) EstimateDump {
	d := EstimateDump{
		WaitMicros: e.Wait.Microseconds(), PenaltyMicros: e.Penalty.Microseconds(),
		ServiceMicros: e.Service.Microseconds(), Busy: Rounded(e.Busy),
	}
	for _, r := range e.Refusals {
		d.Refusals = append(d.Refusals, RefusedDump{
			ClassDump: DumpClass(classOf(r.Class)),
			OwnMillis: r.Own.Milliseconds(), OtherDomainMillis: r.Remote.Milliseconds(),
		})
	}
	return d
}

// Rounded returns the number to thousandths, for dumps. More digits would depend on the processor.
func Rounded(x float64) float64 { return math.Round(1000*x) / 1000 }
