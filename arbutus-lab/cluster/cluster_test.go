package cluster_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-json-experiment/json"
	. "github.com/onsi/gomega"

	"arbutusfront.dev/arbutus-lab/caller"
	"arbutusfront.dev/arbutus-lab/cluster"
	"arbutusfront.dev/arbutus-lab/store"
)

const (
	// binDir holds the programs that make build writes.
	binDir    = "../../bin"
	configDir = "../../examples/phellos"
	// recoveryBound is the time after a fault or a change within which all requests
	// must be answered again.
	recoveryBound = 3 * time.Second
	readyBound    = 10 * time.Second
	concurrency   = 16
	batchRequests = 100
)

var deskService = netip.MustParseAddrPort("10.80.0.1:80")

// harness is a deployment of separate processes with three balancers and one caller's
// host.
type harness struct {
	g       *WithT
	cluster *cluster.Cluster
	host    *caller.Host
	servers []cluster.Server
}

// startHarness starts three balancers and the given number of backend servers with
// their agents, all of one service, and waits until they are ready.
func startHarness(t testing.TB, servers int) *harness {
	t.Helper()
	g := NewWithT(t)
	_, err := os.Stat(filepath.Join(binDir, "arbutus-agent"))
	g.Expect(err).NotTo(HaveOccurred(), "run make build first")
	c, err := cluster.Start(binDir)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { g.Expect(c.Close()).To(Succeed()) })
	h := &harness{g: g, cluster: c}
	ctx, cancel := context.WithCancel(context.Background())
	domains := []string{"arcadia-a", "messinia-b", "laconia-c"}
	var ready []string
	for i, d := range domains {
		name := fmt.Sprintf("balancer-%d", i+1)
		g.Expect(c.StartBalancer(name, d)).To(Succeed())
		ready = append(ready, name)
	}
	g.Expect(c.SetBalancers(ctx, ready...)).To(Succeed())
	for i := range servers {
		s := cluster.Server{Name: fmt.Sprintf("desk-%d", i+1), Service: "contract-desk", Domain: domains[i%3]}
		h.servers = append(h.servers, s)
		g.Expect(c.StartServer(s)).To(Succeed())
		ready = append(ready, s.Name)
	}
	h.ctl("apply", "-f", configDir, "--yes", "--wait")
	g.Expect(c.AwaitReady(readyBound, ready...)).To(Succeed())
	h.host, err = c.NewHost("caller", netip.MustParseAddr("192.0.2.1"))
	g.Expect(err).NotTo(HaveOccurred())
	done := h.host.Run(ctx)
	t.Cleanup(func() {
		cancel()
		g.Expect(<-done).To(Succeed())
	})
	return h
}

func (h *harness) ctl(args ...string) string {
	out, err := h.cluster.Ctl(context.Background(), args...)
	h.g.Expect(err).NotTo(HaveOccurred())
	return out
}

// sendRequests sends n requests, at most concurrency at once, and returns how many
// were answered and the joined errors of the others.
func (h *harness) sendRequests(n int) (answered int, failed error) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	sem := make(chan struct{}, concurrency)
	for i := range n {
		wg.Go(func() {
			sem <- struct{}{}
			defer func() { <-sem }()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			err := caller.Do(ctx, h.host.Client(false), caller.Request{
				Service: deskService, Body: fmt.Appendf(nil, "tally %d", i), AnswerBytes: 3000,
			})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = errors.Join(failed, err)
				return
			}
			answered++
		})
	}
	wg.Wait()
	return answered, failed
}

// runs returns how often each request ID was run by all backend servers together.
func (h *harness) runs() map[string]int {
	total := make(map[string]int)
	for _, s := range h.servers {
		for id, n := range h.runsAt(s.Name) {
			total[id] += n
		}
	}
	return total
}

// runsAt returns how often the named backend server has run each request ID. It is
// empty for one that can't be reached.
func (h *harness) runsAt(name string) map[string]int {
	resp, err := http.Get("http://" + h.cluster.Address(name, 8000).String() + "/ran")
	if err != nil {
		return nil
	}
	text, err := io.ReadAll(resp.Body)
	h.g.Expect(errors.Join(err, resp.Body.Close())).To(Succeed())
	var runs map[string]int
	h.g.Expect(json.Unmarshal(text, &runs)).To(Succeed())
	return runs
}

func (h *harness) signal(name string, s syscall.Signal) {
	h.g.Expect(h.cluster.Process(name).Signal(s)).To(Succeed())
}

func (h *harness) expectAllAnswered() {
	answered, err := h.sendRequests(batchRequests)
	h.g.Expect(err).NotTo(HaveOccurred())
	h.g.Expect(answered).To(Equal(batchRequests))
}

