// Package settings reads a process's settings file and checks it.
//
// # Usage
//
//	var s Balancer
//	err := settings.Load(path, &s)
//
// All mistakes of a file are reported in one error of one line each.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"

	"arbutusfront.dev/common/protocol/control"
	"arbutusfront.dev/common/protocol/strictjson"
)

// ModePassThrough has an agent carry packets to a backend server that holds flows
// itself.
const ModePassThrough = "pass_through"

type (
	// Identity is what each process states about itself.
	Identity struct {
		// Name is unique in the deployment.
		Name string `json:"name"`
		// Domain is the failure domain that the process runs in.
		Domain string `json:"domain"`
		// Secret authenticates control messages; all processes share it.
		Secret string `json:"secret"`
		// PacketAddress is the UDP address for packets and control messages.
		PacketAddress netip.AddrPort `json:"packet_address"`
		// ControlAddress is the TCP address for calls, metrics and dumps.
		ControlAddress netip.AddrPort `json:"control_address"`
		// Seeds are packet addresses of balancers to ask first.
		Seeds []netip.AddrPort `json:"seeds"`
	}

	// Balancer is the settings of arbutus-balancer.
	Balancer struct {
		Identity
		// FabricAddress is the UDP address that the fabric sends packets to.
		FabricAddress netip.AddrPort `json:"fabric_address"`
		// StoreURL is the base URL of the platform's store.
		StoreURL string `json:"store_url"`
		// Placement has the balancer choose agents by load and remember where flows
		// are. It is for agents that pass flows through.
		Placement bool `json:"placement"`
		// FabricReturn is the UDP address that resets to callers go to, with
		// placement.
		FabricReturn netip.AddrPort `json:"fabric_return"`
	}

	// Agent is the settings of arbutus-agent.
	Agent struct {
		Identity
		// Service is the service that the backend server belongs to.
		Service string `json:"service"`
		// BackendAddress is the backend server's TCP address.
		BackendAddress netip.AddrPort `json:"backend_address"`
		// FabricReturn is the UDP address that packets to callers go to.
		FabricReturn netip.AddrPort `json:"fabric_return"`
		// FabricEntry is the UDP address that callers' packets go to. The agent
		// announces itself through it while it knows no balancer.
		FabricEntry netip.AddrPort `json:"fabric_entry"`
		// Mode is empty if the agent ends callers' TCP, or ModePassThrough.
		Mode string `json:"mode"`
		// OutboundAddress is the UDP address where the backend server hands out
		// packets, if the agent passes flows through.
		OutboundAddress netip.AddrPort `json:"outbound_address"`
	}

	// Operator is the settings of arbutusctl.
	Operator struct {
		// StoreURL is the base URL of the platform's store.
		StoreURL string `json:"store_url"`
		// Balancers are control addresses of balancers to ask.
		Balancers []netip.AddrPort `json:"balancers"`
		// Secret is the deployment's secret.
		Secret string `json:"secret"`
	}

	// Checker is a settings type that can check itself.
	Checker interface {
		check(*checks)
	}

	checks struct {
		file     string
		locate   func(string) int
		problems strictjson.Problems
	}
)

// LoadToServe is Load for a program that is about to start: of several mistakes
// the error names the first, in one line, and how to see the others.
func LoadToServe(program, file string, s Checker) error {
	err := Load(file, s)
	var problems strictjson.Problems
	if errors.As(err, &problems) && len(problems) > 1 {
		return fmt.Errorf("%w; and %d more, see %s check -settings %s", problems[0], len(problems)-1, program, file)
	}
	return err
}

// Load reads the file into s and checks it.
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

// Parse decodes the file's content into s and checks it.
func Parse(file string, content []byte, s Checker) error {
	if problems := strictjson.Decode(file, content, s); problems != nil {
		return problems
	}
	c := &checks{file: file, locate: strictjson.Locate(content)}
	s.check(c)
	if len(c.problems) > 0 {
		return c.problems
	}
	return nil
}

func (i *Identity) check(c *checks) {
	c.text("/name", i.Name)
	c.text("/domain", i.Domain)
	if _, err := control.NewKey(i.Secret); err != nil {
		c.report("/secret", err.Error(), "give the same long random text to all processes")
	}
	c.address("/packet_address", i.PacketAddress)
	c.address("/control_address", i.ControlAddress)
}

func (s *Balancer) check(c *checks) {
	s.Identity.check(c)
	c.address("/fabric_address", s.FabricAddress)
	c.text("/store_url", s.StoreURL)
}

func (s *Agent) check(c *checks) {
	s.Identity.check(c)
	c.text("/service", s.Service)
	s.checkMode(c)
	c.address("/backend_address", s.BackendAddress)
	c.address("/fabric_return", s.FabricReturn)
	if s.FabricEntry.IsValid() {
		c.address("/fabric_entry", s.FabricEntry)
		return
	}
	if len(s.Seeds) == 0 {
		c.report("/seeds", "no balancer to announce to", "give the packet address of at least one, or fabric_entry")
	}
}

func (s *Agent) checkMode(c *checks) {
	switch s.Mode {
	case "":
	case ModePassThrough:
		c.address("/outbound_address", s.OutboundAddress)
	default:
		c.report("/mode", "unknown mode "+s.Mode, "leave it out, or use "+ModePassThrough)
	}
}

func (s *Operator) check(c *checks) {
	c.text("/store_url", s.StoreURL)
	if _, err := control.NewKey(s.Secret); err != nil {
		c.report("/secret", err.Error(), "give the text that the processes have")
	}
	if len(s.Balancers) == 0 {
		c.report("/balancers", "no balancer to ask", "give the control address of at least one")
	}
}

func (c *checks) text(path, value string) {
	if value == "" {
		c.report(path, "missing or empty", "state it")
	}
}

func (c *checks) address(path string, a netip.AddrPort) {
	if !a.IsValid() || !a.Addr().Is4() || a.Port() == 0 {
		c.report(path, "missing, or no IPv4 address with a port", "give one, such as 127.0.0.1:7000")
	}
}

func (c *checks) report(path, detail, remedy string) {
	c.problems = append(c.problems, strictjson.Problem{
		File: c.file, Line: c.locate(path), Path: path, Detail: detail, Remedy: remedy,
	})
}
