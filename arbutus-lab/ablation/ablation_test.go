package ablation

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
	. "github.com/onsi/gomega"

	"arbutusfront.dev/common/command"
)

// benchScript is a benchmark that writes a report with a lower worth, and a broken rule, if the
// ledger is switched off. It appends a line to the file calls.
const benchScript = `#!/bin/sh
echo "$@" >>"$(dirname "$0")/calls"
worth=0.9; breaks='{}'
grep -q 'program balancer -without ledger"' deploy/system.toml &&
	grep -q 'program agent -without ledger"' deploy/system.toml && worth=0.875 && breaks='{"FLOW": 2}'
while [ "$1" != --report ]; do shift; done
echo "{\"G\": $worth, \"fault\": null, \"breaks\": $breaks, \"other\": []}" >"$2"
`

const deploy = `build = "true"
[roles.balancer]
run = "program balancer"
[roles.agent]
run = "program agent"
`

// prepare returns a directory with a benchmark and a repository.
func prepare(t *testing.T) string {
	t.Helper()
	g, dir := NewWithT(t), t.TempDir()
	repository := filepath.Join(dir, "repository")
	g.Expect(os.MkdirAll(filepath.Join(repository, "deploy"), 0o755)).To(Succeed())
	g.Expect(os.WriteFile(filepath.Join(dir, "bench"), []byte(benchScript), 0o755)).To(Succeed())
	g.Expect(os.WriteFile(filepath.Join(repository, deployFile), []byte(deploy), 0o644)).To(Succeed())
	for _, args := range [][]string{
		{"init", "--quiet"},
		{"add", "."},
		{"-c", "user.name=test", "-c", "user.email=test@localhost", "commit", "--quiet", "-m", "first"},
	} {
		c := exec.Command("git", args...)
		c.Dir = repository
		out, err := c.CombinedOutput()
		g.Expect(err).NotTo(HaveOccurred(), string(out))
	}
	return dir
}

// ablate runs the command and returns its exit code and output.
func ablate(t *testing.T, dir string, args ...string) (int, string) {
	t.Helper()
	var out, errOut bytes.Buffer
	all := append([]string{
		"ablate", "-bench", filepath.Join(dir, "bench"), "-work", filepath.Join(dir, "work"),
		"-repository", filepath.Join(dir, "repository"), "-out", filepath.Join(dir, "out.json"),
	}, args...)
	streams := command.Streams{Out: &out, Err: &errOut}
	register := func(c *subcommands.Commander) { c.Register(New(streams), "") }
	code := command.RunContext(t.Context(), streams, "arbutus-lab", all, register)
	return code, out.String() + errOut.String()
}

// TestAblateContinues guards against plays that are lost or repeated when a run is stopped, and
// against features that are not switched off in all programs.
func TestAblateContinues(t *testing.T) {
	g, dir := NewWithT(t), prepare(t)
	code, out := ablate(t, dir, "-days", "trouble-1", "-without", "ledger", "/sites/small.toml")
	g.Expect(code).To(Equal(0), out)
	code, out = ablate(t, dir, "-days", "trouble-1,scale-1", "-without", "ledger,less_loaded", "/sites/small.toml")
	g.Expect(code).To(Equal(0), out)
	calls, err := os.ReadFile(filepath.Join(dir, "calls"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(strings.Count(string(calls), "\n")).To(Equal(6), "two days with three variants")
	code, out = ablate(t, dir, "-table")
	g.Expect(code).To(Equal(0))
	g.Expect(out).To(HavePrefix("| feature | purpose | small |\n|---|---|---|\n"))
	g.Expect(out).To(ContainSubstring("| `ledger` |"))
	g.Expect(out).To(ContainSubstring("| -0.0250 ± 0.0000 (2), FLOW 4 |"))
	g.Expect(out).To(ContainSubstring("| +0.0000 ± 0.0000 (2) |"))
	g.Expect(out).To(ContainSubstring("| not run |"))
}

// TestAblateUsage guards against runs that start although they can't end well.
func TestAblateUsage(t *testing.T) {
	dir := t.TempDir()
	for want, args := range map[string][]string{
		"no site is named":         {},
		`unknown feature "legder"`: {"-without", "legder", "a.toml"},
		`seed "x" is not a number`: {"-seeds", "1,x", "a.toml"},
		"-jobs must be at least 1": {"-jobs", "0", "a.toml"},
	} {
		code, out := ablate(t, dir, args...)
		NewWithT(t).Expect(code).To(Equal(int(command.ExitUsage)), out)
		NewWithT(t).Expect(out).To(ContainSubstring(want))
	}
}
