package main

import (
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

type (
	// ports are the same on all machines, as on the platform.
	ports struct{ datagram, readiness, control, outbound, app, internal, store uint16 }

	// machine is one machine with a process of the system.
	machine struct {
		fleet   *fleet
		name    string
		class   string
		zone    string
		service string
		addr    netip.Addr
		backend *backend
		// dark keeps the sockets of a lost machine open.
		dark []io.Closer

		mu          sync.Mutex
		cmd         *exec.Cmd
		ended       chan struct{}
		disruptedAt time.Time
		misses      int
		ready       bool
	}

	// fleet is a small deployment on loopback addresses.
	fleet struct {
		repo, tmp string
		prefix    string
		ports     ports
		zones     []string
		mu        sync.Mutex
		machines  []*machine
		store     *store
		rec       *record
		stopped   chan struct{}
		wg        sync.WaitGroup
	}
)

// newFleet chooses a free loopback network and free ports.
func newFleet(repo, tmp string, rec *record) (*fleet, error) {
	f := &fleet{repo: repo, tmp: tmp, zones: []string{"zone-a", "zone-b", "zone-c"}, rec: rec, stopped: make(chan struct{})}
	for range 50 {
		f.prefix = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		base := uint16(22000 + 40*rand.IntN(240))
		f.ports = ports{
			datagram: base, readiness: base + 1, control: base + 2, outbound: base + 3, app: base + 4, store: base + 5, internal: base + 8,
		}
		l, err := net.Listen("tcp4", netip.AddrPortFrom(f.addr(250), f.ports.store).String())
		if err != nil {
			continue
		}
		probe, err := net.Listen("tcp4", fmt.Sprintf("%s.1:9464", f.prefix))
		if err != nil {
			_ = l.Close()
			continue
		}
		_ = probe.Close()
		f.store = newStore()
		f.store.serve(l)
		return f, nil
	}
	return nil, fmt.Errorf("no free loopback network")
}

func (f *fleet) addr(n int) netip.Addr { return netip.MustParseAddr(fmt.Sprintf("%s.%d", f.prefix, n)) }

// routeAddr is the address of a route.
func (f *fleet) routeAddr(n int) netip.AddrPort { return netip.AddrPortFrom(f.addr(200+n), 443) }

func (f *fleet) add(name, class, zone, service string, n int) *machine {
	m := &machine{fleet: f, name: name, class: class, zone: zone, service: service, addr: f.addr(n)}
	f.mu.Lock()
	defer f.mu.Unlock()
	// Readers may hold the former slice.
	f.machines = append(slices.Clone(f.machines), m)
	return m
}

func (f *fleet) all() []*machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machines
}

func (m *machine) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(m.addr, port) }
func (m *machine) app() netip.AddrPort           { return m.at(m.fleet.ports.app) }
func (m *machine) control() netip.AddrPort       { return m.at(m.fleet.ports.control) }
func (m *machine) outbound() netip.AddrPort      { return m.at(m.fleet.ports.outbound) }
func (m *machine) datagram() netip.AddrPort      { return m.at(m.fleet.ports.datagram) }

