// Package ablation measures what single mechanisms of the deployed programs are worth: it plays
// days of a benchmark with each of them switched off, and compares the results with those of the
// unchanged programs.
//
// # Usage
//
//	arbutus-lab ablate -bench PATH -work DIR -out ablation.json SITE...
//	arbutus-lab ablate -out ablation.json -table
//
// A play is one day of a site with one seed. Its result is written to the output file at once. A
// run that was stopped continues where it was, since plays in the file are not repeated.
package ablation

import (
	"cmp"
	"context"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/zeebo/errs"

	"arbutusfront.dev/common/state/feature"
)

const fileMode = 0o644

// Error is the class of this package's errors.
var Error = errs.Class("ablation")

type (
	// Play identifies one day of a site, played with one seed. Without is the feature that is
	// switched off, empty for none. Seed 0 stands for the day's own.
	Play struct {
		Site    string       `json:"site"`
		Small   bool         `json:"small"`
		Day     string       `json:"day"`
		Seed    uint64       `json:"seed"`
		Without feature.Name `json:"without"`
	}

	// Result is the outcome of a play.
	Result struct {
		Play
		// Worth is what the day earned. It doesn't include the loss for broken rules.
		Worth float64 `json:"worth"`
		// Broken counts how often each rule was broken, by its name.
		Broken map[string]int `json:"broken,omitzero"`
		// Fault is why the day counts for nothing, empty if it does.
		Fault string `json:"fault,omitzero"`
	}

	// Plan are the plays to run.
	Plan struct {
		// Sites are the paths of the site files.
		Sites    []string
		Days     []string
		Seeds    []uint64
		Features []feature.Name
		// Small plays the days at a small size.
		Small bool
	}

	// Runner runs the plays of plans.
	Runner struct {
		// play runs a play in the work directory of a job.
		play     func(ctx context.Context, job int, siteFile string, p Play) (Result, error)
		jobs     int
		file     string
		progress func(done, total int, r Result)

		mu      sync.Mutex
		results []Result
		done    int
	}
)

// siteName returns the name of the site in the file.
func siteName(file string) string { return strings.TrimSuffix(filepath.Base(file), filepath.Ext(file)) }

// plays returns the plays of the plan with their site files: for each site, day and seed first
// that of the unchanged programs.
func (p Plan) plays() (plays []Play, siteFiles []string) {
	for _, seed := range p.Seeds {
		for _, file := range p.Sites {
			for _, without := range append([]feature.Name{""}, p.Features...) {
				for _, day := range p.Days {
					plays = append(plays, Play{
						Site: siteName(file), Small: p.Small, Day: day, Seed: seed, Without: without,
					})
					siteFiles = append(siteFiles, file)
				}
			}
		}
	}
	return plays, siteFiles
}

// ReadResults returns the results in the file, or none if it does not exist.
func ReadResults(file string) ([]Result, error) {
	b, err := os.ReadFile(file)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var results []Result
	if err := json.Unmarshal(b, &results); err != nil {
		return nil, Error.New("%s does not contain results: %w", file, err)
	}
	return results, nil
}

// Run runs the plays of the plan that have no result in the file yet, up to the runner's number
// of jobs at a time. It stops at the first play that fails.
func (r *Runner) Run(ctx context.Context, p Plan) error {
	var err error
	if r.results, err = ReadResults(r.file); err != nil {
		return err
	}
	known := make(map[Play]bool, len(r.results))
	for _, result := range r.results {
		known[result.Play] = true
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	plays, siteFiles := p.plays()
	next := make(chan int)
	ended := make(chan error, r.jobs)
	for job := range r.jobs {
		go func() {
			var err error
			for i := range next {
				if err == nil {
					err = r.runPlay(ctx, job, siteFiles[i], plays[i], len(plays))
				}
				if err != nil {
					cancel(err)
				}
			}
			ended <- err
		}()
	}
	for i := range plays {
		if known[plays[i]] {
			r.done++
			continue
		}
		if ctx.Err() != nil {
			break
		}
		next <- i
	}
	close(next)
	var failures []error
	for range r.jobs {
		failures = append(failures, <-ended)
	}
	return errors.Join(failures...)
}

func (r *Runner) runPlay(ctx context.Context, job int, siteFile string, p Play, total int) error {
	result, err := r.play(ctx, job, siteFile, p)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done++
	r.results = append(r.results, result)
	slices.SortStableFunc(r.results, compare)
	r.progress(r.done, total, result)
	return write(r.file, r.results)
}

// compare orders results by site, feature, day and seed.
func compare(a, b Result) int {
	return cmp.Or(
		cmp.Compare(a.Site, b.Site), cmp.Compare(a.Without, b.Without),
		cmp.Compare(a.Day, b.Day), cmp.Compare(a.Seed, b.Seed),
	)
}

// write replaces the file at once, so that it remains complete if the process is killed.
func write(file string, results []Result) error {
	b, err := json.Marshal(results, json.Deterministic(true), jsontext.WithIndent("  "))
	if err != nil {
		return Error.Wrap(err)
	}
	if err := os.WriteFile(file+".new", append(b, '\n'), fileMode); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.Rename(file+".new", file))
}
