package serve

import (
	"arbutusfront.dev/arbutus-agent/backend"
	"arbutusfront.dev/arbutus-agent/flow"
	"arbutusfront.dev/arbutus-agent/state"
	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/heartbeat"
	"arbutusfront.dev/common/coordination/member"
	"arbutusfront.dev/common/state/placement"
)

type (
	// dump is the state of an agent for inspection.
	dump struct {
		Self     member.Member `json:"self"`
		Ready    bool          `json:"ready"`
		Reason   string        `json:"reason"`
		Trusted  bool          `json:"trusted"`
		Revision uint64        `json:"revision"`
		// ConfigVersion is the version of the configuration if another system writes it.
		ConfigVersion uint64                    `json:"config_version"`
		Config        *config.View              `json:"config"`
		DomainOut     bool                      `json:"domain_out"`
		Drained       bool                      `json:"drained"`
		Monitors      []string                  `json:"monitors"`
		Candidates    []placement.CandidateDump `json:"candidates"`
		Limits        backend.Snapshot          `json:"limits"`
		Flows         flow.Dump                 `json:"flows"`
	}
)

func dumpOf(n *state.Node, a *heartbeat.Announcer, b *backend.Server, e *flow.Engine) dump {
	v := n.View()
	reason := notReadyReason(n, a)
	d := dump{
		Self:          a.Self(),
		Ready:         reason == "",
		Reason:        reason,
		Trusted:       a.HasLease(),
		Revision:      v.Revision.Number,
		ConfigVersion: v.Revision.Version,
		DomainOut:     v.DomainOut,
		Candidates:    v.Agents.Dump(),
		Drained:       v.Drained,
		Limits:        b.Limiter.Snapshot(),
		Flows:         e.Dump(),
	}
	if v.Known {
		d.Config = &v.Config
	}
	for _, m := range a.Monitors() {
		d.Monitors = append(d.Monitors, m.Name)
	}
	return d
}
