package placement

import "arbutusfront.dev/common/coordination/member"

// Policy is the part of the configuration that determines which agents are candidates, and
// which of these don't admit new flows.
type Policy struct {
	// DomainIsOut reports whether the failure domain is out of service.
	DomainIsOut func(domain string) bool
	// KeepsFlows is set if existing flows continue in failure domains that are out.
	KeepsFlows bool
	// IsDrained reports whether the backend server of the named agent is drained.
	IsDrained func(server string) bool
}

// FromMembers returns the candidate list of a service from its members. Agents that
// are leaving or drained remain on it for their existing flows, but don't admit new
// ones. The same holds for agents in failure domains that are out if p.KeepsFlows is
// set; otherwise these are left off the list.
func FromMembers(members []member.Member, p Policy) *Service {
	candidates := make([]Candidate, 0, len(members))
	for _, m := range members {
		out := p.DomainIsOut(m.Domain)
		if m.Role != member.Agent || !m.Phase.Alive() || out && !p.KeepsFlows {
			continue
		}
		candidates = append(candidates, Candidate{
			Name:      m.Name,
			Domain:    m.Domain,
			Instance:  m.Instance,
			Packet:    m.Packet,
			Joining:   m.Phase == member.Joining,
			Admitting: m.Phase == member.Serving && !out && !p.IsDrained(m.Name),
			ServerRun: m.ServerRun,
		})
	}
	return NewService(candidates)
}
