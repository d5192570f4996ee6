package sessions

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestFlowOfUnannouncedRun guards against the reset of a flow that a backend server has taken after its
// restart, while its agent still has the announcement of the earlier run: an agent that was stopped delivers
// the SYNs that wait in its socket before it reads the announcement of the new run.
func TestFlowOfUnannouncedRun(t *testing.T) {
	runSession(t, 71, func(w *deployment) {
		w.streamPeriod = time.Hour
		servers := w.startPassThroughPhellos()
		restarted := servers["contract-desk-1"]
		restarted.dropFlows()
		restarted.announcedMu.Lock()
		restarted.startedUnixMillis = time.Now().UnixMilli()
		restarted.announcedMu.Unlock()
		streams := w.openMany(w.service("contract-desk"), 40)
		defer closeAll(streams)
		opened := 0
		for _, s := range streams {
			if s.server == "contract-desk-1" {
				opened++
			}
		}
		w.g.Expect(opened).To(BeNumerically(">", 0))
		time.Sleep(5 * time.Second)
		w.g.Expect(countOpen(streams)).To(Equal(40))
	})
}
