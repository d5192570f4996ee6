package fabric

import (
	"slices"
	"time"

	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/state/placement"
)

const (
	// maxChoices is the number of agents that are compared for a new flow, and minChoices that
	// without estimates. Two agents are enough if all are alike. Of agents of uneven speed, a
	// third choice finds a fast one more often; a choice among all would make balancers with
	// the same estimates send their flows to one agent.
	maxChoices = 3
	minChoices = 2
	// otherDomainMargin is by how many requests an agent at capacity must exceed one in
	// another failure domain for that one to get the flow instead.
	otherDomainMargin = 2
	// otherDomainDelay is how much later a request arrives at an agent of another failure domain:
	// its SYN and its data are forwarded there, about 5 ms each.
	otherDomainDelay = 10 * time.Millisecond
	// minWaitDifference is the smallest significant difference of two expected waits. Estimates
	// are some milliseconds old.
	minWaitDifference = 2 * time.Millisecond
	// minBusyDifference is the smallest significant difference of the shares of busy slots, which
	// are averages over a second.
	minBusyDifference = 0.2
	// minWorkRatio is the smallest significant ratio of the work that the flows of two agents
	// bring, if each flow brings as many requests.
	minWorkRatio = 1.05
)

// topRanked are the candidates that rank highest, in order; nil where there are no more.
type topRanked [maxChoices]*placement.Candidate

func (r *topRanked) add(c *placement.Candidate, hash uint64) {
	for i, other := range r {
		if other == nil {
			r[i] = c
			return
		}
		if c.Score(hash) > other.Score(hash) {
			copy(r[i+1:], r[i:])
			r[i] = c
			return
		}
	}
}

// choices are the candidates for a new flow: those that rank highest in this failure domain, in
// others, and among suspect agents. Refused is set if an agent was left out because it refuses the
// request class.
type choices struct {
	near, remote, suspects topRanked
	refused                bool
}

// chooseByLoad returns the agent for a new flow: the less loaded of the two that rank
// highest in this failure domain or, if that one is at capacity, an agent of another
// failure domain that is expected to answer earlier. An agent of another failure domain is
// also chosen if this one has none. Suspect agents are the last resort. The errors are those of
// place. mu must be held.
func (p *placements) chooseByLoad(
	target *state.Target, hash uint64, tried []string, now time.Time,
) (*placement.Candidate, error) {
	of := p.choices(target, hash, tried, now)
	near, remote := p.leastLoaded(of.near, target.Slots, now), p.leastLoaded(of.remote, target.Slots, now)
	switch {
	case near != nil && remote != nil && p.overflows(near, remote, target.Slots, now):
		return remote, nil
	case near != nil:
		return near, nil
	case remote != nil:
		return remote, nil
	case of.suspects[0] != nil:
		return of.suspects[0], nil
	case of.refused:
		return nil, dropRefused
	default:
		return nil, dropNoAgent
	}
}

// choices returns the candidates for a new flow. Agents that don't admit new flows, those that
// refuse the request class and those in tried are left out. mu must be held.
func (p *placements) choices(target *state.Target, hash uint64, tried []string, now time.Time) choices {
	var of choices
	candidates := target.Agents.Candidates()
	for i := range candidates {
		c := &candidates[i]
		switch {
		case !c.Admitting || slices.Contains(tried, c.Name):
		case p.refuses(c, target.Class, now):
			of.refused = true
		case p.isSuspect(c.Name, now):
			of.suspects.add(c, hash)
		case c.Domain == p.domain || p.without.ownDomainFirst:
			of.near.add(c, hash)
		default:
			of.remote.add(c, hash)
		}
	}
	return of
}

// leastLoaded returns the least loaded candidate, or nil without any. Agents without an estimate
// are compared only if they rank first or second. mu must be held.
func (p *placements) leastLoaded(of topRanked, slots int, now time.Time) *placement.Candidate {
	best := of[0]
	if p.without.lessLoaded {
		return best
	}
	for i, c := range of[1:] {
		if c == nil || i+1 >= minChoices && (p.estimated(best.Name, now) == nil || p.estimated(c.Name, now) == nil) {
			break
		}
		if p.exceeds(best.Name, c.Name, slots, now) {
			best = c
		}
	}
	return best
}

// exceeds reports whether the first agent is significantly more loaded than the second one. If
// both have estimates, the expected waits decide, or else the shares of busy slots, or else the
// work that their flows bring. mu must be held.
func (p *placements) exceeds(first, second string, slots int, now time.Time) bool {
	a, b := p.estimated(first, now), p.estimated(second, now)
	if a == nil || b == nil {
		return p.loadOf(first, now).Exceeds(p.loadOf(second, now), p.slotsOf(first, slots))
	}
	margin := max(minWaitDifference, min(a.estimate.Service, b.estimate.Service)/2)
	if difference := a.expectedWait(now) - b.expectedWait(now); max(difference, -difference) > margin {
		return difference > 0
	}
	if x, y := a.flowWork(), b.flowWork(); max(x, y) > minWorkRatio*min(x, y) {
		return x > y
	}
	return a.estimate.Busy > b.estimate.Busy+minBusyDifference
}

// overflows reports whether a flow goes to the remote agent although the near one admits it. mu
// must be held.
func (p *placements) overflows(near, remote *placement.Candidate, slots int, now time.Time) bool {
	a, b := p.estimated(near.Name, now), p.estimated(remote.Name, now)
	if a != nil && b != nil {
		return a.expectedWait(now) > b.expectedWait(now)+otherDomainDelay+a.estimate.Service/2
	}
	nearLoad, remoteLoad := p.loadOf(near.Name, now), p.loadOf(remote.Name, now)
	return nearLoad.Requests >= p.slotsOf(near.Name, slots) &&
		remoteLoad.Requests+otherDomainMargin <= nearLoad.Requests
}
