// Package placement ranks the agents of a service by flow, so that all processes select
// the same agent for a flow without exchanging state.
//
// # Usage
//
//	s := placement.NewService(candidates)
//	hash := placement.FlowHash(key)
//	first, ok := s.First(hash, visited)
//	next, ok := s.FirstAdmitting(hash, visited)
//
// The ranking uses rendezvous hashing or, for ringThreshold or more candidates, a
// consistent-hashing ring. Either depends only on the names of the candidates, so
// processes that know the same candidates rank them alike, and a candidate that joins
// or leaves doesn't change the order of the others. The latest incarnation comes first
// among candidates of one name.
package placement

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/zeebo/xxh3"

	"arbutusfront.dev/common/protocol/ipv4"
)

// Filters of the candidates that are ranked.
const (
	// all selects every candidate.
	all filter = iota
	// admitting selects candidates that take new flows.
	admitting
	// settled selects candidates that are past their joining phase.
	settled
)

type (
	// filter selects the candidates that are ranked.
	filter uint8

	// Candidate is one agent that may hold flows of a service.
	Candidate struct {
		Name string
		// Domain is the failure domain of the agent.
		Domain string
		// Instance identifies one incarnation of the agent.
		Instance uint64
		// Packet is the UDP address for packets to the agent.
		Packet netip.AddrPort
		// Admitting is set if the agent takes new flows.
		Admitting bool
		// Joining is set while the agent is in its joining phase: after its start, and
		// after its lease has expired repeatedly. It doesn't admit flows then.
		Joining bool
		// ServerRun is when the agent's backend server started, as a Unix time in
		// milliseconds; 0 if that is not known.
		ServerRun uint64
		// seed is the hash of Name, which ranks the candidate.
		seed uint64
	}

	// CandidateDump is one candidate in a process's state dump.
	CandidateDump struct {
		Name      string `json:"name"`
		Instance  uint64 `json:"instance"`
		Admitting bool   `json:"admitting"`
	}

	// Service is the immutable candidate list of one service.
	Service struct {
		candidates []Candidate
		// byName maps a name to the index of its latest incarnation.
		byName map[string]int
		// ring is nil below ringThreshold candidates.
		ring ring
	}
)

// FlowHash returns the hash of the flow by which candidates are ranked.
func FlowHash(k ipv4.FlowKey) uint64 {
	var b [16]byte
	return xxh3.Hash(k.Append(b[:0]))
}

// NewService returns a service with a copy of the candidates.
func NewService(candidates []Candidate) *Service {
	s := &Service{candidates: slices.Clone(candidates), byName: make(map[string]int, len(candidates))}
	for i := range s.candidates {
		c := &s.candidates[i]
		c.seed = xxh3.HashString(c.Name)
		if j, known := s.byName[c.Name]; !known || s.candidates[j].Instance < c.Instance {
			s.byName[c.Name] = i
		}
	}
	if len(s.candidates) >= ringThreshold {
		s.ring = newRing(s.candidates)
	}
	return s
}

// Candidates returns the candidates, unranked. The slice must not be modified.
func (s *Service) Candidates() []Candidate { return s.candidates }

// Dump returns the candidates for a process's state dump.
func (s *Service) Dump() []CandidateDump {
	var out []CandidateDump
	for _, c := range s.candidates {
		out = append(out, CandidateDump{Name: c.Name, Instance: c.Instance, Admitting: c.Admitting})
	}
	return out
}

// First returns the highest-ranked candidate whose instance is not in visited.
func (s *Service) First(hash uint64, visited []uint64) (*Candidate, bool) {
	return s.firstMatching(hash, visited, all)
}

// FirstSettled is like First, but ranks joining agents last: after their start, they have
// admitted no flow yet and know of few.
func (s *Service) FirstSettled(hash uint64, visited []uint64) (*Candidate, bool) {
	if c, ok := s.firstMatching(hash, visited, settled); ok {
		return c, true
	}
	return s.firstMatching(hash, visited, all)
}

