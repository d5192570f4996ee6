// Package cluster runs a whole deployment as separate processes on loopback. The
// demo, the experiments, the soak test and the tests with separate processes use it.
//
// # Usage
//
//	c, err := cluster.Start(binDir, "-delay", "3ms")
//	defer c.Close()
//	out, err := c.Ctl(ctx, "apply", "-f", dir, "--yes", "--wait")
//
// Each process has its own IP address within 127.0.0.0/8, so that all can use the same ports without a collision.
package cluster

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/go-json-experiment/json"

	"arbutusfront.dev/arbutus-lab/caller"
	"arbutusfront.dev/arbutus-lab/fabric"
	"arbutusfront.dev/common/protocol/settings"
	"arbutusfront.dev/common/transport/datagram"
	"arbutusfront.dev/common/transport/tasks"
)

// Ports, which are the same on each process's IP address.
const (
	portFabric  = 7001
	portPacket  = 7002
	portControl = 7003
	portReturn  = 7004
	portBackend = 8000
	// portOutbound is the agent's UDP port to which its backend server sends packets in pass-through mode.
	portOutbound = 8001

	stopTimeout  = 15 * time.Second
	pollInterval = 50 * time.Millisecond
	sharedSecret = "a secret for loopback only"

	nameStore  = "store"
	nameFabric = "fabric"
)

type (
	// Server names a backend server, its service and its failure domain. Its agent has the same name.
	Server struct {
		Name    string
		Service string
		Domain  string
	}

	// Cluster is a running deployment.
	Cluster struct {
		bin string
		dir string
		// network is the /24 network in which the processes' IP addresses begin.
		network netip.Addr

		// mu guards lastIndex, addresses, processes and balancers.
		mu sync.Mutex
		// lastIndex is that of the last IP address that was assigned.
		lastIndex int
		addresses map[string]netip.Addr
		processes map[string]*Process
		balancers []string
		// passThrough is whether balancers, backend servers and agents are started in pass-through mode.
		passThrough bool
		links       Links
		// keepFiles is whether Close retains the processes' files.
		keepFiles bool
	}
)

// Start starts the store and the fabric with the programs in the directory bin, writes arbutusctl's settings, and
// waits until both processes respond. The fabric gets fabricArgs as further flags.
func Start(bin string, fabricArgs ...string) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "arbutus-lab-")
	if err != nil {
		return nil, err
	}
	c := &Cluster{
		bin:       bin,
		dir:       dir,
		network:   netip.AddrFrom4([4]byte{127, uint8(16 + rand.IntN(200)), uint8(rand.IntN(256)), 0}),
		addresses: make(map[string]netip.Addr),
		processes: make(map[string]*Process),
	}
	err = errors.Join(
		c.startProcess(nameStore, "arbutus-lab", "serve", "store", "-listen", c.hostPort(nameStore, portControl)),
		c.startProcess(nameFabric, "arbutus-lab", append([]string{
			"serve", "fabric",
			"-entry", c.hostPort(nameFabric, portFabric),
			"-return", c.hostPort(nameFabric, portReturn),
			"-listen", c.hostPort(nameFabric, portControl),
		}, fabricArgs...)...),
		c.writeSettings("ctl", settings.Operator{
			StoreURL:  c.StoreURL(),
			Balancers: []netip.AddrPort{c.Address("balancer-1", portControl)},
			Secret:    sharedSecret,
		}),
	)
	if err == nil {
		err = c.awaitOK("http://"+c.hostPort(nameStore, portControl)+"/calls", 5*time.Second)
	}
	if err == nil {
		err = c.awaitOK("http://"+c.hostPort(nameFabric, portControl)+"/ready", 5*time.Second)
	}
	if err != nil {
		return nil, errors.Join(err, c.Close())
	}
	return c, nil
}

// SetPassThrough has later processes start in pass-through mode, in which backend servers terminate the callers' TCP.
func (c *Cluster) SetPassThrough() { c.passThrough = true }

// Close kills all processes, and removes their files unless KeepFiles was called.
func (c *Cluster) Close() error {
	c.mu.Lock()
	processes := c.processes
	c.processes = make(map[string]*Process)
	c.mu.Unlock()
	for _, p := range processes {
		_ = p.Kill()
	}
	if c.keepFiles {
		return nil
	}
	return os.RemoveAll(c.dir)
}

