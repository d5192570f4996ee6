package main

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	// firstVersion is the version of the configuration with which the deployment starts.
	firstVersion = 7
	// maxRunTime is below the 120 s that a script may run.
	maxRunTime = 110 * time.Second
)

// deployment is a small deployment that is ready: three balancers and three agents, each with a
// backend server, in three zones.
type deployment struct {
	dir        string
	fleet      *fleet
	store      *store
	proxy      *proxy
	client     *client
	handshakes *handshakes
}

func (d *deployment) close() {
	d.fleet.stop()
	_ = os.RemoveAll(d.dir)
}

// deploy starts a deployment, and returns once all balancers open flows.
func deploy(program string, rec *recorder) (*deployment, error) {
	dir, err := os.MkdirTemp("", "standin-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, handshakes: &handshakes{held: make(map[netip.AddrPort]string)}}
	d.fleet = &fleet{dir: dir, program: program, onOpened: d.handshakes.record}
	go d.endEarly(rec)
	if err := d.start(rec); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

// endEarly ends the processes and this one on a signal, or after maxRunTime.
func (d *deployment) endEarly(rec *recorder) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(maxRunTime):
	}
	d.close()
	rec.printf("ended early")
	os.Exit(2)
}

func (d *deployment) start(rec *recorder) error {
	f := d.fleet
	for i, zone := range zones {
		f.machines = append(f.machines,
			&machine{name: "front-" + zone, zone: zone, class: "front", address: fmt.Sprintf("127.0.0.%d", 11+i)},
			&machine{name: "side-" + zone, zone: zone, class: "side", address: fmt.Sprintf("127.0.0.%d", 31+i)})
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
			return errors.New("no free port")
		}
	}
	d.store = newStore()
	d.store.onWatch = func(events, bytes int) {
		if bytes > 1<<20 {
			rec.printf("store: a watch is answered with %d events, %d bytes", events, bytes)
		}
	}
	storeListener, err := net.Listen("tcp", storeAddress+":0")
	if err != nil {
		return err
	}
	proxyListener, err := net.Listen("tcp", proxyAddress+":0")
	if err != nil {
		return err
	}
	go serveHTTP(storeListener, d.store.handler())
	d.proxy = newProxy(proxyListener, storeListener.Addr().String())
	f.store = proxyListener.Addr().String()
	for _, m := range f.fronts() {
		f.seeds = append(f.seeds, f.at(m, f.ports.control))
	}
	content := document(firstVersion, 0)
	d.store.put("op/config", content)
	rec.printf("operator: version %d, %d bytes", firstVersion, len(content))
	if d.client, err = newClient(clientAddress, f.ports.packets); err != nil {
		return err
	}
	for _, m := range f.machines {
		if m.class != "side" {
			continue
		}
		if err := f.serveBackend(m); err != nil {
			return err
		}
	}
	if err := f.start(); err != nil {
		return err
	}
	return d.waitReady(rec)
}

// waitReady waits until all balancers are ready and open flows.
func (d *deployment) waitReady(rec *recorder) error {
	f := d.fleet
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range f.fronts() {
			if f.isReady(m) && d.client.open(f.at(m, f.ports.packets), baseRoute) == "opened" {
				ready++
			}
		}
		if ready == len(f.fronts()) {
			rec.printf("all %d balancers are ready and open flows", ready)
			return nil
		}
	}
	return errors.New("the balancers don't open flows")
}