// FirstAdmitting returns the highest-ranked candidate that takes new flows and whose
// instance is not in visited.
func (s *Service) FirstAdmitting(hash uint64, visited []uint64) (*Candidate, bool) {
	return s.firstMatching(hash, visited, admitting)
}

// RankedSettled returns up to limit candidates by rank, joining agents last.
func (s *Service) RankedSettled(hash uint64, limit int) []Candidate {
	ranked := make([]Candidate, 0, limit)
	var visited []uint64
	for len(ranked) < limit {
		c, ok := s.FirstSettled(hash, visited)
		if !ok {
			break
		}
		ranked = append(ranked, *c)
		visited = append(visited, c.Instance)
	}
	return ranked
}

// Ranked returns up to limit candidates by rank.
func (s *Service) Ranked(hash uint64, limit int) []Candidate {
	if s.ring != nil {
		return s.rankedOnRing(hash, limit)
	}
	ranked := slices.Clone(s.candidates)
	slices.SortFunc(ranked, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(score(hash, b.seed), score(hash, a.seed)),
			cmp.Compare(b.Instance, a.Instance),
		)
	})
	return ranked[:min(limit, len(ranked))]
}

// ByInstance returns the candidate with the given instance.
func (s *Service) ByInstance(instance uint64) (*Candidate, bool) {
	for i := range s.candidates {
		if s.candidates[i].Instance == instance {
			return &s.candidates[i], true
		}
	}
	return nil, false
}

// ByName returns the latest incarnation of the named candidate.
func (s *Service) ByName(name string) (*Candidate, bool) {
	i, ok := s.byName[name]
	if !ok {
		return nil, false
	}
	return &s.candidates[i], true
}

// Score returns the candidate's rendezvous-hashing score for the flow's hash; higher is
// preferred. It is independent of the ring.
func (c *Candidate) Score(hash uint64) uint64 { return score(hash, c.seed) }

func (s *Service) firstMatching(hash uint64, visited []uint64, among filter) (*Candidate, bool) {
	if s.ring != nil {
		return s.firstOnRing(hash, visited, among)
	}
	var best *Candidate
	var bestScore uint64
	for i := range s.candidates {
		c := &s.candidates[i]
		if !among.matches(c) {
			continue
		}
		if slices.Contains(visited, c.Instance) {
			continue
		}
		candidateScore := score(hash, c.seed)
		if best == nil || candidateScore > bestScore || candidateScore == bestScore && c.Instance > best.Instance {
			best, bestScore = c, candidateScore
		}
	}
	return best, best != nil
}

func (s *Service) firstOnRing(hash uint64, visited []uint64, among filter) (*Candidate, bool) {
	start := s.ring.firstIndex(hash)
	for i := range s.ring {
		j := start + i
		if j >= len(s.ring) {
			j -= len(s.ring)
		}
		c := &s.candidates[s.ring[j].candidate]
		if !among.matches(c) || slices.Contains(visited, c.Instance) {
			continue
		}
		return c, true
	}
	return nil, false
}

func (s *Service) rankedOnRing(hash uint64, limit int) []Candidate {
	limit = min(limit, len(s.candidates))
	visited := make([]uint64, 0, limit)
	ranked := make([]Candidate, 0, limit)
	for len(ranked) < limit {
		c, ok := s.firstOnRing(hash, visited, all)
		if !ok {
			break
		}
		ranked = append(ranked, *c)
		visited = append(visited, c.Instance)
	}
	return ranked
}

func (f filter) matches(c *Candidate) bool {
	switch f {
	case admitting:
		return c.Admitting
	case settled:
		return !c.Joining
	default:
		return true
	}
}

// score combines the flow's hash with a candidate's seed by the splitmix64 finalizer.
func score(hash, seed uint64) uint64 {
	x := hash ^ seed
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