// TestServiceAfterKillAndFreeze guards against requests that fail for longer than
// recoveryBound after a fault. An agent and its backend server are killed, a balancer
// and an agent are frozen and continued, and a backend server is started while the
// store is down. It also guards against a request that runs twice, for instance because
// it is retried after a backend server has already run it.
func TestServiceAfterKillAndFreeze(t *testing.T) {
	h := startHarness(t, 5)
	h.expectAllAnswered()

	h.signal("desk-2", syscall.SIGKILL)
	h.signal("desk-2-backend", syscall.SIGKILL)
	time.Sleep(recoveryBound)
	h.expectAllAnswered()

	h.signal("balancer-3", syscall.SIGSTOP)
	time.Sleep(recoveryBound)
	h.expectAllAnswered()
	h.signal("balancer-3", syscall.SIGCONT)
	time.Sleep(recoveryBound)
	h.expectAllAnswered()

	h.signal("desk-4", syscall.SIGSTOP)
	time.Sleep(recoveryBound)
	h.expectAllAnswered()
	h.signal("desk-4", syscall.SIGCONT)
	time.Sleep(recoveryBound)
	h.expectAllAnswered()

	h.g.Expect(h.cluster.SetFaults(context.Background(), store.Faults{Down: true})).To(Succeed())
	h.g.Expect(h.cluster.StartServer(h.servers[1])).To(Succeed())
	h.g.Expect(h.cluster.AwaitReady(readyBound, "desk-2")).To(Succeed())
	h.expectAllAnswered()
	h.g.Expect(h.cluster.SetFaults(context.Background(), store.Faults{})).To(Succeed())

	for id, n := range h.runs() {
		h.g.Expect(n).To(Equal(1), id)
	}
}

// TestPlannedStopDuringRequests guards against flows that are cut by a planned stop.
// A balancer and an agent get SIGTERM while requests run; all requests must be
// answered.
func TestPlannedStopDuringRequests(t *testing.T) {
	h := startHarness(t, 4)
	type result struct {
		answered int
		err      error
	}
	results := make(chan result, 1)
	go func() {
		answered, err := h.sendRequests(2000)
		results <- result{answered, err}
	}()
	time.Sleep(200 * time.Millisecond)
	h.g.Expect(h.cluster.StartBalancer("balancer-4", "arcadia-a")).To(Succeed())
	h.g.Expect(h.cluster.AwaitReady(readyBound, "balancer-4")).To(Succeed())
	h.g.Expect(h.cluster.SetBalancers(
		context.Background(), "balancer-1", "balancer-2", "balancer-3", "balancer-4",
	)).To(Succeed())
	h.g.Expect(h.cluster.Stop("balancer-2", 15*time.Second)).To(Succeed())
	h.g.Expect(h.cluster.Stop("desk-1", 30*time.Second)).To(Succeed())
	r := <-results
	h.g.Expect(r.err).NotTo(HaveOccurred())
	h.g.Expect(r.answered).To(Equal(2000))
	h.expectAllAnswered()
}

// TestSettingsInvalid guards against a program that starts with invalid settings, or
// rejects them without naming the reason. Each must print one line with the reason and
// exit with code 2.
func TestSettingsInvalid(t *testing.T) {
	g := NewWithT(t)
	c, err := cluster.Start(binDir)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { g.Expect(c.Close()).To(Succeed()) })
	file := filepath.Join(t.TempDir(), "settings.json")
	for _, program := range []string{"arbutus-balancer", "arbutus-agent"} {
		g.Expect(os.WriteFile(file, []byte(`{"name": "x", "colour": "red"}`), 0o600)).To(Succeed())
		for _, verb := range []string{"serve", "check"} {
			out, code := cluster.RunProgram(binDir, program, verb, "-settings", file)
			g.Expect(code).To(Equal(2))
			g.Expect(out).To(Equal(file + ":1: /colour: unknown field; remove it or correct its name\n"))
		}
		g.Expect(os.WriteFile(file, []byte(`{"name": "x"}`), 0o600)).To(Succeed())
		out, code := cluster.RunProgram(binDir, program, "serve", "-settings", file)
		g.Expect(code).To(Equal(2))
		g.Expect(out).To(MatchRegexp(
			`^\S+: /domain: missing or empty; state it; and \d more, see %s check -settings %s\n$`, program, file))
		out, code = cluster.RunProgram(binDir, program, "serve", "-settings", "no-such-file")
		g.Expect(code).To(Equal(2))
		g.Expect(out).To(ContainSubstring("can't read the settings"))
	}
}
