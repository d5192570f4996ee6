package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// stall stops one agent for a moment, and crashes the backend beside it some seconds later. Callers'
// flows are long and mostly idle.
func stall(f *fleet, trouble bool) error {
	f.build([]int{2, 2, 1}, map[string][]int{"desk": {3, 2, 2}, "maps": {1, 1, 1}})
	f.configure(7, "desk", "maps")
	if err := f.startAll(); err != nil {
		return err
	}
	var hosts []*host
	for i, z := range []string{"zone-a", "zone-a", "zone-b", "zone-c"} {
		h, err := newHost(f, z, f.addr(100+i), f.rec)
		if err != nil {
			return err
		}
		hosts = append(hosts, h)
	}
	if !waitServed(f, hosts) {
		return errors.New("the deployment does not serve")
	}
	victim := f.named("side-zone-a-desk-1")
	begin := time.Now()
	end := begin.Add(16 * time.Second)
	at := func(s float64) time.Duration { return time.Until(begin.Add(time.Duration(s * float64(time.Second)))) }
	var wg sync.WaitGroup
	if trouble {
		wg.Go(func() {
			time.Sleep(at(3))
			victim.signal(syscall.SIGSTOP)
			time.Sleep(at(3.6))
			victim.signal(syscall.SIGCONT)
			time.Sleep(at(6))
			victim.backend.crash()
			time.Sleep(at(7))
			_ = victim.backend.start("i-" + victim.name + "-2")
		})
	}
	for i := 0; time.Now().Before(begin.Add(5 * time.Second)); i++ {
		h := hosts[i%len(hosts)]
		wg.Go(func() { longFlow(f, h, fmt.Sprintf("t%05d", i), end) })
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	f.rec.judgeFlows(f)
	return nil
}

// longFlow opens a flow and sends a request on it every 6 s, until the end.
func longFlow(f *fleet, h *host, name string, end time.Time) {
	flow, why := h.open(f.routeAddr(0))
	if why != "" {
		f.rec.failed(name, why)
		return
	}
	for n := 0; time.Now().Before(end); n++ {
		if _, why := flow.request(fmt.Sprintf("%s-%d", name, n), "POST", 1500*time.Millisecond); why != "" {
			return
		}
		select {
		case <-flow.endC:
			return
		case <-time.After(6 * time.Second):
		}
	}
}

// waitServed waits until some requests in a row are answered.
func waitServed(f *fleet, hosts []*host) bool {
	deadline := time.Now().Add(20 * time.Second)
	for good, i := 0, 0; time.Now().Before(deadline); i++ {
		flow, why := hosts[i%len(hosts)].open(f.routeAddr(i % 2))
		if why == "" {
			_, why = flow.request(fmt.Sprintf("start-%d", i), "GET", time.Second)
		}
		if good++; why != "" {
			good = 0
			time.Sleep(200 * time.Millisecond)
		}
		if good == 20 {
			time.Sleep(3 * time.Second)
			return true
		}
	}
	return false
}
