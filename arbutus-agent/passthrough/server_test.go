package passthrough

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/protocol/capsule"
	"arbutusfront.dev/common/protocol/ipv4"
)

// TestColdRate: the new flows to a cold backend server are limited in any one second, but
// only if the service configures a rate.
func TestColdRate(t *testing.T) {
	for _, c := range []struct{ rate, want int }{{3, 3}, {0, 20}} {
		g, r := NewWithT(t), newHarness(t)
		r.server.Configure(config.ColdStart{NewPerSecond: c.rate})
		r.announce(func(a *Announcement) { a.ColdFor, a.Slots = time.Minute, 100 })
		for i := range 20 {
			r.now = r.now.Add(10 * time.Millisecond)
			r.fromCaller(segment(uint16(1+i), ipv4.FlagSYN, callerISN, 0, 0), 0)
		}
		g.Expect(r.delivered).To(HaveLen(c.want))
		r.now = r.now.Add(time.Second)
		r.fromCaller(segment(99, ipv4.FlagSYN, callerISN, 0, 0), 0)
		g.Expect(r.delivered).To(HaveLen(c.want + 1))
	}
}

// TestServerLostFlow: a flow that the backend server no longer holds must be reset at once.
func TestServerLostFlow(t *testing.T) {
	g, r := NewWithT(t), newHarness(t)
	r.announce(nil)
	r.open(1)
	r.clear()
	data := segment(1, ipv4.FlagACK, callerISN+1, serverISN+1, 100)
	r.fromCaller(data, 0)
	r.returnPacket(data)
	g.Expect(r.replied).To(HaveLen(1))
	g.Expect(r.replied[0].Flags().Has(ipv4.FlagRST)).To(BeTrue())
	g.Expect(r.replied[0].Sequence()).To(Equal(uint32(serverISN + 1)))
}

// TestLostFlowProbesServer: a backend server that has lost a flow must be probed at once
// and, if it is dead, its other flows reset. Callers of the other flows once learned of the
// crash only from their next requests, spread over 1.2 s (benchmark day with dark backend
// servers, phellos-lb).
func TestLostFlowProbesServer(t *testing.T) {
	for _, livenessErr := range []error{nil, errDead} {
		g, r := NewWithT(t), newHarness(t)
		r.announce(nil)
		r.open(1)
		r.open(2)
		r.now = r.now.Add(time.Second)
		r.clear()
		data := segment(1, ipv4.FlagACK, callerISN+1, serverISN+1, 100)
		r.fromCaller(data, 0)
		r.returnPacket(data)
		g.Expect(r.replied).To(HaveLen(1))
		r.livenessErr = livenessErr
		r.engine.runChecks()
		want := 1
		if livenessErr != nil {
			want = 2
		}
		g.Eventually(func() int {
			r.engine.mu.Lock()
			defer r.engine.mu.Unlock()
			return len(r.replied)
		}).Should(Equal(want))
		g.Expect(r.server.NotReadyReason() == "server_dead").To(Equal(livenessErr != nil))
	}
}

// TestServerRestartResetsFlows: flows of an earlier run of the backend server must be reset
// at once. A caller that learns of the new run only from its next packet loses a request
// that may not be retried.
func TestServerRestartResetsFlows(t *testing.T) {
	g, r := NewWithT(t), newHarness(t)
	r.announce(nil)
	r.open(1)
	r.engine.runChecks()
	r.clear()
	r.now = r.now.Add(3 * time.Second)
	started := r.now
	r.now = r.now.Add(30 * time.Millisecond)
	r.open(2)
	r.clear()
	r.now = r.now.Add(30 * time.Millisecond)
	r.announce(func(a *Announcement) { a.StartedUnixMillis = started.UnixMilli() })
	r.engine.runChecks()
	g.Expect(r.replied).To(HaveLen(1), "the later flow belongs to the new run")
	g.Expect(r.replied[0].Flags().Has(ipv4.FlagRST)).To(BeTrue())
	g.Expect(r.replied[0].Key().Service.Port()).To(Equal(uint16(1)), "the reset goes to the first caller")
	g.Expect(r.replied[0].Sequence()).To(Equal(uint32(serverISN + 1)))
	r.engine.runChecks()
	g.Expect(r.replied).To(HaveLen(1))
}

