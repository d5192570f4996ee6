package passthrough

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/common/protocol/ipv4"
)

// runSilent runs the test in virtual time, with a running engine. Its backend server has announced itself,
// holds two flows and leaves liveness probes unanswered.
func runSilent(t *testing.T, test func(g *WithT, r *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t)
		r.now = time.Now()
		r.server.now, r.engine.now, r.server.agentStartedAt = time.Now, time.Now, r.now
		r.announce(nil)
		r.open(1)
		r.open(2)
		r.clear()
		r.livenessErr, r.server.probeLiveness = context.DeadlineExceeded, r.probe
		ctx, cancel := context.WithCancel(t.Context())
		done := r.engine.Run(ctx)
		defer func() {
			cancel()
			NewWithT(t).Expect(<-done).To(Succeed())
			time.Sleep(probeTimeout)
		}()
		test(NewWithT(t), r)
	})
}

// probe is the liveness probe of a harness in virtual time. It ends with livenessErr, which is guarded by
// the server's mutex: at once, or when its time is over.
func (r *harness) probe(ctx context.Context) error {
	r.server.mu.Lock()
	err := r.livenessErr
	r.server.mu.Unlock()
	if errors.Is(err, context.DeadlineExceeded) {
		<-ctx.Done()
	}
	return err
}

// answerProbes makes probes end with the error at once, nil if the backend server accepts their connections.
func (r *harness) answerProbes(err error) {
	r.server.mu.Lock()
	defer r.server.mu.Unlock()
	r.livenessErr = err
}

// resets returns how many resets the callers got.
func (r *harness) resets() int {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	n := 0
	for _, p := range r.replied {
		if p.Flags().Has(ipv4.FlagRST) {
			n++
		}
	}
	return n
}

// TestUnansweredProbesKeepFlows guards against the reset of open flows because their backend server accepts
// connections too late for a probe. It lives: it announces itself, or sends packets.
func TestUnansweredProbesKeepFlows(t *testing.T) {
	for name, sign := range map[string]func(r *harness, i int){
		"announcements": func(r *harness, i int) {
			r.announce(func(a *Announcement) { a.Sequence = uint64(2 + i) })
		},
		"packets": func(r *harness, _ int) {
			r.fromServer(segment(1, ipv4.FlagACK, serverISN+1, callerISN+1, 10))
		},
	} {
		t.Run(name, func(t *testing.T) {
			runSilent(t, func(g *WithT, r *harness) {
				for i := range 5 {
					r.fromCaller(segment(1, ipv4.FlagACK, callerISN+1, serverISN+1, 100), 0)
					time.Sleep(300 * time.Millisecond)
					for range 3 {
						sign(r, i)
						time.Sleep(300 * time.Millisecond)
					}
				}
				g.Expect(r.resets()).To(BeZero())
				g.Expect(r.server.NotReadyReason()).NotTo(Equal("server_dead"))
				g.Expect(r.engine.Load().Flows).To(Equal(2))
			})
		})
	}
}

// TestUnansweredProbeStopsNewFlows guards against new flows to a backend server that does not answer.
func TestUnansweredProbeStopsNewFlows(t *testing.T) {
	runSilent(t, func(g *WithT, r *harness) {
		r.fromCaller(segment(1, ipv4.FlagACK, callerISN+1, serverISN+1, 100), 0)
		time.Sleep(silenceTimeout + probeTimeout + 2*checkInterval)
		g.Expect(r.server.NotReadyReason()).To(Equal("server_silent"))
		g.Expect(r.resets()).To(BeZero())
		r.answerProbes(nil)
		time.Sleep(probeTimeout + probeInterval + 2*checkInterval)
		g.Expect(r.server.NotReadyReason()).To(BeEmpty())
	})
}

// TestSilentServerDies guards against callers that wait for a backend server that is gone, without a refused
// connection, for longer than announcementTimeout and one probe. It recovers once it answers.
func TestSilentServerDies(t *testing.T) {
	for _, unanswered := range []bool{false, true} {
		runSilent(t, func(g *WithT, r *harness) {
			if unanswered {
				r.fromCaller(segment(1, ipv4.FlagACK, callerISN+1, serverISN+1, 100), 0)
			}
			time.Sleep(announcementTimeout - time.Millisecond)
			g.Expect(r.resets()).To(BeZero())
			time.Sleep(probeTimeout + checkInterval)
			g.Expect(r.resets()).To(Equal(2))
			g.Expect(r.server.NotReadyReason()).To(Equal("server_dead"))
			r.answerProbes(nil)
			time.Sleep(probeTimeout + probeInterval + 2*checkInterval)
			g.Expect(r.server.NotReadyReason()).To(BeEmpty())
		})
	}
}

// TestRefusedProbeIsCertain guards against a delay of the resets after a refused connection.
func TestRefusedProbeIsCertain(t *testing.T) {
	runSilent(t, func(g *WithT, r *harness) {
		r.answerProbes(errDead)
		r.fromCaller(segment(1, ipv4.FlagACK, callerISN+1, serverISN+1, 100), 0)
		time.Sleep(silenceTimeout + 2*checkInterval)
		g.Expect(r.resets()).To(Equal(2))
		g.Expect(r.server.NotReadyReason()).To(Equal("server_dead"))
	})
}

// TestStoppedAgentKeepsFlows guards against resets by an agent that did not run itself: its probes time out,
// and what its backend server sent has not been read.
func TestStoppedAgentKeepsFlows(t *testing.T) {
	for name, stop := range map[string]time.Duration{
		"while the probe runs": probeTimeout + 2*maxCheckDelay, "before it ends": probeTimeout + maxCheckDelay/2,
	} {
		t.Run(name, func(t *testing.T) {
			g, r := NewWithT(t), newHarness(t)
			r.suppressProbes()
			r.announce(nil)
			for range 2 * silentProbes {
				r.now = r.now.Add(announcementTimeout)
				r.engine.runChecks()
				r.server.probeStartedAt = r.now
				r.now = r.now.Add(stop)
				r.server.recordProbe(context.DeadlineExceeded)
				r.suppressProbes()
				r.engine.runChecks()
			}
			g.Expect(r.server.NotReadyReason()).NotTo(Equal("server_dead"))
			for range silentProbes {
				r.server.probeStartedAt = r.now
				for range probeTimeout / checkInterval {
					r.now = r.now.Add(checkInterval)
					r.engine.runChecks()
				}
				r.server.recordProbe(context.DeadlineExceeded)
				r.suppressProbes()
			}
			r.engine.runChecks()
			g.Expect(r.server.NotReadyReason()).To(Equal("server_dead"), "the agent has run since")
		})
	}
}
