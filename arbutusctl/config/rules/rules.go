// Package rules checks a configuration before it is sent to a deployment: it finds entries that can
// never match or get nothing, limits that contradict each other, and what an apply would change, with
// the effect on open flows.
//
// # Usage
//
//	cfg, sources, problems := config.LoadWithSources(dir)
//	findings := rules.Errors(sources, problems)
//	if len(findings) == 0 {
//		findings = rules.Check(rules.Input{Config: cfg, Sources: sources, Current: current, Live: live})
//	}
//	differences, err := rules.Differences(*current, cfg, sources)
//
// All functions are pure. An error is what an apply refuses. Everything else is a warning: the
// configuration can be applied, but some of it does not do what it seems to say. Each rule names the
// part of the code that it is based on. Modes of agents are not part of a configuration, so findings and
// effects that depend on the mode say so.
package rules

import (
	"cmp"
	"slices"

	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/protocol/strictjson"
)

// Severities of findings.
const (
	// Error means that an apply refuses the configuration.
	Error Severity = "error"
	// Warning means that an apply accepts it.
	Warning Severity = "warning"
)

// RuleInvalid is the rule of all errors.
const RuleInvalid = "invalid"

type (
	// Severity says whether a finding prevents an apply.
	Severity string

	// Finding is one thing that is wrong with a configuration. File is empty if the finding is about
	// the configuration in force. Line counts from 1; 0 stands for the whole file. Path is a JSON
	// pointer. Basis is that of the rule; it is empty for errors.
	Finding struct {
		Severity Severity `json:"severity"`
		Rule     string   `json:"rule"`
		File     string   `json:"file"`
		Line     int      `json:"line"`
		Path     string   `json:"path"`
		Entry    string   `json:"entry"`
		Detail   string   `json:"detail"`
		Remedy   string   `json:"remedy"`
		Basis    string   `json:"basis"`
	}

	// Input is what the rules check.
	Input struct {
		// Config is a valid configuration, Sources the places of its entries.
		Config  config.Config
		Sources config.Sources
		// Current is the configuration in force; nil if there is none, or it is not known.
		Current *config.Config
		// Live is what the processes have reported; nil if it is not known.
		Live *Live
	}

	// Rule is a kind of warning. Basis says which part of the code it follows from.
	Rule struct {
		Name  string
		Basis string
		check func(*checker)
	}

	// checker holds the input, and collects the findings of the rules.
	checker struct {
		Input
		entries  []entry
		services map[string]config.Service
		// byService has the entries that have the service as a target.
		byService map[string][]entry
		rule      Rule
		findings  []Finding
	}

	// entry is an address and port that callers connect to: a route, or the address of a service.
	entry struct {
		config.Route
		isService bool
	}
)

// Rules returns all rules, in the order in which they are checked.
func Rules() []Rule {
	return slices.Concat(entryRules(), requestRules(), classRules(), limitRules(), liveRules())
}

// Errors returns the problems that an apply would report.
func Errors(s config.Sources, problems strictjson.Problems) []Finding {
	findings := make([]Finding, 0, len(problems))
	for _, p := range problems {
		findings = append(findings, Finding{
			Severity: Error, Rule: RuleInvalid, File: p.File, Line: p.Line, Path: p.Path,
			Entry: s.EntryAt(p.File, p.Path), Detail: p.Detail, Remedy: p.Remedy,
		})
	}
	return findings
}

// Check returns the warnings for a valid configuration: first those about files, by file and line, then
// those about what is in force.
func Check(in Input) []Finding {
	c := &checker{
		Input: in, services: make(map[string]config.Service, len(in.Config.Services)), byService: make(map[string][]entry),
	}
	for i, r := range in.Config.AllRoutes() {
		c.addEntry(entry{Route: r, isService: i >= len(in.Config.Routes)})
	}
	for _, s := range in.Config.Services {
		c.services[s.Name] = s
	}
	for _, r := range Rules() {
		c.rule = r
		r.check(c)
	}
	slices.SortStableFunc(c.findings, func(a, b Finding) int {
		return cmp.Or(inForceLast(a, b), cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
	return c.findings
}

// inForceLast orders findings without a file after others.
func inForceLast(a, b Finding) int {
	switch {
	case (a.File == "") == (b.File == ""):
		return 0
	case a.File == "":
		return 1
	default:
		return -1
	}
}

func (c *checker) addEntry(e entry) {
	c.entries = append(c.entries, e)
	seen := make(map[string]bool, len(e.Targets))
	for _, t := range e.Targets {
		if !seen[t.Service] {
			seen[t.Service] = true
			c.byService[t.Service] = append(c.byService[t.Service], e)
		}
	}
}

// getsNewFlows reports whether an address, or a route with a weight over 0, leads to the service.
func (c *checker) getsNewFlows(service string) bool {
	return slices.ContainsFunc(c.byService[service], func(e entry) bool { return e.weightOf(service) > 0 })
}

// classesOf returns the request classes of the entries that have the service as a target, in order.
// Of more classes than can have a code, all are returned.
func (c *checker) classesOf(service string) []config.RequestClass {
	var classes []config.RequestClass
	for _, e := range c.byService[service] {
		if !e.Requests.IsZero() {
			classes = append(classes, e.Requests)
		}
	}
	slices.SortFunc(classes, config.RequestClass.Compare)
	return slices.Compact(classes)
}

// String returns the entry's kind and name.
func (e entry) String() string {
	if e.isService {
		return serviceEntry(e.Name)
	}
	return "route " + e.Name
}

// weightOf returns the sum of the entry's weights for the service.
func (e entry) weightOf(service string) int {
	sum := 0
	for _, t := range e.Targets {
		if t.Service == service {
			sum += t.Weight
		}
	}
	return sum
}

func serviceEntry(name string) string { return "service " + name }

// report adds a finding of the current rule.
func (c *checker) report(at config.Place, entry, detail, remedy string) {
	c.findings = append(c.findings, Finding{
		Severity: Warning, Rule: c.rule.Name, File: at.File, Line: at.Line, Path: at.Path,
		Entry: entry, Detail: detail, Remedy: remedy, Basis: c.rule.Basis,
	})
}

// reportEntry adds a finding about a field of the entry.
func (c *checker) reportEntry(e entry, field, detail, remedy string) {
	at := c.Sources.Route(e.Name, field)
	if e.isService {
		at = c.Sources.Service(e.Name, field)
	}
	c.report(at, e.String(), detail, remedy)
}

// reportService adds a finding about a field of the named service.
func (c *checker) reportService(name, field, detail, remedy string) {
	c.report(c.Sources.Service(name, field), serviceEntry(name), detail, remedy)
}
