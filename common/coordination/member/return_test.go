package member

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// TestMayReturn guards against a process that counts as gone for good while it restarts, because
// an earlier incarnation ended long ago, and against one that is awaited for longer than a
// restart takes.
func TestMayReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, table := NewWithT(t), NewTable()
		mayReturn := func() bool { return table.MayReturn("desk-1", time.Now()) }
		incarnation := func(instance uint64) Member {
			return Member{Name: "desk-1", Role: Agent, Service: "desk", Instance: instance, Version: 1, Phase: Serving}
		}
		table.Merge(incarnation(1))
		g.Expect(mayReturn()).To(BeFalse(), "none has ended")
		table.Merge(incarnation(1).WithPhase(Left))
		g.Expect(mayReturn()).To(BeTrue())
		table.Merge(incarnation(2))
		time.Sleep(PlannedRestartTimeout)
		g.Expect(mayReturn()).To(BeFalse())
		table.Merge(incarnation(2).WithDeath())
		time.Sleep(CrashRestartTimeout - time.Millisecond)
		g.Expect(mayReturn()).To(BeTrue())
		time.Sleep(time.Millisecond)
		g.Expect(mayReturn()).To(BeFalse())
		time.Sleep(retention)
		table.Expire()
		g.Expect(table.lastEnded).To(BeEmpty())
	})
}
