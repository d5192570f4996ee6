package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

const serviceName = "contract-desk"

var zones = []string{"arcadia-a", "messinia-b", "laconia-c"}

type (
	// ports are the same on all machines.
	ports struct{ packets, readiness, control, outbound, app, internal int }

	machine struct {
		name, zone, address, class string
		process                    *exec.Cmd
		log                        *os.File
	}

	// fleet are the processes of the deployment, each of which has a loopback address of its own.
	fleet struct {
		dir, program, store string
		ports               ports
		machines            []*machine
		seeds               []string
		// onOpened is called when the end of a flow's handshake reaches a backend server.
		onOpened func(caller netip.AddrPort, server string)
	}
)

// freePort returns a TCP and UDP port that is free now on all of the addresses.
func freePort(addresses []string, taken map[int]bool) int {
	for port := 21000 + os.Getpid()%7000; port < 32000; port++ {
		if taken[port] {
			continue
		}
		free := true
		for _, a := range addresses {
			t, err := net.Listen("tcp", fmt.Sprintf("%s:%d", a, port))
			if err != nil {
				free = false
				break
			}
			_ = t.Close()
			u, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", a, port))
			if err != nil {
				free = false
				break
			}
			_ = u.Close()
		}
		if free {
			taken[port] = true
			return port
		}
	}
	return 0
}

func (f *fleet) at(m *machine, port int) string { return fmt.Sprintf("%s:%d", m.address, port) }

func (f *fleet) settings(m *machine) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "node-name: %q\nrole: %q\nmachine-class: %q\nip-address: %q\nzone: %q\nregion: \"peloponnese\"\nzones:\n",
		m.name, map[string]string{"front": "balancer", "side": "agent"}[m.class], m.class, m.address, m.zone)
	for _, z := range zones {
		fmt.Fprintf(&b, "  %s: \"peloponnese\"\n", z)
	}
	fmt.Fprintf(&b, "listen:\n  datagram-address: %q\n  readiness-address: %q\n  control: %q\n",
		f.at(m, f.ports.packets), f.at(m, f.ports.readiness), f.at(m, f.ports.control))
	if m.class == "side" {
		fmt.Fprintf(&b, "  outbound: %q\n", f.at(m, f.ports.outbound))
	}
	fmt.Fprintf(&b, "internal-ports:\n  - %d\n  - %d\nseeds:\n", f.ports.internal, f.ports.internal)
	for _, s := range f.seeds {
		fmt.Fprintf(&b, "  - %q\n", s)
	}
	b.WriteString("bootstrap: true\nlimits:\n  cpu-share: 0.4\n  cores: 1\n  memory-mb: 284\n  max-file-descriptors: 4100\n" +
		"  link-mbps: 1000.0\nheartbeat-interval-ms: 1200\nbounds:\n  stability-window-ms: 4000\n  grace-period-s: 6\n" +
		"  config-propagation-ms: 3000\n  regression-bound-ms: 250\nhash-function: \"mod\"\nforwarding-mode: \"agent\"\n")
	fmt.Fprintf(&b, "platform:\n  address: %q\n  writes-per-s: 400\n  reads-per-s: 2000\n  history-s: 20\n  value-bytes: 1048576\n", f.store)
	if m.class == "side" {
		fmt.Fprintf(&b, "app: %q\nservice: %q\n", f.at(m, f.ports.app), serviceName)
	}
	return b.String()
}

func (f *fleet) start() error {
	for _, m := range f.machines {
		file := filepath.Join(f.dir, m.name+".yaml")
		if err := os.WriteFile(file, []byte(f.settings(m)), 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(f.dir, m.name+".log"))
		if err != nil {
			return err
		}
		m.log = log
		m.process = exec.Command(f.program, map[string]string{"front": "balancer", "side": "agent"}[m.class])
		m.process.Env = []string{"ARBUTUSFRONT_SETTINGS=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + f.dir}
		m.process.Stdout, m.process.Stderr = log, log
		if err := m.process.Start(); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) stop() {
	var ended sync.WaitGroup
	for _, m := range f.machines {
		if m.process == nil || m.process.Process == nil {
			continue
		}
		_ = m.process.Process.Kill()
		ended.Go(func() { _ = m.process.Wait() })
	}
	ended.Wait()
}

// fronts returns the balancers' machines.
func (f *fleet) fronts() []*machine {
	var out []*machine
	for _, m := range f.machines {
		if m.class == "front" {
			out = append(out, m)
		}
	}
	return out
}

func (f *fleet) isReady(m *machine) bool {
	c := http.Client{Timeout: 300 * time.Millisecond}
	r, err := c.Get("http://" + f.at(m, f.ports.readiness) + "/api/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// serveBackend is the backend server beside an agent: it announces itself, answers health checks
// and opens flows.
func (f *fleet) serveBackend(m *machine) error {
	l, err := net.Listen("tcp", f.at(m, f.ports.app))
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})) }()
	u, err := net.ListenPacket("udp", f.at(m, f.ports.app))
	if err != nil {
		return err
	}
	outbound := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(f.at(m, f.ports.outbound)))
	go func() {
		b := make([]byte, 2048)
		// opening has the acknowledgments that end the handshakes.
		opening := make(map[netip.AddrPort]uint32)
		for {
			n, _, err := u.ReadFrom(b)
			if err != nil {
				return
			}
			p, ok := parsePacket(b[:n])
			switch {
			case ok && p.flags == flagACK && opening[p.src] == p.ack:
				f.onOpened(p.src, m.name)
			case ok && p.flags == flagSYN:
				opening[p.src] = (p.seq ^ 0x5bd1e995) + 1
				answer := packet{seq: p.seq ^ 0x5bd1e995, ack: p.seq + 1, dst: p.src, src: p.dst, flags: flagSYN | flagACK}
				_, _ = u.WriteTo(answer.bytes(), outbound)
			}
		}
	}()
	go func() {
		born := time.Now().UnixMilli()
		c := http.Client{Timeout: time.Second}
		for sequence := 1; ; sequence++ {
			body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":4,"state":"ready",`+
				`"cold-remaining-ms":0,"sequence":%d,"born":%d}`, serviceName, f.at(m, f.ports.app), m.zone, sequence, born)
			r, _ := http.NewRequest(http.MethodPut, "http://"+f.at(m, f.ports.control)+"/api/instances/i-"+m.name,
				bytes.NewReader([]byte(body)))
			r.Header.Set("Content-Type", "application/json")
			pause := 200 * time.Millisecond
			if answer, err := c.Do(r); err == nil {
				_ = answer.Body.Close()
				pause = 1200 * time.Millisecond
			}
			time.Sleep(pause)
		}
	}()
	return nil
}
