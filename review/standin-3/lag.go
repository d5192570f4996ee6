package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// restartDelay is how long after its end a process is started again.
const restartDelay = 600 * time.Millisecond

// lag restarts one balancer of a zone as planned while another one is lost, and adds a route some
// seconds later, while a balancer is added to the zone. Some flows on the new route then move to the
// restarted balancer.
func lag(f *fleet, trouble bool) error {
	hosts, err := restartBesideLoss(f, trouble)
	if err != nil {
		return err
	}
	time.Sleep(4300 * time.Millisecond)
	added := f.add("front-zone-a-4", "front", "zone-a", "", 90)
	if err := added.startProcess(); err != nil {
		return err
	}
	added.touch("is added")
	f.probe(added)
	time.Sleep(200 * time.Millisecond)
	f.configure(8, "desk", "maps", "desk")
	end := time.Now().Add(4 * time.Second)
	var wg sync.WaitGroup
	for i := range 60 {
		h := hosts[i%2]
		wg.Go(func() { newRouteFlow(f, h, fmt.Sprintf("n%02d", i), end) })
		time.Sleep(5 * time.Millisecond)
	}
	wg.Wait()
	f.rec.judgeFlows(f)
	return nil
}

// restartBesideLoss starts a deployment and restarts a balancer as planned. With trouble, another one
// of its zone is lost when it starts again. It returns the clients' hosts.
func restartBesideLoss(f *fleet, trouble bool) ([]*host, error) {
	f.build([]int{3, 1, 1}, map[string][]int{"desk": {3, 2, 2}, "maps": {1, 1, 1}})
	f.configure(7, "desk", "maps")
	if err := f.startAll(); err != nil {
		return nil, err
	}
	var hosts []*host
	for i, z := range []string{"zone-a", "zone-a", "zone-b", "zone-c"} {
		h, err := newHost(f, z, f.addr(100+i), f.rec)
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, h)
	}
	if !waitServed(f, hosts) {
		return nil, errors.New("the deployment does not serve")
	}
	restarted, lost := f.named("front-zone-a-1"), f.named("front-zone-a-2")
	restarted.signal(syscall.SIGTERM)
	restarted.wait()
	time.Sleep(restartDelay)
	if err := restarted.startProcess(); err != nil {
		return nil, err
	}
	restarted.touch("starts again")
	if trouble {
		if err := lost.lose(); err != nil {
			return nil, err
		}
	}
	return hosts, nil
}

// newRouteFlow opens a flow on the new route, and sends requests on it until the end.
func newRouteFlow(f *fleet, h *host, name string, end time.Time) {
	flow, why := h.open(f.routeAddr(2))
	if why != "" {
		f.rec.failed(name, why)
		return
	}
	for n := 0; time.Now().Before(end); n++ {
		if _, why := flow.request(fmt.Sprintf("%s-%d", name, n), "POST", 1500*time.Millisecond); why != "" {
			return
		}
		time.Sleep(150 * time.Millisecond)
	}
}