// TestUnansweredSYNIsOfferedElsewhere guards against a flow that waits on a backend server
// that sends nothing: if that sends no SYN-ACK within synACKTimeout, the SYN must be offered
// to another agent.
func TestUnansweredSYNIsOfferedElsewhere(t *testing.T) {
	g, r := NewWithT(t), newHarness(t)
	r.announce(nil)
	r.fromCaller(segment(1, ipv4.FlagSYN, callerISN, 0, 0), 0)
	r.now = r.now.Add(synACKTimeout - time.Millisecond)
	r.engine.runChecks()
	g.Expect(r.forwarded).To(BeEmpty())
	r.now = r.now.Add(2 * time.Millisecond)
	r.suppressProbes()
	r.engine.runChecks()
	g.Expect(r.forwarded).To(HaveLen(1))
	g.Expect(r.server.NotReadyReason()).To(Equal("server_silent"))
}

// TestDeadServerResetsFlows: the flows of a dead backend server must be reset with the
// sequence number that their callers accept.
func TestDeadServerResetsFlows(t *testing.T) {
	g, r := NewWithT(t), newHarness(t)
	r.announce(nil)
	r.open(1)
	r.open(2)
	r.clear()
	r.engine.handleDeath()
	g.Expect(r.replied).To(HaveLen(2))
	for _, p := range r.replied {
		g.Expect(p.Flags()).To(Equal(ipv4.FlagRST))
		g.Expect(p.Sequence()).To(Equal(uint32(serverISN + 1)))
	}
	g.Expect(r.engine.Load().Flows).To(BeZero())
}

// TestStaleAnnouncementIgnored: only the newest announcement of the latest run may be
// applied.
func TestStaleAnnouncementIgnored(t *testing.T) {
	startedMillis := time.Unix(1_700_000_000, 0).UnixMilli()
	for _, c := range []struct {
		name string
		a    Announcement
		want bool
	}{
		{"next sequence number", Announcement{ID: "s-1", StartedUnixMillis: startedMillis, Sequence: 8}, true},
		{"earlier sequence number", Announcement{ID: "s-1", StartedUnixMillis: startedMillis, Sequence: 6}, false},
		{"repeated sequence number", Announcement{ID: "s-1", StartedUnixMillis: startedMillis, Sequence: 7}, false},
		{"next run with another id", Announcement{ID: "s-2", StartedUnixMillis: startedMillis + 1, Sequence: 1}, true},
		{"next run with the same id", Announcement{ID: "s-1", StartedUnixMillis: startedMillis + 1, Sequence: 1}, true},
		{"delayed, of an earlier run", Announcement{ID: "s-0", StartedUnixMillis: startedMillis - 1, Sequence: 99}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, r := NewWithT(t), newHarness(t)
			r.server.Announce(Announcement{ID: "s-1", StartedUnixMillis: startedMillis, Sequence: 7})
			g.Expect(r.server.Announce(c.a)).To(Equal(c.want))
		})
	}
}

