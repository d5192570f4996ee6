// Package member keeps a process's membership table: the records of the balancers and
// agents that it knows, merged from their announcements and from gossip.
//
// # Usage
//
//	t := member.NewTable()
//	if t.Merge(m) {
//		gossip(m)
//	}
//	for _, m := range t.Snapshot().Members { ... }
//
// Merging is commutative and idempotent: among the records of one incarnation of a name, the
// one with the higher version wins, then the one with the later phase. All processes that
// have received the same records have equal tables, in whatever order they received them.
package member

import (
	"cmp"
	"net/netip"

	"github.com/zeebo/errs"

	"arbutusfront.dev/common/protocol/capsule"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
)

// Phases of a member's life. Among records with the same version, the one with the later
// phase in this order takes precedence.
const (
	Joining = Phase(controlv1.Phase_PHASE_JOINING)
	Serving = Phase(controlv1.Phase_PHASE_SERVING)
	Leaving = Phase(controlv1.Phase_PHASE_LEAVING)
	Dead    = Phase(controlv1.Phase_PHASE_DEAD)
	Left    = Phase(controlv1.Phase_PHASE_LEFT)
)

// Roles of members.
const (
	Balancer = Role(controlv1.Role_ROLE_BALANCER)
	Agent    = Role(controlv1.Role_ROLE_AGENT)
)

// Error is the class of this package's errors.
var Error = errs.Class("member")

type (
	// Phase is a stage in a member's life, which decides whether it gets new flows.
	Phase controlv1.Phase

	// Role is the kind of a process.
	Role controlv1.Role

	// ID identifies one incarnation of a member.
	ID struct {
		Name     string
		Instance uint64
	}

	// Member is the record of a process. Instance identifies its incarnation, and Version
	// increases with each change that the process announces. Packet, Control and Backend
	// are the addresses for datagrams, for control calls and, with agents, of the
	// backend server. A Member is immutable: the With methods return modified copies.
	Member struct {
		Name     string
		Role     Role
		Domain   string
		Service  string
		Packet   netip.AddrPort
		Control  netip.AddrPort
		Backend  netip.AddrPort
		Instance uint64
		Version  uint64
		Phase    Phase
		// ServerRun identifies the run of the agent's backend server by its start, as
		// a Unix time in milliseconds; 0 if that is unknown. Flows don't survive a
		// restart, so a later run holds no flow of an earlier one.
		ServerRun uint64
	}
)

// String returns the phase in lower case.
func (p Phase) String() string {
	switch p {
	case Joining:
		return "joining"
	case Serving:
		return "serving"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	case Left:
		return "left"
	default:
		return "unknown"
	}
}

// MarshalText implements encoding.TextMarshaler, for dumps.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// Alive reports whether a member in this phase is running.
func (p Phase) Alive() bool { return p == Joining || p == Serving || p == Leaving }

// String returns the role in lower case.
func (r Role) String() string {
	if r == Balancer {
		return "balancer"
	}
	return "agent"
}

// MarshalText implements encoding.TextMarshaler, for dumps.
func (r Role) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// ID returns the identity of the member's incarnation.
func (m Member) ID() ID { return ID{Name: m.Name, Instance: m.Instance} }

// WithPhase returns the member in phase p, with its version increased by one.
func (m Member) WithPhase(p Phase) Member {
	m.Phase = p
	m.Version++
	return m
}

// WithServerRun returns the member with the given run of its backend server, and with its
// version increased by one.
func (m Member) WithServerRun(run uint64) Member {
	m.ServerRun = run
	m.Version++
	return m
}

// WithDeath returns the record by which other processes declare the member dead. It keeps
// the version that they know, so that a member that is still alive can refute it with a
// higher version.
func (m Member) WithDeath() Member {
	m.Phase = Dead
	return m
}

// WithVersion returns the member at the given version.
func (m Member) WithVersion(version uint64) Member {
	m.Version = version
	return m
}

// WithoutAddresses returns a short record, without addresses and service, for receivers
// that already know them.
func (m Member) WithoutAddresses() Member {
	m.Packet, m.Control, m.Backend = netip.AddrPort{}, netip.AddrPort{}, netip.AddrPort{}
	m.Service = ""
	return m
}

// IsComplete reports whether the record contains the member's addresses. WithoutAddresses
// returns one that doesn't.
func (m Member) IsComplete() bool { return m.Packet.IsValid() }

// ServiceKey returns the key of the member's service.
func (m Member) ServiceKey() capsule.ServiceKey { return capsule.KeyOf(m.Service) }

// supersedes reports whether m replaces old, which is a record of the same incarnation.
func (m Member) supersedes(old Member) bool {
	if c := cmp.Compare(m.Version, old.Version); c != 0 {
		return c > 0
	}
	return m.Phase > old.Phase
}

// Encode returns the member as a protobuf message.
func (m Member) Encode() *controlv1.Member {
	return &controlv1.Member{
		Name:           m.Name,
		Role:           controlv1.Role(m.Role),
		Domain:         m.Domain,
		Service:        m.Service,
		PacketAddress:  encodeAddress(m.Packet),
		ControlAddress: encodeAddress(m.Control),
		BackendAddress: encodeAddress(m.Backend),
		Instance:       m.Instance,
		Version:        m.Version,
		Phase:          controlv1.Phase(m.Phase),
		ServerRun:      m.ServerRun,
	}
}

// Decode validates a protobuf message and returns the member. It returns an error if the
// message has no name or instance, an unknown role or phase, or a malformed address.
// Addresses may be missing.
func Decode(m *controlv1.Member) (Member, error) {
	if m.GetName() == "" || m.GetInstance() == 0 {
		return Member{}, Error.New("member without name or instance")
	}
	if m.GetRole() != controlv1.Role_ROLE_BALANCER && m.GetRole() != controlv1.Role_ROLE_AGENT {
		return Member{}, Error.New("member %q has unknown role %d", m.GetName(), m.GetRole())
	}
	if m.GetPhase() == controlv1.Phase_PHASE_UNSPECIFIED || m.GetPhase() > controlv1.Phase_PHASE_LEFT {
		return Member{}, Error.New("member %q has unknown phase %d", m.GetName(), m.GetPhase())
	}
	decoded := Member{
		Name:      m.GetName(),
		Role:      Role(m.GetRole()),
		Domain:    m.GetDomain(),
		Service:   m.GetService(),
		Instance:  m.GetInstance(),
		Version:   m.GetVersion(),
		Phase:     Phase(m.GetPhase()),
		ServerRun: m.GetServerRun(),
	}
	for _, a := range []struct {
		to   *netip.AddrPort
		text string
	}{
		{&decoded.Packet, m.GetPacketAddress()},
		{&decoded.Control, m.GetControlAddress()},
		{&decoded.Backend, m.GetBackendAddress()},
	} {
		if a.text == "" {
			continue
		}
		parsed, err := netip.ParseAddrPort(a.text)
		if err != nil {
			return Member{}, Error.New("member %q has address %q: %w", m.GetName(), a.text, err)
		}
		*a.to = parsed
	}
	return decoded, nil
}

// EncodeAll returns the members as protobuf messages.
func EncodeAll(members []Member) []*controlv1.Member {
	out := make([]*controlv1.Member, 0, len(members))
	for _, m := range members {
		out = append(out, m.Encode())
	}
	return out
}

func encodeAddress(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}
