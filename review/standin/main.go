// Command standin runs a small deployment of the product on loopback addresses, with stand-ins
// for the platform, the backends and the clients, and plays one scenario of the review.
//
// # Usage
//
//	standin SCENARIO RECORD
//
// It exits with 1 if a rule was broken, with 0 if it held and with 2 if the scenario could not
// run. With TROUBLE=0 in the environment it leaves out the disruption. KEEP=1 keeps the logs of
// the processes.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	desk = "desk"
	maps = "maps"

	// startTimeout bounds the time until the deployment serves.
	startTimeout = 20 * time.Second
	deadline     = 1500 * time.Millisecond
)

type (
	routeConfig struct {
		Name    string `json:"name"`
		Host    string `json:"host"`
		Prefix  string `json:"prefix"`
		Kind    string `json:"kind"`
		Timeout int    `json:"timeout-ms"`
		Target  int    `json:"target-latency-ms"`
		Rank    int    `json:"priority"`
		Service string `json:"service"`
		Tries   int    `json:"attempts"`
	}

	// deployment is a running deployment with one balancer and one backend of each service in
	// each zone, and a client in each zone.
	deployment struct {
		*lab
		agents   map[string]*process
		fronts   []*process
		backends []*backend
		clients  []*client
	}
)

func main() {
	scenarios := map[string]func(*deployment) error{"version": playVersion, "young": playYoung, "foreign": playForeign}
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO RECORD")
		os.Exit(2)
	}
	l, err := newLab(os.Args[2], os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	result := make(chan error, 1)
	go func() {
		d, err := l.deploy()
		if err == nil {
			err = scenarios[os.Args[1]](d)
		}
		result <- err
	}()
	code := 0
	select {
	case <-stopped:
		code = 2
	case err := <-result:
		switch {
		case err != nil:
			l.record("the scenario could not run: %v", err)
			fmt.Fprintln(os.Stderr, err)
			code = 2
		case l.broken() > 0:
			code = 1
		}
	}
	l.record("exit code %d, rules broken %d times", code, l.broken())
	l.Stop()
	os.Exit(code)
}

// Configure writes the operator's configuration. Each route leads to the service desk.
func (l *lab) Configure(version uint64, routes ...int) {
	configured := make([]routeConfig, 0, len(routes))
	for _, n := range routes {
		r := l.route(n)
		configured = append(configured, routeConfig{
			Name: fmt.Sprintf("r-%d", n), Host: r.Addr().String(), Prefix: fmt.Sprintf("/%d/", r.Port()), Kind: "unsafe",
			Timeout: 1500, Target: 200, Rank: 1, Service: desk, Tries: 2,
		})
	}
	services := []map[string]any{}
	for _, name := range []string{desk, maps} {
		services = append(services, map[string]any{
			"name": name, "health-path": "/health", "max-connections": 2000, "protocol": "h1", "tls": false,
			"cold-start-s": 2.0, "cold-per-s": 0.0,
		})
	}
	b, _ := json.Marshal(map[string]any{
		"version": version, "routes": configured, "services": services,
		"limits": map[string]any{"header-bytes": 16384, "body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	l.store.Write("op/config", b)
	l.record("configuration %d is acknowledged: routes %v", version, routes)
}

// deploy starts the deployment with version 7 of the configuration, and waits until it serves.
func (l *lab) deploy() (*deployment, error) {
	d := &deployment{lab: l, agents: make(map[string]*process)}
	l.Configure(7, 1, 2)
	for zone := range zones {
		p, err := l.Start(l.machineIn(zone, 1, ""))
		if err != nil {
			return nil, err
		}
		d.fronts = append(d.fronts, p)
		for n, service := range []string{desk, desk, maps} {
			m := l.machineIn(zone, 11+n, service)
			if _, err := d.addSide(m, fmt.Sprintf("i-%s-%d", m.zone, n)); err != nil {
				return nil, err
			}
		}
		c, err := newClient(l, l.ip(100+zone, 1), zones[zone])
		if err != nil {
			return nil, err
		}
		d.clients = append(d.clients, c)
	}
	for start := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		if time.Since(start) > startTimeout {
			return nil, fmt.Errorf("the deployment does not serve after %s", startTimeout)
		}
		if l.router.Ready() < len(zones) {
			continue
		}
		served := 0
		for _, c := range d.clients {
			if d.exchange(c, l.route(1), fmt.Sprintf("start-%d", time.Now().UnixNano())) == answered {
				served++
			}
		}
		if served == len(d.clients) {
			l.record("the deployment serves")
			return d, nil
		}
	}
}

// addSide starts a side machine and the backend on it.
func (d *deployment) addSide(m machine, id string) (*backend, error) {
	p, err := d.Start(m)
	if err != nil {
		return nil, err
	}
	d.agents[m.name] = p
	b, err := startBackend(d.lab, m, id)
	if err != nil {
		return nil, err
	}
	d.backends = append(d.backends, b)
	return b, nil
}