// settings returns the settings file of the machine's process, with the fields of DEPLOY.md.
func (m *machine) settings() []byte {
	f := m.fleet
	zones := make(map[string]string)
	for _, z := range f.zones {
		zones[z] = "region-1"
	}
	var seeds []string
	for _, o := range f.machines {
		if o.class == "front" && len(seeds) < 3 {
			seeds = append(seeds, o.control().String())
		}
	}
	listen := map[string]string{
		"datagram-address": m.datagram().String(), "readiness-address": m.at(f.ports.readiness).String(), "control": m.control().String(),
	}
	serves := []string{"front", "control"}
	if m.class == "side" {
		listen["outbound"] = m.outbound().String()
		serves = []string{"side"}
	}
	s := map[string]any{
		"node-name": m.name, "role": map[string]string{"front": "balancer", "side": "agent"}[m.class], "machine-class": m.class,
		"serves": serves, "ip-address": m.addr.String(), "zone": m.zone, "region": "region-1", "zones": zones, "listen": listen,
		"internal-ports": []int{int(f.ports.internal), int(f.ports.internal) + 15}, "seeds": seeds, "bootstrap": true,
		"limits": map[string]any{
			"cpu-share": 0.4, "cores": 1, "memory-mb": 284, "max-file-descriptors": 4100, "link-mbps": 1000.0, "disk-mb": 0,
		},
		"discovery": "local", "entry": "announce", "heartbeat-interval-ms": 1200,
		"bounds": map[string]any{
			"seed-lag-s": 3, "reuse-after-s": 2, "stability-window-ms": 4000, "ack-timeout-ms": 5000, "catch-up-s": 4,
			"drain-timeout-ms": 3000, "grace-period-s": 6, "loss-slack-ms": 200, "config-propagation-ms": 3000,
			"regression-bound-ms": 250, "outer-bound-ms": 12000, "cold-multiplier": 1.5, "cold-slack": 5,
			"evacuation-deadline-ms": 5000, "recovery-s": 12, "reorder-window-ms": 2000, "flow-lifetime-s": 60,
		},
		"hash-function": "mod", "forwarding-mode": "agent",
		"platform": map[string]any{
			"address": netip.AddrPortFrom(f.addr(250), f.ports.store).String(), "forwarding-mode": "kv", "writes-per-s": 400,
			"reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "min-ttl-ms": 1000,
		},
	}
	if m.class == "side" {
		s["app"], s["service"] = m.app().String(), m.service
	}
	// JSON is YAML.
	b, _ := json.MarshalIndent(s, "", "  ")
	return b
}

// startProcess starts the machine's process with the command of the deploy file.
func (m *machine) startProcess() error {
	file := filepath.Join(m.fleet.tmp, m.name+".yaml")
	if err := os.WriteFile(file, m.settings(), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(m.fleet.tmp, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	role := map[string]string{"front": "balancer", "side": "agent"}[m.class]
	cmd := exec.Command("target/platform", role)
	cmd.Dir, cmd.Stdout, cmd.Stderr = m.fleet.repo, out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "ARBUTUSFRONT_SETTINGS=" + file}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.mu.Lock()
	ended := make(chan struct{})
	m.cmd, m.ended = cmd, ended
	m.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(ended)
		_ = out.Close()
	}()
	return nil
}

// lose ends the machine's process without notice, and leaves its address dark: connections to it get no
// answer.
func (m *machine) lose() error {
	m.signal(syscall.SIGKILL)
	m.wait()
	for _, port := range []uint16{m.fleet.ports.internal, m.fleet.ports.readiness} {
		// The listener's queue takes connections, which nobody answers.
		l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(m.at(port)))
		if err != nil {
			return err
		}
		m.dark = append(m.dark, l)
	}
	for _, port := range []uint16{m.fleet.ports.internal, m.fleet.ports.datagram} {
		c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(m.at(port)))
		if err != nil {
			return err
		}
		m.dark = append(m.dark, c)
	}
	return nil
}

// wait waits until the machine's process has ended.
func (m *machine) wait() {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	<-ended
}

// signal sends a signal to the machine's process, and records it as a disruption.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	m.disruptedAt = time.Now()
	cmd := m.cmd
	m.mu.Unlock()
	m.fleet.rec.log("%s: %s to its process", m.name, s)
	_ = cmd.Process.Signal(s)
}

// calm reports whether the machine was not disrupted within the stability window before the time.
func (m *machine) calm(at time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return at.Sub(m.disruptedAt) > stabilityWindow
}

// stop ends all processes.
func (f *fleet) stop() {
	close(f.stopped)
	for _, m := range f.machines {
		m.mu.Lock()
		cmd := m.cmd
		m.mu.Unlock()
		if m.backend != nil {
			m.backend.crash()
		}
		if cmd != nil {
			_ = cmd.Process.Signal(syscall.SIGCONT)
			_ = cmd.Process.Kill()
		}
	}
	f.wg.Wait()
	_ = f.store.server.Close()
}

