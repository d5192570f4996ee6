package sessions

import (
	"cmp"
	"context"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"arbutusfront.dev/arbutus-lab/store"
	kvstore "arbutusfront.dev/common/coordination/store"
)

var (
	// Parts of the output that depend on which operator wins a race.
	operatorNamePattern  = regexp.MustCompile(`operator-[0-9]`)
	filesPathPattern     = regexp.MustCompile(`apply [^ )]+/files-[0-9]+`)
	drainDeadlinePattern = regexp.MustCompile(`\t600\t10[0-9]`)
	// refusedClaimPattern matches the reason why a claim was refused, in the logs.
	refusedClaimPattern = regexp.MustCompile(`event=claim_refused reason="([^"]*)"`)
)

// phellosProcesses returns the names of the balancers and agents that startPhellos starts.
func phellosProcesses() []string {
	names := []string{"balancer-1", "balancer-2", "balancer-3", "plot-maps-1", "plot-maps-2", "plot-maps-3"}
	for i := range 7 {
		names = append(names, fmt.Sprintf("contract-desk-%d", i+1))
	}
	return names
}

// recordInForce records how many processes have each revision in force.
func (t *transcript) recordInForce(names []string) {
	counts := make(map[uint64]int)
	for _, name := range names {
		counts[t.w.revision(name)]++
	}
	t.recordf("processes by the revision in force: %v", counts)
}

// recordRequests sends requestCount requests to contract-desk and records how many were answered.
func (t *transcript) recordRequests() {
	answered, last := t.w.sendRequests(t.w.service("contract-desk"))
	t.recordf("%d requests: %d answered, error %v", requestCount, answered, last)
}

// failStoreAfterHeadWrite makes the store lose the response to the next write of the head,
// and go down after that write. It returns at once: the fault is injected in the background
// when a new chunk appears, since an apply writes its chunks right before the head.
func (w *deployment) failStoreAfterHeadWrite() {
	client := directClient(w.store)
	headVersion := func() uint64 {
		e, err := client.Get(context.Background(), kvstore.KeyHead)
		w.must(err)
		return e.Version
	}
	chunkCount := func() int {
		entries, err := client.List(context.Background(), kvstore.PrefixChunk)
		w.must(err)
		return len(entries)
	}
	headBefore, chunksBefore := headVersion(), chunkCount()
	go func() {
		for chunkCount() == chunksBefore {
			time.Sleep(time.Millisecond)
		}
		w.store.SetFaults(store.Faults{LoseAnswers: 1})
		for headVersion() == headBefore {
			time.Sleep(time.Millisecond)
		}
		w.store.SetFaults(storeDown)
	}()
}

// TestAppliesWithStoreFaults guards against a wrong outcome of an apply, and against an
// accepted revision that is lost or reverted, while the store loses the response to the
// accepting write, goes down after that write, or serves stale reads.
func TestAppliesWithStoreFaults(t *testing.T) {
	runSession(t, 31, func(w *deployment) {
		out := transcript{w: w}
		w.startPhellos()
		out.recordf("# the answer to the accepting write is lost")
		w.store.SetFaults(store.Faults{LoseAnswers: 1})
		out.ctl("ana", "server", "drain", "contract-desk-1", "--wait")

		out.recordf("# the store goes down after the accepting write")
		w.failStoreAfterHeadWrite()
		text := out.ctl("ana", "server", "drain", "contract-desk-2")
		id := applyIDPattern.FindString(text)
		out.ctl("ana", "status", "--apply-id", id)
		out.recordRequests()
		w.store.SetFaults(store.Faults{})
		time.Sleep(inForceBound)
		out.ctl("ana", "status", "--apply-id", id)
		out.recordInForce(phellosProcesses())

		out.recordf("# another operator applies before it is asked again")
		out.ctl("ben", "server", "undrain", "contract-desk-1", "--wait")
		out.ctl("ana", "status", "--apply-id", id)

		out.recordf("# the store reads stale")
		w.store.SetFaults(store.Faults{StaleReads: true})
		time.Sleep(time.Minute)
		out.recordInForce(phellosProcesses())
		out.ctl("ana", "server", "undrain", "contract-desk-2")
		w.store.SetFaults(store.Faults{})
		out.ctl("ana", "server", "undrain", "contract-desk-2", "--wait")
		out.recordInForce(phellosProcesses())
		compareGolden(w, "accepted.golden", out.String())
	})
}

