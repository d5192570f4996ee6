package state

import (
	"slices"
	"time"

	"arbutusfront.dev/common/coordination/member"
)

const (
	// partitionDetectionTime bounds the delay between the first death in a region and the
	// report that the whole region is silent, and so may be partitioned.
	partitionDetectionTime = 5 * time.Second
	// healTime bounds the delay between the first message from a region after a
	// partition and messages from all of its members.
	healTime = 10 * time.Second
	// partitionTimeout is how long a region that was reported silent is treated as
	// partitioned. Afterwards its agents are treated as dead.
	partitionTimeout = 10 * time.Minute
)

type (
	// agentState is the state of one agent of the service, by its member record and the
	// configuration.
	agentState struct {
		region string
		// domainOut is set if the agent's failure domain is out and, by the
		// configuration, its flows end with that.
		domainOut bool
		phase     member.Phase
		// endedAt is when this agent learned that the other agent had left or died.
		endedAt time.Time
	}

	// partition is the last period in which a region was reported silent: no message from
	// any of its members arrived, so it may have been partitioned. until is zero while the
	// period lasts.
	partition struct {
		since time.Time
		until time.Time
	}
)

// UnclaimedFlowsEnded reports whether a flow that no known agent holds has certainly
// ended. It returns false without a configuration, with which no other agent is known, while
// another region may be partitioned, or shortly after an agent of another region died: the
// holder may be alive there.
func (n *Node) UnclaimedFlowsEnded() bool {
	v, now := n.View(), n.now()
	if !v.Known {
		return false
	}
	for region := range v.partitions {
		if v.mayBePartitioned(region, now) {
			return false
		}
	}
	for _, a := range v.states {
		if a.phase == member.Dead && a.region != v.homeRegion && now.Sub(a.endedAt) < partitionDetectionTime {
			return false
		}
	}
	return true
}

// flowsEnded reports whether the agent's flows have certainly ended: it left, died, or
// is in a failure domain that is out and whose flows end with that. An agent of a
// partitioned region is reported as dead too, but the fabric and callers may still reach
// it, and its flows go on. The death of an agent of this region is uncertain if it may have
// been reported from beyond a partition that healed only recently.
func (v *View) flowsEnded(a agentState, now time.Time) bool {
	switch {
	case a.domainOut:
		return true
	case a.phase.Alive():
		return false
	case a.phase == member.Left:
		return true
	case a.region == v.homeRegion:
		return !v.isDeathUncertain(a, now)
	default:
		return now.Sub(a.endedAt) >= partitionDetectionTime && !v.mayBePartitioned(a.region, now)
	}
}

// isDeathUncertain reports whether the death of an agent of this region may have been
// reported by a region that was partitioned from this one until just now.
func (v *View) isDeathUncertain(a agentState, now time.Time) bool {
	return now.Sub(v.healedAt) < healTime && a.endedAt.After(v.healedAt.Add(-partitionDetectionTime))
}

// mayBePartitioned reports whether the region may be partitioned while its agents are
// alive.
func (v *View) mayBePartitioned(region string, now time.Time) bool {
	p, ok := v.partitions[region]
	if !ok {
		return false
	}
	if p.until.IsZero() {
		return now.Sub(p.since) < partitionTimeout
	}
	return now.Sub(p.until) < healTime
}

// recordPartitions updates the partitions from the regions that a balancer reports as
// silent. n.mu must be held.
func (n *Node) recordPartitions(silent []string) {
	now := n.now()
	n.partitionedRegions = silent
	for region, p := range n.partitions {
		if p.until.IsZero() && !slices.Contains(silent, region) {
			n.partitions[region] = partition{since: p.since, until: now}
			n.healedAt = now
		}
	}
	for _, region := range silent {
		if p, known := n.partitions[region]; !known || !p.until.IsZero() {
			n.partitions[region] = partition{since: now}
		}
	}
}

// agentStates returns the state of the agents by instance.
func (n *Node) agentStates(members []member.Member) map[uint64]agentState {
	states := make(map[uint64]agentState, len(members))
	for _, m := range members {
		states[m.Instance] = agentState{
			region:    n.config.RegionOf(m.Domain),
			domainOut: n.known && n.config.DomainIsOut(m.Domain) && !n.config.KeepsFlows(),
			phase:     m.Phase,
			endedAt:   n.Table.EndedAt(m.ID()),
		}
	}
	return states
}