// probeReadiness begins to probe all balancers.
func (f *fleet) probeReadiness() {
	for _, m := range f.machines {
		if m.class == "front" {
			f.probe(m)
		}
	}
}

// probe asks a balancer twice a second whether it is ready. After two misses it is out of rotation.
func (f *fleet) probe(m *machine) {
	client := &http.Client{Timeout: 400 * time.Millisecond}
	f.wg.Go(func() {
		for {
			select {
			case <-f.stopped:
				return
			case <-time.After(500 * time.Millisecond):
			}
			response, err := client.Get(fmt.Sprintf("http://%s/api/readiness", m.at(f.ports.readiness)))
			ok := err == nil && response.StatusCode == http.StatusOK
			if err == nil {
				_ = response.Body.Close()
			}
			m.mu.Lock()
			if ok {
				m.misses, m.ready = 0, true
			} else if m.misses++; m.misses >= 2 {
				m.ready = false
			}
			m.mu.Unlock()
		}
	})
}

// route returns the balancer that the platform's routers forward the client's packet to.
func (f *fleet) route(zone string, p packet) (netip.AddrPort, bool) {
	var all, inRotation []*machine
	for _, m := range f.all() {
		if m.class != "front" || m.zone != zone {
			continue
		}
		all = append(all, m)
		m.mu.Lock()
		if m.ready {
			inRotation = append(inRotation, m)
		}
		m.mu.Unlock()
	}
	if 2*len(inRotation) < len(all) {
		inRotation = all
	}
	if len(inRotation) == 0 {
		return netip.AddrPort{}, false
	}
	h := crc32.ChecksumIEEE([]byte(p.src.String() + p.dst.String()))
	return inRotation[h%uint32(len(inRotation))].datagram(), true
}

// configure writes the operator's configuration: one route for each service that is named, in this
// order. A service may have several routes.
func (f *fleet) configure(version int, services ...string) {
	var routes, list []map[string]any
	for i, s := range services {
		known := slices.Contains(services[:i], s)
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r%d-%s", i, s), "host": f.routeAddr(i).Addr().String(), "prefix": "/443/", "kind": "unsafe", "timeout-ms": 1500,
			"target-latency-ms": 200, "priority": 1, "service": s, "attempts": 2,
		})
		if known {
			continue
		}
		list = append(list, map[string]any{
			"name": s, "health-path": "/health", "max-connections": 2000, "protocol": "h1", "tls": false, "cold-start-s": 2.0, "cold-per-s": 0.0,
		})
	}
	b, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"header-bytes": 16384, "body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	f.store.put("op/config", b)
	f.rec.log("operator: version %d acknowledged", version)
}

// build creates the machines of a small deployment: the given number of balancers in each zone, and
// backends with their agents.
func (f *fleet) build(fronts []int, services map[string][]int) {
	n := 1
	for i, z := range f.zones {
		for k := range fronts[i] {
			f.add(fmt.Sprintf("front-%s-%d", z, k+1), "front", z, "", n)
			n++
		}
	}
	for s, perZone := range services {
		for i, z := range f.zones {
			for k := range perZone[i] {
				m := f.add(fmt.Sprintf("side-%s-%s-%d", z, s, k+1), "side", z, s, n)
				n++
				m.backend = &backend{m: m, rec: f.rec, work: func() time.Duration { return 15*time.Millisecond + rand.N(20*time.Millisecond) }}
			}
		}
	}
}

// startAll starts all backends and processes.
func (f *fleet) startAll() error {
	for _, m := range f.machines {
		if m.backend != nil {
			if err := m.backend.start("i-" + m.name + "-1"); err != nil {
				return err
			}
		}
		if err := m.startProcess(); err != nil {
			return err
		}
	}
	f.probeReadiness()
	return nil
}

func (f *fleet) named(part string) *machine {
	for _, m := range f.machines {
		if strings.Contains(m.name, part) {
			return m
		}
	}
	return nil
}

// touch records that the machine's process was started or stopped now.
func (m *machine) touch(what string) {
	m.mu.Lock()
	m.disruptedAt = time.Now()
	m.mu.Unlock()
	m.fleet.rec.log("%s: %s", m.name, what)
}
