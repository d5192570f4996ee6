package passthrough

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/common/protocol/ipv4"
)

// announceInterval is the interval at which a backend server announces itself.
const announceInterval = 1200 * time.Millisecond

// oddAnnouncements are announcements with the backend server's ID that another writer sent.
// Each orders after all announcements of the server itself.
var oddAnnouncements = map[string]func(*Announcement){
	"started at the end of time": func(a *Announcement) { a.StartedUnixMillis = 9_000_000_000_000_000_000 },
	"started in a year":          func(a *Announcement) { a.StartedUnixMillis += (365 * 24 * time.Hour).Milliseconds() },
	"started in ten seconds":     func(a *Announcement) { a.StartedUnixMillis += (10 * time.Second).Milliseconds() },
	"largest sequence number":    func(a *Announcement) { a.Sequence = math.MaxUint64 },
	"sequence number 1000":       func(a *Announcement) { a.Sequence = 1000 },
}

// TestOddAnnouncementShutsNoServerOut guards against an announcement by another writer that
// makes the agent ignore those of its backend server from then on: the server's draining must
// be in force within three intervals, also if the odd announcement is the first to arrive.
func TestOddAnnouncementShutsNoServerOut(t *testing.T) {
	for name, odd := range oddAnnouncements {
		for _, first := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				g, r := NewWithT(t), newHarness(t)
				started := r.now.UnixMilli()
				own := func(sequence uint64, draining bool) bool {
					return r.server.Announce(Announcement{
						ID: "s-1", StartedUnixMillis: started, Sequence: sequence, Slots: 4, Draining: draining,
					})
				}
				if !first {
					own(1, false)
				}
				r.now = r.now.Add(100 * time.Millisecond)
				r.announce(func(a *Announcement) { a.StartedUnixMillis = started; a.Sequence = 2; odd(a) })
				applied := false
				for sequence := uint64(2); sequence <= 4; sequence++ {
					r.now = r.now.Add(announceInterval)
					applied = own(sequence, true)
				}
				g.Expect(applied).To(BeTrue())
				g.Expect(r.server.NotReadyReason()).To(Equal("server_draining"))
				r.now = r.now.Add(announceInterval)
				g.Expect(own(5, true)).To(BeTrue(), "announcements after that are in order")
			})
		}
	}
}

// TestLargeSequenceNumbers guards against a backend server that is never known, or whose draining
// is not acknowledged, because it counts its announcements from a large number, such as a time.
func TestLargeSequenceNumbers(t *testing.T) {
	for _, first := range []uint64{1 << 40, 1_796_476_846_776, 1_796_476_846_776_387_424, math.MaxInt64 - 9} {
		g, r := NewWithT(t), newHarness(t)
		started := r.now.UnixMilli()
		for i := range uint64(10) {
			g.Expect(r.server.Announce(Announcement{
				ID: "s-1", StartedUnixMillis: started, Sequence: first + i, Slots: 4, Draining: i > 4,
			})).To(BeTrue())
			g.Expect(r.server.IsDraining()).To(Equal(i > 4))
			r.now = r.now.Add(announceInterval)
		}
	}
}

// TestDelayedAnnouncementsRestartNoOrder guards against an earlier run of the backend server
// that replaces a live one, because several of its announcements arrive late: at once, or
// between those of the live run.
func TestDelayedAnnouncementsRestartNoOrder(t *testing.T) {
	g, r := NewWithT(t), newHarness(t)
	started := r.now.UnixMilli()
	r.announce(nil)
	delayed := func(sequence uint64) bool {
		return r.server.Announce(Announcement{
			ID: "s-0", StartedUnixMillis: started - 5000, Sequence: sequence, Draining: true,
		})
	}
	for sequence := range uint64(10) {
		g.Expect(delayed(1 + sequence)).To(BeFalse())
	}
	for sequence := range uint64(10) {
		r.now = r.now.Add(announceInterval)
		g.Expect(delayed(11 + sequence)).To(BeFalse())
		r.announce(func(a *Announcement) { a.StartedUnixMillis = started; a.Sequence = 2 + sequence })
	}
	g.Expect(r.server.NotReadyReason()).To(BeEmpty())
}

// TestAnnouncementWithoutStartIgnored guards against an announcement that lacks the start of
// the run, as only another writer's does, which replaces that of the backend server.
func TestAnnouncementWithoutStartIgnored(t *testing.T) {
	g, r := NewWithT(t), newHarness(t)
	r.announce(nil)
	for _, id := range []string{"s-1", "s-2"} {
		g.Expect(r.server.Announce(Announcement{ID: id, Sequence: 9, Draining: true})).To(BeFalse(), id)
	}
	g.Expect(r.server.NotReadyReason()).To(BeEmpty())
}

// TestOddNumbersRejected guards against announced numbers that overflow where they are
// multiplied or sent on: the announcement must be rejected, and the one in force remain.
func TestOddNumbersRejected(t *testing.T) {
	for name, change := range map[string]func(*Announcement){
		"slots below 0":          func(a *Announcement) { a.Slots = -1 },
		"slots above the limit":  func(a *Announcement) { a.Slots = MaxSlots + 1 },
		"largest slots":          func(a *Announcement) { a.Slots = math.MaxInt },
		"cold for too long":      func(a *Announcement) { a.ColdFor = MaxColdFor + 1 },
		"cold for longest":       func(a *Announcement) { a.ColdFor = math.MaxInt64 },
		"cold for less than 0":   func(a *Announcement) { a.ColdFor = -1 },
		"started before 1970":    func(a *Announcement) { a.StartedUnixMillis = math.MinInt64 },
		"an ID that is too long": func(a *Announcement) { a.ID = string(make([]byte, maxIDBytes+1)) },
	} {
		t.Run(name, func(t *testing.T) {
			g, r := NewWithT(t), newHarness(t)
			r.announce(nil)
			r.announce(func(a *Announcement) { a.Sequence = 2; change(a) })
			g.Expect(r.server.Slots()).To(Equal(4))
			r.fromCaller(segment(1, ipv4.FlagSYN, callerISN, 0, 0), 0)
			g.Expect(r.delivered).To(HaveLen(1), "the backend server gets new flows")
		})
	}
}

// TestLargestSlots guards against an overflow with the most slots that are accepted.
func TestLargestSlots(t *testing.T) {
	g, r := NewWithT(t), newHarness(t)
	r.announce(func(a *Announcement) { a.Slots = MaxSlots })
	for port := range uint16(20) {
		r.fromCaller(segment(1+port, ipv4.FlagSYN, callerISN, 0, 0), 0)
	}
	g.Expect(r.delivered).To(HaveLen(20))
}
