// Command arbutusctl is the command-line client with which operators change and inspect a
// deployment.
package main

import (
	"os"

	"github.com/google/subcommands"

	"arbutusfront.dev/arbutusctl/commands"
	"arbutusfront.dev/arbutusctl/session"
	"arbutusfront.dev/common/command"
)

func main() {
	streams := command.System()
	s := session.New(streams)
	os.Exit(command.Run(streams, commands.Program, os.Args[1:], func(c *subcommands.Commander) {
		commands.Register(c, s)
	}))
}
