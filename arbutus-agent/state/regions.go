package state

import (
	"slices"
	"time"

	"arbutusfront.dev/common/coordination/member"
)

const (
	// silenceDetectionTime bounds the delay between the first death in a region and the
	// report that the whole region is silent.
	silenceDetectionTime = 5 * time.Second
	// reunionTime bounds the delay between the first message from a region after a
	// partition and messages from all of its members.
	reunionTime = 10 * time.Second
	// partitionTimeout is how long a silent region is treated as partitioned.
	// Afterwards its agents are treated as dead.
	partitionTimeout = 10 * time.Minute
)

type (
	// record is the state of one agent of the service.
	record struct {
		region string
		// domainOut is set if the agent's failure domain is out and, by the
		// configuration, its flows end with that.
		domainOut bool
		phase     member.Phase
		// endedAt is when this agent learned that the other agent had left or died.
		endedAt time.Time
	}

	// silence is the last period in which no member of a region was heard. until is
	// zero while the period lasts.
	silence struct {
		since time.Time
		until time.Time
	}
)

// UnclaimedFlowsEnded reports whether a flow that no known agent holds has certainly
// ended. It returns false while another region may be partitioned, or shortly after an
// agent of another region died: the holder may be alive there.
func (n *Node) UnclaimedFlowsEnded() bool {
	v, now := n.View(), n.now()
	for region := range v.silences {
		if v.mayBePartitioned(region, now) {
			return false
		}
	}
	for _, r := range v.records {
		if r.phase == member.Dead && r.region != v.homeRegion && now.Sub(r.endedAt) < silenceDetectionTime {
			return false
		}
	}
	return true
}

// flowsEnded reports whether the agent's flows have certainly ended: it left, died, or
// is in a failure domain that is out. An agent of a partitioned region is reported as
// dead too, but the fabric and callers may still reach it, and its flows go on.
func (v *View) flowsEnded(r record, now time.Time) bool {
	switch {
	case r.domainOut:
		return true
	case r.phase.Alive():
		return false
	case r.phase == member.Left:
		return true
	case r.region == v.homeRegion:
		return !v.deathUncertain(r, now)
	default:
		return now.Sub(r.endedAt) >= silenceDetectionTime && !v.mayBePartitioned(r.region, now)
	}
}

// deathUncertain reports whether the death of an agent of this region may have been
// reported by a region that was partitioned from this one until just now.
func (v *View) deathUncertain(r record, now time.Time) bool {
	return now.Sub(v.reunitedAt) < reunionTime && r.endedAt.After(v.reunitedAt.Add(-silenceDetectionTime))
}

// mayBePartitioned reports whether the region may be partitioned while its agents are
// alive.
func (v *View) mayBePartitioned(region string, now time.Time) bool {
	s, ok := v.silences[region]
	if !ok {
		return false
	}
	if s.until.IsZero() {
		return now.Sub(s.since) < partitionTimeout
	}
	return now.Sub(s.until) < reunionTime
}

// recordSilence updates the silent regions. n.mu must be held.
func (n *Node) recordSilence(silent []string) {
	now := n.now()
	n.silent = silent
	for region, s := range n.silences {
		if s.until.IsZero() && !slices.Contains(silent, region) {
			n.silences[region] = silence{since: s.since, until: now}
			n.reunitedAt = now
		}
	}
	for _, region := range silent {
		if s, known := n.silences[region]; !known || !s.until.IsZero() {
			n.silences[region] = silence{since: now}
		}
	}
}

// records returns the state of the agents by instance.
func (n *Node) records(members []member.Member) map[uint64]record {
	records := make(map[uint64]record, len(members))
	for _, m := range members {
		records[m.Instance] = record{
			region:    n.config.RegionOf(m.Domain),
			domainOut: n.known && n.config.DomainIsOut(m.Domain) && !n.config.KeepsFlows(),
			phase:     m.Phase,
			endedAt:   n.Table.EndedAt(m.ID()),
		}
	}
	return records
}
