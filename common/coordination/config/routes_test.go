package config

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
)

const routesFile = `{"routes": [{
  "name": "split", "address": "10.80.0.5", "port": 443,
  "targets": [{"service": "contract-desk", "weight": 9}, {"service": "plot-maps", "weight": 1}]
}]}`

// loadWithRoutes loads an example configuration with an additional routes file.
func loadWithRoutes(t *testing.T, content string) (Config, string) {
	t.Helper()
	dir := t.TempDir()
	g := NewWithT(t)
	for _, file := range []string{"deployment.json", "services.json"} {
		b, err := os.ReadFile(filepath.Join(examples, "phellos", file))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(os.WriteFile(filepath.Join(dir, file), b, 0o600)).To(Succeed())
	}
	g.Expect(os.WriteFile(filepath.Join(dir, "routes.json"), []byte(content), 0o600)).To(Succeed())
	cfg, problems := LoadDirectory(dir)
	if problems == nil {
		return cfg, ""
	}
	return cfg, problems.Error()
}

// TestRoutesSurviveSplitAndAssemble guards against routes that are lost between a
// configuration and its chunks.
func TestRoutesSurviveSplitAndAssemble(t *testing.T) {
	g := NewWithT(t)
	cfg, problems := loadWithRoutes(t, routesFile)
	g.Expect(problems).To(BeEmpty())
	g.Expect(cfg.AllRoutes()).To(HaveLen(3))
	chunks, err := Split(cfg)
	g.Expect(err).NotTo(HaveOccurred())
	values := make([][]byte, 0, len(chunks))
	for _, c := range chunks {
		values = append(values, c.Value)
	}
	r, err := Assemble(NewHead(nil, chunks, &controlv1.Accepted{}), values)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Config.Routes).To(Equal(cfg.Routes))
}

// TestRouteMistakeMessages introduces one mistake at a time into the routes file, each of
// which must be reported.
func TestRouteMistakeMessages(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"service": "plot-maps"`, `"service": "plots"`, `service "plots" is not defined`},
		{`"10.80.0.5", "port": 443`, `"10.80.0.1", "port": 80`, `is also the address of "contract-desk"`},
		{`"weight": 9}, {"service": "plot-maps", "weight": 1}`, `"weight": 0}`, "no target has a weight over 0"},
		{`"weight": 9`, `"weight": -1`, "-1 is out of range"},
		{`"port": 443`, `"port": 0`, "the port is missing or zero"},
	} {
		_, problems := loadWithRoutes(t, strings.Replace(routesFile, c.old, c.new, 1))
		NewWithT(t).Expect(problems).To(ContainSubstring(c.want))
	}
}

// TestOneRouteChangesOneChunk guards against changes of one route that make balancers
// transfer more than one chunk when there are many routes.
func TestOneRouteChangesOneChunk(t *testing.T) {
	g := NewWithT(t)
	var cfg Config
	for i := range 1500 {
		cfg.Routes = append(cfg.Routes, Route{
			Name: fmt.Sprintf("route-%d", i), Address: netip.MustParseAddr("10.80.0.5"), Port: uint16(1 + i),
			Targets: []Target{{Service: "desk", Weight: 1}},
		})
	}
	before, err := Split(cfg)
	g.Expect(err).NotTo(HaveOccurred())
	cfg.Routes[700].Targets[0].Weight = 2
	after, err := Split(cfg)
	g.Expect(err).NotTo(HaveOccurred())
	differing := 0
	for i := range after {
		if after[i].Digest != before[i].Digest {
			differing++
		}
	}
	g.Expect(differing).To(Equal(1))
}

// TestRevisionHolderAge guards against a revision that counts as confirmed although the store
// confirmed another one, and against a confirmation that an earlier one overwrites.
func TestRevisionHolderAge(t *testing.T) {
	g := NewWithT(t)
	h, now := NewRevisionHolder(), time.Now()
	_, known := h.Age(now)
	g.Expect(known).To(BeFalse())
	h.Adopt(&Revision{Head: &controlv1.Head{Revision: 7}})
	h.Confirm(Order{Number: 6}, now)
	_, known = h.Age(now)
	g.Expect(known).To(BeFalse(), "another revision was confirmed")
	h.Confirm(Order{Number: 7}, now)
	h.Confirm(Order{Number: 7}, now.Add(-time.Minute))
	age, known := h.Age(now.Add(time.Second))
	g.Expect(known).To(BeTrue())
	g.Expect(age).To(Equal(time.Second))
}