// StoreURL returns the store's base URL.
func (c *Cluster) StoreURL() string { return "http://" + c.hostPort(nameStore, portControl) }

// Address returns the port on the named process's IP address, which the first call with the name assigns.
func (c *Cluster) Address(name string, port uint16) netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, ok := c.addresses[name]
	if !ok {
		c.lastIndex++
		b := c.network.As4()
		b[2] += uint8(c.lastIndex / 250)
		b[3] = uint8(1 + c.lastIndex%250)
		a = netip.AddrFrom4(b)
		c.addresses[name] = a
	}
	return netip.AddrPortFrom(a, port)
}

// FabricEntry returns the fabric's UDP address for callers' packets.
func (c *Cluster) FabricEntry() netip.AddrPort { return c.Address(nameFabric, portFabric) }

// BackendAddress returns the HTTP address of the named backend server.
func (c *Cluster) BackendAddress(name string) netip.AddrPort { return c.Address(name, portBackend) }

// ControlAddress returns the HTTP address of the named agent's or balancer's control API.
func (c *Cluster) ControlAddress(name string) netip.AddrPort { return c.Address(name, portControl) }

// StartBalancer starts a balancer in the failure domain. It gets no packets before SetBalancers lists it.
func (c *Cluster) StartBalancer(name, domain string) error {
	s := settings.Balancer{
		Identity:      c.identity(name, domain),
		FabricAddress: c.Address(name, portFabric),
		StoreURL:      c.StoreURL(),
		Placement:     c.passThrough,
	}
	if c.links.Store != nil {
		s.StoreURL = "http://" + c.links.Store(name).String()
	}
	if c.passThrough {
		s.FabricReturn = c.Address(nameFabric, portReturn)
	}
	c.mu.Lock()
	c.balancers = append(c.balancers, name)
	c.mu.Unlock()
	if err := c.writeSettings(name, s); err != nil {
		return err
	}
	return c.startProcess(name, "arbutus-balancer", "serve", "-settings", c.settingsFile(name))
}

// StartServer starts a backend server, with backendArgs as further flags, and its agent.
func (c *Cluster) StartServer(s Server, backendArgs ...string) error {
	return errors.Join(c.StartBackend(s, backendArgs...), c.StartAgent(s))
}

// StartBackend starts a backend server without its agent, with args as further flags.
func (c *Cluster) StartBackend(s Server, args ...string) error {
	args = append([]string{"serve", "backend", "-name", s.Name, "-listen", c.hostPort(s.Name, portBackend)}, args...)
	if c.passThrough {
		args = append(args, "-outbound", c.hostPort(s.Name, portOutbound), "-agent", c.hostPort(s.Name, portControl))
	}
	return c.startProcess(s.Name+"-backend", "arbutus-lab", args...)
}

// StartAgent starts the agent of a backend server.
func (c *Cluster) StartAgent(s Server) error {
	agent := settings.Agent{
		Identity:       c.identity(s.Name, s.Domain),
		Service:        s.Service,
		BackendAddress: c.Address(s.Name, portBackend),
		FabricReturn:   c.Address(nameFabric, portReturn),
		FabricEntry:    c.FabricEntry(),
	}
	if c.passThrough {
		agent.Mode, agent.OutboundAddress = settings.ModePassThrough, c.Address(s.Name, portOutbound)
	}
	if err := c.writeSettings(s.Name, agent); err != nil {
		return err
	}
	return c.startProcess(s.Name, "arbutus-agent", "serve", "-settings", c.settingsFile(s.Name))
}

// SetBalancers replaces the list of balancers over which the fabric sprays packets.
func (c *Cluster) SetBalancers(ctx context.Context, names ...string) error {
	balancers := make([]fabric.Balancer, 0, len(names))
	for _, name := range names {
		b := fabric.Balancer{Packets: c.PacketAddress(name), Control: c.hostPort(name, portControl)}
		if c.links.Packets != nil {
			b.Packets = c.links.Packets(name)
		}
		balancers = append(balancers, b)
	}
	return c.Post(ctx, "http://"+c.hostPort(nameFabric, portControl)+"/balancers", balancers)
}

// Process returns the named process, or nil if none was started.
func (c *Cluster) Process(name string) *Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[name]
}

