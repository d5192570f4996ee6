package flow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/common/coordination/config"
)

// TestClassesAreServedByPriority guards against an order of arrival that ignores the classes: while
// there is too little capacity, the more important requests go first, and none is left out.
func TestClassesAreServedByPriority(t *testing.T) {
	important := patient
	important.Priority = 0
	runDecisions(t, []config.RequestClass{important, patient}, func(d *decisions) {
		d.work = time.Minute
		d.fill(patient)
		for i := range uint16(3) {
			d.send(d.header(patient), waitingPort+i, firstSYN)
		}
		for i := range uint16(2) {
			d.send(d.header(important), 2*waitingPort+i, firstSYN)
		}
		d.g.Expect(d.waiting()).To(Equal(5))
		d.free()
		d.g.Expect(d.waiting()).To(Equal(5 - admittedAtOnce))
		for i := range uint16(2) {
			d.g.Expect(d.wasAccepted(2*waitingPort+i)).To(BeTrue(), "the important requests came last")
		}
		d.g.Expect(d.wasAccepted(waitingPort)).To(BeTrue())
	})
}