// TestServerPredatesAgent: an agent must recognize a backend server that was running before
// it, even if the clock has jumped back. Only a run that it has not found absent first, or whose
// announcements have been accepted for long, may predate it.
func TestServerPredatesAgent(t *testing.T) {
	for _, c := range []struct {
		name         string
		absent       bool
		startedAfter time.Duration
		sequence     uint64
		want         bool
	}{
		{"first announcement", true, -time.Hour, 1, false},
		{"started with the machine", true, -100 * time.Millisecond, 4, false},
		{"ran before", true, -time.Hour, 900, true},
		{"ran before, and the clock has jumped back", true, time.Second, 900, true},
		{"started just before an agent that was restarted", false, -time.Second, 4, true},
		{"first announcement, started before its agent was restarted", false, -300 * time.Millisecond, 1, true},
		{"second announcement, started before its agent was restarted", false, -520 * time.Millisecond, 2, true},
		{"started just before an agent that was restarted at once", false, -100 * time.Millisecond, 2, true},
		{"started just before, and the clock has jumped back", false, time.Second, 2, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, r := NewWithT(t), newHarness(t)
			if c.absent {
				r.livenessErr = errDead
			}
			r.server.Discover(context.Background(), "")
			r.announce(func(a *Announcement) { a.StartedUnixMillis += c.startedAfter.Milliseconds(); a.Sequence = c.sequence })
			g.Expect(r.server.mayHoldUnknownFlows(r.now)).To(Equal(c.want))
			g.Expect(r.server.allFlowsKnown(r.now)).To(Equal(!c.want))
		})
	}
}

// TestFlowsOfYoungServerSurviveAgentRestart guards against resets of open flows after the agent
// beside a backend server was killed within the backend server's first second: the new
// incarnation took an early announcement as proof that it knows all flows there.
func TestFlowsOfYoungServerSurviveAgentRestart(t *testing.T) {
	g, r := NewWithT(t), newHarness(t)
	r.now = r.now.Add(700 * time.Millisecond)
	r.announce(func(a *Announcement) { a.StartedUnixMillis -= announceInterval.Milliseconds(); a.Sequence = 2 })
	held := segment(1, ipv4.FlagACK, 2000, 6000, 50)
	r.fromCaller(held, capsule.MarkReportHolder)
	g.Expect(r.delivered).To(HaveLen(1))
	g.Expect(r.forwarded).To(BeEmpty(), "the flow is not reported as unclaimed")
	r.fromServer(segment(1, ipv4.FlagACK, 6000, 2050, 100))
	g.Expect(r.opened).To(HaveLen(1))
	g.Expect(r.replied).To(HaveLen(1))
	g.Expect(r.replied[0].Flags().Has(ipv4.FlagRST)).To(BeFalse())
}

// TestUnansweredProbeIsNoProofOfAbsence guards against resets of open flows while the backend
// server is too busy to accept the connections of probes: only a refused connection shows that it
// is absent.
func TestUnansweredProbeIsNoProofOfAbsence(t *testing.T) {
	g, r := NewWithT(t), newHarness(t)
	r.livenessErr = context.DeadlineExceeded
	r.server.Discover(context.Background(), "")
	r.now = r.now.Add(2 * announcementTimeout)
	g.Expect(r.server.allFlowsKnown(r.now)).To(BeFalse())
	r.fromCaller(segment(1, ipv4.FlagACK, 2000, 6000, 50), capsule.MarkReportHolder)
	g.Expect(r.forwarded).To(HaveLen(1))
	g.Expect(r.forwarded[0].h.Marks.Has(capsule.MarkUncertain)).To(BeTrue())
}

// TestRestartedServerHoldsNoUnknownFlows: a backend server that was found dead and then
// announces a new run holds no flows of the agent's earlier incarnations.
func TestRestartedServerHoldsNoUnknownFlows(t *testing.T) {
	g, r := NewWithT(t), newHarness(t)
	r.announce(func(a *Announcement) { a.Sequence = 900 })
	g.Expect(r.server.mayHoldUnknownFlows(r.now)).To(BeTrue())
	r.server.recordProbe(errDead)
	r.now = r.now.Add(time.Second)
	r.announce(func(a *Announcement) { a.ID = "s-2" })
	g.Expect(r.server.mayHoldUnknownFlows(r.now)).To(BeFalse())
	g.Expect(r.server.allFlowsKnown(r.now)).To(BeTrue())
}