// TestConcurrentApplies guards against lost updates when operators race. Of 8 that apply
// different files on one base revision while the store loses responses, exactly one must be
// accepted and the others must get a conflict. Two more change different things at once without
// a base revision: both must be accepted.
func TestConcurrentApplies(t *testing.T) {
	runSession(t, 32, func(w *deployment) {
		out := transcript{w: w}
		w.startPhellos()
		w.store.SetFaults(store.Faults{LoseAnswers: 5})
		out.recordf("# 8 operators apply at once, in order of the outcome")
		var commands []func() string
		for i := range 8 {
			files := w.copyDeploymentFiles(`"drain_deadline_seconds": 600`, fmt.Sprintf(`"drain_deadline_seconds": %d`, 100+i))
			commands = append(commands, w.command(
				fmt.Sprintf("operator-%d", i), "apply", "-f", files, "--yes", "--base-revision", "1"))
		}
		out.runConcurrently(commands...)
		time.Sleep(inForceBound)
		out.recordInForce(phellosProcesses())
		out.recordf("# two in haste: what does not touch is kept")
		out.runConcurrently(
			w.command("ana", "domain", "out", "laconia-c"),
			w.command("ben", "server", "drain", "contract-desk-1"),
		)
		time.Sleep(inForceBound)
		out.recordInForce(phellosProcesses())
		_, inForce := w.ctl("get")
		out.recordf("laconia-c is out: %t, contract-desk-1 is drained: %t",
			strings.Contains(inForce, `"out"`), strings.Contains(inForce, `"contract-desk-1"`))
		out.recordRequests()
		compareGolden(w, "noon.golden", out.String())
	})
}

// command returns a function that runs arbutusctl and returns its output and exit
// code.
func (w *deployment) command(author string, args ...string) func() string {
	return func() string {
		code, text := w.ctlAs(author, args...)
		return fmt.Sprintf("%s[exit %d]\n", text, code)
	}
}

// runConcurrently runs the commands concurrently and records their outputs, sorted and without
// the parts that depend on which operator wins the race.
func (t *transcript) runConcurrently(commands ...func() string) {
	outs := make(chan string, len(commands))
	for _, command := range commands {
		go func() { outs <- command() }()
	}
	var texts []string
	for range commands {
		text := operatorNamePattern.ReplaceAllString(normalize(<-outs), "operator-N")
		text = filesPathPattern.ReplaceAllString(text, "apply FILES")
		texts = append(texts, drainDeadlinePattern.ReplaceAllString(text, "\t600\tN"))
	}
	slices.SortFunc(texts, func(a, b string) int {
		return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b))
	})
	t.WriteString(strings.Join(texts, ""))
}

