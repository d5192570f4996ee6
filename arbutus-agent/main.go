// Command arbutus-agent runs the agent of one backend server.
package main

import (
	"os"

	"github.com/google/subcommands"

	"arbutusfront.dev/arbutus-agent/serve"
	"arbutusfront.dev/common/command"
	"arbutusfront.dev/common/command/check"
	"arbutusfront.dev/common/protocol/settings"
)

const program = "arbutus-agent"

func main() {
	streams := command.System()
	os.Exit(command.Run(streams, program, os.Args[1:], func(c *subcommands.Commander) {
		c.Register(serve.New(streams), "")
		c.Register(check.New(streams, program, func(file string) error {
			return settings.Load(file, new(settings.Agent))
		}), "")
	}))
}
