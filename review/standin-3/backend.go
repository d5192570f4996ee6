package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"regexp"
	"sync"
	"time"
)

const (
	backendSlots    = 4
	heartbeatEvery  = 1200 * time.Millisecond
	firstRetransmit = 200 * time.Millisecond
	maxRetransmit   = 1600 * time.Millisecond
	maxRetransmits  = 8
)

var attemptID = regexp.MustCompile(`X-Arbutusfront-Attempt-Id: (\S+)`)

type (
	// flowKey identifies a flow by the client's end and the route's address.
	flowKey struct{ client, route netip.AddrPort }

	// backendFlow is a flow that a backend holds: half open until its SYN-ACK is acknowledged.
	backendFlow struct {
		key       flowKey
		clientISN uint32
		isn       uint32
		open      bool
		// expected is the next sequence number of the client, next that of the backend.
		expected, next uint32
		acked          uint32
		unacked        *packet
	}

	// backend is the stand-in of a backend server beside an agent. A run lasts from start to stop.
	backend struct {
		m   *machine
		rec *record
		// work is how long a request takes.
		work func() time.Duration

		mu       sync.Mutex
		id       string
		born     int64
		draining bool
		running  bool
		sequence int
		flows    map[flowKey]*backendFlow
		udp      *net.UDPConn
		http     *http.Server
		slots    chan struct{}
		stopBeat context.CancelFunc
		// disruptedAt is when this backend was last disrupted.
		disruptedAt time.Time
	}
)

// start begins a run of the backend.
func (b *backend) start(id string) error {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(b.m.app()))
	if err != nil {
		return err
	}
	tcp, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(b.m.app()))
	if err != nil {
		_ = udp.Close()
		return err
	}
	b.mu.Lock()
	b.id, b.born, b.sequence, b.draining, b.running = id, time.Now().UnixMilli(), 0, false, true
	b.flows, b.udp, b.slots = make(map[flowKey]*backendFlow), udp, make(chan struct{}, backendSlots)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		b.mu.Lock()
		leaving := b.draining
		b.mu.Unlock()
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	b.http = &http.Server{Handler: mux}
	ctx, cancel := context.WithCancel(context.Background())
	b.stopBeat = cancel
	server := b.http
	b.mu.Unlock()
	b.rec.log("backend %s: run %s starts, born %d", b.m.name, id, b.born)
	go func() { _ = server.Serve(tcp) }()
	go b.read(udp)
	go b.beat(ctx)
	return nil
}

// crash ends the run without a word. Its flows are discarded.
func (b *backend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.running {
		return
	}
	b.running, b.disruptedAt = false, time.Now()
	b.stopBeat()
	_ = b.udp.Close()
	_ = b.http.Close()
	b.rec.log("backend %s: run %s crashes with %d flows", b.m.name, b.id, len(b.flows))
	b.flows = make(map[flowKey]*backendFlow)
}

