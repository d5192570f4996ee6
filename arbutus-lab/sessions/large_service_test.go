package sessions

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/arbutus-lab/backend"
	"arbutusfront.dev/common/coordination/config"
)

const (
	// largeService is the number of agents of the service: more than a packet visits
	// (capsule.MaxVisited). largeBalancers is the number of balancers, one in each failure domain.
	largeService   = 40
	largeBalancers = 5
	// largeFlows are opened at intervals of largeFlowPause.
	largeFlows     = 300
	largeFlowPause = 5 * time.Millisecond
)

var (
	largeSeed     = flag.Uint64("large.seed", 90, "seed of the sessions of a large service")
	largeDomains  = []string{"a", "b", "c", "d", "e"}
	largeEndpoint = netip.MustParseAddrPort("10.80.0.1:80")
)

// idleFlow is a caller's flow that stays open, and idle, between two requests.
type idleFlow struct {
	*callerConn

	server string
}

// startLargeService starts a pass-through deployment with one service of largeService agents, and
// largeBalancers balancers.
func (w *deployment) startLargeService() map[string]*passThroughServer {
	servers, _ := w.startLarge(largeService, largeBalancers)
	return servers
}

// startLarge starts a pass-through deployment with one service. Flows remain when their failure domain
// is taken out.
func (w *deployment) startLarge(agents, balancers int) (map[string]*passThroughServer, config.Config) {
	cfg := config.Config{Deployment: config.Deployment{Name: "large", DomainOut: config.KeepFlows}}
	for _, d := range largeDomains {
		cfg.Domains = append(cfg.Domains, config.Domain{Name: d, State: config.DomainIn})
	}
	cfg.Services = []config.Service{{
		Name: "desk", Port: largeEndpoint.Port(), Address: largeEndpoint.Addr(),
		BackendClass: config.BackendClass{Slots: deskServers, Connections: 2000},
	}}
	w.applyConfig(cfg)
	w.startLargeBalancers(1, balancers)
	servers := make(map[string]*passThroughServer)
	for i := range agents {
		name, domain := fmt.Sprintf("desk-%d", i+1), largeDomains[i%len(largeDomains)]
		servers[name] = w.startFlowServer(name, "desk", domain)
		w.startPassThroughAgent(name, "desk", domain, servers[name])
	}
	w.updateFabric()
	time.Sleep(5 * time.Second)
	w.g.Expect(w.fabric.ReadyCount()).To(Equal(balancers))
	return servers, cfg
}

// startLargeBalancers starts n balancers, the first one with the number. The fabric sends packets only
// to these once updateFabric was called.
func (w *deployment) startLargeBalancers(first, n int) {
	w.mu.Lock()
	w.balancers = nil
	w.mu.Unlock()
	for i := range n {
		w.startPassThroughBalancer(fmt.Sprintf("balancer-%d", first+i), largeDomains[i%len(largeDomains)])
	}
}

// request sends a request on the flow and reads its response.
func (f *idleFlow) request(id string) error {
	r, err := http.NewRequest(http.MethodPost, "http://desk/", nil)
	if err != nil {
		return err
	}
	r.Header.Set(backend.HeaderRequest, id)
	if err := r.Write(f); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(f), r)
	if err != nil {
		return err
	}
	f.server = resp.Header.Get(backend.HeaderServer)
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// openIdle opens largeFlows flows with a request on each. It returns those that stay open, and the
// errors of the others.
func (w *deployment) openIdle() (open []*idleFlow, failed []error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range largeFlows {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * largeFlowPause)
			c, err := w.caller.dial(largeEndpoint)
			f := &idleFlow{callerConn: c}
			if err == nil {
				err = f.request(fmt.Sprintf("first %d", i))
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = append(failed, err)
				return
			}
			open = append(open, f)
		})
	}
	wg.Wait()
	return open, failed
}

// requestOnAll sends a request on each flow, and returns the errors.
func requestOnAll(flows []*idleFlow) (failed []error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, f := range flows {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * largeFlowPause)
			if err := f.request(fmt.Sprintf("second %d", i)); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failed = append(failed, err)
			}
		})
	}
	wg.Wait()
	return failed
}

// resetLines returns the balancers' and agents' log lines on resets of flows.
func (w *deployment) resetLines() string {
	var lines strings.Builder
	for line := range strings.Lines(w.log()) {
		if strings.Contains(line, "event=flow_reset") {
			lines.WriteString(line)
		}
	}
	return lines.String()
}

// TestNewFlowBeyondHopLimitIsNotReset guards against the reset of a flow that has just opened. Its
// packet reaches another balancer before its holder has published it, and that balancer's search ends at
// the hop limit, before the holder was asked.
func TestNewFlowBeyondHopLimitIsNotReset(t *testing.T) {
	runSession(t, *largeSeed, func(w *deployment) {
		w.namedLogs = true
		w.startLargeService()
		_, failed := w.openIdle()
		w.g.Expect(failed).To(BeEmpty(), w.resetLines())
	})
}

// TestHolderBeyondHopLimitIsFoundAfterRestarts guards against the reset of an idle flow after all agents and
// balancers have restarted together. Nobody has the flow listed then, and a balancer that does not know it
// asks some of the agents only, although the backend server that holds the flow is beside another one.
func TestHolderBeyondHopLimitIsFoundAfterRestarts(t *testing.T) {
	runSession(t, *largeSeed, func(w *deployment) {
		w.namedLogs = true
		servers := w.startLargeService()
		flows, _ := w.openIdle()
		var stopping sync.WaitGroup
		for name := range servers {
			stopping.Go(func() { w.stop(name) })
		}
		stopping.Wait()
		for i := range largeService {
			name := fmt.Sprintf("desk-%d", i+1)
			w.startPassThroughAgent(name, "desk", largeDomains[i%len(largeDomains)], servers[name])
		}
		w.startLargeBalancers(largeBalancers+1, largeBalancers)
		time.Sleep(3 * time.Second)
		w.updateFabric()
		time.Sleep(5 * time.Second)
		since := len(w.resetLines())
		w.g.Expect(requestOnAll(flows)).To(BeEmpty(), w.resetLines()[since:])
	})
}
