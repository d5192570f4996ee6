package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of the deployment, as offsets from its first port. The same are used on all machines.
const (
	portPackets = iota
	portReadiness
	portControl
	portOutbound
	portApp
	portStore
	portInternal
	portCount = portInternal + 16
)

const (
	probeInterval = 500 * time.Millisecond
	// restartDelay is how long the platform waits before it restarts a process that has ended.
	restartDelay = 300 * time.Millisecond
)

var zones = []string{"north", "middle", "south"}

type (
	// machine is a machine of the deployment. A side machine has a service.
	machine struct {
		name    string
		zone    string
		address netip.Addr
		service string
	}

	// lab is a small deployment: the processes under test, and stand-ins for all others.
	lab struct {
		dir     string
		network byte
		first   uint16
		store   *store
		router  *router
		trouble bool
		started time.Time

		mu         sync.Mutex
		out        *os.File
		processes  map[string]*process
		violations int
		runs       map[string]int
	}

	// process is a process of the product. It is restarted when it ends.
	process struct {
		lab     *lab
		machine machine

		mu      sync.Mutex
		cmd     *exec.Cmd
		stopped bool
		ended   chan struct{}
		// ends counts the ends that were not requested.
		ends      int
		requested bool
	}

	// router selects balancers for packets, as the platform's routers do.
	router struct {
		lab *lab

		mu        sync.Mutex
		balancers []machine
		misses    map[string]int
		ready     map[string]bool
	}
)

// newLab returns a deployment without processes, on loopback addresses that no other one uses.
func newLab(record, scenario string) (*lab, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	l := &lab{
		dir: dir, store: newStore(), trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), out: out,
		processes: make(map[string]*process), runs: make(map[string]int),
	}
	l.router = &router{lab: l, misses: make(map[string]int), ready: make(map[string]bool)}
	for range 50 {
		l.network, l.first = byte(20+rand.N(200)), uint16(20000+rand.N(8000))
		if listener, err := net.Listen("tcp4", l.storeAddress()); err == nil {
			go func() { _ = http.Serve(listener, l.store.Handler()) }()
			go l.store.expire()
			go l.router.probe()
			l.record("scenario %s, trouble %v, store at %s", scenario, l.trouble, l.storeAddress())
			return l, nil
		}
	}
	return nil, errors.New("no free loopback address found")
}

func (l *lab) ip(zone, host int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, l.network, byte(zone), byte(host)})
}

func (l *lab) port(offset int) uint16 { return l.first + uint16(offset) }

func (l *lab) at(m machine, offset int) netip.AddrPort {
	return netip.AddrPortFrom(m.address, l.port(offset))
}

func (l *lab) storeAddress() string {
	return netip.AddrPortFrom(l.ip(200, 1), l.port(portStore)).String()
}

// route returns the n-th address of the platform that clients open flows to.
func (l *lab) route(n int) netip.AddrPort {
	return netip.AddrPortFrom(l.ip(201, 1), uint16(8080+n))
}

// machineIn returns the n-th machine of the zone with the index. It is a front machine if the
// service is empty.
func (l *lab) machineIn(zone, n int, service string) machine {
	m := machine{zone: zones[zone], service: service, address: l.ip(zone+1, n)}
	m.name = fmt.Sprintf("front-%s-%d", m.zone, n)
	if service != "" {
		m.name = fmt.Sprintf("side-%s-%d", m.zone, n)
	}
	return m
}

// record writes a line with the seconds since the start.
func (l *lab) record(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.out, "%9.3f  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

// violation records that a rule was broken.
func (l *lab) violation(rule, format string, args ...any) {
	l.mu.Lock()
	l.violations++
	l.mu.Unlock()
	l.record("BROKEN %s: %s", rule, fmt.Sprintf(format, args...))
}

func (l *lab) broken() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.violations
}

