package main

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	// openFlows is the number of flows that are opened through each balancer.
	openFlows = 10
	// watchTime is how long the open flows are watched after the heartbeat of another writer.
	watchTime = 6 * time.Second
)

// handshakes records the flows whose end of the handshake has reached a backend server.
type handshakes struct {
	mu   sync.Mutex
	held map[netip.AddrPort]string
}

func (h *handshakes) record(caller netip.AddrPort, server string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held[caller] = server
}

func (h *handshakes) serverOf(caller netip.AddrPort) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.held[caller]
}

// foreignHeartbeat opens flows and then sends one agent a heartbeat of another writer, which lacks
// the fields zone, version and cold-remaining-ms. Rule FLOW: no client gets a reset that its flow's
// backend server did not send.
func foreignHeartbeat(program string, rec *recorder, trouble bool) int {
	d, err := deploy(program, rec)
	if err != nil {
		rec.printf("%v", err)
		return 2
	}
	defer d.close()
	var resets []string
	var mu sync.Mutex
	d.client.onReset = func(p packet) {
		if server := d.handshakes.serverOf(p.dst); server != "" {
			mu.Lock()
			resets = append(resets, server)
			mu.Unlock()
			rec.printf("client: its open flow from %s, held by the backend server of %s, is reset by the system (seq %d)",
				p.dst, server, p.seq)
		}
	}
	byServer := make(map[string]int)
	for _, m := range d.fleet.fronts() {
		for range openFlows {
			caller, result := d.client.keepOpen(d.fleet.at(m, d.fleet.ports.packets), baseRoute)
			time.Sleep(20 * time.Millisecond)
			server := d.handshakes.serverOf(caller)
			rec.printf("client: flow from %s through %s: %s, held by the backend server of %s", caller, m.name, result, server)
			if server != "" {
				byServer[server]++
			}
		}
	}
	var victim *machine
	for _, m := range d.fleet.machines {
		if m.class == "side" && (victim == nil || byServer[m.name] > byServer[victim.name]) {
			victim = m
		}
	}
	if byServer[victim.name] == 0 {
		rec.printf("no flow was opened")
		return 2
	}
	// Longer than the stability window after the start.
	time.Sleep(stabilityWindow + time.Second)
	if trouble {
		body := fmt.Sprintf(`{"service":%q,"address":%q,"slots":4,"state":"ready","sequence":1,"born":%d}`,
			serviceName, d.fleet.at(victim, d.fleet.ports.app), time.Now().UnixMilli())
		r, _ := http.NewRequest(http.MethodPut,
			"http://"+d.fleet.at(victim, d.fleet.ports.control)+"/api/instances/i-other", strings.NewReader(body))
		r.Header.Set("Content-Type", "application/json")
		answer, err := http.DefaultClient.Do(r)
		if err != nil {
			rec.printf("%v", err)
			return 2
		}
		b, _ := io.ReadAll(answer.Body)
		rec.printf("disruption: heartbeat of another writer to the agent %s: PUT /api/instances/i-other %s: %s %s",
			victim.name, body, answer.Status, strings.TrimSpace(string(b)))
	}
	time.Sleep(watchTime)
	mu.Lock()
	defer mu.Unlock()
	rec.printf("open flows: %v; resets of open flows: %d", byServer, len(resets))
	if len(resets) > 0 {
		return 1
	}
	return 0
}
