package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

const (
	// Limits of the pages.
	propagation     = 3 * time.Second
	stabilityWindow = 4 * time.Second

	// idleRoutes is the number of idle routes of a small deployment (110) with those of a
	// big_config (350).
	idleRoutes = 460
	// stormGap and stormTime are those of two config_storm in a row, of 1.5 s each.
	stormGap  = 60 * time.Millisecond
	stormTime = 3 * time.Second

	baseRoute = "198.18.0.1:8443"
	// newPort is the port of the route that the i-th version of the storm adds, less i.
	newPort = 9000
	// settleTime is how long the deployment runs undisturbed before the storm.
	settleTime = 6 * time.Second
	// probeTime is how long after the storm the routes are probed.
	probeTime = 24 * time.Second
)

// document returns the operator's configuration with the base route, the idle ones and the given
// number of those that the storm has added.
func document(version, added int) []byte {
	route := func(name, host string, port int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": fmt.Sprintf("/%d/", port), "kind": "safe", "timeout-ms": 1200,
			"target-latency-ms": 150, "priority": 2, "service": serviceName, "attempts": 2,
		}
	}
	routes := []any{route("r-base", "198.18.0.1", 8443)}
	for i := range added {
		routes = append(routes, route(fmt.Sprintf("r-new%04d", i), "198.18.0.1", newPort+i))
	}
	for i := range idleRoutes {
		routes = append(routes, route(fmt.Sprintf("r-idle%03d", i), fmt.Sprintf("198.18.%d.%d", 1+i/250, 1+i%250), 80))
	}
	b, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{
			"name": serviceName, "health-path": "/health", "max-connections": 2000, "protocol": "h1", "tls": false,
			"cold-start-s": 2.0, "cold-per-s": 0.0,
		}},
		"limits": map[string]any{
			"header-bytes": 16384, "body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
		},
	})
	return b
}

// client opens flows through single balancers.
type client struct {
	conn    net.PacketConn
	address netip.Addr

	mu      sync.Mutex
	answers map[uint16]chan packet
	port    uint16
}

func newClient(address string, port int) (*client, error) {
	conn, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", address, port))
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, address: netip.MustParseAddr(address), answers: make(map[uint16]chan packet), port: 1024}
	go func() {
		b := make([]byte, 2048)
		for {
			n, _, err := conn.ReadFrom(b)
			if err != nil {
				return
			}
			p, ok := parsePacket(b[:n])
			c.mu.Lock()
			answer := c.answers[p.dst.Port()]
			c.mu.Unlock()
			if ok && answer != nil {
				select {
				case answer <- p:
				default:
				}
			}
		}
	}()
	return c, nil
}

// open tries to open a flow to the route through the balancer at the address: a SYN, and copies of it
// after 200 and 600 ms. It returns "opened", "reset" or "no answer". An opened flow is closed by a reset.
func (c *client) open(front, route string) string {
	answer := make(chan packet, 4)
	c.mu.Lock()
	c.port++
	port := c.port
	c.answers[port] = answer
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.answers, port)
		c.mu.Unlock()
	}()
	to := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(front))
	syn := packet{seq: rand.Uint32(), dst: netip.MustParseAddrPort(route), src: netip.AddrPortFrom(c.address, port), flags: flagSYN}
	for _, pause := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		_, _ = c.conn.WriteTo(syn.bytes(), to)
		syn.ack++
		select {
		case p := <-answer:
			if p.flags&flagRST != 0 {
				return "reset"
			}
			end := packet{seq: syn.seq + 1, ack: p.seq + 1, dst: syn.dst, src: syn.src, flags: flagACK}
			_, _ = c.conn.WriteTo(end.bytes(), to)
			end.flags = flagACK | flagRST
			_, _ = c.conn.WriteTo(end.bytes(), to)
			return "opened"
		case <-time.After(pause):
		}
	}
	return "no answer"
}

