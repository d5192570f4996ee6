// Package experiment runs a deployment as separate processes under load, with changes
// and faults at given times, and returns the measurements as a result.
//
// # Usage
//
//	x, err := experiment.Read("experiments/phellos.json")
//	result, err := experiment.Run(ctx, x, experiment.WithPrograms("bin"))
//
// Requests are sent at their due times, whether or not earlier ones have been answered,
// and latency is measured from the due time. What is invalid in a file is returned as
// strictjson.Problems.
package experiment

import (
	"fmt"
	"os"
	"time"

	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/protocol/strictjson"
)

// Actions of changes, as an experiment's file names them.
const (
	Drain           Action = "drain"
	Undrain         Action = "undrain"
	AddServer       Action = "add_server"
	ReplaceBalancer Action = "replace_balancer"
	DomainOut       Action = "domain_out"
	DomainIn        Action = "domain_in"
	Kill            Action = "kill"
	Freeze          Action = "freeze"
	Thaw            Action = "thaw"
	StoreDown       Action = "store_down"
	StoreUp         Action = "store_up"
)

// Limits of an experiment.
const (
	maxSeconds   = 600
	maxPerSecond = 5000
	maxLongFlows = 10_000
	maxHosts     = 64
	maxBalancers = 20
	maxServers   = 100
)

type (
	// Action names what a change does.
	Action string

	// Experiment is the content of an experiment's file.
	Experiment struct {
		Name string `json:"name"`
		// Config is the directory with the deployment's files.
		Config string `json:"config"`
		// Service is the name of the service to which callers send requests.
		Service string `json:"service"`
		// Seed is the seed of the fabric's random choice of balancers.
		Seed uint64 `json:"seed"`
		// DelayMillis is how long packets take between callers and the fabric, in each
		// direction.
		DelayMillis int `json:"delay_millis"`
		// WorkMillis is how long a request occupies one of a backend server's slots.
		WorkMillis int `json:"work_millis"`
		// Seconds is how long the load lasts.
		Seconds   int       `json:"seconds"`
		Balancers int       `json:"balancers"`
		Servers   []Servers `json:"servers"`
		Load      Load      `json:"load"`
		Changes   []Change  `json:"changes"`
	}

	// Servers is the number of backend servers of a service, which are spread over the
	// failure domains.
	Servers struct {
		Service string `json:"service"`
		Count   int    `json:"count"`
	}

	// Load is the load that callers generate.
	Load struct {
		// Hosts is the number of callers' hosts.
		Hosts int `json:"hosts"`
		// LongFlows is the number of flows that are opened before the load and held.
		LongFlows int        `json:"long_flows"`
		Requests  []Requests `json:"requests"`
	}

	// Requests are requests of one kind, which are sent at a constant rate, each on its
	// own flow. A request is retried only if its flow was refused.
	Requests struct {
		Name        string `json:"name"`
		PerSecond   int    `json:"per_second"`
		BodyBytes   int    `json:"body_bytes"`
		AnswerBytes int    `json:"answer_bytes"`
	}

	// Change is one planned change or fault.
	Change struct {
		// AtMillis is when the change is made, after the start of the load.
		AtMillis int    `json:"at_millis"`
		Action   Action `json:"action"`
		// Target is the backend server, balancer, failure domain or process to change.
		Target string `json:"target"`
		// Domain is the failure domain of a backend server that is added.
		Domain string `json:"domain"`
	}

	// validator collects the problems of an experiment's file.
	validator struct {
		file string
		// locate returns the line of a JSON pointer.
		locate   func(string) int
		problems strictjson.Problems
	}
)

// Read reads and validates the file. An error is a strictjson.Problem or
// strictjson.Problems.
func Read(file string) (*Experiment, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, strictjson.Problem{
			File:   file,
			Detail: "can't read the experiment: " + err.Error(),
			Remedy: "name a readable file",
		}
	}
	return Parse(file, content)
}

