package state

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/learned"
	"arbutusfront.dev/common/protocol/capsule"
)

const (
	// maxCosts bounds the costs that a balancer knows, which come from outside the process.
	maxCosts = 8192
	// costWeight is the weight of one report in the moving average of a cost. Backend servers
	// differ in speed, and their agents report in turn, several times a second in total.
	costWeight = 1.0 / 16
)

type (
	// Costs are the costs of requests that agents have learned, by service and class. It is safe
	// for concurrent use. The configuration in force does not matter: a class that is unknown to
	// this balancer may belong to a later revision, and one that is removed may return.
	Costs struct {
		mu    sync.Mutex
		known map[costKey]learned.Cost
		// last is the key of the last cost that Next has returned.
		last costKey
	}

	costKey struct {
		service capsule.ServiceKey
		class   config.ClassKey
	}
)

// NewCosts returns an empty set of costs.
func NewCosts() *Costs { return &Costs{known: make(map[costKey]learned.Cost)} }

func keyOf(c learned.Cost) costKey { return costKey{service: c.Service, class: c.Class} }

func (k costKey) compare(other costKey) int {
	return cmp.Or(cmp.Compare(k.service, other.service), cmp.Compare(k.class, other.class))
}

// Learn adds a cost that another process has reported, or an earlier run has stored. One that is
// not younger than what is known changes nothing: it was passed on, or repeated.
func (t *Costs) Learn(c learned.Cost, now time.Time) {
	if !c.IsValid(now) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.known[keyOf(c)]
	switch {
	case !ok && !t.hasRoom(c.Service):
		return
	case ok && !c.LearnedAt.After(known.LearnedAt):
		return
	case ok && known.IsValid(now):
		c.Mean = known.Mean + time.Duration(costWeight*float64(c.Mean-known.Mean))
	}
	t.known[keyOf(c)] = c
}

// hasRoom reports whether another cost of the service may be added. t.mu must be held.
func (t *Costs) hasRoom(service capsule.ServiceKey) bool {
	if len(t.known) >= maxCosts {
		return false
	}
	n := 0
	for k := range t.known {
		if k.service == service {
			n++
		}
	}
	return n < learned.MaxPerService
}

// Of returns the valid costs of the service for the given classes, without the service.
func (t *Costs) Of(service capsule.ServiceKey, classes []config.RequestClass, now time.Time) []learned.Cost {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []learned.Cost
	for _, class := range classes {
		if c, ok := t.known[costKey{service: service, class: class.Key()}]; ok && c.IsValid(now) {
			out = append(out, c.WithService(0))
		}
	}
	return out
}

// Latest returns all valid costs, those first that were learned last. Costs that were learned in
// the same second are ordered by key, so that the order depends on what is stored of them only.
func (t *Costs) Latest(now time.Time) []learned.Cost {
	out := t.valid(now)
	slices.SortFunc(out, func(a, b learned.Cost) int {
		return cmp.Or(cmp.Compare(b.LearnedAt.Unix(), a.LearnedAt.Unix()), keyOf(a).compare(keyOf(b)))
	})
	return out
}

// Next returns up to n valid costs, other ones with each call until all were returned.
func (t *Costs) Next(n int, now time.Time) []learned.Cost {
	all := t.valid(now)
	slices.SortFunc(all, func(a, b learned.Cost) int { return keyOf(a).compare(keyOf(b)) })
	t.mu.Lock()
	defer t.mu.Unlock()
	first, _ := slices.BinarySearchFunc(all, t.last, func(c learned.Cost, k costKey) int {
		// The last one itself counts as before the first.
		return cmp.Or(keyOf(c).compare(k), -1)
	})
	var out []learned.Cost
	for i := range min(n, len(all)) {
		out = append(out, all[(first+i)%len(all)])
	}
	if len(out) > 0 {
		t.last = keyOf(out[len(out)-1])
	}
	return out
}

// Expire removes the costs that are too old to be used.
func (t *Costs) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.known, func(_ costKey, c learned.Cost) bool { return !c.IsValid(now) })
}

func (t *Costs) valid(now time.Time) []learned.Cost {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]learned.Cost, 0, len(t.known))
	for _, c := range t.known {
		if c.IsValid(now) {
			out = append(out, c)
		}
	}
	return out
}
