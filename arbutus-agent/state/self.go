package state

import (
	"time"

	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/protocol/settings"
)

// NewSelf returns the member record that an agent with these settings announces at its
// start, with a new instance.
func NewSelf(s *settings.Agent) member.Member {
	return member.Member{
		Name:     s.Name,
		Role:     member.Agent,
		Domain:   s.Domain,
		Service:  s.Service,
		Packet:   s.PacketAddress,
		Control:  s.ControlAddress,
		Backend:  s.BackendAddress,
		Instance: member.NewInstance(s.Name, time.Now()),
		Version:  1,
		Phase:    member.Joining,
	}
}
