// Package newflow has what both forwarding modes share in their decisions on new flows: the
// configuration of the queue from the agent's view, what other agents have learned of the cost of
// requests, the request that a SYN stands for, the rule by
// which a refused flow is offered to another agent, and the balancers that get reports of
// refusals.
//
// # Usage
//
//	q := newflow.NewQueue()
//	if q.Apply(view, slots, now) {
//		d := q.Decide(now, newflow.RequestOf(header, frame))
//		...
//	}
//	if c, ok := newflow.NextOffer(view, header, key); ok { forwardTo(c) }
package newflow

import (
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"arbutusfront.dev/arbutus-agent/costs"
	"arbutusfront.dev/arbutus-agent/state"
	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/learned"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/frame"
	"arbutusfront.dev/common/protocol/ipv4"
	"arbutusfront.dev/common/state/admission"
	"arbutusfront.dev/common/state/cost"
	"arbutusfront.dev/common/state/feature"
	"arbutusfront.dev/common/state/placement"
)

// maxOffers is the number of agents that a flow may visit which can't be answered in time.
// Balancers know which agents refuse a class: a second agent makes up for what they have
// not heard yet, and further ones would mostly refuse too.
const maxOffers = 2

// Queue is the admission queue of an agent's backend server, configured from the agent's view. It
// is not safe for concurrent use.
type Queue struct {
	*admission.Queue
	log log.Logger
	// costs passes on what the queue's estimator learns, and what other agents have learned.
	// withoutCosts is set if the latter is not used.
	costs        *costs.Costs
	withoutCosts bool
	// classes is the view's slice that the queue was configured with.
	classes []config.RequestClass
	// onClasses is called with the codes of the classes when the queue is configured.
	onClasses func(config.ClassCodes)
}

// Option configures a Queue.
type Option func(*Queue)

// WithClassObserver sets a function that is called with the codes of the classes whenever these
// change.
func WithClassObserver(f func(config.ClassCodes)) Option {
	return func(q *Queue) { q.onClasses = f }
}

// WithLogger sets the logger for events.
func WithLogger(l log.Logger) Option { return func(q *Queue) { q.log = l } }

// Without switches off the features that concern the queue.
func Without(s feature.Set) Option {
	return func(q *Queue) { q.withoutCosts = s.Has(feature.LearnedCosts) }
}

// NewQueue returns a queue without classes or slots.
func NewQueue(opts ...Option) *Queue {
	e := cost.NewEstimator()
	q := &Queue{
		Queue: admission.NewQueue(e), log: log.NewNopLogger(), costs: costs.New(e), onClasses: func(config.ClassCodes) {},
	}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// Apply configures the queue, and reports whether it decides on new flows: the service has
// request classes, and the slots are known (not 0). The first decision on a class after a start is
// made with what other agents, and earlier runs of this one, have learned.
func (q *Queue) Apply(v *state.View, slots int, now time.Time) bool {
	if !sameClasses(q.classes, v.Config.Classes) {
		q.classes = v.Config.Classes
		codes := config.NewClassCodes(q.classes)
		q.Configure(codes)
		q.onClasses(codes)
	}
	known := v.Costs
	if q.withoutCosts {
		known = nil
	}
	if n := q.costs.Apply(v.Config.Classes, known, now); n > 0 {
		_ = level.Info(q.log).Log("event", "costs_seeded", "classes", n, "revision", v.Revision)
	}
	q.SetSlots(slots)
	return q.Configured()
}

// LearnedCosts returns some costs that were learned from this agent's requests, in turn, for the
// balancers.
func (q *Queue) LearnedCosts(now time.Time) []learned.Cost { return q.costs.Learned(now) }

// sameClasses reports whether a and b are equal. Slices of one view are the same.
func sameClasses(a, b []config.RequestClass) bool {
	if len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0]) {
		return true
	}
	return slices.Equal(a, b)
}

// RequestOf returns what is known of the request for which the caller opens the flow.
func RequestOf(h capsule.Header, p frame.Frame) admission.Request {
	return admission.Request{Class: h.Class, Remote: h.Marks.Has(capsule.MarkRemote), Age: p.Age, RepeatedIn: p.RepeatedIn}
}

// NextOffer returns the next candidate that admits flows, for a flow that this agent, the last one
// in h.Visited, can't answer in time. It returns false if there is none, or if the flow must not
// visit another agent.
func NextOffer(v *state.View, h capsule.Header, key ipv4.FlowKey) (*placement.Candidate, bool) {
	if h.Marks.Has(capsule.MarkLastOffer) || countAgents(h.Visited) >= maxOffers {
		return nil, false
	}
	return v.Agents.FirstAdmitting(placement.FlowHash(key), h.Visited)
}

// countAgents returns the number of agents in a visited list. Instance 0 is no agent: package flow
// uses it to record that a choice by load was made.
func countAgents(visited []uint64) int {
	n := 0
	for _, instance := range visited {
		if instance != 0 {
			n++
		}
	}
	return n
}
