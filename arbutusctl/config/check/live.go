package check

import (
	"context"
	"time"

	"arbutusfront.dev/arbutusctl/config/rules"
	"arbutusfront.dev/arbutusctl/session"
	"arbutusfront.dev/common/coordination/config"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
)

// live returns what the processes of the deployment report, and nil if no balancer responds. It adds to r
// what is not known.
func (o *Options) live(ctx context.Context, cfg, before config.Config, r *report) *rules.Live {
	peers, err := o.Session.Peers()
	if err != nil {
		r.skip(partAgents, err.Error())
		r.skip(partCosts, err.Error())
		return nil
	}
	status, err := peers.Status(ctx)
	if err != nil {
		r.skip(partAgents, err.Error())
		r.skip(partCosts, err.Error())
		return nil
	}
	l := &rules.Live{Agents: agentsOf(status), Costs: make(map[string]map[config.ClassKey]time.Duration)}
	costs, err := peers.Costs(ctx, classifiedServices(cfg, before))
	if err != nil {
		r.skip(partCosts, err.Error())
		return l
	}
	for service, of := range costs {
		l.Costs[service] = make(map[config.ClassKey]time.Duration, len(of))
		for _, c := range of {
			l.Costs[service][c.Class] = c.Mean
		}
	}
	return l
}

// agentsOf returns the agents in a status.
func agentsOf(status *controlv1.StatusResponse) []rules.Agent {
	var agents []rules.Agent
	for _, m := range status.GetMembers() {
		if of := m.GetMember(); of.GetRole() == controlv1.Role_ROLE_AGENT {
			agents = append(agents, rules.Agent{
				Name: of.GetName(), Domain: of.GetDomain(), Service: of.GetService(), Alive: session.IsLive(m),
			})
		}
	}
	return agents
}

// classifiedServices returns the services that have request classes in both configurations, by name.
func classifiedServices(cfg, before config.Config) []string {
	classes, former := cfg.Classes(), before.Classes()
	var services []string
	for _, s := range cfg.Services {
		if len(classes[s.Name]) > 0 && len(former[s.Name]) > 0 {
			services = append(services, s.Name)
		}
	}
	return services
}
