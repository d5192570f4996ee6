package member

import "cmp"

// Refusal is the reason why a member may not use its name or backend address. Claimant is
// the member that holds the claim, as its claim takes precedence.
type Refusal struct {
	Claimant Member
	Reason   string
}

// Refused reports whether another active member has a claim to m's name or backend address
// that takes precedence. The earliest incarnation holds a claim until it is leaving, dead or
// has left. Only a later incarnation at the same packet address replaces it, as that is a
// restart of the same process. The result depends on the members' records alone, so all
// processes with equal tables come to the same result.
func (s *Snapshot) Refused(m Member) (Refusal, bool) {
	for _, other := range s.Members {
		if other.ID() == m.ID() || !other.isActive() || other.Packet == m.Packet {
			continue
		}
		if cmp.Or(cmp.Compare(other.Instance, m.Instance), other.Packet.Compare(m.Packet)) > 0 {
			continue
		}
		if other.Name == m.Name {
			return Refusal{Claimant: other, Reason: "name " + m.Name + " is held"}, true
		}
		if m.Backend.IsValid() && other.Backend == m.Backend {
			return Refusal{Claimant: other, Reason: "backend address " + m.Backend.String() + " is held"}, true
		}
	}
	return Refusal{}, false
}

// isActive reports whether the member is joining or serving. Only active members hold
// claims to names and addresses.
func (m Member) isActive() bool { return m.Phase == Joining || m.Phase == Serving }
