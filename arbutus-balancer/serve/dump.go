package serve

import (
	"time"

	"arbutusfront.dev/arbutus-balancer/fabric"
	"arbutusfront.dev/arbutus-balancer/state"
	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/heartbeat"
	"arbutusfront.dev/common/coordination/member"
	kvstore "arbutusfront.dev/common/coordination/store"
	"arbutusfront.dev/common/state/demand"
)

type (
	// dump is a balancer's state as served to operators on request. Ready and Reason
	// say whether the balancer is ready, as the readiness probe does. StoreEra is the
	// store's era as of its last response to this balancer, 0 if there was none.
	dump struct {
		Self     member.Member `json:"self"`
		Ready    bool          `json:"ready"`
		Reason   string        `json:"reason"`
		Revision uint64        `json:"revision"`
		// ConfigVersion is the version of the configuration if another system writes it.
		ConfigVersion uint64            `json:"config_version"`
		StoreEra      uint64            `json:"store_era"`
		Config        *config.Config    `json:"config"`
		Monitors      []string          `json:"monitors"`
		Members       []memberDump      `json:"members"`
		Routes        []state.RouteDump `json:"routes"`
		// Agents is what the balancer knows of the agents' load, Demand the requests that it has
		// refused in the last ten seconds.
		Agents []fabric.AgentDump `json:"agents"`
		Demand []demand.Dump      `json:"demand"`
		// Overload is null if the balancer does not observe its load.
		Overload *fabric.OverloadDump `json:"overload"`
	}

	// memberDump is one member, with its last heartbeat to this balancer if there was
	// one.
	memberDump struct {
		Member        member.Member `json:"member"`
		HasHeartbeat  bool          `json:"heard"`
		SilentMillis  int64         `json:"silent_millis"`
		Revision      uint64        `json:"revision"`
		ConfigVersion uint64        `json:"config_version"`
		Flows         uint32        `json:"flows"`
	}
)

// dumpOf returns the state of the balancer, which is not ready for the given reason, or ready if
// that is empty.
func dumpOf(
	n *state.Node, a *heartbeat.Announcer, f *fabric.Forwarder, eras *kvstore.Eras, reason string,
) dump {
	d := dump{
		Self: a.Self(), Ready: reason == "", Reason: reason, StoreEra: eras.Current(), Routes: n.Routes().Dump(),
		Overload: f.Overload(),
	}
	if r := n.Config.Current(); r != nil {
		d.Revision, d.ConfigVersion = r.Order().Number, r.Order().Version
		d.Config = &r.Config
	}
	for _, m := range a.Monitors() {
		d.Monitors = append(d.Monitors, m.Name)
	}
	now := time.Now()
	d.Agents = f.DumpAgents(n.NewDemands(now).ClassOf)
	for _, figures := range f.Demand(now) {
		d.Demand = append(d.Demand, figures.Dump())
	}
	for _, m := range n.Table.Snapshot().Members {
		entry := memberDump{Member: m}
		if h, ok := n.LastHeartbeat(m.ID()); ok {
			entry.HasHeartbeat = true
			entry.SilentMillis = now.Sub(h.At).Milliseconds()
			entry.Revision, entry.ConfigVersion = h.Revision.Number, h.Revision.Version
			entry.Flows = h.Flows
		}
		d.Members = append(d.Members, entry)
	}
	return d
}
