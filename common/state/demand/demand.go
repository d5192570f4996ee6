// Package demand counts what became of the requests for which callers open flows, for operators:
// in the last ten seconds by request class, and since the start in the metrics.
//
// # Usage
//
//	r := demand.NewRecorder(demand.WithScope(scope))
//	r.Record(kind, demand.Admitted, now)
//	r.RecordRefused(kind, demand.Refusal{Reason: demand.NoCapacityInTime, Wait: wait, Allowed: allowed}, now)
//	figures := r.Figures(now)
//
// Agents send the figures of the classes that lack capacity with their heartbeats, and balancers
// return them with their status.
package demand

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"arbutusfront.dev/common/coordination/config"
)

const (
	// Window is the time that the figures cover, to the second.
	Window = buckets * time.Second
	// buckets is the number of seconds for which counts are kept.
	buckets = 10
	// maxKinds bounds the memory. The requests of further kinds are counted as of the zero Kind.
	maxKinds = 512
)

// Outcomes of requests, besides refusals.
const (
	// Admitted means that the backend server got the request, at once or after a wait.
	Admitted Outcome = iota
	// Waited means that the request had to wait, whatever became of it then.
	Waited
	// Deferred means that the request got nothing, and its caller repeats it in time.
	Deferred
	// PassedOn means that the request was offered to another agent for lack of capacity.
	PassedOn
	outcomes
)

// Reasons for a refusal. The numbers are those of controlv1.RefusalReason.
const (
	// NoCapacityInTime means that the request can't be answered within its target latency.
	NoCapacityInTime Reason = iota + 1
	// WaitedTooLong means that the request waited until its caller would have given up.
	WaitedTooLong
	// NoAgentAdmits means that no agent of the service admits new flows.
	NoAgentAdmits
	// AllServersBusy means that all backend servers of a service without request classes are at
	// capacity.
	AllServersBusy
	// AllAgentsRefuse means that all agents of the service have told a balancer that they refuse
	// the class.
	AllAgentsRefuse
	reasons
)

type (
	// Outcome is what became of a request.
	Outcome uint8

	// Reason is why a request was refused.
	Reason uint8

	// Kind are the requests that are counted together.
	Kind struct {
		// Service is the name of the service at a balancer, and empty at an agent.
		Service string
		// Class is zero if nothing is known of the requests.
		Class config.RequestClass
		// Remote is set if the callers belong to another failure domain.
		Remote bool
	}

	// Refusal is why a request was refused.
	Refusal struct {
		Reason Reason
		// Wait is how long the request was expected to wait, and Allowed the longest wait with
		// which it would have been answered in time; zero if unknown. At a balancer, Allowed is
		// what was left of the target latency: it does not know what else the agents consider.
		Wait, Allowed time.Duration
	}

	// Figures are the numbers of requests of one kind in the last ten seconds, but Waiting, which
	// is the number of those that wait now.
	Figures struct {
		Kind
		Waiting                              int
		Admitted, Waited, Deferred, PassedOn int
		// Refused has the number of refused requests by reason.
		Refused map[Reason]int
		// Last is the last refusal.
		Last Refusal
	}

	// Recorder counts requests. It is safe for concurrent use.
	Recorder struct {
		scope tally.Scope

		mu    sync.Mutex
		kinds map[Kind]*record
	}

	// record has the counts of one kind by second.
	record struct {
		seconds [buckets]second
		last    Refusal
		metrics metrics
	}

	// second has the counts of one second, given as a Unix time.
	second struct {
		unix     int64
		outcomes [outcomes]uint32
		refused  [reasons]uint32
	}

	// Option configures a Recorder.
	Option func(*Recorder)
)

// WithScope sets the scope of the metrics.
func WithScope(s tally.Scope) Option { return func(r *Recorder) { r.scope = s } }

