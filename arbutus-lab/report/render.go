package report

import (
	"fmt"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"arbutusfront.dev/arbutus-lab/experiment"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// Table renders the result as Markdown, with references to its plots.
func Table(r *experiment.Result) string {
	var b strings.Builder
	x := r.Experiment
	fmt.Fprintf(&b, "# Measures of %s\n\n", x.Name)
	fmt.Fprintf(&b, "Command: `arbutus-lab run %s`, seed %d. Commit %s, %s. Separate processes on one\n",
		r.File, x.Seed, r.Commit, r.Started)
	fmt.Fprintf(&b, "machine of loopback addresses; service %s; %d ms between callers and the fabric. Delays between\n",
		x.Service, x.DelayMillis)
	b.WriteString("failure domains are only in the sessions in virtual time. The baselines are models of placement\n")
	b.WriteString("alone, for as many flows and the same changes.\n\n")
	writeMeasures(&b, r)
	writeLatencies(&b, r)
	writeTimeline(&b, r)
	return b.String()
}

func writeMeasures(b *strings.Builder, r *experiment.Result) {
	b.WriteString("| measure | arbutusfront |")
	for _, baseline := range r.Baselines {
		fmt.Fprintf(b, " %s |", baseline.Name)
	}
	b.WriteString("\n|---|---|" + strings.Repeat("---|", len(r.Baselines)) + "\n")
	writeRow(b, r, fmt.Sprintf("long flows broken by planned changes, of %d", r.Experiment.Load.LongFlows),
		fmt.Sprint(r.EndedBy(experiment.ByPlanned)),
		func(baseline experiment.Baseline) string { return fmt.Sprint(baseline.Ended) })
	if len(r.Imbalance) > 0 {
		writeRow(b, r, "imbalance of flows, max over mean, first sample", fmt.Sprintf("%.3f", r.Imbalance[0].MaxOverMean),
			func(baseline experiment.Baseline) string { return fmt.Sprintf("%.3f", baseline.MaxOverMean) })
	}
	none := func(experiment.Baseline) string { return "-" }
	writeRow(b, r, "long flows ended with their failure domain", fmt.Sprint(r.EndedBy(experiment.ByDomain)), none)
	failed := fmt.Sprint(r.EndedBy(experiment.ByFailure))
	writeRow(b, r, "long flows ended with an agent that was killed or frozen", failed, none)
	due, answered, broken, worst := totals(r.Seconds)
	writeRow(b, r, "requests due, answered, broken", fmt.Sprintf("%d, %d, %d", due, answered, broken), none)
	writeRow(b, r, "worst second: share answered", fmt.Sprintf("%.3f", worst), none)
	b.WriteString("\n")
}

// writeRow writes a row with the measured value and that of each baseline.
func writeRow(
	b *strings.Builder, r *experiment.Result, name, value string, baselineValue func(experiment.Baseline) string,
) {
	fmt.Fprintf(b, "| %s | %s |", name, value)
	for _, baseline := range r.Baselines {
		fmt.Fprintf(b, " %s |", baselineValue(baseline))
	}
	b.WriteString("\n")
}

func writeLatencies(b *strings.Builder, r *experiment.Result) {
	b.WriteString("| latency from when due | p50 | p99 | max |\n|---|---|---|---|\n")
	for _, l := range r.Latencies {
		fmt.Fprintf(b, "| %s | %s | %s | %s |\n", l.Requests, micros(l.P50Micros), micros(l.P99Micros), micros(l.MaxMicros))
	}
	b.WriteString("\n")
}

// micros formats microseconds as a duration.
func micros(n int64) string { return (time.Duration(n) * time.Microsecond).String() }

func writeTimeline(b *strings.Builder, r *experiment.Result) {
	fmt.Fprintf(b, "![service second by second](%s.svg)\n\n", r.Experiment.Name)
	fmt.Fprintf(b, "![imbalance over time](%s-imbalance.svg)\n\n", r.Experiment.Name)
	b.WriteString("| second | due | answered | broken | change |\n|---|---|---|---|---|\n")
	for i, sec := range r.Seconds {
		var changes []string
		for _, e := range r.Events {
			if int(e.AtMillis/time.Second.Milliseconds()) == i {
				changes = append(changes, e.Name)
			}
		}
		fmt.Fprintf(b, "| %d | %d | %d | %d | %s |\n", i, sec.Due, sec.Answered, sec.Broken, strings.Join(changes, "; "))
	}
}

// plotService plots the requests due and answered in each second, as SVG.
func plotService(r *experiment.Result, path string) error {
	var due, answered plotter.XYs
	for i, sec := range r.Seconds {
		due = append(due, plotter.XY{X: float64(i), Y: float64(sec.Due)})
		answered = append(answered, plotter.XY{X: float64(i), Y: float64(sec.Answered)})
	}
	p := newPlot("requests answered, by the second they were due in: "+r.Experiment.Name, "requests")
	dueLine, err := plotter.NewLine(due)
	if err != nil {
		return err
	}
	dueLine.Dashes = []vg.Length{vg.Points(4), vg.Points(4)}
	answeredLine, err := plotter.NewLine(answered)
	if err != nil {
		return err
	}
	answeredLine.Width = vg.Points(2)
	p.Add(dueLine, answeredLine)
	p.Legend.Add("due", dueLine)
	p.Legend.Add("answered", answeredLine)
	return p.Save(plotWidth, plotHeight, path)
}

// plotImbalance plots the highest number of flows on a backend server, as a multiple of the
// mean, over time, as SVG.
func plotImbalance(r *experiment.Result, path string) error {
	var points plotter.XYs
	for _, s := range r.Imbalance {
		points = append(points, plotter.XY{X: float64(s.AtMillis) / float64(time.Second.Milliseconds()), Y: s.MaxOverMean})
	}
	p := newPlot("flows of a backend server, max over mean: "+r.Experiment.Name, "max over mean")
	if len(points) > 0 {
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Width = vg.Points(2)
		p.Add(line)
	}
	return p.Save(plotWidth, plotHeight, path)
}

// newPlot returns a plot over the seconds of the experiment, with a y-axis that starts at 0.
func newPlot(title, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "second"
	p.Y.Label.Text = y
	p.Y.Min = 0
	return p
}

// totals returns the sums over all seconds, and the lowest share of due requests that were
// answered in a second. Seconds without due requests don't count for the share.
func totals(seconds []experiment.Second) (due, answered, broken int, worst float64) {
	worst = 1
	for _, s := range seconds {
		due += s.Due
		answered += s.Answered
		broken += s.Broken
		if s.Due > 0 {
			worst = min(worst, float64(s.Answered)/float64(s.Due))
		}
	}
	return due, answered, broken, worst
}
