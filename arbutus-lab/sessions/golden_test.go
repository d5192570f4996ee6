package sessions

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	. "github.com/onsi/gomega"
)

var (
	update = flag.Bool("update", false, "rewrite the golden files with the actual output")

	// durationPattern and applyIDPattern match what differs from run to run: how long a
	// revision took to be in force, and the ID of an apply.
	durationPattern = regexp.MustCompile(` after [0-9.]+ s`)
	applyIDPattern  = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f-]{22}`)
)

// transcript records the commands and output of a session, for comparison with a golden
// file.
type transcript struct {
	strings.Builder
	w *deployment
}

// recordf adds a line to the transcript.
func (t *transcript) recordf(format string, args ...any) { fmt.Fprintf(t, format+"\n", args...) }

// ctl runs arbutusctl as the author, records the command, output and exit code, and returns
// the output.
func (t *transcript) ctl(author string, args ...string) string {
	code, text := t.w.ctlAs(author, args...)
	t.recordf("$ arbutusctl %s  # %s", normalize(strings.Join(args, " ")), author)
	t.recordf("%s[exit %d]", normalize(text), code)
	return text
}

// normalize removes what differs from run to run.
func normalize(s string) string {
	return applyIDPattern.ReplaceAllString(durationPattern.ReplaceAllString(s, ""), "APPLY-ID")
}

// compareGolden expects got to equal the golden file, which -update writes first.
func compareGolden(w *deployment, name, got string) {
	w.t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		w.must(os.WriteFile(path, []byte(got), 0o600))
	}
	want, err := os.ReadFile(path)
	w.must(err)
	w.g.Expect(got).To(Equal(string(want)))
}