// recordRun records that a backend runs a request.
func (l *lab) recordRun(b *backend, key flowKey, id string) {
	l.mu.Lock()
	l.runs[id]++
	l.mu.Unlock()
	l.record("request %s runs at %s (%s), flow %s -> %s", id, b.id, b.service, key.client, key.route)
}

// hasRun reports whether a backend has run the request.
func (l *lab) hasRun(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id] > 0
}

// settings returns the content of the settings file of the machine's process.
func (l *lab) settings(m machine) []byte {
	regions := make(map[string]string)
	for _, z := range zones {
		regions[z] = "region"
	}
	var seeds []string
	for zone := range zones {
		seeds = append(seeds, l.at(l.machineIn(zone, 1, ""), portControl).String())
	}
	listen := map[string]any{
		"datagram-address":  l.at(m, portPackets).String(),
		"readiness-address": l.at(m, portReadiness).String(),
		"control":           l.at(m, portControl).String(),
	}
	s := map[string]any{
		"node-name": m.name, "ip-address": m.address.String(), "zone": m.zone, "region": "region", "zones": regions,
		"listen": listen, "internal-ports": []int{int(l.port(portInternal)), int(l.port(portInternal)) + 15},
		"seeds": seeds, "bootstrap": true, "counts-toward-tolerance": false,
		"data-directory": nil, "discovery": "local", "entry": "announce",
		"heartbeat-interval-ms": heartbeatInterval.Milliseconds(),
		"contracts":             []string{"base", "drain", "config", "cost", "recover", "flows", "places", "platform"},
		"fault-tolerance":       map[string]int{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed-lag-s": 3, "reuse-after-s": 2, "stability-window-ms": 4000, "ack-timeout-ms": 5000, "catch-up-s": 4,
			"drain-timeout-ms": 3000, "grace-period-s": 6, "loss-slack-ms": 200, "config-propagation-ms": 3000,
			"regression-bound-ms": 250, "outer-bound-ms": 12000, "cold-multiplier": 1.5, "cold-slack": 5,
			"evacuation-deadline-ms": 5000, "recovery-s": 12, "reorder-window-ms": 2000, "flow-lifetime-s": 60,
		},
		"hash-function": "mod", "forwarding-mode": "agent",
		"platform": map[string]any{
			"address": l.storeAddress(), "forwarding-mode": "kv", "writes-per-s": 400, "reads-per-s": 2000,
			"history-s": 20, "value-bytes": 1048576, "min-ttl-ms": 1000,
		},
	}
	limits := map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": 284, "max-file-descriptors": 4100, "link-mbps": 1000.0, "disk-mb": 0}
	if m.service == "" {
		s["role"], s["machine-class"], s["serves"] = "balancer", "front", []string{"front", "control"}
	} else {
		s["role"], s["machine-class"], s["serves"] = "agent", "side", []string{"side"}
		s["app"], s["service"] = l.at(m, portApp).String(), m.service
		listen["outbound"] = l.at(m, portOutbound).String()
		limits["cpu-share"], limits["memory-mb"] = 0.24, 152
	}
	s["limits"] = limits
	b, _ := json.MarshalIndent(s, "", " ")
	return b
}

// Start starts the machine's process with the command of the deploy file.
func (l *lab) Start(m machine) (*process, error) {
	file := filepath.Join(l.dir, m.name+".yaml")
	if err := os.WriteFile(file, l.settings(m), 0o600); err != nil {
		return nil, err
	}
	p := &process{lab: l, machine: m}
	l.mu.Lock()
	l.processes[m.name] = p
	l.mu.Unlock()
	if err := p.launch(); err != nil {
		return nil, err
	}
	if m.service == "" {
		l.router.add(m)
	}
	return p, nil
}

