package sessions

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// phellosDomains are the failure domains of the Phellos deployment, in the order in which
// processes are distributed over them.
var phellosDomains = []string{"arcadia-a", "messinia-b", "laconia-c"}

// phellosMembers returns the names of the Phellos deployment's balancers and agents.
func phellosMembers() (balancers, agents []string) {
	for i := range phellosDomains {
		balancers = append(balancers, fmt.Sprintf("balancer-%d", i+1))
	}
	for i := range deskServers {
		agents = append(agents, fmt.Sprintf("contract-desk-%d", i+1))
	}
	for i := range mapServers {
		agents = append(agents, fmt.Sprintf("plot-maps-%d", i+1))
	}
	return balancers, agents
}

// phellosDomain returns the failure domain of the i-th process of a kind.
func phellosDomain(i int) string { return phellosDomains[i%len(phellosDomains)] }

// reap ends a process whose host was killed and waits for it. Errors are only logged, as
// its sockets are closed already.
func (w *deployment) reap(name string) {
	w.mu.Lock()
	r := w.running[name]
	delete(w.running, name)
	w.mu.Unlock()
	r.cancel()
	if err := <-r.done; err != nil {
		w.t.Logf("%s ended: %v", name, err)
	}
}

// crashAgent ends an agent without a last packet from its host, which is cut off
// meanwhile. The backend server keeps running.
func (w *deployment) crashAgent(name string) {
	heal := w.cutHost(name)
	w.reap(name)
	heal()
}

// powerOff kills the machines of all balancers, agents and backend servers at once, and waits
// until their processes have ended.
func (w *deployment) powerOff(balancers, agents []string) {
	for _, name := range append(append([]string{}, balancers...), agents...) {
		w.kill(name)
	}
	for _, name := range balancers {
		w.reap(name)
	}
	for _, name := range agents {
		w.reap(name)
		w.reap(name + "-flows")
		w.reap(name + "-health")
	}
}

// powerOn starts the machines again. No process has kept any state. The new backend servers
// replace the earlier ones in servers.
func (w *deployment) powerOn(balancers, agents []string, servers map[string]*passThroughServer) {
	for i, name := range agents {
		service, domain := "contract-desk", phellosDomain(i)
		if i >= deskServers {
			service, domain = "plot-maps", phellosDomain(i-deskServers)
		}
		servers[name] = w.startFlowServer(name, service, domain)
		w.startPassThroughAgent(name, service, domain, servers[name])
	}
	for i, name := range balancers {
		w.startPassThroughBalancer(name, phellosDomain(i))
	}
}

// TestPowerLossOfEverything guards against callers that keep idle flows which no backend
// server holds any longer, and later send a request on them that they can't safely repeat.
// All machines are without power for a second, so that only the store still knows the
// flows: every caller must be reset within 1.5 s of the restart.
func TestPowerLossOfEverything(t *testing.T) {
	runSession(t, 41, func(w *deployment) {
		w.streamPeriod = time.Hour
		servers := w.startPassThroughPhellos()
		balancers, agents := phellosMembers()
		streams := w.openMany(w.service("contract-desk"), 60)
		defer closeAll(streams)
		time.Sleep(5 * time.Second)
		w.g.Expect(countOpen(streams)).To(Equal(60))

		w.powerOff(balancers, agents)
		time.Sleep(time.Second)
		w.powerOn(balancers, agents, servers)
		restartedAt := time.Now()
		w.g.Expect(w.waitUntil(3*time.Second, func() bool { return countOpen(streams) == 0 })).To(BeTrue(),
			"%d callers still hold flows that no backend server has", countOpen(streams))
		w.g.Expect(time.Since(restartedAt)).To(BeNumerically("<", 1500*time.Millisecond))
		answered, err := w.sendRequests(w.service("contract-desk"))
		w.must(err)
		w.g.Expect(answered).To(Equal(requestCount))
	})
}

