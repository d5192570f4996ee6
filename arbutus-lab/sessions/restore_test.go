package sessions

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/common/coordination/config"
)

// TestAcceptedRevisionsSurviveRestore guards against accepted changes that are lost, and later
// ones that are ignored as old, when the store is restored from a backup that lacks them.
func TestAcceptedRevisionsSurviveRestore(t *testing.T) {
	runSession(t, 40, func(w *deployment) {
		w.startPhellos()
		drain := func(server string) {
			code, out := w.ctl("server", "drain", server, "--wait")
			w.g.Expect(code).To(Equal(0), out)
		}
		drain("contract-desk-1")
		backup := w.store.Backup()
		drain("contract-desk-2")
		drain("contract-desk-3")
		w.store.Restore(backup)
		time.Sleep(inForceBound)
		drain("contract-desk-4")
		r, err := config.NewApplier(directClient(w.store)).Read(context.Background())
		w.must(err)
		w.g.Expect(r.Config.Drained).To(ConsistOf(
			"contract-desk-1", "contract-desk-2", "contract-desk-3", "contract-desk-4"))
		for _, name := range phellosProcesses() {
			w.g.Expect(w.revision(name)).To(Equal(r.Number()), name)
		}
	})
}
