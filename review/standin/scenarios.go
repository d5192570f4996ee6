package main

import (
	"fmt"
	"net/netip"
	"syscall"
	"time"
)

// exchange opens a flow to the route and sends one request on it.
func (d *deployment) exchange(c *client, route netip.AddrPort, id string) outcome {
	f, o := c.Open(route)
	defer f.Forget()
	if o != answered {
		return o
	}
	return f.Request(id, deadline)
}

// playVersion changes the configuration: route 2 is dropped, and route 3 is added. With trouble,
// the version is a date with a serial number. Later than config-propagation-ms after the
// acknowledgment, route 3 must be served and route 2 must not run anything.
func playVersion(d *deployment) error {
	version := uint64(8)
	if d.trouble {
		version = 2026120501
	}
	// The settings state 3 s.
	const propagation = 3 * time.Second
	time.Sleep(4 * time.Second)
	d.Configure(version, 1, 3)
	acknowledged := time.Now()
	time.Sleep(propagation + 500*time.Millisecond)
	for i := range 12 {
		c := d.clients[i%len(d.clients)]
		since := time.Since(acknowledged)
		added, dropped := fmt.Sprintf("added-%d", i), fmt.Sprintf("dropped-%d", i)
		if o := d.exchange(c, d.route(3), added); o == wasReset {
			d.violation("CONFIG", "%s, sent %.1f s after the acknowledgment of version %d, is refused though its route is there",
				added, since.Seconds(), version)
		}
		d.exchange(c, d.route(2), dropped)
		if d.hasRun(dropped) {
			d.violation("CONFIG", "%s, sent %.1f s after the acknowledgment of version %d, is run with a dropped route",
				dropped, since.Seconds(), version)
		}
		time.Sleep(500 * time.Millisecond)
	}
	return nil
}

// playYoung adds a side machine. With trouble, the process on it is killed once its backend has
// taken a few flows, 0.6 s after the backend's first heartbeat at the latest. These flows must still
// be open when they are used again, more than stability-window-ms later.
func playYoung(d *deployment) error {
	time.Sleep(4 * time.Second)
	m := d.machineIn(0, 21, desk)
	p, err := d.Start(m)
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	b, err := startBackend(d.lab, m, "i-added")
	if err != nil {
		return err
	}
	time.Sleep(100 * time.Millisecond)
	var flows []*flow
	const (
		enough    = 3
		latestEnd = 600 * time.Millisecond
	)
	for i := 0; len(flows) < enough && time.Since(b.started) < latestEnd; i++ {
		f, o := d.clients[0].Open(d.route(1))
		if o == answered && f.Request(fmt.Sprintf("first-%d", i), deadline) == answered {
			if _, open := b.IsOpen(f.key); open {
				flows = append(flows, f)
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	d.record("%d flows are open at %s", len(flows), b.id)
	if len(flows) == 0 {
		return fmt.Errorf("backend %s has got no flow", b.id)
	}
	if d.trouble {
		p.Signal(syscall.SIGKILL)
	}
	// The settings state 4 s for stability-window-ms and 15 s for idle-timeout-ms.
	time.Sleep(6 * time.Second)
	for i, f := range flows {
		o := f.Request(fmt.Sprintf("second-%d", i), deadline)
		if _, open := b.IsOpen(f.key); open && o == wasReset {
			d.violation("FLOW", "flow %s -> %s is reset by %s while backend %s holds it", f.key.client, f.key.route, f.resetFrom, b.id)
		}
	}
	return nil
}

// playForeign drains a backend. With trouble, another writer sends one heartbeat to the agent
// beside it more than drain-timeout-ms after the acknowledgment. It lacks a field, so it must not
// be used. No flow may reach the backend then.
func playForeign(d *deployment) error {
	time.Sleep(4 * time.Second)
	b := d.backends[0]
	acknowledged, err := b.Drain()
	if err != nil {
		return err
	}
	// The settings state 3 s for drain-timeout-ms.
	time.Sleep(4 * time.Second)
	if d.trouble {
		b.writeForeign()
	}
	for i := range 60 {
		f, o := d.clients[i%len(d.clients)].Open(d.route(1))
		if o == answered {
			f.Request(fmt.Sprintf("late-%d", i), deadline)
		}
		if at, open := b.IsOpen(f.key); open && at.Sub(acknowledged) > 3*time.Second {
			d.violation("DRAIN", "flow %s -> %s reaches backend %s %.1f s after its draining was acknowledged",
				f.key.client, f.key.route, b.id, at.Sub(acknowledged).Seconds())
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}