// configStorm writes configurations in quick succession, right after all open connections to the
// store have gone silent. Rule CONFIG: a request sent more than 3 s after the acknowledgment of a
// version is not refused although that version has its route.
func configStorm(program string, rec *recorder, trouble bool) int {
	dir, err := os.MkdirTemp("", "standin-2-")
	if err != nil {
		rec.printf("%v", err)
		return 2
	}
	defer os.RemoveAll(dir)
	f := &fleet{dir: dir, program: program}
	for i, zone := range zones {
		f.machines = append(f.machines, &machine{
			name: fmt.Sprintf("front-%s-%d", zone, i), zone: zone, class: "front", address: fmt.Sprintf("127.0.0.%d", 11+i),
		})
	}
	for i, zone := range zones {
		f.machines = append(f.machines, &machine{
			name: fmt.Sprintf("side-%s-%d", zone, i), zone: zone, class: "side", address: fmt.Sprintf("127.0.0.%d", 31+i),
		})
	}
	const clientAddress, storeAddress, proxyAddress = "127.0.0.21", "127.0.0.9", "127.0.0.8"
	addresses := []string{clientAddress}
	for _, m := range f.machines {
		addresses = append(addresses, m.address)
	}
	taken := make(map[int]bool)
	for _, p := range []*int{
		&f.ports.packets, &f.ports.readiness, &f.ports.control, &f.ports.outbound, &f.ports.app, &f.ports.internal,
	} {
		if *p = freePort(addresses, taken); *p == 0 {
			rec.printf("no free port")
			return 2
		}
	}
	s := newStore()
	s.onWatch = func(events, bytes int) {
		if bytes > 1<<20 {
			rec.printf("store: a watch is answered with %d events, %d bytes", events, bytes)
		}
	}
	storeListener, err := net.Listen("tcp", storeAddress+":0")
	if err != nil {
		rec.printf("%v", err)
		return 2
	}
	proxyListener, err := net.Listen("tcp", proxyAddress+":0")
	if err != nil {
		rec.printf("%v", err)
		return 2
	}
	go serveHTTP(storeListener, s.handler())
	p := newProxy(proxyListener, storeListener.Addr().String())
	f.store = proxyListener.Addr().String()
	for _, m := range f.fronts()[:3] {
		f.seeds = append(f.seeds, f.at(m, f.ports.control))
	}
	version := 7
	s.put("op/config", document(version, 0))
	rec.printf("operator: version %d, %d bytes", version, len(document(version, 0)))
	c, err := newClient(clientAddress, f.ports.packets)
	if err != nil {
		rec.printf("%v", err)
		return 2
	}
	for _, m := range f.machines {
		if m.class == "side" {
			if err := f.serveBackend(m); err != nil {
				rec.printf("%v", err)
				return 2
			}
		}
	}
	defer f.stop()
	if err := f.start(); err != nil {
		rec.printf("%v", err)
		return 2
	}
	if !waitReady(f, c, rec) {
		return 2
	}
	time.Sleep(settleTime)

	// The storm's first change makes all watches start again.
	var acknowledged []time.Time
	change := func() {
		version++
		s.put("op/config", document(version, len(acknowledged)+1))
		acknowledged = append(acknowledged, time.Now())
	}
	change()
	rec.printf("operator: version %d adds the route 198.18.0.1:%d; config_storm begins", version, newPort)
	time.Sleep(stormGap)
	silentAt := time.Now()
	if trouble {
		rec.printf("disruption: %d open connections to the store go silent", p.silence())
	}
	for time.Since(silentAt) < stormTime {
		change()
		time.Sleep(stormGap)
	}
	rec.printf("operator: config_storm ends with version %d, %d changes", version, len(acknowledged))

	last := len(acknowledged) - 1
	route := fmt.Sprintf("198.18.0.1:%d", newPort+last)
	judgedFrom := acknowledged[last].Add(propagation)
	if t := silentAt.Add(stabilityWindow); t.After(judgedFrom) {
		judgedFrom = t
	}
	broken := 0
	for end := time.Now().Add(probeTime); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, m := range f.fronts() {
			sent := time.Now()
			result, base := c.open(f.at(m, f.ports.packets), route), ""
			late := sent.After(judgedFrom)
			if result != "opened" {
				base = c.open(f.at(m, f.ports.packets), baseRoute)
			}
			verdict := "kept"
			switch {
			case !late:
				verdict = "not judged yet"
			case result == "reset" && base == "opened":
				verdict = "CONFIG broken"
				broken++
			}
			rec.printf("client: %s through %s, sent %.1f s after its version's acknowledgment: %s; base route: %s; %s",
				route, m.name, sent.Sub(acknowledged[last]).Seconds(), result, base, verdict)
		}
	}
	rec.printf("requests that were refused although their route was there: %d", broken)
	if broken > 0 {
		return 1
	}
	return 0
}

// waitReady waits until all balancers are ready and open flows.
func waitReady(f *fleet, c *client, rec *recorder) bool {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range f.fronts() {
			if f.isReady(m) && c.open(f.at(m, f.ports.packets), baseRoute) == "opened" {
				ready++
			}
		}
		if ready == len(f.fronts()) {
			rec.printf("all %d balancers are ready and open flows", ready)
			return true
		}
	}
	rec.printf("the balancers don't open flows")
	return false
}
