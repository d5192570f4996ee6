package experiment

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

var update = flag.Bool("update", false, "write the golden files")

// TestReadProjectExperiments guards against an experiment of the project that no longer
// matches the format or its deployment's files. Paths in experiments are relative to the
// project's root.
func TestReadProjectExperiments(t *testing.T) {
	g := NewWithT(t)
	t.Chdir("../..")
	files, err := filepath.Glob("experiments/*.json")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(files).NotTo(BeEmpty())
	for _, file := range files {
		x, err := Read(file)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(x.Name + ".json").To(Equal(filepath.Base(file)))
	}
}

// TestParseInvalidExperiment guards against an invalid experiment that is accepted, or
// rejected without its line, field and remedy. It makes one field of an experiment invalid
// at a time; the golden file holds the messages.
func TestParseInvalidExperiment(t *testing.T) {
	g := NewWithT(t)
	path, err := filepath.Abs("testdata/mistakes.golden")
	g.Expect(err).NotTo(HaveOccurred())
	t.Chdir("../..")
	content, err := os.ReadFile("experiments/phellos.json")
	g.Expect(err).NotTo(HaveOccurred())
	var out strings.Builder
	for _, c := range []struct{ name, old, new string }{
		{"unknown field", `"seconds"`, `"secondz"`},
		{"no deployment", `"examples/phellos"`, `"examples"`},
		{"unknown service", `"service": "contract-desk",`, `"service": "desk",`},
		{"no time", `"seconds": 34`, `"seconds": 0`},
		{"too many servers", `"count": 7`, `"count": 700`},
		{"no rate", `"per_second": 150`, `"per_second": 0`},
		{"unknown action", `"action": "drain"`, `"action": "drian"`},
		{"no target", `"target": "contract-desk-1"`, `"target": ""`},
		{"unknown domain", `"target": "messinia-b"`, `"target": "messinia"`},
		{"after the end", `"at_millis": 23000`, `"at_millis": 93000`},
	} {
		_, err := Parse("phellos.json", []byte(strings.Replace(string(content), c.old, c.new, 1)))
		g.Expect(err).To(HaveOccurred(), c.name)
		out.WriteString("# " + c.name + "\n" + err.Error() + "\n")
	}
	if *update {
		g.Expect(os.WriteFile(path, []byte(out.String()), 0o600)).To(Succeed())
	}
	want, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out.String()).To(Equal(string(want)))
}

// TestBaselinesAfterDrainAndKill guards against baselines that miscount the flows that
// changes end. Of three backend servers, one is drained and then another is killed. Plain
// hashing must end more flows than the rule with a previous owner, which must end some; no
// flow ends without a change.
func TestBaselinesAfterDrainAndKill(t *testing.T) {
	g := NewWithT(t)
	all := map[string]bool{"a": true, "b": true, "c": true}
	steps := []Step{
		{Servers: []string{"a", "b", "c"}, Alive: all},
		{Servers: []string{"b", "c"}, Alive: all},
		{Servers: []string{"c"}, Alive: map[string]bool{"a": true, "b": false, "c": true}},
	}
	got := Baselines(300, steps)
	g.Expect(got).To(HaveLen(2))
	g.Expect(got[0].Ended).To(BeNumerically(">", got[1].Ended))
	g.Expect(got[1].Ended).To(BeNumerically(">", 0))
	g.Expect(Baselines(300, steps[:1])[0].Ended).To(BeZero())
}
