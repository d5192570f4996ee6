package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"regexp"
	"sync"
	"time"
)

// Ends of an attempt to open a flow, and of a request.
const (
	answered outcome = "answered"
	wasReset outcome = "reset"
	silent   outcome = "no answer"
)

var idHeader = regexp.MustCompile(`X-Arbutusfront-Attempt-Id: (\S+)\r\n`)

type (
	outcome string

	// client is one client machine. Its flows start at its address.
	client struct {
		lab  *lab
		zone string
		udp  *net.UDPConn
		addr netip.Addr

		mu       sync.Mutex
		nextPort uint16
		flows    map[flowKey]*flow
	}

	// flow is a flow at its client.
	flow struct {
		client         *client
		key            flowKey
		seq, ack       uint32
		isOpen         bool
		reset          time.Time
		resetFrom      netip.AddrPort
		lastUsed       time.Time
		synACK, update chan struct{}
		answers        map[uint32][]byte
	}
)

func requestID(data []byte) string {
	if m := idHeader.FindSubmatch(data); m != nil {
		return string(m[1])
	}
	return "?"
}

// newClient binds a client machine to the address.
func newClient(l *lab, addr netip.Addr, zone string) (*client, error) {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, l.port(portPackets))))
	if err != nil {
		return nil, err
	}
	c := &client{lab: l, zone: zone, udp: udp, addr: addr, nextPort: 1024, flows: make(map[flowKey]*flow)}
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	buffer := make([]byte, 2048)
	for {
		n, from, err := c.udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if p, ok := decode(bytes.Clone(buffer[:n])); ok {
			c.handle(p, from)
		}
	}
}

func (c *client) handle(p packet, from netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flows[flowKey{client: p.dst, route: p.src}]
	if f == nil {
		return
	}
	switch {
	case p.has(flagRST):
		if f.isOpen && p.seq-(f.ack-resetWindow) > 2*resetWindow {
			return
		}
		if f.reset.IsZero() {
			f.reset, f.resetFrom = time.Now(), from
			f.signal()
		}
	case p.has(flagSYN | flagACK):
		if !f.isOpen {
			f.isOpen, f.ack = true, p.seq+1
			f.seq++
			close(f.synACK)
		}
		if p.seq+1 == f.ack {
			f.sendACK()
		}
	case len(p.data) > 0:
		if int32(p.seq-f.ack) <= 0 {
			f.ack = max32(f.ack, p.seq+uint32(len(p.data)))
			f.answers[p.ack] = p.data
			f.signal()
		}
		f.sendACK()
	}
}

func max32(a, b uint32) uint32 {
	if int32(a-b) > 0 {
		return a
	}
	return b
}

// signal wakes the request that waits on the flow.
func (f *flow) signal() {
	select {
	case f.update <- struct{}{}:
	default:
	}
}

func (f *flow) sendACK() { f.send(packet{flags: flagACK, seq: f.seq, ack: f.ack}) }

// send completes the packet and sends it to the balancer that the router selects.
func (f *flow) send(p packet) {
	p.src, p.dst = f.key.client, f.key.route
	f.lastUsed = time.Now()
	if to, ok := f.client.lab.router.choose(f.key, f.client.zone); ok {
		_, _ = f.client.udp.WriteToUDPAddrPort(p.encode(), to)
	}
}

// Open opens a flow to the route.
func (c *client) Open(route netip.AddrPort) (*flow, outcome) {
	c.mu.Lock()
	c.nextPort++
	f := &flow{
		client: c, key: flowKey{client: netip.AddrPortFrom(c.addr, c.nextPort), route: route}, seq: rand.Uint32(),
		synACK: make(chan struct{}), update: make(chan struct{}, 1), answers: make(map[uint32][]byte),
	}
	c.flows[f.key] = f
	start := f.seq
	c.mu.Unlock()
	at := []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}
	for copies, wait := range at {
		c.mu.Lock()
		if !f.isOpen {
			f.send(packet{flags: flagSYN, seq: start, ack: uint32(copies)})
		}
		c.mu.Unlock()
		select {
		case <-f.synACK:
			return f, answered
		case <-f.update:
			c.lab.record("flow %s -> %s is refused by a reset", f.key.client, route)
			return f, wasReset
		case <-time.After(wait):
		}
	}
	c.lab.record("flow %s -> %s can't be opened: no SYN+ACK", f.key.client, route)
	return f, silent
}

// Request sends a request on the open flow, and waits for its answer until the deadline.
func (f *flow) Request(id string, deadline time.Duration) outcome {
	data := fmt.Appendf(nil, "POST /tally HTTP/1.1\r\nHost: x\r\nX-Arbutusfront-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
	c := f.client
	c.mu.Lock()
	if !f.reset.IsZero() {
		c.mu.Unlock()
		return wasReset
	}
	seq := f.seq
	f.seq += uint32(len(data))
	end := f.seq
	c.mu.Unlock()
	c.lab.record("request %s is sent on flow %s -> %s", id, f.key.client, f.key.route)
	until := time.After(deadline)
	for delay := firstRetransmit; ; delay = min(2*delay, lastRetransmit) {
		c.mu.Lock()
		f.send(packet{flags: flagACK, seq: seq, ack: f.ack, data: data})
		c.mu.Unlock()
		retransmit := time.After(delay)
		for waiting := true; waiting; {
			select {
			case <-f.update:
				if o, done := f.result(id, end); done {
					return o
				}
			case <-retransmit:
				waiting = false
			case <-until:
				c.lab.record("request %s gets no answer", id)
				return silent
			}
		}
	}
}

func (f *flow) result(id string, end uint32) (outcome, bool) {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	if answer, ok := f.answers[end]; ok {
		if !bytes.Contains(answer, []byte("done "+id+" ")) {
			f.client.lab.violation("MIXED", "request %s gets %q", id, answer)
		}
		f.client.lab.record("request %s is answered", id)
		return answered, true
	}
	if !f.reset.IsZero() {
		f.client.lab.record("request %s: the flow is reset by %s", id, f.resetFrom)
		return wasReset, true
	}
	return "", false
}

// ResetAt returns when the flow was reset; zero if it was not.
func (f *flow) ResetAt() time.Time {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	return f.reset
}

// Forget makes the client silent on the flow.
func (f *flow) Forget() {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	delete(f.client.flows, f.key)
}
