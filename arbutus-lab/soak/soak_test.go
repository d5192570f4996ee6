package soak

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/common/command"
)

var sampleTargets = targets{
	balancers: []string{"balancer-1", "balancer-2"}, servers: []string{"desk-1", "desk-2"}, domains: []string{"a", "b"},
}

// TestPlanDeterministicForSeed guards against a soak that can't be replayed: the same seed
// must give the same plan, and another seed another one. Events must overlap, but never on
// the same target, where reverting one would end the other.
func TestPlanDeterministicForSeed(t *testing.T) {
	g := NewWithT(t)
	first := plan(7, time.Minute, sampleTargets, nil, true)
	g.Expect(plan(7, time.Minute, sampleTargets, nil, true)).To(Equal(first))
	g.Expect(plan(8, time.Minute, sampleTargets, nil, true)).NotTo(Equal(first))
	overlaps := 0
	for i, e := range first {
		for _, later := range first[i+1:] {
			if later.At < e.At+e.For {
				overlaps++
				g.Expect(later.Target).NotTo(Equal(e.Target))
			}
		}
	}
	g.Expect(overlaps).To(BeNumerically(">", 0))
}

// TestPlanRestrictedToKinds guards against plans with kinds that -faults or the mode
// excludes, and against a misspelt kind that is ignored.
func TestPlanRestrictedToKinds(t *testing.T) {
	g := NewWithT(t)
	only, err := parseKinds("kill_agent,store_down")
	g.Expect(err).NotTo(HaveOccurred())
	for _, e := range plan(1, time.Minute, sampleTargets, only, false) {
		g.Expect(only).To(ContainElement(e.Kind))
	}
	for _, e := range plan(1, time.Minute, sampleTargets, nil, false) {
		g.Expect(e.Kind).NotTo(Equal(RestartAgent), "a restart takes minutes where agents hold the flows")
	}
	_, err = parseKinds("kill_agent,earthquake")
	g.Expect(err).To(MatchError(ContainSubstring("earthquake")))
}

// validRecords returns records without a violation: ten answered requests, each run once.
func validRecords() *records {
	r := newRecords()
	r.start = time.Unix(1000, 0)
	r.recovered = true
	for i := range 10 {
		at := r.start.Add(time.Duration(i) * time.Second)
		id := longPrefix + string(rune('0'+i))
		r.requests = append(r.requests, request{id: id, start: at, end: at.Add(20 * time.Millisecond), outcome: answered})
		r.recordRuns("desk-1", map[string]int{id: 1})
	}
	return r
}

// TestVerifyReportsViolations guards against a soak that passes although an invariant is
// violated, or that blames a request which a fault explains: each case changes valid records
// in one way.
func TestVerifyReportsViolations(t *testing.T) {
	fault := func(r *records, kind Kind, planned bool, from, to int) {
		r.events = append(r.events, &timedEvent{
			Event: Event{Kind: kind, Planned: planned},
			from:  r.start.Add(time.Duration(from) * time.Second), to: r.start.Add(time.Duration(to) * time.Second),
		})
	}
	errReset := errors.New("reset")
	for _, c := range []struct {
		name   string
		change func(r *records)
		want   string
	}{
		{"no violation", func(*records) {}, ""},
		{"wrong answer", func(r *records) { r.requests[3].outcome, r.requests[3].err = wrong, errReset }, "long-3 at 3s"},
		{"refused but run", func(r *records) { r.requests[3].outcome = refused }, "was refused, and ran"},
		{"run by two", func(r *records) { r.recordRuns("desk-2", map[string]int{"long-4": 1}) }, "long-4 ran 2 times"},
		{"run twice by one", func(r *records) { r.recordRuns("desk-1", map[string]int{"long-4": 2}) }, "long-4 ran 2 times"},
		{"broken by a planned change", func(r *records) {
			fault(r, RestartBalancer, true, 8, 9)
			r.requests[9].outcome, r.requests[9].err = broken, errReset
		}, "long-9 at 9s by [] broke"},
		{"broken by a fault", func(r *records) {
			fault(r, KillAgent, false, 8, 9)
			r.requests[9].outcome = broken
		}, ""},
		{"broken long after a fault", func(r *records) {
			fault(r, KillAgent, false, 1, 2)
			r.requests[9].outcome, r.requests[9].err = broken, errReset
		}, "long-9 at 9s by [] broke"},
		{"service not recovered", func(r *records) { r.recovered = false }, "service was not back"},
		{"earlier violation", func(r *records) { r.addViolationf("balancer-1 went back") }, "balancer-1 went back"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, r := NewWithT(t), validRecords()
			c.change(r)
			report := r.verify()
			if c.want == "" {
				g.Expect(report.Violations).To(BeEmpty())
				return
			}
			g.Expect(report.Violations).To(HaveLen(1))
			g.Expect(report.Violations[0]).To(ContainSubstring(c.want))
		})
	}
}

// TestReportWrittenWithPlot guards against a report that lacks the injected faults or its
// plot.
func TestReportWrittenWithPlot(t *testing.T) {
	g, file := NewWithT(t), filepath.Join(t.TempDir(), "soak.json")
	r := validRecords()
	r.events = append(r.events, &timedEvent{Event: Event{Kind: StoreDown, Target: "store"}, from: r.start, to: r.start})
	report := r.verify()
	g.Expect(report.write(file)).To(Succeed())
	b, err := os.ReadFile(file)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(b)).To(ContainSubstring(`"store_down"`))
	g.Expect(filepath.Join(filepath.Dir(file), "soak.svg")).To(BeAnExistingFile())
}

// TestVerdictExitCode guards against a violation that doesn't fail the command, and against
// a changed summary line.
func TestVerdictExitCode(t *testing.T) {
	for _, broken := range []bool{false, true} {
		var out bytes.Buffer
		c := New(command.Streams{Out: &out, Err: &out}, func(_ context.Context, o *Options) error {
			r := validRecords().verify()
			if broken {
				r.Violations = []string{"desk-1 got 3 new flows"}
			}
			return o.verdict(r)
		})
		f := flag.NewFlagSet("soak", flag.ContinueOnError)
		c.SetFlags(f)
		g := NewWithT(t)
		g.Expect(f.Parse([]string{"-seed", "5"})).To(Succeed())
		code := c.Execute(context.Background(), f)
		g.Expect(out.String()).To(ContainSubstring("soak: seed=5 faults=0 requests=10 answered=10"))
		g.Expect(int(code) != 0).To(Equal(broken))
	}
}
