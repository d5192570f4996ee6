package config

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
)

// TestOddDirectories guards against operators' files that end the program instead of being
// reported.
func TestOddDirectories(t *testing.T) {
	for content, want := range map[string]string{
		`{}`:                               "no file defines the deployment",
		`{"domains": []}`:                  "no failure domain is defined",
		`{"deployment": {"name": "desk"}}`: "no failure domain is defined",
		`{"domains": [{"name": "a", "region": "x,y", "state": "in"}]}`: `"x,y" is not a valid name`,
		`{"services": [{"name": "desk"}]}`:                             "no failure domain is defined",
		`[]`:                                                           "can't be used here",
		"\xff":                                                         "",
	} {
		g, dir := NewWithT(t), t.TempDir()
		g.Expect(os.WriteFile(filepath.Join(dir, "a.json"), []byte(content), 0o644)).To(Succeed())
		_, problems := LoadDirectory(dir)
		g.Expect(problems).NotTo(BeEmpty(), content)
		g.Expect(problems.Error()).To(ContainSubstring(want), content)
	}
}

// TestDiffShowsAddedEmptyString guards against an added field that a diff leaves out because its
// value is empty: two concurrent changes of it would not be noticed either.
func TestDiffShowsAddedEmptyString(t *testing.T) {
	g := NewWithT(t)
	changes, err := Diff(Config{}, Config{Domains: []Domain{{Name: "a"}}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changes).To(ContainElement(Change{Path: "domains.a.region"}))
}

// FuzzFiles guards against a file that ends the program.
func FuzzFiles(f *testing.F) {
	f.Add([]byte(`{"deployment": {"name": "desk"}, "domains": [{"name": "a", "state": "in"}]}`))
	f.Add([]byte(`{"routes": [{"name": "r", "targets": [{"service": "s", "weight": 1e99}]}]}`))
	f.Add([]byte(`{"services": [{"name": "s", "port": 70000}]}`))
	f.Fuzz(func(_ *testing.T, b []byte) {
		var l loader
		l.add("a.json", b)
		if len(l.problems) == 0 {
			l.check()
		}
	})
}
