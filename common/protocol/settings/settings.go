// Package settings reads and validates the settings files of the programs.
//
// # Usage
//
//	var s settings.Balancer
//	err := settings.Load(path, &s)
//
// Load reports all mistakes of a file in one error, one line for each.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"

	"arbutusfront.dev/common/protocol/control"
	"arbutusfront.dev/common/protocol/strictjson"
)

// ModePassThrough is the mode of an agent that forwards packets to a backend server,
// which holds the flows itself.
const ModePassThrough = "pass_through"

type (
	// Identity holds the settings that balancers and agents have in common.
	Identity struct {
		// Name is unique in the deployment.
		Name string `json:"name"`
		// Domain is the failure domain that the process runs in.
		Domain string `json:"domain"`
		// Secret authenticates control messages; all processes share it.
		Secret string `json:"secret"`
		// PacketAddress is the UDP address for packets and control messages.
		PacketAddress netip.AddrPort `json:"packet_address"`
		// ControlAddress is the TCP address for RPCs, metrics and dumps.
		ControlAddress netip.AddrPort `json:"control_address"`
		// Seeds are packet addresses of balancers that the process contacts to join
		// the cluster.
		Seeds []netip.AddrPort `json:"seeds"`
	}

	// Balancer is the settings of arbutus-balancer.
	Balancer struct {
		Identity
		// FabricAddress is the UDP address that the fabric sends packets to.
		FabricAddress netip.AddrPort `json:"fabric_address"`
		// StoreURL is the base URL of the platform's store.
		StoreURL string `json:"store_url"`
		// Placement makes the balancer choose the agent of a new flow by its rank for
		// the flow and by load, instead of by rank alone, and record the holders of
		// flows. It is for agents in ModePassThrough.
		Placement bool `json:"placement"`
		// FabricReturn is the UDP address to which resets for callers are sent if
		// Placement is set.
		FabricReturn netip.AddrPort `json:"fabric_return"`
	}

	// Agent is the settings of arbutus-agent.
	Agent struct {
		Identity
		// Service is the service that the backend server belongs to.
		Service string `json:"service"`
		// BackendAddress is the backend server's TCP address.
		BackendAddress netip.AddrPort `json:"backend_address"`
		// FabricReturn is the UDP address to which packets for callers are sent.
		FabricReturn netip.AddrPort `json:"fabric_return"`
		// FabricEntry is the UDP address to which callers send their packets. The
		// agent announces itself there while it knows no balancer.
		FabricEntry netip.AddrPort `json:"fabric_entry"`
		// Mode is empty if the agent terminates the callers' TCP connections, or
		// ModePassThrough.
		Mode string `json:"mode"`
		// OutboundAddress is the UDP address on which the agent receives the packets
		// that the backend server sends, in ModePassThrough.
		OutboundAddress netip.AddrPort `json:"outbound_address"`
	}

	// Operator is the settings of arbutusctl.
	Operator struct {
		// StoreURL is the base URL of the platform's store.
		StoreURL string `json:"store_url"`
		// Balancers are control addresses of balancers to query.
		Balancers []netip.AddrPort `json:"balancers"`
		// Secret is the secret that the processes share.
		Secret string `json:"secret"`
	}

	// Checker is a settings type that can validate itself: *Balancer, *Agent or
	// *Operator.
	Checker interface {
		check(*problemCollector)
	}

	// problemCollector collects the problems of one file.
	problemCollector struct {
		file string
		// locate returns the line of a JSON pointer in the file.
		locate   func(string) int
		problems strictjson.Problems
	}
)

// LoadToServe is like Load, for a program that is about to serve. Its error is a single
// line: the first problem and, if there are more, the command that lists all.
func LoadToServe(program, file string, s Checker) error {
	err := Load(file, s)
	var problems strictjson.Problems
	if errors.As(err, &problems) && len(problems) > 1 {
		return fmt.Errorf("%w; and %d more, see %s check -settings %s", problems[0], len(problems)-1, program, file)
	}
	return err
}

// Load reads the file into s and validates it. The error is a strictjson.Problem if the
// file can't be read, or else strictjson.Problems.
func Load(file string, s Checker) error {
	content, err := os.ReadFile(file)
	if err != nil {
		return strictjson.Problem{
			File:   file,
			Detail: "can't read the settings: " + err.Error(),
			Remedy: "name a readable file",
		}
	}
	return Parse(file, content, s)
}

// Parse decodes content into s and validates it. File is the name that the problems refer
// to. The error is of type strictjson.Problems.
func Parse(file string, content []byte, s Checker) error {
	if problems := strictjson.Decode(file, content, s); problems != nil {
		return problems
	}
	c := &problemCollector{file: file, locate: strictjson.Locate(content)}
	s.check(c)
	if len(c.problems) > 0 {
		return c.problems
	}
	return nil
}

func (i *Identity) check(c *problemCollector) {
	c.requireText("/name", i.Name)
	c.requireText("/domain", i.Domain)
	if _, err := control.NewKey(i.Secret); err != nil {
		c.report("/secret", err.Error(), "give the same long random text to all processes")
	}
	c.requireAddress("/packet_address", i.PacketAddress)
	c.requireAddress("/control_address", i.ControlAddress)
}

func (s *Balancer) check(c *problemCollector) {
	s.Identity.check(c)
	c.requireAddress("/fabric_address", s.FabricAddress)
	c.requireText("/store_url", s.StoreURL)
}

func (s *Agent) check(c *problemCollector) {
	s.Identity.check(c)
	c.requireText("/service", s.Service)
	s.checkMode(c)
	c.requireAddress("/backend_address", s.BackendAddress)
	c.requireAddress("/fabric_return", s.FabricReturn)
	if s.FabricEntry.IsValid() {
		c.requireAddress("/fabric_entry", s.FabricEntry)
		return
	}
	if len(s.Seeds) == 0 {
		c.report("/seeds", "no balancer to announce to", "give the packet address of at least one, or fabric_entry")
	}
}

func (s *Agent) checkMode(c *problemCollector) {
	switch s.Mode {
	case "":
	case ModePassThrough:
		c.requireAddress("/outbound_address", s.OutboundAddress)
	default:
		c.report("/mode", "unknown mode "+s.Mode, "leave it out, or use "+ModePassThrough)
	}
}

func (s *Operator) check(c *problemCollector) {
	c.requireText("/store_url", s.StoreURL)
	if _, err := control.NewKey(s.Secret); err != nil {
		c.report("/secret", err.Error(), "use the secret of the balancers and agents")
	}
	if len(s.Balancers) == 0 {
		c.report("/balancers", "no balancers listed", "give the control address of at least one")
	}
}

func (c *problemCollector) requireText(path, value string) {
	if value == "" {
		c.report(path, "missing or empty", "state it")
	}
}

func (c *problemCollector) requireAddress(path string, a netip.AddrPort) {
	if !a.IsValid() || !a.Addr().Is4() || a.Port() == 0 {
		c.report(path, "missing, or not an IPv4 address with a port", "give one, such as 127.0.0.1:7000")
	}
}

func (c *problemCollector) report(path, detail, remedy string) {
	c.problems = append(c.problems, strictjson.Problem{
		File: c.file, Line: c.locate(path), Path: path, Detail: detail, Remedy: remedy,
	})
}
