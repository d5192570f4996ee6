package config

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
)

const examples = "../../../examples"

var update = flag.Bool("update", false, "write the golden files")

// TestExamplesAreValid keeps the shipped example configurations loadable.
func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"phellos", "avisos-viales"} {
		cfg, problems := LoadDirectory(filepath.Join(examples, name))
		g := NewWithT(t)
		g.Expect(problems).To(BeEmpty())
		g.Expect(cfg.Deployment.Name).To(Equal(name))
		g.Expect(cfg.Domains).To(HaveLen(3))
		g.Expect(cfg.Services).To(HaveLen(2))
	}
}

// TestConfigMistakeMessages introduces one mistake at a time into the example files. Each
// must be reported with its file, line, path and remedy, as the golden file shows.
func TestConfigMistakeMessages(t *testing.T) {
	var out strings.Builder
	for _, c := range []struct{ name, old, new string }{
		{"unknown field", `"slots": 4`, `"slotz": 4`},
		{"wrong type", `"port": 80`, `"port": "eighty"`},
		{"syntax", `"port": 80,`, `"port" 80,`},
		{"duplicate field", `"port": 80`, `"port": 80, "port": 81`},
		{"duplicate service", `"plot-maps"`, `"contract-desk"`},
		{"duplicate domain", `"messinia-b"`, `"arcadia-a"`},
		{"overlapping address", `"10.80.0.2"`, `"10.80.0.1"`},
		{"no address", `"10.80.0.2"`, `"0.0.0.0"`},
		{"address of version 6", `"10.80.0.2"`, `"fe80::1"`},
		{"zero port", `"port": 80`, `"port": 0`},
		{"zero limit", `"slots": 4`, `"slots": 0`},
		{"absurd limit", `"connections": 2000}`, `"connections": 2000000000}`},
		{"cold over warm", `"connections": 50`, `"connections": 5000`},
		{"more requests than slots", `"requests": 2`, `"requests": 5`},
		{"unknown state", `"state": "in"`, `"state": "off"`},
		{"bad name", `"arcadia-a"`, `"Arcadia A"`},
		{"heartbeat too long", `"heartbeat_millis": 400`, `"heartbeat_millis": 900`},
		{"second deployment", `"services": [`, `"deployment": {"name": "x"}, "services": [`},
	} {
		dir := t.TempDir()
		for _, file := range []string{"deployment.json", "services.json"} {
			b, err := os.ReadFile(filepath.Join(examples, "phellos", file))
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			text := strings.Replace(string(b), c.old, c.new, 1)
			NewWithT(t).Expect(os.WriteFile(filepath.Join(dir, file), []byte(text), 0o600)).To(Succeed())
		}
		_, problems := LoadDirectory(dir)
		out.WriteString("# " + c.name + "\n" + strings.ReplaceAll(problems.Error(), dir+"/", "") + "\n")
	}
	path := "testdata/mistakes.golden"
	if *update {
		NewWithT(t).Expect(os.WriteFile(path, []byte(out.String()), 0o600)).To(Succeed())
	}
	want, err := os.ReadFile(path)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(out.String()).To(Equal(string(want)))
}

// TestLoadDirectoryRejectsUnusableInput guards the messages for a directory without files
// and for a file over the size limit.
func TestLoadDirectoryRejectsUnusableInput(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	_, problems := LoadDirectory(dir)
	g.Expect(problems.Error()).To(ContainSubstring("no *.json files; name a directory that holds the deployment's files"))
	g.Expect(os.WriteFile(filepath.Join(dir, "big.json"), make([]byte, MaxFileBytes+1), 0o600)).To(Succeed())
	_, problems = LoadDirectory(dir)
	g.Expect(problems.Error()).To(ContainSubstring("over the limit of 1048576; split it into several files"))
}

// TestAssembleRestoresConfig guards against a configuration that changes when it is split
// into chunks and assembled again, against a missing chunk or an altered head that is
// accepted, and against With methods that modify their receiver.
func TestAssembleRestoresConfig(t *testing.T) {
	g := NewWithT(t)
	cfg, _ := LoadDirectory(filepath.Join(examples, "phellos"))
	chunks, err := Split(cfg)
	g.Expect(err).NotTo(HaveOccurred())
	head := NewHead(nil, chunks, &controlv1.Accepted{})
	r, err := Assemble(head, valuesOf(chunks))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Config).To(Equal(cfg))
	_, err = Assemble(head, valuesOf(chunks[1:]))
	g.Expect(err).To(MatchError("config: revision 1 lacks chunk deployment"))
	head.Chunks = head.GetChunks()[1:]
	_, err = Assemble(head, valuesOf(chunks))
	g.Expect(err).To(MatchError("config: head of revision 1 has a wrong digest"))

	out, known := cfg.WithDomainState("laconia-c", DomainOut)
	g.Expect(known).To(BeTrue())
	g.Expect(cfg.DomainIsOut("laconia-c")).To(BeFalse(), "a configuration is immutable")
	changes, err := Diff(cfg, out.WithDrained("desk-1", true))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changes).To(Equal([]Change{
		{Path: "domains.laconia-c.state", From: "in", To: "out"},
		{Path: "drained.desk-1", To: "desk-1"},
	}))
}
