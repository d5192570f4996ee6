package session

import (
	"arbutusfront.dev/common/coordination/config"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
)

// PrintChanges prints the changes between two configurations, as JSON or as a table with
// path, old value and new value. A missing value is a dash in the table.
func (s *Session) PrintChanges(changes []config.Change) error {
	if s.JSON {
		return s.Streams.PrintJSON(changes)
	}
	rows := make([][]string, 0, len(changes))
	for _, c := range changes {
		rows = append(rows, []string{c.Path, orDash(c.From), orDash(c.To)})
	}
	return s.Streams.PrintTable([]string{"path", "from", "to"}, rows)
}

// MembersBehind returns the live members that have an older revision in force than the given
// one, or none.
func MembersBehind(status *controlv1.StatusResponse, revision uint64) []*controlv1.MemberStatus {
	var behind []*controlv1.MemberStatus
	for _, m := range status.GetMembers() {
		if IsLive(m) && m.GetRevision() < revision {
			behind = append(behind, m)
		}
	}
	return behind
}

// IsLive reports whether the member is joining, serving or leaving, rather than dead or left.
func IsLive(m *controlv1.MemberStatus) bool {
	switch m.GetMember().GetPhase() {
	case controlv1.Phase_PHASE_JOINING, controlv1.Phase_PHASE_SERVING, controlv1.Phase_PHASE_LEAVING:
		return true
	default:
		return false
	}
}

// orDash returns s, or a dash if s is empty.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
