package soak

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"arbutusfront.dev/common/transport/wait"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

type (
	// Report is the result of a soak: violations, totals and the timeline.
	Report struct {
		Seed        uint64   `json:"seed"`
		PassThrough bool     `json:"pass_through"`
		Violations  []string `json:"violations"`
		Requests    int      `json:"requests"`
		Answered    int      `json:"answered"`
		Refused     int      `json:"refused"`
		Broken      int      `json:"broken"`
		Events      []Entry  `json:"events"`
		Seconds     []Second `json:"seconds"`
		// Logs is the directory with the processes' logs, or empty if they were not kept.
		Logs string `json:"logs"`
	}

	// Entry is one event of the timeline. Times count from the start of the load.
	Entry struct {
		FromMillis int64  `json:"from_millis"`
		ToMillis   int64  `json:"to_millis"`
		Kind       Kind   `json:"kind"`
		Target     string `json:"target"`
		How        string `json:"how"`
		Planned    bool   `json:"planned"`
	}

	// Second counts the requests sent in one second, by outcome. Broken includes wrong answers.
	Second struct {
		Answered int `json:"answered"`
		Refused  int `json:"refused"`
		Broken   int `json:"broken"`
	}
)

// fillTimeline fills in the totals and the timeline. mu must be held.
func (r *records) fillTimeline(out *Report) {
	for _, q := range r.requests {
		at := int(q.start.Sub(r.start) / time.Second)
		for len(out.Seconds) <= at {
			out.Seconds = append(out.Seconds, Second{})
		}
		second := &out.Seconds[at]
		out.Requests++
		switch q.outcome {
		case answered:
			out.Answered++
			second.Answered++
		case refused:
			out.Refused++
			second.Refused++
		default:
			out.Broken++
			second.Broken++
		}
	}
	for _, e := range r.events {
		out.Events = append(out.Events, Entry{
			FromMillis: e.from.Sub(r.start).Milliseconds(), ToMillis: e.to.Sub(r.start).Milliseconds(),
			Kind: e.Kind, Target: e.Target, How: e.How, Planned: e.Planned,
		})
	}
}

// write writes the report to the file as JSON, and its plot next to it as SVG. It does
// nothing if file is empty.
func (r *Report) write(file string) error {
	if file == "" {
		return nil
	}
	b, err := json.Marshal(r, jsontext.Multiline(true), json.Deterministic(true))
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, append(b, '\n'), 0o600); err != nil {
		return err
	}
	return r.plot(strings.TrimSuffix(file, ".json") + ".svg")
}

// plot draws the requests by outcome over the second in which they were sent.
func (r *Report) plot(file string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("soak, seed %d", r.Seed)
	p.X.Label.Text, p.Y.Label.Text = "second", "requests"
	for _, l := range []struct {
		name string
		of   func(Second) int
	}{
		{"answered", func(s Second) int { return s.Answered }},
		{"refused or broken", func(s Second) int { return s.Refused + s.Broken }},
	} {
		var points plotter.XYs
		for i, s := range r.Seconds {
			points = append(points, plotter.XY{X: float64(i), Y: float64(l.of(s))})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		if l.name != "answered" {
			line.Dashes = []vg.Length{vg.Points(4), vg.Points(4)}
		}
		p.Add(line)
		p.Legend.Add(l.name, line)
	}
	return p.Save(plotWidth, plotHeight, file)
}

// progress prints a line each second if the output is a terminal, until stop is called.
func (h *harness) progress(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			wait.For(ctx, time.Second)
			if h.opts.Streams.OutIsTerminal {
				requests, events, violations := h.records.counts()
				fmt.Fprintf(h.opts.Streams.Err, "%4.0f s: %d requests, %d events, %d invariant violations\n",
					time.Since(h.started).Seconds(), requests, events, violations)
			}
		}
	}()
	return func() {
		cancel()
		<-ended
	}
}

func (r *records) counts() (requests, events, violations int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.requests), len(r.events), len(r.violations)
}