// TestGoldenPassThrough guards against changes in what callers and operators see while
// backend servers hold their flows themselves. One session has restarts with empty memory,
// a drain, a new run of a backend server, a failure domain out and in, and two power losses
// of all machines.
func TestGoldenPassThrough(t *testing.T) {
	runSession(t, 42, func(w *deployment) {
		w.streamPeriod = time.Second
		servers := w.startPassThroughPhellos()
		balancers, agents := phellosMembers()
		desk := w.service("contract-desk")
		out := &transcript{w: w}
		streams := w.openMany(desk, 40)
		defer func() { closeAll(streams) }()
		recordState := func(event string) {
			time.Sleep(3 * time.Second)
			answered, err := w.sendRequests(desk)
			w.must(err)
			out.recordf("%-44s flows open %d of %d, requests answered %d of %d",
				event, countOpen(streams), len(streams), answered, requestCount)
		}
		recordState("started")
		for i, b := range balancers {
			w.stop(b)
			w.startPassThroughBalancer(b, phellosDomain(i))
		}
		recordState("balancers restarted in turn")
		for i, a := range agents[:deskServers] {
			w.crashAgent(a)
			w.startPassThroughAgent(a, "contract-desk", phellosDomain(i), servers[a])
			time.Sleep(500 * time.Millisecond)
		}
		recordState("agents killed in turn")
		out.recordf("%-44s %d", "packets of flows at wrong backend servers", maxMisdirected(servers))
		servers["contract-desk-3"].update(func(s *passThroughServer) { s.draining = true })
		time.Sleep(time.Second)
		since := time.Now()
		recordState("contract-desk-3 drains")
		toDrained := func(a arrival) bool { return a.agent == "contract-desk-3" }
		out.recordf("%-44s %d", "new flows at it", w.countSYNs(since, toDrained))
		servers["contract-desk-3"].update(func(s *passThroughServer) { s.draining = false })
		out.ctl("maria", "domain", "out", "laconia-c", "--wait")
		time.Sleep(time.Second)
		since = time.Now()
		recordState("laconia-c is out")
		intoLaconia := func(a arrival) bool { return a.domain == "laconia-c" }
		out.recordf("%-44s %d", "new flows there", w.countSYNs(since, intoLaconia))
		out.ctl("nikos", "domain", "in", "laconia-c", "--wait")
		recordState("laconia-c is in")
		heldFlows := countOpenAt(streams, "contract-desk-1")
		servers["contract-desk-1"].restartEmpty()
		time.Sleep(time.Second)
		out.recordf("%-44s %t", "contract-desk-1 starts anew, its flows end", countOpen(streams) == len(streams)-heldFlows)
		streams = slices.DeleteFunc(streams, func(s *stream) bool { return s.server == "contract-desk-1" })
		reopened := w.openMany(desk, heldFlows)
		streams = append(streams, reopened...)
		recordState("their callers are back")
		w.streamPeriod = time.Hour
		w.powerOff(balancers, agents)
		time.Sleep(time.Second)
		w.powerOn(balancers, agents, servers)
		time.Sleep(3 * time.Second)
		closeAll(streams)
		streams = w.openMany(desk, 40)
		recordState("power loss, and callers are back")
		w.powerOff(balancers, agents)
		time.Sleep(time.Second)
		w.powerOn(balancers, agents, servers)
		recordState("another one while they are idle")
		compareGolden(w, "pass_through.golden", out.String())
		compareGolden(w, "pass_through_events.golden", eventKeys(w.log(),
			"started", "leaving", "left", "stopped", "member", "phase", "domain", "revision_adopted", "ledger_restored",
			"server_started", "server_changed", "flow_placed", "flow_admitted", "flow_adopted", "flows_reset",
		))
	})
}

// maxMisdirected returns the largest number of packets of a single flow that one backend server
// returned to its agent, because it does not hold that flow.
func maxMisdirected(servers map[string]*passThroughServer) int {
	most := 0
	for _, s := range servers {
		s.flowServer.mu.Lock()
		for _, n := range s.returnedPackets {
			most = max(most, n)
		}
		s.flowServer.mu.Unlock()
	}
	return most
}

// countOpenAt counts the streams at the backend server that have not ended.
func countOpenAt(streams []*stream, server string) int {
	n := 0
	for _, s := range streams {
		if s.server == server && s.endError() == nil {
			n++
		}
	}
	return n
}

// countSYNs counts the matching SYNs, also retransmitted ones, that were delivered to agents
// at the given time or later.
func (w *deployment) countSYNs(since time.Time, match func(arrival) bool) int {
	return w.countArrivals(since, func(a arrival) bool { return a.isSYN && match(a) })
}

// update calls change with announcedMu held, to change the state that the backend server
// announces.
func (s *passThroughServer) update(change func(*passThroughServer)) {
	s.announcedMu.Lock()
	defer s.announcedMu.Unlock()
	change(s)
}

// restartEmpty drops all flows and begins a new run, as a crash and a start do.
func (s *passThroughServer) restartEmpty() {
	s.dropFlows()
	s.update(func(s *passThroughServer) { s.startedUnixMillis, s.sequence = time.Now().UnixMilli(), 0 })
}
