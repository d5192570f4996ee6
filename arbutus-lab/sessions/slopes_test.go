package sessions

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/transport/memory"
)

const (
	// headerBytes is the size of the IPv4 and UDP headers of a datagram.
	headerBytes = 28
	// slopeWindow is the time over which the figures are measured, with slopeChanges changes
	// of the configuration in it.
	slopeWindow  = time.Minute
	slopeChanges = 3
	// agentsPerBalancer is the number of agents for each balancer.
	agentsPerBalancer = 6
	// missedHeartbeats is the number of heartbeat intervals without a heartbeat after which a
	// member is declared dead.
	missedHeartbeats = 4
	agentsPerService = 2
	// fleetSettleTime is how long the fleet runs before figures are measured or faults are
	// injected.
	fleetSettleTime = 40 * time.Second
)

var (
	allSizes        = flag.Bool("slopes", false, "measure control traffic and CPU at four sizes")
	fleetDomains    = []string{"a", "b", "c"}
	heartbeatMillis = flag.Int("slopes-heartbeat", 400, "`milliseconds` between heartbeats")
)

// TestControlSlopes measures how the traffic and CPU time of the control plane grow with
// the number of members. Without -slopes it measures the smallest size only. It logs
// the figures and checks only that the configuration is accepted.
func TestControlSlopes(t *testing.T) {
	sizes := []int{3}
	if *allSizes {
		sizes = []int{3, 6, 12, 24}
	}
	for _, balancers := range sizes {
		runSession(t, uint64(balancers), func(w *deployment) { measureControl(w, balancers) })
	}
}

// startFleet starts balancers with agentsPerBalancer agents for each, in three failure
// domains, applies their configuration, waits for fleetSettleTime, and returns it.
func (w *deployment) startFleet(balancers int) config.Config {
	cfg := config.Config{Deployment: config.Deployment{Name: "slopes", Limits: config.Limits{
		HeartbeatMillis: *heartbeatMillis, DeadAfterMillis: missedHeartbeats * *heartbeatMillis,
	}}}
	for _, d := range fleetDomains {
		cfg.Domains = append(cfg.Domains, config.Domain{Name: d, State: config.DomainIn})
	}
	agents := balancers * agentsPerBalancer
	for i := range agents / agentsPerService {
		cfg.Services = append(cfg.Services, config.Service{
			Name: fmt.Sprintf("service-%d", i), Port: 80,
			Address:      netip.AddrFrom4([4]byte{10, 80, byte(i >> 8), byte(1 + i)}),
			BackendClass: config.BackendClass{Slots: 4, Connections: 2000},
		})
	}
	for i := range balancers {
		w.startBalancer(fmt.Sprintf("balancer-%d", i+1), fleetDomains[i%len(fleetDomains)])
	}
	for i := range agents {
		name := fmt.Sprintf("agent-%d", i+1)
		w.startAgent(name, cfg.Services[i/agentsPerService].Name, fleetDomains[i%len(fleetDomains)])
	}
	w.applyConfig(cfg)
	time.Sleep(fleetSettleTime)
	return cfg
}

// measureControl logs the average traffic, CPU time and memory per member and the store's
// reads, over slopeWindow, in which slopeChanges changes of the configuration are applied. CPU
// time and memory are those of the test process, divided by the number of members.
func measureControl(w *deployment, balancers int) {
	cfg := w.startFleet(balancers)
	agents := balancers * agentsPerBalancer
	members := balancers + agents
	before, cpu, calls := w.traffic(), cpuTime(), w.store.Calls()
	for i := range slopeChanges {
		time.Sleep(slopeWindow / slopeChanges)
		w.applyConfig(cfg.WithDrained(fmt.Sprintf("agent-%d", i+1), true))
	}
	after := w.traffic()
	seconds := slopeWindow.Seconds()
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	w.t.Logf("balancers=%d agents=%d member_cpu_ms_per_s=%.2f member_heap_and_stack_kb=%.0f store_reads_per_s=%.2f",
		balancers, agents,
		float64((cpuTime()-cpu).Microseconds())/1000/seconds/float64(members),
		float64(stats.HeapInuse+stats.StackInuse)/1024/float64(members),
		float64(w.store.Calls().Reads-calls.Reads)/seconds)
	for _, role := range []string{"balancer", "agent"} {
		n := map[string]int{"balancer": balancers, "agent": agents}[role]
		sent, received := after[role].SentDatagrams-before[role].SentDatagrams,
			after[role].ReceivedDatagrams-before[role].ReceivedDatagrams
		bytes := after[role].SentBytes - before[role].SentBytes +
			after[role].ReceivedBytes - before[role].ReceivedBytes + (sent+received)*headerBytes
		w.t.Logf("  %s: datagrams_sent_per_s=%.1f received_per_s=%.1f total_bytes_per_s=%.0f stream_bytes_per_s=%.0f",
			role, float64(sent)/seconds/float64(n), float64(received)/seconds/float64(n), float64(bytes)/seconds/float64(n),
			float64(after[role].StreamBytes-before[role].StreamBytes)/seconds/float64(n))
	}
}

// traffic returns the sum of the traffic of all hosts, by the part of their name before the
// first hyphen: the role.
func (w *deployment) traffic() map[string]memory.Traffic {
	out := make(map[string]memory.Traffic)
	for name, a := range w.addresses {
		role, _, _ := strings.Cut(name, "-")
		sum, t := out[role], w.network.Traffic(a)
		sum.SentDatagrams += t.SentDatagrams
		sum.SentBytes += t.SentBytes
		sum.ReceivedDatagrams += t.ReceivedDatagrams
		sum.ReceivedBytes += t.ReceivedBytes
		sum.StreamBytes += t.StreamBytes
		out[role] = sum
	}
	return out
}

// applyConfig writes the configuration to the store as its next revision, unless it is the
// one in force.
func (w *deployment) applyConfig(cfg config.Config) {
	o := config.NewApplier(directClient(w.store)).Apply(context.Background(), config.Proposal{
		ID: fmt.Sprint(time.Now().UnixNano()), Author: "slopes",
		Change: func(*config.Revision) (config.Config, error) { return cfg, nil },
	})
	w.g.Expect(o.Result).To(BeElementOf(config.Accepted, config.Unchanged))
}

// cpuTime returns the CPU time of the test's own process, or zero on an error.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
