package ablation

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"arbutusfront.dev/common/state/feature"
)

// cell is the effect of a feature on one site: the differences of worth between plays without
// and with it, paired by day and seed, and the rules that were broken only without it.
type cell struct {
	differences []float64
	broken      map[string]int
	faults      int
}

// Table renders the results as a Markdown table with a row for each feature and a column for
// each site: the mean difference of worth without the feature, with its standard error, and the
// rules that are broken without it.
func Table(results []Result) string {
	with := make(map[Play]Result)
	sites := make(map[string]bool)
	for _, r := range results {
		sites[r.Site+size(r)] = true
		if r.Without == "" {
			with[r.Play] = r
		}
	}
	cells := make(map[string]*cell)
	for _, r := range results {
		reference, ok := with[Play{Site: r.Site, Small: r.Small, Day: r.Day, Seed: r.Seed}]
		if r.Without == "" || !ok {
			continue
		}
		key := string(r.Without) + " " + r.Site + size(r)
		if cells[key] == nil {
			cells[key] = &cell{broken: make(map[string]int)}
		}
		cells[key].add(reference, r)
	}
	names := slices.Sorted(maps.Keys(sites))
	var b strings.Builder
	rule := strings.Repeat("---|", len(names))
	fmt.Fprintf(&b, "| feature | purpose | %s |\n|---|---|%s\n", strings.Join(names, " | "), rule)
	for _, f := range feature.All() {
		fmt.Fprintf(&b, "| `%s` | %s |", f.Name, f.Purpose)
		for _, name := range names {
			fmt.Fprintf(&b, " %s |", cells[string(f.Name)+" "+name])
		}
		b.WriteByte('\n')
	}
	return b.String()
}

func size(r Result) string {
	if r.Small {
		return " (small)"
	}
	return ""
}

func (c *cell) add(with, without Result) {
	c.differences = append(c.differences, without.Worth-with.Worth)
	for rule, n := range without.Broken {
		if n > with.Broken[rule] {
			c.broken[rule] += n - with.Broken[rule]
		}
	}
	if without.Fault != "" && with.Fault == "" {
		c.faults++
	}
}

// String returns the mean difference, its standard error, the number of plays and what was
// broken, or "not run".
func (c *cell) String() string {
	if c == nil {
		return "not run"
	}
	mean, n := 0.0, float64(len(c.differences))
	for _, d := range c.differences {
		mean += d / n
	}
	squares := 0.0
	for _, d := range c.differences {
		squares += (d - mean) * (d - mean)
	}
	s := fmt.Sprintf("%+.4f", mean)
	if n > 1 {
		s += fmt.Sprintf(" ± %.4f", math.Sqrt(squares/(n-1)/n))
	}
	s += fmt.Sprintf(" (%d)", len(c.differences))
	for _, rule := range slices.Sorted(maps.Keys(c.broken)) {
		s += fmt.Sprintf(", %s %d", rule, c.broken[rule])
	}
	if c.faults > 0 {
		s += fmt.Sprintf(", faults %d", c.faults)
	}
	return s
}
