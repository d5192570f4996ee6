package soak

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"arbutusfront.dev/common/command"
)

// Kinds of faults and planned changes.
const (
	KillBalancer      Kind = "kill_balancer"
	KillAgent         Kind = "kill_agent"
	KillAll           Kind = "kill_all"
	PauseBalancer     Kind = "pause_balancer"
	PauseAgent        Kind = "pause_agent"
	RestartBalancer   Kind = "restart_balancer"
	RestartAgent      Kind = "restart_agent"
	CrashServer       Kind = "crash_server"
	StoreDown         Kind = "store_down"
	StoreSlow         Kind = "store_slow"
	StoreLosesAnswers Kind = "store_loses_answers"
	StoreRestored     Kind = "store_restored"
	CutFromStore      Kind = "cut_from_store"
	DegradePackets    Kind = "harm_packets"
	DrainServer       Kind = "drain_server"
	DomainOut         Kind = "domain_out"
	OddAnnouncement   Kind = "odd_announcement"
	OddStoreEntries   Kind = "odd_store_entries"
)

const (
	// firstEventAt is the time of the first event, before which callers can open flows.
	firstEventAt = 2 * time.Second
	// targetCooldown is how long a target gets no other fault after one has ended.
	targetCooldown = 2 * time.Second
	// minGap is the least time between the starts of two faults.
	minGap = 200 * time.Millisecond
	// allTargets is the target of a fault that affects all processes.
	allTargets = "all"
	// maxDraws bounds the draws for an event whose target is available.
	maxDraws = 20
)

type (
	// Kind names a fault or planned change.
	Kind string

	// Event is one fault or planned change of the plan. At counts from the start of the
	// plan, and For is how long the event lasts. How is a variant of the kind, empty for
	// kinds without variants.
	Event struct {
		Kind    Kind          `json:"kind"`
		Target  string        `json:"target"`
		How     string        `json:"how"`
		Planned bool          `json:"planned"`
		At      time.Duration `json:"at"`
		For     time.Duration `json:"for"`
	}

	// kindSpec describes how events of a kind are drawn.
	kindSpec struct {
		kind     Kind
		planned  bool
		targets  func(t targets) []string
		variants []string
		// An event lasts at least minDuration and less than maxDuration.
		minDuration, maxDuration time.Duration
		// onlyPassThrough excludes the kind outside pass-through mode, where the change takes
		// minutes because agents hold the flows.
		onlyPassThrough bool
		weight          int
	}

	// targets are the names of the members and failure domains that faults may affect.
	targets struct{ balancers, servers, domains []string }
)

func balancersOf(t targets) []string { return t.balancers }
func serversOf(t targets) []string   { return t.servers }
func domainsOf(t targets) []string   { return t.domains }
func storeOf(targets) []string       { return []string{"store"} }
func allOf(targets) []string         { return []string{allTargets} }