// TestStoreDown guards against a deployment that depends on the store while it serves.
// With the store down for ten minutes, flows must go on, new ones must be answered, and
// backend servers and balancers must be able to join, leave and be declared dead. A
// balancer that reaches no peer must not be ready and must report why. After the outage, reads
// and writes must stay below storeReadsPerSecond and storeWritesPerSecond.
func TestStoreDown(t *testing.T) {
	runSession(t, 33, func(w *deployment) {
		out := transcript{w: w}
		w.streamPeriod = 10 * time.Second
		w.startPhellos()
		streams := w.openMany(w.service("contract-desk"), 50)
		out.recordf("# the store goes down")
		w.store.SetFaults(storeDown)
		out.ctl("ana", "server", "drain", "contract-desk-1")
		out.ctl("ana", "domain", "out", "laconia-c")
		out.recordf("# a backend server announces itself, a balancer joins, one leaves, one reaches nobody")
		w.startServer("contract-desk-8", "contract-desk", "arcadia-a")
		w.startBalancer("balancer-4", "messinia-b")
		w.startBalancerWithoutSeeds("balancer-9", "laconia-c")
		time.Sleep(5 * time.Second)
		w.updateFabric()
		w.stop("balancer-3")
		out.recordRequests()
		out.recordf("balancers that the fabric finds ready: %d", w.fabric.ReadyCount())
		out.recordf("contract-desk-8 ran requests: %t", len(w.backends["contract-desk-8"].Runs()) > 0)
		out.recordf("balancer-4: %s", strings.TrimSpace(w.readiness("balancer-4")))
		out.recordf("balancer-9: %s", strings.TrimSpace(w.readiness("balancer-9")))
		out.recordf("# a backend server dies")
		w.kill("contract-desk-3")
		detected := w.waitUntil(detectionBound, func() bool {
			return strings.Contains(w.log(), "name=contract-desk-3 role=agent phase=dead")
		})
		out.recordf("detected within 3 s: %t", detected)
		time.Sleep(10 * time.Minute)
		out.recordRequests()
		out.recordf("# the store is back")
		before := w.store.Calls()
		w.store.SetFaults(store.Faults{})
		time.Sleep(time.Second)
		after := w.store.Calls()
		out.recordf("reads and writes in the first second within its limits: %t",
			after.Reads-before.Reads < storeReadsPerSecond && after.Writes-before.Writes < storeWritesPerSecond)
		time.Sleep(10 * time.Second)
		out.recordf("balancer-9: %s", strings.TrimSpace(w.readiness("balancer-9")))
		out.ctl("ana", "server", "drain", "contract-desk-1", "--wait")
		elsewhere := func(s *stream) bool { return s.server != "contract-desk-3" }
		out.recordf("streams ended but for those of contract-desk-3: %d", count(streams, and(elsewhere, not(alive))))
		closeAll(streams)
		compareGolden(w, "outage.golden", out.String())
	})
}

// TestDiscoveryWithoutServerList guards against backend servers that are not found, or
// displace another, as no file lists them. They announce themselves, restart and die; one
// starts while the store is down, with an agent none of whose seeds exists. A claim of a name
// must be refused until the agent that holds the claim is dead.
func TestDiscoveryWithoutServerList(t *testing.T) {
	runSession(t, 34, func(w *deployment) {
		out := transcript{w: w}
		w.startPhellos()
		out.ctl("ana", "status")
		out.recordf("# an agent that knows no balancer, while the store is down")
		w.store.SetFaults(storeDown)
		w.startBackend("contract-desk-8", "contract-desk", "messinia-b")
		w.startAgentWithUnreachableSeeds("contract-desk-8", "contract-desk", "messinia-b")
		time.Sleep(seedlessJoinBound)
		w.store.SetFaults(store.Faults{})
		out.recordRequests()
		out.recordf("contract-desk-8 ran requests: %t", len(w.backends["contract-desk-8"].Runs()) > 0)
		out.recordf("# a second agent claims a name, a third one a name and its backend server")
		w.startServer("impostor", "contract-desk", "arcadia-a", "contract-desk-1")
		w.startSecondAgent("twin", "contract-desk-2", "contract-desk", "messinia-b")
		time.Sleep(seedlessJoinBound)
		out.recordRefusedClaims()
		out.recordRequests()
		out.recordf("impostor ran requests: %t", len(w.backends["impostor"].Runs()) > 0)
		out.recordf("# the holder dies: the claim is granted")
		w.kill("contract-desk-1")
		time.Sleep(2 * seedlessJoinBound)
		out.recordRequests()
		out.recordf("impostor ran requests: %t", len(w.backends["impostor"].Runs()) > 0)
		out.recordf("# one restarts")
		w.kill("plot-maps-1")
		time.Sleep(detectionBound)
		w.startServer("plot-maps-1", "plot-maps", "arcadia-a")
		time.Sleep(seedlessJoinBound)
		out.ctl("ana", "status")
		compareGolden(w, "discovery.golden", out.String())
	})
}

// recordRefusedClaims records the distinct reasons of refused claims, sorted.
func (t *transcript) recordRefusedClaims() {
	var reasons []string
	for _, match := range refusedClaimPattern.FindAllStringSubmatch(t.w.log(), -1) {
		reasons = append(reasons, match[1])
	}
	slices.Sort(reasons)
	for _, reason := range slices.Compact(reasons) {
		t.recordf("claim refused: %s", reason)
	}
}