// Stop ends the named process with SIGTERM and returns its exit error. It kills a process that has not exited after
// the timeout, which is an error, as is a name under which none was started.
func (c *Cluster) Stop(name string, timeout time.Duration) error {
	p := c.Process(name)
	if p == nil {
		return fmt.Errorf("no process %q was started", name)
	}
	return p.Stop(timeout)
}

// Ctl runs arbutusctl with the arguments and returns its output, which an error contains as well.
func (c *Cluster) Ctl(ctx context.Context, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, filepath.Join(c.bin, "arbutusctl"), args...)
	cmd.Env = append(os.Environ(), "ARBUTUSCTL_SETTINGS="+c.settingsFile("ctl"))
	out, err := cmd.CombinedOutput()
	if err != nil {
		return string(out), fmt.Errorf("arbutusctl %s: %w: %s", strings.Join(args, " "), err, bytes.TrimSpace(out))
	}
	return string(out), nil
}

// AwaitReady waits until the named agents and balancers are ready, for each one at most the timeout.
func (c *Cluster) AwaitReady(timeout time.Duration, names ...string) error {
	for _, name := range names {
		if err := c.awaitOK("http://"+c.hostPort(name, portControl)+"/readyz", timeout); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// NewHost returns a caller's host that has the address and sends its packets to the
// fabric. The name selects the loopback address of its socket.
func (c *Cluster) NewHost(name string, address netip.Addr) (*caller.Host, error) {
	s, err := datagram.Listen(c.Address(name, portReturn))
	if err != nil {
		return nil, err
	}
	return caller.NewHost(s, c.FabricEntry(), address)
}

// StartHosts starts n callers' hosts. The returned function stops them and returns their errors.
func (c *Cluster) StartHosts(ctx context.Context, n int) ([]*caller.Host, func() error, error) {
	ctx, cancel := context.WithCancel(ctx)
	var hosts []*caller.Host
	var ends []<-chan error
	for i := range n {
		h, err := c.NewHost(fmt.Sprintf("caller-%d", i+1), netip.AddrFrom4([4]byte{192, 0, 2, uint8(i + 1)}))
		if err != nil {
			cancel()
			return nil, nil, err
		}
		hosts = append(hosts, h)
		ends = append(ends, h.Run(ctx))
	}
	group := tasks.Gather(ends...)
	return hosts, func() error {
		cancel()
		return group.Wait()
	}, nil
}

// Post sends v as JSON to the URL. A status other than 200 is an error.
func (c *Cluster) Post(ctx context.Context, url string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(b))
	if err != nil {
		return err
	}
	return do(r)
}

// awaitOK polls the URL until it responds with status 200. After the timeout it returns the last error.
func (c *Cluster) awaitOK(url string, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for {
		r, err := http.NewRequest(http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		err = do(r)
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(pollInterval)
	}
}

// do sends the request. A status other than 200 is an error that contains the body.
func do(r *http.Request) error {
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	b, err := io.ReadAll(resp.Body)
	if err := errors.Join(err, resp.Body.Close()); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s: %s", r.URL, resp.Status, bytes.TrimSpace(b))
	}
	return nil
}

func (c *Cluster) identity(name, domain string) settings.Identity {
	return settings.Identity{
		Name:           name,
		Domain:         domain,
		Secret:         sharedSecret,
		PacketAddress:  c.Address(name, portPacket),
		ControlAddress: c.Address(name, portControl),
		Seeds: []netip.AddrPort{
			c.Address("balancer-1", portPacket),
			c.Address("balancer-2", portPacket),
			c.Address("balancer-3", portPacket),
		},
	}
}

// hostPort returns Address as text.
func (c *Cluster) hostPort(name string, port uint16) string { return c.Address(name, port).String() }

func (c *Cluster) settingsFile(name string) string { return filepath.Join(c.dir, name+".json") }

func (c *Cluster) writeSettings(name string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return os.WriteFile(c.settingsFile(name), b, 0o600)
}

// startProcess starts the program as the named process, in place of an earlier one of that name.
func (c *Cluster) startProcess(name, program string, args ...string) error {
	p, err := start(name, filepath.Join(c.bin, program), c.dir, args...)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.processes[name] = p
	c.mu.Unlock()
	return nil
}
