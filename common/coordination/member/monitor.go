package member

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

// MonitorCount is the number of balancers that monitor each member's heartbeats.
const MonitorCount = 3

// ranked is a balancer with its rendezvous hash for one member.
type ranked struct {
	balancer *Member
	score    uint64
}

// Monitors returns the balancers that monitor the member. They are chosen by rendezvous
// hashing of the member's name. A balancer is monitored by the highest-ranking balancer of each
// failure domain, up to MonitorCount, so that the loss of its own one is noticed. An agent is
// monitored by balancers of its own failure domain: there are many agents, and traffic between
// failure domains is expensive. If they are lost together, other balancers become the agent's
// monitors. Missing monitors are the next in rank of any domain. Only balancers that are joining
// or serving are chosen, and none monitors itself.
func (s *Snapshot) Monitors(m Member) []Member {
	var chosen []ranked
	if m.Role == Agent {
		chosen = s.highestInDomain(m)
	}
	for _, r := range s.highestPerDomain(m) {
		if len(chosen) < MonitorCount && !slices.Contains(chosen, r) {
			chosen = append(chosen, r)
		}
	}
	for len(chosen) < MonitorCount {
		next := s.highestExcept(m, chosen)
		if next.balancer == nil {
			break
		}
		chosen = append(chosen, next)
	}
	monitors := make([]Member, 0, len(chosen))
	for _, c := range chosen {
		monitors = append(monitors, *c.balancer)
	}
	return monitors
}

// highestInDomain returns up to MonitorCount balancers of the member's own failure domain, in
// their order of rank.
func (s *Snapshot) highestInDomain(m Member) []ranked {
	seed := xxh3.HashString(m.Name)
	var highest []ranked
	for i := range s.activeBalancers() {
		if b := &s.active[i]; b.Domain == m.Domain && b.Name != m.Name {
			highest = append(highest, ranked{balancer: b, score: xxh3.HashStringSeed(b.Name, seed)})
		}
	}
	slices.SortFunc(highest, byRank)
	return highest[:min(len(highest), MonitorCount)]
}

func byRank(a, b ranked) int { return cmp.Compare(b.score, a.score) }

// highestPerDomain returns the highest-ranking balancer of each failure domain, in their order
// of rank. A balancer doesn't monitor itself.
func (s *Snapshot) highestPerDomain(m Member) []ranked {
	seed := xxh3.HashString(m.Name)
	var highest []ranked
	for i := range s.activeBalancers() {
		b := &s.active[i]
		if b.Name == m.Name {
			continue
		}
		r := ranked{balancer: b, score: xxh3.HashStringSeed(b.Name, seed)}
		at := slices.IndexFunc(highest, func(f ranked) bool { return f.balancer.Domain == b.Domain })
		switch {
		case at < 0:
			highest = append(highest, r)
		case r.score > highest[at].score:
			highest[at] = r
		}
	}
	slices.SortFunc(highest, byRank)
	return highest
}

// highestExcept returns the balancer that ranks highest for m, except m itself and those
// already chosen. Its balancer is nil if there is none.
func (s *Snapshot) highestExcept(m Member, chosen []ranked) ranked {
	seed := xxh3.HashString(m.Name)
	var best ranked
	for i := range s.activeBalancers() {
		b := &s.active[i]
		if b.Name == m.Name || slices.ContainsFunc(chosen, func(c ranked) bool { return c.balancer == b }) {
			continue
		}
		if score := xxh3.HashStringSeed(b.Name, seed); best.balancer == nil || score > best.score {
			best = ranked{balancer: b, score: score}
		}
	}
	return best
}

// BalancersDigest returns a digest of the active balancers' names and packet addresses.
// Snapshots with equal digests choose the same monitors for a member, provided that the
// balancers are in the same failure domains.
func (s *Snapshot) BalancersDigest() uint64 {
	var digest uint64
	for _, b := range s.activeBalancers() {
		digest ^= xxh3.HashString(b.Name + " " + b.Packet.String())
	}
	return digest
}

// activeBalancers returns the balancers that are joining or serving, ordered by name. It is
// computed once per snapshot.
func (s *Snapshot) activeBalancers() []Member {
	s.once.Do(func() {
		s.active = s.Select(func(b Member) bool { return b.Role == Balancer && b.isActive() })
	})
	return s.active
}

// ElectedAcross reports whether the member is among the n balancers of the deployment that
// perform the named task. They are the highest-ranking ones of n failure domains, or of all if
// there are fewer.
func (s *Snapshot) ElectedAcross(m Member, task string, n int) bool {
	seed := xxh3.HashString(task)
	best := make(map[string]uint64)
	for _, b := range s.activeBalancers() {
		best[b.Domain] = max(best[b.Domain], xxh3.HashStringSeed(b.Name, seed))
	}
	own := xxh3.HashStringSeed(m.Name, seed)
	ahead := 0
	for domain, score := range best {
		if score > own {
			ahead++
		}
		if domain == m.Domain && score > own {
			return false
		}
	}
	return ahead < n
}

// Rank returns the number of active balancers that rank before the member for the named task.
func (s *Snapshot) Rank(m Member, task string) int {
	seed := xxh3.HashString(task)
	own := xxh3.HashStringSeed(m.Name, seed)
	ahead := 0
	for _, b := range s.activeBalancers() {
		if xxh3.HashStringSeed(b.Name, seed) > own {
			ahead++
		}
	}
	return ahead
}

// Elected reports whether the member is among the n balancers of its failure domain that
// perform the named task. They are chosen by rendezvous hashing of the task's name.
func (s *Snapshot) Elected(m Member, task string, n int) bool {
	seed := xxh3.HashString(task)
	own := xxh3.HashStringSeed(m.Name, seed)
	ahead := 0
	for _, b := range s.activeBalancers() {
		if b.Domain == m.Domain && xxh3.HashStringSeed(b.Name, seed) > own {
			ahead++
		}
	}
	return ahead < n
}
