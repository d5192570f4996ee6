package sessions

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/common/coordination/config"
)

const (
	startedBalancers   = 30
	configuredServices = 2000
	// fleetBalancers is the size of the fleet whose simultaneous start the store must
	// sustain.
	fleetBalancers = 2400
	// readWindow is the time after the start over which the store's reads are counted.
	readWindow = 5 * time.Second
	// configurationBound is the time in which every balancer must have the configuration.
	configurationBound = 10 * time.Second
)

// TestAllBalancersStartAtOnce guards against a start of the whole fleet that overloads the
// store. All balancers start at one moment and only the store has the configuration; with
// a call for each chunk, reads would grow with the size of the configuration. A balancer's
// reads must stay within its share of the store's rate limit for a fleet of fleetBalancers.
func TestAllBalancersStartAtOnce(t *testing.T) {
	runSession(t, 30, func(w *deployment) {
		cfg := config.Config{Deployment: config.Deployment{Name: "fleet"}}
		domains := []string{"a", "b", "c", "d", "e"}
		for _, d := range domains {
			cfg.Domains = append(cfg.Domains, config.Domain{Name: d, State: config.DomainIn})
		}
		for i := range configuredServices {
			cfg.Services = append(cfg.Services, config.Service{
				Name: fmt.Sprintf("service-%d", i), Port: 80,
				Address:      netip.AddrFrom4([4]byte{10, 80, byte(i >> 8), byte(i)}),
				BackendClass: config.BackendClass{Slots: 4, Connections: 2000},
			})
		}
		w.applyConfig(cfg)
		before := w.store.Calls()
		for i := range startedBalancers {
			w.startBalancer(fmt.Sprintf("balancer-%d", i+1), domains[i%len(domains)])
		}
		var perSecond []uint64
		last := before
		everySecond(readWindow, func(int) {
			now := w.store.Calls()
			perSecond = append(perSecond, now.Reads-last.Reads)
			last = now
		})
		t.Logf("reads a second after the start of %d balancers: %v", startedBalancers, perSecond)
		share := float64(storeReadsPerSecond) * readWindow.Seconds() / fleetBalancers
		w.g.Expect(float64(last.Reads - before.Reads)).To(BeNumerically("<=", share*startedBalancers))
		time.Sleep(configurationBound - readWindow)
		for i := range startedBalancers {
			name := fmt.Sprintf("balancer-%d", i+1)
			w.g.Expect(w.readiness(name)).NotTo(ContainSubstring("no configuration"), name)
		}
	})
}
