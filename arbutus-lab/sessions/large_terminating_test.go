package sessions

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/common/coordination/config"
)

const (
	// grownFrom and grownTo are the numbers of agents of a service before and after it grows. The added
	// agents precede most holders of the earlier flows in the ranking, by more than a packet visits.
	grownFrom, grownTo = 4, 48
	// restartRounds is how often the added agents of restartedDomains are killed, and restarted after
	// restartPause. They are declared dead meanwhile.
	restartRounds    = 3
	restartedDomains = 3
	restartPause     = 2500 * time.Millisecond
	// roundTime is how long requests are sent after each restart, with requestPause between two on a flow.
	roundTime    = 1500 * time.Millisecond
	requestPause = 50 * time.Millisecond
	// updatesLostFor is how long links are cut: longer than the reset delay and a retransmission.
	updatesLostFor = 4 * time.Second
	// settleTime is enough for all processes to know all agents, and to publish their flows.
	settleTime = 5 * time.Second
	// endedFlowResetTime is the reset delay of 1.5 s, one retransmission after it and the ways of packets.
	endedFlowResetTime = 1500*time.Millisecond + retransmitInterval + 100*time.Millisecond
)

// startTerminating starts a deployment whose agents terminate callers' TCP, with n agents of one service.
func (w *deployment) startTerminating(n int) {
	cfg := config.Config{Deployment: config.Deployment{Name: "large"}}
	for _, d := range largeDomains {
		cfg.Domains = append(cfg.Domains, config.Domain{Name: d, State: config.DomainIn})
	}
	cfg.Services = []config.Service{{
		Name: "desk", Port: largeEndpoint.Port(), Address: largeEndpoint.Addr(),
		BackendClass: config.BackendClass{Slots: 400, Connections: 2000},
		ColdStart:    config.ColdStart{Connections: 2000, NewPerSecond: 2000, WarmAfterConnections: 1},
	}}
	w.applyConfig(cfg)
	for i, domain := range largeDomains {
		w.startBalancer(fmt.Sprintf("balancer-%d", 1+i), domain)
	}
	w.startTerminatingAgents(numbersOfAgents(0, n))
	w.updateFabric()
	time.Sleep(settleTime)
}

// numbersOfAgents returns the numbers from first to end-1.
func numbersOfAgents(first, end int) []int {
	var numbers []int
	for i := first; i < end; i++ {
		numbers = append(numbers, i)
	}
	return numbers
}

func agentWithNumber(i int) string { return fmt.Sprintf("desk-%d", i+1) }

// startTerminatingAgents starts the agents with the numbers and their backend servers.
func (w *deployment) startTerminatingAgents(numbers []int) {
	for _, i := range numbers {
		w.startServer(agentWithNumber(i), "desk", largeDomains[i%len(largeDomains)])
	}
}

func (w *deployment) killAgents(numbers []int) {
	for _, i := range numbers {
		w.kill(agentWithNumber(i))
	}
}

// requestRepeatedly sends requests on each flow for d. It returns the flows that are still open, the
// errors of the others, and the longest time that a request took.
func requestRepeatedly(
	flows []*idleFlow, label string, d time.Duration,
) (open []*idleFlow, failed []error, slowest time.Duration) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for i, f := range flows {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				begun := time.Now()
				err := f.request(fmt.Sprintf("%s %d %d", label, i, n))
				mu.Lock()
				slowest = max(slowest, time.Since(begun))
				if err != nil {
					failed = append(failed, err)
				}
				mu.Unlock()
				if err != nil {
					return
				}
				time.Sleep(requestPause)
			}
			mu.Lock()
			defer mu.Unlock()
			open = append(open, f)
		})
	}
	wg.Wait()
	return open, failed, slowest
}

