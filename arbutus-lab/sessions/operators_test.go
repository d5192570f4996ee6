package sessions

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/google/subcommands"
	. "github.com/onsi/gomega"

	"arbutusfront.dev/arbutus-lab/fabric"
	"arbutusfront.dev/arbutusctl/commands"
	"arbutusfront.dev/arbutusctl/session"
	"arbutusfront.dev/common/command"
	"arbutusfront.dev/common/coordination/peer"
	"arbutusfront.dev/common/transport/network"
)

// copyDeploymentFiles copies the Phellos deployment's files with texts replaced, given as pairs
// of old and new, and returns the directory of the copies.
func (w *deployment) copyDeploymentFiles(oldnew ...string) string {
	dir, err := os.MkdirTemp(w.dir, "files-")
	w.must(err)
	for _, name := range []string{"deployment.json", "services.json"} {
		b, err := os.ReadFile(filepath.Join("../../examples/phellos", name))
		w.must(err)
		text := strings.NewReplacer(oldnew...).Replace(string(b))
		w.must(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	return dir
}

// startPhellos starts the Phellos deployment with a balancer in each failure domain,
// deskServers and mapServers backend servers, applies its files, and expects the fabric to
// find all balancers ready after another 3 s.
func (w *deployment) startPhellos() {
	domains := []string{"arcadia-a", "messinia-b", "laconia-c"}
	for i, d := range domains {
		w.startBalancer(fmt.Sprintf("balancer-%d", i+1), d)
	}
	for i := range deskServers {
		w.startServer(fmt.Sprintf("contract-desk-%d", i+1), "contract-desk", domains[i%len(domains)])
	}
	for i := range mapServers {
		w.startServer(fmt.Sprintf("plot-maps-%d", i+1), "plot-maps", domains[i%len(domains)])
	}
	w.updateFabric()
	code, out := w.ctl("apply", "-f", "../../examples/phellos", "--yes", "--wait")
	w.g.Expect(code).To(Equal(0), out)
	time.Sleep(3 * time.Second)
	w.g.Expect(w.fabric.ReadyCount()).To(Equal(len(domains)))
}

// updateFabric gives the fabric the list of the balancers started so far, also of those that have
// ended. The fabric sends callers' packets to those of them that are ready.
func (w *deployment) updateFabric() {
	w.mu.Lock()
	names := append([]string(nil), w.balancers...)
	w.mu.Unlock()
	var list []fabric.Balancer
	for _, name := range names {
		list = append(list, fabric.Balancer{
			Packets: w.address(name, portFabric), Control: w.address(name, portControl).String(),
		})
	}
	w.fabric.SetBalancers(list)
}

// ctl runs arbutusctl as operator ana, and returns its exit code and output.
func (w *deployment) ctl(args ...string) (int, string) {
	return w.ctlAs("ana", args...)
}

// ctlAs runs arbutusctl as the operator, and returns its exit code and its stdout and
// stderr.
func (w *deployment) ctlAs(author string, args ...string) (int, string) {
	var out bytes.Buffer
	streams := command.Streams{In: &bytes.Buffer{}, Out: &out, Err: &out}
	s := session.New(streams)
	s.Author = func() string { return author }
	n := w.network.Host(ctlHost)
	s.Network = func() network.Network { return n }
	defer s.Close()
	args = append(slices.Clone(args), "-settings", w.settingsFile("ctl"))
	code := command.RunContext(context.Background(), streams, "arbutusctl", args, func(c *subcommands.Commander) {
		commands.Register(c, s)
	})
	return code, out.String()
}

func (w *deployment) settingsFile(name string) string { return filepath.Join(w.dir, name+".json") }

// writeSettings writes the settings that a command reads from settingsFile.
func (w *deployment) writeSettings(name string, v any) {
	b, err := json.Marshal(v)
	w.must(err)
	w.must(os.WriteFile(w.settingsFile(name), b, 0o600))
}

// readiness returns the body of a process's response to the readiness probe.
func (w *deployment) readiness(name string) string {
	client := w.network.Host(ctlHost).HTTP1Client()
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + w.address(name, portControl).String() + "/readyz")
	w.must(err)
	b, err := io.ReadAll(resp.Body)
	w.must(err)
	w.must(resp.Body.Close())
	return string(b)
}

// revision returns the revision that a process has in force, or zero if it can't be
// read within 100 ms.
func (w *deployment) revision(name string) uint64 {
	client := w.network.Host(ctlHost).HTTP2Client()
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	b, err := peer.NewClient(client).Dump(ctx, w.address(name, portControl))
	if err != nil {
		return 0
	}
	var dump struct {
		Revision uint64 `json:"revision"`
	}
	w.must(json.Unmarshal(b, &dump))
	return dump.Revision
}
