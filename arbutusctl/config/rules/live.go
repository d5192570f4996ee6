package rules

import (
	"fmt"
	"slices"
	"time"

	"arbutusfront.dev/common/coordination/config"
)

type (
	// Live is what the processes of a deployment have reported.
	Live struct {
		// Agents are the known agents, also those that have ended lately.
		Agents []Agent
		// Costs are the mean durations of requests, by service and class.
		Costs map[string]map[config.ClassKey]time.Duration
	}

	// Agent is an agent with its backend server, which has the same name.
	Agent struct {
		Name    string
		Domain  string
		Service string
		// Alive is set unless the agent has left or is dead.
		Alive bool
	}
)

// liveRules compare the configuration with the agents that are known.
func liveRules() []Rule {
	return []Rule{
		{
			"drained_server_unknown",
			"Config.WithDrainedOf (common/coordination/config): drained names stay when files are applied, until they are " +
				"undrained",
			(*checker).checkDrained,
		},
		{
			"service_without_agents",
			"placement.FromMembers (common/state/placement): agents that are drained, or in a failure domain that is out, " +
				"admit no new flows",
			(*checker).checkAgents,
		},
		{
			"domain_of_agents_undefined",
			"Config.DomainIsOut (common/coordination/config): a failure domain that is not defined counts as out",
			(*checker).checkAgentDomains,
		},
	}
}

func (c *checker) checkDrained() {
	if c.Live == nil || c.Current == nil {
		return
	}
	for _, name := range c.Current.Drained {
		if !slices.ContainsFunc(c.Live.Agents, func(a Agent) bool { return a.Name == name }) {
			c.report(config.Place{Path: "/drained"}, "drained "+name, "no backend server of this name is known",
				fmt.Sprintf("undrain it by arbutusctl server undrain %s, unless it is to come back drained", name))
		}
	}
}

// checkAgents reports services that are in force already, and none of whose agents would admit new
// flows. The agents of a new service start later.
func (c *checker) checkAgents() {
	if c.Live == nil || c.Current == nil {
		return
	}
	known, admitting := make(map[string]int), make(map[string]int)
	for _, a := range c.Live.Agents {
		if !a.Alive {
			continue
		}
		known[a.Service]++
		if !c.Config.DomainIsOut(a.Domain) && !c.Current.IsDrained(a.Name) {
			admitting[a.Service]++
		}
	}
	inForce := make(map[string]bool, len(c.Current.Services))
	for _, s := range c.Current.Services {
		inForce[s.Name] = true
	}
	for _, s := range c.Config.Services {
		if !inForce[s.Name] || admitting[s.Name] > 0 || !c.getsNewFlows(s.Name) {
			continue
		}
		detail := "no agent of this service is running: its callers get no answer"
		remedy := "start agents for it, or remove it"
		if n := known[s.Name]; n > 0 {
			detail = fmt.Sprintf("each of its agents that run (%d) is drained, or in a failure domain that is out or not "+
				"defined: it gets no new flows", n)
			remedy = "put a failure domain in service, or undrain backend servers"
		}
		c.reportService(s.Name, "name", detail, remedy)
	}
}

func (c *checker) checkAgentDomains() {
	if c.Live == nil {
		return
	}
	var domains []string
	agents := make(map[string][]string)
	for _, a := range c.Live.Agents {
		if _, defined := c.Config.Domain(a.Domain); !a.Alive || defined {
			continue
		}
		if agents[a.Domain] == nil {
			domains = append(domains, a.Domain)
		}
		agents[a.Domain] = append(agents[a.Domain], a.Name)
	}
	slices.Sort(domains)
	for _, d := range domains {
		c.report(config.Place{Path: "/domains"}, "failure domain "+d,
			fmt.Sprintf("it is not defined, but agents run there (%s): it counts as out", listed(agents[d])),
			"define it under \"domains\", or stop its agents")
	}
}
