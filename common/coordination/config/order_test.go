package config

import (
	"math"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
)

// TestOrderPrefersVersion guards against a configuration that replaces a later version because
// the store's counter of changes fell back, and against versions and counters that are too large
// to be ordered.
func TestOrderPrefersVersion(t *testing.T) {
	g := NewWithT(t)
	ascending := []Order{
		{},
		{Number: 1},
		{Number: math.MaxUint64},
		{Version: 7},
		{Version: 7, Number: 3},
		{Version: 7, Number: math.MaxUint64},
		{Version: 9, Number: 2},
		{Version: 2026120501, Number: 1},
		{Version: math.MaxUint64},
		{Version: math.MaxUint64, Number: math.MaxUint64},
	}
	for i, o := range ascending {
		for j, other := range ascending {
			g.Expect(o.Before(other)).To(Equal(i < j), "%s and %s", o, other)
		}
		g.Expect(OrderOf(&controlv1.Gossip{ConfigVersion: o.Version, Revision: o.Number})).To(Equal(o))
	}
	g.Expect(slices.IsSortedFunc(ascending, Order.Compare)).To(BeTrue())
	g.Expect(ascending[0].IsZero()).To(BeTrue())
	g.Expect(ascending[3].IsZero()).To(BeFalse())
	g.Expect(Order{Number: 7}.String()).To(Equal("7"))
	g.Expect(Order{Version: 2026120501, Number: 7}.String()).To(Equal("2026120501.7"))
}

// TestVersionReplacesHigherNumber guards against a process that keeps a configuration in force
// because its number is higher than that of a later version.
func TestVersionReplacesHigherNumber(t *testing.T) {
	g := NewWithT(t)
	revision := func(o Order) *Revision { return &Revision{Head: NewHeadAt(o, nil, &controlv1.Accepted{})} }
	h := NewRevisionHolder()
	g.Expect(h.Adopt(revision(Order{Version: 7, Number: 90}))).To(BeTrue())
	g.Expect(h.Adopt(revision(Order{Version: 2026120501, Number: 40}))).To(BeTrue())
	g.Expect(h.Adopt(revision(Order{Version: 7, Number: 91}))).To(BeFalse())
	g.Expect(h.Current().Order()).To(Equal(Order{Version: 2026120501, Number: 40}))
}

// TestAbridgedHeadKeepsVersion guards against a balancer that gets a later version from another
// one without its version, and so takes it for an old one.
func TestAbridgedHeadKeepsVersion(t *testing.T) {
	g := NewWithT(t)
	known := nextRevision(g, nil, 40, 81)
	known.Head.ConfigVersion, known.Head.Revision = 7, 90
	latest := nextRevision(g, nil, 40, 82)
	latest.Head.ConfigVersion, latest.Head.Revision = 2026120501, 40
	response := latest.HeadResponse(known.HeadRequest())
	g.Expect(response.GetAbridged()).To(BeTrue())
	head, err := known.RestoreHead(response)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(OrderOf(head)).To(Equal(latest.Order()))
}
