package config

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
)

// TestBehind guards against a process that takes the revision in force for the latest although others
// have announced a later one, and against one that counts as behind for good after an announcement that
// nobody repeats.
func TestBehind(t *testing.T) {
	g, now := NewWithT(t), time.Now()
	revision := func(version uint64) *Revision {
		return &Revision{Head: NewHeadAt(Order{Version: version}, nil, &controlv1.Accepted{})}
	}
	h := NewRevisionHolder()
	g.Expect(h.Behind(now)).To(BeFalse())
	g.Expect(h.Announce(Order{Version: 7}, now)).To(BeTrue())
	g.Expect(h.Behind(now)).To(BeTrue())
	h.Adopt(revision(7))
	g.Expect(h.Behind(now)).To(BeFalse())
	g.Expect(h.Announce(Order{Version: 7}, now)).To(BeFalse())
	g.Expect(h.Announce(Order{Version: 6}, now)).To(BeFalse())

	g.Expect(h.Announce(Order{Version: 9}, now)).To(BeTrue())
	g.Expect(h.Announce(Order{Version: 8}, now.Add(time.Second))).To(BeTrue())
	h.Adopt(revision(8))
	g.Expect(h.Behind(now.Add(time.Second))).To(BeTrue(), "version 9 exists")
	g.Expect(h.Behind(now.Add(announcementLifetime))).To(BeFalse(), "nobody has announced it since")
	now = now.Add(announcementLifetime)
	g.Expect(h.Announce(Order{Version: 8}, now)).To(BeFalse())
	g.Expect(h.Behind(now)).To(BeFalse())
	g.Expect(h.Announce(Order{Version: 9}, now)).To(BeTrue())
	h.Adopt(revision(9))
	g.Expect(h.Behind(now)).To(BeFalse())
}

// TestBehindEnds guards against a process that counts as behind for good, and so never resets an ended flow
// nor refuses one without a route: agents announce a revision that the restored store has lost. It must still
// try to fetch that revision, and wait for a later one.
func TestBehindEnds(t *testing.T) {
	g, start := NewWithT(t), time.Now()
	h := NewRevisionHolder()
	lost, later := Order{Version: 9}, Order{Version: 10}
	for d := time.Duration(0); d < time.Minute; d += time.Second {
		g.Expect(h.Announce(lost, start.Add(d))).To(BeTrue())
		g.Expect(h.Behind(start.Add(d))).To(Equal(d < maxBehind), "after %v", d)
		g.Expect(h.LaterExists(start.Add(d))).To(BeTrue())
	}
	h.Announce(later, start.Add(time.Minute))
	g.Expect(h.Behind(start.Add(time.Minute))).To(BeTrue())
}
