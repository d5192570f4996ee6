package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
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
	// onReset is called with each reset that arrives.
	onReset func(packet)
}

func newClient(address string, port int) (*client, error) {
	conn, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", address, port))
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, address: netip.MustParseAddr(address), answers: make(map[uint16]chan packet), port: 1024, onReset: func(packet) {}}
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
			if ok && p.flags&flagRST != 0 {
				c.onReset(p)
			}
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

// open tries to open a flow to the route through the balancer at the address, and returns "opened",
// "reset" or "no answer". An opened flow is closed by a reset of the client.
func (c *client) open(front, route string) string {
	end, result := c.handshake(front, route)
	if result == "opened" {
		end.flags = flagACK | flagRST
		c.send(end, front)
	}
	return result
}

// keepOpen is open for a flow that stays open. It also returns the flow's address and port at the
// client.
func (c *client) keepOpen(front, route string) (netip.AddrPort, string) {
	end, result := c.handshake(front, route)
	return end.src, result
}

func (c *client) send(p packet, front string) {
	_, _ = c.conn.WriteTo(p.bytes(), net.UDPAddrFromAddrPort(netip.MustParseAddrPort(front)))
}

// handshake sends a SYN, and copies of it after 200 and 600 ms, and acknowledges the first SYN+ACK.
// It returns the acknowledgment.
func (c *client) handshake(front, route string) (packet, string) {
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
	syn := packet{seq: rand.Uint32(), dst: netip.MustParseAddrPort(route), src: netip.AddrPortFrom(c.address, port), flags: flagSYN}
	for _, pause := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		c.send(syn, front)
		syn.ack++
		select {
		case p := <-answer:
			if p.flags&flagRST != 0 {
				return syn, "reset"
			}
			end := packet{seq: syn.seq + 1, ack: p.seq + 1, dst: syn.dst, src: syn.src, flags: flagACK}
			c.send(end, front)
			return end, "opened"
		case <-time.After(pause):
		}
	}
	return syn, "no answer"
}

// configStorm writes configurations in quick succession, right after all open connections to the
// store have gone silent. Rule CONFIG: a request sent more than 3 s after the acknowledgment of a
// version is not refused although that version has its route.
func configStorm(program string, rec *recorder, trouble bool) int {
	d, err := deploy(program, rec)
	if err != nil {
		rec.printf("%v", err)
		return 2
	}
	defer d.close()
	f, s, c, p := d.fleet, d.store, d.client, d.proxy
	version := firstVersion
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
