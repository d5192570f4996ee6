package main

import (
	"fmt"
	"net/netip"
	"os"
	"sync"
	"time"
)

// stabilityWindow is stability-window-ms.
const stabilityWindow = 4 * time.Second

type (
	// openFlow is a flow that a backend has opened.
	openFlow struct {
		backend  *backend
		openedAt time.Time
		endedAt  time.Time
	}

	// record collects what clients, backends and the platform see.
	record struct {
		start time.Time

		mu         sync.Mutex
		file       *os.File
		flows      map[flowKey]*openFlow
		runs       map[string]int
		sentIDs    map[string]bool
		bounces    int
		violations []string
		resets     []systemReset
		answers    int
		failures   map[string]int
	}

	// systemReset is a reset by the system that a client took on an open flow.
	systemReset struct {
		key  flowKey
		from netip.AddrPort
		at   time.Time
	}
)

func newRecord(file string) (*record, error) {
	f, err := os.Create(file)
	return &record{
		start: time.Now(), file: f, flows: make(map[flowKey]*openFlow), runs: make(map[string]int), sentIDs: make(map[string]bool),
		failures: make(map[string]int),
	}, err
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

// write writes a line. r.mu must be held.
func (r *record) write(format string, args ...any) {
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := fmt.Sprintf(format, args...)
	r.violations = append(r.violations, v)
	r.write("BROKEN %s", v)
}

func (r *record) opened(key flowKey, b *backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flows[key] = &openFlow{backend: b, openedAt: time.Now()}
	r.write("flow %s opens at %s", key.client, b.m.name)
}

func (r *record) ended(key flowKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f := r.flows[key]; f != nil {
		f.endedAt = time.Now()
	}
}

func (r *record) bounced(flowKey, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bounces++
}

func (r *record) sent(id string, key flowKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sentIDs[id] = true
	r.write("request %s sent on flow %s", id, key.client)
}

func (r *record) ran(id, backend string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	r.write("request %s runs at %s", id, backend)
	switch {
	case !r.sentIDs[id]:
		r.violations = append(r.violations, "UNASKED: "+id+" was never sent")
	case r.runs[id] > 1:
		r.violations = append(r.violations, id+" has run twice")
	}
}

func (r *record) answered(id, body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers++
	r.write("request %s answered: %s", id, body)
}

func (r *record) failed(id, why string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures[why]++
	r.write("request %s not answered: %s", id, why)
}

func (r *record) resetBySystem(key flowKey, from netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resets = append(r.resets, systemReset{key: key, from: from, at: time.Now()})
	r.write("flow %s: the client takes a reset of the system, from %s", key.client, from)
}

// judgeFlows checks rule FLOW, part (a): a client got a reset that the flow's backend did not send,
// while that backend lives and was not disrupted within the stability window, and the backend's
// machine and the sender of the reset are in touch.
func (r *record) judgeFlows(f *fleet) {
	r.mu.Lock()
	resets := append([]systemReset(nil), r.resets...)
	r.mu.Unlock()
	for _, x := range resets {
		r.mu.Lock()
		o := r.flows[x.key]
		r.mu.Unlock()
		if o == nil || !o.endedAt.IsZero() && o.endedAt.Before(x.at) {
			continue
		}
		b := o.backend
		if !b.holds(x.key) || x.at.Sub(b.lastDisruption()) < stabilityWindow || !b.m.calm(x.at) {
			continue
		}
		for _, m := range f.machines {
			if m.addr == x.from.Addr() && m.calm(x.at) {
				r.violation("FLOW: flow %s is open at %s, which is alive and was not disrupted; %s reset it at %.3f s",
					x.key.client, b.m.name, m.name, x.at.Sub(r.start).Seconds())
			}
		}
	}
}
