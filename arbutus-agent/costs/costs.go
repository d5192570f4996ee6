// Package costs connects an agent's estimator with what the agents of its service have learned of
// the cost of requests.
//
// # Usage
//
//	c := costs.New(estimator)
//	c.Apply(view.Config.Classes, view.Costs, now)
//	report.Costs = c.Learned(now)
//
// An agent tells its balancers the mean durations of the classes of which it has answered requests
// itself, never those that it was told: they would else be passed around and not expire.
package costs

import (
	"maps"
	"slices"
	"time"

	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/learned"
	"arbutusfront.dev/common/state/cost"
)

type (
	// Costs matches the costs of a service's classes with the codes by which the estimator knows
	// the classes. It is not safe for concurrent use.
	Costs struct {
		estimator *cost.Estimator
		classes   []config.RequestClass
		// applied are the costs that were applied last.
		applied []learned.Cost
		// byCode has, for each code that was ever in force, the class that it stood for last. It
		// is kept when the class is removed, as the class may return.
		byCode map[uint8]*class
		// codes are those of the current classes, in order.
		codes []uint8
		// last is the code of the last cost that Learned has returned.
		last uint8
	}

	// class is a class, the number of its requests that the estimator has recorded, and when that
	// number was last seen to have grown.
	class struct {
		key        config.ClassKey
		recorded   uint64
		recordedAt time.Time
	}
)

// New returns the costs of the estimator, without classes.
func New(e *cost.Estimator) *Costs { return &Costs{estimator: e, byCode: make(map[uint8]*class)} }

// Apply sets the classes, and seeds the estimator with the costs of those of which it has recorded
// no request yet, and returns the number of these classes. It does nothing if it was called with
// the same slices before, so that it can be called for each SYN.
//
// A cost is matched to a class by its key. If a code stands for another class than before, what the
// estimator has learned for the code is forgotten.
func (c *Costs) Apply(classes []config.RequestClass, costs []learned.Cost, now time.Time) int {
	if isSame(c.classes, classes) && isSame(c.applied, costs) {
		return 0
	}
	if !slices.Equal(c.classes, classes) {
		c.configure(classes)
	}
	c.classes, c.applied = classes, costs
	return c.seed(now)
}

// isSame reports whether a and b are the same slice.
func isSame[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (c *Costs) configure(classes []config.RequestClass) {
	byCode := config.NewClassCodes(classes).ByCode()
	c.codes = slices.Sorted(maps.Keys(byCode))
	for code, requests := range byCode {
		key := requests.Key()
		if known := c.byCode[code]; known != nil && known.key == key {
			continue
		}
		// Requests of this code may also have been recorded before the code was known here, by a
		// balancer with a later revision. They are those of the new class.
		if c.byCode[code] != nil {
			c.estimator.Forget(code)
		}
		c.byCode[code] = &class{key: key}
	}
}

// seed passes the valid costs of the current classes to the estimator, except those of classes of
// which it has samples, and returns their number.
func (c *Costs) seed(now time.Time) int {
	seeded, sampled := 0, c.estimator.Classes()
	means := make(map[config.ClassKey]time.Duration, len(c.applied))
	for _, known := range c.applied {
		if known.IsValid(now) {
			means[known.Class] = known.Mean
		}
	}
	for _, code := range c.codes {
		mean, ok := means[c.byCode[code].key]
		if _, known := sampled[code]; ok && !known {
			c.estimator.Seed(code, mean)
			seeded++
		}
	}
	return seeded
}

// Learned returns up to learned.PerHeartbeat costs that were learned from this agent's own
// requests, other ones with each call until all were returned.
func (c *Costs) Learned(now time.Time) []learned.Cost {
	means := c.estimator.Classes()
	var all []learned.Cost
	var codes []uint8
	for _, code := range c.codes {
		k := c.byCode[code]
		if n := c.estimator.Recorded(code); n != k.recorded {
			k.recorded, k.recordedAt = n, now
		}
		if cost := (learned.Cost{Class: k.key, Mean: means[code], LearnedAt: k.recordedAt}); cost.IsValid(now) {
			all, codes = append(all, cost), append(codes, code)
		}
	}
	first, _ := slices.BinarySearch(codes, c.last+1)
	var out []learned.Cost
	for i := range min(len(all), learned.PerHeartbeat) {
		at := (first + i) % len(all)
		out = append(out, all[at])
		c.last = codes[at]
	}
	return out
}