// NewRecorder returns a recorder without counts.
func NewRecorder(opts ...Option) *Recorder {
	r := &Recorder{scope: tally.NoopScope, kinds: make(map[Kind]*record)}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Record counts a request.
func (r *Recorder) Record(k Kind, o Outcome, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.ensure(k, now)
	known.at(now).outcomes[o]++
	known.metrics.outcome(o).Inc(1)
}

// RecordRefused counts a refused request.
func (r *Recorder) RecordRefused(k Kind, refusal Refusal, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.ensure(k, now)
	known.at(now).refused[refusal.Reason]++
	known.last = refusal
	known.metrics.refusal(refusal.Reason).Inc(1)
}

// RecordWait records how long a request was expected to wait, and how long it did until it was
// admitted or refused.
func (r *Recorder) RecordWait(k Kind, expected, actual time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ensure(k, now).metrics.recordWait(expected, actual)
}

// ensure returns the record of the kind, or that of the zero Kind if there are too many. mu must be
// held.
func (r *Recorder) ensure(k Kind, now time.Time) *record {
	known := r.kinds[k]
	if known == nil && len(r.kinds) >= maxKinds {
		r.removeUnused(now)
	}
	if known == nil && len(r.kinds) >= maxKinds {
		k = Kind{}
		known = r.kinds[k]
	}
	if known == nil {
		known = &record{metrics: newMetrics(r.scope, k)}
		r.kinds[k] = known
	}
	return known
}

func (r *Recorder) removeUnused(now time.Time) {
	for k, known := range r.kinds {
		if known.figures(k, now).total() == 0 {
			delete(r.kinds, k)
		}
	}
}

// Figures returns the figures of all kinds that have any, ordered by service, class and origin.
func (r *Recorder) Figures(now time.Time) []Figures {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeUnused(now)
	all := make([]Figures, 0, len(r.kinds))
	for k, known := range r.kinds {
		all = append(all, known.figures(k, now))
	}
	slices.SortFunc(all, func(a, b Figures) int { return a.Compare(b.Kind) })
	return all
}

// at returns the counts of the current second.
func (r *record) at(now time.Time) *second {
	s := &r.seconds[uint64(now.Unix())%buckets]
	if s.unix != now.Unix() {
		*s = second{unix: now.Unix()}
	}
	return s
}

func (r *record) figures(k Kind, now time.Time) Figures {
	f := Figures{Kind: k, Last: r.last}
	for i := range r.seconds {
		s := &r.seconds[i]
		if now.Unix()-s.unix >= buckets {
			continue
		}
		f.Admitted += int(s.outcomes[Admitted])
		f.Waited += int(s.outcomes[Waited])
		f.Deferred += int(s.outcomes[Deferred])
		f.PassedOn += int(s.outcomes[PassedOn])
		for reason, n := range s.refused {
			f.addRefused(Reason(reason), int(n))
		}
	}
	if f.RefusedTotal() == 0 {
		f.Last = Refusal{}
	}
	return f
}

func (f *Figures) addRefused(reason Reason, n int) {
	if n == 0 {
		return
	}
	if f.Refused == nil {
		f.Refused = make(map[Reason]int)
	}
	f.Refused[reason] += n
}

// RefusedTotal returns the number of refused requests.
func (f Figures) RefusedTotal() int {
	n := 0
	for _, count := range f.Refused {
		n += count
	}
	return n
}

// Plus returns the sum of two figures, with the kind of f. The last refusal is that of the figures
// with the most refused requests.
func (f Figures) Plus(other Figures) Figures {
	if other.RefusedTotal() > f.RefusedTotal() {
		f.Last = other.Last
	}
	f.Waiting += other.Waiting
	f.Admitted += other.Admitted
	f.Waited += other.Waited
	f.Deferred += other.Deferred
	f.PassedOn += other.PassedOn
	sum := Figures{}
	for reason, n := range f.Refused {
		sum.addRefused(reason, n)
	}
	for reason, n := range other.Refused {
		sum.addRefused(reason, n)
	}
	f.Refused = sum.Refused
	return f
}

// total returns the number of requests, where some count twice.
func (f Figures) total() int { return f.Admitted + f.affected() }

// affected returns the number of requests that lacked capacity, where some count twice.
func (f Figures) affected() int {
	return f.Waiting + f.Waited + f.Deferred + f.PassedOn + f.RefusedTotal()
}

// Compare orders kinds by service, class and origin.
func (k Kind) Compare(other Kind) int {
	return cmp.Or(
		cmp.Compare(k.Service, other.Service), k.Class.Compare(other.Class), cmp.Compare(rank(k.Remote), rank(other.Remote)),
	)
}

func rank(b bool) int {
	if b {
		return 1
	}
	return 0
}
