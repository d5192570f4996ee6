package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	firstRetransmit   = 200 * time.Millisecond
	lastRetransmit    = 1600 * time.Millisecond
	maxRetransmits    = 8
	workTime          = 15 * time.Millisecond
)

type (
	// backend is a backend server on a side machine. It receives packets from the agent on its
	// machine only, and sends all of its own to that agent.
	backend struct {
		lab      *lab
		id       string
		service  string
		zone     string
		app      netip.AddrPort
		outbound netip.AddrPort
		control  netip.AddrPort
		started  time.Time
		udp      *net.UDPConn
		http     *http.Server

		mu       sync.Mutex
		sequence uint64
		draining bool
		ended    bool
		flows    map[flowKey]*served
		stop     chan struct{}
	}

	// served is a flow at its backend.
	served struct {
		isn, next, received uint32
		synSequence         uint32
		open, closed        bool
		openedAt            time.Time
		answers             map[uint32][]byte
		acknowledged        uint32
	}
)

// startBackend starts a backend beside the agent of the machine. It sends its first heartbeat at
// once.
func startBackend(l *lab, m machine, id string) (*backend, error) {
	b := &backend{
		lab: l, id: id, service: m.service, zone: m.zone, app: l.at(m, portApp), outbound: l.at(m, portOutbound),
		control: l.at(m, portControl), started: time.Now(), flows: make(map[flowKey]*served), stop: make(chan struct{}),
	}
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(b.app))
	if err != nil {
		return nil, err
	}
	tcp, err := net.Listen("tcp4", b.app.String())
	if err != nil {
		return nil, err
	}
	b.udp = udp
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	b.http = &http.Server{Handler: mux}
	go func() { _ = b.http.Serve(tcp) }()
	go b.receive()
	go b.heartbeats()
	l.record("backend %s of %s starts at %s", id, m.service, b.app)
	return b, nil
}

// Crash ends the backend at once. It discards its flows.
func (b *backend) Crash() {
	b.mu.Lock()
	b.ended = true
	close(b.stop)
	b.mu.Unlock()
	_ = b.udp.Close()
	_ = b.http.Close()
	b.lab.record("backend %s crashes", b.id)
}

// IsOpen reports whether the backend holds the flow, and since when.
func (b *backend) IsOpen(key flowKey) (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.flows[key]
	if f == nil || !f.open || f.closed || b.ended {
		return time.Time{}, false
	}
	return f.openedAt, true
}

func (b *backend) heartbeats() {
	for {
		next := time.After(heartbeatInterval)
		// A heartbeat that is not acknowledged is repeated soon, with a new sequence number.
		for !b.beat() {
			select {
			case <-time.After(heartbeatInterval / 2):
			case <-b.stop:
				return
			}
		}
		select {
		case <-next:
		case <-b.stop:
			return
		}
	}
}

// beat sends one heartbeat, and reports whether it was acknowledged.
func (b *backend) beat() bool {
	b.mu.Lock()
	b.sequence++
	sequence, state := b.sequence, "ready"
	if b.draining {
		state = "draining"
	}
	b.mu.Unlock()
	body, _ := json.Marshal(map[string]any{
		"service": b.service, "address": b.app.String(), "zone": b.zone, "version": "v1", "slots": 4, "state": state,
		"cold-remaining-ms": max(0, 2000-time.Since(b.started).Milliseconds()), "sequence": sequence,
		"born": b.started.UnixMilli(),
	})
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(http.MethodPut, "http://"+b.control.String()+"/api/instances/"+b.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := client.Do(r)
	if err != nil {
		b.lab.record("heartbeat %d of %s (%s) fails: %v", sequence, b.id, state, err)
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	b.lab.record("heartbeat %d of %s (%s): status %d", sequence, b.id, state, response.StatusCode)
	return response.StatusCode/100 == 2
}

func (b *backend) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := b.udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if p, ok := decode(bytes.Clone(buffer[:n])); ok {
			b.handle(p)
		}
	}
}

func (b *backend) send(raw []byte) { _, _ = b.udp.WriteToUDPAddrPort(raw, b.outbound) }

// giveBack returns a packet of a flow that the backend does not hold.
func (b *backend) giveBack(p packet) {
	raw := bytes.Clone(p.raw)
	raw[20] |= flagBounced
	raw[21], raw[22], raw[23] = 0, 0, 0
	b.send(raw)
}

