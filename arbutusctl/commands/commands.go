// Package commands registers the commands of arbutusctl.
//
// # Usage
//
//	commands.Register(commander, session.New(streams))
package commands

import (
	"github.com/google/subcommands"

	"arbutusfront.dev/arbutusctl/config/apply"
	configcheck "arbutusfront.dev/arbutusctl/config/check"
	"arbutusfront.dev/arbutusctl/config/diff"
	"arbutusfront.dev/arbutusctl/config/get"
	"arbutusfront.dev/arbutusctl/domain/set"
	"arbutusfront.dev/arbutusctl/flow/trace"
	"arbutusfront.dev/arbutusctl/process/dump"
	"arbutusfront.dev/arbutusctl/server/drain"
	"arbutusfront.dev/arbutusctl/session"
	"arbutusfront.dev/arbutusctl/status"
	"arbutusfront.dev/common/command/check"
	"arbutusfront.dev/common/protocol/settings"
)

// Program is the program's name, as shown in its help.
const Program = "arbutusctl"

// Register adds all commands to c. They share the session.
func Register(c *subcommands.Commander, s *session.Session) {
	c.Register(apply.New(s, nil), "configuration")
	c.Register(configcheck.New(s, nil), "configuration")
	c.Register(diff.New(s, nil), "configuration")
	c.Register(get.New(s, nil), "configuration")
	c.Register(status.New(s, nil), "operations")
	c.Register(set.New(s, nil), "operations")
	c.Register(drain.New(s, nil), "operations")
	c.Register(dump.New(s, nil), "operations")
	c.Register(trace.New(s, nil), "operations")
	c.Register(check.New(s.Streams, Program, func(file string) error {
		return settings.Load(file, new(settings.Operator))
	}), "")
}
