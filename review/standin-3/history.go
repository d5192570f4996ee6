package main

import (
	"fmt"
	"sync"
	"time"
)

// propagation is config-propagation-ms.
const propagation = 3 * time.Second

// history restarts one balancer of a zone as planned while another one is lost, lets the store forget
// its history once, and adds a route some seconds later. Flows on the new route are then sent straight
// to each balancer.
func history(f *fleet, trouble bool) error {
	hosts, _, err := restartBesideLoss(f, trouble)
	if err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		f.store.forget()
		f.rec.log("store: forgets its history")
	}
	time.Sleep(4200 * time.Millisecond)
	f.configure(8, "desk", "maps", "desk")
	acknowledged := time.Now()
	f.rec.log("from %.3f s on, version 8 must be in force", (time.Since(f.rec.start) + propagation).Seconds())
	time.Sleep(propagation)
	var wg sync.WaitGroup
	for i := 0; time.Since(acknowledged) < 2*propagation; i++ {
		time.Sleep(50 * time.Millisecond)
		for _, m := range f.all() {
			m.mu.Lock()
			ready := m.ready
			m.mu.Unlock()
			if m.class == "front" && ready {
				wg.Go(func() { f.testRoute(hosts[i%len(hosts)], m, fmt.Sprintf("%s-%d", m.name, i), acknowledged) })
			}
		}
	}
	wg.Wait()
	return nil
}

// testRoute sends a request on the new route straight to a balancer. A reset shows that the balancer
// knows no such route.
func (f *fleet) testRoute(h *host, m *machine, id string, acknowledged time.Time) {
	sentAt := time.Now()
	f.rec.log("request %s on the new route is sent straight to %s", id, m.name)
	flow, why := h.openVia(f.routeAddr(2), m)
	if why == "" {
		_, why = flow.request(id, "GET", 1500*time.Millisecond)
	} else {
		f.rec.failed(id, why)
	}
	if why == "reset before it opened" && m.calm(sentAt) {
		f.rec.violation("CONFIG: %s, sent %.3f s after version 8 was acknowledged, is refused by %s, which is in touch",
			id, sentAt.Sub(acknowledged).Seconds(), m.name)
	}
}