var kinds = []kindSpec{
	{
		kind: KillBalancer, targets: balancersOf,
		minDuration: 200 * time.Millisecond, maxDuration: 2 * time.Second, weight: 3,
	},
	{
		kind: KillAgent, targets: serversOf,
		minDuration: 200 * time.Millisecond, maxDuration: 2 * time.Second, weight: 3,
	},
	{kind: KillAll, targets: allOf, minDuration: 200 * time.Millisecond, maxDuration: time.Second, weight: 1},
	{
		kind: PauseBalancer, targets: balancersOf,
		minDuration: 200 * time.Millisecond, maxDuration: 3 * time.Second, weight: 2,
	},
	{
		kind: PauseAgent, targets: serversOf,
		minDuration: 200 * time.Millisecond, maxDuration: 3 * time.Second, weight: 2,
	},
	{
		kind: RestartBalancer, planned: true, targets: balancersOf,
		minDuration: 100 * time.Millisecond, maxDuration: time.Second, weight: 3,
	},
	{
		kind: RestartAgent, planned: true, targets: serversOf,
		minDuration: 100 * time.Millisecond, maxDuration: 500 * time.Millisecond,
		onlyPassThrough: true, weight: 2,
	},
	{
		kind: CrashServer, targets: serversOf,
		minDuration: 300 * time.Millisecond, maxDuration: 3 * time.Second, weight: 2,
	},
	{kind: StoreDown, targets: storeOf, minDuration: time.Second, maxDuration: 5 * time.Second, weight: 2},
	{kind: StoreSlow, targets: storeOf, minDuration: time.Second, maxDuration: 5 * time.Second, weight: 1},
	{kind: StoreLosesAnswers, targets: storeOf, minDuration: time.Second, maxDuration: 3 * time.Second, weight: 1},
	{
		kind: CutFromStore, targets: balancersOf, variants: []string{"reset", "silent", "slow", "one_way"},
		minDuration: time.Second, maxDuration: 5 * time.Second, weight: 3,
	},
	{
		kind: DegradePackets, targets: balancersOf, variants: []string{"silent", "slow", "lossy"},
		minDuration: 500 * time.Millisecond, maxDuration: 3 * time.Second, weight: 2,
	},
	{
		kind: DrainServer, planned: true, targets: serversOf,
		minDuration: 3 * time.Second, maxDuration: 5 * time.Second, weight: 2,
	},
	{kind: DomainOut, targets: domainsOf, minDuration: 3 * time.Second, maxDuration: 6 * time.Second, weight: 1},
	{
		kind: StoreRestored, targets: storeOf, variants: []string{"1s", "4s", "12s"},
		minDuration: writeBackBound + 200*time.Millisecond, maxDuration: writeBackBound + 4*time.Second, weight: 3,
	},
	{
		kind: OddAnnouncement, planned: true, targets: serversOf, variants: slices.Sorted(maps.Keys(oddAnnouncements)),
		minDuration: 100 * time.Millisecond, maxDuration: time.Second, onlyPassThrough: true, weight: 2,
	},
	{kind: OddStoreEntries, targets: storeOf, minDuration: time.Second, maxDuration: 5 * time.Second, weight: 1},
}

// parseKinds parses a comma-separated list of kinds. An empty list returns nil, which
// stands for all kinds.
func parseKinds(list string) ([]Kind, error) {
	if list == "" {
		return nil, nil
	}
	var out []Kind
	for _, name := range strings.Split(list, ",") {
		if !slices.ContainsFunc(kinds, func(s kindSpec) bool { return s.kind == Kind(name) }) {
			return nil, command.Usagef("unknown kind of fault %q; see arbutus-lab help soak", name)
		}
		out = append(out, Kind(name))
	}
	return out, nil
}

// plan returns the events for the seed, in order of time. Events on different targets may
// overlap; events on the same target don't, and an event on allTargets overlaps with none.
// If maxDraws draws find no available target, that time gets no event.
func plan(seed uint64, d time.Duration, t targets, only []Kind, passThrough bool) []Event {
	random := rand.New(rand.NewPCG(seed, seed))
	choices := weightedKinds(only, passThrough)
	var events []Event
	freeAt := make(map[string]time.Duration)
	for at := firstEventAt; at < d && len(choices) > 0; at += minGap + randomBelow(random, time.Second) {
		for range maxDraws {
			e := drawEvent(random, choices[random.IntN(len(choices))], t, at)
			if at < max(freeAt[e.Target], freeAt[allTargets]) || e.Target == allTargets && anyTargetBusy(freeAt, at) {
				continue
			}
			freeAt[e.Target] = at + e.For + targetCooldown
			events = append(events, e)
			break
		}
	}
	return events
}

// weightedKinds returns the kinds to draw from, each repeated as often as its weight.
// An empty only selects all kinds.
func weightedKinds(only []Kind, passThrough bool) []kindSpec {
	var choices []kindSpec
	for _, s := range kinds {
		if len(only) > 0 && !slices.Contains(only, s.kind) || s.onlyPassThrough && !passThrough {
			continue
		}
		for range s.weight {
			choices = append(choices, s)
		}
	}
	return choices
}

// drawEvent draws an event of the kind with a random target, duration and variant.
func drawEvent(random *rand.Rand, s kindSpec, t targets, at time.Duration) Event {
	names := s.targets(t)
	e := Event{Kind: s.kind, Planned: s.planned, Target: names[random.IntN(len(names))], At: at}
	e.For = s.minDuration + randomBelow(random, s.maxDuration-s.minDuration)
	if len(s.variants) > 0 {
		e.How = s.variants[random.IntN(len(s.variants))]
	}
	return e
}

func randomBelow(random *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(d)))
}

func anyTargetBusy(freeAt map[string]time.Duration, at time.Duration) bool {
	for _, until := range freeAt {
		if at < until {
			return true
		}
	}
	return false
}