// beat sends a heartbeat at once, again soon while none is acknowledged, and at intervals.
func (b *backend) beat(ctx context.Context) {
	for ctx.Err() == nil {
		pause := heartbeatEvery
		if !b.sendBeat(ctx) {
			pause = 300 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (b *backend) sendBeat(ctx context.Context) bool {
	b.mu.Lock()
	b.sequence++
	state := "ready"
	if b.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"service": b.m.service, "address": b.m.app().String(), "zone": b.m.zone, "version": "v1", "slots": backendSlots,
		"state": state, "cold-remaining-ms": 0, "sequence": b.sequence, "born": b.born,
	})
	id := b.id
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, fmt.Sprintf("http://%s/api/instances/%s", b.m.control(), id), bytes.NewReader(body))
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

func (b *backend) read(udp *net.UDPConn) {
	buffer := make([]byte, 4096)
	for {
		n, _, err := udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if p, valid, _ := decode(buffer[:n]); valid {
			b.handle(udp, p)
		} else {
			b.rec.violation("UNASKED: backend %s got a packet with a wrong sum", b.m.name)
		}
	}
}

// handle processes a packet of a client.
func (b *backend) handle(udp *net.UDPConn, p packet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.running || b.udp != udp {
		return
	}
	key := flowKey{client: p.src, route: p.dst}
	f := b.flows[key]
	if p.has(flagSYN) {
		if f == nil {
			f = &backendFlow{key: key, clientISN: p.seq, isn: rand.Uint32(), expected: p.seq + 1}
			f.next, f.acked = f.isn+1, f.isn+1
			b.flows[key] = f
		}
		if !f.open {
			b.send(packet{seq: f.isn, ack: f.clientISN + 1, dst: key.client, src: key.route, flags: flagSYN | flagACK})
		}
		return
	}
	if f == nil || !f.open && p.ack != f.isn+1 {
		p.flags |= flagBounced
		b.rec.bounced(key, b.m.name)
		b.send(p)
		return
	}
	if p.has(flagRST) {
		delete(b.flows, key)
		b.rec.ended(key)
		return
	}
	if !f.open {
		f.open = true
		b.rec.opened(key, b)
	}
	if int32(p.ack-f.acked) > 0 {
		f.acked = p.ack
	}
	if f.unacked != nil && int32(f.acked-f.next) >= 0 {
		f.unacked = nil
	}
	switch {
	case len(p.data) > 0 && p.seq == f.expected:
		f.expected += uint32(len(p.data))
		b.execute(f, p.data)
	case len(p.data) > 0 && int32(p.seq-f.expected) < 0:
		b.ack(f)
	}
	if p.has(flagFIN) && p.seq+uint32(len(p.data)) == f.expected {
		f.expected++
		b.send(packet{seq: f.next, ack: f.expected, dst: key.client, src: key.route, flags: flagACK | flagFIN})
		delete(b.flows, key)
		b.rec.ended(key)
	}
}

func (b *backend) ack(f *backendFlow) {
	b.send(packet{seq: f.next, ack: f.expected, dst: f.key.client, src: f.key.route, flags: flagACK})
}

// execute runs the request and sends its answer. b.mu must be held.
func (b *backend) execute(f *backendFlow, request []byte) {
	match := attemptID.FindSubmatch(request)
	if match == nil {
		b.rec.violation("UNASKED: backend %s got a request without an id", b.m.name)
		return
	}
	id := string(match[1])
	udp, slots := b.udp, b.slots
	go func() {
		slots <- struct{}{}
		b.rec.ran(id, b.m.name)
		time.Sleep(b.work())
		<-slots
		body := "answer to " + id + " from " + b.m.name
		data := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Arbutusfront-Server-Seal: s-%s\r\n\r\n%s", len(body), id, body)
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.udp != udp || !b.running || b.flows[f.key] != f {
			return
		}
		p := packet{seq: f.next, ack: f.expected, dst: f.key.client, src: f.key.route, flags: flagACK, data: data}
		f.next += uint32(len(data))
		f.unacked = &p
		b.send(p)
		go b.retransmit(udp, f, &p)
	}()
}

func (b *backend) retransmit(udp *net.UDPConn, f *backendFlow, p *packet) {
	delay := firstRetransmit
	for range maxRetransmits {
		time.Sleep(delay)
		delay = min(2*delay, maxRetransmit)
		b.mu.Lock()
		done := b.udp != udp || !b.running || b.flows[f.key] != f || f.unacked != p
		if !done {
			b.send(*p)
		}
		b.mu.Unlock()
		if done {
			return
		}
	}
}

// send sends a packet to the agent beside this backend. b.mu must be held.
func (b *backend) send(p packet) { _, _ = b.udp.WriteToUDPAddrPort(p.encode(), b.m.outbound()) }

// holds reports whether the backend holds the flow open.
func (b *backend) holds(key flowKey) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.flows[key]
	return b.running && f != nil && f.open
}

// calmSince reports since when the backend has run without a disruption of its own.
func (b *backend) lastDisruption() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.disruptedAt
}
