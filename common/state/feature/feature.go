// Package feature names the mechanisms of balancers and agents that can be switched off one by
// one, to measure what each of them is worth.
//
// # Usage
//
//	disabled, err := feature.Parse("ledger,less_loaded")
//	if disabled.Has(feature.Ledger) { ... }
//	for _, f := range feature.All() { fmt.Println(f.Name, f.Purpose) }
//
// A process reads the set once, when it is built.
package feature

import (
	"maps"
	"slices"
	"strings"

	"github.com/zeebo/errs"
)

// Names of the features.
const (
	AdmissionByTime    Name = "admission_by_time"
	EntryRefusal       Name = "entry_refusal"
	ExpectedTime       Name = "expected_time"
	LearnedCosts       Name = "learned_costs"
	Ledger             Name = "ledger"
	RunResets          Name = "run_resets"
	PacketPriority     Name = "packet_priority"
	PendingPackets     Name = "pending_packets"
	StartSearch        Name = "start_search"
	RememberedFlows    Name = "remembered_flows"
	DirectoryReplicas  Name = "directory_replicas"
	LessLoaded         Name = "less_loaded"
	OwnDomainFirst     Name = "own_domain_first"
	FirstSYNPriority   Name = "first_syn_priority"
	CapacityWait       Name = "capacity_wait"
	FailurePenalty     Name = "failure_penalty"
	SilentResets       Name = "silent_resets"
	UnconfiguredSearch Name = "unconfigured_search"
	WatcherElection    Name = "watcher_election"
	ResetPacing        Name = "reset_pacing"
	SeedHeartbeats     Name = "seed_heartbeats"
)

// Error is the class of this package's errors.
var Error = errs.Class("feature")

type (
	// Name identifies a feature.
	Name string

	// Feature is a mechanism that can be switched off.
	Feature struct {
		Name Name
		// Purpose says in one line what the mechanism does.
		Purpose string
	}

	// Set is an immutable set of features. The zero value is the empty set.
	Set struct{ names map[Name]bool }
)

// All returns all features, ordered by name.
func All() []Feature {
	return []Feature{
		{AdmissionByTime, "agents admit, delay or refuse new flows by the time at which their request would be answered"},
		{CapacityWait, "agents buffer SYNs until their backend server has capacity, instead of refusing them"},
		{DirectoryReplicas, "agents publish the flows that they hold to two other agents"},
		{EntryRefusal, "balancers refuse flows of a class that all agents of the service refuse"},
		{ExpectedTime, "balancers choose agents by the time in which they expect an answer"},
		{FailurePenalty, "agents report more load while their backend server fails requests"},
		{FirstSYNPriority, "agents admit first SYNs up to a higher load than retransmitted ones"},
		{LearnedCosts, "agents start with what other agents, and earlier runs, have learned of the cost of requests"},
		{Ledger, "balancers save the flows that they remember in the store, for their next run"},
		{LessLoaded, "balancers choose the less loaded of the two agents that rank first for a flow"},
		{OwnDomainFirst, "balancers prefer agents of their own failure domain for new flows"},
		{PacketPriority, "balancers short of CPU or link bandwidth give up SYNs before packets of open flows"},
		{PendingPackets, "balancers buffer packets that they can't forward yet"},
		{RememberedFlows, "balancers remember the holder of each flow"},
		{ResetPacing, "balancers reset flows of ended runs only once their service admits new ones"},
		{RunResets, "flows of an earlier run of a backend server are reset at once"},
		{SeedHeartbeats, "agents without a configuration send heartbeats to more seeds, also beside monitors"},
		{SilentResets, "agents reset the flows of a backend server that a probe has found dead"},
		{StartSearch, "balancers search for each other and compare their tables at short intervals after the start"},
		{UnconfiguredSearch, "balancers without a configuration query the agents for the holder of a flow"},
		{WatcherElection, "only one balancer of each failure domain watches the store"},
	}
}

// Parse returns the set of the comma-separated names. An unknown name is an error that lists the
// known ones.
func Parse(list string) (Set, error) {
	var s Set
	for name := range strings.SplitSeq(list, ",") {
		if name = strings.TrimSpace(name); name == "" {
			continue
		}
		if !slices.ContainsFunc(All(), func(f Feature) bool { return f.Name == Name(name) }) {
			return Set{}, Error.New("unknown feature %q; use one of %s", name, strings.Join(names(), ", "))
		}
		s = s.With(Name(name))
	}
	return s, nil
}

func names() []string {
	var out []string
	for _, f := range All() {
		out = append(out, string(f.Name))
	}
	return out
}

// With returns the set with the feature added.
func (s Set) With(n Name) Set {
	next := maps.Clone(s.names)
	if next == nil {
		next = make(map[Name]bool)
	}
	next[n] = true
	return Set{names: next}
}

// Has reports whether the set contains the feature.
func (s Set) Has(n Name) bool { return s.names[n] }

// LogFields returns the key and value that a process logs at its start, or none for the empty set.
func (s Set) LogFields() []any {
	if len(s.names) == 0 {
		return nil
	}
	return []any{"without", s.String()}
}

// String returns the names in order, separated by commas.
func (s Set) String() string {
	var out []string
	for _, n := range slices.Sorted(maps.Keys(s.names)) {
		out = append(out, string(n))
	}
	return strings.Join(out, ",")
}
