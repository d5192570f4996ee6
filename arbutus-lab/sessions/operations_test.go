package sessions

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// TestOperationsPage guards against a page that shows operators commands which no longer
// work: it runs every arbutusctl command of docs/OPERATIONS.md in order.
func TestOperationsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	// No apply with the page's sample ID exists, so this command alone exits with 4.
	const unknownApply = "status --apply-id 1b4e28ba-2fa1-11d2-883f-0016d3cca427"
	runSession(t, 30, func(w *deployment) {
		w.startPhellos()
		commandCount := 0
		for line := range strings.Lines(string(page)) {
			text, ok := strings.CutPrefix(strings.TrimSpace(line), "$ arbutusctl ")
			if !ok {
				continue
			}
			text = strings.Replace(text, "examples/", "../../examples/", 1)
			text = strings.Replace(text, "arbutusctl/flow/", "../../arbutusctl/flow/", 1)
			want := 0
			if text == unknownApply {
				want = 4
			}
			code, out := w.ctl(strings.Fields(text)...)
			w.g.Expect(code).To(Equal(want), "%s: %s", text, out)
			commandCount++
		}
		w.g.Expect(commandCount).To(BeNumerically(">", 10))
	})
}
