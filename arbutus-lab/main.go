// Command arbutus-lab runs stand-ins for the systems around a deployment, and the demo,
// load, experiments, reports and soak test that use them.
package main

import (
	"os"

	"github.com/google/subcommands"

	"arbutusfront.dev/arbutus-lab/ablation"
	"arbutusfront.dev/arbutus-lab/demo"
	"arbutusfront.dev/arbutus-lab/load"
	"arbutusfront.dev/arbutus-lab/report"
	"arbutusfront.dev/arbutus-lab/run"
	"arbutusfront.dev/arbutus-lab/soak"
	"arbutusfront.dev/arbutus-lab/standin"
	"arbutusfront.dev/common/command"
)

const program = "arbutus-lab"

func main() {
	streams := command.System()
	os.Exit(command.Run(streams, program, os.Args[1:], func(c *subcommands.Commander) {
		c.Register(standin.New(streams, nil), "")
		c.Register(demo.New(streams, nil), "")
		c.Register(load.New(streams, nil), "")
		c.Register(run.New(streams), "")
		c.Register(report.New(streams), "")
		c.Register(soak.New(streams, nil), "")
		c.Register(ablation.New(streams), "")
	}))
}
