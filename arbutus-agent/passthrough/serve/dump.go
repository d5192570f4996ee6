package serve

import (
	"arbutusfront.dev/arbutus-agent/passthrough"
	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/state/load"
	"arbutusfront.dev/common/state/placement"
)

type (
	// dump is the agent's state as served by the DumpService.
	dump struct {
		Self     member.Member `json:"self"`
		Ready    bool          `json:"ready"`
		Reason   string        `json:"reason"`
		Revision uint64        `json:"revision"`
		// ConfigVersion is the version of the configuration if another system writes it.
		ConfigVersion uint64                    `json:"config_version"`
		Config        *config.View              `json:"config"`
		DomainOut     bool                      `json:"domain_out"`
		Monitors      []string                  `json:"monitors"`
		Candidates    []placement.CandidateDump `json:"candidates"`
		Load          load.Load                 `json:"load"`
		Queue         passthrough.QueueDump     `json:"queue"`
	}
)

func (s *Server) dump() dump {
	v := s.node.View()
	reason := s.NotReadyReason()
	d := dump{
		Self:          s.announcer.Self(),
		Ready:         reason == "",
		Reason:        reason,
		Revision:      v.Revision.Number,
		ConfigVersion: v.Revision.Version,
		DomainOut:     v.DomainOut,
		Candidates:    v.Agents.Dump(),
		Load:          s.engine.Load(),
		Queue:         s.engine.DumpQueue(),
	}
	if v.Known {
		d.Config = &v.Config
	}
	for _, m := range s.announcer.Monitors() {
		d.Monitors = append(d.Monitors, m.Name)
	}
	return d
}