// Parse decodes and validates the file's content. An error is strictjson.Problems.
func Parse(file string, content []byte) (*Experiment, error) {
	x := new(Experiment)
	if problems := strictjson.Decode(file, content, x); problems != nil {
		return nil, problems
	}
	v := &validator{file: file, locate: strictjson.Locate(content)}
	v.validate(x)
	if len(v.problems) > 0 {
		return nil, v.problems
	}
	return x, nil
}

// At returns the time of the change after the start of the load.
func (c Change) At() time.Duration { return time.Duration(c.AtMillis) * time.Millisecond }

// duration returns how long the load lasts.
func (x *Experiment) duration() time.Duration { return time.Duration(x.Seconds) * time.Second }

// validate adds the problems of the experiment. It stops if the deployment can't be read.
func (v *validator) validate(x *Experiment) {
	cfg, problems := config.LoadDirectory(x.Config)
	if len(problems) > 0 {
		v.addProblem("/config", problems[0].Error(), "name a directory with a whole deployment")
		return
	}
	if _, ok := cfg.Service(x.Service); !ok {
		v.addProblem("/service", fmt.Sprintf("the deployment has no service %q", x.Service), "name one of its services")
	}
	v.checkRange("/seconds", x.Seconds, 1, maxSeconds)
	v.checkRange("/balancers", x.Balancers, 1, maxBalancers)
	v.checkRange("/load/hosts", x.Load.Hosts, 1, maxHosts)
	v.checkRange("/load/long_flows", x.Load.LongFlows, 0, maxLongFlows)
	for i, s := range x.Servers {
		path := fmt.Sprintf("/servers/%d", i)
		if _, ok := cfg.Service(s.Service); !ok {
			v.addProblem(
				path+"/service", fmt.Sprintf("the deployment has no service %q", s.Service), "name one of its services",
			)
		}
		v.checkRange(path+"/count", s.Count, 1, maxServers)
	}
	for i, r := range x.Load.Requests {
		v.checkRange(fmt.Sprintf("/load/requests/%d/per_second", i), r.PerSecond, 1, maxPerSecond)
	}
	for i, change := range x.Changes {
		v.checkChange(fmt.Sprintf("/changes/%d", i), x, cfg, change)
	}
}

// checkChange adds the problems of the change at the JSON pointer.
func (v *validator) checkChange(path string, x *Experiment, cfg config.Config, change Change) {
	v.checkRange(path+"/at_millis", change.AtMillis, 0, x.Seconds*int(time.Second/time.Millisecond))
	switch change.Action {
	case StoreDown, StoreUp:
	case DomainOut, DomainIn:
		v.checkDomain(path+"/target", cfg, change.Target)
	case AddServer:
		v.checkDomain(path+"/domain", cfg, change.Domain)
		v.checkTarget(path, change)
	case Drain, Undrain, ReplaceBalancer, Kill, Freeze, Thaw:
		v.checkTarget(path, change)
	default:
		v.addProblem(
			path+"/action", fmt.Sprintf("unknown action %q", change.Action), "use one of those in docs/EXPERIMENTS.md",
		)
	}
}

// checkTarget adds a problem if the change has no target.
func (v *validator) checkTarget(path string, change Change) {
	if change.Target == "" {
		v.addProblem(path+"/target", "missing or empty", "name what to change")
	}
}

// checkDomain adds a problem if the deployment lacks the failure domain.
func (v *validator) checkDomain(path string, cfg config.Config, name string) {
	if _, ok := cfg.Domain(name); !ok {
		v.addProblem(path, fmt.Sprintf("the deployment has no failure domain %q", name), "name one of its failure domains")
	}
}

// checkRange adds a problem unless n is from lowest to highest.
func (v *validator) checkRange(path string, n, lowest, highest int) {
	if n < lowest || n > highest {
		v.addProblem(path, fmt.Sprintf("%d is out of range", n), fmt.Sprintf("use a number from %d to %d", lowest, highest))
	}
}

// addProblem adds a problem at the JSON pointer.
func (v *validator) addProblem(path, detail, remedy string) {
	v.problems = append(v.problems, strictjson.Problem{
		File: v.file, Line: v.locate(path), Path: path, Detail: detail, Remedy: remedy,
	})
}
