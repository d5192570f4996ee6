package sessions

import (
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/go-logfmt/logfmt"
	. "github.com/onsi/gomega"
)

// eventPattern matches the event name in a log statement of the source.
var eventPattern = regexp.MustCompile(`"event", "([a-z_]+)"|logChange\("([a-z_]+)"`)

// eventKeys returns the keys of the events' lines in the log, in the order of the line: one
// line for each event and list of keys, because balancers and agents may log the same event
// with different keys.
func eventKeys(log string, events ...string) string {
	found := make(map[string]bool)
	d := logfmt.NewDecoder(strings.NewReader(log))
	for d.ScanRecord() {
		event := ""
		var keys []string
		for d.ScanKeyval() {
			switch key := string(d.Key()); key {
			case "time", "level":
			case "event":
				event = string(d.Value())
			default:
				keys = append(keys, key)
			}
		}
		if slices.Contains(events, event) {
			found[event+": "+strings.Join(keys, " ")+"\n"] = true
		}
	}
	return strings.Join(slices.Sorted(maps.Keys(found)), "")
}

// TestEventsAreDocumented guards against an event that an operator sees in a log but does
// not find in docs/OPERATIONS.md. The page must name every event that balancers, agents and
// the users' platform adapter (module platform) log above debug level.
func TestEventsAreDocumented(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	g.Expect(err).NotTo(HaveOccurred())
	var missing []string
	for _, dir := range []string{"arbutus-agent", "arbutus-balancer", "common", "platform"} {
		err := filepath.WalkDir(filepath.Join("../..", dir), func(path string, d os.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			source, err := os.ReadFile(path)
			for line := range strings.Lines(string(source)) {
				if strings.Contains(line, "level.Debug") {
					continue
				}
				for _, m := range eventPattern.FindAllStringSubmatch(line, -1) {
					event := m[1] + m[2]
					if !strings.Contains(string(page), event) && !slices.Contains(missing, event) {
						missing = append(missing, event)
					}
				}
			}
			return err
		})
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(missing).To(BeEmpty())
}