// TestFlowOfGrownServiceIsNotReset guards against the reset of an open flow whose holder is beyond the hop
// limit, since the service has grown. Agents that have the flow listed restart again and again, and its
// packets arrive before the holder has published it once more.
func TestFlowOfGrownServiceIsNotReset(t *testing.T) {
	runSession(t, *largeSeed, func(w *deployment) {
		w.startTerminating(grownFrom)
		flows, failed := w.openIdle()
		w.g.Expect(failed).To(BeEmpty())
		added := numbersOfAgents(grownFrom, grownTo)
		w.startTerminatingAgents(added)
		time.Sleep(settleTime)
		restarted := slices.DeleteFunc(added, func(i int) bool { return i%len(largeDomains) >= restartedDomains })
		for round := range restartRounds {
			w.killAgents(restarted)
			time.Sleep(restartPause)
			w.startTerminatingAgents(restarted)
			open, failed, slowest := requestRepeatedly(flows, fmt.Sprint("round ", round), roundTime)
			t.Logf("round=%d flows=%d failed=%d slowest=%v", round, len(flows), len(failed), slowest)
			w.g.Expect(failed).To(BeEmpty())
			flows = open
			time.Sleep(settleTime)
		}
	})
}

// TestFlowIsNotResetWhileUpdatesAreLost guards against the reset of an open flow whose holder is beyond the
// hop limit while its updates don't reach the agents that are to have the flow listed: they have restarted,
// and the links from the holders to them are cut in this direction for longer than the reset delay.
func TestFlowIsNotResetWhileUpdatesAreLost(t *testing.T) {
	runSession(t, *largeSeed, func(w *deployment) {
		w.startTerminating(grownFrom)
		flows, failed := w.openIdle()
		w.g.Expect(failed).To(BeEmpty())
		added := numbersOfAgents(grownFrom, grownTo)
		w.startTerminatingAgents(added)
		time.Sleep(settleTime)
		restarted := slices.DeleteFunc(added, func(i int) bool { return i%len(largeDomains) >= restartedDomains })
		w.killAgents(restarted)
		holders, deaf := w.hostsOfAgents(numbersOfAgents(0, grownFrom)), w.hostsOfAgents(restarted)
		heal := w.cut(func(from, to netip.Addr) bool { return holders[from] && deaf[to] })
		time.Sleep(restartPause)
		w.startTerminatingAgents(restarted)
		time.AfterFunc(updatesLostFor, heal)
		_, failed, slowest := requestRepeatedly(flows, "cut", updatesLostFor)
		t.Logf("flows=%d failed=%d slowest=%v", len(flows), len(failed), slowest)
		w.g.Expect(failed).To(BeEmpty())
	})
}

// hostsOfAgents returns the addresses of the agents with the numbers.
func (w *deployment) hostsOfAgents(numbers []int) map[netip.Addr]bool {
	hosts := make(map[netip.Addr]bool)
	for _, i := range numbers {
		hosts[w.address(agentWithNumber(i), 0).Addr()] = true
	}
	return hosts
}

// TestEndedFlowOfLargeServiceIsReset guards against a flow that is not reset, or later than without a
// search, after its holder was killed and nobody has it listed. It logs how long the resets take.
func TestEndedFlowOfLargeServiceIsReset(t *testing.T) {
	for _, added := range []int{4, 12, 44} {
		t.Run(fmt.Sprintf("%d agents", grownFrom+added), func(t *testing.T) {
			runSession(t, *largeSeed, func(w *deployment) {
				w.startTerminating(grownFrom)
				flows, _ := w.openIdle()
				others := numbersOfAgents(grownFrom, grownFrom+added)
				w.startTerminatingAgents(others)
				time.Sleep(settleTime)
				// The others lose what is listed there, and don't learn of the holders' deaths.
				w.killAgents(numbersOfAgents(0, grownFrom+added))
				time.Sleep(restartPause)
				w.startTerminatingAgents(others)
				time.Sleep(settleTime)
				took := resetTimes(flows)
				slices.Sort(took)
				t.Logf("flows=%d p50=%v p99=%v max=%v", len(took), took[len(took)/2], took[len(took)*99/100], took[len(took)-1])
				w.g.Expect(took).To(HaveLen(len(flows)))
				w.g.Expect(took[len(took)-1]).To(BeNumerically("<=", endedFlowResetTime))
			})
		})
	}
}

// resetTimes sends a request on each flow, and returns how long it took until each was reset.
func resetTimes(flows []*idleFlow) (took []time.Duration) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, f := range flows {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * largeFlowPause)
			begun := time.Now()
			err := f.request(fmt.Sprintf("ended %d", i))
			mu.Lock()
			defer mu.Unlock()
			if errors.Is(err, syscall.ECONNRESET) {
				took = append(took, time.Since(begun))
			}
		})
	}
	wg.Wait()
	return took
}
