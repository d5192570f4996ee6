package sessions

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/common/coordination/config"
)

// admittingAgents is the number of agents that admit one flow each: more than a SYN visits.
const admittingAgents = 48

// TestFlowsFillAllAgents guards against a flow that is refused because its SYN has visited as many agents as
// its header has room for, and all of these were full, while other agents admit flows.
func TestFlowsFillAllAgents(t *testing.T) {
	for _, passThrough := range []bool{false, true} {
		t.Run(fmt.Sprintf("pass_through=%v", passThrough), func(t *testing.T) {
			runSession(t, *largeSeed, func(w *deployment) {
				w.namedLogs = true
				cfg := config.Config{Deployment: config.Deployment{Name: "large"}}
				for _, d := range largeDomains {
					cfg.Domains = append(cfg.Domains, config.Domain{Name: d, State: config.DomainIn})
				}
				cfg.Services = []config.Service{{
					Name: "desk", Port: largeEndpoint.Port(), Address: largeEndpoint.Addr(),
					BackendClass: config.BackendClass{Slots: 1, Connections: 1},
					ColdStart:    config.ColdStart{Connections: 1, NewPerSecond: 100, WarmAfterConnections: 1},
				}}
				w.applyConfig(cfg)
				for i, domain := range largeDomains {
					name := fmt.Sprintf("balancer-%d", 1+i)
					if passThrough {
						w.startPassThroughBalancer(name, domain)
					} else {
						w.startBalancer(name, domain)
					}
				}
				for i := range admittingAgents {
					name, domain := agentWithNumber(i), largeDomains[i%len(largeDomains)]
					if passThrough {
						w.startPassThroughAgent(name, "desk", domain, w.startFlowServer(name, "desk", domain))
					} else {
						w.startServer(name, "desk", domain)
					}
				}
				w.updateFabric()
				time.Sleep(settleTime)
				var refused []error
				for i := range admittingAgents {
					c, err := w.caller.dial(largeEndpoint)
					if err != nil {
						refused = append(refused, fmt.Errorf("flow %d: %w", i+1, err))
						continue
					}
					w.must((&idleFlow{callerConn: c}).request(fmt.Sprintf("fill %d", i)))
					// Load reports and updates of the directory arrive meanwhile.
					time.Sleep(300 * time.Millisecond)
				}
				t.Logf("refused=%d of %d: %v", len(refused), admittingAgents, refused)
				w.g.Expect(refused).To(BeEmpty(), w.resetLines())
			})
		})
	}
}
