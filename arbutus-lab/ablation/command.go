package ablation

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"strings"

	"github.com/google/subcommands"

	"arbutusfront.dev/common/command"
	"arbutusfront.dev/common/state/feature"
)

const usage = `arbutus-lab ablate -bench PROGRAM -work DIR -out RESULTS.json [flags] SITE...
arbutus-lab ablate -out RESULTS.json -table

Play days of the sites with each feature of the balancers and agents switched
off, in copies of the repository, and add the results to a file. Plays whose
result is in the file are not repeated, so a run that was stopped continues
where it was. With -table, print the results as a Markdown table.

Examples:
  arbutus-lab ablate -bench ./bench -work /tmp/ablation -out ablation.json site.toml
  arbutus-lab ablate -out ablation.json -table

`

type (
	// Command is the subcommand.
	Command struct {
		streams              command.Streams
		bench                Bench
		out                  string
		days, seeds, without string
		small, table         bool
		jobs                 int
	}
)

// New returns the command.
func New(s command.Streams) *Command { return &Command{streams: s} }

// Name implements subcommands.Command.
func (*Command) Name() string { return "ablate" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "measure what single features are worth" }

// Usage implements subcommands.Command.
func (*Command) Usage() string { return usage }

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.bench.Program, "bench", "", "`program` of the benchmark")
	f.StringVar(&c.bench.Work, "work", "", "`directory` for copies of the repository")
	f.StringVar(&c.bench.Repository, "repository", ".", "`repository` to measure")
	f.StringVar(&c.bench.Why, "why", "ablation", "`reason` that the benchmark records")
	f.StringVar(&c.out, "out", "", "`file` with the results")
	f.StringVar(&c.days, "days", "trouble-1,scale-1,trouble-2,scale-2,trouble-3", "`days` to play")
	f.StringVar(&c.seeds, "seeds", "0", "`seeds` to play with; 0 stands for the day's own")
	f.StringVar(&c.without, "without", "", "`features` to switch off, each by itself; all if empty")
	f.BoolVar(&c.small, "small", false, "play the days at a small size")
	f.BoolVar(&c.table, "table", false, "print the results instead of playing")
	f.IntVar(&c.jobs, "jobs", 2, "`number` of plays at a time")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.out == "" {
		return command.Report(c.streams, command.Usagef("-out is missing; name the file with the results"))
	}
	if c.table {
		return command.Report(c.streams, c.printTable())
	}
	plan, err := c.plan(f.Args())
	if err != nil {
		return command.Report(c.streams, command.UsageError{Err: err})
	}
	return command.Report(c.streams, NewRunner(c.bench, c.jobs, c.out, c.printProgress).Run(ctx, plan))
}

func (c *Command) printTable() error {
	results, err := ReadResults(c.out)
	if err != nil {
		return err
	}
	_, err = fmt.Fprint(c.streams.Out, Table(results))
	return err
}

func (c *Command) printProgress(done, total int, r Result) {
	fmt.Fprintf(c.streams.Err, "%d of %d: %s %s, seed %d, without %s: %.4f %v\n",
		done, total, r.Site, r.Day, r.Seed, orNothing(r.Play), r.Worth, r.Broken)
}

// plan returns the plays that the flags and arguments name.
func (c *Command) plan(sites []string) (Plan, error) {
	switch {
	case c.bench.Program == "" || c.bench.Work == "":
		return Plan{}, Error.New("-bench and -work are required; see arbutus-lab help ablate")
	case len(sites) == 0:
		return Plan{}, Error.New("no site is named; see arbutus-lab help ablate")
	case c.jobs < 1:
		return Plan{}, Error.New("-jobs must be at least 1")
	}
	p := Plan{Sites: sites, Days: strings.Split(c.days, ","), Small: c.small}
	for field := range strings.SplitSeq(c.seeds, ",") {
		seed, err := strconv.ParseUint(field, 10, 64)
		if err != nil {
			return Plan{}, Error.New("seed %q is not a number", field)
		}
		p.Seeds = append(p.Seeds, seed)
	}
	selected, err := feature.Parse(c.without)
	if err != nil {
		return Plan{}, err
	}
	for _, f := range feature.All() {
		if c.without == "" || selected.Has(f.Name) {
			p.Features = append(p.Features, f.Name)
		}
	}
	return p, nil
}
