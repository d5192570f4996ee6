package ablation

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"

	"github.com/go-json-experiment/json"
)

const (
	// deployFile names the commands that the benchmark runs, in lines like: run = "program role".
	deployFile = "deploy/system.toml"
	// maxOutputBytes bounds the part of a failed play's output that an error quotes.
	maxOutputBytes = 2000
)

var runLine = regexp.MustCompile(`(?m)^(run = "[^"]*)"`)

type (
	// Bench plays days with a benchmark program, in copies of a repository.
	Bench struct {
		// Program is the path of the benchmark.
		Program string
		// Work is the directory for the copies, one for each job.
		Work string
		// Repository is the path of the repository to measure.
		Repository string
		// Why is what the benchmark records as the reason for each play.
		Why string
	}

	// report is the part of the benchmark's report that is used.
	report struct {
		Worth  float64        `json:"G"`
		Fault  string         `json:"fault"`
		Breaks map[string]int `json:"breaks"`
	}
)

// NewRunner returns a runner that plays with the benchmark, in the given number of copies of the
// repository, and adds the results to the file. The function progress is called after each play.
func NewRunner(b Bench, jobs int, file string, progress func(done, total int, r Result)) *Runner {
	return &Runner{play: b.play, jobs: jobs, file: file, progress: progress}
}

// play runs one play in the job's copy of the repository, which it clones first if it does not
// exist.
func (b Bench) play(ctx context.Context, job int, siteFile string, p Play) (Result, error) {
	copied := filepath.Join(b.Work, "job-"+strconv.Itoa(job))
	if _, err := os.Stat(copied); err != nil {
		if err := run(ctx, "", "git", "clone", "--quiet", b.Repository, copied); err != nil {
			return Result{}, err
		}
	}
	if err := switchOff(ctx, copied, p); err != nil {
		return Result{}, err
	}
	reportFile := filepath.Join(b.Work, "report-"+strconv.Itoa(job)+".json")
	args := []string{"run", siteFile, p.Day, "--report", reportFile, "--why", b.Why + ", without " + orNothing(p)}
	if p.Seed != 0 {
		args = append(args, "--seed", strconv.FormatUint(p.Seed, 10))
	}
	if p.Small {
		args = append(args, "--small")
	}
	if err := run(ctx, copied, b.Program, args...); err != nil {
		return Result{}, err
	}
	content, err := os.ReadFile(reportFile)
	if err != nil {
		return Result{}, Error.Wrap(err)
	}
	var r report
	if err := json.Unmarshal(content, &r); err != nil {
		return Result{}, Error.New("the report of %s is unreadable: %w", p.Day, err)
	}
	return Result{Play: p, Worth: r.Worth, Broken: r.Breaks, Fault: r.Fault}, nil
}

func orNothing(p Play) string {
	if p.Without == "" {
		return "nothing"
	}
	return string(p.Without)
}

// switchOff adds the flag that switches the play's feature off to the commands in the copy.
func switchOff(ctx context.Context, copied string, p Play) error {
	if err := run(ctx, copied, "git", "checkout", "--quiet", "--", deployFile); err != nil {
		return err
	}
	if p.Without == "" {
		return nil
	}
	file := filepath.Join(copied, deployFile)
	content, err := os.ReadFile(file)
	if err != nil {
		return Error.Wrap(err)
	}
	content = runLine.ReplaceAll(content, []byte(`$1 -without `+string(p.Without)+`"`))
	return Error.Wrap(os.WriteFile(file, content, fileMode))
}

// run runs a program in the directory. An error contains the end of its output.
func run(ctx context.Context, directory, program string, args ...string) error {
	c := exec.CommandContext(ctx, program, args...)
	c.Dir = directory
	var out bytes.Buffer
	c.Stdout, c.Stderr = &out, &out
	if err := c.Run(); err != nil {
		b := out.Bytes()
		return Error.New("%s %v: %w: %s", program, args, err, b[max(0, len(b)-maxOutputBytes):])
	}
	return nil
}
