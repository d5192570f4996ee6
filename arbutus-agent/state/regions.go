package state

import (
	"slices"
	"time"

	"arbutusfront.dev/common/coordination/member"
)

const (
	// settleTime is how long it may take to learn that a whole region is silent
	// after its first member was declared dead.
	settleTime = 5 * time.Second
	// reunionTime is how long it may take to hear all of a region that was cut
	// off after its first member was heard.
	reunionTime = 10 * time.Second
	// silenceBound is how long a silent region is taken for cut off. Afterwards
	// its agents are taken for dead.
	silenceBound = 10 * time.Minute
)

type (
	// record is what is known of one agent of the service.
	record struct {
		region    string
		domainOut bool
		phase     member.Phase
		// endedAt is when this agent learned that the other one had ended.
		endedAt time.Time
	}

	// silence is the last time in which nobody of a region was heard. Its end is
	// zero while it lasts.
	silence struct {
		since time.Time
		until time.Time
	}
)

// MayJudge reports whether a packet's flow that nobody is known to hold has
// indeed ended. While another region is silent, or has just been, or one of its
// agents has just died, the holder may be there.
func (n *Node) MayJudge() bool {
	v, now := n.View(), n.now()
	for region := range v.silences {
		if v.inDoubt(region, now) {
			return false
		}
	}
	for _, r := range v.records {
		if r.phase == member.Dead && r.region != v.home && now.Sub(r.endedAt) < settleTime {
			return false
		}
	}
	return true
}

// isGone reports whether the agent's flows have ended: it left, died, or is in a
// failure domain that is out. An agent of a region that is cut off is held for
// dead as well, while the fabric and callers may still reach it, and its flows go
// on.
func (v *View) isGone(r record, now time.Time) bool {
	switch {
	case r.domainOut:
		return true
	case r.phase.Alive():
		return false
	case r.phase == member.Left:
		return true
	case r.region == v.home:
		return !v.isDoubtful(r, now)
	default:
		return now.Sub(r.endedAt) >= settleTime && !v.inDoubt(r.region, now)
	}
}

// isDoubtful reports whether the death of an agent of the own region may be the
// word of a region that was cut off from it until just now.
func (v *View) isDoubtful(r record, now time.Time) bool {
	return now.Sub(v.reunited) < reunionTime && r.endedAt.After(v.reunited.Add(-settleTime))
}

// inDoubt reports whether the region may be cut off, with its agents alive.
func (v *View) inDoubt(region string, now time.Time) bool {
	s, ok := v.silences[region]
	if !ok {
		return false
	}
	if s.until.IsZero() {
		return now.Sub(s.since) < silenceBound
	}
	return now.Sub(s.until) < reunionTime
}

// noteSilence takes in which regions are silent now. The caller holds the mutex.
func (n *Node) noteSilence(silent []string) {
	now := n.now()
	n.silent = silent
	for region, s := range n.silences {
		if s.until.IsZero() && !slices.Contains(silent, region) {
			n.silences[region] = silence{since: s.since, until: now}
			n.reunited = now
		}
	}
	for _, region := range silent {
		if s, known := n.silences[region]; !known || !s.until.IsZero() {
			n.silences[region] = silence{since: now}
		}
	}
}

// records returns what is known of the agents, by their instance.
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
