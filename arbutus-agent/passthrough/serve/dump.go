package serve

import (
	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/state/load"
)

type (
	// dump is an agent's state as it is shown on request.
	dump struct {
		Self       member.Member   `json:"self"`
		Ready      bool            `json:"ready"`
		Reason     string          `json:"reason"`
		Revision   uint64          `json:"revision"`
		Config     *config.View    `json:"config"`
		DomainOut  bool            `json:"domain_out"`
		Monitors   []string        `json:"monitors"`
		Candidates []candidateDump `json:"candidates"`
		Load       load.Load       `json:"load"`
	}

	candidateDump struct {
		Name      string `json:"name"`
		Instance  uint64 `json:"instance"`
		Admitting bool   `json:"admitting"`
	}
)

func (s *Server) dump() dump {
	v := s.node.View()
	reason := s.NotReady()
	d := dump{
		Self:      s.announcer.Self(),
		Ready:     reason == "",
		Reason:    reason,
		Revision:  v.Revision,
		DomainOut: v.DomainOut,
		Load:      s.engine.Load(),
	}
	if v.Known {
		d.Config = &v.Config
	}
	for _, m := range s.announcer.Monitors() {
		d.Monitors = append(d.Monitors, m.Name)
	}
	for _, c := range v.Agents.Candidates() {
		d.Candidates = append(d.Candidates, candidateDump{Name: c.Name, Instance: c.Instance, Admitting: c.Admitting})
	}
	return d
}
