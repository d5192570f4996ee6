package passthrough

import "arbutusfront.dev/common/coordination/learned"

// LearnedCosts returns some costs that were learned from this agent's requests, in turn, for the
// balancers.
func (e *Engine) LearnedCosts() []learned.Cost {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.queue.LearnedCosts(e.now())
}
