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
