package cluster_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const goldenFile = "testdata/session.golden"

var update = flag.Bool("update", false, "write the golden file")

// TestOperatorSession guards against planned changes that break requests, leave new
// flows at a drained backend server or in a failure domain that is out, or change what
// arbutusctl prints. It runs an operator's session with separate processes: apply,
// drain, domain out, a conflicting apply, domain in and undrain, with requests between
// the changes. The golden file holds the output of the whole session.
func TestOperatorSession(t *testing.T) {
	h := startHarness(t, 6)
	var out strings.Builder
	ctl := func(args ...string) {
		text, err := h.cluster.Ctl(context.Background(), args...)
		fmt.Fprintf(&out, "$ arbutusctl %s\n%s", strings.Join(args, " "), withoutTimes(text))
		if err != nil {
			fmt.Fprintln(&out, "[failed]")
		}
	}
	sendBatch := func() {
		answered, err := h.sendRequests(batchRequests)
		fmt.Fprintf(&out, "%d requests: %d answered, error %v\n", batchRequests, answered, err)
	}
	countAt := func(name string) int { return len(h.runsAt(name)) }

	sendBatch()
	ctl("server", "drain", "desk-2", "--wait")
	time.Sleep(recoveryBound)
	before := countAt("desk-2")
	sendBatch()
	fmt.Fprintf(&out, "new work of desk-2: %d\n", countAt("desk-2")-before)
	ctl("domain", "out", "laconia-c", "--wait")
	ctl("apply", "-f", configDir, "--yes", "--base-revision", "2")
	time.Sleep(recoveryBound)
	before = countAt("desk-3") + countAt("desk-6")
	sendBatch()
	fmt.Fprintf(&out, "new work in laconia-c: %d\n", countAt("desk-3")+countAt("desk-6")-before)
	ctl("domain", "in", "laconia-c", "--wait")
	ctl("server", "undrain", "desk-2", "--wait")
	time.Sleep(recoveryBound)
	sendBatch()
	fmt.Fprintf(&out, "laconia-c serves again: %t\n", countAt("desk-3")+countAt("desk-6") > before)

	if *update {
		h.g.Expect(os.WriteFile(goldenFile, []byte(out.String()), 0o600)).To(Succeed())
	}
	want, err := os.ReadFile(goldenFile)
	h.g.Expect(err).NotTo(HaveOccurred())
	h.g.Expect(out.String()).To(Equal(string(want)))
}

// withoutTimes removes from each line how long a revision took, which varies from run to
// run.
func withoutTimes(s string) string {
	var out strings.Builder
	for line := range strings.Lines(s) {
		if before, _, ok := strings.Cut(line, " after "); ok {
			line = before + "\n"
		}
		out.WriteString(line)
	}
	return out.String()
}