// launch starts the process, and restarts it after it has ended.
func (p *process) launch() error {
	log, err := os.OpenFile(filepath.Join(p.lab.dir, p.machine.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	role := "agent"
	if p.machine.service == "" {
		role = "balancer"
	}
	cmd := exec.Command("target/platform", role)
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"),
		"ARBUTUSFRONT_SETTINGS=" + filepath.Join(p.lab.dir, p.machine.name+".yaml"),
	}
	cmd.Stdout, cmd.Stderr = log, log
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return log.Close()
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.ended, p.requested = cmd, make(chan struct{}), false
	p.lab.record("process of %s starts", p.machine.name)
	go p.wait(cmd, p.ended, log)
	return nil
}

func (p *process) wait(cmd *exec.Cmd, ended chan struct{}, log *os.File) {
	err := cmd.Wait()
	_ = log.Close()
	close(ended)
	p.mu.Lock()
	stopped := p.stopped
	if !stopped && !p.requested {
		p.ends++
	}
	requested := p.requested
	p.mu.Unlock()
	if stopped {
		return
	}
	p.lab.record("process of %s ends (requested: %v): %v", p.machine.name, requested, err)
	time.Sleep(restartDelay)
	if err := p.launch(); err != nil {
		p.lab.record("process of %s can't be started: %v", p.machine.name, err)
	}
}

// Signal sends a signal to the process. After SIGTERM and SIGKILL its end counts as requested.
func (p *process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.requested = true
	}
	p.lab.record("process of %s gets %v", p.machine.name, s)
	_ = p.cmd.Process.Signal(s)
}

// Ends returns how often the process has ended by itself.
func (p *process) Ends() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ends
}

// Stop ends all processes and removes the temporary folder.
func (l *lab) Stop() {
	l.mu.Lock()
	processes := make([]*process, 0, len(l.processes))
	for _, p := range l.processes {
		processes = append(processes, p)
	}
	l.mu.Unlock()
	for _, p := range processes {
		p.mu.Lock()
		p.stopped = true
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		p.mu.Unlock()
	}
	for _, p := range processes {
		<-p.ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Println("logs:", l.dir)
	}
	_ = l.out.Close()
}

func (r *router) add(m machine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancers = append(r.balancers, m)
}

// probe requests the readiness of each balancer twice a second. After two misses a balancer is
// out of rotation until it responds with 200 again.
func (r *router) probe() {
	client := http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for range time.Tick(probeInterval) {
		r.mu.Lock()
		balancers := append([]machine(nil), r.balancers...)
		r.mu.Unlock()
		for _, m := range balancers {
			go func() {
				response, err := client.Get("http://" + r.lab.at(m, portReadiness).String() + "/api/readiness")
				ok := err == nil && response.StatusCode == http.StatusOK
				if err == nil {
					_ = response.Body.Close()
				}
				r.mu.Lock()
				defer r.mu.Unlock()
				r.misses[m.name]++
				if ok {
					r.misses[m.name], r.ready[m.name] = 0, true
				}
				if r.misses[m.name] >= 2 {
					r.ready[m.name] = false
				}
			}()
		}
	}
}

// Ready returns how many balancers are in rotation.
func (r *router) Ready() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, ok := range r.ready {
		if ok {
			n++
		}
	}
	return n
}

// choose returns the address of the balancer for the flow: by hash among those of the zone that
// are in rotation, or among all of the zone if fewer than half are, or among all others.
func (r *router) choose(key flowKey, zone string) (netip.AddrPort, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var near, nearReady, anyReady []machine
	for _, m := range r.balancers {
		if m.zone == zone {
			near = append(near, m)
		}
		if r.ready[m.name] {
			anyReady = append(anyReady, m)
			if m.zone == zone {
				nearReady = append(nearReady, m)
			}
		}
	}
	candidates := nearReady
	switch {
	case len(nearReady) == 0:
		candidates = anyReady
	case 2*len(nearReady) < len(near):
		candidates = near
	}
	if len(candidates) == 0 {
		return netip.AddrPort{}, false
	}
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, key.client, key.route)
	return r.lab.at(candidates[h.Sum32()%uint32(len(candidates))], portPackets), true
}