func (b *backend) handle(p packet) {
	key := flowKey{client: p.src, route: p.dst}
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.flows[key]
	switch {
	case p.has(flagSYN | flagACK):
		b.lab.violation("UNASKED", "backend %s gets a SYN+ACK of %s", b.id, p.src)
		return
	case p.has(flagSYN):
		if f == nil || f.synSequence != p.seq {
			isn := rand.Uint32()
			f = &served{
				isn: isn, next: isn + 1, received: p.seq + 1, synSequence: p.seq, answers: make(map[uint32][]byte),
				acknowledged: isn + 1,
			}
			b.flows[key] = f
		}
		b.send(packet{src: p.dst, dst: p.src, flags: flagSYN | flagACK, seq: f.isn, ack: f.received}.encode())
		return
	case f == nil:
		b.giveBack(p)
		return
	case !f.open && p.has(flagACK) && p.ack != f.isn+1:
		// The client has accepted another backend.
		b.giveBack(p)
		return
	}
	if !f.open && p.has(flagACK) {
		f.open, f.openedAt = true, time.Now()
		b.lab.record("flow %s -> %s is open at %s", p.src, p.dst, b.id)
	}
	if p.has(flagRST) {
		f.closed = true
		delete(b.flows, key)
		return
	}
	if p.has(flagACK) && int32(p.ack-f.acknowledged) > 0 {
		f.acknowledged = p.ack
	}
	if len(p.data) > 0 {
		b.receiveData(key, f, p)
	}
	if p.has(flagFIN) {
		f.closed = true
		delete(b.flows, key)
		b.send(packet{src: p.dst, dst: p.src, flags: flagACK, seq: f.next, ack: f.received + 1}.encode())
	}
}

// receiveData runs the request in the packet, unless it has run already. A request is one
// packet, and so is its answer. b.mu must be held.
func (b *backend) receiveData(key flowKey, f *served, p packet) {
	if answer, ok := f.answers[p.seq]; ok {
		if answer != nil {
			b.send(answer)
		}
		return
	}
	if p.seq != f.received {
		return
	}
	f.received += uint32(len(p.data))
	f.answers[p.seq] = nil
	id := requestID(p.data)
	b.lab.recordRun(b, key, id)
	body := "done " + id + " at " + b.id
	data := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	answer := packet{src: p.dst, dst: p.src, flags: flagACK, seq: f.next, ack: f.received, data: data}.encode()
	f.next += uint32(len(data))
	end := f.next
	seq := p.seq
	time.AfterFunc(workTime, func() { b.answer(f, seq, end, answer) })
}

// answer sends the answer, and retransmits it until the client has acknowledged it.
func (b *backend) answer(f *served, request, end uint32, answer []byte) {
	b.mu.Lock()
	f.answers[request] = answer
	b.mu.Unlock()
	delay := firstRetransmit
	for range maxRetransmits {
		b.mu.Lock()
		done := b.ended || f.closed || int32(f.acknowledged-end) >= 0
		b.mu.Unlock()
		if done {
			return
		}
		b.send(answer)
		time.Sleep(delay)
		delay = min(2*delay, lastRetransmit)
	}
}

// Drain makes the backend announce that it is draining, and returns when that was acknowledged.
func (b *backend) Drain() (time.Time, error) {
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	if !b.beat() {
		return time.Time{}, fmt.Errorf("the draining of backend %s is not acknowledged", b.id)
	}
	return time.Now(), nil
}

// writeForeign sends a heartbeat of another writer to the agent beside the backend. It names the
// backend and lacks the zone.
func (b *backend) writeForeign() {
	b.mu.Lock()
	body, _ := json.Marshal(map[string]any{
		"service": b.service, "address": b.app.String(), "version": "v1", "slots": 4, "state": "ready",
		"cold-remaining-ms": 0, "sequence": b.sequence + 1, "born": b.started.UnixMilli(),
	})
	b.mu.Unlock()
	r, err := http.NewRequest(http.MethodPut, "http://"+b.control.String()+"/api/instances/"+b.id, bytes.NewReader(body))
	if err != nil {
		return
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		b.lab.record("foreign heartbeat fails: %v", err)
		return
	}
	_ = response.Body.Close()
	b.lab.record("foreign heartbeat %s: status %d", body, response.StatusCode)
}
